//! What this initiator may use of limits that all initiators share and that are no volume's, as it is told: further
//! attempts, and what any one node is sent. Untold, nothing here holds anything back.

use std::hash::{Hash, Hasher};

use crate::interface::Nanos;
use crate::state::{Bucket, Node};

/// What rounding may take from a whole number of requests out. A thousand initiators that each have this much more
/// send no whole request more.
const ROUNDED: f64 = 1e-4;

/// What is told, for all nodes.
#[derive(Clone, Debug, Default)]
pub(crate) struct Shared {
    further: Option<Bucket>,
    /// Units a second, and most in store, to a node that has just started; they grow with it.
    starting: Option<(f64, f64)>,
    /// Requests out at a node.
    out: Option<f64>,
}

/// What is told, as one node has it.
#[derive(Clone, Debug, Default)]
pub(crate) struct Ration {
    starting: Option<Bucket>,
    out: Option<f64>,
}

impl Shared {
    /// Further attempts of whatever is asked for: so many a second, and so many in store.
    pub fn tell_further(&mut self, rate: f64, burst: f64, at: Nanos) {
        match &mut self.further {
            Some(bucket) => bucket.retell(rate, burst, at),
            None => self.further = Some(Bucket::new(rate, burst, 0.0, at)),
        }
    }

    /// Units to any node that has just started.
    pub fn tell_starting<'a>(
        &mut self,
        rate: f64,
        burst: f64,
        at: Nanos,
        nodes: impl Iterator<Item = &'a mut Node>,
    ) {
        self.starting = Some((rate, burst));
        for node in nodes {
            match &mut node.ration.starting {
                Some(bucket) => bucket.retell(rate, burst, at),
                None => node.ration.starting = Some(Bucket::new(rate, burst, 0.0, at)),
            }
        }
    }

    /// Requests out at any node; under 1 it is a pace.
    pub fn tell_out<'a>(&mut self, most: f64, nodes: impl Iterator<Item = &'a mut Node>) {
        let most = if most > 0.0 { most + ROUNDED } else { 0.0 };
        self.out = Some(most);
        nodes.for_each(|node| node.ration.out = Some(most));
    }

    /// What a node has that is new here.
    pub fn ration(&self, now: Nanos) -> Ration {
        let starting = self.starting.map(|(rate, burst)| Bucket::new(rate, burst, 0.0, now));
        Ration { starting, out: self.out }
    }

    /// Whether no further attempt may go out now.
    pub fn is_spent(&self, now: Nanos) -> bool {
        self.further.as_ref().is_some_and(|f| f.level_at(now) < 1.0)
    }

    /// A further attempt goes out.
    pub fn note_further(&mut self, now: Nanos) {
        if let Some(further) = &mut self.further {
            further.fill(now);
            further.level -= 1.0;
        }
    }

    /// All that later decisions hang on.
    pub fn fingerprint<H: Hasher>(&self, now: Nanos, h: &mut H) {
        self.further.as_ref().map(|f| (f.rate.to_bits(), f.level_at(now).to_bits())).hash(h);
        self.starting.map(|(rate, burst)| (rate.to_bits(), burst.to_bits())).hash(h);
        self.out.map(f64::to_bits).hash(h);
    }
}

impl Ration {
    /// Units that might go to the node now if it had started just now, where that is told.
    pub fn starting_room(&self, now: Nanos) -> Option<f64> {
        self.starting.as_ref().map(|s| s.level_at(now))
    }

    /// Units go to the node, as a part of what it can do by now of what it could at first.
    pub fn note_starting(&mut self, now: Nanos, units: f64) {
        if let Some(starting) = &mut self.starting {
            starting.fill(now);
            starting.level -= units;
        }
    }

    /// Requests that may be out at the node, or the pace.
    pub fn most_out(&self) -> f64 {
        self.out.unwrap_or(f64::INFINITY)
    }

    /// Whether nothing more may go out to the node that has so many out.
    pub fn is_full(&self, out: usize) -> bool {
        self.out.is_some_and(|most| most <= 0.0 || out as f64 >= most.floor().max(1.0))
    }

    /// All that later decisions hang on.
    pub fn fingerprint<H: Hasher>(&self, now: Nanos, h: &mut H) {
        self.starting.as_ref().map(|s| (s.rate.to_bits(), s.level_at(now).to_bits())).hash(h);
        self.out.map(f64::to_bits).hash(h);
    }
}
