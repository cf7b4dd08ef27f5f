//! Where the client side and the server side meet, and the only place where they do. It knows requests,
//! attempts and outcomes, and no wire: a front asks with a payload, a transport carries attempts. What becomes of
//! them is said by [`Desk`], with the decision module in it; here its effects are carried out.

use std::cell::RefCell;
use std::collections::HashMap;
use std::future::Future;
use std::rc::Rc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use tokio::sync::{oneshot, watch, Notify};
use tulipbridge_core::request_tracker::{Effect, FinalAnswer, Input, RequestTracker};
use tulipbridge_core::*;

use crate::telemetry::log::log;
use crate::telemetry::trace;

/// A module that leaves a request unanswered for this long past its deadline is overruled with a failure.
/// Guards the rule of one final answer against faults of ours; well inside the slack that clients grant.
const OVERDUE_AFTER: Duration = Duration::from_millis(20);

/// The time as the decision module counts it: Unix time when the program began, and monotonic from there, so
/// that a step of the system's clock reorders nothing.
#[derive(Clone, Copy)]
pub struct Clock {
    began: Instant,
    unix: Nanos,
}

impl Clock {
    /// A clock that runs from now.
    pub fn start() -> Clock {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Clock { began: Instant::now(), unix: unix.as_nanos() as Nanos }
    }

    /// This moment.
    pub fn now(&self) -> Nanos {
        self.unix + self.began.elapsed().as_nanos() as Nanos
    }

    /// A moment as the runtime counts it.
    fn instant(&self, at: Nanos) -> Instant {
        self.began + Duration::from_nanos((at - self.unix).max(0) as u64)
    }
}

/// How an attempt ended, and what came back.
pub struct AttemptReport<A> {
    /// The outcome; what came back is an answer only where it is `Done`.
    pub outcome: Outcome,
    /// What goes to the client.
    pub answer: Option<A>,
    /// 1 + the volume's use in percent of its plan's rate; 0 is unknown.
    pub seen_use: f64,
    /// Units that the node served the volume through other fronts.
    pub foreign_units: f64,
}

impl<A> From<Outcome> for AttemptReport<A> {
    fn from(outcome: Outcome) -> AttemptReport<A> {
        AttemptReport { outcome, answer: None, seen_use: 0.0, foreign_units: 0.0 }
    }
}

/// What carries attempts to nodes.
pub trait Transport: 'static {
    /// What a node is sent.
    type Payload: 'static;
    /// What a node answers.
    type Answer: 'static;

    /// What operators call a node.
    fn name(&self, node: NodeId) -> String;

    /// A node is gone and nothing is out to it: its connections and its name are of no use.
    fn forget(&self, node: NodeId);

    /// One attempt, sent once at the most. Dropping the future gives the attempt up; one that is withdrawn before a
    /// byte of it is written ends with the outcome told, and nothing is written.
    fn attempt(
        &self,
        node: NodeId,
        payload: Rc<Self::Payload>,
        until: Instant,
        withdrawal: Withdrawal,
    ) -> impl Future<Output = AttemptReport<Self::Answer>> + 'static;
}

/// What the desk has said of an attempt that is out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum AttemptOrder {
    /// It is dropped.
    Cancel,
    /// It ends so, unless it has begun.
    Withdraw(Outcome),
}

/// Whether an attempt is still wanted.
#[derive(Clone, Debug)]
pub struct Withdrawal {
    attempt: u32,
    /// Where it has not begun by then, it is not wanted any more.
    begin_by: Option<Instant>,
    orders: watch::Receiver<Option<(u32, AttemptOrder)>>,
}

impl Withdrawal {
    /// How the attempt ends, where it has been withdrawn.
    pub fn outcome(&self) -> Option<Outcome> {
        match *self.orders.borrow() {
            Some((attempt, AttemptOrder::Withdraw(outcome))) if attempt == self.attempt => Some(outcome),
            // One that is to be dropped does not begin before it is.
            Some((attempt, AttemptOrder::Cancel)) if attempt == self.attempt => Some(Outcome::Cancelled),
            _ => self.begin_by.filter(|by| Instant::now() >= *by).map(|_| Outcome::NotSent),
        }
    }

