//! What the lab runs with processes: the cases of the issue that this was built for, and schedules of faults.

use std::path::Path;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Mutex;
use std::time::Duration;

use nix::sys::signal::Signal;
use serde::{Deserialize, Serialize};
use tokio::task::LocalSet;

use crate::process::{Lab, LabError, Make, Sharing, MOST_UNITS};
use crate::schedule::{Fault, Schedule, Step};

/// How long a read may take from its front to the server's note.
pub const SLACK: Duration = Duration::from_millis(50);
/// Chunk servers in schedules of faults.
const SERVERS: usize = 2;
/// Reads a second that all fronts together are asked for: eight times the limit.
const ASKED: u32 = 160;

/// A way to lay the load on the fronts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Case {
    /// As much at each.
    Even,
    /// All at one.
    OneOfAll,
    /// One is killed, and what came to it comes to the others.
    OneDead,
    /// Half as many fronts are told of as there are.
    MoreThanTold,
}

/// All of them.
pub const CASES: [Case; 4] = [Case::Even, Case::OneOfAll, Case::OneDead, Case::MoreThanTold];

/// What one run of a case showed.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Outcome {
    /// The case.
    pub case: Case,
    /// How many fronts.
    pub fronts: usize,
    /// Whether they share by peers, or as before.
    pub peers: bool,
    /// The seed.
    pub seed: u64,
    /// Units served in five seconds, of what the limit allows in them.
    pub served: f64,
    /// The most units beyond the bound in any window of up to 10 s; at most 0 where it holds.
    pub beyond: f64,
}

/// Runs one case.
///
/// # Errors
/// Where the lab fails.
pub async fn case(
    program: &Path,
    case: Case,
    fronts: usize,
    peers: bool,
    seed: u64,
) -> Result<Outcome, LabError> {
    let told = if case == Case::MoreThanTold { fronts as u32 / 2 } else { fronts as u32 };
    let sharing = if peers { Sharing::Peers } else { Sharing::Even(told) };
    let lab = Lab::new(program, Make::new(fronts, sharing, seed)).await?;
    if peers {
        lab.until_joined().await;
    }
    let each = |n: usize| ASKED / n as u32;
    match case {
        Case::OneOfAll => lab.load(seed as usize % fronts, ASKED),
        _ => (0..fronts).for_each(|front| lab.load(front, each(fronts))),
    }
    tokio::time::sleep(Duration::from_secs(3)).await;
    if case == Case::OneDead {
        let dead = seed as usize % fronts;
        lab.load(dead, 0);
        lab.end(dead, Signal::SIGKILL).await;
        (0..fronts).filter(|f| *f != dead).for_each(|front| lab.load(front, each(fronts - 1)));
        tokio::time::sleep(Duration::from_secs(4)).await;
    }
    let from = lab.now();
    let span = Duration::from_secs(5);
    tokio::time::sleep(span).await;
    let (served, beyond) = (lab.served(from, from + span), lab.beyond(SLACK));
    Ok(Outcome { case, fronts, peers, seed, served, beyond })
}

/// A case that was asked for by name.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Hard {
    /// What one front sends another is lost.
    OneWayCut,
    /// Two and two, while the load moves from one side to the other and back.
    SplitInHalf,
    /// One and three, the same.
    SplitOneOff,
    /// Who uses nearly all is stopped for longer than its rights last, and goes on.
    HolderStopped,
    /// Fronts are killed, one after another, while they lend and borrow, and are back at once.
    KilledBetween,
    /// Messages are lost, repeated and out of order while fronts start again.
    StormAndRestarts,
    /// A second process with a front's name.
    Twin,
    /// Half of the fronts have a roster that does not name the other half.
    HalfUnknown,
    /// 300 volumes at their limits at once.
    ManyVolumes,
    /// Thousands of datagrams a second that no front has made.
    Strangers,
    /// A second version takes over from each front in turn, under load, at its addresses.
    Upgrades,
}

