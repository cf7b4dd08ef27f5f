//! The exchange connects the client side and the server side, and is the only place where they
//! meet. It knows requests, attempts and outcomes, but no wire protocol: a front submits a request
//! with a payload, a [`Transport`] carries attempts. The request tracker, with the decision
//! module in it, decides; the exchange carries its effects out.
//!
//! An [`Exchange`] has one mutable part, its state. No borrow of the state is held while the
//! transport, the violation observer or [`FleetState::attempt_sent`] is called, so that these may
//! read from the exchange.

mod attempt_run;
mod clock;
mod effects;
mod state;
mod transport;
mod withdrawal;

use std::cell::{OnceCell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use tokio::sync::{oneshot, Notify};
use tokio::time::timeout;
use tulipbridge_core::invariant_monitor::Violation;
use tulipbridge_core::request_tracker::Input;
use tulipbridge_core::settings_reload::ReplacedEntry;
use tulipbridge_core::{
    FleetUpdate, Nanos, NodeId, NodeInfo, Request, RequestId, Settings, SettingsError, UpdateScope,
};

use self::state::ExchangeState;

pub use self::attempt_run::AttemptKey;
pub use self::clock::Clock;
pub use self::transport::{AttemptReport, Transport};
pub use self::withdrawal::Withdrawal;

/// A request that the tracker leaves unanswered for this long past its deadline is answered with a
/// failure. This guards the rule of exactly one final answer against defects, and is well within
/// the slack that clients grant.
const OVERDUE_AFTER: Duration = Duration::from_millis(20);

/// The final answer to a request.
#[derive(Debug)]
pub enum FinalResponse<A> {
    /// A server's answer.
    Served(A),
    /// The request was not executed, or repeating it is harmless; the client may retry after this
    /// time.
    Rejected(Duration),
    /// The request may or may not have been executed.
    Failed,
}

/// How many chunk servers the decision module has.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EndpointCounts {
    /// Those in the endpoint list.
    pub listed: usize,
    /// Those in the list that get no regular requests.
    pub avoided: usize,
}

/// Is notified of each violation of a rule of requests, before the effect that breaks it is carried
/// out.
pub type ViolationObserver = Box<dyn Fn(Violation)>;

/// The state that the fronts of a fleet share: limits and ejections.
pub trait FleetState {
    /// The updates that the decision module must have before `input`: leases may have expired
    /// meanwhile. Must not pass inputs to the exchange, whose settings are borrowed.
    fn updates_before(&self, input: &Input, settings: &Settings) -> Vec<FleetUpdate>;

    /// An attempt of a request of `class` is sent. Must not pass inputs to the exchange, which is
    /// carrying out the effects of another one.
    fn attempt_sent(&self, key: AttemptKey, node: NodeId, class: usize);
}

/// Connects fronts and a transport. Its methods must be called inside a tokio `LocalSet`.
pub struct Exchange<T: Transport> {
    /// Borrowed for one call of its methods at a time, and for [`Exchange::with_settings`].
    state: RefCell<ExchangeState<T::Payload, T::Answer>>,
    transport: T,
    clock: Clock,
    on_violation: ViolationObserver,
    /// Notified when the decision module requests the endpoint list.
    endpoints_requested: Notify,
    /// Set once, where this front shares limits and ejections with others.
    fleet_state: OnceCell<Rc<dyn FleetState>>,
}

impl<T: Transport> Exchange<T> {
    /// An exchange without requests.
    ///
    /// # Errors
    /// When the settings are invalid.
    pub fn new(
        settings: Settings,
        seed: u64,
        transport: T,
        on_violation: ViolationObserver,
    ) -> Result<Rc<Self>, SettingsError> {
        let clock = Clock::start();
        let state = ExchangeState::new(settings, seed, clock.now())?;
        Ok(Rc::new(Exchange {
            state: RefCell::new(state),
            transport,
            clock,
            on_violation,
            endpoints_requested: Notify::new(),
            fleet_state: OnceCell::new(),
        }))
    }

    /// The transport of the attempts.
    pub fn transport(&self) -> &T {
        &self.transport
    }

    /// The present time of the decision module.
    pub fn now(&self) -> Nanos {
        self.clock.now()
    }

