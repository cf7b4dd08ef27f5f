//! A simulation of the gossip between fronts.
//!
//! What each front holds of another must be what that one wrote, must never go back to something
//! older, and must be the same everywhere once all faults are healed.

mod history;
mod report;

use std::collections::BTreeMap;
use std::convert::Infallible;

use fastrand::Rng;
use tulipbridge_membership::{
    Delta, EntryKey, GossipAction, Incarnation, KnownVersion, Nanos, PeerId,
};

use self::history::WriteHistory;
pub use self::report::GossipReport;
use super::fleet::{Event, OverlappingPauses, SimulatedFleet, SimulatedFront};
use super::network::{nanos, MILLISECOND};
use super::peer::{Envelope, Peer, PeerMessage, PEER_TIMEOUT, ROUND_INTERVAL};
use crate::schedule::Schedule;

/// Gossip bytes a second of each front; low, so that the limit binds.
const GOSSIP_RATE: u64 = 4_000;
/// Keys that each front writes.
const KEYS: u64 = 12;
/// An upper estimate of the bytes of one entry in a message.
const MAX_ENTRY_BYTES: u64 = 60;
/// The window in which the bytes that a front sends are counted.
const RATE_WINDOW: Nanos = 1_000 * MILLISECOND;
/// Distinguishes the random choices here from those of other simulations of the same schedule.
const SEED_SALT: u64 = 0xe27;

/// Gossip that a front sent.
struct SentGossip {
    at: Nanos,
    bytes: u64,
}

/// What a front of this simulation has beside its peer.
#[derive(Default)]
struct FrontState {
    /// The version of this front's latest write.
    written: u64,
    /// By origin, what was last known here.
    known: BTreeMap<PeerId, KnownVersion>,
    /// Gossip of the last second.
    sent: Vec<SentGossip>,
}

/// The state of a simulation.
struct GossipSimulation<'a> {
    fleet: SimulatedFleet<'a, FrontState, Infallible>,
    history: WriteHistory,
    report: GossipReport,
}

/// Simulates a schedule.
pub fn run(schedule: &Schedule) -> GossipReport {
    let rng = Rng::with_seed(schedule.seed ^ SEED_SALT);
    let mut fleet = SimulatedFleet::new(schedule, rng, OverlappingPauses::LastWins);
    fleet.schedule_faults();
    let end = fleet.end_of_faults();
    let history = WriteHistory::default();
    let mut simulation = GossipSimulation {
        fleet,
        history,
        report: GossipReport::default(),
    };
    simulation.run_until(end);
    simulation.fleet.recover();
    simulation.run_until(end + convergence_time(schedule.fronts));
    simulation.check_convergence();
    simulation.report
}

/// How long a healthy fleet may take until all fronts hold the same: until unconfirmed incarnations
/// are forgotten and the current ones confirmed, then a round for each front that may be polled,
/// and the time in which the byte rate lets all entries through that may be new.
fn convergence_time(fronts: usize) -> Nanos {
    let bytes = (fronts * fronts) as u64 * KEYS * MAX_ENTRY_BYTES;
    let transfer = (bytes * 1_000_000_000 / GOSSIP_RATE) as Nanos;
    4 * PEER_TIMEOUT + fronts as Nanos * ROUND_INTERVAL * 21 / 20 + transfer
}

