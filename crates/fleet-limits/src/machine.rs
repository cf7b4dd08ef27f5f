//! The machine of one front: it agrees to who holds which bank, holds banks, lends, borrows, and says which part of
//! each limit its front may use.

use std::collections::{BTreeMap, BTreeSet};
use std::hash::{Hash, Hasher};

use tulipbridge_membership::{MembershipTable, PeerState};

use crate::meter::DemandMeter;
use crate::mutations::{mutated, Mutation};
use crate::*;

/// More thousandths of units a second than any limit is asked for: what a peer says is not added up past it.
const MAX_DEMAND: u64 = 1 << 40;

/// What happens to a front.
#[derive(Clone, Debug)]
pub enum Event {
    /// A beat is due.
    HeartbeatDue,
    /// A beat came, whose sender and integrity are proven.
    HeartbeatReceived {
        /// From which place.
        from: PeerId,
        /// The sender's boot.
        boot: Incarnation,
        /// What it says.
        heartbeat: Box<Heartbeat>,
    },
    /// Units of a limit are asked for.
    Demanded {
        /// The limit.
        limit: Limit,
        /// How many.
        units: f64,
    },
    /// Time has passed: what has ended is used no more.
    Poll,
    /// A new roster, or new terms.
    Reconfigure(LimitsConfig),
    /// The front ends: it renews nothing and says so.
    Shutdown,
    /// The front cannot hear yet, for another process has its address: it counts as one that starts now.
    AddressInUse,
}

/// What is to be done.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Effect {
    /// A beat goes to a front.
    Send {
        /// Where to.
        to: PeerId,
        /// What it says.
        heartbeat: Box<Heartbeat>,
    },
    /// A beat goes back to where the event's message came from: its sender has another's name, or another roster.
    Reply {
        /// What it says.
        heartbeat: Box<Heartbeat>,
    },
    /// What came was worth this.
    Received(MessageStatus),
    /// From a moment on, which may be past, the front may use so much of a limit.
    ShareChanged {
        /// The limit.
        limit: Limit,
        /// The part.
        share: Share,
        /// From when.
        at: Nanos,
    },
    /// Nobody has asked for a limit in a while: nothing of it is this front's to use, and nothing more is said of it
    /// until it is asked for again.
    Forget(Limit),
}

/// What a front believes of another, with the evidence.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PeerReport {
    /// The belief.
    pub status: PeerStatus,
    /// Its boot, where it has been heard.
    pub incarnation: Option<Incarnation>,
    /// How long ago it was last heard.
    pub silent_for: Option<Nanos>,
    /// Who says that it hears it.
    pub reachable_from: Vec<PeerId>,
    /// Another process with its name has spoken within a life.
    pub conflicting: Option<Incarnation>,
    /// Most that is lent to it of any limit.
    pub granted: Share,
    /// Most that is borrowed from it of any limit.
    pub leased: Share,
}

/// Loans to another front that it may still use.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct GrantedLeases {
    number: u64,
    expires_at: Nanos,
    shares: BTreeMap<Limit, Share>,
}

/// Loans from another front.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
struct HeldLeases {
    number: u64,
    expires_at: Nanos,
    shares: BTreeMap<Limit, Share>,
}

/// What passes between this front and another.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
struct Peer {
    /// Of the banks that it wanted last, those agreed to.
    votes_for: Vec<PeerId>,
    demands: BTreeMap<Limit, u64>,
    granted: Vec<GrantedLeases>,
    leased: HeldLeases,
}

impl Peer {
    /// The most that it may use now of a limit, of this front's.
    fn granted_share(&self, now: Nanos, limit: Limit) -> Share {
        let running = self.granted.iter().filter(|l| now < l.expires_at);
        let running = running.rev().take(if mutated(Mutation::LoanFreedAtOnce) { 1 } else { usize::MAX });
        running.filter_map(|l| l.shares.get(&limit)).max().copied().unwrap_or(0)
    }
}

