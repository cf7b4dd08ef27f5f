//! Configurations of the client connection model.

use crate::client_connection_model::ClientConnectionModel;
use crate::model::ModelSummary;

/// All of them, the smallest first.
pub(super) fn all() -> Vec<ClientConnectionModel> {
    vec![
        ClientConnectionModel {
            max_requests: 1,
            max_connections: 1,
            max_clock_steps: 2,
            ..base(
                "crowd",
                "three clients, one connection slot, and one slot for a connection to reject",
                3,
            )
        },
        ClientConnectionModel {
            max_clock_steps: 3,
            ..base("door", "two clients with two requests each", 2)
        },
        ClientConnectionModel {
            max_requests: 1,
            may_shut_down: true,
            max_clock_steps: 1,
            ..base("leave", "two clients and SIGTERM", 2)
        },
    ]
}

/// A configuration with two connections and two requests of each client, without SIGTERM.
fn base(name: &'static str, description: &'static str, clients: usize) -> ClientConnectionModel {
    ClientConnectionModel {
        summary: ModelSummary {
            name,
            description,
            quick: true,
        },
        clients,
        max_requests: 2,
        max_connections: 2,
        max_rejected_connections: 1,
        max_clock_steps: 4,
        may_shut_down: false,
    }
}
