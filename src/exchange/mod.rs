//! Connects the client side of a front to its chunk-server side; the two meet nowhere else.
//!
//! The exchange knows requests, attempts and outcomes, but no wire protocol: a front submits a
//! request with a payload, and a [`Transport`] carries the attempts. The request tracker, which
//! contains the decision module, makes the decisions; the exchange carries out its effects.
//!
//! The requests, the tracker and the decision module of an [`Exchange`] are in one `RefCell`. It is
//! not borrowed during calls of the transport, the violation observer and
//! [`FleetState::attempt_sent`], so that these may read from the exchange.

mod attempt_observer;
mod attempt_run;
mod clock;
mod effects;
mod state;
mod transport;
mod withdrawal;

use std::cell::{OnceCell, RefCell};
use std::rc::Rc;
use std::time::{Duration, Instant};

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
pub use self::transport::{AttemptContext, AttemptObserver, AttemptReport, Transport};
pub use self::withdrawal::Withdrawal;

/// Time after the deadline of a request at which it is failed if the tracker has not answered it.
/// This guards the rule of exactly one final answer against defects, and is well within the extra
/// time that clients allow.
const OVERDUE_GRACE: Duration = Duration::from_millis(20);

/// The final answer to a request.
#[derive(Debug)]
pub enum FinalResponse<A> {
    /// The response of a chunk server.
    Served(A),
    /// The request was not executed, or repeating it is harmless; the client may retry after this
    /// time.
    Rejected(Duration),
    /// The request may or may not have been executed.
    Failed,
}

/// The numbers of chunk servers that the decision module knows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EndpointCounts {
    /// Chunk servers in the endpoint list.
    pub listed: usize,
    /// Chunk servers in the list that get no regular requests.
    pub avoided: usize,
}

/// Called with each violation of a rule of requests, before the effect that breaks the rule is
/// carried out.
pub type ViolationObserver = Box<dyn Fn(Violation)>;

/// The state that the fronts of a fleet share: limits and ejections.
pub trait FleetState {
    /// Returns the updates that the decision module must receive before `input`, such as those for
    /// leases that have expired since the last input. Must not pass inputs to the exchange, whose
    /// settings are borrowed during the call.
    fn updates_before(&self, input: &Input, settings: &Settings) -> Vec<FleetUpdate>;

    /// Records that an attempt of a request of `class` is sent to `node`. Must not pass inputs to
    /// the exchange, which is carrying out the effects of another input.
    fn attempt_sent(&self, key: AttemptKey, node: NodeId, class: usize);
}

/// Connects the code that receives requests to a transport. Its methods must be called inside a
/// tokio `LocalSet`.
pub struct Exchange<T: Transport> {
    /// Borrowed for a single method call at a time, and during [`Exchange::with_settings`].
    state: RefCell<ExchangeState<T::Payload, T::Answer>>,
    transport: T,
    clock: Clock,
    on_violation: ViolationObserver,
    /// Notified when the decision module requests the endpoint list.
    endpoints_requested: Notify,
    /// Set at most once, if this front shares limits and ejections with others.
    fleet_state: OnceCell<Rc<dyn FleetState>>,
}

impl<T: Transport> Exchange<T> {
    /// Creates an exchange without requests.
    ///
    /// # Errors
    /// Returns a [`SettingsError`] if the settings are invalid.
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

    /// Returns the transport that carries the attempts.
    pub fn transport(&self) -> &T {
        &self.transport
    }

    /// Returns the present time of the decision module's clock.
    pub fn now(&self) -> Nanos {
        self.clock.now()
    }

    /// Returns the number of chunk servers, and how many of them are avoided.
    pub fn endpoint_counts(&self) -> EndpointCounts {
        self.state.borrow().endpoint_counts()
    }

    /// Returns a copy of the settings in force.
    pub fn settings(&self) -> Settings {
        self.state.borrow().settings().clone()
    }

    /// Applies a function to the settings in force. The function must not pass inputs to the
    /// exchange, whose state is borrowed during the call.
    pub fn with_settings<R>(&self, read: impl FnOnce(&Settings) -> R) -> R {
        read(self.state.borrow().settings())
    }

