//! Small entries that each front tells all others: newest by origin and boot, bounded in number, size and bytes a
//! second, carried round bad links.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::{Boot, Contacts, Nanos, Place};

/// Most entries of one front, those that were taken away counted.
pub const MOST_ENTRIES: usize = 4_096;
/// Most bytes of a value.
pub const MOST_VALUE: usize = 512;
/// Most bytes of entries in one message, well inside a datagram.
const MOST_BYTES: usize = 24_000;
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
pub struct Item {
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
    pub origin: Place,
    /// Its boot.
    pub boot: Boot,
    /// They follow this version.
    pub after: u64,
    /// With them all is known up to this version.
    pub to: u64,
    /// The entries.
    pub items: Vec<Item>,
}

/// From one front to another.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Exchange {
    /// The latest that the sender had heard of the receiver: its boot, and when that was sent, by the receiver's clock.
    /// All that is said here was said later.
    pub echo: Option<(Boot, Nanos)>,
    /// Up to which version the sender knows whose entries, by boot.
    pub knows: Vec<(Place, Boot, u64)>,
    /// Whether that is all it knows, and it asks for the rest.
    pub asks: bool,
    /// Entries.
    pub deltas: Vec<Delta>,
}

/// What happens.
#[derive(Clone, Debug)]
pub enum Told {
    /// An entry of this front's own; without a value it is taken away.
    Put(Key, Option<Vec<u8>>),
    /// A round is due.
    Round,
    /// A message came, whose sender and integrity are proven.
    Heard {
        /// From whom.
        from: Place,
        /// The sender's boot.
        boot: Boot,
        /// What it says.
        exchange: Exchange,
    },
}

/// What is to be done.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Act {
    /// A message goes to a front.
    Send {
        /// Which.
        to: Place,
        /// The message.
        exchange: Exchange,
    },
    /// A front's entry is another than before, or gone.
    Changed(Place, Key),
    /// All that a front's earlier boot said counts no more.
    Dropped(Place),
    /// Part of a message that came was not taken.
    Refused(Refusal),
}

/// Why part of a message is not taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// Of a boot that does not count.
    Boot,
    /// Something before it is not known.
    Gap,
    /// Too many, too long, or out of order.
    Bounds,
    /// Of no front of the roster, or of this one.
    Place,
    /// Nothing tells when it was said.
    Echo,
}

/// An entry that is held.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Held {
    version: u64,
    put_at: Nanos,
    value: Option<Vec<u8>>,
}

/// All that is known of one boot of a front.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
struct Origin {
    boot: Boot,
    /// All is known up to this version.
    version: u64,
    entries: BTreeMap<Key, Held>,
}

/// Why an entry cannot be put.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum EntryError {
    /// Too many keys.
    #[error("a front may have {MOST_ENTRIES} entries")]
    Many,
    /// Too long a value.
    #[error("an entry may have {MOST_VALUE} bytes")]
    Long,
}

/// What a front tells, and what it was told.
#[derive(Clone, Debug)]
pub struct Entries {
    me: Place,
    origins: Vec<Origin>,
    /// By front: its boot, and up to which version it has said that it knows this front's entries.
    acked: Vec<(Boot, u64)>,
    /// Whom to tell what is known of its entries.
    owed: Vec<bool>,
    /// Whom to ask next for all that is lacking.
    next: Place,
    /// Bytes a second, and what is left of them.
    rate: u64,
    left: i64,
    filled_at: Nanos,
}

impl Entries {
    /// For the front at a place among so many, which sends at most so many bytes of entries a second.
    pub fn new(me: Place, fronts: Place, boot: Boot, rate: u64, now: Nanos) -> Entries {
        let mut origins = vec![Origin::default(); usize::from(fronts)];
        origins[usize::from(me)].boot = boot;
        let count = usize::from(fronts);
        let (acked, owed) = (vec![(0, 0); count], vec![false; count]);
        Entries { me, origins, acked, owed, next: me, rate, left: rate as i64, filled_at: now }
    }

    /// Sends at most so many bytes of entries a second from now on.
    pub fn retune(&mut self, rate: u64) {
        (self.rate, self.left) = (rate, self.left.min(rate as i64));
    }

    /// The same under another roster, by which only this front's own entries are known.
    #[must_use]
    pub fn renewed(&self, me: Place, fronts: Place, now: Nanos) -> Entries {
        let own = self.origins[usize::from(self.me)].clone();
        let mut fresh = Entries::new(me, fronts, own.boot, self.rate, now);
        (fresh.left, fresh.origins[usize::from(me)]) = (self.left, own);
        fresh
    }

    /// Takes what happens. `contacts` says which boots count.
    ///
    /// # Errors
    /// Where an entry of this front's own cannot be put; nothing is changed then.
    pub fn on(
        &mut self,
        now: Nanos,
        contacts: &Contacts,
        told: Told,
        acts: &mut Vec<Act>,
    ) -> Result<(), EntryError> {
        match told {
            Told::Put(key, value) => return self.put(now, key, value),
            Told::Round => self.round(now, contacts, acts),
            Told::Heard { from, boot, exchange } => {
                if contacts.boot_of(from) == Some(boot) && contacts.is_alive(now, from) {
                    self.heard(now, contacts, (from, boot), exchange, acts);
                } else {
                    acts.push(Act::Refused(Refusal::Boot));
                }
            }
        }
        Ok(())
    }

