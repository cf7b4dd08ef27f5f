//! Runs one attempt until it ends by itself, reaches its deadline or is cancelled.

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
    /// The request that the attempt belongs to.
    pub request: RequestId,
    /// The number of the attempt within the request, from 0.
    pub attempt: u32,
}

impl AttemptKey {
    /// Creates the key of attempt number `attempt` of `request`.
    pub(super) fn new(request: RequestId, attempt: u32) -> AttemptKey {
        AttemptKey { request, attempt }
    }

    /// Returns the input for an attempt that the transport has reported on.
    fn ended<A>(self, report: AttemptReport<A>) -> InputWithAnswer<A> {
        let input = Input::AttemptEnded {
            id: self.request,
            attempt: self.attempt,
            outcome: report.outcome,
            observed_use: report.observed_use,
            foreign_units: report.foreign_units,
        };
        InputWithAnswer {
            input,
            answer: report.answer,
        }
    }

    /// Returns the input for an attempt that reached its deadline.
    fn timed_out<A>(self) -> InputWithAnswer<A> {
        let input = Input::AttemptTimedOut {
            id: self.request,
            attempt: self.attempt,
        };
        InputWithAnswer {
            input,
            answer: None,
        }
    }

    /// Returns the input for an attempt that was cancelled.
    fn cancelled<A>(self) -> InputWithAnswer<A> {
        let input = Input::AttemptCancelled {
            id: self.request,
            attempt: self.attempt,
        };
        InputWithAnswer {
            input,
            answer: None,
        }
    }
}

/// An input for the tracker, with the answer that came with it.
pub(super) struct InputWithAnswer<A> {
    /// What happened, such as the end of an attempt.
    pub input: Input,
    /// The answer of a chunk server, if the input is the end of a served attempt.
    pub answer: Option<A>,
}

/// Runs an attempt until it ends, `deadline` passes or it is cancelled.
pub(super) async fn run_attempt<A>(
    key: AttemptKey,
    attempt: impl Future<Output = AttemptReport<A>>,
    deadline: Instant,
    mut withdrawal: Withdrawal,
) -> InputWithAnswer<A> {
    tokio::select! {
        biased;
        ended = timeout_at(deadline.into(), attempt) => match ended {
            Ok(report) => key.ended(report),
            Err(_elapsed) => key.timed_out(),
        },
        () = withdrawal.cancelled() => key.cancelled(),
    }
}
