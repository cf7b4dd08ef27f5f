//! The claims of this front on lease issuers, and the votes of the fleet for them.

use std::collections::BTreeMap;
use std::hash::{Hash, Hasher};

use tulipbridge_membership::{MembershipTable, PeerStatus};

use crate::fingerprint::time_until;
use crate::mutations::{mutated, Mutation};
use crate::votes::{Holder, VoteTable};
use crate::{LimitsConfig, Nanos, PeerId};

/// A claim on a lease issuer. The issuer is held while a quorum of votes for the claim has not
/// expired.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct IssuerClaim {
    /// Votes on heartbeats that were sent before this time belong to an earlier claim.
    claimed_at: Nanos,
    /// When the vote of each front expires, by this front's clock.
    vote_expiries: BTreeMap<PeerId, Nanos>,
    /// Set once the issuer goes back to its home: nothing of it is used or granted any more, and
    /// all leases from it have expired by this time.
    returns_at: Option<Nanos>,
}

impl IssuerClaim {
    /// A claim without votes.
    fn new(now: Nanos) -> IssuerClaim {
        IssuerClaim {
            claimed_at: now,
            vote_expiries: BTreeMap::new(),
            returns_at: None,
        }
    }

    /// Extends a front's vote; an earlier expiry than the known one is ignored.
    fn extend_vote(&mut self, voter: PeerId, expires_at: Nanos) {
        let known = self.vote_expiries.entry(voter).or_insert(Nanos::MIN);
        *known = (*known).max(expires_at);
    }

    /// Until when the issuer may be used: when the vote expires that completes the quorum.
    /// [`Nanos::MIN`] where it may not be used at all.
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

/// A vote of a peer for this front's claim on an issuer.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ReceivedVote {
    /// Home of the issuer.
    pub issuer: PeerId,
    /// The voter.
    pub voter: PeerId,
    /// When this front sent the heartbeat that the vote answers.
    pub requested_at: Nanos,
    /// When the vote expires, by this front's clock.
    pub expires_at: Nanos,
}

/// All claims of this front, by the issuer's home.
#[derive(Clone, Debug, Default)]
pub(crate) struct IssuerClaims {
    claims: BTreeMap<PeerId, IssuerClaim>,
}

impl IssuerClaims {
    /// Homes of the claimed issuers.
    pub fn issuers(&self) -> impl Iterator<Item = PeerId> + '_ {
        self.claims.keys().copied()
    }

    /// Homes of the issuers that this front holds now.
    pub fn held<'a>(
        &'a self,
        now: Nanos,
        config: &'a LimitsConfig,
    ) -> impl Iterator<Item = PeerId> + 'a {
        let claims = self.claims.iter();
        let held = claims.filter(move |(issuer, claim)| expiry(config, **issuer, claim) > now);
        held.map(|(issuer, _)| *issuer)
    }

    /// Until when each claimed issuer is this front's to use; some of these times may have passed.
    pub fn expiries<'a>(&'a self, config: &'a LimitsConfig) -> impl Iterator<Item = Nanos> + 'a {
        self.claims
            .iter()
            .map(|(issuer, claim)| expiry(config, *issuer, claim))
    }

    /// When the first of the held issuers expires; [`Nanos::MAX`] without any.
    pub fn first_expiry(&self, now: Nanos, config: &LimitsConfig) -> Nanos {
        let remaining = self.expiries(config).filter(|expires_at| *expires_at > now);
        remaining.min().unwrap_or(Nanos::MAX)
    }

    /// Updates the claims: the own issuer is always claimed, that of a silent front by its
    /// successor in the ring.
    pub fn update(&mut self, now: Nanos, config: &LimitsConfig, members: &MembershipTable) {
        let me = config.me;
        self.claims
            .entry(me)
            .or_insert_with(|| IssuerClaim::new(now));
        for issuer in PeerId::all(config.fronts).filter(|issuer| *issuer != me) {
            self.update_foreign(now, config, members, issuer);
        }
        self.claims
            .retain(|_, claim| claim.returns_at.is_none_or(|returns_at| now < returns_at));
    }

    /// Claims another front's issuer, or begins to give it up.
    fn update_foreign(
        &mut self,
        now: Nanos,
        config: &LimitsConfig,
        members: &MembershipTable,
        issuer: PeerId,
    ) {
        let is_home_silent = matches!(
            members.status(now, issuer),
            PeerStatus::Dead | PeerStatus::Left | PeerStatus::Unknown
        );
        let is_successor = is_home_silent && successor(now, config, members, issuer) == config.me;
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
        if !is_home_silent {
            // Leases from the issuer must expire before its home may use it again.
            let delay = if is_held && !mutated(Mutation::IssuerReturnedEarly) {
                config.lease_span()
            } else {
                0
            };
            claim.returns_at = Some(now + delay);
        } else if !is_successor && !is_held {
            // Another front claims it, too: two that compete may keep each other from a quorum.
            self.claims.remove(&issuer);
        }
    }

    /// Votes for each claim as its holder, as far as this front has no other vote outstanding.
    pub fn vote_for_own(
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

    /// Counts a peer's vote, unless the claim is younger than the vote.
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

/// Until when an issuer is the claimant's to use.
fn expiry(config: &LimitsConfig, issuer: PeerId, claim: &IssuerClaim) -> Nanos {
    let is_home = issuer == config.me;
    claim.expires_at(config.quorum(is_home))
}

/// The first front after `peer` in the ring of the roster that is alive, this front included.
fn successor(now: Nanos, config: &LimitsConfig, members: &MembershipTable, peer: PeerId) -> PeerId {
    let fronts = u32::from(config.fronts);
    let mut ring = (1..fronts).map(|step| PeerId(((u32::from(peer.0) + step) % fronts) as u16));
    let is_available = |peer: &PeerId| *peer == config.me || members.is_alive(now, *peer);
    ring.find(is_available).unwrap_or(config.me)
}
