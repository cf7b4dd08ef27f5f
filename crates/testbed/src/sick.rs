//! Chunk servers that are bad, met by processes of the program that share verdicts on them or do not: what the fleet
//! pays until nobody meets the bad one any more, and how a server is met that comes back.

use std::path::Path;
use std::time::Duration;

use serde::Serialize;

use crate::process::{Asked, Lab, LabError, Make};
use crate::schedule::{Fault, Schedule, Step};
use crate::wire::State;

/// Chunk servers, one for each shard.
const SERVERS: usize = 6;
/// What an answer takes.
const TAKES: Duration = Duration::from_millis(5);
/// Requests a second that all fronts together are asked for, of which four in five are new objects.
pub const ASKED: u32 = 48;
/// Before the server falls ill: its fronts learn what is usual.
const WELL: Duration = Duration::from_secs(6);
/// How long it is ill.
const ILL: Duration = Duration::from_secs(15);
/// How long it is looked at once it is well again.
const AFTER: Duration = Duration::from_secs(15);
/// A request that took longer than this many times the usual median is slow.
const SLOW: f64 = 6.0;

/// What is wrong with a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Illness {
    /// It answers nothing, and connections stay open.
    Stopped,
    /// It takes ten times as long.
    Slow,
    /// Three of ten attempts fail.
    Failing,
    /// The fronts of one zone get no answer.
    OneZone,
}

/// All of them.
pub const ILLNESSES: [Illness; 4] = [Illness::Stopped, Illness::Slow, Illness::Failing, Illness::OneZone];

/// What a run showed.
#[derive(Clone, Debug, Serialize)]
pub struct Paid {
    /// What was wrong.
    pub illness: Illness,
    /// How many fronts.
    pub fronts: usize,
    /// Whether they shared verdicts.
    pub shared: bool,
    /// The seed.
    pub seed: u64,
    /// Requests that were slow or failed while the server was ill, less what the time before makes of them by chance.
    pub paid: f64,
    /// The last of them, in seconds since it fell ill.
    pub last: f64,
    /// Fronts that paid.
    pub payers: usize,
    /// Most servers that any front held out, and fronts that held out a server that was well.
    pub most_out: usize,
    /// Verdicts on servers that were well.
    pub innocent: usize,
    /// After it was well again: the most attempts at it within a second.
    pub peak: usize,
    /// Attempts at it in the last second, for comparison.
    pub usual: f64,
    /// Seconds until it had half of its usual attempts again; absent where it had not.
    pub back: Option<f64>,
}

impl Illness {
    async fn strike(self, lab: &mut Lab, server: usize, fronts: usize) -> Result<(), LabError> {
        match self {
            Illness::Stopped => lab.strike(&Fault::Wire { front: None, server, state: State::Silent }).await,
            Illness::Slow => {
                let takes = TAKES.as_millis() as u64 * 10;
                lab.strike(&Fault::Server { server, takes, failing: 0 }).await
            }
            Illness::Failing => {
                let takes = TAKES.as_millis() as u64;
                lab.strike(&Fault::Server { server, takes, failing: 30 }).await
            }
            Illness::OneZone => {
                for front in (0..fronts).step_by(2) {
                    lab.strike(&Fault::Wire { front: Some(front), server, state: State::Silent }).await?;
                }
                Ok(())
            }
        }
    }
}

