//! What each front knows of the others: who is there, by what evidence, and who only says to be.

use std::hash::{Hash, Hasher};

use serde::{Deserialize, Serialize};

use crate::{Boot, Nanos, Place};

/// What every message says of its sender.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Hello {
    /// When it was sent, by the sender's clock: later messages of a boot have later moments.
    pub sent: Nanos,
    /// The receiver's boot, and when the latest message that came from it had been sent.
    pub echo: Option<(Boot, Nanos)>,
    /// This boot of the receiver's name is a stranger to the sender, which hears another.
    pub stranger: Option<Boot>,
    /// The sender ends now.
    pub leaving: bool,
    /// Whom the sender has heard lately.
    pub hears: Vec<Place>,
}

/// What a message was worth.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum News {
    /// It counts. Where `first`, the boot is new, and what its predecessor said no longer counts.
    Counts {
        /// Whether this boot was not known before.
        first: bool,
    },
    /// A later one has come, or the same one before.
    Old,
    /// Its sender has not shown yet that it hears this front: it may be a recording.
    Unproven,
    /// Another boot of that name is there.
    Stranger,
    /// Its roster is another, so that its place says nothing here.
    OtherRoster,
    /// No place of the roster, or this front's own.
    NoPeer,
}

/// What a front believes of another.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Belief {
    /// Nothing has come from it.
    Unheard,
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
struct Contact {
    boot: Option<Boot>,
    heard_at: Nanos,
    /// When the latest of its messages was sent, by its clock.
    sent: Nanos,
    /// When the latest of this front's messages that it has shown to have was sent.
    echoed: Nanos,
    left: bool,
    /// The last message of a boot that does not count yet: it must hear this front first.
    unproven: Option<(Boot, Nanos)>,
    /// Another boot of that name, and when it spoke last.
    stranger: Option<(Boot, Nanos)>,
    /// When it last said that this boot is a stranger.
    shuns_at: Option<Nanos>,
    hears: Vec<Place>,
}

/// The other fronts of a roster, as one front sees them.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Contacts {
    me: Place,
    boot: Boot,
    /// Silent for so long, a front counts as gone; nothing it was given runs any more.
    span: Nanos,
    leaving: bool,
    sent: Nanos,
    /// Whom it hears, as this round of messages says.
    hearing: Vec<Place>,
    contacts: Vec<Contact>,
}

impl Contacts {
    /// A front that has just started at a place among so many, and has heard nobody.
    pub fn new(me: Place, fronts: Place, boot: Boot, span: Nanos) -> Contacts {
        let contacts = vec![Contact::default(); usize::from(fronts)];
        Contacts { me, boot, span, leaving: false, sent: Nanos::MIN, hearing: Vec::new(), contacts }
    }

    /// The same run of a front under another roster: nobody is known yet, and its messages go on in their order.
    #[must_use]
    pub fn renewed(&self, me: Place, fronts: Place, span: Nanos) -> Contacts {
        let fresh = Contacts::new(me, fronts, self.boot, span);
        Contacts { leaving: self.leaving, sent: self.sent, ..fresh }
    }

    /// This run.
    pub fn boot(&self) -> Boot {
        self.boot
    }

    /// It ends, and says so from now on.
    pub fn leave(&mut self) {
        self.leaving = true;
    }

    /// Whether it ends.
    pub fn is_leaving(&self) -> bool {
        self.leaving
    }

    /// Begins a round of messages at a moment later than that of any before.
    pub fn round(&mut self, now: Nanos) {
        self.sent = now.max(self.sent.saturating_add(1));
        self.hearing = self.others().filter(|p| self.hears(now, *p)).collect();
    }

    /// The latest message that came from a front: its boot, and when it was sent, by that front's clock. Shown to it,
    /// it tells that what comes with it was said later.
    pub fn echo(&self, place: Place) -> Option<(Boot, Nanos)> {
        let contact = &self.contacts[usize::from(place)];
        contact.boot.map(|boot| (boot, contact.sent))
    }

    /// What the messages of this round say of this front to another.
    pub fn hello(&self, now: Nanos, to: Place) -> Hello {
        let contact = &self.contacts[usize::from(to)];
        let strange = contact.stranger.filter(|(_, at)| now < at + self.span).map(|(boot, _)| boot);
        Hello {
            sent: self.sent,
            // Whoever is not proven yet is shown that it is heard, or it could never be.
            echo: self.echo(to).or(contact.unproven),
            stranger: strange,
            leaving: self.leaving,
            hears: self.hearing.clone(),
        }
    }

