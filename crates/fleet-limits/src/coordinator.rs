//! The state machine of one front.
//!
//! Every limit is divided into equal parts, one for each front of the roster. A part consists of a
//! floor, which its front owns for good, and a lease issuer, which is held by whichever front has a
//! quorum of votes: normally its home. A front uses what it holds itself and leases the rest to its
//! peers in proportion to their demand.

mod claiming;
mod fingerprint;
mod granting;
mod heartbeats;
mod receiving;
mod reporting;
mod status;

use std::collections::{BTreeMap, BTreeSet};

use tulipbridge_membership::MembershipTable;

use crate::claims::IssuerClaim;
use crate::demand::DemandMeter;
use crate::leases::Peer;
use crate::votes::{Holder, VoteTable};
use crate::{
    Effect, Event, Incarnation, Limit, LimitsConfig, LimitsConfigError, Nanos, PeerId, Share,
};

pub use status::PeerReport;

/// One front's side of the limits that hold for the whole fleet.
#[derive(Clone, Debug)]
pub struct LimitCoordinator {
    config: LimitsConfig,
    members: MembershipTable,
    /// Until then this front votes for nobody and uses nothing of its own: an earlier incarnation
    /// may have.
    quiet_until: Nanos,
    /// Upper bound of the floor while the roster is not settled.
    old_floor: Share,
    /// The fronts that are known to have adopted the roster.
    settled: BTreeSet<PeerId>,
    /// What is known of each front, indexed by peer; the own entry stays empty.
    peers: Vec<Peer>,
    votes: VoteTable,
    /// This front's claims by the issuer's home.
    claims: BTreeMap<PeerId, IssuerClaim>,
    /// Whether the own issuer has been held under this roster.
    established: bool,
    /// When a front was last heard whose roster has the same revision and takes precedence over
    /// this one.
    yields_at: Option<Nanos>,
    /// Number of the latest grant to any peer.
    grant_number: u64,
    demand: DemandMeter,
    /// The share of each limit that was last reported to the caller.
    reported: BTreeMap<Limit, Share>,
    /// When a held lease or claim expires next, or the quiet time ends.
    next_expiry: Nanos,
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
        let is_first_revision = config.is_first_revision();
        // The first roster has no predecessor, so that every front counts as having adopted it.
        let settled = if is_first_revision {
            PeerId::all(config.fronts).collect()
        } else {
            BTreeSet::from([config.me])
        };
        Ok(LimitCoordinator {
            members: MembershipTable::new(config.me, config.fronts, incarnation, lease_span),
            quiet_until: now + lease_span,
            old_floor: if is_first_revision {
                config.floor_share()
            } else {
                Share::NONE
            },
            settled,
            peers: vec![Peer::default(); usize::from(config.fronts)],
            votes: VoteTable::new(config.fronts),
            claims: BTreeMap::new(),
            established: false,
            yields_at: None,
            grant_number: 0,
            demand: DemandMeter::default(),
            reported: BTreeMap::new(),
            next_expiry: Nanos::MAX,
            config,
        })
    }

    /// Handles one event and appends the effects that the caller must carry out, in order.
    pub fn on(&mut self, now: Nanos, event: Event, effects: &mut Vec<Effect>) {
        match event {
            Event::HeartbeatDue => self.on_heartbeat_due(now, effects),
            Event::HeartbeatReceived {
                from,
                incarnation: boot,
                heartbeat,
            } => {
                let sender = Holder {
                    peer: from,
                    incarnation: boot,
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
            Event::AddressInUse => self.quiet_until = now + self.lease_span(),
        }
    }

    fn on_heartbeat_due(&mut self, now: Nanos, effects: &mut Vec<Effect>) {
        self.expire(now, effects);
        for limit in self.demand.expire_idle(now) {
            self.reported.remove(&limit);
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
        let current_floor = if self.is_settled() {
            self.config.floor_share()
        } else {
            self.old_floor
        };
        let Ok(mut fresh) = LimitCoordinator::new(config, self.incarnation(), now) else {
            return;
        };
        let lease_span = fresh.lease_span();
        fresh.members = self
            .members
            .with_roster(fresh.config.me, fresh.config.fronts, lease_span);
        // Leases and votes of the old configuration may last as long as its own lease duration.
        fresh.quiet_until = fresh.quiet_until.max(now + self.lease_span());
        fresh.old_floor = current_floor.min(fresh.config.floor_share());
        fresh.settled = BTreeSet::from([fresh.config.me]);
        fresh.grant_number = self.grant_number;
        fresh.demand = std::mem::take(&mut self.demand);
        fresh.reported = std::mem::take(&mut self.reported);
        *self = fresh;
        self.report_all(now, now, effects);
    }

    /// This run of this front as a holder of lease issuers.
    fn own_holder(&self) -> Holder {
        Holder {
            peer: self.config.me,
            incarnation: self.incarnation(),
        }
    }

    /// The time after which anything granted has expired by any clock.
    fn lease_span(&self) -> Nanos {
        self.config.lease_span()
    }
}
