//! Many processes of the program, with faults between them: limits that hold for all together. The short forms; the
//! long ones are commands of `tulipbridge-lab`.

use std::path::Path;
use std::time::Duration;

use nix::sys::signal::Signal;
use simd_json::prelude::*;
use tokio::task::LocalSet;
use tulipbridge_testbed::others::{self, Other};
use tulipbridge_testbed::process::{Lab, Make, Sharing};
use tulipbridge_testbed::schedule::Fault;

/// How long a read may take from its front to the server's note, on a machine that is busy with other tests.
const SLACK: Duration = Duration::from_secs(1);
/// How long anything may take before a test has failed.
const LONG: Duration = Duration::from_secs(40);

/// Runs a test's steps on one thread, with the lab's tasks beside them.
fn on_one_thread(steps: impl std::future::Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    LocalSet::new().block_on(&runtime, steps);
}

/// Four fronts that hear each other and hold a bank each.
async fn joined() -> Lab {
    let lab = lab(Sharing::Peers).await;
    assert!(lab.until_joined().await, "they join");
    lab
}

async fn lab(sharing: Sharing) -> Lab {
    let program = Path::new(env!("CARGO_BIN_EXE_tulipbridge"));
    Lab::new(program, Make::new(4, sharing, 7)).await.expect("the lab starts")
}

/// Waits until so much of the limit is served over two seconds.
async fn until_served(lab: &Lab, least: f64) {
    let until = lab.now() + LONG;
    let mut part = 0.0;
    while lab.now() < until {
        let from = lab.now();
        tokio::time::sleep(Duration::from_secs(2)).await;
        part = lab.served(from, lab.now());
        if part >= least {
            return;
        }
    }
    panic!("served {part:.2} of the limit, and {least:.2} was to be");
}

/// Holds the whole run against the bound.
fn keeps_the_bound(lab: &Lab) {
    let beyond = lab.beyond(SLACK);
    assert!(beyond <= 0.0, "{beyond:.1} units beyond the bound");
}

#[test]
fn all_traffic_at_one_front_gets_the_whole_limit() {
    on_one_thread(async {
        let lab = joined().await;
        lab.load(2, 160);
        until_served(&lab, 0.9).await;
        // One that ends in order says so, and is not waited for.
        assert_eq!(lab.end(3, Signal::SIGTERM).await, Some(0));
        assert!(lab.until_peers(0, |told| told.contains("\"belief\":\"left\"")).await, "it has left");
        keeps_the_bound(&lab);
    });
}

#[test]
fn a_cut_front_keeps_its_floor_and_the_others_take_its_bank() {
    on_one_thread(async {
        let mut lab = joined().await;
        lab.load(0, 160);
        lab.strike(&Fault::Split { side: vec![3] }).await.expect("cut");
        assert!(lab.until_peers(3, |told| told.contains("\"banks\":[]")).await, "it holds nothing");
        let both = |told: &str| told.contains("\"banks\":[\"object-0\",\"object-3\"]");
        assert!(lab.until_peers(0, both).await, "the next in the ring holds it");
        assert!(lab.until_peers(1, |told| told.contains("\"belief\":\"dead\"")).await, "nobody hears it");
        until_served(&lab, 0.85).await;
        lab.strike(&Fault::Heal).await.expect("healed");
        assert!(lab.until_joined().await, "it has its bank again");
        keeps_the_bound(&lab);
    });
}

#[test]
fn two_halves_keep_half_each() {
    on_one_thread(async {
        let mut lab = joined().await;
        lab.strike(&Fault::Split { side: vec![0, 1] }).await.expect("cut");
        assert!(lab.until_peers(0, |told| told.matches("\"belief\":\"dead\"").count() == 2).await, "split");
        (0..4).for_each(|front| lab.load(front, 40));
        until_served(&lab, 0.85).await;
        for front in 0..4 {
            let own = format!("\"banks\":[\"object-{front}\"]");
            assert!(
                lab.until_peers(front, |told| told.contains(&own)).await,
                "{front} has its own bank and no other"
            );
        }
        keeps_the_bound(&lab);
    });
}

#[test]
fn who_was_stopped_with_all_rights_goes_on_with_none_of_them() {
    on_one_thread(async {
        let lab = joined().await;
        lab.load(0, 160);
        until_served(&lab, 0.9).await;
        lab.signal(0, Signal::SIGSTOP);
        (1..4).for_each(|front| lab.load(front, 60));
        assert!(
            lab.until_peers(1, |told| told.contains("\"banks\":[\"object-0\",\"object-1\"]")).await,
            "taken over"
        );
        until_served(&lab, 0.85).await;
        lab.signal(0, Signal::SIGCONT);
        assert!(lab.until_joined().await, "it is back");
        until_served(&lab, 0.9).await;
        keeps_the_bound(&lab);
    });
}

#[test]
fn a_second_process_of_a_name_uses_nothing_and_says_so() {
    on_one_thread(async {
        let mut lab = joined().await;
        (0..4).for_each(|front| lab.load(front, 40));
        lab.strike(&Fault::Twin { front: 1, millis: 4_000 }).await.expect("a second one runs for a while");
        let said = lab.said_by_twins();
        assert!(said.contains("another process has the name object-1"), "{said}");
        until_served(&lab, 0.85).await;
        keeps_the_bound(&lab);
    });
}

#[test]
fn a_second_version_takes_over_from_the_first_at_its_addresses() {
    on_one_thread(async {
        let mut lab = joined().await;
        (0..4).for_each(|front| lab.load(front, 40));
        until_served(&lab, 0.9).await;
        let before = lab.peers(1).await.expect("it answers");
        lab.strike(&Fault::Upgrade { front: 1 }).await.expect("the second version hears its peers");
        assert!(lab.until_joined().await, "it has the first one's place");
        assert_ne!(lab.peers(1).await.expect("it answers"), before, "another boot");
        until_served(&lab, 0.9).await;
        keeps_the_bound(&lab);
    });
}

