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
pub const SILENCE_TIMEOUT: Nanos = 2_500 * MS;
/// Many fronts lose one discovery at one moment: their next calls are spread over this.
pub const CALL_JITTER: Nanos = 1_000 * MS;
/// Discovery fails calls that wait for 2 s: a call that is not answered by then hangs.
pub const CALL_TIMEOUT: Nanos = 2_100 * MS;
/// When what was missed counts as told.
pub const STALE_AFTER: Nanos = 6_000 * MS;
const _: () = assert!(SILENCE_TIMEOUT + CALL_JITTER + CALL_TIMEOUT <= STALE_AFTER - 300 * MS);
/// After a new configuration what its discovery tells counts sooner: a call to it that fails is made again after
/// [`AGAIN`], for [`MOVE`].
const RETRY_AFTER_MOVE: Nanos = 200 * MS;
const MOVE_SPAN: Nanos = 4_000 * MS;

/// What happens.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum WatchEvent {
    /// Who decides wants the list.
    ListWanted,
    /// Discovery is elsewhere from now on.
    Moved,
    /// The call has been answered: a new watch stands.
    Opened,
    /// The call has failed.
    Failed,
    /// The watch has said something whole, if only that nothing has changed. A part of a message is none.
    MessageReceived,
    /// The watch has ended.
    Ended,
    /// The time that [`Watch::due`] told has come.
    TimerDue,
}

/// What is done next.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum WatchStep {
    /// Call discovery where it is now; a call that is out is dropped.
    Call,
    /// Drop the call that is out.
    CancelCall,
    /// The new watch takes the place of the one that stood.
    Adopt,
    /// Drop the watch: it has fallen silent.
    CloseWatch,
    /// There is no watch: say so to who decides.
    ReportLost,
}

/// The watch of one front.
#[derive(Clone, Debug, PartialEq)]
pub struct DiscoveryWatch {
    /// A watch stands, and has last said something then.
    last_message_at: Option<Nanos>,
    /// A call is out since then.
    call_started_at: Option<Nanos>,
    /// Without either, a call goes out then at the latest.
    next_call_at: Option<Nanos>,
    /// Discovery has moved then, and no watch stands where it is now.
    address_changed_at: Option<Nanos>,
    /// Where in what calls are spread over those of this front lie, from 0 to 1.
    phase: f64,
}

impl DiscoveryWatch {
    /// None stands; the first call goes out within a time. `phase`, from 0 to 1, differs from front to front: many
    /// lose one discovery, or start, at one moment.
    pub fn new(now: Nanos, within: Nanos, phase: f64) -> DiscoveryWatch {
        let first = now + (within as f64 * phase) as Nanos;
        DiscoveryWatch {
            last_message_at: None,
            call_started_at: None,
            next_call_at: Some(first),
            address_changed_at: None,
            phase,
        }
    }

    /// When [`OnWatch::Due`] is to be told next, where nothing else happens before.
    pub fn due(&self) -> Option<Nanos> {
        let quiet = if mutated(Mutation::SilentWatchStands) {
            None
        } else {
            self.last_message_at.map(|t| t + SILENCE_TIMEOUT)
        };
        let hangs =
            if mutated(Mutation::CallHangs) { None } else { self.call_started_at.map(|t| t + CALL_TIMEOUT) };
        [quiet, hangs, self.next_call_at].into_iter().flatten().min()
    }

    /// All that its next step hangs on.
    pub fn fingerprint<H: Hasher>(&self, now: Nanos, h: &mut H) {
        let ago = |t: Option<Nanos>| t.map(|t| now - t);
        let moved = ago(self.address_changed_at).map(|t| t.min(MOVE_SPAN));
        (
            ago(self.last_message_at),
            ago(self.call_started_at),
            ago(self.next_call_at),
            moved,
            self.phase.to_bits(),
        )
            .hash(h);
    }

    /// Takes what has happened and says what is done next, in this order.
    pub fn on(&mut self, now: Nanos, event: WatchEvent) -> Vec<WatchStep> {
        let mut steps = Vec::new();
        match event {
            WatchEvent::ListWanted => {
                if self.last_message_at.is_none() && self.call_started_at.is_none() {
                    self.call(now, &mut steps);
                }
            }
            // The watch that stands is kept until the new one does, so that no change falls between them.
            WatchEvent::Moved => {
                self.address_changed_at = Some(now);
                self.call(now, &mut steps);
            }
            WatchEvent::Opened => {
                (self.last_message_at, self.call_started_at, self.next_call_at, self.address_changed_at) =
                    (Some(now), None, None, None);
                steps.push(WatchStep::Adopt);
            }
            WatchEvent::Failed => self.failed(now, &mut steps),
            WatchEvent::MessageReceived => self.last_message_at = self.last_message_at.map(|_| now),
            WatchEvent::Ended => {
                self.last_message_at = None;
                self.lost(now, now, &mut steps);
            }
            WatchEvent::TimerDue => {
                if let Some(heard) = self.last_message_at.filter(|t| now >= t + SILENCE_TIMEOUT) {
                    self.last_message_at = None;
                    steps.push(WatchStep::CloseWatch);
                    self.lost(now, heard, &mut steps);
                }
                if self.call_started_at.is_some_and(|t| now >= t + CALL_TIMEOUT) {
                    steps.push(WatchStep::CancelCall);
                    self.failed(now, &mut steps);
                }
                if self.next_call_at.is_some_and(|t| now >= t) {
                    self.call(now, &mut steps);
                }
            }
        }
        steps
    }

    fn call(&mut self, now: Nanos, steps: &mut Vec<WatchStep>) {
        (self.call_started_at, self.next_call_at) = (Some(now), None);
        steps.push(WatchStep::Call);
    }

    fn failed(&mut self, now: Nanos, steps: &mut Vec<WatchStep>) {
        let Some(called) = self.call_started_at.take() else { return };
        if self.address_changed_at.is_some_and(|t| now - t < MOVE_SPAN) {
            self.next_call_at = Some(now + RETRY_AFTER_MOVE);
        } else if self.last_message_at.is_some() {
            self.next_call_at = Some(self.latest(now, called));
        } else {
            self.lost(now, called, steps);
        }
    }

    /// No watch stands, and none has said anything, or could have, since then.
    fn lost(&mut self, now: Nanos, since: Nanos, steps: &mut Vec<WatchStep>) {
        // A call that is out, or due because discovery moved, brings a watch or its own failure.
        if self.call_started_at.is_none() && self.next_call_at.is_none() {
            self.next_call_at = Some(self.latest(now, since));
            steps.push(WatchStep::ReportLost);
        }
    }

    fn latest(&self, now: Nanos, since: Nanos) -> Nanos {
        if mutated(Mutation::AsksWhenWantedAlone) {
            return Nanos::MAX;
        }
        (since + SILENCE_TIMEOUT + (CALL_JITTER as f64 * self.phase) as Nanos).max(now)
    }
}
