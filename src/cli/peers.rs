//! The command `peers`, which shows a front's view of its peers.

use std::net::SocketAddr;

use serde::Deserialize;

use crate::cli::arguments::OutputFormat;
use crate::cli::client::fetch_from_console;
use crate::cli::error::CliError;

/// The fields of the response to `GET /status/peers` that the command shows. Fronts of earlier
/// versions omit some of them.
#[derive(Deserialize)]
struct PeersStatus {
    name: String,
    peers: Vec<PeerStatus>,
    /// The names of the fronts whose leases this front issues.
    #[serde(rename = "banks")]
    issuers: Vec<String>,
    #[serde(default)]
    limits: Vec<LimitStatus>,
    #[serde(default)]
    just_started: bool,
    /// Whether other fronts have a different membership list with the same revision.
    #[serde(rename = "other_roster", default)]
    has_conflicting_membership_list: bool,
    #[serde(rename = "standing_back", default)]
    is_suspended: bool,
    /// Whether every front in the membership list is known to have adopted it.
    #[serde(rename = "settled", default)]
    is_settled: bool,
}

/// A front's view of one of its peers.
#[derive(Deserialize)]
struct PeerStatus {
    name: String,
    #[serde(rename = "belief")]
    status: String,
    version: Option<String>,
    /// The time since this front last heard from the peer, in milliseconds.
    silent_ms: Option<i64>,
    /// The names of the fronts that hear from the peer.
    heard_by: Vec<String>,
    /// The incarnation of a second process with the peer's name.
    #[serde(rename = "second_process")]
    conflicting_incarnation: Option<String>,
    /// The fraction of the limits that this front grants to the peer.
    #[serde(rename = "lent", default)]
    granted: f64,
    /// The fraction of the limits that this front leases from the peer.
    #[serde(rename = "borrowed", default)]
    leased: f64,
}

/// A front's share of one limit.
#[derive(Deserialize)]
struct LimitStatus {
    limit: String,
    #[serde(rename = "part", default)]
    share: f64,
}

/// Prints a front's view of its peers, and its shares of the limits.
pub async fn show(console: SocketAddr, output: OutputFormat) -> Result<(), CliError> {
    let status = fetch_from_console(console, "/status/peers", output).await?;
    let Some(status): Option<PeersStatus> = status else {
        return Ok(());
    };
    println!(
        "{:<20} {:<8} {:<8} {:>10} {:>7} {:>9}  EVIDENCE",
        "PEER", "VERSION", "BELIEF", "SILENT", "LENT", "BORROWED"
    );
    for peer in &status.peers {
        print_peer(peer);
    }
    print_limits(&status);
    print_conditions(&status);
    Ok(())
}

/// Prints the table row of a peer.
fn print_peer(peer: &PeerStatus) {
    let silent = match peer.silent_ms {
        Some(milliseconds) => format!("{milliseconds} ms"),
        None => "-".to_owned(),
    };
    println!(
        "{:<20} {:<8} {:<8} {silent:>10} {:>7.3} {:>9.3}  {}",
        peer.name,
        peer.version.as_deref().unwrap_or("-"),
        peer.status,
        peer.granted,
        peer.leased,
        evidence(peer).join("; ")
    );
}

/// Returns the evidence on which the front bases its view of a peer.
fn evidence(peer: &PeerStatus) -> Vec<String> {
    let mut evidence = Vec::new();
    if !peer.heard_by.is_empty() {
        evidence.push(format!("heard by {}", peer.heard_by.join(", ")));
    }
    if let Some(incarnation) = &peer.conflicting_incarnation {
        evidence.push(format!("a second process has its name: boot {incarnation}"));
    }
    evidence
}

/// Prints the fronts whose leases this front issues, and its shares of the limits.
fn print_limits(status: &PeersStatus) {
    println!(
        "this front: {}, holds the banks of: {}",
        status.name,
        status.issuers.join(", ")
    );
    for limit in &status.limits {
        let name = limit.limit.replace('_', " ");
        println!("its part of the limit on {name}: {:.3}", limit.share);
    }
}

/// Prints those current conditions under which the front uses less than its shares.
fn print_conditions(status: &PeersStatus) {
    if status.just_started {
        println!("it has just started, and uses nothing of its own yet");
    }
    if status.has_conflicting_membership_list {
        println!(
            "other fronts run with another roster of its revision, and it uses no shared limit"
        );
    } else if status.is_suspended {
        println!("another process has its name, and it uses no shared limit");
    }
    if !status.is_settled {
        println!("not every front in the roster is known to have taken it: floors only");
    }
}
