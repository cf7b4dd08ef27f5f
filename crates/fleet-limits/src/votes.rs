//! Votes of this front on who holds which lease issuer.

use std::hash::{Hash, Hasher};

use crate::fingerprint::time_until;
use crate::mutations::{mutated, Mutation};
use crate::{Incarnation, Nanos, PeerId};

/// A holder of a lease issuer: one incarnation of a front.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) struct Holder {
    /// The front.
    pub peer: PeerId,
    /// Its incarnation.
    pub incarnation: Incarnation,
}

/// A vote for one holder, which binds this front until it expires.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Vote {
    holder: Holder,
    expires_at: Nanos,
}

/// At most one vote of this front for each lease issuer.
#[derive(Clone, Debug)]
pub(crate) struct VoteTable {
    /// Indexed by the issuer's home.
    votes: Vec<Option<Vote>>,
}

impl VoteTable {
    /// A table without votes for the issuers of a fleet.
    pub fn new(fronts: u16) -> VoteTable {
        VoteTable {
            votes: vec![None; usize::from(fronts)],
        }
    }

    /// Votes for a holder of an issuer, or renews that vote, unless a vote for another holder still
    /// runs. Returns whether the holder has this front's vote; an unknown issuer gets none.
    pub fn vote_for(
        &mut self,
        now: Nanos,
        issuer: PeerId,
        holder: Holder,
        expires_at: Nanos,
    ) -> bool {
        let Some(vote) = self.votes.get_mut(issuer.index()) else {
            return false;
        };
        let is_free = vote.is_none_or(|vote| vote.expires_at <= now || vote.holder == holder);
        if !is_free && !mutated(Mutation::VotesTwice) {
            return false;
        }
        *vote = Some(Vote { holder, expires_at });
        true
    }

    /// Withdraws the votes for a holder on issuers that it no longer claims.
    pub fn release_unclaimed(&mut self, holder: Holder, claims: &[PeerId]) {
        for (issuer, vote) in self.votes.iter_mut().enumerate() {
            let is_claimed = claims.contains(&PeerId::from_index(issuer));
            if vote.is_some_and(|vote| vote.holder == holder) && !is_claimed {
                *vote = None;
            }
        }
    }

    /// Hashes the votes that still run, with times relative to `now`.
    pub fn fingerprint<H: Hasher>(&self, now: Nanos, hasher: &mut H) {
        for vote in &self.votes {
            let running = vote.filter(|vote| vote.expires_at > now);
            running
                .map(|vote| (vote.holder, time_until(now, vote.expires_at)))
                .hash(hasher);
        }
    }
}
