//! The subscription to discovery's endpoint list: when it counts as broken, when a call is
//! abandoned, and when the next call is made.
//!
//! An update that discovery publishes must take effect within [`STALE_AFTER`], even if the watch
//! falls silent or calls fail at the same time. The longest time without news is therefore the sum
//! of three bounds that stays below it: a watch may be silent for [`SILENCE_TIMEOUT`], the next
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

/// A watch without a message for this long has fallen silent: discovery sends an empty line every 2
/// s while nothing changes.
pub const SILENCE_TIMEOUT: Nanos = 2_500 * MILLISECOND;
/// The next calls of all fronts that lose one discovery at the same time are spread over this.
pub const CALL_JITTER: Nanos = 1_000 * MILLISECOND;
/// A call without a response for this long is abandoned: discovery fails calls that wait for 2 s.
pub const CALL_TIMEOUT: Nanos = 2_100 * MILLISECOND;
/// An update must take effect within this time, although the watch or a call failed.
pub const STALE_AFTER: Nanos = 6_000 * MILLISECOND;
/// What must remain of [`STALE_AFTER`] to apply the update.
const APPLY_MARGIN: Nanos = 300 * MILLISECOND;
const _: () = assert!(SILENCE_TIMEOUT + CALL_JITTER + CALL_TIMEOUT <= STALE_AFTER - APPLY_MARGIN);
/// Delay after a failed call to a new address of discovery, whose updates must take effect sooner.
const RETRY_AFTER_ADDRESS_CHANGE: Nanos = 200 * MILLISECOND;
/// The first calls of fronts that start together are spread over this time. It is short: a starting
/// front cannot know how old its list is, and what discovery has counts as known soon.
pub const FIRST_CALL_SPREAD: Nanos = 300 * MILLISECOND;
/// How long after a change of discovery's address [`RETRY_AFTER_ADDRESS_CHANGE`] applies.
const ADDRESS_CHANGE_SPAN: Nanos = 4_000 * MILLISECOND;

/// An event of the watch or of a call.
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
    /// The watch delivered a complete message, if only that nothing changed. Part of a message does
    /// not count.
    MessageReceived,
    /// The watch ended.
    Ended,
    /// The time returned by [`DiscoveryWatch::due`] has come.
    TimerDue,
}

/// A command to the caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum WatchStep {
    /// Call discovery at its present address; abandon a call in flight.
    Call,
    /// Abandon the call in flight.
    CancelCall,
    /// Replace the open watch, if any, by the new one.
    Adopt,
    /// Close the watch, which has fallen silent.
    CloseWatch,
    /// Report to the decision module that there is no watch.
    ReportLost,
}

/// The discovery subscription of one front.
#[derive(Clone, Debug, PartialEq)]
pub struct DiscoveryWatch {
    /// When the open watch delivered its last message; none without an open watch.
    last_message_at: Option<Nanos>,
    /// When the call in flight was made.
    call_started_at: Option<Nanos>,
    /// When the next call is made at the latest.
    next_call_at: Option<Nanos>,
    /// When discovery's address changed, until a watch at the new address is open.
    address_changed_at: Option<Nanos>,
    /// Position of this front within the jitter of calls, from 0 to 1.
    phase: f64,
}

impl DiscoveryWatch {
    /// Without a watch; the first call is made `within` a time. `phase`, from 0 to 1, differs
    /// between fronts, so that their calls are spread when they start or lose discovery together.
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

    /// When [`WatchEvent::TimerDue`] must be reported, unless another event comes first.
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
            // The open watch is kept until the new one is open, so that no update is missed in
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

    /// A call has opened a new watch.
    fn opened(&mut self, now: Nanos) {
        self.last_message_at = Some(now);
        self.call_started_at = None;
        self.next_call_at = None;
        self.address_changed_at = None;
    }

    /// Handles the timeouts that are due: silence of the watch, of the call, and the next call.
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

    /// Schedules the next call after a failed one. A call that was abandoned before has no effect.
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

    /// When the next call is made at the latest, if no update was received since `since`.
    fn latest_call(&self, now: Nanos, since: Nanos) -> Nanos {
        if mutated(Mutation::CallsOnlyOnRequest) {
            return Nanos::MAX;
        }
        let jitter = (CALL_JITTER as f64 * self.phase) as Nanos;
        (since + SILENCE_TIMEOUT + jitter).max(now)
    }
}
