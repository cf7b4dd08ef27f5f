//! Acknowledgements of a front's own entries by its peers.

use crate::Incarnation;

/// The version of this front's entries that an incarnation of a peer has acknowledged.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Acknowledgement {
    pub(super) incarnation: Incarnation,
    pub(super) version: u64,
}

impl Acknowledgement {
    /// The acknowledged version, 0 if the peer now runs another incarnation.
    pub(super) fn version_by(self, incarnation: Incarnation) -> u64 {
        if self.incarnation == incarnation {
            self.version
        } else {
            0
        }
    }
}
