//! Counts the connections to chunk servers that are open or being dialed.

use std::cell::Cell;
use std::rc::Rc;

/// The number of connections that are open or being dialed. Clones share the count.
#[derive(Clone, Default)]
pub(super) struct OpenConnections(Rc<Cell<usize>>);

impl OpenConnections {
    /// Returns the number of connections.
    pub fn count(&self) -> usize {
        self.0.get()
    }

    /// Counts one more connection, until the returned slot is dropped.
    pub fn acquire(&self) -> OpenSlot {
        self.0.set(self.0.get() + 1);
        OpenSlot(self.clone())
    }
}

/// Counts a connection as open until it is dropped.
pub(super) struct OpenSlot(OpenConnections);

impl Drop for OpenSlot {
    fn drop(&mut self) {
        let OpenConnections(count) = &self.0;
        count.set(count.get() - 1);
    }
}