/// Plays an illness of one server: well, ill, well again.
///
/// # Errors
/// Where the lab fails.
pub async fn play(
    program: &Path,
    illness: Illness,
    fronts: usize,
    shared: bool,
    seed: u64,
) -> Result<Paid, LabError> {
    let make = Make { new: 80, verdicts: shared, ..Make::judging(fronts, SERVERS, TAKES, seed) };
    let mut lab = Lab::new(program, make).await?;
    lab.until_joined().await;
    let each = ASKED / fronts as u32;
    (0..fronts).for_each(|front| lab.load(front, each.max(1)));
    tokio::time::sleep(WELL).await;
    let server = seed as usize % SERVERS;
    let ill = lab.now();
    illness.strike(&mut lab, server, fronts).await?;
    let (mut most_out, mut innocent) = (0, 0);
    let name = format!("s-{server}");
    while lab.now() < ill + ILL {
        tokio::time::sleep(Duration::from_millis(500)).await;
        for front in 0..fronts {
            let out = lab.held_out(front).await;
            most_out = most_out.max(out.len());
            innocent += out.iter().filter(|one| **one != name).count();
        }
    }
    let well = lab.now();
    lab.strike(&Fault::Heal).await?;
    lab.strike(&Fault::Server { server, takes: TAKES.as_millis() as u64, failing: 0 }).await?;
    tokio::time::sleep(AFTER).await;
    let end = lab.now();
    (0..fronts).for_each(|front| lab.load(front, 0));
    // The slowest of its clients goes after 3 s.
    tokio::time::sleep(Duration::from_millis(3_100)).await;
    // Reads of what the server alone holds have nowhere else to go, verdict or not.
    let asked: Vec<Asked> = lab.asked().into_iter().filter(|a| a.shard != Some(server)).collect();
    let (before, during) = (within(&asked, ill - WELL / 2, ill), within(&asked, ill, well));
    let mut usual: Vec<Duration> = before.iter().filter_map(|a| a.took).collect();
    usual.sort_unstable();
    let slow = usual.get(usual.len() / 2).copied().unwrap_or(TAKES).mul_f64(SLOW);
    let is_bad = |a: &&Asked| !a.served || a.took.is_none_or(|took| took > slow);
    let chance = before.iter().filter(is_bad).count() as f64 / (WELL / 2).as_secs_f64();
    let bad: Vec<&Asked> = during.iter().filter(is_bad).collect();
    let mut payers: Vec<usize> = bad.iter().map(|a| a.front).collect();
    payers.sort_unstable();
    payers.dedup();
    let last = bad.iter().map(|a| (a.at - ill).as_secs_f64()).fold(0.0, f64::max);
    // What was held up on the way while it was silent comes at once when it is well again.
    let from = well + Duration::from_millis(500);
    let at = lab.moments(|s| s.server == server && s.at >= from && s.at < end);
    let second = Duration::from_secs(1);
    let peak = at.iter().enumerate().map(|(i, from)| at[i..].iter().filter(|t| **t < *from + second).count());
    let usual = lab.moments(|s| s.server == server && s.at < ill && s.at >= ill - WELL / 2).len() as f64
        / (WELL / 2).as_secs_f64();
    let span = Duration::from_secs(2);
    let filled = |from: &&Duration| {
        at.iter().filter(|t| *t >= from && **t < **from + span).count() as f64
            >= usual * span.as_secs_f64() / 2.0
    };
    Ok(Paid {
        illness,
        fronts,
        shared,
        seed,
        paid: (bad.len() as f64 - chance * (well - ill).as_secs_f64()).max(0.0),
        last,
        payers: payers.len(),
        most_out,
        innocent,
        peak: peak.max().unwrap_or(0),
        usual,
        back: at.iter().find(filled).map(|from| (*from - well).as_secs_f64()),
    })
}

/// Servers in schedules, one for each shard.
const MANY: usize = 8;
/// Requests a second of each front in schedules, half of them new objects.
const EACH: u32 = 16;

/// What a schedule of faults showed of verdicts.
#[derive(Clone, Debug, Serialize)]
pub struct Judged {
    /// The seed.
    pub seed: u64,
    /// How many fronts.
    pub fronts: usize,
    /// Faults of links and processes.
    pub faults: usize,
    /// Servers that were ill, and whether a front's own ways to all servers were bad.
    pub ill: usize,
    /// The same of fronts.
    pub bad_front: bool,
    /// Most servers out at one time, over all fronts.
    pub most_out: usize,
    /// Verdicts on servers that were never ill, or not for that front: each look at a front counts them.
    pub innocent: usize,
    /// Ill servers that any front held out.
    pub found: usize,
    /// Fronts that still held something out a while after all was well.
    pub left_out: usize,
}

impl Judged {
    /// Whether every bound held.
    pub fn holds(&self) -> bool {
        self.most_out <= MANY / 2 && self.innocent == 0 && self.left_out == 0
    }
}

