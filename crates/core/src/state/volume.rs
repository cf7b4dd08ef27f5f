//! What the front knows of a volume.

use crate::interface::Nanos;
use crate::state::statistics::Rate;
use crate::state::token_bucket::TokenBucket;

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
    /// A volume that has sent nothing yet.
    pub fn new(
        limit: Option<TokenBucket>,
        reserve: TokenBucket,
        fair_share: f64,
        now: Nanos,
    ) -> Volume {
        Volume {
            limit,
            reserve,
            excess_rate: Rate::new(now),
            fair_share,
        }
    }

    /// Charges the units of a first attempt to the limit, the reserve and, past that, the excess
    /// rate.
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
