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
pub(crate) struct FleetLimits {
    retries: Option<Bucket>,
    /// Units a second, and most in store, to a node that has just started; they grow with it.
    warming_up: Option<(f64, f64)>,
    /// Requests out at a node.
    in_flight: Option<f64>,
}

/// What is told, as one node has it.
#[derive(Clone, Debug, Default)]
pub(crate) struct NodeLimits {
    warming_up: Option<Bucket>,
    in_flight: Option<f64>,
}

impl FleetLimits {
    /// Further attempts of whatever is asked for: so many a second, and so many in store.
    pub fn set_retries(&mut self, rate: f64, burst: f64, at: Nanos) {
        match &mut self.retries {
            Some(bucket) => bucket.retell(rate, burst, at),
            None => self.retries = Some(Bucket::new(rate, burst, 0.0, at)),
        }
    }

    /// Units to any node that has just started.
    pub fn set_warming_up<'a>(
        &mut self,
        rate: f64,
        burst: f64,
        at: Nanos,
        nodes: impl Iterator<Item = &'a mut Node>,
    ) {
        self.warming_up = Some((rate, burst));
        for node in nodes {
            match &mut node.ration.warming_up {
                Some(bucket) => bucket.retell(rate, burst, at),
                None => node.ration.warming_up = Some(Bucket::new(rate, burst, 0.0, at)),
            }
        }
    }

    /// Requests out at any node; under 1 it is a pace.
    pub fn set_in_flight<'a>(&mut self, most: f64, nodes: impl Iterator<Item = &'a mut Node>) {
        let most = if most > 0.0 { most + ROUNDED } else { 0.0 };
        self.in_flight = Some(most);
        nodes.for_each(|node| node.ration.in_flight = Some(most));
    }

    /// What a node has that is new here.
    pub fn node_limits(&self, now: Nanos) -> NodeLimits {
        let starting = self.warming_up.map(|(rate, burst)| Bucket::new(rate, burst, 0.0, now));
        NodeLimits { warming_up: starting, in_flight: self.in_flight }
    }

    /// Whether no further attempt may go out now.
    pub fn retries_exhausted(&self, now: Nanos) -> bool {
        self.retries.as_ref().is_some_and(|f| f.level_at(now) < 1.0)
    }

    /// A further attempt goes out.
    pub fn note_retry(&mut self, now: Nanos) {
        if let Some(further) = &mut self.retries {
            further.fill(now);
            further.level -= 1.0;
        }
    }

    /// All that later decisions hang on.
    pub fn fingerprint<H: Hasher>(&self, now: Nanos, h: &mut H) {
        self.retries.as_ref().map(|f| (f.rate.to_bits(), f.level_at(now).to_bits())).hash(h);
        self.warming_up.map(|(rate, burst)| (rate.to_bits(), burst.to_bits())).hash(h);
        self.in_flight.map(f64::to_bits).hash(h);
    }
}

impl NodeLimits {
    /// Units that might go to the node now if it had started just now, where that is told.
    pub fn warmup_allowance(&self, now: Nanos) -> Option<f64> {
        self.warming_up.as_ref().map(|s| s.level_at(now))
    }

    /// Units go to the node, as a part of what it can do by now of what it could at first.
    pub fn note_warmup_units(&mut self, now: Nanos, units: f64) {
        if let Some(starting) = &mut self.warming_up {
            starting.fill(now);
            starting.level -= units;
        }
    }

    /// Requests that may be out at the node, or the pace.
    pub fn max_in_flight(&self) -> f64 {
        self.in_flight.unwrap_or(f64::INFINITY)
    }

    /// Whether nothing more may go out to the node that has so many out.
    pub fn is_full(&self, out: usize) -> bool {
        self.in_flight.is_some_and(|most| most <= 0.0 || out as f64 >= most.floor().max(1.0))
    }

    /// All that later decisions hang on.
    pub fn fingerprint<H: Hasher>(&self, now: Nanos, h: &mut H) {
        self.warming_up.as_ref().map(|s| (s.rate.to_bits(), s.level_at(now).to_bits())).hash(h);
        self.in_flight.map(f64::to_bits).hash(h);
    }
}
