//! The transitions of the client connection model: what each step changes.

use tulipbridge_core::client_connection::{ClientConnection, ClientEvent, Phase};
use tulipbridge_core::connection_limiter::Accept;
use tulipbridge_core::graceful_shutdown::{GracefulShutdown, ShutdownEvent, ShutdownStep};

use super::state::{ClientState, ConnectionId, FrontState, RequestProgress, Shutdown, Socket};
use super::{
    ClientConnectionModel, State, Step, CLOCK_STEPS, LONGEST_DEADLINE, MAX_EXIT_TIME,
    REQUEST_TIMEOUT,
};

impl State {
    /// Takes a step.
    pub(super) fn take(&mut self, model: &ClientConnectionModel, step: Step) {
        match step {
            Step::ClientConnects(client) => self.clients[client] = ClientState::Queued,
            Step::ClientSendsPart(client) => self.client_sends(client, false),
            Step::ClientSendsRest(client) => self.client_sends(client, true),
            Step::ClientCloses(client) => self.client_closes(client),
            Step::FrontAccepts => {
                self.ensure_capacity();
                self.admit();
                self.advance_shutdown(ShutdownEvent::Accepted);
            }
            Step::FrontReads(id) => self.read(id),
            Step::FrontResponds(id) => self.respond(id),
            Step::BodyTimesOut(id) => {
                self.notify(id, ClientEvent::RequestReceived);
                self.notify(id, ClientEvent::Answered);
                self.start_closing(id);
            }
            Step::LingeringEnds(id) => self.close(id),
            Step::DrainedConnectionClosed(id) => {
                let has_begun = self
                    .sockets
                    .get(&id)
                    .is_some_and(|socket| socket.sent > RequestProgress::Nothing);
                self.violations.closed_across_request |= has_begun;
                self.close(id);
            }
            Step::TimeoutsChecked => self.close_timed_out(),
            Step::ClockAdvances(index) => {
                self.check_request_timeouts();
                self.clock_steps = self
                    .clock_steps
                    .saturating_add(1)
                    .min(model.max_clock_steps);
                self.now += CLOCK_STEPS[index];
            }
            Step::Sigterm => {
                let (machine, step) = GracefulShutdown::new(self.now, LONGEST_DEADLINE);
                self.sigterm_at = self.now;
                self.front = FrontState::ShuttingDown(Shutdown {
                    machine,
                    step,
                    since: self.now,
                });
            }
            Step::AcceptTimesOut => self.advance_shutdown(ShutdownEvent::AcceptTimedOut),
            Step::ShutdownPolled => self.poll_shutdown(),
        }
    }

