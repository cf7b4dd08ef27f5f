//! Comparing the results of two experiments by permutation tests.

use std::collections::BTreeMap;

use crate::table::Table;

/// How many random permutations a test makes.
const PERMUTATIONS: u32 = 4_000;
/// The seed of the permutations: the same tables always give the same result.
const SEED: u64 = 1;
/// Means of the same numbers in another order differ by about this fraction.
const ROUNDING: f64 = 1e-9;

/// The rows of one table for a metric under the same conditions.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Sample {
    /// The median.
    pub median: f64,
    /// How many rows there are.
    pub rows: usize,
}

/// A metric under the same conditions in two tables.
#[derive(Clone, Debug, PartialEq)]
pub struct Comparison {
    /// The conditions, as text.
    pub conditions: String,
    /// The name of the metric.
    pub metric: String,
    /// The rows of the first table.
    pub first: Sample,
    /// The rows of the second table.
    pub second: Sample,
    /// The p-value: the fraction of the permutations of all rows between the two tables in which
    /// the means differ at least as much.
    pub p_value: f64,
}

/// The values of a metric by conditions and name.
type ValuesByMetric = BTreeMap<(String, String), Vec<f64>>;

/// Compares every metric under every condition that both tables have.
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

/// The values of each metric under each of its conditions.
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

/// The median of at least one value.
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

/// A permutation test on the difference of means; returns the p-value.
fn permutation_test(first: &[f64], second: &[f64]) -> f64 {
    let difference = (mean(first) - mean(second)).abs();
    let mut pooled: Vec<f64> = first.iter().chain(second).copied().collect();
    let mut rng = fastrand::Rng::with_seed(SEED);
    let mut as_different = 0;
    for _ in 0..PERMUTATIONS {
        rng.shuffle(&mut pooled);
        let (left, right) = pooled.split_at(first.len());
        if (mean(left) - mean(right)).abs() >= difference * (1.0 - ROUNDING) {
            as_different += 1;
        }
    }
    f64::from(as_different + 1) / f64::from(PERMUTATIONS + 1)
}
