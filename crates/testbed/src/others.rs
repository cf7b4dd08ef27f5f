//! Limits of the fleet that are no volume's, held by processes of the program while the load moves, links are cut and
//! a front is killed.

use std::path::Path;
use std::time::Duration;

use serde::Serialize;

use crate::process::{beyond, Lab, LabError, Make, Sharing, MOST_UNITS, PLENTY, UNITS};
use crate::schedule::{Fault, Schedule, Step};
use crate::server::{Manner, Sent};

/// How many fronts.
const FRONTS: usize = 4;
/// How long an answer takes where requests out are counted.
const TAKES: Duration = Duration::from_millis(15);
/// Reads a second where all come to one front.
const LOAD: u32 = 600;
/// The least time in which a part of a limit may pass on twice: a beat, less what it is shaken by.
const PASS: Duration = Duration::from_millis(190);

/// How long the server starts, by the fronts' settings, and what it can do at first.
const COLD: Duration = Duration::from_secs(17);
const COLD_FROM: f64 = 0.18;
/// `Fall` of the settings: a server is taken to be so much younger than it is.
const FALL: Duration = Duration::from_secs(2);

/// What a server that started with the lab can do, as a multiple of what it could at first.
fn growth(at: Duration) -> f64 {
    let age = at.saturating_sub(FALL).div_duration_f64(COLD).min(1.0);
    1.0 + (1.0 / COLD_FROM - 1.0) * age
}

/// Which limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Other {
    /// Further attempts: 10 a second and 10 in store, where half of all reads fail.
    Further,
    /// Units to a starting server: 6 a second and 6 in store.
    Starting,
    /// Requests out at a server that takes 15 ms for each: 4.
    Out,
}

/// All of them.
pub const OTHERS: [Other; 3] = [Other::Further, Other::Starting, Other::Out];

/// What a run showed.
#[derive(Clone, Debug, Serialize)]
pub struct Kept {
    /// Which limit.
    pub limit: Other,
    /// The seed.
    pub seed: u64,
    /// Part of the limit in use while it is linked, the load at one front.
    pub used: f64,
    /// The same after the cut has healed and the killed front is back, the load even.
    pub after: f64,
    /// The most at any time: units or attempts in any window beyond the rate, requests out.
    pub most: f64,
    /// What it may be.
    pub bound: f64,
}

impl Kept {
    /// Whether the bound held.
    pub fn holds(&self) -> bool {
        self.most <= self.bound
    }
}

impl Other {
    fn make(self, seed: u64) -> Make {
        let make = Make { rate: PLENTY, ..Make::new(FRONTS, Sharing::Peers, seed) };
        match self {
            Other::Further => Make {
                limits: r#"{"further_attempts": {"rate": 10, "burst": 10}}"#,
                manner: Manner { failing: 50, ..Manner::default() },
                ..make
            },
            Other::Starting => Make {
                limits: r#"{"starting_server": {"rate": 6, "burst": 6}}"#,
                manner: Manner { starting: true, ..Manner::default() },
                ..make
            },
            Other::Out => Make {
                limits: r#"{"out_at_server": 4}"#,
                manner: Manner { takes: TAKES, ..Manner::default() },
                ..make
            },
        }
    }

    /// Part of the limit that was in use in a span.
    fn used(self, lab: &Lab, from: Duration, to: Duration) -> f64 {
        let within = |s: &Sent| s.at >= from && s.at < to;
        let span = (to - from).as_secs_f64();
        match self {
            Other::Further => lab.moments(|s| s.further && within(s)).len() as f64 / (10.0 * span),
            Other::Starting => {
                let growth = (growth(from) + growth(to)) / 2.0;
                lab.moments(within).len() as f64 * UNITS / (6.0 * growth * span)
            }
            Other::Out => lab.moments(within).len() as f64 * TAKES.as_secs_f64() / (4.0 * span),
        }
    }

    /// The most at any time, and what it may be.
    fn most(self, lab: &Lab, slack: Duration) -> (f64, f64) {
        let fronts = FRONTS as f64;
        match self {
            Other::Further => {
                let most = 10.0 + fronts;
                (most + beyond(&lab.moments(|s| s.further), 1.0, 10.0, most, slack), most)
            }
            Other::Starting => {
                // The rate and the store grow with the server's age, to `1 / ColdFrom` after `Cold`.
                let moments = lab.moments(|s| s.at < COLD);
                let until = moments.last().copied().unwrap_or_default();
                let growth = growth(until);
                let most = 6.0 * growth + fronts * MOST_UNITS;
                (most + beyond(&moments, UNITS, 6.0 * growth, most, slack), most)
            }
            Other::Out => {
                // Each time that a part passes on within the time of an attempt, it may be in use once more.
                let passed = 1.0 + (TAKES + slack).div_duration_f64(PASS).ceil();
                (lab.most_out(Duration::ZERO, lab.now()) as f64, 4.0 * passed + fronts)
            }
        }
    }
}

/// Plays one limit: all load at one front, then moved to another, a split in half, a front killed and back, healed.
///
/// `slack` is how long an attempt may take from its front to the server's note.
///
/// # Errors
/// Where the lab fails.
pub async fn play(program: &Path, limit: Other, seed: u64, slack: Duration) -> Result<Kept, LabError> {
    let mut lab = Lab::new(program, limit.make(seed)).await?;
    lab.until_joined().await;
    let one = seed as usize % FRONTS;
    lab.load(one, LOAD);
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    let from = lab.now();
    tokio::time::sleep(Duration::from_secs(3)).await;
    let used = limit.used(&lab, from, lab.now());
    let (other, killed) = ((one + 1) % FRONTS, (one + 2) % FRONTS);
    let step = |at, fault| Step { at, fault };
    let steps = vec![
        step(0, Fault::Load { front: one, rate: 0 }),
        step(0, Fault::Load { front: other, rate: LOAD }),
        step(800, Fault::Split { side: vec![0, 1] }),
        step(1_000, Fault::Load { front: killed, rate: 80 }),
        step(2_500, Fault::Kill { front: killed, back: Some(20) }),
        step(3_500, Fault::Heal),
    ];
    lab.play(&Schedule { seed, fronts: FRONTS, millis: 3_600, steps }).await?;
    (0..FRONTS).for_each(|front| lab.load(front, LOAD / FRONTS as u32));
    lab.until_joined().await;
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    let from = lab.now();
    tokio::time::sleep(Duration::from_secs(3)).await;
    let after = limit.used(&lab, from, lab.now());
    let (most, bound) = limit.most(&lab, slack);
    Ok(Kept { limit, seed, used, after, most, bound })
}
