//! Token buckets that are refilled when they are used, for the time since the last refill.

use crate::interface::Nanos;

/// The refill rate and the capacity of a token bucket. Tokens are work units or attempts.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RateLimit {
    /// The tokens added per second.
    pub rate: f64,
    /// The maximum number of tokens that accumulate.
    pub burst: f64,
}

impl RateLimit {
    /// Creates a bucket with this limit that is empty at `now`.
    pub fn empty_bucket(self, now: Nanos) -> TokenBucket {
        TokenBucket::new(self.rate, self.burst, 0.0, now)
    }
}

/// A token bucket. Its level may be negative, as more tokens may be charged than it holds.
#[derive(Clone, Debug)]
pub struct TokenBucket {
    /// The tokens added per second.
    rate: f64,
    /// The maximum number of tokens that accumulate.
    capacity: f64,
    /// The tokens available at `updated_at`.
    level: f64,
    /// When the bucket was last refilled.
    updated_at: Nanos,
}

impl TokenBucket {
    /// Creates a bucket that holds `level` tokens at `now`.
    pub fn new(rate: f64, capacity: f64, level: f64, now: Nanos) -> TokenBucket {
        TokenBucket {
            rate,
            capacity,
            level,
            updated_at: now,
        }
    }

    /// Returns the tokens added per second.
    pub fn rate(&self) -> f64 {
        self.rate
    }

    /// Returns the maximum number of tokens that accumulate.
    pub fn capacity(&self) -> f64 {
        self.capacity
    }

    /// Returns the tokens available at `now` without refilling the bucket.
    pub fn level_at(&self, now: Nanos) -> f64 {
        let mut bucket = self.clone();
        bucket.refill(now);
        bucket.level
    }

    /// Adds the tokens that accrued since the last refill.
    fn refill(&mut self, now: Nanos) {
        let accrued = (now - self.updated_at).max(0) as f64 / 1e9 * self.rate;
        self.level = (self.level + accrued).min(self.capacity);
        self.updated_at = now;
    }

    /// Refills the bucket and takes tokens, even if it holds fewer.
    pub fn charge(&mut self, now: Nanos, tokens: f64) {
        self.refill(now);
        self.level -= tokens;
    }

    /// Refills the bucket, takes at most `tokens` as far as it holds them, and returns how many
    /// were taken.
    pub fn take_available(&mut self, now: Nanos, tokens: f64) -> f64 {
        self.refill(now);
        let taken = tokens.min(self.level);
        self.level -= taken;
        taken
    }

    /// Adds tokens that were charged but not used, up to the capacity of the bucket.
    pub fn refund(&mut self, tokens: f64) {
        self.level = (self.level + tokens).min(self.capacity);
    }

    /// Applies a new limit from `effective_at` on. If that is in the past, the excess tokens that
    /// accrued since then at a higher rate are taken back.
    pub fn set_limit(&mut self, limit: RateLimit, effective_at: Nanos) {
        let already_elapsed = (self.updated_at - effective_at).max(0) as f64 / 1e9;
        let excess = already_elapsed * (self.rate - limit.rate).max(0.0);
        self.refill(effective_at.max(self.updated_at));
        self.rate = limit.rate;
        self.capacity = limit.burst;
        self.level = (self.level - excess).clamp(self.level.min(0.0), limit.burst);
    }
}
