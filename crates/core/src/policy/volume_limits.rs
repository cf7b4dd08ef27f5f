//! The limits and shares of volumes: what a volume may send, and how much of it is worth its full
//! value.
//!
//! Each volume has this front's part of its plan's limit, reserve and fair share. Its reserve has
//! the full value, use beyond that within the fair share less, and any other the least.

use std::collections::BTreeMap;
use std::hash::{Hash, Hasher};

use super::SECOND;
use crate::interface::{Nanos, Plan, Request, Settings, VolumeId};
use crate::state::{Rate, RateLimit, TokenBucket};

/// A volume's rate beyond its reserve is fair up to this multiple of the smallest rate by weight.
const FAIR_SHARE_RATIO: f64 = 2.0;
/// Fraction of a limit's burst that the class with the lowest priority weight leaves to others.
const LIMIT_HEADROOM: f64 = 0.4;
/// Time constant, in nanoseconds, of the rate beyond the reserve.
const EXCESS_RATE_MEMORY_NS: f64 = 1.5e9;
/// Requests count as at least this many units, so that a tiny one divides by no zero.
const UNITS_MIN: f64 = 0.1;
/// Plans count with at least this weight, so that one without divides by no zero.
const PLAN_WEIGHT_MIN: f64 = 0.01;
/// The least of the highest priority weight, so that classes without divide by no zero.
const PRIORITY_WEIGHT_MIN: f64 = 1e-9;
/// An idle volume is dropped after this time; its buckets restart empty, which is safe.
const IDLE_MAX: Nanos = 60 * SECOND;

/// The limits and the use of a volume, each as the part of this front.
#[derive(Clone, Debug)]
struct Volume {
    /// The limit in units; absent where the plan has none.
    limit: Option<TokenBucket>,
    /// The reserve in units.
    reserve: TokenBucket,
    /// Units per second sent beyond the reserve.
    excess_rate: Rate,
    /// Units per second beyond the reserve that are within its fair share.
    fair_share: f64,
}

/// All volumes in use, and the limits that the fleet has assigned.
#[derive(Clone, Debug, Default)]
pub(crate) struct VolumeTable {
    volumes: BTreeMap<VolumeId, Volume>,
    /// Assigned in place of an even part of the plan's limit.
    assigned_limits: BTreeMap<VolumeId, RateLimit>,
}

impl VolumeTable {
    /// Creates a volume at its first request. Its limit starts empty, as a restarted front forgets
    /// its use, and its reserve always holds the largest request.
    pub fn ensure(&mut self, now: Nanos, request: &Request, settings: &Settings) {
        let assigned = &self.assigned_limits;
        self.volumes
            .entry(request.volume)
            .or_insert_with(|| Volume::new(now, request, settings, assigned.get(&request.volume)));
    }

    /// Whether a volume's limit allows a request. Classes of lower priority weight leave a part of
    /// the burst to others.
    pub fn allows(&self, now: Nanos, request: &Request, settings: &Settings) -> bool {
        let volume = self.volumes.get(&request.volume);
        let Some(limit) = volume.and_then(|volume| volume.limit.as_ref()) else {
            return true;
        };
        let weights = settings.classes.iter().map(|class| class.priority_weight);
        let highest_weight = weights.fold(0.0, f64::max).max(PRIORITY_WEIGHT_MIN);
        let relative_weight = settings.classes[request.class].priority_weight / highest_weight;
        let headroom = limit.capacity() * LIMIT_HEADROOM * (1.0 - relative_weight);
        let required = (request.units + headroom).min(limit.capacity());
        limit.rate() > 0.0 && limit.level_at(now) >= required
    }

    /// The fraction of its full value that a request has by its volume's share: full within the
    /// reserve, less within the fair share, least beyond.
    pub fn share_value(&self, now: Nanos, request: &Request, settings: &Settings) -> f64 {
        let Some(volume) = self.volumes.get(&request.volume) else {
            return 1.0;
        };
        let reserve = volume.reserve.level_at(now);
        let reserved = (reserve / request.units.max(UNITS_MIN)).clamp(0.0, 1.0);
        let is_fair = volume.excess_rate.now(now, EXCESS_RATE_MEMORY_NS) <= volume.fair_share;
        let excess_value = if is_fair {
            settings.fair_share_value
        } else {
            settings.idle_value
        };
        reserved + (1.0 - reserved) * excess_value
    }

