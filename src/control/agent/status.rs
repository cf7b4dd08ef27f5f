//! The messages in which the agent's API returns the status of its fronts.

use serde::{Deserialize, Serialize};

use crate::control::agent::supervisor::FrontStatus;

/// The body of the response to `GET /fronts`.
#[derive(Debug, Serialize, Deserialize)]
pub struct FleetStatusMessage {
    /// The declared fronts, ordered by name.
    pub fronts: Vec<FrontStatusMessage>,
}

/// The status of one front. The API of an agent of another version may lack the counts, or have
/// phases that this version does not know.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct FrontStatusMessage {
    /// The name under which the front is declared.
    pub name: String,
    /// The name of the front's phase.
    pub state: String,
    /// The id of the front's process, where one is running.
    pub pid: Option<u64>,
    /// The number of processes started so far.
    pub starts: Option<u64>,
    /// The number of processes that crashed or could not be started.
    pub crashes: Option<u64>,
}

impl FrontStatusMessage {
    /// Converts the status of the front `name` into a message.
    pub fn new(name: &str, status: &FrontStatus) -> FrontStatusMessage {
        FrontStatusMessage {
            name: name.to_owned(),
            state: status.phase.name().to_owned(),
            pid: status.pid.map(u64::from),
            starts: Some(status.starts),
            crashes: Some(status.crashes),
        }
    }
}
