//! Records what was decided about responses whose chunk servers pause before they are complete.

use serde::Serialize;
use tulipbridge_core::Nanos;

use super::payload::Payload;
use super::wire_state::WireState;
use crate::telemetry::metrics::SlowResponseDecision;
use crate::telemetry::trace;

/// Nanoseconds per millisecond, for the times in the trace.
const NANOS_PER_MILLISECOND: Nanos = 1_000_000;

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

/// Counts and traces a decision about the response to `payload`, which arrives on the connection of
/// `wire`.
pub(super) fn record(payload: &Payload, wire: &WireState, decision: SlowResponseDecision) {
    if let Some(metrics) = &payload.metrics {
        metrics.count_slow_response(decision);
    }
    if trace::is_enabled() {
        trace::write(SlowResponse {
            transaction_id: payload.transaction_id.to_str().unwrap_or_default(),
            bytes: wire.progress().bytes(),
            ms: wire.response_age() / NANOS_PER_MILLISECOND,
            decision: decision.name(),
        });
    }
}
