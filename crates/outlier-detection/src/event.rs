//! Inputs and outputs of an [`OutlierDetector`](crate::OutlierDetector).

use crate::{ClassId, EjectionTarget, EntryKey, SampleQuality, ServerId};

/// A server of the endpoint list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct KnownServer {
    /// The run of the server that the list has.
    pub id: ServerId,
    /// Whether the list has the server as up.
    pub is_up: bool,
}

/// An input of the detector.
#[derive(Clone, Debug)]
pub enum Event {
    /// The endpoint list has changed. Holds all servers that it has now.
    Servers(Vec<KnownServer>),
    /// An attempt has ended, or is overdue.
    Attempt {
        /// The server that the attempt was sent to.
        server: ServerId,
        /// The class of work that the attempt belongs to.
        class: ClassId,
        /// The result of the attempt.
        quality: SampleQuality,
    },
    /// A probe of an ejected server has ended, or is overdue. It counts as an attempt, too.
    Probed {
        /// The server that was probed.
        server: ServerId,
        /// The class of work that the probe belongs to.
        class: ClassId,
        /// The result of the probe.
        quality: SampleQuality,
    },
    /// Time has passed, or gossip entries have arrived: all evidence and votes are evaluated.
    Evaluate,
}

/// An output of the detector, to be carried out by its caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Effect {
    /// Publish a gossip entry of this front, or withdraw it if the value is `None`.
    Put(EntryKey, Option<Vec<u8>>),
    /// Eject a server for a scope.
    Ejected(EjectionTarget),
    /// End an ejection.
    Readmitted {
        /// The server and the scope for which it was ejected.
        target: EjectionTarget,
        /// Whether enough probes in a row have succeeded.
        healthy: bool,
    },
    /// Probe a server once, since it is this front's turn, within
    /// [`probe_turn`](crate::DetectorConfig::probe_turn).
    Probe(ServerId),
    /// Report that this front has become suspect, because its evidence contradicts that of most
    /// peers and is ignored, or that it is suspect no longer.
    Suspect(bool),
}
