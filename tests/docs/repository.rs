//! The files of the repository, and the parts of a page that name them.

use std::path::{Path, PathBuf};

/// The folder with the pages beside those at the root.
const PAGE_FOLDER: &str = "docs";
/// The pages at the root. The changelog is none of them: it names what has been removed since.
const ROOT_PAGES: [&str; 2] = ["README.md", "CONTRIBUTING.md"];

/// A page for readers of the repository.
pub struct Page {
    /// Its path from the root of the repository.
    pub name: String,
    pub text: String,
}

impl Page {
    /// The folder to which the links of the page are relative.
    pub fn folder(&self) -> PathBuf {
        let path = path(&self.name);
        path.parent().map(Path::to_owned).unwrap_or_default()
    }
}

/// The page with this path from the root of the repository.
pub fn page(name: &str) -> Page {
    let text = std::fs::read_to_string(path(name)).expect("a page");
    Page {
        name: name.to_owned(),
        text,
    }
}

/// All pages.
pub fn pages() -> Vec<Page> {
    let mut pages: Vec<Page> = ROOT_PAGES.map(page).into();
    append_pages(PAGE_FOLDER, &mut pages);
    pages
}

fn append_pages(folder: &str, pages: &mut Vec<Page>) {
    for entry in std::fs::read_dir(path(folder)).expect("a folder") {
        let entry = entry.expect("an entry");
        let name = format!("{folder}/{}", entry.file_name().to_string_lossy());
        if entry.path().is_dir() {
            append_pages(&name, pages);
        } else if name.ends_with(".md") {
            pages.push(page(&name));
        }
    }
}

/// A path from the root of the repository.
pub fn path(relative: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join(relative)
}

/// The text of all Rust files in a folder and its subfolders.
pub fn rust_sources(folder: &str) -> String {
    let mut text = String::new();
    append_rust_sources(&path(folder), &mut text);
    text
}

fn append_rust_sources(folder: &Path, text: &mut String) {
    for entry in std::fs::read_dir(folder).expect("a folder") {
        let path = entry.expect("an entry").path();
        if path.is_dir() {
            append_rust_sources(&path, text);
        } else if path.extension().is_some_and(|extension| extension == "rs") {
            text.push_str(&std::fs::read_to_string(&path).expect("readable"));
        }
    }
}

/// The text of all Rust files of the programs and libraries, without their tests.
pub fn program_sources() -> String {
    let mut text = rust_sources("src");
    for entry in std::fs::read_dir(path("crates")).expect("a folder") {
        let sources = entry.expect("an entry").path().join("src");
        append_rust_sources(&sources, &mut text);
    }
    text
}

/// The texts between backticks.
pub fn spans_of_code(page: &str) -> impl Iterator<Item = &str> {
    page.split('`').skip(1).step_by(2)
}

/// The targets of the links to other files.
pub fn links(page: &str) -> impl Iterator<Item = &str> {
    let targets = page.split("](").skip(1);
    targets
        .filter_map(|rest| rest.split(')').next())
        .filter(|target| !target.contains("://"))
        .filter_map(|target| target.split('#').next())
        .filter(|target| !target.is_empty())
}
