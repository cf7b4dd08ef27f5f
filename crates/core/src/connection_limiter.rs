//! The limit on connections from clients: when one more is accepted, and which one is evicted for
//! it. No I/O.

use crate::client_connection::{ClientConnection, EvictionRank};
use crate::interface::Nanos;
use crate::mutations::{mutated, Mutation};

/// Connections count as scarce from this fraction, 1/2, of the cap on.
const SCARCE_DIVISOR: usize = 2;

/// The limit on connections from clients.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct ConnectionLimiter {
    /// Cap on connections that are served.
    max_connections: usize,
    /// Connections past the cap that are accepted at a time, only to be answered with a rejection.
    rejection_slots: usize,
}

/// What to do before the next connection is accepted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Accept {
    /// Accept it.
    Now,
    /// Evict an idle connection, if there is one.
    EvictIdle,
    /// Evict any connection that may be evicted, if there is one.
    EvictAny,
    /// Wait until a connection has closed.
    Wait,
}

/// The result of a step that was to evict a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EvictionAttempt {
    /// The step: [`Accept::EvictIdle`] or [`Accept::EvictAny`].
    pub step: Accept,
    /// Whether a connection was evicted.
    pub evicted: bool,
}

/// A connection that may be evicted, in the order of eviction.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct EvictionCandidate {
    rank: EvictionRank,
    phase_since: Nanos,
    id: u64,
}

impl ConnectionLimiter {
    /// A limit of `max_connections` in total, of which `rejection_slots` are used for rejections
    /// alone.
    pub fn new(max_connections: usize, rejection_slots: usize) -> ConnectionLimiter {
        let max_connections = max_connections.saturating_sub(rejection_slots).max(1);
        ConnectionLimiter {
            max_connections,
            rejection_slots,
        }
    }

    /// Whether connections are scarce while `open` are open.
    pub fn is_scarce(&self, open: usize) -> bool {
        open >= self.max_connections / SCARCE_DIVISOR
    }

    /// Whether a connection accepted while `open` are open is answered with a rejection.
    pub fn is_full(&self, open: usize) -> bool {
        open >= self.max_connections
    }

    /// The next step before one more connection is accepted while `open` are open. `previous` is
    /// the previous eviction attempt for it; `None` at first and after a wait.
    ///
    /// Eviction starts before the cap is reached: clients that send one request and keep their
    /// connection would otherwise use up the connections that other clients need, and their own.
    pub fn accept(&self, open: usize, previous: Option<EvictionAttempt>) -> Accept {
        let nothing_left = EvictionAttempt {
            step: Accept::EvictAny,
            evicted: false,
        };
        let more_to_evict = previous != Some(nothing_left);
        if self.is_scarce(open) && previous.is_none() {
            Accept::EvictIdle
        } else if self.is_full(open) && more_to_evict {
            Accept::EvictAny
        } else if open < self.max_connections + self.rejection_slots
            || mutated(Mutation::ClientConnectionCapIgnored)
        {
            Accept::Now
        } else {
            Accept::Wait
        }
    }

    /// The connection to evict, if any may be evicted. `connections` yields each with its id; with
    /// `only_idle` all but idle ones stay open. A connection with an open request, or one that
    /// `is_busy`, is never evicted.
    pub fn eviction_candidate(
        &self,
        now: Nanos,
        only_idle: bool,
        connections: impl Iterator<Item = (u64, ClientConnection)>,
        is_busy: impl Fn(u64) -> bool,
    ) -> Option<u64> {
        let mut candidates: Vec<EvictionCandidate> = connections
            .filter_map(|(id, connection)| {
                Some(EvictionCandidate {
                    rank: connection.eviction_rank(now, only_idle)?,
                    phase_since: connection.phase_since(),
                    id,
                })
            })
            .collect();
        candidates.sort_unstable();
        let mut ids = candidates.into_iter().map(|candidate| candidate.id);
        ids.find(|id| mutated(Mutation::ClosesOverArrivedRequest) || !is_busy(*id))
    }
}
