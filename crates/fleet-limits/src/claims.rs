//! The claims of this front on lease issuers, and the votes of all fronts for these claims.

use std::collections::BTreeMap;
use std::hash::{Hash, Hasher};

use tulipbridge_membership::{MembershipTable, PeerStatus};

use crate::fingerprint::time_until;
use crate::mutations::{mutated, Mutation};
use crate::votes::{Holder, VoteTable};
use crate::{LimitsConfig, Nanos, PeerId};

/// A claim on a lease issuer. The claimant holds the issuer while a quorum of unexpired votes
/// supports the claim.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct IssuerClaim {
    /// When the claim was made. Votes that answer heartbeats sent before this time belong to an
    /// earlier claim.
    claimed_at: Nanos,
    /// Expiry of the vote of each front, by this front's clock.
    vote_expiries: BTreeMap<PeerId, Nanos>,
    /// Set when this front begins to return the issuer to its owner: nothing of it is used or
    /// granted any more, and all leases from it have expired by this time.
    returns_at: Option<Nanos>,
}

impl IssuerClaim {
    /// Creates a claim without votes.
    fn new(now: Nanos) -> IssuerClaim {
        IssuerClaim {
            claimed_at: now,
            vote_expiries: BTreeMap::new(),
            returns_at: None,
        }
    }

    /// Extends a front's vote. An expiry earlier than the known one is ignored.
    fn extend_vote(&mut self, voter: PeerId, expires_at: Nanos) {
        let known = self.vote_expiries.entry(voter).or_insert(Nanos::MIN);
        *known = (*known).max(expires_at);
    }

    /// Returns the time until which the issuer may be used: the time from which fewer than `quorum`
    /// votes are unexpired. [`Nanos::MIN`] if the issuer may not be used at all.
    fn expires_at(&self, quorum: usize) -> Nanos {
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
    fn fingerprint<H: Hasher>(&self, now: Nanos, issuer: PeerId, hasher: &mut H) {
        let returns_in = self.returns_at.map(|at| time_until(now, at));
        (issuer, now - self.claimed_at, returns_in).hash(hasher);
        for (voter, expires_at) in &self.vote_expiries {
            (voter, time_until(now, *expires_at)).hash(hasher);
        }
    }
}

/// A peer's vote for this front's claim on an issuer.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ReceivedVote {
    /// Owner of the issuer.
    pub issuer: PeerId,
    /// The front that voted.
    pub voter: PeerId,
    /// Time at which this front sent the heartbeat that the vote answers.
    pub requested_at: Nanos,
    /// Time at which the vote expires, by this front's clock.
    pub expires_at: Nanos,
}

/// All claims of this front, by the issuer's owner.
#[derive(Clone, Debug, Default)]
pub(crate) struct IssuerClaims {
    claims: BTreeMap<PeerId, IssuerClaim>,
}

