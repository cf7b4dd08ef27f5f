//! What sharing limits costs a front: bytes and processor time a second, memory, and how long it
//! takes until every front knows that one has died. All coordinators of a fleet run in one process,
//! in step, and nothing fails but one front.

use std::time::Instant;

use serde::Serialize;
use tulipbridge_fleet_limits::{
    Effect, Event, Heartbeat, Incarnation, Limit, LimitCoordinator, LimitsConfig, Nanos, PeerId,
};
use tulipbridge_membership::{EnvelopeCodec, EnvelopeError, PeerStatus};

/// The key of the messages.
const KEY: &[u8] = b"a key for measuring, of no use else";
/// Rounds until each front issues leases.
const WARM_UP_ROUNDS: u32 = 16;
/// Units that are demanded of each volume in each round.
const UNITS_PER_ROUND: f64 = 2.0;
/// How long the death of a front may take to be known.
const DETECTION_TIMEOUT: Nanos = 60_000_000_000;
/// Nanoseconds in a second.
const SECOND: f64 = 1e9;
/// Kilobytes in a memory page.
const PAGE_KB: f64 = 4.096;
/// The front that dies.
const VICTIM: usize = 0;

/// What was measured. The serialized names are those of stored results.
#[derive(Clone, Debug, Serialize)]
pub struct Cost {
    /// How many fronts there were.
    pub fronts: u16,
    /// For how many volumes each had demand.
    pub volumes: u64,
    /// Bytes a second that a front sends.
    #[serde(rename = "bytes")]
    pub bytes_per_second: f64,
    /// Datagrams a second that a front sends.
    #[serde(rename = "datagrams")]
    pub datagrams_per_second: f64,
    /// The fraction of one core that a front's coordinator and the authentication of its messages
    /// take.
    #[serde(rename = "core")]
    pub core_fraction: f64,
    /// Resident memory of each front, in KB.
    pub memory_kb: f64,
    /// Milliseconds from a front's death until every other front knows of it.
    #[serde(rename = "known_ms")]
    pub detection_ms: f64,
}

/// Resident memory of this process in KB; 0 if the system does not tell.
fn resident_kb() -> f64 {
    let statistics = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = statistics
        .split(' ')
        .nth(1)
        .and_then(|pages| pages.parse::<f64>().ok());
    pages.unwrap_or(0.0) * PAGE_KB
}

/// The coordinators of a fleet, which exchange messages without any network.
struct Fleet {
    coordinators: Vec<LimitCoordinator>,
    codec: EnvelopeCodec,
    volumes: u64,
    now: Nanos,
    heartbeat_interval: Nanos,
    bytes_sent: usize,
    datagrams_sent: u64,
}

impl Fleet {
    /// A fleet in which every front demands units of every volume.
    fn new(fronts: u16, volumes: u64) -> Result<Fleet, EnvelopeError> {
        let codec = EnvelopeCodec::new(KEY)?;
        let coordinator = |front: PeerId| {
            let config = LimitsConfig::new(front, fronts, 1);
            LimitCoordinator::new(config, Incarnation(u64::from(front.0) + 1), 0)
                .expect("the configuration is valid")
        };
        let coordinators: Vec<LimitCoordinator> = PeerId::all(fronts).map(coordinator).collect();
        let heartbeat_interval = coordinators[VICTIM].config().heartbeat_interval;
        Ok(Fleet {
            coordinators,
            codec,
            volumes,
            now: 0,
            heartbeat_interval,
            bytes_sent: 0,
            datagrams_sent: 0,
        })
    }

    /// One round of all fronts that are alive: demand, then a heartbeat to each other.
    fn round(&mut self, is_alive: impl Fn(usize) -> bool) -> Result<(), EnvelopeError> {
        self.now += self.heartbeat_interval;
        for front in (0..self.coordinators.len()).filter(|front| is_alive(*front)) {
            for volume in 0..self.volumes {
                let event = Event::Demanded {
                    limit: Limit::Volume(volume),
                    units: UNITS_PER_ROUND,
                };
                self.coordinators[front].on(self.now, event, &mut Vec::new());
            }
            let mut effects = Vec::new();
            self.coordinators[front].on(self.now, Event::HeartbeatDue, &mut effects);
            for effect in effects {
                if let Effect::Send { to, heartbeat } = effect {
                    self.send(front, to.index(), &heartbeat, &is_alive)?;
                }
            }
        }
        Ok(())
    }

    /// Encodes a heartbeat, counts it, and delivers it at once.
    fn send(
        &mut self,
        from: usize,
        to: usize,
        heartbeat: &Heartbeat,
        is_alive: &impl Fn(usize) -> bool,
    ) -> Result<(), EnvelopeError> {
        let incarnation = self.coordinators[from].incarnation();
        let sealed = self
            .codec
            .seal(PeerId::from_index(from), incarnation, heartbeat)?;
        self.bytes_sent += sealed.len();
        self.datagrams_sent += 1;
        if is_alive(to) {
            let opened = self.codec.open::<Heartbeat>(&sealed)?;
            let heartbeat = Box::new(opened.message);
            let event = Event::HeartbeatReceived {
                from: opened.from,
                incarnation,
                heartbeat,
            };
            self.coordinators[to].on(self.now, event, &mut Vec::new());
        }
        Ok(())
    }

    /// Whether every other front knows that the victim has died.
    fn has_detected_death(&self) -> bool {
        let others = self.coordinators.iter().skip(VICTIM + 1);
        others.into_iter().all(|front| {
            front.members().status(self.now, PeerId::from_index(VICTIM)) == PeerStatus::Dead
        })
    }
}

/// Measures a fleet of so many fronts with demand for so many volumes each, over so many rounds.
///
/// # Errors
/// If a message would be too long.
pub fn measure(fronts: u16, volumes: u64, rounds: u32) -> Result<Cost, EnvelopeError> {
    let memory_before = resident_kb();
    let mut fleet = Fleet::new(fronts, volumes)?;
    for _ in 0..WARM_UP_ROUNDS {
        fleet.round(|_| true)?;
    }
    let memory_kb = (resident_kb() - memory_before) / f64::from(fronts);
    let measured_from = fleet.now;
    let clock = Instant::now();
    for _ in 0..rounds {
        fleet.round(|_| true)?;
    }
    let processor_seconds = clock.elapsed().as_secs_f64();
    let measured_seconds = (fleet.now - measured_from) as f64 / SECOND;
    let front_seconds = fleet.now as f64 / SECOND * f64::from(fronts);
    let bytes_sent = fleet.bytes_sent as f64;
    let datagrams_sent = fleet.datagrams_sent as f64;
    let died_at = fleet.now;
    while !fleet.has_detected_death() && fleet.now - died_at < DETECTION_TIMEOUT {
        fleet.round(|front| front != VICTIM)?;
    }
    Ok(Cost {
        fronts,
        volumes,
        bytes_per_second: bytes_sent / front_seconds,
        datagrams_per_second: datagrams_sent / front_seconds,
        core_fraction: processor_seconds / measured_seconds / f64::from(fronts),
        memory_kb,
        detection_ms: (fleet.now - died_at) as f64 / 1e6,
    })
}
