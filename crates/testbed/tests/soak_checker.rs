//! The checker of soak runs: a recording within the rules, and one with a violation of each.

use std::time::Duration;

use tulipbridge_testbed::soak::checker::{check, Rule, SlowStartLimit};
use tulipbridge_testbed::soak::fault::{sample, Fault};
use tulipbridge_testbed::soak::recording::{
    Arrival, Class, ClientRequest, End, EndpointChange, IncompleteRequest, ProcessRecord,
    Recording, ServerStart,
};

const SLOW_START_LIMIT: SlowStartLimit = SlowStartLimit {
    capacity: 10.0,
    floor: 0.2,
    duration: Duration::from_secs(10),
    multiple: 2.0,
    window: Duration::from_secs(2),
};
const OK: End = End::Answered {
    status: 200,
    body_matches: true,
};

fn ms(milliseconds: u64) -> Duration {
    Duration::from_millis(milliseconds)
}

fn process() -> ProcessRecord {
    ProcessRecord {
        front: 0,
        started_at: ms(0),
        ready_at: Some(ms(100)),
        terminated_at: Some(ms(20_000)),
        killed_at: None,
        ended_at: Some(ms(21_000)),
        exit_code: Some(0),
        pauses: Vec::new(),
        violations: 0,
    }
}

/// A request that was sent at 10 s, and its attempts.
fn recording(class: Class, end: End, arrivals: &[Arrival]) -> Recording {
    let (sent_at, timeout, ended_at) = (ms(10_000), ms(1_000), ms(10_100));
    let request = ClientRequest {
        transaction: 1,
        front: 0,
        class,
        sent_at,
        timeout,
        ended_at,
        end,
    };
    Recording {
        requests: vec![request],
        arrivals: arrivals.to_vec(),
        processes: vec![process()],
        ..Recording::default()
    }
}

fn arrival(at: u64, remaining: u64) -> Arrival {
    Arrival {
        server: 0,
        transaction: 1,
        first_byte_at: ms(at),
        at: ms(at),
        remaining: ms(remaining),
        rejected: false,
    }
}

fn rules(recording: &Recording) -> Vec<Rule> {
    check(recording, SLOW_START_LIMIT)
        .into_iter()
        .map(|violation| violation.rule)
        .collect()
}

#[test]
fn recording_within_the_rules_has_no_violations() {
    assert_eq!(
        rules(&recording(Class::Write, OK, &[arrival(10_010, 980)])),
        []
    );
}

#[test]
fn each_broken_rule_of_a_request_is_found() {
    let one = [arrival(10_010, 980)];
    let two = [arrival(10_010, 980), arrival(10_050, 940)];
    let refused = End::Answered {
        status: 503,
        body_matches: false,
    };
    let wrong = End::Answered {
        status: 200,
        body_matches: false,
    };
    assert_eq!(
        rules(&recording(Class::Read, End::Closed, &[])),
        [Rule::Lost]
    );
    assert_eq!(
        rules(&recording(Class::Read, End::TimedOut, &one)),
        [Rule::Lost]
    );
    assert_eq!(
        rules(&recording(Class::Read, wrong, &one)),
        [Rule::WrongAnswer]
    );
    assert_eq!(rules(&recording(Class::Write, OK, &two)), [Rule::Duplicate]);
    assert_eq!(
        rules(&recording(Class::Write, refused, &one)),
        [Rule::RefusedAndRun]
    );
    assert_eq!(
        rules(&recording(
            Class::Read,
            End::Cancelled,
            &[arrival(10_400, 500)]
        )),
        [Rule::AfterClientLeft]
    );
    assert_eq!(
        rules(&recording(Class::Read, OK, &[arrival(10_090, 1_200)])),
        [Rule::DeadlineTooLong]
    );
}

#[test]
fn request_to_a_draining_server_is_found_once_its_front_was_notified() {
    let change = |at: u64, notified_at: Option<u64>| EndpointChange {
        server: 0,
        is_ready: false,
        at: ms(at),
        notified_at: vec![notified_at.map(ms)],
    };
    let mut notified = recording(Class::Read, OK, &[arrival(10_010, 980)]);
    notified.endpoint_changes = vec![change(9_000, Some(9_100))];
    assert_eq!(rules(&notified), [Rule::Drain]);
    notified.endpoint_changes = vec![change(9_000, None)];
    assert_eq!(
        rules(&notified),
        [],
        "it counts as notified after six seconds"
    );
    notified.endpoint_changes = vec![change(3_000, None)];
    assert_eq!(rules(&notified), [Rule::Drain]);
    // A process that started later counts as notified from its first moment.
    notified.processes[0].started_at = ms(9_800);
    assert_eq!(rules(&notified), []);
}

#[test]
fn faults_of_processes_incomplete_requests_and_starting_servers_are_found() {
    let mut calm = recording(Class::Read, OK, &[arrival(10_010, 980)]);
    calm.incomplete_requests = vec![IncompleteRequest {
        front: 0,
        sent_at: ms(5_000),
        ended_at: Some(ms(8_400)),
    }];
    assert_eq!(rules(&calm), [Rule::HalfRequest]);
    calm.incomplete_requests.clear();
    calm.processes[0].exit_code = None;
    assert_eq!(rules(&calm), [Rule::Crash]);
    calm.processes[0] = ProcessRecord {
        ended_at: Some(ms(24_500)),
        violations: 1,
        ..process()
    };
    assert_eq!(rules(&calm), [Rule::LateExit, Rule::Counted]);
    calm.processes[0] = ProcessRecord {
        ready_at: None,
        ..process()
    };
    assert_eq!(rules(&calm), [Rule::LateReady]);
    calm.processes[0] = process();
    // It may get 8 requests in two seconds at first, and 19 with the allowance.
    calm.server_starts = vec![ServerStart {
        server: 0,
        at: ms(12_000),
    }];
    calm.arrivals.extend((0..22).map(|n| Arrival {
        transaction: 100 + n,
        ..arrival(12_000 + n, 1)
    }));
    assert_eq!(rules(&calm), [Rule::ColdServer]);
}

/// Guards against a kill that excuses requests which a front that shuts down must answer or not take.
#[test]
fn kill_after_a_shutdown_excuses_only_requests_that_came_soon_after_its_signal() {
    for (sent_after_signal, expected) in [(ms(600), &[][..]), (ms(800), &[Rule::Lost][..])] {
        let mut recording = recording(Class::Read, End::Closed, &[]);
        recording.processes[0].terminated_at = Some(ms(10_000) - sent_after_signal);
        recording.processes[0].killed_at = Some(ms(10_100));
        recording.processes[0].ended_at = Some(ms(10_100));
        recording.processes[0].exit_code = None;
        assert_eq!(rules(&recording), expected, "{sent_after_signal:?}");
    }
}

#[test]
fn seed_has_the_same_faults_each_time_and_they_overlap() {
    let mut drawn: Vec<Fault> = Vec::new();
    for seed in 0..200 {
        let faults = sample(seed);
        let again: Vec<Fault> = sample(seed).iter().map(|entry| entry.fault).collect();
        assert_eq!(
            again,
            faults.iter().map(|entry| entry.fault).collect::<Vec<_>>()
        );
        assert!((2..=3).contains(&faults.len()));
        let latest_start = faults.iter().map(|entry| entry.from).max();
        assert!(
            faults.iter().all(|entry| Some(entry.until) >= latest_start),
            "seed {seed}"
        );
        drawn.extend(again);
    }
    assert!(Fault::ALL.iter().all(|fault| drawn.contains(fault)));
}
