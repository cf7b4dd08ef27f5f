//! Golden tests: they pin the files that the testbed stores and the command line of its program, so
//! that files written by an earlier version stay readable and scripts keep working.
//!
//! The expected texts are in `tests/golden`. A difference means that stored files, scripts or
//! reports of an earlier version no longer fit; change an expected text only if that is intended.
//! To write the texts anew: `UPDATE_GOLDEN=1 cargo test -p tulipbridge-testbed --test golden`.
//!
//! That never writes the stored schedule and the stored rows (`*.json`): they must stay readable as
//! they are.

#[path = "golden/rows.rs"]
mod rows;

use std::path::{Path, PathBuf};
use std::process::{Command, Output};
use std::time::Duration;

use serde::{Deserialize, Serialize};
use tulipbridge_results::{Column, Table, Values};
use tulipbridge_testbed::limit_experiments::{
    FaultCaseResult, FaultScheduleResult, LoadCaseResult,
};
use tulipbridge_testbed::schedule::{Fault, Schedule, Step};
use tulipbridge_testbed::tcp_proxy::LinkState;

/// The name of the program.
const PROGRAM: &str = "tulipbridge-testbed";
/// Its subcommands.
const SUBCOMMANDS: [&str; 8] = [
    "list",
    "run",
    "local-fleet",
    "simulate",
    "cost",
    "mutations",
    "replay",
    "compare",
];
/// Earlier names of subcommands.
const EARLIER_SUBCOMMANDS: [&str; 2] = ["up", "bugs"];
/// The names that `run` accepts.
const EXPERIMENTS: [&str; 8] = [
    "load-cases",
    "fault-cases",
    "shared-limits",
    "server-faults",
    "outlier-schedules",
    "soak",
    "soak-without-faults",
    "fault-schedules",
];
/// Earlier names that `run` accepts.
const EARLIER_EXPERIMENTS: [&str; 7] = [
    "cases", "hard", "others", "sick", "verdicts", "calm", "faults",
];
/// The names that `simulate` accepts.
const SIMULATIONS: [&str; 3] = ["limits", "gossip", "outliers"];
/// Earlier names that `simulate` accepts.
const EARLIER_SIMULATIONS: [&str; 2] = ["entries", "verdicts"];
/// The exit code of a command that cannot be carried out.
const CANNOT_RUN: i32 = 2;
/// The stored schedule.
const SCHEDULE_FILE: &str = "schedule.json";
/// Stored rows of `run cases`, `run hard` and `run faults`.
const LOAD_CASES_FILE: &str = "run-cases.json";
const FAULT_CASES_FILE: &str = "run-hard.json";
const FAULT_SCHEDULES_FILE: &str = "run-faults.json";

/// The path of an expected text.
fn golden_path(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("tests/golden")
        .join(name)
}

/// An expected text.
fn golden(name: &str) -> String {
    std::fs::read_to_string(golden_path(name)).expect("the expected text can be read")
}

/// Compares a text with the expected one. If `UPDATE_GOLDEN` is set, the expected one is written
/// first.
#[track_caller]
fn assert_golden(name: &str, actual: &str) {
    if std::env::var_os("UPDATE_GOLDEN").is_some() {
        std::fs::write(golden_path(name), actual).expect("the expected text can be written");
    }
    assert_eq!(
        actual,
        golden(name),
        "{} differs",
        golden_path(name).display()
    );
}

/// Runs the program.
fn run_program(arguments: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_tulipbridge-testbed"))
        .args(arguments)
        .output()
        .expect("it runs")
}

/// The standard output of the program, which must succeed.
fn stdout_of(arguments: &[&str]) -> String {
    let output = run_program(arguments);
    assert!(
        output.status.success(),
        "{arguments:?} ends with {}",
        output.status
    );
    String::from_utf8(output.stdout).expect("the output is UTF-8")
}

/// A value as JSON, as the files have it.
fn to_json<T: Serialize + ?Sized>(value: &T) -> String {
    simd_json::serde::to_string_pretty(value).expect("it can be written as JSON")
}

/// A value from the JSON text of a file.
fn from_json<T: for<'de> Deserialize<'de>>(text: &str) -> T {
    let mut bytes = text.as_bytes().to_vec();
    simd_json::serde::from_slice(&mut bytes).expect("the text can be read")
}

