//! The limit on connections from clients: when another connection is accepted, and which one is
//! evicted for it. This module does no I/O.

use crate::client_connection::{ClientConnection, EvictionRank};
use crate::interface::Nanos;
use crate::mutations::{mutated, Mutation};

/// Connections are scarce once the open ones reach the limit divided by this.
const SCARCE_DIVISOR: usize = 2;

/// Decides whether to accept, evict or wait before another connection from a client.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct ConnectionLimiter {
    /// The maximum number of connections that are served.
    max_connections: usize,
    /// The maximum number of connections above `max_connections` that are open at a time, only to
    /// be answered with a rejection.
    rejection_slots: usize,
}

/// What to do before the next connection is accepted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Accept {
    /// Accept the connection.
    Now,
    /// Evict an idle connection, if there is one.
    EvictIdle,
    /// Evict any connection that may be evicted, if there is one.
    EvictAny,
    /// Wait until a connection has closed.
    Wait,
}

/// The result of a step that tried to evict a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EvictionAttempt {
    /// The step that was carried out: [`Accept::EvictIdle`] or [`Accept::EvictAny`].
    pub step: Accept,
    /// Whether a connection was evicted.
    pub evicted: bool,
}

/// A connection that may be evicted. The derived order is the order of eviction.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct EvictionCandidate {
    rank: EvictionRank,
    phase_since: Nanos,
    id: u64,
}

impl ConnectionLimiter {
    /// Creates a limit of `max_connections` in total, of which `rejection_slots` are used only for
    /// rejections.
    pub fn new(max_connections: usize, rejection_slots: usize) -> ConnectionLimiter {
        let max_connections = max_connections.saturating_sub(rejection_slots).max(1);
        ConnectionLimiter {
            max_connections,
            rejection_slots,
        }
    }

    /// Returns whether connections are scarce while `open` of them are open.
    pub fn is_scarce(&self, open: usize) -> bool {
        open >= self.max_connections / SCARCE_DIVISOR
    }

    /// Returns whether a connection that is accepted while `open` others are open is answered with
    /// a rejection.
    pub fn is_full(&self, open: usize) -> bool {
        open >= self.max_connections
    }

    /// Returns the next step before another connection is accepted while `open` are open.
    /// `previous` is the previous eviction attempt for it; `None` at first and after a wait.
    ///
    /// Eviction starts before the limit is reached. Clients that send one request each and keep
    /// their connections open would otherwise use up the connections that all clients need,
    /// themselves included.
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

    /// Returns the id of the connection to evict, if any may be evicted. `connections` yields each
    /// connection with its id. With `only_idle`, only idle connections may be evicted. A connection
    /// with an unanswered request, or one for which `is_busy` holds, is never evicted.
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
