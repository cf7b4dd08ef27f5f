//! Mutation testing: deliberate defects in the state machines, which show whether the model checker
//! detects them.
//!
//! At most one mutation is active in a process. Without the feature `mutations`, [`mutated`] always
//! returns `false`, so that no defect is compiled in.

/// Defines the switch for the mutations of a crate.
///
/// The calling module must define a fieldless `Copy` enum `Mutation`, and its crate the Cargo
/// feature `mutations`. With the feature, the macro defines `activate(Option<Mutation>)`, which
/// activates at most one mutation for the process, and `mutated(Mutation) -> bool`, which returns
/// whether a mutation is active. Without the feature, it defines only `mutated`, which always
/// returns `false`.
#[macro_export]
macro_rules! mutation_switch {
    () => {
        #[cfg(feature = "mutations")]
        mod switch {
            use std::sync::atomic::{AtomicUsize, Ordering};

            /// Value of [`ACTIVE`] while no mutation is active.
            const NONE: usize = 0;
            /// The discriminant of the active mutation plus one, or [`NONE`].
            static ACTIVE: AtomicUsize = AtomicUsize::new(NONE);

            const fn encode(mutation: super::Mutation) -> usize {
                mutation as usize + 1
            }

            /// Returns whether a mutation is active in this process.
            pub fn mutated(mutation: super::Mutation) -> bool {
                ACTIVE.load(Ordering::Relaxed) == encode(mutation)
            }

            /// Activates a mutation for this process, or deactivates all with `None`.
            pub fn activate(mutation: Option<super::Mutation>) {
                ACTIVE.store(mutation.map_or(NONE, encode), Ordering::Relaxed);
            }
        }

        #[cfg(feature = "mutations")]
        pub use switch::{activate, mutated};

        /// Returns `false`: a build without the feature `mutations` contains no defect.
        #[cfg(not(feature = "mutations"))]
        #[inline(always)]
        pub const fn mutated(_: Mutation) -> bool {
            false
        }
    };
}

