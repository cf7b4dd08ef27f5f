//! Makes evidence of a front's own attempts: which went well, which badly, and which say nothing.

use std::collections::BTreeMap;

use crate::{Class, Event, Nanos, SampleQuality, Server};

/// Longer than this many times the median is slow.
const SLOW_FACTOR: i64 = 4;
/// Nothing shorter is slow.
const MIN_SLOW: Nanos = 20_000_000;
/// The median moves by this part with each answer.
const MEDIAN_STEP: i64 = 20;
/// With nothing at all for this long, the front itself stood still.
const STOOD_STILL: Nanos = 100_000_000;

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptResult {
    /// It was answered.
    Answered,
    /// The server failed, or its connection was refused or lost.
    Failed,
    /// It was given up, or its time was over.
    Cancelled,
    /// The server turned it away.
    Rejected,
}

/// An attempt that is out.
#[derive(Clone, Copy, Debug)]
struct PendingAttempt {
    server: Server,
    class: Class,
    sent_at: Nanos,
    /// Whether this is a trial of a server that is held out.
    is_probe: bool,
    /// Whether it has been taken for bad while it was out.
    counted: bool,
}

/// The attempts of one front. Attempts have a number of the front's own.
#[derive(Clone, Debug, Default)]
pub struct AttemptObserver {
    pending: BTreeMap<(u64, u32), PendingAttempt>,
    /// The median of what answers take, by class.
    medians: BTreeMap<Class, Nanos>,
    /// Servers whose next attempt of work that may run again is a trial, until a moment.
    probes_due: BTreeMap<Server, Nanos>,
    last_step_at: Option<Nanos>,
}

impl AttemptObserver {
    /// The front runs: called at each of its steps. Time in which it stood still is no attempt's.
    pub fn step(&mut self, now: Nanos) {
        let stood = self.last_step_at.map_or(0, |at| now - at);
        self.last_step_at = Some(now);
        if stood > STOOD_STILL {
            self.pending.values_mut().for_each(|out| out.sent_at += stood);
        }
    }

    /// The next attempt at a server, of work that may run again, is a trial, if it goes out before a moment.
    pub fn probe_next(&mut self, server: Server, until: Nanos) {
        self.probes_due.insert(server, until);
    }

    /// A server is held out no more: nothing is a trial of it.
    pub fn readmitted(&mut self, server: Server) {
        self.probes_due.remove(&server);
    }

    /// An attempt went out.
    pub fn attempt_sent(
        &mut self,
        now: Nanos,
        key: (u64, u32),
        server: Server,
        class: Class,
        repeatable: bool,
    ) {
        let trial = repeatable && self.probes_due.remove(&server).is_some_and(|until| now < until);
        self.pending
            .insert(key, PendingAttempt { server, class, sent_at: now, is_probe: trial, counted: false });
    }

    /// An attempt has ended: what it says, if anything.
    pub fn attempt_ended(&mut self, now: Nanos, key: (u64, u32), how: AttemptResult) -> Option<Event> {
        let out = self.pending.remove(&key)?;
        let took = now - out.sent_at;
        let slow = self.is_slow(out.class, took);
        if how == AttemptResult::Answered {
            let median = self.medians.entry(out.class).or_insert(took);
            *median += (*median / MEDIAN_STEP).max(1) * if took > *median { 1 } else { -1 };
        }
        let worth = match how {
            AttemptResult::Answered if !slow => Some(SampleQuality::Healthy),
            AttemptResult::Answered | AttemptResult::Failed => Some(SampleQuality::Failed),
            AttemptResult::Cancelled => slow.then_some(SampleQuality::Failed),
            AttemptResult::Rejected => None,
        };
        worth.filter(|_| !out.counted).map(|worth| out.event(worth))
    }

    /// Whether something is out for so long by now that it is bad.
    pub fn has_overdue(&self, now: Nanos) -> bool {
        self.pending.values().any(|out| !out.counted && self.is_slow(out.class, now - out.sent_at))
    }

    /// What is out for so long by now that it is bad, however it will end; each once.
    pub fn take_overdue(&mut self, now: Nanos) -> Vec<Event> {
        let due: Vec<(u64, u32)> = self
            .pending
            .iter()
            .filter(|(_, out)| !out.counted && self.is_slow(out.class, now - out.sent_at))
            .map(|(key, _)| *key)
            .collect();
        let count = |key| {
            let out = self.pending.get_mut(&key)?;
            out.counted = true;
            Some(out.event(SampleQuality::Failed))
        };
        due.into_iter().filter_map(count).collect()
    }

    /// The median of a class, where anything has been answered.
    pub fn median(&self, class: Class) -> Option<Nanos> {
        self.medians.get(&class).copied()
    }

    fn is_slow(&self, class: Class, took: Nanos) -> bool {
        self.medians.get(&class).is_some_and(|median| took > (median * SLOW_FACTOR).max(MIN_SLOW))
    }
}

impl PendingAttempt {
    fn event(&self, worth: SampleQuality) -> Event {
        let PendingAttempt { server, class, .. } = *self;
        if self.is_probe {
            Event::Probed { server, class, quality: worth }
        } else {
            Event::Attempt { server, class, quality: worth }
        }
    }
}
