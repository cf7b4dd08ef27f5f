//! Explanations of ejections for operators.

use crate::{EjectionTarget, Nanos, PeerId, ZoneId};

/// A front's vote for an ejection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Vote {
    /// The front that voted.
    pub front: PeerId,
    /// The zone of that front.
    pub zone: ZoneId,
    /// Upper limit of the time since the vote was published.
    pub age: Nanos,
}

/// A front's evidence on a server.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Observation {
    /// The front whose evidence it is.
    pub front: PeerId,
    /// Number of the front's attempts at the server, with exponential decay.
    pub attempts: f64,
    /// Number of failed attempts among these.
    pub failures: f64,
    /// Upper limit of the time since the evidence was published; 0 for the reporting
    /// front's own evidence.
    pub age: Nanos,
    /// Whether the evidence counts. That of a suspect front does not.
    pub counts: bool,
}

/// Why a target is ejected, or why it is not.
#[derive(Clone, Debug, PartialEq)]
pub struct EjectionReport {
    /// The server and the scope that the report is about.
    pub target: EjectionTarget,
    /// Time since which this front has ejected the target, if it has.
    pub ejected_since: Option<Nanos>,
    /// The votes for the ejection that have not expired.
    pub votes: Vec<Vote>,
    /// The evidence of each front on the target's server.
    pub observations: Vec<Observation>,
    /// The front whose turn it is to probe the server, while it is ejected.
    pub prober: Option<PeerId>,
}
