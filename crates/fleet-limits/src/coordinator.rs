//! The state machine of one front: the order of events and effects, and the share that follows from
//! the parts of the state.
//!
//! Every limit is divided into equal parts, one for each front of the roster. A part consists of a
//! floor, which its front owns for good, and a lease issuer, which is held by whichever front has a
//! quorum of votes: normally its home. A front uses what it holds itself and leases the rest to its
//! peers in proportion to their demand.

mod heartbeats;
mod status;

use std::collections::BTreeSet;

use tulipbridge_membership::MembershipTable;

use crate::adoption::RosterAdoption;
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

/// One front's side of the limits that hold for the whole fleet.
#[derive(Clone, Debug)]
pub struct LimitCoordinator {
    config: LimitsConfig,
    members: MembershipTable,
    adoption: RosterAdoption,
    peers: PeerTable,
    votes: VoteTable,
    claims: IssuerClaims,
    demand: DemandMeter,
    reports: ShareReports,
}

impl LimitCoordinator {
    /// A front that has just started and remembers nothing. `incarnation` must differ for each run
    /// of the front.
    ///
    /// # Errors
    /// The configuration is invalid, see [`LimitsConfig::check`].
    pub fn new(
        config: LimitsConfig,
        incarnation: Incarnation,
        now: Nanos,
    ) -> Result<LimitCoordinator, LimitsConfigError> {
        config.check()?;
        let lease_span = config.lease_span();
        Ok(LimitCoordinator {
            members: MembershipTable::new(config.me, config.fronts, incarnation, lease_span),
            adoption: RosterAdoption::new(now, &config),
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
            Event::AddressInUse => self.adoption.restart_quiet_time(now, &self.config),
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

    /// Starts anew under another configuration. Nothing that was granted under the old one is
    /// renewed, and it has expired before anything of the new one is used.
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

    /// Updates the claims and the votes for them. Leases from issuers that were held continue to
    /// run where this front claims nothing any more: they expire by themselves.
    fn update_claims(&mut self, now: Nanos) {
        if self.members.is_shutting_down() || self.is_standby(now) || !self.is_settled() {
            return;
        }
        let holder = self.own_holder();
        let is_starting = self.is_starting(now);
        self.claims.update(now, &self.config, &self.members);
        if !is_starting {
            self.claims
                .vote_for_own(now, &self.config, holder, &mut self.votes);
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

    /// This run of this front as a holder of lease issuers.
    fn own_holder(&self) -> Holder {
        Holder {
            peer: self.config.me,
            incarnation: self.incarnation(),
        }
    }

    /// The time by which the coordinator needs an event, such as [`Event::Poll`]: something that
    /// this front uses expires then.
    pub fn next_expiry(&self) -> Nanos {
        self.reports.next_expiry()
    }

    /// The share of a limit that this front may use now.
    pub fn share(&self, now: Nanos, limit: Limit) -> Share {
        self.effective_share(now, self.own_share(now), limit)
    }

    /// What this front may use or grant of every limit: its floor and the issuers that it holds.
    fn own_share(&self, now: Nanos) -> Share {
        let is_quiet = self.is_starting(now) && !mutated(Mutation::FloorAtOnce);
        if is_quiet || self.is_standby(now) {
            return Share::NONE;
        }
        let floor = self.adoption.usable_floor(&self.config);
        if !self.is_settled() {
            return floor;
        }
        let issuers = self.claims.held(now, &self.config).count() as u32;
        floor + self.config.issuer_share() * issuers
    }

    /// The own share without what is granted to peers, plus what is leased from them.
    fn effective_share(&self, now: Nanos, own_share: Share, limit: Limit) -> Share {
        if self.is_standby(now) || self.members.is_shutting_down() {
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

    /// The share that this front may grant leases from, none while the fleet adopts the roster or
    /// this front shuts down.
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

    /// Reports what has expired since the last look.
    fn expire(&mut self, now: Nanos, effects: &mut Vec<Effect>) {
        let expired_at = self.next_expiry();
        if now >= expired_at && !mutated(Mutation::NoExpiryAfterPause) {
            self.report_all(now, expired_at, effects);
        }
    }

    /// Reports the limits whose share has changed. A share that has become smaller is so since
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

    /// Reports those of some limits that have been reported before and whose share has changed.
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

    /// Finds out when something that is used expires next.
    fn update_next_expiry(&mut self, now: Nanos) {
        let leases = self.peers.held_expiries();
        let claims = self.claims.expiries(&self.config);
        let quiet_time = [self.adoption.quiet_until()];
        self.reports
            .set_next_expiry(now, leases.chain(claims).chain(quiet_time));
    }
}