/// The keys of JSON objects in their order. No string in them may contain a quotation mark.
fn keys(text: &str) -> Vec<&str> {
    let parts: Vec<&str> = text.split('"').collect();
    let is_key = |n: usize| {
        parts
            .get(n + 1)
            .is_some_and(|next| next.trim_start().starts_with(':'))
    };
    (1..parts.len())
        .step_by(2)
        .filter(|n| is_key(*n))
        .map(|n| parts[n])
        .collect()
}

/// Every state of a link, once.
fn every_link_state() -> [LinkState; 7] {
    [
        LinkState::Healthy,
        LinkState::Silent,
        LinkState::NoResponses,
        LinkState::Reset,
        LinkState::Delayed(20),
        LinkState::Lossy(10),
        LinkState::Throttled(5_000),
    ]
}

/// A fault of every kind, with each of its optional fields present and absent, and with every state
/// of a link.
fn every_fault() -> Vec<Fault> {
    let mut faults = vec![
        Fault::Load { front: 0, rate: 80 },
        Fault::Cut { from: 0, to: 1 },
        Fault::Partition { side: vec![0, 2] },
        Fault::DatagramFaults {
            loss_percent: 10,
            duplication_percent: 20,
            max_delay: Duration::from_millis(300),
        },
        Fault::Heal,
        Fault::Pause {
            front: 1,
            duration: Duration::from_millis(500),
        },
        Fault::Kill {
            front: 2,
            restart_after: Some(Duration::from_millis(400)),
        },
        Fault::Kill {
            front: 3,
            restart_after: None,
        },
        Fault::ShutDown {
            front: 0,
            restart_after: Duration::from_millis(600),
        },
        Fault::DuplicateProcess {
            front: 1,
            duration: Duration::from_millis(700),
        },
    ];
    faults.extend(server_and_link_faults());
    faults
}

/// The faults of servers, upgrades, rosters, and of links to servers and to discovery.
fn server_and_link_faults() -> Vec<Fault> {
    let mut faults = vec![
        Fault::Server {
            server: 1,
            latency: Duration::from_millis(50),
            failure_percent: 30,
        },
        Fault::Upgrade { front: 0 },
        Fault::RestartServer { server: 0 },
        Fault::Roster {
            interval: Duration::from_millis(100),
            floor_percent: 25,
        },
        Fault::Discovery {
            front: Some(1),
            state: LinkState::Silent,
        },
        Fault::Discovery {
            front: None,
            state: LinkState::Healthy,
        },
        Fault::ServerLink {
            front: Some(0),
            server: 1,
            state: LinkState::Healthy,
        },
    ];
    let links = every_link_state().map(|state| Fault::ServerLink {
        front: None,
        server: 0,
        state,
    });
    faults.extend(links);
    faults
}

/// A schedule with every fault, one every hundred milliseconds.
fn schedule() -> Schedule {
    let steps = every_fault()
        .into_iter()
        .zip(0..)
        .map(|(fault, n)| Step {
            at: Duration::from_millis(n * 100),
            fault,
        })
        .collect();
    Schedule {
        seed: 7,
        fronts: 4,
        duration: Duration::from_secs(16),
        steps,
    }
}

#[test]
fn schedule_is_written_as_the_stored_one() {
    assert_eq!(to_json(&schedule()), golden(SCHEDULE_FILE));
}

#[test]
fn stored_schedule_is_read() {
    assert_eq!(from_json::<Schedule>(&golden(SCHEDULE_FILE)), schedule());
}

/// Whether the schedule keeps the bounds does not matter here: one that cannot be read has another
/// exit code.
#[test]
fn program_replays_the_stored_schedule() {
    let path = golden_path(SCHEDULE_FILE);
    let output = run_program(&["replay", path.to_str().expect("the path is UTF-8")]);
    let report = String::from_utf8_lossy(&output.stdout);
    assert_ne!(
        output.status.code(),
        Some(CANNOT_RUN),
        "{}",
        String::from_utf8_lossy(&output.stderr)
    );
    assert!(
        report.starts_with("holds: ") || report.starts_with("broken: "),
        "{report}"
    );
}

/// Rows as JSON, and the columns that a Parquet file of them has, as text.
struct RowTexts(String);

