//! The commands `verdicts` and `explain`: the ejections of chunk servers that a front shares with
//! its peers.

use std::net::SocketAddr;

use percent_encoding::{utf8_percent_encode, NON_ALPHANUMERIC};
use serde::Deserialize;

use crate::cli::arguments::OutputFormat;
use crate::cli::client::{fetch_from_console, format_seconds};
use crate::cli::error::CliError;

/// The fields of the response to `GET /status/verdicts` that the commands show.
#[derive(Deserialize)]
struct EjectionsStatus {
    /// The name of the front that responds.
    name: String,
    /// All ejections known to the front, effective or proposed.
    #[serde(rename = "verdicts")]
    ejections: Vec<EjectionStatus>,
    /// The number of chunk servers.
    #[serde(rename = "servers", default)]
    server_count: u64,
    /// The maximum number of chunk servers for whose ejection this front may vote.
    #[serde(rename = "most_assents", default)]
    max_votes: u64,
    /// The number of votes that an ejection requires.
    #[serde(rename = "needed", default)]
    quorum: u64,
    /// Whether what this front observes contradicts its peers.
    #[serde(rename = "suspect", default)]
    is_suspect: bool,
    /// What each front observes; present only in the status of a single server.
    #[serde(rename = "saw")]
    observations: Option<Vec<ObservationStatus>>,
}

/// An ejection of a chunk server, effective or proposed.
#[derive(Deserialize)]
struct EjectionStatus {
    server: String,
    /// The requests that the ejection concerns.
    scope: String,
    /// How long the ejection has been effective, in milliseconds; `None` if it is only proposed.
    #[serde(rename = "out_ms")]
    ejected_ms: Option<i64>,
    /// The time until the ejection expires unless a vote is renewed, in milliseconds.
    #[serde(rename = "lapses_ms")]
    expires_in_ms: Option<i64>,
    /// The name of the front that probes the server.
    #[serde(rename = "tries")]
    prober: Option<String>,
    #[serde(rename = "assents")]
    votes: Vec<VoteStatus>,
}

/// The vote of a front for an ejection.
#[derive(Deserialize)]
struct VoteStatus {
    front: String,
    age_ms: Option<i64>,
}

/// What a front observes of a chunk server.
#[derive(Deserialize)]
struct ObservationStatus {
    front: String,
    #[serde(default)]
    attempts: f64,
    #[serde(rename = "bad", default)]
    failures: f64,
    age_ms: Option<i64>,
    /// `Some(false)` if the observation is ignored because it contradicts those of the other
    /// fronts.
    counts: Option<bool>,
}

impl EjectionStatus {
    /// Returns whether the server is ejected, rather than only proposed for ejection.
    fn is_effective(&self) -> bool {
        self.ejected_ms.is_some()
    }
}

/// Prints a table of all ejections known to a front. The scope of an ejection that is only proposed
/// is in parentheses.
pub async fn show(console: SocketAddr, output: OutputFormat) -> Result<(), CliError> {
    let status = fetch_from_console(console, "/status/verdicts", output).await?;
    let Some(status): Option<EjectionsStatus> = status else {
        return Ok(());
    };
    println!(
        "{:<20} {:<22} {:>9} {:>9} {:>8}  TRIES",
        "SERVER", "HELD OUT FOR", "SINCE", "LAPSES IN", "ASSENTS"
    );
    for ejection in &status.ejections {
        print_row(ejection);
    }
    println!(
        "this front: {}; {} servers, of which it may assent to hold out {}; a verdict needs {} fronts",
        status.name, status.server_count, status.max_votes, status.quorum
    );
    if status.is_suspect {
        println!(
            "what it sees contradicts its peers, and counts for nothing: look at its own network"
        );
    }
    Ok(())
}

/// Prints the table row of an ejection.
fn print_row(ejection: &EjectionStatus) {
    let server = &ejection.server;
    let scope = if ejection.is_effective() {
        ejection.scope.clone()
    } else {
        format!("({})", ejection.scope)
    };
    let since = format_seconds(ejection.ejected_ms);
    let expires_in = if ejection.is_effective() {
        format_seconds(ejection.expires_in_ms)
    } else {
        format_seconds(None)
    };
    let votes = ejection.votes.len();
    let prober = ejection.prober.as_deref().unwrap_or("-");
    println!("{server:<20} {scope:<22} {since:>9} {expires_in:>9} {votes:>8}  {prober}");
}

/// Prints the state of one chunk server: its ejections with their votes, and what each front
/// observes of it.
pub async fn explain(
    server: String,
    console: SocketAddr,
    output: OutputFormat,
) -> Result<(), CliError> {
    let encoded_server = utf8_percent_encode(&server, NON_ALPHANUMERIC);
    let path = format!("/status/verdicts/{encoded_server}");
    let status = fetch_from_console(console, &path, output).await?;
    let Some(status): Option<EjectionsStatus> = status else {
        return Ok(());
    };
    if !status.ejections.iter().any(EjectionStatus::is_effective) {
        println!("{server} is not held out");
    }
    for ejection in &status.ejections {
        print_explanation(&server, ejection, status.quorum);
    }
    println!(
        "{:<20} {:>9} {:>6} {:>9}  WHAT EACH FRONT SAW",
        "FRONT", "ATTEMPTS", "BAD", "TOLD"
    );
    for observation in status.observations.iter().flatten() {
        print_observation(observation);
    }
    Ok(())
}

/// Prints the details of an ejection, effective or proposed, which requires `quorum` votes.
fn print_explanation(server: &str, ejection: &EjectionStatus, quorum: u64) {
    let scope = &ejection.scope;
    if ejection.is_effective() {
        let since = format_seconds(ejection.ejected_ms);
        let expires_in = format_seconds(ejection.expires_in_ms);
        let prober = ejection.prober.as_deref().unwrap_or("nobody");
        println!("{server} has been held out for {scope} for {since}");
        println!("  it lapses in {expires_in} unless it is renewed");
        println!("  {prober} tries it now");
    } else {
        println!("{server} may come to be held out for {scope}");
    }
    let votes = format_votes(&ejection.votes);
    println!("  assents ({quorum} are needed): {votes}");
}

/// Formats the votes for an ejection, each with its age.
fn format_votes(votes: &[VoteStatus]) -> String {
    if votes.is_empty() {
        return "none".to_owned();
    }
    let votes: Vec<String> = votes
        .iter()
        .map(|vote| format!("{} {} ago", vote.front, format_seconds(vote.age_ms)))
        .collect();
    votes.join(", ")
}

/// Prints the table row of what one front observes of a chunk server.
fn print_observation(observation: &ObservationStatus) {
    let front = &observation.front;
    let attempts = observation.attempts;
    let failures = observation.failures;
    let age = format_seconds(observation.age_ms);
    let remark = if observation.counts == Some(false) {
        "contradicts the others, and does not count"
    } else {
        ""
    };
    println!("{front:<20} {attempts:>9.1} {failures:>6.1} {age:>9}  {remark}");
}
