//! The count of connections to chunk servers that are open or being dialled.

use std::cell::Cell;
use std::rc::Rc;

/// How many connections are open or being dialled.
#[derive(Clone, Default)]
pub(super) struct OpenConnections(Rc<Cell<usize>>);

impl OpenConnections {
    /// The number of connections.
    pub fn count(&self) -> usize {
        self.0.get()
    }

    /// Counts one more connection.
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
