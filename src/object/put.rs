//! The operation that stores an object.

use bytes::Bytes;
use hyper::header::ETAG;
use hyper::{Method, StatusCode};

use super::answer::NotFound;
use super::error::ApiError;
use super::replies::{copy_header, empty_reply, VERSION_ID};
use super::request::ObjectRequest;
use super::server_client::{body_units, ServerClient};
use super::server_request::ServerRequest;
use crate::frontend::replies::Reply;

/// Executes PutObject. The object is new, so the decision module may choose any shard.
pub(super) async fn put(
    client: &ServerClient,
    request: ObjectRequest,
    body: Bytes,
) -> Result<Reply, ApiError> {
    let server_request = ServerRequest {
        headers: request.stored_headers(),
        units: body_units(&request.bucket, body.len()),
        body,
        ..ServerRequest::new(request.bucket.write_class, Method::PUT)
    };
    let answer = client.send(&request, server_request).await?;
    let answer = answer.into_success(NotFound::Key)?;
    let mut reply = empty_reply(StatusCode::OK);
    copy_header(&answer.headers, &ETAG, reply.headers_mut());
    reply.headers_mut().insert(VERSION_ID, answer.version_id()?);
    Ok(reply)
}
