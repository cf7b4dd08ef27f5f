//! What all fronts of a fleet agree on beforehand.

use crate::{Nanos, PeerId, Zone};

const MS: Nanos = 1_000_000;

/// The terms of one front.
#[derive(Clone, Debug, PartialEq)]
pub struct DetectorConfig {
    /// This front's place in the roster.
    pub me: PeerId,
    /// How many fronts there are.
    pub fronts: PeerId,
    /// This front's zone.
    pub zone: Zone,
    /// Fronts that must have seen a server do badly before anybody assents to hold it out.
    pub witnesses: usize,
    /// Attempts, faded, from which on a front's evidence says anything of the front itself.
    pub min_attempts: f64,
    /// Attempts that one front's evidence weighs as at the most.
    pub max_weight: f64,
    /// The part of bad attempts that a server which does well may have.
    pub healthy_failure_rate: f64,
    /// Where more is bad at the front's median server, this many times that part.
    pub baseline_factor: f64,
    /// The part of bad attempts that a server which does badly has at least.
    pub outlier_failure_rate: f64,
    /// How much more likely what one front saw must be for a bad server than for a good one, as a logarithm, for the
    /// front to be a witness.
    pub witness_threshold: f64,
    /// The same for what all trusted fronts saw together, for a verdict: 11.5 is 100,000 to 1.
    pub ejection_threshold: f64,
    /// Evidence counts for less by half after this time.
    pub half_life: Nanos,
    /// Evidence that is older counts for nothing.
    pub evidence_ttl: Nanos,
    /// An assent that is older counts for nothing.
    pub vote_ttl: Nanos,
    /// What others saw is waited for this long before a front assents.
    pub vote_delay: Nanos,
    /// Part of all servers that may be held out at a time.
    pub max_ejected_fraction: f64,
    /// How long it is one front's turn to try a server that is held out.
    pub probe_turn: Nanos,
    /// Good trials in a row that end a verdict.
    pub probes_to_readmit: u8,
    /// By how much two clocks may differ over a span, in millionths of it.
    pub max_clock_drift: u32,
}

/// Why terms cannot hold.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum DetectorConfigError {
    /// The place is not one of the roster's.
    #[error("place {me} is not in a roster of {fronts}")]
    UnknownPeer {
        /// The place.
        me: PeerId,
        /// How many there are.
        fronts: PeerId,
    },
    /// One front could condemn a server by itself.
    #[error("a verdict needs two witnesses or more, and {0} were asked for")]
    Witnesses(usize),
    /// A part that is none.
    #[error("'{name}' must be a part between 0 and 1, and {value} was told")]
    FractionOutOfRange {
        /// Which.
        name: &'static str,
        /// What was told.
        value: f64,
    },
    /// What is well would be worse than what is bad.
    #[error("'good_part' {healthy} must be above 0 and below 'bad_part' {outlier}")]
    RatesOutOfOrder {
        /// Of what does well.
        healthy: f64,
        /// Of what does badly.
        outlier: f64,
    },
    /// A time that is too short.
    #[error("'{0}' must be longer than nothing")]
    NotPositive(&'static str),
}

impl DetectorConfig {
    /// The usual terms of the front at a place among so many, in a zone.
    pub fn new(me: PeerId, fronts: PeerId, zone: Zone) -> DetectorConfig {
        DetectorConfig {
            me,
            fronts,
            zone,
            witnesses: 2,
            min_attempts: 1.5,
            max_weight: 20.0,
            healthy_failure_rate: 0.03,
            baseline_factor: 1.5,
            outlier_failure_rate: 0.3,
            witness_threshold: 1.5,
            ejection_threshold: 11.5,
            half_life: 5_000 * MS,
            evidence_ttl: 10_000 * MS,
            vote_ttl: 4_000 * MS,
            vote_delay: 300 * MS,
            max_ejected_fraction: 0.5,
            probe_turn: 500 * MS,
            probes_to_readmit: 8,
            max_clock_drift: 1_000,
        }
    }

    /// Whether the terms can hold.
    ///
    /// # Errors
    /// What is wrong with them.
    pub fn check(&self) -> Result<(), DetectorConfigError> {
        if self.me >= self.fronts {
            return Err(DetectorConfigError::UnknownPeer { me: self.me, fronts: self.fronts });
        }
        if self.witnesses < 2 {
            return Err(DetectorConfigError::Witnesses(self.witnesses));
        }
        let parts = [
            ("good_part", self.healthy_failure_rate),
            ("bad_part", self.outlier_failure_rate),
            ("most_out", self.max_ejected_fraction),
        ];
        for (name, told) in parts {
            if !(0.0..1.0).contains(&told) {
                return Err(DetectorConfigError::FractionOutOfRange { name, value: told });
            }
        }
        if self.healthy_failure_rate <= 0.0 || self.healthy_failure_rate >= self.outlier_failure_rate {
            return Err(DetectorConfigError::RatesOutOfOrder {
                healthy: self.healthy_failure_rate,
                outlier: self.outlier_failure_rate,
            });
        }
        let times = [
            ("half_life", self.half_life),
            ("evidence_life", self.evidence_ttl),
            ("assent_life", self.vote_ttl),
            ("turn", self.probe_turn),
        ];
        times
            .into_iter()
            .find(|(_, time)| *time <= 0)
            .map_or(Ok(()), |(name, _)| Err(DetectorConfigError::NotPositive(name)))
    }

    /// How long an assent may count somewhere after it was put, by this front's clock.
    pub fn vote_span(&self) -> Nanos {
        self.vote_ttl
            + (i128::from(self.vote_ttl) * i128::from(self.max_clock_drift) / 1_000_000) as Nanos
            + 1
    }

    /// Servers that a front may assent to hold out within [`Terms::assent_span`], of so many: half of what may be out,
    /// since more than half of the fronts stand behind each.
    pub fn max_votes(&self, servers: usize) -> usize {
        (self.max_ejected_fraction * servers as f64 / 2.0) as usize
    }

    /// How many fronts must assent.
    pub fn quorum(&self) -> usize {
        usize::from(self.fronts) / 2 + 1
    }
}
