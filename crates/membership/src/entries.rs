//! Small entries that each front tells all others: newest by origin and boot, bounded in number, size and bytes a
//! second, carried round bad links.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::{Incarnation, MembershipTable, Nanos, PeerId};

/// Most entries of one front, those that were taken away counted.
pub const MAX_ENTRIES: usize = 4_096;
/// Most bytes of a value.
pub const MAX_VALUE: usize = 512;
/// Most bytes of entries in one message, well inside a datagram.
const MAX_BYTES: usize = 24_000;
/// What an entry takes beside its value, at the most.
const ENTRY_HEAD: usize = 24;
/// What a message takes beside its entries for each origin, at the most.
const ORIGIN_HEAD: usize = 32;
const MS: Nanos = 1_000_000;

/// What an entry is about.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Key {
    /// Whose it is, such as one subsystem's.
    pub kind: u8,
    /// Of that, which.
    pub id: u64,
}

/// An entry on its way.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct GossipEntry {
    /// What it is about.
    pub key: Key,
    /// Counted by its origin's boot.
    pub version: u64,
    /// How long before this message it was put at the most, in milliseconds.
    pub age_ms: u32,
    /// What it says; absent where it was taken away.
    pub value: Option<Vec<u8>>,
}

/// Entries of one boot of one front, in the order of their versions: all from one version on up to another.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Delta {
    /// Whose.
    pub origin: PeerId,
    /// Its boot.
    pub incarnation: Incarnation,
    /// They follow this version.
    pub after: u64,
    /// With them all is known up to this version.
    pub to: u64,
    /// The entries.
    pub entries: Vec<GossipEntry>,
}

/// From one front to another.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct GossipMessage {
    /// The latest that the sender had heard of the receiver: its boot, and when that was sent, by the receiver's clock.
    /// All that is said here was said later.
    pub echo: Option<(Incarnation, Nanos)>,
    /// Up to which version the sender knows whose entries, by boot.
    pub knows: Vec<(PeerId, Incarnation, u64)>,
    /// Whether that is all it knows, and it asks for the rest.
    pub requests_missing: bool,
    /// Entries.
    pub deltas: Vec<Delta>,
}

/// What happens.
#[derive(Clone, Debug)]
pub enum GossipInput {
    /// An entry of this front's own; without a value it is taken away.
    Put(Key, Option<Vec<u8>>),
    /// A round is due.
    Round,
    /// A message came, whose sender and integrity are proven.
    Received {
        /// From whom.
        from: PeerId,
        /// The sender's boot.
        incarnation: Incarnation,
        /// What it says.
        message: GossipMessage,
    },
}

/// What is to be done.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum GossipAction {
    /// A message goes to a front.
    Send {
        /// Which.
        to: PeerId,
        /// The message.
        message: GossipMessage,
    },
    /// A front's entry is another than before, or gone.
    Changed(PeerId, Key),
    /// All that a front's earlier boot said counts no more.
    Dropped(PeerId),
    /// Part of a message that came was not taken.
    Rejected(GossipError),
}

/// Why part of a message is not taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum GossipError {
    /// Of a boot that does not count.
    StaleIncarnation,
    /// Something before it is not known.
    MissingVersions,
    /// Too many, too long, or out of order.
    OutOfBounds,
    /// Of no front of the roster, or of this one.
    UnknownOrigin,
    /// Nothing tells when it was said.
    NoEcho,
}

/// An entry that is held.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct StoredEntry {
    version: u64,
    put_at: Nanos,
    value: Option<Vec<u8>>,
}

/// All that is known of one boot of a front.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
struct Origin {
    incarnation: Incarnation,
    /// All is known up to this version.
    version: u64,
    entries: BTreeMap<Key, StoredEntry>,
}

/// Why an entry cannot be put.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum EntryError {
    /// Too many keys.
    #[error("a front may have {MAX_ENTRIES} entries")]
    TooMany,
    /// Too long a value.
    #[error("an entry may have {MAX_VALUE} bytes")]
    TooLong,
}

/// What a front tells, and what it was told.
#[derive(Clone, Debug)]
pub struct GossipStore {
    me: PeerId,
    origins: Vec<Origin>,
    /// By front: its boot, and up to which version it has said that it knows this front's entries.
    acked: Vec<(Incarnation, u64)>,
    /// Whom to tell what is known of its entries.
    ack_due: Vec<bool>,
    /// Whom to ask next for all that is lacking.
    last_asked: PeerId,
    /// Bytes a second, and what is left of them.
    bytes_per_second: u64,
    byte_budget: i64,
    refilled_at: Nanos,
}

