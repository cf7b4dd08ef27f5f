//! Measures the average demand for each limit at this front.

use std::collections::BTreeMap;
use std::hash::{Hash, Hasher};

use tulipbridge_core::Rate;

use crate::{Demand, Limit, Nanos};

/// Time constant of the exponential moving average, in nanoseconds.
const AVERAGING_TIME: f64 = 1.5e9;
/// Time without demand after which a limit is dropped, in nanoseconds.
const IDLE_TIMEOUT: Nanos = 15_000_000_000;
/// Thousandths of a unit in one unit.
const MILLI_UNITS: f64 = 1e3;

/// Exponential moving averages of the demand for each limit.
#[derive(Clone, Debug, Default)]
pub(crate) struct DemandMeter {
    rates: BTreeMap<Limit, Rate>,
}

impl DemandMeter {
    /// Adds demanded units and returns whether the limit is new. Negative amounts count as zero.
    pub fn record(&mut self, now: Nanos, limit: Limit, units: f64) -> bool {
        let is_new = !self.rates.contains_key(&limit);
        let rate = self.rates.entry(limit).or_insert_with(|| Rate::new(now));
        rate.add(now, units.max(0.0), AVERAGING_TIME);
        is_new
    }

    /// Returns the average demand for each known limit.
    pub fn demands(&self, now: Nanos) -> impl Iterator<Item = Demand> + '_ {
        self.rates.iter().map(move |(limit, rate)| Demand {
            limit: *limit,
            milli_units_per_second: (rate.now(now, AVERAGING_TIME) * MILLI_UNITS) as u64,
        })
    }

    /// Drops the limits without recent demand and returns them.
    pub fn expire_idle(&mut self, now: Nanos) -> Vec<Limit> {
        let is_idle = |rate: &Rate| now - rate.updated_at() > IDLE_TIMEOUT;
        let idle: Vec<Limit> = self
            .rates
            .iter()
            .filter(|(_, rate)| is_idle(rate))
            .map(|(limit, _)| *limit)
            .collect();
        for limit in &idle {
            self.rates.remove(limit);
        }
        idle
    }

    /// Returns the known limits.
    pub fn limits(&self) -> impl Iterator<Item = Limit> + '_ {
        self.rates.keys().copied()
    }

    /// Hashes everything on which later rates depend, with times relative to `now`.
    pub fn fingerprint<H: Hasher>(&self, now: Nanos, hasher: &mut H) {
        for (limit, rate) in &self.rates {
            (
                limit,
                rate.now(now, AVERAGING_TIME).to_bits(),
                now - rate.updated_at(),
            )
                .hash(hasher);
        }
    }
}
