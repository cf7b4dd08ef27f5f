//! Checks at run time that the handling of requests keeps its rules.
//!
//! The monitor sees the inputs and effects of the request tracker and checks them against the rules
//! alone. It shares no state with the decision module: if a decision breaks a rule, the caller
//! counts and logs the violation.
//!
//! This module does no I/O and has no clock: the caller passes the time.

use std::collections::BTreeMap;

use crate::interface::{
    DeduplicationGroup, EndpointState, Nanos, NodeId, Outcome, RequestId, RuntimeCommand,
    Semantics, Settings, UpdateScope,
};
use crate::request_tracker::{Effect, FinalAnswer, Input};

/// A rule that the handling of every request must keep.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Rule {
    /// Each request gets at most one final answer.
    OneAnswer,
    /// Nothing is sent for a request that has been answered or whose client has
    /// disconnected.
    NoSendAfterEnd,
    /// Nothing is sent to a server that is draining or was removed.
    NoSendToDrainingServer,
    /// No two attempts of a request are in flight at the same time.
    OneAttemptAtATime,
    /// A request that may have been executed is sent again only if the semantics of its class allow
    /// it.
    NoUnsafeRetry,
    /// A request is rejected only if the client may safely send it again.
    RejectionSafeToRetry,
}

impl Rule {
    /// All rules, in the order of their declaration.
    pub const ALL: [Rule; 6] = [
        Rule::OneAnswer,
        Rule::NoSendAfterEnd,
        Rule::NoSendToDrainingServer,
        Rule::OneAttemptAtATime,
        Rule::NoUnsafeRetry,
        Rule::RejectionSafeToRetry,
    ];

    /// Returns the name of the rule in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Rule::OneAnswer => "one_answer",
            Rule::NoSendAfterEnd => "nothing_after_the_end",
            Rule::NoSendToDrainingServer => "clean_drain",
            Rule::OneAttemptAtATime => "one_attempt_at_a_time",
            Rule::NoUnsafeRetry => "no_double_effect",
            Rule::RejectionSafeToRetry => "harmless_rejection",
        }
    }
}

/// A broken rule and the request for which it was broken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Violation {
    /// The rule that was broken.
    pub rule: Rule,
    /// The request for which the rule was broken.
    pub request: RequestId,
}

/// What the monitor knows of a request that the front has not released yet.
#[derive(Clone, Debug)]
struct MonitoredRequest {
    semantics: Semantics,
    group: DeduplicationGroup,
    /// How long the chunk servers deduplicate retries of the request.
    window: Nanos,
    /// Whether the final answer was given or the client has disconnected.
    ended: bool,
    answered: bool,
    /// When the first ended attempt that may have been executed was sent; `None` without one.
    executed_since: Option<Nanos>,
    /// When each attempt in flight was sent, by the index of the attempt.
    in_flight: BTreeMap<u32, Nanos>,
}

/// Follows the requests of a front and reports violations of the rules.
#[derive(Clone, Debug, Default)]
pub struct InvariantMonitor {
    requests: BTreeMap<RequestId, MonitoredRequest>,
    listed: BTreeMap<NodeId, EndpointState>,
}