/// What a round of beats says, and what it lends from.
struct Round {
    /// What every front is told.
    common: Heartbeat,
    own: Share,
    /// Loans end by then.
    expires_at: Nanos,
    alive: Vec<bool>,
    /// By limit: how much is asked for in all, in thousandths, and what is lent.
    limits: BTreeMap<Limit, (u64, Share)>,
}

/// Who an agreement was given to, and until when.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Vote {
    holder: (PeerId, Incarnation),
    expires_at: Nanos,
}

/// A bank that this front wants.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct IssuerClaim {
    since: Nanos,
    /// By place, until when it agrees, by this front's clock.
    votes: BTreeMap<PeerId, Nanos>,
    /// It goes back to its home: nothing of it is used or lent any more, and from this moment on nothing runs.
    returned_at: Option<Nanos>,
}

/// One front's part in limits that hold for the whole fleet.
#[derive(Clone, Debug)]
pub struct LimitCoordinator {
    config: LimitsConfig,
    members: MembershipTable,
    /// Until then this front agrees to nothing and uses nothing of its own.
    quiet_until: Nanos,
    /// The floor while the roster is not settled.
    old_floor: Share,
    settled: BTreeSet<PeerId>,
    peers: Vec<Peer>,
    votes: Vec<Option<Vote>>,
    claims: BTreeMap<PeerId, IssuerClaim>,
    /// Whether its own bank has been held with this roster.
    established: bool,
    /// When a front with another roster of the same revision, that comes before this one, was last heard.
    yields_at: Option<Nanos>,
    grant_number: u64,
    demand: DemandMeter,
    reported: BTreeMap<Limit, Share>,
    /// What is used now must be looked at again at this moment.
    next_expiry: Nanos,
}

impl LimitCoordinator {
    /// A front that has just started and remembers nothing. `boot` is drawn anew for each run.
    ///
    /// # Errors
    /// Where the terms cannot hold.
    pub fn new(
        terms: LimitsConfig,
        boot: Incarnation,
        now: Nanos,
    ) -> Result<LimitCoordinator, LimitsConfigError> {
        terms.check()?;
        let fronts = usize::from(terms.fronts);
        let first = terms.revision <= 1;
        let mut quota = LimitCoordinator {
            quiet_until: now + terms.with_drift(terms.lease_duration),
            old_floor: if first { terms.floor_share() } else { 0 },
            settled: BTreeSet::from([terms.me]),
            peers: vec![Peer::default(); fronts],
            votes: vec![None; fronts],
            claims: BTreeMap::new(),
            established: false,
            yields_at: None,
            grant_number: 0,
            demand: DemandMeter::default(),
            reported: BTreeMap::new(),
            next_expiry: Nanos::MAX,
            members: MembershipTable::new(
                terms.me,
                terms.fronts,
                boot,
                terms.with_drift(terms.lease_duration),
            ),
            config: terms,
        };
        if first {
            quota.settled = (0..quota.config.fronts).collect();
        }
        Ok(quota)
    }

