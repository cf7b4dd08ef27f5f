//! The front for the platform's protocol: converts HTTP requests into requests to the exchange, and
//! the exchange's answers into HTTP responses.

mod request_parser;
mod request_tables;
mod shared_ids;
mod streaming;
mod transactions;
mod used_ids;

use std::cell::RefCell;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{Either, Full};
use hyper::header::{HeaderMap, HeaderName, HeaderValue, COOKIE};
use hyper::http::request::Parts;
use hyper::{Method, Response, StatusCode};
use tulipbridge_core::Semantics;

use self::request_parser::single_value;
use self::streaming::stream_response;
use self::transactions::{IdReuse, Transactions};
use super::listener::{Handler, ReceivedRequest};
use super::replies::{health_check, plain, rejected, Reply};
use crate::body_budget::BodyReservation;
use crate::control::readiness::Readiness;
use crate::exchange::{Exchange, FinalResponse};
use crate::upstream::{AcceptedResponses, Answer, Payload, Upstream};

pub use self::request_tables::{ReloadedSettings, RequestTables};
pub use self::shared_ids::SharedIds;

/// Header with the transaction id of a request, 16 hexadecimal digits.
const TRANSACTION_ID_HEADER: &str = "x-txn";
/// Header with the name of a request's class.
const CLASS_HEADER: &str = "x-lane";

/// Headers that are forwarded to the chunk server in addition to the transaction id. The cookie
/// identifies the block, and the idempotency key the operation, so that the server recognises a
/// repeated request.
const FORWARDED_HEADERS: [HeaderName; 2] = [COOKIE, HeaderName::from_static("idempotency-key")];

/// The [`Handler`] for the platform's protocol.
pub struct PlatformFront {
    exchange: Rc<Exchange<Upstream>>,
    /// Changed by a reload of the configuration, so it is borrowed only for single statements.
    tables: Rc<RefCell<RequestTables>>,
    readiness: Readiness,
    transactions: Transactions,
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
        let class = single_value(request.headers(), CLASS_HEADER).map(str::to_owned);
        let reply = self
            .forward(request)
            .await
            .unwrap_or_else(|rejection| rejection);
        self.count_answer(class.as_deref(), reply.status());
        reply
    }
}

impl PlatformFront {
    /// Creates a front that submits its requests to `exchange`. `tables` contains the names that
    /// requests may use, and may change at a reload. `readiness` determines the answer to the
    /// readiness check. `shared_ids` are the transaction ids of other processes of the front.
    pub fn new(
        exchange: Rc<Exchange<Upstream>>,
        tables: Rc<RefCell<RequestTables>>,
        readiness: Readiness,
        shared_ids: Option<SharedIds>,
    ) -> PlatformFront {
        PlatformFront {
            exchange,
            tables,
            readiness,
            transactions: Transactions::new(shared_ids),
        }
    }

    /// Counts a response in the metrics of the request's class, where the class is known.
    fn count_answer(&self, class: Option<&str>, status: StatusCode) {
        let tables = self.tables.borrow();
        let class = class.and_then(|name| tables.class_index(name));
        if let Some(metrics) = class.and_then(|class| tables.class_metrics(class)) {
            metrics.count_answer(status.as_u16());
        }
    }

    /// Submits a request to the exchange and returns the response to the client.
    ///
    /// # Errors
    /// Returns the response to a request that is malformed, or whose transaction id is in use by
    /// another open request, or was by one that must not run again.
    async fn forward(&self, request: ReceivedRequest) -> Result<Reply, Reply> {
        let (head, body) = request.into_parts();
        let body = body.map_err(|status| plain(status, "the request is not taken"))?;
        let parsed = self.tables.borrow().parse(&head.method, &head.headers);
        let parsed = parsed.map_err(|error| plain(StatusCode::BAD_REQUEST, error.to_string()))?;
        if head.method == Method::GET && !body.is_empty() {
            return Err(plain(StatusCode::BAD_REQUEST, "a read has no body"));
        }
        let class = parsed.request.class;
        let mut transaction = self
            .transactions
            .open(parsed.transaction_id, self.id_reuse(class))
            .ok_or_else(|| plain(StatusCode::CONFLICT, "X-Txn names another request"))?;
        let payload = self.build_payload(head, body, class);
        let response = self.exchange.submit(parsed.request, payload).await;
        if matches!(response, FinalResponse::Rejected(_)) {
            transaction.rejected();
        }
        Ok(into_reply(response))
    }

    /// Returns whether another request may have the id of one of this class.
    fn id_reuse(&self, class: usize) -> IdReuse {
        let may_be_repeated = self.exchange.with_settings(|settings| {
            let class = settings.classes.get(class);
            class.is_some_and(|class| class.semantics == Semantics::Idempotent)
        });
        if may_be_repeated {
            IdReuse::AfterEnd
        } else {
            IdReuse::AfterRejection
        }
    }

    /// Builds the request to the chunk server from a client's request.
    fn build_payload(&self, mut head: Parts, body: Bytes, class: usize) -> Payload {
        let id = head.headers.get(TRANSACTION_ID_HEADER).cloned();
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

/// Converts the exchange's final answer into the response to the client.
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

/// Returns the headers of a client's request that are forwarded to the chunk server.
fn forwarded_headers(headers: &HeaderMap) -> HeaderMap {
    let mut forwarded = HeaderMap::new();
    for name in FORWARDED_HEADERS {
        for value in headers.get_all(&name) {
            forwarded.append(name.clone(), value.clone());
        }
    }
    forwarded
}
