//! Ejections of chunk servers that a fleet of processes decides together, with faults of servers,
//! of links and of fronts. Longer runs of the same are commands of `tulipbridge-testbed`.

mod support;

use std::time::Duration;

use nix::sys::signal::Signal;
use simd_json::prelude::*;
use simd_json::OwnedValue as Value;
use support::{program, run_local};
use tulipbridge_testbed::schedule::Fault;
use tulipbridge_testbed::tcp_proxy::LinkState;
use tulipbridge_testbed::testbed::{ejected_servers, Sharing, Testbed, TestbedConfig};

const FRONTS: usize = 4;
const SERVERS: usize = 6;
/// Classes of work with load.
const CLASSES: usize = 2;
/// Response time of a server. An outlier takes four times as long, which a busy machine does not
/// cause.
const RESPONSE_TIME: Duration = Duration::from_millis(25);
/// Longest time that an ejection may stand without a new vote, in milliseconds.
const MAX_VOTE_TTL_MS: i64 = 4_000;

/// A fleet that shares ejections, under load of both classes, once each front knows the usual
/// response times.
async fn fleet() -> Testbed {
    let limits = r#"{"starting_server": {"rate": 40, "burst": 20}}"#;
    let make = TestbedConfig {
        limits,
        ..TestbedConfig::with_outlier_detection(FRONTS, SERVERS, RESPONSE_TIME, 3)
    };
    let testbed = Testbed::start_all(program(), make)
        .await
        .expect("the fleet starts");
    assert!(
        testbed.wait_until_joined().await,
        "not all fronts have joined"
    );
    (0..FRONTS).for_each(|front| testbed.set_load(front, 30));
    for front in 0..FRONTS {
        let has_medians = |status: &str| status.matches("median_us").count() == CLASSES;
        assert!(
            testbed.wait_for_outlier_status(front, has_medians).await,
            "{front} has no medians"
        );
    }
    testbed
}

/// The reports on a server in the ejection status of a front.
fn reports_on<'a>(status: &'a Value, server: &str) -> Vec<&'a Value> {
    let reports = status["verdicts"].as_array().into_iter().flatten();
    reports
        .filter(|report| report["server"] == server)
        .collect()
}

fn parse(status: &str) -> Value {
    simd_json::to_owned_value(&mut status.as_bytes().to_vec()).expect("the status is JSON")
}

/// The number of the front whose turn it is to probe a server.
fn prober_of(status: &str, server: &str) -> Option<usize> {
    let status = parse(status);
    let name = reports_on(&status, server).first()?["tries"]
        .as_str()?
        .to_owned();
    name.rsplit('-').next()?.parse().ok()
}

/// The most votes of a report on a server.
fn max_votes_on(status: &str, server: &str) -> Option<usize> {
    let status = parse(status);
    let votes = |report: &&Value| report["assents"].as_array().map_or(0, |votes| votes.len());
    reports_on(&status, server).iter().map(votes).max()
}

async fn wait_until_only_ejected(testbed: &Testbed, front: usize, server: &str) {
    let is_ejected = testbed
        .wait_for_outlier_status(front, |status| ejected_servers(status) == [server])
        .await;
    assert!(is_ejected, "{front} does not eject {server} alone");
}

async fn wait_until_none_ejected(testbed: &Testbed, front: usize) {
    let none_ejected = testbed
        .wait_for_outlier_status(front, |status| ejected_servers(status).is_empty())
        .await;
    assert!(none_ejected, "{front} still ejects a server");
}

/// Makes a server silent, for one front or for all.
async fn silence(testbed: &mut Testbed, front: Option<usize>, server: usize) {
    let fault = Fault::ServerLink {
        front,
        server,
        state: LinkState::Silent,
    };
    testbed.inject(&fault).await.expect("the server is silent");
}

