//! The transitions of the client connection model: what each step changes.

use tulipbridge_core::client_connection::Phase;
use tulipbridge_core::connection_limiter::{Accept, EvictionAttempt};
use tulipbridge_core::graceful_shutdown::{ShutdownEvent, ShutdownStep};

use super::{ClientConnectionState, ClientState};
use crate::client_connection_model::connection::{Connection, ConnectionId};
use crate::client_connection_model::front::{FrontState, Shutdown};
use crate::client_connection_model::{ClientConnectionModel, Step, CLOCK_STEPS};
use crate::numbering::lowest_free_number;

impl ClientConnectionState {
    /// Takes a step.
    pub(in crate::client_connection_model) fn take(
        &mut self,
        model: &ClientConnectionModel,
        step: Step,
    ) {
        let now = self.now;
        match step {
            Step::ClientConnects(client) => self.clients[client] = ClientState::Queued,
            Step::ClientSendsPart(client) => {
                self.change_connection_of(client, |connection| connection.send_part(now));
            }
            Step::ClientSendsRest(client) => {
                self.change_connection_of(client, |connection| connection.send_rest(now));
            }
            Step::ClientCloses(client) => self.client_closes(client),
            Step::FrontAccepts => self.accept(),
            Step::FrontReads(id) => self.change_connection(id, |connection| connection.read(now)),
            Step::FrontResponds(id) => self.respond(id),
            Step::BodyTimesOut(id) => {
                self.change_connection(id, |connection| connection.time_out_body(now));
            }
            Step::LingeringEnds(id) => self.close(id),
            Step::DrainedConnectionClosed(id) => self.close_drained(id),
            Step::TimeoutsChecked => self.close_timed_out(),
            Step::ClockAdvances(index) => self.advance_clock(model, index),
            Step::Sigterm => self.front = FrontState::ShuttingDown(Shutdown::start(now)),
            Step::AcceptTimesOut => self.advance_shutdown(ShutdownEvent::AcceptTimedOut),
            Step::ShutdownPolled => self.poll_shutdown(),
        }
    }

    /// Time passes, by the entry of this index in [`CLOCK_STEPS`].
    fn advance_clock(&mut self, model: &ClientConnectionModel, index: usize) {
        self.check_request_timeouts();
        self.clock_steps = self
            .clock_steps
            .saturating_add(1)
            .min(model.max_clock_steps);
        self.now += CLOCK_STEPS[index];
    }

    /// Checks that no request has timed out on an open connection. Called before the clock
    /// advances, after all that was due has been done.
    fn check_request_timeouts(&mut self) {
        if self.front != FrontState::Serving {
            return;
        }
        let mut open = self
            .connections
            .values()
            .filter(|connection| !connection.is_closing());
        self.violations.request_timeout_missed |=
            open.any(|connection| connection.request_timed_out(self.now));
    }
}

/// Connections.
impl ClientConnectionState {
    /// Changes a connection, if it is still open.
    fn change_connection(&mut self, id: ConnectionId, change: impl FnOnce(&mut Connection)) {
        self.connections.entry(id).and_modify(change);
    }

    /// Changes the connection of a client, if it has one.
    fn change_connection_of(&mut self, client: usize, change: impl FnOnce(&mut Connection)) {
        if let ClientState::Connected(id) = self.clients[client] {
            self.change_connection(id, change);
        }
    }

    /// A client closes its connection, or leaves the queue.
    fn client_closes(&mut self, client: usize) {
        if let ClientState::Connected(id) = self.clients[client] {
            self.connections.remove(&id);
        }
        self.clients[client] = ClientState::Disconnected;
    }

    /// The front accepts the first client in the queue, after evicting a connection if need be.
    fn accept(&mut self) {
        self.ensure_capacity();
        self.admit();
        self.advance_shutdown(ShutdownEvent::Accepted);
    }

    /// Whether the front would accept a connection now without waiting; tried on a copy.
    pub(in crate::client_connection_model) fn can_accept(&self) -> bool {
        self.clone().ensure_capacity()
    }

