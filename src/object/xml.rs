//! The XML documents of the object API, as exchanged with clients and chunk servers.

use serde::{Deserialize, Serialize};

/// XML namespace of the documents that are sent, except for errors.
const NAMESPACE: &str = "http://s3.amazonaws.com/doc/2006-03-01/";

/// The document that reports an error to a client.
#[derive(Serialize)]
#[serde(rename_all = "PascalCase")]
pub struct Error<'a> {
    /// Error code of the API, such as `NoSuchKey`.
    pub code: &'a str,
    /// Explanation for a person to read.
    pub message: &'a str,
    /// Path of the request that failed.
    pub resource: &'a str,
    /// Id of the request, which the header `x-amz-request-id` of the response contains too.
    pub request_id: &'a str,
}

/// The document that reports the creation of an upload.
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct InitiateMultipartUploadResult {
    /// Name of the bucket that will contain the object.
    #[serde(default)]
    pub bucket: String,
    /// Name of the object in its bucket.
    #[serde(default)]
    pub key: String,
    /// Id that later requests use to name the upload.
    pub upload_id: String,
}

/// The document that reports the completion of an upload.
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct CompleteMultipartUploadResult {
    /// Path of the object.
    #[serde(default)]
    pub location: String,
    /// Name of the bucket that contains the object.
    #[serde(default)]
    pub bucket: String,
    /// Name of the object in its bucket.
    #[serde(default)]
    pub key: String,
    /// Entity tag of the object.
    #[serde(default, rename = "ETag")]
    pub etag: String,
}

/// The body of a request to complete an upload.
#[derive(Deserialize)]
pub struct CompleteMultipartUpload {
    /// Parts of the object, which must be in ascending order of their numbers.
    #[serde(rename = "Part", default)]
    pub parts: Vec<CompletedPart>,
}

/// A part in a request to complete an upload.
#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct CompletedPart {
    /// Number of the part. The entity tag is left to the chunk server to check.
    pub part_number: u32,
}

/// One page of the list of an upload's parts.
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct ListPartsResult {
    /// Name of the bucket that will contain the object.
    #[serde(default)]
    pub bucket: String,
    /// Name of the object in its bucket.
    #[serde(default)]
    pub key: String,
    /// Id of the upload that the parts belong to.
    #[serde(default)]
    pub upload_id: String,
    /// Part number after which this page starts.
    #[serde(default)]
    pub part_number_marker: u32,
    /// Part number after which the next page starts.
    #[serde(default)]
    pub next_part_number_marker: u32,
    /// Maximum number of parts in this page.
    #[serde(default)]
    pub max_parts: u32,
    /// Whether another page follows.
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
    /// Number of the part in its upload.
    pub part_number: u32,
    /// Time at which the part was stored, as formatted by the chunk server.
    #[serde(default)]
    pub last_modified: String,
    /// Entity tag of the part.
    #[serde(rename = "ETag", default)]
    pub etag: String,
    /// Size of the part, in bytes.
    #[serde(default)]
    pub size: u64,
}

/// Serializes a document with the root element `root`. Returns `None` if serialization fails.
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

/// Parses a document. Returns `None` if it is malformed.
pub fn read<'a, T: Deserialize<'a>>(bytes: &'a [u8]) -> Option<T> {
    quick_xml::de::from_str(std::str::from_utf8(bytes).ok()?).ok()
}