    /// Charges the units of a first attempt.
    pub fn charge(&mut self, now: Nanos, id: VolumeId, units: f64) {
        if let Some(volume) = self.volumes.get_mut(&id) {
            volume.charge(now, units);
        }
    }

    /// Returns the units of a first attempt that was not sent after all to the limit.
    pub fn refund(&mut self, id: VolumeId, units: f64) {
        if let Some(limit) = self.limit_mut(id) {
            limit.refund(units);
        }
    }

    /// Assigns a limit. Tokens that accrued before stay, as far as they fit.
    pub fn assign_limit(&mut self, id: VolumeId, limit: RateLimit, effective_at: Nanos) {
        self.assigned_limits.insert(id, limit);
        if let Some(bucket) = self.limit_mut(id) {
            bucket.set_limit(limit, effective_at);
        }
    }

    /// Drops idle volumes. An assigned limit of 0 is forgotten with its volume.
    pub fn expire_idle(&mut self, now: Nanos) {
        self.volumes
            .retain(|_, volume| now - volume.excess_rate.updated_at() < IDLE_MAX);
        let known = &self.volumes;
        self.assigned_limits
            .retain(|id, limit| limit.rate > 0.0 || known.contains_key(id));
    }

    /// Hashes all that later decisions depend on, with times relative to `now`.
    pub fn fingerprint<H: Hasher>(&self, now: Nanos, hasher: &mut H) {
        for (id, volume) in &self.volumes {
            id.hash(hasher);
            volume.fingerprint(now, hasher);
        }
        for (id, limit) in &self.assigned_limits {
            (id, limit.rate.to_bits(), limit.burst.to_bits()).hash(hasher);
        }
    }

    fn limit_mut(&mut self, id: VolumeId) -> Option<&mut TokenBucket> {
        self.volumes.get_mut(&id)?.limit.as_mut()
    }
}

impl Volume {
    /// A volume that has sent nothing yet, with an assigned limit or an even part of its plan's.
    fn new(
        now: Nanos,
        request: &Request,
        settings: &Settings,
        assigned: Option<&RateLimit>,
    ) -> Volume {
        let plan = &settings.plans[request.plan];
        let fronts = f64::from(request.front_count.max(1));
        let even_part = RateLimit {
            rate: plan.limit_rate / fronts,
            burst: plan.limit_burst / fronts,
        };
        let limit = assigned.copied().unwrap_or(even_part);
        let reserve_rate = plan.reserve_rate / fronts;
        Volume {
            limit: (plan.limit_rate > 0.0).then(|| limit.empty_bucket(now)),
            reserve: TokenBucket::new(
                reserve_rate,
                reserve_rate + settings.max_units,
                reserve_rate.min(settings.max_units),
                now,
            ),
            excess_rate: Rate::new(now),
            fair_share: fair_share(plan, settings, fronts),
        }
    }

    /// Charges units to the limit, the reserve and, past that, the excess rate.
    fn charge(&mut self, now: Nanos, units: f64) {
        if let Some(limit) = &mut self.limit {
            limit.charge(now, units);
        }
        let reserved = self.reserve.take_available(now, units);
        self.excess_rate
            .add(now, units - reserved, EXCESS_RATE_MEMORY_NS);
    }

    fn fingerprint<H: Hasher>(&self, now: Nanos, hasher: &mut H) {
        let limit = self.limit.as_ref().map(|limit| limit.level_at(now));
        limit.map(f64::to_bits).hash(hasher);
        self.reserve.level_at(now).to_bits().hash(hasher);
        self.fair_share.to_bits().hash(hasher);
        self.excess_rate.fingerprint(now, hasher);
    }
}

/// The units per second beyond the reserve that are within the fair share of a plan's volume.
fn fair_share(plan: &Plan, settings: &Settings, fronts: f64) -> f64 {
    let rates = settings
        .plans
        .iter()
        .map(|plan| plan.nominal_rate / plan.weight.max(PLAN_WEIGHT_MIN));
    let min_rate = rates
        .filter(|rate| *rate > 0.0)
        .fold(f64::INFINITY, f64::min);
    min_rate * FAIR_SHARE_RATIO * plan.weight.max(PLAN_WEIGHT_MIN) / fronts
}
