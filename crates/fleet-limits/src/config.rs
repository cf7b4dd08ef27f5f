//! Configuration that all fronts of a fleet share, except for each front's own position in the
//! membership list.

use crate::{Nanos, PeerId, Share, FULL_SHARE};

/// Denominator of [`LimitsConfig::max_clock_drift`].
pub(crate) const PARTS_PER_MILLION: i128 = 1_000_000;

/// In nanoseconds.
const MILLISECOND: Nanos = 1_000_000;
const DEFAULT_LEASE_DURATION: Nanos = 2_000 * MILLISECOND;
const DEFAULT_HEARTBEAT_INTERVAL: Nanos = 200 * MILLISECOND;
/// In parts per million.
const DEFAULT_CLOCK_DRIFT: u32 = 1_000;
const DEFAULT_FLOOR: Share = Share(FULL_SHARE.0 / 10);
/// Number of limits that one heartbeat may list.
const DEFAULT_MAX_LIMITS: usize = 1_000;

/// Minimum number of heartbeats in a lease duration, so that votes and leases are renewed in time.
const MIN_HEARTBEATS_PER_LEASE: Nanos = 4;
/// In parts per million: clocks that differ by more are considered broken.
const MAX_PLAUSIBLE_DRIFT: u32 = 100_000;

/// Configuration of one front's [`LimitCoordinator`](crate::LimitCoordinator).
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct LimitsConfig {
    /// Identifier of this front: the position of its name in the sorted membership list, from 0.
    pub me: PeerId,
    /// Number of fronts in the membership list.
    pub fronts: u16,
    /// Digest of the membership list. Only fronts with the same digest vote for and grant leases to
    /// each other.
    pub membership_digest: u64,
    /// Revision of the membership list, counted from 1.
    pub revision: u32,
    /// How long votes and leases last, in nanoseconds from when they were requested.
    pub lease_duration: Nanos,
    /// Interval between two heartbeats to the same peer, in nanoseconds.
    pub heartbeat_interval: Nanos,
    /// Maximum difference of two clocks over any time span, in millionths of that span.
    pub max_clock_drift: u32,
    /// The part of each limit that the fronts own permanently, divided equally among them.
    pub floor: Share,
    /// Maximum number of limits for which one heartbeat reports demand.
    pub max_limits: usize,
}

/// The reason why a configuration is invalid.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum LimitsConfigError {
    /// The position of the front is not in the membership list.
    #[error("position {me} is outside the membership list of {fronts} fronts")]
    UnknownPeer {
        /// Configured position of the front.
        me: PeerId,
        /// Number of fronts in the membership list.
        fronts: u16,
    },
    /// Heartbeats are too far apart for votes and leases to be renewed in time, or their interval is
    /// 0 or negative.
    #[error(
        "the heartbeat interval of {heartbeat_interval} ns must be above 0 and at most a quarter \
         of the lease duration of {lease_duration} ns"
    )]
    HeartbeatTooSlow {
        /// Configured lease duration, in nanoseconds.
        lease_duration: Nanos,
        /// Configured heartbeat interval, in nanoseconds.
        heartbeat_interval: Nanos,
    },
    /// The floor exceeds the whole limit.
    #[error("the floor of {0} millionths exceeds the whole limit")]
    Floor(Share),
    /// The maximum clock drift exceeds a tenth; clocks that differ by more are considered broken.
    #[error("a clock drift of {0} millionths exceeds one tenth")]
    Drift(u32),
}

impl LimitsConfig {
    /// Returns the default configuration of front `me` in a membership list of `fronts` fronts: a
    /// lease duration of 2 s, a heartbeat every 200 ms, clocks that differ by 0.1% at most, and a
    /// tenth of each limit as floors.
    pub fn new(me: PeerId, fronts: u16, membership_digest: u64) -> LimitsConfig {
        LimitsConfig {
            me,
            fronts,
            membership_digest,
            revision: 1,
            lease_duration: DEFAULT_LEASE_DURATION,
            heartbeat_interval: DEFAULT_HEARTBEAT_INTERVAL,
            max_clock_drift: DEFAULT_CLOCK_DRIFT,
            floor: DEFAULT_FLOOR,
            max_limits: DEFAULT_MAX_LIMITS,
        }
    }

    /// Validates the configuration.
    ///
    /// # Errors
    /// Returns the first problem that is found.
    pub fn check(&self) -> Result<(), LimitsConfigError> {
        if self.me.0 >= self.fronts {
            return Err(LimitsConfigError::UnknownPeer {
                me: self.me,
                fronts: self.fronts,
            });
        }
        let max_interval = self.lease_duration / MIN_HEARTBEATS_PER_LEASE;
        if self.heartbeat_interval <= 0 || self.heartbeat_interval > max_interval {
            return Err(LimitsConfigError::HeartbeatTooSlow {
                lease_duration: self.lease_duration,
                heartbeat_interval: self.heartbeat_interval,
            });
        }
        if self.floor > FULL_SHARE {
            return Err(LimitsConfigError::Floor(self.floor));
        }
        if self.max_clock_drift > MAX_PLAUSIBLE_DRIFT {
            return Err(LimitsConfigError::Drift(self.max_clock_drift));
        }
        Ok(())
    }

    /// Returns how long this front must wait by its own clock to be sure that `span` has passed by
    /// every peer's clock.
    pub fn with_drift(&self, span: Nanos) -> Nanos {
        let allowance = i128::from(span) * i128::from(self.max_clock_drift) / PARTS_PER_MILLION;
        span + allowance as Nanos + 1
    }

    /// Returns the lease duration extended by the clock drift. Once it has passed, everything that
    /// this front had granted before has expired by every peer's clock.
    pub(crate) fn lease_span(&self) -> Nanos {
        self.with_drift(self.lease_duration)
    }

    /// Returns whether this is the first membership list, which has no predecessor to wait for.
    pub(crate) fn is_first_revision(&self) -> bool {
        self.revision <= 1
    }

    /// Returns the share of each limit that every front owns permanently.
    pub fn floor_share(&self) -> Share {
        self.floor / u32::from(self.fronts.max(1))
    }

    /// Returns the share of each limit that belongs to every lease issuer.
    pub fn issuer_share(&self) -> Share {
        (FULL_SHARE - self.floor) / u32::from(self.fronts.max(1))
    }

    /// Returns the number of votes needed to hold a lease issuer, the holder's own included: half
    /// of the fronts for the issuer's owner (`is_owner`), more than half for any other front. The
    /// quorums of two different fronts for the same issuer always have a voter in common.
    pub fn quorum(&self, is_owner: bool) -> usize {
        let fronts = usize::from(self.fronts);
        if is_owner {
            fronts.div_ceil(2)
        } else {
            fronts / 2 + 1
        }
    }
}
