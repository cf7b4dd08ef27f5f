//! The accept loop of a front: admission and eviction of client connections, and graceful shutdown.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::future::Future;
use std::io::{self, ErrorKind};
use std::os::fd::AsRawFd;
use std::pin::pin;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use hyper::{Request, StatusCode};
use nix::errno::Errno;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::yield_now;
use tokio::time::{sleep, timeout, Instant};
use tulipbridge_core::client_connection::Phase;
use tulipbridge_core::connection_limiter::{Accept, ConnectionLimiter, EvictionAttempt};
use tulipbridge_core::graceful_shutdown::{GracefulShutdown, ShutdownEvent, ShutdownStep};
use tulipbridge_core::Nanos;

use super::body::MAX_REQUEST_BODY;
use super::client_state::ClientState;
use super::replies::Reply;
use crate::body_budget::BodyBudget;
use crate::telemetry::log::log;

/// Connections above the limit that are accepted at a time to be answered with a rejection; others
/// wait in the kernel's queue.
const REJECTION_SLOTS: usize = 16;
/// How often connections are checked for timeouts.
const TIMEOUT_POLL: Duration = Duration::from_millis(100);
/// How long the accept loop waits where no connection can be evicted.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(5);
/// How long the accept loop waits after an error of `accept`.
const ACCEPT_ERROR_DELAY: Duration = Duration::from_millis(10);
/// How many errors of `accept` the end of the listening socket waits out: with the pause after
/// those of resources, no more than a tenth of the time that a shutdown has.
const MAX_BACKLOG_ERRORS: usize = 64;
/// The shortest time between two log lines about the connection limit.
const FULL_LOG_INTERVAL: Duration = Duration::from_secs(1);
/// Size of the buffer that data of closing connections is discarded into.
const DISCARD_BUFFER_BYTES: usize = 64 * 1024;

/// A request with its complete body, or the status that the body was refused with.
pub type ReceivedRequest = Request<Result<Bytes, StatusCode>>;

/// State of a listener that is shared with the admin console.
#[derive(Clone, Default)]
pub struct ListenerState {
    /// Whether clients are accepted: from the start until SIGTERM.
    pub accepting: Rc<Cell<bool>>,
    /// Requests received whose responses are not complete.
    pub active_requests: Rc<Cell<usize>>,
    /// Memory for request bodies; `None` allows one body of the largest size.
    pub body_budget: Option<Arc<BodyBudget>>,
}

/// Answers the requests that a listener receives.
pub trait Handler: 'static {
    /// The response to a request. `shutting_down` is set once the listener has stopped accepting.
    fn answer(&self, request: ReceivedRequest, shutting_down: bool) -> impl Future<Output = Reply>;

    /// The listener shuts down: every request, received or still to come, must be answered `within`
    /// this time.
    fn begin_shutdown(&self, _within: Duration) {}

    /// The longest deadline of any request.
    fn longest_deadline(&self) -> Duration;
}

/// Key of a connection in the table of its listener.
type ConnectionId = u64;

/// Accepts client connections and passes their requests to a [`Handler`].
pub struct Listener<H> {
    pub(super) handler: H,
    limiter: ConnectionLimiter,
    /// Origin of the times given to the state machines.
    epoch: Instant,
    clients: RefCell<HashMap<ConnectionId, Rc<ClientState>>>,
    next_connection: Cell<ConnectionId>,
    full_logged_at: Cell<Option<Instant>>,
    pub(super) active_requests: Rc<Cell<usize>>,
    accepting: Rc<Cell<bool>>,
    pub(super) shutting_down: watch::Sender<bool>,
    pub(super) discard_buffer: RefCell<Vec<u8>>,
    pub(super) body_budget: Arc<BodyBudget>,
}

impl<H: Handler> Listener<H> {
    /// A listener that keeps at most `max_connections` connections and publishes its state in
    /// `state`.
    pub fn new(handler: H, max_connections: usize, state: ListenerState) -> Rc<Listener<H>> {
        Rc::new(Listener {
            handler,
            limiter: ConnectionLimiter::new(max_connections, REJECTION_SLOTS),
            epoch: Instant::now(),
            clients: RefCell::default(),
            next_connection: Cell::new(0),
            full_logged_at: Cell::new(None),
            active_requests: state.active_requests,
            accepting: state.accepting,
            shutting_down: watch::Sender::new(false),
            discard_buffer: RefCell::new(vec![0; DISCARD_BUFFER_BYTES]),
            body_budget: state
                .body_budget
                .unwrap_or_else(|| BodyBudget::new(MAX_REQUEST_BODY)),
        })
    }