impl RowTexts {
    fn add<R: Serialize>(&mut self, written_by: &str, rows: &[R]) {
        let table = Table::of(rows).expect("the rows make a table");
        let columns = table
            .columns
            .iter()
            .map(|Column { name, values }| match values {
                Values::Text(_) => format!("{name}: text\n"),
                Values::Number(_) => format!("{name}: number\n"),
            });
        let columns: String = columns.collect();
        let lines = rows
            .iter()
            .map(|row| simd_json::serde::to_string(row).expect("it can be written as JSON") + "\n");
        let lines: String = lines.collect();
        self.0 += &format!("[{written_by}]\n{lines}columns:\n{columns}\n");
    }
}

/// Keys, their order, the names of enum values and the columns of each kind of row. What is in
/// brackets is the command that writes the rows, or the public type if no command does.
#[test]
fn rows_keep_their_json_and_their_columns() {
    let mut texts = RowTexts(String::new());
    texts.add("run cases", &rows::load_case_results());
    texts.add("run hard", &rows::fault_case_results());
    texts.add("run faults", &rows::fault_schedule_results());
    texts.add("run others", &rows::shared_limit_results());
    texts.add("run sick", &rows::server_fault_results());
    texts.add("run verdicts", &[rows::outlier_schedule_result()]);
    texts.add("simulate entries", &[rows::gossip_report()]);
    texts.add("simulate verdicts", &rows::outlier_reports());
    texts.add(
        "not written: a verdict of simulate limits",
        &rows::limits_reports(),
    );
    texts.add("not written: cost", &[rows::cost()]);
    texts.add(
        "not written: a setting of simulate verdicts",
        &rows::scenarios(),
    );
    assert_golden("rows.txt", &texts.0);
}

/// The lines in which `run`, `simulate` and `replay` print results keep their labels.
#[test]
fn printed_results_keep_their_labels() {
    let lines = [
        rows::load_case_results()[1].to_string(),
        rows::fault_case_results()[1].to_string(),
        rows::fault_schedule_results()[0].to_string(),
        rows::shared_limit_results()[2].to_string(),
        rows::server_fault_results()[4].to_string(),
        rows::outlier_schedule_result().to_string(),
        rows::limits_reports()[0].to_string(),
        rows::gossip_report().to_string(),
        rows::outlier_reports()[0].to_string(),
    ];
    assert_golden("lines.txt", &(lines.join("\n") + "\n"));
}

/// Rows of the types that are also read are read from the text of an earlier version, and written
/// as that text.
#[test]
fn stored_rows_are_read() {
    let load_cases = golden(LOAD_CASES_FILE);
    let fault_cases = golden(FAULT_CASES_FILE);
    let fault_schedules = golden(FAULT_SCHEDULES_FILE);
    assert_eq!(
        to_json(&from_json::<Vec<LoadCaseResult>>(&load_cases)),
        load_cases
    );
    assert_eq!(
        to_json(&from_json::<Vec<FaultCaseResult>>(&fault_cases)),
        fault_cases
    );
    assert_eq!(
        to_json(&from_json::<Vec<FaultScheduleResult>>(&fault_schedules)),
        fault_schedules
    );
}

/// The stored rows make the same tables as rows of today.
#[test]
fn stored_rows_make_the_same_tables() {
    let stored = |name| Table::read(&golden_path(name)).expect("the rows can be read");
    assert_eq!(
        stored(LOAD_CASES_FILE),
        Table::of(&rows::load_case_results()).expect("a table")
    );
    assert_eq!(
        stored(FAULT_CASES_FILE),
        Table::of(&rows::fault_case_results()).expect("a table")
    );
    assert_eq!(
        stored(FAULT_SCHEDULES_FILE),
        Table::of(&rows::fault_schedule_results()).expect("a table")
    );
}

/// The program compares stored rows: the names of conditions and figures are in its table.
#[test]
fn program_compares_stored_rows() {
    let path = golden_path(LOAD_CASES_FILE);
    let path = path.to_str().expect("the path is UTF-8");
    assert_golden("compare.txt", &stdout_of(&["compare", path, path]));
}

/// The columns with the conditions of a row, and with its seed.
#[test]
fn columns_of_conditions_keep_their_names() {
    assert_eq!(
        tulipbridge_results::CONDITION_COLUMNS,
        ["fronts", "volumes"]
    );
    assert_eq!(tulipbridge_results::SEED_COLUMN, "seed");
}

