//! Schedules of faults: sampled from a seed, stored in files, and reduced to what a failure needs.

use std::ops::Range;
use std::time::Duration;

use fastrand::Rng;
use serde::{Deserialize, Serialize};

use crate::milliseconds;
use crate::tcp_proxy::LinkState;

/// How long a sampled schedule lasts, in milliseconds.
pub(crate) const DURATION_MS: u64 = 16_000;
/// No fault begins in this last part of a sampled schedule, in milliseconds.
const QUIET_END_MS: u64 = 3_000;
/// Distinguishes the random choices of link faults from those of the schedule itself.
const LINK_FAULTS_SALT: u64 = 0x31e5;

/// What happens to every datagram between fronts, beside cut links.
#[derive(Clone, Copy, Debug, Default)]
pub struct DatagramFaults {
    /// Datagrams that are lost, of a hundred.
    pub loss_percent: u8,
    /// Datagrams that are sent twice, of a hundred.
    pub duplication_percent: u8,
    /// The longest delay; each datagram has one at random, so that they arrive out of order.
    pub max_delay: Duration,
}

/// One fault. The serialized names are those of stored schedules.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Fault {
    /// The link from one front to another is cut, one way.
    Cut {
        /// The sender.
        from: usize,
        /// The receiver.
        to: usize,
    },
    /// The network is partitioned in two: the fronts named here, and the rest.
    #[serde(rename = "split")]
    Partition {
        /// The fronts of one side.
        side: Vec<usize>,
    },
    /// Every link is healed, also those to chunk servers and to discovery.
    Heal,
    /// Datagrams between fronts are lost, duplicated and delayed from now on.
    #[serde(rename = "weather")]
    DatagramFaults {
        /// Datagrams that are lost, of a hundred.
        #[serde(rename = "lost")]
        loss_percent: u8,
        /// Datagrams that are sent twice, of a hundred.
        #[serde(rename = "repeated")]
        duplication_percent: u8,
        /// The longest delay.
        #[serde(rename = "late", with = "milliseconds")]
        max_delay: Duration,
    },
    /// A front is paused for a while: SIGSTOP, then SIGCONT.
    #[serde(rename = "stop")]
    Pause {
        /// Which front.
        front: usize,
        /// For how long.
        #[serde(rename = "millis", with = "milliseconds")]
        duration: Duration,
    },
    /// A front is killed, and started again after a while without any state.
    Kill {
        /// Which front.
        front: usize,
        /// After how long it is started again; absent is never.
        #[serde(rename = "back", default, with = "milliseconds::option")]
        restart_after: Option<Duration>,
    },
    /// A front shuts down gracefully, and is started again after a while.
    #[serde(rename = "leave")]
    ShutDown {
        /// Which front.
        front: usize,
        /// After how long it is started again.
        #[serde(rename = "back", with = "milliseconds")]
        restart_after: Duration,
    },
    /// A second process with a front's name runs for a while.
    #[serde(rename = "twin")]
    DuplicateProcess {
        /// Which front.
        front: usize,
        /// For how long.
        #[serde(rename = "millis", with = "milliseconds")]
        duration: Duration,
    },
    /// The load of a front changes.
    Load {
        /// Which front.
        front: usize,
        /// Requests a second.
        rate: u32,
    },
    /// The link from fronts to a chunk server changes.
    #[serde(rename = "wire")]
    ServerLink {
        /// Which front; absent is all.
        front: Option<usize>,
        /// Which server.
        server: usize,
        /// The new state of the link.
        state: LinkState,
    },
    /// The behavior of a chunk server changes.
    Server {
        /// Which server.
        server: usize,
        /// How long it takes to answer.
        #[serde(rename = "takes", with = "milliseconds")]
        latency: Duration,
        /// Requests that fail, of a hundred.
        #[serde(rename = "failing")]
        failure_percent: u8,
    },
    /// A second version of a front starts at its addresses, and the first one shuts down
    /// gracefully.
    Upgrade {
        /// Which front.
        front: usize,
    },
    /// The link from fronts to discovery changes.
    #[serde(rename = "register")]
    Discovery {
        /// Which front; absent is all.
        front: Option<usize>,
        /// The new state of the link.
        state: LinkState,
    },
    /// Discovery announces that a chunk server has restarted at its address.
    #[serde(rename = "replace")]
    RestartServer {
        /// Which server.
        server: usize,
    },
    /// The fronts load another roster, one after another: the next revision, with another floor.
    Roster {
        /// The time between two fronts that load it.
        #[serde(rename = "each", with = "milliseconds")]
        interval: Duration,
        /// The floor in hundredths of the limit.
        #[serde(rename = "floor")]
        floor_percent: u8,
    },
}

impl Fault {
    /// No datagram is lost, duplicated or delayed any more.
    pub const NO_DATAGRAM_FAULTS: Fault = Fault::DatagramFaults {
        loss_percent: 0,
        duplication_percent: 0,
        max_delay: Duration::ZERO,
    };
}

/// A fault and its time.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Step {
    /// When it is injected.
    #[serde(rename = "at", with = "milliseconds")]
    pub at: Duration,
    /// The fault.
    pub fault: Fault,
}