impl GossipStore {
    /// For the front at a place among so many, which sends at most so many bytes of entries a second.
    pub fn new(me: PeerId, fronts: PeerId, boot: Incarnation, rate: u64, now: Nanos) -> GossipStore {
        let mut origins = vec![Origin::default(); usize::from(fronts)];
        origins[usize::from(me)].incarnation = boot;
        let count = usize::from(fronts);
        let (acked, owed) = (vec![(0, 0); count], vec![false; count]);
        GossipStore {
            me,
            origins,
            acked,
            ack_due: owed,
            last_asked: me,
            bytes_per_second: rate,
            byte_budget: rate as i64,
            refilled_at: now,
        }
    }

    /// Sends at most so many bytes of entries a second from now on.
    pub fn set_rate(&mut self, rate: u64) {
        (self.bytes_per_second, self.byte_budget) = (rate, self.byte_budget.min(rate as i64));
    }

    /// The same under another roster, by which only this front's own entries are known.
    #[must_use]
    pub fn with_roster(&self, me: PeerId, fronts: PeerId, now: Nanos) -> GossipStore {
        let own = self.origins[usize::from(self.me)].clone();
        let mut fresh = GossipStore::new(me, fronts, own.incarnation, self.bytes_per_second, now);
        (fresh.byte_budget, fresh.origins[usize::from(me)]) = (self.byte_budget, own);
        fresh
    }

    /// Takes what happens. `contacts` says which boots count.
    ///
    /// # Errors
    /// Where an entry of this front's own cannot be put; nothing is changed then.
    pub fn on(
        &mut self,
        now: Nanos,
        contacts: &MembershipTable,
        told: GossipInput,
        acts: &mut Vec<GossipAction>,
    ) -> Result<(), EntryError> {
        match told {
            GossipInput::Put(key, value) => return self.put(now, key, value),
            GossipInput::Round => self.round(now, contacts, acts),
            GossipInput::Received { from, incarnation: boot, message: exchange } => {
                if contacts.incarnation_of(from) == Some(boot) && contacts.is_alive(now, from) {
                    self.receive(now, contacts, (from, boot), exchange, acts);
                } else {
                    acts.push(GossipAction::Rejected(GossipError::StaleIncarnation));
                }
            }
        }
        Ok(())
    }

    /// A front's entry, with how long ago it was put at the most.
    pub fn get(&self, now: Nanos, origin: PeerId, key: Key) -> Option<(&[u8], Nanos)> {
        let held = self.origins.get(usize::from(origin))?.entries.get(&key)?;
        held.value.as_deref().map(|value| (value, now - held.put_at))
    }

