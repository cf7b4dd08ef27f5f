//! The status of an agent's fronts as its API returns it.

use serde::{Deserialize, Serialize};

use crate::control::agent::supervisor::FrontStatus;

/// The body of the response to `GET /fronts`.
#[derive(Debug, Serialize, Deserialize)]
pub struct FleetStatusMessage {
    /// The declared fronts, by their names in order.
    pub fronts: Vec<FrontStatusMessage>,
}

/// The status of one front. The API of an agent of another version may lack the counts, or have
/// phases that this version does not know.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct FrontStatusMessage {
    /// Its name.
    pub name: String,
    /// The name of its phase.
    pub state: String,
    /// The id of its process, where there is one.
    pub pid: Option<u64>,
    /// How many processes have been started.
    pub starts: Option<u64>,
    /// How many of them have crashed, or could not be started.
    pub crashes: Option<u64>,
}

impl FrontStatusMessage {
    /// The status of the front `name`.
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