    /// Whether the front would accept a connection now without waiting; tried on a copy.
    pub(super) fn can_accept(&self) -> bool {
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
            last_attempt = Some((next, candidate.is_some()));
        }
    }

    fn eviction_candidate(&self, idle_only: bool) -> Option<ConnectionId> {
        let connections = self
            .connections
            .iter()
            .map(|(id, connection)| (*id, *connection));
        let has_unread_request = |id| self.is_idle_with_unread_bytes(id);
        self.limiter
            .eviction_candidate(self.now, idle_only, connections, has_unread_request)
    }

    /// Accepts the first client in the queue.
    fn admit(&mut self) {
        let queued = self
            .clients
            .iter()
            .position(|client| *client == ClientState::Queued);
        let Some(client) = queued else { return };
        let id = (0..)
            .find(|id| !self.connections.contains_key(id))
            .unwrap_or_default();
        self.connections.insert(id, ClientConnection::new(self.now));
        self.sockets.insert(id, Socket::new(self.now));
        self.clients[client] = ClientState::Connected(id);
    }

    /// The front closes a connection of its own accord.
    fn close(&mut self, id: ConnectionId) {
        let Some(connection) = self.connections.remove(&id) else {
            return;
        };
        let Some(socket) = self.sockets.remove(&id) else {
            return;
        };
        let phase = connection.phase().0;
        self.violations.open_request_closed |= phase == Phase::Responding;
        self.violations.closed_across_request |= phase == Phase::Idle && socket.has_unread_bytes();
        for client in self
            .clients
            .iter_mut()
            .filter(|client| **client == ClientState::Connected(id))
        {
            *client = ClientState::Disconnected;
        }
    }

    fn close_timed_out(&mut self) {
        let ids = self.connections.keys().copied();
        let timed_out: Vec<ConnectionId> = ids.filter(|id| self.has_timed_out(*id)).collect();
        for id in timed_out {
            self.close(id);
        }
    }

    /// Passes an event to the machine of a connection.
    fn notify(&mut self, id: ConnectionId, event: ClientEvent) {
        let now = self.now;
        self.connections
            .entry(id)
            .and_modify(|connection| connection.on(now, event));
    }

    fn client_closes(&mut self, client: usize) {
        if let ClientState::Connected(id) = self.clients[client] {
            self.connections.remove(&id);
            self.sockets.remove(&id);
        }
        self.clients[client] = ClientState::Disconnected;
    }

    /// A client sends the next part of its request, or with `all` all the rest.
    fn client_sends(&mut self, client: usize, all: bool) {
        let ClientState::Connected(id) = self.clients[client] else {
            return;
        };
        let Some(socket) = self.sockets.get_mut(&id) else {
            return;
        };
        if socket.sent == RequestProgress::Nothing && socket.answered > 0 {
            socket.since = self.now;
        }
        socket.sent = match socket.sent {
            _ if all => RequestProgress::Complete,
            RequestProgress::Nothing => RequestProgress::HalfHead,
            RequestProgress::HalfHead => RequestProgress::Head,
            RequestProgress::Head | RequestProgress::Complete => RequestProgress::Complete,
        };
    }

    /// The front reads all that has arrived on a connection.
    fn read(&mut self, id: ConnectionId) {
        let Some(socket) = self.sockets.get_mut(&id) else {
            return;
        };
        socket.read = socket.sent;
        let event = match socket.sent {
            RequestProgress::Nothing => return,
            RequestProgress::HalfHead => ClientEvent::HeadStarted,
            RequestProgress::Head => ClientEvent::BodyStarted,
            RequestProgress::Complete => ClientEvent::RequestReceived,
        };
        // The events of a request come in their order, also where it arrives in one piece.
        let phase = self.phase(id);
        if matches!(phase, Some(Phase::New | Phase::Idle)) {
            self.notify(id, ClientEvent::HeadStarted);
        }
        if event == ClientEvent::RequestReceived && phase != Some(Phase::ReadingBody) {
            self.notify(id, ClientEvent::BodyStarted);
        }
        self.notify(id, event);
    }

    /// The open request is answered. A front that drains closes each connection after its present
    /// response.
    fn respond(&mut self, id: ConnectionId) {
        self.notify(id, ClientEvent::Answered);
        let Some(socket) = self.sockets.get_mut(&id) else {
            return;
        };
        socket.sent = RequestProgress::Nothing;
        socket.read = RequestProgress::Nothing;
        socket.answered += 1;
        if self.front.is_draining() {
            self.start_closing(id);
        }
    }

    fn start_closing(&mut self, id: ConnectionId) {
        self.notify(id, ClientEvent::Closing);
        self.sockets
            .entry(id)
            .and_modify(|socket| socket.closing = true);
    }

    /// Passes an event to the shutdown in progress, if there is one.
    fn advance_shutdown(&mut self, event: ShutdownEvent) {
        let FrontState::ShuttingDown(Shutdown { mut machine, .. }) = self.front else {
            return;
        };
        let step = machine.on(self.now, event);
        self.front = FrontState::ShuttingDown(Shutdown {
            machine,
            step,
            since: self.now,
        });
        if step == ShutdownStep::StopAccepting {
            while self.clients.contains(&ClientState::Queued) && self.ensure_capacity() {
                self.admit();
            }
            self.poll_shutdown();
        }
    }

    /// The front that shuts down checks whether it may exit.
    fn poll_shutdown(&mut self) {
        let FrontState::ShuttingDown(Shutdown { mut machine, .. }) = self.front else {
            return;
        };
        let is_busy = |(id, connection): &(&ConnectionId, &ClientConnection)| {
            connection.has_pending_work(self.now, self.has_unread_bytes(**id))
        };
        let busy = self.connections.iter().filter(is_busy).count();
        let connections = self.connections.len();
        let step = machine.on(self.now, ShutdownEvent::Poll { connections, busy });
        if step == ShutdownStep::Exit {
            self.front = FrontState::Exited;
            self.check_exit();
        } else {
            self.front = FrontState::ShuttingDown(Shutdown {
                machine,
                step,
                since: self.now,
            });
        }
    }

    /// Checks that no request is open when the front exits before its time is up.
    fn check_exit(&mut self) {
        let has_open_request =
            |socket: &Socket| socket.sent > RequestProgress::Nothing && !socket.closing;
        let any_open = self.sockets.values().any(has_open_request);
        let is_early = self.now < self.sigterm_at + MAX_EXIT_TIME;
        self.violations.exited_with_open_request |= any_open && is_early;
    }

    /// Checks that no request has timed out on an open connection. Called before the clock
    /// advances, after all that was due has been done.
    fn check_request_timeouts(&mut self) {
        if self.front != FrontState::Serving {
            return;
        }
        for socket in self.sockets.values().filter(|socket| !socket.closing) {
            let is_first = socket.answered == 0;
            let is_idle = !is_first && socket.sent == RequestProgress::Nothing;
            let is_complete = socket.sent == RequestProgress::Complete || is_idle;
            let has_timed_out = self.now >= socket.since + REQUEST_TIMEOUT;
            self.violations.request_timeout_missed |= !is_complete && has_timed_out;
        }
    }
}
