//! The request handler of the object API, which dispatches requests to the operations.

use std::rc::Rc;
use std::time::Duration;

use hyper::header::{HeaderName, HeaderValue};
use hyper::Method;

use super::config::Config;
use super::delete::delete;
use super::error::ApiError;
use super::get::{get, head};
use super::put::put;
use super::request::{Operation, RequestParser};
use super::server_client::ServerClient;
use super::uploads::Uploads;
use crate::control::readiness::Readiness;
use crate::exchange::Exchange;
use crate::frontend::listener::{Handler, ReceivedRequest};
use crate::frontend::replies::{health_check, Reply};
use crate::limits::MAX_BUFFERED_BODY_BYTES;
use crate::upstream::Upstream;

/// Header with the random id of the request, which an error document contains too.
const REQUEST_ID: HeaderName = HeaderName::from_static("x-amz-request-id");

/// The request handler of an object front.
pub struct ObjectFront {
    client: Rc<ServerClient>,
    parser: RequestParser,
    uploads: Uploads,
    readiness: Readiness,
}

impl Handler for ObjectFront {
    fn begin_shutdown(&self, within: Duration) {
        self.client.exchange().begin_shutdown(within);
    }

    fn longest_deadline(&self) -> Duration {
        self.client.exchange().longest_deadline()
    }

    /// Larger objects must be uploaded in parts.
    fn max_body_bytes(&self) -> usize {
        MAX_BUFFERED_BODY_BYTES
    }

    async fn answer(&self, request: ReceivedRequest, shutting_down: bool) -> Reply {
        let method = request.method().clone();
        let path = request.uri().path().to_owned();
        if let Some(reply) = health_check(&method, &path, &self.readiness, shutting_down) {
            return reply;
        }
        let request_id = format!("{:016x}", fastrand::u64(..));
        let mut reply = match self.serve(request).await {
            Ok(reply) => reply,
            Err(error) => error.into_reply(&path, &request_id, method == Method::HEAD),
        };
        if let Ok(request_id) = HeaderValue::try_from(request_id) {
            reply.headers_mut().insert(REQUEST_ID, request_id);
        }
        reply
    }
}

impl ObjectFront {
    /// Creates a front that sends its requests through `exchange`. `readiness` is reported by the
    /// health check.
    pub fn new(
        exchange: Rc<Exchange<Upstream>>,
        config: Config,
        readiness: Readiness,
    ) -> ObjectFront {
        let client = ServerClient::new(exchange, config.base.shards, &config.base.settings);
        ObjectFront {
            parser: RequestParser::new(config.buckets, Rc::clone(&client)),
            uploads: Uploads::new(Rc::clone(&client)),
            client,
            readiness,
        }
    }

    /// Executes the operation that a request selects.
    async fn serve(&self, request: ReceivedRequest) -> Result<Reply, ApiError> {
        let (head_parts, body) = request.into_parts();
        let body = body.map_err(ApiError::rejected_body)?;
        let method = head_parts.method;
        let request = self
            .parser
            .parse(&method, &head_parts.uri, head_parts.headers)?;
        match request.operation(&method)? {
            Operation::GetObject => get(&self.client, request).await,
            Operation::HeadObject => head(&self.client, request).await,
            Operation::PutObject => put(&self.client, request, body).await,
            Operation::DeleteObject => delete(&self.client, request).await,
            Operation::CreateUpload => self.uploads.create(request).await,
            Operation::UploadPart => self.uploads.upload_part(request, body).await,
            Operation::CompleteUpload => self.uploads.complete(request, body).await,
            Operation::AbortUpload => self.uploads.abort(request).await,
            Operation::ListParts => self.uploads.list_parts(request).await,
        }
    }
}
