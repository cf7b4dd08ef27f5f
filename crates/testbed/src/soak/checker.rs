//! The checker of a soak: it holds a recording against the rules. It knows nothing of how a front
//! works.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::Serialize;

use super::recording::{Arrival, Class, ClientRequest, End, ProcessRecord, Recording};

/// How late an answer may be before it is lost.
const ANSWER_SLACK: Duration = Duration::from_millis(500);
/// How long after a client has left nothing may begin any more.
const LEFT_SLACK: Duration = Duration::from_millis(100);
/// By how much the told time may exceed what the client has left.
const DEADLINE_SLACK: Duration = Duration::from_millis(150);
/// Until when requests to a draining server must end, after it was told.
const DRAIN_GRACE: Duration = Duration::from_millis(550);
/// When a change counts as told, after discovery had it and could be reached.
const NOTIFIED_AFTER: Duration = Duration::from_secs(6);
/// When clients that stop in the middle get their error.
const HALF_REQUEST_LIMIT: Duration = Duration::from_secs(3);
/// What this machine may add to any of these times while many processes run on it.
const MACHINE_SLACK: Duration = Duration::from_millis(100);
/// When a process that was told to end has ended.
const EXIT_LIMIT: Duration = Duration::from_millis(3_700);
/// When a process is ready.
const READY_LIMIT: Duration = Duration::from_secs(10);
/// When everything that a killed process had taken is over.
const KILL_SHADOW: Duration = Duration::from_secs(4);

/// A rule that was broken.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize)]
pub enum Rule {
    /// A request has no final answer.
    Lost,
    /// An answer that no server made.
    WrongAnswer,
    /// A request that may not be repeated was executed twice.
    Duplicate,
    /// A write was refused, with a promise of no effect, and was executed.
    RefusedAndRun,
    /// A request to a server that drains.
    Drain,
    /// An attempt began after its client had left.
    AfterClientLeft,
    /// A server was told more time than the client had left.
    DeadlineTooLong,
    /// Half a request had no end.
    HalfRequest,
    /// A process ended by itself, or with an error.
    Crash,
    /// A process did not end in time.
    LateExit,
    /// A process was not ready in time.
    LateReady,
    /// A process counted a broken rule itself.
    Counted,
    /// A server that started got more than it bears.
    ColdServer,
}

/// A broken rule, and what shows it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Find {
    /// The rule.
    pub rule: Rule,
    /// What was seen.
    pub what: String,
}

/// How much a server bears while it starts.
#[derive(Clone, Copy, Debug)]
pub struct ColdStart {
    /// Requests a second when warm.
    pub capacity: f64,
    /// The part of it at the start.
    pub floor: f64,
    /// The time until it is warm.
    pub duration: Duration,
    /// The multiple of its capacity that it bears.
    pub multiple: f64,
    /// Over which time.
    pub span: Duration,
}

/// Holds a recording against all rules.
pub fn check(recording: &Recording, cold_start: ColdStart) -> Vec<Find> {
    let mut finds = Vec::new();
    let by_transaction = arrivals_by_transaction(recording);
    for request in &recording.requests {
        let arrivals = by_transaction
            .get(&request.transaction)
            .map_or(&[][..], Vec::as_slice);
        check_end(recording, request, &mut finds);
        check_attempts(recording, request, arrivals, &mut finds);
        check_drains(recording, request, arrivals, &mut finds);
    }
    check_half_requests(recording, &mut finds);
    recording
        .processes
        .iter()
        .for_each(|process| check_process(process, &mut finds));
    check_cold_servers(recording, cold_start, &mut finds);
    finds
}

fn arrivals_by_transaction(recording: &Recording) -> BTreeMap<u64, Vec<&Arrival>> {
    let mut by_transaction: BTreeMap<u64, Vec<&Arrival>> = BTreeMap::new();
    for arrival in &recording.arrivals {
        by_transaction
            .entry(arrival.transaction)
            .or_default()
            .push(arrival);
    }
    by_transaction
}

/// How long a front stood still in a time.
fn paused(recording: &Recording, front: usize, from: Duration, until: Duration) -> Duration {
    let pauses = recording
        .processes
        .iter()
        .filter(|process| process.front == front);
    let pauses = pauses
        .flat_map(|process| &process.pauses)
        .filter(|pause| pause.overlaps(from, until));
    pauses.map(|pause| pause.until - pause.from).sum()
}