impl InvariantMonitor {
    /// Records an input before it is handled.
    pub fn input(&mut self, input: &Input, settings: &Settings) {
        match input {
            Input::RequestReceived(request) => {
                let Some(class) = settings.classes.get(request.class) else {
                    return;
                };
                let monitored = MonitoredRequest {
                    semantics: class.semantics,
                    group: class.group,
                    window: class.window,
                    ended: false,
                    answered: false,
                    executed_since: None,
                    in_flight: BTreeMap::new(),
                };
                self.requests.insert(request.id, monitored);
            }
            Input::ClientDisconnected(id) => {
                self.requests
                    .entry(*id)
                    .and_modify(|request| request.ended = true);
            }
            Input::AttemptEnded {
                id,
                attempt,
                outcome,
                ..
            } => self.attempt_ended(*id, *attempt, *outcome),
            Input::AttemptTimedOut { id, attempt } => {
                self.attempt_ended(*id, *attempt, Outcome::TimedOut)
            }
            Input::AttemptCancelled { id, attempt } => {
                self.attempt_ended(*id, *attempt, Outcome::Cancelled)
            }
            Input::Endpoints { scope, nodes } => {
                if *scope == UpdateScope::Replace {
                    self.listed
                        .values_mut()
                        .for_each(|listed| *listed = EndpointState::Removed);
                }
                self.listed
                    .extend(nodes.iter().map(|info| (info.node, info.state)));
            }
            Input::ResponseBegan { .. }
            | Input::ResponsePaused { .. }
            | Input::ResponseStopped(_)
            | Input::Overdue(_)
            | Input::FleetUpdate(_)
            | Input::Timer(_) => {}
        }
    }

    /// Checks an effect before it is carried out. Returns the violation, if it breaks a rule.
    pub fn effect(&mut self, now: Nanos, effect: &Effect) -> Option<Violation> {
        match effect {
            Effect::Send {
                id, attempt, node, ..
            } => self.attempt_sent(now, *id, *attempt, *node),
            Effect::Answer { id, answer } => self.request_answered(*id, answer),
            Effect::Release(id) => {
                self.requests.remove(id);
                None
            }
            Effect::Runtime(RuntimeCommand::ForgetNode(node)) => {
                self.listed.remove(node);
                None
            }
            _ => None,
        }
    }

    /// Records the end of an attempt, and whether it may have been executed.
    fn attempt_ended(&mut self, id: RequestId, attempt: u32, outcome: Outcome) {
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        let Some(sent_at) = request.in_flight.remove(&attempt) else {
            return;
        };
        if outcome.may_have_executed() {
            request.executed_since.get_or_insert(sent_at);
        }
    }

    /// Records an attempt that is about to be sent, and checks whether it may be sent.
    fn attempt_sent(
        &mut self,
        now: Nanos,
        id: RequestId,
        attempt: u32,
        node: NodeId,
    ) -> Option<Violation> {
        let is_up = self
            .listed
            .get(&node)
            .is_none_or(|listed| *listed == EndpointState::Up);
        let request = self.requests.get_mut(&id)?;
        let repeat_allowed = request
            .executed_since
            .is_none_or(|since| match request.semantics {
                Semantics::Idempotent => true,
                Semantics::Deduplicated => now < since + request.window,
                Semantics::AtMostOnce => false,
            });
        let rule = if request.ended {
            Some(Rule::NoSendAfterEnd)
        } else if !is_up {
            Some(Rule::NoSendToDrainingServer)
        } else if !request.in_flight.is_empty() {
            Some(Rule::OneAttemptAtATime)
        } else if !repeat_allowed {
            Some(Rule::NoUnsafeRetry)
        } else {
            None
        };
        request.in_flight.insert(attempt, now);
        rule.map(|rule| Violation { rule, request: id })
    }

    /// Records a final answer that is about to be given, and checks whether it may be given.
    fn request_answered(&mut self, id: RequestId, answer: &FinalAnswer) -> Option<Violation> {
        let request = self.requests.get_mut(&id)?;
        let may_have_executed = request.executed_since.is_some() || !request.in_flight.is_empty();
        let is_harmless = match request.semantics {
            Semantics::Idempotent => true,
            Semantics::Deduplicated => {
                !may_have_executed || request.group == DeduplicationGroup::All
            }
            Semantics::AtMostOnce => !may_have_executed,
        };
        let rule = if request.answered {
            Some(Rule::OneAnswer)
        } else if matches!(answer, FinalAnswer::Rejected(_)) && !is_harmless {
            Some(Rule::RejectionSafeToRetry)
        } else {
            None
        };
        request.answered = true;
        request.ended = true;
        rule.map(|rule| Violation { rule, request: id })
    }
}
