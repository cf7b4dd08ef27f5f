//! Updates from the fleet: shared limits, ejections and probes, and the front's own shutdown.

use crate::interface::{Nanos, NodeId, VolumeId};

/// A limit that all fronts share.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum SharedLimit {
    /// The units of work of a volume.
    Volume(VolumeId),
    /// The retries of all requests.
    Retries,
    /// The units sent to any one chunk server that is warming up.
    WarmingUpNode,
    /// The requests in flight at any one chunk server; a value below 1 limits their pace.
    InFlightPerNode,
}

/// The index of the bit of a [`ClassSet`] that stands for this class and all later ones.
const LAST_CLASS_BIT: usize = 63;

/// The request classes for which a chunk server is ejected, as a bit for each class. All classes
/// from 63 on share the last bit.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct ClassSet(u64);

impl ClassSet {
    /// The empty set.
    pub const NONE: ClassSet = ClassSet(0);
    /// The set of all classes.
    pub const ALL: ClassSet = ClassSet(u64::MAX);

    /// Returns this set with one more class.
    #[must_use]
    pub fn with(self, class: usize) -> ClassSet {
        ClassSet(self.0 | 1 << class.min(LAST_CLASS_BIT))
    }

    /// Returns the bits of the set; the lowest stands for class 0.
    pub fn bits(self) -> u64 {
        self.0
    }

    /// Returns whether a class is in the set.
    pub fn contains(self, class: usize) -> bool {
        self.0 >> class.min(LAST_CLASS_BIT) & 1 == 1
    }
}

/// An instruction that this front follows from now on.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum FleetUpdate {
    /// This front's part of a shared limit. For a volume it replaces an even part of the volume's
    /// limit. It applies in addition to all other rules.
    SharedLimit {
        /// What is limited.
        limit: SharedLimit,
        /// Units or attempts per second; requests in flight for [`SharedLimit::InFlightPerNode`].
        rate: f64,
        /// The maximum of units or attempts that accumulate; unused for
        /// [`SharedLimit::InFlightPerNode`].
        burst: f64,
        /// When the limit takes effect; this may be in the past.
        at: Nanos,
    },
    /// The classes for which all fronts eject a chunk server from now on.
    Ejection {
        /// The chunk server that is ejected or readmitted.
        node: NodeId,
        /// The ejected classes; the empty set readmits the chunk server.
        classes: ClassSet,
    },
    /// A request for one probe: the next idempotent request is sent to an ejected chunk server.
    Probe {
        /// The ejected chunk server to probe.
        node: NodeId,
        /// No probe is sent after this time.
        until: Nanos,
    },
    /// The front shuts down: all its requests are answered by a deadline, however long their
    /// clients would wait.
    Shutdown {
        /// When all requests must be answered.
        deadline: Nanos,
    },
}
