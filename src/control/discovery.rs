//! Follows discovery: calls it when [`DiscoveryWatch`] requires it, and passes the endpoint lists
//! of its messages on to the scheduler.

use std::future::Future;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::time::{Duration, UNIX_EPOCH};

use hyper::{Method, StatusCode};
use simd_json::OwnedValue as Value;
use tokio::sync::watch;
use tokio::task::yield_now;
use tokio::time::{sleep_until, Instant};
use tulipbridge_core::discovery_watch::{DiscoveryWatch, WatchEvent, WatchStep, CALL_TIMEOUT};
use tulipbridge_core::{Nanos, UpdateScope};

use crate::control::endpoint_list::{EndpointListError, EndpointListReader};
use crate::control::http_client::{call, CallResponse, CallTimeouts, HttpError};
use crate::control::json_stream::Message;
use crate::control::readiness::Readiness;
use crate::exchange::Exchange;
use crate::telemetry::log::log;
use crate::upstream::Upstream;

/// The longest time for a connection to discovery to open. The whole call is bounded by
/// [`CALL_TIMEOUT`].
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Why a watch cannot be opened or read.
#[derive(Debug, thiserror::Error)]
pub enum DiscoveryError {
    /// The call failed.
    #[error(transparent)]
    Http(#[from] HttpError),
    /// Discovery answered the call with an error.
    #[error("it answered {0}")]
    Status(StatusCode),
    /// A message is not JSON.
    #[error(transparent)]
    Syntax(simd_json::Error),
    /// A message is not an endpoint list.
    #[error(transparent)]
    EndpointList(#[from] EndpointListError),
}

impl DiscoveryError {
    /// Whether nothing came from discovery at all.
    fn is_silence(&self) -> bool {
        matches!(
            self,
            DiscoveryError::Http(HttpError::ConnectTimeout | HttpError::ResponseTimeout)
        )
    }
}

/// How far a front has followed discovery.
pub struct Discovery {
    /// The longest time until the first call, in nanoseconds.
    first_call: Nanos,
    /// This front's place, from 0 to 1, in the interval over which the fleet's calls are spread.
    phase: f64,
    reader: EndpointListReader,
    readiness: Readiness,
    /// The version of the endpoint list in use.
    generation: i64,
    /// The address whose versions [`Discovery::generation`] counts; until the first call none.
    list_source: Option<SocketAddr>,
}

impl Discovery {
    /// Nothing is followed yet. The first call goes out within `first_call` nanoseconds. `phase`,
    /// from 0 to 1, is this front's place in the interval over which the fleet's calls are spread.
    pub fn new(
        first_call: Nanos,
        phase: f64,
        reader: EndpointListReader,
        readiness: Readiness,
    ) -> Discovery {
        Discovery {
            first_call,
            phase,
            reader,
            readiness,
            generation: 0,
            list_source: None,
        }
    }

    /// Passes on the last known endpoint list, which may be old.
    ///
    /// # Errors
    /// The list is not in discovery's format.
    pub fn restore(
        &mut self,
        known: &Value,
        exchange: &Rc<Exchange<Upstream>>,
    ) -> Result<(), EndpointListError> {
        let update = self
            .reader
            .read(known, exchange.transport(), exchange.now())?;
        self.generation = update.generation;
        exchange.update_endpoints(UpdateScope::Restored, update.nodes);
        Ok(())
    }

    /// Follows discovery for as long as the program runs, wherever the configuration moves it.
    pub async fn follow(
        self,
        address: watch::Receiver<Option<SocketAddr>>,
        exchange: Rc<Exchange<Upstream>>,
    ) {
        let machine = DiscoveryWatch::new(0, self.first_call, self.phase);
        let started = Instant::now();
        let follower = Follower {
            discovery: self,
            address,
            exchange,
            machine,
            started,
            watch: None,
            opening: None,
            called_at: started,
        };
        follower.run().await;
    }

    /// Compares the clock of discovery, where a response tells it, with that of this front.
    fn record_time_of_discovery(&self, response: &CallResponse, now: Nanos) {
        let told = response
            .date
            .and_then(|date| date.duration_since(UNIX_EPOCH).ok());
        if let Some(told) = told {
            self.reader
                .start_times
                .borrow_mut()
                .discovery_time(now, told.as_nanos() as Nanos);
        }
    }

    /// Handles one message of the watch on `source`. One that cannot be read is logged and
    /// otherwise ignored.
    fn receive(&mut self, message: Message, source: SocketAddr, exchange: &Rc<Exchange<Upstream>>) {
        let now = exchange.now();
        let Message::Json(mut json) = message else {
            // Nothing has changed since the version that the watch was opened with.
            self.reader.start_times.borrow_mut().confirmed(now);
            self.readiness.list_confirmed();
            return;
        };
        let value = simd_json::to_owned_value(&mut json).map_err(DiscoveryError::Syntax);
        let update =
            value.and_then(|value| Ok(self.reader.read(&value, exchange.transport(), now)?));
        match update {
            Ok(update) => {
                self.reader.start_times.borrow_mut().confirmed(now);
                self.generation = update.generation;
                self.list_source = Some(source);
                exchange.update_endpoints(update.scope, update.nodes);
                self.readiness.list_confirmed();
            }
            Err(error) => log!("discovery: message rejected: {error}"),
        }
    }
}

/// A watch that discovery has accepted.
struct OpenWatch {
    source: SocketAddr,
    response: CallResponse,
}

/// A call that opens a watch.
type OpeningWatch = Pin<Box<dyn Future<Output = Result<OpenWatch, DiscoveryError>>>>;

/// A message of an open watch.
struct WatchMessage {
    source: SocketAddr,
    message: Message,
}

/// What a [`Follower`] waits for.
enum Activity {
    Message(Result<WatchMessage, DiscoveryError>),
    CallEnded(Result<OpenWatch, DiscoveryError>),
    Event(WatchEvent),
}

/// The task that carries out the decisions of [`DiscoveryWatch`].
struct Follower {
    discovery: Discovery,
    address: watch::Receiver<Option<SocketAddr>>,
    exchange: Rc<Exchange<Upstream>>,
    machine: DiscoveryWatch,
    started: Instant,
    watch: Option<OpenWatch>,
    opening: Option<OpeningWatch>,
    /// When the latest call was made.
    called_at: Instant,
}

impl Follower {
    async fn run(mut self) {
        loop {
            // Without discovery there is only the last known list, until a configuration names an
            // address.
            let Some(address) = *self.address.borrow() else {
                self.discovery.readiness.list_confirmed();
                if self.address.changed().await.is_err() {
                    return;
                }
                continue;
            };
            let activity = self.next_activity().await;
            let mut opened = None;
            let event = self.handle(activity, &mut opened);
            let now = self.started.elapsed().as_nanos() as Nanos;
            for step in self.machine.on(now, event) {
                self.perform(step, address, &mut opened);
            }
        }
    }

    async fn next_activity(&mut self) -> Activity {
        let due = self
            .machine
            .due()
            .map(|due| self.started + Duration::from_nanos(due.max(0) as u64));
        tokio::select! {
            biased;
            message = next_message(&mut self.watch) => Activity::Message(message),
            watch = call_end(&mut self.opening) => Activity::CallEnded(watch),
            Ok(()) = self.address.changed() => Activity::Event(WatchEvent::AddressChanged),
            () = self.exchange.endpoints_requested() => Activity::Event(WatchEvent::ListRequested),
            () = reach(due) => Activity::Event(WatchEvent::TimerDue),
        }
    }

    /// Records an activity as the event that it is for the state machine. A watch that has just
    /// opened goes to `opened`, until the machine adopts it.
    fn handle(&mut self, activity: Activity, opened: &mut Option<OpenWatch>) -> WatchEvent {
        match activity {
            Activity::Message(Ok(received)) => {
                self.discovery
                    .receive(received.message, received.source, &self.exchange);
                WatchEvent::MessageReceived
            }
            Activity::Message(Err(error)) => {
                log!("discovery: {error}");
                self.watch = None;
                WatchEvent::Ended
            }
            Activity::CallEnded(ended) => {
                self.opening = None;
                match ended {
                    Ok(watch) => {
                        self.discovery
                            .record_time_of_discovery(&watch.response, self.exchange.now());
                        *opened = Some(watch);
                        self.discovery.readiness.watch_opened();
                        WatchEvent::Opened
                    }
                    Err(error) => {
                        log!("discovery: {error}");
                        if error.is_silence() {
                            self.discovery.readiness.call_unanswered();
                        } else {
                            self.discovery
                                .readiness
                                .call_failed(self.called_at.elapsed());
                        }
                        WatchEvent::Failed
                    }
                }
            }
            Activity::Event(event) => event,
        }
    }

    fn perform(&mut self, step: WatchStep, address: SocketAddr, opened: &mut Option<OpenWatch>) {
        match step {
            WatchStep::Call => self.call(address),
            WatchStep::CancelCall => {
                log!("discovery: call cancelled: no response in time");
                self.discovery.readiness.call_unanswered();
                self.opening = None;
            }
            WatchStep::Adopt => self.watch = opened.take(),
            WatchStep::CloseWatch => {
                log!("discovery: watch closed: no message in time");
                self.watch = None;
            }
            WatchStep::ReportLost => self
                .exchange
                .update_endpoints(UpdateScope::Unavailable, Vec::new()),
        }
    }

    fn call(&mut self, last_address: SocketAddr) {
        // A configuration without an address leaves discovery where it was.
        let address = self.address.borrow().unwrap_or(last_address);
        let list_source = *self.discovery.list_source.get_or_insert(address);
        // Another instance of discovery may count versions differently: from 0 on it sends
        // everything.
        let generation = if list_source == address {
            self.discovery.generation
        } else {
            0
        };
        self.called_at = Instant::now();
        self.opening = Some(Box::pin(open_watch(address, generation)));
    }
}

/// Opens a watch on the changes after a version of the list.
async fn open_watch(address: SocketAddr, generation: i64) -> Result<OpenWatch, DiscoveryError> {
    let path = format!("/registry/instances?watch=1&after={generation}");
    let timeouts = CallTimeouts {
        connect: CONNECT_TIMEOUT,
        response: Duration::from_nanos(CALL_TIMEOUT as u64),
    };
    let response = call(address, Method::GET, &path, String::new(), timeouts).await?;
    match response.status {
        StatusCode::OK => Ok(OpenWatch {
            source: address,
            response,
        }),
        status => Err(DiscoveryError::Status(status)),
    }
}

/// The next message of the open watch; pending while none is open.
async fn next_message(watch: &mut Option<OpenWatch>) -> Result<WatchMessage, DiscoveryError> {
    match watch {
        Some(watch) => {
            let message = watch.response.next_message().await?;
            Ok(WatchMessage {
                source: watch.source,
                message,
            })
        }
        None => std::future::pending().await,
    }
}

/// The outcome of the call under way; pending while there is none.
async fn call_end(opening: &mut Option<OpeningWatch>) -> Result<OpenWatch, DiscoveryError> {
    match opening {
        Some(opening) => opening.await,
        None => std::future::pending().await,
    }
}

/// Completes at a moment; pending where there is none.
async fn reach(due: Option<Instant>) {
    match due {
        Some(due) => sleep_until(due).await,
        None => std::future::pending().await,
    }
    // Where the process itself was suspended, messages that arrived meanwhile are read first.
    yield_now().await;
}
