//! The machine of one front: it agrees to who holds which bank, holds banks, lends, borrows, and says which part of
//! each limit its front may use.

use std::collections::{BTreeMap, BTreeSet};
use std::hash::{Hash, Hasher};

use tulipbridge_membership::{MembershipTable, PeerState};

use crate::meter::Meter;
use crate::mutations::{mutated, Mutation};
use crate::*;

/// More thousandths of units a second than any limit is asked for: what a peer says is not added up past it.
const MOST_MILLI: u64 = 1 << 40;

/// What happens to a front.
#[derive(Clone, Debug)]
pub enum Event {
    /// A beat is due.
    Beat,
    /// A beat came, whose sender and integrity are proven.
    Heard {
        /// From which place.
        from: PeerId,
        /// The sender's boot.
        boot: Incarnation,
        /// What it says.
        beat: Box<Beat>,
    },
    /// Units of a limit are asked for.
    Asked {
        /// The limit.
        limit: Limit,
        /// How many.
        units: f64,
    },
    /// Time has passed: what has ended is used no more.
    Look,
    /// A new roster, or new terms.
    Terms(Terms),
    /// The front ends: it renews nothing and says so.
    Leave,
    /// The front cannot hear yet, for another process has its address: it counts as one that starts now.
    Absent,
}

/// What is to be done.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Effect {
    /// A beat goes to a front.
    Send {
        /// Where to.
        to: PeerId,
        /// What it says.
        beat: Box<Beat>,
    },
    /// A beat goes back to where the event's message came from: its sender has another's name, or another roster.
    Reply {
        /// What it says.
        beat: Box<Beat>,
    },
    /// What came was worth this.
    Worth(MessageStatus),
    /// From a moment on, which may be past, the front may use so much of a limit.
    Right {
        /// The limit.
        limit: Limit,
        /// The part.
        part: Part,
        /// From when.
        at: Nanos,
    },
    /// Nobody has asked for a limit in a while: nothing of it is this front's to use, and nothing more is said of it
    /// until it is asked for again.
    Forget(Limit),
}

/// What a front believes of another, with the evidence.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Standing {
    /// The belief.
    pub belief: PeerStatus,
    /// Its boot, where it has been heard.
    pub boot: Option<Incarnation>,
    /// How long ago it was last heard.
    pub silent: Option<Nanos>,
    /// Who says that it hears it.
    pub heard_by: Vec<PeerId>,
    /// Another process with its name has spoken within a life.
    pub stranger: Option<Incarnation>,
    /// Most that is lent to it of any limit.
    pub lent: Part,
    /// Most that is borrowed from it of any limit.
    pub borrowed: Part,
}

/// Loans to another front that it may still use.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Lent {
    number: u64,
    until: Nanos,
    parts: BTreeMap<Limit, Part>,
}

/// Loans from another front.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
struct Borrowed {
    number: u64,
    until: Nanos,
    parts: BTreeMap<Limit, Part>,
}

/// What passes between this front and another.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
struct Peer {
    /// Of the banks that it wanted last, those agreed to.
    agreed: Vec<PeerId>,
    asks: BTreeMap<Limit, u64>,
    lent: Vec<Lent>,
    borrowed: Borrowed,
}

impl Peer {
    /// The most that it may use now of a limit, of this front's.
    fn lent_of(&self, now: Nanos, limit: Limit) -> Part {
        let running = self.lent.iter().filter(|l| now < l.until);
        let running = running.rev().take(if mutated(Mutation::LoanFreedAtOnce) { 1 } else { usize::MAX });
        running.filter_map(|l| l.parts.get(&limit)).max().copied().unwrap_or(0)
    }
}

/// What a round of beats says, and what it lends from.
struct Round {
    /// What every front is told.
    all: Beat,
    own: Part,
    /// Loans end by then.
    until: Nanos,
    alive: Vec<bool>,
    /// By limit: how much is asked for in all, in thousandths, and what is lent.
    limits: BTreeMap<Limit, (u64, Part)>,
}

/// Who an agreement was given to, and until when.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Agreed {
    to: (PeerId, Incarnation),
    until: Nanos,
}

/// A bank that this front wants.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Wanted {
    since: Nanos,
    /// By place, until when it agrees, by this front's clock.
    votes: BTreeMap<PeerId, Nanos>,
    /// It goes back to its home: nothing of it is used or lent any more, and from this moment on nothing runs.
    back: Option<Nanos>,
}

