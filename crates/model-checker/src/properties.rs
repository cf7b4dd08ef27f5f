//! The properties that must hold in every state, each with a stable name and the rule it comes
//! from.

/// A property that must hold in every state.
#[derive(Clone, Copy, Debug)]
pub struct Property {
    /// Stable name, which stored histories and reports use.
    pub name: &'static str,
    /// The statement that holds.
    pub statement: &'static str,
    /// The rule that the property comes from.
    pub rule: &'static str,
    /// Whether a history has violated it.
    pub is_violated: fn(&Violations) -> bool,
}

/// Declares the violation flags and the table of properties together, so that they cannot differ.
macro_rules! properties {
    ($($flag:ident, $name:literal, $rule:literal, $statement:literal;)*) => {
        /// The properties that a history has violated, one flag each.
        #[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
        pub struct Violations {
            $(#[doc = concat!("Set when this does not hold: ", $statement)] pub $flag: bool,)*
        }

        impl Violations {
            /// Whether any property is violated.
            pub fn any(&self) -> bool {
                false $(|| self.$flag)*
            }
        }

        /// All properties, in the order in which commands and histories list them.
        pub const ALL: &[Property] = &[
            $(Property {
                name: $name,
                statement: $statement,
                rule: $rule,
                is_violated: |violations| violations.$flag,
            },)*
        ];
    };
}

properties! {
    second_final_answer, "one-final-answer", "13.1",
        "A request gets at most one final answer.";
    answer_after_client_left, "no-answer-after-leaving", "13.1",
        "A client that has disconnected gets no answer.";
    answer_overdue, "answered-in-time", "13.1",
        "A client that waits gets its answer by its deadline plus a grace period, with allowance \
        for stalls.";
    submit_executed_twice, "submit-runs-once", "13.2",
        "A request that is not idempotent is executed at most once.";
    unsafe_rejection, "refusal-is-harmless", "13.2",
        "A request that is not idempotent is rejected only if no attempt of it was, or may still \
        be, executed.";
    wrong_execution_state, "doubt-hangs-on-last-byte", "13.2",
        "A broken attempt counts as possibly executed if and only if its last byte was written.";
    bytes_resent, "nothing-resent", "13.2",
        "An attempt of which a byte was written is written to no other connection.";
    sent_to_draining_node, "no-work-to-leaving-node", "13.3",
        "Nothing is sent to a node listed as draining or removed, and no attempt that was \
        dialing it begins.";
    node_forgotten_in_use, "no-number-reused", "13.3",
        "A node is forgotten only when no attempt to it is in flight; after that, nothing is \
        sent to it and no connection to it is kept.";
    too_many_attempts, "attempts-within-limits", "13.2",
        "A request has no more attempts than allowed, and no second one in flight without \
        hedging.";
    sent_without_client, "no-work-for-nobody", "13.1",
        "Nothing is sent, and no attempt that was dialing begins, for a request that is answered \
        or whose client has disconnected.";
    foreign_answer, "answer-belongs", "13.1",
        "A client gets only what a server responded to its own request.";
    too_many_connections, "connections-capped", "limits",
        "The number of open connections to servers does not exceed its cap.";
    stale_connection_reused, "no-stale-reuse", "limits",
        "No connection is reused once it has been idle for the idle timeout.";
    old_address_reused, "goes-where-node-is", "discovery",
        "No connection to a former address of its node is reused.";
    untracked_attempt, "every-attempt-held", "13.1",
        "The request tracker records exactly the attempts that are in flight.";
    attempt_outlives_client, "attempt-within-time", "13.1",
        "No attempt has a later deadline than its client.";
    not_clean_at_rest, "nothing-left-at-rest", "13.1",
        "Once every client is answered or has disconnected and no attempt is in flight, no \
        request is tracked or queued and every connection is idle.";
    too_many_client_connections, "places-capped", "limits",
        "The number of connections from clients does not exceed its cap, those to be rejected \
        included.";
    open_request_closed, "open-request-kept", "13.1",
        "The front closes no connection while it is answering a request on it.";
    closed_across_request, "no-close-across-request", "PROTOCOL",
        "The front closes no connection on which a request has arrived, and during shutdown none \
        on which one has begun to arrive.";
    request_timeout_missed, "strangers-end", "LATER",
        "A client that sends no complete request within the request timeout is disconnected; a \
        body does not restart the timeout.";
    exited_with_open_request, "taken-answered-before-exit", "13.1",
        "After SIGTERM the front exits only once no request is open or arriving, or when its \
        time limit is reached.";
    exit_overdue, "leaves-in-time", "PROTOCOL",
        "After SIGTERM the front exits within its time limit, whatever clients do.";
    does_not_recover, "returns-to-health", "house",
        "From every state at rest, after 8 s of successful responses, each read of a warmed-up \
        node is sent at once.";
    watch_overdue, "news-in-time", "STANDING",
        "While discovery is reachable, the front has a working watch again before missed updates \
        make its endpoint list stale.";
    shared_limit_exceeded, "limit-holds-for-all", "house",
        "The shares of a limit that all fronts together may use never exceed the limit.";
    panicked, "never-panics", "house",
        "No order of events makes the front panic.";
}
