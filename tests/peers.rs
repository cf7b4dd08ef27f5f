//! Limits that hold for a whole fleet of processes, with faults of the network and of the fronts
//! between them. Longer runs of the same are commands of `tulipbridge-testbed`.

mod support;

use std::cell::RefCell;
use std::time::Duration;

use nix::sys::signal::Signal;
use simd_json::prelude::*;
use support::{program, run_local};
use tulipbridge_testbed::schedule::Fault;
use tulipbridge_testbed::shared_limit_experiments::{self, SharedLimit};
use tulipbridge_testbed::testbed::{Sharing, Testbed, TestbedConfig};

/// Fronts of a fleet.
const FRONTS: usize = 4;
/// Seed of the fleet's load.
const SEED: u64 = 7;
/// Longest time from a front's sending a read to the server's noting it, on a machine that is busy
/// with other tests.
const ARRIVAL_SLACK: Duration = Duration::from_secs(1);
/// Longest time to wait for a condition before the test fails.
const TIMEOUT: Duration = Duration::from_secs(40);
/// Time over which the use of the limit is measured.
const MEASURED_SPAN: Duration = Duration::from_secs(2);
/// Longer than a front that has just started waits before it uses its floor.
const LONGER_THAN_START: Duration = Duration::from_secs(4);

/// A fleet whose fronts hear each other and hold one lease issuer each.
async fn joined_fleet() -> Testbed {
    let testbed = fleet(Sharing::Peers).await;
    assert!(
        testbed.wait_until_joined().await,
        "not all fronts have joined"
    );
    testbed
}

async fn fleet(sharing: Sharing) -> Testbed {
    Testbed::start_all(program(), TestbedConfig::new(FRONTS, sharing, SEED))
        .await
        .expect("the fleet starts")
}

/// The part of the limit that is served from now on over a span.
async fn served_part(testbed: &Testbed) -> f64 {
    let from = testbed.elapsed();
    tokio::time::sleep(MEASURED_SPAN).await;
    testbed.served_fraction(from, testbed.elapsed())
}

/// Waits until at least this part of the limit is served.
async fn wait_until_served(testbed: &Testbed, min_part: f64) {
    let deadline = testbed.elapsed() + TIMEOUT;
    let mut part = 0.0;
    while testbed.elapsed() < deadline {
        part = served_part(testbed).await;
        if part >= min_part {
            return;
        }
    }
    panic!("{part:.2} of the limit is served, less than {min_part:.2}");
}

/// Waits until the peer status of a front contains a text.
async fn wait_for_status(testbed: &Testbed, front: usize, text: &str) {
    let last_status = RefCell::new(String::new());
    let is_shown = testbed
        .wait_for_peers(front, |status| {
            last_status.replace(status.to_owned());
            status.contains(text)
        })
        .await;
    assert!(
        is_shown,
        "the status of front {front} does not show {text}, but {}",
        last_status.borrow()
    );
}

/// Checks that the limit was never exceeded since the fleet started.
fn assert_limit_held(testbed: &Testbed) {
    let excess = testbed.max_excess(ARRIVAL_SLACK);
    assert!(excess <= 0.0, "{excess:.1} units beyond the limit");
}

