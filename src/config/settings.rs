//! Reads the `settings` object, which describes a site, into the scheduler's own types. The
//! simulator's adapter and the fronts read the same object, so that both schedule by the same
//! parameters.

use simd_json::prelude::*;
use simd_json::OwnedValue as Value;
use tulipbridge_core::{Class, Group, Nanos, Plan, RetryBudget, Semantics, Settings};

use crate::config::json::{array, boolean, number, object, optional_number, string, JsonError};

/// Reads the scheduler's settings. Times are in nanoseconds.
///
/// # Errors
/// The first key that is missing or has a value of the wrong kind.
pub fn read(value: &Value) -> Result<Settings, JsonError> {
    let family = object(value, "FamilyInfo")?;
    let limits = object(value, "Limits")?;
    let rules = object(value, "Rules")?;
    let classes = read_classes(value, family)?;
    let retry_budget = read_retry_budget(rules)?;
    Ok(Settings {
        front_count: number(value, "Balancers")? as u32,
        classes,
        plans: array(value, "Grades")?
            .iter()
            .map(read_plan)
            .collect::<Result<_, _>>()?,
        quantum: number(value, "Quantum")? as Nanos,
        warmup_units: number(family, "ColdUnits")?,
        mean_units: number(family, "UnitMean")?,
        max_units: number(family, "MostUnits")?,
        fair_share_value: number(family, "FairWorth")?,
        idle_value: number(family, "IdleWorth")?,
        usage_report_interval: number(family, "UsePeriod")? as Nanos,
        max_attempts: number(limits, "MostTries")? as u32,
        hedging: boolean(limits, "SecondCopies")?,
        cancellation: boolean(limits, "Cancelling")?,
        // Set also where the simulator does not pass it on to its clients: a rejection says when to
        // retry.
        max_retry_after: number(limits, "MaxRetryAfter")? as Nanos,
        polls_discovery: value.get("Discovery").and_then(Value::as_str) == Some("on_request"),
        poll_interval: number(rules, "AskEvery")? as Nanos,
        warmup_duration: number(rules, "Cold")? as Nanos,
        warmup_floor: number(rules, "ColdFrom")?,
        overload_factor: number(rules, "TipMultiple")?,
        overload_span: number(rules, "Fall")? as Nanos,
        order_settle_time: number(rules, "OrderSettle")? as Nanos,
        retry_budget,
    })
}

/// The classes. A separate list, in the same order, has whether each writes.
fn read_classes(value: &Value, family: &Value) -> Result<Vec<Class>, JsonError> {
    let writes = family.get("ChangesData").and_then(Value::as_array);
    let mut classes = Vec::new();
    for (index, entry) in array(value, "Services")?.iter().enumerate() {
        let mut class = read_class(entry)?;
        class.writes = writes
            .and_then(|writes| writes.get(index))
            .and_then(Value::as_bool)
            .unwrap_or(false);
        classes.push(class);
    }
    Ok(classes)
}

/// The budget of retries; none where the settings state no ratio.
fn read_retry_budget(rules: &Value) -> Result<Option<RetryBudget>, JsonError> {
    let Some(ratio) = rules.get("FurtherRatio").filter(|ratio| !ratio.is_null()) else {
        return Ok(None);
    };
    Ok(Some(RetryBudget {
        base_allowance: number(rules, "ExtraFree")?,
        ratio: optional_number(Some(ratio), "FurtherRatio")?,
        window: number(rules, "LookBack")? as Nanos,
    }))
}

/// A class of requests. Whether it writes is not part of its entry.
fn read_class(entry: &Value) -> Result<Class, JsonError> {
    Ok(Class {
        latency_objective: number(entry, "Aim")? as Nanos,
        objective_stretch: number(entry, "AimStretch")?,
        deadline: number(entry, "Deadline")? as Nanos,
        semantics: read_semantics(entry)?,
        group: match entry.get("Group").and_then(Value::as_str) {
            Some("all") => Group::All,
            Some("zone") => Group::Zone,
            _ => Group::Shard,
        },
        window: number(entry, "Window")? as Nanos,
        keep_order: boolean(entry, "KeepOrder")?,
        late_value: number(entry, "LateWorth")?,
        priority_weight: number(entry, "Points")?,
        writes: false,
    })
}

/// What a repetition of a request of the class does.
fn read_semantics(entry: &Value) -> Result<Semantics, JsonError> {
    match string(entry.get("Semantics"), "Semantics")? {
        "idempotent" => Ok(Semantics::Idempotent),
        "deduplicated" => Ok(Semantics::Deduplicated),
        "at_most_once" => Ok(Semantics::AtMostOnce),
        other => Err(JsonError::unknown_value("Semantics", other)),
    }
}

/// A plan of volumes.
fn read_plan(entry: &Value) -> Result<Plan, JsonError> {
    Ok(Plan {
        limit_rate: number(entry, "CeilingRate")?,
        limit_burst: number(entry, "LimitBurst")?,
        reserve_rate: number(entry, "FloorRate")?,
        nominal_rate: number(entry, "Nominal")?,
        weight: number(entry, "Parts")?,
        value_factor: number(entry, "Pays")?,
    })
}