/// One front's part in limits that hold for the whole fleet.
#[derive(Clone, Debug)]
pub struct Quota {
    terms: Terms,
    contacts: MembershipTable,
    /// Until then this front agrees to nothing and uses nothing of its own.
    quiet_until: Nanos,
    /// The floor while the roster is not settled.
    old_floor: Part,
    settled: BTreeSet<PeerId>,
    peers: Vec<Peer>,
    agreed: Vec<Option<Agreed>>,
    wanted: BTreeMap<PeerId, Wanted>,
    /// Whether its own bank has been held with this roster.
    established: bool,
    /// When a front with another roster of the same revision, that comes before this one, was last heard.
    yields_at: Option<Nanos>,
    number: u64,
    meter: Meter,
    told: BTreeMap<Limit, Part>,
    /// What is used now must be looked at again at this moment.
    ends_at: Nanos,
}

impl Quota {
    /// A front that has just started and remembers nothing. `boot` is drawn anew for each run.
    ///
    /// # Errors
    /// Where the terms cannot hold.
    pub fn new(terms: Terms, boot: Incarnation, now: Nanos) -> Result<Quota, TermsError> {
        terms.check()?;
        let fronts = usize::from(terms.fronts);
        let first = terms.revision <= 1;
        let mut quota = Quota {
            quiet_until: now + terms.stretched(terms.life),
            old_floor: if first { terms.floor_part() } else { 0 },
            settled: BTreeSet::from([terms.me]),
            peers: vec![Peer::default(); fronts],
            agreed: vec![None; fronts],
            wanted: BTreeMap::new(),
            established: false,
            yields_at: None,
            number: 0,
            meter: Meter::default(),
            told: BTreeMap::new(),
            ends_at: Nanos::MAX,
            contacts: MembershipTable::new(terms.me, terms.fronts, boot, terms.stretched(terms.life)),
            terms,
        };
        if first {
            quota.settled = (0..quota.terms.fronts).collect();
        }
        Ok(quota)
    }

    /// Takes one event and appends what is to be done.
    pub fn on(&mut self, now: Nanos, event: Event, effects: &mut Vec<Effect>) {
        match event {
            Event::Beat => {
                self.look(now, effects);
                for limit in self.meter.forget(now) {
                    self.told.remove(&limit);
                    effects.push(Effect::Forget(limit));
                }
                self.want(now);
                self.contacts.begin_round(now);
                let me = self.terms.me;
                let mut round = self.round(now);
                for to in (0..self.terms.fronts).filter(|to| *to != me) {
                    let loans = self.lend(now, to, &mut round);
                    let beat = Box::new(self.beat(now, to, loans, &round));
                    effects.push(Effect::Send { to, beat });
                }
                self.tell(now, now, effects);
            }
            Event::Heard { from, boot, beat } => {
                self.look(now, effects);
                let (mut less, is_reply) = (BTreeSet::new(), beat.reply);
                let news = self.heard(now, from, boot, *beat, &mut less);
                effects.push(Effect::Worth(news));
                // Two that are strangers to each other must not answer each other's answers without end.
                if matches!(news, MessageStatus::Conflicting | MessageStatus::RosterMismatch) && !is_reply {
                    let beat = Box::new(self.reply(now, from, news));
                    effects.push(Effect::Reply { beat });
                }
                // What has become more can wait for the next beat; what has become less cannot.
                match news {
                    MessageStatus::Accepted { first } if first || self.stands_back(now) => {
                        self.tell(now, now, effects)
                    }
                    MessageStatus::RosterMismatch if self.yields(now) => self.tell(now, now, effects),
                    MessageStatus::Accepted { .. } => self.tell_some(now, &less, effects),
                    _ => {}
                }
            }
            Event::Asked { limit, units } => {
                self.look(now, effects);
                if self.meter.count(now, limit, units) {
                    self.tell(now, now, effects);
                }
            }
            Event::Look => self.look(now, effects),
            Event::Terms(terms) => self.take(now, terms, effects),
            Event::Leave => {
                self.contacts.shut_down();
                self.tell(now, now, effects);
            }
            Event::Absent => self.quiet_until = now + self.terms.stretched(self.terms.life),
        }
    }

    /// The moment by which [`Event::Look`] must come: something that is used ends then.
    pub fn ends_at(&self) -> Nanos {
        self.ends_at
    }

