//! Multipart uploads. An upload lives on the chunk server that opened it. Its id contains that
//! server's shard, and a token that is stored with the object: by it a front recognises an object
//! that a completion of unknown outcome has made.

use std::time::Instant;

use bytes::Bytes;
use hyper::header::{HeaderName, HeaderValue, ETAG};
use hyper::{Method, StatusCode};
use tulipbridge_core::ShardId;

use super::error::ApiError;
use super::front_state::FrontState;
use super::node_request::{encode_query_value, NodeRequest};
use super::replies::{copy_header, document, empty, VERSION_ID};
use super::request::ObjectRequest;
use super::xml;
use crate::frontend::replies::Reply;
use crate::upstream::Answer;

/// Metadata header in which an object keeps the token of the upload that made it.
const UPLOAD_TOKEN: HeaderName = HeaderName::from_static("x-amz-meta-tulipbridge-upload");
/// The largest number of a part.
const MAX_PART_NUMBER: u32 = 10_000;
/// Query fields that select a page of a list of parts.
const PAGE_FIELDS: [&str; 2] = ["max-parts", "part-number-marker"];

/// An upload id of this front.
struct UploadId {
    shard: ShardId,
    token: String,
    /// The chunk server's own id.
    own: String,
}

/// A chunk server's state of an upload.
enum UploadState {
    Open,
    /// The object exists; this is the answer to a HEAD request for it.
    Completed(Box<Answer>),
    Unknown,
}

impl UploadId {
    /// Parses the upload id of a request.
    fn of(request: &ObjectRequest) -> Result<UploadId, ApiError> {
        let id = request.query.get("uploadId").map_or("", String::as_str);
        let mut parts = id.splitn(3, '.');
        let shard = parts
            .next()
            .and_then(|shard| shard.parse().ok().map(ShardId));
        let token = parts.next().unwrap_or_default();
        let own = parts.next().unwrap_or_default();
        match shard {
            Some(shard) if !token.is_empty() && !own.is_empty() => Ok(UploadId {
                shard,
                token: token.to_owned(),
                own: own.to_owned(),
            }),
            _ => Err(ApiError::no_such_upload()),
        }
    }

    /// The query that names the upload to its chunk server.
    fn query(&self) -> String {
        format!("uploadId={}", encode_query_value(&self.own))
    }

    /// A request to the shard of the upload.
    fn node_request(&self, class: usize, method: Method, query: String) -> NodeRequest {
        NodeRequest {
            shard: Some(self.shard),
            query,
            ..NodeRequest::new(class, method)
        }
    }
}

impl FrontState {
    /// CreateMultipartUpload: a new object, which any shard may take.
    pub(super) async fn create_upload(&self, request: ObjectRequest) -> Result<Reply, ApiError> {
        let token = format!("{:016x}", fastrand::u64(..));
        let mut headers = request.stored_headers();
        let token_value = HeaderValue::try_from(&token).map_err(|_| ApiError::OutcomeUnknown)?;
        headers.insert(UPLOAD_TOKEN, token_value);
        let node = NodeRequest {
            query: "uploads".to_owned(),
            headers,
            ..NodeRequest::new(request.bucket.write_class, Method::POST)
        };
        let answer = self.send(&request, node).await?.into_success("NoSuchKey")?;
        let opened: xml::InitiateMultipartUploadResult =
            xml::read(&answer.body).ok_or(ApiError::OutcomeUnknown)?;
        let result = xml::InitiateMultipartUploadResult {
            bucket: request.bucket_name,
            key: request.key,
            upload_id: format!("{}.{token}.{}", answer.shard, opened.upload_id),
        };
        Ok(document(
            StatusCode::OK,
            "InitiateMultipartUploadResult",
            &result,
        ))
    }

    /// UploadPart, to the shard of the upload and no other. While its chunk server drains, the part
    /// waits for the one that takes over the shard, and is rejected once where none does in time.
    pub(super) async fn upload_part(
        &self,
        request: ObjectRequest,
        body: Bytes,
    ) -> Result<Reply, ApiError> {
        let upload = UploadId::of(&request)?;
        let number = request
            .query
            .get("partNumber")
            .and_then(|number| number.parse::<u32>().ok());
        let number = number.filter(|number| (1..=MAX_PART_NUMBER).contains(number));
        let number = number
            .ok_or_else(|| ApiError::invalid_argument("A part number is from 1 to 10000."))?;
        let query = format!("partNumber={number}&{}", upload.query());
        let mut node = NodeRequest {
            units: self.units(&request.bucket, body.len()),
            body,
            ..upload.node_request(request.bucket.write_class, Method::PUT, query)
        };
        if let Some(checksum) = request.headers.get("content-md5") {
            node.headers.insert("content-md5", checksum.clone());
        }
        let answer = self
            .send(&request, node)
            .await?
            .into_success("NoSuchUpload")?;
        let mut reply = empty(StatusCode::OK);
        copy_header(&answer.headers, &ETAG, reply.headers_mut());
        Ok(reply)
    }

    /// ListParts.
    pub(super) async fn list_parts(&self, request: ObjectRequest) -> Result<Reply, ApiError> {
        let upload = UploadId::of(&request)?;
        let mut query = upload.query();
        for name in PAGE_FIELDS {
            if let Some(value) = request.query.get(name) {
                let number: u32 = value
                    .parse()
                    .map_err(|_| ApiError::invalid_argument("A page is told in whole numbers."))?;
                query.push_str(&format!("&{name}={number}"));
            }
        }
        let node = upload.node_request(request.bucket.read_class, Method::GET, query);
        let answer = self
            .send(&request, node)
            .await?
            .into_success("NoSuchUpload")?;
        let mut parts: xml::ListPartsResult =
            xml::read(&answer.body).ok_or(ApiError::OutcomeUnknown)?;
        parts.upload_id.clone_from(&request.query["uploadId"]);
        parts.bucket = request.bucket_name;
        parts.key = request.key;
        Ok(document(StatusCode::OK, "ListPartsResult", &parts))
    }

