//! Ejections of chunk servers that a fleet of processes decides together, with faults of servers, of links and of
//! fronts. Longer runs of the same are commands of `tulipbridge-lab`.

mod support;

use std::time::Duration;

use nix::sys::signal::Signal;
use simd_json::prelude::*;
use simd_json::OwnedValue as Value;
use support::{program, run_local};
use tulipbridge_testbed::process::{held_out, Lab, Make, Sharing};
use tulipbridge_testbed::schedule::Fault;
use tulipbridge_testbed::wire::State;

const FRONTS: usize = 4;
const SERVERS: usize = 6;
/// Classes of work with load.
const CLASSES: usize = 2;
/// Response time of a server. An outlier takes four times as long, which a busy machine does not cause.
const RESPONSE_TIME: Duration = Duration::from_millis(25);
/// Longest time that an ejection may stand without a new vote, in milliseconds.
const MAX_VOTE_TTL_MS: i64 = 4_000;

/// A fleet that shares ejections, under load of both classes, once each front knows the usual response times.
async fn fleet() -> Lab {
    let limits = r#"{"starting_server": {"rate": 40, "burst": 20}}"#;
    let make = Make { limits, ..Make::judging(FRONTS, SERVERS, RESPONSE_TIME, 3) };
    let lab = Lab::new(program(), make).await.expect("the fleet starts");
    assert!(lab.until_joined().await, "not all fronts have joined");
    (0..FRONTS).for_each(|front| lab.load(front, 30));
    for front in 0..FRONTS {
        let has_medians = |status: &str| status.matches("median_us").count() == CLASSES;
        assert!(lab.until_verdicts(front, has_medians).await, "{front} has no medians");
    }
    lab
}

/// The reports on a server in the ejection status of a front.
fn reports_on<'a>(status: &'a Value, server: &str) -> Vec<&'a Value> {
    let reports = status["verdicts"].as_array().into_iter().flatten();
    reports.filter(|report| report["server"] == server).collect()
}

fn parse(status: &str) -> Value {
    simd_json::to_owned_value(&mut status.as_bytes().to_vec()).expect("the status is JSON")
}

/// The number of the front whose turn it is to probe a server.
fn prober_of(status: &str, server: &str) -> Option<usize> {
    let status = parse(status);
    let name = reports_on(&status, server).first()?["tries"].as_str()?.to_owned();
    name.rsplit('-').next()?.parse().ok()
}

/// The most votes of a report on a server.
fn max_votes_on(status: &str, server: &str) -> Option<usize> {
    let status = parse(status);
    let votes = |report: &&Value| report["assents"].as_array().map_or(0, |votes| votes.len());
    reports_on(&status, server).iter().map(votes).max()
}

async fn wait_until_only_ejected(lab: &Lab, front: usize, server: &str) {
    let is_ejected = lab.until_verdicts(front, |status| held_out(status) == [server]).await;
    assert!(is_ejected, "{front} does not eject {server} alone");
}

async fn wait_until_none_ejected(lab: &Lab, front: usize) {
    let none_ejected = lab.until_verdicts(front, |status| held_out(status).is_empty()).await;
    assert!(none_ejected, "{front} still ejects a server");
}

/// Makes a server silent, for one front or for all.
async fn silence(lab: &mut Lab, front: Option<usize>, server: usize) {
    let fault = Fault::Wire { front, server, state: State::Silent };
    lab.strike(&fault).await.expect("the server is silent");
}

