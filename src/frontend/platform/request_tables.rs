//! The names of classes and plans that requests may use, with their indices in the decision module.

use hyper::Method;
use tulipbridge_core::settings_reload::{NamedValue, ReplacedEntry, VersionedTable};
use tulipbridge_core::{Class, Plan, Settings};

use crate::config::Config;
use crate::telemetry::metrics::{ClassMetrics, Metrics};

/// A class that requests may name.
#[derive(Clone, Debug, PartialEq)]
struct RequestClass {
    /// The class as the decision module uses it.
    class: Class,
    /// Whether requests of this class write; `None` where the configuration does not specify it and
    /// the request's method determines it.
    writes: Option<bool>,
}

/// The names and limits against which requests are parsed. A request that no chunk server could
/// execute is rejected before it causes load on any server.
#[derive(Clone)]
pub struct RequestTables {
    classes: VersionedTable<RequestClass>,
    plans: VersionedTable<Plan>,
    /// Metrics of the classes, in the order of `classes`.
    metrics: Vec<ClassMetrics>,
    /// Number of shards, which are counted from 0.
    shard_count: u32,
    /// Number of fronts, the upper limit of how many a volume's requests may come through.
    max_fronts: u32,
    /// Maximum units of a request.
    max_units: f64,
}

/// Limits on the values of an operation's fields.
#[derive(Clone, Copy, Debug)]
pub(super) struct OperationLimits {
    /// Number of shards, which are counted from 0.
    pub shard_count: u32,
    /// Number of fronts, the upper limit of how many a volume's requests may come through.
    pub max_fronts: u32,
    /// Maximum units of a request.
    pub max_units: f64,
}

/// The result of a reload, for the decision module.
pub struct ReloadedSettings {
    /// The new settings, with the classes and plans of earlier configurations at their indices.
    pub settings: Settings,
    /// The classes that replace an older version, whose learned state is carried over.
    pub replaced_classes: Vec<ReplacedEntry>,
}

impl RequestTables {
    /// Creates the tables of a configuration. Classes and plans keep the configuration's order,
    /// which the decision module uses as well.
    pub fn new(config: &Config, metrics: &Metrics) -> RequestTables {
        let mut tables = RequestTables {
            classes: VersionedTable::new(class_entries(config)),
            plans: VersionedTable::new(plan_entries(config)),
            metrics: Vec::new(),
            shard_count: config.shards,
            max_fronts: config.settings.front_count,
            max_units: config.settings.max_units,
        };
        tables.add_class_metrics(metrics);
        tables
    }

    /// Applies a new configuration. Unchanged classes and plans keep their indices; changed ones
    /// are added as new versions: see [`VersionedTable`].
    pub fn reload(&mut self, config: Config, metrics: &Metrics) -> ReloadedSettings {
        let replaced_classes = self.classes.reload(class_entries(&config));
        self.plans.reload(plan_entries(&config));
        self.shard_count = config.shards;
        self.max_fronts = config.settings.front_count;
        self.max_units = config.settings.max_units;
        self.add_class_metrics(metrics);
        let classes = self
            .classes
            .values()
            .into_iter()
            .map(|entry| entry.class)
            .collect();
        let settings = Settings {
            classes,
            plans: self.plans.values(),
            ..config.settings
        };
        ReloadedSettings {
            settings,
            replaced_classes,
        }
    }

    /// Returns the index of a class in the decision module.
    pub(super) fn class_index(&self, name: &str) -> Option<usize> {
        self.classes.find(name)
    }

    /// Returns the index of a plan in the decision module.
    pub(super) fn plan_index(&self, name: &str) -> Option<usize> {
        self.plans.find(name)
    }

    /// Returns the metrics of the class at an index.
    pub(super) fn class_metrics(&self, class: usize) -> Option<&ClassMetrics> {
        self.metrics.get(class)
    }

    /// Returns whether requests of a class with this method write. Where the configuration does not
    /// specify it, the method determines it.
    pub(super) fn writes(&self, class: usize, method: &Method) -> bool {
        let configured = self.classes.get(class).and_then(|entry| entry.writes);
        configured.unwrap_or(*method == Method::PUT)
    }

    /// Returns the limits on the values of an operation's fields.
    pub(super) fn operation_limits(&self) -> OperationLimits {
        OperationLimits {
            shard_count: self.shard_count,
            max_fronts: self.max_fronts,
            max_units: self.max_units,
        }
    }

    /// Creates the metrics of classes that have none yet, starting at 0.
    fn add_class_metrics(&mut self, metrics: &Metrics) {
        for class in self.metrics.len()..self.classes.len() {
            self.metrics
                .push(metrics.class(self.classes.name(class).unwrap_or_default()));
        }
    }
}

/// Returns the classes of a configuration with their names, in the configuration's order.
fn class_entries(config: &Config) -> Vec<NamedValue<RequestClass>> {
    let classes = config
        .settings
        .classes
        .iter()
        .cloned()
        .zip(config.class_writes.iter().copied());
    let classes = classes.map(|(class, writes)| RequestClass { class, writes });
    named_values(&config.classes, classes)
}

/// Returns the plans of a configuration with their names, in the configuration's order.
fn plan_entries(config: &Config) -> Vec<NamedValue<Plan>> {
    named_values(&config.plans, config.settings.plans.iter().cloned())
}

/// Pairs names with values of the same position.
fn named_values<T>(names: &[String], values: impl Iterator<Item = T>) -> Vec<NamedValue<T>> {
    let named = names.iter().cloned().zip(values);
    named
        .map(|(name, value)| NamedValue { name, value })
        .collect()
}
