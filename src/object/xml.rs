//! The object API's XML shapes, as clients and nodes send and expect them.

use serde::{Deserialize, Serialize};

/// Namespace of the API's answers.
const NAMESPACE: &str = "http://s3.amazonaws.com/doc/2006-03-01/";

/// A fault.
#[derive(Serialize)]
#[serde(rename_all = "PascalCase")]
pub struct Error<'a> {
    /// Its code.
    pub code: &'a str,
    /// What it means.
    pub message: &'a str,
    /// What was asked for.
    pub resource: &'a str,
    /// The request.
    pub request_id: &'a str,
}

/// An upload begun.
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct InitiateMultipartUploadResult {
    /// Bucket.
    #[serde(default)]
    pub bucket: String,
    /// Key.
    #[serde(default)]
    pub key: String,
    /// The upload.
    pub upload_id: String,
}

/// An upload completed.
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct CompleteMultipartUploadResult {
    /// Where the object is.
    #[serde(default)]
    pub location: String,
    /// Bucket.
    #[serde(default)]
    pub bucket: String,
    /// Key.
    #[serde(default)]
    pub key: String,
    /// The object's tag.
    #[serde(default, rename = "ETag")]
    pub etag: String,
}

/// A request to complete an upload.
#[derive(Deserialize)]
pub struct CompleteMultipartUpload {
    /// Its parts.
    #[serde(rename = "Part", default)]
    pub parts: Vec<CompletedPart>,
}

/// A part in such a request.
#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct CompletedPart {
    /// Its number. The node checks its tag.
    pub part_number: u32,
}

/// The parts of an upload.
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct ListPartsResult {
    /// Bucket.
    #[serde(default)]
    pub bucket: String,
    /// Key.
    #[serde(default)]
    pub key: String,
    /// The upload.
    #[serde(default)]
    pub upload_id: String,
    /// Where this page begins.
    #[serde(default)]
    pub part_number_marker: u32,
    /// Where the next begins.
    #[serde(default)]
    pub next_part_number_marker: u32,
    /// The most parts of a page.
    #[serde(default)]
    pub max_parts: u32,
    /// Whether there is a next.
    #[serde(default)]
    pub is_truncated: bool,
    /// Parts.
    #[serde(rename = "Part", default)]
    pub parts: Vec<Part>,
}

/// A part that a node holds.
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct Part {
    /// Its number.
    pub part_number: u32,
    /// When it was stored.
    #[serde(default)]
    pub last_modified: String,
    /// Its tag.
    #[serde(rename = "ETag", default)]
    pub etag: String,
    /// Its size.
    #[serde(default)]
    pub size: u64,
}

/// A document; nothing where the value has no such form.
pub fn write<T: Serialize>(root: &str, value: &T) -> Option<String> {
    let body = quick_xml::se::to_string_with_root(root, value).ok()?;
    let named = match root {
        "Error" => body,
        _ => body.replacen(&format!("<{root}>"), &format!("<{root} xmlns=\"{NAMESPACE}\">"), 1),
    };
    Some(format!("<?xml version=\"1.0\" encoding=\"UTF-8\"?>\n{named}"))
}

/// Reads a document.
pub fn read<'a, T: Deserialize<'a>>(bytes: &'a [u8]) -> Option<T> {
    quick_xml::de::from_str(std::str::from_utf8(bytes).ok()?).ok()
}
