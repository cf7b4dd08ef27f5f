//! The task that calls discovery when [`DiscoveryWatch`] requires it, and reads its open watch.

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

/// What a [`Follower`] waits for.
enum Activity {
    /// A message of the open watch, or its end.
    Message(Result<WatchMessage, DiscoveryError>),
    /// The outcome of the call that opens a watch.
    CallEnded(Result<OpenWatch, DiscoveryError>),
    /// Anything else that the state machine must learn of.
    Event(WatchEvent),
}

/// The task that carries out the decisions of [`DiscoveryWatch`].
pub(super) struct Follower {
    discovery: Discovery,
    /// Publishes the configured address of discovery.
    address: watch::Receiver<Option<SocketAddr>>,
    exchange: Rc<Exchange<Upstream>>,
    machine: DiscoveryWatch,
    /// The origin of the times given to the state machine.
    started: Instant,
    /// The watch that is read.
    watch: Option<OpenWatch>,
    /// The call in progress.
    opening: Option<OpeningWatch>,
    /// The watch that the latest call opened, until the state machine adopts it.
    opened: Option<OpenWatch>,
    /// When the latest call was made.
    called_at: Instant,
}

impl Follower {
    /// A task that has made no call yet.
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
            machine: DiscoveryWatch::new(0, first_call.max_delay, first_call.phase),
            started,
            watch: None,
            opening: None,
            opened: None,
            called_at: started,
        }
    }

    /// Follows discovery for as long as the program runs.
    pub(super) async fn run(mut self) {
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
            let event = self.handle(activity);
            let now = self.started.elapsed().as_nanos() as Nanos;
            for step in self.machine.on(now, event) {
                self.perform(step, address);
            }
            // Closes a watch that the state machine has no use for.
            self.opened = None;
        }
    }

    /// Waits for whatever happens next.
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

    /// Handles an activity. Returns the event that it is for the state machine.
    fn handle(&mut self, activity: Activity) -> WatchEvent {
        match activity {
            Activity::Message(Ok(received)) => {
                self.discovery.receive(received, &self.exchange);
                WatchEvent::MessageReceived
            }
            Activity::Message(Err(error)) => {
                log!("discovery: {error}");
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

    /// Handles the success of a call.
    fn handle_opened(&mut self, watch: OpenWatch) -> WatchEvent {
        self.discovery
            .record_server_time(&watch, self.exchange.now());
        self.opened = Some(watch);
        self.discovery.readiness.watch_opened();
        WatchEvent::Opened
    }

    /// Handles the failure of a call.
    fn handle_failed_call(&mut self, error: &DiscoveryError) -> WatchEvent {
        log!("discovery: {error}");
        let readiness = &self.discovery.readiness;
        if error.is_silence() {
            readiness.call_unanswered();
        } else {
            readiness.call_failed(self.called_at.elapsed());
        }
        WatchEvent::Failed
    }

    /// Carries out a step of the state machine.
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

    /// Calls discovery. A configuration that no longer has an address leaves discovery at
    /// `last_address`.
    fn call(&mut self, last_address: SocketAddr) {
        let address = self.address.borrow().unwrap_or(last_address);
        let generation = self.discovery.generation_at(address);
        self.called_at = Instant::now();
        self.opening = Some(Box::pin(OpenWatch::open(address, generation)));
    }
}

/// The next message of the open watch; pending while none is open.
async fn next_message(watch: &mut Option<OpenWatch>) -> Result<WatchMessage, DiscoveryError> {
    match watch {
        Some(watch) => watch.next_message().await,
        None => pending().await,
    }
}

/// The outcome of the call in progress; pending while there is none.
async fn call_end(opening: &mut Option<OpeningWatch>) -> Result<OpenWatch, DiscoveryError> {
    match opening {
        Some(opening) => opening.await,
        None => pending().await,
    }
}

/// Completes at a moment; pending where there is none.
async fn reach(due: Option<Instant>) {
    match due {
        Some(due) => sleep_until(due).await,
        None => pending().await,
    }
    // Where the process itself was suspended, messages that arrived meanwhile are read first.
    yield_now().await;
}
