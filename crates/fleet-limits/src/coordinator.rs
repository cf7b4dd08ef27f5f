//! The state machine of one front. It handles events, returns effects and computes the share of
//! each limit that the front may use.
//!
//! Every limit is divided into equal parts, one for each front of the membership list. A part
//! consists of a floor, which its front owns permanently, and a lease issuer, which is held by the
//! front that has a quorum of votes for it: normally the issuer's owner. A front leases shares of
//! what it holds to its peers in proportion to their demand and uses the rest itself.

mod heartbeats;
mod status;

use std::collections::BTreeSet;

use tulipbridge_membership::MembershipTable;

use crate::adoption::MembershipAdoption;
use crate::claims::IssuerClaims;
use crate::demand::DemandMeter;
use crate::granting::GrantableShare;
use crate::mutations::{mutated, Mutation};
use crate::peers::PeerTable;
use crate::share_reports::ShareReports;
use crate::votes::{Holder, VoteTable};
use crate::{
    Effect, Event, Incarnation, Limit, LimitsConfig, LimitsConfigError, Nanos, PeerId, Share,
    FULL_SHARE,
};

pub use self::status::PeerReport;

/// One front's participant in the protocol that divides the fleet's limits.
#[derive(Clone, Debug)]
pub struct LimitCoordinator {
    config: LimitsConfig,
    members: MembershipTable,
    adoption: MembershipAdoption,
    peers: PeerTable,
    votes: VoteTable,
    claims: IssuerClaims,
    demand: DemandMeter,
    reports: ShareReports,
}

impl LimitCoordinator {
    /// Creates the coordinator of a front that has just started and has no state of an earlier run.
    /// `incarnation` must differ for each run of the front.
    ///
    /// # Errors
    /// Returns an error if the configuration is invalid, see [`LimitsConfig::check`].
    pub fn new(
        config: LimitsConfig,
        incarnation: Incarnation,
        now: Nanos,
    ) -> Result<LimitCoordinator, LimitsConfigError> {
        config.check()?;
        let lease_span = config.lease_span();
        Ok(LimitCoordinator {
            members: MembershipTable::new(config.me, config.fronts, incarnation, lease_span),
            adoption: MembershipAdoption::new(now, &config),
            peers: PeerTable::new(config.fronts, 0),
            votes: VoteTable::new(config.fronts),
            claims: IssuerClaims::default(),
            demand: DemandMeter::default(),
            reports: ShareReports::new(),
            config,
        })
    }

    /// Handles one event and appends the effects that the caller must carry out, in order.
    pub fn on(&mut self, now: Nanos, event: Event, effects: &mut Vec<Effect>) {
        match event {
            Event::HeartbeatDue => self.on_heartbeat_due(now, effects),
            Event::HeartbeatReceived {
                from,
                incarnation,
                heartbeat,
            } => {
                let sender = Holder {
                    peer: from,
                    incarnation,
                };
                self.on_heartbeat_received(now, sender, *heartbeat, effects);
            }
            Event::Demanded { limit, units } => self.on_demand(now, limit, units, effects),
            Event::Poll => self.expire(now, effects),
            Event::Reconfigure(config) => self.reconfigure(now, config, effects),
            Event::Shutdown => {
                self.members.shut_down();
                self.report_all(now, now, effects);
            }
            Event::AddressInUse => self.adoption.restart_startup_period(now, &self.config),
        }
    }

    fn on_heartbeat_due(&mut self, now: Nanos, effects: &mut Vec<Effect>) {
        self.expire(now, effects);
        for limit in self.demand.expire_idle(now) {
            self.reports.forget(limit);
            effects.push(Effect::Forget(limit));
        }
        self.update_claims(now);
        self.send_heartbeats(now, effects);
        self.report_all(now, now, effects);
    }

    fn on_demand(&mut self, now: Nanos, limit: Limit, units: f64, effects: &mut Vec<Effect>) {
        self.expire(now, effects);
        let is_new = self.demand.record(now, limit, units);
        if is_new {
            self.report_all(now, now, effects);
        }
    }

    /// Resets the state for another configuration. Nothing that was granted under the old one is
    /// renewed, and all of it has expired before anything is used under the new one.
    fn reconfigure(&mut self, now: Nanos, config: LimitsConfig, effects: &mut Vec<Effect>) {
        if config == self.config {
            return;
        }
        let Ok(mut fresh) = LimitCoordinator::new(config, self.incarnation(), now) else {
            return;
        };
        let lease_span = fresh.config.lease_span();
        fresh.members =
            self.members
                .with_membership_list(fresh.config.me, fresh.config.fronts, lease_span);
        fresh.adoption = self.adoption.changed(now, &self.config, &fresh.config);
        fresh.peers = PeerTable::new(fresh.config.fronts, self.peers.grant_number());
        fresh.demand = std::mem::take(&mut self.demand);
        fresh.reports = self.reports.restarted();
        *self = fresh;
        self.report_all(now, now, effects);
    }

