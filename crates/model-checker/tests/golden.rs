//! Golden tests: they pin what the checker stores and what its users type, so that files written by an earlier version
//! stay readable.
//!
//! The expected texts lie in `tests/golden`. A difference means that stored files, scripts or reports of an earlier
//! version no longer fit; change an expected text only where that is intended. To write the texts anew:
//! `UPDATE_GOLDEN=1 cargo test -p tulipbridge-model-checker --test golden`.
//!
//! That never writes the histories (`*.trace`): they are what `Trace` wrote of random walks. Replay takes each step only
//! where it may come, so a change of what the machines decide may make one impossible; it then has to be replaced by
//! a new one, with the reason. A change of names alone must leave all of them readable.

use std::collections::BTreeSet;
use std::path::{Path, PathBuf};
use std::process::Command;

use tulipbridge_core::Action;
use tulipbridge_model_checker::configs::{self, Config};
use tulipbridge_model_checker::explore::{walk, Report};
use tulipbridge_model_checker::trace::Trace;
use tulipbridge_model_checker::{chart, entrance, register, rights, with_config, world};

/// Random walks of each configuration.
const WALKS: u64 = 12;
/// Steps of each walk at the most.
const WALK_STEPS: usize = 300;
/// The name of the program, as its users type it.
const PROGRAM: &str = "tulipbridge-check";
/// Its subcommands.
const SUBCOMMANDS: [&str; 6] = ["list", "explore", "seeded", "walk", "chart", "replay"];
/// The stored histories: at least one of each kind of world, and the configuration of each.
const HISTORIES: [(&str, &str); 7] = [
    ("front-any.trace", "submit"),
    ("front-module.trace", "module-drain"),
    ("front-large.trace", "large"),
    ("entrance.trace", "door"),
    ("entrance-leave.trace", "leave"),
    ("rights.trace", "rights-two"),
    ("register.trace", "watch-early"),
];

/// Where an expected text lies.
fn golden_path(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/golden").join(name)
}

/// Compares a text with the expected one; writes it instead where `UPDATE_GOLDEN` is set.
#[track_caller]
fn assert_golden(name: &str, actual: &str) {
    let path = golden_path(name);
    if std::env::var_os("UPDATE_GOLDEN").is_some() {
        std::fs::write(&path, actual).expect("the expected text can be written");
    }
    let expected = std::fs::read_to_string(&path).expect("the expected text can be read");
    assert_eq!(actual, expected, "{} differs", path.display());
}

/// What the program prints; it must succeed.
fn printed(args: &[&str]) -> String {
    let output = Command::new(env!("CARGO_BIN_EXE_tulipbridge-check")).args(args).output().expect("it runs");
    assert!(output.status.success(), "{args:?} ends with {}", output.status);
    String::from_utf8(output.stdout).expect("the output is UTF-8")
}

/// A line with every number replaced by `N`.
fn shape(line: &str) -> String {
    let mut shape = String::new();
    for c in line.chars() {
        if !c.is_ascii_digit() {
            shape.push(c);
        } else if !shape.ends_with('N') {
            shape.push('N');
        }
    }
    shape
}

/// Every configuration that a history can be of.
fn every_config() -> Vec<Config> {
    let others = configs::open().into_iter().chain([configs::large()]);
    configs::all().into_iter().chain(others.map(Config::Front)).collect()
}

/// One decision of every kind.
fn every_action() -> Vec<Action> {
    vec![
        Action::Send { id: 1, node: 2, timeout: 3 },
        Action::Cancel { id: 1, attempt: 2 },
        Action::Reject { id: 1, retry_after: 2 },
        Action::Fail(1),
        Action::SetTimer { after: 1, cookie: 2 },
        Action::Subscribe,
        Action::ForgetNode(1),
        Action::Log { text: "a text", node: 1 },
    ]
}

