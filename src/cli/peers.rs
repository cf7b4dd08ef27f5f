//! The command `peers`: a front's view of its peers.

use std::net::SocketAddr;

use simd_json::prelude::*;
use simd_json::OwnedValue as Value;

use crate::cli::arguments::OutputFormat;
use crate::cli::client::fetch_from_console;
use crate::cli::error::CliError;
use crate::config::json::{array, string, JsonError};

/// Shows a front's view of its peers, and which shares of the limits it has.
pub async fn show(console: SocketAddr, output: OutputFormat) -> Result<(), CliError> {
    let Some(status) = fetch_from_console(console, "/status/peers", output).await? else {
        return Ok(());
    };
    println!(
        "{:<20} {:<8} {:<8} {:>10} {:>7} {:>9}  EVIDENCE",
        "PEER", "VERSION", "BELIEF", "SILENT", "LENT", "BORROWED"
    );
    for peer in array(&status, "peers")? {
        print_peer(peer)?;
    }
    print_limits(&status)?;
    print_conditions(&status);
    Ok(())
}

fn print_peer(peer: &Value) -> Result<(), JsonError> {
    let name = string(peer.get("name"), "name")?;
    let peer_status = string(peer.get("belief"), "belief")?;
    let silent = peer.get("silent_ms").and_then(Value::as_i64);
    let silent = silent.map_or("-".to_owned(), |milliseconds| format!("{milliseconds} ms"));
    let evidence = evidence(peer)?;
    let (granted, borrowed) = (fraction(peer, "lent"), fraction(peer, "borrowed"));
    let version = peer.get("version").and_then(Value::as_str).unwrap_or("-");
    println!(
        "{name:<20} {version:<8} {peer_status:<8} {silent:>10} {granted:>7.3} {borrowed:>9.3}  {}",
        evidence.join("; ")
    );
    Ok(())
}

/// On what the front bases its view of a peer.
fn evidence(peer: &Value) -> Result<Vec<String>, JsonError> {
    let mut evidence = Vec::new();
    let heard_by: Vec<&str> = array(peer, "heard_by")?
        .iter()
        .filter_map(Value::as_str)
        .collect();
    if !heard_by.is_empty() {
        evidence.push(format!("heard by {}", heard_by.join(", ")));
    }
    if let Some(incarnation) = peer.get("second_process").and_then(Value::as_str) {
        evidence.push(format!("a second process has its name: boot {incarnation}"));
    }
    Ok(evidence)
}

/// The leases that the front issues, and its shares of the limits.
fn print_limits(status: &Value) -> Result<(), JsonError> {
    let issued: Vec<&str> = array(status, "banks")?
        .iter()
        .filter_map(Value::as_str)
        .collect();
    let name = string(status.get("name"), "name")?;
    println!(
        "this front: {name}, holds the banks of: {}",
        issued.join(", ")
    );
    // Fronts of earlier versions do not report limits.
    for limit in array(status, "limits").into_iter().flatten() {
        let share = fraction(limit, "part");
        let name = string(limit.get("limit"), "limit")?.replace('_', " ");
        println!("its part of the limit on {name}: {share:.3}");
    }
    Ok(())
}

/// The conditions under which the front uses less than its shares.
fn print_conditions(status: &Value) {
    let is = |key: &str| status.get(key).and_then(Value::as_bool) == Some(true);
    if is("just_started") {
        println!("it has just started, and uses nothing of its own yet");
    }
    if is("other_roster") {
        println!(
            "other fronts run with another roster of its revision, and it uses no shared limit"
        );
    } else if is("standing_back") {
        println!("another process has its name, and it uses no shared limit");
    }
    if !is("settled") {
        println!("not every front in the roster is known to have taken it: floors only");
    }
}

fn fraction(value: &Value, key: &str) -> f64 {
    value.get(key).and_then(Value::cast_f64).unwrap_or(0.0)
}
