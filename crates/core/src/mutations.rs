//! Bugs that are seeded on purpose, to see whether the checker finds them. In every build without the feature
//! `seeded`, [`seeded`] is the constant `false` and none of them is compiled in.

/// For an enum `Bug` beside it, of a package with a feature `seeded`: `seed`, which puts one bug in force in this process
/// or none, and `seeded`, which tells whether one is, and is the constant `false` without the feature.
#[macro_export]
macro_rules! mutation_switch {
    () => {
        #[cfg(feature = "mutations")]
        mod chosen {
            use std::sync::atomic::{AtomicUsize, Ordering};

            static CHOSEN: AtomicUsize = AtomicUsize::new(0);

            /// Whether this bug is in force.
            pub fn mutated(mutation: super::Mutation) -> bool {
                CHOSEN.load(Ordering::Relaxed) == mutation as usize + 1
            }

            /// Puts one bug in force in this process, or none.
            pub fn activate(mutation: Option<super::Mutation>) {
                CHOSEN.store(mutation.map_or(0, |m| m as usize + 1), Ordering::Relaxed);
            }
        }

        #[cfg(feature = "mutations")]
        pub use chosen::{activate, mutated};

        /// Whether this bug is in force: never, in this build.
        #[cfg(not(feature = "mutations"))]
        #[inline(always)]
        pub const fn mutated(_: Mutation) -> bool {
            false
        }
    };
}

/// One alteration of the product's own code path.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Mutation {
    /// The last byte counts as written when the request is handed over.
    LastByteAtHandOver,
    /// The last byte is not noticed: a request that may have run counts as not sent whole.
    LastByteNotSeen,
    /// Bytes that come before a request is out whole pass as its answer.
    EarlyAnswerTaken,
    /// A request that was written in part goes out again on the next connection.
    PartlySentGoesRound,
    /// A request that was written whole goes out again on the next connection.
    ResentSilently,
    /// A reset after the last byte counts as a refused connection.
    ResetTakenForRefusal,
    /// A request is written to a connection though bytes wait on it.
    WritesOverWaitingBytes,
    /// A connection is used again past the time at which nodes close it.
    IdleForTooLong,
    /// A connection to a node's old address is kept for the new one.
    KeptForAnotherAddress,
    /// Connections are opened past their cap.
    NoCapOnConnections,
    /// A cancelled attempt is taken as one that never ran.
    CancelProvesNothingRan,
    /// What came for a client that left is answered all the same.
    AnswerToClientThatLeft,
    /// A request whose client left is charged for ever.
    LeftChargedForEver,
    /// A second final answer goes out.
    SecondFinalAnswer,
    /// An attempt goes out for a request that has been answered.
    PlacedAfterAnswer,
    /// An attempt that has ended stays in the table.
    AttemptLeftInTable,
    /// A request is released while an attempt of it is out.
    ReleasedWhileOut,
    /// A time-out is taken as proof that nothing ran.
    TimeUpProvesNothingRan,
    /// An attempt may run on past its client's time.
    UntilPastClient,
    /// A connection that never came up counts as one that may have carried the request.
    DialFailureInDoubt,
    /// The connections of a node that is forgotten are kept.
    ForgottenNodeKeepsConnections,
    /// A drain notice misses the work that is queued.
    DrainMissesQueued,
    /// A request that must not run twice is tried again after a reset.
    RepeatsSubmit,
    /// A request that must not run twice is refused though it may have run.
    RefusesSubmitInDoubt,
    /// The number of tries is not looked at.
    TriesUnbounded,
    /// A request that is over stays in its node's queue.
    QueueKeepsFinished,
    /// A request whose client is gone goes on being scheduled.
    GoneNotFinished,
    /// A node keeps an attempt that has ended among those out to it.
    OutKeepsEnded,
    /// The time of a request begins anew with its body.
    BodyRestartsTime,
    /// A connection is closed though a request has come on it.
    ClosesAcrossRequest,
    /// A connection with an open request gives its place up.
    OpenGivesWay,
    /// Clients' connections are accepted past the cap.
    NoCapAtDoor,
    /// The front ends while requests are open.
    LeavesOpenRequests,
    /// A client that goes, or an answer, withdraws no attempt that has not begun.
    LeftAttemptGoesOut,
    /// A node that is told to be leaving gets what was dialling.
    DrainMissesDialling,
    /// A request that was withdrawn is written all the same.
    WithdrawnIsWritten,
    /// A watch that has fallen silent is taken for one that stands.
    SilentWatchStands,
    /// A call to discovery may hang for good.
    CallHangs,
    /// A front that leaves shuts connections on which a request has begun to come.
    ShutsAcrossArriving,
    /// Discovery is called only when who decides wants the list.
    AsksWhenWantedAlone,
}

