//! Faults, and when they happen: drawn from a seed, kept in a file, shrunk to what a failure needs.

use fastrand::Rng;
use serde::{Deserialize, Serialize};

use crate::wire::State;

/// Milliseconds from the start of a run.
pub type Millis = u64;

/// One fault.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Fault {
    /// What one front sends another is lost from now on.
    Cut {
        /// From.
        from: usize,
        /// To.
        to: usize,
    },
    /// No front on one side of a line hears one on the other: the fronts named here, and the rest.
    Split {
        /// One side.
        side: Vec<usize>,
    },
    /// Every link is whole again, also to chunk servers.
    Heal,
    /// Every datagram is lost with a chance, repeated with a chance, and late by up to so much, so that they come
    /// out of order.
    Weather {
        /// Lost, of a hundred.
        lost: u8,
        /// Repeated, of a hundred.
        repeated: u8,
        /// Latest, in milliseconds.
        late: Millis,
    },
    /// A front stands still for a while: SIGSTOP, then SIGCONT.
    Stop {
        /// Which.
        front: usize,
        /// How long.
        millis: Millis,
    },
    /// A front is killed, and started again after a while with its name and nothing else.
    Kill {
        /// Which.
        front: usize,
        /// After how long; absent is never.
        back: Option<Millis>,
    },
    /// A front ends in order, and is started again after a while.
    Leave {
        /// Which.
        front: usize,
        /// After how long.
        back: Millis,
    },
    /// A second process with a front's name runs for a while.
    Twin {
        /// Whose name.
        front: usize,
        /// How long.
        millis: Millis,
    },
    /// From now on so many requests a second come to a front.
    Load {
        /// Which.
        front: usize,
        /// How many a second.
        rate: u32,
    },
    /// The way from a front to a chunk server does this from now on.
    Wire {
        /// Which front; absent is all.
        front: Option<usize>,
        /// Which server.
        server: usize,
        /// What it does.
        state: State,
    },
    /// A chunk server does this from now on.
    Server {
        /// Which.
        server: usize,
        /// Each answer takes so long.
        takes: Millis,
        /// So many of a hundred fail.
        failing: u8,
    },
    /// A second version of a front starts at its addresses, and the first one ends in order.
    Upgrade {
        /// Which.
        front: usize,
    },
    /// The way from a front to discovery does this from now on.
    Register {
        /// Which front; absent is all.
        front: Option<usize>,
        /// What it does.
        state: State,
    },
    /// A chunk server has started anew at its address, as discovery tells.
    Replace {
        /// Which.
        server: usize,
    },
    /// The fronts take another roster, one after another: the next revision, with another floor.
    Roster {
        /// Between two fronts that take it.
        each: Millis,
        /// The floor in hundredths.
        floor: u8,
    },
}

/// A fault and its moment.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Step {
    /// When.
    pub at: Millis,
    /// What.
    pub fault: Fault,
}

/// A run: so many fronts, so long, with these faults.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Schedule {
    /// The seed that it was drawn from, and that everything else is drawn from while it runs.
    pub seed: u64,
    /// How many fronts.
    pub fronts: usize,
    /// How long.
    pub millis: Millis,
    /// By their moments.
    pub steps: Vec<Step>,
}

impl Schedule {
    /// A schedule from a seed: the same seed gives the same.
    pub fn draw(seed: u64) -> Schedule {
        let mut lot = Rng::with_seed(seed);
        let fronts = [2, 3, 3, 4, 4, 4, 5, 8][lot.usize(0..8)];
        let millis = 16_000;
        let mut steps: Vec<Step> = (0..fronts)
            .map(|front| Step { at: 0, fault: Fault::Load { front, rate: [0, 5, 20, 80][lot.usize(0..4)] } })
            .collect();
        for _ in 0..lot.usize(2..12) {
            let at = lot.u64(0..millis - 3_000);
            let fault = Schedule::fault(&mut lot, fronts);
            steps.push(Step { at, fault });
        }
        steps.sort_by_key(|s| s.at);
        Schedule { seed, fronts, millis, steps }
    }

    /// Faults of the ways to so many chunk servers and of the servers, drawn from a seed of their own.
    pub fn draw_wires(&mut self, seed: u64, servers: usize) {
        let mut lot = Rng::with_seed(seed ^ 0x31e5);
        for _ in 0..lot.usize(0..5) {
            let (at, server) = (lot.u64(0..self.millis), lot.usize(0..servers));
            let front = lot.bool().then(|| lot.usize(0..self.fronts));
            let state = match lot.u8(0..5) {
                0 => State::Whole,
                1 => State::NoAnswers,
                2 => State::Reset,
                3 => State::Late(lot.u64(1..40)),
                _ => State::Throttled(lot.u32(2_000..50_000)),
            };
            let fault = match lot.u8(0..6) {
                0 => Fault::Upgrade { front: lot.usize(0..self.fronts) },
                1 => Fault::Register { front, state },
                2 => Fault::Server { server, takes: lot.u64(0..100), failing: lot.u8(0..60) },
                _ => Fault::Wire { front, server, state },
            };
            self.steps.push(Step { at, fault });
        }
        self.steps.sort_by_key(|s| s.at);
    }

    fn fault(lot: &mut Rng, fronts: usize) -> Fault {
        let front = lot.usize(0..fronts);
        match lot.u8(0..20) {
            0..=2 => Fault::Cut { from: front, to: (front + lot.usize(1..fronts)) % fronts },
            3..=5 => Fault::Split { side: (0..fronts).filter(|_| lot.bool()).collect() },
            6..=8 => Fault::Heal,
            9..=10 => Fault::Weather {
                lost: lot.u8(0..60),
                repeated: lot.u8(0..40),
                late: [1, 20, 300, 2_500][lot.usize(0..4)],
            },
            11..=13 => Fault::Stop { front, millis: lot.u64(100..6_000) },
            14..=15 => Fault::Kill { front, back: lot.bool().then(|| lot.u64(1..5_000)) },
            16 => Fault::Leave { front, back: lot.u64(1..4_000) },
            17 => Fault::Twin { front, millis: lot.u64(500..8_000) },
            18 => Fault::Roster { each: lot.u64(1..2_000), floor: lot.u8(2..50) },
            _ => Fault::Load { front, rate: [0, 5, 20, 80, 300][lot.usize(0..5)] },
        }
    }

    /// The same without what a failure does not need: a step is left out where it still `fails` without.
    #[must_use]
    pub fn shrunk(mut self, fails: impl Fn(&Schedule) -> bool) -> Schedule {
        let mut at = self.steps.len();
        while at > 0 {
            at -= 1;
            let mut fewer = self.clone();
            fewer.steps.remove(at);
            if fails(&fewer) {
                self = fewer;
            }
        }
        self
    }
}