#[test]
fn silent_server_is_ejected_by_all_probed_by_one_and_readmitted() {
    run_local(async {
        let mut testbed = fleet().await;
        silence(&mut testbed, None, 1).await;
        for front in 0..FRONTS {
            wait_until_only_ejected(&testbed, front, "s-1").await;
        }
        let status = parse(
            &testbed
                .outlier_status(0)
                .await
                .expect("the console answers"),
        );
        let report = reports_on(&status, "s-1")[0];
        assert!(
            report["assents"].as_array().expect("a list").len() > FRONTS / 2,
            "{status:?}"
        );
        assert!(
            report["lapses_ms"]
                .as_i64()
                .is_some_and(|ms| ms <= MAX_VOTE_TTL_MS),
            "{status:?}"
        );
        let metrics = testbed.metrics(0).await.expect("the console answers");
        assert!(metrics.contains("app_verdicts_out 1"), "{metrics}");
        assert!(metrics.contains("app_cluster_unhealthy 1"), "{metrics}");
        // The front that probes the server is killed: another one must probe it, once the server is
        // healthy again.
        let status = testbed
            .outlier_status(0)
            .await
            .expect("the console answers");
        let prober = prober_of(&status, "s-1").expect("a front probes the server");
        testbed.terminate(prober, Signal::SIGKILL).await;
        testbed
            .inject(&Fault::Heal)
            .await
            .expect("the server answers");
        for front in (0..FRONTS).filter(|front| *front != prober) {
            wait_until_none_ejected(&testbed, front).await;
        }
    });
}

#[test]
fn front_with_bad_links_of_its_own_ejects_no_server_and_reports_itself_suspect() {
    run_local(async {
        let mut testbed = fleet().await;
        for server in [0, 1] {
            silence(&mut testbed, Some(2), server).await;
        }
        let is_suspect = testbed
            .wait_for_outlier_status(2, |status| status.contains(r#""suspect":true"#))
            .await;
        assert!(is_suspect, "the front does not suspect itself");
        for front in 0..FRONTS {
            let status = testbed
                .outlier_status(front)
                .await
                .expect("the console answers");
            assert_eq!(
                ejected_servers(&status),
                Vec::<String>::new(),
                "{front}: {status}"
            );
        }
        testbed.inject(&Fault::Heal).await.expect("the links work");
        let is_trusted = testbed
            .wait_for_outlier_status(2, |status| status.contains(r#""suspect":false"#))
            .await;
        assert!(is_trusted, "the front still suspects itself");
    });
}

#[test]
fn split_fleet_has_no_quorum_to_eject_until_it_is_healed() {
    run_local(async {
        let mut testbed = fleet().await;
        testbed
            .inject(&Fault::Partition { side: vec![0, 1] })
            .await
            .expect("the network is split");
        let is_split = testbed
            .wait_for_peers(0, |status| {
                status.matches(r#""belief":"dead""#).count() == FRONTS / 2
            })
            .await;
        assert!(is_split, "the fronts of one half still hear the other");
        silence(&mut testbed, None, 4).await;
        for front in 0..FRONTS {
            let has_votes_of_half = |status: &str| max_votes_on(status, "s-4") == Some(FRONTS / 2);
            assert!(
                testbed
                    .wait_for_outlier_status(front, has_votes_of_half)
                    .await,
                "{front} has no votes of its half"
            );
            assert_eq!(testbed.ejected_servers(front).await, Vec::<String>::new());
        }
        testbed
            .inject(&Fault::Partition { side: Vec::new() })
            .await
            .expect("the network is healed");
        wait_until_only_ejected(&testbed, 3, "s-4").await;
    });
}

#[test]
fn restarted_server_is_not_judged_by_evidence_from_before() {
    run_local(async {
        let mut testbed = fleet().await;
        silence(&mut testbed, None, 5).await;
        wait_until_only_ejected(&testbed, 0, "s-5").await;
        // The new process is healthy, and there is no evidence on it yet.
        testbed
            .inject(&Fault::Heal)
            .await
            .expect("the server answers");
        testbed
            .inject(&Fault::RestartServer { server: 5 })
            .await
            .expect("the server is restarted");
        let has_no_report = |status: &str| reports_on(&parse(status), "s-5").is_empty();
        for front in 0..FRONTS {
            assert!(
                testbed.wait_for_outlier_status(front, has_no_report).await,
                "{front} still has evidence on the server"
            );
        }
    });
}

#[test]
fn front_without_shared_ejections_has_no_ejection_metrics_and_no_status() {
    run_local(async {
        let testbed = Testbed::start_all(program(), TestbedConfig::new(2, Sharing::Peers, 3))
            .await
            .expect("the fleet starts");
        assert_eq!(
            testbed.outlier_status(0).await.as_deref(),
            Some("this front shares no verdicts\n")
        );
        let metrics = testbed.metrics(0).await.expect("the console answers");
        assert!(!metrics.contains("app_verdict"), "{metrics}");
    });
}
