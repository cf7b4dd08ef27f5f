//! Passes inputs to the request tracker and carries out its effects.

use std::rc::Rc;
use std::time::Duration;

use tokio::time::sleep;
use tulipbridge_core::request_tracker::{Effect, FinalAnswer, Input};
use tulipbridge_core::{Nanos, NodeId, RequestId, RuntimeCommand};

use super::attempt_observer::ExchangeObserver;
use super::attempt_run::{run_attempt, AttemptKey, InputWithAnswer};
use super::state::{AnswerSender, AttemptStart};
use super::transport::{AttemptContext, Transport};
use super::withdrawal::SendLimits;
use super::{Exchange, FinalResponse};
use crate::telemetry::log::log;
use crate::telemetry::trace;

impl<T: Transport> Exchange<T> {
    /// Handles an input without an answer of a chunk server; see
    /// [`Exchange::handle_with_answer`].
    pub(super) fn handle(self: &Rc<Self>, input: Input) {
        self.handle_with_answer(InputWithAnswer {
            input,
            answer: None,
        });
    }

    /// Handles an input and the answer that came with it, if any. Updates of the state that the
    /// fronts share are applied first, because leases may have expired while this process was
    /// paused.
    fn handle_with_answer(self: &Rc<Self>, received: InputWithAnswer<T::Answer>) {
        if let Some(fleet_state) = self.fleet_state.get() {
            let updates = self
                .with_settings(|settings| fleet_state.updates_before(&received.input, settings));
            for update in updates {
                self.apply_fleet_update(update);
            }
        }
        self.pass_to_tracker(received.input, received.answer);
    }

    /// Passes an input to the tracker and carries out its effects. `answer` is the response of a
    /// chunk server that came with the input, if any.
    pub(super) fn pass_to_tracker(self: &Rc<Self>, input: Input, mut answer: Option<T::Answer>) {
        if trace::is_enabled() {
            trace::input(&input, |node| self.transport.name(node));
        }
        let now = self.clock.now();
        let effects = self.state.borrow_mut().handle(now, input);
        for effect in effects {
            self.report_violation(now, &effect);
            if trace::is_enabled() {
                trace::effect(&effect, |node| self.transport.name(node));
            }
            self.carry_out(effect, &mut answer);
        }
    }

    /// Logs and reports an effect that breaks a rule. The effect is carried out nevertheless, so
    /// that what happens stays consistent with what the decision module has recorded.
    fn report_violation(&self, now: Nanos, effect: &Effect) {
        let violation = self.state.borrow_mut().check_effect(now, effect);
        let Some(violation) = violation else {
            return;
        };
        log!(
            "exchange: request {}: rule {} broken: {effect:?}",
            violation.request,
            violation.rule.name()
        );
        (self.on_violation)(violation);
    }

    /// Carries out an effect. This passes no input to the tracker, directly or indirectly, so that
    /// inputs and effects keep their order.
    fn carry_out(self: &Rc<Self>, effect: Effect, answer: &mut Option<T::Answer>) {
        match effect {
            Effect::Send {
                id,
                attempt,
                node,
                deadline,
                begin_by,
            } => {
                let limits = SendLimits {
                    clock: self.clock,
                    begin_by: (begin_by < Nanos::MAX).then_some(begin_by),
                    deadline,
                };
                self.send(AttemptKey::new(id, attempt), node, limits);
            }
            Effect::Cancel { id, attempt } => {
                let key = AttemptKey::new(id, attempt);
                self.state.borrow().cancel(key);
            }
            Effect::Withdraw {
                id,
                attempt,
                outcome,
            } => {
                let key = AttemptKey::new(id, attempt);
                self.state.borrow().withdraw(key, outcome);
            }
            Effect::Answer {
                id,
                answer: final_answer,
            } => self.answer(id, final_response(final_answer, answer.take())),
            Effect::Release(id) => self.state.borrow_mut().release(id),
            Effect::Runtime(command) => self.run_command(command),
        }
    }

    /// Carries out a command of the decision module that concerns no request.
    fn run_command(self: &Rc<Self>, command: RuntimeCommand) {
        match command {
            RuntimeCommand::SetTimer { after, cookie } => self.set_timer(after, cookie),
            RuntimeCommand::Subscribe => self.endpoints_requested.notify_one(),
            RuntimeCommand::ForgetNode(node) => self.transport.forget(node),
            RuntimeCommand::Log { text, node } => log!("{text}: {}", self.transport.name(node)),
        }
    }

    /// Sends the final answer to the client of a request, unless it was sent before.
    fn answer(&self, id: RequestId, response: FinalResponse<T::Answer>) {
        let sender = self.state.borrow_mut().take_answer_sender(id);
        if let Some(sender) = sender {
            send_unless_disconnected(sender, response);
        }
    }

    /// Passes a timer input with `cookie` to the tracker once the time `after` has elapsed.
    fn set_timer(self: &Rc<Self>, after: Nanos, cookie: u64) {
        let exchange = Rc::clone(self);
        tokio::task::spawn_local(async move {
            sleep(Duration::from_nanos(after.max(0) as u64)).await;
            exchange.handle(Input::Timer(cookie));
        });
    }

    /// Starts an attempt, which ends by itself, at its deadline or when it is cancelled, whichever
    /// comes first. Does nothing for a request that is not pending.
    fn send(self: &Rc<Self>, key: AttemptKey, node: NodeId, limits: SendLimits) {
        let start = self.state.borrow().attempt_start(key, limits);
        let Some(AttemptStart {
            class,
            client_deadline,
            payload,
            withdrawal,
        }) = start
        else {
            return;
        };
        if let Some(fleet_state) = self.fleet_state.get() {
            fleet_state.attempt_sent(key, node, class);
        }
        let deadline = self.clock.instant(limits.deadline);
        let context = AttemptContext {
            deadline,
            client_deadline,
            withdrawal: withdrawal.clone(),
            observer: Rc::new(ExchangeObserver::new(self, key, node)),
        };
        let attempt = self.transport.attempt(node, payload, context);
        let exchange = Rc::clone(self);
        tokio::task::spawn_local(async move {
            let ended = run_attempt(key, attempt, deadline, withdrawal).await;
            exchange.handle_with_answer(ended);
        });
    }
}

/// Sends a final answer, which is dropped if the client has just disconnected.
fn send_unless_disconnected<A>(sender: AnswerSender<A>, response: FinalResponse<A>) {
    let _undelivered = sender.send(response);
}

/// Returns the answer for the client; `served` is the response of a chunk server, if one came with
/// the input.
fn final_response<A>(answer: FinalAnswer, served: Option<A>) -> FinalResponse<A> {
    match (answer, served) {
        (FinalAnswer::Served, Some(served)) => FinalResponse::Served(served),
        (FinalAnswer::Rejected(retry_after), _) => {
            FinalResponse::Rejected(Duration::from_nanos(retry_after as u64))
        }
        _ => FinalResponse::Failed,
    }
}
