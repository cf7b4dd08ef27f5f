//! Comparison of the results of two experiments by permutation tests.

use std::collections::BTreeMap;

use crate::table::Table;

/// The number of random permutations per test.
const PERMUTATIONS: u32 = 4_000;
/// The seed of the permutations, fixed so that the same tables always give the same result.
const SEED: u64 = 1;
/// The relative tolerance when differences of means are compared, for rounding errors that depend
/// on the order of summation.
const RELATIVE_TOLERANCE: f64 = 1e-9;

/// A summary of the values of a metric under the same conditions in one table.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Sample {
    /// The median of the values.
    pub median: f64,
    /// The number of rows that have a value.
    pub rows: usize,
}

/// The comparison of a metric under the same conditions in two tables.
#[derive(Clone, Debug, PartialEq)]
pub struct Comparison {
    /// The conditions as text, as [`Table::conditions`] formats them.
    pub conditions: String,
    /// The name of the metric.
    pub metric: String,
    /// The values in the first table.
    pub first: Sample,
    /// The values in the second table.
    pub second: Sample,
    /// The p-value: the fraction of random reassignments of the values to the two tables for which
    /// the means differ at least as much as they do in the data.
    pub p_value: f64,
}

/// The values of each metric, keyed by conditions and name of the metric.
type ValuesByMetric = BTreeMap<(String, String), Vec<f64>>;

/// Compares every metric that both tables have under the same conditions.
pub fn compare(first: &Table, second: &Table) -> Vec<Comparison> {
    let first = values_by_metric(first);
    let second = values_by_metric(second);
    let common = first
        .iter()
        .filter_map(|(key, values)| Some((key, values, second.get(key)?)));
    let comparisons = common.map(|((conditions, metric), first, second)| Comparison {
        conditions: conditions.clone(),
        metric: metric.clone(),
        first: Sample {
            median: median(first),
            rows: first.len(),
        },
        second: Sample {
            median: median(second),
            rows: second.len(),
        },
        p_value: permutation_test(first, second),
    });
    comparisons.collect()
}

/// Groups the values of each metric by conditions.
fn values_by_metric(table: &Table) -> ValuesByMetric {
    let mut groups = ValuesByMetric::new();
    for metric in table.metrics() {
        for (row, value) in metric.values.iter().enumerate() {
            if let Some(value) = value {
                let key = (table.conditions(row), metric.name.to_owned());
                groups.entry(key).or_default().push(*value);
            }
        }
    }
    groups
}

/// Returns the median; there must be at least one value.
fn median(values: &[f64]) -> f64 {
    let mut sorted = values.to_vec();
    sorted.sort_by(f64::total_cmp);
    let middle = sorted.len() / 2;
    if sorted.len() % 2 == 1 {
        sorted[middle]
    } else {
        (sorted[middle - 1] + sorted[middle]) / 2.0
    }
}

fn mean(values: &[f64]) -> f64 {
    values.iter().sum::<f64>() / values.len() as f64
}

/// Returns the p-value of a permutation test on the difference of means.
fn permutation_test(first: &[f64], second: &[f64]) -> f64 {
    let difference = (mean(first) - mean(second)).abs();
    let mut pooled: Vec<f64> = first.iter().chain(second).copied().collect();
    let mut rng = fastrand::Rng::with_seed(SEED);
    let mut at_least_as_different = 0;
    for _ in 0..PERMUTATIONS {
        rng.shuffle(&mut pooled);
        let (left, right) = pooled.split_at(first.len());
        if (mean(left) - mean(right)).abs() >= difference * (1.0 - RELATIVE_TOLERANCE) {
            at_least_as_different += 1;
        }
    }
    f64::from(at_least_as_different + 1) / f64::from(PERMUTATIONS + 1)
}
