//! The settings of the front in the request models.

use tulipbridge_core::{Class, DeduplicationGroup, Plan, Semantics, Settings};

use crate::time::MS;

/// Index of the class of reads, which may be executed more than once.
pub(super) const READ: usize = 0;
/// Index of the class of submits, which must be executed at most once.
pub(super) const SUBMIT: usize = 1;

/// The settings that every request model starts from: one class of reads and one of submits, two
/// attempts.
pub fn settings() -> Settings {
    Settings {
        front_count: 1,
        classes: vec![class(Semantics::Idempotent), class(Semantics::AtMostOnce)],
        plans: vec![plan()],
        quantum: 2 * MS,
        warmup_units: 16.0,
        mean_units: 2.0,
        max_units: 8.0,
        fair_share_value: 0.4,
        idle_value: 0.05,
        usage_report_interval: 0,
        max_attempts: 2,
        hedging: false,
        cancellation: true,
        max_retry_after: 500 * MS,
        polls_discovery: true,
        poll_interval: 10_000 * MS,
        warmup_duration: 10_000 * MS,
        warmup_floor: 0.25,
        overload_factor: 3.0,
        overload_span: 1000 * MS,
        order_settle_time: 0,
        retry_budget: None,
    }
}

/// [`settings`] with another number of attempts.
pub(super) fn settings_with_attempts(max_attempts: u32) -> Settings {
    Settings {
        max_attempts,
        ..settings()
    }
}

/// A class of requests with these semantics.
fn class(semantics: Semantics) -> Class {
    Class {
        latency_objective: 60 * MS,
        objective_stretch: 0.0,
        deadline: 120 * MS,
        semantics,
        group: DeduplicationGroup::All,
        window: 2000 * MS,
        keep_order: false,
        late_value: 0.2,
        priority_weight: 2.0,
        writes: semantics == Semantics::AtMostOnce,
    }
}

/// The plan of all requests, without a rate limit.
fn plan() -> Plan {
    Plan {
        limit_rate: 0.0,
        limit_burst: 0.0,
        reserve_rate: 50.0,
        nominal_rate: 10.0,
        weight: 1.0,
        value_factor: 1.0,
    }
}