    /// The number of chunk servers, and how many of them are avoided.
    pub fn endpoint_counts(&self) -> EndpointCounts {
        self.state.borrow().endpoint_counts()
    }

    /// A copy of the settings in force.
    pub fn settings(&self) -> Settings {
        self.state.borrow().settings().clone()
    }

    /// Applies a function to the settings in force. It must not pass inputs to the exchange.
    pub fn with_settings<R>(&self, read: impl FnOnce(&Settings) -> R) -> R {
        read(self.state.borrow().settings())
    }

    /// The longest deadline of a class.
    pub fn longest_deadline(&self) -> Duration {
        let longest =
            self.with_settings(|set| set.classes.iter().map(|class| class.deadline).max());
        Duration::from_nanos(longest.unwrap_or(0).max(0) as u64)
    }

    /// Shares limits and ejections with other fronts from now on. Only the first call counts.
    pub fn set_fleet_state(&self, fleet_state: Rc<dyn FleetState>) {
        self.fleet_state.get_or_init(|| fleet_state);
    }

    /// Passes an update of the shared state to the decision module: see [`FleetState`].
    pub fn apply_fleet_update(self: &Rc<Self>, update: FleetUpdate) {
        self.process(Input::FleetUpdate(update), None);
    }

    /// Applies new settings to requests from now on; see [`Scheduler::apply_settings`].
    ///
    /// [`Scheduler::apply_settings`]: tulipbridge_core::Scheduler::apply_settings
    ///
    /// # Errors
    /// When the settings are invalid; then nothing changes.
    pub fn reload_settings(
        &self,
        settings: Settings,
        replaced_classes: &[ReplacedEntry],
    ) -> Result<(), SettingsError> {
        self.state
            .borrow_mut()
            .apply_settings(settings, replaced_classes)
    }

    /// Starts the shutdown: every request, received or still to come, is answered `within` this
    /// time, even where its client would wait longer.
    pub fn begin_shutdown(self: &Rc<Self>, within: Duration) {
        let deadline = self.clock.now() + within.as_nanos() as Nanos;
        self.handle(Input::FleetUpdate(FleetUpdate::Shutdown { deadline }));
    }

    /// The number of requests that are not answered or have attempts in flight.
    pub fn pending_requests(&self) -> usize {
        self.state.borrow().request_count()
    }

    /// Returns when the decision module next requests the endpoint list.
    pub async fn endpoints_requested(&self) {
        self.endpoints_requested.notified().await;
    }

    /// Passes an update of the endpoint list to the decision module.
    pub fn update_endpoints(self: &Rc<Self>, scope: UpdateScope, nodes: Vec<NodeInfo>) {
        self.handle(Input::Endpoints { scope, nodes });
    }

    /// Submits a request that has just been read and returns its one final answer. `request.id` is
    /// assigned here; its patience is shortened by the time that this process was held up before it
    /// was read. Dropping the future means that the client has disconnected.
    pub async fn submit(
        self: &Rc<Self>,
        mut request: Request,
        payload: T::Payload,
    ) -> FinalResponse<T::Answer> {
        let now = self.clock.now();
        let arrived_at = self.state.borrow_mut().earliest_arrival(now);
        request.client_timeout = (request.client_timeout - (now - arrived_at)).max(0);
        let patience = Duration::from_nanos(request.client_timeout as u64);
        let (sender, mut answer) = oneshot::channel();
        let id = self
            .state
            .borrow_mut()
            .register(request.class, payload, sender);
        request.id = id;
        let waiting = WaitingClient { exchange: self, id };
        self.handle(Input::RequestReceived(request));
        if let Ok(answer) = timeout(patience + OVERDUE_AFTER, &mut answer).await {
            drop(waiting);
            return answer.unwrap_or(FinalResponse::Failed);
        }
        self.handle(Input::Overdue(id));
        answer.try_recv().unwrap_or(FinalResponse::Failed)
    }
}

/// A client that waits for its answer. Dropping it notifies the tracker that the client is gone,
/// which changes nothing where the request is answered.
struct WaitingClient<'a, T: Transport> {
    exchange: &'a Rc<Exchange<T>>,
    id: RequestId,
}

impl<T: Transport> Drop for WaitingClient<'_, T> {
    fn drop(&mut self) {
        self.exchange.handle(Input::ClientDisconnected(self.id));
    }
}
