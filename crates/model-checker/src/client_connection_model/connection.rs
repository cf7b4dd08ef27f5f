//! A connection from a client, as the client, the kernel and the front know it together.

use std::hash::{Hash, Hasher};

use tulipbridge_core::client_connection::{ClientConnection, ClientEvent, Phase};
use tulipbridge_core::Nanos;

use super::{hashed_age, REQUEST_TIMEOUT};

/// Number of a client's connection.
pub(super) type ConnectionId = u64;

/// How much of a request has been sent or read.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub(super) enum RequestProgress {
    /// No byte.
    Nothing,
    /// A part of the head.
    HalfHead,
    /// The head, and not all of the body.
    Head,
    /// All of the request.
    Complete,
}

impl RequestProgress {
    /// What is sent after the next part of the request.
    fn next(self) -> RequestProgress {
        match self {
            RequestProgress::Nothing => RequestProgress::HalfHead,
            RequestProgress::HalfHead => RequestProgress::Head,
            RequestProgress::Head | RequestProgress::Complete => RequestProgress::Complete,
        }
    }
}

/// A connection that the front has accepted.
#[derive(Clone, Copy, Debug)]
pub(super) struct Connection {
    machine: ClientConnection,
    /// How much of its present request the client has sent.
    sent: RequestProgress,
    /// How much of that the front has read.
    read: RequestProgress,
    /// When the connection was accepted, or the first byte of the present request arrived.
    since: Nanos,
    /// Number of requests that were answered on it.
    answered: u8,
    /// The front has closed its sending side, and reads what still arrives for a while.
    closing: bool,
}

impl Connection {
    /// A connection that the front accepts at `now`.
    pub(super) fn accepted(now: Nanos) -> Connection {
        Connection {
            machine: ClientConnection::new(now),
            sent: RequestProgress::Nothing,
            read: RequestProgress::Nothing,
            since: now,
            answered: 0,
            closing: false,
        }
    }

    /// The machine that ships.
    pub(super) fn machine(&self) -> &ClientConnection {
        &self.machine
    }

    /// The phase that the front considers it to be in.
    pub(super) fn phase(&self) -> Phase {
        self.machine.phase()
    }

    /// How much of its present request the client has sent.
    pub(super) fn sent(&self) -> RequestProgress {
        self.sent
    }

    /// Number of requests that were answered on it.
    pub(super) fn answered(&self) -> u8 {
        self.answered
    }

    /// Whether the front has closed its sending side.
    pub(super) fn is_closing(&self) -> bool {
        self.closing
    }

    /// Whether the client has sent anything of a request that is not answered.
    pub(super) fn has_begun_request(&self) -> bool {
        self.sent > RequestProgress::Nothing
    }

    /// Whether the front has not read all that the client has sent.
    pub(super) fn has_unread_bytes(&self) -> bool {
        self.read < self.sent
    }

    /// Whether bytes wait on it although the front considers it idle.
    pub(super) fn is_idle_with_unread_bytes(&self) -> bool {
        self.has_unread_bytes() && self.phase() == Phase::Idle
    }

    /// Whether the front closes it when it next checks timeouts.
    pub(super) fn has_timed_out(&self, now: Nanos, is_scarce: bool) -> bool {
        self.machine
            .has_timed_out(now, is_scarce, || self.is_idle_with_unread_bytes())
    }

    /// Whether a request is arriving on it, as a front that shuts down sees it.
    pub(super) fn is_arriving(&self, now: Nanos) -> bool {
        self.machine.is_arriving(now, self.has_unread_bytes())
    }

    /// Whether a front that shuts down waits for it.
    pub(super) fn has_pending_work(&self, now: Nanos) -> bool {
        self.machine.has_pending_work(now, self.has_unread_bytes())
    }

    /// Whether the time of a request that is not complete is over, whatever the front believes.
    pub(super) fn request_timed_out(&self, now: Nanos) -> bool {
        let is_idle = self.answered > 0 && self.sent == RequestProgress::Nothing;
        let is_incomplete = self.sent != RequestProgress::Complete && !is_idle;
        is_incomplete && now >= self.since + REQUEST_TIMEOUT
    }

    /// The client sends the next part of its request.
    pub(super) fn send_part(&mut self, now: Nanos) {
        self.send(self.sent.next(), now);
    }

    /// The client sends all the rest of its request.
    pub(super) fn send_rest(&mut self, now: Nanos) {
        self.send(RequestProgress::Complete, now);
    }

    /// The client sends up to a point of its request.
    fn send(&mut self, sent: RequestProgress, now: Nanos) {
        if self.sent == RequestProgress::Nothing && self.answered > 0 {
            self.since = now;
        }
        self.sent = sent;
    }

    /// The front reads all that has arrived.
    pub(super) fn read(&mut self, now: Nanos) {
        self.read = self.sent;
        let event = match self.sent {
            RequestProgress::Nothing => return,
            RequestProgress::HalfHead => ClientEvent::HeadStarted,
            RequestProgress::Head => ClientEvent::BodyStarted,
            RequestProgress::Complete => ClientEvent::RequestReceived,
        };
        // The events of a request come in their order, also where it arrives in one piece.
        let phase = self.phase();
        if matches!(phase, Phase::New | Phase::Idle) {
            self.machine.on(now, ClientEvent::HeadStarted);
        }
        if event == ClientEvent::RequestReceived && phase != Phase::ReadingBody {
            self.machine.on(now, ClientEvent::BodyStarted);
        }
        self.machine.on(now, event);
    }

    /// The front has answered the open request.
    pub(super) fn respond(&mut self, now: Nanos) {
        self.machine.on(now, ClientEvent::Answered);
        self.sent = RequestProgress::Nothing;
        self.read = RequestProgress::Nothing;
        self.answered += 1;
    }

    /// The front answers a request whose body has not arrived in time, and starts to close.
    pub(super) fn time_out_body(&mut self, now: Nanos) {
        self.machine.on(now, ClientEvent::RequestReceived);
        self.machine.on(now, ClientEvent::Answered);
        self.start_closing(now);
    }

    /// The front closes its sending side.
    pub(super) fn start_closing(&mut self, now: Nanos) {
        self.machine.on(now, ClientEvent::Closing);
        self.closing = true;
    }

    /// Hashes everything that what can happen next depends on, with points in time relative to
    /// `now`, and ages only where they matter.
    pub(super) fn fingerprint<H: Hasher>(&self, now: Nanos, ages_matter: bool, hasher: &mut H) {
        let phase = self.machine.phase();
        phase.hash(hasher);
        if ages_matter {
            hashed_age(now, self.machine.phase_since()).hash(hasher);
            hashed_age(now, self.machine.connected_at()).hash(hasher);
            hashed_age(now, self.since).hash(hasher);
        }
        // The deadline also bounds a body that begins later.
        let may_read_body = matches!(phase, Phase::New | Phase::ReadingHead | Phase::ReadingBody);
        if ages_matter || may_read_body {
            let time_left = (now - self.machine.request_deadline()).min(0);
            time_left.hash(hasher);
        }
        (self.sent, self.read, self.answered, self.closing).hash(hasher);
    }
}
