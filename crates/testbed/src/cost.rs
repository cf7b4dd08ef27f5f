//! What sharing limits costs a front: bytes and processor time a second, memory, and how long a death takes to be
//! known everywhere. The machines of a whole fleet in one process, in step, with nothing going wrong but one death.

use std::cell::Cell;
use std::time::Instant;

use serde::Serialize;
use tulipbridge_fleet_limits::{Effect, Event, Limit, LimitCoordinator, LimitsConfig, Nanos, PeerId};
use tulipbridge_membership::{EnvelopeCodec, EnvelopeError, PeerStatus};

/// What was measured.
#[derive(Clone, Debug, Serialize)]
pub struct Cost {
    /// How many fronts.
    pub fronts: u16,
    /// How many volumes each is asked for.
    pub volumes: u64,
    /// Bytes a second that a front sends.
    pub bytes: f64,
    /// Datagrams a second that a front sends.
    pub datagrams: f64,
    /// Part of one core that a front's machine and the digests of its messages take.
    pub core: f64,
    /// Resident memory for each front, in KB.
    pub memory_kb: f64,
    /// Milliseconds from a death until every other front knows of it.
    pub known_ms: f64,
}

/// Resident memory of this process in KB; 0 where the system does not tell.
fn resident() -> f64 {
    let told = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    told.split(' ').nth(1).and_then(|pages| pages.parse::<f64>().ok()).unwrap_or(0.0) * 4.096
}

/// Measures a fleet of so many fronts that are each asked for so many volumes, over so many beats.
///
/// # Errors
/// Where a message would be too long.
pub fn measure(fronts: PeerId, volumes: u64, beats: u32) -> Result<Cost, EnvelopeError> {
    let seal = EnvelopeCodec::new(b"a key for measuring, of no use else")?;
    let before = resident();
    let mut fleet: Vec<LimitCoordinator> = (0..fronts)
        .map(|me| {
            LimitCoordinator::new(LimitsConfig::new(me, fronts, 1), u64::from(me) + 1, 0)
                .expect("the terms hold")
        })
        .collect();
    let beat = fleet[0].config().heartbeat_interval;
    let (bytes, datagrams) = (Cell::new(0usize), Cell::new(0u64));
    let mut now = 0;
    let round = |fleet: &mut Vec<LimitCoordinator>,
                 now: Nanos,
                 alive: &dyn Fn(usize) -> bool|
     -> Result<(), EnvelopeError> {
        for from in (0..fleet.len()).filter(|f| alive(*f)) {
            for volume in 0..volumes {
                fleet[from].on(
                    now,
                    Event::Demanded { limit: Limit::Volume(volume), units: 2.0 },
                    &mut Vec::new(),
                );
            }
            let mut effects = Vec::new();
            fleet[from].on(now, Event::HeartbeatDue, &mut effects);
            let boot = fleet[from].incarnation();
            for effect in effects {
                let Effect::Send { to, heartbeat: beat } = effect else { continue };
                let sealed = seal.seal(from as PeerId, boot, beat.as_ref())?;
                bytes.set(bytes.get() + sealed.len());
                datagrams.set(datagrams.get() + 1);
                if alive(usize::from(to)) {
                    let opened = seal.open::<tulipbridge_fleet_limits::Heartbeat>(&sealed)?;
                    let event = Event::HeartbeatReceived {
                        from: opened.from,
                        boot,
                        heartbeat: Box::new(opened.message),
                    };
                    fleet[usize::from(to)].on(now, event, &mut Vec::new());
                }
            }
        }
        Ok(())
    };
    // Until each holds its bank.
    for _ in 0..16 {
        now += beat;
        round(&mut fleet, now, &|_| true)?;
    }
    let memory_kb = (resident() - before) / f64::from(fronts);
    let began = Instant::now();
    let first = now;
    for _ in 0..beats {
        now += beat;
        round(&mut fleet, now, &|_| true)?;
    }
    let (took, span) = (began.elapsed().as_secs_f64(), (now - first) as f64 / 1e9);
    let each = f64::from(16 + beats) * beat as f64 / 1e9 * f64::from(fronts);
    let (bytes_each, datagrams_each) = (bytes.get() as f64 / each, datagrams.get() as f64 / each);
    let died = now;
    let known = |fleet: &[LimitCoordinator], now| {
        fleet[1..].iter().all(|q| q.members().status(now, 0) == PeerStatus::Dead)
    };
    while !known(&fleet, now) && now - died < 60_000_000_000 {
        now += beat;
        round(&mut fleet, now, &|front| front != 0)?;
    }
    Ok(Cost {
        fronts,
        volumes,
        bytes: bytes_each,
        datagrams: datagrams_each,
        core: took / span / f64::from(fronts),
        memory_kb,
        known_ms: (now - died) as f64 / 1e6,
    })
}
