//! The handler of the object API: dispatch by operation, and PutObject.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use hyper::header::{HeaderName, HeaderValue, ETAG};
use hyper::{Method, StatusCode};

use super::config::Config;
use super::error::ApiError;
use super::front_state::FrontState;
use super::node_request::NodeRequest;
use super::replies::{copy_header, empty, VERSION_ID};
use super::request::{ObjectRequest, Operation};
use crate::control::readiness::Readiness;
use crate::exchange::Exchange;
use crate::frontend::listener::{Handler, ReceivedRequest};
use crate::frontend::replies::{health_check, Reply};
use crate::limits::MAX_BODY;
use crate::upstream::Upstream;

const REQUEST_ID: HeaderName = HeaderName::from_static("x-amz-request-id");

/// The handler for the object API.
pub struct ObjectFront {
    state: Rc<FrontState>,
    readiness: Readiness,
}

impl Handler for ObjectFront {
    fn begin_shutdown(&self, within: Duration) {
        self.state.exchange.begin_shutdown(within);
    }

    fn longest_deadline(&self) -> Duration {
        self.state.exchange.longest_deadline()
    }

    async fn answer(&self, request: ReceivedRequest, shutting_down: bool) -> Reply {
        let (method, path) = (request.method().clone(), request.uri().path().to_owned());
        if let Some(reply) = health_check(&method, &path, &self.readiness, shutting_down) {
            return reply;
        }
        let request_id = format!("{:016x}", fastrand::u64(..));
        let mut reply = match self.state.serve(request).await {
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
    /// A front on an exchange. `readiness` is what the health check tells.
    pub fn new(
        exchange: Rc<Exchange<Upstream>>,
        config: Config,
        readiness: Readiness,
    ) -> ObjectFront {
        let settings = &config.base.settings;
        let deadlines = settings
            .classes
            .iter()
            .map(|class| Duration::from_nanos(class.deadline as u64));
        let state = Rc::new(FrontState {
            exchange,
            shards: config.base.shards,
            deadlines: deadlines.collect(),
            mean_units: settings.mean_units,
            max_units: settings.max_units.max(1.0),
            buckets: config.buckets,
            pending_completions: RefCell::default(),
        });
        ObjectFront { state, readiness }
    }
}

impl FrontState {
    async fn serve(self: &Rc<Self>, request: ReceivedRequest) -> Result<Reply, ApiError> {
        let (head, body) = request.into_parts();
        let body = body
            .and_then(check_length)
            .map_err(ApiError::rejected_body)?;
        let request = self.parse(&head.method, &head.uri, head.headers)?;
        match request.operation(&head.method)? {
            Operation::GetObject => self.get(request).await,
            Operation::HeadObject => self.head(request).await,
            Operation::PutObject => self.put(request, body).await,
            Operation::DeleteObject => self.delete(request).await,
            Operation::CreateUpload => self.create_upload(request).await,
            Operation::UploadPart => self.upload_part(request, body).await,
            Operation::CompleteUpload => self.complete_upload(request, body).await,
            Operation::AbortUpload => self.abort_upload(request).await,
            Operation::ListParts => self.list_parts(request).await,
        }
    }

    /// PutObject: a new object, which any shard may take.
    async fn put(&self, request: ObjectRequest, body: Bytes) -> Result<Reply, ApiError> {
        let node = NodeRequest {
            headers: request.stored_headers(),
            units: self.units(&request.bucket, body.len()),
            body,
            ..NodeRequest::new(request.bucket.write_class, Method::PUT)
        };
        let answer = self.send(&request, node).await?.into_success("NoSuchKey")?;
        let mut reply = empty(StatusCode::OK);
        copy_header(&answer.headers, &ETAG, reply.headers_mut());
        reply.headers_mut().insert(VERSION_ID, answer.version_id()?);
        Ok(reply)
    }
}

/// Bodies of the object API are at most as long as one chunk; larger objects are uploaded in parts.
fn check_length(body: Bytes) -> Result<Bytes, StatusCode> {
    if body.len() > MAX_BODY {
        Err(StatusCode::PAYLOAD_TOO_LARGE)
    } else {
        Ok(body)
    }
}
