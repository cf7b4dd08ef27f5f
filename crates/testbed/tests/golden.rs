//! Golden tests: they pin what the lab stores and what its users type, so that files written by an earlier version
//! stay readable.
//!
//! The expected texts lie in `tests/golden`. A difference means that stored files, scripts or reports of an earlier
//! version no longer fit; change an expected text only where that is intended. To write the texts anew:
//! `UPDATE_GOLDEN=1 cargo test -p tulipbridge-testbed --test golden`.
//!
//! That never writes the stored schedule and the stored rows (`*.json`): they must stay readable as they are.

use std::path::{Path, PathBuf};
use std::process::{Command, Output};

use serde::{Deserialize, Serialize};
use tulipbridge_results::{Column, Table};
use tulipbridge_testbed::schedule::{Fault, Schedule, Step};
use tulipbridge_testbed::wire::State;
use tulipbridge_testbed::{cost, entries, others, runs, sick, simulate, verdicts};

/// The name of the program, as its users type it.
const PROGRAM: &str = "tulipbridge-lab";
/// Its subcommands.
const SUBCOMMANDS: [&str; 8] = ["list", "run", "up", "simulate", "cost", "bugs", "replay", "compare"];
/// What `run` accepts as a name.
const RUNS: [&str; 6] = ["cases", "hard", "others", "sick", "verdicts", "faults"];
/// What `simulate` accepts as a name.
const SIMULATIONS: [&str; 3] = ["limits", "entries", "verdicts"];
/// The exit code of a command that cannot be carried out.
const CANNOT: i32 = 2;
/// The stored schedule.
const SCHEDULE: &str = "schedule.json";
/// Stored rows of `run cases`, `run hard` and `run faults`.
const CASES_ROWS: &str = "run-cases.json";
const HARD_ROWS: &str = "run-hard.json";
const FAULTS_ROWS: &str = "run-faults.json";

/// Where an expected text lies.
fn golden_path(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/golden").join(name)
}

/// An expected text.
fn golden(name: &str) -> String {
    std::fs::read_to_string(golden_path(name)).expect("the expected text can be read")
}

/// Compares a text with the expected one; writes it instead where `UPDATE_GOLDEN` is set.
#[track_caller]
fn assert_golden(name: &str, actual: &str) {
    if std::env::var_os("UPDATE_GOLDEN").is_some() {
        std::fs::write(golden_path(name), actual).expect("the expected text can be written");
    }
    assert_eq!(actual, golden(name), "{} differs", golden_path(name).display());
}

/// Runs the program.
fn lab(args: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_tulipbridge-lab")).args(args).output().expect("it runs")
}

/// What the program prints; it must succeed.
fn printed(args: &[&str]) -> String {
    let output = lab(args);
    assert!(output.status.success(), "{args:?} ends with {}", output.status);
    String::from_utf8(output.stdout).expect("the output is UTF-8")
}

/// A value as the lab's files hold it.
fn json<T: Serialize + ?Sized>(value: &T) -> String {
    simd_json::serde::to_string_pretty(value).expect("it can be told as JSON")
}

/// A value from the text of a file.
fn from_json<T: for<'de> Deserialize<'de>>(text: &str) -> T {
    let mut bytes = text.as_bytes().to_vec();
    simd_json::serde::from_slice(&mut bytes).expect("the text can be read")
}

/// The keys of JSON objects in the order in which they come; no text in them may hold a quotation mark.
fn keys(text: &str) -> Vec<&str> {
    let parts: Vec<&str> = text.split('"').collect();
    let is_key = |n: usize| parts.get(n + 1).is_some_and(|next| next.trim_start().starts_with(':'));
    (1..parts.len()).step_by(2).filter(|n| is_key(*n)).map(|n| parts[n]).collect()
}

/// What a wire can do, each once.
fn every_state() -> [State; 7] {
    [
        State::Whole,
        State::Silent,
        State::NoAnswers,
        State::Reset,
        State::Late(20),
        State::Lossy(10),
        State::Throttled(5_000),
    ]
}

