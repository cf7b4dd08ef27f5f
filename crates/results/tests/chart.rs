//! Tests of charts of a metric.

use serde::Serialize;
use tulipbridge_results::{chart, Table};

#[derive(Serialize)]
struct Row {
    case: &'static str,
    served: f64,
}

#[test]
fn chart_has_a_point_for_each_row_and_lists_the_conditions() {
    let rows =
        [("even", 0.5), ("even", 0.75), ("one", 1.0)].map(|(case, served)| Row { case, served });
    let table = Table::of(&rows).expect("a table");
    let file = std::env::temp_dir().join(format!("tulipbridge-results-{}.svg", std::process::id()));
    chart(&table, "served", &file).expect("drawn");
    let svg = std::fs::read_to_string(&file).expect("the file is there");
    assert_eq!(svg.matches("<circle").count(), 3);
    assert!(
        svg.contains("case even") && svg.contains("case one"),
        "{svg}"
    );
    let missing = chart(&table, "lost", &file)
        .expect_err("no such metric")
        .to_string();
    assert_eq!(missing, "unknown metric lost");
    std::fs::remove_file(&file).expect("removed");
}
