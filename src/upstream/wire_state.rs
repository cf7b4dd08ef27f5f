//! Records what has been written to and read from a connection to a chunk server.
//!
//! Whether a request may have been executed depends on whether its last byte was written, which
//! hyper's errors do not show.

use std::cell::{Cell, RefCell};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::time::Duration;

use tokio::sync::Notify;
use tokio::task::yield_now;
use tokio::time::{sleep_until, Instant};
use tulipbridge_core::response_progress::{ResponseDeadlines, ResponseProgress};
use tulipbridge_core::send_permission::SendDenied;
use tulipbridge_core::server_connection::{ConnectionEvent, Execution, ServerConnection};
use tulipbridge_core::Nanos;

use crate::exchange::{AttemptContext, Withdrawal};
use crate::socket_io::has_unread_bytes;
use crate::telemetry::metrics::ClassMetrics;

/// The bytes that end the head of a request.
const HEAD_END: &[u8; 4] = b"\r\n\r\n";

/// Times since the connection was opened.
struct WireClock {
    opened_at: Instant,
}

impl Default for WireClock {
    fn default() -> WireClock {
        WireClock {
            opened_at: Instant::now(),
        }
    }
}

impl WireClock {
    fn now(&self) -> Nanos {
        self.opened_at.elapsed().as_nanos() as Nanos
    }

    fn nanos(&self, instant: std::time::Instant) -> Nanos {
        let elapsed = Instant::from_std(instant).saturating_duration_since(self.opened_at);
        Nanos::try_from(elapsed.as_nanos()).unwrap_or(Nanos::MAX)
    }

    fn instant(&self, time: Nanos) -> Instant {
        self.opened_at + Duration::from_nanos(time.max(0) as u64)
    }
}

/// The traffic of one connection, shared by its socket and its handle in the pool.
#[derive(Default)]
pub struct WireState {
    connection: Cell<ServerConnection>,
    /// Number of bytes of [`HEAD_END`] that the last bytes written match.
    head_end_matched: Cell<usize>,
    /// Number of bytes of the request body that are not written yet.
    unwritten_body_bytes: Cell<usize>,
    /// Responses expected or started on this connection, informational (1xx) ones included.
    responses_started: Arc<AtomicU64>,
    /// Value of `responses_started` when bytes were last read.
    last_response_seen: Cell<u64>,
    /// The progress of the latest response that has started.
    progress: Cell<ResponseProgress>,
    /// The deadlines of the present attempt.
    deadlines: Cell<ResponseDeadlines>,
    clock: WireClock,
    /// Notified at the first byte of each response.
    response_started: Notify,
    /// Counts the present request when its last byte is written, and is taken then.
    metrics: RefCell<Option<ClassMetrics>>,
    /// Tells whether the present request has been withdrawn.
    withdrawal: RefCell<Option<Withdrawal>>,
}

impl WireState {
    /// Passes an event to the connection's state machine.
    pub fn on(&self, event: ConnectionEvent) {
        let mut connection = self.connection.get();
        connection.on(event);
        self.connection.set(connection);
    }

    /// Returns a copy of the connection's state machine.
    pub fn connection(&self) -> ServerConnection {
        self.connection.get()
    }

    /// Returns what would be known about the execution of the present request if the connection
    /// broke now.
    pub fn execution(&self) -> Execution {
        self.connection.get().execution()
    }

    /// Starts a request with a body of `body_length` bytes.
    pub fn begin_request(
        &self,
        body_length: usize,
        metrics: Option<ClassMetrics>,
        context: &AttemptContext,
    ) {
        self.deadlines.set(ResponseDeadlines {
            attempt: self.clock.nanos(context.deadline),
            client: self.clock.nanos(context.client_deadline),
        });
        *self.metrics.borrow_mut() = metrics;
        *self.withdrawal.borrow_mut() = Some(context.withdrawal.clone());
        self.on(ConnectionEvent::RequestAssigned);
        self.head_end_matched.set(0);
        self.unwritten_body_bytes.set(body_length);
        self.responses_started.fetch_add(1, Ordering::Relaxed);
    }

    /// Returns the counter to increment at each informational (1xx) response. It is atomic because
    /// hyper requires a callback that is `Send`.
    pub(super) fn response_counter(&self) -> Arc<AtomicU64> {
        Arc::clone(&self.responses_started)
    }

    /// Records that `count` bytes, or the end of the stream, have been read from the socket.
    pub(super) fn bytes_received(&self, count: usize) {
        self.on(ConnectionEvent::BytesReceived);
        let response = self.responses_started.load(Ordering::Relaxed);
        let now = self.clock.now();
        if self.last_response_seen.replace(response) != response {
            self.progress
                .set(ResponseProgress::new(now, self.deadlines.get()));
            self.response_started.notify_one();
        }
        let mut progress = self.progress.get();
        progress.bytes_read(now, count);
        self.progress.set(progress);
    }

    /// Returns the time since the connection was opened.
    pub(super) fn now(&self) -> Nanos {
        self.clock.now()
    }

    /// Converts a time since the connection was opened.
    pub(super) fn instant(&self, time: Nanos) -> std::time::Instant {
        self.clock.instant(time).into_std()
    }

    /// Returns the progress of the latest response.
    pub(super) fn progress(&self) -> ResponseProgress {
        self.progress.get()
    }

    /// Sleeps until a time since the connection was opened.
    pub(super) async fn sleep_until(&self, time: Nanos) {
        sleep_until(self.clock.instant(time)).await;
        // If this process itself was paused, data that arrived meanwhile is read first.
        yield_now().await;
    }

    /// Waits until a response has started and returns its number.
    pub(super) async fn response_started(&self) -> u64 {
        self.response_started.notified().await;
        self.last_response_seen.get()
    }

    /// Returns whether `response` is still the number of the latest response.
    pub(super) fn is_current_response(&self, response: u64) -> bool {
        self.responses_started.load(Ordering::Relaxed) == response
    }

    /// Returns whether bytes of the present request may be written to `socket`. A withdrawn request
    /// is not started. The socket is checked first: bytes that wait there cannot be the response to
    /// a request that is not written yet, and if the server has closed the connection, no part of
    /// the request is risked on it.
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

    /// Records that the socket has accepted `bytes`.
    pub(super) fn bytes_written(&self, bytes: &[u8]) {
        if bytes.is_empty() {
            return;
        }
        let head_bytes = self.match_head_end(bytes);
        let body_bytes = bytes.len() - head_bytes;
        self.unwritten_body_bytes
            .set(self.unwritten_body_bytes.get().saturating_sub(body_bytes));
        let head_complete = self.head_end_matched.get() == HEAD_END.len();
        let last = head_complete && self.unwritten_body_bytes.get() == 0;
        if last {
            if let Some(metrics) = self.metrics.borrow_mut().take() {
                metrics.count_send();
            }
        }
        self.on(ConnectionEvent::BytesWritten { last });
    }

    /// Searches `bytes` for the end of the head. Returns how many of them belong to the head.
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
