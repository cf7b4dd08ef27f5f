//! Passing inputs to the request tracker and carrying out its effects.

use std::rc::Rc;
use std::time::Duration;

use tokio::time::sleep;
use tulipbridge_core::request_tracker::{Effect, FinalAnswer, Input};
use tulipbridge_core::{Nanos, NodeId, RequestId, RuntimeCommand};

use super::attempt_run::{run_attempt, AttemptKey, CompletedAttempt};
use super::state::{AnswerSender, AttemptStart};
use super::transport::Transport;
use super::withdrawal::SendLimits;
use super::{Exchange, FinalResponse};
use crate::telemetry::log::log;
use crate::telemetry::trace;

impl<T: Transport> Exchange<T> {
    /// Handles an input that brings no answer; see [`Exchange::handle_completed`].
    pub(super) fn handle(self: &Rc<Self>, input: Input) {
        self.handle_completed(CompletedAttempt {
            input,
            answer: None,
        });
    }

    /// Handles the input of an attempt that has ended, with its answer, if any. Updates of the
    /// shared state come first, since this process may have been paused and leases may have
    /// expired.
    fn handle_completed(self: &Rc<Self>, completed: CompletedAttempt<T::Answer>) {
        if let Some(fleet_state) = self.fleet_state.get() {
            let updates = self
                .with_settings(|settings| fleet_state.updates_before(&completed.input, settings));
            for update in updates {
                self.apply_fleet_update(update);
            }
        }
        self.process(completed.input, completed.answer);
    }

    /// Passes an input to the tracker and carries out its effects, with the answer that an attempt
    /// brought, if any.
    pub(super) fn process(self: &Rc<Self>, input: Input, mut answer: Option<T::Answer>) {
        if trace::is_enabled() {
            trace::input(&input, |node| self.transport.name(node));
        }
        let now = self.clock.now();
        let effects = self.state.borrow_mut().handle(now, input);
        for effect in effects {
            self.check(now, &effect);
            if trace::is_enabled() {
                trace::effect(&effect, |node| self.transport.name(node));
            }
            self.carry_out(effect, &mut answer);
        }
    }

    /// Logs and reports an effect that breaks a rule. It is carried out all the same: what the
    /// decisions have recorded must stay what happens.
    fn check(&self, now: Nanos, effect: &Effect) {
        let violation = self.state.borrow_mut().check(now, effect);
        let Some(violation) = violation else {
            return;
        };
        log!(
            "rule {} broken by request {}: {effect:?}",
            violation.rule.name(),
            violation.request
        );
        (self.on_violation)(violation);
    }

    /// Carries out an effect. Nothing in here passes an input to the tracker, so that inputs and
    /// effects keep their order.
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

    fn run_command(self: &Rc<Self>, command: RuntimeCommand) {
        match command {
            RuntimeCommand::SetTimer { after, cookie } => self.set_timer(after, cookie),
            RuntimeCommand::Subscribe => self.endpoints_requested.notify_one(),
            RuntimeCommand::ForgetNode(node) => self.transport.forget(node),
            RuntimeCommand::Log { text, node } => log!("{text}: {}", self.transport.name(node)),
        }
    }

    fn answer(&self, id: RequestId, response: FinalResponse<T::Answer>) {
        let sender = self.state.borrow_mut().take_answer_sender(id);
        if let Some(sender) = sender {
            send_unless_client_gone(sender, response);
        }
    }

    fn set_timer(self: &Rc<Self>, after: Nanos, cookie: u64) {
        let exchange = Rc::clone(self);
        tokio::task::spawn_local(async move {
            sleep(Duration::from_nanos(after.max(0) as u64)).await;
            exchange.handle(Input::Timer(cookie));
        });
    }

    /// Starts an attempt. It ends by itself, at its deadline, or when it is cancelled, whichever is
    /// first.
    fn send(self: &Rc<Self>, key: AttemptKey, node: NodeId, limits: SendLimits) {
        let start = self.state.borrow().attempt_start(key, limits);
        let Some(AttemptStart {
            class,
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
        let attempt = self
            .transport
            .attempt(node, payload, deadline, withdrawal.clone());
        let exchange = Rc::clone(self);
        tokio::task::spawn_local(async move {
            let completed = run_attempt(key, attempt, deadline, withdrawal).await;
            exchange.handle_completed(completed);
        });
    }
}

/// Sends a final answer. The client may be gone at this very moment; then nobody needs it.
fn send_unless_client_gone<A>(sender: AnswerSender<A>, response: FinalResponse<A>) {
    let _undelivered = sender.send(response);
}

/// The answer for the client; `served` is the response of a chunk server, if an attempt brought it.
fn final_response<A>(answer: FinalAnswer, served: Option<A>) -> FinalResponse<A> {
    match (answer, served) {
        (FinalAnswer::Served, Some(served)) => FinalResponse::Served(served),
        (FinalAnswer::Rejected(retry_after), _) => {
            FinalResponse::Rejected(Duration::from_nanos(retry_after as u64))
        }
        _ => FinalResponse::Failed,
    }
}