    /// The part of a limit that this front may use now.
    pub fn part(&self, now: Nanos, limit: Limit) -> Part {
        self.part_of(now, self.own(now), limit)
    }

    fn part_of(&self, now: Nanos, own: Part, limit: Limit) -> Part {
        if self.stands_back(now) || self.contacts.is_shutting_down() {
            return 0;
        }
        let lent = if mutated(Mutation::OwnPartIsWhole) { 0 } else { self.lent(now, limit) };
        let borrowed = self.peers.iter().filter(|p| now < p.borrowed.until);
        let borrowed = borrowed
            .filter_map(|p| p.borrowed.parts.get(&limit))
            .fold(0, |all: Part, p| all.saturating_add(*p));
        (own.saturating_sub(lent) + borrowed).min(WHOLE)
    }

    /// The banks that this front holds now.
    pub fn banks(&self, now: Nanos) -> Vec<PeerId> {
        let held = self.wanted.iter().filter(|(bank, w)| self.held_until(**bank, w) > now);
        held.map(|(bank, _)| *bank).collect()
    }

    /// This run of the front.
    pub fn boot(&self) -> Incarnation {
        self.contacts.incarnation()
    }

    /// Who is there.
    pub fn contacts(&self) -> &MembershipTable {
        &self.contacts
    }

    /// The terms in force.
    pub fn terms(&self) -> &Terms {
        &self.terms
    }

    /// Whether every name is known to have taken the roster.
    pub fn is_settled(&self) -> bool {
        self.settled.len() == usize::from(self.terms.fronts)
    }

    /// Whether it has just started, and uses nothing of its own yet.
    pub fn is_quiet(&self, now: Nanos) -> bool {
        now < self.quiet_until
    }

    /// Whether another process has this front's name, so that this one uses nothing.
    pub fn stands_back(&self, now: Nanos) -> bool {
        self.contacts.is_rejected(now) || self.yields(now)
    }

    /// Whether there is another roster of the same revision, whose fronts come before this one: it uses nothing.
    pub fn yields(&self, now: Nanos) -> bool {
        self.yields_at.is_some_and(|at| now < at + self.span())
    }

    /// What it believes of another front.
    pub fn standing(&self, now: Nanos, place: PeerId) -> Standing {
        let peer = &self.peers[usize::from(place)];
        let most = |parts: &BTreeMap<Limit, Part>| parts.values().copied().max().unwrap_or(0);
        let lent = peer.lent.iter().filter(|l| now < l.until).map(|l| most(&l.parts)).max().unwrap_or(0);
        let borrowed = if now < peer.borrowed.until { most(&peer.borrowed.parts) } else { 0 };
        Standing {
            belief: self.contacts.status(now, place),
            boot: self.contacts.incarnation_of(place),
            silent: self.contacts.last_message_at(place).map(|at| now - at),
            heard_by: self.contacts.reachable_from(now, place).collect(),
            stranger: self.contacts.conflicting_incarnation(now, place),
            lent,
            borrowed,
        }
    }

    /// The span after which what was given has ended by any clock.
    fn span(&self) -> Nanos {
        self.terms.stretched(self.terms.life)
    }

    /// Uses nothing that has ended.
    fn look(&mut self, now: Nanos, effects: &mut Vec<Effect>) {
        if now < self.ends_at || mutated(Mutation::NoLookAfterStop) {
            return;
        }
        let ended = self.ends_at;
        self.tell(now, ended, effects);
    }

    /// Says which parts have changed. What has become less is so from the moment that something ended.
    fn tell(&mut self, now: Nanos, ended: Nanos, effects: &mut Vec<Effect>) {
        let limits: Vec<Limit> = self.meter.limits().collect();
        let own = self.own(now);
        for limit in limits {
            self.tell_one(now, ended, own, limit, effects);
        }
        self.note_end(now);
    }

    /// The same for some limits, of those that are asked for here.
    fn tell_some(&mut self, now: Nanos, limits: &BTreeSet<Limit>, effects: &mut Vec<Effect>) {
        if !limits.is_empty() {
            let own = self.own(now);
            for limit in limits {
                if self.told.contains_key(limit) {
                    self.tell_one(now, now, own, *limit, effects);
                }
            }
        }
        self.note_end(now);
    }

