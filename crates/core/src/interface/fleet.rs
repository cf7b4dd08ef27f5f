//! Updates from the fleet: shared limits, ejections, probes and the front's own shutdown.

use crate::interface::{Nanos, NodeId, VolumeId};

/// A limit that all fronts share.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum SharedLimit {
    /// The units of a volume.
    Volume(VolumeId),
    /// Retries of any request.
    Retries,
    /// Units to any one chunk server that has just started.
    WarmingUpNode,
    /// Requests in flight at any one chunk server; below 1 it is a pace.
    InFlightPerNode,
}

/// The index of the bit that stands for the last class of a [`ClassSet`] and for all after it.
const LAST_CLASS_BIT: usize = 63;

/// The request classes for which a chunk server is ejected: a bit for each class, the last bit for
/// all from there on.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct ClassSet(u64);

impl ClassSet {
    /// No class.
    pub const NONE: ClassSet = ClassSet(0);
    /// All classes.
    pub const ALL: ClassSet = ClassSet(u64::MAX);

    /// This set and one class more.
    #[must_use]
    pub fn with(self, class: usize) -> ClassSet {
        ClassSet(self.0 | 1 << class.min(LAST_CLASS_BIT))
    }

    /// The bits, the lowest for class 0.
    pub fn bits(self) -> u64 {
        self.0
    }

    /// Whether a class is in the set.
    pub fn contains(self, class: usize) -> bool {
        self.0 >> class.min(LAST_CLASS_BIT) & 1 == 1
    }
}

/// An update from the fleet.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum FleetUpdate {
    /// This front's part of a shared limit. It replaces an even part of a volume's limit, and holds
    /// beside all other rules.
    SharedLimit {
        /// The limit.
        limit: SharedLimit,
        /// Units or attempts per second; requests in flight for [`SharedLimit::InFlightPerNode`].
        rate: f64,
        /// The most units or attempts that accumulate; unused for [`SharedLimit::InFlightPerNode`].
        burst: f64,
        /// From when it holds; may be in the past.
        at: Nanos,
    },
    /// The classes for which all fronts eject a chunk server from now on.
    Ejection {
        /// The chunk server.
        node: NodeId,
        /// The classes; none readmits it.
        classes: ClassSet,
    },
    /// An ejected chunk server is to be probed: the next idempotent request is sent there, once.
    Probe {
        /// The chunk server.
        node: NodeId,
        /// No probe is sent after this time.
        until: Nanos,
    },
    /// The front shuts down: all its requests are answered by a deadline, however long their
    /// clients would wait.
    Shutdown {
        /// The deadline.
        deadline: Nanos,
    },
}
