//! The faults of a soak, and which of them a seed draws.

use std::fmt::{self, Display};
use std::time::Duration;

use serde::Serialize;

/// Something that goes wrong for a while.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize)]
pub enum Fault {
    /// A front is ended by SIGTERM and started again.
    FrontRestarted,
    /// A front is killed and started again.
    FrontKilled,
    /// A front stands still for 0.15 s, several times.
    FrontPausedBriefly,
    /// A front stands still for 0.8 s.
    FrontPausedLong,
    /// A front takes its file anew several times in a row.
    Reloads,
    /// A front is told to take a broken file.
    BrokenReload,
    /// A server drains.
    ServerDrains,
    /// A server goes and comes back cold.
    ServerRestarted,
    /// A server takes requests and answers none.
    ServerHangs,
    /// A server resets connections under requests.
    ServerResets,
    /// A server takes half a second.
    ServerSlow,
    /// A server turns half of its requests away.
    ServerRejects,
    /// A server closes connections after each answer without a word.
    ServerCloses,
    /// Discovery refuses connections.
    DiscoveryDown,
    /// Discovery answers no call, and its watches fall silent.
    DiscoverySilent,
    /// Discovery answers 1.5 s late.
    DiscoverySlow,
    /// Clients close their connections early.
    ClientsLeave,
    /// Clients stop in the middle of a request and stay.
    ClientsStop,
    /// Clients send three times as much.
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
    pub const ALL: [Fault; 25] = [
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

    /// The rules of the fault shim, for the faults that it makes.
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

/// A fault with its time.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct ScheduledFault {
    /// The fault.
    pub fault: Fault,
    /// When it begins, after the start of the load.
    pub from: Duration,
    /// When it ends.
    pub until: Duration,
    /// Which front or server it meets.
    pub target: usize,
}

/// When the first fault begins.
const FIRST_FAULT_MS: u64 = 2_000;
/// How much later others begin, at the most.
const SPREAD_MS: u64 = 1_500;
/// The shortest and the longest fault.
const LENGTH_MS: (u64, u64) = (1_500, 4_000);

/// The faults of a seed: two or three different ones that overlap in time.
pub fn draw(seed: u64) -> Vec<ScheduledFault> {
    let mut rng = fastrand::Rng::with_seed(seed);
    let mut kinds = Fault::ALL;
    rng.shuffle(&mut kinds);
    let count = rng.usize(2..=3);
    let mut schedule = |fault: Fault| {
        let from = FIRST_FAULT_MS + rng.u64(0..SPREAD_MS);
        let until = from + rng.u64(LENGTH_MS.0..LENGTH_MS.1).max(SPREAD_MS);
        let (from, until) = (Duration::from_millis(from), Duration::from_millis(until));
        ScheduledFault {
            fault,
            from,
            until,
            target: rng.usize(..),
        }
    };
    kinds.into_iter().take(count).map(&mut schedule).collect()
}