    /// Takes one event and appends what is to be done.
    pub fn on(&mut self, now: Nanos, event: Event, effects: &mut Vec<Effect>) {
        match event {
            Event::HeartbeatDue => {
                self.expire(now, effects);
                for limit in self.demand.expire_idle(now) {
                    self.reported.remove(&limit);
                    effects.push(Effect::Forget(limit));
                }
                self.update_claims(now);
                self.members.begin_round(now);
                let me = self.config.me;
                let mut round = self.round(now);
                for to in (0..self.config.fronts).filter(|to| *to != me) {
                    let loans = self.grant_to(now, to, &mut round);
                    let beat = Box::new(self.heartbeat_for(now, to, loans, &round));
                    effects.push(Effect::Send { to, heartbeat: beat });
                }
                self.report_all(now, now, effects);
            }
            Event::HeartbeatReceived { from, boot, heartbeat: beat } => {
                self.expire(now, effects);
                let (mut less, is_reply) = (BTreeSet::new(), beat.is_reply);
                let news = self.receive(now, from, boot, *beat, &mut less);
                effects.push(Effect::Received(news));
                // Two that are strangers to each other must not answer each other's answers without end.
                if matches!(news, MessageStatus::Conflicting | MessageStatus::RosterMismatch) && !is_reply {
                    let beat = Box::new(self.reply(now, from, news));
                    effects.push(Effect::Reply { heartbeat: beat });
                }
                // What has become more can wait for the next beat; what has become less cannot.
                match news {
                    MessageStatus::Accepted { first } if first || self.is_standby(now) => {
                        self.report_all(now, now, effects)
                    }
                    MessageStatus::RosterMismatch if self.yields_to_roster(now) => {
                        self.report_all(now, now, effects)
                    }
                    MessageStatus::Accepted { .. } => self.report_some(now, &less, effects),
                    _ => {}
                }
            }
            Event::Demanded { limit, units } => {
                self.expire(now, effects);
                if self.demand.count(now, limit, units) {
                    self.report_all(now, now, effects);
                }
            }
            Event::Poll => self.expire(now, effects),
            Event::Reconfigure(terms) => self.reconfigure(now, terms, effects),
            Event::Shutdown => {
                self.members.shut_down();
                self.report_all(now, now, effects);
            }
            Event::AddressInUse => {
                self.quiet_until = now + self.config.with_drift(self.config.lease_duration)
            }
        }
    }

    /// The moment by which [`Event::Look`] must come: something that is used ends then.
    pub fn next_expiry(&self) -> Nanos {
        self.next_expiry
    }

    /// The part of a limit that this front may use now.
    pub fn share(&self, now: Nanos, limit: Limit) -> Share {
        self.effective_share(now, self.own_share(now), limit)
    }

    fn effective_share(&self, now: Nanos, own: Share, limit: Limit) -> Share {
        if self.is_standby(now) || self.members.is_shutting_down() {
            return 0;
        }
        let lent = if mutated(Mutation::OwnPartIsWhole) { 0 } else { self.total_granted(now, limit) };
        let borrowed = self.peers.iter().filter(|p| now < p.leased.expires_at);
        let borrowed = borrowed
            .filter_map(|p| p.leased.shares.get(&limit))
            .fold(0, |all: Share, p| all.saturating_add(*p));
        (own.saturating_sub(lent) + borrowed).min(FULL_SHARE)
    }

    /// The banks that this front holds now.
    pub fn issuers_held(&self, now: Nanos) -> Vec<PeerId> {
        let held = self.claims.iter().filter(|(bank, w)| self.claim_expiry(**bank, w) > now);
        held.map(|(bank, _)| *bank).collect()
    }

    /// This run of the front.
    pub fn incarnation(&self) -> Incarnation {
        self.members.incarnation()
    }

    /// Who is there.
    pub fn members(&self) -> &MembershipTable {
        &self.members
    }

    /// The terms in force.
    pub fn config(&self) -> &LimitsConfig {
        &self.config
    }

    /// Whether every name is known to have taken the roster.
    pub fn is_settled(&self) -> bool {
        self.settled.len() == usize::from(self.config.fronts)
    }

    /// Whether it has just started, and uses nothing of its own yet.
    pub fn is_starting(&self, now: Nanos) -> bool {
        now < self.quiet_until
    }

    /// Whether another process has this front's name, so that this one uses nothing.
    pub fn is_standby(&self, now: Nanos) -> bool {
        self.members.is_rejected(now) || self.yields_to_roster(now)
    }

    /// Whether there is another roster of the same revision, whose fronts come before this one: it uses nothing.
    pub fn yields_to_roster(&self, now: Nanos) -> bool {
        self.yields_at.is_some_and(|at| now < at + self.lease_span())
    }

