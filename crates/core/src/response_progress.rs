//! How far a response of a chunk server has progressed, and when it counts as stalled or as slow. It
//! does no I/O.

use crate::interface::Nanos;
use crate::time_unit::MILLISECOND;

/// Maximum time from the first byte of a response to the last one of its head, and the time by which
/// its body may lag behind the lowest rate. A server has the complete head before it sends any of it,
/// and waiting longer for the rest would leave no time for another attempt. It is shorter than the
/// silence after which the decision module suspects the server, because a stalled response is not
/// such a silence.
pub const STALL_TIMEOUT: Nanos = 100 * MILLISECOND;
/// The lowest rate at which a server may write a response, in bytes per millisecond.
const MIN_RATE: Nanos = 64;

/// The progress of one response.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct ResponseProgress {
    started_at: Nanos,
    bytes: Nanos,
}

impl ResponseProgress {
    /// Creates the progress of a response whose first bytes are read at `now`.
    pub fn new(now: Nanos) -> ResponseProgress {
        ResponseProgress {
            started_at: now,
            bytes: 0,
        }
    }

    /// Records that `count` more bytes have been read.
    pub fn bytes_read(&mut self, count: usize) {
        let count = Nanos::try_from(count).unwrap_or(Nanos::MAX);
        self.bytes = self.bytes.saturating_add(count);
    }

    /// Returns the number of bytes that have been read.
    pub fn bytes(&self) -> Nanos {
        self.bytes
    }

    /// Returns the time at `now` since the first byte.
    pub fn age(&self, now: Nanos) -> Nanos {
        now - self.started_at
    }

    /// Returns when the response counts as stalled, unless more bytes are read before: when its
    /// server has been slower than 64 kB a second, in pieces of any size, for [`STALL_TIMEOUT`].
    pub fn stalls_at(&self) -> Nanos {
        let transfer_time = self.bytes.saturating_mul(MILLISECOND) / MIN_RATE;
        self.is_slow_from().saturating_add(transfer_time)
    }

    /// Returns whether a response of which bytes are read at `now` is a slow one. If its length is
    /// not known, it is then passed on as it arrives, like any long response.
    pub fn is_slow(&self, now: Nanos) -> bool {
        now >= self.is_slow_from()
    }

    fn is_slow_from(&self) -> Nanos {
        self.started_at + STALL_TIMEOUT
    }
}
