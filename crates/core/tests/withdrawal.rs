//! What nobody wants any more and has not begun is withdrawn, and never begins.

use tulipbridge_core::attempt::{Attempt, AttemptEvent, AttemptStep};
use tulipbridge_core::request_tracker::{Decisions, Effect, Input, RequestTracker};
use tulipbridge_core::server_connection::{ConnectionEvent, Execution, ServerConnection};
use tulipbridge_core::{Action, Event, Listed, Nanos, NodeInfo, Outcome, Request, UpdateScope};

/// Sends each request to node 0, and does nothing else unless it is told to.
#[derive(Default)]
struct ToOne(Vec<Action>);

impl Decisions for ToOne {
    fn handle(&mut self, _now: Nanos, event: Event, actions: &mut Vec<Action>) {
        if let Event::Request(request) = event {
            actions.push(Action::Send { id: request.id, node: 0, timeout: 0 });
        }
        actions.append(&mut self.0);
    }
}

fn asked() -> RequestTracker<ToOne> {
    let mut desk = RequestTracker::new(ToOne::default());
    let request = Request {
        id: desk.allocate_id(),
        class: 0,
        plan: 0,
        volume: 1,
        key: None,
        patience: 1_000_000_000,
        units: 1.0,
        cell: None,
        front_count: 1,
    };
    let mut effects = Vec::new();
    desk.on(0, Input::RequestReceived(request), &mut effects);
    assert!(matches!(effects[..], [Effect::Send { id: 0, attempt: 0, node: 0, .. }]), "{effects:?}");
    desk
}

fn withdrawn(desk: &mut RequestTracker<ToOne>, input: Input) -> Vec<Outcome> {
    let mut effects = Vec::new();
    desk.on(1, input, &mut effects);
    let told = effects.into_iter().filter_map(|e| match e {
        Effect::Withdraw { id: 0, attempt: 0, outcome } => Some(outcome),
        _ => None,
    });
    told.collect()
}

fn entry(node: usize, listed: Listed) -> NodeInfo {
    NodeInfo { node, zone: 0, cell: 0, listed, started_at: 0 }
}

#[test]
fn a_client_that_goes_takes_what_has_not_begun_with_it() {
    assert_eq!(withdrawn(&mut asked(), Input::ClientGone(0)), [Outcome::NotSent]);
    assert_eq!(withdrawn(&mut asked(), Input::Overdue(0)), [Outcome::NotSent]);
}

#[test]
fn an_answer_withdraws_what_has_not_begun() {
    let mut desk = asked();
    desk.decisions_mut().0.push(Action::Reject { id: 0, retry_after: 0 });
    assert_eq!(withdrawn(&mut desk, Input::Timer(9)), [Outcome::NotSent]);
}

#[test]
fn a_node_that_leaves_gets_nothing_that_has_not_begun_and_it_may_go_elsewhere() {
    let news = |scope, nodes| Input::Endpoints { scope, nodes };
    for (name, input, expected) in [
        ("drains", news(UpdateScope::Update, vec![entry(0, Listed::Draining)]), true),
        ("is gone", news(UpdateScope::Update, vec![entry(0, Listed::Removed)]), true),
        ("is not on the list", news(UpdateScope::Replace, vec![entry(1, Listed::Up)]), true),
        ("stays", news(UpdateScope::Replace, vec![entry(0, Listed::Up)]), false),
        ("is not spoken of", news(UpdateScope::Update, vec![entry(1, Listed::Draining)]), false),
        (
            "is told up last",
            news(UpdateScope::Update, vec![entry(0, Listed::Draining), entry(0, Listed::Up)]),
            false,
        ),
    ] {
        let told = withdrawn(&mut asked(), input);
        assert_eq!(told, if expected { vec![Outcome::NotExecuted] } else { vec![] }, "the node {name}");
    }
}

#[test]
fn what_is_withdrawn_ends_where_it_stands() {
    let outcome = Outcome::NotSent;
    for mut attempt in [
        Attempt::AcquiringConnection,
        Attempt::Dialing,
        Attempt::OnPooledConnection,
        Attempt::OnNewConnection,
    ] {
        assert_eq!(attempt.on(AttemptEvent::Withdrawn(outcome)), AttemptStep::End(outcome));
        assert_eq!(attempt, Attempt::Finished(outcome));
    }
}

#[test]
fn no_byte_of_what_is_withdrawn_is_written_and_what_has_begun_is_not_broken_off() {
    let mut link = ServerConnection::Idle;
    link.on(ConnectionEvent::RequestAssigned);
    assert!(link.may_write(false, false));
    assert!(!link.may_write(false, true));
    assert_eq!(link.execution(), Execution::NotStarted);
    link.on(ConnectionEvent::BytesWritten { last: false });
    assert!(link.may_write(false, true));
}
