//! The limit on connections from clients: when one more is accepted, and which one is evicted for it. No I/O.

use crate::client_connection::ClientConnection;
use crate::interface::Nanos;
use crate::mutations::{mutated, Mutation};

/// The places for clients' connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct ConnectionLimiter {
    max_connections: usize,
    /// Connections past the cap that may stand at once to be told so; more wait to be accepted.
    rejection_slots: usize,
}

/// What is done before one more connection is accepted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Accept {
    /// Nothing: there is room.
    Now,
    /// One that stands idle is sent off, if there is one.
    EvictIdle,
    /// One that may be spared is sent off, if there is one.
    EvictAny,
    /// It waits until another has gone.
    Wait,
}

impl ConnectionLimiter {
    /// With at most so many connections, those past the cap that stand to be told so included.
    pub fn new(most: usize, turned_away: usize) -> ConnectionLimiter {
        ConnectionLimiter {
            max_connections: most.saturating_sub(turned_away).max(1),
            rejection_slots: turned_away,
        }
    }

    /// Whether places are short.
    pub fn is_scarce(&self, held: usize) -> bool {
        held >= self.max_connections / 2
    }

    /// Whether one that comes now finds no place, and is told so.
    pub fn is_full(&self, held: usize) -> bool {
        held >= self.max_connections
    }

    /// What is done next before one more is accepted. `tried` is what was done last for it, and whether somebody
    /// went; none at first, and again after a wait.
    ///
    /// Clients, too, may hold only so many connections, and those that ask once and stay use them up before ours
    /// are: from half of the places on, each new one sends an idle one off.
    pub fn accept(&self, held: usize, tried: Option<(Accept, bool)>) -> Accept {
        let idle_asked = tried.is_some();
        let more_to_send = !matches!(tried, Some((Accept::EvictAny, false)));
        if self.is_scarce(held) && !idle_asked {
            Accept::EvictIdle
        } else if self.is_full(held) && more_to_send {
            Accept::EvictAny
        } else if held < self.max_connections + self.rejection_slots || mutated(Mutation::NoCapAtDoor) {
            Accept::Now
        } else {
            Accept::Wait
        }
    }

    /// Who gives his place up, if anybody may be spared: guards the usual clients against those that connect by
    /// hundreds, and against idle connections that are kept for good. An open request never gives way.
    pub fn eviction_candidate(
        &self,
        now: Nanos,
        idle: bool,
        visitors: impl Iterator<Item = (u64, ClientConnection)>,
        busy: impl Fn(u64) -> bool,
    ) -> Option<u64> {
        let mut least: Vec<_> =
            visitors.filter_map(|(n, v)| Some((v.eviction_rank(now, idle)?, v.phase().1, n))).collect();
        least.sort_unstable();
        least.into_iter().map(|(_, _, n)| n).find(|n| mutated(Mutation::ClosesAcrossRequest) || !busy(*n))
    }
}