    /// All entries of a kind, with their origin, its boot, and how long ago each was put at the most.
    pub fn all(
        &self,
        now: Nanos,
        kind: u8,
    ) -> impl Iterator<Item = (PeerId, Incarnation, u64, &[u8], Nanos)> + '_ {
        let (from, to) = (Key { kind, id: 0 }, Key { kind, id: u64::MAX });
        self.origins.iter().enumerate().flat_map(move |(place, origin)| {
            origin.entries.range(from..=to).filter_map(move |(key, held)| {
                let value = held.value.as_deref()?;
                Some((place as PeerId, origin.incarnation, key.id, value, now - held.put_at))
            })
        })
    }

    /// Up to which version all is known of a front's entries, and of which boot.
    pub fn known(&self, origin: PeerId) -> Option<(Incarnation, u64)> {
        self.origins.get(usize::from(origin)).map(|o| (o.incarnation, o.version))
    }

    fn put(&mut self, now: Nanos, key: Key, value: Option<Vec<u8>>) -> Result<(), EntryError> {
        let own = &mut self.origins[usize::from(self.me)];
        if value.as_ref().is_some_and(|v| v.len() > MAX_VALUE) {
            return Err(EntryError::TooLong);
        }
        if !own.entries.contains_key(&key) {
            match value {
                None => return Ok(()),
                Some(_) if own.entries.len() >= MAX_ENTRIES => return Err(EntryError::TooMany),
                Some(_) => {}
            }
        }
        own.version += 1;
        own.entries.insert(key, StoredEntry { version: own.version, put_at: now, value });
        Ok(())
    }

    fn round(&mut self, now: Nanos, contacts: &MembershipTable, acts: &mut Vec<GossipAction>) {
        self.refill(now);
        for place in contacts.others() {
            self.follow_incarnation(now, contacts, place, acts);
        }
        let peers: Vec<PeerId> = contacts.others().filter(|p| contacts.is_alive(now, *p)).collect();
        // Each begins with another, lest what is left of the bytes always goes to the same.
        let first = peers.iter().position(|p| *p > self.last_asked).unwrap_or(0);
        let asked = peers.get(first).copied();
        for to in peers[first..].iter().chain(&peers[..first]).copied() {
            let boot = contacts.incarnation_of(to).unwrap_or_default();
            let (known, version) = self.acked[usize::from(to)];
            let after = if known == boot { version } else { 0 };
            let delta = self.delta(now, self.me, after);
            let asks = asked == Some(to);
            let owed = std::mem::take(&mut self.ack_due[usize::from(to)]);
            let knows = match (asks, owed) {
                (true, _) => self.knows().collect(),
                (false, true) => self.knows().filter(|(place, _, _)| *place == to).collect(),
                (false, false) => Vec::new(),
            };
            let exchange = GossipMessage {
                echo: contacts.echo(to),
                knows,
                requests_missing: asks,
                deltas: delta.into_iter().collect(),
            };
            if exchange.requests_missing || !exchange.knows.is_empty() || !exchange.deltas.is_empty() {
                acts.push(GossipAction::Send { to, message: exchange });
            }
        }
        self.last_asked = asked.unwrap_or(self.last_asked);
    }

    /// Forgets what an earlier boot of a front said, once another is heard; of one that is not heard any more others may
    /// have told a later boot.
    fn follow_incarnation(
        &mut self,
        now: Nanos,
        contacts: &MembershipTable,
        place: PeerId,
        acts: &mut Vec<GossipAction>,
    ) {
        let origin = &mut self.origins[usize::from(place)];
        let heard = contacts.incarnation_of(place).filter(|_| contacts.is_alive(now, place));
        if let Some(boot) = heard.filter(|b| *b != origin.incarnation) {
            let said = !origin.entries.is_empty();
            *origin = Origin { incarnation: boot, ..Origin::default() };
            if said {
                acts.push(GossipAction::Dropped(place));
            }
        }
    }

    fn knows(&self) -> impl Iterator<Item = (PeerId, Incarnation, u64)> + '_ {
        let known = self.origins.iter().enumerate().filter(|(_, o)| o.version > 0);
        known.map(|(place, o)| (place as PeerId, o.incarnation, o.version))
    }

    fn refill(&mut self, now: Nanos) {
        let gained =
            i128::from(self.bytes_per_second) * i128::from((now - self.refilled_at).max(0)) / 1_000_000_000;
        self.byte_budget =
            (self.byte_budget + gained.min(i128::from(u32::MAX)) as i64).min(self.bytes_per_second as i64);
        self.refilled_at = now;
    }

    /// What follows a version of a front's entries, as much of it as may go out now.
    fn delta(&mut self, now: Nanos, place: PeerId, after: u64) -> Option<Delta> {
        let origin = &self.origins[usize::from(place)];
        if origin.version <= after {
            return None;
        }
        let mut later: Vec<(&Key, &StoredEntry)> =
            origin.entries.iter().filter(|(_, h)| h.version > after).collect();
        later.sort_unstable_by_key(|(_, h)| h.version);
        let most = self.byte_budget.min(MAX_BYTES as i64);
        let (mut bytes, mut to, mut items) = (ORIGIN_HEAD as i64, after, Vec::new());
        for (key, held) in &later {
            let size = (ENTRY_HEAD + held.value.as_ref().map_or(0, Vec::len)) as i64;
            if bytes + size > most {
                break;
            }
            bytes += size;
            to = held.version;
            let age = (now - held.put_at).max(0) as u64;
            let age_ms = age.div_ceil(MS as u64).min(u64::from(u32::MAX)) as u32;
            items.push(GossipEntry { key: **key, version: held.version, age_ms, value: held.value.clone() });
        }
        if items.len() == later.len() {
            to = origin.version;
        }
        if to == after {
            return None;
        }
        self.byte_budget -= bytes;
        Some(Delta { origin: place, incarnation: origin.incarnation, after, to, entries: items })
    }

    fn receive(
        &mut self,
        now: Nanos,
        contacts: &MembershipTable,
        (from, boot): (PeerId, Incarnation),
        exchange: GossipMessage,
        acts: &mut Vec<GossipAction>,
    ) {
        let GossipMessage { echo, knows, requests_missing: asks, deltas } = exchange;
        // It may have been on its way since then, and no longer.
        let said_at = echo.filter(|(to, _)| *to == contacts.incarnation()).map(|(_, sent)| sent.min(now));
        for delta in deltas {
            let place = delta.origin;
            let learnt = match said_at {
                Some(said_at) => self.apply_delta((now, said_at), contacts, from, delta, acts),
                None => Err(GossipError::NoEcho),
            };
            if let Err(why) = learnt {
                acts.push(GossipAction::Rejected(why));
            } else if place == from {
                self.ack_due[usize::from(from)] = true;
            }
        }
        let own = &self.origins[usize::from(self.me)];
        let said = knows.iter().find(|(place, b, _)| *place == self.me && *b == own.incarnation);
        let said = said.map(|(_, _, version)| (*version).min(own.version));
        // Who says all that it knows, and names nothing of this front's, has nothing: it may have dropped what it had.
        if let Some(version) = said.or(asks.then_some(0)) {
            self.acked[usize::from(from)] = (boot, version);
        }
        if !asks {
            return;
        }
        self.refill(now);
        let mut lacking = Vec::new();
        for place in (0..self.origins.len() as PeerId).filter(|p| *p != from) {
            let held = &self.origins[usize::from(place)];
            // A front is not told of another boot than the one that it hears itself, if it hears one: it refuses that.
            let known = knows.iter().find(|(p, b, _)| *p == place && *b == held.incarnation);
            let after = known.map_or(0, |(_, _, version)| *version);
            if place == self.me || contacts.is_alive(now, place) {
                lacking.extend(self.delta(now, place, after));
            }
        }
        if !lacking.is_empty() {
            let exchange =
                GossipMessage { echo: contacts.echo(from), deltas: lacking, ..GossipMessage::default() };
            acts.push(GossipAction::Send { to: from, message: exchange });
        }
    }

    fn apply_delta(
        &mut self,
        (now, said_at): (Nanos, Nanos),
        contacts: &MembershipTable,
        from: PeerId,
        delta: Delta,
        acts: &mut Vec<GossipAction>,
    ) -> Result<(), GossipError> {
        let place = delta.origin;
        if place == self.me || usize::from(place) >= self.origins.len() {
            return Err(GossipError::UnknownOrigin);
        }
        // Of a front that is heard its own word says which boot counts; of another, the word of who hears it.
        let counts = match contacts.incarnation_of(place) {
            Some(boot) if contacts.is_alive(now, place) => delta.incarnation == boot,
            _ => place != from,
        };
        if !counts {
            return Err(GossipError::StaleIncarnation);
        }
        let order = delta.entries.windows(2).all(|pair| pair[0].version < pair[1].version);
        let inside = delta.entries.iter().all(|item| {
            let long = item.value.as_ref().is_some_and(|v| v.len() > MAX_VALUE);
            item.version > delta.after && item.version <= delta.to && !long
        });
        if !order || !inside || delta.entries.len() > MAX_ENTRIES {
            return Err(GossipError::OutOfBounds);
        }
        let held = &self.origins[usize::from(place)];
        let same = held.incarnation == delta.incarnation;
        if delta.after > if same { held.version } else { 0 } {
            return Err(GossipError::MissingVersions);
        }
        let fresh = |key: &Key| !same || !held.entries.contains_key(key);
        let more = delta.entries.iter().filter(|item| fresh(&item.key)).count();
        if more + if same { held.entries.len() } else { 0 } > MAX_ENTRIES {
            return Err(GossipError::OutOfBounds);
        }
        let held = &mut self.origins[usize::from(place)];
        if !same {
            let said = !held.entries.is_empty();
            *held = Origin { incarnation: delta.incarnation, ..Origin::default() };
            if said {
                acts.push(GossipAction::Dropped(place));
            }
        }
        for item in delta.entries {
            if held.entries.get(&item.key).is_some_and(|h| h.version >= item.version) {
                continue;
            }
            let put_at = said_at - Nanos::from(item.age_ms) * MS;
            held.entries.insert(item.key, StoredEntry { version: item.version, put_at, value: item.value });
            acts.push(GossipAction::Changed(place, item.key));
        }
        held.version = held.version.max(delta.to);
        Ok(())
    }
}
