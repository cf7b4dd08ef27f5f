//! Maps the method and path of a request to a call of the console.

use hyper::Method;

use crate::control::maintenance_call::{decode_id, MaintenanceCall};

/// The path of the ejections that the front shares with its peers.
const EJECTIONS_PATH: &str = "/status/verdicts";
/// The prefix of the path of one chunk server's ejections; the server's id follows.
const EJECTIONS_PREFIX: &str = "/status/verdicts/";
/// The prefix of the path of a maintenance call; the action and the id of a chunk server follow.
const MAINTENANCE_PREFIX: &str = "/maintenance/";

/// A call of the console, or why a request is not one.
#[derive(Debug, PartialEq, Eq)]
pub(super) enum Route {
    /// Reports whether the front accepts clients.
    Status,
    /// Reports the metrics.
    Metrics,
    /// Reports the front's view of its peers.
    Peers,
    /// Reports all ejections.
    Ejections,
    /// Reports the ejections of the chunk server with this id.
    EjectionsOf(String),
    /// Starts or ends the maintenance of a chunk server.
    Maintenance(MaintenanceCall),
    /// A maintenance path without a valid action or id.
    InvalidMaintenance,
    /// A maintenance path with another method than PUT.
    MaintenanceNeedsPut,
    /// The path of the status or the metrics with another method than GET.
    StatusNeedsGet,
    /// Any other request.
    Unknown,
}

impl Route {
    /// Returns the call that a request with this method and path makes.
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

    /// Returns the call that a GET request for a path makes.
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