/// Which of the machines a bug is in.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Part {
    /// Clients' connections.
    Door,
    /// Requests, attempts, connections to nodes, decisions.
    Front,
    /// The watch on discovery.
    Watch,
}

/// All of them, with the name that commands use.
pub const ALL: &[(Mutation, &str, Part)] = &[
    (Mutation::LastByteAtHandOver, "last-byte-at-hand-over", Part::Front),
    (Mutation::LastByteNotSeen, "last-byte-not-seen", Part::Front),
    (Mutation::EarlyAnswerTaken, "early-answer-taken", Part::Front),
    (Mutation::PartlySentGoesRound, "partly-sent-goes-round", Part::Front),
    (Mutation::ResentSilently, "resent-silently", Part::Front),
    (Mutation::ResetTakenForRefusal, "reset-taken-for-refusal", Part::Front),
    (Mutation::WritesOverWaitingBytes, "writes-over-waiting-bytes", Part::Front),
    (Mutation::IdleForTooLong, "idle-for-too-long", Part::Front),
    (Mutation::KeptForAnotherAddress, "kept-for-another-address", Part::Front),
    (Mutation::NoCapOnConnections, "no-cap-on-connections", Part::Front),
    (Mutation::CancelProvesNothingRan, "cancel-proves-nothing-ran", Part::Front),
    (Mutation::AnswerToClientThatLeft, "answer-to-client-that-left", Part::Front),
    (Mutation::LeftChargedForEver, "left-charged-for-ever", Part::Front),
    (Mutation::SecondFinalAnswer, "second-final-answer", Part::Front),
    (Mutation::PlacedAfterAnswer, "placed-after-answer", Part::Front),
    (Mutation::AttemptLeftInTable, "attempt-left-in-table", Part::Front),
    (Mutation::ReleasedWhileOut, "released-while-out", Part::Front),
    (Mutation::TimeUpProvesNothingRan, "time-up-proves-nothing-ran", Part::Front),
    (Mutation::UntilPastClient, "until-past-client", Part::Front),
    (Mutation::DialFailureInDoubt, "dial-failure-in-doubt", Part::Front),
    (Mutation::ForgottenNodeKeepsConnections, "forgotten-node-keeps-connections", Part::Front),
    (Mutation::DrainMissesQueued, "drain-misses-queued", Part::Front),
    (Mutation::RepeatsSubmit, "repeats-submit", Part::Front),
    (Mutation::RefusesSubmitInDoubt, "refuses-submit-in-doubt", Part::Front),
    (Mutation::TriesUnbounded, "tries-unbounded", Part::Front),
    (Mutation::QueueKeepsFinished, "queue-keeps-finished", Part::Front),
    (Mutation::GoneNotFinished, "gone-not-finished", Part::Front),
    (Mutation::OutKeepsEnded, "out-keeps-ended", Part::Front),
    (Mutation::BodyRestartsTime, "body-restarts-time", Part::Door),
    (Mutation::ClosesAcrossRequest, "closes-across-request", Part::Door),
    (Mutation::OpenGivesWay, "open-gives-way", Part::Door),
    (Mutation::NoCapAtDoor, "no-cap-at-door", Part::Door),
    (Mutation::LeavesOpenRequests, "leaves-open-requests", Part::Door),
    (Mutation::LeftAttemptGoesOut, "left-attempt-goes-out", Part::Front),
    (Mutation::DrainMissesDialling, "drain-misses-dialling", Part::Front),
    (Mutation::WithdrawnIsWritten, "withdrawn-is-written", Part::Front),
    (Mutation::SilentWatchStands, "silent-watch-stands", Part::Watch),
    (Mutation::CallHangs, "call-hangs", Part::Watch),
    (Mutation::ShutsAcrossArriving, "shuts-across-arriving", Part::Door),
    (Mutation::AsksWhenWantedAlone, "asks-when-wanted-alone", Part::Watch),
];

mutation_switch!();
