//! The gossip entries of outlier detection: their kinds, keys and values.
//!
//! Kinds and values are part of the wire format: fronts of two versions run side by side during an
//! upgrade.

use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use tulipbridge_membership::EntryKey;

use crate::{EjectionTarget, ServerId, ZoneId};

/// Kind of the entries with a front's [`Evidence`](crate::Evidence) on a server; the id is the
/// server.
pub const EVIDENCE: u8 = 2;
/// Kind of the entries with a front's vote for an ejection; the id is [`EjectionTarget::id`].
pub const VOTE: u8 = 3;
/// Kind of the entries with the number of a front's probes of a server that have succeeded in a
/// row; the id is the server.
pub const PROBE: u8 = 4;

/// Returns the key of a front's evidence on a server.
pub(crate) fn evidence_key(server: ServerId) -> EntryKey {
    EntryKey {
        kind: EVIDENCE,
        id: server.0,
    }
}

/// Returns the key of a front's vote for an ejection.
pub(crate) fn vote_key(target: EjectionTarget) -> EntryKey {
    EntryKey {
        kind: VOTE,
        id: target.id(),
    }
}

/// Returns the key of a front's probe results of a server.
pub(crate) fn probe_key(server: ServerId) -> EntryKey {
    EntryKey {
        kind: PROBE,
        id: server.0,
    }
}

/// Value of a vote's entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct VoteEntry {
    /// The target that the voter votes to eject.
    pub target: EjectionTarget,
    /// The voter's zone.
    pub zone: ZoneId,
}

/// Value of an entry with probe results.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct ProbeEntry {
    /// Number of probes that have succeeded in a row.
    pub successes: u8,
}

impl ProbeEntry {
    /// Encodes the value, which has one byte.
    pub fn encode(self) -> Vec<u8> {
        vec![self.successes]
    }

    /// Decodes a value; returns `None` if it is malformed.
    pub fn decode(value: &[u8]) -> Option<ProbeEntry> {
        match value {
            [successes] => Some(ProbeEntry {
                successes: *successes,
            }),
            _ => None,
        }
    }
}

/// Encodes the value of an evidence or vote entry; returns `None` if that fails.
pub(crate) fn encode<T: Serialize>(value: &T) -> Option<Vec<u8>> {
    postcard::to_stdvec(value).ok()
}

/// Decodes the value of an evidence or vote entry; returns `None` if it is malformed or followed by
/// further bytes.
pub(crate) fn decode<T: DeserializeOwned>(value: &[u8]) -> Option<T> {
    match postcard::take_from_bytes(value) {
        Ok((decoded, [])) => Some(decoded),
        _ => None,
    }
}
