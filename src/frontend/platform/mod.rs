//! The platform's front: turns requests of the platform's protocol into requests to the exchange,
//! and its answers into responses.

mod request_parser;
mod request_tables;
mod streaming;
mod transactions;

use std::cell::RefCell;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{Either, Full};
use hyper::header::{HeaderMap, HeaderName, HeaderValue, COOKIE};
use hyper::http::request::Parts;
use hyper::{Method, Response, StatusCode};

use self::request_parser::single_value;
use self::streaming::stream_response;
use self::transactions::OpenTransactions;
use super::listener::{Handler, ReceivedRequest};
use super::replies::{health_check, plain, rejected, Reply};
use crate::body_budget::BodyReservation;
use crate::control::readiness::Readiness;
use crate::exchange::{Exchange, FinalResponse};
use crate::upstream::{AcceptedResponses, Answer, Payload, Upstream};

pub use self::request_tables::{ReloadedSettings, RequestTables};

/// Header with the transaction id of a request.
const TRANSACTION_ID: &str = "x-txn";
/// Header with the class of a request.
const CLASS: &str = "x-lane";

/// Headers that are forwarded to the chunk server beside the transaction id. The cookie names the
/// block and the idempotency key the operation, by which the server recognises a repeated request.
const FORWARDED_HEADERS: [HeaderName; 2] = [COOKIE, HeaderName::from_static("idempotency-key")];

/// The handler for the platform's protocol.
pub struct PlatformFront {
    exchange: Rc<Exchange<Upstream>>,
    /// Replaced by a reload of the configuration; borrowed for single statements.
    tables: Rc<RefCell<RequestTables>>,
    readiness: Readiness,
    open_transactions: OpenTransactions,
}

impl Handler for PlatformFront {
    fn begin_shutdown(&self, within: Duration) {
        self.exchange.begin_shutdown(within);
    }

    fn longest_deadline(&self) -> Duration {
        self.exchange.longest_deadline()
    }

    async fn answer(&self, request: ReceivedRequest, shutting_down: bool) -> Reply {
        if let Some(reply) = health_check(
            request.method(),
            request.uri().path(),
            &self.readiness,
            shutting_down,
        ) {
            return reply;
        }
        let class = single_value(request.headers(), CLASS).map(str::to_owned);
        let reply = self
            .forward(request)
            .await
            .unwrap_or_else(|rejection| rejection);
        self.count_answer(class.as_deref(), reply.status());
        reply
    }
}

impl PlatformFront {
    /// A front on an exchange; `tables` has the names that requests may use, and may be reloaded.
    /// `readiness` is what the health check tells.
    pub fn new(
        exchange: Rc<Exchange<Upstream>>,
        tables: Rc<RefCell<RequestTables>>,
        readiness: Readiness,
    ) -> PlatformFront {
        PlatformFront {
            exchange,
            tables,
            readiness,
            open_transactions: OpenTransactions::default(),
        }
    }

    /// Counts a response in the metrics of its class, where the class is known.
    fn count_answer(&self, class: Option<&str>, status: StatusCode) {
        let tables = self.tables.borrow();
        let class = class.and_then(|name| tables.class_index(name));
        if let Some(metrics) = class.and_then(|class| tables.class_metrics(class)) {
            metrics.count_answer(status.as_u16());
        }
    }

    /// Submits a request to the exchange.
    ///
    /// # Errors
    /// The response to a request that is malformed, or whose transaction is already open.
    async fn forward(&self, request: ReceivedRequest) -> Result<Reply, Reply> {
        let (head, body) = request.into_parts();
        let body = body.map_err(|status| plain(status, "the request is not taken"))?;
        let parsed = self.tables.borrow().parse(&head.method, &head.headers);
        let parsed = parsed.map_err(|error| plain(StatusCode::BAD_REQUEST, error.to_string()))?;
        if head.method == Method::GET && !body.is_empty() {
            return Err(plain(StatusCode::BAD_REQUEST, "a read has no body"));
        }
        let _transaction = self
            .open_transactions
            .open(parsed.transaction_id)
            .ok_or_else(|| plain(StatusCode::CONFLICT, "X-Txn names a request that is open"))?;
        let payload = self.payload(head, body, parsed.request.class);
        let response = self.exchange.submit(parsed.request, payload).await;
        Ok(into_reply(response))
    }

    /// What the chunk server gets of a request.
    fn payload(&self, mut head: Parts, body: Bytes, class: usize) -> Payload {
        let id = head.headers.get(TRANSACTION_ID).cloned();
        Payload {
            transaction_id: id.unwrap_or(HeaderValue::from_static("")),
            headers: forwarded_headers(&head.headers),
            body,
            accepted_responses: AcceptedResponses::OkOnly,
            metrics: self.tables.borrow().class_metrics(class).cloned(),
            reservation: head.extensions.remove::<Arc<BodyReservation>>(),
            method: head.method,
            target: head.uri,
        }
    }
}

/// The response to the client by the exchange's final answer.
fn into_reply(response: FinalResponse<Answer>) -> Reply {
    match response {
        FinalResponse::Served(Answer {
            streamed: Some(rest),
            ..
        }) => stream_response(rest),
        FinalResponse::Served(answer) => Response::new(Either::Left(Full::new(answer.body))),
        FinalResponse::Rejected(retry_after) => rejected(retry_after),
        FinalResponse::Failed => plain(StatusCode::BAD_GATEWAY, "failed"),
    }
}

/// The headers of a client's request that the chunk server gets.
fn forwarded_headers(headers: &HeaderMap) -> HeaderMap {
    let mut forwarded = HeaderMap::new();
    for name in FORWARDED_HEADERS {
        for value in headers.get_all(&name) {
            forwarded.append(name.clone(), value.clone());
        }
    }
    forwarded
}