    fn tell_one(&mut self, now: Nanos, ended: Nanos, own: Part, limit: Limit, effects: &mut Vec<Effect>) {
        let part = self.part_of(now, own, limit);
        let old = self.told.insert(limit, part);
        if old != Some(part) {
            let at = if old.is_some_and(|old| part < old) { ended } else { now };
            effects.push(Effect::Right { limit, part, at });
        }
    }

    /// Notes when something that is used ends next.
    fn note_end(&mut self, now: Nanos) {
        let loans = self.peers.iter().map(|p| p.borrowed.until);
        let banks = self.wanted.iter().map(|(bank, w)| self.held_until(*bank, w));
        let quiet = [self.quiet_until].into_iter();
        self.ends_at = loans.chain(banks).chain(quiet).filter(|t| *t > now).min().unwrap_or(Nanos::MAX);
    }

    /// Until when a bank is this front's to use.
    fn held_until(&self, bank: PeerId, wanted: &Wanted) -> Nanos {
        if wanted.back.is_some() && !mutated(Mutation::BankBackAtOnce) {
            return Nanos::MIN;
        }
        let mut quorum = self.terms.quorum(bank == self.terms.me);
        if mutated(Mutation::SmallQuorum) {
            quorum = quorum.saturating_sub(1).max(1);
        }
        let mut votes: Vec<Nanos> = wanted.votes.values().copied().collect();
        votes.sort_unstable_by(|a, b| b.cmp(a));
        votes.get(quorum - 1).copied().unwrap_or(Nanos::MIN)
    }

    /// What this front may use and lend of every limit: its floor and its banks.
    fn own(&self, now: Nanos) -> Part {
        if (now < self.quiet_until && !mutated(Mutation::FloorAtOnce)) || self.stands_back(now) {
            return 0;
        }
        if !self.is_settled() {
            return self.old_floor.min(self.terms.floor_part());
        }
        let banks = self.banks(now).len() as Part;
        self.terms.floor_part() + banks * self.terms.bank_part()
    }

    /// Until when all that [`Quota::own`] counts now is this front's.
    fn own_until(&self, now: Nanos) -> Nanos {
        let held = self.wanted.iter().map(|(bank, w)| self.held_until(*bank, w)).filter(|t| *t > now);
        held.min().unwrap_or(Nanos::MAX)
    }

    /// What others may use of a limit, of this front's.
    fn lent(&self, now: Nanos, limit: Limit) -> Part {
        self.peers.iter().map(|p| p.lent_of(now, limit)).sum()
    }

    /// Which banks to hold: its own always; that of a silent front where this is the next that is not.
    fn want(&mut self, now: Nanos) {
        let me = self.terms.me;
        // What it has held runs on where it is lent: it is not given back, and ends by itself.
        if self.contacts.is_shutting_down() || self.stands_back(now) || !self.is_settled() {
            return;
        }
        self.wanted.entry(me).or_insert(Wanted { since: now, votes: BTreeMap::new(), back: None });
        for bank in (0..self.terms.fronts).filter(|b| *b != me) {
            let belief = self.contacts.status(now, bank);
            let silent = matches!(belief, PeerStatus::Dead | PeerStatus::Left | PeerStatus::Unknown);
            let next = silent && self.next_after(now, bank) == me;
            let span = self.span();
            let held = self.wanted.get(&bank).is_some_and(|w| self.held_until(bank, w) > now);
            match self.wanted.get_mut(&bank) {
                None if next => {
                    self.wanted.insert(bank, Wanted { since: now, votes: BTreeMap::new(), back: None });
                }
                None => {}
                // Lent from it is nothing any more: it goes back.
                Some(Wanted { back: Some(back), .. }) if now >= *back => {
                    self.wanted.remove(&bank);
                }
                Some(Wanted { back: Some(_), .. }) => {}
                // Its home is there again. What was lent of it must end first.
                Some(wanted) if !silent => {
                    let wait = if held { span } else { 0 };
                    wanted.back = Some(now + if mutated(Mutation::BankBackAtOnce) { 0 } else { wait });
                }
                // Another tries, and this front has not won: two that try may keep each other from it.
                Some(_) if !next && !held => {
                    self.wanted.remove(&bank);
                }
                Some(_) => {}
            }
        }
        self.wanted.retain(|_, w| w.back.is_none_or(|back| now < back));
        // As one of those who agree.
        if now >= self.quiet_until {
            let until = now + self.terms.life;
            let wants: Vec<PeerId> = self.wanted.keys().copied().collect();
            for bank in wants {
                if self.agrees(now, bank, (me, self.boot())) {
                    if let Some(wanted) = self.wanted.get_mut(&bank) {
                        wanted.votes.insert(me, until);
                    }
                }
            }
        }
        let wants: Vec<PeerId> = self.wanted.keys().copied().collect();
        self.release((me, self.boot()), &wants);
        self.established |= self.banks(now).contains(&me) && now >= self.quiet_until;
    }

