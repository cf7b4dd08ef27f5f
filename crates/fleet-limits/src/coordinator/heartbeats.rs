//! Sends heartbeats to the peers and handles those received from them.

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

/// Outcome of handling a received heartbeat.
struct Reception {
    status: MessageStatus,
    /// Limits for which the leases from the sender have changed.
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
    /// Sends every peer a heartbeat with the leases granted to it.
    pub(super) fn send_heartbeats(&mut self, now: Nanos, effects: &mut Vec<Effect>) {
        self.members.begin_round(now);
        let me = self.config.me;
        let grantable = self.grantable_share(now);
        let common = self.common_heartbeat(now);
        let mut round = GrantRound::new(
            now,
            &self.config,
            &self.members,
            grantable,
            &self.peers,
            &self.demand,
        );
        for to in PeerId::all(self.config.fronts).filter(|to| *to != me) {
            let grant = self.peers.grant_to(to, &mut round);
            let heartbeat = Box::new(self.heartbeat_for(now, to, grant, &common));
            effects.push(Effect::Send { to, heartbeat });
        }
    }

    /// Returns the heartbeat for one peer: the common part with the fields specific to that peer.
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

    /// Returns the reply to a heartbeat that was not accepted: it tells the sender that this front
    /// exists and which membership list it has. A position in another membership list does not
    /// identify a peer here, so that the reply to such a sender carries no peer state.
    fn reply_to(&self, now: Nanos, sender: PeerId, status: MessageStatus) -> Heartbeat {
        let state = if status == MessageStatus::Conflicting {
            self.members.state_for(now, sender)
        } else {
            PeerState::default()
        };
        Heartbeat {
            is_reply: true,
            state,
            ..self.membership_heartbeat()
        }
    }

    /// Returns the part of one round's heartbeats that is the same for all peers.
    fn common_heartbeat(&self, now: Nanos) -> Heartbeat {
        let mut heartbeat = self.membership_heartbeat();
        heartbeat.demands = self.reported_demands(now);
        if !self.members.is_shutting_down() {
            heartbeat.claims = self.claims.issuers().collect();
        }
        // At the first revision every front counts as having adopted the membership list.
        if !self.config.is_first_revision() {
            heartbeat.settled = self.adoption.settled_fronts().collect();
        }
        heartbeat
    }

    /// Returns a heartbeat that identifies this front's membership list and contains nothing else.
    fn membership_heartbeat(&self) -> Heartbeat {
        Heartbeat {
            membership_digest: self.config.membership_digest,
            revision: self.config.revision,
            established: self.adoption.is_established(),
            ..Heartbeat::default()
        }
    }

    /// Returns the demand for at most as many limits as a heartbeat may list. If there are more,
    /// the limits of single volumes are dropped first, starting with the lowest demand.
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

    /// Handles a heartbeat: replies to a sender with a conflicting incarnation or membership list,
    /// and reports the shares that have changed.
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
        // Replies are never answered: two fronts that reject each other's heartbeats would
        // otherwise reply to each other forever.
        if needs_reply && !heartbeat.is_reply {
            let heartbeat = Box::new(self.reply_to(now, sender.peer, status));
            effects.push(Effect::Reply { heartbeat });
        }
        // An increased share can be reported with the next round of heartbeats, a reduction must be
        // reported at once.
        match status {
            MessageStatus::Accepted { first } if first || self.is_suspended(now) => {
                self.report_all(now, now, effects);
            }
            MessageStatus::Accepted { .. } => self.report_some(now, &changed_limits, effects),
            MessageStatus::MembershipListMismatch if self.yields_to_membership_list(now) => {
                self.report_all(now, now, effects);
            }
            _ => {}
        }
    }

    /// Applies the contents of a heartbeat if it is accepted.
    fn receive(&mut self, now: Nanos, sender: Holder, heartbeat: &Heartbeat) -> Reception {
        if heartbeat.membership_digest != self.config.membership_digest
            && !mutated(Mutation::AnyRoster)
        {
            self.adoption
                .compare_membership_list(now, &self.config, heartbeat);
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
        let changed_limits = self.apply_votes_and_grant(now, sender.peer, heartbeat);
        self.adoption
            .add_settled(&self.config, sender.peer, &heartbeat.settled);
        self.answer_claims(now, sender, heartbeat);
        Reception {
            status,
            changed_limits,
        }
    }

    /// Records the sender's demand and releases the grants that it no longer uses.
    fn update_peer(&mut self, now: Nanos, sender: PeerId, heartbeat: &Heartbeat) {
        let own_incarnation = self.incarnation();
        let peer = self.peers.get_mut(sender);
        peer.set_demands(&self.config, &heartbeat.demands);
        let in_use = heartbeat
            .grant_in_use
            .filter(|in_use| in_use.grantor == own_incarnation);
        peer.release_unused_grants(now, in_use.map(|in_use| in_use.number));
    }

    /// Applies the votes and the leases of a heartbeat if it echoes a heartbeat of this
    /// incarnation. Their duration counts from when the echoed heartbeat was sent. Returns the
    /// limits for which the leases have changed.
    fn apply_votes_and_grant(
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
        // The sender cannot echo a heartbeat that this front has not sent yet.
        let requested_at = echo.sent_at.min(now);
        self.count_votes(now, sender, requested_at, &heartbeat.votes);
        let lease_starts_at = if mutated(Mutation::LeaseFromReceipt) {
            now
        } else {
            requested_at
        };
        self.peers
            .accept_grant(&self.config, sender, lease_starts_at, &heartbeat.grant)
    }

    /// Counts a peer's votes for this front's claims.
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

    /// Votes for each of the sender's claims that no other vote of this front rules out, and stores
    /// these votes for the next heartbeat to the sender.
    fn answer_claims(&mut self, now: Nanos, sender: Holder, heartbeat: &Heartbeat) {
        // A front that shuts down does not revoke its leases, so the votes for it are kept until
        // they expire.
        let is_shutting_down =
            heartbeat.state.shutting_down && !mutated(Mutation::VotesReleasedOnShutdown);
        if !is_shutting_down {
            self.votes.release_unclaimed(sender, &heartbeat.claims);
        }
        let is_starting = self.is_starting(now) && !mutated(Mutation::VotesWhileStarting);
        let claims: &[PeerId] = if is_starting || is_shutting_down {
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
