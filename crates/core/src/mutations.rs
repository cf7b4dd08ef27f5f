//! Mutation testing: deliberate defects in the machines, used to verify that the model checker detects them.
//!
//! Exactly one mutation, or none, is active in a process. Without the feature `mutations` [`mutated`] is the constant
//! `false`, so that no defect is compiled in.

/// Defines the switch for the mutations of a crate.
///
/// The caller has an enum `Mutation` in scope that is `Copy` and fieldless, and a Cargo feature `mutations`. With
/// the feature the macro defines `activate(Option<Mutation>)`, which activates one mutation or none for the process,
/// and `mutated(Mutation) -> bool`, which tells whether it is active. Without the feature it defines `mutated` alone, as
/// a constant `false`.
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

/// A deliberate defect in a machine of this crate. [`ALL`] has its stable name for the command line.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Mutation {
    /// The last byte of a request counts as written when the request is assigned to a connection.
    LastByteCountedAtAssignment,
    /// The write of the last byte is not recorded: a request that may have run counts as partially written.
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
    DrainMissesQueued,
    /// A request that must not run twice is retried after a reset.
    RepeatsSubmit,
    /// A request that must not run twice is rejected as harmless to repeat although it may have run.
    RefusesSubmitInDoubt,
    /// The cap on attempts is ignored.
    TriesUnbounded,
    /// A finished request stays in its node's queue.
    QueueKeepsFinished,
    /// A request whose client is gone is still scheduled.
    GoneNotFinished,
    /// A node keeps an ended attempt in its count of attempts in flight.
    OutKeepsEnded,
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
    /// Attempts that have not begun are not withdrawn when the client leaves or the request is answered.
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
pub enum Part {
    /// Client connections, their limit and graceful shutdown.
    Door,
    /// Requests, attempts, connections to chunk servers, and the decision module.
    Front,
    /// The discovery watch.
    Watch,
}

/// All mutations, each with its name on the command line and its group of machines.
pub const ALL: &[(Mutation, &str, Part)] = &[
    (Mutation::LastByteCountedAtAssignment, "last-byte-at-hand-over", Part::Front),
    (Mutation::LastByteNotRecorded, "last-byte-not-seen", Part::Front),
    (Mutation::EarlyBytesTakenAsResponse, "early-answer-taken", Part::Front),
    (Mutation::PartiallyWrittenRequestResent, "partly-sent-goes-round", Part::Front),
    (Mutation::WrittenRequestResent, "resent-silently", Part::Front),
    (Mutation::ResetCountsAsNotExecuted, "reset-taken-for-refusal", Part::Front),
    (Mutation::WritesOverUnreadBytes, "writes-over-waiting-bytes", Part::Front),
    (Mutation::IdleTimeoutIgnored, "idle-for-too-long", Part::Front),
    (Mutation::ReusedAfterAddressChange, "kept-for-another-address", Part::Front),
    (Mutation::ServerConnectionCapIgnored, "no-cap-on-connections", Part::Front),
    (Mutation::CancelCountsAsNotExecuted, "cancel-proves-nothing-ran", Part::Front),
    (Mutation::AnswerAfterClientGone, "answer-to-client-that-left", Part::Front),
    (Mutation::NoReleaseAfterClientGone, "left-charged-for-ever", Part::Front),
    (Mutation::SecondFinalAnswer, "second-final-answer", Part::Front),
    (Mutation::AttemptAfterAnswer, "placed-after-answer", Part::Front),
    (Mutation::EndedAttemptRetained, "attempt-left-in-table", Part::Front),
    (Mutation::ReleasedWithAttemptInFlight, "released-while-out", Part::Front),
    (Mutation::TimeoutCountsAsNotExecuted, "time-up-proves-nothing-ran", Part::Front),
    (Mutation::TimeoutPastClientDeadline, "until-past-client", Part::Front),
    (Mutation::DialFailureMayHaveRun, "dial-failure-in-doubt", Part::Front),
    (Mutation::RemovedNodeKeepsConnections, "forgotten-node-keeps-connections", Part::Front),
    (Mutation::DrainMissesQueued, "drain-misses-queued", Part::Front),
    (Mutation::RepeatsSubmit, "repeats-submit", Part::Front),
    (Mutation::RefusesSubmitInDoubt, "refuses-submit-in-doubt", Part::Front),
    (Mutation::TriesUnbounded, "tries-unbounded", Part::Front),
    (Mutation::QueueKeepsFinished, "queue-keeps-finished", Part::Front),
    (Mutation::GoneNotFinished, "gone-not-finished", Part::Front),
    (Mutation::OutKeepsEnded, "out-keeps-ended", Part::Front),
    (Mutation::BodyRestartsTimeout, "body-restarts-time", Part::Door),
    (Mutation::ClosesOverArrivedRequest, "closes-across-request", Part::Door),
    (Mutation::RespondingConnectionEvicted, "open-gives-way", Part::Door),
    (Mutation::ClientConnectionCapIgnored, "no-cap-at-door", Part::Door),
    (Mutation::ExitsWithOpenRequests, "leaves-open-requests", Part::Door),
    (Mutation::WithdrawalOmitted, "left-attempt-goes-out", Part::Front),
    (Mutation::DrainIgnoresDialing, "drain-misses-dialling", Part::Front),
    (Mutation::WithdrawnRequestWritten, "withdrawn-is-written", Part::Front),
    (Mutation::SilentWatchCountsAsOpen, "silent-watch-stands", Part::Watch),
    (Mutation::CallTimeoutIgnored, "call-hangs", Part::Watch),
    (Mutation::ShutdownClosesArrivingRequest, "shuts-across-arriving", Part::Door),
    (Mutation::CallsOnlyOnRequest, "asks-when-wanted-alone", Part::Watch),
];

mutation_switch!();
