//! Reads the settings, the JSON object that tells an instance its site, into the module's own types. The
//! adapter and the front read the same object, so both decide on the same figures.

use simd_json::prelude::*;
use simd_json::OwnedValue as Value;

use tulipbridge_core::*;

/// A value, or a plain sentence on what is wrong with the JSON.
pub type Res<T> = Result<T, String>;

/// The settings as the decision module takes them.
///
/// # Errors
/// A plain sentence on what is missing or of the wrong kind.
pub fn settings(boot: &Value) -> Res<Settings> {
    let part = |key: &str| {
        boot.get(key).filter(|v| v.is_object()).ok_or_else(|| format!("'{key}' must be an object"))
    };
    let (family, limits, rules) = (part("FamilyInfo")?, part("Limits")?, part("Rules")?);
    let writes = family.get("ChangesData").and_then(Value::as_array);
    let mut classes = Vec::new();
    for (i, service) in list(boot, "Services")?.iter().enumerate() {
        let mut class = class(service)?;
        class.writes = writes.and_then(|w| w.get(i)).and_then(Value::as_bool).unwrap_or(false);
        classes.push(class);
    }
    let ratio = rules.get("FurtherRatio").filter(|v| !v.is_null());
    let budget = match ratio {
        None => None,
        Some(r) => Some(RetryBudget {
            base_allowance: num(rules, "ExtraFree")?,
            ratio: opt_num(Some(r), "FurtherRatio")?,
            window: num(rules, "LookBack")? as Nanos,
        }),
    };
    Ok(Settings {
        initiators: num(boot, "Balancers")? as u32,
        classes,
        plans: list(boot, "Grades")?.iter().map(plan).collect::<Res<_>>()?,
        quantum: num(boot, "Quantum")? as Nanos,
        warmup_units: num(family, "ColdUnits")?,
        mean_units: num(family, "UnitMean")?,
        max_units: num(family, "MostUnits")?,
        fair_share_value: num(family, "FairWorth")?,
        idle_value: num(family, "IdleWorth")?,
        use_period: num(family, "UsePeriod")? as Nanos,
        max_attempts: num(limits, "MostTries")? as u32,
        hedging: flag(limits, "SecondCopies")?,
        cancellation: flag(limits, "Cancelling")?,
        // Told also where the simulator's clients are not given it: a refusal says when to come back.
        max_retry_after: num(limits, "MaxRetryAfter")? as Nanos,
        polls_discovery: boot.get("Discovery").and_then(Value::as_str) == Some("on_request"),
        poll_interval: num(rules, "AskEvery")? as Nanos,
        warmup_duration: num(rules, "Cold")? as Nanos,
        warmup_floor: num(rules, "ColdFrom")?,
        tip_multiple: num(rules, "TipMultiple")?,
        overload_span: num(rules, "Fall")? as Nanos,
        order_settle_time: num(rules, "OrderSettle")? as Nanos,
        retry_budget: budget,
    })
}

fn class(service: &Value) -> Res<Class> {
    Ok(Class {
        latency_objective: num(service, "Aim")? as Nanos,
        objective_stretch: num(service, "AimStretch")?,
        deadline: num(service, "Deadline")? as Nanos,
        semantics: match text(service.get("Semantics"), "Semantics")? {
            "idempotent" => Semantics::Idempotent,
            "deduplicated" => Semantics::Deduplicated,
            "at_most_once" => Semantics::AtMostOnce,
            other => return Err(format!("'Semantics' {other} is not known")),
        },
        group: match service.get("Group").and_then(Value::as_str) {
            Some("all") => Group::All,
            Some("zone") => Group::Zone,
            _ => Group::Cell,
        },
        window: num(service, "Window")? as Nanos,
        keep_order: flag(service, "KeepOrder")?,
        late_value: num(service, "LateWorth")?,
        priority_weight: num(service, "Points")?,
        writes: false,
    })
}

fn plan(grade: &Value) -> Res<Plan> {
    Ok(Plan {
        limit_rate: num(grade, "CeilingRate")?,
        limit_burst: num(grade, "LimitBurst")?,
        reserve_rate: num(grade, "FloorRate")?,
        nominal: num(grade, "Nominal")?,
        weight: num(grade, "Parts")?,
        price: num(grade, "Pays")?,
    })
}

/// An array by its key.
///
/// # Errors
/// Where the value is of another kind.
pub fn list<'a>(of: &'a Value, key: &str) -> Res<&'a Vec<Value>> {
    of.get(key).and_then(Value::as_array).ok_or_else(|| format!("'{key}' must be an array"))
}

/// The names in an array of named objects.
///
/// # Errors
/// Where the value is of another kind.
pub fn names(boot: &Value, key: &str) -> Res<Vec<String>> {
    list(boot, key)?.iter().map(|v| text(v.get("Name"), "Name").map(str::to_owned)).collect()
}

/// A text that must be there.
///
/// # Errors
/// Where the value is of another kind.
pub fn text<'a>(value: Option<&'a Value>, what: &str) -> Res<&'a str> {
    value.and_then(Value::as_str).ok_or_else(|| format!("'{what}' must be a text"))
}

/// An integer that must be there.
///
/// # Errors
/// Where the value is of another kind.
pub fn int(value: Option<&Value>, what: &str) -> Res<i64> {
    value.and_then(Value::as_i64).ok_or_else(|| format!("'{what}' must be an integer"))
}

/// A number that may be absent or null, which is 0.
///
/// # Errors
/// Where the value is of another kind.
pub fn opt_num(value: Option<&Value>, what: &str) -> Res<f64> {
    match value {
        None => Ok(0.0),
        Some(v) if v.is_null() => Ok(0.0),
        Some(v) => v.cast_f64().ok_or_else(|| format!("'{what}' must be a number")),
    }
}

/// A number by its key, 0 where absent or null.
///
/// # Errors
/// Where the value is of another kind.
pub fn num(of: &Value, key: &str) -> Res<f64> {
    opt_num(of.get(key), key)
}

/// A truth value by its key, false where absent or null.
///
/// # Errors
/// Where the value is of another kind.
pub fn flag(of: &Value, key: &str) -> Res<bool> {
    match of.get(key) {
        None => Ok(false),
        Some(v) if v.is_null() => Ok(false),
        Some(v) => v.as_bool().ok_or_else(|| format!("'{key}' must be true or false")),
    }
}
