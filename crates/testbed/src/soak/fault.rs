//! The faults of a soak run, and which of them belong to a seed.

use std::fmt::{self, Display};
use std::ops::{Range, RangeInclusive};
use std::time::Duration;

use serde::Serialize;

/// A fault that is injected for a while. The names are those of stored results.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize)]
pub enum Fault {
    /// A front shuts down at SIGTERM and is started again.
    FrontRestarted,
    /// A front is killed and started again.
    FrontKilled,
    /// A front is paused for 0.15 s, several times.
    FrontPausedBriefly,
    /// A front is paused for 0.8 s.
    FrontPausedLong,
    /// A front reloads its configuration several times in a row.
    Reloads,
    /// A front reloads an invalid configuration.
    BrokenReload,
    /// A server is draining.
    ServerDrains,
    /// A server stops and starts again.
    ServerRestarted,
    /// A server accepts requests and answers none.
    ServerHangs,
    /// A server resets connections with requests in flight.
    ServerResets,
    /// A server takes half a second for each request.
    ServerSlow,
    /// A server rejects half of its requests.
    ServerRejects,
    /// A server pauses behind the head of each response, and within its body.
    ServerPauses,
    /// A server closes connections after each response without announcing it.
    ServerCloses,
    /// Discovery closes connections.
    DiscoveryDown,
    /// Discovery answers no request, and its watches become silent.
    DiscoverySilent,
    /// Discovery answers 1.5 s late.
    DiscoverySlow,
    /// Clients cancel their requests early.
    ClientsLeave,
    /// Clients send incomplete requests and keep their connections open.
    ClientsStop,
    /// Clients send three times as many requests.
    ClientsBurst,
    /// `accept` fails for three in ten connections.
    AcceptFails,
    /// `connect` and `socket` fail for one in five connections.
    ConnectFails,
    /// Reads and writes are short.
    ShortTransfers,
    /// Waits are interrupted.
    Interrupts,
    /// A front's wall clock is ahead by an hour.
    ClockAhead,
    /// A front's wall clock is behind by an hour.
    ClockBehind,
}

impl Fault {
    /// All faults.
    pub const ALL: [Fault; 26] = [
        Fault::FrontRestarted,
        Fault::FrontKilled,
        Fault::FrontPausedBriefly,
        Fault::FrontPausedLong,
        Fault::Reloads,
        Fault::BrokenReload,
        Fault::ServerDrains,
        Fault::ServerRestarted,
        Fault::ServerHangs,
        Fault::ServerResets,
        Fault::ServerSlow,
        Fault::ServerRejects,
        Fault::ServerPauses,
        Fault::ServerCloses,
        Fault::DiscoveryDown,
        Fault::DiscoverySilent,
        Fault::DiscoverySlow,
        Fault::ClientsLeave,
        Fault::ClientsStop,
        Fault::ClientsBurst,
        Fault::AcceptFails,
        Fault::ConnectFails,
        Fault::ShortTransfers,
        Fault::Interrupts,
        Fault::ClockAhead,
        Fault::ClockBehind,
    ];

    /// The rules of the fault shim; `None` for a fault that it does not cause.
    pub fn shim_rules(self) -> Option<&'static str> {
        match self {
            Fault::AcceptFails => Some("accept ECONNABORTED 30\n"),
            Fault::ConnectFails => Some("connect ENETUNREACH 20\nsocket ENFILE 20\n"),
            Fault::ShortTransfers => Some("recv short 50\nsend short 50\n"),
            Fault::Interrupts => Some("wait EINTR 30\n"),
            Fault::ClockAhead => Some("clock 3600000\n"),
            Fault::ClockBehind => Some("clock -3600000\n"),
            _ => None,
        }
    }
}

impl Display for Fault {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{self:?}")
    }
}

/// A fault and its time, which counts from the start of the load.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct ScheduledFault {
    /// The fault.
    pub fault: Fault,
    /// When it begins.
    pub from: Duration,
    /// When it ends.
    pub until: Duration,
    /// Which front or server it affects: the index is the remainder by their number.
    pub target: usize,
}

/// How many faults a run has.
const FAULT_COUNT: RangeInclusive<usize> = 2..=3;
/// When the first fault may begin, in milliseconds.
const FIRST_FAULT_MS: u64 = 2_000;
/// All faults begin within this time, in milliseconds.
const START_SPREAD_MS: u64 = 1_500;
/// How long a fault lasts, in milliseconds; at least the spread of the starts, so that all overlap.
const FAULT_DURATION_MS: Range<u64> = 1_500..4_000;

/// The faults of a seed: two or three different ones that overlap in time. The same seed always has
/// the same faults.
pub fn sample(seed: u64) -> Vec<ScheduledFault> {
    let mut rng = fastrand::Rng::with_seed(seed);
    let mut kinds = Fault::ALL;
    rng.shuffle(&mut kinds);
    let count = rng.usize(FAULT_COUNT);
    kinds
        .into_iter()
        .take(count)
        .map(|fault| schedule(fault, &mut rng))
        .collect()
}

/// Gives a fault a random time and target.
fn schedule(fault: Fault, rng: &mut fastrand::Rng) -> ScheduledFault {
    let from_ms = FIRST_FAULT_MS + rng.u64(0..START_SPREAD_MS);
    let until_ms = from_ms + rng.u64(FAULT_DURATION_MS).max(START_SPREAD_MS);
    ScheduledFault {
        fault,
        from: Duration::from_millis(from_ms),
        until: Duration::from_millis(until_ms),
        target: rng.usize(..),
    }
}
