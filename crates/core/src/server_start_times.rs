//! When chunk servers started, in the clock of this front.
//!
//! Discovery reports the start of a server in Unix time. The wall clock of this machine, or of the
//! server, may be wrong by seconds or by hours, and so may the age of a server that has just
//! started: it would get no slow start, or one that lasts for as long as the clocks differ.
//! Therefore a listed start is corrected until it is plausible:
//!
//! - none lies in the future;
//! - a start that is new to this front came after the list that discovery confirmed last, which is
//!   at most [`MAX_LIST_DELAY`] old; one that is listed as older is taken to be now;
//! - where discovery reports its own time, the difference to the clock of this front is subtracted
//!   first.
//!
//! No I/O and no clock: the caller passes the time.

use std::collections::{BTreeMap, BTreeSet};

use crate::discovery_watch::STALE_AFTER;
use crate::interface::Nanos;

/// The greatest age of the list that discovery reports.
pub const MAX_LIST_DELAY: Nanos = STALE_AFTER;
/// Differences below this are no sign of a wrong clock: discovery reports its time in whole seconds,
/// and with a delay.
pub const MIN_CLOCK_DIFFERENCE: Nanos = 3_000_000_000;
/// The listed start of a server that has run for long.
const LONG_AGO: Nanos = 0;

/// The start of one server.
#[derive(Clone, Copy, Debug)]
struct KnownStart {
    /// As listed.
    listed: Nanos,
    /// In the clock of this front.
    start: Nanos,
}

/// The starts of all listed servers, by a key that names a server.
#[derive(Clone, Debug)]
pub struct ServerStartTimes<K> {
    known: BTreeMap<K, KnownStart>,
    /// When discovery last sent or confirmed the list.
    confirmed_at: Option<Nanos>,
    /// What to add to a listed time to get the time of this front's clock.
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
    /// No server is known.
    pub fn new() -> ServerStartTimes<K> {
        ServerStartTimes::default()
    }

    /// Records the present time by discovery's clock.
    pub fn discovery_time(&mut self, now: Nanos, discovery: Nanos) {
        let difference = now - discovery;
        self.clock_difference = if difference.abs() < MIN_CLOCK_DIFFERENCE {
            0
        } else {
            difference
        };
    }

    /// Records an entry of a list. Returns when the server started; 0 is long ago.
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

    /// Records that discovery has reported all that it had until now.
    pub fn confirmed(&mut self, now: Nanos) {
        self.confirmed_at = Some(now);
    }

    /// Forgets the servers that a complete list does not name.
    pub fn list_replaced(&mut self, keys: &BTreeSet<K>) {
        self.known.retain(|key, _| keys.contains(key));
    }

    /// The start in this front's clock; `now` where the listed one lies in the future or before the
    /// last confirmed list.
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