/// One step of every kind that requests, attempts and nodes take.
fn every_front_step() -> Vec<world::Step> {
    use world::Step;
    let mut steps = vec![
        Step::Ask(1),
        Step::Leave(1),
        Step::Up(1),
        Step::Refused(1),
        Step::Part(1),
        Step::Rest(1),
        Step::Break(1),
        Step::Close(1),
        Step::Unasked(1),
        Step::Hear(1),
        Step::Run(1),
        Step::Stops(1),
        Step::Answer(1),
        Step::Spoilt(1),
        Step::Error(1),
        Step::TurnedAway(1),
        Step::Drop(1, 2),
        Step::Withdraw(1, 2),
        Step::News(1),
        Step::Clock,
        Step::Still,
        Step::Timer(1),
        Step::TimeUp(1, 2),
        Step::DialTimeUp(1),
        Step::Overdue(1),
    ];
    steps.extend(every_action().into_iter().map(Step::Decide));
    steps
}

/// One step of every kind that clients' connections take.
fn every_entrance_step() -> Vec<entrance::Step> {
    use entrance::Step;
    vec![
        Step::Connect(1),
        Step::Send(1),
        Step::SendRest(1),
        Step::Close(1),
        Step::Accept,
        Step::Read(1),
        Step::Answer(1),
        Step::BodyTimeUp(1),
        Step::Drained(1),
        Step::Look,
        Step::Clock(0),
        Step::Term,
        Step::NoneCame,
        Step::LookLeaving,
        Step::Graceful(1),
    ]
}

/// One step of every kind that shared limits take.
fn every_rights_step() -> Vec<rights::Step> {
    use rights::Step;
    vec![
        Step::Round,
        Step::Cut(1, 2),
        Step::Heal,
        Step::Late(1, 2),
        Step::Isolate(1),
        Step::Stop(1),
        Step::Continue(1),
        Step::Kill(1),
        Step::Start(1),
    ]
}

/// One step of every kind that the watch on discovery takes.
fn every_register_step() -> Vec<register::Step> {
    use register::Step;
    vec![
        Step::Clock,
        Step::Due,
        Step::Answer,
        Step::Refuse,
        Step::Beat,
        Step::Silence,
        Step::Break,
        Step::Down,
        Step::Up,
        Step::Move,
        Step::Want,
    ]
}

/// The texts of steps, one a line.
fn lines<S: ToString>(steps: &[S]) -> String {
    steps.iter().map(|step| format!("{}\n", step.to_string())).collect()
}

/// The texts of one step of every kind of all worlds.
fn every_step_text() -> String {
    let (front, entrance) = (lines(&every_front_step()), lines(&every_entrance_step()));
    let (rights, register) = (lines(&every_rights_step()), lines(&every_register_step()));
    [front, entrance, rights, register].concat()
}

/// The exact text of one step of every kind: a stored history is matched against these texts.
#[test]
fn every_kind_of_step_keeps_its_text() {
    assert_golden("steps.txt", &every_step_text());
}

/// The shapes of all lines that random histories of all configurations are made of, and of the steps that none of them
/// takes.
#[test]
fn random_histories_of_every_configuration_keep_the_shapes_of_their_lines() {
    let mut shapes: BTreeSet<String> = every_step_text().lines().map(shape).collect();
    for config in every_config() {
        for seed in 0..WALKS {
            let history = with_config!(&config, world => Trace::of(world, &walk(world, seed, WALK_STEPS)));
            shapes.extend(history.to_string().lines().map(shape));
        }
    }
    assert_golden("line-shapes.txt", &lines(&shapes.into_iter().collect::<Vec<_>>()));
}

/// Histories that an earlier version wrote are read, replayed to their end, and written again byte for byte.
#[test]
fn stored_histories_are_read_and_replayed_to_their_end() {
    for (file, config_name) in HISTORIES {
        let path = golden_path(file);
        let (config, trace) = Trace::read(&path).unwrap_or_else(|why| panic!("{why}"));
        assert_eq!(config.card().name, config_name, "{file}");
        let mut replayed = Vec::new();
        let ended = with_config!(&config, world => {
            trace.replay(world, |step, _| replayed.push(step.to_owned())).map(|_| ())
        });
        ended.unwrap_or_else(|why| panic!("{file}: {why}"));
        assert!(!replayed.is_empty(), "{file} has steps");
        assert_eq!(replayed, trace.steps, "{file}");
        let stored = std::fs::read_to_string(&path).expect("it can be read");
        assert_eq!(trace.to_string(), stored, "{file}");
    }
}

