//! What the simulations share: what is due when, links that a schedule breaks, and what fronts say to each other of
//! themselves and their entries.

use std::collections::BTreeMap;

use fastrand::Rng;
use tulipbridge_membership::{
    GossipAction, GossipInput, GossipMessage, GossipStore, Incarnation, MembershipTable, Nanos, PeerId,
    PeerState,
};

use crate::schedule::{Fault, Millis};

/// A millisecond.
pub const MS: Nanos = 1_000_000;
/// Between two rounds of a front.
pub const BEAT: Nanos = 200 * MS;
/// How long a front counts as heard.
pub const LIFE: Nanos = 2_000 * MS;

/// What is due when; of one moment, what was put down first.
pub struct Agenda<D> {
    due: BTreeMap<(Nanos, u64), D>,
    number: u64,
}

impl<D> Agenda<D> {
    /// Nothing is due.
    pub fn new() -> Agenda<D> {
        Agenda { due: BTreeMap::new(), number: 0 }
    }

    /// Puts something down.
    pub fn put(&mut self, at: Nanos, due: D) {
        self.number += 1;
        self.due.insert((at, self.number), due);
    }

    /// Takes the next that is due by then.
    pub fn next(&mut self, by: Nanos) -> Option<(Nanos, D)> {
        let entry = self.due.first_entry().filter(|first| first.key().0 <= by)?;
        let ((at, _), due) = entry.remove_entry();
        Some((at, due))
    }
}

impl<D> Default for Agenda<D> {
    fn default() -> Agenda<D> {
        Agenda::new()
    }
}

/// Links between fronts, one for each way.
pub struct Links {
    cut: Vec<Vec<bool>>,
    weather: (u8, u8, Millis),
}

impl Links {
    /// Whole ones, between so many fronts.
    pub fn new(fronts: usize) -> Links {
        Links { cut: vec![vec![false; fronts]; fronts], weather: (0, 0, 2) }
    }

    /// Does what a fault does to links, if anything.
    pub fn strike(&mut self, fault: &Fault) {
        match fault {
            Fault::Cut { from, to } => self.cut[*from][*to] = true,
            Fault::Split { side } => {
                for (from, row) in self.cut.iter_mut().enumerate() {
                    for (to, cut) in row.iter_mut().enumerate() {
                        *cut = side.contains(&from) != side.contains(&to);
                    }
                }
            }
            Fault::Heal => self.cut.iter_mut().for_each(|row| row.fill(false)),
            Fault::Weather { lost, repeated, late } => self.weather = (*lost, *repeated, *late),
            _ => {}
        }
    }

    /// All is whole again, and calm.
    pub fn mend(&mut self) {
        *self = Links::new(self.cut.len());
    }

    /// How long each copy of a message is on its way that arrives at all.
    pub fn copies(&self, lot: &mut Rng, from: usize, to: usize) -> Vec<Nanos> {
        let (lost, repeated, late) = self.weather;
        if self.cut[from][to] {
            return Vec::new();
        }
        let copies = 1 + usize::from(lot.u8(0..100) < repeated);
        let way = |_| {
            let arrives = lot.u8(0..100) >= lost;
            arrives.then(|| lot.u64(50_000..=(late * 1_000_000).max(100_000)) as Nanos)
        };
        (0..copies).filter_map(way).collect()
    }
}

/// A message between fronts.
#[derive(Clone, Debug)]
pub enum Said {
    /// What a front says of itself.
    Hello(PeerState),
    /// Entries.
    Entries(GossipMessage),
}

/// A message on its way.
#[derive(Clone, Debug)]
pub struct Message {
    /// Where to.
    pub to: usize,
    /// Where from.
    pub from: PeerId,
    /// The sender's boot.
    pub boot: Incarnation,
    /// What it says.
    pub said: Said,
}

/// What each front of a simulation has, whatever else it runs: who is there, and entries.
pub struct Peer {
    /// This run.
    pub boot: Incarnation,
    /// Who is there.
    pub contacts: MembershipTable,
    /// Entries.
    pub entries: GossipStore,
    /// It stands still until then.
    pub stopped_until: Nanos,
}

impl Peer {
    /// One that has just started, which sends so many bytes of entries a second.
    pub fn new(me: usize, fronts: usize, boot: Incarnation, rate: u64, now: Nanos) -> Peer {
        let (place, count) = (me as PeerId, fronts as PeerId);
        Peer {
            boot,
            contacts: MembershipTable::new(place, count, boot, LIFE),
            entries: GossipStore::new(place, count, boot, rate, now),
            stopped_until: 0,
        }
    }

    /// A round begins: what the front says of itself to each other.
    pub fn hellos(&mut self, now: Nanos) -> Vec<(PeerId, Said)> {
        self.contacts.begin_round(now);
        self.contacts.others().map(|to| (to, Said::Hello(self.contacts.state_for(now, to)))).collect()
    }

    /// The round of its entries.
    pub fn round(&mut self, now: Nanos) -> Vec<GossipAction> {
        let mut acts = Vec::new();
        let _ = self.entries.on(now, &self.contacts, GossipInput::Round, &mut acts);
        acts
    }

    /// Takes a message.
    pub fn hear(&mut self, now: Nanos, from: PeerId, boot: Incarnation, said: Said) -> Vec<GossipAction> {
        let mut acts = Vec::new();
        match said {
            Said::Hello(hello) => {
                self.contacts.receive(now, from, boot, &hello);
            }
            Said::Entries(exchange) => {
                let told = GossipInput::Received { from, incarnation: boot, message: exchange };
                let _ = self.entries.on(now, &self.contacts, told, &mut acts);
            }
        }
        acts
    }
}