    /// Serves until `shutdown_signal` completes, then returns once every received request has been
    /// answered. Must be called inside a tokio `LocalSet`.
    pub async fn serve(
        self: &Rc<Self>,
        listener: TcpListener,
        shutdown_signal: impl Future<Output = ()>,
    ) {
        self.accepting.set(true);
        tokio::select! {
            () = self.accept_forever(&listener) => {}
            () = self.close_timed_out() => {}
            () = shutdown_signal => {}
        }
        self.accepting.set(false);
        self.shut_down(listener).await;
    }

    /// Carries out the steps of a graceful shutdown.
    async fn shut_down(self: &Rc<Self>, listener: TcpListener) {
        let started = self.now();
        let longest_deadline = self.handler.longest_deadline().as_nanos() as Nanos;
        let mut shutdown = GracefulShutdown::new(started, longest_deadline);
        let mut step = shutdown.first_step();
        self.handler
            .begin_shutdown(duration(shutdown.answer_deadline() - started));
        loop {
            step = match step {
                ShutdownStep::Accept(within) => {
                    let accepted = timeout(duration(within), self.accept_one(&listener)).await;
                    let event = match accepted {
                        Ok(()) => ShutdownEvent::Accepted,
                        Err(_) => ShutdownEvent::AcceptTimedOut,
                    };
                    shutdown.on(self.now(), event)
                }
                ShutdownStep::StopAccepting => break,
                ShutdownStep::Wait(_) | ShutdownStep::Exit => return,
            };
        }
        self.accept_backlog(listener).await;
        self.shutting_down.send_replace(true);
        self.wait_for_pending_work(&mut shutdown).await;
    }

    /// Returns once the state machine of the shutdown finds that nothing is pending, or gives up.
    async fn wait_for_pending_work(&self, shutdown: &mut GracefulShutdown) {
        loop {
            let pending = self
                .clients
                .borrow()
                .values()
                .filter(|client| client.has_pending_work())
                .count();
            let poll = ShutdownEvent::Poll {
                connections: self.connection_count(),
                busy: pending.max(self.active_requests.get()),
            };
            match shutdown.on(self.now(), poll) {
                ShutdownStep::Wait(time) => sleep(duration(time)).await,
                ShutdownStep::Exit | ShutdownStep::Accept(_) | ShutdownStep::StopAccepting => {
                    return
                }
            }
        }
    }

    /// Time since the epoch of this listener.
    fn now(&self) -> Nanos {
        self.epoch.elapsed().as_nanos() as Nanos
    }

    fn connection_count(&self) -> usize {
        self.clients.borrow().len()
    }

    async fn accept_forever(self: &Rc<Self>, listener: &TcpListener) {
        loop {
            self.accept_one(listener).await;
        }
    }

    /// Accepts every connection in the kernel's queue and closes the listening socket. The kernel
    /// is queried directly until the queue is empty: the runtime learns of a connection later, and
    /// one left in the queue would be reset. An error of `accept` concerns one connection, or a
    /// resource that another one is about to free.
    async fn accept_backlog(self: &Rc<Self>, listener: TcpListener) {
        let Ok(listener) = listener.into_std() else {
            return;
        };
        let mut errors_left = MAX_BACKLOG_ERRORS;
        while errors_left > 0 {
            match listener.accept() {
                Ok((stream, _)) => {
                    let stream = stream
                        .set_nonblocking(true)
                        .and_then(|()| TcpStream::from_std(stream));
                    if let Ok(stream) = stream {
                        self.spawn_connection(stream);
                    }
                }
                Err(why) if why.kind() == ErrorKind::WouldBlock => return,
                Err(why) => {
                    errors_left -= 1;
                    if is_out_of_resources(&why) {
                        sleep(ACCEPT_RETRY_DELAY).await;
                    }
                }
            }
        }
        log!("cannot accept: the socket closes with connections in its queue");
    }

    async fn accept_one(self: &Rc<Self>, listener: &TcpListener) {
        self.ensure_capacity().await;
        match listener.accept().await {
            Ok((stream, _)) => self.spawn_connection(stream),
            // Waiting lets other connections close. Any other error is over with this call.
            Err(why) => {
                log!("cannot accept: {why}");
                if is_out_of_resources(&why) {
                    sleep(ACCEPT_ERROR_DELAY).await;
                } else {
                    yield_now().await;
                }
            }
        }
    }

