//! The exchange connects the client side and the server side, and is the only place where they
//! meet. It knows requests, attempts and outcomes, but no wire protocol: a front submits a request
//! with a payload, a [`Transport`] carries attempts. The [`RequestTracker`], with the decision
//! module in it, decides; the exchange carries its effects out.

mod attempt_run;
mod clock;
mod transport;
mod withdrawal;

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use tokio::sync::{oneshot, Notify};
use tokio::time::{sleep, timeout};
use tulipbridge_core::invariant_monitor::{InvariantMonitor, Violation};
use tulipbridge_core::request_tracker::{Effect, FinalAnswer, Input, RequestTracker};
use tulipbridge_core::stall_detector::StallDetector;
use tulipbridge_core::*;

use self::attempt_run::run_attempt;
use self::withdrawal::{BeginLimits, OrderSender};
use crate::telemetry::log::log;
use crate::telemetry::trace;

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

/// The payload and the client of a request in the tracker.
struct PendingRequest<T: Transport> {
    payload: Rc<T::Payload>,
    class: usize,
    /// Taken by the final answer.
    answer: Option<oneshot::Sender<FinalResponse<T::Answer>>>,
    orders: OrderSender,
}

/// How many chunk servers the decision module has.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EndpointCounts {
    /// Those in the endpoint list.
    pub listed: usize,
    /// Those in the list that get no regular requests.
    pub avoided: usize,
}

/// Is told of each violation of a rule. Must not call the exchange.
pub type ViolationObserver = Box<dyn Fn(Violation)>;

/// The state that the fronts of a fleet share: limits and ejections.
pub trait FleetState {
    /// The updates that the decision module must have before `input`: leases may have expired
    /// meanwhile.
    fn updates_before(&self, input: &Input, settings: &Settings) -> Vec<FleetUpdate>;

    /// An attempt of a request of `class` is sent. Must not call the exchange.
    fn attempt_sent(&self, key: AttemptKey, node: NodeId, class: usize);
}

struct Core<T: Transport> {
    tracker: RequestTracker<Scheduler>,
    pending: HashMap<RequestId, PendingRequest<T>>,
}

/// Connects fronts and a transport. Its methods must be called inside a tokio `LocalSet`.
pub struct Exchange<T: Transport> {
    core: RefCell<Core<T>>,
    transport: T,
    clock: Clock,
    /// When this process was held up, told by the events that are fed.
    stalls: Cell<StallDetector>,
    /// Judges the effects by the rules alone.
    monitor: RefCell<InvariantMonitor>,
    /// Told of each violation.
    on_violation: RefCell<Option<ViolationObserver>>,
    endpoints_requested: Notify,
    fleet_state: RefCell<Option<Rc<dyn FleetState>>>,
}

