//! Construction of the heartbeats that this front sends.

use std::cmp::Reverse;

use tulipbridge_membership::PeerState;

use super::LimitCoordinator;
use crate::{
    Demand, Effect, GrantInUse, Heartbeat, LeaseGrant, Limit, LimitsConfig, MessageStatus, Nanos,
    PeerId,
};

impl LimitCoordinator {
    /// Sends a heartbeat to every peer, with the leases granted to it.
    pub(super) fn send_heartbeats(&mut self, now: Nanos, effects: &mut Vec<Effect>) {
        self.members.begin_round(now);
        let me = self.config.me;
        let mut round = self.grant_round(now);
        let common = self.common_heartbeat(now);
        for to in PeerId::all(self.config.fronts).filter(|to| *to != me) {
            let grant = self.grant_to(now, to, &mut round);
            let heartbeat = Box::new(self.heartbeat_for(now, to, grant, &common));
            effects.push(Effect::Send { to, heartbeat });
        }
    }

    /// The heartbeat for one peer: the common part and what is meant for this peer alone.
    fn heartbeat_for(
        &self,
        now: Nanos,
        to: PeerId,
        grant: LeaseGrant,
        common: &Heartbeat,
    ) -> Heartbeat {
        let peer = &self.peers[to.index()];
        let held_grant = |grantor| GrantInUse {
            grantor,
            number: peer.held.number,
        };
        Heartbeat {
            state: self.members.state_for(now, to),
            votes: peer.votes_for.clone(),
            grant_in_use: self.members.incarnation_of(to).map(held_grant),
            grant,
            ..common.clone()
        }
    }

    /// The reply to a heartbeat that was not accepted: that this front exists, and which roster it
    /// has. Under another roster the sender's number identifies nobody here, so that no peer state
    /// is given.
    pub(super) fn reply_to(&self, now: Nanos, sender: PeerId, status: MessageStatus) -> Heartbeat {
        let state = if status == MessageStatus::Conflicting {
            self.members.state_for(now, sender)
        } else {
            PeerState::default()
        };
        Heartbeat {
            is_reply: true,
            state,
            ..self.roster_heartbeat()
        }
    }

    /// The part of the heartbeats of one round that is the same for all peers.
    fn common_heartbeat(&self, now: Nanos) -> Heartbeat {
        let mut heartbeat = self.roster_heartbeat();
        heartbeat.demands = self.reported_demands(now);
        if !self.members.is_shutting_down() {
            heartbeat.claims = self.claims.keys().copied().collect();
        }
        // At the first revision every front counts as having adopted the roster.
        if !self.config.is_first_revision() {
            heartbeat.settled = self.settled.iter().copied().collect();
        }
        heartbeat
    }

    /// A heartbeat that identifies this front's roster and says nothing else.
    fn roster_heartbeat(&self) -> Heartbeat {
        let LimitsConfig {
            roster, revision, ..
        } = self.config;
        Heartbeat {
            roster,
            revision,
            established: self.established,
            ..Heartbeat::default()
        }
    }

    /// Demand for as many limits as a heartbeat may list. Where there are more, limits of the whole
    /// fleet come before those of volumes, and then those with the highest demand.
    fn reported_demands(&self, now: Nanos) -> Vec<Demand> {
        let rates = self.demand.rates(now).filter(|(_, rate)| *rate > 0);
        let demand = |(limit, rate)| Demand {
            limit,
            milli_units_per_second: rate,
        };
        let mut demands: Vec<Demand> = rates.map(demand).collect();
        if demands.len() > self.config.max_limits {
            demands.sort_unstable_by_key(|demand| {
                let is_volume = matches!(demand.limit, Limit::Volume(_));
                (
                    is_volume,
                    Reverse(demand.milli_units_per_second),
                    demand.limit,
                )
            });
            demands.truncate(self.config.max_limits);
        }
        demands
    }
}
