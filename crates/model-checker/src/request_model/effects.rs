//! Carrying out the effects of the request tracker, in the place of the asynchronous code of the
//! front.

use tulipbridge_core::attempt::AttemptStep;
use tulipbridge_core::request_tracker::{Effect, FinalAnswer};
use tulipbridge_core::{Nanos, NodeId, RequestId, RuntimeCommand};

use super::state::{AttemptKey, ClientState, ModelAttempt, Timer};
use super::{RequestModel, State};

/// Whose response led to an effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ResponseOrigin {
    /// No response was read.
    NoResponse,
    /// The response of a server to the request of this client.
    Client(usize),
    /// Bytes that are no response to any request.
    Unsolicited,
}

impl State {
    /// Carries out effects in their order.
    pub(super) fn apply_effects(
        &mut self,
        model: &RequestModel,
        effects: Vec<Effect>,
        origin: ResponseOrigin,
    ) {
        for effect in effects {
            match effect {
                Effect::Send {
                    id,
                    attempt,
                    node,
                    deadline,
                    ..
                } => {
                    self.start_attempt(
                        model,
                        AttemptKey {
                            request: id,
                            attempt,
                        },
                        node,
                        deadline,
                    );
                }
                Effect::Cancel { id, attempt } => {
                    let key = AttemptKey {
                        request: id,
                        attempt,
                    };
                    self.attempts
                        .entry(key)
                        .and_modify(|attempt| attempt.cancelled = true);
                }
                Effect::Withdraw {
                    id,
                    attempt,
                    outcome,
                } => {
                    let key = AttemptKey {
                        request: id,
                        attempt,
                    };
                    self.attempts
                        .entry(key)
                        .and_modify(|attempt| attempt.withdrawn = Some(outcome));
                }
                Effect::Answer { id, answer } => self.answer_client(model, id, answer, origin),
                Effect::Runtime(command) => self.apply_command(command),
                Effect::Release(_) => {}
            }
        }
    }

    fn apply_command(&mut self, command: RuntimeCommand) {
        match command {
            RuntimeCommand::SetTimer { after, cookie } => {
                self.timers.retain(|timer| timer.cookie != cookie);
                self.timers.push(Timer {
                    due: self.now + after,
                    cookie,
                });
            }
            RuntimeCommand::ForgetNode(node) => self.forget_node(node),
            RuntimeCommand::Log { .. } | RuntimeCommand::Subscribe => {}
        }
    }

    fn start_attempt(
        &mut self,
        model: &RequestModel,
        key: AttemptKey,
        node: NodeId,
        deadline: Nanos,
    ) {
        self.check_send(model, key.request, node, deadline);
        self.attempts.insert(key, ModelAttempt::new(node, deadline));
        self.run_attempt(model, key, AttemptStep::AcquireConnection);
    }

    fn forget_node(&mut self, node: NodeId) {
        let in_use = self.attempts.values().any(|attempt| attempt.node == node);
        self.violations.node_forgotten_in_use |= in_use;
        self.nodes[node.0].forgotten = true;
        for (id, _) in self.pool.remove(node) {
            self.close(id);
        }
    }

    fn answer_client(
        &mut self,
        model: &RequestModel,
        id: RequestId,
        answer: FinalAnswer,
        origin: ResponseOrigin,
    ) {
        let is_addressee = |client: &ClientState| match client {
            ClientState::Waiting { id: waiting, .. } => *waiting == id,
            ClientState::Left { id: left } => *left == id,
            ClientState::NotStarted | ClientState::Answered(_) => false,
        };
        let Some(client) = self.clients.iter().position(is_addressee) else {
            self.violations.second_final_answer = true;
            return;
        };
        if matches!(self.clients[client], ClientState::Left { .. }) {
            self.violations.answer_after_client_left = true;
            return;
        }
        self.check_answer(model, client, id, answer, origin);
        self.clients[client] = ClientState::Answered(answer);
    }
}
