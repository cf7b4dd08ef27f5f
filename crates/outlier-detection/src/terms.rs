//! What all fronts of a fleet agree on beforehand.

use crate::{Nanos, PeerId, Zone};

const MS: Nanos = 1_000_000;

/// The terms of one front.
#[derive(Clone, Debug, PartialEq)]
pub struct Terms {
    /// This front's place in the roster.
    pub me: PeerId,
    /// How many fronts there are.
    pub fronts: PeerId,
    /// This front's zone.
    pub zone: Zone,
    /// Fronts that must have seen a server do badly before anybody assents to hold it out.
    pub witnesses: usize,
    /// Attempts, faded, from which on a front's evidence says anything of the front itself.
    pub least: f64,
    /// Attempts that one front's evidence weighs as at the most.
    pub weight_most: f64,
    /// The part of bad attempts that a server which does well may have.
    pub good_part: f64,
    /// Where more is bad at the front's median server, this many times that part.
    pub base_times: f64,
    /// The part of bad attempts that a server which does badly has at least.
    pub bad_part: f64,
    /// How much more likely what one front saw must be for a bad server than for a good one, as a logarithm, for the
    /// front to be a witness.
    pub witness: f64,
    /// The same for what all trusted fronts saw together, for a verdict: 11.5 is 100,000 to 1.
    pub proof: f64,
    /// Evidence counts for less by half after this time.
    pub half_life: Nanos,
    /// Evidence that is older counts for nothing.
    pub evidence_life: Nanos,
    /// An assent that is older counts for nothing.
    pub assent_life: Nanos,
    /// What others saw is waited for this long before a front assents.
    pub wait: Nanos,
    /// Part of all servers that may be held out at a time.
    pub most_out: f64,
    /// How long it is one front's turn to try a server that is held out.
    pub turn: Nanos,
    /// Good trials in a row that end a verdict.
    pub good_trials: u8,
    /// By how much two clocks may differ over a span, in millionths of it.
    pub drift: u32,
}

/// Why terms cannot hold.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum TermsError {
    /// The place is not one of the roster's.
    #[error("place {me} is not in a roster of {fronts}")]
    Place {
        /// The place.
        me: PeerId,
        /// How many there are.
        fronts: PeerId,
    },
    /// One front could condemn a server by itself.
    #[error("a verdict needs two witnesses or more, and {0} were asked for")]
    Witnesses(usize),
    /// A part that is none.
    #[error("'{name}' must be a part between 0 and 1, and {told} was told")]
    Part {
        /// Which.
        name: &'static str,
        /// What was told.
        told: f64,
    },
    /// What is well would be worse than what is bad.
    #[error("'good_part' {good} must be above 0 and below 'bad_part' {bad}")]
    Parts {
        /// Of what does well.
        good: f64,
        /// Of what does badly.
        bad: f64,
    },
    /// A time that is too short.
    #[error("'{0}' must be longer than nothing")]
    Time(&'static str),
}

impl Terms {
    /// The usual terms of the front at a place among so many, in a zone.
    pub fn new(me: PeerId, fronts: PeerId, zone: Zone) -> Terms {
        Terms {
            me,
            fronts,
            zone,
            witnesses: 2,
            least: 1.5,
            weight_most: 20.0,
            good_part: 0.03,
            base_times: 1.5,
            bad_part: 0.3,
            witness: 1.5,
            proof: 11.5,
            half_life: 5_000 * MS,
            evidence_life: 10_000 * MS,
            assent_life: 4_000 * MS,
            wait: 300 * MS,
            most_out: 0.5,
            turn: 500 * MS,
            good_trials: 8,
            drift: 1_000,
        }
    }

    /// Whether the terms can hold.
    ///
    /// # Errors
    /// What is wrong with them.
    pub fn check(&self) -> Result<(), TermsError> {
        if self.me >= self.fronts {
            return Err(TermsError::Place { me: self.me, fronts: self.fronts });
        }
        if self.witnesses < 2 {
            return Err(TermsError::Witnesses(self.witnesses));
        }
        let parts = [("good_part", self.good_part), ("bad_part", self.bad_part), ("most_out", self.most_out)];
        for (name, told) in parts {
            if !(0.0..1.0).contains(&told) {
                return Err(TermsError::Part { name, told });
            }
        }
        if self.good_part <= 0.0 || self.good_part >= self.bad_part {
            return Err(TermsError::Parts { good: self.good_part, bad: self.bad_part });
        }
        let times = [
            ("half_life", self.half_life),
            ("evidence_life", self.evidence_life),
            ("assent_life", self.assent_life),
            ("turn", self.turn),
        ];
        times.into_iter().find(|(_, time)| *time <= 0).map_or(Ok(()), |(name, _)| Err(TermsError::Time(name)))
    }

    /// How long an assent may count somewhere after it was put, by this front's clock.
    pub fn assent_span(&self) -> Nanos {
        self.assent_life + (i128::from(self.assent_life) * i128::from(self.drift) / 1_000_000) as Nanos + 1
    }

    /// Servers that a front may assent to hold out within [`Terms::assent_span`], of so many: half of what may be out,
    /// since more than half of the fronts stand behind each.
    pub fn most_assents(&self, servers: usize) -> usize {
        (self.most_out * servers as f64 / 2.0) as usize
    }

    /// How many fronts must assent.
    pub fn quorum(&self) -> usize {
        usize::from(self.fronts) / 2 + 1
    }
}
