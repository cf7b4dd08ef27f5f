//! Configuration that all fronts of a fleet share, except for each front's own position in the
//! roster.

use crate::{Nanos, PeerId, Share, FULL_SHARE};

/// Denominator of [`LimitsConfig::max_clock_drift`].
pub(crate) const PARTS_PER_MILLION: i128 = 1_000_000;

const MILLISECOND: Nanos = 1_000_000;
const DEFAULT_LEASE_DURATION: Nanos = 2_000 * MILLISECOND;
const DEFAULT_HEARTBEAT_INTERVAL: Nanos = 200 * MILLISECOND;
/// In millionths.
const DEFAULT_CLOCK_DRIFT: u32 = 1_000;
const DEFAULT_FLOOR: Share = Share(FULL_SHARE.0 / 10);
/// In limits for each heartbeat.
const DEFAULT_MAX_LIMITS: usize = 1_000;

/// Heartbeats that must fit into a lease duration, so that votes and leases can be renewed in time.
const MIN_HEARTBEATS_PER_LEASE: Nanos = 4;
/// In millionths: clocks that differ by more are broken.
const MAX_PLAUSIBLE_DRIFT: u32 = 100_000;

/// Configuration of one front.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct LimitsConfig {
    /// This front: the position of its name in the sorted roster, from 0.
    pub me: PeerId,
    /// Number of fronts in the roster.
    pub fronts: u16,
    /// Digest of the roster: only fronts with the same one vote for and grant leases to each other.
    pub membership_digest: u64,
    /// Revision of the roster, from 1.
    pub revision: u32,
    /// How long votes and leases last, counted from when they were requested.
    pub lease_duration: Nanos,
    /// Interval between two heartbeats to each peer.
    pub heartbeat_interval: Nanos,
    /// How much two clocks may differ over any time span, in millionths of it.
    pub max_clock_drift: u32,
    /// The part of each limit that all fronts together own for good.
    pub floor: Share,
    /// Maximum number of limits in a heartbeat.
    pub max_limits: usize,
}

/// Why a configuration is invalid.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum LimitsConfigError {
    /// The front is not in the roster.
    #[error("place {me} is not in a roster of {fronts}")]
    UnknownPeer {
        /// The front.
        me: PeerId,
        /// Number of fronts in the roster.
        fronts: u16,
    },
    /// Heartbeats are too far apart for votes and leases to be renewed in time.
    #[error(
        "a life of {lease_duration} ns must hold at least four beats of {heartbeat_interval} ns"
    )]
    HeartbeatTooSlow {
        /// The lease duration.
        lease_duration: Nanos,
        /// The heartbeat interval.
        heartbeat_interval: Nanos,
    },
    /// The floor exceeds the limit.
    #[error("a floor of {0} millionths is more than the whole")]
    Floor(Share),
    /// The clock drift is implausibly large.
    #[error("a drift of {0} millionths is more than a tenth")]
    Drift(u32),
}

impl LimitsConfig {
    /// The default configuration of front `me` of a roster of `fronts`: a lease duration of 2 s, a
    /// heartbeat every 200 ms, clocks that differ by 0.1% at most, and a tenth of each limit as
    /// floors.
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
    /// The first problem that is found.
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

    /// A time span as this front must measure it to be sure that it has passed by every peer's
    /// clock.
    pub fn with_drift(&self, span: Nanos) -> Nanos {
        let allowance = i128::from(span) * i128::from(self.max_clock_drift) / PARTS_PER_MILLION;
        span + allowance as Nanos + 1
    }

    /// The lease duration with drift: after it, whatever this front has granted has expired by
    /// every clock.
    pub(crate) fn lease_span(&self) -> Nanos {
        self.with_drift(self.lease_duration)
    }

    /// Whether the roster is the first one, which has no predecessor to wait for.
    pub(crate) fn is_first_revision(&self) -> bool {
        self.revision <= 1
    }

    /// The share of each limit that a front owns for good.
    pub fn floor_share(&self) -> Share {
        self.floor / u32::from(self.fronts.max(1))
    }

    /// The share of each limit that each lease issuer has.
    pub fn issuer_share(&self) -> Share {
        (FULL_SHARE - self.floor) / u32::from(self.fronts.max(1))
    }

    /// Votes that are needed to hold a lease issuer, the holder's own included: half of the fronts
    /// for its home (`home`), more than half for any other. Any two such groups of voters have a
    /// front in common.
    pub fn quorum(&self, home: bool) -> usize {
        let fronts = usize::from(self.fronts);
        if home {
            fronts.div_ceil(2)
        } else {
            fronts / 2 + 1
        }
    }
}