    /// Returns the longest deadline of any class; zero if there are no classes.
    pub fn longest_deadline(&self) -> Duration {
        let longest = self
            .with_settings(|settings| settings.classes.iter().map(|class| class.deadline).max());
        Duration::from_nanos(longest.unwrap_or(0).max(0) as u64)
    }

    /// Shares limits and ejections with other fronts from now on. Calls after the first have no
    /// effect.
    pub fn set_fleet_state(&self, fleet_state: Rc<dyn FleetState>) {
        self.fleet_state.get_or_init(|| fleet_state);
    }

    /// Passes an update of the shared state to the decision module, without a call of
    /// [`FleetState::updates_before`].
    pub fn apply_fleet_update(self: &Rc<Self>, update: FleetUpdate) {
        self.pass_to_tracker(Input::FleetUpdate(update), None);
    }

    /// Applies reloaded settings from now on; see [`Scheduler::apply_settings`].
    ///
    /// [`Scheduler::apply_settings`]: tulipbridge_core::Scheduler::apply_settings
    ///
    /// # Errors
    /// Returns a [`SettingsError`] and changes nothing if the new settings cannot be applied.
    pub fn reload_settings(
        &self,
        settings: Settings,
        replaced_classes: &[ReplacedEntry],
    ) -> Result<(), SettingsError> {
        self.state
            .borrow_mut()
            .apply_settings(settings, replaced_classes)
    }

    /// Starts the shutdown: every request, received already or later, is answered within the time
    /// `within`, even if its client would wait longer.
    pub fn begin_shutdown(self: &Rc<Self>, within: Duration) {
        let deadline = self.clock.now() + within.as_nanos() as Nanos;
        self.handle(Input::FleetUpdate(FleetUpdate::Shutdown { deadline }));
    }

    /// Returns the number of requests that have no final answer or have attempts in flight.
    pub fn pending_requests(&self) -> usize {
        self.state.borrow().request_count()
    }

    /// Waits until the decision module requests the endpoint list.
    pub async fn endpoints_requested(&self) {
        self.endpoints_requested.notified().await;
    }

    /// Passes an update of the endpoint list to the decision module.
    pub fn update_endpoints(self: &Rc<Self>, scope: UpdateScope, nodes: Vec<NodeInfo>) {
        self.handle(Input::Endpoints { scope, nodes });
    }

    /// Submits a request that has just been read and returns its one final answer. Assigns
    /// `request.id`, and shortens `request.client_timeout` by the time that the request may have
    /// waited to be read while this process was stalled. Dropping the future means that the client
    /// has disconnected.
    pub async fn submit(
        self: &Rc<Self>,
        mut request: Request,
        payload: T::Payload,
    ) -> FinalResponse<T::Answer> {
        let now = self.clock.now();
        let arrived_at = self.state.borrow_mut().earliest_arrival(now);
        request.client_timeout = (request.client_timeout - (now - arrived_at)).max(0);
        let client_timeout = Duration::from_nanos(request.client_timeout as u64);
        let client_deadline = Instant::now() + client_timeout;
        let (sender, mut answer) = oneshot::channel();
        let id = self
            .state
            .borrow_mut()
            .register(request.class, payload, client_deadline, sender);
        request.id = id;
        let disconnect_guard = DisconnectGuard { exchange: self, id };
        self.handle(Input::RequestReceived(request));
        if let Ok(answer) = timeout(client_timeout + OVERDUE_GRACE, &mut answer).await {
            drop(disconnect_guard);
            return answer.unwrap_or(FinalResponse::Failed);
        }
        self.handle(Input::Overdue(id));
        answer.try_recv().unwrap_or(FinalResponse::Failed)
    }
}

/// Reports on drop that the client of a request has disconnected. The report has no effect if the
/// request is answered.
struct DisconnectGuard<'a, T: Transport> {
    exchange: &'a Rc<Exchange<T>>,
    id: RequestId,
}

impl<T: Transport> Drop for DisconnectGuard<'_, T> {
    fn drop(&mut self) {
        self.exchange.handle(Input::ClientDisconnected(self.id));
    }
}
