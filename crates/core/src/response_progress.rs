//! How far a response of a chunk server has progressed: how long its server may pause, and when what
//! has arrived of it is passed on. It does no I/O.

use crate::interface::Nanos;
use crate::time_unit::MILLISECOND;

/// Time after which a response that is not complete counts as a slow one.
pub const SLOW_AFTER: Nanos = 100 * MILLISECOND;
/// The shortest pause that a response may make, however little time its client has left.
const PAUSE_MIN: Nanos = SLOW_AFTER;
/// The longest pause that a response may make while another attempt could replace it.
const PAUSE_MAX: Nanos = 2_000 * MILLISECOND;
/// The longest pause before the body, or between two of its pieces, that a sound server makes.
const SOUND_PAUSE: Nanos = 1_000 * MILLISECOND;
/// Time that a pause may take beyond [`SOUND_PAUSE`], for the network and for delays in this process.
const SOUND_PAUSE_MARGIN: Nanos = 200 * MILLISECOND;
/// Time after the deadline of its client until which a response may end. The client has counted the
/// request as lost half a second after its deadline.
const LATE_ANSWER_GRACE: Nanos = 450 * MILLISECOND;
/// The lowest rate at which a server writes a response, in bytes per millisecond.
const MIN_RATE: Nanos = 64;
/// Time before the deadline of an attempt at which its response is passed on at the latest. It
/// leaves the decision module, which rejects requests shortly before their deadline, nothing to
/// reject.
const FORWARD_MARGIN: Nanos = 20 * MILLISECOND;

/// The deadlines of the attempt that a response belongs to.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct ResponseDeadlines {
    /// When the attempt times out.
    pub attempt: Nanos,
    /// When the client stops waiting, which is not before the attempt times out.
    pub client: Nanos,
}

/// The progress of one response.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct ResponseProgress {
    started_at: Nanos,
    last_read_at: Nanos,
    bytes: Nanos,
    deadlines: ResponseDeadlines,
}

impl ResponseProgress {
    /// Creates the progress of a response whose first bytes are read at `now`.
    pub fn new(now: Nanos, deadlines: ResponseDeadlines) -> ResponseProgress {
        ResponseProgress {
            started_at: now,
            last_read_at: now,
            bytes: 0,
            deadlines,
        }
    }

    /// Records that `count` more bytes are read at `now`.
    pub fn bytes_read(&mut self, now: Nanos, count: usize) {
        let count = Nanos::try_from(count).unwrap_or(Nanos::MAX);
        self.last_read_at = now;
        self.bytes = self.bytes.saturating_add(count);
    }

    /// Returns the number of bytes that have been read, those of the head included.
    pub fn bytes(&self) -> Nanos {
        self.bytes
    }

    /// Returns the time at `now` since the first byte.
    pub fn age(&self, now: Nanos) -> Nanos {
        now - self.started_at
    }

    /// Returns when the response becomes a slow one, unless it is complete before.
    pub fn slow_at(&self) -> Nanos {
        self.started_at + SLOW_AFTER
    }

    /// Returns when the response counts as stalled, unless more bytes are read before: once its
    /// server has paused for three quarters of the time that was left to the attempt at its first
    /// byte, so that a quarter is left for another attempt. A server that has written fast may pause
    /// longer, until it is slower than the lowest rate.
    pub fn stalls_at(&self) -> Nanos {
        let time_left = self.deadlines.attempt - self.started_at;
        let pause = (time_left * 3 / 4).clamp(PAUSE_MIN, PAUSE_MAX);
        let paused_at = self.last_read_at.saturating_add(pause);
        let lags_at = self.slow_at().saturating_add(self.transfer_time());
        paused_at.max(lags_at)
    }

    /// Returns when what has arrived of a response of unknown length is passed on although nothing
    /// more arrives: as soon as it is slow, if its server has begun to write a body at the lowest
    /// rate or faster, and otherwise, as it may have hung, only before the deadline.
    pub fn forward_at(&self) -> Nanos {
        if self.has_kept_rate() {
            return self.slow_at();
        }
        self.deadlines.attempt - FORWARD_MARGIN
    }

    /// Returns when a response that may be passed on before it is complete is replaced by that of
    /// another attempt, unless more bytes are read before. It is replaced while the other server
    /// could make a sound pause, too, before its answer comes too late. Returns `None` if no time is
    /// left for that.
    pub fn replaced_at(&self) -> Option<Nanos> {
        let latest = self.final_answer_due_at() - SOUND_PAUSE;
        (latest >= self.slow_at()).then(|| self.stalls_at().min(latest))
    }

    /// Returns until when the server of a response that is passed on during a pause has to go on
    /// writing. One that has sent its head or little more may have hung, and its client gets an end
    /// soon after its deadline; one that has begun to write a body may make a sound pause.
    pub fn resume_by(&self) -> Nanos {
        if self.has_kept_rate() {
            let paused_until = self.last_read_at + SOUND_PAUSE + SOUND_PAUSE_MARGIN;
            return paused_until.max(self.final_answer_due_at());
        }
        self.final_answer_due_at()
    }

    /// Returns whether, by the time at which the response becomes a slow one, its server has written
    /// at the lowest rate or faster.
    fn has_kept_rate(&self) -> bool {
        self.transfer_time() >= SLOW_AFTER
    }

    fn final_answer_due_at(&self) -> Nanos {
        self.deadlines.client + LATE_ANSWER_GRACE
    }

    /// Returns the time that the bytes take at the lowest rate.
    fn transfer_time(&self) -> Nanos {
        self.bytes.saturating_mul(MILLISECOND) / MIN_RATE
    }
}
