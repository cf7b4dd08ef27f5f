//! The invariant monitor detects each violation of its rules and reports none where there is none.

mod common;

use common::*;
use tulipbridge_core::invariant_monitor::{InvariantMonitor, Rule};
use tulipbridge_core::request_tracker::{Effect, FinalAnswer, Input};
use tulipbridge_core::*;

/// The index of an idempotent class.
const IDEMPOTENT: usize = 0;
/// The index of a class whose requests are executed at most once.
const AT_MOST_ONCE: usize = 2;
/// The only server in the endpoint list.
const NODE: usize = 0;

/// Returns a monitor that has seen a server that is up and request 1 of the given class.
fn monitor(class: usize) -> InvariantMonitor {
    let mut monitor = InvariantMonitor::default();
    let nodes = vec![node(NODE, EndpointState::Up, 0)];
    monitor.input(
        &Input::Endpoints {
            scope: UpdateScope::Replace,
            nodes,
        },
        &settings(),
    );
    monitor.input(
        &Input::RequestReceived(request(1, class, Some(0))),
        &settings(),
    );
    monitor
}

fn send(monitor: &mut InvariantMonitor, attempt: u32) -> Option<Rule> {
    let effect = Effect::Send {
        id: RequestId(1),
        attempt,
        node: NodeId(NODE),
        deadline: S,
        begin_by: Nanos::MAX,
    };
    monitor.effect(0, &effect).map(|violation| violation.rule)
}

fn answer(monitor: &mut InvariantMonitor, answer: FinalAnswer) -> Option<Rule> {
    monitor
        .effect(
            0,
            &Effect::Answer {
                id: RequestId(1),
                answer,
            },
        )
        .map(|violation| violation.rule)
}

fn time_out(monitor: &mut InvariantMonitor, attempt: u32) {
    monitor.input(
        &Input::AttemptTimedOut {
            id: RequestId(1),
            attempt,
        },
        &settings(),
    );
}

#[test]
fn sequence_within_the_rules_is_no_violation() {
    let mut monitor = monitor(IDEMPOTENT);
    assert_eq!(send(&mut monitor, 0), None);
    time_out(&mut monitor, 0);
    assert_eq!(send(&mut monitor, 1), None);
    assert_eq!(answer(&mut monitor, FinalAnswer::Rejected(0)), None);
}

#[test]
fn each_broken_rule_is_found() {
    let mut second_answer = monitor(IDEMPOTENT);
    answer(&mut second_answer, FinalAnswer::Failed);
    assert_eq!(
        answer(&mut second_answer, FinalAnswer::Failed),
        Some(Rule::OneAnswer)
    );
    assert_eq!(send(&mut second_answer, 0), Some(Rule::NoSendAfterEnd));

    let mut client_disconnected = monitor(IDEMPOTENT);
    client_disconnected.input(&Input::ClientDisconnected(RequestId(1)), &settings());
    assert_eq!(
        send(&mut client_disconnected, 0),
        Some(Rule::NoSendAfterEnd)
    );

    let mut draining = monitor(IDEMPOTENT);
    let nodes = vec![node(NODE, EndpointState::Draining, 0)];
    draining.input(
        &Input::Endpoints {
            scope: UpdateScope::Update,
            nodes,
        },
        &settings(),
    );
    assert_eq!(send(&mut draining, 0), Some(Rule::NoSendToDrainingServer));

    let mut two_attempts = monitor(IDEMPOTENT);
    send(&mut two_attempts, 0);
    assert_eq!(send(&mut two_attempts, 1), Some(Rule::OneAttemptAtATime));

    let mut repeated_write = monitor(AT_MOST_ONCE);
    send(&mut repeated_write, 0);
    time_out(&mut repeated_write, 0);
    assert_eq!(send(&mut repeated_write, 1), Some(Rule::NoUnsafeRetry));

    let mut rejected_write = monitor(AT_MOST_ONCE);
    send(&mut rejected_write, 0);
    assert_eq!(
        answer(&mut rejected_write, FinalAnswer::Rejected(0)),
        Some(Rule::RejectionSafeToRetry)
    );
}
