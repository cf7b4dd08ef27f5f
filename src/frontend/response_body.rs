//! Tracking of open requests until hyper has read their response bodies.

use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};

use hyper::body::{Body, Frame, SizeHint};
use tulipbridge_core::client_connection::ClientEvent;

use super::client_state::ClientState;
use super::listener_status::ListenerStatus;

/// A response body whose request counts as open until hyper drops the body, having read it
/// completely or not.
pub struct ResponseBody<B> {
    body: B,
    _open_request: OpenRequest,
}

impl<B> ResponseBody<B> {
    /// Wraps the response body of `open_request`.
    pub fn new(body: B, open_request: OpenRequest) -> ResponseBody<B> {
        ResponseBody {
            body,
            _open_request: open_request,
        }
    }
}

impl<B: Body + Unpin> Body for ResponseBody<B> {
    type Data = B::Data;
    type Error = B::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<B::Data>, B::Error>>> {
        Pin::new(&mut self.body).poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

/// Guard of a request that is being answered; dropping it ends the request.
pub struct OpenRequest {
    client: Rc<ClientState>,
    status: ListenerStatus,
}

impl OpenRequest {
    /// Counts a request of `client` as active in `status` until the guard is dropped.
    pub fn new(client: &Rc<ClientState>, status: &ListenerStatus) -> OpenRequest {
        status.request_started();
        OpenRequest {
            client: Rc::clone(client),
            status: status.clone(),
        }
    }
}

impl Drop for OpenRequest {
    fn drop(&mut self) {
        self.status.request_ended();
        self.client.on(ClientEvent::Answered);
    }
}
