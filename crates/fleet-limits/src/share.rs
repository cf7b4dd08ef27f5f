//! Shares of limits, as integers in millionths of a whole limit.

use std::iter::Sum;
use std::ops::{Add, AddAssign, Div, Mul, Sub};

tulipbridge_membership::numeric_newtype! {
    /// A share of a limit in millionths, so that [`FULL_SHARE`] is the whole limit of the fleet.
    Share(u32)
}

/// The whole limit.
pub const FULL_SHARE: Share = Share(1_000_000);

impl Share {
    /// The empty share: nothing of the limit may be used.
    pub const NONE: Share = Share(0);

    /// Returns the share as a fraction of the whole limit, where 1 is [`FULL_SHARE`].
    pub fn as_fraction(self) -> f64 {
        f64::from(self.0) / f64::from(FULL_SHARE.0)
    }

    /// Returns the sum, capped at the largest representable share.
    #[must_use]
    pub fn saturating_add(self, other: Share) -> Share {
        Share(self.0.saturating_add(other.0))
    }

    /// Returns the difference, or [`Share::NONE`] if `other` is larger.
    #[must_use]
    pub fn saturating_sub(self, other: Share) -> Share {
        Share(self.0.saturating_sub(other.0))
    }
}

impl Add for Share {
    type Output = Share;

    fn add(self, other: Share) -> Share {
        Share(self.0 + other.0)
    }
}

impl AddAssign for Share {
    fn add_assign(&mut self, other: Share) {
        self.0 += other.0;
    }
}

impl Sub for Share {
    type Output = Share;

    fn sub(self, other: Share) -> Share {
        Share(self.0 - other.0)
    }
}

impl Mul<u32> for Share {
    type Output = Share;

    fn mul(self, factor: u32) -> Share {
        Share(self.0 * factor)
    }
}

impl Div<u32> for Share {
    type Output = Share;

    /// Divides the share, rounding down to whole millionths.
    fn div(self, divisor: u32) -> Share {
        Share(self.0 / divisor)
    }
}

impl Sum for Share {
    fn sum<I: Iterator<Item = Share>>(shares: I) -> Share {
        Share(shares.map(|share| share.0).sum())
    }
}
