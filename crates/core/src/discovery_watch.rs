//! The watch on discovery: when it counts as broken, when a call is given up, and when the next one goes out.
//!
//! What a front misses counts as told [`TOLD`] after its watch fell silent, and [`TOLD`] after discovery had it and
//! could be reached, whatever calls have failed. So the longest time without news is a sum that stays under that: a
//! watch may say nothing for [`QUIET`], the next call goes out within [`SPREAD`] after that, and is given up after
//! [`CALL`]. A failed call counts like a silent watch, from when it went out. Who decides may ask earlier (its pauses
//! spread a fleet's calls), never later.
//!
//! [`Watch`] does no I/O and holds no clock: the shell tells it what happens, carries out its steps and comes back at
//! [`Watch::due`].

use std::hash::{Hash, Hasher};

use crate::interface::Nanos;
use crate::mutations::{mutated, Mutation};

const MS: Nanos = 1_000_000;
/// An empty line comes every 2 s while nothing changes: a watch that says nothing for so long has fallen silent.
pub const QUIET: Nanos = 2_500 * MS;
/// Many fronts lose one discovery at one moment: their next calls are spread over this.
pub const SPREAD: Nanos = 1_000 * MS;
/// Discovery fails calls that wait for 2 s: a call that is not answered by then hangs.
pub const CALL: Nanos = 2_100 * MS;
/// When what was missed counts as told.
pub const TOLD: Nanos = 6_000 * MS;
const _: () = assert!(QUIET + SPREAD + CALL <= TOLD - 300 * MS);
/// After a new configuration what its discovery tells counts sooner: a call to it that fails is made again after
/// [`AGAIN`], for [`MOVE`].
const AGAIN: Nanos = 200 * MS;
const MOVE: Nanos = 4_000 * MS;

/// What happens.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum OnWatch {
    /// Who decides wants the list.
    Wanted,
    /// Discovery is elsewhere from now on.
    Moved,
    /// The call has been answered: a new watch stands.
    Opened,
    /// The call has failed.
    Failed,
    /// The watch has said something whole, if only that nothing has changed. A part of a message is none.
    Heard,
    /// The watch has ended.
    Ended,
    /// The time that [`Watch::due`] told has come.
    Due,
}

/// What is done next.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Step {
    /// Call discovery where it is now; a call that is out is dropped.
    Call,
    /// Drop the call that is out.
    GiveUp,
    /// The new watch takes the place of the one that stood.
    Adopt,
    /// Drop the watch: it has fallen silent.
    Drop,
    /// There is no watch: say so to who decides.
    Lost,
}

/// The watch of one front.
#[derive(Clone, Debug, PartialEq)]
pub struct Watch {
    /// A watch stands, and has last said something then.
    heard: Option<Nanos>,
    /// A call is out since then.
    called: Option<Nanos>,
    /// Without either, a call goes out then at the latest.
    next: Option<Nanos>,
    /// Discovery has moved then, and no watch stands where it is now.
    moved: Option<Nanos>,
    /// Where in what calls are spread over those of this front lie, from 0 to 1.
    phase: f64,
}

impl Watch {
    /// None stands; the first call goes out within a time. `phase`, from 0 to 1, differs from front to front: many
    /// lose one discovery, or start, at one moment.
    pub fn new(now: Nanos, within: Nanos, phase: f64) -> Watch {
        let first = now + (within as f64 * phase) as Nanos;
        Watch { heard: None, called: None, next: Some(first), moved: None, phase }
    }

    /// When [`OnWatch::Due`] is to be told next, where nothing else happens before.
    pub fn due(&self) -> Option<Nanos> {
        let quiet = if mutated(Mutation::SilentWatchStands) { None } else { self.heard.map(|t| t + QUIET) };
        let hangs = if mutated(Mutation::CallHangs) { None } else { self.called.map(|t| t + CALL) };
        [quiet, hangs, self.next].into_iter().flatten().min()
    }

    /// All that its next step hangs on.
    pub fn fingerprint<H: Hasher>(&self, now: Nanos, h: &mut H) {
        let ago = |t: Option<Nanos>| t.map(|t| now - t);
        let moved = ago(self.moved).map(|t| t.min(MOVE));
        (ago(self.heard), ago(self.called), ago(self.next), moved, self.phase.to_bits()).hash(h);
    }

    /// Takes what has happened and says what is done next, in this order.
    pub fn on(&mut self, now: Nanos, event: OnWatch) -> Vec<Step> {
        let mut steps = Vec::new();
        match event {
            OnWatch::Wanted => {
                if self.heard.is_none() && self.called.is_none() {
                    self.call(now, &mut steps);
                }
            }
            // The watch that stands is kept until the new one does, so that no change falls between them.
            OnWatch::Moved => {
                self.moved = Some(now);
                self.call(now, &mut steps);
            }
            OnWatch::Opened => {
                (self.heard, self.called, self.next, self.moved) = (Some(now), None, None, None);
                steps.push(Step::Adopt);
            }
            OnWatch::Failed => self.failed(now, &mut steps),
            OnWatch::Heard => self.heard = self.heard.map(|_| now),
            OnWatch::Ended => {
                self.heard = None;
                self.lost(now, now, &mut steps);
            }
            OnWatch::Due => {
                if let Some(heard) = self.heard.filter(|t| now >= t + QUIET) {
                    self.heard = None;
                    steps.push(Step::Drop);
                    self.lost(now, heard, &mut steps);
                }
                if self.called.is_some_and(|t| now >= t + CALL) {
                    steps.push(Step::GiveUp);
                    self.failed(now, &mut steps);
                }
                if self.next.is_some_and(|t| now >= t) {
                    self.call(now, &mut steps);
                }
            }
        }
        steps
    }

    fn call(&mut self, now: Nanos, steps: &mut Vec<Step>) {
        (self.called, self.next) = (Some(now), None);
        steps.push(Step::Call);
    }

    fn failed(&mut self, now: Nanos, steps: &mut Vec<Step>) {
        let Some(called) = self.called.take() else { return };
        if self.moved.is_some_and(|t| now - t < MOVE) {
            self.next = Some(now + AGAIN);
        } else if self.heard.is_some() {
            self.next = Some(self.latest(now, called));
        } else {
            self.lost(now, called, steps);
        }
    }

    /// No watch stands, and none has said anything, or could have, since then.
    fn lost(&mut self, now: Nanos, since: Nanos, steps: &mut Vec<Step>) {
        // A call that is out, or due because discovery moved, brings a watch or its own failure.
        if self.called.is_none() && self.next.is_none() {
            self.next = Some(self.latest(now, since));
            steps.push(Step::Lost);
        }
    }

    fn latest(&self, now: Nanos, since: Nanos) -> Nanos {
        if mutated(Mutation::AsksWhenWantedAlone) {
            return Nanos::MAX;
        }
        (since + QUIET + (SPREAD as f64 * self.phase) as Nanos).max(now)
    }
}
