//! Configurations of the request model.

use tulipbridge_core::{Nanos, NodeId, ShardId};

use super::settings::{settings, settings_with_attempts, READ, SUBMIT};
use crate::model::ModelSummary;
use crate::policy::PolicyKind;
use crate::request_model::{ClientRequest, Fault, RequestModel, WatchUpdate};
use crate::time::MS;

/// Every fault.
const ALL_FAULTS: &[Fault] = &[
    Fault::ClientDisconnects,
    Fault::ConnectionRefused,
    Fault::ConnectionBreaks,
    Fault::ServerError,
    Fault::ServerRejects,
    Fault::UnreadableResponse,
    Fault::IdleConnectionClosed,
    Fault::UnsolicitedBytes,
    Fault::FrontStalls,
];
/// Faults of a connection that is kept for reuse.
const REUSE_FAULTS: &[Fault] = &[
    Fault::IdleConnectionClosed,
    Fault::UnsolicitedBytes,
    Fault::ConnectionBreaks,
    Fault::ClientDisconnects,
];
/// Faults of an attempt on its way to a server.
const ATTEMPT_FAULTS: &[Fault] = &[
    Fault::ClientDisconnects,
    Fault::ConnectionRefused,
    Fault::ConnectionBreaks,
    Fault::ServerRejects,
    Fault::FrontStalls,
];
/// How long every client waits.
const CLIENT_TIMEOUT: Nanos = 120 * MS;
/// Number of requests in the large configuration.
const LARGE_REQUESTS: usize = 300;
/// Number of nodes, and of shards, in the large configuration.
const LARGE_NODES: usize = 14;

/// All that can be explored, the smallest first.
pub(super) fn all() -> Vec<RequestModel> {
    [
        single_requests(),
        endpoint_changes(),
        connection_reuse(),
        slow(),
    ]
    .concat()
}

/// A single request with faults.
fn single_requests() -> Vec<RequestModel> {
    vec![
        base(
            "submit",
            "one submit, two nodes, every allowed decision",
            PolicyKind::Unrestricted,
            vec![submit()],
        ),
        RequestModel {
            max_faults: 3,
            ..base(
                "module-submit",
                "one submit, two nodes, the scheduler",
                PolicyKind::Scheduler,
                vec![submit()],
            )
        },
        RequestModel {
            max_faults: 3,
            ..base(
                "module-read",
                "one read, two nodes, the scheduler",
                PolicyKind::Scheduler,
                vec![read()],
            )
        },
    ]
}

/// A node that drains while a request is in flight.
fn endpoint_changes() -> Vec<RequestModel> {
    vec![
        RequestModel {
            max_faults: 1,
            faults: ATTEMPT_FAULTS,
            watch_updates: vec![
                WatchUpdate::NodeDraining(NodeId(0)),
                WatchUpdate::ShardTakenOver(NodeId(2), ShardId(0)),
                WatchUpdate::NodeRemoved(NodeId(0)),
            ],
            ..base(
                "module-drain",
                "a node hands its shard over to one that is warming up, at any stage of a read",
                PolicyKind::Scheduler,
                vec![read()],
            )
        },
        RequestModel {
            max_faults: 1,
            faults: ATTEMPT_FAULTS,
            watch_updates: vec![
                WatchUpdate::NodeDraining(NodeId(0)),
                WatchUpdate::NodeRemoved(NodeId(0)),
            ],
            ..base(
                "drain",
                "a node drains and is removed, at any stage of a submit",
                PolicyKind::Unrestricted,
                vec![submit()],
            )
        },
        base(
            "read",
            "one read, two nodes, every allowed decision",
            PolicyKind::Unrestricted,
            vec![read()],
        ),
    ]
}

/// Two requests that share connections.
fn connection_reuse() -> Vec<RequestModel> {
    vec![
        RequestModel {
            nodes: 1,
            faults: REUSE_FAULTS,
            sequential: true,
            settings: settings_with_attempts(1),
            ..base(
                "reuse",
                "two reads in a row over pooled connections",
                PolicyKind::Unrestricted,
                vec![read(), read()],
            )
        },
        RequestModel {
            nodes: 1,
            faults: REUSE_FAULTS,
            max_faults: 1,
            sequential: true,
            settings: settings_with_attempts(1),
            watch_updates: vec![
                WatchUpdate::AddressChanged(NodeId(0)),
                WatchUpdate::NodeRemoved(NodeId(0)),
            ],
            ..base(
                "move",
                "a node changes its address and is removed, at any stage of two reads",
                PolicyKind::Unrestricted,
                vec![read(), read()],
            )
        },
        RequestModel {
            nodes: 1,
            faults: ATTEMPT_FAULTS,
            max_faults: 1,
            max_connections: 1,
            ..base(
                "cap",
                "a read and a submit over one connection",
                PolicyKind::Unrestricted,
                vec![read(), submit()],
            )
        },
    ]
}