impl GossipSimulation<'_> {
    /// Handles all events that are due until a time.
    fn run_until(&mut self, deadline: Nanos) {
        while let Some(event) = self.fleet.next_event(deadline) {
            match event {
                Event::Start(front) => self.start(front),
                Event::Round(front, incarnation) => self.round(front, incarnation),
                Event::Deliver(envelope) => self.deliver(envelope),
                Event::Fault(number) => self.fleet.inject_step(number),
                Event::Custom(never) => match never {},
            }
        }
    }

    /// Starts a front with a new incarnation, unless it runs.
    fn start(&mut self, front: usize) {
        if self.fleet.fronts[front].is_some() {
            return;
        }
        let peer = self.fleet.new_peer(front, GOSSIP_RATE);
        let incarnation = peer.incarnation;
        let running = SimulatedFront {
            peer,
            state: FrontState::default(),
        };
        self.fleet.fronts[front] = Some(running);
        self.fleet
            .events
            .schedule(self.fleet.now, Event::Round(front, incarnation));
    }

    /// A round of a front: a write now and then, heartbeats and gossip. A paused front does nothing.
    fn round(&mut self, front: usize, incarnation: Incarnation) {
        let now = self.fleet.now;
        let Some(running) = self.fleet.front_with_incarnation(front, incarnation) else {
            return;
        };
        let paused_until = running.peer.paused_until;
        let jitter = self.fleet.rng.i64(-20..20) * MILLISECOND;
        let next_round = paused_until.max(now + ROUND_INTERVAL + jitter);
        if now >= paused_until {
            self.write_sometimes(front);
            self.gossip_round(front);
        }
        self.fleet
            .events
            .schedule(next_round, Event::Round(front, incarnation));
    }

    /// Writes or removes an entry in every third round or so, while the schedule lasts.
    fn write_sometimes(&mut self, front: usize) {
        let now = self.fleet.now;
        let rng = &mut self.fleet.rng;
        if rng.u8(0..3) != 0 || now >= nanos(self.fleet.schedule.duration) {
            return;
        }
        let key = entry_key(rng.u64(0..KEYS));
        let value = (rng.u8(0..5) > 0).then(|| vec![rng.u8(..); rng.usize(0..60)]);
        let Some(running) = &mut self.fleet.fronts[front] else {
            return;
        };
        let version = |peer: &Peer| {
            peer.gossip
                .known(PeerId::from_index(front))
                .map_or(0, |known| known.version)
        };
        let before = version(&running.peer);
        running.peer.put(now, key, value.clone());
        let after = version(&running.peer);
        if after > before {
            running.state.written = after;
            self.history
                .record(running.peer.incarnation, after, key, value, now);
        }
    }

    /// Sends the heartbeats and the gossip of a round.
    fn gossip_round(&mut self, front: usize) {
        let now = self.fleet.now;
        let Some(running) = &mut self.fleet.fronts[front] else {
            return;
        };
        let heartbeats = running.peer.heartbeats(now);
        let actions = running.peer.gossip_round(now);
        self.fleet.send_all(front, heartbeats);
        self.apply(front, actions);
    }

    /// Carries out the actions of a front's gossip store.
    fn apply(&mut self, front: usize, actions: Vec<GossipAction>) {
        for action in actions {
            match action {
                GossipAction::Send { to, message } => {
                    let bytes = message
                        .deltas
                        .iter()
                        .map(|delta| encoded_size(delta) as u64)
                        .sum();
                    self.count_sent(front, bytes);
                    self.report.messages += 1;
                    self.fleet.send(front, to, PeerMessage::Gossip(message));
                }
                GossipAction::Changed(..) => self.report.entries_learned += 1,
                GossipAction::Dropped(_) | GossipAction::Rejected(_) => {}
            }
        }
    }

    /// Counts bytes that a front sends, over the last second.
    fn count_sent(&mut self, front: usize, bytes: u64) {
        let now = self.fleet.now;
        let Some(running) = &mut self.fleet.fronts[front] else {
            return;
        };
        running
            .state
            .sent
            .retain(|sent| sent.at > now - RATE_WINDOW);
        running.state.sent.push(SentGossip { at: now, bytes });
        let sum = running.state.sent.iter().map(|sent| sent.bytes).sum();
        self.report.max_bytes_per_second = self.report.max_bytes_per_second.max(sum);
    }

    /// Delivers a message and checks what its receiver holds then.
    fn deliver(&mut self, envelope: Envelope) {
        let to = envelope.to;
        let Some(actions) = self.fleet.deliver(envelope) else {
            return;
        };
        self.apply(to, actions);
        self.check_entries(to);
    }

    /// Checks that what a front holds was written by that incarnation under that version, and that
    /// versions only grow.
    fn check_entries(&mut self, front: usize) {
        let now = self.fleet.now;
        let Some(running) = &mut self.fleet.fronts[front] else {
            return;
        };
        for origin in running.peer.membership.others() {
            let Some(known) = running.peer.gossip.known(origin) else {
                continue;
            };
            let previous = running.state.known.insert(origin, known);
            let went_back = previous.is_some_and(|previous| {
                previous.incarnation == known.incarnation && known.version < previous.version
            });
            self.report.inconsistent |= went_back;
            for id in 0..KEYS {
                let key = entry_key(id);
                let entry = running.peer.gossip.get(now, origin, key);
                let writes = self.history.of_key(known.incarnation, known.version, key);
                self.report.age_understated |= writes.understates_age(entry, now);
                let value = entry.map(|entry| entry.value);
                self.report.inconsistent |= known.version > 0 && !writes.allows(value);
            }
        }
    }

    /// Checks that every running front holds all that every running front has written.
    fn check_convergence(&mut self) {
        let fronts = &self.fleet.fronts;
        let running = || {
            fronts
                .iter()
                .enumerate()
                .filter_map(|(index, front)| Some((index, front.as_ref()?)))
        };
        for (index, front) in running() {
            for (origin, writer) in
                running().filter(|(origin, writer)| *origin != index && writer.state.written > 0)
            {
                let expected = Some(KnownVersion {
                    origin: PeerId::from_index(origin),
                    incarnation: writer.peer.incarnation,
                    version: writer.state.written,
                });
                let known = front.peer.gossip.known(PeerId::from_index(origin));
                self.report.not_converged |= known != expected;
            }
        }
    }
}

/// The key of an entry with a number below [`KEYS`].
fn entry_key(id: u64) -> EntryKey {
    EntryKey { kind: 1, id }
}

/// How many bytes a delta takes in a message.
fn encoded_size(delta: &Delta) -> usize {
    postcard::to_stdvec(delta).map_or(usize::MAX, |bytes| bytes.len())
}
