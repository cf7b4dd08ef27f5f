//! Handling of received heartbeats.

use std::collections::BTreeSet;

use super::LimitCoordinator;
use crate::leases::LeaseSet;
use crate::mutations::{mutated, Mutation};
use crate::votes::Holder;
use crate::{
    Demand, Effect, Heartbeat, LeaseGrant, Limit, MessageStatus, Nanos, PeerId, FULL_SHARE,
};

/// Upper bound of the demand that is believed of a peer, in thousandths of units per second, so
/// that sums cannot overflow.
const MAX_DEMAND: u64 = 1 << 40;

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
        let is_foreign = matches!(
            status,
            MessageStatus::Conflicting | MessageStatus::RosterMismatch
        );
        // Two fronts that reject each other's heartbeats must not answer each other's replies
        // without end.
        if is_foreign && !heartbeat.is_reply {
            let heartbeat = Box::new(self.reply_to(now, sender.peer, status));
            effects.push(Effect::Reply { heartbeat });
        }
        // A larger share can wait for the next round of heartbeats, a smaller one cannot.
        match status {
            MessageStatus::Accepted { first } if first || self.is_standby(now) => {
                self.report_all(now, now, effects);
            }
            MessageStatus::Accepted { .. } => self.report_some(now, &changed_limits, effects),
            MessageStatus::RosterMismatch if self.yields_to_roster(now) => {
                self.report_all(now, now, effects);
            }
            _ => {}
        }
    }

    fn receive(&mut self, now: Nanos, sender: Holder, heartbeat: &Heartbeat) -> Reception {
        if heartbeat.roster != self.config.roster && !mutated(Mutation::AnyRoster) {
            self.yield_to_preceding_roster(now, heartbeat);
            return Reception::rejected(MessageStatus::RosterMismatch);
        }
        let status = self
            .members
            .receive(now, sender.peer, sender.incarnation, &heartbeat.state);
        let MessageStatus::Accepted { first } = status else {
            return Reception::rejected(status);
        };
        if first {
            self.peers[sender.peer.index()].reset_for_new_incarnation();
        }
        self.update_peer(now, sender.peer, heartbeat);
        let changed_limits = self.take_answers(now, sender.peer, heartbeat);
        let known = heartbeat
            .settled
            .iter()
            .filter(|peer| peer.0 < self.config.fronts);
        self.settled.extend(known);
        self.settled.insert(sender.peer);
        self.answer_claims(now, sender, heartbeat);
        Reception {
            status,
            changed_limits,
        }
    }

    /// Two different rosters of one revision are a mistake of configuration. The one in use takes
    /// precedence; where both are, or neither is, the one with the smaller digest.
    fn yield_to_preceding_roster(&mut self, now: Nanos, heartbeat: &Heartbeat) {
        let takes_precedence = if heartbeat.established == self.established {
            heartbeat.roster < self.config.roster
        } else {
            heartbeat.established
        };
        if heartbeat.revision == self.config.revision && takes_precedence {
            self.yields_at = Some(now);
            self.established = false;
        }
    }

    /// Notes the demand of the sender and which of its leases it still uses.
    fn update_peer(&mut self, now: Nanos, sender: PeerId, heartbeat: &Heartbeat) {
        let own_incarnation = self.incarnation();
        let peer = &mut self.peers[sender.index()];
        let listed = heartbeat.demands.iter().take(self.config.max_limits);
        let bounded =
            |demand: &Demand| (demand.limit, demand.milli_units_per_second.min(MAX_DEMAND));
        peer.demands = listed.map(bounded).collect();
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
        let changed_limits = self.take_grant(now, sender, requested_at, &heartbeat.grant);
        self.count_votes(now, sender, requested_at, &heartbeat.votes);
        changed_limits
    }

    fn take_grant(
        &mut self,
        now: Nanos,
        sender: PeerId,
        requested_at: Nanos,
        grant: &LeaseGrant,
    ) -> BTreeSet<Limit> {
        let starts_at = if mutated(Mutation::LeaseFromReceipt) {
            now
        } else {
            requested_at
        };
        let peer = &mut self.peers[sender.index()];
        if grant.number <= peer.held.number {
            return BTreeSet::new();
        }
        peer.replace_held(LeaseSet {
            number: grant.number,
            expires_at: starts_at + grant.duration.clamp(0, self.config.lease_duration),
            shares: grant
                .leases
                .iter()
                .map(|lease| (lease.limit, lease.share.min(FULL_SHARE)))
                .collect(),
        })
    }

    /// Counts the sender's votes for this front's claims, except for claims that are younger than
    /// the votes.
    fn count_votes(&mut self, now: Nanos, sender: PeerId, requested_at: Nanos, votes: &[PeerId]) {
        let starts_at = if mutated(Mutation::VoteFromReceipt) {
            now
        } else {
            requested_at
        };
        let expires_at = starts_at + self.config.lease_duration;
        for issuer in votes {
            let Some(claim) = self.claims.get_mut(issuer) else {
                continue;
            };
            if requested_at >= claim.claimed_at {
                claim.extend_vote(sender, expires_at);
            }
        }
    }

    /// Votes for the sender's claims as far as this front is free to, and keeps the result for its
    /// next heartbeat.
    fn answer_claims(&mut self, now: Nanos, sender: Holder, heartbeat: &Heartbeat) {
        // A front that shuts down does not revoke its leases: its issuers are free once the votes
        // have expired.
        let is_leaving =
            heartbeat.state.shutting_down && !mutated(Mutation::VotesReleasedOnShutdown);
        if !is_leaving {
            self.votes.release_unclaimed(sender, &heartbeat.claims);
        }
        let is_quiet = self.is_starting(now) && !mutated(Mutation::VotesWhileStarting);
        let claims: &[PeerId] = if is_quiet || is_leaving {
            &[]
        } else {
            &heartbeat.claims
        };
        let expires_at = now + self.lease_span();
        let votes = &mut self.votes;
        let granted = claims
            .iter()
            .copied()
            .filter(|issuer| votes.vote_for(now, *issuer, sender, expires_at));
        self.peers[sender.peer.index()].votes_for = granted.collect();
    }
}
