//! The limits and fair shares of volumes: what a volume may send, and at which value.
//!
//! Each volume has this front's part of the limit, reserve and fair share of its plan. Units within
//! the reserve have their full value, units beyond it a lower one while the volume is within its
//! fair share, and all others the lowest.

use std::collections::BTreeMap;
use std::hash::{Hash, Hasher};

use super::SECOND;
use crate::interface::{Nanos, Plan, Request, Settings, VolumeId};
use crate::state::{Rate, RateLimit, TokenBucket};

/// The fair share of a volume is this multiple of the smallest nominal rate per plan weight of any
/// plan, times the weight of its own plan.
const FAIR_SHARE_RATIO: f64 = 2.0;
/// Fraction of a limit's burst that a class with priority weight 0 has to leave to other classes.
const LIMIT_HEADROOM: f64 = 0.4;
/// Time constant, in nanoseconds, of the excess rate.
const EXCESS_RATE_MEMORY_NS: f64 = 1.5e9;
/// Minimum units that a request counts as, which avoids a division by zero for a tiny request.
const UNITS_MIN: f64 = 0.1;
/// Minimum weight that a plan counts with, which avoids a division by zero for a plan without one.
const PLAN_WEIGHT_MIN: f64 = 0.01;
/// Minimum of the highest priority weight, which avoids a division by zero if no class has one.
const PRIORITY_WEIGHT_MIN: f64 = 1e-9;
/// Time after which an idle volume is dropped. Its limit then restarts empty, which is safe.
const IDLE_MAX: Nanos = 60 * SECOND;
/// Maximum number of volumes, since clients may name any. Beyond it, the half that has been without a
/// request for longest is dropped.
const MAX_VOLUMES: usize = 16_384;

/// The limits and the use of one volume, each for the part of this front.
#[derive(Clone, Debug)]
struct Volume {
    /// The limit in units; `None` if the plan has none.
    limit: Option<TokenBucket>,
    /// The reserve in units.
    reserve: TokenBucket,
    /// Units per second sent beyond the reserve.
    excess_rate: Rate,
    /// Maximum excess rate that is within the fair share of the volume, in units per second.
    fair_share: f64,
    /// When the latest request of the volume was received.
    requested_at: Nanos,
}

/// The volumes in use, and the limits that the fleet has assigned to volumes.
#[derive(Clone, Debug, Default)]
pub(crate) struct VolumeTable {
    volumes: BTreeMap<VolumeId, Volume>,
    /// The part of a volume's limit assigned to this front, in place of an equal part of the plan's
    /// limit.
    assigned_limits: BTreeMap<VolumeId, RateLimit>,
}

impl VolumeTable {
    /// Creates the volume of a request if it is new. Its limit starts empty, because a restarted
    /// front does not know its earlier use, and the capacity of its reserve always covers the
    /// largest request.
    pub fn ensure(&mut self, now: Nanos, request: &Request, settings: &Settings) {
        let assigned = &self.assigned_limits;
        let volume = self
            .volumes
            .entry(request.volume)
            .or_insert_with(|| Volume::new(now, request, settings, assigned.get(&request.volume)));
        volume.requested_at = now;
        if self.volumes.len() > MAX_VOLUMES {
            self.drop_longest_idle();
        }
    }

    /// Returns the number of volumes.
    pub fn len(&self) -> usize {
        self.volumes.len()
    }

    /// Drops the half of the volumes that has been without a request for longest.
    fn drop_longest_idle(&mut self) {
        let times = self.volumes.values().map(|volume| volume.requested_at);
        let mut times: Vec<Nanos> = times.collect();
        let middle = times.len() / 2;
        let median = *times.select_nth_unstable(middle).1;
        self.volumes
            .retain(|_, volume| volume.requested_at > median);
    }

    /// Returns whether the limit of its volume allows a request now. Classes with a lower priority
    /// weight than the highest have to leave a part of the burst to others.
    pub fn allows(&self, now: Nanos, request: &Request, settings: &Settings) -> bool {
        let Some(volume) = self.volumes.get(&request.volume) else {
            // The volume was dropped while the request waited; its limit would restart empty.
            return settings.plans[request.plan].limit_rate <= 0.0;
        };
        let Some(limit) = &volume.limit else {
            return true;
        };
        let weights = settings.classes.iter().map(|class| class.priority_weight);
        let highest_weight = weights.fold(0.0, f64::max).max(PRIORITY_WEIGHT_MIN);
        let relative_weight = settings.classes[request.class].priority_weight / highest_weight;
        let headroom = limit.capacity() * LIMIT_HEADROOM * (1.0 - relative_weight);
        let required = (request.units + headroom).min(limit.capacity());
        limit.rate() > 0.0 && limit.level_at(now) >= required
    }

    /// Returns the fraction of its full value that a request has: 1 for units within the reserve of
    /// its volume, and for the others the settings' value for use within or beyond the fair share.
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

    /// Charges the units of a first attempt to its volume.
    pub fn charge(&mut self, now: Nanos, id: VolumeId, units: f64) {
        if let Some(volume) = self.volumes.get_mut(&id) {
            volume.charge(now, units);
        }
    }

    /// Gives the units of a first attempt that was not sent after all back to the limit.
    pub fn refund(&mut self, id: VolumeId, units: f64) {
        if let Some(limit) = self.limit_mut(id) {
            limit.refund(units);
        }
    }

    /// Assigns a limit to a volume from `effective_at` on. Tokens that accrued before are kept up
    /// to the new burst.
    pub fn assign_limit(&mut self, id: VolumeId, limit: RateLimit, effective_at: Nanos) {
        self.assigned_limits.insert(id, limit);
        if let Some(bucket) = self.limit_mut(id) {
            bucket.set_limit(limit, effective_at);
        }
    }

    /// Drops idle volumes. An assigned limit with rate 0 is dropped with its volume.
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
    /// Creates a volume that has sent nothing yet, with the assigned limit or else an equal part of
    /// its plan's.
    fn new(
        now: Nanos,
        request: &Request,
        settings: &Settings,
        assigned: Option<&RateLimit>,
    ) -> Volume {
        let plan = &settings.plans[request.plan];
        let fronts = f64::from(request.front_count.max(1));
        let equal_part = RateLimit {
            rate: plan.limit_rate / fronts,
            burst: plan.limit_burst / fronts,
        };
        let limit = assigned.copied().unwrap_or(equal_part);
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
            requested_at: now,
        }
    }

    /// Charges units to the limit and to the reserve, and adds those beyond the reserve to the
    /// excess rate.
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

/// Returns the maximum excess rate within the fair share of a volume of a plan, in units per second
/// for one of `fronts` fronts.
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