/// The summary that `simulate limits --json` writes. Its type is private, so the program writes it
/// here. The figures are not pinned.
#[test]
fn summary_of_simulated_limits_keeps_its_keys() {
    let file = std::env::temp_dir().join(format!(
        "{PROGRAM}-golden-limits-{}.json",
        std::process::id()
    ));
    let path = file.to_str().expect("the path is UTF-8");
    stdout_of(&["simulate", "limits", "--seeds", "0..2", "--json", path]);
    let text = std::fs::read_to_string(&file).expect("the summary can be read");
    std::fs::remove_file(&file).expect("the summary can be removed");
    assert_eq!(
        keys(&text),
        [
            "schedules",
            "messages",
            "most",
            "least_healed",
            "healed",
            "failed"
        ]
    );
}

#[test]
fn list_of_experiments_and_simulations_stays() {
    assert_golden("list.txt", &stdout_of(&["list"]));
}

/// The argument parser accepts any name: each of these must be known to the command, and another
/// must not.
#[test]
fn run_accepts_its_names() {
    for name in EXPERIMENTS.iter().chain(&EARLIER_EXPERIMENTS) {
        let output = run_program(&[
            "run",
            name,
            "--seeds",
            "0..1",
            "--program",
            "no-such-program",
            "--fronts",
            "4",
        ]);
        let error = String::from_utf8_lossy(&output.stderr).into_owned();
        assert!(!error.contains("`list` names them"), "{name}: {error}");
        assert_eq!(output.status.code(), Some(CANNOT_RUN), "{name}: {error}");
    }
    let output = run_program(&["run", "another", "--seeds", "0..1"]);
    assert_eq!(
        String::from_utf8_lossy(&output.stderr),
        "tulipbridge-testbed: there is no another; `list` names them\n"
    );
}

#[test]
fn simulate_accepts_its_names() {
    for name in SIMULATIONS.iter().chain(&EARLIER_SIMULATIONS) {
        stdout_of(&["simulate", name, "--seeds", "0..1"]);
    }
    let output = run_program(&["simulate", "another", "--seeds", "0..1"]);
    assert_eq!(output.status.code(), Some(CANNOT_RUN));
}

/// Scripts written for an earlier version pass subcommands and options by their earlier names.
#[test]
fn earlier_names_of_commands_and_options_are_accepted() {
    for command in EARLIER_SUBCOMMANDS {
        stdout_of(&[command, "--help"]);
    }
    let stored = golden_path(LOAD_CASES_FILE);
    let stored = stored.to_str().expect("the path is UTF-8");
    stdout_of(&["compare", stored, stored, "--chance", "0.01"]);
    let cost = ["cost", "--fronts", "2", "--volumes", "1", "--beats", "1"];
    stdout_of(&cost);
    stdout_of(&["simulate", "limits", "--seeds", "0..1", "--keep", "unused"]);
    let bugs = run_program(&["bugs", "--most", "0", "--verdicts"]);
    assert_options_are_known(&bugs);
    let mut run = vec!["run", "hard", "--seeds", "0..1"];
    run.extend(["--program", "no-such-program", "--side-by-side", "1"]);
    run.extend(["--figure", "served", "--keep", "unused"]);
    assert_options_are_known(&run_program(&run));
}

/// An argument that the parser rejects is named in the error.
#[track_caller]
fn assert_options_are_known(output: &Output) {
    let error = String::from_utf8_lossy(&output.stderr);
    assert!(!error.contains("unexpected argument"), "{error}");
}

/// The names that `mutations` prints, of fleet limits and of outlier detection.
#[test]
fn mutations_keep_their_names() {
    let limits = tulipbridge_fleet_limits::mutations::ALL
        .iter()
        .map(|mutation| format!("{mutation}\n"));
    let outliers = tulipbridge_outlier_detection::mutations::ALL
        .iter()
        .map(|mutation| format!("{mutation}\n"));
    let (limits, outliers): (String, String) = (limits.collect(), outliers.collect());
    assert_golden(
        "seeded-bugs.txt",
        &format!("[limits]\n{limits}\n[verdicts]\n{outliers}"),
    );
}

/// The arguments of the program and of each subcommand.
#[test]
fn help_of_every_command_stays() {
    let mut text = format!("$ {PROGRAM} --help\n{}", stdout_of(&["--help"]));
    for command in SUBCOMMANDS {
        text += &format!(
            "\n$ {PROGRAM} {command} --help\n{}",
            stdout_of(&[command, "--help"])
        );
    }
    assert_golden("help.txt", &text);
}