    /// Returns when the attempt is withdrawn, with how it ends.
    pub async fn withdrawn(&mut self) -> Outcome {
        loop {
            if let Some(outcome) = self.outcome() {
                return outcome;
            }
            let over = async {
                match self.begin_by {
                    Some(by) => tokio::time::sleep_until(by.into()).await,
                    None => std::future::pending().await,
                }
            };
            tokio::select! {
                changed = self.orders.changed() => if changed.is_err() {
                    std::future::pending::<()>().await;
                },
                () = over => return Outcome::NotSent,
            }
        }
    }

    /// Returns when the attempt is to be dropped.
    async fn cancelled(&mut self) {
        let stop = Some((self.attempt, AttemptOrder::Cancel));
        if self.orders.wait_for(|order| *order == stop).await.is_err() {
            std::future::pending::<()>().await;
        }
    }

    /// One that never comes.
    pub fn never() -> Withdrawal {
        Withdrawal { attempt: 0, begin_by: None, orders: watch::Sender::new(None).subscribe() }
    }
}

/// The final answer to a request.
#[derive(Debug)]
pub enum FinalResponse<A> {
    /// A node's answer.
    Served(A),
    /// It never ran, or repeating is harmless; the client may come back after the wait.
    Rejected(Duration),
    /// Nothing is promised.
    Failed,
}

struct PendingRequest<T: Transport> {
    payload: Rc<T::Payload>,
    class: usize,
    /// Taken by the final answer.
    answer: Option<oneshot::Sender<FinalResponse<T::Answer>>>,
    /// What was said last of one of its attempts.
    orders: watch::Sender<Option<(u32, AttemptOrder)>>,
}

/// Who knows what this front may use of limits that others share, and what all hold of nodes.
pub trait FleetState {
    /// What the module must be told before it takes an input: what was used so far may have ended.
    fn updates_before(&self, input: &Input, settings: &Settings) -> Vec<FleetUpdate>;

    /// An attempt of a request of a class goes out. Nothing may be fed to the exchange in here.
    fn attempt_sent(&self, id: RequestId, attempt: u32, node: NodeId, class: usize);
}

struct Core<T: Transport> {
    tracker: RequestTracker<Scheduler>,
    /// What the desk's requests carry.
    pending: HashMap<RequestId, PendingRequest<T>>,
}

/// The meeting place. Its methods must be called inside a tokio `LocalSet`.
pub struct Exchange<T: Transport> {
    core: RefCell<Core<T>>,
    transport: T,
    clock: Clock,
    subscribe: Notify,
    fleet_state: RefCell<Option<Rc<dyn FleetState>>>,
}

impl<T: Transport> Exchange<T> {
    /// An exchange with nothing in it.
    ///
    /// # Errors
    /// When the settings cannot hold.
    pub fn new(settings: Settings, seed: u64, transport: T) -> Result<Rc<Self>, SettingsError> {
        let clock = Clock::start();
        let desk = RequestTracker::new(Scheduler::new(settings, seed, clock.now())?);
        let core = Core { tracker: desk, pending: HashMap::new() };
        Ok(Rc::new(Exchange {
            core: RefCell::new(core),
            transport,
            clock,
            subscribe: Notify::new(),
            fleet_state: RefCell::default(),
        }))
    }

    /// What carries the attempts.
    pub fn transport(&self) -> &T {
        &self.transport
    }

    /// This moment, as the module counts time.
    pub fn now(&self) -> Nanos {
        self.clock.now()
    }

    /// Nodes in the list, and of them those that get nothing new.
    pub fn endpoint_counts(&self) -> (usize, usize) {
        self.core.borrow().tracker.decisions().census()
    }

    /// The settings in force.
    pub fn settings(&self) -> Settings {
        self.core.borrow().tracker.decisions().settings().clone()
    }

    /// What `look` finds in the settings in force.
    pub fn with_settings<R>(&self, look: impl FnOnce(&Settings) -> R) -> R {
        look(self.core.borrow().tracker.decisions().settings())
    }

