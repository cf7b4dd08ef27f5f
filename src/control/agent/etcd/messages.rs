//! The messages of etcd's v3 JSON gateway that the agent sends and receives.
//!
//! The gateway writes bytes in base64 and integers of 64 bits as strings, and leaves out fields
//! with an empty value. An optional field with an invalid value takes its default, as if left out.

use base64::engine::general_purpose::STANDARD;
use base64::Engine;
use serde::de::{DeserializeOwned, Error};
use serde::{Deserialize, Deserializer, Serialize, Serializer};
use simd_json::prelude::*;
use simd_json::OwnedValue as Value;

/// Bytes that the gateway writes in base64.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Base64Bytes(pub Vec<u8>);

impl Serialize for Base64Bytes {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_str(&STANDARD.encode(&self.0))
    }
}

impl<'de> Deserialize<'de> for Base64Bytes {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Base64Bytes, D::Error> {
        let text = String::deserialize(deserializer)?;
        let bytes = STANDARD.decode(text).map_err(D::Error::custom)?;
        Ok(Base64Bytes(bytes))
    }
}

/// The body of a call of `/v3/kv/range`, which lists a range of keys.
#[derive(Debug, Serialize)]
pub struct RangeRequest {
    /// The first key of the range.
    pub key: Base64Bytes,
    /// The first key past the range.
    pub range_end: Base64Bytes,
    /// The maximum number of keys in the response.
    pub limit: String,
    /// The revision to list; 0 means the current one.
    pub revision: String,
}

/// The response to a [`RangeRequest`].
#[derive(Debug, Deserialize)]
pub struct RangeResponse {
    #[serde(default, deserialize_with = "default_if_invalid")]
    header: Header,
    /// The listed keys with their values.
    #[serde(default)]
    pub kvs: Vec<KeyValue>,
    /// Whether the range has further keys.
    #[serde(default, deserialize_with = "default_if_invalid")]
    pub more: bool,
}

impl RangeResponse {
    /// Returns the revision at which the range was listed.
    pub fn revision(&self) -> Option<i64> {
        self.header.revision
    }
}

/// The body of a call of `/v3/watch`.
#[derive(Debug, Serialize)]
pub struct WatchRequest {
    /// The changes that the watch is to report.
    pub create_request: WatchCreateRequest,
}

/// The range of keys and the revisions that a watch covers.
#[derive(Debug, Serialize)]
pub struct WatchCreateRequest {
    /// The first key of the range.
    pub key: Base64Bytes,
    /// The first key past the range.
    pub range_end: Base64Bytes,
    /// The first revision whose changes are reported.
    pub start_revision: String,
    /// Whether the watch also reports revisions without changes in the range.
    pub progress_notify: bool,
}

/// A message of a watch.
#[derive(Debug, Deserialize)]
pub struct WatchResponse {
    /// Why the watch failed, in a form that only people read.
    pub error: Option<Value>,
    /// The content of the message.
    pub result: Option<WatchResult>,
}

/// The content of a message of a watch.
#[derive(Debug, Deserialize)]
pub struct WatchResult {
    #[serde(default, deserialize_with = "default_if_invalid")]
    header: Header,
    /// Whether etcd has cancelled the watch.
    #[serde(default, deserialize_with = "default_if_invalid")]
    pub canceled: bool,
    /// The changes that the message reports.
    #[serde(default)]
    pub events: Vec<Event>,
}

impl WatchResult {
    /// Returns the revision up to which the watch has reported all changes.
    pub fn revision(&self) -> Option<i64> {
        self.header.revision
    }
}

/// A change of a key.
#[derive(Debug, Deserialize)]
pub struct Event {
    /// The kind of change. The gateway leaves it out for [`EventType::Put`].
    #[serde(rename = "type", default, deserialize_with = "default_if_invalid")]
    pub event_type: EventType,
    /// The key with its new value.
    pub kv: Option<KeyValue>,
}

/// The kinds of changes of a key.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
pub enum EventType {
    /// The key has a new value.
    #[default]
    #[serde(rename = "PUT")]
    Put,
    /// The key was deleted.
    #[serde(rename = "DELETE")]
    Delete,
}

/// A key with its value.
#[derive(Debug, Deserialize)]
pub struct KeyValue {
    /// The full key, including the prefix that was listed or watched.
    pub key: Base64Bytes,
    /// The value; empty where the key was deleted.
    #[serde(default, deserialize_with = "default_if_invalid")]
    pub value: Base64Bytes,
}

/// The header of every response.
#[derive(Debug, Default, Deserialize)]
struct Header {
    #[serde(default, deserialize_with = "integer_or_string")]
    revision: Option<i64>,
}

/// Deserializes a field; an invalid value yields the default.
fn default_if_invalid<'de, T, D>(deserializer: D) -> Result<T, D::Error>
where
    T: DeserializeOwned + Default,
    D: Deserializer<'de>,
{
    let value = Value::deserialize(deserializer)?;
    Ok(T::deserialize(value).unwrap_or_default())
}

/// Deserializes an integer that may be written as a string; `None` where the value is neither.
fn integer_or_string<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Option<i64>, D::Error> {
    let value = Value::deserialize(deserializer)?;
    Ok(value.as_i64().or_else(|| value.as_str()?.parse().ok()))
}
