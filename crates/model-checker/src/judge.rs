//! Who decides in a world: the decision module that ships, or anything at all that the rules allow.

use std::collections::BTreeMap;
use std::hash::{Hash, Hasher};

use tulipbridge_core::request_tracker::Decisions;
use tulipbridge_core::{Action, CellId, Event, Nanos, NodeId, Outcome, Request, RequestId, Scheduler};

/// Who decides.
#[derive(Clone, Debug)]
pub enum Judge {
    /// The decision module.
    Module(Box<Scheduler>),
    /// The explorer: every decision that the rules allow is a step of its own. Kept is what they hang on.
    Any(BTreeMap<RequestId, Known>),
}

/// What is known of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Known {
    /// Its class.
    pub class: usize,
    /// An attempt of it ended without proof that it never ran.
    pub maybe_ran: bool,
}

impl Judge {
    /// One that lets everything be decided.
    pub fn any() -> Judge {
        Judge::Any(BTreeMap::new())
    }

    /// Whether it waits for nothing.
    pub fn is_at_rest(&self) -> bool {
        match self {
            Judge::Module(scheduler) => scheduler.is_at_rest(),
            Judge::Any(_) => true,
        }
    }

    /// All that its next decision hangs on.
    pub fn fingerprint<H: Hasher>(&self, now: Nanos, h: &mut H) {
        match self {
            Judge::Module(scheduler) => scheduler.fingerprint(now, h),
            Judge::Any(known) => known.hash(h),
        }
    }
}

/// Usual reads go on for so long before all must be well again.
const HEALS: Nanos = 8_000_000_000;
/// Then for so long each must go out at once.
const WELL: Nanos = 500_000_000;
const TICK: Nanos = 10_000_000;

/// Whether a module that has come to rest is well again once answers are good: after [`HEALS`] of a read for each
/// cell in every fifth tick, each answered by the next, none is refused and none waits.
fn recovers(mut module: Scheduler, mut now: Nanos, cells: &[CellId]) -> bool {
    let (began, mut id) = (now, RequestId::MAX / 2);
    let mut actions = Vec::new();
    let mut out: Vec<(RequestId, NodeId, Nanos)> = Vec::new();
    for tick in 0..(HEALS + WELL) / TICK {
        now += TICK;
        for (id, node, at) in std::mem::take(&mut out) {
            let event = Event::AttemptEnded {
                id,
                attempt: 0,
                node,
                outcome: Outcome::Served,
                took: now - at,
                last: true,
                seen_use: 0.0,
                foreign_units: 0.0,
            };
            module.handle(now, event, &mut actions);
        }
        module.handle(now, Event::Timer(1), &mut actions);
        for &cell in cells.iter().filter(|_| tick % 5 == 0) {
            id += 1;
            let request = Request {
                id,
                class: 0,
                plan: 0,
                volume: 1,
                key: None,
                patience: 120_000_000,
                units: 2.0,
                cell: Some(cell),
                front_count: 1,
            };
            let before = actions.len();
            module.handle(now, Event::Request(request), &mut actions);
            let sent = |a: &Action| matches!(a, Action::Send { id: placed, .. } if *placed == id);
            if now - began > HEALS && !actions[before..].iter().any(sent) {
                return false;
            }
        }
        for action in actions.drain(..) {
            if let Action::Send { id, node, .. } = action {
                out.push((id, node, now));
            }
        }
    }
    true
}

impl Judge {
    /// Whether all is well again within a stated time, once answers are good; asked of one that is at rest.
    pub fn recovers(&self, now: Nanos, cells: &[CellId]) -> bool {
        match self {
            Judge::Module(module) => recovers(Scheduler::clone(module), now, cells),
            Judge::Any(_) => true,
        }
    }
}

impl Decisions for Judge {
    fn handle(&mut self, now: Nanos, event: Event, actions: &mut Vec<Action>) {
        match self {
            Judge::Module(scheduler) => scheduler.handle(now, event, actions),
            Judge::Any(known) => match event {
                Event::Request(request) => {
                    known.insert(request.id, Known { class: request.class, maybe_ran: false });
                }
                Event::ClientGone(id) => {
                    known.remove(&id);
                }
                Event::AttemptEnded { id, last: true, .. } => {
                    known.remove(&id);
                }
                Event::AttemptEnded { id, outcome, .. } => {
                    let never =
                        matches!(outcome, Outcome::Rejected | Outcome::NotExecuted | Outcome::NotSent);
                    known.entry(id).and_modify(|k| k.maybe_ran |= !never);
                }
                _ => {}
            },
        }
    }
}
