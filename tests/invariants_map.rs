//! The map of rules and paths in the docs: each test that it names exists, and each open cell is
//! listed.

use std::path::Path;

const MAP: &str = include_str!("../docs/invariants.md");
const OPEN: &str = "none";

/// The names of all tests and scenarios, as text in which a name can be looked for.
fn sources(folder: &Path, text: &mut String) {
    for entry in std::fs::read_dir(folder).expect("a folder") {
        let path = entry.expect("an entry").path();
        if path.is_dir() {
            sources(&path, text);
        } else if path.extension().is_some_and(|extension| extension == "rs") {
            text.push_str(&std::fs::read_to_string(&path).expect("readable"));
        }
    }
}

/// The cells of the table, by row: the number of the rule first.
fn rows() -> impl Iterator<Item = Vec<&'static str>> {
    let rows = MAP
        .lines()
        .filter(|line| line.starts_with("| ") && line[2..].starts_with(char::is_numeric));
    rows.map(|row| row.trim_matches('|').split('|').map(str::trim).collect())
}

#[test]
fn each_test_that_the_map_names_exists() {
    let mut text = String::new();
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    sources(&root.join("tests"), &mut text);
    for member in ["core", "fleet-limits", "outlier-detection", "testbed"] {
        sources(&root.join("crates").join(member).join("tests"), &mut text);
    }
    let mut checked = 0;
    for cell in rows().flatten() {
        let names = cell
            .split('`')
            .skip(1)
            .step_by(2)
            .filter(|name| name.matches('_').count() >= 3);
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
