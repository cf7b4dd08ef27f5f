//! Configuration that all fronts of a fleet share, except for each front's own position and zone.

use crate::{Nanos, PeerId, ZoneId};

const MILLISECOND: Nanos = 1_000_000;
/// Denominator of [`DetectorConfig::max_clock_drift`].
const PARTS_PER_MILLION: i128 = 1_000_000;
/// With fewer witnesses, a single front could have a server ejected.
const MIN_WITNESSES: usize = 2;

const DEFAULT_MIN_ATTEMPTS: f64 = 1.5;
const DEFAULT_MAX_WEIGHT: f64 = 20.0;
const DEFAULT_HEALTHY_FAILURE_RATE: f64 = 0.03;
const DEFAULT_BASELINE_FACTOR: f64 = 1.5;
const DEFAULT_OUTLIER_FAILURE_RATE: f64 = 0.3;
const DEFAULT_WITNESS_THRESHOLD: f64 = 1.5;
/// 100,000 to 1.
const DEFAULT_EJECTION_THRESHOLD: f64 = 11.5;
const DEFAULT_HALF_LIFE: Nanos = 5_000 * MILLISECOND;
const DEFAULT_EVIDENCE_TTL: Nanos = 10_000 * MILLISECOND;
const DEFAULT_VOTE_TTL: Nanos = 4_000 * MILLISECOND;
const DEFAULT_VOTE_DELAY: Nanos = 300 * MILLISECOND;
const DEFAULT_MAX_EJECTED_FRACTION: f64 = 0.5;
const DEFAULT_PROBE_TURN: Nanos = 500 * MILLISECOND;
const DEFAULT_PROBES_TO_READMIT: u8 = 8;
/// In millionths.
const DEFAULT_CLOCK_DRIFT: u32 = 1_000;

/// Configuration of one front.
#[derive(Clone, Debug, PartialEq)]
pub struct DetectorConfig {
    /// This front: the position of its name in the sorted roster, from 0.
    pub me: PeerId,
    /// Number of fronts in the roster.
    pub fronts: u16,
    /// This front's zone.
    pub zone: ZoneId,
    /// Fronts that must have evidence of their own against a server before any front votes for its
    /// ejection.
    pub witnesses: usize,
    /// Attempts, with exponential decay, that a front must have made at a server before the two are
    /// compared with the other fronts to find suspect fronts.
    pub min_attempts: f64,
    /// Attempts that the evidence of one front counts as at most.
    pub max_weight: f64,
    /// Failure rate of a healthy server, as a fraction.
    pub healthy_failure_rate: f64,
    /// A healthy server may fail this many times as often as the front's median server, if that is
    /// more.
    pub baseline_factor: f64,
    /// Minimum failure rate of an outlier, as a fraction.
    pub outlier_failure_rate: f64,
    /// Log-likelihood ratio from which a front's evidence makes it a witness against a server.
    pub witness_threshold: f64,
    /// Log-likelihood ratio of all evidence together from which a server is an outlier: 11.5 is
    /// 100,000 to 1.
    pub ejection_threshold: f64,
    /// Half-life of the exponential decay of attempts.
    pub half_life: Nanos,
    /// Older evidence is ignored.
    pub evidence_ttl: Nanos,
    /// Older votes are ignored.
    pub vote_ttl: Nanos,
    /// How long a front waits for the evidence of its peers before it votes.
    pub vote_delay: Nanos,
    /// Maximum fraction of all servers that may be ejected at a time.
    pub max_ejected_fraction: f64,
    /// How long it is one front's turn to probe an ejected server.
    pub probe_turn: Nanos,
    /// Probes that must succeed in a row for a server to be readmitted.
    pub probes_to_readmit: u8,
    /// How much two clocks may differ over any time span, in millionths of it.
    pub max_clock_drift: u32,
}

/// Why a configuration is invalid.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum DetectorConfigError {
    /// The front is not in the roster.
    #[error("place {me} is not in a roster of {fronts}")]
    UnknownPeer {
        /// The front.
        me: PeerId,
        /// Number of fronts in the roster.
        fronts: u16,
    },
    /// A single front could have a server ejected.
    #[error("a verdict needs two witnesses or more, and {0} were asked for")]
    Witnesses(usize),
    /// A fraction is out of range.
    #[error("'{name}' must be a part between 0 and 1, and {value} was told")]
    FractionOutOfRange {
        /// The setting.
        name: &'static str,
        /// Its value.
        value: f64,
    },
    /// A healthy server would fail as often as an outlier.
    #[error("'good_part' {healthy} must be above 0 and below 'bad_part' {outlier}")]
    RatesOutOfOrder {
        /// Failure rate of a healthy server.
        healthy: f64,
        /// Failure rate of an outlier.
        outlier: f64,
    },
    /// A duration is not positive.
    #[error("'{0}' must be longer than nothing")]
    NotPositive(&'static str),
}