#[test]
fn front_with_all_traffic_gets_the_whole_limit() {
    run_local(async {
        let testbed = joined_fleet().await;
        testbed.set_load(2, 160);
        wait_until_served(&testbed, 0.9).await;
        // A front that shuts down in order says so; its peers need not wait for its leases to
        // expire.
        assert_eq!(testbed.terminate(3, Signal::SIGTERM).await, Some(0));
        wait_for_status(&testbed, 0, r#""belief":"left""#).await;
        assert_limit_held(&testbed);
    });
}

#[test]
fn lease_issuer_of_an_isolated_front_is_taken_over() {
    run_local(async {
        let mut testbed = joined_fleet().await;
        testbed.set_load(0, 160);
        testbed
            .inject(&Fault::Partition { side: vec![3] })
            .await
            .expect("the network is cut");
        wait_for_status(&testbed, 3, r#""banks":[]"#).await;
        let holds_both = |status: &str| status.contains(r#""banks":["object-0","object-3"]"#);
        assert!(
            testbed.wait_for_peers(0, holds_both).await,
            "nobody has taken over the lease issuer"
        );
        wait_for_status(&testbed, 1, r#""belief":"dead""#).await;
        wait_until_served(&testbed, 0.85).await;
        testbed
            .inject(&Fault::Heal)
            .await
            .expect("the network is healed");
        assert!(
            testbed.wait_until_joined().await,
            "the front has not joined again"
        );
        assert_limit_held(&testbed);
    });
}

#[test]
fn each_half_of_a_split_fleet_keeps_half_the_limit() {
    run_local(async {
        let mut testbed = joined_fleet().await;
        testbed
            .inject(&Fault::Partition { side: vec![0, 1] })
            .await
            .expect("the network is cut");
        assert!(
            testbed
                .wait_for_peers(0, |status| status.matches(r#""belief":"dead""#).count()
                    == 2)
                .await,
            "not split"
        );
        (0..FRONTS).for_each(|front| testbed.set_load(front, 40));
        wait_until_served(&testbed, 0.85).await;
        for front in 0..FRONTS {
            let own = format!(r#""banks":["object-{front}"]"#);
            wait_for_status(&testbed, front, &own).await;
        }
        assert_limit_held(&testbed);
    });
}

#[test]
fn front_stopped_while_it_held_leases_resumes_without_them() {
    run_local(async {
        let testbed = joined_fleet().await;
        testbed.set_load(0, 160);
        wait_until_served(&testbed, 0.9).await;
        testbed.signal(0, Signal::SIGSTOP);
        (1..FRONTS).for_each(|front| testbed.set_load(front, 60));
        wait_for_status(&testbed, 1, r#""banks":["object-0","object-1"]"#).await;
        wait_until_served(&testbed, 0.85).await;
        testbed.signal(0, Signal::SIGCONT);
        assert!(
            testbed.wait_until_joined().await,
            "the front has not joined again"
        );
        wait_until_served(&testbed, 0.9).await;
        assert_limit_held(&testbed);
    });
}

#[test]
fn second_process_of_a_name_uses_no_shared_limit() {
    run_local(async {
        let mut testbed = joined_fleet().await;
        (0..FRONTS).for_each(|front| testbed.set_load(front, 40));
        testbed
            .inject(&Fault::DuplicateProcess {
                front: 1,
                duration: Duration::from_secs(4),
            })
            .await
            .expect("the second process runs for a while");
        let log = testbed.duplicate_log();
        assert!(
            log.contains("another process has the name object-1"),
            "{log}"
        );
        wait_until_served(&testbed, 0.85).await;
        assert_limit_held(&testbed);
    });
}

#[test]
fn upgraded_front_takes_over_from_its_predecessor() {
    run_local(async {
        let mut testbed = joined_fleet().await;
        (0..FRONTS).for_each(|front| testbed.set_load(front, 40));
        wait_until_served(&testbed, 0.9).await;
        let status_before = testbed.peer_status(1).await.expect("the console answers");
        testbed
            .inject(&Fault::Upgrade { front: 1 })
            .await
            .expect("the second version hears its peers");
        assert!(
            testbed.wait_until_joined().await,
            "the second version has not joined"
        );
        let status_after = testbed.peer_status(1).await.expect("the console answers");
        assert_ne!(
            status_after, status_before,
            "it must have another incarnation"
        );
        wait_until_served(&testbed, 0.9).await;
        assert_limit_held(&testbed);
    });
}

#[test]
fn upgraded_front_uses_no_shared_limit_until_its_predecessor_ends() {
    run_local(async {
        let testbed = joined_fleet().await;
        // The first version is stopped and so does not end; the second one alone answers clients.
        let predecessor = testbed
            .start_successor(1)
            .await
            .expect("the second version takes clients");
        testbed.set_load(1, 160);
        let stands_by = |status: &str| {
            status.contains(r#""standing_back":true"#) && status.contains(r#""banks":[]"#)
        };
        assert!(
            testbed.wait_for_peers(1, stands_by).await,
            "it must be suspended and hold no issuer while its predecessor runs"
        );
        tokio::time::sleep(LONGER_THAN_START).await;
        wait_for_status(&testbed, 1, r#""just_started":true"#).await;
        assert_eq!(
            testbed.attempts().len(),
            0,
            "it must use nothing of the limit"
        );
        testbed
            .finish_upgrade(1, predecessor)
            .await
            .expect("the second version hears its peers");
        wait_until_served(&testbed, 0.9).await;
        assert_limit_held(&testbed);
    });
}

#[test]
fn fronts_of_one_of_two_conflicting_rosters_yield() {
    run_local(async {
        let testbed = fleet(Sharing::HalfUnknown).await;
        // The first two fronts have a roster of themselves alone. Its revision is that of the
        // others' roster, so the fronts of one of the two rosters must yield.
        (0..FRONTS).for_each(|front| testbed.set_load(front, 60));
        let mut yielding = 0;
        for front in 0..FRONTS {
            let has_decided = |status: &str| {
                status.contains(r#""other_roster":true"#) || !status.contains(r#""banks":[]"#)
            };
            assert!(
                testbed.wait_for_peers(front, has_decided).await,
                "{front} neither yields nor holds a lease issuer"
            );
            let status = testbed.peer_status(front).await;
            yielding +=
                usize::from(status.is_some_and(|status| status.contains(r#""other_roster":true"#)));
        }
        assert_eq!(yielding, 2);
        wait_until_served(&testbed, 0.45).await;
        assert_limit_held(&testbed);
    });
}

#[test]
fn limit_holds_through_restarts_and_message_loss() {
    run_local(async {
        let mut testbed = joined_fleet().await;
        (0..FRONTS).for_each(|front| testbed.set_load(front, 40));
        testbed
            .inject(&Fault::DatagramFaults {
                loss_percent: 20,
                duplication_percent: 40,
                max_delay: Duration::from_millis(300),
            })
            .await
            .expect("messages are lost, repeated and late");
        for front in 0..FRONTS {
            testbed
                .inject(&Fault::Kill {
                    front,
                    restart_after: Some(Duration::from_millis(20)),
                })
                .await
                .expect("the front starts again");
        }
        testbed
            .send_unauthenticated_datagrams(200, Duration::from_secs(2))
            .await;
        testbed
            .inject(&Fault::DatagramFaults {
                loss_percent: 0,
                duplication_percent: 0,
                max_delay: Duration::ZERO,
            })
            .await
            .expect("messages arrive again");
        assert!(
            testbed.wait_until_joined().await,
            "not all fronts have joined again"
        );
        wait_until_served(&testbed, 0.9).await;
        let metrics = testbed.metrics(0).await.expect("the console answers");
        assert!(metrics.contains(r#"worth="wrong_digest""#), "{metrics}");
        assert!(metrics.contains(r#"worth="no_message""#), "{metrics}");
        assert_limit_held(&testbed);
    });
}

#[test]
fn gossip_of_a_restarted_front_is_relayed_round_a_bad_link() {
    run_local(async {
        let mut testbed = joined_fleet().await;
        let knows_versions = |status: &str| status.matches(r#""version":""#).count() == FRONTS - 1;
        for front in 0..FRONTS {
            assert!(
                testbed.wait_for_peers(front, knows_versions).await,
                "{front} does not know the others' versions"
            );
        }
        // Front 2 starts again while front 0 cannot receive from it: the others must relay its
        // gossip.
        testbed
            .inject(&Fault::Cut { from: 2, to: 0 })
            .await
            .expect("the network is cut");
        wait_for_status(&testbed, 0, r#""suspect""#).await;
        testbed
            .inject(&Fault::Kill {
                front: 2,
                restart_after: Some(Duration::from_millis(1)),
            })
            .await
            .expect("the front starts again");
        assert!(
            testbed.wait_for_peers(0, has_fresh_gossip_of_2).await,
            "front 0 has no gossip since the cut"
        );
        assert_limit_held(&testbed);
    });
}

/// Whether a front's peer status shows gossip of front 2 that is younger than the front's last
/// message: entries from before the link was cut are older. The age is overestimated by a heartbeat
/// or two for each relay.
fn has_fresh_gossip_of_2(status: &str) -> bool {
    let Ok(status) = simd_json::to_owned_value(&mut status.as_bytes().to_vec()) else {
        return false;
    };
    let peers = status["peers"].as_array();
    let peer = peers.and_then(|peers| peers.iter().find(|peer| peer["name"] == "object-2"));
    let gossip_age = peer.and_then(|peer| peer["told_ms"].as_i64());
    let silence = peer.and_then(|peer| peer["silent_ms"].as_i64());
    gossip_age
        .zip(silence)
        .is_some_and(|(gossip_age, silence)| gossip_age < silence)
}

#[test]
fn retries_of_all_fronts_keep_to_one_limit() {
    run_local(check_limit_held(SharedLimit::Retries));
}

#[test]
fn load_of_all_fronts_on_a_warming_up_server_keeps_to_one_limit() {
    run_local(check_limit_held(SharedLimit::SlowStart));
}

/// Checks a limit that is not a volume's while the load moves from one front to another, the fleet
/// is split and a front is killed and starts again.
async fn check_limit_held(limit: SharedLimit) {
    let result = shared_limit_experiments::run(program(), limit, 1, ARRIVAL_SLACK)
        .await
        .expect("the fleet runs");
    assert!(result.is_valid() && result.used > 0.5, "{result:?}");
}

#[test]
fn front_without_peers_has_no_peer_metrics_and_no_peer_status() {
    run_local(async {
        let testbed = fleet(Sharing::Even(4)).await;
        let metrics = testbed.metrics(0).await.expect("the console answers");
        assert!(!metrics.contains("app_peer"), "{metrics}");
        assert_eq!(
            testbed.peer_status(0).await.as_deref(),
            Some("this front has no peers\n")
        );
        testbed.set_load(0, 160);
        wait_until_served(&testbed, 0.2).await;
        assert!(
            served_part(&testbed).await < 0.4,
            "it must serve no more than an even part of the limit"
        );
    });
}
