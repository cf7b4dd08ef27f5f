//! Who decides in a world: the decision module that ships, or anything at all that the rules allow.

use std::collections::BTreeMap;
use std::hash::{Hash, Hasher};

use tulipbridge_core::desk::Decisions;
use tulipbridge_core::{Action, Event, Nanos, Outcome, ReqId, Scheduler};

/// Who decides.
#[derive(Clone, Debug)]
pub enum Judge {
    /// The decision module.
    Module(Box<Scheduler>),
    /// The explorer: every decision that the rules allow is a step of its own. Kept is what they hang on.
    Any(BTreeMap<ReqId, Known>),
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

impl Decisions for Judge {
    fn handle(&mut self, now: Nanos, event: Event, actions: &mut Vec<Action>) {
        match self {
            Judge::Module(scheduler) => scheduler.handle(now, event, actions),
            Judge::Any(known) => match event {
                Event::Request(request) => {
                    known.insert(request.id, Known { class: request.class, maybe_ran: false });
                }
                Event::Gone(id) => {
                    known.remove(&id);
                }
                Event::Ended { id, last: true, .. } => {
                    known.remove(&id);
                }
                Event::Ended { id, outcome, .. } => {
                    let never = matches!(outcome, Outcome::Busy | Outcome::Refused | Outcome::Skipped);
                    known.entry(id).and_modify(|k| k.maybe_ran |= !never);
                }
                _ => {}
            },
        }
    }
}