#[test]
fn a_second_version_uses_no_shared_limit_while_the_first_runs() {
    on_one_thread(async {
        let lab = joined().await;
        // The first one stands still and so does not end; the second one alone has clients that get answers.
        let first = lab.beside(1).await.expect("the second version takes clients");
        lab.load(1, 160);
        let absent = |told: &str| told.contains("\"standing_back\":true") && told.contains("\"banks\":[]");
        assert!(lab.until_peers(1, absent).await, "it says so");
        // Longer than a front that has just started waits before it uses its floor.
        tokio::time::sleep(Duration::from_secs(4)).await;
        assert!(
            lab.until_peers(1, |told| told.contains("\"just_started\":true")).await,
            "it starts all that time"
        );
        assert_eq!(lab.sent().len(), 0, "nothing of the limit is its own");
        lab.finish(1, first).await.expect("the second version hears its peers");
        until_served(&lab, 0.9).await;
        keeps_the_bound(&lab);
    });
}

#[test]
fn of_two_rosters_of_one_revision_one_uses_nothing() {
    on_one_thread(async {
        let lab = lab(Sharing::HalfUnknown).await;
        // The first two know of each other alone. They answer the others, with another roster of the same revision,
        // and one of the two rosters uses nothing.
        (0..4).for_each(|front| lab.load(front, 60));
        let mut yielding = 0;
        for front in 0..4 {
            let at_work =
                |told: &str| told.contains("\"other_roster\":true") || !told.contains("\"banks\":[]");
            assert!(lab.until_peers(front, at_work).await, "{front}");
            yielding +=
                usize::from(lab.peers(front).await.is_some_and(|t| t.contains("\"other_roster\":true")));
        }
        assert_eq!(yielding, 2);
        until_served(&lab, 0.45).await;
        keeps_the_bound(&lab);
    });
}

#[test]
fn killed_fronts_and_storms_keep_the_bound() {
    on_one_thread(async {
        let mut lab = joined().await;
        (0..4).for_each(|front| lab.load(front, 40));
        lab.strike(&Fault::Weather { lost: 20, repeated: 40, late: 300 }).await.expect("a storm");
        for front in 0..4 {
            lab.strike(&Fault::Kill { front, back: Some(20) }).await.expect("it is back");
        }
        lab.strangers(200, Duration::from_secs(2)).await;
        lab.strike(&Fault::Weather { lost: 0, repeated: 0, late: 0 }).await.expect("calm");
        assert!(lab.until_joined().await, "they join again");
        until_served(&lab, 0.9).await;
        let told = lab.metrics(0).await.expect("it answers");
        assert!(told.contains("worth=\"wrong_digest\"") && told.contains("worth=\"no_message\""), "counted");
        keeps_the_bound(&lab);
    });
}

#[test]
fn what_a_front_tells_of_itself_comes_round_a_bad_link() {
    on_one_thread(async {
        let mut lab = joined().await;
        let told = |told: &str| told.matches("\"version\":\"").count() == 3;
        for front in 0..4 {
            assert!(lab.until_peers(front, told).await, "{front} knows the others' version");
        }
        // It starts again where the first cannot hear it: the others pass on what it tells.
        lab.strike(&Fault::Cut { from: 2, to: 0 }).await.expect("cut");
        assert!(lab.until_peers(0, |told| told.contains("\"suspect\"")).await, "silent for a life");
        lab.strike(&Fault::Kill { front: 2, back: Some(1) }).await.expect("it is back");
        let fresh = |told: &str| {
            let Ok(value) = simd_json::to_owned_value(&mut told.as_bytes().to_vec()) else { return false };
            let peer = value["peers"].as_array().and_then(|p| p.iter().find(|p| p["name"] == "object-2"));
            let age = peer.and_then(|p| p["told_ms"].as_i64());
            // Older ones were told before it fell silent here; an age is too large by a beat or two on each way.
            let silent = peer.and_then(|p| p["silent_ms"].as_i64());
            age.zip(silent).is_some_and(|(age, silent)| age < silent)
        };
        assert!(lab.until_peers(0, fresh).await, "what it tells now, where it is not heard");
        keeps_the_bound(&lab);
    });
}

#[test]
fn further_attempts_of_all_fronts_keep_to_one_limit() {
    on_one_thread(keeps(Other::Further));
}

#[test]
fn a_starting_server_is_sent_no_more_by_all_fronts_than_one_limit() {
    on_one_thread(keeps(Other::Starting));
}

/// Plays a limit that is no volume's: the load at one front, at another, a split, one killed and back.
async fn keeps(limit: Other) {
    let program = Path::new(env!("CARGO_BIN_EXE_tulipbridge"));
    let kept = others::play(program, limit, 1, SLACK).await.expect("the lab runs");
    assert!(kept.holds() && kept.used > 0.5, "{kept:?}");
}

#[test]
fn without_peers_there_is_nothing_of_them() {
    on_one_thread(async {
        let lab = lab(Sharing::Even(4)).await;
        let told = lab.metrics(0).await.expect("it answers");
        assert!(!told.contains("app_peer"), "{told}");
        assert_eq!(lab.peers(0).await.as_deref(), Some("this front has no peers\n"));
        lab.load(0, 160);
        until_served(&lab, 0.2).await;
        let from = lab.now();
        tokio::time::sleep(Duration::from_secs(2)).await;
        assert!(lab.served(from, lab.now()) < 0.4, "an even part of the limit, as ever");
    });
}