/// A fault of every kind, with each of its optional fields present and absent, and with every state of a wire.
fn every_fault() -> Vec<Fault> {
    let mut faults = vec![
        Fault::Load { front: 0, rate: 80 },
        Fault::Cut { from: 0, to: 1 },
        Fault::Split { side: vec![0, 2] },
        Fault::Weather { lost: 10, repeated: 20, late: 300 },
        Fault::Heal,
        Fault::Stop { front: 1, millis: 500 },
        Fault::Kill { front: 2, back: Some(400) },
        Fault::Kill { front: 3, back: None },
        Fault::Leave { front: 0, back: 600 },
        Fault::Twin { front: 1, millis: 700 },
        Fault::Server { server: 1, takes: 50, failing: 30 },
        Fault::Upgrade { front: 0 },
        Fault::Replace { server: 0 },
        Fault::Roster { each: 100, floor: 25 },
        Fault::Register { front: Some(1), state: State::Silent },
        Fault::Register { front: None, state: State::Whole },
        Fault::Wire { front: Some(0), server: 1, state: State::Whole },
    ];
    let wires = every_state().map(|state| Fault::Wire { front: None, server: 0, state });
    faults.extend(wires);
    faults
}

/// A schedule with all of them, one every hundred milliseconds.
fn schedule() -> Schedule {
    let steps = every_fault().into_iter().zip(0..).map(|(fault, n)| Step { at: n * 100, fault }).collect();
    Schedule { seed: 7, fronts: 4, millis: 16_000, steps }
}

#[test]
fn a_schedule_is_written_as_the_stored_one() {
    assert_eq!(json(&schedule()), golden(SCHEDULE));
}

#[test]
fn the_stored_schedule_is_read() {
    assert_eq!(from_json::<Schedule>(&golden(SCHEDULE)), schedule());
}

/// The verdict on it is no matter here: a schedule that cannot be read ends with another exit code.
#[test]
fn the_program_replays_the_stored_schedule() {
    let path = golden_path(SCHEDULE);
    let output = lab(&["replay", path.to_str().expect("the path is UTF-8")]);
    let told = String::from_utf8_lossy(&output.stdout);
    assert_ne!(output.status.code(), Some(CANNOT), "{}", String::from_utf8_lossy(&output.stderr));
    assert!(told.starts_with("holds: ") || told.starts_with("broken: "), "{told}");
}

/// Rows as JSON, and the columns that a Parquet file of them has.
struct Rows(String);

impl Rows {
    fn add<R: Serialize>(&mut self, written_by: &str, rows: &[R]) {
        let table = Table::of(rows).expect("the rows make a table");
        let columns = table.columns.iter().map(|(name, column)| match column {
            Column::Text(_) => format!("{name}: text\n"),
            Column::Number(_) => format!("{name}: number\n"),
        });
        let columns: String = columns.collect();
        let lines =
            rows.iter().map(|row| simd_json::serde::to_string(row).expect("it can be told as JSON") + "\n");
        let lines: String = lines.collect();
        self.0 += &format!("[{written_by}]\n{lines}columns:\n{columns}\n");
    }
}

fn outcomes() -> Vec<runs::Outcome> {
    let outcome = |case| runs::Outcome { case, fronts: 4, peers: true, seed: 1, served: 0.75, beyond: -2.5 };
    runs::CASES.into_iter().map(outcome).collect()
}

fn hardships() -> Vec<runs::Hardship> {
    let windows: Vec<(f64, f64)> = runs::WINDOWS.iter().map(|_| (1.5, 2.5)).collect();
    let hardship = |case| runs::Hardship {
        case,
        seed: 1,
        during: 0.5,
        after: 0.75,
        beyond: -2.5,
        said: true,
        windows: windows.clone(),
    };
    runs::HARD.into_iter().map(hardship).collect()
}

fn played() -> Vec<runs::Played> {
    let played = |healed| runs::Played { seed: 1, fronts: 4, faults: 5, sent: 600, beyond: -2.5, healed };
    vec![played(Some(0.75)), played(None)]
}

fn kept() -> Vec<others::Kept> {
    let kept = |limit| others::Kept { limit, seed: 1, used: 0.5, after: 0.75, most: 9.5, bound: 10.5 };
    others::OTHERS.into_iter().map(kept).collect()
}

