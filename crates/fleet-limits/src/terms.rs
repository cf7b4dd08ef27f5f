//! What all fronts of a fleet agree on beforehand, from the operators' files.

use crate::{Nanos, PeerId, Share, FULL_SHARE};

const MS: Nanos = 1_000_000;

/// The terms of one front.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct LimitsConfig {
    /// This front's place among the names of the roster, in their order.
    pub me: PeerId,
    /// How many names there are.
    pub fronts: PeerId,
    /// A digest of the roster: only fronts with the same one agree, lend and borrow.
    pub roster: u64,
    /// The roster's revision, from 1.
    pub revision: u32,
    /// How long an agreement and a loan last, counted from when it was asked for.
    pub lease_duration: Nanos,
    /// Between two beats to each other front.
    pub heartbeat_interval: Nanos,
    /// By how much two clocks may differ over a span, in millionths of it.
    pub max_clock_drift: u32,
    /// Part of a limit that the fronts own for good, all together.
    pub floor: Share,
    /// Most limits that a beat speaks of; those asked for the most come first.
    pub max_limits: usize,
}

/// Why terms cannot hold.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum LimitsConfigError {
    /// The place is not one of the roster's.
    #[error("place {me} is not in a roster of {fronts}")]
    UnknownPeer {
        /// The place.
        me: PeerId,
        /// How many there are.
        fronts: PeerId,
    },
    /// Beats are too far apart for agreements to be renewed in time.
    #[error("a life of {lease_duration} ns must hold at least four beats of {heartbeat_interval} ns")]
    HeartbeatTooSlow {
        /// The life.
        lease_duration: Nanos,
        /// The beat.
        heartbeat_interval: Nanos,
    },
    /// More than the whole would be owned for good.
    #[error("a floor of {0} millionths is more than the whole")]
    Floor(Share),
    /// Clocks that differ that much are broken.
    #[error("a drift of {0} millionths is more than a tenth")]
    Drift(u32),
}

impl LimitsConfig {
    /// The usual terms of the front at a place among so many: a life of 2 s, a beat of 200 ms, clocks within 0.1%,
    /// and a tenth of each limit as floors.
    pub fn new(me: PeerId, fronts: PeerId, roster: u64) -> LimitsConfig {
        let (life, beat) = (2_000 * MS, 200 * MS);
        let (drift, floor) = (1_000, FULL_SHARE / 10);
        LimitsConfig {
            me,
            fronts,
            roster,
            revision: 1,
            lease_duration: life,
            heartbeat_interval: beat,
            max_clock_drift: drift,
            floor,
            max_limits: 1_000,
        }
    }

    /// Whether the terms can hold.
    ///
    /// # Errors
    /// What is wrong with them.
    pub fn check(&self) -> Result<(), LimitsConfigError> {
        if self.me >= self.fronts {
            return Err(LimitsConfigError::UnknownPeer { me: self.me, fronts: self.fronts });
        }
        if self.heartbeat_interval <= 0 || self.lease_duration / 4 < self.heartbeat_interval {
            return Err(LimitsConfigError::HeartbeatTooSlow {
                lease_duration: self.lease_duration,
                heartbeat_interval: self.heartbeat_interval,
            });
        }
        if self.floor > FULL_SHARE {
            return Err(LimitsConfigError::Floor(self.floor));
        }
        if self.max_clock_drift > 100_000 {
            return Err(LimitsConfigError::Drift(self.max_clock_drift));
        }
        Ok(())
    }

    /// A span as the slower of two clocks may need for it: whoever gives waits this long.
    pub fn with_drift(&self, span: Nanos) -> Nanos {
        span + (i128::from(span) * i128::from(self.max_clock_drift) / 1_000_000) as Nanos + 1
    }

    /// The floor of each front.
    pub fn floor_share(&self) -> Share {
        self.floor / Share::from(self.fronts.max(1))
    }

    /// What each bank holds.
    pub fn issuer_share(&self) -> Share {
        (FULL_SHARE - self.floor) / Share::from(self.fronts.max(1))
    }

    /// How many fronts must agree to a holder of a bank, the holder counted: half where it is the bank's home, more
    /// than half where it is not. Any two such groups share a front.
    pub fn quorum(&self, home: bool) -> usize {
        let fronts = usize::from(self.fronts);
        if home {
            fronts.div_ceil(2)
        } else {
            fronts / 2 + 1
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn any_home_and_any_other_share_a_front_and_the_parts_fit_the_whole() {
        for fronts in 1..=400 {
            let terms = LimitsConfig::new(0, fronts, 1);
            assert!(terms.quorum(true) + terms.quorum(false) > usize::from(fronts), "{fronts}");
            assert!(
                (terms.floor_share() + terms.issuer_share()) * Share::from(fronts) <= FULL_SHARE,
                "{fronts}"
            );
        }
    }

    #[test]
    fn what_cannot_hold_is_said() {
        let fine = LimitsConfig::new(0, 4, 1);
        assert_eq!(fine.check(), Ok(()));
        let wrong = [
            LimitsConfig { me: 4, ..fine.clone() },
            LimitsConfig { heartbeat_interval: fine.lease_duration, ..fine.clone() },
            LimitsConfig { floor: FULL_SHARE + 1, ..fine.clone() },
            LimitsConfig { max_clock_drift: 200_000, ..fine },
        ];
        let said: Vec<String> =
            wrong.iter().map(|t| t.check().expect_err("it cannot hold").to_string()).collect();
        assert_eq!(said[0], "place 4 is not in a roster of 4");
        assert!(said[1].contains("four beats") && said[2].contains("floor") && said[3].contains("drift"));
    }
}