    /// What it believes of another front.
    pub fn peer_report(&self, now: Nanos, place: PeerId) -> PeerReport {
        let peer = &self.peers[usize::from(place)];
        let most = |parts: &BTreeMap<Limit, Share>| parts.values().copied().max().unwrap_or(0);
        let lent =
            peer.granted.iter().filter(|l| now < l.expires_at).map(|l| most(&l.shares)).max().unwrap_or(0);
        let borrowed = if now < peer.leased.expires_at { most(&peer.leased.shares) } else { 0 };
        PeerReport {
            status: self.members.status(now, place),
            incarnation: self.members.incarnation_of(place),
            silent_for: self.members.last_message_at(place).map(|at| now - at),
            reachable_from: self.members.reachable_from(now, place).collect(),
            conflicting: self.members.conflicting_incarnation(now, place),
            granted: lent,
            leased: borrowed,
        }
    }

    /// The span after which what was given has ended by any clock.
    fn lease_span(&self) -> Nanos {
        self.config.with_drift(self.config.lease_duration)
    }

    /// Uses nothing that has ended.
    fn expire(&mut self, now: Nanos, effects: &mut Vec<Effect>) {
        if now < self.next_expiry || mutated(Mutation::NoLookAfterStop) {
            return;
        }
        let ended = self.next_expiry;
        self.report_all(now, ended, effects);
    }

    /// Says which parts have changed. What has become less is so from the moment that something ended.
    fn report_all(&mut self, now: Nanos, ended: Nanos, effects: &mut Vec<Effect>) {
        let limits: Vec<Limit> = self.demand.limits().collect();
        let own = self.own_share(now);
        for limit in limits {
            self.report_one(now, ended, own, limit, effects);
        }
        self.update_next_expiry(now);
    }

    /// The same for some limits, of those that are asked for here.
    fn report_some(&mut self, now: Nanos, limits: &BTreeSet<Limit>, effects: &mut Vec<Effect>) {
        if !limits.is_empty() {
            let own = self.own_share(now);
            for limit in limits {
                if self.reported.contains_key(limit) {
                    self.report_one(now, now, own, *limit, effects);
                }
            }
        }
        self.update_next_expiry(now);
    }

    fn report_one(&mut self, now: Nanos, ended: Nanos, own: Share, limit: Limit, effects: &mut Vec<Effect>) {
        let part = self.effective_share(now, own, limit);
        let old = self.reported.insert(limit, part);
        if old != Some(part) {
            let at = if old.is_some_and(|old| part < old) { ended } else { now };
            effects.push(Effect::ShareChanged { limit, share: part, at });
        }
    }

    /// Notes when something that is used ends next.
    fn update_next_expiry(&mut self, now: Nanos) {
        let loans = self.peers.iter().map(|p| p.leased.expires_at);
        let banks = self.claims.iter().map(|(bank, w)| self.claim_expiry(*bank, w));
        let quiet = [self.quiet_until].into_iter();
        self.next_expiry = loans.chain(banks).chain(quiet).filter(|t| *t > now).min().unwrap_or(Nanos::MAX);
    }

    /// Until when a bank is this front's to use.
    fn claim_expiry(&self, bank: PeerId, wanted: &IssuerClaim) -> Nanos {
        if wanted.returned_at.is_some() && !mutated(Mutation::BankBackAtOnce) {
            return Nanos::MIN;
        }
        let mut quorum = self.config.quorum(bank == self.config.me);
        if mutated(Mutation::SmallQuorum) {
            quorum = quorum.saturating_sub(1).max(1);
        }
        let mut votes: Vec<Nanos> = wanted.votes.values().copied().collect();
        votes.sort_unstable_by(|a, b| b.cmp(a));
        votes.get(quorum - 1).copied().unwrap_or(Nanos::MIN)
    }

    /// What this front may use and lend of every limit: its floor and its banks.
    fn own_share(&self, now: Nanos) -> Share {
        if (now < self.quiet_until && !mutated(Mutation::FloorAtOnce)) || self.is_standby(now) {
            return 0;
        }
        if !self.is_settled() {
            return self.old_floor.min(self.config.floor_share());
        }
        let banks = self.issuers_held(now).len() as Share;
        self.config.floor_share() + banks * self.config.issuer_share()
    }