impl IssuerClaims {
    /// Returns the owners of the claimed issuers.
    pub fn issuers(&self) -> impl Iterator<Item = PeerId> + '_ {
        self.claims.keys().copied()
    }

    /// Returns the owners of the issuers that this front holds now.
    pub fn held<'a>(
        &'a self,
        now: Nanos,
        config: &'a LimitsConfig,
    ) -> impl Iterator<Item = PeerId> + 'a {
        let claims = self.claims.iter();
        let held = claims.filter(move |(issuer, claim)| expiry(config, **issuer, claim) > now);
        held.map(|(issuer, _)| *issuer)
    }

    /// Returns the time until which this front holds each claimed issuer, which may have passed.
    pub fn expiries<'a>(&'a self, config: &'a LimitsConfig) -> impl Iterator<Item = Nanos> + 'a {
        self.claims
            .iter()
            .map(|(issuer, claim)| expiry(config, *issuer, claim))
    }

    /// Returns the earliest expiry of the held issuers, or [`Nanos::MAX`] if none is held.
    pub fn first_expiry(&self, now: Nanos, config: &LimitsConfig) -> Nanos {
        let remaining = self.expiries(config).filter(|expires_at| *expires_at > now);
        remaining.min().unwrap_or(Nanos::MAX)
    }

    /// Updates the claims. Each front always claims its own issuer. The issuer of a front that is
    /// dead, has left or is unknown is claimed by that front's successor in the ring.
    pub fn update(&mut self, now: Nanos, config: &LimitsConfig, members: &MembershipTable) {
        let me = config.me;
        self.claims
            .entry(me)
            .or_insert_with(|| IssuerClaim::new(now));
        for issuer in PeerId::all(config.fronts).filter(|issuer| *issuer != me) {
            self.update_claim_on(now, config, members, issuer);
        }
        self.claims
            .retain(|_, claim| claim.returns_at.is_none_or(|returns_at| now < returns_at));
    }

    /// Claims the issuer of another front, or begins to return it.
    fn update_claim_on(
        &mut self,
        now: Nanos,
        config: &LimitsConfig,
        members: &MembershipTable,
        issuer: PeerId,
    ) {
        let is_owner_unavailable = matches!(
            members.status(now, issuer),
            PeerStatus::Dead | PeerStatus::Left | PeerStatus::Unknown
        );
        let is_successor =
            is_owner_unavailable && successor(now, config, members, issuer) == config.me;
        let Some(claim) = self.claims.get_mut(&issuer) else {
            if is_successor {
                self.claims.insert(issuer, IssuerClaim::new(now));
            }
            return;
        };
        if claim.returns_at.is_some() {
            return;
        }
        let is_held = expiry(config, issuer, claim) > now;
        if !is_owner_unavailable {
            // Leases from the issuer must expire before its owner may use it again.
            let delay = if is_held && !mutated(Mutation::IssuerReturnedEarly) {
                config.lease_span()
            } else {
                0
            };
            claim.returns_at = Some(now + delay);
        } else if !is_successor && !is_held {
            // Another front claims it, too, and competing claims may keep both from a quorum.
            self.claims.remove(&issuer);
        }
    }

    /// Casts this front's own vote for each claim where no vote for another holder rules it out.
    pub fn cast_own_votes(
        &mut self,
        now: Nanos,
        config: &LimitsConfig,
        holder: Holder,
        votes: &mut VoteTable,
    ) {
        let expires_at = now + config.lease_duration;
        let binding_until = now + config.lease_span();
        for (issuer, claim) in &mut self.claims {
            if votes.vote_for(now, *issuer, holder, binding_until) {
                claim.vote_expiries.insert(holder.peer, expires_at);
            }
        }
    }

    /// Counts a peer's vote, unless it was requested before the claim was made.
    pub fn count_vote(&mut self, vote: ReceivedVote) {
        let Some(claim) = self.claims.get_mut(&vote.issuer) else {
            return;
        };
        if vote.requested_at >= claim.claimed_at {
            claim.extend_vote(vote.voter, vote.expires_at);
        }
    }

    /// Hashes all claims, with times relative to `now`.
    pub fn fingerprint<H: Hasher>(&self, now: Nanos, hasher: &mut H) {
        for (issuer, claim) in &self.claims {
            claim.fingerprint(now, *issuer, hasher);
        }
    }
}

/// Returns the time until which a claim holds an issuer.
fn expiry(config: &LimitsConfig, issuer: PeerId, claim: &IssuerClaim) -> Nanos {
    let is_owner = issuer == config.me;
    claim.expires_at(config.quorum(is_owner))
}

/// Returns the first live front after `peer` in the ring that the membership list forms. This front
/// counts as alive.
fn successor(now: Nanos, config: &LimitsConfig, members: &MembershipTable, peer: PeerId) -> PeerId {
    let fronts = u32::from(config.fronts);
    let mut ring = (1..fronts).map(|step| PeerId(((u32::from(peer.0) + step) % fronts) as u16));
    let is_available = |peer: &PeerId| *peer == config.me || members.is_alive(now, *peer);
    ring.find(is_available).unwrap_or(config.me)
}
