//! The checker itself: that it is repeatable, reads its own histories, and says plainly what it cannot read.

use std::num::NonZeroUsize;
use std::path::PathBuf;
use std::process::{Command, Output};
use std::time::Duration;

use tulipbridge_model_checker::explore::{explore, walk, Bounds, Report};
use tulipbridge_model_checker::trace::{shrink, Trace};
use tulipbridge_model_checker::world::State;
use tulipbridge_model_checker::{configs, properties, with_config};

fn bounds(memory_mb: u64) -> Bounds {
    Bounds { threads: NonZeroUsize::MIN, memory_mb, time: Duration::from_secs(600) }
}

fn search(config: &str, bounds: Bounds) -> Report {
    with_config!(configs::named(config).expect("it is there"), world => explore(world, bounds, |_, _| {}))
}

fn file(name: &str, text: &[u8]) -> PathBuf {
    let path = std::env::temp_dir().join(format!("tulipbridge-check-{}-{name}", std::process::id()));
    std::fs::write(&path, text).expect("written");
    path
}

fn check(args: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_tulipbridge-check")).args(args).output().expect("it runs")
}

fn sentence(output: &Output) -> String {
    let text = String::from_utf8_lossy(&output.stderr).into_owned();
    assert_eq!(text.lines().count(), 1, "one sentence: {text}");
    text
}

/// The number of states is a fact of the machines. Threads take them in different orders, so it differs where
/// states count as one that are not.
#[test]
fn a_search_finds_the_same_states_in_every_order() {
    for config in ["submit", "module-submit", "crowd"] {
        let threads = |n| Bounds { threads: NonZeroUsize::new(n).expect("more than none"), ..bounds(8000) };
        let (one, four) = (search(config, threads(1)), search(config, threads(4)));
        assert!(one.exhausted && four.exhausted, "{one:?}");
        assert_eq!(one.states, four.states, "{config}");
    }
}

#[test]
fn memory_that_runs_out_is_said_and_is_no_result() {
    let report = search("cap", bounds(0));
    assert!(!report.exhausted && report.broken.is_none());
}

#[test]
fn a_walk_is_the_same_for_a_seed_and_its_history_replays() {
    let world = configs::large();
    let history = walk(&world, 5, 400);
    assert_eq!(history, walk(&world, 5, 400));
    assert_ne!(history, walk(&world, 6, 400));
    let trace = Trace::of(&world, &history);
    let (again, read) = Trace::read(&file("walk", trace.to_string().as_bytes())).expect("it reads");
    assert_eq!(read, trace);
    let mut steps = 0;
    assert_eq!(again.card().name, "large");
    let state = read.replay(&world, |_, _| steps += 1).expect("it replays");
    assert_eq!((steps, state.broken.any()), (400, false));
}

#[test]
fn a_history_is_shrunk_to_what_it_takes() {
    let world = configs::large();
    let history = walk(&world, 5, 400);
    let wanted = |s: &State| s.answered_clients() > 0;
    let short = shrink(&world, &history, wanted);
    // Asked, connected, written, run and answered, or asked and refused: no more is needed.
    assert!(short.len() < history.len() && short.len() <= 6, "{short:?}");
    for left_out in 0..short.len() {
        let mut fewer = short.clone();
        fewer.remove(left_out);
        let again = shrink(&world, &fewer, wanted);
        assert!(again.len() == fewer.len(), "step {left_out} of {short:?} is needed");
    }
}

#[test]
fn files_that_are_no_history_get_one_sentence_and_exit_2() {
    for (name, text, says) in [
        ("empty", &b""[..], "line 1 must be"),
        ("future", b"tulipbridge-check trace 9\nconfig submit\n", "line 1 must be"),
        ("unknown", b"tulipbridge-check trace 1\nconfig nowhere\n", "line 2 must be"),
        ("step", b"tulipbridge-check trace 1\nconfig submit\nclient 7 asks\n", "step 1 cannot come there"),
        ("bytes", b"tulipbridge-check trace 1\nconfig submit\n\xff\xfe\n", "cannot be read"),
    ] {
        let path = file(name, text);
        let output = check(&["replay", path.to_str().expect("a path")]);
        assert_eq!(output.status.code(), Some(2), "{name}");
        assert!(sentence(&output).contains(says), "{name}: {}", sentence(&output));
    }
    let output = check(&["explore", "--config", "nowhere"]);
    assert_eq!(output.status.code(), Some(2));
    assert!(sentence(&output).contains("no configuration is called 'nowhere'"));
}

#[test]
fn the_table_of_the_docs_is_that_of_the_code() {
    let page = concat!(env!("CARGO_MANIFEST_DIR"), "/../../docs/operators/checking.md");
    let page = std::fs::read_to_string(page).expect("the page is there");
    let rows: Vec<String> = page.lines().filter(|l| l.starts_with("| `")).map(str::to_owned).collect();
    let told: Vec<String> =
        properties::ALL.iter().map(|p| format!("| `{}` | {} | {} |", p.name, p.sentence, p.rule)).collect();
    for row in &told {
        assert!(rows.contains(row), "the page lacks: {row}");
    }
    let known = configs::all().len();
    assert_eq!(
        rows.len(),
        told.len() + known,
        "a row for each property and each configuration, and no other"
    );
}
