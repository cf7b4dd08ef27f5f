//! Configuration of the detector. All fronts of a fleet share it, except for each front's own
//! position and zone.

use crate::{Nanos, PeerId, ZoneId};

const MILLISECOND: Nanos = 1_000_000;
/// Denominator of [`DetectorConfig::max_clock_drift`].
const PARTS_PER_MILLION: i128 = 1_000_000;
/// With fewer witnesses, the evidence of a single front could cause an ejection.
const MIN_WITNESSES: usize = 2;

const DEFAULT_MIN_ATTEMPTS: f64 = 1.5;
const DEFAULT_MAX_WEIGHT: f64 = 20.0;
const DEFAULT_HEALTHY_FAILURE_RATE: f64 = 0.03;
const DEFAULT_BASELINE_FACTOR: f64 = 1.5;
const DEFAULT_OUTLIER_FAILURE_RATE: f64 = 0.3;
const DEFAULT_WITNESS_THRESHOLD: f64 = 1.5;
/// Odds of 100,000 to 1.
const DEFAULT_EJECTION_THRESHOLD: f64 = 11.5;
const DEFAULT_HALF_LIFE: Nanos = 5_000 * MILLISECOND;
const DEFAULT_EVIDENCE_TTL: Nanos = 10_000 * MILLISECOND;
const DEFAULT_VOTE_TTL: Nanos = 4_000 * MILLISECOND;
const DEFAULT_VOTE_DELAY: Nanos = 300 * MILLISECOND;
const DEFAULT_MAX_EJECTED_FRACTION: f64 = 0.5;
const DEFAULT_PROBE_TURN: Nanos = 500 * MILLISECOND;
const DEFAULT_PROBES_TO_READMIT: u8 = 8;
/// In parts per million.
const DEFAULT_CLOCK_DRIFT: u32 = 1_000;

/// Configuration of one front's detector.
#[derive(Clone, Debug, PartialEq)]
pub struct DetectorConfig {
    /// This front, by the position of its name in the sorted membership list, from 0.
    pub me: PeerId,
    /// Number of fronts in the membership list.
    pub fronts: u16,
    /// This front's zone.
    pub zone: ZoneId,
    /// Minimum number of fronts that must have evidence of their own against a server before any
    /// front votes for its ejection.
    pub witnesses: usize,
    /// Minimum number of attempts, with exponential decay, that a front must have made at a server
    /// before its evidence on it is compared with that of other fronts to find suspect fronts.
    pub min_attempts: f64,
    /// Maximum number of attempts that the evidence of one front counts as.
    pub max_weight: f64,
    /// Failure rate of a healthy server, as a fraction.
    pub healthy_failure_rate: f64,
    /// Multiple of the failure rate of the front's median server that a healthy server may have, if
    /// that is more than `healthy_failure_rate`.
    pub baseline_factor: f64,
    /// Minimum failure rate of an outlier, as a fraction.
    pub outlier_failure_rate: f64,
    /// Minimum log-likelihood ratio of a front's evidence that makes it a witness against a server.
    pub witness_threshold: f64,
    /// Minimum log-likelihood ratio of the evidence of all fronts that makes a server an outlier:
    /// 11.5 means odds of 100,000 to 1.
    pub ejection_threshold: f64,
    /// Half-life of the exponential decay of counted attempts.
    pub half_life: Nanos,
    /// Maximum age of evidence; older evidence is ignored.
    pub evidence_ttl: Nanos,
    /// Maximum age of votes; older votes are ignored.
    pub vote_ttl: Nanos,
    /// How long a front waits for further evidence of its peers before it votes.
    pub vote_delay: Nanos,
    /// Maximum fraction of all servers that may be ejected at a time.
    pub max_ejected_fraction: f64,
    /// Length of one turn in which a front probes an ejected server.
    pub probe_turn: Nanos,
    /// Number of probes in a row that must succeed for an ejected server to count as recovered and
    /// be readmitted.
    pub probes_to_readmit: u8,
    /// Maximum difference between two clocks over any time span, in millionths of the span.
    pub max_clock_drift: u32,
}

/// Why a configuration is invalid.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum DetectorConfigError {
    /// The position of the front is outside the membership list.
    #[error("position {me} is outside the membership list of {fronts} fronts")]
    UnknownPeer {
        /// The configured position of the front, from 0.
        me: PeerId,
        /// Number of fronts in the membership list.
        fronts: u16,
    },
    /// There are so few witnesses that a single front could cause an ejection.
    #[error("'witnesses' must be at least 2, not {0}")]
    Witnesses(usize),
    /// A fraction is out of range.
    #[error("'{name}' must be at least 0 and below 1, not {value}")]
    FractionOutOfRange {
        /// Name of the setting.
        name: &'static str,
        /// The configured value.
        value: f64,
    },
    /// The failure rate of a healthy server is not positive or not below that of an outlier.
    #[error("'good_part' must be above 0 and below 'bad_part' {outlier}, not {healthy}")]
    RatesOutOfOrder {
        /// Configured failure rate of a healthy server.
        healthy: f64,
        /// Configured failure rate of an outlier.
        outlier: f64,
    },
    /// A duration is not positive.
    #[error("'{0}' must be a positive duration")]
    NotPositive(&'static str),
}

impl DetectorConfig {
    /// Returns the default configuration of the front `me` of `fronts` fronts, in a zone.
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
    /// Returns the first problem found.
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

    /// Checks the fractions. Errors name them as the settings do.
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

    /// Checks the durations. Errors name them as the settings do.
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

    /// Returns how long after its publication a vote may count at any peer, by this front's clock:
    /// its time to live, lengthened by the maximum clock drift.
    pub fn vote_span(&self) -> Nanos {
        let allowance =
            i128::from(self.vote_ttl) * i128::from(self.max_clock_drift) / PARTS_PER_MILLION;
        self.vote_ttl + allowance as Nanos + 1
    }

    /// Returns the maximum number of servers that a front may vote to eject within
    /// [`Self::vote_span`], with `servers` in the endpoint list: half of what may be ejected, since
    /// each ejection needs the votes of more than half of the fronts.
    pub fn max_votes(&self, servers: usize) -> usize {
        (self.max_ejected_fraction * servers as f64 / 2.0) as usize
    }

    /// Returns the number of votes that eject a server: more than half of the fronts.
    pub fn quorum(&self) -> usize {
        usize::from(self.fronts) / 2 + 1
    }
}
