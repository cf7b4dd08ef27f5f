//! A token bucket that limits the bytes of gossip entries sent per second.

use crate::Nanos;

const NANOS_PER_SECOND: i128 = 1_000_000_000;

/// A token bucket of bytes, whose capacity is what one second refills.
#[derive(Clone, Debug)]
pub(super) struct ByteBudget {
    /// Refill rate.
    bytes_per_second: u64,
    /// Bytes that may be sent now.
    available: i64,
    /// When the elapsed time was last credited.
    refilled_at: Nanos,
}

impl ByteBudget {
    /// Creates a full budget.
    pub(super) fn new(bytes_per_second: u64, now: Nanos) -> ByteBudget {
        ByteBudget {
            bytes_per_second,
            available: bytes_per_second as i64,
            refilled_at: now,
        }
    }

    /// Returns a copy with the same rate and available bytes that refills from `now` on.
    pub(super) fn restarted(&self, now: Nanos) -> ByteBudget {
        ByteBudget {
            refilled_at: now,
            ..self.clone()
        }
    }

    /// Changes the rate. Available bytes beyond the new capacity are discarded.
    pub(super) fn set_rate(&mut self, bytes_per_second: u64) {
        self.bytes_per_second = bytes_per_second;
        self.available = self.available.min(bytes_per_second as i64);
    }

    /// Adds the bytes for the time since the last refill, up to the capacity.
    pub(super) fn refill(&mut self, now: Nanos) {
        let elapsed = (now - self.refilled_at).max(0);
        let gained = i128::from(self.bytes_per_second) * i128::from(elapsed) / NANOS_PER_SECOND;
        let gained = gained.min(i128::from(u32::MAX)) as i64;
        self.available = (self.available + gained).min(self.bytes_per_second as i64);
        self.refilled_at = now;
    }

    /// Returns the bytes that may be sent now.
    pub(super) fn available(&self) -> i64 {
        self.available
    }

    /// Subtracts bytes that were sent.
    pub(super) fn spend(&mut self, bytes: i64) {
        self.available -= bytes;
    }
}
