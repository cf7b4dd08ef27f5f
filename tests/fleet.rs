//! Many processes of the program, with faults between them: limits that hold for all together.

use std::path::Path;
use std::time::Duration;

use tokio::task::LocalSet;
use tulipbridge_lab::process::{Lab, Make, Sharing};
use tulipbridge_lab::schedule::Fault;

/// Runs a test's steps on one thread, with the lab's tasks beside them.
fn on_one_thread(steps: impl std::future::Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    LocalSet::new().block_on(&runtime, steps);
}

async fn lab(fronts: usize, sharing: Sharing) -> Lab {
    let program = Path::new(env!("CARGO_BIN_EXE_tulipbridge"));
    Lab::new(program, Make::new(fronts, sharing, 7)).await.expect("the lab starts")
}

/// How long a read may take from its front to the server's note, on a machine that is busy with other tests.
const SLACK: Duration = Duration::from_millis(500);

async fn measure(lab: &Lab, span: Duration) -> f64 {
    let from = lab.now();
    tokio::time::sleep(span).await;
    lab.served(from, from + span)
}

#[test]
fn all_traffic_at_one_front_gets_the_whole_limit() {
    on_one_thread(async {
        let lab = lab(4, Sharing::Peers).await;
        assert!(lab.until_joined().await, "they join");
        lab.load(2, 160);
        measure(&lab, Duration::from_secs(3)).await;
        let part = measure(&lab, Duration::from_secs(4)).await;
        println!("served {part:.3}");
        assert!(part > 0.8, "{part}");
        assert!(lab.beyond(SLACK) <= 0.0);
    });
}

#[test]
fn a_cut_front_keeps_its_floor_and_the_others_take_its_bank() {
    on_one_thread(async {
        let mut lab = lab(4, Sharing::Peers).await;
        assert!(lab.until_joined().await, "they join");
        (0..4).for_each(|front| lab.load(front, 60));
        lab.strike(&Fault::Split { side: vec![3] }).await.expect("cut");
        assert!(lab.until_peers(3, |told| told.contains("\"banks\":[]")).await, "it holds nothing");
        let mut taken = false;
        for front in 0..3 {
            taken |= lab.peers(front).await.is_some_and(|told| told.contains("object-3\"],\"peers"));
        }
        assert!(
            taken || lab.until_peers(0, |told| told.contains("object-0\",\"object-3")).await,
            "the next holds it"
        );
        let part = measure(&lab, Duration::from_secs(3)).await;
        println!("served {part:.3}");
        lab.strike(&Fault::Heal).await.expect("healed");
        assert!(lab.until_joined().await, "they join again");
        assert!(lab.beyond(SLACK) <= 0.0);
    });
}
