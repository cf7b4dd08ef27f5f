//! Budgets for the memory that a front's buffers take.

use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;

use bytes::Bytes;

/// Limits the number of bytes that are reserved at the same time. It is never exceeded, so that a
/// front stays within its memory whatever its clients and chunk servers do.
pub struct MemoryBudget {
    max_bytes: usize,
    reserved_bytes: AtomicUsize,
    /// The budget that this one is a part of: what is reserved here is reserved there, too.
    whole: Option<Arc<MemoryBudget>>,
}

impl MemoryBudget {
    /// Creates a budget of `max_bytes` bytes, none of them reserved.
    pub fn new(max_bytes: usize) -> Arc<MemoryBudget> {
        Arc::new(MemoryBudget {
            max_bytes,
            reserved_bytes: AtomicUsize::new(0),
            whole: None,
        })
    }

    /// Creates a budget that may take up to `max_bytes` bytes of `whole`.
    pub fn part_of(whole: &Arc<MemoryBudget>, max_bytes: usize) -> Arc<MemoryBudget> {
        Arc::new(MemoryBudget {
            max_bytes,
            reserved_bytes: AtomicUsize::new(0),
            whole: Some(Arc::clone(whole)),
        })
    }

    /// Returns the size of the budget in bytes.
    pub fn max_bytes(&self) -> usize {
        self.max_bytes
    }

    /// Returns the number of bytes that are reserved.
    pub fn reserved_bytes(&self) -> usize {
        self.reserved_bytes.load(Ordering::Relaxed)
    }

    /// Reserves `bytes` more bytes, or none where they do not fit. Returns whether they fit.
    fn reserve(&self, bytes: usize) -> bool {
        let add = |reserved: usize| Some(reserved + bytes).filter(|sum| *sum <= self.max_bytes);
        let fits = self
            .reserved_bytes
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, add)
            .is_ok();
        if !fits {
            return false;
        }
        let fits_whole = self.whole.as_ref().is_none_or(|whole| whole.reserve(bytes));
        if !fits_whole {
            self.reserved_bytes.fetch_sub(bytes, Ordering::Relaxed);
        }
        fits_whole
    }

    /// Returns reserved bytes to the budget.
    fn release(&self, bytes: usize) {
        self.reserved_bytes.fetch_sub(bytes, Ordering::Relaxed);
        if let Some(whole) = &self.whole {
            whole.release(bytes);
        }
    }
}

/// A number of bytes that is reserved in a [`MemoryBudget`] until this value is dropped.
pub struct Reservation {
    budget: Arc<MemoryBudget>,
    bytes: usize,
}

impl Reservation {
    /// Reserves `bytes` bytes of `budget`; returns `None` where they do not fit. No bytes always
    /// fit.
    pub fn acquire(budget: &Arc<MemoryBudget>, bytes: usize) -> Option<Reservation> {
        budget.reserve(bytes).then(|| Reservation {
            budget: Arc::clone(budget),
            bytes,
        })
    }

    /// Returns the number of reserved bytes.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Extends the reservation to `bytes` bytes in total; a smaller number does not shrink it.
    /// Returns whether they fit. Where they do not, the reservation stays as it is.
    pub fn grow(&mut self, bytes: usize) -> bool {
        let additional = bytes.saturating_sub(self.bytes);
        let fits = self.budget.reserve(additional);
        if fits {
            self.bytes += additional;
        }
        fits
    }

    /// Moves up to `bytes` bytes of this reservation to one of their own.
    pub fn split(&mut self, bytes: usize) -> Reservation {
        let bytes = bytes.min(self.bytes);
        self.bytes -= bytes;
        Reservation {
            budget: Arc::clone(&self.budget),
            bytes,
        }
    }

    /// Returns `bytes` with a part of this reservation of their length, which they keep until the
    /// last copy or slice of them is dropped.
    pub fn attach(&mut self, bytes: Bytes) -> Bytes {
        if bytes.is_empty() {
            return bytes;
        }
        let reservation = self.split(bytes.len());
        Bytes::from_owner(ReservedBytes {
            bytes,
            _reservation: reservation,
        })
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.budget.release(self.bytes);
    }
}

/// Bytes and the reservation of their memory.
struct ReservedBytes {
    bytes: Bytes,
    _reservation: Reservation,
}

impl AsRef<[u8]> for ReservedBytes {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}