/// All of them.
pub const HARD: [Hard; 11] = [
    Hard::OneWayCut,
    Hard::SplitInHalf,
    Hard::SplitOneOff,
    Hard::HolderStopped,
    Hard::KilledBetween,
    Hard::StormAndRestarts,
    Hard::Twin,
    Hard::HalfUnknown,
    Hard::ManyVolumes,
    Hard::Strangers,
    Hard::Upgrades,
];

/// What a hard case showed.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Hardship {
    /// The case.
    pub case: Hard,
    /// The seed.
    pub seed: u64,
    /// Part of the limits served while it went on.
    pub during: f64,
    /// Part of the limits served in four seconds, nine seconds after it had ended.
    pub after: f64,
    /// The most units beyond the bound in any window of up to 10 s; at most 0 where it holds.
    pub beyond: f64,
    /// Whether the fronts said what was to be said of it.
    pub said: bool,
    /// For each length of [`WINDOWS`]: the most units of a volume within any window of it, and the bound.
    pub windows: Vec<(f64, f64)>,
}

/// Lengths of windows that are looked at, in milliseconds.
pub const WINDOWS: [u64; 5] = [100, 300, 1_000, 3_000, 10_000];

impl Hard {
    /// What happens, to four fronts, in nine seconds.
    pub fn schedule(self, seed: u64) -> Schedule {
        let loads = |at, rates: [u32; 4]| {
            rates
                .into_iter()
                .enumerate()
                .map(move |(front, rate)| Step { at, fault: Fault::Load { front, rate } })
        };
        let even = || loads(0, [40; 4]);
        let moving =
            || loads(0, [40; 4]).chain(loads(3_000, [80, 80, 0, 0])).chain(loads(6_000, [0, 0, 80, 80]));
        let step = |at, fault| Step { at, fault };
        let mut steps: Vec<Step> = match self {
            Hard::OneWayCut => even().chain([step(1_000, Fault::Cut { from: 0, to: 1 })]).collect(),
            Hard::SplitInHalf => moving().chain([step(1_000, Fault::Split { side: vec![0, 1] })]).collect(),
            Hard::SplitOneOff => moving().chain([step(1_000, Fault::Split { side: vec![3] })]).collect(),
            Hard::HolderStopped => {
                let all_at_one = loads(0, [160, 0, 0, 0]).chain(loads(3_000, [160, 80, 80, 0]));
                all_at_one.chain([step(2_500, Fault::Stop { front: 0, millis: 4_500 })]).collect()
            }
            Hard::KilledBetween => {
                let kill = |f| step(1_000 + 1_500 * f as u64, Fault::Kill { front: f, back: Some(1) });
                loads(0, [160, 0, 0, 0]).chain(loads(2_000, [80, 0, 80, 0])).chain((0..4).map(kill)).collect()
            }
            Hard::StormAndRestarts => {
                let storm = Fault::Weather { lost: 20, repeated: 40, late: 400 };
                let kill = |f| step(2_000 * f as u64, Fault::Kill { front: f, back: Some(50) });
                even().chain([step(500, storm)]).chain([1, 2].map(kill)).collect()
            }
            Hard::Twin => even().chain([step(1_000, Fault::Twin { front: 1, millis: 6_000 })]).collect(),
            Hard::ManyVolumes => loads(0, [250; 4]).collect(),
            Hard::Upgrades => {
                let upgrade = |front| step(1_000 + 2_000 * front as u64, Fault::Upgrade { front });
                even().chain((0..4).map(upgrade)).collect()
            }
            Hard::HalfUnknown | Hard::Strangers => even().collect(),
        };
        steps.sort_by_key(|s| s.at);
        Schedule { seed, fronts: 4, millis: 9_000, steps }
    }
}

