//! The commands `verdicts` and `explain`: the ejections of chunk servers that a front shares with
//! its peers.

use std::net::SocketAddr;

use percent_encoding::{utf8_percent_encode, NON_ALPHANUMERIC};
use simd_json::prelude::*;
use simd_json::OwnedValue as Value;

use crate::cli::arguments::OutputFormat;
use crate::cli::client::{fetch_from_console, format_seconds};
use crate::cli::error::CliError;
use crate::config::json::{array, string, JsonError};

/// Shows all ejections known to a front; those that are not yet effective are in brackets.
pub async fn show(console: SocketAddr, output: OutputFormat) -> Result<(), CliError> {
    let Some(status) = fetch_from_console(console, "/status/verdicts", output).await? else {
        return Ok(());
    };
    println!(
        "{:<20} {:<22} {:>9} {:>9} {:>8}  TRIES",
        "SERVER", "HELD OUT FOR", "SINCE", "LAPSES IN", "ASSENTS"
    );
    for ejection in array(&status, "verdicts")? {
        print_row(ejection)?;
    }
    println!(
        "this front: {}; {} servers, of which it may assent to hold out {}; a verdict needs {} fronts",
        string(status.get("name"), "name")?,
        count(&status, "servers"),
        count(&status, "most_assents"),
        count(&status, "needed")
    );
    if status.get("suspect").and_then(Value::as_bool) == Some(true) {
        println!(
            "what it sees contradicts its peers, and counts for nothing: look at its own network"
        );
    }
    Ok(())
}

fn print_row(ejection: &Value) -> Result<(), JsonError> {
    let scope = string(ejection.get("scope"), "scope")?;
    let (scope, lapses) = match is_effective(ejection) {
        true => (scope.to_owned(), format_seconds(ejection, "lapses_ms")),
        false => (format!("({scope})"), "-".to_owned()),
    };
    let server = string(ejection.get("server"), "server")?;
    let since = format_seconds(ejection, "out_ms");
    let votes = array(ejection, "assents")?.len();
    let prober = ejection.get("tries").and_then(Value::as_str).unwrap_or("-");
    println!("{server:<20} {scope:<22} {since:>9} {lapses:>9} {votes:>8}  {prober}");
    Ok(())
}

/// Explains the state of one chunk server: its ejections with their votes, and what each front
/// observes.
pub async fn explain(
    server: String,
    console: SocketAddr,
    output: OutputFormat,
) -> Result<(), CliError> {
    let path = format!(
        "/status/verdicts/{}",
        utf8_percent_encode(&server, NON_ALPHANUMERIC)
    );
    let Some(status) = fetch_from_console(console, &path, output).await? else {
        return Ok(());
    };
    let ejections = array(&status, "verdicts")?;
    if !ejections.iter().any(is_effective) {
        println!("{server} is not held out");
    }
    for ejection in ejections {
        print_explanation(&server, ejection, count(&status, "needed"))?;
    }
    println!(
        "{:<20} {:>9} {:>6} {:>9}  WHAT EACH FRONT SAW",
        "FRONT", "ATTEMPTS", "BAD", "TOLD"
    );
    for observation in array(&status, "saw").into_iter().flatten() {
        print_observation(observation)?;
    }
    Ok(())
}

/// Explains an ejection, effective or proposed, for which `needed` votes are required.
fn print_explanation(server: &str, ejection: &Value, needed: u64) -> Result<(), JsonError> {
    let scope = string(ejection.get("scope"), "scope")?;
    let votes: Vec<String> = array(ejection, "assents")?
        .iter()
        .filter_map(describe_vote)
        .collect();
    let votes = if votes.is_empty() {
        "none".to_owned()
    } else {
        votes.join(", ")
    };
    if is_effective(ejection) {
        println!(
            "{server} has been held out for {scope} for {}",
            format_seconds(ejection, "out_ms")
        );
        println!(
            "  it lapses in {} unless it is renewed",
            format_seconds(ejection, "lapses_ms")
        );
        let prober = ejection.get("tries").and_then(Value::as_str);
        println!("  {} tries it now", prober.unwrap_or("nobody"));
    } else {
        println!("{server} may come to be held out for {scope}");
    }
    println!("  assents ({needed} are needed): {votes}");
    Ok(())
}

fn describe_vote(vote: &Value) -> Option<String> {
    let front = vote.get("front")?.as_str()?;
    Some(format!("{front} {} ago", format_seconds(vote, "age_ms")))
}

/// Prints what one front observes of a chunk server.
fn print_observation(observation: &Value) -> Result<(), JsonError> {
    let number = |key: &str| {
        observation
            .get(key)
            .and_then(Value::cast_f64)
            .unwrap_or(0.0)
    };
    let counts = observation.get("counts").and_then(Value::as_bool) != Some(false);
    let remark = if counts {
        ""
    } else {
        "contradicts the others, and does not count"
    };
    let front = string(observation.get("front"), "front")?;
    let (attempts, bad) = (number("attempts"), number("bad"));
    let age = format_seconds(observation, "age_ms");
    println!("{front:<20} {attempts:>9.1} {bad:>6.1} {age:>9}  {remark}");
    Ok(())
}

/// Whether a server is ejected, rather than proposed for ejection.
fn is_effective(ejection: &Value) -> bool {
    ejection.get("out_ms").and_then(Value::as_i64).is_some()
}

fn count(status: &Value, key: &str) -> u64 {
    status.get(key).and_then(Value::as_u64).unwrap_or(0)
}
