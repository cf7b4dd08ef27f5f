//! Checks that draining servers get no new requests.

use std::time::Duration;

use super::{Rule, Violation, MACHINE_SLACK};
use crate::soak::recording::{Arrival, ClientRequest, EndpointChange, ProcessRecord, Recording};

/// How long after a front was notified attempts may still reach a draining server.
const DRAIN_GRACE: Duration = Duration::from_millis(550);
/// A front counts as notified so long after a change, or after discovery can be reached again.
const NOTIFICATION_LIMIT: Duration = Duration::from_secs(6);

/// Checks that no attempt of a request began at a server that its front knew to be draining.
pub(super) fn check(
    recording: &Recording,
    request: &ClientRequest,
    arrivals: &[&Arrival],
    violations: &mut Vec<Violation>,
) {
    for arrival in arrivals {
        let Some(change) = latest_change(recording, arrival).filter(|change| !change.is_ready)
        else {
            continue;
        };
        let mut processes = recording.processes_of(request.front).rev();
        let process = processes.find(|process| process.started_at <= arrival.first_byte_at);
        let Some(process) = process else { continue };
        let notified_at = notified_at(recording, process, change);
        let pause = recording.pause_within(request.front, notified_at, arrival.first_byte_at);
        if arrival.first_byte_at > notified_at + DRAIN_GRACE + MACHINE_SLACK + pause {
            let details = format!("notified at {notified_at:?}: {request:?}, {arrival:?}");
            violations.push(Violation::new(Rule::Drain, details));
        }
    }
}

/// The latest change of the endpoint of the server before an attempt began there.
fn latest_change<'a>(recording: &'a Recording, arrival: &Arrival) -> Option<&'a EndpointChange> {
    recording
        .endpoint_changes
        .iter()
        .rev()
        .filter(|change| change.server == arrival.server)
        .find(|change| change.at <= arrival.first_byte_at)
}

/// When a process counts as notified of a change: when discovery wrote the change to it, and some
/// time after discovery could be reached at the latest.
fn notified_at(
    recording: &Recording,
    process: &ProcessRecord,
    change: &EndpointChange,
) -> Duration {
    let reachable_at = recording
        .discovery_outages
        .iter()
        .filter(|outage| outage.until >= change.at)
        .map(|outage| outage.until)
        .fold(change.at, Duration::max);
    let latest = (reachable_at + NOTIFICATION_LIMIT).max(process.started_at);
    let written_at = change.notified_at[process.front].filter(|at| *at >= process.started_at);
    written_at.map_or(latest, |written_at| written_at.min(latest))
}