    /// Until when all that [`Quota::own`] counts now is this front's.
    fn own_share_expiry(&self, now: Nanos) -> Nanos {
        let held = self.claims.iter().map(|(bank, w)| self.claim_expiry(*bank, w)).filter(|t| *t > now);
        held.min().unwrap_or(Nanos::MAX)
    }

    /// What others may use of a limit, of this front's.
    fn total_granted(&self, now: Nanos, limit: Limit) -> Share {
        self.peers.iter().map(|p| p.granted_share(now, limit)).sum()
    }

    /// Which banks to hold: its own always; that of a silent front where this is the next that is not.
    fn update_claims(&mut self, now: Nanos) {
        let me = self.config.me;
        // What it has held runs on where it is lent: it is not given back, and ends by itself.
        if self.members.is_shutting_down() || self.is_standby(now) || !self.is_settled() {
            return;
        }
        self.claims.entry(me).or_insert(IssuerClaim {
            since: now,
            votes: BTreeMap::new(),
            returned_at: None,
        });
        for bank in (0..self.config.fronts).filter(|b| *b != me) {
            let belief = self.members.status(now, bank);
            let silent = matches!(belief, PeerStatus::Dead | PeerStatus::Left | PeerStatus::Unknown);
            let next = silent && self.successor_of(now, bank) == me;
            let span = self.lease_span();
            let held = self.claims.get(&bank).is_some_and(|w| self.claim_expiry(bank, w) > now);
            match self.claims.get_mut(&bank) {
                None if next => {
                    self.claims
                        .insert(bank, IssuerClaim { since: now, votes: BTreeMap::new(), returned_at: None });
                }
                None => {}
                // Lent from it is nothing any more: it goes back.
                Some(IssuerClaim { returned_at: Some(back), .. }) if now >= *back => {
                    self.claims.remove(&bank);
                }
                Some(IssuerClaim { returned_at: Some(_), .. }) => {}
                // Its home is there again. What was lent of it must end first.
                Some(wanted) if !silent => {
                    let wait = if held { span } else { 0 };
                    wanted.returned_at = Some(now + if mutated(Mutation::BankBackAtOnce) { 0 } else { wait });
                }
                // Another tries, and this front has not won: two that try may keep each other from it.
                Some(_) if !next && !held => {
                    self.claims.remove(&bank);
                }
                Some(_) => {}
            }
        }
        self.claims.retain(|_, w| w.returned_at.is_none_or(|back| now < back));
        // As one of those who agree.
        if now >= self.quiet_until {
            let until = now + self.config.lease_duration;
            let wants: Vec<PeerId> = self.claims.keys().copied().collect();
            for bank in wants {
                if self.vote_for(now, bank, (me, self.incarnation())) {
                    if let Some(wanted) = self.claims.get_mut(&bank) {
                        wanted.votes.insert(me, until);
                    }
                }
            }
        }
        let wants: Vec<PeerId> = self.claims.keys().copied().collect();
        self.release_votes((me, self.incarnation()), &wants);
        self.established |= self.issuers_held(now).contains(&me) && now >= self.quiet_until;
    }

    /// The first front after a place, in the ring, that is heard.
    fn successor_of(&self, now: Nanos, place: PeerId) -> PeerId {
        let fronts = u32::from(self.config.fronts);
        let ring = (1..fronts).map(|step| ((u32::from(place) + step) % fronts) as PeerId);
        let there = |p: &PeerId| *p == self.config.me || self.members.is_alive(now, *p);
        ring.into_iter().find(there).unwrap_or(self.config.me)
    }

    /// Agrees to a holder of a bank, or does not: never to two at a time.
    fn vote_for(&mut self, now: Nanos, bank: PeerId, to: (PeerId, Incarnation)) -> bool {
        let until = now + self.lease_span();
        let Some(agreed) = self.votes.get_mut(usize::from(bank)) else { return false };
        let free = agreed.is_none_or(|a| a.expires_at <= now || a.holder == to);
        if !free && !mutated(Mutation::AgreesTwice) {
            return false;
        }
        *agreed = Some(Vote { holder: to, expires_at: until });
        true
    }

