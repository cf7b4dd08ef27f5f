//! The names that requests may use (classes, plans), with the indices that the decision module
//! knows them by.

use hyper::Method;
use tulipbridge_core::settings_reload::{NamedValue, ReplacedEntry, VersionedTable};
use tulipbridge_core::{Class, Plan, Settings};

use crate::config::Config;
use crate::telemetry::metrics::{ClassMetrics, Metrics};

/// A class as requests name it.
#[derive(Clone, Debug, PartialEq)]
struct RequestClass {
    /// The class for the decision module.
    class: Class,
    /// Whether its requests write; `None` where the configuration leaves it open and the method
    /// decides.
    writes: Option<bool>,
}

/// The tables of the request parser. A request that no chunk server could execute is rejected by
/// them and causes no load on any server.
#[derive(Clone)]
pub struct RequestTables {
    classes: VersionedTable<RequestClass>,
    plans: VersionedTable<Plan>,
    /// Metrics of each class, in the order of `classes`.
    metrics: Vec<ClassMetrics>,
    /// Number of shards.
    shard_count: u32,
    /// The largest number of fronts that a volume's requests may come through.
    max_fronts: u32,
    /// The most units of a request.
    max_units: f64,
}

/// The values that the fields of an operation may have.
#[derive(Clone, Copy, Debug)]
pub(super) struct OperationLimits {
    /// Number of shards.
    pub shard_count: u32,
    /// The largest number of fronts that a volume's requests may come through.
    pub max_fronts: u32,
    /// The most units of a request.
    pub max_units: f64,
}

/// What the decision module needs after a reload.
pub struct ReloadedSettings {
    /// The new settings.
    pub settings: Settings,
    /// The classes that replace an older version.
    pub replaced_classes: Vec<ReplacedEntry>,
}

impl RequestTables {
    /// The tables of a configuration; classes and plans keep its order, which is that of the
    /// decision module.
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

    /// Applies a new configuration.
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

    /// The number that the decision module knows a class by.
    pub(super) fn class_index(&self, name: &str) -> Option<usize> {
        self.classes.find(name)
    }

    /// The number that the decision module knows a plan by.
    pub(super) fn plan_index(&self, name: &str) -> Option<usize> {
        self.plans.find(name)
    }

    /// The metrics of a class.
    pub(super) fn class_metrics(&self, class: usize) -> Option<&ClassMetrics> {
        self.metrics.get(class)
    }

    /// Whether requests of a class with this method write. Where the configuration leaves it open,
    /// the method decides.
    pub(super) fn writes(&self, class: usize, method: &Method) -> bool {
        let configured = self.classes.get(class).and_then(|entry| entry.writes);
        configured.unwrap_or(*method == Method::PUT)
    }

    /// The values that the fields of an operation may have.
    pub(super) fn operation_limits(&self) -> OperationLimits {
        OperationLimits {
            shard_count: self.shard_count,
            max_fronts: self.max_fronts,
            max_units: self.max_units,
        }
    }

    /// Creates the metrics of classes that are new, starting at 0.
    fn add_class_metrics(&mut self, metrics: &Metrics) {
        for class in self.metrics.len()..self.classes.len() {
            self.metrics
                .push(metrics.class(self.classes.name(class).unwrap_or_default()));
        }
    }
}

/// The classes of a configuration by their names, in its order.
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

/// The plans of a configuration by their names, in its order.
fn plan_entries(config: &Config) -> Vec<NamedValue<Plan>> {
    named_values(&config.plans, config.settings.plans.iter().cloned())
}

/// Values by their names, in the order of both.
fn named_values<T>(names: &[String], values: impl Iterator<Item = T>) -> Vec<NamedValue<T>> {
    let named = names.iter().cloned().zip(values);
    named
        .map(|(name, value)| NamedValue { name, value })
        .collect()
}