/// A run of so many fronts with these faults.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Schedule {
    /// The seed that the schedule was sampled from, and from which everything else is sampled while
    /// it runs.
    pub seed: u64,
    /// How many fronts there are.
    pub fronts: usize,
    /// How long the run lasts.
    #[serde(rename = "millis", with = "milliseconds")]
    pub duration: Duration,
    /// The faults, by their times.
    pub steps: Vec<Step>,
}

impl Schedule {
    /// The schedule of a seed: the same seed always gives the same schedule.
    pub fn sample(seed: u64) -> Schedule {
        let mut rng = Rng::with_seed(seed);
        let fronts = [2, 3, 3, 4, 4, 4, 5, 8][rng.usize(0..8)];
        let mut steps: Vec<Step> = (0..fronts)
            .map(|front| {
                let rate = [0, 5, 20, 80][rng.usize(0..4)];
                Step {
                    at: Duration::ZERO,
                    fault: Fault::Load { front, rate },
                }
            })
            .collect();
        for _ in 0..rng.usize(2..12) {
            let at = sample_duration(&mut rng, 0..DURATION_MS - QUIET_END_MS);
            let fault = sample_fault(&mut rng, fronts);
            steps.push(Step { at, fault });
        }
        steps.sort_by_key(|step| step.at);
        Schedule {
            seed,
            fronts,
            duration: Duration::from_millis(DURATION_MS),
            steps,
        }
    }

    /// Adds faults of so many chunk servers, of the links to them and to discovery, and upgrades of
    /// fronts.
    pub fn add_link_faults(&mut self, seed: u64, servers: usize) {
        let mut rng = Rng::with_seed(seed ^ LINK_FAULTS_SALT);
        for _ in 0..rng.usize(0..5) {
            let at = sample_duration(&mut rng, 0..self.duration.as_millis() as u64);
            let fault = sample_link_fault(&mut rng, self.fronts, servers);
            self.steps.push(Step { at, fault });
        }
        self.steps.sort_by_key(|step| step.at);
    }

    /// The same schedule without the steps that a failure does not need: a step is left out if the
    /// schedule still `fails` without it.
    #[must_use]
    pub fn shrunk(mut self, fails: impl Fn(&Schedule) -> bool) -> Schedule {
        for step in (0..self.steps.len()).rev() {
            let mut shorter = self.clone();
            shorter.steps.remove(step);
            if fails(&shorter) {
                self = shorter;
            }
        }
        self
    }
}

/// A random duration of whole milliseconds within a range.
fn sample_duration(rng: &mut Rng, milliseconds: Range<u64>) -> Duration {
    Duration::from_millis(rng.u64(milliseconds))
}

/// A random fault of links and processes.
fn sample_fault(rng: &mut Rng, fronts: usize) -> Fault {
    let front = rng.usize(0..fronts);
    match rng.u8(0..20) {
        0..=2 => Fault::Cut {
            from: front,
            to: (front + rng.usize(1..fronts)) % fronts,
        },
        3..=5 => Fault::Partition {
            side: (0..fronts).filter(|_| rng.bool()).collect(),
        },
        6..=8 => Fault::Heal,
        9..=10 => Fault::DatagramFaults {
            loss_percent: rng.u8(0..60),
            duplication_percent: rng.u8(0..40),
            max_delay: Duration::from_millis([1, 20, 300, 2_500][rng.usize(0..4)]),
        },
        11..=13 => Fault::Pause {
            front,
            duration: sample_duration(rng, 100..6_000),
        },
        14..=15 => Fault::Kill {
            front,
            restart_after: rng.bool().then(|| sample_duration(rng, 1..5_000)),
        },
        16 => Fault::ShutDown {
            front,
            restart_after: sample_duration(rng, 1..4_000),
        },
        17 => Fault::DuplicateProcess {
            front,
            duration: sample_duration(rng, 500..8_000),
        },
        18 => Fault::Roster {
            interval: sample_duration(rng, 1..2_000),
            floor_percent: rng.u8(2..50),
        },
        _ => Fault::Load {
            front,
            rate: [0, 5, 20, 80, 300][rng.usize(0..5)],
        },
    }
}

/// A random fault of chunk servers, of the links to them or to discovery, or an upgrade.
fn sample_link_fault(rng: &mut Rng, fronts: usize, servers: usize) -> Fault {
    let server = rng.usize(0..servers);
    let front = rng.bool().then(|| rng.usize(0..fronts));
    let state = match rng.u8(0..5) {
        0 => LinkState::Healthy,
        1 => LinkState::NoResponses,
        2 => LinkState::Reset,
        3 => LinkState::Delayed(rng.u64(1..40)),
        _ => LinkState::Throttled(rng.u32(2_000..50_000)),
    };
    match rng.u8(0..6) {
        0 => Fault::Upgrade {
            front: rng.usize(0..fronts),
        },
        1 => Fault::Discovery { front, state },
        2 => Fault::Server {
            server,
            latency: sample_duration(rng, 0..100),
            failure_percent: rng.u8(0..60),
        },
        _ => Fault::ServerLink {
            front,
            server,
            state,
        },
    }
}
