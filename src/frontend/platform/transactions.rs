//! The transaction ids of the requests that are being answered.

use std::cell::RefCell;
use std::collections::HashSet;

/// The transactions that are open at a front.
#[derive(Default)]
pub(super) struct OpenTransactions {
    ids: RefCell<HashSet<u64>>,
}

impl OpenTransactions {
    /// Opens a transaction; `None` where it is open already, since two requests with one id cannot
    /// be distinguished.
    pub(super) fn open(&self, id: u64) -> Option<OpenTransaction<'_>> {
        let inserted = self.ids.borrow_mut().insert(id);
        inserted.then(|| OpenTransaction {
            transactions: self,
            id,
        })
    }
}

/// An open transaction, until it is dropped.
pub(super) struct OpenTransaction<'a> {
    transactions: &'a OpenTransactions,
    id: u64,
}

impl Drop for OpenTransaction<'_> {
    fn drop(&mut self) {
        self.transactions.ids.borrow_mut().remove(&self.id);
    }
}