    /// Takes what a front says of itself, in a message that only a front with the key can have made.
    pub fn heard(&mut self, now: Nanos, from: Place, boot: Boot, hello: &Hello) -> News {
        let (me, mine, span) = (self.me, self.boot, self.span);
        let Some(contact) = self.contacts.get_mut(usize::from(from)).filter(|_| from != me) else {
            return News::NoPeer;
        };
        let echoed = hello.echo.filter(|(to, _)| *to == mine).map(|(_, sent)| sent);
        let first = contact.boot != Some(boot);
        if first {
            // Who has said that it ends uses nothing any more: its successor need not wait.
            if contact.boot.is_some() && !contact.left && now < contact.heard_at + span {
                contact.stranger = Some((boot, now));
                return News::Stranger;
            }
            // Whoever calls this boot a stranger has heard it, too.
            if echoed.is_none() && hello.stranger != Some(mine) {
                contact.unproven = Some((boot, hello.sent));
                return News::Unproven;
            }
            *contact =
                Contact { boot: Some(boot), sent: Nanos::MIN, echoed: Nanos::MIN, ..Contact::default() };
        }
        if hello.sent <= contact.sent {
            return News::Old;
        }
        contact.heard_at = now;
        contact.sent = hello.sent;
        contact.left = hello.leaving;
        contact.hears.clone_from(&hello.hears);
        if hello.stranger == Some(mine) {
            contact.shuns_at = Some(now);
        } else if let Some(echoed) = echoed {
            contact.shuns_at = None;
            contact.echoed = contact.echoed.max(echoed);
        }
        News::Counts { first }
    }

    /// What is believed of a front.
    pub fn belief(&self, now: Nanos, place: Place) -> Belief {
        let contact = &self.contacts[usize::from(place)];
        if contact.boot.is_some() && contact.left {
            return Belief::Left;
        }
        if self.is_alive(now, place) {
            return Belief::Alive;
        }
        match (self.heard_by(now, place).next(), contact.boot) {
            (Some(_), _) => Belief::Suspect,
            (None, None) => Belief::Unheard,
            (None, Some(_)) => Belief::Dead,
        }
    }

    /// Whether a front is heard, and has not said that it ends.
    pub fn is_alive(&self, now: Nanos, place: Place) -> bool {
        let contact = &self.contacts[usize::from(place)];
        contact.boot.is_some() && !contact.left && now < contact.heard_at + self.span
    }

