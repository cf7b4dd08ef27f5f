//! The subscription to discovery's endpoint list: when it counts as broken, when a call is
//! abandoned, and when the next call is made.
//!
//! An update that discovery publishes must take effect within [`STALE_AFTER`], even if the watch
//! falls silent or calls fail at the same time. The longest time without an update is the sum of
//! three bounds, which stays below it: a watch may be silent for [`SILENCE_TIMEOUT`], the next
//! call is made within [`CALL_JITTER`] after that, and it is abandoned after [`CALL_TIMEOUT`]. A
//! failed call counts like a silent watch from the time it was made. The decision module may
//! request the list earlier (its own backoff spreads a fleet's calls), never later.
//!
//! [`DiscoveryWatch`] does no I/O and has no clock: the caller reports each [`WatchEvent`], carries
//! out the [`WatchStep`]s and reports [`WatchEvent::TimerDue`] at [`DiscoveryWatch::due`].

use std::hash::{Hash, Hasher};

use crate::interface::Nanos;
use crate::mutations::{mutated, Mutation};
use crate::time_unit::MILLISECOND;

/// A watch without a message for this long is considered broken. Discovery sends an empty line
/// every 2 s while nothing changes.
pub const SILENCE_TIMEOUT: Nanos = 2_500 * MILLISECOND;
/// The time over which fronts that lose the same discovery at once spread their next calls.
pub const CALL_JITTER: Nanos = 1_000 * MILLISECOND;
/// A call without a response for this long is abandoned. Discovery fails calls that wait for 2 s.
pub const CALL_TIMEOUT: Nanos = 2_100 * MILLISECOND;
/// The time within which an update must take effect, even if the watch or a call failed.
pub const STALE_AFTER: Nanos = 6_000 * MILLISECOND;
/// The part of [`STALE_AFTER`] that is reserved for applying the update.
const APPLY_MARGIN: Nanos = 300 * MILLISECOND;
const _: () = assert!(SILENCE_TIMEOUT + CALL_JITTER + CALL_TIMEOUT <= STALE_AFTER - APPLY_MARGIN);
/// The delay after a failed call to a new address of discovery, whose updates must take effect
/// sooner.
const RETRY_AFTER_ADDRESS_CHANGE: Nanos = 200 * MILLISECOND;
/// The time over which fronts that start together spread their first calls. It is short because a
/// starting front cannot know how old its list is, and must soon apply what discovery has.
pub const FIRST_CALL_SPREAD: Nanos = 300 * MILLISECOND;
/// The time after a change of discovery's address during which [`RETRY_AFTER_ADDRESS_CHANGE`]
/// applies.
const ADDRESS_CHANGE_SPAN: Nanos = 4_000 * MILLISECOND;

/// An event that concerns the watch or a call to discovery.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum WatchEvent {
    /// The decision module requests the endpoint list.
    ListRequested,
    /// Discovery's address has changed.
    AddressChanged,
    /// The call succeeded and opened a new watch.
    Opened,
    /// The call failed.
    Failed,
    /// The watch delivered a complete message, possibly one that says that nothing changed. Part of
    /// a message does not count.
    MessageReceived,
    /// The watch ended.
    Ended,
    /// The time returned by [`DiscoveryWatch::due`] has come.
    TimerDue,
}

/// A command to the caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum WatchStep {
    /// Call discovery at its current address, and abandon any call in flight.
    Call,
    /// Abandon the call in flight.
    CancelCall,
    /// Replace the open watch, if any, with the new one.
    Adopt,
    /// Close the watch, from which no message has come in time.
    CloseWatch,
    /// Report to the decision module that there is no watch.
    ReportLost,
}

/// The state of one front's subscription to discovery.
#[derive(Clone, Debug, PartialEq)]
pub struct DiscoveryWatch {
    /// When the open watch delivered its last message; `None` without an open watch.
    last_message_at: Option<Nanos>,
    /// When the call in flight was made; `None` without one.
    call_started_at: Option<Nanos>,
    /// The latest time at which the next call is made; `None` if none is scheduled.
    next_call_at: Option<Nanos>,
    /// When discovery's address changed, until a watch at the new address is open.
    address_changed_at: Option<Nanos>,
    /// The fraction of the jitter by which this front delays its calls, from 0 to 1.
    phase: f64,
}

impl DiscoveryWatch {
    /// Creates the state without a watch. The first call is made `within` this time. `phase`, from
    /// 0 to 1, differs between fronts, so that their calls are spread when they start or lose
    /// discovery together.
    pub fn new(now: Nanos, within: Nanos, phase: f64) -> DiscoveryWatch {
        let first_call_at = now + (within as f64 * phase) as Nanos;
        DiscoveryWatch {
            last_message_at: None,
            call_started_at: None,
            next_call_at: Some(first_call_at),
            address_changed_at: None,
            phase,
        }
    }

