//! The votes of this front, which decide with those of its peers who holds each lease issuer.

use std::hash::{Hash, Hasher};

use crate::fingerprint::time_until;
use crate::mutations::{mutated, Mutation};
use crate::{Incarnation, Nanos, PeerId};

/// One incarnation of a front, as the claimant or holder of a lease issuer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) struct Holder {
    /// Position of the front in the membership list.
    pub peer: PeerId,
    /// The incarnation of the front that claims or holds the issuer.
    pub incarnation: Incarnation,
}

/// A vote for one holder. Until it expires, this front votes for no other one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Vote {
    holder: Holder,
    expires_at: Nanos,
}

/// The votes of this front, at most one for each lease issuer.
#[derive(Clone, Debug)]
pub(crate) struct VoteTable {
    /// Indexed by the position of the issuer's owner.
    votes: Vec<Option<Vote>>,
}

impl VoteTable {
    /// Creates a table without votes for the issuers of `fronts` fronts.
    pub fn new(fronts: u16) -> VoteTable {
        VoteTable {
            votes: vec![None; usize::from(fronts)],
        }
    }

    /// Votes for a holder of an issuer, or renews that vote, unless a vote for another holder has
    /// not expired. Returns whether the holder has this front's vote, which is never the case for
    /// an unknown issuer.
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

    /// Withdraws the votes for a holder of issuers that it no longer claims.
    pub fn release_unclaimed(&mut self, holder: Holder, claims: &[PeerId]) {
        for (issuer, vote) in self.votes.iter_mut().enumerate() {
            let is_claimed = claims.contains(&PeerId::from_index(issuer));
            if vote.is_some_and(|vote| vote.holder == holder) && !is_claimed {
                *vote = None;
            }
        }
    }

    /// Hashes the votes that have not expired, with times relative to `now`.
    pub fn fingerprint<H: Hasher>(&self, now: Nanos, hasher: &mut H) {
        for vote in &self.votes {
            let active = vote.filter(|vote| vote.expires_at > now);
            active
                .map(|vote| (vote.holder, time_until(now, vote.expires_at)))
                .hash(hasher);
        }
    }
}
