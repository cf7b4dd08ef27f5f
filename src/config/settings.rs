//! Reads the `settings` object, which describes a site, into the scheduler's own types. The
//! simulator's adapter and the fronts read the same object, so that both schedule with the same
//! parameters.

use serde::Deserialize;
use simd_json::prelude::*;
use simd_json::OwnedValue as Value;
use tulipbridge_core::{Class, DeduplicationGroup, Nanos, Plan, RetryBudget, Semantics, Settings};

use crate::config::values::{
    boolean, lenient, number, object, objects, optional_number, string, Deferred, Number,
};
use crate::control::json_object::{decode, JsonObjectError};

/// The value of `Discovery` with which a front polls discovery.
const POLLING: &str = "on_request";

/// The part of the `settings` object that the scheduler needs. Times are in nanoseconds.
#[derive(Deserialize)]
struct SettingsFile {
    #[serde(rename = "Balancers", default, deserialize_with = "number")]
    front_count: f64,
    #[serde(rename = "Services", deserialize_with = "objects")]
    classes: Vec<ClassEntry>,
    #[serde(rename = "Grades", deserialize_with = "objects")]
    plans: Vec<PlanEntry>,
    #[serde(rename = "Quantum", default, deserialize_with = "number")]
    quantum: f64,
    /// How a front receives changes from discovery. It polls if this is [`POLLING`].
    #[serde(rename = "Discovery", default, deserialize_with = "lenient")]
    discovery: Option<String>,
    #[serde(rename = "FamilyInfo", deserialize_with = "object")]
    family: FamilySection,
    #[serde(rename = "Limits", deserialize_with = "object")]
    limits: LimitsSection,
    #[serde(rename = "Rules", deserialize_with = "object")]
    rules: RulesSection,
}

/// The `FamilyInfo` object, with properties of the requests.
#[derive(Deserialize)]
struct FamilySection {
    #[serde(rename = "ColdUnits", default, deserialize_with = "number")]
    warmup_units: f64,
    #[serde(rename = "UnitMean", default, deserialize_with = "number")]
    mean_units: f64,
    #[serde(rename = "MostUnits", default, deserialize_with = "number")]
    max_units: f64,
    #[serde(rename = "FairWorth", default, deserialize_with = "number")]
    fair_share_value: f64,
    #[serde(rename = "IdleWorth", default, deserialize_with = "number")]
    idle_value: f64,
    #[serde(rename = "UsePeriod", default, deserialize_with = "number")]
    usage_report_interval: f64,
    #[serde(rename = "ChangesData", default)]
    writes: ClassWrites,
}

/// The `Limits` object, with limits and options of attempts and rejections.
#[derive(Deserialize)]
struct LimitsSection {
    #[serde(rename = "MostTries", default, deserialize_with = "number")]
    max_attempts: f64,
    #[serde(rename = "SecondCopies", default, deserialize_with = "boolean")]
    hedging: bool,
    #[serde(rename = "Cancelling", default, deserialize_with = "boolean")]
    cancellation: bool,
    #[serde(rename = "MaxRetryAfter", default, deserialize_with = "number")]
    max_retry_after: f64,
}

/// The `Rules` object, with parameters of the scheduling policy.
#[derive(Deserialize)]
struct RulesSection {
    #[serde(rename = "AskEvery", default, deserialize_with = "number")]
    poll_interval: f64,
    #[serde(rename = "Cold", default, deserialize_with = "number")]
    warmup_duration: f64,
    #[serde(rename = "ColdFrom", default, deserialize_with = "number")]
    warmup_floor: f64,
    #[serde(rename = "TipMultiple", default, deserialize_with = "number")]
    overload_factor: f64,
    #[serde(rename = "Fall", default, deserialize_with = "number")]
    overload_span: f64,
    #[serde(rename = "OrderSettle", default, deserialize_with = "number")]
    order_settle_time: f64,
    /// The number of retries allowed per request; `None` disables the retry budget.
    #[serde(rename = "FurtherRatio", default, deserialize_with = "optional_number")]
    retry_ratio: Option<f64>,
    /// The number of retries allowed regardless of the number of requests. Only used with
    /// `retry_ratio`.
    #[serde(rename = "ExtraFree", default)]
    retry_base_allowance: Deferred<Number>,
    /// The window over which retries are counted. Only used with `retry_ratio`.
    #[serde(rename = "LookBack", default)]
    retry_window: Deferred<Number>,
}

/// An entry of `Services`, which describes a class.
#[derive(Deserialize)]
struct ClassEntry {
    #[serde(rename = "Aim", default, deserialize_with = "number")]
    latency_objective: f64,
    #[serde(rename = "AimStretch", default, deserialize_with = "number")]
    objective_stretch: f64,
    #[serde(rename = "Deadline", default, deserialize_with = "number")]
    deadline: f64,
    #[serde(rename = "Semantics")]
    semantics: SemanticsName,
    #[serde(rename = "Group", default, deserialize_with = "lenient")]
    group: Option<String>,
    #[serde(rename = "Window", default, deserialize_with = "number")]
    window: f64,
    #[serde(rename = "KeepOrder", default, deserialize_with = "boolean")]
    keep_order: bool,
    #[serde(rename = "LateWorth", default, deserialize_with = "number")]
    late_value: f64,
    #[serde(rename = "Points", default, deserialize_with = "number")]
    priority_weight: f64,
}