    /// The first front after a place, in the ring, that is heard.
    fn next_after(&self, now: Nanos, place: PeerId) -> PeerId {
        let fronts = u32::from(self.terms.fronts);
        let ring = (1..fronts).map(|step| ((u32::from(place) + step) % fronts) as PeerId);
        let there = |p: &PeerId| *p == self.terms.me || self.contacts.is_alive(now, *p);
        ring.into_iter().find(there).unwrap_or(self.terms.me)
    }

    /// Agrees to a holder of a bank, or does not: never to two at a time.
    fn agrees(&mut self, now: Nanos, bank: PeerId, to: (PeerId, Incarnation)) -> bool {
        let until = now + self.span();
        let Some(agreed) = self.agreed.get_mut(usize::from(bank)) else { return false };
        let free = agreed.is_none_or(|a| a.until <= now || a.to == to);
        if !free && !mutated(Mutation::AgreesTwice) {
            return false;
        }
        *agreed = Some(Agreed { to, until });
        true
    }

    /// Frees banks that a holder no longer wants.
    fn release(&mut self, holder: (PeerId, Incarnation), wants: &[PeerId]) {
        for (bank, agreed) in self.agreed.iter_mut().enumerate() {
            if agreed.is_some_and(|a| a.to == holder) && !wants.contains(&(bank as PeerId)) {
                *agreed = None;
            }
        }
    }

    fn heard(
        &mut self,
        now: Nanos,
        from: PeerId,
        boot: Incarnation,
        beat: Beat,
        less: &mut BTreeSet<Limit>,
    ) -> MessageStatus {
        let (mine, quiet) = (self.boot(), now < self.quiet_until && !mutated(Mutation::NoQuietTime));
        if beat.roster != self.terms.roster && !mutated(Mutation::AnyRoster) {
            // Of two rosters of one revision one is a mistake. Whoever has been at work goes on; of two that have,
            // or have not, the one whose digest is less.
            let before = match (beat.established, self.established) {
                (theirs, mine) if theirs != mine => theirs,
                _ => beat.roster < self.terms.roster,
            };
            if beat.revision == self.terms.revision && before {
                self.yields_at = Some(now);
                self.established = false;
            }
            return MessageStatus::RosterMismatch;
        }
        let news = self.contacts.receive(now, from, boot, &beat.hello);
        let MessageStatus::Accepted { first } = news else { return news };
        let peer = &mut self.peers[usize::from(from)];
        if first {
            let lent = std::mem::take(&mut peer.lent);
            let borrowed = std::mem::take(&mut peer.borrowed);
            *peer = Peer { lent, ..Peer::default() };
            if mutated(Mutation::LoanForPredecessor) {
                peer.borrowed = borrowed;
            }
        }
        let asks = beat.asks.iter().take(self.terms.most_limits);
        peer.asks = asks.map(|a| (a.limit, a.milli.min(MOST_MILLI))).collect();
        if let Some((_, used)) = beat.uses.filter(|(to, _)| *to == mine) {
            peer.lent.retain(|l| l.number >= used);
        }
        peer.lent.retain(|l| now < l.until);
        if let Some((_, asked)) = beat.hello.echo.filter(|(to, _)| *to == mine) {
            // Nobody can have heard what was not sent yet.
            let asked = asked.min(now);
            let from_when = if mutated(Mutation::LoanFromReceipt) { now } else { asked };
            if beat.loans.number > peer.borrowed.number {
                let parts: BTreeMap<Limit, Part> =
                    beat.loans.parts.iter().map(|l| (l.limit, l.part.min(WHOLE))).collect();
                less.extend(
                    peer.borrowed.parts.iter().filter(|(v, p)| parts.get(v) != Some(p)).map(|(v, _)| *v),
                );
                less.extend(parts.keys().filter(|v| !peer.borrowed.parts.contains_key(v)));
                let until = from_when + beat.loans.term.clamp(0, self.terms.life);
                // The same parts for a shorter time are less as well.
                if until < peer.borrowed.until && !mutated(Mutation::ShorterLoanMissed) {
                    less.extend(parts.keys());
                }
                peer.borrowed = Borrowed { number: beat.loans.number, until, parts };
            }
            let from_when = if mutated(Mutation::BankFromReceipt) { now } else { asked };
            for bank in &beat.agrees {
                if let Some(wanted) = self.wanted.get_mut(bank) {
                    if asked >= wanted.since {
                        let until = wanted.votes.entry(from).or_insert(Nanos::MIN);
                        *until = (*until).max(from_when + self.terms.life);
                    }
                }
            }
        }
        self.settled.extend(beat.settled.iter().filter(|p| **p < self.terms.fronts));
        self.settled.insert(from);
        // Who ends takes back nothing of what it has lent: its banks are free once that has ended by itself.
        let leaving = beat.hello.leaving && !mutated(Mutation::LeavesAtOnce);
        if !leaving {
            self.release((from, boot), &beat.wants);
        }
        let wants: &[PeerId] = if quiet || leaving { &[] } else { &beat.wants };
        let agreed = wants.iter().copied().filter(|bank| self.agrees(now, *bank, (from, boot))).collect();
        self.peers[usize::from(from)].agreed = agreed;
        news
    }