    /// Returns when [`WatchEvent::TimerDue`] must be reported, unless another event comes first.
    pub fn due(&self) -> Option<Nanos> {
        let silent_at = self.last_message_at.map(|at| at + SILENCE_TIMEOUT);
        let hangs_at = self.call_started_at.map(|at| at + CALL_TIMEOUT);
        let silent_at = silent_at.filter(|_| !mutated(Mutation::SilentWatchCountsAsOpen));
        let hangs_at = hangs_at.filter(|_| !mutated(Mutation::CallTimeoutIgnored));
        [silent_at, hangs_at, self.next_call_at]
            .into_iter()
            .flatten()
            .min()
    }

    /// Hashes all state that later steps depend on, with times relative to `now`.
    pub fn fingerprint<H: Hasher>(&self, now: Nanos, hasher: &mut H) {
        let elapsed = |since: Option<Nanos>| since.map(|at| now - at);
        let since_address_change =
            elapsed(self.address_changed_at).map(|time| time.min(ADDRESS_CHANGE_SPAN));
        elapsed(self.last_message_at).hash(hasher);
        elapsed(self.call_started_at).hash(hasher);
        elapsed(self.next_call_at).hash(hasher);
        since_address_change.hash(hasher);
        self.phase.to_bits().hash(hasher);
    }

    /// Handles an event and returns the steps to carry out, in order.
    pub fn on(&mut self, now: Nanos, event: WatchEvent) -> Vec<WatchStep> {
        let mut steps = Vec::new();
        match event {
            WatchEvent::ListRequested => {
                if self.last_message_at.is_none() && self.call_started_at.is_none() {
                    self.call(now, &mut steps);
                }
            }
            // The old watch stays open until the new one is, so that no update is missed in
            // between.
            WatchEvent::AddressChanged => {
                self.address_changed_at = Some(now);
                self.call(now, &mut steps);
            }
            WatchEvent::Opened => {
                self.opened(now);
                steps.push(WatchStep::Adopt);
            }
            WatchEvent::Failed => self.call_failed(now, &mut steps),
            WatchEvent::MessageReceived => self.last_message_at = self.last_message_at.map(|_| now),
            WatchEvent::Ended => {
                self.last_message_at = None;
                self.watch_lost(now, now, &mut steps);
            }
            WatchEvent::TimerDue => self.timer_due(now, &mut steps),
        }
        steps
    }

    /// Records that a call has opened a new watch.
    fn opened(&mut self, now: Nanos) {
        self.last_message_at = Some(now);
        self.call_started_at = None;
        self.next_call_at = None;
        self.address_changed_at = None;
    }

    /// Handles what is due: the timeout of the watch, the timeout of the call, and the next call.
    fn timer_due(&mut self, now: Nanos, steps: &mut Vec<WatchStep>) {
        if let Some(silent_since) = self
            .last_message_at
            .filter(|at| now >= at + SILENCE_TIMEOUT)
        {
            self.last_message_at = None;
            steps.push(WatchStep::CloseWatch);
            self.watch_lost(now, silent_since, steps);
        }
        if self
            .call_started_at
            .is_some_and(|at| now >= at + CALL_TIMEOUT)
        {
            steps.push(WatchStep::CancelCall);
            self.call_failed(now, steps);
        }
        if self.next_call_at.is_some_and(|at| now >= at) {
            self.call(now, steps);
        }
    }

    /// Starts a call, in place of any call in flight or scheduled.
    fn call(&mut self, now: Nanos, steps: &mut Vec<WatchStep>) {
        self.call_started_at = Some(now);
        self.next_call_at = None;
        steps.push(WatchStep::Call);
    }

    /// Schedules the next call after a failed one. Does nothing if that call was abandoned before.
    fn call_failed(&mut self, now: Nanos, steps: &mut Vec<WatchStep>) {
        let Some(started_at) = self.call_started_at.take() else {
            return;
        };
        if self
            .address_changed_at
            .is_some_and(|at| now - at < ADDRESS_CHANGE_SPAN)
        {
            self.next_call_at = Some(now + RETRY_AFTER_ADDRESS_CHANGE);
        } else if self.last_message_at.is_some() {
            self.next_call_at = Some(self.latest_call(now, started_at));
        } else {
            self.watch_lost(now, started_at, steps);
        }
    }

    /// Schedules the next call when there is neither a watch nor a call. `since` is the last time
    /// at which an update could have been received.
    fn watch_lost(&mut self, now: Nanos, since: Nanos, steps: &mut Vec<WatchStep>) {
        // A call that is in flight or scheduled opens a watch or reports its own failure.
        if self.call_started_at.is_none() && self.next_call_at.is_none() {
            self.next_call_at = Some(self.latest_call(now, since));
            steps.push(WatchStep::ReportLost);
        }
    }

    /// Returns the latest time for the next call, if no update was received after `since`.
    fn latest_call(&self, now: Nanos, since: Nanos) -> Nanos {
        if mutated(Mutation::CallsOnlyOnRequest) {
            return Nanos::MAX;
        }
        let jitter = (CALL_JITTER as f64 * self.phase) as Nanos;
        (since + SILENCE_TIMEOUT + jitter).max(now)
    }
}
