//! The transaction ids that a front has seen: those of open requests, and those of requests that may
//! have run and must not run again, here or at another process of the front.

use std::cell::RefCell;
use std::collections::HashSet;

use super::shared_ids::SharedIds;
use super::used_ids::UsedIds;

/// Which requests may have the id of an earlier one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum IdReuse {
    /// Any that comes once the earlier request has ended: running it again does no harm.
    AfterEnd,
    /// Only one that comes after a rejection, which promises that the earlier request has not run.
    AfterRejection,
}

/// The transactions that are open at a front, and the latest ones that may not run again.
pub(super) struct Transactions {
    state: RefCell<State>,
}

#[derive(Default)]
struct State {
    open: HashSet<u64>,
    used: UsedIds,
    /// `None` where the front has no folder that its processes share.
    shared: Option<SharedIds>,
}

impl State {
    /// Adds an id to the open ones. Returns whether it is new.
    fn open(&mut self, id: u64, reuse: IdReuse) -> bool {
        if self.open.contains(&id) {
            return false;
        }
        if let Some(shared) = &mut self.shared {
            // Written first: of two processes that get the same id now, one finds the other's.
            if reuse == IdReuse::AfterRejection {
                shared.publish(id);
            }
            shared.read_others(|id| self.used.insert(id));
        }
        !self.used.contains(id) && self.open.insert(id)
    }
}

impl Transactions {
    /// Creates a set without transactions, beside those of `shared`.
    pub(super) fn new(shared: Option<SharedIds>) -> Transactions {
        let state = State {
            shared,
            ..State::default()
        };
        Transactions {
            state: RefCell::new(state),
        }
    }

    /// Opens a transaction. Returns `None` where one with this id is open, since two requests with
    /// the same id cannot be distinguished, or where one may have run that must not run again. Its
    /// client may have left, or have an answer.
    pub(super) fn open(&self, id: u64, reuse: IdReuse) -> Option<OpenTransaction<'_>> {
        let is_new = self.state.borrow_mut().open(id, reuse);
        is_new.then(|| OpenTransaction {
            transactions: self,
            id,
            reuse,
        })
    }
}

/// Guard of an open transaction; dropping it closes the transaction.
pub(super) struct OpenTransaction<'a> {
    transactions: &'a Transactions,
    id: u64,
    reuse: IdReuse,
}

impl OpenTransaction<'_> {
    /// Records that the request was rejected, which promises that it has not run.
    pub(super) fn rejected(&mut self) {
        self.reuse = IdReuse::AfterEnd;
    }
}

impl Drop for OpenTransaction<'_> {
    fn drop(&mut self) {
        let mut state = self.transactions.state.borrow_mut();
        state.open.remove(&self.id);
        if self.reuse == IdReuse::AfterRejection {
            state.used.insert(self.id);
        }
    }
}
