//! The failure detector of one front: it derives from the messages that the front receives which
//! peers are alive.

mod member;

use std::hash::{Hash, Hasher};

use self::member::Member;
use crate::{Echo, Incarnation, MessageStatus, Nanos, PeerId, PeerState, PeerStatus};

/// The fronts of a membership list, as one of them sees them.
///
/// # Panics
/// Methods that take a position panic if it is not in the membership list, except
/// [`MembershipTable::receive`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MembershipTable {
    /// The position of this front.
    me: PeerId,
    /// The incarnation of this front.
    incarnation: Incarnation,
    /// A peer that is silent for this long is not alive any more. Every lease granted to it has
    /// expired by then.
    failure_timeout: Nanos,
    /// Whether this front is shutting down.
    shutting_down: bool,
    /// The send time of all messages of the current round.
    round_sent_at: Nanos,
    /// Peers that this front reports in the current round as those it receives messages from.
    reachable: Vec<PeerId>,
    /// The state of all fronts by position; that of this front never changes.
    members: Vec<Member>,
}

impl MembershipTable {
    /// Creates the table of a front that has just started as `incarnation`, at position `me` of a
    /// membership list of `front_count` fronts.
    pub fn new(
        me: PeerId,
        front_count: u16,
        incarnation: Incarnation,
        failure_timeout: Nanos,
    ) -> MembershipTable {
        MembershipTable {
            me,
            incarnation,
            failure_timeout,
            shutting_down: false,
            round_sent_at: Nanos::MIN,
            reachable: Vec::new(),
            members: vec![Member::default(); usize::from(front_count)],
        }
    }

    /// Returns the table of the same incarnation for another membership list. No peer is known in
    /// it, and send times continue to increase.
    #[must_use]
    pub fn with_membership_list(
        &self,
        me: PeerId,
        front_count: u16,
        failure_timeout: Nanos,
    ) -> MembershipTable {
        MembershipTable {
            shutting_down: self.shutting_down,
            round_sent_at: self.round_sent_at,
            ..MembershipTable::new(me, front_count, self.incarnation, failure_timeout)
        }
    }

    /// Returns the incarnation of this front.
    pub fn incarnation(&self) -> Incarnation {
        self.incarnation
    }

    /// Marks this front as shutting down, which all later messages report.
    pub fn shut_down(&mut self) {
        self.shutting_down = true;
    }

    /// Returns whether this front is shutting down.
    pub fn is_shutting_down(&self) -> bool {
        self.shutting_down
    }

    /// Begins a round of messages. Its send time is later than that of every earlier round, even if
    /// the clock has not advanced.
    pub fn begin_round(&mut self, now: Nanos) {
        self.round_sent_at = now.max(self.round_sent_at.saturating_add(1));
        let recent = self.failure_timeout / 2;
        self.reachable = self
            .others()
            .filter(|peer| self.member(*peer).is_live_within(now, recent))
            .collect();
    }

    /// Returns the echo of a peer's latest accepted message.
    pub fn echo(&self, peer: PeerId) -> Option<Echo> {
        self.member(peer).echo()
    }

    /// Returns the state of this front to send to a peer in the current round.
    pub fn state_for(&self, now: Nanos, to: PeerId) -> PeerState {
        let member = self.member(to);
        PeerState {
            sent_at: self.round_sent_at,
            echo: member.echo_to_send(),
            conflicting: member.conflicting_within(now, self.failure_timeout),
            shutting_down: self.shutting_down,
            reachable: self.reachable.clone(),
        }
    }

    /// Handles the state that the sender of an authenticated message reports about itself.
    pub fn receive(
        &mut self,
        now: Nanos,
        from: PeerId,
        incarnation: Incarnation,
        state: &PeerState,
    ) -> MessageStatus {
        let receiver = self.incarnation;
        let failure_timeout = self.failure_timeout;
        if from == self.me {
            return MessageStatus::UnknownPeer;
        }
        let Some(member) = self.members.get_mut(from.index()) else {
            return MessageStatus::UnknownPeer;
        };
        let first = member.incarnation() != Some(incarnation);
        if first {
            let accepted =
                member.accept_incarnation(now, incarnation, state, receiver, failure_timeout);
            if let Err(status) = accepted {
                return status;
            }
        }
        if !member.is_later(state.sent_at) {
            return MessageStatus::Stale;
        }
        member.record(now, state, receiver);
        MessageStatus::Accepted { first }
    }

    /// Returns the status of a peer at `now`.
    pub fn status(&self, now: Nanos, peer: PeerId) -> PeerStatus {
        let member = self.member(peer);
        if member.has_left() {
            PeerStatus::Left
        } else if self.is_alive(now, peer) {
            PeerStatus::Alive
        } else if self.reachable_from(now, peer).next().is_some() {
            PeerStatus::Suspect
        } else if member.incarnation().is_some() {
            PeerStatus::Dead
        } else {
            PeerStatus::Unknown
        }
    }

    /// Returns whether a message of a peer was received within the failure timeout and the peer is
    /// not shutting down.
    pub fn is_alive(&self, now: Nanos, peer: PeerId) -> bool {
        self.member(peer).is_live_within(now, self.failure_timeout)
    }

    /// Returns the live peers that report receiving messages from a peer.
    pub fn reachable_from(&self, now: Nanos, peer: PeerId) -> impl Iterator<Item = PeerId> + '_ {
        self.others()
            .filter(move |by| self.is_alive(now, *by) && self.member(*by).reaches(peer))
    }

    /// Returns the accepted incarnation of a peer, `None` if there is none yet.
    pub fn incarnation_of(&self, peer: PeerId) -> Option<Incarnation> {
        self.member(peer).incarnation()
    }

    /// Returns when the latest message of a peer's accepted incarnation was received.
    pub fn last_message_at(&self, peer: PeerId) -> Option<Nanos> {
        self.member(peer).last_message_at()
    }

    /// Returns whether a peer has echoed a message that this front sent less than three quarters of
    /// the failure timeout ago. A message sent to it now is then expected to arrive.
    pub fn has_recent_echo_from(&self, now: Nanos, peer: PeerId) -> bool {
        let recent = self.failure_timeout - self.failure_timeout / 4;
        self.member(peer).has_echoed_within(now, recent)
    }

    /// Returns the rejected incarnation of a peer if a message of it was received within the
    /// failure timeout.
    pub fn conflicting_incarnation(&self, now: Nanos, peer: PeerId) -> Option<Incarnation> {
        self.member(peer)
            .conflicting_within(now, self.failure_timeout)
    }

    /// Returns whether a peer reported within the failure timeout that it rejects this front's
    /// incarnation.
    pub fn is_rejected(&self, now: Nanos) -> bool {
        self.members
            .iter()
            .any(|member| member.has_rejected_within(now, self.failure_timeout))
    }

    /// Returns the positions of the other fronts in ascending order.
    pub fn others(&self) -> impl Iterator<Item = PeerId> + '_ {
        PeerId::all(self.members.len() as u16).filter(|peer| *peer != self.me)
    }

    /// Hashes all state that later results depend on, with times relative to `now`.
    pub fn fingerprint<H: Hasher>(&self, now: Nanos, hasher: &mut H) {
        self.me.hash(hasher);
        self.incarnation.hash(hasher);
        self.shutting_down.hash(hasher);
        now.saturating_sub(self.round_sent_at).hash(hasher);
        self.reachable.hash(hasher);
        for member in &self.members {
            member.fingerprint(now, self.failure_timeout, hasher);
        }
    }

    fn member(&self, peer: PeerId) -> &Member {
        &self.members[peer.index()]
    }
}