/// The command replays the same files.
#[test]
fn the_program_replays_stored_histories() {
    for (file, _) in HISTORIES {
        let path = golden_path(file);
        let steps = Trace::read(&path).unwrap_or_else(|why| panic!("{why}")).1.steps;
        let text = printed(&["replay", path.to_str().expect("the path is UTF-8")]);
        assert_eq!(text.lines().count(), steps.len(), "{file}");
    }
}

/// The whole text of a history file, with properties that it breaks.
#[test]
fn a_history_file_keeps_its_form() {
    let text = broken_history().to_string();
    assert_eq!(
        text,
        "tulipbridge-check trace 1\nconfig submit\nbreaks first\nbreaks second\nclient 0 asks\nthe clock moves on\n"
    );
}

fn broken_history() -> Trace {
    Trace {
        config: "submit".to_owned(),
        breaks: vec!["first".to_owned(), "second".to_owned()],
        steps: vec!["client 0 asks".to_owned(), "the clock moves on".to_owned()],
    }
}

/// What `explore --json` writes: one report that found nothing, and one with a history.
fn reports() -> Vec<Report> {
    let holds = Report {
        config: "submit",
        states: 10,
        steps: 20,
        depth: 3,
        seconds: 0.5,
        memory_mb: 7,
        exhausted: true,
        broken: None,
    };
    let broken = Report { exhausted: false, broken: Some(broken_history()), ..holds.clone() };
    vec![holds, broken]
}

#[test]
fn reports_keep_their_json() {
    assert_golden("reports.json", &simd_json::to_string_pretty(&reports()).expect("reports are JSON"));
}

#[test]
fn stored_reports_are_read_for_a_chart() {
    let bars = chart::read(&golden_path("reports.json")).expect("the reports can be read");
    assert_eq!(bars.len(), reports().len());
}

/// The names of configurations, properties and seeded bugs: what `--config` and `seeded --name` accept, and what
/// the lines `config` and `breaks` of a history say.
#[test]
fn the_list_of_names_stays() {
    assert_golden("list.txt", &printed(&["list"]));
}

/// What `seeded --name` accepts.
#[test]
fn seeded_bugs_keep_their_names() {
    let names: Vec<&str> = tulipbridge_core::mutations::ALL.iter().map(|(_, name, _)| *name).collect();
    assert_golden("seeded-bugs.txt", &lines(&names));
}

/// What `seeded --rights --name` accepts.
#[test]
fn seeded_bugs_of_shared_limits_keep_their_names() {
    let names: Vec<String> =
        tulipbridge_fleet_limits::mutations::ALL.iter().map(|bug| format!("{bug:?}")).collect();
    assert_golden("seeded-rights-bugs.txt", &lines(&names));
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

/// The keys of JSON objects in the order in which they come; no text in them may hold a quotation mark.
#[cfg(feature = "mutations")]
fn keys(text: &str) -> Vec<&str> {
    let parts: Vec<&str> = text.split('"').collect();
    let is_key = |n: usize| parts.get(n + 1).is_some_and(|next| next.trim_start().starts_with(':'));
    (1..parts.len()).step_by(2).filter(|n| is_key(*n)).map(|n| parts[n]).collect()
}

/// The rows that `seeded --json` writes; such a build alone can make them.
#[cfg(feature = "mutations")]
#[test]
fn rows_of_seeded_bugs_keep_their_keys() {
    let file = std::env::temp_dir().join(format!("{PROGRAM}-golden-seeded-{}.json", std::process::id()));
    let path = file.to_str().expect("the path is UTF-8");
    printed(&["seeded", "--name", "second-final-answer", "--json", path]);
    let text = std::fs::read_to_string(&file).expect("the rows can be read");
    let _ = std::fs::remove_file(&file);
    let expected = ["bug", "found", "config", "breaks", "length", "seconds", "states", "random_of_1000"];
    assert_eq!(keys(&text), expected);
}
