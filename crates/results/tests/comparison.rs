//! Tests of the comparison of two tables.

use serde::Serialize;
use tulipbridge_results::{compare, Table};

#[derive(Serialize)]
struct Row {
    case: &'static str,
    served: f64,
}

fn table(served: &[f64]) -> Table {
    let rows: Vec<Row> = served
        .iter()
        .map(|served| Row {
            case: "even",
            served: *served,
        })
        .collect();
    Table::of(&rows).expect("a table")
}

#[test]
fn significant_difference_has_a_small_p_value() {
    let before = table(&[0.90, 0.91, 0.92, 0.93, 0.94, 0.95]);
    let same = compare(&before, &table(&[0.91, 0.90, 0.93, 0.92, 0.95, 0.94]));
    assert_eq!(same.len(), 1);
    assert!(same[0].p_value > 0.9, "{same:?}");
    let worse = compare(&before, &table(&[0.50, 0.51, 0.52, 0.53, 0.54, 0.55]));
    assert!(worse[0].p_value < 0.01, "{worse:?}");
    assert_eq!(
        (worse[0].first.median, worse[0].second.median),
        (0.925, 0.525)
    );
}

#[test]
fn difference_of_two_rows_each_is_never_significant() {
    let few = compare(&table(&[0.9, 0.9]), &table(&[0.1, 0.1]));
    assert!(few[0].p_value > 0.3, "{few:?}");
}