    /// AbortMultipartUpload. It is idempotent.
    pub(super) async fn abort_upload(&self, request: ObjectRequest) -> Result<Reply, ApiError> {
        let upload = UploadId::of(&request)?;
        let node = upload.node_request(request.bucket.read_class, Method::DELETE, upload.query());
        self.send(&request, node)
            .await?
            .into_success("NoSuchUpload")?;
        Ok(empty(StatusCode::NO_CONTENT))
    }

    /// CompleteMultipartUpload, at most once for each upload. The state of the upload is read
    /// first, since a completion through another front may have an unknown outcome. One through
    /// this front whose outcome is unknown delays the next until it can no longer be executed.
    pub(super) async fn complete_upload(
        &self,
        request: ObjectRequest,
        body: Bytes,
    ) -> Result<Reply, ApiError> {
        let upload = UploadId::of(&request)?;
        check_parts(&body)?;
        let write_class = request.bucket.write_class;
        match self.upload_state(&request, &upload).await {
            Ok(UploadState::Completed(head)) => return completed_reply(&request, &head),
            Ok(UploadState::Unknown) => return Err(ApiError::no_such_upload()),
            Ok(UploadState::Open) => {}
            Err(error) => return Err(error.of_read(self.deadlines[write_class])),
        }
        let upload_id = request.query["uploadId"].clone();
        // A chunk server may still execute what it received in time, so the claim lasts twice the
        // deadline.
        self.claim_completion(&upload_id, request.deadline + self.deadlines[write_class])?;
        let node = NodeRequest {
            body,
            units: self.mean_units,
            ..upload.node_request(write_class, Method::POST, upload.query())
        };
        let result = self.send(&request, node).await;
        if !matches!(result, Err(ApiError::OutcomeUnknown)) {
            self.release_completion(&upload_id);
        }
        self.completion_reply(&request, &upload, &upload_id, result)
            .await
    }

    /// The response to a completion by the chunk server's answer. Where that leaves open whether
    /// the object was made, the state of the upload is read again.
    async fn completion_reply(
        &self,
        request: &ObjectRequest,
        upload: &UploadId,
        upload_id: &str,
        result: Result<Answer, ApiError>,
    ) -> Result<Reply, ApiError> {
        let outcome_unknown = matches!(result, Err(ApiError::OutcomeUnknown));
        let error = match result {
            Ok(answer) => match answer.into_success("NoSuchUpload") {
                Ok(answer) => {
                    let result: Option<xml::CompleteMultipartUploadResult> =
                        xml::read(&answer.body);
                    let etag = result
                        .map(|result| result.etag)
                        .ok_or(ApiError::OutcomeUnknown)?;
                    return completion_document(request, etag, &answer);
                }
                // Another front may have completed the upload meanwhile.
                Err(error) => error,
            },
            Err(ApiError::OutcomeUnknown) => ApiError::OutcomeUnknown,
            Err(error) => return Err(error),
        };
        match self.upload_state(request, upload).await {
            Ok(UploadState::Completed(head)) => {
                if outcome_unknown {
                    self.release_completion(upload_id);
                }
                completed_reply(request, &head)
            }
            _ => Err(error),
        }
    }

    /// Claims the completion of an upload for as long as it may be executed. The claim remains
    /// where the client goes, since the attempt goes on.
    ///
    /// # Errors
    /// [`ApiError::SlowDown`] where another completion through this front may still be executed.
    fn claim_completion(&self, upload_id: &str, until: Instant) -> Result<(), ApiError> {
        let now = Instant::now();
        let mut pending = self.pending_completions.borrow_mut();
        pending.retain(|_, until| *until > now);
        if let Some(until) = pending.get(upload_id) {
            return Err(ApiError::SlowDown(*until - now));
        }
        pending.insert(upload_id.to_owned(), until);
        Ok(())
    }

    fn release_completion(&self, upload_id: &str) {
        self.pending_completions.borrow_mut().remove(upload_id);
    }

    /// Reads the state of an upload from its chunk server: it is open while its parts can be
    /// listed, and completed where the object has its token.
    async fn upload_state(
        &self,
        request: &ObjectRequest,
        upload: &UploadId,
    ) -> Result<UploadState, ApiError> {
        let class = request.bucket.read_class;
        let node = upload.node_request(class, Method::GET, upload.query());
        match self.send(request, node).await?.into_success("NoSuchUpload") {
            Ok(_) => return Ok(UploadState::Open),
            Err(error) if error.is_not_found() => {}
            Err(error) => return Err(error),
        }
        let node = upload.node_request(class, Method::HEAD, String::new());
        match self.send(request, node).await?.into_success("NoSuchKey") {
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
    let malformed = || {
        ApiError::request(
            StatusCode::BAD_REQUEST,
            "MalformedXML",
            "The list of parts is malformed.",
        )
    };
    let list: xml::CompleteMultipartUpload = xml::read(body).ok_or_else(malformed)?;
    if list.parts.is_empty() {
        return Err(malformed());
    }
    if !list
        .parts
        .windows(2)
        .all(|pair| pair[0].part_number < pair[1].part_number)
    {
        let message = "The parts are not in ascending order.";
        return Err(ApiError::request(
            StatusCode::BAD_REQUEST,
            "InvalidPartOrder",
            message,
        ));
    }
    Ok(())
}

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