fn paid() -> Vec<sick::Paid> {
    let paid = |illness, back| sick::Paid {
        illness,
        fronts: 4,
        shared: true,
        seed: 1,
        paid: 2.5,
        last: 3.5,
        payers: 4,
        most_out: 1,
        innocent: 0,
        peak: 5,
        usual: 6.5,
        back,
    };
    let mut rows: Vec<sick::Paid> = sick::ILLNESSES.into_iter().map(|i| paid(i, Some(7.5))).collect();
    rows.push(paid(sick::Illness::Stopped, None));
    rows
}

fn judged() -> sick::Judged {
    sick::Judged {
        seed: 1,
        fronts: 4,
        faults: 5,
        ill: 2,
        bad_front: true,
        most_out: 1,
        innocent: 0,
        found: 2,
        left_out: 0,
    }
}

fn cost() -> cost::Cost {
    cost::Cost {
        fronts: 4,
        volumes: 300,
        bytes: 1.5,
        datagrams: 2.5,
        core: 0.5,
        memory_kb: 3.5,
        known_ms: 4.5,
    }
}

/// Verdicts of the simulation of limits, with and without the optional field.
fn limits_verdicts() -> Vec<simulate::Verdict> {
    let healed = simulate::Verdict {
        most: 1,
        at: 2,
        allowed: 3,
        over: true,
        stale: false,
        healed: Some(4),
        owed: 5,
        messages: 6,
    };
    vec![healed, simulate::Verdict::default()]
}

fn entries_verdict() -> entries::Verdict {
    entries::Verdict { wrong: true, too_young: false, lacking: true, most_bytes: 1, messages: 2, learnt: 3 }
}

/// Verdicts of the simulation of verdicts, with and without the optional fields.
fn verdicts_verdicts() -> Vec<verdicts::Verdict> {
    let full = verdicts::Verdict {
        most_out: 1,
        innocent: Some("first".to_owned()),
        not_lapsed: true,
        not_back: false,
        unfounded: Some("second".to_owned()),
        unseen: Some("third".to_owned()),
        may_out: 2,
        trials: 3,
        paid: 4,
        found: 5,
        missed: false,
        messages: 6,
    };
    vec![full, verdicts::Verdict::default()]
}

/// Settings with every illness and every defect.
fn settings() -> Vec<verdicts::Setting> {
    use verdicts::{Defect, Illness};
    let ill =
        vec![(2_000, 0, Illness::All(300)), (3_000, 1, Illness::Zone(1)), (4_000, 2, Illness::Class(2))];
    let defects = [
        None,
        Some((0, Defect::AllBad)),
        Some((1, Defect::AllGood)),
        Some((2, Defect::Network(200))),
        Some((3, Defect::Link(4))),
    ];
    let setting = |faulty| verdicts::Setting { ill: ill.clone(), faulty, load: 16, calm: true };
    defects.into_iter().map(setting).collect()
}

/// Keys, their order, the names of enum values and the columns of each kind of row. What is in brackets is the command
/// that writes the rows, or the public type where no command does.
#[test]
fn rows_keep_their_json_and_their_columns() {
    let mut rows = Rows(String::new());
    rows.add("run cases", &outcomes());
    rows.add("run hard", &hardships());
    rows.add("run faults", &played());
    rows.add("run others", &kept());
    rows.add("run sick", &paid());
    rows.add("run verdicts", &[judged()]);
    rows.add("simulate entries", &[entries_verdict()]);
    rows.add("simulate verdicts", &verdicts_verdicts());
    rows.add("not written: a verdict of simulate limits", &limits_verdicts());
    rows.add("not written: cost", &[cost()]);
    rows.add("not written: a setting of simulate verdicts", &settings());
    assert_golden("rows.txt", &rows.0);
}

/// Rows of the types that are also read are read from the text of an earlier version, and written as that text.
#[test]
fn stored_rows_are_read() {
    let (cases, hard, faults) = (golden(CASES_ROWS), golden(HARD_ROWS), golden(FAULTS_ROWS));
    assert_eq!(json(&from_json::<Vec<runs::Outcome>>(&cases)), cases);
    assert_eq!(json(&from_json::<Vec<runs::Hardship>>(&hard)), hard);
    assert_eq!(json(&from_json::<Vec<runs::Played>>(&faults)), faults);
}