    /// Who says that it hears a front.
    pub fn heard_by(&self, now: Nanos, place: Place) -> impl Iterator<Item = Place> + '_ {
        let says = move |by: &Place| self.contacts[usize::from(*by)].hears.contains(&place);
        self.others().filter(move |by| self.is_alive(now, *by) && says(by))
    }

    /// The boot of a front that counts, where one does.
    pub fn boot_of(&self, place: Place) -> Option<Boot> {
        self.contacts[usize::from(place)].boot
    }

    /// When a front was last heard.
    pub fn heard_at(&self, place: Place) -> Option<Nanos> {
        let contact = &self.contacts[usize::from(place)];
        contact.boot.map(|_| contact.heard_at)
    }

    /// Whether a front has shown that it has a message of this one's that is younger than three quarters of the span:
    /// what is sent to it arrives, and may be of use there.
    pub fn hears_me(&self, now: Nanos, place: Place) -> bool {
        let contact = &self.contacts[usize::from(place)];
        contact.boot.is_some() && now < contact.echoed.saturating_add(self.span - self.span / 4)
    }

    /// Another boot of a front's name that has spoken within the span.
    pub fn stranger(&self, now: Nanos, place: Place) -> Option<Boot> {
        let stranger = self.contacts[usize::from(place)].stranger;
        stranger.filter(|(_, at)| now < at + self.span).map(|(boot, _)| boot)
    }

    /// Whether another front says that this one is a stranger under another's name.
    pub fn is_shunned(&self, now: Nanos) -> bool {
        self.contacts.iter().filter_map(|c| c.shuns_at).any(|at| now < at + self.span)
    }

    /// The other places.
    pub fn others(&self) -> impl Iterator<Item = Place> + '_ {
        (0..self.contacts.len() as Place).filter(|p| *p != self.me)
    }

    fn hears(&self, now: Nanos, place: Place) -> bool {
        let contact = &self.contacts[usize::from(place)];
        contact.boot.is_some() && !contact.left && now < contact.heard_at + self.span / 2
    }

    /// All that later beliefs hang on, with moments by how far they are from `now`.
    pub fn fingerprint<H: Hasher>(&self, now: Nanos, h: &mut H) {
        let left = |t: Nanos| (t + self.span - now).max(0);
        (self.me, self.boot, self.leaving, now.saturating_sub(self.sent), &self.hearing).hash(h);
        for c in &self.contacts {
            (c.boot, left(c.heard_at), c.left, &c.hears, c.shuns_at.map(left)).hash(h);
            (c.unproven.map(|(b, t)| (b, now - t)), c.stranger.map(|(b, at)| (b, left(at)))).hash(h);
            (now.saturating_sub(c.sent), now.saturating_sub(c.echoed)).hash(h);
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const SPAN: Nanos = 100;

    /// Two fronts that hear each other from moment 10 on, and a third that nobody has heard.
    fn pair() -> (Contacts, Contacts) {
        let (mut a, mut b) = (Contacts::new(0, 3, 7, SPAN), Contacts::new(1, 3, 8, SPAN));
        a.round(0);
        b.round(0);
        assert_eq!(b.heard(5, 0, 7, &a.hello(0, 1)), News::Unproven);
        assert_eq!(a.heard(5, 1, 8, &b.hello(5, 0)), News::Counts { first: true });
        a.round(10);
        assert_eq!(b.heard(10, 0, 7, &a.hello(10, 1)), News::Counts { first: true });
        (a, b)
    }

    #[test]
    fn a_boot_counts_once_it_has_shown_that_it_hears() {
        let (a, b) = pair();
        assert_eq!([a.belief(10, 1), b.belief(10, 0)], [Belief::Alive; 2]);
        assert_eq!(a.belief(10, 2), Belief::Unheard);
        assert!(a.hears_me(10, 1));
    }

    #[test]
    fn what_comes_late_or_twice_counts_for_nothing() {
        let (mut a, mut b) = pair();
        a.round(20);
        let early = a.hello(20, 1);
        a.round(30);
        let late = a.hello(30, 1);
        assert_eq!(b.heard(31, 0, 7, &late), News::Counts { first: false });
        assert_eq!(b.heard(32, 0, 7, &early), News::Old);
        assert_eq!(b.heard(33, 0, 7, &late), News::Old);
        assert_eq!(b.heard(33, 1, 7, &late), News::NoPeer);
        assert_eq!(b.heard(33, 9, 7, &late), News::NoPeer);
    }

    #[test]
    fn a_second_boot_is_a_stranger_until_the_first_is_silent_for_a_span() {
        let (mut a, mut b) = pair();
        let mut second = Contacts::new(0, 3, 9, SPAN);
        second.round(40);
        assert_eq!(b.heard(40, 0, 9, &second.hello(40, 1)), News::Stranger);
        b.round(41);
        let told = b.hello(41, 0);
        assert_eq!(told.stranger, Some(9));
        // The second learns it, and the first learns nothing against itself.
        assert_eq!(second.heard(41, 1, 8, &told), News::Counts { first: true });
        a.heard(41, 1, 8, &told);
        assert_eq!([a.is_shunned(41), second.is_shunned(41)], [false, true]);
        assert_eq!(b.belief(109, 0), Belief::Alive);
        assert_eq!(b.belief(110, 0), Belief::Dead);
        second.round(111);
        assert_eq!(b.heard(111, 0, 9, &second.hello(111, 1)), News::Counts { first: true });
        b.round(112);
        assert_eq!(second.heard(112, 1, 8, &b.hello(112, 0)), News::Counts { first: false });
        assert!(!second.is_shunned(113));
        // What the first said long ago and comes now is a stranger's.
        assert_eq!(b.heard(114, 0, 7, &a.hello(10, 1)), News::Stranger);
    }

    #[test]
    fn one_bad_link_is_no_dead_front_and_leaving_is_said() {
        let (mut a, _) = pair();
        let hello = |sent, hears: &[Place], leaving| Hello {
            sent,
            echo: Some((7, 10)),
            stranger: None,
            leaving,
            hears: hears.to_vec(),
        };
        assert_eq!(a.heard(50, 2, 30, &hello(50, &[1], false)), News::Counts { first: true });
        assert_eq!(a.belief(120, 1), Belief::Suspect, "the third hears it");
        assert_eq!(a.belief(150, 1), Belief::Dead, "the third is silent too");
        a.heard(160, 2, 30, &hello(160, &[], true));
        assert_eq!(a.belief(160, 2), Belief::Left);
        assert_eq!(a.heard(161, 2, 31, &hello(1, &[], false)), News::Counts { first: true }, "its successor");
        assert_eq!(a.heard(162, 2, 30, &hello(170, &[], false)), News::Stranger, "it has ended");
    }
}