/// Whether a front was killed, or was not there, around a time.
fn was_killed(recording: &Recording, front: usize, from: Duration, until: Duration) -> bool {
    let killed = |process: &ProcessRecord| {
        process
            .killed_at
            .is_some_and(|killed_at| killed_at <= until && from <= killed_at + KILL_SHADOW)
    };
    recording
        .processes
        .iter()
        .any(|process| process.front == front && killed(process))
}

fn check_end(recording: &Recording, request: &ClientRequest, finds: &mut Vec<Find>) {
    let mut find = |rule, what: &str| {
        finds.push(Find {
            rule,
            what: format!("{what}: {request:?}"),
        })
    };
    match request.end {
        End::Answered {
            status: 200,
            body_matches: false,
        } => {
            find(Rule::WrongAnswer, "a body of no server");
        }
        End::Answered { .. } => {
            let pause = paused(recording, request.front, request.sent_at, request.ended_at);
            let limit = request.sent_at + request.patience + ANSWER_SLACK + MACHINE_SLACK + pause;
            if request.ended_at > limit {
                find(Rule::Lost, "an answer that is too late");
            }
        }
        End::Closed | End::Silent => {
            let is_paused = paused(recording, request.front, request.sent_at, request.ended_at)
                > Duration::ZERO;
            let is_killed = was_killed(recording, request.front, request.sent_at, request.ended_at);
            let is_excused = is_killed || (is_paused && request.end == End::Silent);
            if !is_excused {
                find(Rule::Lost, "no answer");
            }
        }
        End::Left | End::NoConnection => {}
    }
}

fn check_attempts(
    recording: &Recording,
    request: &ClientRequest,
    arrivals: &[&Arrival],
    finds: &mut Vec<Find>,
) {
    let mut find = |rule, what: &str| {
        finds.push(Find {
            rule,
            what: format!("{what}: {request:?}, {arrivals:?}"),
        });
    };
    let executed = arrivals
        .iter()
        .filter(|arrival| !arrival.turned_away)
        .count();
    if request.class == Class::Write && executed > 1 {
        find(Rule::Duplicate, "executed twice");
    }
    let refused = matches!(
        request.end,
        End::Answered {
            status: 429 | 503,
            ..
        }
    );
    if request.class == Class::Write && refused && executed > 0 {
        find(Rule::RefusedAndRun, "refused and executed");
    }
    for arrival in arrivals {
        let pause = paused(recording, request.front, request.sent_at, arrival.at);
        if request.end == End::Left
            && arrival.first_byte_at > request.ended_at + LEFT_SLACK + MACHINE_SLACK
        {
            find(Rule::AfterClientLeft, "begun after the client had left");
        }
        let left = (request.sent_at + request.patience).saturating_sub(arrival.at);
        if arrival.remaining > left + DEADLINE_SLACK + MACHINE_SLACK && pause == Duration::ZERO {
            find(Rule::DeadlineTooLong, "told more than is left");
        }
        // A front that stood still is allowed what it cannot see, and no more.
        if arrival.remaining > left + DEADLINE_SLACK + 2 * MACHINE_SLACK && pause > Duration::ZERO {
            find(
                Rule::DeadlineTooLong,
                "told more than is left, after a pause",
            );
        }
    }
}

/// When a front counts as told of a change.
fn notified_at(
    recording: &Recording,
    front: usize,
    process: &ProcessRecord,
    change: usize,
) -> Duration {
    let change = &recording.changes[change];
    let outages = recording
        .discovery_outages
        .iter()
        .filter(|outage| outage.until >= change.at);
    let reachable_at = outages
        .map(|outage| outage.until)
        .fold(change.at, Duration::max);
    let at_the_latest = (reachable_at + NOTIFIED_AFTER).max(process.started_at);
    let written = change.notified_at[front].filter(|at| *at >= process.started_at);
    written.map_or(at_the_latest, |written| written.min(at_the_latest))
}