#[test]
fn silent_server_is_ejected_by_all_probed_by_one_and_readmitted() {
    run_local(async {
        let mut lab = fleet().await;
        silence(&mut lab, None, 1).await;
        for front in 0..FRONTS {
            wait_until_only_ejected(&lab, front, "s-1").await;
        }
        let status = parse(&lab.verdicts(0).await.expect("the console answers"));
        let report = reports_on(&status, "s-1")[0];
        assert!(report["assents"].as_array().expect("a list").len() > FRONTS / 2, "{status:?}");
        assert!(report["lapses_ms"].as_i64().is_some_and(|ms| ms <= MAX_VOTE_TTL_MS), "{status:?}");
        let metrics = lab.metrics(0).await.expect("the console answers");
        assert!(metrics.contains("app_verdicts_out 1"), "{metrics}");
        assert!(metrics.contains("app_cluster_unhealthy 1"), "{metrics}");
        // The front that probes the server is killed: another one must probe it, once the server is healthy again.
        let status = lab.verdicts(0).await.expect("the console answers");
        let prober = prober_of(&status, "s-1").expect("a front probes the server");
        lab.end(prober, Signal::SIGKILL).await;
        lab.strike(&Fault::Heal).await.expect("the server answers");
        for front in (0..FRONTS).filter(|front| *front != prober) {
            wait_until_none_ejected(&lab, front).await;
        }
    });
}

#[test]
fn front_with_bad_links_of_its_own_ejects_no_server_and_reports_itself_suspect() {
    run_local(async {
        let mut lab = fleet().await;
        for server in [0, 1] {
            silence(&mut lab, Some(2), server).await;
        }
        let is_suspect = lab.until_verdicts(2, |status| status.contains(r#""suspect":true"#)).await;
        assert!(is_suspect, "the front does not suspect itself");
        for front in 0..FRONTS {
            let status = lab.verdicts(front).await.expect("the console answers");
            assert_eq!(held_out(&status), Vec::<String>::new(), "{front}: {status}");
        }
        lab.strike(&Fault::Heal).await.expect("the links work");
        let is_trusted = lab.until_verdicts(2, |status| status.contains(r#""suspect":false"#)).await;
        assert!(is_trusted, "the front still suspects itself");
    });
}

#[test]
fn split_fleet_has_no_quorum_to_eject_until_it_is_healed() {
    run_local(async {
        let mut lab = fleet().await;
        lab.strike(&Fault::Split { side: vec![0, 1] }).await.expect("the network is split");
        let is_split =
            lab.until_peers(0, |status| status.matches(r#""belief":"dead""#).count() == FRONTS / 2).await;
        assert!(is_split, "the fronts of one half still hear the other");
        silence(&mut lab, None, 4).await;
        for front in 0..FRONTS {
            let has_votes_of_half = |status: &str| max_votes_on(status, "s-4") == Some(FRONTS / 2);
            assert!(lab.until_verdicts(front, has_votes_of_half).await, "{front} has no votes of its half");
            assert_eq!(lab.held_out(front).await, Vec::<String>::new());
        }
        lab.strike(&Fault::Split { side: Vec::new() }).await.expect("the network is healed");
        wait_until_only_ejected(&lab, 3, "s-4").await;
    });
}

#[test]
fn restarted_server_is_not_judged_by_evidence_from_before() {
    run_local(async {
        let mut lab = fleet().await;
        silence(&mut lab, None, 5).await;
        wait_until_only_ejected(&lab, 0, "s-5").await;
        // The new process is healthy, and there is no evidence on it yet.
        lab.strike(&Fault::Heal).await.expect("the server answers");
        lab.strike(&Fault::Replace { server: 5 }).await.expect("the server is restarted");
        let has_no_report = |status: &str| reports_on(&parse(status), "s-5").is_empty();
        for front in 0..FRONTS {
            assert!(
                lab.until_verdicts(front, has_no_report).await,
                "{front} still has evidence on the server"
            );
        }
    });
}

#[test]
fn front_without_shared_ejections_has_no_ejection_metrics_and_no_status() {
    run_local(async {
        let lab = Lab::new(program(), Make::new(2, Sharing::Peers, 3)).await.expect("the fleet starts");
        assert_eq!(lab.verdicts(0).await.as_deref(), Some("this front shares no verdicts\n"));
        let metrics = lab.metrics(0).await.expect("the console answers");
        assert!(!metrics.contains("app_verdict"), "{metrics}");
    });
}
