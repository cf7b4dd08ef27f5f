//! An attempt that is no longer needed is withdrawn if nothing of it was written, and is never
//! written afterwards.

use tulipbridge_core::attempt::{Attempt, AttemptEvent, AttemptStep};
use tulipbridge_core::request_tracker::{Decisions, Effect, Input, RequestTracker};
use tulipbridge_core::server_connection::{ConnectionEvent, Execution, ServerConnection};
use tulipbridge_core::{
    Action, EndpointState, Event, Nanos, NodeId, NodeInfo, Outcome, Request, RequestId, ShardId,
    UpdateScope, VolumeId,
};

/// Sends each request to server 0 and returns the queued actions with the next event.
#[derive(Default)]
struct SendToServer0(Vec<Action>);

impl Decisions for SendToServer0 {
    fn handle(&mut self, _now: Nanos, event: Event, actions: &mut Vec<Action>) {
        if let Event::Request(request) = event {
            actions.push(Action::Send {
                id: request.id,
                node: NodeId(0),
                timeout: 0,
            });
        }
        actions.append(&mut self.0);
    }
}

/// Returns a tracker with one request, whose first attempt has been sent and has not started.
fn tracker_with_one_attempt() -> RequestTracker<SendToServer0> {
    let mut tracker = RequestTracker::new(SendToServer0::default());
    let request = Request {
        id: tracker.allocate_id(),
        class: 0,
        plan: 0,
        volume: VolumeId(1),
        key: None,
        client_timeout: 1_000_000_000,
        units: 1.0,
        shard: None,
        front_count: 1,
        continues_response: false,
    };
    let mut effects = Vec::new();
    tracker.on(0, Input::RequestReceived(request), &mut effects);
    assert!(
        matches!(
            effects[..],
            [Effect::Send {
                id: RequestId(0),
                attempt: 0,
                node: NodeId(0),
                ..
            }]
        ),
        "{effects:?}"
    );
    tracker
}

/// Handles an input and returns the outcomes with which the attempt is withdrawn, if it is.
fn withdrawals(tracker: &mut RequestTracker<SendToServer0>, input: Input) -> Vec<Outcome> {
    let mut effects = Vec::new();
    tracker.on(1, input, &mut effects);
    let outcomes = effects.into_iter().filter_map(|effect| match effect {
        Effect::Withdraw {
            id: RequestId(0),
            attempt: 0,
            outcome,
        } => Some(outcome),
        _ => None,
    });
    outcomes.collect()
}

fn node_info(node: usize, state: EndpointState) -> NodeInfo {
    NodeInfo {
        node: NodeId(node),
        zone: 0,
        shard: ShardId(0),
        state,
        started_at: 0,
    }
}

#[test]
fn an_unstarted_attempt_is_withdrawn_when_its_client_leaves_or_is_overdue() {
    assert_eq!(
        withdrawals(
            &mut tracker_with_one_attempt(),
            Input::ClientDisconnected(RequestId(0))
        ),
        [Outcome::NotSent]
    );
    assert_eq!(
        withdrawals(
            &mut tracker_with_one_attempt(),
            Input::Overdue(RequestId(0))
        ),
        [Outcome::NotSent]
    );
}

#[test]
fn a_final_answer_withdraws_an_unstarted_attempt() {
    let mut tracker = tracker_with_one_attempt();
    tracker.decisions_mut().0.push(Action::Reject {
        id: RequestId(0),
        retry_after: 0,
    });
    assert_eq!(
        withdrawals(&mut tracker, Input::Timer(9)),
        [Outcome::NotSent]
    );
}

/// Returns an input that changes the given entries of the endpoint list.
fn update(nodes: Vec<NodeInfo>) -> Input {
    Input::Endpoints {
        scope: UpdateScope::Update,
        nodes,
    }
}

/// Returns an input that replaces the endpoint list.
fn complete_list(nodes: Vec<NodeInfo>) -> Input {
    Input::Endpoints {
        scope: UpdateScope::Replace,
        nodes,
    }
}

#[test]
fn an_unstarted_attempt_is_withdrawn_from_a_server_that_leaves() {
    let up = |node| node_info(node, EndpointState::Up);
    let draining = |node| node_info(node, EndpointState::Draining);
    let removed = |node| node_info(node, EndpointState::Removed);
    for (name, input, expected) in [
        ("drains", update(vec![draining(0)]), true),
        ("is removed", update(vec![removed(0)]), true),
        ("is not on the list", complete_list(vec![up(1)]), true),
        ("stays up", complete_list(vec![up(0)]), false),
        ("is not mentioned", update(vec![draining(1)]), false),
        (
            "is up in the last entry",
            update(vec![draining(0), up(0)]),
            false,
        ),
    ] {
        let outcomes = withdrawals(&mut tracker_with_one_attempt(), input);
        assert_eq!(
            outcomes,
            if expected {
                vec![Outcome::NotExecuted]
            } else {
                vec![]
            },
            "the server {name}"
        );
    }
}

#[test]
fn a_withdrawn_attempt_ends_in_any_state() {
    let outcome = Outcome::NotSent;
    for mut attempt in [
        Attempt::AcquiringConnection,
        Attempt::Dialing,
        Attempt::OnPooledConnection,
        Attempt::OnNewConnection,
    ] {
        assert_eq!(
            attempt.on(AttemptEvent::Withdrawn(outcome)),
            AttemptStep::End(outcome)
        );
        assert_eq!(attempt, Attempt::Finished(outcome));
    }
}

#[test]
fn a_withdrawn_attempt_is_not_written_unless_it_has_begun() {
    let mut connection = ServerConnection::Idle;
    connection.on(ConnectionEvent::RequestAssigned);
    assert!(connection.may_write(false, false));
    assert!(!connection.may_write(false, true));
    assert_eq!(connection.execution(), Execution::NotStarted);
    connection.on(ConnectionEvent::BytesWritten { last: false });
    assert!(connection.may_write(false, true));
}
