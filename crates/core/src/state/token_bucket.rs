//! Token buckets that are refilled lazily, from the time of the last update.

use crate::interface::Nanos;

/// A refill rate and a capacity, in the tokens of the limit: work units or attempts.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RateLimit {
    /// Tokens added per second.
    pub rate: f64,
    /// Most tokens that are kept.
    pub burst: f64,
}

impl RateLimit {
    /// A bucket with this limit that is empty at `now`.
    pub fn empty_bucket(self, now: Nanos) -> TokenBucket {
        TokenBucket::new(self.rate, self.burst, 0.0, now)
    }
}

/// A token bucket. Its level may be negative, as work larger than the level may be charged.
#[derive(Clone, Debug)]
pub struct TokenBucket {
    /// Tokens added per second.
    rate: f64,
    /// Most tokens that are kept.
    capacity: f64,
    /// Tokens available at `updated_at`.
    level: f64,
    /// When `level` was last brought up to date.
    updated_at: Nanos,
}

impl TokenBucket {
    /// A bucket that holds `level` tokens at `now`.
    pub fn new(rate: f64, capacity: f64, level: f64, now: Nanos) -> TokenBucket {
        TokenBucket {
            rate,
            capacity,
            level,
            updated_at: now,
        }
    }

    /// Tokens added per second.
    pub fn rate(&self) -> f64 {
        self.rate
    }

    /// Most tokens that are kept.
    pub fn capacity(&self) -> f64 {
        self.capacity
    }

    /// The tokens available at a later time.
    pub fn level_at(&self, now: Nanos) -> f64 {
        let mut bucket = self.clone();
        bucket.refill(now);
        bucket.level
    }

    /// Adds the tokens that accrued since the last update.
    fn refill(&mut self, now: Nanos) {
        let accrued = (now - self.updated_at).max(0) as f64 / 1e9 * self.rate;
        self.level = (self.level + accrued).min(self.capacity);
        self.updated_at = now;
    }

    /// Refills the bucket and takes tokens, also more than it holds.
    pub fn charge(&mut self, now: Nanos, tokens: f64) {
        self.refill(now);
        self.level -= tokens;
    }

    /// Takes up to this many tokens, as far as the bucket holds them, and returns how many.
    pub fn take_available(&mut self, now: Nanos, tokens: f64) -> f64 {
        self.refill(now);
        let taken = tokens.min(self.level);
        self.level -= taken;
        taken
    }

    /// Puts tokens back that were charged and not used.
    pub fn refund(&mut self, tokens: f64) {
        self.level = (self.level + tokens).min(self.capacity);
    }

    /// Applies another limit from `effective_at` on. Where that is in the past, tokens that accrued
    /// since at a higher rate are taken back.
    pub fn set_limit(&mut self, limit: RateLimit, effective_at: Nanos) {
        let already_elapsed = (self.updated_at - effective_at).max(0) as f64 / 1e9;
        let excess = already_elapsed * (self.rate - limit.rate).max(0.0);
        self.refill(effective_at.max(self.updated_at));
        self.rate = limit.rate;
        self.capacity = limit.burst;
        self.level = (self.level - excess).clamp(self.level.min(0.0), limit.burst);
    }
}