/// Those that take too long for `explore --quick`.
fn slow() -> Vec<RequestModel> {
    vec![
        not_quick(RequestModel {
            max_faults: 1,
            settings: settings_with_attempts(1),
            faults: ATTEMPT_FAULTS,
            ..base(
                "two",
                "a read and a submit, two nodes, every allowed decision",
                PolicyKind::Unrestricted,
                vec![read(), submit()],
            )
        }),
        not_quick(RequestModel {
            max_faults: 4,
            settings: settings_with_attempts(3),
            ..base(
                "submit-deep",
                "one submit, three attempts, four faults",
                PolicyKind::Unrestricted,
                vec![submit()],
            )
        }),
        not_quick(RequestModel {
            settings: settings_with_attempts(3),
            ..base(
                "module-two",
                "a read and a submit, three attempts, the scheduler",
                PolicyKind::Scheduler,
                vec![read(), submit()],
            )
        }),
    ]
}

/// A configuration for random walks. It is too large to be explored, and not part of
/// [`all`](super::all).
pub fn large() -> RequestModel {
    let requests = (0..LARGE_REQUESTS).map(large_request).collect();
    not_quick(RequestModel {
        settings: settings_with_attempts(3),
        nodes: LARGE_NODES,
        watch_updates: vec![
            WatchUpdate::NodeDraining(NodeId(3)),
            WatchUpdate::WatchLost,
            WatchUpdate::ShardTakenOver(NodeId(14), ShardId(3)),
            WatchUpdate::NodeRemoved(NodeId(3)),
            WatchUpdate::AddressChanged(NodeId(5)),
            WatchUpdate::NodeDraining(NodeId(7)),
            WatchUpdate::ShardTakenOver(NodeId(15), ShardId(7)),
            WatchUpdate::NodeRemoved(NodeId(7)),
        ],
        max_faults: 100,
        max_clock_steps: 250,
        max_connections: 12,
        ..base(
            "large",
            "300 requests, fourteen nodes, the scheduler; for random walks",
            PolicyKind::Scheduler,
            requests,
        )
    })
}

/// Every third request of the large configuration is a submit, every other one goes to a shard.
fn large_request(index: usize) -> ClientRequest {
    let class = if index % 3 == 2 { SUBMIT } else { READ };
    let shard = ShardId((index % LARGE_NODES) as u32);
    request(class, (index % 2 == 0).then_some(shard))
}

/// Configurations that are known to violate a property, for the reason in the roadmap. They are not
/// part of [`all`](super::all), so that an exploration of all shows whether anything else is
/// violated.
pub fn known_failing() -> Vec<RequestModel> {
    vec![
        RequestModel {
            max_faults: 1,
            checks_recovery: true,
            ..base(
                "heal-submit",
                "one submit, two nodes, and then ordinary reads",
                PolicyKind::Scheduler,
                vec![submit()],
            )
        },
        RequestModel {
            max_faults: 1,
            checks_recovery: true,
            ..base(
                "heal-read",
                "one read, two nodes, and then ordinary reads",
                PolicyKind::Scheduler,
                vec![read()],
            )
        },
    ]
}

/// A read of the first shard.
fn read() -> ClientRequest {
    request(READ, Some(ShardId(0)))
}

/// A submit, which any node takes.
fn submit() -> ClientRequest {
    request(SUBMIT, None)
}

/// A request of a class, to a shard or to any node.
fn request(class: usize, shard: Option<ShardId>) -> ClientRequest {
    ClientRequest {
        class,
        shard,
        timeout: CLIENT_TIMEOUT,
    }
}

/// A configuration of two nodes, two faults of any kind and two clock steps, part of
/// `explore --quick`.
fn base(
    name: &'static str,
    description: &'static str,
    policy: PolicyKind,
    requests: Vec<ClientRequest>,
) -> RequestModel {
    RequestModel {
        summary: ModelSummary {
            name,
            description,
            quick: true,
        },
        policy,
        settings: settings(),
        requests,
        sequential: false,
        nodes: 2,
        watch_updates: Vec::new(),
        max_faults: 2,
        faults: ALL_FAULTS,
        clock_step: 40 * MS,
        max_clock_steps: 2,
        max_connections: 4,
        idle_timeout: 80 * MS,
        checks_recovery: false,
    }
}

/// A configuration that `explore --quick` leaves out.
fn not_quick(model: RequestModel) -> RequestModel {
    let summary = ModelSummary {
        quick: false,
        ..model.summary
    };
    RequestModel { summary, ..model }
}
