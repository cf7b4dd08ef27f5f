//! What each front knows of the others: who is there, by what evidence, and who only says to be.

use std::hash::{Hash, Hasher};

use serde::{Deserialize, Serialize};

use crate::{Incarnation, Nanos, PeerId};

/// What every message says of its sender.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct PeerState {
    /// When it was sent, by the sender's clock: later messages of a boot have later moments.
    pub sent_at: Nanos,
    /// The receiver's boot, and when the latest message that came from it had been sent.
    pub echo: Option<(Incarnation, Nanos)>,
    /// This boot of the receiver's name is a stranger to the sender, which hears another.
    pub conflicting: Option<Incarnation>,
    /// The sender ends now.
    pub leaving: bool,
    /// Whom the sender has heard lately.
    pub hears: Vec<PeerId>,
}

/// What a message was worth.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum MessageStatus {
    /// It counts. Where `first`, the boot is new, and what its predecessor said no longer counts.
    Accepted {
        /// Whether this boot was not known before.
        first: bool,
    },
    /// A later one has come, or the same one before.
    Stale,
    /// Its sender has not shown yet that it hears this front: it may be a recording.
    Unconfirmed,
    /// Another boot of that name is there.
    Conflicting,
    /// Its roster is another, so that its place says nothing here.
    RosterMismatch,
    /// No place of the roster, or this front's own.
    UnknownPeer,
}

/// What a front believes of another.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum PeerStatus {
    /// Nothing has come from it.
    Unknown,
    /// Its messages come.
    Alive,
    /// Its messages do not come, and another front hears it: a bad link.
    Suspect,
    /// Nobody has heard it for a life.
    Dead,
    /// It said that it ends.
    Left,
}

#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
struct Member {
    incarnation: Option<Incarnation>,
    last_message_at: Nanos,
    /// When the latest of its messages was sent, by its clock.
    last_sent_at: Nanos,
    /// When the latest of this front's messages that it has shown to have was sent.
    last_echo_at: Nanos,
    left: bool,
    /// The last message of a boot that does not count yet: it must hear this front first.
    unconfirmed: Option<(Incarnation, Nanos)>,
    /// Another boot of that name, and when it spoke last.
    conflicting: Option<(Incarnation, Nanos)>,
    /// When it last said that this boot is a stranger.
    rejected_us_at: Option<Nanos>,
    hears: Vec<PeerId>,
}

/// The other fronts of a roster, as one front sees them.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MembershipTable {
    me: PeerId,
    incarnation: Incarnation,
    /// Silent for so long, a front counts as gone; nothing it was given runs any more.
    failure_timeout: Nanos,
    shutting_down: bool,
    round_sent_at: Nanos,
    /// Whom it hears, as this round of messages says.
    reachable: Vec<PeerId>,
    members: Vec<Member>,
}

impl MembershipTable {
    /// A front that has just started at a place among so many, and has heard nobody.
    pub fn new(me: PeerId, fronts: PeerId, boot: Incarnation, span: Nanos) -> MembershipTable {
        let contacts = vec![Member::default(); usize::from(fronts)];
        MembershipTable {
            me,
            incarnation: boot,
            failure_timeout: span,
            shutting_down: false,
            round_sent_at: Nanos::MIN,
            reachable: Vec::new(),
            members: contacts,
        }
    }

    /// The same run of a front under another roster: nobody is known yet, and its messages go on in their order.
    #[must_use]
    pub fn with_roster(&self, me: PeerId, fronts: PeerId, span: Nanos) -> MembershipTable {
        let fresh = MembershipTable::new(me, fronts, self.incarnation, span);
        MembershipTable { shutting_down: self.shutting_down, round_sent_at: self.round_sent_at, ..fresh }
    }

    /// This run.
    pub fn incarnation(&self) -> Incarnation {
        self.incarnation
    }

    /// It ends, and says so from now on.
    pub fn shut_down(&mut self) {
        self.shutting_down = true;
    }

