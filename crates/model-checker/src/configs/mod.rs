//! The configurations of the models that are explored.

mod client_connections;
mod discovery;
mod fleet_limits;
mod requests;
mod settings;

use crate::client_connection_model::ClientConnectionModel;
use crate::discovery_model::DiscoveryModel;
use crate::fleet_limits_model::FleetLimitsModel;
use crate::model::{Model, ModelSummary};
use crate::request_model::RequestModel;

pub use requests::{large, recovery_checks};
pub use settings::settings;

/// A configuration of any of the models. About twenty exist at a time, so their size matters
/// little.
#[allow(clippy::large_enum_variant)]
#[derive(Clone, Debug)]
pub enum Config {
    /// Requests, their attempts and connections to servers.
    Request(RequestModel),
    /// Connections from clients.
    ClientConnection(ClientConnectionModel),
    /// Limits that a fleet of fronts shares.
    FleetLimits(FleetLimitsModel),
    /// The watch on discovery.
    Discovery(DiscoveryModel),
}

/// Evaluates an expression for the model of a configuration, whichever it is.
#[macro_export]
macro_rules! with_config {
    ($config:expr, $model:ident => $body:expr) => {
        match $config {
            $crate::configs::Config::Request($model) => $body,
            $crate::configs::Config::ClientConnection($model) => $body,
            $crate::configs::Config::FleetLimits($model) => $body,
            $crate::configs::Config::Discovery($model) => $body,
        }
    };
}

impl Config {
    /// How the commands list it.
    pub fn summary(&self) -> ModelSummary {
        with_config!(self, model => model.summary())
    }
}

/// All configurations that `explore` covers. Those of each model start with the smallest: a
/// violation is found soonest there.
pub fn all() -> Vec<Config> {
    let mut all: Vec<Config> = client_connections::all()
        .into_iter()
        .map(Config::ClientConnection)
        .collect();
    all.extend(fleet_limits::all().into_iter().map(Config::FleetLimits));
    all.extend(discovery::all().into_iter().map(Config::Discovery));
    all.extend(requests::all().into_iter().map(Config::Request));
    all
}

/// The configuration of that name, among all of them.
pub fn named(name: &str) -> Option<Config> {
    let not_explored = recovery_checks()
        .into_iter()
        .chain([large()])
        .map(Config::Request);
    all()
        .into_iter()
        .chain(not_explored)
        .find(|config| config.summary().name == name)
}
