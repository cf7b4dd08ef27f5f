//! The retry budget: how many retries this front may send, relative to the requests that it
//! received.

use std::collections::VecDeque;
use std::hash::{Hash, Hasher};

use super::SECOND;
use crate::interface::{Nanos, RetryBudget, Settings};

/// The budget if none is configured. It keeps retries from amplifying an overload.
const DEFAULT_BUDGET: RetryBudget = RetryBudget {
    base_allowance: 3.0,
    ratio: 0.3,
    window: 5 * SECOND,
};

impl Settings {
    /// Returns the configured retry budget, or the default one.
    pub(crate) fn effective_retry_budget(&self) -> &RetryBudget {
        self.retry_budget.as_ref().unwrap_or(&DEFAULT_BUDGET)
    }
}

/// The times of the retries sent and the requests received within the budget's window, in ascending
/// order.
#[derive(Clone, Debug, Default)]
pub(crate) struct RetryHistory {
    retries_sent: VecDeque<Nanos>,
    requests_received: VecDeque<Nanos>,
}

impl RetryHistory {
    /// Records a received request and drops the requests before the window.
    pub fn record_request(&mut self, now: Nanos, window: Nanos) {
        self.requests_received.push_back(now);
        while self
            .requests_received
            .front()
            .is_some_and(|at| *at <= now - window)
        {
            self.requests_received.pop_front();
        }
    }

    /// Records a retry when it is sent.
    pub fn record_retry(&mut self, now: Nanos) {
        self.retries_sent.push_back(now);
    }

    /// Returns whether one more retry would exceed the budget.
    pub fn is_exhausted(&self, now: Nanos, budget: &RetryBudget) -> bool {
        let since = now - budget.window;
        let retries = self.retries_sent.iter().rev();
        let recent_retries = retries.take_while(|at| **at >= since).count();
        let requests = self.requests_received.iter().rev();
        let recent_requests = requests.take_while(|at| **at > since).count();
        let allowed = budget.base_allowance + budget.ratio * recent_requests as f64;
        (recent_retries + 1) as f64 > allowed
    }

    /// Drops the retries before the window.
    pub fn expire_retries(&mut self, now: Nanos, window: Nanos) {
        while self
            .retries_sent
            .front()
            .is_some_and(|at| *at < now - window)
        {
            self.retries_sent.pop_front();
        }
    }

    /// Hashes all that later decisions depend on, with times relative to `now`.
    pub fn fingerprint<H: Hasher>(&self, now: Nanos, hasher: &mut H) {
        self.retries_sent.len().hash(hasher);
        for at in self.retries_sent.iter().chain(&self.requests_received) {
            (now - at).hash(hasher);
        }
    }
}
