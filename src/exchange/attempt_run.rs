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

impl AttemptKey {
    /// The key of attempt number `attempt` of `request`.
    pub(super) fn new(request: RequestId, attempt: u32) -> AttemptKey {
        AttemptKey { request, attempt }
    }

    /// The input that reports how this attempt ended by itself.
    fn ended<A>(self, report: AttemptReport<A>) -> CompletedAttempt<A> {
        let input = Input::AttemptEnded {
            id: self.request,
            attempt: self.attempt,
            outcome: report.outcome,
            observed_use: report.observed_use,
            foreign_units: report.foreign_units,
        };
        CompletedAttempt {
            input,
            answer: report.answer,
        }
    }

    fn timed_out<A>(self) -> CompletedAttempt<A> {
        let input = Input::AttemptTimedOut {
            id: self.request,
            attempt: self.attempt,
        };
        CompletedAttempt {
            input,
            answer: None,
        }
    }

    fn cancelled<A>(self) -> CompletedAttempt<A> {
        let input = Input::AttemptCancelled {
            id: self.request,
            attempt: self.attempt,
        };
        CompletedAttempt {
            input,
            answer: None,
        }
    }
}

/// An attempt that has ended.
pub(super) struct CompletedAttempt<A> {
    /// Its end, for the tracker.
    pub input: Input,
    /// The answer that it brought, if any.
    pub answer: Option<A>,
}

/// Runs an attempt to its end.
pub(super) async fn run_attempt<A>(
    key: AttemptKey,
    running: impl Future<Output = AttemptReport<A>>,
    deadline: Instant,
    mut withdrawal: Withdrawal,
) -> CompletedAttempt<A> {
    tokio::select! {
        biased;
        ended = timeout_at(deadline.into(), running) => match ended {
            Ok(report) => key.ended(report),
            Err(_elapsed) => key.timed_out(),
        },
        () = withdrawal.cancelled() => key.cancelled(),
    }
}
