//! Sending and receiving heartbeats.

use std::cmp::Reverse;
use std::collections::BTreeSet;

use tulipbridge_membership::PeerState;

use super::LimitCoordinator;
use crate::claims::ReceivedVote;
use crate::granting::GrantRound;
use crate::mutations::{mutated, Mutation};
use crate::votes::Holder;
use crate::{
    Demand, Effect, GrantInUse, Heartbeat, LeaseGrant, Limit, MessageStatus, Nanos, PeerId,
};

/// What became of a received heartbeat.
struct Reception {
    status: MessageStatus,
    /// The limits of which the leases from the sender have changed.
    changed_limits: BTreeSet<Limit>,
}

impl Reception {
    fn rejected(status: MessageStatus) -> Reception {
        Reception {
            status,
            changed_limits: BTreeSet::new(),
        }
    }
}

impl LimitCoordinator {
    /// Sends a heartbeat to every peer, with the leases granted to it.
    pub(super) fn send_heartbeats(&mut self, now: Nanos, effects: &mut Vec<Effect>) {
        self.members.begin_round(now);
        let me = self.config.me;
        let own = self.grantable_share(now);
        let common = self.common_heartbeat(now);
        let mut round = GrantRound::new(
            now,
            &self.config,
            &self.members,
            own,
            &self.peers,
            &self.demand,
        );
        for to in PeerId::all(self.config.fronts).filter(|to| *to != me) {
            let grant = self.peers.grant_to(to, &mut round);
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
        let peer = self.peers.get(to);
        let held_grant = |grantor| GrantInUse {
            grantor,
            number: peer.leases().held_number(),
        };
        Heartbeat {
            state: self.members.state_for(now, to),
            votes: peer.votes_for().to_vec(),
            grant_in_use: self.members.incarnation_of(to).map(held_grant),
            grant,
            ..common.clone()
        }
    }

    /// The reply to a heartbeat that was not accepted: that this front exists, and which roster it
    /// has. Under another roster the sender's number identifies nobody here, so that no peer state
    /// is given.
    fn reply_to(&self, now: Nanos, sender: PeerId, status: MessageStatus) -> Heartbeat {
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
            heartbeat.claims = self.claims.issuers().collect();
        }
        // At the first revision every front counts as having adopted the roster.
        if !self.config.is_first_revision() {
            heartbeat.settled = self.adoption.settled_fronts().collect();
        }
        heartbeat
    }

    /// A heartbeat that identifies this front's roster and says nothing else.
    fn roster_heartbeat(&self) -> Heartbeat {
        Heartbeat {
            roster: self.config.roster,
            revision: self.config.revision,
            established: self.adoption.is_established(),
            ..Heartbeat::default()
        }
    }

