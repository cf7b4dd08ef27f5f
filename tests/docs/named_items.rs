//! The items that the pages name: files, types, functions, metrics and log lines.

use crate::repository::{links, page, pages, path, program_sources, spans_of_code};

/// The pages that name types and log lines.
const ARCHITECTURE: &str = "docs/architecture.md";
const CONTRIBUTING: &str = "CONTRIBUTING.md";

/// The folders at the root; a span of code that starts with one of them is a path.
const ROOT_FOLDERS: [&str; 7] = [
    "src/",
    "crates/",
    "tests/",
    "docs/",
    "deploy/",
    "examples/",
    ".ci/",
];
/// What the names of all metrics start with.
const METRIC_PREFIX: &str = "app_";
/// In the pages, the text of a log line follows this word.
const LOG_LINE_MARK: &str = "log ";

/// Whether a span of code is a path, and not a command or a pattern.
fn is_path(span: &str) -> bool {
    ROOT_FOLDERS.iter().any(|folder| span.starts_with(folder)) && !span.contains([' ', '*', '<'])
}

/// Whether a span of code is a type, alone or with a method or variant: `Type`, `Type::item`.
fn is_type(span: &str) -> bool {
    let is_word = |word: &str| {
        word.chars()
            .all(|letter| letter.is_ascii_alphanumeric() || letter == '_')
    };
    let name = span.split("::").next().unwrap_or_default();
    let has_lower_case = name.contains(|letter: char| letter.is_ascii_lowercase());
    span.split("::").all(is_word)
        && name.starts_with(|letter: char| letter.is_ascii_uppercase())
        && has_lower_case
}

/// Whether the sources define a type.
fn defines_type(sources: &str, name: &str) -> bool {
    ["struct", "enum", "trait", "type"].iter().any(|keyword| {
        let definition = format!("{keyword} {name}");
        sources.match_indices(&definition).any(|(start, _)| {
            let rest = &sources[start + definition.len()..];
            rest.starts_with([' ', '<', '(', ';', '\n'])
        })
    })
}

/// Whether the sources define a method, a variant or a constant.
fn defines_item(sources: &str, name: &str) -> bool {
    let is_variant = [",", " {", "("].iter().any(|end| {
        let variant = format!("    {name}{end}");
        sources.contains(&variant)
    });
    is_variant
        || sources.contains(&format!("fn {name}("))
        || sources.contains(&format!("fn {name}<"))
}

#[test]
fn each_file_that_a_page_names_exists() {
    let mut checked = 0;
    for page in pages() {
        for span in spans_of_code(&page.text).filter(|span| is_path(span)) {
            assert!(path(span).exists(), "{}: no file {span}", page.name);
            checked += 1;
        }
    }
    assert!(checked > 100, "only {checked} files are named");
}

#[test]
fn each_link_of_a_page_leads_to_a_file() {
    let mut checked = 0;
    for page in pages() {
        for target in links(&page.text) {
            let is_there = page.folder().join(target).exists();
            assert!(is_there, "{}: no {target}", page.name);
            checked += 1;
        }
    }
    assert!(checked > 40, "only {checked} links are there");
}

#[test]
fn each_metric_that_a_page_names_exists() {
    let sources = program_sources();
    let mut checked = 0;
    for page in pages() {
        let spans = spans_of_code(&page.text).filter(|span| span.starts_with(METRIC_PREFIX));
        for span in spans {
            let name = span.split('{').next().unwrap_or_default();
            let is_there = sources.contains(&format!("\"{name}\""));
            assert!(is_there, "{}: no metric {name}", page.name);
            checked += 1;
        }
    }
    assert!(checked > 30, "only {checked} metrics are named");
}

#[test]
fn each_type_that_the_architecture_and_the_guide_name_exists() {
    let sources = program_sources();
    let mut checked = 0;
    for page in [ARCHITECTURE, CONTRIBUTING].map(page) {
        for span in spans_of_code(&page.text).filter(|span| is_type(span)) {
            let (name, item) = span.split_once("::").unwrap_or((span, ""));
            let has_type = defines_type(&sources, name);
            assert!(has_type, "{}: no type {name}", page.name);
            let has_item = item.is_empty() || defines_item(&sources, item);
            assert!(has_item, "{}: no item {span}", page.name);
            checked += 1;
        }
    }
    assert!(checked > 30, "only {checked} types are named");
}

#[test]
fn each_log_line_that_the_architecture_names_is_written() {
    let sources = program_sources();
    let architecture = page(ARCHITECTURE);
    let mut parts = architecture.text.split('`');
    let mut before = parts.next().unwrap_or_default();
    let mut checked = 0;
    while let (Some(span), Some(after)) = (parts.next(), parts.next()) {
        if before.ends_with(LOG_LINE_MARK) {
            assert!(sources.contains(span), "no log line '{span}'");
            checked += 1;
        }
        before = after;
    }
    assert!(checked > 3, "only {checked} log lines are named");
}