    /// The longest deadline of a class.
    pub fn longest_deadline(&self) -> Duration {
        let longest = self.with_settings(|set| set.classes.iter().map(|c| c.deadline).max());
        Duration::from_nanos(longest.unwrap_or(0).max(0) as u64)
    }

    /// Has limits shared with other fronts from now on.
    pub fn set_fleet_state(&self, rights: Rc<dyn FleetState>) {
        *self.fleet_state.borrow_mut() = Some(rights);
    }

    /// What this front is told of what all fronts share: see [`Rights`].
    pub fn apply_fleet_update(self: &Rc<Self>, told: FleetUpdate) {
        self.process(Input::FleetUpdate(told), None);
    }

    /// New settings, for requests from now on; see [`Scheduler::retune`].
    ///
    /// # Errors
    /// When they cannot hold; then nothing changes.
    pub fn reload_settings(
        &self,
        settings: Settings,
        carried: &[(usize, usize)],
    ) -> Result<(), SettingsError> {
        self.core.borrow_mut().tracker.decisions_mut().retune(settings, carried)
    }

    /// This front ends: what it has taken, and takes from now on, is answered within a time, by the rules, however long
    /// its clients would wait.
    pub fn begin_shutdown(self: &Rc<Self>, within: Duration) {
        let by = self.clock.now() + within.as_nanos() as Nanos;
        self.feed(Input::FleetUpdate(FleetUpdate::Shutdown { deadline: by }), None);
    }

    /// Requests not yet answered, or with attempts out.
    pub fn pending_requests(&self) -> usize {
        self.core.borrow().tracker.requests().len()
    }

    /// Returns when the module next wants the node list.
    pub async fn list_wanted(&self) {
        self.subscribe.notified().await;
    }

    /// News of the node list.
    pub fn update_endpoints(self: &Rc<Self>, scope: UpdateScope, nodes: Vec<NodeInfo>) {
        self.feed(Input::Endpoints { scope, nodes }, None);
    }

    /// Takes a request and gives its one final answer. `request.id` is given here. Dropping the future says
    /// that the client has gone.
    pub async fn submit(
        self: &Rc<Self>,
        mut request: Request,
        payload: T::Payload,
    ) -> FinalResponse<T::Answer> {
        let patience = Duration::from_nanos(request.patience.max(0) as u64);
        let (sender, mut answer) = oneshot::channel();
        {
            let mut core = self.core.borrow_mut();
            request.id = core.tracker.allocate_id();
            let (answer, orders) = (Some(sender), watch::Sender::new(None));
            let (payload, class) = (Rc::new(payload), request.class);
            core.pending.insert(request.id, PendingRequest { payload, class, answer, orders });
        }
        let id = request.id;
        let waiting = Waiting { exchange: self, id };
        self.feed(Input::RequestReceived(request), None);
        if let Ok(answer) = tokio::time::timeout(patience + OVERDUE_AFTER, &mut answer).await {
            drop(waiting);
            return answer.unwrap_or(FinalResponse::Failed);
        }
        self.feed(Input::Overdue(id), None);
        answer.try_recv().unwrap_or(FinalResponse::Failed)
    }

    /// Takes what has happened, with the answer that an attempt brought, if any. What may be used of shared limits
    /// is looked at first: this process may have stood still.
    fn feed(self: &Rc<Self>, input: Input, brought: Option<T::Answer>) {
        let rights = self.fleet_state.borrow().clone();
        for told in rights.map_or_else(Vec::new, |r| self.with_settings(|set| r.updates_before(&input, set)))
        {
            self.apply_fleet_update(told);
        }
        self.process(input, brought);
    }

    fn process(self: &Rc<Self>, input: Input, mut brought: Option<T::Answer>) {
        let mut effects = Vec::new();
        if trace::is_enabled() {
            trace::input(&input, |node| self.transport.name(node));
        }
        self.core.borrow_mut().tracker.on(self.clock.now(), input, &mut effects);
        for effect in effects {
            if trace::is_enabled() {
                trace::effect(&effect, |node| self.transport.name(node));
            }
            self.carry_out(effect, &mut brought);
        }
    }

