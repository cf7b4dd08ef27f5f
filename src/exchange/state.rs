//! The mutable state of an exchange.
//!
//! [`ExchangeState`] knows neither the transport nor the peers nor the exchange that owns it, so
//! that none of its methods can call back into the exchange. The exchange keeps it in its only
//! `RefCell` and borrows it for one method call at a time.

use std::collections::HashMap;
use std::rc::Rc;

use tokio::sync::oneshot;
use tulipbridge_core::invariant_monitor::{InvariantMonitor, Violation};
use tulipbridge_core::request_tracker::{Effect, Input, RequestTracker};
use tulipbridge_core::settings_reload::ReplacedEntry;
use tulipbridge_core::stall_detector::StallDetector;
use tulipbridge_core::{Nanos, Outcome, RequestId, Scheduler, Settings, SettingsError};

use super::attempt_run::AttemptKey;
use super::withdrawal::{CommandSender, SendLimits, Withdrawal};
use super::{EndpointCounts, FinalResponse};

/// Sends the final answer to the client of a request.
pub(super) type AnswerSender<A> = oneshot::Sender<FinalResponse<A>>;

/// The payload and the client of a request in the tracker.
struct PendingRequest<P, A> {
    payload: Rc<P>,
    class: usize,
    /// Taken by the final answer.
    answer: Option<AnswerSender<A>>,
    commands: CommandSender,
}

/// What the transport needs to start an attempt.
pub(super) struct AttemptStart<P> {
    /// The class of the request.
    pub class: usize,
    pub payload: Rc<P>,
    pub withdrawal: Withdrawal,
}

/// Requests with payloads `P` that wait for answers `A`, and the machines that decide on them.
pub(super) struct ExchangeState<P, A> {
    tracker: RequestTracker<Scheduler>,
    /// Each request of the tracker, until the tracker releases it.
    pending: HashMap<RequestId, PendingRequest<P, A>>,
    /// Detects from the times of inputs when this process was held up.
    stalls: StallDetector,
    /// Checks the effects against the rules, independently of the decisions.
    monitor: InvariantMonitor,
}

impl<P, A> ExchangeState<P, A> {
    /// A state without requests.
    ///
    /// # Errors
    /// When the settings are invalid.
    pub fn new(settings: Settings, seed: u64, now: Nanos) -> Result<Self, SettingsError> {
        let scheduler = Scheduler::new(settings, seed, now)?;
        Ok(ExchangeState {
            tracker: RequestTracker::new(scheduler),
            pending: HashMap::new(),
            stalls: StallDetector::default(),
            monitor: InvariantMonitor::default(),
        })
    }

    /// The settings in force.
    pub fn settings(&self) -> &Settings {
        self.tracker.decisions().settings()
    }

    /// Applies new settings; see [`Scheduler::apply_settings`].
    ///
    /// # Errors
    /// When the settings are invalid; then nothing changes.
    pub fn apply_settings(
        &mut self,
        settings: Settings,
        replaced_classes: &[ReplacedEntry],
    ) -> Result<(), SettingsError> {
        self.tracker
            .decisions_mut()
            .apply_settings(settings, replaced_classes)
    }

    /// How many chunk servers the decision module has.
    pub fn endpoint_counts(&self) -> EndpointCounts {
        let counts = self.tracker.decisions().node_counts();
        EndpointCounts {
            listed: counts.listed,
            avoided: counts.avoided,
        }
    }

    /// The number of requests that are not answered or have attempts in flight.
    pub fn request_count(&self) -> usize {
        self.tracker.requests().len()
    }

    /// The earliest time at which a request that is read now may have arrived.
    pub fn earliest_arrival(&mut self, now: Nanos) -> Nanos {
        self.stalls.event(now);
        self.stalls.earliest_arrival(now)
    }

    /// Assigns an id to a request and stores its payload.
    pub fn register(&mut self, class: usize, payload: P, answer: AnswerSender<A>) -> RequestId {
        let id = self.tracker.allocate_id();
        let pending = PendingRequest {
            payload: Rc::new(payload),
            class,
            answer: Some(answer),
            commands: CommandSender::new(),
        };
        self.pending.insert(id, pending);
        id
    }

    /// Passes an input to the tracker. Returns the effects to carry out, in their order.
    pub fn handle(&mut self, now: Nanos, input: Input) -> Vec<Effect> {
        self.stalls.event(now);
        let settings = self.tracker.decisions().settings();
        self.monitor.input(&input, settings);
        let mut effects = Vec::new();
        self.tracker.on(now, input, &mut effects);
        effects
    }

    /// Checks an effect that is about to be carried out against the rules of requests.
    pub fn check(&mut self, now: Nanos, effect: &Effect) -> Option<Violation> {
        self.monitor.effect(now, effect)
    }

    /// What an attempt of a pending request starts with.
    pub fn attempt_start(&self, key: AttemptKey, limits: SendLimits) -> Option<AttemptStart<P>> {
        let pending = self.pending.get(&key.request)?;
        Some(AttemptStart {
            class: pending.class,
            payload: Rc::clone(&pending.payload),
            withdrawal: pending.commands.withdrawal(key.attempt, limits),
        })
    }

    /// Drops an attempt of a pending request.
    pub fn cancel(&self, key: AttemptKey) {
        if let Some(pending) = self.pending.get(&key.request) {
            pending.commands.cancel(key.attempt);
        }
    }

    /// Ends an attempt of a pending request with `outcome` unless it has started to write.
    pub fn withdraw(&self, key: AttemptKey, outcome: Outcome) {
        if let Some(pending) = self.pending.get(&key.request) {
            pending.commands.withdraw(key.attempt, outcome);
        }
    }

    /// The sender for the final answer of a pending request, which is taken once.
    pub fn take_answer_sender(&mut self, id: RequestId) -> Option<AnswerSender<A>> {
        self.pending.get_mut(&id)?.answer.take()
    }

    /// Drops what is stored for a request that the tracker has dropped.
    pub fn release(&mut self, id: RequestId) {
        self.pending.remove(&id);
    }
}
