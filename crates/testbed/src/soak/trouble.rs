//! The troubles of a soak, and which of them a seed draws.

use std::fmt::{self, Display};
use std::time::Duration;

use serde::Serialize;

/// Something that goes wrong for a while.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize)]
pub enum Trouble {
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

impl Trouble {
    /// All troubles.
    pub const ALL: [Trouble; 25] = [
        Trouble::FrontRestarted,
        Trouble::FrontKilled,
        Trouble::FrontPausedBriefly,
        Trouble::FrontPausedLong,
        Trouble::Reloads,
        Trouble::BrokenReload,
        Trouble::ServerDrains,
        Trouble::ServerRestarted,
        Trouble::ServerHangs,
        Trouble::ServerResets,
        Trouble::ServerSlow,
        Trouble::ServerRejects,
        Trouble::ServerCloses,
        Trouble::DiscoveryDown,
        Trouble::DiscoverySilent,
        Trouble::DiscoverySlow,
        Trouble::ClientsLeave,
        Trouble::ClientsStop,
        Trouble::ClientsBurst,
        Trouble::AcceptFails,
        Trouble::ConnectFails,
        Trouble::ShortTransfers,
        Trouble::Interrupts,
        Trouble::ClockAhead,
        Trouble::ClockBehind,
    ];

    /// The rules of the fault shim, for the troubles that it makes.
    pub fn shim_rules(self) -> Option<&'static str> {
        match self {
            Trouble::AcceptFails => Some("accept ECONNABORTED 30\n"),
            Trouble::ConnectFails => Some("connect ENETUNREACH 20\nsocket ENFILE 20\n"),
            Trouble::ShortTransfers => Some("recv short 50\nsend short 50\n"),
            Trouble::Interrupts => Some("wait EINTR 30\n"),
            Trouble::ClockAhead => Some("clock 3600000\n"),
            Trouble::ClockBehind => Some("clock -3600000\n"),
            _ => None,
        }
    }
}

impl Display for Trouble {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{self:?}")
    }
}

/// A trouble with its time.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct ScheduledTrouble {
    /// The trouble.
    pub trouble: Trouble,
    /// When it begins, after the start of the load.
    pub from: Duration,
    /// When it ends.
    pub until: Duration,
    /// Which front or server it meets.
    pub target: usize,
}

/// When the first trouble begins.
const FIRST_TROUBLE_MS: u64 = 2_000;
/// How much later others begin, at the most.
const SPREAD_MS: u64 = 1_500;
/// The shortest and the longest trouble.
const LENGTH_MS: (u64, u64) = (1_500, 4_000);

/// The troubles of a seed: two or three different ones that overlap in time.
pub fn draw(seed: u64) -> Vec<ScheduledTrouble> {
    let mut rng = fastrand::Rng::with_seed(seed);
    let mut kinds = Trouble::ALL;
    rng.shuffle(&mut kinds);
    let count = rng.usize(2..=3);
    let mut schedule = |trouble: Trouble| {
        let from = FIRST_TROUBLE_MS + rng.u64(0..SPREAD_MS);
        let until = from + rng.u64(LENGTH_MS.0..LENGTH_MS.1).max(SPREAD_MS);
        let (from, until) = (Duration::from_millis(from), Duration::from_millis(until));
        ScheduledTrouble { trouble, from, until, target: rng.usize(..) }
    };
    kinds.into_iter().take(count).map(&mut schedule).collect()
}