/// Plays a hard case with four fronts.
///
/// # Errors
/// Where the lab fails.
pub async fn hard(program: &Path, case: Hard, seed: u64) -> Result<Hardship, LabError> {
    let sharing = if case == Hard::HalfUnknown { Sharing::HalfUnknown } else { Sharing::Peers };
    let mut make = Make::new(4, sharing, seed);
    if case == Hard::ManyVolumes {
        (make.volumes, make.rate) = (300, 2.0);
    }
    let mut lab = Lab::new(program, make).await?;
    if case == Hard::HalfUnknown {
        tokio::time::sleep(Duration::from_secs(4)).await;
    } else {
        lab.until_joined().await;
    }
    let from = lab.now();
    if case == Hard::Strangers {
        (0..4).for_each(|front| lab.load(front, 40));
        lab.strangers(1_000, Duration::from_secs(9)).await;
    } else {
        lab.play(&case.schedule(seed)).await?;
    }
    let during = lab.served(from, lab.now());
    let said = match case {
        Hard::Twin => lab.said_by_twins().contains("another process has the name"),
        Hard::Strangers => {
            let told = lab.metrics(0).await.unwrap_or_default();
            told.contains("worth=\"no_message\"") && told.contains("worth=\"wrong_digest\"")
        }
        _ => true,
    };
    for fault in [Fault::Heal, Fault::Weather { lost: 0, repeated: 0, late: 0 }] {
        lab.strike(&fault).await?;
    }
    if case != Hard::ManyVolumes {
        (0..4).for_each(|front| lab.load(front, 40));
    }
    tokio::time::sleep(Duration::from_secs(9)).await;
    let from = lab.now();
    tokio::time::sleep(Duration::from_secs(4)).await;
    let after = lab.served(from, lab.now());
    let windows = WINDOWS.iter().map(|w| lab.most_within(Duration::from_millis(*w), SLACK)).collect();
    Ok(Hardship { case, seed, during, after, beyond: lab.beyond(SLACK), said, windows })
}

/// What one schedule showed.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Played {
    /// The seed.
    pub seed: u64,
    /// How many fronts.
    pub fronts: usize,
    /// Faults.
    pub faults: usize,
    /// Reads that reached the server.
    pub sent: usize,
    /// The most units beyond the bound in any window of up to 10 s; at most 0 where it holds.
    pub beyond: f64,
    /// Part of the limit served in four seconds once all was healed; absent where half of the fronts are gone, or one of
    /// a new roster.
    pub healed: Option<f64>,
}

/// The schedule of a seed, as processes play it: without second processes of a name by mistake, which may each use a
/// floor where no link joins them, and which the simulation and `hard` play.
pub fn schedule(seed: u64) -> Schedule {
    let mut schedule = Schedule::draw(seed);
    schedule.steps.retain(|s| !matches!(s.fault, Fault::Twin { .. }));
    schedule.millis = 10_000;
    schedule.steps.iter_mut().for_each(|s| s.at = s.at * 10 / 16);
    schedule.draw_wires(seed, SERVERS);
    schedule
}

/// Plays one schedule.
///
/// # Errors
/// Where the lab fails.
pub async fn play(program: &Path, schedule: &Schedule) -> Result<Played, LabError> {
    let make = Make { servers: SERVERS, ..Make::new(schedule.fronts, Sharing::Peers, schedule.seed) };
    let mut lab = Lab::new(program, make).await?;
    lab.until_joined().await;
    lab.play(schedule).await?;
    lab.strike(&Fault::Heal).await?;
    for server in 0..SERVERS {
        lab.strike(&Fault::Server { server, takes: 0, failing: 0 }).await?;
    }
    lab.strike(&Fault::Weather { lost: 0, repeated: 0, late: 0 }).await?;
    (0..schedule.fronts).for_each(|front| lab.signal(front, Signal::SIGCONT));
    let there = (0..schedule.fronts).filter(|front| lab.console(*front).is_some()).count();
    (0..schedule.fronts).for_each(|front| lab.load(front, 40));
    // Of a new roster all keep to floors until every name in it has taken it.
    let renewed = schedule.steps.iter().any(|s| matches!(s.fault, Fault::Roster { .. }));
    if renewed {
        (0..schedule.fronts).for_each(|front| lab.signal(front, Signal::SIGHUP));
    }
    let healed = if 2 * there > schedule.fronts && (!renewed || there == schedule.fronts) {
        tokio::time::sleep(Duration::from_secs(9)).await;
        let from = lab.now();
        tokio::time::sleep(Duration::from_secs(4)).await;
        Some(lab.served(from, lab.now()))
    } else {
        None
    };
    let sent = lab.sent();
    Ok(Played {
        seed: schedule.seed,
        fronts: schedule.fronts,
        faults: schedule.steps.iter().filter(|s| !matches!(s.fault, Fault::Load { .. })).count(),
        sent: sent.len(),
        beyond: lab.beyond(SLACK),
        healed,
    })
}

