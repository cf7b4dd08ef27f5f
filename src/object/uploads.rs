//! Multipart uploads. An upload is stored by the chunk server that created it. Its id contains the
//! shard of that server, and a token that is stored with the object: by this token a front
//! recognises an object that was created by a completion of unknown outcome.

use std::rc::Rc;

use bytes::Bytes;
use hyper::header::{HeaderName, HeaderValue, ETAG};
use hyper::{Method, StatusCode};

use super::answer::NotFound;
use super::error::ApiError;
use super::pending_completions::PendingCompletions;
use super::query::{query_field, query_names};
use super::replies::{copy_header, document_reply, empty_reply};
use super::request::ObjectRequest;
use super::server_client::{body_units, ServerClient};
use super::server_request::ServerRequest;
use super::upload_id::UploadId;
use super::xml;
use crate::frontend::replies::Reply;
use crate::upstream::Answer;

/// Metadata header that stores the token of the upload with the object that it created.
pub(super) const UPLOAD_TOKEN: HeaderName =
    HeaderName::from_static("x-amz-meta-tulipbridge-upload");
/// Header with the checksum of a body, which the chunk server verifies.
const CONTENT_MD5: HeaderName = HeaderName::from_static("content-md5");
/// Maximum part number.
const MAX_PART_NUMBER: u32 = 10_000;
/// Query fields that select a page of the list of parts.
const PAGE_FIELDS: [&str; 2] = [query_names::MAX_PARTS, query_names::PART_NUMBER_MARKER];

/// Executes the operations on multipart uploads. The completion of uploads is implemented in
/// [`complete_upload`](super::complete_upload).
pub(super) struct Uploads {
    pub(super) client: Rc<ServerClient>,
    pub(super) pending_completions: PendingCompletions,
}

impl Uploads {
    /// Creates the operations, which send their requests through `client`.
    pub(super) fn new(client: Rc<ServerClient>) -> Uploads {
        Uploads {
            client,
            pending_completions: PendingCompletions::default(),
        }
    }

    /// Executes CreateMultipartUpload. The object is new, so the decision module may choose any
    /// shard.
    pub(super) async fn create(&self, request: ObjectRequest) -> Result<Reply, ApiError> {
        let token = format!("{:016x}", fastrand::u64(..));
        let mut headers = request.stored_headers();
        let token_value = HeaderValue::try_from(&token).map_err(|_| ApiError::OutcomeUnknown)?;
        headers.insert(UPLOAD_TOKEN, token_value);
        let server_request = ServerRequest {
            query: query_names::UPLOADS.to_owned(),
            headers,
            ..ServerRequest::new(request.bucket.write_class, Method::POST)
        };
        let answer = self.client.send(&request, server_request).await?;
        let answer = answer.into_success(NotFound::Key)?;
        let created: xml::InitiateMultipartUploadResult =
            xml::read(&answer.body).ok_or(ApiError::OutcomeUnknown)?;
        let result = xml::InitiateMultipartUploadResult {
            bucket: request.bucket_name,
            key: request.key,
            upload_id: format!("{}.{token}.{}", answer.shard, created.upload_id),
        };
        Ok(document_reply(
            StatusCode::OK,
            "InitiateMultipartUploadResult",
            &result,
        ))
    }

    /// Executes UploadPart, which only the shard of the upload can serve. While its chunk server
    /// drains, the part waits for the server that takes over the shard, and is rejected once if
    /// none does so in time.
    pub(super) async fn upload_part(
        &self,
        request: ObjectRequest,
        body: Bytes,
    ) -> Result<Reply, ApiError> {
        let upload = UploadId::from_request(&request)?;
        let number = part_number(&request)?.to_string();
        let number = query_field(query_names::PART_NUMBER, &number);
        let query = format!("{number}&{}", upload.query());
        let mut server_request = ServerRequest {
            units: body_units(&request.bucket, body.len()),
            body,
            ..upload.server_request(request.bucket.write_class, Method::PUT, query)
        };
        copy_header(&request.headers, &CONTENT_MD5, &mut server_request.headers);
        let answer = self.send(&request, server_request).await?;
        let mut reply = empty_reply(StatusCode::OK);
        copy_header(&answer.headers, &ETAG, reply.headers_mut());
        Ok(reply)
    }

    /// Executes ListParts.
    pub(super) async fn list_parts(&self, request: ObjectRequest) -> Result<Reply, ApiError> {
        let upload = UploadId::from_request(&request)?;
        let mut query = upload.query();
        for name in PAGE_FIELDS {
            if let Some(number) = page_number(&request, name)? {
                query.push('&');
                query.push_str(&query_field(name, &number.to_string()));
            }
        }
        let server_request = upload.server_request(request.bucket.read_class, Method::GET, query);
        let answer = self.send(&request, server_request).await?;
        let mut parts: xml::ListPartsResult =
            xml::read(&answer.body).ok_or(ApiError::OutcomeUnknown)?;
        parts.upload_id = upload.text;
        parts.bucket = request.bucket_name;
        parts.key = request.key;
        Ok(document_reply(StatusCode::OK, "ListPartsResult", &parts))
    }

    /// Executes AbortMultipartUpload, which is idempotent and so uses the class for reads.
    pub(super) async fn abort(&self, request: ObjectRequest) -> Result<Reply, ApiError> {
        let upload = UploadId::from_request(&request)?;
        let class = request.bucket.read_class;
        let server_request = upload.server_request(class, Method::DELETE, upload.query());
        self.send(&request, server_request).await?;
        Ok(empty_reply(StatusCode::NO_CONTENT))
    }

    /// Sends a request that names an upload, and returns the answer if it is a success.
    pub(super) async fn send(
        &self,
        request: &ObjectRequest,
        server_request: ServerRequest,
    ) -> Result<Answer, ApiError> {
        let answer = self.client.send(request, server_request).await?;
        answer.into_success(NotFound::Upload)
    }
}

/// Reads the number of the part that a request uploads, from 1 to [`MAX_PART_NUMBER`].
fn part_number(request: &ObjectRequest) -> Result<u32, ApiError> {
    let number = request
        .query
        .get(query_names::PART_NUMBER)
        .and_then(|number| number.parse().ok());
    number
        .filter(|number| (1..=MAX_PART_NUMBER).contains(number))
        .ok_or_else(|| ApiError::invalid_argument("A part number is from 1 to 10000."))
}

/// Reads the value of one of the [`PAGE_FIELDS`], if it is present.
fn page_number(request: &ObjectRequest, name: &str) -> Result<Option<u32>, ApiError> {
    let number = request.query.get(name).map(str::parse).transpose();
    number.map_err(|_| ApiError::invalid_argument("A page is told in whole numbers."))
}