impl<T: Transport> Exchange<T> {
    /// An exchange without requests.
    ///
    /// # Errors
    /// When the settings are invalid.
    pub fn new(settings: Settings, seed: u64, transport: T) -> Result<Rc<Self>, SettingsError> {
        let clock = Clock::start();
        let tracker = RequestTracker::new(Scheduler::new(settings, seed, clock.now())?);
        Ok(Rc::new(Exchange {
            core: RefCell::new(Core {
                tracker,
                pending: HashMap::new(),
            }),
            transport,
            clock,
            stalls: Cell::default(),
            monitor: RefCell::default(),
            on_violation: RefCell::default(),
            endpoints_requested: Notify::new(),
            fleet_state: RefCell::default(),
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
        let counts = self.core.borrow().tracker.decisions().node_counts();
        EndpointCounts {
            listed: counts.listed,
            avoided: counts.avoided,
        }
    }

    /// A copy of the settings in force.
    pub fn settings(&self) -> Settings {
        self.core.borrow().tracker.decisions().settings().clone()
    }

    /// Applies a function to the settings in force.
    pub fn with_settings<R>(&self, read: impl FnOnce(&Settings) -> R) -> R {
        read(self.core.borrow().tracker.decisions().settings())
    }

    /// The longest deadline of a class.
    pub fn longest_deadline(&self) -> Duration {
        let longest =
            self.with_settings(|set| set.classes.iter().map(|class| class.deadline).max());
        Duration::from_nanos(longest.unwrap_or(0).max(0) as u64)
    }

    /// Shares limits and ejections with other fronts from now on.
    pub fn set_fleet_state(&self, fleet_state: Rc<dyn FleetState>) {
        *self.fleet_state.borrow_mut() = Some(fleet_state);
    }

    /// Passes an update of the shared state to the decision module: see [`FleetState`].
    pub fn apply_fleet_update(self: &Rc<Self>, update: FleetUpdate) {
        self.process(Input::FleetUpdate(update), None);
    }

    /// Applies new settings to requests from now on; see [`Scheduler::apply_settings`].
    /// `replaced_classes` pairs a new class with the old one that it replaces.
    ///
    /// # Errors
    /// When the settings are invalid; then nothing changes.
    pub fn reload_settings(
        &self,
        settings: Settings,
        replaced_classes: &[(usize, usize)],
    ) -> Result<(), SettingsError> {
        self.core
            .borrow_mut()
            .tracker
            .decisions_mut()
            .apply_settings(settings, replaced_classes)
    }

    /// Starts the shutdown: every request, received or still to come, is answered `within` this
    /// time, even where its client would wait longer.
    pub fn begin_shutdown(self: &Rc<Self>, within: Duration) {
        let deadline = self.clock.now() + within.as_nanos() as Nanos;
        self.feed(Input::FleetUpdate(FleetUpdate::Shutdown { deadline }), None);
    }

    /// The number of requests that are not answered or have attempts out.
    pub fn pending_requests(&self) -> usize {
        self.core.borrow().tracker.requests().len()
    }

    /// Returns when the decision module next requests the endpoint list.
    pub async fn endpoints_requested(&self) {
        self.endpoints_requested.notified().await;
    }

    /// Passes an update of the endpoint list to the decision module.
    pub fn update_endpoints(self: &Rc<Self>, scope: UpdateScope, nodes: Vec<NodeInfo>) {
        self.feed(Input::Endpoints { scope, nodes }, None);
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
        self.note_event(now);
        let waited = now - self.stalls.get().earliest_arrival(now);
        request.client_timeout = (request.client_timeout - waited).max(0);
        let patience = Duration::from_nanos(request.client_timeout as u64);
        let (sender, mut answer) = oneshot::channel();
        request.id = self.register(request.class, payload, sender);
        let id = request.id;
        let waiting = WaitingClient { exchange: self, id };
        self.feed(Input::RequestReceived(request), None);
        if let Ok(answer) = timeout(patience + OVERDUE_AFTER, &mut answer).await {
            drop(waiting);
            return answer.unwrap_or(FinalResponse::Failed);
        }
        self.feed(Input::Overdue(id), None);
        answer.try_recv().unwrap_or(FinalResponse::Failed)
    }

    /// Assigns an id to a request and stores its payload.
    fn register(
        &self,
        class: usize,
        payload: T::Payload,
        answer: oneshot::Sender<FinalResponse<T::Answer>>,
    ) -> RequestId {
        let mut core = self.core.borrow_mut();
        let id = core.tracker.allocate_id();
        let pending = PendingRequest {
            payload: Rc::new(payload),
            class,
            answer: Some(answer),
            orders: OrderSender::new(),
        };
        core.pending.insert(id, pending);
        id
    }

    /// Processes an input, with the answer that an attempt brought, if any. Updates of the shared
    /// state come first, since this process may have been paused and leases may have expired.
    fn feed(self: &Rc<Self>, input: Input, answer: Option<T::Answer>) {
        let fleet_state = self.fleet_state.borrow().clone();
        if let Some(fleet_state) = fleet_state {
            let updates =
                self.with_settings(|settings| fleet_state.updates_before(&input, settings));
            for update in updates {
                self.apply_fleet_update(update);
            }
        }
        self.process(input, answer);
    }

    /// Passes an input to the tracker and carries out its effects.
    fn process(self: &Rc<Self>, input: Input, mut answer: Option<T::Answer>) {
        let mut effects = Vec::new();
        if trace::is_enabled() {
            trace::input(&input, |node| self.transport.name(node));
        }
        let now = self.clock.now();
        self.note_event(now);
        self.with_settings(|settings| self.monitor.borrow_mut().input(&input, settings));
        self.core.borrow_mut().tracker.on(now, input, &mut effects);
        for effect in effects {
            self.check(now, &effect);
            if trace::is_enabled() {
                trace::effect(&effect, |node| self.transport.name(node));
            }
            self.carry_out(effect, &mut answer);
        }
    }

    /// Carries out an effect. Nothing in here feeds the tracker, so that inputs and effects keep
    /// their order.
    fn carry_out(self: &Rc<Self>, effect: Effect, answer: &mut Option<T::Answer>) {
        match effect {
            Effect::Send {
                id,
                attempt,
                node,
                deadline,
                begin_by,
            } => {
                self.send(
                    AttemptKey {
                        request: id,
                        attempt,
                    },
                    node,
                    deadline,
                    begin_by,
                );
            }
            Effect::Cancel { id, attempt } => self.with_orders(id, |orders| orders.cancel(attempt)),
            Effect::Withdraw {
                id,
                attempt,
                outcome,
            } => {
                self.with_orders(id, |orders| orders.withdraw(attempt, outcome));
            }
            Effect::Answer {
                id,
                answer: final_answer,
            } => {
                self.answer(id, final_response(final_answer, answer.take()));
            }
            Effect::Release(id) => {
                self.core.borrow_mut().pending.remove(&id);
            }
            Effect::SetTimer { after, cookie } => self.set_timer(after, cookie),
            Effect::Subscribe => self.endpoints_requested.notify_one(),
            Effect::ForgetNode(node) => self.transport.forget(node),
            Effect::Log { text, node } => log!("{text}: {}", self.transport.name(node)),
        }
    }

    /// Has an observer told of each violation of a rule from now on.
    pub fn set_violation_observer(&self, observer: ViolationObserver) {
        *self.on_violation.borrow_mut() = Some(observer);
    }

    /// Logs and reports an effect that breaks a rule. It is carried out all the same: what the
    /// decisions have recorded must stay what happens.
    fn check(&self, now: Nanos, effect: &Effect) {
        let Some(violation) = self.monitor.borrow_mut().effect(now, effect) else {
            return;
        };
        log!(
            "rule {} broken by request {}: {effect:?}",
            violation.rule.name(),
            violation.request
        );
        if let Some(observer) = &*self.on_violation.borrow() {
            observer(violation);
        }
    }

    /// Records that an event is handled now.
    fn note_event(&self, now: Nanos) {
        let mut stalls = self.stalls.get();
        stalls.event(now);
        self.stalls.set(stalls);
    }

    fn with_orders(&self, id: RequestId, give: impl FnOnce(&OrderSender)) {
        if let Some(pending) = self.core.borrow().pending.get(&id) {
            give(&pending.orders);
        }
    }

    fn answer(&self, id: RequestId, response: FinalResponse<T::Answer>) {
        let mut core = self.core.borrow_mut();
        let sender = core
            .pending
            .get_mut(&id)
            .and_then(|pending| pending.answer.take());
        drop(core);
        if let Some(sender) = sender {
            // The client may have gone at this very moment.
            let _ = sender.send(response);
        }
    }

    fn set_timer(self: &Rc<Self>, after: Nanos, cookie: u64) {
        let exchange = Rc::clone(self);
        tokio::task::spawn_local(async move {
            sleep(Duration::from_nanos(after.max(0) as u64)).await;
            exchange.feed(Input::Timer(cookie), None);
        });
    }

    /// Starts an attempt. It ends by itself, at its deadline, or when it is cancelled, whichever is
    /// first.
    fn send(self: &Rc<Self>, key: AttemptKey, node: NodeId, deadline: Nanos, begin_by: Nanos) {
        let begin_by = (begin_by < Nanos::MAX).then_some(begin_by);
        let limits = BeginLimits {
            clock: self.clock,
            begin_by,
            deadline,
        };
        let deadline = self.clock.instant(deadline);
        let core = self.core.borrow();
        let Some(pending) = core.pending.get(&key.request) else {
            return;
        };
        if let Some(fleet_state) = &*self.fleet_state.borrow() {
            fleet_state.attempt_sent(key, node, pending.class);
        }
        let withdrawal = pending.orders.withdrawal(key.attempt, limits);
        let payload = Rc::clone(&pending.payload);
        let attempt = self
            .transport
            .attempt(node, payload, deadline, withdrawal.clone());
        let exchange = Rc::clone(self);
        tokio::task::spawn_local(async move {
            let (input, answer) = run_attempt(key, attempt, deadline, withdrawal).await;
            exchange.feed(input, answer);
        });
    }
}

fn final_response<A>(answer: FinalAnswer, served: Option<A>) -> FinalResponse<A> {
    match (answer, served) {
        (FinalAnswer::Served, Some(served)) => FinalResponse::Served(served),
        (FinalAnswer::Rejected(retry_after), _) => {
            FinalResponse::Rejected(Duration::from_nanos(retry_after as u64))
        }
        _ => FinalResponse::Failed,
    }
}

/// A client that waits for its answer. Where it is dropped before, the tracker learns that the
/// client is gone.
struct WaitingClient<'a, T: Transport> {
    exchange: &'a Rc<Exchange<T>>,
    id: RequestId,
}

impl<T: Transport> Drop for WaitingClient<'_, T> {
    fn drop(&mut self) {
        self.exchange.feed(Input::ClientGone(self.id), None);
    }
}