/// A deliberate defect in a state machine of this crate. [`ALL`] lists its name on the command
/// line.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Mutation {
    /// The last byte of a request counts as written as soon as the request is assigned to a
    /// connection.
    LastByteCountedAtAssignment,
    /// The write of the last byte is not recorded, so that a request that may have been executed
    /// counts as partially written.
    LastByteNotRecorded,
    /// Bytes that arrive before the request is completely written are taken as its response.
    EarlyBytesTakenAsResponse,
    /// A partially written request is resent on another pooled connection.
    PartiallyWrittenRequestResent,
    /// A completely written request is resent on another pooled connection.
    WrittenRequestResent,
    /// A connection reset after the last byte was written counts as a refused connection.
    ResetCountsAsNotExecuted,
    /// A request is written to a connection that has unread bytes.
    WritesOverUnreadBytes,
    /// A connection is reused after it was idle for so long that the server may close it.
    IdleTimeoutIgnored,
    /// A connection to a node's previous address is reused after the address has changed.
    ReusedAfterAddressChange,
    /// More connections to servers are opened than the limit allows.
    ServerConnectionCapIgnored,
    /// A cancelled attempt counts as not executed.
    CancelCountsAsNotExecuted,
    /// A request is answered although its client has disconnected.
    AnswerAfterDisconnect,
    /// A request whose client has disconnected is never released.
    NoReleaseAfterDisconnect,
    /// A request gets a second final answer.
    SecondFinalAnswer,
    /// An attempt is started for a request that is already answered.
    AttemptAfterAnswer,
    /// An attempt that has ended stays in its request's list of attempts in flight.
    EndedAttemptRetained,
    /// A request is released while an attempt is still in flight.
    ReleasedWithAttemptInFlight,
    /// An attempt that timed out counts as not executed.
    TimeoutCountsAsNotExecuted,
    /// The deadline of an attempt is later than that of its client.
    TimeoutPastClientDeadline,
    /// A request counts as possibly executed although its connection was never established.
    DialFailureMayHaveRun,
    /// The idle connections of a removed node are kept.
    RemovedNodeKeepsConnections,
    /// A draining node still receives queued requests.
    DrainIgnoresQueue,
    /// A request that must not be executed twice is retried although it may have been executed.
    RetriesUnsafeWrite,
    /// A request that must not be executed twice is rejected, which tells the client that a repeat
    /// is safe, although it may have been executed.
    RejectsUnsafeWrite,
    /// The limit on the attempts of a request is ignored.
    UnlimitedRetry,
    /// A finished request stays in the queue of its shard.
    FinishedStaysQueued,
    /// The scheduler keeps a request whose client has disconnected.
    IgnoresDisconnect,
    /// An attempt that has ended still counts as in flight at its node.
    EndedStaysInFlight,
    /// The timeout of a request restarts when its body begins.
    BodyRestartsTimeout,
    /// A client connection is closed although a request has arrived on it.
    ClosesOverArrivedRequest,
    /// A client connection with an open request is evicted to make room for another.
    RespondingConnectionEvicted,
    /// More client connections are accepted than the limit allows.
    ClientConnectionCapIgnored,
    /// The process exits while requests are open.
    ExitsWithOpenRequests,
    /// Attempts that have not begun are not withdrawn when the client disconnects or the request is
    /// answered.
    WithdrawalOmitted,
    /// Attempts that are still connecting to a node are not withdrawn when the node drains.
    DrainIgnoresDialing,
    /// A withdrawn request is written.
    WithdrawnRequestWritten,
    /// A watch that no longer receives messages counts as open.
    SilentWatchCountsAsOpen,
    /// A call to discovery has no timeout.
    CallTimeoutIgnored,
    /// Graceful shutdown closes connections on which a request is arriving.
    ShutdownClosesArrivingRequest,
    /// Discovery is called only when the decision module requests the endpoint list.
    CallsOnlyOnRequest,
}

/// The group of state machines that contains a mutation. The model checker searches the
/// configurations of that group first.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MachineGroup {
    /// Client connections, their limit and graceful shutdown.
    ClientConnections,
    /// Requests, attempts, connections to chunk servers, and the decision module.
    Requests,
    /// The discovery watch.
    DiscoveryWatch,
}

