//! The map of rules and paths in the docs: each test that it names exists, and each open cell is
//! listed.

use crate::repository::{rust_sources, spans_of_code};

const MAP: &str = include_str!("../../docs/invariants.md");
/// Marks a path that no test crosses yet.
const OPEN: &str = "none";
/// The folders with the tests and scenarios that the map names.
const TEST_FOLDERS: [&str; 5] = [
    "tests",
    "crates/core/tests",
    "crates/fleet-limits/tests",
    "crates/outlier-detection/tests",
    "crates/testbed/tests",
];
/// The names of tests have at least this many underscores; those of modules and functions have
/// fewer.
const MIN_UNDERSCORES: usize = 3;

/// The cells of the table, by row: the number of the rule first.
fn rows() -> impl Iterator<Item = Vec<&'static str>> {
    let rows = MAP
        .lines()
        .filter(|line| line.starts_with("| ") && line[2..].starts_with(char::is_numeric));
    rows.map(|row| row.trim_matches('|').split('|').map(str::trim).collect())
}

#[test]
fn each_test_that_the_map_names_exists() {
    let text: String = TEST_FOLDERS.map(rust_sources).concat();
    let mut checked = 0;
    for cell in rows().flatten() {
        let names = spans_of_code(cell).filter(|name| name.matches('_').count() >= MIN_UNDERSCORES);
        for name in names {
            let is_there =
                text.contains(&format!("fn {name}(")) || text.contains(&format!("    {name}: "));
            assert!(is_there, "no test {name}");
            checked += 1;
        }
    }
    assert!(checked > 40, "only {checked} tests are named");
}

#[test]
fn each_open_cell_is_listed() {
    let columns: Vec<&str> = MAP
        .lines()
        .find(|line| line.starts_with("| rule"))
        .expect("a head")
        .split('|')
        .collect();
    let open = MAP
        .split("## Open cells")
        .nth(1)
        .expect("a list of open cells");
    let mut found = 0;
    for row in rows() {
        let number = row[0].split('.').next().expect("a number");
        for (index, cell) in row.iter().enumerate() {
            if cell.contains(&format!("`{OPEN}`")) {
                let entry = format!("- {number}, {}:", columns[index + 1].trim());
                assert!(open.contains(&entry), "'{entry}' is missing");
                found += 1;
            }
        }
    }
    let listed = open
        .lines()
        .filter(|line| line.starts_with("- ") && line[2..].starts_with(char::is_numeric));
    assert_eq!(listed.count(), found, "a listed cell is open no more");
}
