//! The transitions of the request model: what each step changes.

use tulipbridge_core::attempt::AttemptEvent;
use tulipbridge_core::request_tracker::Input;
use tulipbridge_core::{Listed, Nanos, NodeId, Outcome, RequestId, ShardId, UpdateScope};

use super::effects::ResponseOrigin;
use super::state::{AttemptKey, ClientState, ConnectionId, NodeState};
use super::{RequestModel, State, Step, WatchUpdate, STALL};

impl State {
    /// Passes an input to the request tracker and carries out the effects.
    pub(super) fn feed(&mut self, model: &RequestModel, input: Input) {
        self.feed_from(model, input, ResponseOrigin::NoResponse);
    }

    /// Like [`State::feed`], where the input comes with a response.
    pub(super) fn feed_from(&mut self, model: &RequestModel, input: Input, origin: ResponseOrigin) {
        let mut effects = Vec::new();
        self.tracker.on(self.now, input, &mut effects);
        self.apply_effects(model, effects, origin);
    }

    /// Takes a step.
    pub(super) fn take(&mut self, model: &RequestModel, step: &Step) {
        self.faults += u8::from(self.is_fault(step));
        match *step {
            Step::ClientSends(client) => self.client_sends(model, client),
            Step::ClientDisconnects(client) => self.client_disconnects(model, client),
            Step::RequestOverdue(client) => self.request_overdue(model, client),
            Step::ConnectionEstablished(id) => self.connection_established(model, id),
            Step::ConnectionRefused(id) | Step::DialTimesOut(id) => {
                self.end_connection(model, id, AttemptEvent::ConnectFailed);
            }
            Step::PartWritten(id) => self.write(model, id, false),
            Step::LastByteWritten(id) => self.write(model, id, true),
            Step::ConnectionBreaks(id) => self.break_connection(model, id),
            Step::ServerCloses(id) => {
                self.connections
                    .entry(id)
                    .and_modify(|connection| connection.closed_by_server = true);
            }
            Step::UnsolicitedBytes(id) => {
                self.connections
                    .entry(id)
                    .and_modify(|connection| connection.unsolicited_bytes = true);
            }
            Step::UnsolicitedBytesRead(id) => self.read_unsolicited_bytes(model, id),
            Step::ServerExecutes(index) => self.server_executes(index),
            Step::ServerDrops(index) => {
                self.server_work.remove(index);
            }
            Step::ResponseArrives(index) => self.response_arrives(model, index, Outcome::Served),
            Step::UnreadableResponse(index) => self.unreadable_response(model, index),
            Step::ServerError(index) => self.response_arrives(model, index, Outcome::Error),
            Step::ServerRejects(index) => self.response_arrives(model, index, Outcome::Rejected),
            Step::AttemptDropped(id, attempt) => {
                self.drop_attempt(AttemptKey {
                    request: id,
                    attempt,
                });
                self.feed(model, Input::AttemptCancelled { id, attempt });
            }
            Step::AttemptWithdrawn(request, attempt) => {
                self.withdraw_attempt(model, AttemptKey { request, attempt });
            }
            Step::AttemptTimesOut(id, attempt) => {
                self.drop_attempt(AttemptKey {
                    request: id,
                    attempt,
                });
                self.feed(model, Input::AttemptTimedOut { id, attempt });
            }
            Step::WatchUpdated(index) => self.watch_updated(model, index),
            Step::ClockAdvances => self.advance_clock(model, model.clock_step),
            Step::FrontStalls => self.advance_clock(model, STALL),
            Step::TimerDue(cookie) => {
                self.timers.retain(|timer| timer.cookie != cookie);
                self.feed(model, Input::Timer(cookie));
            }
            Step::Decision(ref action) => {
                let mut effects = Vec::new();
                self.tracker
                    .apply_decision(self.now, action.clone(), &mut effects);
                self.apply_effects(model, effects, ResponseOrigin::NoResponse);
            }
        }
    }