    /// Frees banks that a holder no longer wants.
    fn release_votes(&mut self, holder: (PeerId, Incarnation), wants: &[PeerId]) {
        for (bank, agreed) in self.votes.iter_mut().enumerate() {
            if agreed.is_some_and(|a| a.holder == holder) && !wants.contains(&(bank as PeerId)) {
                *agreed = None;
            }
        }
    }

    fn receive(
        &mut self,
        now: Nanos,
        from: PeerId,
        boot: Incarnation,
        beat: Heartbeat,
        less: &mut BTreeSet<Limit>,
    ) -> MessageStatus {
        let (mine, quiet) = (self.incarnation(), now < self.quiet_until && !mutated(Mutation::NoQuietTime));
        if beat.roster != self.config.roster && !mutated(Mutation::AnyRoster) {
            // Of two rosters of one revision one is a mistake. Whoever has been at work goes on; of two that have,
            // or have not, the one whose digest is less.
            let before = match (beat.established, self.established) {
                (theirs, mine) if theirs != mine => theirs,
                _ => beat.roster < self.config.roster,
            };
            if beat.revision == self.config.revision && before {
                self.yields_at = Some(now);
                self.established = false;
            }
            return MessageStatus::RosterMismatch;
        }
        let news = self.members.receive(now, from, boot, &beat.state);
        let MessageStatus::Accepted { first } = news else { return news };
        let peer = &mut self.peers[usize::from(from)];
        if first {
            let lent = std::mem::take(&mut peer.granted);
            let borrowed = std::mem::take(&mut peer.leased);
            *peer = Peer { granted: lent, ..Peer::default() };
            if mutated(Mutation::LoanForPredecessor) {
                peer.leased = borrowed;
            }
        }
        let asks = beat.demands.iter().take(self.config.max_limits);
        peer.demands = asks.map(|a| (a.limit, a.milli_units_per_second.min(MAX_DEMAND))).collect();
        if let Some((_, used)) = beat.grant_in_use.filter(|(to, _)| *to == mine) {
            peer.granted.retain(|l| l.number >= used);
        }
        peer.granted.retain(|l| now < l.expires_at);
        if let Some((_, asked)) = beat.state.echo.filter(|(to, _)| *to == mine) {
            // Nobody can have heard what was not sent yet.
            let asked = asked.min(now);
            let from_when = if mutated(Mutation::LoanFromReceipt) { now } else { asked };
            if beat.grant.number > peer.leased.number {
                let parts: BTreeMap<Limit, Share> =
                    beat.grant.leases.iter().map(|l| (l.limit, l.share.min(FULL_SHARE))).collect();
                less.extend(
                    peer.leased.shares.iter().filter(|(v, p)| parts.get(v) != Some(p)).map(|(v, _)| *v),
                );
                less.extend(parts.keys().filter(|v| !peer.leased.shares.contains_key(v)));
                let until = from_when + beat.grant.duration.clamp(0, self.config.lease_duration);
                // The same parts for a shorter time are less as well.
                if until < peer.leased.expires_at && !mutated(Mutation::ShorterLoanMissed) {
                    less.extend(parts.keys());
                }
                peer.leased = HeldLeases { number: beat.grant.number, expires_at: until, shares: parts };
            }
            let from_when = if mutated(Mutation::BankFromReceipt) { now } else { asked };
            for bank in &beat.votes {
                if let Some(wanted) = self.claims.get_mut(bank) {
                    if asked >= wanted.since {
                        let until = wanted.votes.entry(from).or_insert(Nanos::MIN);
                        *until = (*until).max(from_when + self.config.lease_duration);
                    }
                }
            }
        }
        self.settled.extend(beat.settled.iter().filter(|p| **p < self.config.fronts));
        self.settled.insert(from);
        // Who ends takes back nothing of what it has lent: its banks are free once that has ended by itself.
        let leaving = beat.state.leaving && !mutated(Mutation::LeavesAtOnce);
        if !leaving {
            self.release_votes((from, boot), &beat.claims);
        }
        let wants: &[PeerId] = if quiet || leaving { &[] } else { &beat.claims };
        let agreed = wants.iter().copied().filter(|bank| self.vote_for(now, *bank, (from, boot))).collect();
        self.peers[usize::from(from)].votes_for = agreed;
        news
    }

