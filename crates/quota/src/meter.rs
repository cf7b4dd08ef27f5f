//! How much of each volume is asked for at this front.

use std::collections::BTreeMap;
use std::hash::{Hash, Hasher};

use tulipbridge_core::Rate;

use crate::{Nanos, Volume};

/// Over this time an average forgets.
const MEMORY: f64 = 1.5e9;
/// A volume nobody asked for in this time is forgotten.
const IDLE: Nanos = 15_000_000_000;

/// Smoothed rates.
#[derive(Clone, Debug, Default)]
pub struct Meter {
    rates: BTreeMap<Volume, Rate>,
}

impl Meter {
    /// Counts units asked for, and tells whether the volume is new.
    pub fn count(&mut self, now: Nanos, volume: Volume, units: f64) -> bool {
        let fresh = !self.rates.contains_key(&volume);
        self.rates.entry(volume).or_insert_with(|| Rate::new(now)).add(now, units.max(0.0), MEMORY);
        fresh
    }

    /// The volumes asked for, with thousandths of units a second.
    pub fn all(&self, now: Nanos) -> impl Iterator<Item = (Volume, u64)> + '_ {
        self.rates.iter().map(move |(v, r)| (*v, (r.now(now, MEMORY) * 1e3) as u64))
    }

    /// Forgets volumes that nobody has asked for in a while, and names them.
    pub fn forget(&mut self, now: Nanos) -> Vec<Volume> {
        let idle = self.rates.iter().filter(|(_, r)| now - r.at > IDLE);
        let idle: Vec<Volume> = idle.map(|(v, _)| *v).collect();
        for volume in &idle {
            self.rates.remove(volume);
        }
        idle
    }

    /// All that later rates hang on.
    pub fn fingerprint<H: Hasher>(&self, now: Nanos, h: &mut H) {
        self.rates.iter().for_each(|(v, r)| (v, r.now(now, MEMORY).to_bits(), now - r.at).hash(h));
    }

    /// The volumes known.
    pub fn volumes(&self) -> impl Iterator<Item = Volume> + '_ {
        self.rates.keys().copied()
    }
}
