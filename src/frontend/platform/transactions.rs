//! The transaction ids of the open requests of a front.

use std::cell::RefCell;
use std::collections::HashSet;

/// The set of transactions that are open at a front.
#[derive(Default)]
pub(super) struct OpenTransactions {
    ids: RefCell<HashSet<u64>>,
}

impl OpenTransactions {
    /// Opens a transaction. Returns `None` where one with this id is already open, since two
    /// requests with the same id cannot be distinguished.
    pub(super) fn open(&self, id: u64) -> Option<OpenTransaction<'_>> {
        let inserted = self.ids.borrow_mut().insert(id);
        inserted.then(|| OpenTransaction {
            transactions: self,
            id,
        })
    }
}

/// Guard of an open transaction; dropping it closes the transaction.
pub(super) struct OpenTransaction<'a> {
    transactions: &'a OpenTransactions,
    id: u64,
}

impl Drop for OpenTransaction<'_> {
    fn drop(&mut self) {
        self.transactions.ids.borrow_mut().remove(&self.id);
    }
}
