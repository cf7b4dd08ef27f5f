//! Completion of multipart uploads, at most once each.

use bytes::Bytes;
use hyper::header::ETAG;
use hyper::{Method, StatusCode};

use super::answer::NotFound;
use super::error::ApiError;
use super::pending_completions::CompletionClaim;
use super::replies::{document_reply, VERSION_ID};
use super::request::ObjectRequest;
use super::server_request::ServerRequest;
use super::upload_id::UploadId;
use super::uploads::{Uploads, UPLOAD_TOKEN};
use super::xml;
use crate::frontend::replies::Reply;
use crate::upstream::Answer;

/// The state of an upload, as its shard reports it.
enum UploadState {
    /// The upload exists and is not completed.
    Open,
    /// The upload has created the object; contains the answer to a HEAD request for it.
    Completed(Box<Answer>),
    /// Neither the upload nor an object that it created exists.
    Unknown,
}

impl Uploads {
    /// Executes CompleteMultipartUpload, at most once for each upload. Reads the state of the
    /// upload first, since a completion through another front may have had an unknown outcome.
    /// After a completion of unknown outcome through this front, the next one is rejected until the
    /// earlier one can no longer be executed.
    pub(super) async fn complete(
        &self,
        request: ObjectRequest,
        body: Bytes,
    ) -> Result<Reply, ApiError> {
        let upload = UploadId::from_request(&request)?;
        check_parts(&body)?;
        let write_class = request.bucket.write_class;
        let deadline = self.client.deadline(write_class);
        match self.read_state(&request, &upload).await {
            Ok(UploadState::Completed(head)) => return completed_reply(&request, &head),
            Ok(UploadState::Unknown) => return Err(ApiError::no_such_upload()),
            Ok(UploadState::Open) => {}
            Err(error) => return Err(error.for_read(deadline)),
        }
        // A chunk server may still execute a request that it received before the deadline, so the
        // claim lasts for twice the deadline.
        let claim = self
            .pending_completions
            .claim(&upload.text, request.deadline + deadline)?;
        let server_request = ServerRequest {
            body,
            units: self.client.mean_units(),
            ..upload.server_request(write_class, Method::POST, upload.query())
        };
        match self.client.send(&request, server_request).await {
            Ok(answer) => {
                claim.release();
                self.completion_reply(&request, &upload, answer).await
            }
            Err(ApiError::OutcomeUnknown) => self.resolve_outcome(&request, &upload, claim).await,
            Err(error) => {
                claim.release();
                Err(error)
            }
        }
    }

    /// Builds the response to a completion from the chunk server's answer. If that is an error,
    /// another front may have completed the upload meanwhile, so its state is read again.
    async fn completion_reply(
        &self,
        request: &ObjectRequest,
        upload: &UploadId,
        answer: Answer,
    ) -> Result<Reply, ApiError> {
        let error = match answer.into_success(NotFound::Upload) {
            Ok(answer) => {
                let result: xml::CompleteMultipartUploadResult =
                    xml::read(&answer.body).ok_or(ApiError::OutcomeUnknown)?;
                return success_reply(request, result.etag, &answer);
            }
            Err(error) => error,
        };
        match self.read_state(request, upload).await {
            Ok(UploadState::Completed(head)) => completed_reply(request, &head),
            _ => Err(error),
        }
    }

    /// Builds the response to a completion of unknown outcome: a success if the state of the upload
    /// shows that it is completed. Otherwise the completion may still be executed, so its claim
    /// remains.
    async fn resolve_outcome(
        &self,
        request: &ObjectRequest,
        upload: &UploadId,
        claim: CompletionClaim<'_>,
    ) -> Result<Reply, ApiError> {
        match self.read_state(request, upload).await {
            Ok(UploadState::Completed(head)) => {
                claim.release();
                completed_reply(request, &head)
            }
            _ => Err(ApiError::OutcomeUnknown),
        }
    }

    /// Reads the state of an upload from its shard: it is open while its parts can be listed, and
    /// completed if the object has its token.
    async fn read_state(
        &self,
        request: &ObjectRequest,
        upload: &UploadId,
    ) -> Result<UploadState, ApiError> {
        let class = request.bucket.read_class;
        let list_parts = upload.server_request(class, Method::GET, upload.query());
        match self.send(request, list_parts).await {
            Ok(_) => return Ok(UploadState::Open),
            Err(error) if error.is_not_found() => {}
            Err(error) => return Err(error),
        }
        let head_object = upload.server_request(class, Method::HEAD, String::new());
        let answer = self.client.send(request, head_object).await?;
        match answer.into_success(NotFound::Key) {
            Ok(head) if has_token(&head, &upload.token) => {
                Ok(UploadState::Completed(Box::new(head)))
            }
            Ok(_) => Ok(UploadState::Unknown),
            Err(error) if error.is_not_found() => Ok(UploadState::Unknown),
            Err(error) => Err(error),
        }
    }
}

/// Checks that a request to complete an upload lists parts, in ascending order of their numbers.
fn check_parts(body: &[u8]) -> Result<(), ApiError> {
    let list: xml::CompleteMultipartUpload = xml::read(body).ok_or_else(malformed_list)?;
    if list.parts.is_empty() {
        return Err(malformed_list());
    }
    let is_ascending = list
        .parts
        .windows(2)
        .all(|pair| pair[0].part_number < pair[1].part_number);
    if !is_ascending {
        return Err(ApiError::request(
            StatusCode::BAD_REQUEST,
            "InvalidPartOrder",
            "The parts are not in ascending order.",
        ));
    }
    Ok(())
}

/// Creates the error for a list of parts that is malformed or empty.
fn malformed_list() -> ApiError {
    ApiError::request(
        StatusCode::BAD_REQUEST,
        "MalformedXML",
        "The list of parts is malformed.",
    )
}

/// Returns whether an object was created by the upload with this token.
fn has_token(head: &Answer, token: &str) -> bool {
    head.headers
        .get(UPLOAD_TOKEN)
        .is_some_and(|value| value == token)
}

/// Builds the response to a completion whose object exists already.
fn completed_reply(request: &ObjectRequest, head: &Answer) -> Result<Reply, ApiError> {
    let etag = head
        .headers
        .get(ETAG)
        .and_then(|value| value.to_str().ok())
        .unwrap_or_default();
    success_reply(request, etag.to_owned(), head)
}

/// Builds the response to a successful completion. `answer` is a chunk server's answer about the
/// object, with its version id.
fn success_reply(
    request: &ObjectRequest,
    etag: String,
    answer: &Answer,
) -> Result<Reply, ApiError> {
    let result = xml::CompleteMultipartUploadResult {
        location: request.path.clone(),
        bucket: request.bucket_name.clone(),
        key: request.key.clone(),
        etag,
    };
    let mut reply = document_reply(StatusCode::OK, "CompleteMultipartUploadResult", &result);
    reply.headers_mut().insert(VERSION_ID, answer.version_id()?);
    Ok(reply)
}
