//! The start times of chunk servers by the clock of this front.
//!
//! Discovery reports the start of a server in Unix time. The wall clock of this machine, or of the
//! server, may be wrong by seconds or by hours. The age of a server that has just started would
//! then be wrong too, and the server would get no slow start, or one that lasts for as long as the
//! clocks differ. Therefore an implausible listed start is corrected:
//!
//! - If discovery reports its own time, the difference between the clocks is corrected first.
//! - A start in the future is replaced by the current time.
//! - A start that is new to this front must be later than the list that discovery confirmed last,
//!   which was at most [`MAX_LIST_DELAY`] old; an earlier one is replaced by the current time.
//!
//! This module does no I/O and has no clock: the caller passes the time.

use std::collections::{BTreeMap, BTreeSet};

use crate::discovery_watch::STALE_AFTER;
use crate::interface::Nanos;

/// The maximum age of the list that discovery reports.
pub const MAX_LIST_DELAY: Nanos = STALE_AFTER;
/// Smaller differences do not show that a clock is wrong, because discovery reports its time in
/// whole seconds and with a delay.
pub const MIN_CLOCK_DIFFERENCE: Nanos = 3_000_000_000;
/// The listed start of a server that has been running for a long time.
const LONG_AGO: Nanos = 0;

/// The start of one server as listed and as corrected.
#[derive(Clone, Copy, Debug)]
struct KnownStart {
    /// The start in the endpoint list.
    listed: Nanos,
    /// The start by the clock of this front.
    start: Nanos,
}

/// The starts of all listed servers, by a key that identifies a server.
#[derive(Clone, Debug)]
pub struct ServerStartTimes<K> {
    known: BTreeMap<K, KnownStart>,
    /// When discovery last sent or confirmed the list.
    confirmed_at: Option<Nanos>,
    /// The difference that is added to a listed time to get the time by this front's clock.
    clock_difference: Nanos,
}

impl<K> Default for ServerStartTimes<K> {
    fn default() -> ServerStartTimes<K> {
        ServerStartTimes {
            known: BTreeMap::new(),
            confirmed_at: None,
            clock_difference: 0,
        }
    }
}

impl<K: Ord + Clone> ServerStartTimes<K> {
    /// Creates an empty set of start times.
    pub fn new() -> ServerStartTimes<K> {
        ServerStartTimes::default()
    }

    /// Records the current time by discovery's clock.
    pub fn discovery_time(&mut self, now: Nanos, discovery: Nanos) {
        let difference = now - discovery;
        self.clock_difference = if difference.abs() < MIN_CLOCK_DIFFERENCE {
            0
        } else {
            difference
        };
    }

    /// Records an entry of a list. Returns when the server started, by this front's clock; 0 means
    /// long ago.
    pub fn listed(&mut self, key: &K, now: Nanos, listed: Nanos) -> Nanos {
        if let Some(known) = self.known.get(key).filter(|known| known.listed == listed) {
            return known.start;
        }
        let start = if listed == LONG_AGO {
            LONG_AGO
        } else {
            self.plausible_start(now, listed)
        };
        self.known.insert(key.clone(), KnownStart { listed, start });
        start
    }

    /// Records that discovery has reported all changes up to `now`.
    pub fn confirmed(&mut self, now: Nanos) {
        self.confirmed_at = Some(now);
    }

    /// Forgets the servers that a complete list does not name.
    pub fn list_replaced(&mut self, keys: &BTreeSet<K>) {
        self.known.retain(|key, _| keys.contains(key));
    }

    /// Returns the start by this front's clock, or `now` if the listed start is in the future or
    /// before the last confirmed list.
    fn plausible_start(&self, now: Nanos, listed: Nanos) -> Nanos {
        let start = listed.saturating_add(self.clock_difference);
        let is_too_old = self
            .confirmed_at
            .is_some_and(|confirmed_at| start < confirmed_at - MAX_LIST_DELAY);
        if is_too_old || start > now {
            now
        } else {
            start
        }
    }
}
