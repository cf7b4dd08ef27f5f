//! Acknowledgements that peers send for this front's own entries.

use crate::Incarnation;

/// The version of this front's entries up to which an incarnation of a peer has acknowledged them.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Acknowledgement {
    pub(super) incarnation: Incarnation,
    pub(super) version: u64,
}

impl Acknowledgement {
    /// Returns the version acknowledged by an incarnation of the peer, 0 if the acknowledgement is
    /// from another incarnation.
    pub(super) fn version_by(self, incarnation: Incarnation) -> u64 {
        if self.incarnation == incarnation {
            self.version
        } else {
            0
        }
    }
}