    /// Updates this front's claims on issuers and its own votes for them. Leases from an issuer
    /// that this front no longer claims are not revoked; they expire on their own.
    fn update_claims(&mut self, now: Nanos) {
        if self.members.is_shutting_down() || self.is_suspended(now) || !self.is_settled() {
            return;
        }
        let holder = self.own_holder();
        let is_starting = self.is_starting(now);
        self.claims.update(now, &self.config, &self.members);
        if !is_starting {
            self.claims
                .cast_own_votes(now, &self.config, holder, &mut self.votes);
        }
        let claimed: Vec<PeerId> = self.claims.issuers().collect();
        self.votes.release_unclaimed(holder, &claimed);
        let holds_own_issuer = self
            .claims
            .held(now, &self.config)
            .any(|issuer| issuer == holder.peer);
        if holds_own_issuer && !is_starting {
            self.adoption.set_established();
        }
    }

    /// Returns the current incarnation of this front as a holder of lease issuers.
    fn own_holder(&self) -> Holder {
        Holder {
            peer: self.config.me,
            incarnation: self.incarnation(),
        }
    }

    /// Returns the time by which the coordinator needs an event, such as [`Event::Poll`], because
    /// something that this front uses expires then.
    pub fn next_expiry(&self) -> Nanos {
        self.reports.next_expiry()
    }

    /// Returns the share of a limit that this front may use now.
    pub fn share(&self, now: Nanos, limit: Limit) -> Share {
        self.effective_share(now, self.own_share(now), limit)
    }

    /// Returns the share of every limit that this front may use itself or lease to peers: its floor
    /// and the shares of the issuers that it holds.
    fn own_share(&self, now: Nanos) -> Share {
        let is_starting = self.is_starting(now) && !mutated(Mutation::FloorAtOnce);
        if is_starting || self.is_suspended(now) {
            return Share::NONE;
        }
        let floor = self.adoption.usable_floor(&self.config);
        if !self.is_settled() {
            return floor;
        }
        let issuers = self.claims.held(now, &self.config).count() as u32;
        floor + self.config.issuer_share() * issuers
    }

    /// Returns the share that this front may use: `own_share` less what it has granted to peers,
    /// plus what it leases from them.
    fn effective_share(&self, now: Nanos, own_share: Share, limit: Limit) -> Share {
        if self.is_suspended(now) || self.members.is_shutting_down() {
            return Share::NONE;
        }
        let granted = if mutated(Mutation::GrantsNotDeducted) {
            Share::NONE
        } else {
            self.peers.granted_share(now, limit)
        };
        let leased = self.peers.held_share(now, limit);
        (own_share.saturating_sub(granted) + leased).min(FULL_SHARE)
    }

    /// Returns the share from which this front may grant leases: none until the whole fleet has
    /// adopted the membership list, and none while this front shuts down.
    fn grantable_share(&self, now: Nanos) -> GrantableShare {
        let may_grant = self.is_settled() && !self.members.is_shutting_down();
        let share = if may_grant {
            self.own_share(now)
        } else {
            Share::NONE
        };
        GrantableShare {
            share,
            expires_at: self.claims.first_expiry(now, &self.config),
        }
    }

    /// Reports the shares that have changed because something expired since the last check.
    fn expire(&mut self, now: Nanos, effects: &mut Vec<Effect>) {
        let expired_at = self.next_expiry();
        if now >= expired_at && !mutated(Mutation::NoExpiryAfterPause) {
            self.report_all(now, expired_at, effects);
        }
    }

    /// Reports all shares that have changed. Reductions are reported as effective from
    /// `reduced_at`.
    fn report_all(&mut self, now: Nanos, reduced_at: Nanos, effects: &mut Vec<Effect>) {
        let own_share = self.own_share(now);
        let limits: Vec<Limit> = self.demand.limits().collect();
        for limit in limits {
            let share = self.effective_share(now, own_share, limit);
            self.reports.report(now, reduced_at, limit, share, effects);
        }
        self.update_next_expiry(now);
    }

    /// Reports the shares of `limits` that have changed, except of limits never reported before.
    fn report_some(&mut self, now: Nanos, limits: &BTreeSet<Limit>, effects: &mut Vec<Effect>) {
        if !limits.is_empty() {
            let own_share = self.own_share(now);
            for limit in limits.iter().copied() {
                if self.reports.contains(limit) {
                    let share = self.effective_share(now, own_share, limit);
                    self.reports.report(now, now, limit, share, effects);
                }
            }
        }
        self.update_next_expiry(now);
    }

    /// Updates the next time at which a held lease, a claim or the startup period ends.
    fn update_next_expiry(&mut self, now: Nanos) {
        let leases = self.peers.held_expiries();
        let claims = self.claims.expiries(&self.config);
        let startup_end = [self.adoption.startup_ends_at()];
        self.reports
            .set_next_expiry(now, leases.chain(claims).chain(startup_end));
    }
}