    /// Demand for as many limits as a heartbeat may list. Where there are more, limits of the whole
    /// fleet come before those of volumes, and then those with the highest demand.
    fn reported_demands(&self, now: Nanos) -> Vec<Demand> {
        let mut demands: Vec<Demand> = self
            .demand
            .demands(now)
            .filter(|demand| demand.milli_units_per_second > 0)
            .collect();
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

    /// Handles a heartbeat: replies to one from a conflicting process or roster, and reports the
    /// shares that have changed.
    pub(super) fn on_heartbeat_received(
        &mut self,
        now: Nanos,
        sender: Holder,
        heartbeat: Heartbeat,
        effects: &mut Vec<Effect>,
    ) {
        self.expire(now, effects);
        let Reception {
            status,
            changed_limits,
        } = self.receive(now, sender, &heartbeat);
        effects.push(Effect::Received(status));
        let needs_reply = matches!(
            status,
            MessageStatus::Conflicting | MessageStatus::MembershipListMismatch
        );
        // Two fronts that reject each other's heartbeats must not answer each other's replies
        // without end.
        if needs_reply && !heartbeat.is_reply {
            let heartbeat = Box::new(self.reply_to(now, sender.peer, status));
            effects.push(Effect::Reply { heartbeat });
        }
        // A larger share can wait for the next round of heartbeats, a smaller one cannot.
        match status {
            MessageStatus::Accepted { first } if first || self.is_standby(now) => {
                self.report_all(now, now, effects);
            }
            MessageStatus::Accepted { .. } => self.report_some(now, &changed_limits, effects),
            MessageStatus::MembershipListMismatch if self.yields_to_roster(now) => {
                self.report_all(now, now, effects);
            }
            _ => {}
        }
    }

    /// Takes over what a heartbeat says, if it is accepted.
    fn receive(&mut self, now: Nanos, sender: Holder, heartbeat: &Heartbeat) -> Reception {
        if heartbeat.roster != self.config.roster && !mutated(Mutation::AnyRoster) {
            self.adoption.compare_roster(now, &self.config, heartbeat);
            return Reception::rejected(MessageStatus::MembershipListMismatch);
        }
        let status = self
            .members
            .receive(now, sender.peer, sender.incarnation, &heartbeat.state);
        let MessageStatus::Accepted { first } = status else {
            return Reception::rejected(status);
        };
        if first {
            self.peers.get_mut(sender.peer).reset_for_new_incarnation();
        }
        self.update_peer(now, sender.peer, heartbeat);
        let changed_limits = self.take_answers(now, sender.peer, heartbeat);
        self.adoption
            .add_settled(&self.config, sender.peer, &heartbeat.settled);
        self.answer_claims(now, sender, heartbeat);
        Reception {
            status,
            changed_limits,
        }
    }

    /// Notes the demand of the sender and which of its leases it still uses.
    fn update_peer(&mut self, now: Nanos, sender: PeerId, heartbeat: &Heartbeat) {
        let own_incarnation = self.incarnation();
        let peer = self.peers.get_mut(sender);
        peer.set_demands(&self.config, &heartbeat.demands);
        let in_use = heartbeat
            .grant_in_use
            .filter(|in_use| in_use.grantor == own_incarnation);
        peer.release_unused_grants(now, in_use.map(|in_use| in_use.number));
    }

    /// Takes the leases and the votes of a heartbeat, where it echoes one of this incarnation: they
    /// are counted from when the echoed heartbeat was sent. Returns the limits of which the leases
    /// have changed.
    fn take_answers(
        &mut self,
        now: Nanos,
        sender: PeerId,
        heartbeat: &Heartbeat,
    ) -> BTreeSet<Limit> {
        let own_incarnation = self.incarnation();
        let echo = heartbeat
            .state
            .echo
            .filter(|echo| echo.incarnation == own_incarnation);
        let Some(echo) = echo else {
            return BTreeSet::new();
        };
        // A heartbeat that is still to be sent cannot have been received.
        let requested_at = echo.sent_at.min(now);
        self.count_votes(now, sender, requested_at, &heartbeat.votes);
        let lease_starts_at = if mutated(Mutation::LeaseFromReceipt) {
            now
        } else {
            requested_at
        };
        self.peers
            .take_grant(&self.config, sender, lease_starts_at, &heartbeat.grant)
    }

    /// Counts the sender's votes for this front's claims.
    fn count_votes(&mut self, now: Nanos, voter: PeerId, requested_at: Nanos, votes: &[PeerId]) {
        let starts_at = if mutated(Mutation::VoteFromReceipt) {
            now
        } else {
            requested_at
        };
        let expires_at = starts_at + self.config.lease_duration;
        for issuer in votes.iter().copied() {
            self.claims.count_vote(ReceivedVote {
                issuer,
                voter,
                requested_at,
                expires_at,
            });
        }
    }

    /// Votes for the sender's claims as far as this front is free to, and keeps the result for its
    /// next heartbeat.
    fn answer_claims(&mut self, now: Nanos, sender: Holder, heartbeat: &Heartbeat) {
        // A front that shuts down does not revoke its leases: its issuers are free once the votes
        // have expired.
        let is_shutting_down =
            heartbeat.state.shutting_down && !mutated(Mutation::VotesReleasedOnShutdown);
        if !is_shutting_down {
            self.votes.release_unclaimed(sender, &heartbeat.claims);
        }
        let is_quiet = self.is_starting(now) && !mutated(Mutation::VotesWhileStarting);
        let claims: &[PeerId] = if is_quiet || is_shutting_down {
            &[]
        } else {
            &heartbeat.claims
        };
        let expires_at = now + self.config.lease_span();
        let votes = &mut self.votes;
        let granted: Vec<PeerId> = claims
            .iter()
            .copied()
            .filter(|issuer| votes.vote_for(now, *issuer, sender, expires_at))
            .collect();
        self.peers.get_mut(sender.peer).set_votes_for(granted);
    }
}
