//! Makes evidence of a front's own attempts: which went well, which badly, and which say nothing.

use std::collections::BTreeMap;

use crate::{Class, Event, Nanos, Server, Worth};

/// Longer than this many times the median is slow.
const SLOW: i64 = 4;
/// Nothing shorter is slow.
const SLOW_LEAST: Nanos = 20_000_000;
/// The median moves by this part with each answer.
const STEP: i64 = 20;
/// With nothing at all for this long, the front itself stood still.
const STOOD_STILL: Nanos = 100_000_000;

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum How {
    /// It was answered.
    Answered,
    /// The server failed, or its connection was refused or lost.
    Failed,
    /// It was given up, or its time was over.
    GivenUp,
    /// The server turned it away.
    TurnedAway,
}

/// An attempt that is out.
#[derive(Clone, Copy, Debug)]
struct Out {
    server: Server,
    class: Class,
    at: Nanos,
    /// Whether this is a trial of a server that is held out.
    trial: bool,
    /// Whether it has been taken for bad while it was out.
    counted: bool,
}

/// The attempts of one front. Attempts have a number of the front's own.
#[derive(Clone, Debug, Default)]
pub struct Watch {
    out: BTreeMap<(u64, u32), Out>,
    /// The median of what answers take, by class.
    medians: BTreeMap<Class, Nanos>,
    /// Servers whose next attempt of work that may run again is a trial, until a moment.
    tries: BTreeMap<Server, Nanos>,
    seen_at: Option<Nanos>,
}

impl Watch {
    /// The front runs: called at each of its steps. Time in which it stood still is no attempt's.
    pub fn runs(&mut self, now: Nanos) {
        let stood = self.seen_at.map_or(0, |at| now - at);
        self.seen_at = Some(now);
        if stood > STOOD_STILL {
            self.out.values_mut().for_each(|out| out.at += stood);
        }
    }

    /// The next attempt at a server, of work that may run again, is a trial, if it goes out before a moment.
    pub fn try_next(&mut self, server: Server, until: Nanos) {
        self.tries.insert(server, until);
    }

    /// A server is held out no more: nothing is a trial of it.
    pub fn back(&mut self, server: Server) {
        self.tries.remove(&server);
    }

    /// An attempt went out.
    pub fn sent(&mut self, now: Nanos, key: (u64, u32), server: Server, class: Class, repeatable: bool) {
        let trial = repeatable && self.tries.remove(&server).is_some_and(|until| now < until);
        self.out.insert(key, Out { server, class, at: now, trial, counted: false });
    }

    /// An attempt has ended: what it says, if anything.
    pub fn ended(&mut self, now: Nanos, key: (u64, u32), how: How) -> Option<Event> {
        let out = self.out.remove(&key)?;
        let took = now - out.at;
        let slow = self.is_slow(out.class, took);
        if how == How::Answered {
            let median = self.medians.entry(out.class).or_insert(took);
            *median += (*median / STEP).max(1) * if took > *median { 1 } else { -1 };
        }
        let worth = match how {
            How::Answered if !slow => Some(Worth::Good),
            How::Answered | How::Failed => Some(Worth::Bad),
            How::GivenUp => slow.then_some(Worth::Bad),
            How::TurnedAway => None,
        };
        worth.filter(|_| !out.counted).map(|worth| out.says(worth))
    }

    /// Whether something is out for so long by now that it is bad.
    pub fn is_overdue(&self, now: Nanos) -> bool {
        self.out.values().any(|out| !out.counted && self.is_slow(out.class, now - out.at))
    }

    /// What is out for so long by now that it is bad, however it will end; each once.
    pub fn overdue(&mut self, now: Nanos) -> Vec<Event> {
        let due: Vec<(u64, u32)> = self
            .out
            .iter()
            .filter(|(_, out)| !out.counted && self.is_slow(out.class, now - out.at))
            .map(|(key, _)| *key)
            .collect();
        let count = |key| {
            let out = self.out.get_mut(&key)?;
            out.counted = true;
            Some(out.says(Worth::Bad))
        };
        due.into_iter().filter_map(count).collect()
    }

    /// The median of a class, where anything has been answered.
    pub fn median(&self, class: Class) -> Option<Nanos> {
        self.medians.get(&class).copied()
    }

    fn is_slow(&self, class: Class, took: Nanos) -> bool {
        self.medians.get(&class).is_some_and(|median| took > (median * SLOW).max(SLOW_LEAST))
    }
}

impl Out {
    fn says(&self, worth: Worth) -> Event {
        let Out { server, class, .. } = *self;
        if self.trial {
            Event::Tried { server, class, worth }
        } else {
            Event::Attempt { server, class, worth }
        }
    }
}
