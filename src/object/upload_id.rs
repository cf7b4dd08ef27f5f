//! Upload ids as fronts issue them to clients.

use hyper::Method;
use tulipbridge_core::ShardId;

use super::error::ApiError;
use super::query::{query_field, query_names};
use super::request::ObjectRequest;
use super::server_request::ServerRequest;

/// An upload id as clients see it, `SHARD.TOKEN.UPLOAD`.
pub(super) struct UploadId {
    pub shard: ShardId,
    /// Random token that is stored with the object that the upload creates.
    pub token: String,
    /// Id that the chunk server assigned, which may contain dots.
    pub server_upload_id: String,
    /// The complete id, as the client sent it.
    pub text: String,
}

impl UploadId {
    /// Reads the upload id of a request.
    ///
    /// # Errors
    /// `NoSuchUpload` if the id is missing or malformed.
    pub fn from_request(request: &ObjectRequest) -> Result<UploadId, ApiError> {
        let id = request.query.get(query_names::UPLOAD_ID);
        id.and_then(UploadId::parse)
            .ok_or_else(ApiError::no_such_upload)
    }

    /// Parses an id. Returns `None` if a part of it is missing or invalid.
    fn parse(id: &str) -> Option<UploadId> {
        let mut parts = id.splitn(3, '.');
        let shard = parts.next()?.parse().ok().map(ShardId)?;
        let token = parts.next().filter(|token| !token.is_empty())?;
        let server_upload_id = parts
            .next()
            .filter(|server_upload_id| !server_upload_id.is_empty())?;
        Some(UploadId {
            shard,
            token: token.to_owned(),
            server_upload_id: server_upload_id.to_owned(),
            text: id.to_owned(),
        })
    }

    /// Returns the query that names the upload to its chunk server.
    pub fn query(&self) -> String {
        query_field(query_names::UPLOAD_ID, &self.server_upload_id)
    }

    /// Creates a request to the shard of the upload.
    pub fn server_request(&self, class: usize, method: Method, query: String) -> ServerRequest {
        ServerRequest {
            shard: Some(self.shard),
            query,
            ..ServerRequest::new(class, method)
        }
    }
}
