//! The policy that makes a model's decisions: the scheduler that ships, or every decision that the
//! rules allow.

use std::collections::BTreeMap;
use std::hash::{Hash, Hasher};

use tulipbridge_core::request_tracker::Decisions;
use tulipbridge_core::{Action, Event, Nanos, Outcome, RequestId, Scheduler, Settings, ShardId};

use crate::recovery;

/// Seed of the scheduler's random numbers.
const SCHEDULER_SEED: u64 = 7;

/// Which policy a configuration explores.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PolicyKind {
    /// The scheduler that ships.
    Scheduler,
    /// Every decision that the rules allow, each as a step of its own.
    Unrestricted,
}

/// The policy of a state.
#[derive(Clone, Debug)]
pub enum PolicyUnderTest {
    /// The scheduler that ships.
    Scheduler(Box<Scheduler>),
    /// No decisions of its own: the model generates them from what is known of each request.
    Unrestricted(BTreeMap<RequestId, KnownRequest>),
}

/// What the allowed decisions about a request depend on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct KnownRequest {
    /// Index of its class in the settings.
    pub class: usize,
    /// An attempt of it ended without proof that it was not executed.
    pub may_have_run: bool,
}

impl KnownRequest {
    /// Records the outcome of an attempt that was not the last one of the request.
    fn attempt_ended(&mut self, outcome: Outcome) {
        let proves_not_executed = matches!(
            outcome,
            Outcome::Rejected | Outcome::NotExecuted | Outcome::NotSent
        );
        self.may_have_run |= !proves_not_executed;
    }
}

impl PolicyUnderTest {
    /// The policy of a front that starts at `now`.
    ///
    /// # Panics
    /// If the scheduler rejects the settings. Those of every configuration are valid; a test
    /// constructs them all.
    pub fn new(kind: PolicyKind, settings: &Settings, now: Nanos) -> PolicyUnderTest {
        match kind {
            PolicyKind::Unrestricted => PolicyUnderTest::Unrestricted(BTreeMap::new()),
            PolicyKind::Scheduler => {
                let scheduler = Scheduler::new(settings.clone(), SCHEDULER_SEED, now);
                PolicyUnderTest::Scheduler(Box::new(scheduler.expect("the settings are valid")))
            }
        }
    }

    /// Whether no request is queued or in flight.
    pub fn is_at_rest(&self) -> bool {
        match self {
            PolicyUnderTest::Scheduler(scheduler) => scheduler.is_at_rest(),
            PolicyUnderTest::Unrestricted(_) => true,
        }
    }

    /// Hashes everything that the next decision depends on.
    pub fn fingerprint<H: Hasher>(&self, now: Nanos, hasher: &mut H) {
        match self {
            PolicyUnderTest::Scheduler(scheduler) => scheduler.fingerprint(now, hasher),
            PolicyUnderTest::Unrestricted(known) => known.hash(hasher),
        }
    }

    /// Whether a policy at rest recovers once responses are good: see [`recovery::recovers`].
    pub fn recovers(&self, now: Nanos, shards: &[ShardId]) -> bool {
        match self {
            PolicyUnderTest::Scheduler(scheduler) => {
                recovery::recovers(Scheduler::clone(scheduler), now, shards)
            }
            PolicyUnderTest::Unrestricted(_) => true,
        }
    }
}

impl Decisions for PolicyUnderTest {
    fn handle(&mut self, now: Nanos, event: Event, actions: &mut Vec<Action>) {
        match self {
            PolicyUnderTest::Scheduler(scheduler) => scheduler.handle(now, event, actions),
            PolicyUnderTest::Unrestricted(known) => record_event(known, event),
        }
    }
}

/// Keeps what is known of each request up to date.
fn record_event(known: &mut BTreeMap<RequestId, KnownRequest>, event: Event) {
    match event {
        Event::Request(request) => {
            known.insert(
                request.id,
                KnownRequest {
                    class: request.class,
                    may_have_run: false,
                },
            );
        }
        Event::ClientDisconnected(id)
        | Event::AttemptEnded {
            id,
            is_answered: true,
            ..
        } => {
            known.remove(&id);
        }
        Event::AttemptEnded { id, outcome, .. } => {
            known
                .entry(id)
                .and_modify(|request| request.attempt_ended(outcome));
        }
        _ => {}
    }
}