    /// Evicts connections until one more may be accepted, as the listener does. Returns whether it
    /// may be.
    fn ensure_capacity(&mut self) -> bool {
        let mut last_attempt = None;
        loop {
            let next = self.limiter.accept(self.connections.len(), last_attempt);
            let idle_only = match next {
                Accept::Now => return true,
                Accept::Wait => return false,
                Accept::EvictIdle => true,
                Accept::EvictAny => false,
            };
            let candidate = self.eviction_candidate(idle_only);
            if let Some(id) = candidate {
                self.close(id);
            }
            last_attempt = Some(EvictionAttempt {
                step: next,
                evicted: candidate.is_some(),
            });
        }
    }

    /// The connection that the front evicts next, if there is one that it may evict.
    fn eviction_candidate(&self, idle_only: bool) -> Option<ConnectionId> {
        let connections = self
            .connections
            .iter()
            .map(|(id, connection)| (*id, *connection.machine()));
        let has_unread_request = |id| {
            self.connections
                .get(&id)
                .is_some_and(Connection::is_idle_with_unread_bytes)
        };
        self.limiter
            .eviction_candidate(self.now, idle_only, connections, has_unread_request)
    }

    /// Takes the first client from the queue.
    fn admit(&mut self) {
        let queued = self
            .clients
            .iter()
            .position(|client| *client == ClientState::Queued);
        if let Some(client) = queued {
            let id = lowest_free_number(&self.connections);
            self.connections.insert(id, Connection::accepted(self.now));
            self.clients[client] = ClientState::Connected(id);
        }
    }

    /// The open request is answered. A front that drains closes each connection after its present
    /// response.
    fn respond(&mut self, id: ConnectionId) {
        let now = self.now;
        let is_draining = self.front.is_draining();
        self.change_connection(id, |connection| {
            connection.respond(now);
            if is_draining {
                connection.start_closing(now);
            }
        });
    }

    /// The front closes a connection of its own accord.
    fn close(&mut self, id: ConnectionId) {
        let Some(connection) = self.connections.remove(&id) else {
            return;
        };
        self.violations.open_request_closed |= connection.phase() == Phase::Responding;
        self.violations.closed_across_request |= connection.is_idle_with_unread_bytes();
        for client in &mut self.clients {
            if *client == ClientState::Connected(id) {
                *client = ClientState::Disconnected;
            }
        }
    }

    /// A front that shuts down closes a connection without an open request.
    fn close_drained(&mut self, id: ConnectionId) {
        let connection = self.connections.get(&id);
        self.violations.closed_across_request |=
            connection.is_some_and(Connection::has_begun_request);
        self.close(id);
    }

    /// The front closes every connection that has timed out.
    fn close_timed_out(&mut self) {
        let timed_out: Vec<ConnectionId> = self
            .connections
            .iter()
            .filter(|(_, connection)| self.has_timed_out(connection))
            .map(|(id, _)| *id)
            .collect();
        for id in timed_out {
            self.close(id);
        }
    }
}

/// Shutdown.
impl ClientConnectionState {
    /// Passes an event to the shutdown in progress, if there is one.
    fn advance_shutdown(&mut self, event: ShutdownEvent) {
        let FrontState::ShuttingDown(mut shutdown) = self.front else {
            return;
        };
        let step = shutdown.advance(self.now, event);
        self.front = FrontState::ShuttingDown(shutdown);
        if step == ShutdownStep::StopAccepting {
            while self.has_queued_client() && self.ensure_capacity() {
                self.admit();
            }
            self.poll_shutdown();
        }
    }

    /// The front that shuts down checks whether it may exit.
    fn poll_shutdown(&mut self) {
        let FrontState::ShuttingDown(mut shutdown) = self.front else {
            return;
        };
        let busy = self
            .connections
            .values()
            .filter(|connection| connection.has_pending_work(self.now))
            .count();
        let connections = self.connections.len();
        // A response takes one step in this model, so that none is under way.
        let poll = ShutdownEvent::Poll {
            connections,
            busy,
            delivering: 0,
        };
        let step = shutdown.advance(self.now, poll);
        if step == ShutdownStep::Exit {
            self.check_exit(shutdown);
            self.front = FrontState::Exited;
        } else {
            self.front = FrontState::ShuttingDown(shutdown);
        }
    }

    /// Checks that no request is open when the front exits before its time is up.
    fn check_exit(&mut self, shutdown: Shutdown) {
        let any_open = self
            .connections
            .values()
            .any(|connection| connection.has_begun_request() && !connection.is_closing());
        self.violations.exited_with_open_request |= any_open && shutdown.is_early_exit(self.now);
    }
}