    /// A front's entry, with how long ago it was put at the most.
    pub fn get(&self, now: Nanos, origin: Place, key: Key) -> Option<(&[u8], Nanos)> {
        let held = self.origins.get(usize::from(origin))?.entries.get(&key)?;
        held.value.as_deref().map(|value| (value, now - held.put_at))
    }

    /// All entries of a kind, with their origin, its boot, and how long ago each was put at the most.
    pub fn all(&self, now: Nanos, kind: u8) -> impl Iterator<Item = (Place, Boot, u64, &[u8], Nanos)> + '_ {
        let (from, to) = (Key { kind, id: 0 }, Key { kind, id: u64::MAX });
        self.origins.iter().enumerate().flat_map(move |(place, origin)| {
            origin.entries.range(from..=to).filter_map(move |(key, held)| {
                let value = held.value.as_deref()?;
                Some((place as Place, origin.boot, key.id, value, now - held.put_at))
            })
        })
    }

    /// Up to which version all is known of a front's entries, and of which boot.
    pub fn known(&self, origin: Place) -> Option<(Boot, u64)> {
        self.origins.get(usize::from(origin)).map(|o| (o.boot, o.version))
    }

    fn put(&mut self, now: Nanos, key: Key, value: Option<Vec<u8>>) -> Result<(), EntryError> {
        let own = &mut self.origins[usize::from(self.me)];
        if value.as_ref().is_some_and(|v| v.len() > MOST_VALUE) {
            return Err(EntryError::Long);
        }
        if !own.entries.contains_key(&key) {
            match value {
                None => return Ok(()),
                Some(_) if own.entries.len() >= MOST_ENTRIES => return Err(EntryError::Many),
                Some(_) => {}
            }
        }
        own.version += 1;
        own.entries.insert(key, Held { version: own.version, put_at: now, value });
        Ok(())
    }

    fn round(&mut self, now: Nanos, contacts: &Contacts, acts: &mut Vec<Act>) {
        self.fill(now);
        for place in contacts.others() {
            self.follow(now, contacts, place, acts);
        }
        let peers: Vec<Place> = contacts.others().filter(|p| contacts.is_alive(now, *p)).collect();
        // Each begins with another, lest what is left of the bytes always goes to the same.
        let first = peers.iter().position(|p| *p > self.next).unwrap_or(0);
        let asked = peers.get(first).copied();
        for to in peers[first..].iter().chain(&peers[..first]).copied() {
            let boot = contacts.boot_of(to).unwrap_or_default();
            let (known, version) = self.acked[usize::from(to)];
            let after = if known == boot { version } else { 0 };
            let delta = self.delta(now, self.me, after);
            let asks = asked == Some(to);
            let owed = std::mem::take(&mut self.owed[usize::from(to)]);
            let knows = match (asks, owed) {
                (true, _) => self.knows().collect(),
                (false, true) => self.knows().filter(|(place, _, _)| *place == to).collect(),
                (false, false) => Vec::new(),
            };
            let exchange =
                Exchange { echo: contacts.echo(to), knows, asks, deltas: delta.into_iter().collect() };
            if exchange.asks || !exchange.knows.is_empty() || !exchange.deltas.is_empty() {
                acts.push(Act::Send { to, exchange });
            }
        }
        self.next = asked.unwrap_or(self.next);
    }

    /// Forgets what an earlier boot of a front said, once another is heard; of one that is not heard any more others may
    /// have told a later boot.
    fn follow(&mut self, now: Nanos, contacts: &Contacts, place: Place, acts: &mut Vec<Act>) {
        let origin = &mut self.origins[usize::from(place)];
        let heard = contacts.boot_of(place).filter(|_| contacts.is_alive(now, place));
        if let Some(boot) = heard.filter(|b| *b != origin.boot) {
            let said = !origin.entries.is_empty();
            *origin = Origin { boot, ..Origin::default() };
            if said {
                acts.push(Act::Dropped(place));
            }
        }
    }

    fn knows(&self) -> impl Iterator<Item = (Place, Boot, u64)> + '_ {
        let known = self.origins.iter().enumerate().filter(|(_, o)| o.version > 0);
        known.map(|(place, o)| (place as Place, o.boot, o.version))
    }

    fn fill(&mut self, now: Nanos) {
        let gained = i128::from(self.rate) * i128::from((now - self.filled_at).max(0)) / 1_000_000_000;
        self.left = (self.left + gained.min(i128::from(u32::MAX)) as i64).min(self.rate as i64);
        self.filled_at = now;
    }

    /// What follows a version of a front's entries, as much of it as may go out now.
    fn delta(&mut self, now: Nanos, place: Place, after: u64) -> Option<Delta> {
        let origin = &self.origins[usize::from(place)];
        if origin.version <= after {
            return None;
        }
        let mut later: Vec<(&Key, &Held)> =
            origin.entries.iter().filter(|(_, h)| h.version > after).collect();
        later.sort_unstable_by_key(|(_, h)| h.version);
        let most = self.left.min(MOST_BYTES as i64);
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
            items.push(Item { key: **key, version: held.version, age_ms, value: held.value.clone() });
        }
        if items.len() == later.len() {
            to = origin.version;
        }
        if to == after {
            return None;
        }
        self.left -= bytes;
        Some(Delta { origin: place, boot: origin.boot, after, to, items })
    }

    fn heard(
        &mut self,
        now: Nanos,
        contacts: &Contacts,
        (from, boot): (Place, Boot),
        exchange: Exchange,
        acts: &mut Vec<Act>,
    ) {
        let Exchange { echo, knows, asks, deltas } = exchange;
        // It may have been on its way since then, and no longer.
        let said_at = echo.filter(|(to, _)| *to == contacts.boot()).map(|(_, sent)| sent.min(now));
        for delta in deltas {
            let place = delta.origin;
            let learnt = match said_at {
                Some(said_at) => self.learn((now, said_at), contacts, from, delta, acts),
                None => Err(Refusal::Echo),
            };
            if let Err(why) = learnt {
                acts.push(Act::Refused(why));
            } else if place == from {
                self.owed[usize::from(from)] = true;
            }
        }
        let own = &self.origins[usize::from(self.me)];
        let said = knows.iter().find(|(place, b, _)| *place == self.me && *b == own.boot);
        let said = said.map(|(_, _, version)| (*version).min(own.version));
        // Who says all that it knows, and names nothing of this front's, has nothing: it may have dropped what it had.
        if let Some(version) = said.or(asks.then_some(0)) {
            self.acked[usize::from(from)] = (boot, version);
        }
        if !asks {
            return;
        }
        self.fill(now);
        let mut lacking = Vec::new();
        for place in (0..self.origins.len() as Place).filter(|p| *p != from) {
            let held = &self.origins[usize::from(place)];
            // A front is not told of another boot than the one that it hears itself, if it hears one: it refuses that.
            let known = knows.iter().find(|(p, b, _)| *p == place && *b == held.boot);
            let after = known.map_or(0, |(_, _, version)| *version);
            if place == self.me || contacts.is_alive(now, place) {
                lacking.extend(self.delta(now, place, after));
            }
        }
        if !lacking.is_empty() {
            let exchange = Exchange { echo: contacts.echo(from), deltas: lacking, ..Exchange::default() };
            acts.push(Act::Send { to: from, exchange });
        }
    }

    fn learn(
        &mut self,
        (now, said_at): (Nanos, Nanos),
        contacts: &Contacts,
        from: Place,
        delta: Delta,
        acts: &mut Vec<Act>,
    ) -> Result<(), Refusal> {
        let place = delta.origin;
        if place == self.me || usize::from(place) >= self.origins.len() {
            return Err(Refusal::Place);
        }
        // Of a front that is heard its own word says which boot counts; of another, the word of who hears it.
        let counts = match contacts.boot_of(place) {
            Some(boot) if contacts.is_alive(now, place) => delta.boot == boot,
            _ => place != from,
        };
        if !counts {
            return Err(Refusal::Boot);
        }
        let order = delta.items.windows(2).all(|pair| pair[0].version < pair[1].version);
        let inside = delta.items.iter().all(|item| {
            let long = item.value.as_ref().is_some_and(|v| v.len() > MOST_VALUE);
            item.version > delta.after && item.version <= delta.to && !long
        });
        if !order || !inside || delta.items.len() > MOST_ENTRIES {
            return Err(Refusal::Bounds);
        }
        let held = &self.origins[usize::from(place)];
        let same = held.boot == delta.boot;
        if delta.after > if same { held.version } else { 0 } {
            return Err(Refusal::Gap);
        }
        let fresh = |key: &Key| !same || !held.entries.contains_key(key);
        let more = delta.items.iter().filter(|item| fresh(&item.key)).count();
        if more + if same { held.entries.len() } else { 0 } > MOST_ENTRIES {
            return Err(Refusal::Bounds);
        }
        let held = &mut self.origins[usize::from(place)];
        if !same {
            let said = !held.entries.is_empty();
            *held = Origin { boot: delta.boot, ..Origin::default() };
            if said {
                acts.push(Act::Dropped(place));
            }
        }
        for item in delta.items {
            if held.entries.get(&item.key).is_some_and(|h| h.version >= item.version) {
                continue;
            }
            let put_at = said_at - Nanos::from(item.age_ms) * MS;
            held.entries.insert(item.key, Held { version: item.version, put_at, value: item.value });
            acts.push(Act::Changed(place, item.key));
        }
        held.version = held.version.max(delta.to);
        Ok(())
    }
}
