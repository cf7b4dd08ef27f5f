//! Where the client side and the server side meet, and the only place where they do. It knows requests,
//! attempts and outcomes, and no wire: a front asks with a payload, a transport carries attempts, and the
//! decision module in between is fed events in order and has its actions carried out.

use std::cell::RefCell;
use std::collections::HashMap;
use std::future::Future;
use std::rc::Rc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use tokio::sync::{oneshot, watch, Notify};

use crate::log::log;
use tulipbridge_core::*;

/// A module that leaves a request unanswered for this long past its deadline is overruled with a failure.
/// Guards the rule of one final answer against faults of ours; well inside the slack that clients grant.
const OVERDUE: Duration = Duration::from_millis(20);

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
}

/// How an attempt ended, and what came back.
pub struct Ended<A> {
    /// The outcome; what came back is an answer only where it is `Done`.
    pub outcome: Outcome,
    /// What goes to the client.
    pub answer: Option<A>,
    /// 1 + the volume's use in percent of its plan's rate; 0 is unknown.
    pub seen_use: f64,
    /// Units that the node served the volume through other fronts.
    pub foreign_units: f64,
}

impl<A> From<Outcome> for Ended<A> {
    fn from(outcome: Outcome) -> Ended<A> {
        Ended { outcome, answer: None, seen_use: 0.0, foreign_units: 0.0 }
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

    /// One attempt, sent once at the most. Dropping the future gives the attempt up.
    fn attempt(
        &self,
        node: NodeId,
        payload: Rc<Self::Payload>,
        until: Instant,
    ) -> impl Future<Output = Ended<Self::Answer>> + 'static;
}

/// The final answer to a request.
#[derive(Debug)]
pub enum Final<A> {
    /// A node's answer.
    Served(A),
    /// It never ran, or repeating is harmless; the client may come back after the wait.
    Refused(Duration),
    /// Nothing is promised.
    Failed,
}

struct Live<T: Transport> {
    payload: Rc<T::Payload>,
    until: Instant,
    /// Taken by the final answer, so that there is one.
    answer: Option<oneshot::Sender<Final<T::Answer>>>,
    tries: u32,
    out: u32,
    /// The attempt that has been given up last.
    cancelled: watch::Sender<Option<u32>>,
}

struct Core<T: Transport> {
    scheduler: Scheduler,
    live: HashMap<ReqId, Live<T>>,
    next: ReqId,
}

/// The meeting place. Its methods must be called inside a tokio `LocalSet`.
pub struct Exchange<T: Transport> {
    core: RefCell<Core<T>>,
    transport: T,
    clock: Clock,
    subscribe: Notify,
}

impl<T: Transport> Exchange<T> {
    /// An exchange with nothing in it.
    ///
    /// # Errors
    /// When the settings cannot hold.
    pub fn new(settings: Settings, seed: u64, transport: T) -> Result<Rc<Self>, SettingsError> {
        let clock = Clock::start();
        let scheduler = Scheduler::new(settings, seed, clock.now())?;
        let core = Core { scheduler, live: HashMap::new(), next: 0 };
        Ok(Rc::new(Exchange { core: RefCell::new(core), transport, clock, subscribe: Notify::new() }))
    }

    /// What carries the attempts.
    pub fn transport(&self) -> &T {
        &self.transport
    }

    /// Requests not yet answered, or with attempts out.
    pub fn held(&self) -> usize {
        self.core.borrow().live.len()
    }

    /// Returns when the module next wants the node list.
    pub async fn subscribe_wanted(&self) {
        self.subscribe.notified().await;
    }

    /// News of the node list.
    pub fn fleet(self: &Rc<Self>, scope: Scope, nodes: Vec<NodeInfo>) {
        self.feed(Event::Fleet { scope, nodes });
    }

    /// Takes a request and gives its one final answer. `request.id` is given here. Dropping the future says
    /// that the client has gone.
    pub async fn ask(self: &Rc<Self>, mut request: Request, payload: T::Payload) -> Final<T::Answer> {
        let patience = Duration::from_nanos(request.patience.max(0) as u64);
        let (sender, answer) = oneshot::channel();
        {
            let mut core = self.core.borrow_mut();
            request.id = core.next;
            core.next += 1;
            let until = Instant::now() + patience;
            let payload = Rc::new(payload);
            let (answer, cancelled) = (Some(sender), watch::Sender::new(None));
            core.live.insert(request.id, Live { payload, until, answer, tries: 0, out: 0, cancelled });
        }
        let waiting = Waiting { exchange: self, id: request.id };
        self.feed(Event::Request(request));
        let answer = tokio::time::timeout(patience + OVERDUE, answer).await;
        drop(waiting);
        match answer {
            Ok(Ok(answer)) => answer,
            _ => Final::Failed,
        }
    }