/// Runs jobs on so many threads, each with a lab of its own, and gives what they showed in their order.
///
/// # Errors
/// The first that failed.
pub fn side_by_side<J: Sync, R: Send>(
    jobs: &[J],
    threads: usize,
    run: impl AsyncFn(&J) -> Result<R, LabError> + Sync,
    seen: impl Fn(&R) + Sync,
) -> Result<Vec<R>, LabError> {
    let next = AtomicUsize::new(0);
    let done: Mutex<Vec<(usize, Result<R, LabError>)>> = Mutex::default();
    std::thread::scope(|scope| {
        for _ in 0..threads.max(1) {
            scope.spawn(|| loop {
                let at = next.fetch_add(1, Ordering::Relaxed);
                let Some(job) = jobs.get(at) else { return };
                let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
                let result = match runtime {
                    Ok(runtime) => LocalSet::new().block_on(&runtime, run(job)),
                    Err(why) => Err(LabError::System { what: "a runtime", why }),
                };
                if let Ok(result) = &result {
                    seen(result);
                }
                done.lock().expect("no thread panics").push((at, result));
            });
        }
    });
    let mut done = done.into_inner().expect("no thread panics");
    done.sort_by_key(|(at, _)| *at);
    done.into_iter().map(|(_, result)| result).collect()
}

/// The cases as a table: for each, the median and the worst of the seeds, before and with peers.
pub fn table(outcomes: &[Outcome]) -> String {
    let mut text = String::from("| case | fronts | before: median (worst) | with peers: median (worst) | most beyond the bound |\n| --- | --- | --- | --- | --- |\n");
    for fronts in [4, 8] {
        for case in CASES {
            let of = |peers: bool| {
                let mut served: Vec<f64> = outcomes
                    .iter()
                    .filter(|o| o.case == case && o.fronts == fronts && o.peers == peers)
                    .map(|o| o.served)
                    .collect();
                served.sort_by(f64::total_cmp);
                // The worst is the one furthest from the whole limit.
                let worst = served.iter().copied().max_by(|a, b| (a - 1.0).abs().total_cmp(&(b - 1.0).abs()));
                match (served.get(served.len() / 2), worst) {
                    (Some(median), Some(worst)) => format!("{median:.2} ({worst:.2})"),
                    _ => "-".to_owned(),
                }
            };
            let with = outcomes.iter().filter(|o| o.case == case && o.fronts == fronts && o.peers);
            let beyond = with.map(|o| o.beyond).fold(f64::NEG_INFINITY, f64::max);
            let name = match case {
                Case::Even => "traffic even",
                Case::OneOfAll => "all traffic at one",
                Case::OneDead => "one dead, its clients at the others",
                Case::MoreThanTold => "told of half as many",
            };
            text += &format!("| {name} | {fronts} | {} | {} | {beyond:.1} units |\n", of(false), of(true));
        }
    }
    text + &format!("\nThe bound: 40 units a second, a store of 20, and {MOST_UNITS} units for each front.\n")
}
