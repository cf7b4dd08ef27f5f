//! Finding the shard that stores an object.

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

/// Where an object is read from.
pub(super) struct ReadSource {
    pub shard: ShardId,
    /// Query that names the version; empty for the latest.
    pub query: String,
    /// The version id as the client gave it.
    pub version_id: Option<HeaderValue>,
}

/// The shard and version that a request reads. All shards are asked where it names no version.
///
/// # Errors
/// `NoSuchKey` where no shard has the object, [`ApiError::SlowDown`] where one that may have it
/// did not answer.
pub(super) async fn locate(
    client: &Rc<ServerClient>,
    request: &ObjectRequest,
) -> Result<ReadSource, ApiError> {
    let version = match request.version()? {
        Some(version) => version,
        None => VersionId {
            shard: find_shard(client, request).await?,
            own: String::new(),
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
    // Between copies of one time, that of the higher shard counts.
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
    // The object may be at a shard that did not answer.
    if let Some(error) = failure {
        return Err(error.of_read(client.deadline(request.bucket.read_class)));
    }
    Err(ApiError::request(
        StatusCode::NOT_FOUND,
        "NoSuchKey",
        "No shard holds the key.",
    ))
}

/// When an object was modified; the Unix epoch where the answer has no date.
fn modified_at(answer: &Answer) -> SystemTime {
    let value = answer
        .headers
        .get(LAST_MODIFIED)
        .and_then(|value| value.to_str().ok());
    let time = value.and_then(|value| httpdate::parse_http_date(value).ok());
    time.unwrap_or(SystemTime::UNIX_EPOCH)
}
