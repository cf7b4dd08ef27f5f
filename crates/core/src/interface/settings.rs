//! The settings: request classes, plans, and what is known of the site.

use crate::interface::Nanos;

/// Whether a request of a class may be executed again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Semantics {
    /// Repeating it does no harm.
    Idempotent,
    /// Repeats are dropped within the class's group and window.
    Deduplicated,
    /// It must not be sent again once it may have been executed.
    AtMostOnce,
}

/// The chunk servers that drop each other's repeats.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DeduplicationGroup {
    /// All chunk servers.
    All,
    /// Those of one zone.
    Zone,
    /// Those of one shard.
    Shard,
}

/// A request class.
#[derive(Clone, Debug, PartialEq)]
pub struct Class {
    /// An answer within this time earns the full value.
    pub latency_objective: Nanos,
    /// The objective grows by this multiple of the request's own work.
    pub objective_stretch: f64,
    /// How long a client waits over all its attempts.
    pub deadline: Nanos,
    /// Whether it may be executed again.
    pub semantics: Semantics,
    /// Where repeats are dropped.
    pub group: DeduplicationGroup,
    /// How long repeats are dropped.
    pub window: Nanos,
    /// Whether the requests of a key are executed one at a time and in order.
    pub keep_order: bool,
    /// The fraction of the value that a late answer earns.
    pub late_value: f64,
    /// The value of a request of mean size.
    pub priority_weight: f64,
    /// Whether it writes.
    pub writes: bool,
}

/// A plan. Its figures hold for each volume of the plan, over all fronts and chunk servers.
#[derive(Clone, Debug, PartialEq)]
pub struct Plan {
    /// The limit in units per second; 0 is no limit.
    pub limit_rate: f64,
    /// The burst of the limit in units.
    pub limit_burst: f64,
    /// The reserve in units per second.
    pub reserve_rate: f64,
    /// The units per second for which a volume is sized.
    pub nominal_rate: f64,
    /// The weight in shares beyond the reserve.
    pub weight: f64,
    /// A factor on the value.
    pub value_factor: f64,
}

/// A budget for retries.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    /// Retries that are always allowed in a window.
    pub base_allowance: f64,
    /// Further retries for each request received in the window.
    pub ratio: f64,
    /// The length of the window.
    pub window: Nanos,
}

/// The settings of the decision module.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The number of fronts.
    pub front_count: u32,
    /// The request classes.
    pub classes: Vec<Class>,
    /// The plans.
    pub plans: Vec<Plan>,
    /// The least time between two batches of events.
    pub quantum: Nanos,
    /// Units that a starting chunk server bears from all fronts together within `overload_span`.
    pub warmup_units: f64,
    /// The mean units of a request.
    pub mean_units: f64,
    /// The most units of a request.
    pub max_units: f64,
    /// The value of units within the fair share, as a fraction of the full value.
    pub fair_share_value: f64,
    /// The value of units beyond the fair share, as a fraction of the full value.
    pub idle_value: f64,
    /// The period of the usage meter; 0 is no meter.
    pub usage_report_interval: Nanos,
    /// The most attempts of a request.
    pub max_attempts: u32,
    /// Whether two attempts of a request may be in flight.
    pub hedging: bool,
    /// Whether an attempt may be cancelled.
    pub cancellation: bool,
    /// The longest retry-after that a client follows.
    pub max_retry_after: Nanos,
    /// Whether the front must subscribe to the endpoint list.
    pub polls_discovery: bool,
    /// The longest time without a subscription before a missed change counts as known; 0 is no such
    /// time.
    pub poll_interval: Nanos,
    /// The duration of a chunk server's warm-up.
    pub warmup_duration: Nanos,
    /// The least fraction of its full capacity that a starting chunk server has.
    pub warmup_floor: f64,
    /// The multiple of its present capacity that a starting chunk server bears.
    pub overload_factor: f64,
    /// The span over which a starting chunk server must not be overloaded.
    pub overload_span: Nanos,
    /// How long a key rests after an attempt that may still be executed.
    pub order_settle_time: Nanos,
    /// The budget for retries, if there is one.
    pub retry_budget: Option<RetryBudget>,
}

/// Why settings are not valid.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SettingsError {
    /// There is no class or no plan.
    #[error("settings cannot hold: there must be a class and a plan")]
    MissingClassOrPlan,
    /// A class has no objective or deadline, or a weight that is negative or not finite.
    #[error("settings cannot hold: a class needs an aim, a deadline and a worth")]
    InvalidClass,
    /// A plan has a figure that is negative or not finite.
    #[error("settings cannot hold: a plan's rates must be numbers of 0 or more")]
    InvalidPlan,
    /// There is no front, no attempt is allowed, or the quantum is negative.
    #[error("settings cannot hold: initiators and tries must be 1 or more")]
    InvalidCount,
    /// Units or values are negative or not finite, or the mean units are 0.
    #[error("settings cannot hold: units and worths must be numbers of 0 or more")]
    InvalidUnits,
    /// Reloaded settings have fewer classes or plans than before.
    #[error("settings cannot hold: classes and plans keep their numbers")]
    FewerClassesOrPlans,
}
