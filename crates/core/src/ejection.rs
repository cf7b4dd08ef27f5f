//! What all initiators together hold a node out for, as one of them is told, merged with what it saw itself.
//!
//! Untold, nothing here holds anything back.

use std::hash::{Hash, Hasher};

use crate::interface::{CellId, ClassSet, Listed, Nanos, NodeId, Request, Semantics};
use crate::state::{Live, Node, Scheduler};

/// Own answers in time in a row that end a verdict here: as many as good trials end it for all. Ours.
const OWN_GOOD: u8 = 8;
/// A node that is held out no more counts as one that starts for this long. Ours.
const RAMP: Nanos = 4_000_000_000;

/// How a node stands with all initiators, as one of them sees it.
#[derive(Clone, Debug, Default)]
pub(crate) struct Standing {
    out: ClassSet,
    /// Own answers in time in a row since it is out.
    good: u8,
    /// Until then the next request that may run again goes there, whatever the verdict.
    try_until: Nanos,
}

impl Standing {
    /// Whether it is held out for a class of work.
    pub fn is_out(&self, class: usize) -> bool {
        self.out.contains(class) && self.good < OWN_GOOD
    }

    /// Whether it is held out for all work.
    pub fn is_out_for_all(&self) -> bool {
        self.out == ClassSet::ALL && self.good < OWN_GOOD
    }

    /// Whether it is to be tried now.
    pub fn is_tried(&self, now: Nanos) -> bool {
        now < self.try_until
    }

    /// A request goes there that may be the trial.
    pub fn tried(&mut self) {
        self.try_until = 0;
    }

    /// An own attempt there was answered in time, or was not. Work for which it is not out says nothing of it.
    pub fn note(&mut self, class: usize, bad: bool) {
        if self.out.contains(class) {
            self.good = if bad { 0 } else { self.good.saturating_add(1) };
        }
    }

    /// All that later decisions hang on.
    pub fn fingerprint<H: Hasher>(&self, now: Nanos, h: &mut H) {
        (self.out, self.good.min(OWN_GOOD), (self.try_until - now).max(0)).hash(h);
    }
}

impl Scheduler {
    /// Takes for which work a node is held out from now on. One that comes back counts as one that starts, lest all
    /// initiators meet it at once.
    pub(crate) fn tell_standing(&mut self, at: NodeId, out: ClassSet) {
        let now = self.now;
        let Some(node) = self.nodes.get_mut(&at) else { return };
        let before = std::mem::replace(&mut node.standing.out, out);
        if before == ClassSet::NONE && out != ClassSet::NONE {
            node.standing.good = 0;
        }
        if before != ClassSet::NONE && out == ClassSet::NONE {
            node.standing.tried();
            if node.cold_since.is_none() {
                node.start_cold(now, now + RAMP);
                node.cold_level = 0.0;
            }
        }
    }

    /// The next request that may run again goes to a node, once.
    pub(crate) fn tell_trial(&mut self, at: NodeId, until: Nanos) {
        self.nodes.entry(at).and_modify(|n| n.standing.try_until = until);
    }

    /// Whether a verdict keeps a request from a node: a new object while another node is there for it, what is stored
    /// while its shard has another holder. The last one is never out for what only it can do.
    pub(crate) fn is_barred(&self, live: &Live, at: NodeId) -> bool {
        let (class, node) = (live.req.class, &self.nodes[&at]);
        if !node.standing.is_out(class) || (node.standing.is_tried(self.now) && self.may_try(&live.req)) {
            return false;
        }
        match live.req.cell {
            Some(cell) => self.up(cell).any(|(_, n)| !n.standing.is_out(class)),
            None => self.nodes.values().any(|n| n.listed == Listed::Up && !n.standing.is_out(class)),
        }
    }

    /// The shard of a node that is to be tried, where a request may be the trial.
    pub(crate) fn cell_to_try(&self, req: &Request) -> Option<CellId> {
        if !self.may_try(req) {
            return None;
        }
        let room = |n: &Node| !n.is_full() && self.cold_room(n) >= req.units;
        let due = |n: &&Node| n.standing.is_tried(self.now) && n.listed == Listed::Up && room(n);
        self.nodes.values().find(due).map(|n| n.cell)
    }

    /// Work that may run only once is never a trial.
    pub(crate) fn may_try(&self, req: &Request) -> bool {
        self.set.classes[req.class].semantics == Semantics::Idempotent
    }
}
