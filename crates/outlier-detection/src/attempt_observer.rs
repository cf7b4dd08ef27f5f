//! Classification of a front's own attempts as healthy, failed or inconclusive, by their results
//! and their latencies.

use std::collections::BTreeMap;

use crate::{ClassId, Event, Nanos, SampleQuality, ServerId};

/// An answer is slow if its latency exceeds this multiple of the estimated median latency.
const SLOW_FACTOR: i64 = 4;
/// Latency in nanoseconds up to which no answer is slow, whatever the median.
const MIN_SLOW_LATENCY: Nanos = 20_000_000;
/// Each answer moves the estimated median latency by the estimate divided by this.
const MEDIAN_STEP_DIVISOR: i64 = 20;
/// Time in nanoseconds between two steps; a longer one means that the front itself was paused.
const PAUSE_THRESHOLD: Nanos = 100_000_000;

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptResult {
    /// The server answered.
    Answered,
    /// The server failed, or its connection was refused or lost.
    Failed,
    /// The attempt was cancelled, or it timed out.
    Cancelled,
    /// The server rejected the attempt.
    Rejected,
}

/// An attempt in flight.
#[derive(Clone, Copy, Debug)]
struct PendingAttempt {
    server: ServerId,
    class: ClassId,
    sent_at: Nanos,
    /// Whether the attempt is a probe of an ejected server.
    is_probe: bool,
    /// Whether the attempt has already been counted as failed because it was overdue.
    is_counted: bool,
}

/// Identifies an attempt of this front.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AttemptId {
    /// Number of the request, unique while the front runs.
    pub request: u64,
    /// Number of the attempt among those of the request.
    pub attempt: u32,
}

/// Observes the attempts of one front and classifies them.
#[derive(Clone, Debug, Default)]
pub struct AttemptObserver {
    pending: BTreeMap<AttemptId, PendingAttempt>,
    /// Estimated median latency of answers, by class of work.
    medians: BTreeMap<ClassId, Nanos>,
    /// Servers whose next idempotent attempt is a probe if it is sent before the given time.
    probes_due: BTreeMap<ServerId, Nanos>,
    last_step_at: Option<Nanos>,
}

impl AttemptObserver {
    /// Records a step of the front; must be called at each one. Time for which the front was paused
    /// is not added to the latencies of the attempts in flight.
    pub fn step(&mut self, now: Nanos) {
        let elapsed = self.last_step_at.map_or(0, |at| now - at);
        self.last_step_at = Some(now);
        if elapsed > PAUSE_THRESHOLD {
            for attempt in self.pending.values_mut() {
                attempt.sent_at += elapsed;
            }
        }
    }

    /// Makes the next idempotent attempt at a server a probe if it is sent before `until`.
    pub fn probe_next(&mut self, server: ServerId, until: Nanos) {
        self.probes_due.insert(server, until);
    }

    /// Records that a server is no longer ejected, so that no probe of it is due.
    pub fn readmitted(&mut self, server: ServerId) {
        self.probes_due.remove(&server);
    }

    /// Records that an attempt was sent. `idempotent` says whether the request may be executed more
    /// than once.
    pub fn attempt_sent(
        &mut self,
        now: Nanos,
        id: AttemptId,
        server: ServerId,
        class: ClassId,
        idempotent: bool,
    ) {
        let is_probe = idempotent
            && self
                .probes_due
                .remove(&server)
                .is_some_and(|until| now < until);
        let attempt = PendingAttempt {
            server,
            class,
            sent_at: now,
            is_probe,
            is_counted: false,
        };
        self.pending.insert(id, attempt);
    }

    /// Records that an attempt has ended. Returns the event for the detector, or `None` if the
    /// result is inconclusive or the attempt has already been counted.
    pub fn attempt_ended(
        &mut self,
        now: Nanos,
        id: AttemptId,
        result: AttemptResult,
    ) -> Option<Event> {
        let attempt = self.pending.remove(&id)?;
        let latency = now - attempt.sent_at;
        let is_slow = self.is_slow(attempt.class, latency);
        if result == AttemptResult::Answered {
            self.update_median(attempt.class, latency);
        }
        let quality = match result {
            AttemptResult::Answered if !is_slow => Some(SampleQuality::Healthy),
            AttemptResult::Answered | AttemptResult::Failed => Some(SampleQuality::Failed),
            AttemptResult::Cancelled => is_slow.then_some(SampleQuality::Failed),
            AttemptResult::Rejected => None,
        };
        quality
            .filter(|_| !attempt.is_counted)
            .map(|quality| attempt.event(quality))
    }

    /// Returns whether any attempt is overdue and has not been counted as failed yet.
    pub fn has_overdue(&self, now: Nanos) -> bool {
        self.pending
            .values()
            .any(|attempt| self.is_overdue(now, attempt))
    }

    /// Counts overdue attempts as failed and returns their events. Each attempt is counted once,
    /// however it ends later.
    pub fn take_overdue(&mut self, now: Nanos) -> Vec<Event> {
        let overdue: Vec<AttemptId> = self
            .pending
            .iter()
            .filter(|(_, attempt)| self.is_overdue(now, attempt))
            .map(|(id, _)| *id)
            .collect();
        let count = |id| {
            let attempt = self.pending.get_mut(&id)?;
            attempt.is_counted = true;
            Some(attempt.event(SampleQuality::Failed))
        };
        overdue.into_iter().filter_map(count).collect()
    }

    /// Returns the estimated median latency of a class of work, or `None` before its first answer.
    pub fn median(&self, class: ClassId) -> Option<Nanos> {
        self.medians.get(&class).copied()
    }

    /// Moves the estimate by a small step towards the latency. It converges to the median, where as
    /// many latencies are above it as below.
    fn update_median(&mut self, class: ClassId, latency: Nanos) {
        let median = self.medians.entry(class).or_insert(latency);
        let step = (*median / MEDIAN_STEP_DIVISOR).max(1);
        *median += if latency > *median { step } else { -step };
    }

    fn is_overdue(&self, now: Nanos, attempt: &PendingAttempt) -> bool {
        !attempt.is_counted && self.is_slow(attempt.class, now - attempt.sent_at)
    }

    fn is_slow(&self, class: ClassId, latency: Nanos) -> bool {
        let is_slow_for = |median: &Nanos| latency > (median * SLOW_FACTOR).max(MIN_SLOW_LATENCY);
        self.medians.get(&class).is_some_and(is_slow_for)
    }
}

impl PendingAttempt {
    fn event(&self, quality: SampleQuality) -> Event {
        let PendingAttempt { server, class, .. } = *self;
        if self.is_probe {
            Event::Probed {
                server,
                class,
                quality,
            }
        } else {
            Event::Attempt {
                server,
                class,
                quality,
            }
        }
    }
}
