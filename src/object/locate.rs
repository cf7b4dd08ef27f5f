//! Lookup of the shard that stores an object.

use std::rc::Rc;
use std::time::SystemTime;

use hyper::header::{HeaderValue, LAST_MODIFIED};
use hyper::{Method, StatusCode};
use tulipbridge_core::ShardId;

use super::error::ApiError;
use super::query::query_names;
use super::request::{ObjectRequest, VersionId};
use super::server_client::ServerClient;
use crate::upstream::Answer;

/// The shard and version that an object is read from.
pub(super) struct ReadSource {
    pub shard: ShardId,
    /// Query that names the version to the chunk server; empty for the latest version.
    pub query: String,
    /// Version id that the client sent, if any.
    pub version_id: Option<HeaderValue>,
}

/// Returns the shard and version that a request reads. Asks all shards if the request names no
/// version.
///
/// # Errors
/// `NoSuchKey` if no shard has the object, [`ApiError::SlowDown`] if a shard that may have it did
/// not answer.
pub(super) async fn locate(
    client: &Rc<ServerClient>,
    request: &ObjectRequest,
) -> Result<ReadSource, ApiError> {
    let version = match request.version()? {
        Some(version) => version,
        None => VersionId {
            shard: find_shard(client, request).await?,
            server_version_id: String::new(),
        },
    };
    Ok(ReadSource {
        shard: version.shard,
        query: version.query().unwrap_or_default(),
        version_id: request
            .query
            .get(query_names::VERSION_ID)
            .and_then(|id| HeaderValue::try_from(id).ok()),
    })
}

/// Finds the shard with the latest version of an object by asking all of them.
async fn find_shard(
    client: &Rc<ServerClient>,
    request: &ObjectRequest,
) -> Result<ShardId, ApiError> {
    // Of several copies with the same time, that of the highest shard is read.
    let mut latest: Option<(SystemTime, ShardId)> = None;
    let mut failure = None;
    for answer in client.send_to_all_shards(request, Method::HEAD).await {
        match answer.result {
            Ok(head) => latest = latest.max(Some((modified_at(&head), answer.shard))),
            Err(error) if error.is_not_found() => {}
            Err(error) => failure = Some(error),
        }
    }
    if let Some((_, shard)) = latest {
        return Ok(shard);
    }
    // A shard that failed to answer may have the object.
    if let Some(error) = failure {
        return Err(error.for_read(client.deadline(request.bucket.read_class)));
    }
    Err(ApiError::request(
        StatusCode::NOT_FOUND,
        "NoSuchKey",
        "No shard holds the key.",
    ))
}

/// Returns when an object was modified: the Unix epoch if the answer has no valid date.
fn modified_at(answer: &Answer) -> SystemTime {
    let value = answer
        .headers
        .get(LAST_MODIFIED)
        .and_then(|value| value.to_str().ok());
    let time = value.and_then(|value| httpdate::parse_http_date(value).ok());
    time.unwrap_or(SystemTime::UNIX_EPOCH)
}
