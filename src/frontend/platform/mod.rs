//! The platform's front: turns requests of the platform's protocol into requests to the exchange,
//! and its answers into responses.

mod request_parser;
mod request_tables;
mod streaming;

use std::cell::RefCell;
use std::collections::HashSet;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use http_body_util::{Either, Full};
use hyper::header::{HeaderMap, HeaderName, HeaderValue, COOKIE};
use hyper::{Method, Response, StatusCode};

use self::request_parser::single_value;
use self::streaming::stream_response;
use super::listener::{Handler, ReceivedRequest};
use super::replies::{health_check, plain, rejected, Reply};
use crate::body_budget::BodyReservation;
use crate::control::readiness::Readiness;
use crate::exchange::{Exchange, FinalResponse};
use crate::upstream::{Accepts, Answer, Payload, Upstream};

pub use self::request_tables::{ReloadedSettings, RequestClass, RequestTables};

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
    tables: Rc<RefCell<RequestTables>>,
    readiness: Readiness,
    /// Transaction ids of the requests that are being answered.
    open_transactions: RefCell<HashSet<u64>>,
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
            open_transactions: RefCell::default(),
        }
    }

    /// Counts a response in the metrics of its class, where the class is known.
    fn count_answer(&self, class: Option<&str>, status: StatusCode) {
        let tables = self.tables.borrow();
        let class = class.and_then(|name| tables.classes.find(name));
        if let Some(metrics) = class.and_then(|class| tables.metrics.get(class)) {
            metrics.count_answer(status.as_u16());
        }
    }

    /// Submits a request to the exchange.
    ///
    /// # Errors
    /// The response to a request that is malformed, or whose transaction is already open.
    async fn forward(&self, request: ReceivedRequest) -> Result<Reply, Reply> {
        let (mut head, body) = request.into_parts();
        let body = body.map_err(|status| plain(status, "the request is not taken"))?;
        let reservation = head.extensions.remove::<Arc<BodyReservation>>();
        let parsed = self.tables.borrow().parse(&head.method, &head.headers);
        let parsed = parsed.map_err(|error| plain(StatusCode::BAD_REQUEST, error.to_string()))?;
        if head.method == Method::GET && !body.is_empty() {
            return Err(plain(StatusCode::BAD_REQUEST, "a read has no body"));
        }
        let _open = OpenTransaction::insert(&self.open_transactions, parsed.transaction_id)
            .ok_or_else(|| plain(StatusCode::CONFLICT, "X-Txn names a request that is open"))?;
        let id = head
            .headers
            .get(TRANSACTION_ID)
            .cloned()
            .unwrap_or(HeaderValue::from_static(""));
        let payload = Payload {
            method: head.method,
            target: head.uri,
            id,
            headers: forwarded_headers(&head.headers),
            body,
            accepts: Accepts::Served,
            metrics: self
                .tables
                .borrow()
                .metrics
                .get(parsed.request.class)
                .cloned(),
            reservation,
        };
        Ok(match self.exchange.submit(parsed.request, payload).await {
            FinalResponse::Served(Answer {
                streamed: Some(rest),
                ..
            }) => stream_response(rest),
            FinalResponse::Served(answer) => Response::new(Either::Left(Full::new(answer.body))),
            FinalResponse::Rejected(retry_after) => rejected(retry_after),
            FinalResponse::Failed => plain(StatusCode::BAD_GATEWAY, "failed"),
        })
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

/// Keeps a transaction id in the set of open ones until it is dropped.
struct OpenTransaction<'a> {
    open: &'a RefCell<HashSet<u64>>,
    id: u64,
}

impl OpenTransaction<'_> {
    /// Opens a transaction; `None` where it is open already, since two requests with one id cannot
    /// be distinguished.
    fn insert(open: &RefCell<HashSet<u64>>, id: u64) -> Option<OpenTransaction<'_>> {
        let inserted = open.borrow_mut().insert(id);
        inserted.then(|| OpenTransaction { open, id })
    }
}

impl Drop for OpenTransaction<'_> {
    fn drop(&mut self) {
        self.open.borrow_mut().remove(&self.id);
    }
}