/// All mutations, each with its name on the command line and its group of state machines.
pub const ALL: &[(Mutation, &str, MachineGroup)] = &[
    (
        Mutation::LastByteCountedAtAssignment,
        "last-byte-at-hand-over",
        MachineGroup::Requests,
    ),
    (
        Mutation::LastByteNotRecorded,
        "last-byte-not-seen",
        MachineGroup::Requests,
    ),
    (
        Mutation::EarlyBytesTakenAsResponse,
        "early-answer-taken",
        MachineGroup::Requests,
    ),
    (
        Mutation::PartiallyWrittenRequestResent,
        "partly-sent-goes-round",
        MachineGroup::Requests,
    ),
    (
        Mutation::WrittenRequestResent,
        "resent-silently",
        MachineGroup::Requests,
    ),
    (
        Mutation::ResetCountsAsNotExecuted,
        "reset-taken-for-refusal",
        MachineGroup::Requests,
    ),
    (
        Mutation::WritesOverUnreadBytes,
        "writes-over-waiting-bytes",
        MachineGroup::Requests,
    ),
    (
        Mutation::IdleTimeoutIgnored,
        "idle-for-too-long",
        MachineGroup::Requests,
    ),
    (
        Mutation::ReusedAfterAddressChange,
        "kept-for-another-address",
        MachineGroup::Requests,
    ),
    (
        Mutation::ServerConnectionCapIgnored,
        "no-cap-on-connections",
        MachineGroup::Requests,
    ),
    (
        Mutation::CancelCountsAsNotExecuted,
        "cancel-proves-nothing-ran",
        MachineGroup::Requests,
    ),
    (
        Mutation::AnswerAfterDisconnect,
        "answer-to-client-that-left",
        MachineGroup::Requests,
    ),
    (
        Mutation::NoReleaseAfterDisconnect,
        "left-charged-for-ever",
        MachineGroup::Requests,
    ),
    (
        Mutation::SecondFinalAnswer,
        "second-final-answer",
        MachineGroup::Requests,
    ),
    (
        Mutation::AttemptAfterAnswer,
        "placed-after-answer",
        MachineGroup::Requests,
    ),
    (
        Mutation::EndedAttemptRetained,
        "attempt-left-in-table",
        MachineGroup::Requests,
    ),
    (
        Mutation::ReleasedWithAttemptInFlight,
        "released-while-out",
        MachineGroup::Requests,
    ),
    (
        Mutation::TimeoutCountsAsNotExecuted,
        "time-up-proves-nothing-ran",
        MachineGroup::Requests,
    ),
    (
        Mutation::TimeoutPastClientDeadline,
        "until-past-client",
        MachineGroup::Requests,
    ),
    (
        Mutation::DialFailureMayHaveRun,
        "dial-failure-in-doubt",
        MachineGroup::Requests,
    ),
    (
        Mutation::RemovedNodeKeepsConnections,
        "forgotten-node-keeps-connections",
        MachineGroup::Requests,
    ),
    (
        Mutation::DrainIgnoresQueue,
        "drain-misses-queued",
        MachineGroup::Requests,
    ),
    (
        Mutation::RetriesUnsafeWrite,
        "repeats-submit",
        MachineGroup::Requests,
    ),
    (
        Mutation::RejectsUnsafeWrite,
        "refuses-submit-in-doubt",
        MachineGroup::Requests,
    ),
    (
        Mutation::UnlimitedRetry,
        "tries-unbounded",
        MachineGroup::Requests,
    ),
    (
        Mutation::FinishedStaysQueued,
        "queue-keeps-finished",
        MachineGroup::Requests,
    ),
    (
        Mutation::IgnoresDisconnect,
        "gone-not-finished",
        MachineGroup::Requests,
    ),
    (
        Mutation::EndedStaysInFlight,
        "out-keeps-ended",
        MachineGroup::Requests,
    ),
    (
        Mutation::BodyRestartsTimeout,
        "body-restarts-time",
        MachineGroup::ClientConnections,
    ),
    (
        Mutation::ClosesOverArrivedRequest,
        "closes-across-request",
        MachineGroup::ClientConnections,
    ),
    (
        Mutation::RespondingConnectionEvicted,
        "open-gives-way",
        MachineGroup::ClientConnections,
    ),
    (
        Mutation::ClientConnectionCapIgnored,
        "no-cap-at-door",
        MachineGroup::ClientConnections,
    ),
    (
        Mutation::ExitsWithOpenRequests,
        "leaves-open-requests",
        MachineGroup::ClientConnections,
    ),
    (
        Mutation::WithdrawalOmitted,
        "left-attempt-goes-out",
        MachineGroup::Requests,
    ),
    (
        Mutation::DrainIgnoresDialing,
        "drain-misses-dialling",
        MachineGroup::Requests,
    ),
    (
        Mutation::WithdrawnRequestWritten,
        "withdrawn-is-written",
        MachineGroup::Requests,
    ),
    (
        Mutation::SilentWatchCountsAsOpen,
        "silent-watch-stands",
        MachineGroup::DiscoveryWatch,
    ),
    (
        Mutation::CallTimeoutIgnored,
        "call-hangs",
        MachineGroup::DiscoveryWatch,
    ),
    (
        Mutation::ShutdownClosesArrivingRequest,
        "shuts-across-arriving",
        MachineGroup::ClientConnections,
    ),
    (
        Mutation::CallsOnlyOnRequest,
        "asks-when-wanted-alone",
        MachineGroup::DiscoveryWatch,
    ),
];

mutation_switch!();
