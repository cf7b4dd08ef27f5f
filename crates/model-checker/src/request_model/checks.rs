//! The properties that the request model checks. Each check reads a state, and records in
//! [`Violations`] what it finds violated.

use tulipbridge_core::request_tracker::FinalAnswer;
use tulipbridge_core::RequestId;

use super::attempt::InFlightAttempt;
use super::clients::ClientState;
use super::{RequestModel, RequestState, OVERDUE_GRACE, STALL};
use crate::properties::Violations;

/// Largest number of attempts of a request in flight at a time: one, and a hedged request.
const MAX_IN_FLIGHT_WITH_HEDGING: usize = 2;
/// Largest number of attempts of a request in flight at a time without hedging.
const MAX_IN_FLIGHT: usize = 1;

/// Whose response led to an effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ResponseOrigin {
    /// No response was read.
    NoResponse,
    /// The response of a server to the request of this client.
    Client(usize),
    /// Bytes that are no response to any request.
    Unsolicited,
}

/// An answer that a client which waits for it is about to get.
#[derive(Clone, Copy, Debug)]
pub(super) struct CheckedAnswer {
    /// The client.
    pub client: usize,
    /// Its request.
    pub request: RequestId,
    /// The answer.
    pub answer: FinalAnswer,
    /// What led to it.
    pub origin: ResponseOrigin,
}

/// Checks what can be seen of a state, whatever led to it.
pub(super) fn check_state(model: &RequestModel, state: &RequestState, violations: &mut Violations) {
    check_executions(model, state, violations);
    check_answer_time(model, state, violations);
    check_attempts(state, violations);
    let is_at_rest = !state.clients().any_waits() && state.attempts().is_empty();
    if is_at_rest {
        check_rest(state, violations);
        check_recovery(model, state, violations);
    }
}

/// Checks an attempt that the request tracker starts.
pub(super) fn check_send(
    model: &RequestModel,
    state: &RequestState,
    id: RequestId,
    attempt: &InFlightAttempt,
    violations: &mut Violations,
) {
    violations.sent_to_draining_node |= !state.nodes().is_up(attempt.node());
    violations.node_forgotten_in_use |= state.nodes().is_forgotten(attempt.node());
    if let Some(request) = state.tracker().requests().get(&id) {
        let max_in_flight = if model.settings.hedging {
            MAX_IN_FLIGHT_WITH_HEDGING
        } else {
            MAX_IN_FLIGHT
        };
        violations.too_many_attempts |= request.attempts_started > model.settings.max_attempts;
        violations.too_many_attempts |= request.in_flight.len() > max_in_flight;
    }
    let client_deadline = state.clients().deadline_of(id);
    violations.sent_without_client |= client_deadline.is_none();
    violations.attempt_outlives_client |=
        client_deadline.is_some_and(|deadline| deadline < attempt.deadline());
}

/// Checks an answer to a client that waits.
pub(super) fn check_answer(
    model: &RequestModel,
    state: &RequestState,
    answer: CheckedAnswer,
    violations: &mut Violations,
) {
    if answer.answer == FinalAnswer::Served {
        violations.foreign_answer |= answer.origin != ResponseOrigin::Client(answer.client);
    }
    let is_rejected = matches!(answer.answer, FinalAnswer::Rejected(_));
    if is_rejected && model.is_at_most_once(answer.client) {
        violations.unsafe_rejection |= state.servers().may_have_effect(answer.client);
        violations.unsafe_rejection |= state.is_on_connection(answer.request);
    }
}

/// Checks that no request which must not run twice has run twice, or has run and was rejected.
fn check_executions(model: &RequestModel, state: &RequestState, violations: &mut Violations) {
    for (client, &executions) in state.servers().executions().iter().enumerate() {
        if model.is_at_most_once(client) {
            let is_rejected = state.clients().is_rejected(client);
            violations.submit_executed_twice |= executions > 1;
            violations.unsafe_rejection |= executions > 0 && is_rejected;
        }
    }
}

/// Checks that no client waits long after its deadline.
fn check_answer_time(model: &RequestModel, state: &RequestState, violations: &mut Violations) {
    // A timer may be late by a clock step or a stall.
    let max_delay = OVERDUE_GRACE + model.clock_step.max(STALL);
    let is_overdue = |client: &ClientState| match client {
        ClientState::Waiting { deadline, .. } => state.now() > deadline + max_delay,
        _ => false,
    };
    violations.answer_overdue |= state.clients().states().iter().any(is_overdue);
}

/// Checks that the request tracker knows exactly the attempts that are in flight, and that no
/// connection to a forgotten node is kept.
fn check_attempts(state: &RequestState, violations: &mut Violations) {
    let tracked = state.tracker().requests().iter().flat_map(|(id, request)| {
        request
            .in_flight
            .iter()
            .map(|attempt| (*id, attempt.attempt))
    });
    let in_flight = state
        .attempts()
        .keys()
        .map(|key| (key.request, key.attempt));
    violations.untracked_attempt |= !tracked.eq(in_flight);
    let to_forgotten_node = state
        .pool()
        .idle_connections()
        .any(|(node, _)| state.nodes().is_forgotten(node));
    violations.node_forgotten_in_use |= to_forgotten_node;
}

/// Checks that nothing is left over once no client waits and no attempt is in flight.
fn check_rest(state: &RequestState, violations: &mut Violations) {
    let in_use = state
        .connections()
        .values()
        .any(|connection| connection.attempt().is_some());
    let outside_pool = state.pool().idle_connections().count() != state.connections().len();
    let tracker_is_empty = state.tracker().requests().is_empty();
    let policy_is_at_rest = state.tracker().decisions().is_at_rest();
    violations.not_clean_at_rest |=
        in_use || outside_pool || !tracker_is_empty || !policy_is_at_rest;
}

/// Checks recovery once for each history: at rest, after every client has sent its request.
fn check_recovery(model: &RequestModel, state: &RequestState, violations: &mut Violations) {
    let is_finished = state.clients().next_to_send().is_none();
    if !model.checks_recovery || !is_finished || violations.any() {
        return;
    }
    let shards = state.nodes().warmed_up_shards();
    let policy = state.tracker().decisions();
    violations.does_not_recover |= !policy.recovers(state.now(), &shards);
}
