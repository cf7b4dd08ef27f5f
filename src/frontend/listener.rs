//! The accept loop of a front, and its graceful shutdown.

use std::future::Future;
use std::io::{self, ErrorKind};
use std::os::fd::AsRawFd;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use hyper::{Request, StatusCode};
use nix::errno::Errno;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::{spawn_local, yield_now};
use tokio::time::{sleep, timeout};
use tulipbridge_core::connection_limiter::{Accept, EvictionAttempt};
use tulipbridge_core::graceful_shutdown::{GracefulShutdown, ShutdownEvent, ShutdownStep};
use tulipbridge_core::Nanos;

use super::body::MAX_REQUEST_BODY;
use super::clock::{to_duration, ListenerClock};
use super::connection::ConnectionService;
use super::connection_table::{ConnectionTable, EvictionScope};
use super::listener_status::ListenerStatus;
use super::replies::Reply;
use crate::body_budget::BodyBudget;
use crate::telemetry::log::log;

/// Time between two checks of all connections for timeouts.
const TIMEOUT_POLL_INTERVAL: Duration = Duration::from_millis(100);
/// Delay of the accept loop while the connection limit is reached and no connection can be evicted,
/// and after an error for lack of resources while the backlog is emptied.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(5);
/// Delay of the accept loop after an `accept` error for lack of resources.
const ACCEPT_ERROR_DELAY: Duration = Duration::from_millis(10);
/// Maximum number of `accept` errors while the backlog is emptied. Even with the delay after each
/// error for lack of resources, they take at most a tenth of the time that a shutdown has.
const MAX_BACKLOG_ERRORS: usize = 64;

/// A request with its complete body, or with the status of the response where the body is rejected.
pub type ReceivedRequest = Request<Result<Bytes, StatusCode>>;

/// The resources that all clients of a listener may use together.
#[derive(Clone)]
pub struct ListenerLimits {
    /// Maximum number of open connections, including those that are only answered with a rejection.
    max_connections: usize,
    /// Memory for the request bodies that are buffered at the same time.
    body_budget: Arc<BodyBudget>,
}

impl ListenerLimits {
    /// Returns limits of `max_connections` connections and of the memory for one request body of
    /// the maximum size.
    pub fn new(max_connections: usize) -> ListenerLimits {
        ListenerLimits {
            max_connections,
            body_budget: BodyBudget::new(MAX_REQUEST_BODY),
        }
    }

    /// Replaces the memory for request bodies with `body_budget`.
    pub fn with_body_budget(self, body_budget: Arc<BodyBudget>) -> ListenerLimits {
        ListenerLimits {
            body_budget,
            ..self
        }
    }
}

/// Answers the requests that a listener receives.
pub trait Handler: 'static {
    /// Returns the response to a request. `shutting_down` is set once the listener has stopped
    /// accepting connections.
    fn answer(&self, request: ReceivedRequest, shutting_down: bool) -> impl Future<Output = Reply>;

    /// Called when the listener begins to shut down: every request, received or still to come, must
    /// be answered within this time.
    fn begin_shutdown(&self, _within: Duration) {}

    /// Returns the longest deadline that a request may have, which bounds the time of a shutdown.
    fn longest_deadline(&self) -> Duration;

    /// Returns the maximum length of a request body. A longer one is rejected as soon as its length
    /// is known, without being read.
    fn max_body_bytes(&self) -> usize {
        MAX_REQUEST_BODY
    }
}

/// Accepts client connections and passes their requests to a [`Handler`].
///
/// Each connection is served by its own task, which owns the connection's registration in the table
/// and ends with the connection. A shutdown waits for the tasks with pending work; the others end
/// with the `LocalSet` that they run on.
pub struct Listener<H> {
    clock: ListenerClock,
    connections: Rc<ConnectionTable>,
    service: Rc<ConnectionService<H>>,
    status: ListenerStatus,
}

impl<H: Handler> Listener<H> {
    /// Creates a listener that stays within `limits` and publishes its state in `status`.
    pub fn new(handler: H, limits: ListenerLimits, status: ListenerStatus) -> Listener<H> {
        let clock = ListenerClock::start();
        Listener {
            clock,
            connections: ConnectionTable::new(limits.max_connections, clock),
            service: ConnectionService::new(handler, status.clone(), limits.body_budget),
            status,
        }
    }

    /// Serves clients until `shutdown_signal` completes, then shuts down gracefully: returns once
    /// every received request is answered, or the time for the shutdown has passed and no response
    /// is under way. Must be called
    /// inside a tokio `LocalSet`.
    pub async fn serve(&self, socket: TcpListener, shutdown_signal: impl Future<Output = ()>) {
        self.status.set_accepting(true);
        tokio::select! {
            () = self.accept_forever(&socket) => {}
            () = self.evict_timed_out_forever() => {}
            () = shutdown_signal => {}
        }
        self.status.set_accepting(false);
        self.shut_down(socket).await;
    }

    /// Carries out the steps of a [`GracefulShutdown`].
    async fn shut_down(&self, socket: TcpListener) {
        let started = self.clock.now();
        let longest_deadline = self.service.handler().longest_deadline().as_nanos() as Nanos;
        let mut shutdown = GracefulShutdown::new(started, longest_deadline);
        let first_step = shutdown.first_step();
        let answer_within = to_duration(shutdown.answer_deadline() - started);
        self.service.handler().begin_shutdown(answer_within);
        let last_step = self
            .accept_late_clients(&socket, &mut shutdown, first_step)
            .await;
        if last_step != ShutdownStep::StopAccepting {
            return;
        }
        self.accept_backlog(socket).await;
        self.service.close_idle_connections();
        self.wait_for_pending_work(&mut shutdown).await;
    }

