//! The operation that deletes objects.

use std::rc::Rc;

use hyper::{Method, StatusCode};

use super::answer::NotFound;
use super::error::ApiError;
use super::replies::empty_reply;
use super::request::{ObjectRequest, VersionId};
use super::server_client::ServerClient;
use super::server_request::ServerRequest;
use crate::frontend::replies::Reply;
use crate::upstream::Answer;

/// Executes DeleteObject, for one version or for all copies of the object. Deleting an object that
/// does not exist is a success.
pub(super) async fn delete(
    client: &Rc<ServerClient>,
    request: ObjectRequest,
) -> Result<Reply, ApiError> {
    match request.version()? {
        Some(version) => delete_version(client, &request, &version).await?,
        None => delete_all_copies(client, &request).await?,
    }
    Ok(empty_reply(StatusCode::NO_CONTENT))
}

/// Deletes one version, at the shard that stores it.
async fn delete_version(
    client: &ServerClient,
    request: &ObjectRequest,
    version: &VersionId,
) -> Result<(), ApiError> {
    let Some(query) = version.query() else {
        return Err(ApiError::not_implemented(
            "The node that holds this keeps no versions.",
        ));
    };
    let server_request = ServerRequest {
        shard: Some(version.shard),
        query,
        units: client.mean_units(),
        ..ServerRequest::new(request.bucket.read_class, Method::DELETE)
    };
    let answer = client.send(request, server_request).await;
    check_deleted(answer.and_then(|answer| answer.into_success(NotFound::Key)))
}

/// Deletes the object at every shard, since an older copy would become visible once the latest is
/// deleted.
async fn delete_all_copies(
    client: &Rc<ServerClient>,
    request: &ObjectRequest,
) -> Result<(), ApiError> {
    for answer in client.send_to_all_shards(request, Method::DELETE).await {
        check_deleted(answer.result)?;
    }
    Ok(())
}

/// Treats the error that the object does not exist as a success.
fn check_deleted(result: Result<Answer, ApiError>) -> Result<(), ApiError> {
    match result {
        Ok(_) => Ok(()),
        Err(error) if error.is_not_found() => Ok(()),
        Err(error) => Err(error),
    }
}