fn check_drains(
    recording: &Recording,
    request: &ClientRequest,
    arrivals: &[&Arrival],
    finds: &mut Vec<Find>,
) {
    for arrival in arrivals {
        let latest = recording.changes.iter().enumerate().rev();
        let mut latest = latest.filter(|(_, change)| change.server == arrival.server);
        let before = latest.find(|(_, change)| change.at <= arrival.first_byte_at);
        let Some((index, _)) = before.filter(|(_, change)| !change.is_ready) else {
            continue;
        };
        let processes = recording
            .processes
            .iter()
            .filter(|process| process.front == request.front);
        let process = processes
            .rev()
            .find(|process| process.started_at <= arrival.first_byte_at);
        let Some(process) = process else { continue };
        let notified_at = notified_at(recording, request.front, process, index);
        let pause = paused(recording, request.front, notified_at, arrival.first_byte_at);
        if arrival.first_byte_at > notified_at + DRAIN_GRACE + MACHINE_SLACK + pause {
            let what = format!("told at {notified_at:?}: {request:?}, {arrival:?}");
            finds.push(Find {
                rule: Rule::Drain,
                what,
            });
        }
    }
}

fn check_half_requests(recording: &Recording, finds: &mut Vec<Find>) {
    for half in &recording.half_requests {
        let until = half
            .ended_at
            .unwrap_or(half.sent_at + 2 * HALF_REQUEST_LIMIT);
        let pause = paused(recording, half.front, half.sent_at, until);
        let limit = half.sent_at + HALF_REQUEST_LIMIT + MACHINE_SLACK + pause;
        if until > limit && !was_killed(recording, half.front, half.sent_at, until) {
            finds.push(Find {
                rule: Rule::HalfRequest,
                what: format!("{half:?}"),
            });
        }
    }
}

fn check_process(process: &ProcessRecord, finds: &mut Vec<Find>) {
    let mut find = |rule| {
        finds.push(Find {
            rule,
            what: format!("{process:?}"),
        })
    };
    let pause: Duration = process
        .pauses
        .iter()
        .map(|pause| pause.until - pause.from)
        .sum();
    let was_told = process.terminated_at.is_some() || process.killed_at.is_some();
    let failed =
        process.killed_at.is_none() && process.ended_at.is_some() && process.exit_code != Some(0);
    if failed || (process.ended_at.is_some() && !was_told) {
        find(Rule::Crash);
    }
    if let (Some(told), Some(ended)) = (process.terminated_at, process.ended_at) {
        if ended > told + EXIT_LIMIT + MACHINE_SLACK + pause {
            find(Rule::LateExit);
        }
    }
    if process
        .ready_at
        .is_none_or(|ready_at| ready_at > process.started_at + READY_LIMIT + pause)
    {
        find(Rule::LateReady);
    }
    if process.violations > 0 {
        find(Rule::Counted);
    }
}

/// The page's bound: N, plus twice the root of N and 2; below 30 three times the root and 3.
fn with_allowance(requests: f64) -> f64 {
    if requests < 30.0 {
        requests + 3.0 * requests.sqrt() + 3.0
    } else {
        requests + 2.0 * requests.sqrt() + 2.0
    }
}

fn check_cold_servers(recording: &Recording, cold: ColdStart, finds: &mut Vec<Find>) {
    for (server, started_at) in &recording.starts {
        let is_in_start = |arrival: &&Arrival| {
            arrival.server == *server
                && arrival.at >= *started_at
                && arrival.at < *started_at + cold.duration
        };
        let mut times: Vec<Duration> = recording
            .arrivals
            .iter()
            .filter(is_in_start)
            .map(|arrival| arrival.at)
            .collect();
        times.sort();
        for (last, at) in times.iter().enumerate() {
            let in_span = times[..=last]
                .iter()
                .rev()
                .take_while(|earlier| **earlier + cold.span > *at)
                .count();
            let age = (*at - *started_at).as_secs_f64();
            let fraction =
                cold.floor + (1.0 - cold.floor) * (age / cold.duration.as_secs_f64()).min(1.0);
            let bears = cold.multiple * fraction * cold.capacity * cold.span.as_secs_f64();
            if in_span as f64 > with_allowance(bears) {
                let what = format!(
                    "server {server} got {in_span} at an age of {age:.2} s, bears {bears:.0}"
                );
                finds.push(Find {
                    rule: Rule::ColdServer,
                    what,
                });
                break;
            }
        }
    }
}