/// The stored rows make the same tables as rows of today.
#[test]
fn stored_rows_make_the_same_tables() {
    let stored = |name| Table::read(&golden_path(name)).expect("the rows can be read");
    assert_eq!(stored(CASES_ROWS), Table::of(&outcomes()).expect("a table"));
    assert_eq!(stored(HARD_ROWS), Table::of(&hardships()).expect("a table"));
    assert_eq!(stored(FAULTS_ROWS), Table::of(&played()).expect("a table"));
}

/// The program compares stored rows: the names of conditions and figures stand in its table.
#[test]
fn the_program_compares_stored_rows() {
    let path = golden_path(CASES_ROWS);
    let path = path.to_str().expect("the path is UTF-8");
    assert_golden("compare.txt", &printed(&["compare", path, path]));
}

/// Columns that say under which conditions a row was seen, and which seed it had.
#[test]
fn columns_that_are_no_figures_keep_their_names() {
    assert_eq!(tulipbridge_results::SETTINGS, ["fronts", "volumes"]);
    assert_eq!(tulipbridge_results::SEED, "seed");
}

/// The summary that `simulate limits --json` writes; its type is private, so the program writes it here. Figures are
/// those of the machines and not pinned.
#[test]
fn the_summary_of_simulated_limits_keeps_its_keys() {
    let file = std::env::temp_dir().join(format!("{PROGRAM}-golden-limits-{}.json", std::process::id()));
    let path = file.to_str().expect("the path is UTF-8");
    printed(&["simulate", "limits", "--seeds", "0..2", "--json", path]);
    let text = std::fs::read_to_string(&file).expect("the summary can be read");
    let _ = std::fs::remove_file(&file);
    assert_eq!(keys(&text), ["schedules", "messages", "most", "least_healed", "healed", "failed"]);
}

#[test]
fn the_list_of_runs_and_simulations_stays() {
    assert_golden("list.txt", &printed(&["list"]));
}

/// Names are free texts to the argument parser: each must be known to the command, and another must not.
#[test]
fn run_accepts_its_names() {
    for name in RUNS {
        let output = lab(&["run", name, "--seeds", "0..1", "--program", "no-such-program", "--fronts", "4"]);
        let why = String::from_utf8_lossy(&output.stderr).into_owned();
        assert!(!why.contains("`list` names them"), "{name}: {why}");
        assert_eq!(output.status.code(), Some(CANNOT), "{name}: {why}");
    }
    let output = lab(&["run", "another", "--seeds", "0..1"]);
    assert_eq!(
        String::from_utf8_lossy(&output.stderr),
        "tulipbridge-lab: there is no another; `list` names them\n"
    );
}

#[test]
fn simulate_accepts_its_names() {
    for name in SIMULATIONS {
        printed(&["simulate", name, "--seeds", "0..1"]);
    }
    let output = lab(&["simulate", "another", "--seeds", "0..1"]);
    assert_eq!(output.status.code(), Some(CANNOT));
}

/// The names that `bugs` prints, of the machine of limits and of that of verdicts.
#[test]
fn seeded_bugs_keep_their_names() {
    let limits = tulipbridge_fleet_limits::mutations::ALL.iter().map(|bug| format!("{bug:?}\n"));
    let verdicts = tulipbridge_outlier_detection::mutations::ALL.iter().map(|bug| format!("{bug:?}\n"));
    let (limits, verdicts): (String, String) = (limits.collect(), verdicts.collect());
    assert_golden("seeded-bugs.txt", &format!("[limits]\n{limits}\n[verdicts]\n{verdicts}"));
}

/// The arguments of the program and of each subcommand.
#[test]
fn the_help_of_every_command_stays() {
    let mut text = format!("$ {PROGRAM} --help\n{}", printed(&["--help"]));
    for command in SUBCOMMANDS {
        text += &format!("\n$ {PROGRAM} {command} --help\n{}", printed(&[command, "--help"]));
    }
    assert_golden("help.txt", &text);
}