    /// What a front is told in a round: what all are told, and what is its alone.
    fn beat(&self, now: Nanos, to: PeerId, loans: Loans, round: &Round) -> Beat {
        let peer = &self.peers[usize::from(to)];
        Beat {
            hello: self.contacts.state_for(now, to),
            agrees: peer.agreed.clone(),
            uses: self.contacts.incarnation_of(to).map(|boot| (boot, peer.borrowed.number)),
            loans,
            ..round.all.clone()
        }
    }

    /// What is answered to who has another's name or another roster: that this front is there, and which roster it
    /// has. Under another roster the sender's place says nothing.
    fn reply(&self, now: Nanos, to: PeerId, news: MessageStatus) -> Beat {
        let hello = if news == MessageStatus::Conflicting {
            self.contacts.state_for(now, to)
        } else {
            PeerState::default()
        };
        Beat { reply: true, hello, ..self.signed() }
    }

    /// A beat that says no more than which roster this front has.
    fn signed(&self) -> Beat {
        let Terms { roster, revision, .. } = self.terms;
        Beat { roster, revision, established: self.established, ..Beat::default() }
    }

    /// What every front is told in a round.
    fn to_all(&self, now: Nanos) -> Beat {
        let asks = self.meter.all(now).map(|(limit, milli)| Ask { limit, milli });
        let mut asks: Vec<Ask> = asks.filter(|a| a.milli > 0).collect();
        if asks.len() > self.terms.most_limits {
            asks.sort_unstable_by_key(|a| {
                (matches!(a.limit, Limit::Volume(_)), std::cmp::Reverse(a.milli), a.limit)
            });
            asks.truncate(self.terms.most_limits);
        }
        let wants =
            if self.contacts.is_shutting_down() { Vec::new() } else { self.wanted.keys().copied().collect() };
        // At the first revision every name counts as having taken it.
        let settled =
            if self.terms.revision > 1 { self.settled.iter().copied().collect() } else { Vec::new() };
        Beat { wants, settled, asks, ..self.signed() }
    }

    /// What this round of beats may lend, and how much is asked for and lent already.
    fn round(&self, now: Nanos) -> Round {
        let alive = |p: &PeerId| self.contacts.is_alive(now, *p) && self.contacts.hears_me(now, *p);
        let alive: Vec<bool> = (0..self.terms.fronts).map(|p| alive(&p)).collect();
        let mut limits: BTreeMap<Limit, (u64, Part)> = BTreeMap::new();
        for (limit, milli) in self.meter.all(now) {
            limits.entry(limit).or_default().0 += milli;
        }
        for (peer, alive) in self.peers.iter().zip(&alive) {
            for (limit, milli) in peer.asks.iter().filter(|_| *alive) {
                limits.entry(*limit).or_default().0 += milli;
            }
            let lent: BTreeSet<Limit> = peer.lent.iter().flat_map(|l| l.parts.keys().copied()).collect();
            for limit in lent {
                limits.entry(limit).or_default().1 += peer.lent_of(now, limit);
            }
        }
        let all = self.to_all(now);
        Round { all, own: self.own(now), until: self.own_until(now), alive, limits }
    }

