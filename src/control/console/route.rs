//! Which call of the console a request is.

use hyper::Method;

use crate::control::maintenance_call::{decode_id, MaintenanceCall};

/// The path of the ejections that the front shares with its peers.
const EJECTIONS_PATH: &str = "/status/verdicts";
/// Before the id of a chunk server, the path of its ejections.
const EJECTIONS_PREFIX: &str = "/status/verdicts/";
/// Before an action and the id of a chunk server, the path of a change of its maintenance.
const MAINTENANCE_PREFIX: &str = "/maintenance/";

/// A call of the console.
#[derive(Debug, PartialEq, Eq)]
pub(super) enum Route {
    /// Whether the front accepts clients.
    Status,
    /// The metrics.
    Metrics,
    /// The view of the peers.
    Peers,
    /// All ejections.
    Ejections,
    /// The ejections of the chunk server with this id.
    EjectionsOf(String),
    /// A change of the maintenance of a chunk server.
    Maintenance(MaintenanceCall),
    /// A path for maintenance that has no valid action or id.
    InvalidMaintenance,
    /// A path for maintenance with another method than PUT.
    MaintenanceNeedsPut,
    /// The status with another method than GET.
    StatusNeedsGet,
    /// Anything else.
    Unknown,
}

impl Route {
    /// The call that a method and a path make.
    pub(super) fn parse(method: &Method, path: &str) -> Route {
        match (method, path.strip_prefix(MAINTENANCE_PREFIX)) {
            (&Method::GET, None) => Route::parse_get(path),
            (&Method::PUT, Some(call)) => {
                MaintenanceCall::parse(call).map_or(Route::InvalidMaintenance, Route::Maintenance)
            }
            (_, Some(_)) => Route::MaintenanceNeedsPut,
            (_, None) if path == "/status" || path == "/status/metrics" => Route::StatusNeedsGet,
            (_, None) => Route::Unknown,
        }
    }

    /// The call that GET makes with a path.
    fn parse_get(path: &str) -> Route {
        match path {
            "/status" => Route::Status,
            "/status/metrics" => Route::Metrics,
            "/status/peers" => Route::Peers,
            EJECTIONS_PATH => Route::Ejections,
            _ if path.starts_with(EJECTIONS_PREFIX) => {
                Route::EjectionsOf(decode_id(path.trim_start_matches(EJECTIONS_PREFIX)))
            }
            _ => Route::Unknown,
        }
    }
}
