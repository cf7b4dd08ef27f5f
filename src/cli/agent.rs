//! The commands that call an agent: `status`, `drain`, `resume` and `restart`.

use std::net::SocketAddr;
use std::time::Duration;

use hyper::Method;
use tokio::time::{sleep, Instant};

use crate::cli::client::{fetch, parse};
use crate::cli::error::{CliError, Service};
use crate::control::agent::command::FrontCommand;
use crate::control::agent::status::{FleetStatusMessage, FrontStatusMessage};
use crate::control::agent::supervisor::Phase;

/// Maximum time for a front to reach the phase that a command requires.
const PHASE_TIMEOUT: Duration = Duration::from_secs(60);
/// Pause between two requests for the status of the fronts.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Prints a table with the status of all fronts of an agent.
pub async fn show_status(agent: SocketAddr) -> Result<(), CliError> {
    println!(
        "{:<24} {:<9} {:>8} {:>7} {:>8}",
        "NAME", "STATE", "PID", "STARTS", "CRASHES"
    );
    for front in fetch_fronts(agent).await? {
        let FrontStatusMessage { name, state, .. } = &front;
        let pid = format_count(front.pid);
        let starts = format_count(front.starts);
        let crashes = format_count(front.crashes);
        println!("{name:<24} {state:<9} {pid:>8} {starts:>7} {crashes:>8}");
    }
    Ok(())
}

/// Stops a front and waits until it has ended.
pub async fn drain(agent: SocketAddr, name: String) -> Result<(), CliError> {
    run_command(agent, &name, FrontCommand::Drain).await
}

/// Starts a drained front and waits until it is ready.
pub async fn resume(agent: SocketAddr, name: String) -> Result<(), CliError> {
    run_command(agent, &name, FrontCommand::Resume).await
}

/// Restarts fronts one after another, each once the previous one is ready. Without names, restarts
/// all fronts that are not drained.
pub async fn restart(agent: SocketAddr, mut names: Vec<String>) -> Result<(), CliError> {
    if names.is_empty() {
        for front in fetch_fronts(agent).await? {
            if front.state != Phase::Drained.name() {
                names.push(front.name);
            }
        }
    }
    for name in names {
        run_command(agent, &name, FrontCommand::Restart).await?;
    }
    Ok(())
}

/// Sends a command for a front to the agent, and waits until the front is in the phase that
/// results from it.
async fn run_command(agent: SocketAddr, name: &str, command: FrontCommand) -> Result<(), CliError> {
    let phase = command.resulting_phase().name();
    let before = find_front(fetch_fronts(agent).await?, name);
    let before = before.ok_or_else(|| CliError::NoSuchFront(name.to_owned()))?;
    fetch(
        Service::Agent,
        agent,
        Method::POST,
        &format!("/fronts/{name}/{}", command.name()),
    )
    .await?;
    let started = Instant::now();
    while started.elapsed() < PHASE_TIMEOUT {
        let front = find_front(fetch_fronts(agent).await?, name);
        let front = front.ok_or_else(|| CliError::NoLongerDeclared(name.to_owned()))?;
        // A front is also ready before its restart begins; a new start shows that it has restarted.
        let has_restarted = command != FrontCommand::Restart || front.starts != before.starts;
        if has_restarted && front.state == phase {
            println!("{name} is {phase}");
            return Ok(());
        }
        sleep(POLL_INTERVAL).await;
    }
    Err(CliError::NotInPhase {
        name: name.to_owned(),
        phase,
        seconds: PHASE_TIMEOUT.as_secs(),
    })
}

/// Returns the status of all fronts of an agent.
async fn fetch_fronts(agent: SocketAddr) -> Result<Vec<FrontStatusMessage>, CliError> {
    let body = fetch(Service::Agent, agent, Method::GET, "/fronts").await?;
    let status: FleetStatusMessage = parse(Service::Agent, body)?;
    Ok(status.fronts)
}

/// Returns the status of the front `name`, if it is among `fronts`.
fn find_front(fronts: Vec<FrontStatusMessage>, name: &str) -> Option<FrontStatusMessage> {
    fronts.into_iter().find(|front| front.name == name)
}

/// Formats a count; returns a dash for `None`.
fn format_count(count: Option<u64>) -> String {
    count.map_or("-".to_owned(), |count| count.to_string())
}
