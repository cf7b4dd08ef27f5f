//! The mutable state of an exchange.
//!
//! [`ExchangeState`] has no reference to the transport, the peers or the exchange that owns it, so
//! none of its methods can call back into the exchange. The exchange keeps it in a `RefCell` and
//! borrows it for one method call at a time.

use std::collections::HashMap;
use std::rc::Rc;
use std::time::Instant;

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

/// What is stored for a request until the tracker releases it.
struct PendingRequest<P, A> {
    /// Shared by the attempts of the request.
    payload: Rc<P>,
    class: usize,
    /// When the client stops waiting.
    client_deadline: Instant,
    /// `None` once the final answer has been sent.
    answer: Option<AnswerSender<A>>,
    /// Cancels and withdraws attempts of the request.
    commands: CommandSender,
}

/// What is needed to start an attempt of a pending request.
pub(super) struct AttemptStart<P> {
    /// The class of the request.
    pub class: usize,
    /// When the client stops waiting.
    pub client_deadline: Instant,
    /// The request to send to the chunk server.
    pub payload: Rc<P>,
    /// Receives the commands to the attempt.
    pub withdrawal: Withdrawal,
}

/// The pending requests, with payloads `P` and answers `A`, and the state machines that decide on
/// them.
pub(super) struct ExchangeState<P, A> {
    tracker: RequestTracker<Scheduler>,
    /// The requests that the tracker has not released yet.
    pending: HashMap<RequestId, PendingRequest<P, A>>,
    /// Detects from the times of inputs when this process was stalled.
    stall_detector: StallDetector,
    /// Checks the effects against the rules of requests, independently of the decision module.
    monitor: InvariantMonitor,
}

impl<P, A> ExchangeState<P, A> {
    /// Creates a state without requests.
    ///
    /// # Errors
    /// Returns a [`SettingsError`] if the settings are invalid.
    pub fn new(settings: Settings, seed: u64, now: Nanos) -> Result<Self, SettingsError> {
        let scheduler = Scheduler::new(settings, seed, now)?;
        Ok(ExchangeState {
            tracker: RequestTracker::new(scheduler),
            pending: HashMap::new(),
            stall_detector: StallDetector::default(),
            monitor: InvariantMonitor::default(),
        })
    }

    /// Returns the settings in force.
    pub fn settings(&self) -> &Settings {
        self.tracker.decisions().settings()
    }

    /// Applies reloaded settings; see [`Scheduler::apply_settings`].
    ///
    /// # Errors
    /// Returns a [`SettingsError`] and changes nothing if the new settings cannot be applied.
    pub fn apply_settings(
        &mut self,
        settings: Settings,
        replaced_classes: &[ReplacedEntry],
    ) -> Result<(), SettingsError> {
        self.tracker
            .decisions_mut()
            .apply_settings(settings, replaced_classes)
    }

    /// Returns the number of chunk servers, and how many of them are avoided.
    pub fn endpoint_counts(&self) -> EndpointCounts {
        let counts = self.tracker.decisions().node_counts();
        EndpointCounts {
            listed: counts.listed,
            avoided: counts.avoided,
        }
    }

    /// Returns the number of requests that have no final answer or have attempts in flight.
    pub fn request_count(&self) -> usize {
        self.tracker.requests().len()
    }

    /// Returns the earliest time at which a request that is read now may have arrived, which may
    /// lie before `now` if this process was stalled.
    pub fn earliest_arrival(&mut self, now: Nanos) -> Nanos {
        self.stall_detector.event(now);
        self.stall_detector.earliest_arrival(now)
    }

    /// Assigns an id to a request and stores its payload and the sender for its answer.
    pub fn register(
        &mut self,
        class: usize,
        payload: P,
        client_deadline: Instant,
        answer: AnswerSender<A>,
    ) -> RequestId {
        let id = self.tracker.allocate_id();
        let pending = PendingRequest {
            payload: Rc::new(payload),
            class,
            client_deadline,
            answer: Some(answer),
            commands: CommandSender::new(),
        };
        self.pending.insert(id, pending);
        id
    }

    /// Passes an input to the tracker and returns the effects to carry out, in this order.
    pub fn handle(&mut self, now: Nanos, input: Input) -> Vec<Effect> {
        self.stall_detector.event(now);
        let settings = self.tracker.decisions().settings();
        self.monitor.input(&input, settings);
        let mut effects = Vec::new();
        self.tracker.on(now, input, &mut effects);
        effects
    }

    /// Returns whether a request would be sent again at once if its attempt ended now without a
    /// complete response.
    pub fn would_retry(&self, now: Nanos, key: AttemptKey) -> bool {
        self.tracker.would_retry(now, key.request, key.attempt)
    }

    /// Returns the violation of a rule of requests by an effect that is about to be carried out, if
    /// there is one.
    pub fn check_effect(&mut self, now: Nanos, effect: &Effect) -> Option<Violation> {
        self.monitor.effect(now, effect)
    }

    /// Returns what is needed to start an attempt; `None` if its request is not pending.
    pub fn attempt_start(&self, key: AttemptKey, limits: SendLimits) -> Option<AttemptStart<P>> {
        let pending = self.pending.get(&key.request)?;
        Some(AttemptStart {
            class: pending.class,
            client_deadline: pending.client_deadline,
            payload: Rc::clone(&pending.payload),
            withdrawal: pending.commands.withdrawal(key.attempt, limits),
        })
    }

    /// Cancels an attempt of a pending request.
    pub fn cancel(&self, key: AttemptKey) {
        if let Some(pending) = self.pending.get(&key.request) {
            pending.commands.cancel(key.attempt);
        }
    }

    /// Withdraws an attempt of a pending request: it ends with `outcome` unless it has started to
    /// write.
    pub fn withdraw(&self, key: AttemptKey, outcome: Outcome) {
        if let Some(pending) = self.pending.get(&key.request) {
            pending.commands.withdraw(key.attempt, outcome);
        }
    }

    /// Takes the sender for the final answer of a pending request; `None` if it was taken before.
    pub fn take_answer_sender(&mut self, id: RequestId) -> Option<AnswerSender<A>> {
        self.pending.get_mut(&id)?.answer.take()
    }

    /// Drops what is stored for a request that the tracker has released.
    pub fn release(&mut self, id: RequestId) {
        self.pending.remove(&id);
    }
}
