//! The clients, each with one request.

use std::hash::{Hash, Hasher};

use tulipbridge_core::request_tracker::FinalAnswer;
use tulipbridge_core::{Nanos, RequestId};

/// What a client knows of its request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(super) enum ClientState {
    /// It has not sent its request.
    NotStarted,
    /// It waits for the answer.
    Waiting {
        /// Its request.
        id: RequestId,
        /// When it gives up.
        deadline: Nanos,
    },
    /// It has its answer.
    Answered(FinalAnswer),
    /// It left without an answer.
    Left {
        /// Its request.
        id: RequestId,
    },
}

impl ClientState {
    /// Whether it waits for the answer.
    fn is_waiting(&self) -> bool {
        matches!(self, ClientState::Waiting { .. })
    }
}

/// To whom an answer goes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Addressee {
    /// A client that waits for it.
    Waiting(usize),
    /// A client that has left.
    Left,
    /// Nobody: no client has sent the request, or it has its answer already.
    Nobody,
}

/// All clients.
#[derive(Clone, Debug)]
pub(super) struct Clients {
    /// The clients by their number.
    states: Vec<ClientState>,
}

impl Clients {
    /// Clients that have not sent their requests.
    pub(super) fn new(count: usize) -> Clients {
        Clients {
            states: vec![ClientState::NotStarted; count],
        }
    }

    /// All clients by their number.
    pub(super) fn states(&self) -> &[ClientState] {
        &self.states
    }

    /// Number of clients that have their answer.
    pub(super) fn answered(&self) -> usize {
        let is_answered = |client: &&ClientState| matches!(client, ClientState::Answered(_));
        self.states.iter().filter(is_answered).count()
    }

    /// Whether any client waits for its answer.
    pub(super) fn any_waits(&self) -> bool {
        self.states.iter().any(ClientState::is_waiting)
    }

    /// Whether a client waits for the answer to this request.
    pub(super) fn any_waits_for(&self, request: RequestId) -> bool {
        self.deadline_of(request).is_some()
    }

    /// When the client that waits for the answer to a request gives up, if one waits.
    pub(super) fn deadline_of(&self, request: RequestId) -> Option<Nanos> {
        self.states.iter().find_map(|client| match client {
            ClientState::Waiting { id, deadline } if *id == request => Some(*deadline),
            _ => None,
        })
    }

    /// The next client that has not sent its request.
    pub(super) fn next_to_send(&self) -> Option<usize> {
        self.states
            .iter()
            .position(|client| *client == ClientState::NotStarted)
    }

    /// The request that a client waits for.
    pub(super) fn waiting_request(&self, client: usize) -> Option<RequestId> {
        match self.states[client] {
            ClientState::Waiting { id, .. } => Some(id),
            _ => None,
        }
    }

    /// Whether the request of a client was answered with a rejection.
    pub(super) fn is_rejected(&self, client: usize) -> bool {
        matches!(
            self.states[client],
            ClientState::Answered(FinalAnswer::Rejected(_))
        )
    }

    /// The client of a request: identifiers are allocated in the order in which clients send.
    pub(super) fn sender_of(&self, request: RequestId) -> Option<usize> {
        usize::try_from(request.0)
            .ok()
            .filter(|client| *client < self.states.len())
    }

    /// To whom the answer to a request goes.
    pub(super) fn addressee_of(&self, request: RequestId) -> Addressee {
        let addressees = self.states.iter().enumerate();
        let mut addressees = addressees.filter_map(|(client, state)| match state {
            ClientState::Waiting { id, .. } if *id == request => Some(Addressee::Waiting(client)),
            ClientState::Left { id } if *id == request => Some(Addressee::Left),
            _ => None,
        });
        addressees.next().unwrap_or(Addressee::Nobody)
    }

    /// A client sends its request.
    pub(super) fn send(&mut self, client: usize, id: RequestId, deadline: Nanos) {
        self.states[client] = ClientState::Waiting { id, deadline };
    }

    /// A client leaves without an answer to its request.
    pub(super) fn leave(&mut self, client: usize, id: RequestId) {
        self.states[client] = ClientState::Left { id };
    }

    /// A client gets its answer.
    pub(super) fn answer(&mut self, client: usize, answer: FinalAnswer) {
        self.states[client] = ClientState::Answered(answer);
    }

    /// Hashes all clients, with points in time relative to `now`.
    pub(super) fn fingerprint<H: Hasher>(&self, now: Nanos, hasher: &mut H) {
        for client in &self.states {
            match client {
                ClientState::Waiting { id, deadline } => (1, id, now - deadline).hash(hasher),
                // The retry-after time of a rejection has no effect on what follows.
                ClientState::Answered(FinalAnswer::Rejected(_)) => 2.hash(hasher),
                other => other.hash(hasher),
            }
        }
    }
}