impl DetectorConfig {
    /// The default configuration of front `me` of a roster of `fronts`, in a zone.
    pub fn new(me: PeerId, fronts: u16, zone: ZoneId) -> DetectorConfig {
        DetectorConfig {
            me,
            fronts,
            zone,
            witnesses: MIN_WITNESSES,
            min_attempts: DEFAULT_MIN_ATTEMPTS,
            max_weight: DEFAULT_MAX_WEIGHT,
            healthy_failure_rate: DEFAULT_HEALTHY_FAILURE_RATE,
            baseline_factor: DEFAULT_BASELINE_FACTOR,
            outlier_failure_rate: DEFAULT_OUTLIER_FAILURE_RATE,
            witness_threshold: DEFAULT_WITNESS_THRESHOLD,
            ejection_threshold: DEFAULT_EJECTION_THRESHOLD,
            half_life: DEFAULT_HALF_LIFE,
            evidence_ttl: DEFAULT_EVIDENCE_TTL,
            vote_ttl: DEFAULT_VOTE_TTL,
            vote_delay: DEFAULT_VOTE_DELAY,
            max_ejected_fraction: DEFAULT_MAX_EJECTED_FRACTION,
            probe_turn: DEFAULT_PROBE_TURN,
            probes_to_readmit: DEFAULT_PROBES_TO_READMIT,
            max_clock_drift: DEFAULT_CLOCK_DRIFT,
        }
    }

    /// Validates the configuration.
    ///
    /// # Errors
    /// The first problem that is found.
    pub fn check(&self) -> Result<(), DetectorConfigError> {
        if self.me.0 >= self.fronts {
            return Err(DetectorConfigError::UnknownPeer {
                me: self.me,
                fronts: self.fronts,
            });
        }
        if self.witnesses < MIN_WITNESSES {
            return Err(DetectorConfigError::Witnesses(self.witnesses));
        }
        self.check_fractions()?;
        self.check_durations()
    }

    /// Checks the fractions under the names that they have in the settings file.
    fn check_fractions(&self) -> Result<(), DetectorConfigError> {
        let fractions = [
            ("good_part", self.healthy_failure_rate),
            ("bad_part", self.outlier_failure_rate),
            ("most_out", self.max_ejected_fraction),
        ];
        for (name, value) in fractions {
            if !(0.0..1.0).contains(&value) {
                return Err(DetectorConfigError::FractionOutOfRange { name, value });
            }
        }
        let healthy = self.healthy_failure_rate;
        let outlier = self.outlier_failure_rate;
        if healthy <= 0.0 || healthy >= outlier {
            return Err(DetectorConfigError::RatesOutOfOrder { healthy, outlier });
        }
        Ok(())
    }

    /// Checks the durations under the names that they have in the settings file.
    fn check_durations(&self) -> Result<(), DetectorConfigError> {
        let durations = [
            ("half_life", self.half_life),
            ("evidence_life", self.evidence_ttl),
            ("assent_life", self.vote_ttl),
            ("turn", self.probe_turn),
        ];
        match durations.into_iter().find(|(_, duration)| *duration <= 0) {
            Some((name, _)) => Err(DetectorConfigError::NotPositive(name)),
            None => Ok(()),
        }
    }

    /// How long after its publication a vote may count at any peer, by this front's clock.
    pub fn vote_span(&self) -> Nanos {
        let allowance =
            i128::from(self.vote_ttl) * i128::from(self.max_clock_drift) / PARTS_PER_MILLION;
        self.vote_ttl + allowance as Nanos + 1
    }

    /// Maximum number of servers, of all known ones, that a front may vote to eject within
    /// [`Self::vote_span`]: half of what may be ejected, since each ejection needs more than half
    /// of the fronts.
    pub fn max_votes(&self, servers: usize) -> usize {
        (self.max_ejected_fraction * servers as f64 / 2.0) as usize
    }

    /// Votes that are needed to eject a server: more than half of the fronts.
    pub fn quorum(&self) -> usize {
        usize::from(self.fronts) / 2 + 1
    }
}
