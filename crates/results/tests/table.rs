//! Tests of tables and of their JSON and Parquet files.

use std::path::PathBuf;

use parquet::file::reader::{FileReader, SerializedFileReader};
use parquet::record::RowAccessor;
use serde::Serialize;
use tulipbridge_results::{MetadataEntry, Table};

#[derive(Serialize)]
struct Row {
    case: &'static str,
    fronts: u32,
    seed: u32,
    served: f64,
    windows: Vec<(f64, f64)>,
    healed: Option<f64>,
}

fn rows() -> Vec<Row> {
    let row = |case, seed, served, healed| Row {
        case,
        fronts: 4,
        seed,
        served,
        windows: vec![(1.0, 2.0)],
        healed,
    };
    vec![
        row("even", 1, 0.5, None),
        row("even", 2, 0.75, Some(1.0)),
        row("one", 1, 1.0, None),
    ]
}

fn temporary_file(extension: &str) -> PathBuf {
    std::env::temp_dir().join(format!(
        "tulipbridge-results-{}.{extension}",
        std::process::id()
    ))
}

#[test]
fn rows_become_columns_named_by_the_path_of_nested_values() {
    let table = Table::of(&rows()).expect("a table");
    assert_eq!(table.rows(), 3);
    let metrics: Vec<&str> = table.metrics().map(|metric| metric.name).collect();
    assert_eq!(metrics, ["served", "windows.0.0", "windows.0.1", "healed"]);
    assert_eq!(table.conditions(0), "case even, fronts 4");
    let healed = table
        .metrics()
        .find(|metric| metric.name == "healed")
        .expect("the metric is there");
    assert_eq!(healed.values, [None, Some(1.0), None]);
}

#[test]
fn parquet_file_can_be_read_back() {
    let file = temporary_file("parquet");
    let table = Table::of(&rows()).expect("a table");
    let commit = MetadataEntry {
        key: "commit",
        value: "abc".to_owned(),
    };
    table.write_parquet(&file, &[commit]).expect("written");
    let opened = std::fs::File::open(&file).expect("the file is there");
    let reader = SerializedFileReader::new(opened).expect("the file is Parquet");
    let metadata = reader
        .metadata()
        .file_metadata()
        .key_value_metadata()
        .expect("metadata")
        .clone();
    assert!(metadata
        .iter()
        .any(|pair| pair.key == "commit" && pair.value.as_deref() == Some("abc")));
    let read: Vec<_> = reader
        .get_row_iter(None)
        .expect("rows")
        .map(|row| row.expect("a row"))
        .collect();
    assert_eq!(read.len(), 3);
    assert_eq!(read[1].get_string(0).expect("text"), "even");
    assert_eq!(read[1].get_double(3).expect("a number"), 0.75);
    std::fs::remove_file(&file).expect("removed");
}

#[test]
fn reading_a_missing_file_or_a_non_array_fails() {
    let file = temporary_file("json");
    let missing = Table::read(&file)
        .expect_err("the file is not there")
        .to_string();
    assert!(missing.contains("No such file"), "{missing}");
    std::fs::write(&file, "{\"a\": 1}").expect("written");
    let error = Table::read(&file).expect_err("no array").to_string();
    assert!(error.ends_with("expected an array of rows"), "{error}");
    std::fs::remove_file(&file).expect("removed");
}
