//! Which lease issuers this front claims, and until when it may use them.

use tulipbridge_membership::PeerStatus;

use super::LimitCoordinator;
use crate::claims::IssuerClaim;
use crate::mutations::{mutated, Mutation};
use crate::{Nanos, PeerId, Share};

impl LimitCoordinator {
    /// Homes of the lease issuers that this front holds now.
    pub fn issuers_held(&self, now: Nanos) -> Vec<PeerId> {
        let held = self
            .claims
            .iter()
            .filter(|(issuer, claim)| self.claim_expiry(**issuer, claim) > now);
        held.map(|(issuer, _)| *issuer).collect()
    }

    /// Until when an issuer is this front's to use.
    pub(super) fn claim_expiry(&self, issuer: PeerId, claim: &IssuerClaim) -> Nanos {
        let is_home = issuer == self.config.me;
        claim.expires_at(self.config.quorum(is_home))
    }

    /// What this front may use or grant of every limit: its floor and the issuers that it holds.
    pub(super) fn own_share(&self, now: Nanos) -> Share {
        if (self.is_starting(now) && !mutated(Mutation::FloorAtOnce)) || self.is_standby(now) {
            return Share::NONE;
        }
        if !self.is_settled() {
            return self.old_floor.min(self.config.floor_share());
        }
        let issuers = self.issuers_held(now).len() as u32;
        self.config.floor_share() + self.config.issuer_share() * issuers
    }

    /// When the first of the issuers expires that make up the own share; [`Nanos::MAX`] without
    /// any.
    pub(super) fn own_share_expiry(&self, now: Nanos) -> Nanos {
        let expiries = self
            .claims
            .iter()
            .map(|(issuer, claim)| self.claim_expiry(*issuer, claim));
        expiries
            .filter(|expires_at| *expires_at > now)
            .min()
            .unwrap_or(Nanos::MAX)
    }

    /// Updates the claims: the own issuer is always claimed, that of a silent front by its
    /// successor in the ring.
    pub(super) fn update_claims(&mut self, now: Nanos) {
        // Leases from issuers that were held continue to run: they expire by themselves.
        if self.members.is_shutting_down() || self.is_standby(now) || !self.is_settled() {
            return;
        }
        let me = self.config.me;
        self.claims
            .entry(me)
            .or_insert_with(|| IssuerClaim::new(now));
        for issuer in PeerId::all(self.config.fronts).filter(|issuer| *issuer != me) {
            self.update_foreign_claim(now, issuer);
        }
        self.claims
            .retain(|_, claim| claim.returns_at.is_none_or(|returns_at| now < returns_at));
        let claims: Vec<PeerId> = self.claims.keys().copied().collect();
        if !self.is_starting(now) {
            self.vote_for_own_claims(now, &claims);
        }
        self.votes.release_unclaimed(self.own_holder(), &claims);
        self.established |= self.issuers_held(now).contains(&me) && !self.is_starting(now);
    }

    /// Claims another front's issuer, or begins to give it up.
    fn update_foreign_claim(&mut self, now: Nanos, issuer: PeerId) {
        let home = self.members.status(now, issuer);
        let is_home_silent = matches!(
            home,
            PeerStatus::Dead | PeerStatus::Left | PeerStatus::Unknown
        );
        let is_successor = is_home_silent && self.successor_of(now, issuer) == self.config.me;
        let lease_span = self.lease_span();
        let is_held = self
            .claims
            .get(&issuer)
            .is_some_and(|claim| self.claim_expiry(issuer, claim) > now);
        let Some(claim) = self.claims.get_mut(&issuer) else {
            if is_successor {
                self.claims.insert(issuer, IssuerClaim::new(now));
            }
            return;
        };
        if claim.returns_at.is_some() {
            return;
        }
        if !is_home_silent {
            // Leases from the issuer must expire before its home may use it again.
            let delay = if is_held && !mutated(Mutation::IssuerReturnedEarly) {
                lease_span
            } else {
                0
            };
            claim.returns_at = Some(now + delay);
        } else if !is_successor && !is_held {
            // Another front claims it, too: two that compete may keep each other from a quorum.
            self.claims.remove(&issuer);
        }
    }

    fn vote_for_own_claims(&mut self, now: Nanos, claims: &[PeerId]) {
        let (me, holder) = (self.config.me, self.own_holder());
        let expires_at = now + self.config.lease_duration;
        let binding_until = now + self.lease_span();
        for issuer in claims {
            if !self.votes.vote_for(now, *issuer, holder, binding_until) {
                continue;
            }
            if let Some(claim) = self.claims.get_mut(issuer) {
                claim.set_vote(me, expires_at);
            }
        }
    }

    /// The first front after `peer` in the ring of the roster that is alive, this front included.
    fn successor_of(&self, now: Nanos, peer: PeerId) -> PeerId {
        let fronts = u32::from(self.config.fronts);
        let mut ring = (1..fronts).map(|step| PeerId(((u32::from(peer.0) + step) % fronts) as u16));
        let is_available =
            |peer: &PeerId| *peer == self.config.me || self.members.is_alive(now, *peer);
        ring.find(is_available).unwrap_or(self.config.me)
    }
}
