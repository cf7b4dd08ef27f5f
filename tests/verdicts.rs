//! Verdicts on chunk servers that many processes of the program reach together, with faults of servers, of links and
//! of fronts. The long forms are commands of `tulipbridge-lab`.

use std::path::Path;
use std::time::Duration;

use nix::sys::signal::Signal;
use simd_json::prelude::*;
use simd_json::OwnedValue as Value;
use tokio::task::LocalSet;
use tulipbridge_testbed::process::{held_out, Lab, Make, Sharing};
use tulipbridge_testbed::schedule::Fault;
use tulipbridge_testbed::wire::State;

const FRONTS: usize = 4;
const SERVERS: usize = 6;
/// What an answer takes: four times as long is slow, which a busy machine does not make of it.
const TAKES: Duration = Duration::from_millis(25);

fn on_one_thread(steps: impl std::future::Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    LocalSet::new().block_on(&runtime, steps);
}

/// Fronts that share verdicts, with traffic: new objects and reads, until each knows what answers usually take.
async fn fleet() -> Lab {
    let limits = r#"{"starting_server": {"rate": 40, "burst": 20}}"#;
    let make = Make { limits, ..Make::judging(FRONTS, SERVERS, TAKES, 3) };
    let lab = Lab::new(Path::new(env!("CARGO_BIN_EXE_tulipbridge")), make).await.expect("the lab starts");
    assert!(lab.until_joined().await, "they join");
    (0..FRONTS).for_each(|front| lab.load(front, 30));
    for front in 0..FRONTS {
        let knows = |told: &str| told.matches("median_us").count() == 2;
        assert!(lab.until_verdicts(front, knows).await, "{front} knows what is usual");
    }
    lab
}

/// What a front says of the verdicts on a server.
fn of<'a>(told: &'a Value, server: &str) -> Vec<&'a Value> {
    let all = told["verdicts"].as_array().into_iter().flatten();
    all.filter(|one| one["server"] == server).collect()
}

fn read(told: &str) -> Value {
    simd_json::to_owned_value(&mut told.as_bytes().to_vec()).expect("JSON")
}

async fn until_out(lab: &Lab, front: usize, server: &str) {
    assert!(lab.until_verdicts(front, |told| held_out(told) == [server]).await, "{front} holds {server} out");
}

async fn until_in(lab: &Lab, front: usize) {
    assert!(lab.until_verdicts(front, |told| held_out(told).is_empty()).await, "{front} holds nothing out");
}

async fn silent(lab: &mut Lab, front: Option<usize>, server: usize) {
    let fault = Fault::Wire { front, server, state: State::Silent };
    lab.strike(&fault).await.expect("silent");
}

#[test]
fn a_stopped_server_is_held_out_by_all_tried_by_one_and_comes_back() {
    on_one_thread(async {
        let mut lab = fleet().await;
        silent(&mut lab, None, 1).await;
        for front in 0..FRONTS {
            until_out(&lab, front, "s-1").await;
        }
        let told = read(&lab.verdicts(0).await.expect("it answers"));
        let verdict = of(&told, "s-1")[0];
        assert!(verdict["assents"].as_array().expect("a list").len() > FRONTS / 2, "{told:?}");
        assert!(verdict["lapses_ms"].as_i64().is_some_and(|ms| ms <= 4_000), "{told:?}");
        let figures = lab.metrics(0).await.expect("it answers");
        assert!(figures.contains("app_verdicts_out 1"), "{figures}");
        assert!(figures.contains("app_cluster_unhealthy 1"), "{figures}");
        // Who tries is killed; another does, and the server is well again.
        let trier = |told: &str| {
            let told = read(told);
            let name = of(&told, "s-1").first().and_then(|one| one["tries"].as_str().map(str::to_owned));
            name.and_then(|name| name.rsplit('-').next().and_then(|n| n.parse::<usize>().ok()))
        };
        let by = trier(&lab.verdicts(0).await.expect("it answers")).expect("somebody tries it");
        lab.end(by, Signal::SIGKILL).await;
        lab.strike(&Fault::Heal).await.expect("healed");
        for front in (0..FRONTS).filter(|front| *front != by) {
            until_in(&lab, front).await;
        }
    });
}

#[test]
fn a_front_whose_own_links_are_bad_condemns_nobody_and_is_told() {
    on_one_thread(async {
        let mut lab = fleet().await;
        for server in [0, 1] {
            silent(&mut lab, Some(2), server).await;
        }
        assert!(lab.until_verdicts(2, |told| told.contains("\"suspect\":true")).await, "it is told");
        for front in 0..FRONTS {
            let told = lab.verdicts(front).await.expect("it answers");
            assert_eq!(held_out(&told), Vec::<String>::new(), "{front}: {told}");
        }
        lab.strike(&Fault::Heal).await.expect("healed");
        assert!(lab.until_verdicts(2, |told| told.contains("\"suspect\":false")).await, "and told again");
    });
}

#[test]
fn two_halves_hold_nothing_out_and_the_whole_does() {
    on_one_thread(async {
        let mut lab = fleet().await;
        lab.strike(&Fault::Split { side: vec![0, 1] }).await.expect("split");
        assert!(lab.until_peers(0, |told| told.matches("\"belief\":\"dead\"").count() == 2).await, "split");
        silent(&mut lab, None, 4).await;
        for front in 0..FRONTS {
            let both = |told: &str| {
                let told = read(told);
                let assents =
                    of(&told, "s-4").iter().map(|one| one["assents"].as_array().map_or(0, |a| a.len())).max();
                assents == Some(2)
            };
            assert!(lab.until_verdicts(front, both).await, "{front} and its neighbour assent");
            assert_eq!(lab.held_out(front).await, Vec::<String>::new());
        }
        lab.strike(&Fault::Split { side: Vec::new() }).await.expect("whole again");
        until_out(&lab, 3, "s-4").await;
    });
}

#[test]
fn a_server_that_starts_anew_at_its_address_is_another_one() {
    on_one_thread(async {
        let mut lab = fleet().await;
        silent(&mut lab, None, 5).await;
        until_out(&lab, 0, "s-5").await;
        // Its next run is well, and what was seen of the one before says nothing of it.
        lab.strike(&Fault::Heal).await.expect("healed");
        lab.strike(&Fault::Replace { server: 5 }).await.expect("replaced");
        let gone = |told: &str| of(&read(told), "s-5").is_empty();
        for front in 0..FRONTS {
            assert!(lab.until_verdicts(front, gone).await, "{front} knows nothing against it");
        }
    });
}

#[test]
fn without_verdicts_in_the_file_there_is_nothing_of_them() {
    on_one_thread(async {
        let program = Path::new(env!("CARGO_BIN_EXE_tulipbridge"));
        let lab = Lab::new(program, Make::new(2, Sharing::Peers, 3)).await.expect("the lab starts");
        assert_eq!(lab.verdicts(0).await.as_deref(), Some("this front shares no verdicts\n"));
        let figures = lab.metrics(0).await.expect("it answers");
        assert!(!figures.contains("app_verdict"), "{figures}");
    });
}