    /// What a front is told in a round: what all are told, and what is its alone.
    fn heartbeat_for(&self, now: Nanos, to: PeerId, loans: LeaseGrant, round: &Round) -> Heartbeat {
        let peer = &self.peers[usize::from(to)];
        Heartbeat {
            state: self.members.state_for(now, to),
            votes: peer.votes_for.clone(),
            grant_in_use: self.members.incarnation_of(to).map(|boot| (boot, peer.leased.number)),
            grant: loans,
            ..round.common.clone()
        }
    }

    /// What is answered to who has another's name or another roster: that this front is there, and which roster it
    /// has. Under another roster the sender's place says nothing.
    fn reply(&self, now: Nanos, to: PeerId, news: MessageStatus) -> Heartbeat {
        let hello = if news == MessageStatus::Conflicting {
            self.members.state_for(now, to)
        } else {
            PeerState::default()
        };
        Heartbeat { is_reply: true, state: hello, ..self.signed_heartbeat() }
    }

    /// A beat that says no more than which roster this front has.
    fn signed_heartbeat(&self) -> Heartbeat {
        let LimitsConfig { roster, revision, .. } = self.config;
        Heartbeat { roster, revision, established: self.established, ..Heartbeat::default() }
    }

    /// What every front is told in a round.
    fn common_heartbeat(&self, now: Nanos) -> Heartbeat {
        let asks = self.demand.all(now).map(|(limit, milli)| Demand { limit, milli_units_per_second: milli });
        let mut asks: Vec<Demand> = asks.filter(|a| a.milli_units_per_second > 0).collect();
        if asks.len() > self.config.max_limits {
            asks.sort_unstable_by_key(|a| {
                (matches!(a.limit, Limit::Volume(_)), std::cmp::Reverse(a.milli_units_per_second), a.limit)
            });
            asks.truncate(self.config.max_limits);
        }
        let wants =
            if self.members.is_shutting_down() { Vec::new() } else { self.claims.keys().copied().collect() };
        // At the first revision every name counts as having taken it.
        let settled =
            if self.config.revision > 1 { self.settled.iter().copied().collect() } else { Vec::new() };
        Heartbeat { claims: wants, settled, demands: asks, ..self.signed_heartbeat() }
    }

    /// What this round of beats may lend, and how much is asked for and lent already.
    fn round(&self, now: Nanos) -> Round {
        let alive = |p: &PeerId| self.members.is_alive(now, *p) && self.members.hears_me(now, *p);
        let alive: Vec<bool> = (0..self.config.fronts).map(|p| alive(&p)).collect();
        let mut limits: BTreeMap<Limit, (u64, Share)> = BTreeMap::new();
        for (limit, milli) in self.demand.all(now) {
            limits.entry(limit).or_default().0 += milli;
        }
        for (peer, alive) in self.peers.iter().zip(&alive) {
            for (limit, milli) in peer.demands.iter().filter(|_| *alive) {
                limits.entry(*limit).or_default().0 += milli;
            }
            let lent: BTreeSet<Limit> = peer.granted.iter().flat_map(|l| l.shares.keys().copied()).collect();
            for limit in lent {
                limits.entry(limit).or_default().1 += peer.granted_share(now, limit);
            }
        }
        let all = self.common_heartbeat(now);
        Round { common: all, own: self.own_share(now), expires_at: self.own_share_expiry(now), alive, limits }
    }