    fn feed(self: &Rc<Self>, event: Event) {
        let mut actions = Vec::new();
        self.core.borrow_mut().scheduler.handle(self.clock.now(), event, &mut actions);
        for action in actions {
            self.carry_out(action);
        }
    }

    /// Nothing in here feeds the module, so events and actions keep their order.
    fn carry_out(self: &Rc<Self>, action: Action) {
        match action {
            Action::Place { id, node, patience } => self.place(id, node, patience),
            Action::Refuse { id, wait } => {
                self.answer(id, Final::Refused(Duration::from_nanos(wait.max(0) as u64)));
            }
            Action::Fail(id) => self.answer(id, Final::Failed),
            Action::Sleep { after, cookie } => {
                let exchange = Rc::clone(self);
                tokio::task::spawn_local(async move {
                    tokio::time::sleep(Duration::from_nanos(after.max(0) as u64)).await;
                    exchange.feed(Event::Timer(cookie));
                });
            }
            Action::Cancel { id, attempt } => {
                if let Some(live) = self.core.borrow().live.get(&id) {
                    live.cancelled.send_replace(Some(attempt));
                }
            }
            Action::Subscribe => self.subscribe.notify_one(),
            Action::Forget(node) => self.transport.forget(node),
            Action::Note { text, node } => log!("{text}: {}", self.transport.name(node)),
        }
    }

    fn place(self: &Rc<Self>, id: ReqId, node: NodeId, patience: Nanos) {
        let mut core = self.core.borrow_mut();
        let Some(live) = core.live.get_mut(&id) else { return };
        let attempt = live.tries;
        live.tries += 1;
        live.out += 1;
        let now = Instant::now();
        let until = match patience {
            0 => live.until,
            some => live.until.min(now + Duration::from_nanos(some.max(0) as u64)),
        };
        let carried = self.transport.attempt(node, Rc::clone(&live.payload), until);
        let mut cancelled = live.cancelled.subscribe();
        let exchange = Rc::clone(self);
        tokio::task::spawn_local(async move {
            let ended = tokio::select! {
                biased;
                ended = tokio::time::timeout_at(until.into(), carried) => {
                    ended.unwrap_or_else(|_| Outcome::TimedOut.into())
                }
                Ok(_) = cancelled.wait_for(|c| *c == Some(attempt)) => Outcome::Canceled.into(),
            };
            exchange.ended(id, attempt, node, ended, now.elapsed().as_nanos() as Nanos);
        });
    }

    fn ended(self: &Rc<Self>, id: ReqId, attempt: u32, node: NodeId, ended: Ended<T::Answer>, took: Nanos) {
        let last = {
            let mut core = self.core.borrow_mut();
            let Some(live) = core.live.get_mut(&id) else { return };
            live.out -= 1;
            if let Some(answer) = ended.answer {
                live.settle(Final::Served(answer));
            }
            let last = live.answer.is_none();
            core.forget(id);
            last
        };
        let Ended { outcome, seen_use, foreign_units, .. } = ended;
        self.feed(Event::Ended { id, attempt, node, outcome, took, last, seen_use, foreign_units });
    }

    fn answer(&self, id: ReqId, answer: Final<T::Answer>) {
        let mut core = self.core.borrow_mut();
        if let Some(live) = core.live.get_mut(&id) {
            live.settle(answer);
        }
        core.forget(id);
    }
}

impl<T: Transport> Live<T> {
    /// The first final answer goes out, whatever comes after it does not.
    fn settle(&mut self, answer: Final<T::Answer>) {
        if let Some(sender) = self.answer.take() {
            // The client may have left in this very moment.
            let _ = sender.send(answer);
        }
    }
}

impl<T: Transport> Core<T> {
    fn forget(&mut self, id: ReqId) {
        if self.live.get(&id).is_some_and(|l| l.answer.is_none() && l.out == 0) {
            self.live.remove(&id);
        }
    }
}

/// A client that waits. Where it goes before its answer, the module is told.
struct Waiting<'a, T: Transport> {
    exchange: &'a Rc<Exchange<T>>,
    id: ReqId,
}

impl<T: Transport> Drop for Waiting<'_, T> {
    fn drop(&mut self) {
        let left = {
            let mut core = self.exchange.core.borrow_mut();
            let left = core.live.get_mut(&self.id).is_some_and(|l| l.answer.take().is_some());
            core.forget(self.id);
            left
        };
        if left {
            self.exchange.feed(Event::Gone(self.id));
        }
    }
}
