//! What the front knows of a volume.

use crate::interface::{Nanos, Plan};
use crate::state::statistics::Rate;
use crate::state::token_bucket::{RateLimit, TokenBucket};

/// The limits and the use of a volume, each as the part of this front.
#[derive(Clone, Debug)]
pub struct Volume {
    /// The limit in units; absent where the plan has none.
    pub limit: Option<TokenBucket>,
    /// The reserve in units.
    pub reserve: TokenBucket,
    /// Units per second sent beyond the reserve.
    pub excess_rate: Rate,
    /// Units per second beyond the reserve that are within its fair share.
    pub fair_share: f64,
}

impl Volume {
    /// A volume of a plan that works through `fronts` fronts. Its limit is the one that the fleet assigned, or an even
    /// part; it starts empty, as a restarted front forgets what it used. The reserve always holds the largest request.
    pub fn new(
        plan: &Plan,
        fronts: f64,
        assigned: Option<RateLimit>,
        max_units: f64,
        fair_share: f64,
        now: Nanos,
    ) -> Volume {
        let even_part = RateLimit { rate: plan.limit_rate / fronts, burst: plan.limit_burst / fronts };
        let limit = assigned.unwrap_or(even_part);
        let limit = (plan.limit_rate > 0.0).then(|| limit.empty_bucket(now));
        let rate = plan.reserve_rate / fronts;
        let reserve = TokenBucket::new(rate, rate + max_units, rate.min(max_units), now);
        Volume { limit, reserve, excess_rate: Rate::new(now), fair_share }
    }

    /// Charges the units of a first attempt to the limit, the reserve and, past that, the excess rate.
    pub fn charge(&mut self, now: Nanos, units: f64, memory: f64) {
        if let Some(limit) = &mut self.limit {
            limit.charge(now, units);
        }
        self.reserve.refill(now);
        let reserved = units.min(self.reserve.level);
        self.reserve.level -= reserved;
        self.excess_rate.add(now, units - reserved, memory);
    }
}
