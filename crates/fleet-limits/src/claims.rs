//! A claim of this front on one lease issuer, and the votes of the fleet for it.

use std::collections::BTreeMap;
use std::hash::{Hash, Hasher};

use crate::leases::time_until;
use crate::mutations::{mutated, Mutation};
use crate::{Nanos, PeerId};

/// A claim on a lease issuer. The issuer is held while a quorum of votes for the claim has not
/// expired.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct IssuerClaim {
    /// Votes on heartbeats that were sent before this time belong to an earlier claim.
    pub claimed_at: Nanos,
    /// When the vote of each front expires, by this front's clock.
    vote_expiries: BTreeMap<PeerId, Nanos>,
    /// Set once the issuer goes back to its home: nothing of it is used or granted any more, and
    /// all leases from it have expired by this time.
    pub returns_at: Option<Nanos>,
}

impl IssuerClaim {
    /// A claim without votes.
    pub fn new(now: Nanos) -> IssuerClaim {
        IssuerClaim {
            claimed_at: now,
            vote_expiries: BTreeMap::new(),
            returns_at: None,
        }
    }

    /// Sets the expiry of a front's vote.
    pub fn set_vote(&mut self, voter: PeerId, expires_at: Nanos) {
        self.vote_expiries.insert(voter, expires_at);
    }

    /// Extends a front's vote; an earlier expiry than the known one is ignored.
    pub fn extend_vote(&mut self, voter: PeerId, expires_at: Nanos) {
        let known = self.vote_expiries.entry(voter).or_insert(Nanos::MIN);
        *known = (*known).max(expires_at);
    }

    /// Until when the issuer may be used: when the vote expires that completes the quorum.
    /// [`Nanos::MIN`] where it may not be used at all.
    pub fn expires_at(&self, quorum: usize) -> Nanos {
        if self.returns_at.is_some() && !mutated(Mutation::IssuerReturnedEarly) {
            return Nanos::MIN;
        }
        let mut needed = quorum;
        if mutated(Mutation::SmallQuorum) {
            needed = needed.saturating_sub(1).max(1);
        }
        let mut expiries: Vec<Nanos> = self.vote_expiries.values().copied().collect();
        expiries.sort_unstable_by(|a, b| b.cmp(a));
        expiries.get(needed - 1).copied().unwrap_or(Nanos::MIN)
    }

    /// Hashes the claim on an issuer, with times relative to `now`.
    pub fn fingerprint<H: Hasher>(&self, now: Nanos, issuer: PeerId, hasher: &mut H) {
        (
            issuer,
            now - self.claimed_at,
            self.returns_at.map(|at| time_until(now, at)),
        )
            .hash(hasher);
        for (voter, expires_at) in &self.vote_expiries {
            (voter, time_until(now, *expires_at)).hash(hasher);
        }
    }
}
