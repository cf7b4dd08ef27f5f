//! Explanations of ejections for operators.

use crate::{EjectionTarget, Nanos, PeerId, ZoneId};

/// A front's vote for an ejection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Vote {
    /// The voter.
    pub front: PeerId,
    /// The voter's zone.
    pub zone: ZoneId,
    /// Upper bound of the time since the vote was published.
    pub age: Nanos,
}

/// A front's evidence on a server.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Observation {
    /// The front.
    pub front: PeerId,
    /// Its attempts, with exponential decay.
    pub attempts: f64,
    /// Its failed attempts among these.
    pub failures: f64,
    /// Upper bound of the time since the evidence was published.
    pub age: Nanos,
    /// Whether the evidence counts: that of a suspect front does not.
    pub counts: bool,
}

/// Why a target is ejected, or why it is not.
#[derive(Clone, Debug, PartialEq)]
pub struct EjectionReport {
    /// The target.
    pub target: EjectionTarget,
    /// Since when this front has ejected it, if it has.
    pub ejected_since: Option<Nanos>,
    /// The votes for its ejection.
    pub votes: Vec<Vote>,
    /// The evidence of each front.
    pub observations: Vec<Observation>,
    /// The front whose turn it is to probe it, while it is ejected.
    pub prober: Option<PeerId>,
}
