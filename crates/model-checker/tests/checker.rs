//! The checker itself: it is deterministic, reads its own histories, and reports input that it
//! cannot read.

use std::num::NonZeroUsize;
use std::path::PathBuf;
use std::process::{Command, Output};
use std::time::Duration;

use tulipbridge_model_checker::explore::{explore, random_walk, Report, SearchLimits};
use tulipbridge_model_checker::history::{minimize, History};
use tulipbridge_model_checker::model::Model;
use tulipbridge_model_checker::request_model::{RequestModel, RequestState};
use tulipbridge_model_checker::{configs, properties, with_config};

/// Memory limit that no search of these tests reaches, in MB.
const MEMORY_MB: u64 = 8000;
/// Seed of the random walks.
const SEED: u64 = 5;
/// Length of the random walks.
const WALK_STEPS: usize = 400;

fn limits(threads: usize, memory_mb: u64) -> SearchLimits {
    let threads = NonZeroUsize::new(threads).expect("at least one thread");
    SearchLimits {
        threads,
        memory_mb,
        time: Duration::from_secs(600),
    }
}

fn search(config: &str, limits: SearchLimits) -> Report {
    let config = configs::named(config).expect("the configuration exists");
    with_config!(config, model => explore(model, limits, |_| {}))
}

fn write_temporary(name: &str, text: &[u8]) -> PathBuf {
    let path =
        std::env::temp_dir().join(format!("tulipbridge-check-{}-{name}", std::process::id()));
    std::fs::write(&path, text).expect("the file can be written");
    path
}

fn run_check(args: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_tulipbridge-check"))
        .args(args)
        .output()
        .expect("the program runs")
}

fn single_error_line(output: &Output) -> String {
    let text = String::from_utf8_lossy(&output.stderr).into_owned();
    assert_eq!(text.lines().count(), 1, "a single line: {text}");
    text
}

/// The number of states depends on the state machines alone. Threads visit states in different
/// orders, so it would differ if states counted as one that lead to different states.
#[test]
fn search_finds_the_same_number_of_states_with_any_number_of_threads() {
    for config in ["submit", "module-submit", "crowd"] {
        let one = search(config, limits(1, MEMORY_MB));
        let four = search(config, limits(4, MEMORY_MB));
        assert!(one.exhausted && four.exhausted, "{one:?}");
        assert_eq!(one.states, four.states, "{config}");
    }
}

#[test]
fn search_over_its_memory_limit_is_not_exhausted() {
    let report = search("cap", limits(1, 0));
    assert!(!report.exhausted && report.violation.is_none());
}

#[test]
fn random_walk_depends_on_its_seed_alone_and_replays() {
    let model = configs::large();
    let steps = random_walk(&model, SEED, WALK_STEPS);
    assert_eq!(steps, random_walk(&model, SEED, WALK_STEPS));
    assert_ne!(steps, random_walk(&model, SEED + 1, WALK_STEPS));
    let history = History::of(&model, &steps);
    let file = write_temporary("walk", history.to_string().as_bytes());
    let stored = History::read(&file).expect("the history can be read");
    assert_eq!(stored.history, history);
    assert_eq!(stored.config.summary().name, "large");
    let mut steps_replayed = 0;
    let state = stored
        .history
        .replay(&model, |_, _| steps_replayed += 1)
        .expect("the history replays");
    assert_eq!(steps_replayed, WALK_STEPS);
    assert!(!RequestModel::violations(&state).any());
}

#[test]
fn minimized_history_has_no_step_that_can_be_left_out() {
    let model = configs::large();
    let steps = random_walk(&model, SEED, WALK_STEPS);
    let is_goal = |state: &RequestState| state.answered_clients() > 0;
    let minimized = minimize(&model, &steps, is_goal);
    // Sent, connected, written, executed and answered, or sent and rejected: no more is needed.
    assert!(
        minimized.len() < steps.len() && minimized.len() <= 6,
        "{minimized:?}"
    );
    for left_out in 0..minimized.len() {
        let mut fewer = minimized.clone();
        fewer.remove(left_out);
        let minimized_again = minimize(&model, &fewer, is_goal);
        assert!(
            minimized_again.len() == fewer.len(),
            "step {left_out} of {minimized:?} is needed"
        );
    }
}

#[test]
fn replay_of_an_invalid_file_prints_one_error_and_exits_with_2() {
    for (name, text, expected) in [
        ("empty", &b""[..], "line 1 must be"),
        (
            "future",
            b"tulipbridge-check trace 9\nconfig submit\n",
            "line 1 must be",
        ),
        (
            "unknown",
            b"tulipbridge-check trace 1\nconfig nowhere\n",
            "line 2 must be",
        ),
        (
            "step",
            b"tulipbridge-check trace 1\nconfig submit\nclient 7 asks\n",
            "step 1 cannot come there",
        ),
        (
            "bytes",
            b"tulipbridge-check trace 1\nconfig submit\n\xff\xfe\n",
            "cannot be read",
        ),
    ] {
        let path = write_temporary(name, text);
        let output = run_check(&["replay", path.to_str().expect("the path is UTF-8")]);
        assert_eq!(output.status.code(), Some(2), "{name}");
        let error = single_error_line(&output);
        assert!(error.contains(expected), "{name}: {error}");
    }
}

#[test]
fn exploring_an_unknown_configuration_prints_one_error_and_exits_with_2() {
    let output = run_check(&["explore", "--config", "nowhere"]);
    assert_eq!(output.status.code(), Some(2));
    assert!(single_error_line(&output).contains("no configuration is called 'nowhere'"));
}

#[test]
fn documented_properties_are_those_of_the_code() {
    let page = concat!(
        env!("CARGO_MANIFEST_DIR"),
        "/../../docs/operators/model-checking.md"
    );
    let page = std::fs::read_to_string(page).expect("the page exists");
    let rows: Vec<&str> = page
        .lines()
        .filter(|line| line.starts_with("| `"))
        .collect();
    for property in properties::ALL {
        let row = format!(
            "| `{}` | {} | {} |",
            property.name, property.statement, property.rule
        );
        assert!(rows.contains(&row.as_str()), "the page lacks: {row}");
    }
    let expected_rows = properties::ALL.len() + configs::all().len();
    assert_eq!(
        rows.len(),
        expected_rows,
        "a row for each property and each configuration, and no other"
    );
}