    /// Lends a front what this one has, in step with how much each limit is asked for at each front.
    fn lend(&mut self, now: Nanos, to: PeerId, round: &mut Round) -> Loans {
        self.number += 1;
        let (number, place) = (self.number, usize::from(to));
        let left = i128::from(round.until - now) * 1_000_000 / i128::from(1_000_000 + self.terms.drift);
        let left = if mutated(Mutation::LoanOutlivesBank) { self.terms.life } else { left as Nanos - 1 };
        let term = left.min(self.terms.life);
        if !round.alive[place]
            || term <= 0
            || round.own == 0
            || !self.is_settled()
            || self.contacts.is_shutting_down()
        {
            return Loans { number, ..Loans::default() };
        }
        let (peer, mut parts) = (&mut self.peers[place], Vec::new());
        for (limit, milli) in peer.asks.iter().filter(|(_, milli)| **milli > 0) {
            let Some((all, lent)) = round.limits.get_mut(limit) else { continue };
            let share = (u128::from(round.own) * u128::from(*milli) / u128::from((*all).max(1))) as Part;
            let before = peer.lent_of(now, *limit);
            let free = round.own.saturating_sub(*lent - before);
            let part = share.min(free);
            *lent = *lent - before + before.max(part);
            if part > 0 {
                parts.push(Loan { limit: *limit, part });
            }
        }
        // It counts from when the beat that is echoed was sent, which was before it came.
        let until = self.contacts.last_message_at(to).unwrap_or(now) + self.terms.stretched(term);
        if now < until && !parts.is_empty() {
            let lent = parts.iter().map(|l| (l.limit, l.part)).collect();
            peer.lent.push(Lent { number, until, parts: lent });
        }
        Loans { number, term, parts }
    }

    /// New terms: nothing of the old ones is renewed, and what runs ends before anything of the new is used.
    fn take(&mut self, now: Nanos, terms: Terms, effects: &mut Vec<Effect>) {
        if terms == self.terms || terms.check().is_err() {
            return;
        }
        let floor = if self.is_settled() { self.terms.floor_part() } else { self.old_floor };
        let Ok(mut fresh) = Quota::new(terms, self.boot(), now) else { return };
        let span = fresh.span();
        fresh.contacts = self.contacts.with_roster(fresh.terms.me, fresh.terms.fronts, span);
        // What was lent and agreed under the old terms may last as long as their life.
        fresh.quiet_until = fresh.quiet_until.max(now + self.span());
        fresh.old_floor = floor.min(fresh.terms.floor_part());
        fresh.settled = BTreeSet::from([fresh.terms.me]);
        fresh.number = self.number;
        fresh.meter = std::mem::take(&mut self.meter);
        fresh.told = std::mem::take(&mut self.told);
        *self = fresh;
        self.tell(now, now, effects);
    }

    /// All that later decisions hang on, with moments by how far they are from `now`: for checkers, which take
    /// states of one fingerprint for one state.
    pub fn fingerprint<H: Hasher>(&self, now: Nanos, h: &mut H) {
        let ago = |t: Nanos| if t <= now { -1 } else { t - now };
        (ago(self.quiet_until), self.old_floor, &self.settled).hash(h);
        (self.established, self.yields_at.map(|t| ago(t + self.span()))).hash(h);
        self.contacts.fingerprint(now, h);
        for p in &self.peers {
            (&p.agreed, &p.asks).hash(h);
            let running = p.lent.iter().filter(|l| now < l.until);
            running.for_each(|l| (l.number, ago(l.until), &l.parts).hash(h));
            (p.borrowed.number, ago(p.borrowed.until), &p.borrowed.parts).hash(h);
        }
        for agreed in &self.agreed {
            agreed.filter(|a| a.until > now).map(|a| (a.to, ago(a.until))).hash(h);
        }
        for (bank, w) in &self.wanted {
            (bank, now - w.since, w.back.map(ago)).hash(h);
            w.votes.iter().for_each(|(p, t)| (p, ago(*t)).hash(h));
        }
        (self.number, &self.told, ago(self.ends_at)).hash(h);
        self.meter.fingerprint(now, h);
    }
}
