//! The settings of the decision module: request classes, plans, and the properties of the site.

use crate::interface::Nanos;

/// Whether a request of a class may be executed again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Semantics {
    /// Executing the request repeatedly does no harm.
    Idempotent,
    /// The chunk servers of the class's group drop repeats within the class's window.
    Deduplicated,
    /// The request must not be sent again once it may have been executed.
    AtMostOnce,
}

/// The chunk servers that deduplicate requests together: each drops repeats of what any of them
/// executed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DeduplicationGroup {
    /// All chunk servers.
    All,
    /// The chunk servers of one zone.
    Zone,
    /// The chunk servers of one shard.
    Shard,
}

/// The properties that the requests of a class share.
#[derive(Clone, Debug, PartialEq)]
pub struct Class {
    /// The time within which an answer earns the full value.
    pub latency_objective: Nanos,
    /// The multiple of a request's own work that is added to its latency objective.
    pub objective_stretch: f64,
    /// How long a client waits over all its attempts.
    pub deadline: Nanos,
    /// Whether a request may be executed again.
    pub semantics: Semantics,
    /// The chunk servers that deduplicate the requests together.
    pub group: DeduplicationGroup,
    /// How long the chunk servers drop repeats of a request.
    pub window: Nanos,
    /// Whether the requests of a key are executed one at a time and in order.
    pub keep_order: bool,
    /// The fraction of the value that a late answer earns.
    pub late_value: f64,
    /// The value of a request of mean units.
    pub priority_weight: f64,
    /// Whether the requests write data.
    pub writes: bool,
}

/// The limits and shares of a plan. They apply to each volume of the plan, over all fronts and all
/// chunk servers together.
#[derive(Clone, Debug, PartialEq)]
pub struct Plan {
    /// The limit in units per second; 0 means no limit.
    pub limit_rate: f64,
    /// The burst that the limit allows, in units.
    pub limit_burst: f64,
    /// The reserved rate in units per second.
    pub reserve_rate: f64,
    /// The units per second for which a volume is sized.
    pub nominal_rate: f64,
    /// The weight in shares beyond the reserve.
    pub weight: f64,
    /// The factor by which the value of each request is multiplied.
    pub value_factor: f64,
}

/// A budget that limits retries to a base allowance and a fraction of the requests.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    /// The number of retries that are always allowed in a window.
    pub base_allowance: f64,
    /// The number of further retries allowed for each request received in the window.
    pub ratio: f64,
    /// The length of the window, in nanoseconds.
    pub window: Nanos,
}

/// The settings of the decision module.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The number of fronts that serve the site.
    pub front_count: u32,
    /// The request classes; requests refer to them by index.
    pub classes: Vec<Class>,
    /// The plans of the volumes; requests refer to them by index.
    pub plans: Vec<Plan>,
    /// The minimum time between two batches of events.
    pub quantum: Nanos,
    /// The units from all fronts together that a chunk server which has just started can serve
    /// within `overload_span`.
    pub warmup_units: f64,
    /// The mean units of a request.
    pub mean_units: f64,
    /// The maximum units of a request.
    pub max_units: f64,
    /// The value of units within the fair share, as a fraction of the full value.
    pub fair_share_value: f64,
    /// The value of units beyond the fair share, as a fraction of the full value.
    pub idle_value: f64,
    /// The period of the usage meter; 0 means that there is no meter.
    pub usage_report_interval: Nanos,
    /// The maximum number of attempts of a request.
    pub max_attempts: u32,
    /// Whether two attempts of a request may be in flight.
    pub hedging: bool,
    /// Whether an attempt may be cancelled.
    pub cancellation: bool,
    /// The maximum retry-after that clients obey.
    pub max_retry_after: Nanos,
    /// Whether the front must subscribe to the endpoint list.
    pub polls_discovery: bool,
    /// The maximum time without a subscription before a missed change counts as known; 0 means that
    /// there is no such limit.
    pub poll_interval: Nanos,
    /// The duration of a chunk server's warm-up.
    pub warmup_duration: Nanos,
    /// The minimum fraction of its full capacity that a chunk server has when it starts.
    pub warmup_floor: f64,
    /// The multiple of its present capacity that a chunk server tolerates while it warms up.
    pub overload_factor: f64,
    /// The time span within which a chunk server that is warming up must not be overloaded.
    pub overload_span: Nanos,
    /// How long a key stays blocked after an attempt on it that may still be executed.
    pub order_settle_time: Nanos,
    /// The budget for retries; `None` for no budget.
    pub retry_budget: Option<RetryBudget>,
}

/// The reason for which settings are invalid.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SettingsError {
    /// There is no class or no plan.
    #[error("invalid settings: there must be at least one class and one plan")]
    MissingClassOrPlan,
    /// A class has no latency objective or deadline, or a weight or stretch that is negative
    /// or not finite.
    #[error(
        "invalid settings: a class needs a latency objective, a deadline and a weight of 0 or more"
    )]
    InvalidClass,
    /// A rate, burst, weight or factor of a plan is negative or not finite.
    #[error("invalid settings: the figures of a plan must be finite numbers of 0 or more")]
    InvalidPlan,
    /// There is no front, no attempt is allowed, or the quantum is negative.
    #[error("invalid settings: fronts and attempts must be 1 or more, and the quantum 0 or more")]
    InvalidCount,
    /// Units or values are negative or not finite, or the mean units are 0.
    #[error("invalid settings: units and values must be 0 or more, and the mean units above 0")]
    InvalidUnits,
    /// Reloaded settings have fewer classes or plans than before.
    #[error("invalid settings: there are fewer classes or plans than before the reload")]
    FewerClassesOrPlans,
}
