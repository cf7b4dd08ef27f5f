//! Golden tests: they pin the stored formats and the command line of the checker, so that files and
//! scripts of an earlier version keep working.
//!
//! The expected texts are in `tests/golden`. A difference means that stored files, scripts or
//! reports of an earlier version no longer work; change an expected text only where that is
//! intended. To update the texts: `UPDATE_GOLDEN=1 cargo test -p tulipbridge-model-checker --test
//! golden`.
//!
//! That never updates the histories (`*.trace`), which `History` wrote of random walks. Replay
//! takes a step only where it is enabled, so a change of what the state machines do may make a
//! history impossible; it then has to be replaced by a new one, with the reason. A change of names
//! alone must leave all of them readable.

use std::collections::BTreeSet;
use std::path::{Path, PathBuf};
use std::process::Command;

use tulipbridge_core::{Action, NodeId, RequestId, RuntimeCommand};
use tulipbridge_fleet_limits::PeerId;
use tulipbridge_model_checker::configs::{self, Config};
use tulipbridge_model_checker::explore::{random_walk, Report};
use tulipbridge_model_checker::history::{History, StoredHistory};
use tulipbridge_model_checker::{
    chart, client_connection_model, discovery_model, fleet_limits_model, request_model, with_config,
};

/// Number of random walks through each configuration.
const WALKS: u64 = 12;
/// Largest number of steps of each walk.
const MAX_WALK_STEPS: usize = 300;
/// Name of the program on the command line.
const PROGRAM: &str = "tulipbridge-check";
/// The subcommands of the program.
const SUBCOMMANDS: [&str; 6] = ["list", "explore", "mutations", "walk", "chart", "replay"];
/// The stored histories, at least one of each model, with the configuration of each.
const HISTORIES: [(&str, &str); 7] = [
    ("front-any.trace", "submit"),
    ("front-module.trace", "module-drain"),
    ("front-large.trace", "large"),
    ("entrance.trace", "door"),
    ("entrance-leave.trace", "leave"),
    ("rights.trace", "rights-two"),
    ("register.trace", "watch-early"),
];

/// The path of an expected text.
fn golden_path(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("tests/golden")
        .join(name)
}

/// Compares a text with the expected one, after updating the expected one if `UPDATE_GOLDEN` is
/// set.
#[track_caller]
fn assert_golden(name: &str, actual: &str) {
    let path = golden_path(name);
    if std::env::var_os("UPDATE_GOLDEN").is_some() {
        std::fs::write(&path, actual).expect("the expected text can be written");
    }
    let expected = std::fs::read_to_string(&path).expect("the expected text can be read");
    assert_eq!(actual, expected, "{} differs", path.display());
}

