//! The task that carries out the steps of [`DiscoveryWatch`]: it calls discovery and reads the open
//! watch.

use std::future::pending;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use tokio::sync::watch;
use tokio::task::yield_now;
use tokio::time::{sleep_until, Instant};
use tulipbridge_core::discovery_watch::{DiscoveryWatch, WatchEvent, WatchStep};
use tulipbridge_core::{Nanos, UpdateScope};

use crate::control::discovery::connection::{OpenWatch, OpeningWatch, WatchMessage};
use crate::control::discovery::error::DiscoveryError;
use crate::control::discovery::{Discovery, FirstCall};
use crate::exchange::Exchange;
use crate::telemetry::log::log;
use crate::upstream::Upstream;

/// The next thing that happens to a [`Follower`].
enum Activity {
    /// The open watch delivered a message or ended.
    Message(Result<WatchMessage, DiscoveryError>),
    /// The call that opens a watch succeeded or failed.
    CallEnded(Result<OpenWatch, DiscoveryError>),
    /// Any other event, passed to the state machine as it is.
    Event(WatchEvent),
}

/// The state of the task that follows discovery.
pub(super) struct Follower {
    discovery: Discovery,
    /// The configured address of discovery, which may change at any time; `None` without discovery.
    address: watch::Receiver<Option<SocketAddr>>,
    exchange: Rc<Exchange<Upstream>>,
    state_machine: DiscoveryWatch,
    /// When the task was created: the zero of the times given to the state machine.
    started: Instant,
    /// The watch whose messages are read.
    watch: Option<OpenWatch>,
    /// The call in progress that opens the next watch.
    opening: Option<OpeningWatch>,
    /// The watch that the latest call opened, until the state machine adopts it.
    opened: Option<OpenWatch>,
    /// When the latest call was made; when the task was created, before the first.
    called_at: Instant,
}

impl Follower {
    /// Creates a task that has made no call yet.
    pub(super) fn new(
        discovery: Discovery,
        first_call: FirstCall,
        address: watch::Receiver<Option<SocketAddr>>,
        exchange: Rc<Exchange<Upstream>>,
    ) -> Follower {
        let started = Instant::now();
        Follower {
            discovery,
            address,
            exchange,
            state_machine: DiscoveryWatch::new(0, first_call.max_delay, first_call.phase),
            started,
            watch: None,
            opening: None,
            opened: None,
            called_at: started,
        }
    }

    /// Follows discovery until the program ends.
    pub(super) async fn run(mut self) {
        loop {
            // Without discovery, the last known list stays in use until a configuration names an
            // address.
            let Some(address) = *self.address.borrow() else {
                self.discovery.readiness.list_confirmed();
                if self.address.changed().await.is_err() {
                    return;
                }
                continue;
            };
            let activity = self.next_activity().await;
            let event = self.handle(activity);
            let now = self.started.elapsed().as_nanos() as Nanos;
            for step in self.state_machine.on(now, event) {
                self.perform(step, address);
            }
            // Closes a new watch that the state machine did not adopt.
            self.opened = None;
        }
    }

    /// Waits for the next activity. If several are ready, the order of the branches decides.
    async fn next_activity(&mut self) -> Activity {
        let due = self
            .state_machine
            .due()
            .map(|due| self.started + Duration::from_nanos(due.max(0) as u64));
        tokio::select! {
            biased;
            message = next_message(&mut self.watch) => Activity::Message(message),
            watch = call_outcome(&mut self.opening) => Activity::CallEnded(watch),
            Ok(()) = self.address.changed() => Activity::Event(WatchEvent::AddressChanged),
            () = self.exchange.endpoints_requested() => Activity::Event(WatchEvent::ListRequested),
            () = sleep_until_due(due) => Activity::Event(WatchEvent::TimerDue),
        }
    }

    /// Handles an activity. Returns the event to report to the state machine.
    fn handle(&mut self, activity: Activity) -> WatchEvent {
        match activity {
            Activity::Message(Ok(received)) => {
                self.discovery.receive(received, &self.exchange);
                WatchEvent::MessageReceived
            }
            Activity::Message(Err(error)) => {
                log!("discovery: watch ended: {error}");
                self.watch = None;
                WatchEvent::Ended
            }
            Activity::CallEnded(outcome) => {
                self.opening = None;
                match outcome {
                    Ok(watch) => self.handle_opened(watch),
                    Err(error) => self.handle_failed_call(&error),
                }
            }
            Activity::Event(event) => event,
        }
    }

    /// Handles a successful call: keeps its watch until the state machine adopts it.
    fn handle_opened(&mut self, watch: OpenWatch) -> WatchEvent {
        self.discovery
            .record_server_time(&watch, self.exchange.now());
        self.opened = Some(watch);
        self.discovery.readiness.watch_opened();
        WatchEvent::Opened
    }

    /// Handles a failed call. For readiness, a timeout counts differently from other failures.
    fn handle_failed_call(&mut self, error: &DiscoveryError) -> WatchEvent {
        log!("discovery: call failed: {error}");
        let readiness = &self.discovery.readiness;
        if error.is_timeout() {
            readiness.call_unanswered();
        } else {
            readiness.call_failed(self.called_at.elapsed());
        }
        WatchEvent::Failed
    }

    /// Carries out a step of the state machine. `address` is discovery's, for a step that calls it.
    fn perform(&mut self, step: WatchStep, address: SocketAddr) {
        match step {
            WatchStep::Call => self.call(address),
            WatchStep::CancelCall => {
                log!("discovery: call cancelled: no response in time");
                self.discovery.readiness.call_unanswered();
                self.opening = None;
            }
            WatchStep::Adopt => self.watch = self.opened.take(),
            WatchStep::CloseWatch => {
                log!("discovery: watch closed: no message in time");
                self.watch = None;
            }
            WatchStep::ReportLost => self
                .exchange
                .update_endpoints(UpdateScope::Unavailable, Vec::new()),
        }
    }

    /// Starts a call to discovery at the configured address, or at `last_address` if the
    /// configuration no longer has one. A call in progress is dropped.
    fn call(&mut self, last_address: SocketAddr) {
        let address = self.address.borrow().unwrap_or(last_address);
        let generation = self.discovery.generation_at(address);
        self.called_at = Instant::now();
        self.opening = Some(Box::pin(OpenWatch::open(address, generation)));
    }
}

/// Returns the next message of the open watch; never completes while none is open.
async fn next_message(watch: &mut Option<OpenWatch>) -> Result<WatchMessage, DiscoveryError> {
    match watch {
        Some(watch) => watch.next_message().await,
        None => pending().await,
    }
}

/// Returns the outcome of the call in progress; never completes while there is none.
async fn call_outcome(opening: &mut Option<OpeningWatch>) -> Result<OpenWatch, DiscoveryError> {
    match opening {
        Some(opening) => opening.await,
        None => pending().await,
    }
}

/// Waits until `due`; never completes if there is none.
async fn sleep_until_due(due: Option<Instant>) {
    match due {
        Some(due) => sleep_until(due).await,
        None => pending().await,
    }
    // After a suspension of the process, messages that arrived meanwhile are read before the timer
    // counts as due.
    yield_now().await;
}