    /// Returns once the limiter admits another connection, evicting one where it requires that.
    async fn ensure_capacity(&self) {
        let mut eviction = None;
        loop {
            let step = self.limiter.accept(self.connection_count(), eviction);
            match step {
                Accept::Now => return,
                Accept::EvictIdle => {
                    let evicted = self.evict(true);
                    eviction = Some(EvictionAttempt { step, evicted });
                }
                Accept::EvictAny => {
                    let evicted = self.evict(false);
                    eviction = Some(EvictionAttempt { step, evicted });
                }
                Accept::Wait => {
                    sleep(ACCEPT_RETRY_DELAY).await;
                    eviction = None;
                }
            }
        }
    }

    /// Registers an accepted connection and serves it in a new task.
    fn spawn_connection(self: &Rc<Self>, stream: TcpStream) {
        let client = ClientState::new(stream.as_raw_fd(), self.epoch);
        let id = self.next_connection.get();
        self.next_connection.set(id + 1);
        let full = self.limiter.is_full(self.connection_count());
        if full {
            self.log_full();
        }
        self.clients.borrow_mut().insert(id, Rc::clone(&client));
        let listener = Rc::clone(self);
        tokio::task::spawn_local(async move {
            listener
                .serve_until_evicted(id, stream, &client, full)
                .await;
            listener.clients.borrow_mut().remove(&id);
        });
    }

    /// Serves a connection until it ends, or is evicted while nothing is under way on it.
    async fn serve_until_evicted(
        self: &Rc<Self>,
        id: ConnectionId,
        stream: TcpStream,
        client: &Rc<ClientState>,
        full: bool,
    ) {
        let mut connection = pin!(self.serve_connection(stream, client, full));
        loop {
            tokio::select! {
                biased;
                () = client.evicted.notified() => {
                    if client.may_close_now() {
                        return;
                    }
                    // Data has arrived since the eviction, so the connection is registered again.
                    self.clients.borrow_mut().entry(id).or_insert_with(|| Rc::clone(client));
                }
                () = connection.as_mut() => return,
            }
        }
    }

    /// Evicts the connection that the limiter can best spare. Returns whether there was one.
    fn evict(&self, idle_only: bool) -> bool {
        let mut clients = self.clients.borrow_mut();
        let connections = clients
            .iter()
            .map(|(id, client)| (*id, client.connection()));
        let is_busy = |id| clients[&id].is_busy();
        let candidate =
            self.limiter
                .eviction_candidate(self.now(), idle_only, connections, is_busy);
        let Some(client) = candidate.and_then(|id| clients.remove(&id)) else {
            return false;
        };
        client.evicted.notify_one();
        true
    }

    /// Logs the phases of all connections, at most once in [`FULL_LOG_INTERVAL`].
    fn log_full(&self) {
        let now = Instant::now();
        if self
            .full_logged_at
            .get()
            .is_some_and(|logged| now - logged < FULL_LOG_INTERVAL)
        {
            return;
        }
        self.full_logged_at.set(Some(now));
        let mut counts: Vec<(Phase, usize)> = Vec::new();
        for phase in self.clients.borrow().values().map(|client| client.phase()) {
            match counts.iter_mut().find(|(counted, _)| *counted == phase) {
                Some((_, count)) => *count += 1,
                None => counts.push((phase, 1)),
            }
        }
        log!("no place for another client: {counts:?}");
    }

    /// Evicts connections whose timeouts have passed, for ever.
    async fn close_timed_out(&self) {
        loop {
            sleep(TIMEOUT_POLL).await;
            let now = self.now();
            let scarce = self.limiter.is_scarce(self.connection_count());
            for client in self.clients.borrow().values() {
                if client
                    .connection()
                    .has_timed_out(now, scarce, || client.is_busy())
                {
                    client.evicted.notify_one();
                }
            }
        }
    }
}

/// Whether `accept` failed for want of descriptors or memory, which other connections hold.
fn is_out_of_resources(error: &io::Error) -> bool {
    let code = error.raw_os_error().map(Errno::from_raw);
    matches!(
        code,
        Some(Errno::EMFILE | Errno::ENFILE | Errno::ENOBUFS | Errno::ENOMEM)
    )
}

fn duration(time: Nanos) -> Duration {
    Duration::from_nanos(time.max(0) as u64)
}
