//! The console's calls that start and end the maintenance of a chunk server.

use std::fmt::{self, Display};

/// A request to start or end the maintenance of one server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MaintenanceCall {
    /// Whether maintenance starts or ends.
    pub action: MaintenanceAction,
    /// The id of the server, percent-decoded.
    pub server: String,
}

/// A change to the maintenance state of a server, displayed as the word in the path of the call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MaintenanceAction {
    /// Maintenance starts.
    Enter,
    /// Maintenance ends.
    Exit,
}

impl MaintenanceCall {
    /// Parses the part of a path after `/maintenance/`, an action and a server id. Returns `None`
    /// if it is not of this form.
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

/// Decodes the percent-encoded id of a chunk server in the path of a call.
pub fn decode_id(id: &str) -> String {
    percent_encoding::percent_decode_str(id)
        .decode_utf8_lossy()
        .into_owned()
}
