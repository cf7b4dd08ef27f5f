//! How much of each limit is asked for at this front.

use std::collections::BTreeMap;
use std::hash::{Hash, Hasher};

use tulipbridge_core::Rate;

use crate::{Limit, Nanos};

/// Over this time an average forgets.
const MEMORY: f64 = 1.5e9;
/// A limit nobody asked for in this time is forgotten.
const IDLE: Nanos = 15_000_000_000;

/// Smoothed rates.
#[derive(Clone, Debug, Default)]
pub struct DemandMeter {
    rates: BTreeMap<Limit, Rate>,
}

impl DemandMeter {
    /// Counts units asked for, and tells whether the limit is new.
    pub fn count(&mut self, now: Nanos, limit: Limit, units: f64) -> bool {
        let fresh = !self.rates.contains_key(&limit);
        self.rates.entry(limit).or_insert_with(|| Rate::new(now)).add(now, units.max(0.0), MEMORY);
        fresh
    }

    /// The limits asked for, with thousandths of units a second.
    pub fn all(&self, now: Nanos) -> impl Iterator<Item = (Limit, u64)> + '_ {
        self.rates.iter().map(move |(v, r)| (*v, (r.now(now, MEMORY) * 1e3) as u64))
    }

    /// Forgets limits that nobody has asked for in a while, and names them.
    pub fn expire_idle(&mut self, now: Nanos) -> Vec<Limit> {
        let idle = self.rates.iter().filter(|(_, r)| now - r.at > IDLE);
        let idle: Vec<Limit> = idle.map(|(v, _)| *v).collect();
        for limit in &idle {
            self.rates.remove(limit);
        }
        idle
    }

    /// All that later rates hang on.
    pub fn fingerprint<H: Hasher>(&self, now: Nanos, h: &mut H) {
        self.rates.iter().for_each(|(v, r)| (v, r.now(now, MEMORY).to_bits(), now - r.at).hash(h));
    }

    /// The limits known.
    pub fn limits(&self) -> impl Iterator<Item = Limit> + '_ {
        self.rates.keys().copied()
    }
}
