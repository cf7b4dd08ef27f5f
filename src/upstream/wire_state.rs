//! What has been written to and read from a connection to a chunk server. The errors of hyper do
//! not show whether the last byte of a request was written, which decides whether the request may
//! have been executed.

use std::cell::{Cell, RefCell};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::time::Duration;

use tokio::sync::Notify;
use tokio::task::yield_now;
use tokio::time::sleep;
use tulipbridge_core::send_permission::SendDenied;
use tulipbridge_core::server_connection::{ConnectionEvent, Execution, ServerConnection};

use crate::exchange::Withdrawal;
use crate::socket_io::has_unread_bytes;
use crate::telemetry::metrics::ClassMetrics;

/// The longest time from the first byte of a response to its last. A server has a response complete
/// before it sends it; waiting longer for the rest would leave no time for another attempt. It is
/// shorter than the silence after which the decision module suspects the server, which this is not.
const STALL_TIMEOUT: Duration = Duration::from_millis(100);
const HEAD_END: &[u8; 4] = b"\r\n\r\n";

/// State of one connection, shared by its socket and the attempt on it.
#[derive(Default)]
pub struct WireState {
    connection: Cell<ServerConnection>,
    /// How many bytes of [`HEAD_END`] the bytes written last match.
    head_end_matched: Cell<usize>,
    /// Bytes of the request body that are not written yet.
    body_left: Cell<usize>,
    /// Responses expected or started on this connection, informational (1xx) ones included.
    responses_started: Arc<AtomicU64>,
    /// Value of `responses_started` when a byte was read last.
    last_response_seen: Cell<u64>,
    /// Notified at the first byte of each response.
    response_started: Notify,
    /// Counts the present request once its last byte is written.
    metrics: RefCell<Option<ClassMetrics>>,
    /// Whether the current request has been withdrawn.
    withdrawal: RefCell<Option<Withdrawal>>,
}

impl WireState {
    /// Feeds an event to the state machine.
    pub fn on(&self, event: ConnectionEvent) {
        let mut connection = self.connection.get();
        connection.on(event);
        self.connection.set(connection);
    }

    /// A copy of the connection's state machine.
    pub fn connection(&self) -> ServerConnection {
        self.connection.get()
    }

    /// Whether the present request may have been executed, should the connection break now.
    pub fn execution(&self) -> Execution {
        self.connection.get().execution()
    }

    /// Starts a request whose body has `body_length` bytes.
    pub fn begin_request(
        &self,
        body_length: usize,
        metrics: Option<ClassMetrics>,
        withdrawal: Withdrawal,
    ) {
        *self.metrics.borrow_mut() = metrics;
        *self.withdrawal.borrow_mut() = Some(withdrawal);
        self.on(ConnectionEvent::RequestAssigned);
        self.head_end_matched.set(0);
        self.body_left.set(body_length);
        self.responses_started.fetch_add(1, Ordering::Relaxed);
    }

    /// The counter to increment at each informational (1xx) response. hyper calls back from a
    /// `Send` context.
    pub(super) fn response_counter(&self) -> Arc<AtomicU64> {
        Arc::clone(&self.responses_started)
    }

    /// Bytes have been read from the socket.
    pub(super) fn bytes_received(&self) {
        self.on(ConnectionEvent::BytesReceived);
        let response = self.responses_started.load(Ordering::Relaxed);
        if self.last_response_seen.replace(response) != response {
            self.response_started.notify_one();
        }
    }

    /// Returns when a response has started and is not complete within [`STALL_TIMEOUT`].
    pub(super) async fn stalled(&self) {
        loop {
            self.response_started.notified().await;
            let response = self.last_response_seen.get();
            if !self.is_current_response(response) {
                continue;
            }
            sleep(STALL_TIMEOUT).await;
            // Where this process itself was paused, data that has arrived meanwhile is read first.
            yield_now().await;
            if self.is_current_response(response) {
                return;
            }
        }
    }

    fn is_current_response(&self, response: u64) -> bool {
        self.responses_started.load(Ordering::Relaxed) == response
    }

    /// Whether bytes of the present request may be written to `socket`. A request that was
    /// withdrawn is not started. The socket is checked first: bytes that wait there cannot be the
    /// response to a request that is not written, and where the server has closed the connection,
    /// nothing of the request need be risked on it.
    pub(super) fn may_write(&self, socket: i32) -> bool {
        let mut connection = self.connection.get();
        let unread_bytes = has_unread_bytes(socket);
        let withdrawal = self.withdrawal.borrow();
        let denied = withdrawal
            .as_ref()
            .and_then(|withdrawal| withdrawal.check_send(unread_bytes).err());
        let withdrawn = denied.is_some_and(|denied| denied != SendDenied::UnreadBytes);
        let may_write = connection.may_write(unread_bytes, withdrawn);
        self.connection.set(connection);
        may_write
    }

    /// The socket has accepted `bytes`.
    pub(super) fn bytes_written(&self, bytes: &[u8]) {
        if bytes.is_empty() {
            return;
        }
        let head_bytes = self.match_head_end(bytes);
        let body_bytes = bytes.len() - head_bytes;
        self.body_left
            .set(self.body_left.get().saturating_sub(body_bytes));
        let head_complete = self.head_end_matched.get() == HEAD_END.len();
        let last = head_complete && self.body_left.get() == 0;
        if last {
            if let Some(metrics) = self.metrics.borrow_mut().take() {
                metrics.count_send();
            }
        }
        self.on(ConnectionEvent::BytesWritten { last });
    }

    /// Looks for the end of the head in `bytes`. Returns how many of them belong to the head.
    fn match_head_end(&self, bytes: &[u8]) -> usize {
        let mut matched = self.head_end_matched.get();
        let mut head_bytes = 0;
        while matched < HEAD_END.len() && head_bytes < bytes.len() {
            let byte = bytes[head_bytes];
            matched = if byte == HEAD_END[matched] {
                matched + 1
            } else {
                usize::from(byte == b'\r')
            };
            head_bytes += 1;
        }
        self.head_end_matched.set(matched);
        head_bytes
    }
}
