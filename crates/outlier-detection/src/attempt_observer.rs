//! Classification of a front's own attempts as healthy, failed or inconclusive.

use std::collections::BTreeMap;

use crate::{ClassId, Event, Nanos, SampleQuality, ServerId};

/// An answer is slow if it takes longer than this many times the estimated median latency.
const SLOW_FACTOR: i64 = 4;
/// No answer within this time in nanoseconds is slow, whatever the median.
const MIN_SLOW_LATENCY: Nanos = 20_000_000;
/// Each answer moves the median estimate by itself divided by this.
const MEDIAN_STEP_DIVISOR: i64 = 20;
/// A longer time in nanoseconds between two steps means that the front itself was paused.
const PAUSE_THRESHOLD: Nanos = 100_000_000;

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptResult {
    /// The server answered.
    Answered,
    /// The server failed, or its connection was refused or lost.
    Failed,
    /// It was cancelled, or it timed out.
    Cancelled,
    /// The server rejected it.
    Rejected,
}

/// An attempt in flight.
#[derive(Clone, Copy, Debug)]
struct PendingAttempt {
    server: ServerId,
    class: ClassId,
    sent_at: Nanos,
    /// Whether this is a probe of an ejected server.
    is_probe: bool,
    /// Whether it was already counted as failed because it is overdue.
    counted: bool,
}

/// An attempt of this front.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AttemptId {
    /// The number of the request, unique during the life of the front.
    pub request: u64,
    /// The number of the attempt among those of the request.
    pub attempt: u32,
}

/// Observes the attempts of one front and classifies them.
#[derive(Clone, Debug, Default)]
pub struct AttemptObserver {
    pending: BTreeMap<AttemptId, PendingAttempt>,
    /// Estimated median latency of answers, by class of work.
    medians: BTreeMap<ClassId, Nanos>,
    /// Servers whose next idempotent attempt is a probe if it is sent before this time.
    probes_due: BTreeMap<ServerId, Nanos>,
    last_step_at: Option<Nanos>,
}

impl AttemptObserver {
    /// Must be called at each step of the front. Time during which the front was paused is not held
    /// against the attempts in flight.
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

    /// A server is no longer ejected: no probe of it is due.
    pub fn readmitted(&mut self, server: ServerId) {
        self.probes_due.remove(&server);
    }

    /// An attempt was sent. `idempotent` says whether the request may be executed more than once.
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
            counted: false,
        };
        self.pending.insert(id, attempt);
    }

    /// An attempt has ended. Returns the event for the detector, unless the result is inconclusive
    /// or was counted.
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
            .filter(|_| !attempt.counted)
            .map(|quality| attempt.event(quality))
    }

    /// Whether any attempt is overdue and not counted as failed yet.
    pub fn has_overdue(&self, now: Nanos) -> bool {
        self.pending
            .values()
            .any(|attempt| self.is_overdue(now, attempt))
    }

    /// Counts the attempts that are overdue as failed, each once, however they will end.
    pub fn take_overdue(&mut self, now: Nanos) -> Vec<Event> {
        let overdue: Vec<AttemptId> = self
            .pending
            .iter()
            .filter(|(_, attempt)| self.is_overdue(now, attempt))
            .map(|(id, _)| *id)
            .collect();
        let count = |id| {
            let attempt = self.pending.get_mut(&id)?;
            attempt.counted = true;
            Some(attempt.event(SampleQuality::Failed))
        };
        overdue.into_iter().filter_map(count).collect()
    }

    /// The estimated median latency of a class of work, once there has been an answer.
    pub fn median(&self, class: ClassId) -> Option<Nanos> {
        self.medians.get(&class).copied()
    }

    /// Moves the estimate by a small step towards the latency, so that it settles where as many are
    /// above as below.
    fn update_median(&mut self, class: ClassId, latency: Nanos) {
        let median = self.medians.entry(class).or_insert(latency);
        let step = (*median / MEDIAN_STEP_DIVISOR).max(1);
        *median += if latency > *median { step } else { -step };
    }

    fn is_overdue(&self, now: Nanos, attempt: &PendingAttempt) -> bool {
        !attempt.counted && self.is_slow(attempt.class, now - attempt.sent_at)
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
