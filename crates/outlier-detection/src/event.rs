//! Inputs and outputs of an [`OutlierDetector`](crate::OutlierDetector).

use crate::{ClassId, EjectionTarget, EntryKey, SampleQuality, ServerId};

/// A server of the endpoint list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct KnownServer {
    /// The server.
    pub id: ServerId,
    /// Whether the list has it as up.
    pub is_up: bool,
}

/// An input of the detector.
#[derive(Clone, Debug)]
pub enum Event {
    /// The endpoint list has changed: all servers that it has now.
    Servers(Vec<KnownServer>),
    /// An attempt has ended.
    Attempt {
        /// The server that it was sent to.
        server: ServerId,
        /// The class of work.
        class: ClassId,
        /// Its result.
        quality: SampleQuality,
    },
    /// A probe of an ejected server has ended. It counts as an attempt, too.
    Probed {
        /// The server.
        server: ServerId,
        /// The class of work.
        class: ClassId,
        /// Its result.
        quality: SampleQuality,
    },
    /// Time has passed, or gossip entries have arrived.
    Evaluate,
}

/// An output of the detector, to be carried out by its caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Effect {
    /// Publish a gossip entry of this front, or withdraw it where there is no value.
    Put(EntryKey, Option<Vec<u8>>),
    /// Eject a server.
    Ejected(EjectionTarget),
    /// End an ejection.
    Readmitted {
        /// What was ejected.
        target: EjectionTarget,
        /// Whether enough probes in a row have succeeded.
        healthy: bool,
    },
    /// It is this front's turn to probe a server, once, within
    /// [`probe_turn`](crate::DetectorConfig::probe_turn).
    Probe(ServerId),
    /// Whether this front's evidence contradicts that of most peers, so that it is ignored.
    Suspect(bool),
}