    /// Whether it ends.
    pub fn is_shutting_down(&self) -> bool {
        self.shutting_down
    }

    /// Begins a round of messages at a moment later than that of any before.
    pub fn begin_round(&mut self, now: Nanos) {
        self.round_sent_at = now.max(self.round_sent_at.saturating_add(1));
        self.reachable = self.others().filter(|p| self.hears_recently(now, *p)).collect();
    }

    /// The latest message that came from a front: its boot, and when it was sent, by that front's clock. Shown to it,
    /// it tells that what comes with it was said later.
    pub fn echo(&self, place: PeerId) -> Option<(Incarnation, Nanos)> {
        let contact = &self.members[usize::from(place)];
        contact.incarnation.map(|boot| (boot, contact.last_sent_at))
    }

    /// What the messages of this round say of this front to another.
    pub fn state_for(&self, now: Nanos, to: PeerId) -> PeerState {
        let contact = &self.members[usize::from(to)];
        let strange =
            contact.conflicting.filter(|(_, at)| now < at + self.failure_timeout).map(|(boot, _)| boot);
        PeerState {
            sent_at: self.round_sent_at,
            // Whoever is not proven yet is shown that it is heard, or it could never be.
            echo: self.echo(to).or(contact.unconfirmed),
            conflicting: strange,
            leaving: self.shutting_down,
            hears: self.reachable.clone(),
        }
    }

    /// Takes what a front says of itself, in a message that only a front with the key can have made.
    pub fn receive(
        &mut self,
        now: Nanos,
        from: PeerId,
        boot: Incarnation,
        hello: &PeerState,
    ) -> MessageStatus {
        let (me, mine, span) = (self.me, self.incarnation, self.failure_timeout);
        let Some(contact) = self.members.get_mut(usize::from(from)).filter(|_| from != me) else {
            return MessageStatus::UnknownPeer;
        };
        let echoed = hello.echo.filter(|(to, _)| *to == mine).map(|(_, sent)| sent);
        let first = contact.incarnation != Some(boot);
        if first {
            // Who has said that it ends uses nothing any more: its successor need not wait.
            if contact.incarnation.is_some() && !contact.left && now < contact.last_message_at + span {
                contact.conflicting = Some((boot, now));
                return MessageStatus::Conflicting;
            }
            // Whoever calls this boot a stranger has heard it, too.
            if echoed.is_none() && hello.conflicting != Some(mine) {
                contact.unconfirmed = Some((boot, hello.sent_at));
                return MessageStatus::Unconfirmed;
            }
            *contact = Member {
                incarnation: Some(boot),
                last_sent_at: Nanos::MIN,
                last_echo_at: Nanos::MIN,
                ..Member::default()
            };
        }
        if hello.sent_at <= contact.last_sent_at {
            return MessageStatus::Stale;
        }
        contact.last_message_at = now;
        contact.last_sent_at = hello.sent_at;
        contact.left = hello.leaving;
        contact.hears.clone_from(&hello.hears);
        if hello.conflicting == Some(mine) {
            contact.rejected_us_at = Some(now);
        } else if let Some(echoed) = echoed {
            contact.rejected_us_at = None;
            contact.last_echo_at = contact.last_echo_at.max(echoed);
        }
        MessageStatus::Accepted { first }
    }

    /// What is believed of a front.
    pub fn status(&self, now: Nanos, place: PeerId) -> PeerStatus {
        let contact = &self.members[usize::from(place)];
        if contact.incarnation.is_some() && contact.left {
            return PeerStatus::Left;
        }
        if self.is_alive(now, place) {
            return PeerStatus::Alive;
        }
        match (self.reachable_from(now, place).next(), contact.incarnation) {
            (Some(_), _) => PeerStatus::Suspect,
            (None, None) => PeerStatus::Unknown,
            (None, Some(_)) => PeerStatus::Dead,
        }
    }