/// Plays a schedule of faults of links and processes with servers that fall ill, and in a third of them a front whose
/// own ways to all servers lose pieces: all drawn from the schedule's seed.
///
/// # Errors
/// Where the lab fails.
pub async fn judged(program: &Path, schedule: &Schedule) -> Result<Judged, LabError> {
    let fronts = schedule.fronts;
    let make = Make::judging(fronts, MANY, TAKES, schedule.seed);
    let mut lab = Lab::new(program, make).await?;
    lab.until_joined().await;
    (0..fronts).for_each(|front| lab.load(front, EACH));
    let mut lot = fastrand::Rng::with_seed(schedule.seed ^ 0x51c4);
    let mut ill: Vec<(usize, Illness)> = Vec::new();
    for _ in 0..lot.usize(0..3) {
        let server = lot.usize(0..MANY);
        if ill.iter().all(|(s, _)| *s != server) {
            ill.push((server, ILLNESSES[lot.usize(0..ILLNESSES.len())]));
        }
    }
    let bad_front = (lot.u8(0..3) == 0).then(|| lot.usize(0..fronts));
    let lossy = lot.u8(10..40);
    // Each front learns what is usual before anything befalls it.
    tokio::time::sleep(WELL / 2).await;
    for (server, illness) in &ill {
        illness.strike(&mut lab, *server, fronts).await?;
    }
    if let Some(front) = bad_front {
        for server in 0..MANY {
            let is_ill = ill.iter().any(|(s, _)| *s == server);
            if !is_ill {
                let state = State::Lossy(lossy);
                lab.strike(&Fault::Wire { front: Some(front), server, state }).await?;
            }
        }
    }
    let steps = schedule.steps.iter().filter(|s| {
        !matches!(
            s.fault,
            Fault::Load { .. } | Fault::Twin { .. } | Fault::Roster { .. } | Fault::Upgrade { .. }
        )
    });
    let steps: Vec<Step> = steps.cloned().collect();
    let faults = steps.len();
    let (mut most_out, mut innocent, mut found) = (0, 0, Vec::new());
    let began = lab.now();
    let mut next = 0;
    while lab.now() < began + Duration::from_millis(schedule.millis) {
        while let Some(step) = steps.get(next).filter(|s| lab.now() >= began + Duration::from_millis(s.at)) {
            next += 1;
            match &step.fault {
                // The links between fronts alone: the servers' illnesses stay.
                Fault::Heal => lab.strike(&Fault::Split { side: Vec::new() }).await?,
                fault => lab.strike(fault).await?,
            }
        }
        let mut all: Vec<usize> = Vec::new();
        for front in 0..fronts {
            let zone = front % 2;
            for name in lab.held_out(front).await {
                let server = name.trim_start_matches("s-").parse().unwrap_or(usize::MAX);
                let guilty = ill
                    .iter()
                    .any(|(s, illness)| *s == server && (*illness != Illness::OneZone || zone == 0));
                innocent += usize::from(!guilty);
                if guilty && !found.contains(&server) {
                    found.push(server);
                }
                if !all.contains(&server) {
                    all.push(server);
                }
            }
        }
        most_out = most_out.max(all.len());
        tokio::time::sleep(Duration::from_millis(200)).await;
    }
    lab.strike(&Fault::Heal).await?;
    lab.strike(&Fault::Weather { lost: 0, repeated: 0, late: 0 }).await?;
    for server in 0..MANY {
        lab.strike(&Fault::Server { server, takes: TAKES.as_millis() as u64, failing: 0 }).await?;
    }
    (0..fronts).for_each(|front| lab.signal(front, nix::sys::signal::Signal::SIGCONT));
    let until = lab.now() + Duration::from_secs(30);
    let mut left_out = 1;
    while left_out > 0 && lab.now() < until {
        tokio::time::sleep(Duration::from_millis(300)).await;
        left_out = 0;
        for front in 0..fronts {
            left_out += usize::from(!lab.held_out(front).await.is_empty());
        }
    }
    let (seed, ill, bad_front, found) = (schedule.seed, ill.len(), bad_front.is_some(), found.len());
    Ok(Judged { seed, fronts, faults, ill, bad_front, most_out, innocent, found, left_out })
}

fn within(asked: &[Asked], from: Duration, to: Duration) -> Vec<Asked> {
    asked.iter().filter(|a| a.at >= from && a.at < to).copied().collect()
}

/// What runs showed, as a table: medians of the seeds.
pub fn table(all: &[Paid]) -> String {
    let mut text = String::from(
        "| illness | fronts | verdicts | paid: median (worst) | fronts that paid | last, s | out at most | innocent | peak after, of usual | back after, s |\n| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |\n",
    );
    let mut kinds: Vec<(Illness, usize, bool)> =
        all.iter().map(|p| (p.illness, p.fronts, p.shared)).collect();
    kinds.dedup();
    for (illness, fronts, shared) in kinds {
        let of: Vec<&Paid> =
            all.iter().filter(|p| (p.illness, p.fronts, p.shared) == (illness, fronts, shared)).collect();
        let median = |f: &dyn Fn(&Paid) -> f64| {
            let mut all: Vec<f64> = of.iter().map(|p| f(p)).collect();
            all.sort_by(f64::total_cmp);
            all[all.len() / 2]
        };
        let most = |f: &dyn Fn(&Paid) -> f64| of.iter().map(|p| f(p)).fold(0.0, f64::max);
        text += &format!(
            "| {illness:?} | {fronts} | {} | {:.0} ({:.0}) | {:.0} | {:.1} | {:.0} | {:.0} | {:.1} | {:.1} |\n",
            if shared { "shared" } else { "own" },
            median(&|p| p.paid),
            most(&|p| p.paid),
            median(&|p| p.payers as f64),
            median(&|p| p.last),
            most(&|p| p.most_out as f64),
            most(&|p| p.innocent as f64),
            most(&|p| p.peak as f64 / p.usual.max(1.0)),
            median(&|p| p.back.unwrap_or(f64::INFINITY)),
        );
    }
    text
}
