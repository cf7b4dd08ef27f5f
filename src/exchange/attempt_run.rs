//! Running one attempt until it ends by itself, at its deadline, or because it is cancelled.

use std::future::Future;
use std::time::Instant;

use tokio::time::timeout_at;
use tulipbridge_core::request_tracker::Input;
use tulipbridge_core::RequestId;

use super::transport::AttemptReport;
use super::withdrawal::Withdrawal;

/// Identifies an attempt of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AttemptKey {
    /// The request.
    pub request: RequestId,
    /// The attempt's number within the request.
    pub attempt: u32,
}

/// Runs an attempt to its end. Returns the input for the tracker and the answer, if any.
pub(super) async fn run_attempt<A>(
    AttemptKey {
        request: id,
        attempt,
    }: AttemptKey,
    running: impl Future<Output = AttemptReport<A>>,
    deadline: Instant,
    mut withdrawal: Withdrawal,
) -> (Input, Option<A>) {
    tokio::select! {
        biased;
        ended = timeout_at(deadline.into(), running) => match ended {
            Ok(AttemptReport { outcome, answer, observed_use, foreign_units }) => {
                (Input::AttemptEnded { id, attempt, outcome, observed_use, foreign_units }, answer)
            }
            Err(_) => (Input::AttemptTimedOut { id, attempt }, None),
        },
        () = withdrawal.cancelled() => (Input::AttemptCancelled { id, attempt }, None),
    }
}