    /// Whether a front is heard, and has not said that it ends.
    pub fn is_alive(&self, now: Nanos, place: PeerId) -> bool {
        let contact = &self.members[usize::from(place)];
        contact.incarnation.is_some() && !contact.left && now < contact.last_message_at + self.failure_timeout
    }

    /// Who says that it hears a front.
    pub fn reachable_from(&self, now: Nanos, place: PeerId) -> impl Iterator<Item = PeerId> + '_ {
        let says = move |by: &PeerId| self.members[usize::from(*by)].hears.contains(&place);
        self.others().filter(move |by| self.is_alive(now, *by) && says(by))
    }

    /// The boot of a front that counts, where one does.
    pub fn incarnation_of(&self, place: PeerId) -> Option<Incarnation> {
        self.members[usize::from(place)].incarnation
    }

    /// When a front was last heard.
    pub fn last_message_at(&self, place: PeerId) -> Option<Nanos> {
        let contact = &self.members[usize::from(place)];
        contact.incarnation.map(|_| contact.last_message_at)
    }

    /// Whether a front has shown that it has a message of this one's that is younger than three quarters of the span:
    /// what is sent to it arrives, and may be of use there.
    pub fn hears_me(&self, now: Nanos, place: PeerId) -> bool {
        let contact = &self.members[usize::from(place)];
        contact.incarnation.is_some()
            && now < contact.last_echo_at.saturating_add(self.failure_timeout - self.failure_timeout / 4)
    }

    /// Another boot of a front's name that has spoken within the span.
    pub fn conflicting_incarnation(&self, now: Nanos, place: PeerId) -> Option<Incarnation> {
        let stranger = self.members[usize::from(place)].conflicting;
        stranger.filter(|(_, at)| now < at + self.failure_timeout).map(|(boot, _)| boot)
    }

    /// Whether another front says that this one is a stranger under another's name.
    pub fn is_rejected(&self, now: Nanos) -> bool {
        self.members.iter().filter_map(|c| c.rejected_us_at).any(|at| now < at + self.failure_timeout)
    }

    /// The other places.
    pub fn others(&self) -> impl Iterator<Item = PeerId> + '_ {
        (0..self.members.len() as PeerId).filter(|p| *p != self.me)
    }

    fn hears_recently(&self, now: Nanos, place: PeerId) -> bool {
        let contact = &self.members[usize::from(place)];
        contact.incarnation.is_some()
            && !contact.left
            && now < contact.last_message_at + self.failure_timeout / 2
    }

    /// All that later beliefs hang on, with moments by how far they are from `now`.
    pub fn fingerprint<H: Hasher>(&self, now: Nanos, h: &mut H) {
        let left = |t: Nanos| (t + self.failure_timeout - now).max(0);
        (
            self.me,
            self.incarnation,
            self.shutting_down,
            now.saturating_sub(self.round_sent_at),
            &self.reachable,
        )
            .hash(h);
        for c in &self.members {
            (c.incarnation, left(c.last_message_at), c.left, &c.hears, c.rejected_us_at.map(left)).hash(h);
            (c.unconfirmed.map(|(b, t)| (b, now - t)), c.conflicting.map(|(b, at)| (b, left(at)))).hash(h);
            (now.saturating_sub(c.last_sent_at), now.saturating_sub(c.last_echo_at)).hash(h);
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const SPAN: Nanos = 100;

    /// Two fronts that hear each other from moment 10 on, and a third that nobody has heard.
    fn pair() -> (MembershipTable, MembershipTable) {
        let (mut a, mut b) = (MembershipTable::new(0, 3, 7, SPAN), MembershipTable::new(1, 3, 8, SPAN));
        a.begin_round(0);
        b.begin_round(0);
        assert_eq!(b.receive(5, 0, 7, &a.state_for(0, 1)), MessageStatus::Unconfirmed);
        assert_eq!(a.receive(5, 1, 8, &b.state_for(5, 0)), MessageStatus::Accepted { first: true });
        a.begin_round(10);
        assert_eq!(b.receive(10, 0, 7, &a.state_for(10, 1)), MessageStatus::Accepted { first: true });
        (a, b)
    }

    #[test]
    fn a_boot_counts_once_it_has_shown_that_it_hears() {
        let (a, b) = pair();
        assert_eq!([a.status(10, 1), b.status(10, 0)], [PeerStatus::Alive; 2]);
        assert_eq!(a.status(10, 2), PeerStatus::Unknown);
        assert!(a.hears_me(10, 1));
    }

    #[test]
    fn what_comes_late_or_twice_counts_for_nothing() {
        let (mut a, mut b) = pair();
        a.begin_round(20);
        let early = a.state_for(20, 1);
        a.begin_round(30);
        let late = a.state_for(30, 1);
        assert_eq!(b.receive(31, 0, 7, &late), MessageStatus::Accepted { first: false });
        assert_eq!(b.receive(32, 0, 7, &early), MessageStatus::Stale);
        assert_eq!(b.receive(33, 0, 7, &late), MessageStatus::Stale);
        assert_eq!(b.receive(33, 1, 7, &late), MessageStatus::UnknownPeer);
        assert_eq!(b.receive(33, 9, 7, &late), MessageStatus::UnknownPeer);
    }

    #[test]
    fn a_second_boot_is_a_stranger_until_the_first_is_silent_for_a_span() {
        let (mut a, mut b) = pair();
        let mut second = MembershipTable::new(0, 3, 9, SPAN);
        second.begin_round(40);
        assert_eq!(b.receive(40, 0, 9, &second.state_for(40, 1)), MessageStatus::Conflicting);
        b.begin_round(41);
        let told = b.state_for(41, 0);
        assert_eq!(told.conflicting, Some(9));
        // The second learns it, and the first learns nothing against itself.
        assert_eq!(second.receive(41, 1, 8, &told), MessageStatus::Accepted { first: true });
        a.receive(41, 1, 8, &told);
        assert_eq!([a.is_rejected(41), second.is_rejected(41)], [false, true]);
        assert_eq!(b.status(109, 0), PeerStatus::Alive);
        assert_eq!(b.status(110, 0), PeerStatus::Dead);
        second.begin_round(111);
        assert_eq!(b.receive(111, 0, 9, &second.state_for(111, 1)), MessageStatus::Accepted { first: true });
        b.begin_round(112);
        assert_eq!(second.receive(112, 1, 8, &b.state_for(112, 0)), MessageStatus::Accepted { first: false });
        assert!(!second.is_rejected(113));
        // What the first said long ago and comes now is a stranger's.
        assert_eq!(b.receive(114, 0, 7, &a.state_for(10, 1)), MessageStatus::Conflicting);
    }

    #[test]
    fn one_bad_link_is_no_dead_front_and_leaving_is_said() {
        let (mut a, _) = pair();
        let hello = |sent, hears: &[PeerId], leaving| PeerState {
            sent_at: sent,
            echo: Some((7, 10)),
            conflicting: None,
            leaving,
            hears: hears.to_vec(),
        };
        assert_eq!(a.receive(50, 2, 30, &hello(50, &[1], false)), MessageStatus::Accepted { first: true });
        assert_eq!(a.status(120, 1), PeerStatus::Suspect, "the third hears it");
        assert_eq!(a.status(150, 1), PeerStatus::Dead, "the third is silent too");
        a.receive(160, 2, 30, &hello(160, &[], true));
        assert_eq!(a.status(160, 2), PeerStatus::Left);
        assert_eq!(
            a.receive(161, 2, 31, &hello(1, &[], false)),
            MessageStatus::Accepted { first: true },
            "its successor"
        );
        assert_eq!(
            a.receive(162, 2, 30, &hello(170, &[], false)),
            MessageStatus::Conflicting,
            "it has ended"
        );
    }
}
