//! What all fronts of a fleet agree on beforehand, from the operators' files.

use crate::{Nanos, Part, PeerId, WHOLE};

const MS: Nanos = 1_000_000;

/// The terms of one front.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Terms {
    /// This front's place among the names of the roster, in their order.
    pub me: PeerId,
    /// How many names there are.
    pub fronts: PeerId,
    /// A digest of the roster: only fronts with the same one agree, lend and borrow.
    pub roster: u64,
    /// The roster's revision, from 1.
    pub revision: u32,
    /// How long an agreement and a loan last, counted from when it was asked for.
    pub life: Nanos,
    /// Between two beats to each other front.
    pub beat: Nanos,
    /// By how much two clocks may differ over a span, in millionths of it.
    pub drift: u32,
    /// Part of a limit that the fronts own for good, all together.
    pub floor: Part,
    /// Most limits that a beat speaks of; those asked for the most come first.
    pub most_limits: usize,
}

/// Why terms cannot hold.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum TermsError {
    /// The place is not one of the roster's.
    #[error("place {me} is not in a roster of {fronts}")]
    Place {
        /// The place.
        me: PeerId,
        /// How many there are.
        fronts: PeerId,
    },
    /// Beats are too far apart for agreements to be renewed in time.
    #[error("a life of {life} ns must hold at least four beats of {beat} ns")]
    Beats {
        /// The life.
        life: Nanos,
        /// The beat.
        beat: Nanos,
    },
    /// More than the whole would be owned for good.
    #[error("a floor of {0} millionths is more than the whole")]
    Floor(Part),
    /// Clocks that differ that much are broken.
    #[error("a drift of {0} millionths is more than a tenth")]
    Drift(u32),
}

impl Terms {
    /// The usual terms of the front at a place among so many: a life of 2 s, a beat of 200 ms, clocks within 0.1%,
    /// and a tenth of each limit as floors.
    pub fn new(me: PeerId, fronts: PeerId, roster: u64) -> Terms {
        let (life, beat) = (2_000 * MS, 200 * MS);
        let (drift, floor) = (1_000, WHOLE / 10);
        Terms { me, fronts, roster, revision: 1, life, beat, drift, floor, most_limits: 1_000 }
    }

    /// Whether the terms can hold.
    ///
    /// # Errors
    /// What is wrong with them.
    pub fn check(&self) -> Result<(), TermsError> {
        if self.me >= self.fronts {
            return Err(TermsError::Place { me: self.me, fronts: self.fronts });
        }
        if self.beat <= 0 || self.life / 4 < self.beat {
            return Err(TermsError::Beats { life: self.life, beat: self.beat });
        }
        if self.floor > WHOLE {
            return Err(TermsError::Floor(self.floor));
        }
        if self.drift > 100_000 {
            return Err(TermsError::Drift(self.drift));
        }
        Ok(())
    }

    /// A span as the slower of two clocks may need for it: whoever gives waits this long.
    pub fn stretched(&self, span: Nanos) -> Nanos {
        span + (i128::from(span) * i128::from(self.drift) / 1_000_000) as Nanos + 1
    }

    /// The floor of each front.
    pub fn floor_part(&self) -> Part {
        self.floor / Part::from(self.fronts.max(1))
    }

    /// What each bank holds.
    pub fn bank_part(&self) -> Part {
        (WHOLE - self.floor) / Part::from(self.fronts.max(1))
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
            let terms = Terms::new(0, fronts, 1);
            assert!(terms.quorum(true) + terms.quorum(false) > usize::from(fronts), "{fronts}");
            assert!((terms.floor_part() + terms.bank_part()) * Part::from(fronts) <= WHOLE, "{fronts}");
        }
    }

    #[test]
    fn what_cannot_hold_is_said() {
        let fine = Terms::new(0, 4, 1);
        assert_eq!(fine.check(), Ok(()));
        let wrong = [
            Terms { me: 4, ..fine.clone() },
            Terms { beat: fine.life, ..fine.clone() },
            Terms { floor: WHOLE + 1, ..fine.clone() },
            Terms { drift: 200_000, ..fine },
        ];
        let said: Vec<String> =
            wrong.iter().map(|t| t.check().expect_err("it cannot hold").to_string()).collect();
        assert_eq!(said[0], "place 4 is not in a roster of 4");
        assert!(said[1].contains("four beats") && said[2].contains("floor") && said[3].contains("drift"));
    }
}