    /// Lends a front what this one has, in step with how much each limit is asked for at each front.
    fn grant_to(&mut self, now: Nanos, to: PeerId, round: &mut Round) -> LeaseGrant {
        self.grant_number += 1;
        let (number, place) = (self.grant_number, usize::from(to));
        let left = i128::from(round.expires_at - now) * 1_000_000
            / i128::from(1_000_000 + self.config.max_clock_drift);
        let left =
            if mutated(Mutation::LoanOutlivesBank) { self.config.lease_duration } else { left as Nanos - 1 };
        let term = left.min(self.config.lease_duration);
        if !round.alive[place]
            || term <= 0
            || round.own == 0
            || !self.is_settled()
            || self.members.is_shutting_down()
        {
            return LeaseGrant { number, ..LeaseGrant::default() };
        }
        let (peer, mut parts) = (&mut self.peers[place], Vec::new());
        for (limit, milli) in peer.demands.iter().filter(|(_, milli)| **milli > 0) {
            let Some((all, lent)) = round.limits.get_mut(limit) else { continue };
            let share = (u128::from(round.own) * u128::from(*milli) / u128::from((*all).max(1))) as Share;
            let before = peer.granted_share(now, *limit);
            let free = round.own.saturating_sub(*lent - before);
            let part = share.min(free);
            *lent = *lent - before + before.max(part);
            if part > 0 {
                parts.push(Lease { limit: *limit, share: part });
            }
        }
        // It counts from when the beat that is echoed was sent, which was before it came.
        let until = self.members.last_message_at(to).unwrap_or(now) + self.config.with_drift(term);
        if now < until && !parts.is_empty() {
            let lent = parts.iter().map(|l| (l.limit, l.share)).collect();
            peer.granted.push(GrantedLeases { number, expires_at: until, shares: lent });
        }
        LeaseGrant { number, duration: term, leases: parts }
    }

    /// New terms: nothing of the old ones is renewed, and what runs ends before anything of the new is used.
    fn reconfigure(&mut self, now: Nanos, terms: LimitsConfig, effects: &mut Vec<Effect>) {
        if terms == self.config || terms.check().is_err() {
            return;
        }
        let floor = if self.is_settled() { self.config.floor_share() } else { self.old_floor };
        let Ok(mut fresh) = LimitCoordinator::new(terms, self.incarnation(), now) else { return };
        let span = fresh.lease_span();
        fresh.members = self.members.with_roster(fresh.config.me, fresh.config.fronts, span);
        // What was lent and agreed under the old terms may last as long as their life.
        fresh.quiet_until = fresh.quiet_until.max(now + self.lease_span());
        fresh.old_floor = floor.min(fresh.config.floor_share());
        fresh.settled = BTreeSet::from([fresh.config.me]);
        fresh.grant_number = self.grant_number;
        fresh.demand = std::mem::take(&mut self.demand);
        fresh.reported = std::mem::take(&mut self.reported);
        *self = fresh;
        self.report_all(now, now, effects);
    }

    /// All that later decisions hang on, with moments by how far they are from `now`: for checkers, which take
    /// states of one fingerprint for one state.
    pub fn fingerprint<H: Hasher>(&self, now: Nanos, h: &mut H) {
        let ago = |t: Nanos| if t <= now { -1 } else { t - now };
        (ago(self.quiet_until), self.old_floor, &self.settled).hash(h);
        (self.established, self.yields_at.map(|t| ago(t + self.lease_span()))).hash(h);
        self.members.fingerprint(now, h);
        for p in &self.peers {
            (&p.votes_for, &p.demands).hash(h);
            let running = p.granted.iter().filter(|l| now < l.expires_at);
            running.for_each(|l| (l.number, ago(l.expires_at), &l.shares).hash(h));
            (p.leased.number, ago(p.leased.expires_at), &p.leased.shares).hash(h);
        }
        for agreed in &self.votes {
            agreed.filter(|a| a.expires_at > now).map(|a| (a.holder, ago(a.expires_at))).hash(h);
        }
        for (bank, w) in &self.claims {
            (bank, now - w.since, w.returned_at.map(ago)).hash(h);
            w.votes.iter().for_each(|(p, t)| (p, ago(*t)).hash(h));
        }
        (self.grant_number, &self.reported, ago(self.next_expiry)).hash(h);
        self.demand.fingerprint(now, h);
    }
}
