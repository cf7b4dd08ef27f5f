//! Waits until a response whose chunk server pauses has to be given up or passed on.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use serde::Serialize;
use tulipbridge_core::response_progress::SLOW_AFTER;
use tulipbridge_core::Nanos;

use super::payload::{Pause, Payload};
use super::wire_state::WireState;
use crate::exchange::AttemptContext;
use crate::telemetry::metrics::SlowResponseDecision;
use crate::telemetry::trace;

/// Nanoseconds per millisecond, for the times in the trace.
const NANOS_PER_MILLISECOND: Nanos = 1_000_000;
/// Time between two questions whether a stalled response would be replaced.
const RETRY_CHECK_INTERVAL: Nanos = SLOW_AFTER;

/// The event in the decision trace.
#[derive(Serialize)]
#[serde(tag = "e", rename = "slow")]
struct SlowResponse<'a> {
    #[serde(rename = "txn")]
    transaction_id: &'a str,
    /// Bytes of the response, with its head, that have arrived.
    bytes: Nanos,
    /// Milliseconds since the first of them.
    ms: Nanos,
    decision: &'static str,
}

/// Whether a part of a response may be passed on before the response is complete.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum PartialResponse {
    /// What has arrived may be passed on.
    MayBeForwarded,
    /// Only the complete response is of use.
    MustBeComplete,
}

/// The limits on the pauses of the response to one attempt.
pub(super) struct ResponseLimits<'a> {
    payload: &'a Payload,
    context: &'a AttemptContext,
    wire: &'a WireState,
    /// Whether the decision module knows that the response has begun.
    is_reported: Cell<bool>,
}

impl<'a> ResponseLimits<'a> {
    /// Creates the limits for the response to `payload` on the connection of `wire`.
    pub fn new(
        payload: &'a Payload,
        context: &'a AttemptContext,
        wire: &'a WireState,
    ) -> ResponseLimits<'a> {
        ResponseLimits {
            payload,
            context,
            wire,
            is_reported: Cell::new(false),
        }
    }

    /// Waits until the head of the response is stalled and another attempt would replace this one.
    pub async fn head_given_up(&self) {
        loop {
            let response = self.wire.response_started().await;
            while self.wire.is_current_response(response) {
                let now = self.wire.now();
                let progress = self.wire.progress();
                if now < progress.slow_at() {
                    self.wire.sleep_until(progress.slow_at()).await;
                    continue;
                }
                self.report();
                if now < progress.stalls_at() {
                    self.wire.sleep_until(progress.stalls_at()).await;
                } else if self.context.observer.would_retry() {
                    self.record(SlowResponseDecision::GivenUp);
                    return;
                } else {
                    self.wire.sleep_until(now + RETRY_CHECK_INTERVAL).await;
                }
            }
        }
    }

    /// Waits until the response, whose head has been read, has to be passed on as far as it has
    /// arrived, or is given up. A response that would not be replaced is passed on instead if
    /// `partial` allows it, and otherwise waited for.
    pub async fn reached(&self, partial: PartialResponse) -> SlowResponseDecision {
        self.wire.sleep_until(self.wire.progress().slow_at()).await;
        self.report();
        match partial {
            PartialResponse::MustBeComplete => self.replaced().await,
            PartialResponse::MayBeForwarded => self.replaced_or_forwarded().await,
        }
    }

    /// Waits until a response that has to be complete is stalled and would be replaced.
    async fn replaced(&self) -> SlowResponseDecision {
        let mut ask_at = self.wire.progress().stalls_at();
        loop {
            self.wire.sleep_until(ask_at).await;
            if self.context.observer.would_retry() {
                return SlowResponseDecision::GivenUp;
            }
            ask_at = self.wire.now() + RETRY_CHECK_INTERVAL;
        }
    }

    /// Waits until a response that may be passed on would be replaced, or has to be passed on.
    async fn replaced_or_forwarded(&self) -> SlowResponseDecision {
        let progress = self.wire.progress();
        let forward_at = progress.forward_at().min(progress.stalls_at());
        if let Some(replaced_at) = progress.replaced_at().filter(|at| *at <= forward_at) {
            self.wire.sleep_until(replaced_at).await;
            if self.context.observer.would_retry() {
                return SlowResponseDecision::GivenUp;
            }
        }
        self.wire.sleep_until(forward_at).await;
        SlowResponseDecision::Forwarded
    }

    /// Returns whether the response, of which bytes have just been read, is a slow one.
    pub fn is_slow(&self) -> bool {
        self.wire.now() >= self.wire.progress().slow_at()
    }

    /// Returns what becomes of a response that is passed on while its server pauses.
    pub fn pause(&self) -> Pause {
        self.context.observer.response_paused();
        Pause {
            resume_by: self.wire.instant(self.wire.progress().resume_by()),
            observer: Rc::clone(&self.context.observer),
        }
    }

    /// Counts and traces a decision about the response.
    pub fn record(&self, decision: SlowResponseDecision) {
        if let Some(metrics) = &self.payload.metrics {
            metrics.count_slow_response(decision);
        }
        if trace::is_enabled() {
            trace::write(SlowResponse {
                transaction_id: self.payload.transaction_id.to_str().unwrap_or_default(),
                bytes: self.wire.progress().bytes(),
                ms: self.age() / NANOS_PER_MILLISECOND,
                decision: decision.name(),
            });
        }
    }

    /// Tells the decision module once that the response has begun.
    fn report(&self) {
        if !self.is_reported.replace(true) {
            let age = Duration::from_nanos(self.age().max(0) as u64);
            self.context.observer.response_began(age);
        }
    }

    /// Returns the time since the first byte of the response.
    fn age(&self) -> Nanos {
        self.wire.progress().age(self.wire.now())
    }
}
