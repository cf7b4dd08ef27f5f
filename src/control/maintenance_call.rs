//! The console's calls that begin and end the maintenance of a chunk server.

use std::fmt::{self, Display};

/// A call that changes which servers are in maintenance.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MaintenanceCall {
    /// The change for the server.
    pub action: MaintenanceAction,
    /// The id of the server.
    pub server: String,
}

/// A change to the maintenance of a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MaintenanceAction {
    /// Maintenance begins.
    Enter,
    /// Maintenance ends.
    Exit,
}

impl MaintenanceCall {
    /// Parses the path of a call after `/maintenance/`.
    pub fn parse(path: &str) -> Option<MaintenanceCall> {
        let (action, id) = path.split_once('/')?;
        let action = match action {
            "enter" => MaintenanceAction::Enter,
            "exit" => MaintenanceAction::Exit,
            _ => return None,
        };
        let is_id = !id.is_empty() && !id.contains('/');
        is_id.then(|| MaintenanceCall {
            action,
            server: decode_id(id),
        })
    }
}

impl Display for MaintenanceAction {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            MaintenanceAction::Enter => "enter",
            MaintenanceAction::Exit => "exit",
        })
    }
}

/// The id of a chunk server from the path of a call, without percent-encoding.
pub fn decode_id(id: &str) -> String {
    percent_encoding::percent_decode_str(id)
        .decode_utf8_lossy()
        .into_owned()
}
