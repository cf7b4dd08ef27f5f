//! What all initiators together hold a node out for, as one of them is told, merged with what it saw itself.
//!
//! Untold, nothing here holds anything back.

use std::hash::{Hash, Hasher};

use crate::interface::{CellId, ClassSet, Listed, Nanos, NodeId, Request, Semantics};
use crate::state::{Live, Node, Scheduler};

/// Own answers in time in a row that end a verdict here: as many as good trials end it for all. Ours.
const READMIT_AFTER: u8 = 8;
/// A node that is held out no more counts as one that starts for this long. Ours.
const READMIT_WARMUP: Nanos = 4_000_000_000;

/// How a node stands with all initiators, as one of them sees it.
#[derive(Clone, Debug, Default)]
pub(crate) struct EjectionState {
    ejected_for: ClassSet,
    /// Own answers in time in a row since it is out.
    good_answers: u8,
    /// Until then the next request that may run again goes there, whatever the verdict.
    probe_until: Nanos,
}

impl EjectionState {
    /// Whether it is held out for a class of work.
    pub fn is_ejected(&self, class: usize) -> bool {
        self.ejected_for.contains(class) && self.good_answers < READMIT_AFTER
    }

    /// Whether it is held out for all work.
    pub fn is_fully_ejected(&self) -> bool {
        self.ejected_for == ClassSet::ALL && self.good_answers < READMIT_AFTER
    }

    /// Whether it is to be tried now.
    pub fn is_probe_due(&self, now: Nanos) -> bool {
        now < self.probe_until
    }

    /// A request goes there that may be the trial.
    pub fn note_probe(&mut self) {
        self.probe_until = 0;
    }

    /// An own attempt there was answered in time, or was not. Work for which it is not out says nothing of it.
    pub fn note_result(&mut self, class: usize, bad: bool) {
        if self.ejected_for.contains(class) {
            self.good_answers = if bad { 0 } else { self.good_answers.saturating_add(1) };
        }
    }

    /// All that later decisions hang on.
    pub fn fingerprint<H: Hasher>(&self, now: Nanos, h: &mut H) {
        (self.ejected_for, self.good_answers.min(READMIT_AFTER), (self.probe_until - now).max(0)).hash(h);
    }
}

impl Scheduler {
    /// Takes for which work a node is held out from now on. One that comes back counts as one that starts, lest all
    /// initiators meet it at once.
    pub(crate) fn apply_ejection(&mut self, at: NodeId, out: ClassSet) {
        let now = self.now;
        let Some(node) = self.nodes.get_mut(&at) else { return };
        let before = std::mem::replace(&mut node.standing.ejected_for, out);
        if before == ClassSet::NONE && out != ClassSet::NONE {
            node.standing.good_answers = 0;
        }
        if before != ClassSet::NONE && out == ClassSet::NONE {
            node.standing.note_probe();
            if node.cold_since.is_none() {
                node.start_cold(now, now + READMIT_WARMUP);
                node.cold_level = 0.0;
            }
        }
    }

    /// The next request that may run again goes to a node, once.
    pub(crate) fn apply_probe(&mut self, at: NodeId, until: Nanos) {
        self.nodes.entry(at).and_modify(|n| n.standing.probe_until = until);
    }

    /// Whether a verdict keeps a request from a node: a new object while another node is there for it, what is stored
    /// while its shard has another holder. The last one is never out for what only it can do.
    pub(crate) fn is_blocked(&self, live: &Live, at: NodeId) -> bool {
        let (class, node) = (live.req.class, &self.nodes[&at]);
        if !node.standing.is_ejected(class)
            || (node.standing.is_probe_due(self.now) && self.may_probe(&live.req))
        {
            return false;
        }
        match live.req.cell {
            Some(cell) => self.up(cell).any(|(_, n)| !n.standing.is_ejected(class)),
            None => self.nodes.values().any(|n| n.listed == Listed::Up && !n.standing.is_ejected(class)),
        }
    }

    /// The shard of a node that is to be tried, where a request may be the trial.
    pub(crate) fn cell_to_probe(&self, req: &Request) -> Option<CellId> {
        if !self.may_probe(req) {
            return None;
        }
        let room = |n: &Node| !n.is_full() && self.cold_room(n) >= req.units;
        let due = |n: &&Node| n.standing.is_probe_due(self.now) && n.listed == Listed::Up && room(n);
        self.nodes.values().find(due).map(|n| n.cell)
    }

    /// Work that may run only once is never a trial.
    pub(crate) fn may_probe(&self, req: &Request) -> bool {
        self.set.classes[req.class].semantics == Semantics::Idempotent
    }
}
