//! A token bucket that limits the bytes of entries sent per second.

use crate::Nanos;

const NANOS_PER_SECOND: i128 = 1_000_000_000;

/// The bytes that may be sent now. Holds one second's worth at most.
#[derive(Clone, Debug)]
pub(super) struct ByteBudget {
    bytes_per_second: u64,
    available: i64,
    refilled_at: Nanos,
}

impl ByteBudget {
    /// A full budget.
    pub(super) fn new(bytes_per_second: u64, now: Nanos) -> ByteBudget {
        ByteBudget {
            bytes_per_second,
            available: bytes_per_second as i64,
            refilled_at: now,
        }
    }

    /// A budget of the same rate and content, last refilled at `now`.
    pub(super) fn restarted(&self, now: Nanos) -> ByteBudget {
        ByteBudget {
            refilled_at: now,
            ..self.clone()
        }
    }

    /// Changes the rate. Bytes in excess of its one second's worth are lost.
    pub(super) fn set_rate(&mut self, bytes_per_second: u64) {
        self.bytes_per_second = bytes_per_second;
        self.available = self.available.min(bytes_per_second as i64);
    }

    /// Adds what was gained since the last refill.
    pub(super) fn refill(&mut self, now: Nanos) {
        let elapsed = (now - self.refilled_at).max(0);
        let gained = i128::from(self.bytes_per_second) * i128::from(elapsed) / NANOS_PER_SECOND;
        let gained = gained.min(i128::from(u32::MAX)) as i64;
        self.available = (self.available + gained).min(self.bytes_per_second as i64);
        self.refilled_at = now;
    }

    /// The bytes that may be sent now.
    pub(super) fn available(&self) -> i64 {
        self.available
    }

    /// Subtracts bytes that are sent.
    pub(super) fn spend(&mut self, bytes: i64) {
        self.available -= bytes;
    }
}
