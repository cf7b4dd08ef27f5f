//! Mutation testing: deliberate defects in the machines, used to verify that the model checker
//! detects them.
//!
//! Exactly one mutation, or none, is active in a process. Without the feature `mutations`
//! [`mutated`] is the constant `false`, so that no defect is compiled in.

/// Defines the switch for the mutations of a crate.
///
/// The caller has an enum `Mutation` in scope that is `Copy` and fieldless, and a Cargo feature
/// `mutations`. With the feature the macro defines `activate(Option<Mutation>)`, which activates
/// one mutation or none for the process, and `mutated(Mutation) -> bool`, which tells whether it is
/// active. Without the feature it defines `mutated` alone, as a constant `false`.
#[macro_export]
macro_rules! mutation_switch {
    () => {
        #[cfg(feature = "mutations")]
        mod switch {
            use std::sync::atomic::{AtomicUsize, Ordering};

            /// Value of [`ACTIVE`] while no mutation is active.
            const NONE: usize = 0;
            /// One plus the discriminant of the active mutation, or [`NONE`].
            static ACTIVE: AtomicUsize = AtomicUsize::new(NONE);

            const fn encode(mutation: super::Mutation) -> usize {
                mutation as usize + 1
            }

            /// Whether this mutation is active.
            pub fn mutated(mutation: super::Mutation) -> bool {
                ACTIVE.load(Ordering::Relaxed) == encode(mutation)
            }

            /// Activates one mutation for this process, or none.
            pub fn activate(mutation: Option<super::Mutation>) {
                ACTIVE.store(mutation.map_or(NONE, encode), Ordering::Relaxed);
            }
        }

        #[cfg(feature = "mutations")]
        pub use switch::{activate, mutated};

        /// Whether this mutation is active: never, in a build without the feature `mutations`.
        #[cfg(not(feature = "mutations"))]
        #[inline(always)]
        pub const fn mutated(_: Mutation) -> bool {
            false
        }
    };
}

/// A deliberate defect in a machine of this crate. [`ALL`] has its stable name for the command
/// line.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Mutation {
    /// The last byte of a request counts as written when the request is assigned to a connection.
    LastByteCountedAtAssignment,
    /// The write of the last byte is not recorded: a request that may have run counts as partially
    /// written.
    LastByteNotRecorded,
    /// Bytes that arrive before the request is written completely are taken as its response.
    EarlyBytesTakenAsResponse,
    /// A partially written request is resent on another pooled connection.
    PartiallyWrittenRequestResent,
    /// A completely written request is resent on another pooled connection.
    WrittenRequestResent,
    /// A reset after the last byte counts as a refused connection.
    ResetCountsAsNotExecuted,
    /// A request is written to a connection on which bytes wait unread.
    WritesOverUnreadBytes,
    /// A connection is reused past the time after which servers close idle connections.
    IdleTimeoutIgnored,
    /// A connection to the old address of a node is reused after the address has changed.
    ReusedAfterAddressChange,
    /// Connections to servers are opened past their cap.
    ServerConnectionCapIgnored,
    /// A cancelled attempt counts as not executed.
    CancelCountsAsNotExecuted,
    /// A request is answered although its client is gone.
    AnswerAfterClientGone,
    /// A request whose client is gone is never released.
    NoReleaseAfterClientGone,
    /// A request gets a second final answer.
    SecondFinalAnswer,
    /// An attempt is started for a request that is answered.
    AttemptAfterAnswer,
    /// An attempt that has ended stays in the table of attempts in flight.
    EndedAttemptRetained,
    /// A request is released while it has an attempt in flight.
    ReleasedWithAttemptInFlight,
    /// An attempt that timed out counts as not executed.
    TimeoutCountsAsNotExecuted,
    /// The timeout of an attempt exceeds its client's deadline.
    TimeoutPastClientDeadline,
    /// A connection that was never established counts as one that may have carried the request.
    DialFailureMayHaveRun,
    /// The idle connections of a removed node are kept.
    RemovedNodeKeepsConnections,
    /// A draining node still gets queued requests.
    DrainIgnoresQueue,
    /// A request that must not run twice is retried after a reset.
    RetriesUnsafeWrite,
    /// A request that must not run twice is rejected as harmless to repeat although it may have
    /// run.
    RejectsUnsafeWrite,
    /// The cap on attempts is ignored.
    UnlimitedRetry,
    /// A finished request stays in its node's queue.
    FinishedStaysQueued,
    /// A request whose client is gone is still scheduled.
    IgnoresClientGone,
    /// A node keeps an ended attempt in its count of attempts in flight.
    EndedStaysInFlight,
    /// A request's timeout restarts when its body begins.
    BodyRestartsTimeout,
    /// A client connection is closed although a request has arrived on it.
    ClosesOverArrivedRequest,
    /// A client connection with an open request is evicted.
    RespondingConnectionEvicted,
    /// Client connections are accepted past the cap.
    ClientConnectionCapIgnored,
    /// The process exits while requests are open.
    ExitsWithOpenRequests,
    /// Attempts that have not begun are not withdrawn when the client leaves or the request is
    /// answered.
    WithdrawalOmitted,
    /// Attempts that are still dialing a node are not withdrawn when the node drains.
    DrainIgnoresDialing,
    /// A withdrawn request is written.
    WithdrawnRequestWritten,
    /// A watch that has fallen silent counts as open.
    SilentWatchCountsAsOpen,
    /// A call to discovery may hang for ever.
    CallTimeoutIgnored,
    /// A graceful shutdown closes connections on which a request is arriving.
    ShutdownClosesArrivingRequest,
    /// Discovery is called only when the decision module requests the list.
    CallsOnlyOnRequest,
}

/// The group of machines that a mutation is in. Each group has its own world in the model checker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MachineGroup {
    /// Client connections, their limit and graceful shutdown.
    ClientConnections,
    /// Requests, attempts, connections to chunk servers, and the decision module.
    Requests,
    /// The discovery watch.
    DiscoveryWatch,
}

/// All mutations, each with its name on the command line and its group of machines.
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
        Mutation::AnswerAfterClientGone,
        "answer-to-client-that-left",
        MachineGroup::Requests,
    ),
    (
        Mutation::NoReleaseAfterClientGone,
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
        Mutation::IgnoresClientGone,
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