/// The output of the program, which must succeed.
fn printed(args: &[&str]) -> String {
    let output = Command::new(env!("CARGO_BIN_EXE_tulipbridge-check"))
        .args(args)
        .output()
        .expect("the program runs");
    assert!(
        output.status.success(),
        "{args:?} ends with {}",
        output.status
    );
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

/// Every configuration that a history can belong to.
fn every_config() -> Vec<Config> {
    let not_explored = configs::known_failing()
        .into_iter()
        .chain([configs::large()]);
    configs::all()
        .into_iter()
        .chain(not_explored.map(Config::Request))
        .collect()
}

/// One decision of every kind.
fn every_action() -> Vec<Action> {
    vec![
        Action::Send {
            id: RequestId(1),
            node: NodeId(2),
            timeout: 3,
        },
        Action::Cancel {
            id: RequestId(1),
            attempt: 2,
        },
        Action::Reject {
            id: RequestId(1),
            retry_after: 2,
        },
        Action::Fail(RequestId(1)),
        Action::Runtime(RuntimeCommand::SetTimer {
            after: 1,
            cookie: 2,
        }),
        Action::Runtime(RuntimeCommand::Subscribe),
        Action::Runtime(RuntimeCommand::ForgetNode(NodeId(1))),
        Action::Runtime(RuntimeCommand::Log {
            text: "a text",
            node: NodeId(1),
        }),
    ]
}

/// One step of every kind of the request model.
fn every_request_step() -> Vec<request_model::Step> {
    use request_model::Step;
    let mut steps = vec![
        Step::ClientSends(1),
        Step::ClientDisconnects(1),
        Step::ConnectionEstablished(1),
        Step::ConnectionRefused(1),
        Step::PartWritten(1),
        Step::LastByteWritten(1),
        Step::ConnectionBreaks(1),
        Step::ServerCloses(1),
        Step::UnsolicitedBytes(1),
        Step::UnsolicitedBytesRead(1),
        Step::ServerExecutes(1),
        Step::ServerDrops(1),
        Step::ResponseArrives(1),
        Step::UnreadableResponse(1),
        Step::ServerError(1),
        Step::ServerRejects(1),
        Step::AttemptDropped(RequestId(1), 2),
        Step::AttemptWithdrawn(RequestId(1), 2),
        Step::WatchUpdated(1),
        Step::ClockAdvances,
        Step::FrontStalls,
        Step::TimerDue(1),
        Step::AttemptTimesOut(RequestId(1), 2),
        Step::DialTimesOut(1),
        Step::RequestOverdue(1),
    ];
    steps.extend(every_action().into_iter().map(Step::Decision));
    steps
}

/// One step of every kind of the client connection model.
fn every_client_connection_step() -> Vec<client_connection_model::Step> {
    use client_connection_model::Step;
    vec![
        Step::ClientConnects(1),
        Step::ClientSendsPart(1),
        Step::ClientSendsRest(1),
        Step::ClientCloses(1),
        Step::FrontAccepts,
        Step::FrontReads(1),
        Step::FrontResponds(1),
        Step::BodyTimesOut(1),
        Step::LingeringEnds(1),
        Step::TimeoutsChecked,
        Step::ClockAdvances(0),
        Step::Sigterm,
        Step::AcceptTimesOut,
        Step::ShutdownPolled,
        Step::DrainedConnectionClosed(1),
    ]
}

/// One step of every kind of the fleet limits model.
fn every_fleet_limits_step() -> Vec<fleet_limits_model::Step> {
    use fleet_limits_model::Step;
    let first = PeerId(1);
    let second = PeerId(2);
    vec![
        Step::Round,
        Step::CutLink(first, second),
        Step::Heal,
        Step::DelayHeartbeat(first, second),
        Step::Isolate(first),
        Step::Stop(first),
        Step::Continue(first),
        Step::Kill(first),
        Step::Start(first),
    ]
}

/// One step of every kind of the discovery model.
fn every_discovery_step() -> Vec<discovery_model::Step> {
    use discovery_model::Step;
    vec![
        Step::ClockAdvances,
        Step::TimerDue,
        Step::CallSucceeds,
        Step::CallRefused,
        Step::Heartbeat,
        Step::ChannelsFallSilent,
        Step::WatchBreaks,
        Step::DiscoveryDown,
        Step::DiscoveryUp,
        Step::DiscoveryMoved,
        Step::ListRequested,
    ]
}

/// The texts of values, one a line.
fn lines<T: ToString>(values: &[T]) -> String {
    values
        .iter()
        .map(|value| format!("{}\n", value.to_string()))
        .collect()
}

/// The texts of one step of every kind of all models.
fn every_step_text() -> String {
    [
        lines(&every_request_step()),
        lines(&every_client_connection_step()),
        lines(&every_fleet_limits_step()),
        lines(&every_discovery_step()),
    ]
    .concat()
}

/// Replay matches stored histories against these texts.
#[test]
fn step_texts_are_stable() {
    assert_golden("steps.txt", &every_step_text());
}

/// The shapes of all lines of random histories of all configurations, and of the steps that none of
/// them takes.
#[test]
fn line_shapes_of_random_histories_are_stable() {
    let mut shapes: BTreeSet<String> = every_step_text().lines().map(shape).collect();
    for config in every_config() {
        for seed in 0..WALKS {
            let history = with_config!(&config, model => {
                History::of(model, &random_walk(model, seed, MAX_WALK_STEPS))
            });
            shapes.extend(history.to_string().lines().map(shape));
        }
    }
    assert_golden(
        "line-shapes.txt",
        &lines(&shapes.into_iter().collect::<Vec<_>>()),
    );
}

/// Histories that an earlier version wrote are read, replayed to their end, and written again byte
/// for byte.
#[test]
fn stored_histories_replay_to_their_end() {
    for (file, config_name) in HISTORIES {
        let path = golden_path(file);
        let StoredHistory { config, history } =
            History::read(&path).unwrap_or_else(|error| panic!("{error}"));
        assert_eq!(config.summary().name, config_name, "{file}");
        let mut replayed = Vec::new();
        let result = with_config!(&config, model => {
            history.replay(model, |step, _| replayed.push(step.to_owned())).map(|_| ())
        });
        result.unwrap_or_else(|error| panic!("{file}: {error}"));
        assert!(!replayed.is_empty(), "{file} has steps");
        assert_eq!(replayed, history.steps, "{file}");
        let stored = std::fs::read_to_string(&path).expect("the history can be read");
        assert_eq!(history.to_string(), stored, "{file}");
    }
}

/// The command replays the same files.
#[test]
fn replay_command_prints_every_step_of_stored_histories() {
    for (file, _) in HISTORIES {
        let path = golden_path(file);
        let stored = History::read(&path).unwrap_or_else(|error| panic!("{error}"));
        let text = printed(&["replay", path.to_str().expect("the path is UTF-8")]);
        assert_eq!(text.lines().count(), stored.history.steps.len(), "{file}");
    }
}

/// The whole text of a history file, with violated properties.
#[test]
fn history_file_format_is_stable() {
    let text = violating_history().to_string();
    assert_eq!(
        text,
        "tulipbridge-check trace 1\nconfig submit\nbreaks first\nbreaks second\nclient 0 asks\nthe clock moves on\n"
    );
}

fn violating_history() -> History {
    History {
        config: "submit".to_owned(),
        violated: vec!["first".to_owned(), "second".to_owned()],
        steps: vec!["client 0 asks".to_owned(), "the clock moves on".to_owned()],
    }
}

/// What `explore --json` writes: a report without a violation, and one with a history.
fn reports() -> Vec<Report> {
    let exhausted = Report {
        config: "submit",
        states: 10,
        steps: 20,
        depth: 3,
        seconds: 0.5,
        memory_mb: 7,
        exhausted: true,
        violation: None,
    };
    let violated = Report {
        exhausted: false,
        violation: Some(violating_history()),
        ..exhausted.clone()
    };
    vec![exhausted, violated]
}

#[test]
fn report_json_is_stable() {
    assert_golden(
        "reports.json",
        &simd_json::to_string_pretty(&reports()).expect("reports are JSON"),
    );
}

#[test]
fn stored_reports_can_be_charted() {
    let bars = chart::read(&golden_path("reports.json")).expect("the reports can be read");
    assert_eq!(bars.len(), reports().len());
}

/// The names of configurations, properties and mutations: what `--config` and `mutations --name`
/// accept, and what the lines `config` and `breaks` of a history contain.
#[test]
fn listed_names_are_stable() {
    assert_golden("list.txt", &printed(&["list"]));
}

/// What `mutations --name` accepts.
#[test]
fn mutation_names_are_stable() {
    let names: Vec<&str> = tulipbridge_core::mutations::ALL
        .iter()
        .map(|(_, name, _)| *name)
        .collect();
    assert_golden("seeded-bugs.txt", &lines(&names));
}

/// What `mutations --fleet-limits --name` accepts.
#[test]
fn fleet_limits_mutation_names_are_stable() {
    let names: Vec<String> = tulipbridge_fleet_limits::mutations::ALL
        .iter()
        .map(|mutation| mutation.to_string())
        .collect();
    assert_golden("seeded-rights-bugs.txt", &lines(&names));
}

/// The arguments of the program and of each subcommand.
#[test]
fn help_texts_are_stable() {
    let mut text = format!("$ {PROGRAM} --help\n{}", printed(&["--help"]));
    for command in SUBCOMMANDS {
        text += &format!(
            "\n$ {PROGRAM} {command} --help\n{}",
            printed(&[command, "--help"])
        );
    }
    assert_golden("help.txt", &text);
}

/// Scripts of an earlier version call `mutations` and `--fleet-limits` by other names.
#[test]
fn earlier_names_of_arguments_are_accepted() {
    let help = printed(&["mutations", "--help"]);
    assert_eq!(printed(&["seeded", "--help"]), help);
    assert_eq!(printed(&["seeded", "--rights", "--help"]), help);
}

/// The keys of JSON objects in their order. No string in them may contain a quotation mark.
#[cfg(feature = "mutations")]
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

/// The reports that `mutations --json` writes; only a build with mutations can write them.
#[cfg(feature = "mutations")]
#[test]
fn mutation_report_keys_are_stable() {
    let file = std::env::temp_dir().join(format!(
        "{PROGRAM}-golden-mutations-{}.json",
        std::process::id()
    ));
    let path = file.to_str().expect("the path is UTF-8");
    printed(&["mutations", "--name", "second-final-answer", "--json", path]);
    let text = std::fs::read_to_string(&file).expect("the reports can be read");
    std::fs::remove_file(&file).expect("the file can be removed");
    let expected = [
        "bug",
        "found",
        "config",
        "breaks",
        "length",
        "seconds",
        "states",
        "random_of_1000",
    ];
    assert_eq!(keys(&text), expected);
}
