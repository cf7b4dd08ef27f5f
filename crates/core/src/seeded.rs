//! Bugs that are seeded on purpose, to see whether the checker finds them. In every build without the feature
//! `seeded`, [`seeded`] is the constant `false` and none of them is compiled in.

/// One alteration of the product's own code path.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
#[repr(u8)]
pub enum Bug {
    /// The last byte counts as written when the request is handed over.
    LastByteAtHandOver = 1,
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
}

/// All of them, with the name that commands use.
pub const ALL: &[(Bug, &str)] = &[
    (Bug::LastByteAtHandOver, "last-byte-at-hand-over"),
    (Bug::LastByteNotSeen, "last-byte-not-seen"),
    (Bug::EarlyAnswerTaken, "early-answer-taken"),
    (Bug::PartlySentGoesRound, "partly-sent-goes-round"),
    (Bug::ResentSilently, "resent-silently"),
    (Bug::ResetTakenForRefusal, "reset-taken-for-refusal"),
    (Bug::WritesOverWaitingBytes, "writes-over-waiting-bytes"),
    (Bug::IdleForTooLong, "idle-for-too-long"),
    (Bug::KeptForAnotherAddress, "kept-for-another-address"),
    (Bug::NoCapOnConnections, "no-cap-on-connections"),
    (Bug::CancelProvesNothingRan, "cancel-proves-nothing-ran"),
    (Bug::AnswerToClientThatLeft, "answer-to-client-that-left"),
    (Bug::LeftChargedForEver, "left-charged-for-ever"),
    (Bug::SecondFinalAnswer, "second-final-answer"),
    (Bug::PlacedAfterAnswer, "placed-after-answer"),
    (Bug::AttemptLeftInTable, "attempt-left-in-table"),
    (Bug::ReleasedWhileOut, "released-while-out"),
    (Bug::TimeUpProvesNothingRan, "time-up-proves-nothing-ran"),
    (Bug::UntilPastClient, "until-past-client"),
    (Bug::DialFailureInDoubt, "dial-failure-in-doubt"),
    (Bug::ForgottenNodeKeepsConnections, "forgotten-node-keeps-connections"),
    (Bug::DrainMissesQueued, "drain-misses-queued"),
    (Bug::RepeatsSubmit, "repeats-submit"),
    (Bug::RefusesSubmitInDoubt, "refuses-submit-in-doubt"),
    (Bug::TriesUnbounded, "tries-unbounded"),
    (Bug::QueueKeepsFinished, "queue-keeps-finished"),
    (Bug::GoneNotFinished, "gone-not-finished"),
    (Bug::OutKeepsEnded, "out-keeps-ended"),
];

#[cfg(feature = "seeded")]
mod chosen {
    use std::sync::atomic::{AtomicU8, Ordering};

    static CHOSEN: AtomicU8 = AtomicU8::new(0);

    /// Whether this bug is in force.
    pub fn seeded(bug: super::Bug) -> bool {
        CHOSEN.load(Ordering::Relaxed) == bug as u8
    }

    /// Puts one bug in force in this process, or none.
    pub fn seed(bug: Option<super::Bug>) {
        CHOSEN.store(bug.map_or(0, |b| b as u8), Ordering::Relaxed);
    }
}

#[cfg(feature = "seeded")]
pub use chosen::{seed, seeded};

/// Whether this bug is in force: never, in this build.
#[cfg(not(feature = "seeded"))]
pub const fn seeded(_: Bug) -> bool {
    false
}
