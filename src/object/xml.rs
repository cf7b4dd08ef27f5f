//! The XML documents of the object API, as exchanged with clients and chunk servers.

use serde::{Deserialize, Serialize};

/// Namespace of the API's documents, except for errors.
const NAMESPACE: &str = "http://s3.amazonaws.com/doc/2006-03-01/";

/// An error.
#[derive(Serialize)]
#[serde(rename_all = "PascalCase")]
pub struct Error<'a> {
    /// Code, such as `NoSuchKey`.
    pub code: &'a str,
    /// Explanation.
    pub message: &'a str,
    /// Path of the request.
    pub resource: &'a str,
    /// Id of the request.
    pub request_id: &'a str,
}

/// An upload that was created.
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct InitiateMultipartUploadResult {
    /// Bucket.
    #[serde(default)]
    pub bucket: String,
    /// Key.
    #[serde(default)]
    pub key: String,
    /// Upload id.
    pub upload_id: String,
}

/// An upload that was completed.
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct CompleteMultipartUploadResult {
    /// Path of the object.
    #[serde(default)]
    pub location: String,
    /// Bucket.
    #[serde(default)]
    pub bucket: String,
    /// Key.
    #[serde(default)]
    pub key: String,
    /// Entity tag of the object.
    #[serde(default, rename = "ETag")]
    pub etag: String,
}

/// A request to complete an upload.
#[derive(Deserialize)]
pub struct CompleteMultipartUpload {
    /// Parts, in ascending order.
    #[serde(rename = "Part", default)]
    pub parts: Vec<CompletedPart>,
}

/// A part in a request to complete an upload.
#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct CompletedPart {
    /// Part number. The chunk server checks the entity tag.
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
    /// Upload id.
    #[serde(default)]
    pub upload_id: String,
    /// The part number after which this page starts.
    #[serde(default)]
    pub part_number_marker: u32,
    /// The part number after which the next page starts.
    #[serde(default)]
    pub next_part_number_marker: u32,
    /// The largest number of parts in a page.
    #[serde(default)]
    pub max_parts: u32,
    /// Whether there is another page.
    #[serde(default)]
    pub is_truncated: bool,
    /// The parts of this page.
    #[serde(rename = "Part", default)]
    pub parts: Vec<Part>,
}

/// A part that a chunk server has stored.
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct Part {
    /// Part number.
    pub part_number: u32,
    /// When the part was stored.
    #[serde(default)]
    pub last_modified: String,
    /// Entity tag.
    #[serde(rename = "ETag", default)]
    pub etag: String,
    /// Size in bytes.
    #[serde(default)]
    pub size: u64,
}

/// Serializes a document with this root element; `None` where the value cannot be serialized.
pub fn write<T: Serialize>(root: &str, value: &T) -> Option<String> {
    let body = quick_xml::se::to_string_with_root(root, value).ok()?;
    let document = match root {
        "Error" => body,
        _ => body.replacen(
            &format!("<{root}>"),
            &format!("<{root} xmlns=\"{NAMESPACE}\">"),
            1,
        ),
    };
    Some(format!(
        "<?xml version=\"1.0\" encoding=\"UTF-8\"?>\n{document}"
    ))
}

/// Parses a document; `None` where it is malformed.
pub fn read<'a, T: Deserialize<'a>>(bytes: &'a [u8]) -> Option<T> {
    quick_xml::de::from_str(std::str::from_utf8(bytes).ok()?).ok()
}