    /// Accepts connections for as long as the shutdown's steps, from `step` on, require it. Returns
    /// the first step of another kind.
    async fn accept_late_clients(
        &self,
        socket: &TcpListener,
        shutdown: &mut GracefulShutdown,
        mut step: ShutdownStep,
    ) -> ShutdownStep {
        while let ShutdownStep::Accept(within) = step {
            let event = match timeout(to_duration(within), self.accept_one(socket)).await {
                Ok(()) => ShutdownEvent::Accepted,
                Err(_) => ShutdownEvent::AcceptTimedOut,
            };
            step = shutdown.on(self.clock.now(), event);
        }
        step
    }

    /// Returns once the shutdown's state machine finds no pending work, or its time has passed.
    async fn wait_for_pending_work(&self, shutdown: &mut GracefulShutdown) {
        loop {
            let poll = ShutdownEvent::Poll {
                connections: self.connections.len(),
                busy: self
                    .connections
                    .pending_work()
                    .max(self.status.active_requests()),
                delivering: self.connections.delivering(),
            };
            match shutdown.on(self.clock.now(), poll) {
                ShutdownStep::Wait(time) => sleep(to_duration(time)).await,
                ShutdownStep::Exit | ShutdownStep::Accept(_) | ShutdownStep::StopAccepting => {
                    return
                }
            }
        }
    }

    /// Accepts connections until the future is dropped.
    async fn accept_forever(&self, socket: &TcpListener) {
        loop {
            self.accept_one(socket).await;
        }
    }

    /// Accepts every connection in the kernel's accept queue, then closes the listening socket.
    /// `accept` is called directly until the queue is empty, since the runtime learns of a
    /// connection later, and one left in the queue would be reset. After an error it is called
    /// again: the error concerns a single connection, or a resource that another connection is
    /// about to free.
    async fn accept_backlog(&self, socket: TcpListener) {
        let Ok(socket) = socket.into_std() else {
            return;
        };
        let mut errors_left = MAX_BACKLOG_ERRORS;
        while errors_left > 0 {
            match socket.accept() {
                Ok((stream, _)) => {
                    if let Ok(stream) = into_nonblocking(stream) {
                        self.spawn_connection(stream);
                    }
                }
                Err(error) if error.kind() == ErrorKind::WouldBlock => return,
                Err(error) => {
                    errors_left -= 1;
                    if is_out_of_resources(&error) {
                        sleep(ACCEPT_RETRY_DELAY).await;
                    }
                }
            }
        }
        log!("listener: accept queue: not emptied before closing: too many errors");
    }

    /// Accepts one connection as soon as there is capacity for it, or handles one `accept` error.
    async fn accept_one(&self, socket: &TcpListener) {
        self.ensure_capacity().await;
        match socket.accept().await {
            Ok((stream, _)) => self.spawn_connection(stream),
            // Other connections may close during the delay and free what is lacking. An error of
            // any other kind concerns this call alone.
            Err(error) => {
                log!("listener: accept failed: {error}");
                if is_out_of_resources(&error) {
                    sleep(ACCEPT_ERROR_DELAY).await;
                } else {
                    yield_now().await;
                }
            }
        }
    }

    /// Returns once the limiter admits another connection. Evicts a connection where the limiter
    /// requires it.
    async fn ensure_capacity(&self) {
        let mut previous = None;
        loop {
            let step = self.connections.next_step(previous);
            let scope = match step {
                Accept::Now => return,
                Accept::EvictIdle => EvictionScope::IdleOnly,
                Accept::EvictAny => EvictionScope::Any,
                Accept::Wait => {
                    sleep(ACCEPT_RETRY_DELAY).await;
                    previous = None;
                    continue;
                }
            };
            let evicted = self.connections.evict(scope);
            previous = Some(EvictionAttempt { step, evicted });
        }
    }

    /// Adds an accepted connection to the table and spawns the task that serves it.
    fn spawn_connection(&self, stream: TcpStream) {
        let registration = self.connections.register(stream.as_raw_fd());
        let service = Rc::clone(&self.service);
        spawn_local(async move {
            service.serve_until_evicted(stream, &registration).await;
        });
    }

    /// Periodically evicts the connections whose timeouts have passed, until the future is dropped.
    async fn evict_timed_out_forever(&self) {
        loop {
            sleep(TIMEOUT_POLL_INTERVAL).await;
            self.connections.evict_timed_out();
        }
    }
}

/// Makes a connection that was accepted without the runtime non-blocking and registers it with the
/// runtime.
fn into_nonblocking(stream: std::net::TcpStream) -> io::Result<TcpStream> {
    stream.set_nonblocking(true)?;
    TcpStream::from_std(stream)
}

/// Returns whether `accept` failed for lack of file descriptors or memory, which other connections
/// hold.
fn is_out_of_resources(error: &io::Error) -> bool {
    let code = error.raw_os_error().map(Errno::from_raw);
    matches!(
        code,
        Some(Errno::EMFILE | Errno::ENFILE | Errno::ENOBUFS | Errno::ENOMEM)
    )
}
