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
            $(Property { name: $name, statement: $statement, rule: $rule, is_violated: |v| v.$flag },)*
        ];
    };
}

properties! {
    second_final_answer, "one-final-answer", "13.1",
        "A request gets no second final answer.";
    answer_after_client_left, "no-answer-after-leaving", "13.1",
        "A client that has left is sent no answer.";
    answer_overdue, "answered-in-time", "13.1",
        "A client that waits has its answer within the slack after its time, stand-stills granted.";
    submit_executed_twice, "submit-runs-once", "13.2",
        "A request that must not run twice runs at most once.";
    unsafe_rejection, "refusal-is-harmless", "13.2",
        "A request that must not run twice is refused only where no attempt of it has run or can still run.";
    wrong_execution_state, "doubt-hangs-on-last-byte", "13.2",
        "An attempt that broke counts as one that may have run exactly where its last byte was written.";
    bytes_resent, "nothing-resent", "13.2",
        "An attempt of which a byte was written is written to no second connection.";
    sent_to_draining_node, "no-work-to-leaving-node", "13.3",
        "Nothing is sent to a node told to be draining or gone, and nothing that was dialling to it begins.";
    node_forgotten_in_use, "no-number-reused", "13.3",
        "A node is forgotten only when nothing is out to it; afterwards nothing is sent to it and no connection kept.";
    too_many_attempts, "attempts-within-limits", "13.2",
        "A request has no more attempts than allowed, and no second one out where there are no copies.";
    sent_without_client, "no-work-for-nobody", "13.1",
        "Nothing is sent, and nothing that was dialling begins, for a request that is answered or whose client has left.";
    foreign_answer, "answer-belongs", "13.1",
        "A client gets only what a node answered to its own request.";
    too_many_connections, "connections-capped", "limits",
        "No more connections to nodes are open than the cap allows.";
    stale_connection_reused, "no-stale-reuse", "limits",
        "No connection is used again past the time within which nodes keep it.";
    old_address_reused, "goes-where-node-is", "discovery",
        "No connection to an address that its node has left is used again.";
    untracked_attempt, "every-attempt-held", "13.1",
        "Every attempt that is out is held with its request, and none that has ended is.";
    attempt_outlives_client, "attempt-within-time", "13.1",
        "No attempt is given more time than its client has.";
    not_clean_at_rest, "nothing-left-at-rest", "13.1",
        "Once every client is answered or gone and nothing is out, nothing is held or queued and every connection is quiet.";
    too_many_client_connections, "places-capped", "limits",
        "No more clients' connections are held than there are places, those turned away included.";
    open_request_closed, "open-request-kept", "13.1",
        "No connection is closed by the front while a request on it is being answered.";
    closed_across_request, "no-close-across-request", "PROTOCOL",
        "No connection is shut on which a request has come, and a front that leaves shuts none on which one has begun.";
    request_timeout_missed, "strangers-end", "LATER",
        "Who sends no whole request in its time is closed; a body does not begin that time anew.";
    exited_with_open_request, "taken-answered-before-exit", "13.1",
        "After SIGTERM the front ends only once no request is open or has begun to come, or when its time is up.";
    exit_overdue, "leaves-in-time", "PROTOCOL",
        "After SIGTERM the front ends in its time, whatever clients do.";
    does_not_recover, "returns-to-health", "house",
        "From every state at rest, 8 s of good answers later, each read of a warm node goes out at once.";
    watch_overdue, "news-in-time", "STANDING",
        "Where discovery can be reached, a front has a watch that works before what it misses counts as told.";
    shared_limit_exceeded, "limit-holds-for-all", "house",
        "What all fronts together may use of a shared limit is never more than the limit.";
    panicked, "never-panics", "house",
        "No order of events makes the front panic.";
}