    /// Nothing in here feeds the desk, so what happens and what is done about it keep their order.
    fn carry_out(self: &Rc<Self>, effect: Effect, brought: &mut Option<T::Answer>) {
        match effect {
            Effect::Send { id, attempt, node, deadline: until, begin_by } => {
                self.send((id, attempt), node, until, begin_by);
            }
            Effect::Cancel { id, attempt } => self.order(id, attempt, AttemptOrder::Cancel),
            Effect::Withdraw { id, attempt, outcome } => {
                self.order(id, attempt, AttemptOrder::Withdraw(outcome))
            }
            Effect::Answer { id, answer: verdict } => {
                let sender = self.core.borrow_mut().pending.get_mut(&id).and_then(|l| l.answer.take());
                let answer = match (verdict, brought.take()) {
                    (FinalAnswer::Served, Some(answer)) => FinalResponse::Served(answer),
                    (FinalAnswer::Rejected(wait), _) => {
                        FinalResponse::Rejected(Duration::from_nanos(wait as u64))
                    }
                    _ => FinalResponse::Failed,
                };
                // The client may have left in this very moment.
                let _ = sender.map(|s| s.send(answer));
            }
            Effect::Release(id) => {
                self.core.borrow_mut().pending.remove(&id);
            }
            Effect::SetTimer { after, cookie } => {
                let exchange = Rc::clone(self);
                tokio::task::spawn_local(async move {
                    tokio::time::sleep(Duration::from_nanos(after.max(0) as u64)).await;
                    exchange.feed(Input::Timer(cookie), None);
                });
            }
            Effect::Subscribe => self.subscribe.notify_one(),
            Effect::ForgetNode(node) => self.transport.forget(node),
            Effect::Log { text, node } => log!("{text}: {}", self.transport.name(node)),
        }
    }

    fn order(&self, id: RequestId, attempt: u32, order: AttemptOrder) {
        if let Some(live) = self.core.borrow().pending.get(&id) {
            live.orders.send_replace(Some((attempt, order)));
        }
    }

    /// Starts an attempt, which ends by itself, when its time is over or when it is given up, whichever is first.
    fn send(self: &Rc<Self>, (id, attempt): (RequestId, u32), node: NodeId, until: Nanos, begin_by: Nanos) {
        let until = self.clock.instant(until);
        let begin_by = (begin_by < Nanos::MAX).then(|| self.clock.instant(begin_by));
        let (carried, mut withdrawal) = {
            let core = self.core.borrow();
            let Some(live) = core.pending.get(&id) else { return };
            if let Some(rights) = &*self.fleet_state.borrow() {
                rights.attempt_sent(id, attempt, node, live.class);
            }
            let withdrawal = Withdrawal { attempt, begin_by, orders: live.orders.subscribe() };
            (self.transport.attempt(node, Rc::clone(&live.payload), until, withdrawal.clone()), withdrawal)
        };
        let exchange = Rc::clone(self);
        tokio::task::spawn_local(async move {
            let (input, brought) = tokio::select! {
                biased;
                ended = tokio::time::timeout_at(until.into(), carried) => match ended {
                    Ok(AttemptReport { outcome, answer, seen_use, foreign_units }) => {
                        (Input::AttemptEnded { id, attempt, outcome, seen_use, foreign_units }, answer)
                    }
                    Err(_) => (Input::AttemptTimedOut { id, attempt }, None),
                },
                () = withdrawal.cancelled() => (Input::AttemptCancelled { id, attempt }, None),
            };
            exchange.feed(input, brought);
        });
    }
}

/// A client that waits. Where it goes before its answer, the desk is told.
struct Waiting<'a, T: Transport> {
    exchange: &'a Rc<Exchange<T>>,
    id: RequestId,
}

impl<T: Transport> Drop for Waiting<'_, T> {
    fn drop(&mut self) {
        self.exchange.feed(Input::ClientGone(self.id), None);
    }
}
