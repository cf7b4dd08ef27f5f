//! Completing multipart uploads, each at most once.

use bytes::Bytes;
use hyper::header::ETAG;
use hyper::{Method, StatusCode};

use super::answer::NotFound;
use super::error::ApiError;
use super::pending_completions::CompletionClaim;
use super::replies::{document, VERSION_ID};
use super::request::ObjectRequest;
use super::server_request::ServerRequest;
use super::upload_id::UploadId;
use super::uploads::{Uploads, UPLOAD_TOKEN};
use super::xml;
use crate::frontend::replies::Reply;
use crate::upstream::Answer;

/// A chunk server's state of an upload.
enum UploadState {
    Open,
    /// The object exists; this is the answer to a HEAD request for it.
    Completed(Box<Answer>),
    Unknown,
}

impl Uploads {
    /// CompleteMultipartUpload, at most once for each upload. The state of the upload is read
    /// first, since a completion through another front may have an unknown outcome. One through
    /// this front whose outcome is unknown delays the next until it can no longer be executed.
    pub(super) async fn complete(
        &self,
        request: ObjectRequest,
        body: Bytes,
    ) -> Result<Reply, ApiError> {
        let upload = UploadId::of(&request)?;
        check_parts(&body)?;
        let write_class = request.bucket.write_class;
        let deadline = self.client.deadline(write_class);
        match self.state(&request, &upload).await {
            Ok(UploadState::Completed(head)) => return completed_reply(&request, &head),
            Ok(UploadState::Unknown) => return Err(ApiError::no_such_upload()),
            Ok(UploadState::Open) => {}
            Err(error) => return Err(error.of_read(deadline)),
        }
        // A chunk server may still execute what it received in time, so the claim lasts twice the
        // deadline.
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

    /// The response to a completion by the chunk server's answer. Where that is an error, another
    /// front may have completed the upload meanwhile, so the state of the upload is read again.
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
                return completion_document(request, result.etag, &answer);
            }
            Err(error) => error,
        };
        match self.state(request, upload).await {
            Ok(UploadState::Completed(head)) => completed_reply(request, &head),
            _ => Err(error),
        }
    }

    /// The response to a completion of unknown outcome: a success where the upload turns out to be
    /// completed. Otherwise the completion may still be executed, and its claim remains.
    async fn resolve_outcome(
        &self,
        request: &ObjectRequest,
        upload: &UploadId,
        claim: CompletionClaim<'_>,
    ) -> Result<Reply, ApiError> {
        match self.state(request, upload).await {
            Ok(UploadState::Completed(head)) => {
                claim.release();
                completed_reply(request, &head)
            }
            _ => Err(ApiError::OutcomeUnknown),
        }
    }

    /// Reads the state of an upload from its chunk server: it is open while its parts can be
    /// listed, and completed where the object has its token.
    async fn state(
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

/// Checks the list of parts in a request to complete an upload.
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

/// The error for a list of parts that is no such document, or names no part.
fn malformed_list() -> ApiError {
    ApiError::request(
        StatusCode::BAD_REQUEST,
        "MalformedXML",
        "The list of parts is malformed.",
    )
}

/// Whether an object was made by the upload with this token.
fn has_token(head: &Answer, token: &str) -> bool {
    head.headers
        .get(UPLOAD_TOKEN)
        .is_some_and(|value| value == token)
}

/// The response to a completion whose object exists already.
fn completed_reply(request: &ObjectRequest, head: &Answer) -> Result<Reply, ApiError> {
    let etag = head
        .headers
        .get(ETAG)
        .and_then(|value| value.to_str().ok())
        .unwrap_or_default();
    completion_document(request, etag.to_owned(), head)
}

/// The response to a completion. `answer` is one about the object, and names its version.
fn completion_document(
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
    let mut reply = document(StatusCode::OK, "CompleteMultipartUploadResult", &result);
    reply.headers_mut().insert(VERSION_ID, answer.version_id()?);
    Ok(reply)
}