/// An entry of `Grades`, which describes a plan.
#[derive(Deserialize)]
struct PlanEntry {
    #[serde(rename = "CeilingRate", default, deserialize_with = "number")]
    limit_rate: f64,
    #[serde(rename = "LimitBurst", default, deserialize_with = "number")]
    limit_burst: f64,
    #[serde(rename = "FloorRate", default, deserialize_with = "number")]
    reserve_rate: f64,
    #[serde(rename = "Nominal", default, deserialize_with = "number")]
    nominal_rate: f64,
    #[serde(rename = "Parts", default, deserialize_with = "number")]
    weight: f64,
    #[serde(rename = "Pays", default, deserialize_with = "number")]
    value_factor: f64,
}

/// Whether the requests of each class write, in the order of the classes. This is unknown for a
/// class whose entry is not a boolean, and for all classes if the value is not an array.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(from = "Value")]
pub struct ClassWrites(Vec<Option<bool>>);

impl ClassWrites {
    /// Returns whether the class with this number writes; `None` if that is unknown.
    pub fn of(&self, class: usize) -> Option<bool> {
        self.0.get(class).copied().flatten()
    }
}

impl From<Value> for ClassWrites {
    fn from(value: Value) -> ClassWrites {
        let entries = value.as_array().into_iter().flatten();
        ClassWrites(entries.map(Value::as_bool).collect())
    }
}

/// The semantics of a class, deserialized from their name.
#[derive(Clone, Copy, Deserialize)]
#[serde(try_from = "SemanticsText")]
struct SemanticsName(Semantics);

/// The unchecked name of the semantics of a class, which must be a string.
#[derive(Deserialize)]
struct SemanticsText(#[serde(deserialize_with = "string")] String);

impl TryFrom<SemanticsText> for SemanticsName {
    type Error = UnknownSemantics;

    fn try_from(name: SemanticsText) -> Result<SemanticsName, UnknownSemantics> {
        match name.0.as_str() {
            "idempotent" => Ok(SemanticsName(Semantics::Idempotent)),
            "deduplicated" => Ok(SemanticsName(Semantics::Deduplicated)),
            "at_most_once" => Ok(SemanticsName(Semantics::AtMostOnce)),
            _ => Err(UnknownSemantics(name.0)),
        }
    }
}

/// The error of a name that stands for no semantics.
#[derive(Debug, thiserror::Error)]
#[error("unknown semantics {0}, expected idempotent, deduplicated or at_most_once")]
struct UnknownSemantics(String);

/// Reads the scheduler's settings.
///
/// # Errors
/// Returns an error for the first key that is missing or has a value of the wrong type.
pub fn read(value: &Value) -> Result<Settings, JsonObjectError> {
    let file: SettingsFile = decode(value.clone())?;
    let retry_budget = retry_budget(&file.rules)?;
    let writes = file.family.writes;
    let classes = file
        .classes
        .iter()
        .enumerate()
        .map(|(index, entry)| class(entry, writes.of(index).unwrap_or(false)))
        .collect();
    Ok(Settings {
        front_count: file.front_count as u32,
        classes,
        plans: file.plans.iter().map(plan).collect(),
        quantum: file.quantum as Nanos,
        warmup_units: file.family.warmup_units,
        mean_units: file.family.mean_units,
        max_units: file.family.max_units,
        fair_share_value: file.family.fair_share_value,
        idle_value: file.family.idle_value,
        usage_report_interval: file.family.usage_report_interval as Nanos,
        max_attempts: file.limits.max_attempts as u32,
        hedging: file.limits.hedging,
        cancellation: file.limits.cancellation,
        // Also set when the simulator does not pass it on to its clients, because a rejection
        // contains the time to retry after.
        max_retry_after: file.limits.max_retry_after as Nanos,
        polls_discovery: file.discovery.as_deref() == Some(POLLING),
        poll_interval: file.rules.poll_interval as Nanos,
        warmup_duration: file.rules.warmup_duration as Nanos,
        warmup_floor: file.rules.warmup_floor,
        overload_factor: file.rules.overload_factor,
        overload_span: file.rules.overload_span as Nanos,
        order_settle_time: file.rules.order_settle_time as Nanos,
        retry_budget,
    })
}

/// Returns the retry budget; `None` if the settings have no ratio.
fn retry_budget(rules: &RulesSection) -> Result<Option<RetryBudget>, JsonObjectError> {
    let Some(ratio) = rules.retry_ratio else {
        return Ok(None);
    };
    let base_allowance = rules
        .retry_base_allowance
        .clone()
        .or_default("Rules.ExtraFree")?;
    let window = rules.retry_window.clone().or_default("Rules.LookBack")?;
    Ok(Some(RetryBudget {
        base_allowance: base_allowance.0,
        ratio,
        window: window.0 as Nanos,
    }))
}

/// Converts an entry of `Services`. `writes` says whether the requests of the class write.
fn class(entry: &ClassEntry, writes: bool) -> Class {
    Class {
        latency_objective: entry.latency_objective as Nanos,
        objective_stretch: entry.objective_stretch,
        deadline: entry.deadline as Nanos,
        semantics: entry.semantics.0,
        group: match entry.group.as_deref() {
            Some("all") => DeduplicationGroup::All,
            Some("zone") => DeduplicationGroup::Zone,
            _ => DeduplicationGroup::Shard,
        },
        window: entry.window as Nanos,
        keep_order: entry.keep_order,
        late_value: entry.late_value,
        priority_weight: entry.priority_weight,
        writes,
    }
}

/// Converts an entry of `Grades`.
fn plan(entry: &PlanEntry) -> Plan {
    Plan {
        limit_rate: entry.limit_rate,
        limit_burst: entry.limit_burst,
        reserve_rate: entry.reserve_rate,
        nominal_rate: entry.nominal_rate,
        weight: entry.weight,
        value_factor: entry.value_factor,
    }
}
