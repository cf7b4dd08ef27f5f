//! The failure detector: which peers are alive, by the messages that one front receives from them.

mod member;

use std::hash::{Hash, Hasher};

use self::member::Member;
use crate::{Echo, Incarnation, MessageStatus, Nanos, PeerId, PeerState, PeerStatus};

/// The fronts of a roster, as one of them sees them.
///
/// # Panics
/// Methods that take a position panic if it is not in the roster, except
/// [`MembershipTable::receive`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MembershipTable {
    me: PeerId,
    incarnation: Incarnation,
    /// A peer without a message for this long counts as dead: every lease granted to it has expired
    /// by then.
    failure_timeout: Nanos,
    shutting_down: bool,
    round_sent_at: Nanos,
    /// Peers that this front receives messages from, as reported in the present round.
    reachable: Vec<PeerId>,
    members: Vec<Member>,
}

impl MembershipTable {
    /// The table of a front that has just started as `incarnation`, at position `me` of a roster of
    /// `front_count` fronts.
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

    /// The table of the same incarnation for another roster: no peer is known, and the order of
    /// messages continues.
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

    /// The incarnation of this front.
    pub fn incarnation(&self) -> Incarnation {
        self.incarnation
    }

    /// Reports from now on that this front shuts down.
    pub fn shut_down(&mut self) {
        self.shutting_down = true;
    }

    /// Whether this front shuts down.
    pub fn is_shutting_down(&self) -> bool {
        self.shutting_down
    }

    /// Begins a round of messages, whose send time is later than that of any round before.
    pub fn begin_round(&mut self, now: Nanos) {
        self.round_sent_at = now.max(self.round_sent_at.saturating_add(1));
        let recent = self.failure_timeout / 2;
        self.reachable = self
            .others()
            .filter(|peer| self.member(*peer).is_live_within(now, recent))
            .collect();
    }

    /// The echo of a peer's latest accepted message.
    pub fn echo(&self, peer: PeerId) -> Option<Echo> {
        self.member(peer).echo()
    }

    /// The state of this front to send to a peer in the present round.
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

    /// Handles the state that an authenticated message reports of its sender.
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

    /// The status of a peer.
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

    /// Whether messages of a peer arrive, and it does not shut down.
    pub fn is_alive(&self, now: Nanos, peer: PeerId) -> bool {
        self.member(peer).is_live_within(now, self.failure_timeout)
    }

    /// The live peers that report receiving messages of a peer.
    pub fn reachable_from(&self, now: Nanos, peer: PeerId) -> impl Iterator<Item = PeerId> + '_ {
        self.others()
            .filter(move |by| self.is_alive(now, *by) && self.member(*by).reaches(peer))
    }

    /// The accepted incarnation of a peer.
    pub fn incarnation_of(&self, peer: PeerId) -> Option<Incarnation> {
        self.member(peer).incarnation()
    }

    /// When the latest message of a peer's accepted incarnation was received.
    pub fn last_message_at(&self, peer: PeerId) -> Option<Nanos> {
        self.member(peer).last_message_at()
    }

    /// Whether a peer has echoed a message of this front that is younger than three quarters of the
    /// failure timeout, so that a message sent to it now is expected to arrive.
    pub fn has_recent_echo_from(&self, now: Nanos, peer: PeerId) -> bool {
        let recent = self.failure_timeout - self.failure_timeout / 4;
        self.member(peer).has_echoed_within(now, recent)
    }

    /// The rejected incarnation of a peer, if it sent a message within the failure timeout.
    pub fn conflicting_incarnation(&self, now: Nanos, peer: PeerId) -> Option<Incarnation> {
        self.member(peer)
            .conflicting_within(now, self.failure_timeout)
    }

    /// Whether a peer reported within the failure timeout that it rejects this front's incarnation.
    pub fn is_rejected(&self, now: Nanos) -> bool {
        self.members
            .iter()
            .any(|member| member.has_rejected_within(now, self.failure_timeout))
    }

    /// The positions of the other fronts.
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
