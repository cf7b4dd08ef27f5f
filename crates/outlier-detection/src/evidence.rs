//! What a front saw of a server.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::mutations::{mutated, Mutation};
use crate::{Class, Nanos, Terms, Zone};

/// Attempts are told in tenths.
const TENTHS: f64 = 10.0;
/// Parts are told in thousandths.
const THOUSANDTHS: f64 = 1_000.0;
/// Most classes of one evidence.
pub(crate) const MOST_CLASSES: usize = 16;

/// What an attempt was worth.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Worth {
    /// Answered in time, by this front's own base.
    Good,
    /// Slow by this front's own base, failed, or not answered.
    Bad,
}

/// Attempts at a server for one class of work, fading.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct Count {
    attempts: f64,
    bad: f64,
    at: Nanos,
}

impl Count {
    pub fn add(&mut self, now: Nanos, worth: Worth, half_life: Nanos) {
        *self = self.faded(now, half_life);
        self.attempts += 1.0;
        self.bad += f64::from(u8::from(worth == Worth::Bad));
    }

    pub fn faded(&self, now: Nanos, half_life: Nanos) -> Count {
        let left = 0.5f64.powf((now - self.at).max(0) as f64 / half_life as f64);
        Count { attempts: self.attempts * left, bad: self.bad * left, at: now }
    }

    pub fn is_over(&self) -> bool {
        self.attempts < 0.05
    }

    pub fn seen(&self, class: Class) -> Seen {
        let tenths = |x: f64| (x * TENTHS).round().min(f64::from(u16::MAX)) as u16;
        Seen { class, attempts: tenths(self.attempts), bad: tenths(self.bad) }
    }
}

/// Attempts for one class of work, in tenths.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Seen {
    /// The class.
    pub class: Class,
    /// All.
    pub attempts: u16,
    /// Of these, bad.
    pub bad: u16,
}

/// What a front saw of a server, as it tells the others.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Evidence {
    /// The front's zone.
    pub zone: Zone,
    /// Thousandths of bad attempts at the front's median server.
    pub base: u16,
    /// By class of work.
    pub seen: Vec<Seen>,
}

/// Where more than this part is bad at a front's median server, it cannot tell a bad server from the rest.
const BLIND: f64 = 0.4;
/// No part is taken for more.
const PART_MOST: f64 = 0.95;

/// What evidence says, of one front or of several added up.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct Sum {
    pub attempts: f64,
    pub bad: f64,
    /// How much more likely it is for a bad server than for a good one, as a logarithm.
    pub proof: f64,
}

impl Sum {
    /// Of a front's evidence, what counts for a class or for all.
    pub fn of(evidence: &Evidence, class: Option<Class>, terms: &Terms) -> Sum {
        let seen = evidence.seen.iter().take(MOST_CLASSES).filter(|s| class.is_none_or(|c| c == s.class));
        let (mut attempts, mut bad) = (0.0, 0.0);
        for one in seen {
            attempts += f64::from(one.attempts) / TENTHS;
            bad += f64::from(one.bad.min(one.attempts)) / TENTHS;
        }
        let base = f64::from(evidence.base) / THOUSANDTHS;
        if attempts <= 0.0 || (base > BLIND && !mutated(Mutation::NoBase)) {
            return Sum { attempts, bad, proof: 0.0 };
        }
        // No front's word weighs more for having tried more often than any other would have.
        let weight =
            if mutated(Mutation::SamplesUncapped) { 1.0 } else { (terms.weight_most / attempts).min(1.0) };
        let well = if mutated(Mutation::NoBase) { 0.0 } else { terms.base_times * base };
        let well = terms.good_part.max(well);
        let ill = terms.bad_part.max(2.0 * well).min(PART_MOST);
        let proof = bad * (ill / well).ln() + (attempts - bad) * ((1.0 - ill) / (1.0 - well)).ln();
        Sum { attempts, bad, proof: proof * weight }
    }
}

/// Thousandths of bad attempts at the median of a front's servers, the upper of two.
pub(crate) fn base(parts: &mut [f64]) -> u16 {
    parts.sort_by(f64::total_cmp);
    parts.get(parts.len() / 2).map_or(u16::MAX, |part| (part * THOUSANDTHS).round() as u16)
}

/// Adds the counts of a server up, by class.
pub(crate) fn seen(
    counts: &BTreeMap<(u64, Class), Count>,
    server: u64,
    now: Nanos,
    half_life: Nanos,
) -> Vec<Seen> {
    let of = counts.range((server, 0)..=(server, Class::MAX));
    let all = of.map(|((_, class), count)| count.faded(now, half_life).seen(*class));
    all.filter(|s| s.attempts > 0).take(MOST_CLASSES).collect()
}