    /// Whether a step counts against [`RequestModel::max_faults`].
    fn is_fault(&self, step: &Step) -> bool {
        match step {
            // That the server closed the connection was the fault.
            Step::ConnectionBreaks(id) => self
                .connections
                .get(id)
                .is_some_and(|connection| !connection.closed_by_server),
            Step::ClientDisconnects(_)
            | Step::ConnectionRefused(_)
            | Step::ServerCloses(_)
            | Step::UnsolicitedBytes(_)
            | Step::UnreadableResponse(_)
            | Step::ServerError(_)
            | Step::ServerRejects(_)
            | Step::FrontStalls => true,
            _ => false,
        }
    }

    fn client_sends(&mut self, model: &RequestModel, client: usize) {
        let id = self.tracker.allocate_id();
        let deadline = self.now + model.requests[client].timeout;
        self.clients[client] = ClientState::Waiting { id, deadline };
        self.feed(model, Input::RequestReceived(model.request(client, id)));
    }

    fn client_disconnects(&mut self, model: &RequestModel, client: usize) {
        if let Some(id) = self.waiting_request(client) {
            self.clients[client] = ClientState::Left { id };
            self.feed(model, Input::ClientGone(id));
        }
    }

    fn request_overdue(&mut self, model: &RequestModel, client: usize) {
        if let Some(id) = self.waiting_request(client) {
            self.feed(model, Input::Overdue(id));
        }
    }

    fn waiting_request(&self, client: usize) -> Option<RequestId> {
        match self.clients[client] {
            ClientState::Waiting { id, .. } => Some(id),
            _ => None,
        }
    }

    fn connection_established(&mut self, model: &RequestModel, id: ConnectionId) {
        let Some(connection) = self.connections.get_mut(&id) else {
            return;
        };
        connection.established = true;
        if let Some(attempt) = connection.attempt {
            self.drive_attempt(model, attempt, AttemptEvent::Connected);
        }
    }

    fn server_executes(&mut self, index: usize) {
        let work = &mut self.server_work[index];
        work.executed = true;
        self.executions[work.client] += 1;
        if work.orphaned {
            self.server_work.remove(index);
        }
    }

    fn advance_clock(&mut self, model: &RequestModel, by: Nanos) {
        self.clock_steps = self
            .clock_steps
            .saturating_add(1)
            .min(model.max_clock_steps + 1);
        self.now += by;
    }

    fn watch_updated(&mut self, model: &RequestModel, index: usize) {
        self.next_update += 1;
        match model.watch_updates[index] {
            WatchUpdate::WatchLost => {
                let lost = Input::Endpoints {
                    scope: UpdateScope::Unavailable,
                    nodes: Vec::new(),
                };
                self.feed(model, lost);
            }
            WatchUpdate::NodeDraining(node) => {
                self.nodes[node.0].listed = Listed::Draining;
                self.report_node(model, node);
            }
            WatchUpdate::NodeRemoved(node) => {
                self.nodes[node.0].listed = Listed::Removed;
                self.report_node(model, node);
            }
            WatchUpdate::ShardTakenOver(node, shard) => {
                self.start_node(node, shard);
                self.report_node(model, node);
            }
            WatchUpdate::AddressChanged(node) => {
                for (id, _) in self.pool.address_changed(node) {
                    self.close(id);
                }
            }
        }
    }

    fn start_node(&mut self, node: NodeId, shard: ShardId) {
        let started = NodeState {
            listed: Listed::Up,
            shard,
            started_at: self.now,
            forgotten: false,
        };
        if node == NodeId(self.nodes.len()) {
            self.nodes.push(started);
        } else {
            self.nodes[node.0] = started;
        }
        self.pool.add(node);
    }

    fn report_node(&mut self, model: &RequestModel, node: NodeId) {
        let nodes = vec![self.node_info(node)];
        self.feed(
            model,
            Input::Endpoints {
                scope: UpdateScope::Update,
                nodes,
            },
        );
    }
}
