//! Admission control by goodput. It prevents congestion collapse.
//!
//! A timely answer gives its server a credit for the next request. While many attempts fail, an
//! AIMD rate limit applies to requests beyond these credits and admits those of the highest value.
//! The limit covers all chunk servers together, because each of many fronts sends too little to
//! any single server.

use std::collections::VecDeque;
use std::hash::{Hash, Hasher};

use super::SECOND;
use crate::interface::Nanos;
use crate::state::Rate;

/// Time constant, in nanoseconds, of the decaying rates of requests, results and sends.
const RATE_MEMORY_NS: f64 = 1e9;
/// Maximum weight of one result in the failure ratio; it applies while results are rare.
const FAILURE_RATIO_ALPHA: f64 = 0.2;
/// Time constant, in nanoseconds, of the failure ratio while results are frequent.
const FAILURE_RATIO_MEMORY_NS: f64 = 6e8;
/// Up to this failure ratio the rate limit is not reduced: some servers are faulty, which is no
/// reason to reject work for the others.
const TOLERATED_FAILURE_RATIO: f64 = 0.3;
/// Above this failure ratio, attempts of low value are cut off once they are late.
const CUT_OFF_FAILURE_RATIO: f64 = 0.1;
/// A success raises the rate limit by this fraction of the step by which a failure reduces it.
const RATE_LIMIT_GROWTH: f64 = 0.5;
/// Lower limit of the rate limits of all fronts together, in requests per second and server, so
/// that a recovery is noticed.
const MIN_REQUESTS_PER_NODE: f64 = 3.0;
/// Maximum number of requests that the credit of one server admits.
const CREDIT_MAX: f64 = 2.0;
/// Number of recent requests among which a request is ranked by its value.
const RANKED_RECENT_REQUESTS: usize = 64;

/// The decision whether a request is admitted, with its reason.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum AdmissionDecision {
    /// The preferred server of its shard, or any server for a new object, has a credit.
    AdmittedByCredit,
    /// No server has a credit for it, but the rate limit admits a request of its value.
    AdmittedByRateLimit,
    /// No server has a credit for it, and the rate limit admits no request of its value.
    RejectedByRateLimit,
}

impl AdmissionDecision {
    /// Returns whether the request is admitted.
    pub fn is_admitted(self) -> bool {
        self != AdmissionDecision::RejectedByRateLimit
    }
}

/// The number of requests that the timely answers of one server admit.
#[derive(Clone, Debug)]
pub(crate) struct AdmissionCredit(f64);

impl AdmissionCredit {
    /// Creates the credit of a server without results: one request.
    pub fn new() -> AdmissionCredit {
        AdmissionCredit(1.0)
    }

    /// Returns whether the credit covers one request.
    pub fn is_available(&self) -> bool {
        self.0 >= 1.0
    }

    /// Takes the credit of one request, or what is left if that is less.
    pub fn spend(&mut self) {
        self.0 = (self.0 - 1.0).max(0.0);
    }

    /// Adds the credit of one request, up to the maximum, after a timely answer. Removes all credit
    /// after a failure.
    pub fn record_result(&mut self, failed: bool) {
        self.0 = if failed {
            0.0
        } else {
            (self.0 + 1.0).min(CREDIT_MAX)
        };
    }

    /// Hashes all that later decisions depend on.
    pub fn fingerprint<H: Hasher>(&self, hasher: &mut H) {
        self.0.to_bits().hash(hasher);
    }
}

/// Admission control over all chunk servers.
#[derive(Clone, Debug, Default)]
pub(crate) struct AdmissionControl {
    /// Requests per second admitted without credit; `None` means no limit.
    rate_limit: Option<f64>,
    /// Moving average of the fraction of attempts that were not answered in time.
    failure_ratio: f64,
    /// Rate of requests received while no server had a credit for them.
    uncredited_requests: Rate,
    /// Rate of attempts whose result was recorded.
    results: Rate,
    /// Rate of attempts sent without credit.
    uncredited_sends: Rate,
    /// Value per unit of work of the latest requests without credit, oldest first.
    recent_values: VecDeque<f64>,
}

impl AdmissionControl {
    /// Decides whether to admit a request for which no server has a credit. `value` is its value
    /// per unit of work, `draw` a random number uniform in 0..1.
    pub fn decide_uncredited(&mut self, now: Nanos, value: f64, draw: f64) -> AdmissionDecision {
        self.uncredited_requests.count(now, RATE_MEMORY_NS);
        if self.rank(value, draw) < self.admitted_fraction(now) {
            AdmissionDecision::AdmittedByRateLimit
        } else {
            AdmissionDecision::RejectedByRateLimit
        }
    }

    /// Returns the fraction of the requests without credit that the rate limit admits. At 1 or more
    /// all are admitted.
    pub fn admitted_fraction(&self, now: Nanos) -> f64 {
        let requests = self.uncredited_requests.now(now, RATE_MEMORY_NS);
        self.rate_limit.map_or(f64::INFINITY, |limit| {
            limit / requests.max(f64::MIN_POSITIVE)
        })
    }

    /// Records that an attempt is sent to a server without credit.
    pub fn record_uncredited_send(&mut self, now: Nanos) {
        self.uncredited_sends.count(now, RATE_MEMORY_NS);
    }

    /// Records the result of an attempt and adapts the rate limit. `failed` means that the attempt
    /// was not answered in time; `min_limit` is the lower limit of the rate limit in requests per
    /// second.
    pub fn record_result(&mut self, now: Nanos, failed: bool, min_limit: f64) {
        let result_rate = self.results.count(now, RATE_MEMORY_NS);
        let alpha = FAILURE_RATIO_ALPHA.min(SECOND as f64 / FAILURE_RATIO_MEMORY_NS / result_rate);
        self.failure_ratio += alpha * (f64::from(u8::from(failed)) - self.failure_ratio);
        if !failed {
            self.raise_rate_limit(alpha);
        } else if self.failure_ratio > TOLERATED_FAILURE_RATIO {
            self.reduce_rate_limit(now, alpha, min_limit);
        }
    }

    /// Returns whether so many attempts fail that late ones of low value are cut off.
    pub fn many_attempts_fail(&self) -> bool {
        self.failure_ratio > CUT_OFF_FAILURE_RATIO
    }

    /// Hashes all that later decisions depend on, with times relative to `now`.
    pub fn fingerprint<H: Hasher>(&self, now: Nanos, hasher: &mut H) {
        self.rate_limit.map(f64::to_bits).hash(hasher);
        self.failure_ratio.to_bits().hash(hasher);
        self.uncredited_requests.fingerprint(now, hasher);
        self.results.fingerprint(now, hasher);
        self.uncredited_sends.fingerprint(now, hasher);
        for value in &self.recent_values {
            value.to_bits().hash(hasher);
        }
    }

    /// Returns the lower limit of one front's rate limit, in requests per second.
    pub fn min_rate_limit(nodes: usize, fronts: f64) -> f64 {
        MIN_REQUESTS_PER_NODE * nodes as f64 / fronts
    }

    fn raise_rate_limit(&mut self, alpha: f64) {
        let factor = 1.0 + alpha * RATE_LIMIT_GROWTH;
        self.rate_limit = self.rate_limit.map(|limit| limit * factor);
    }

    /// Reduces the limit, starting from the current send rate if that is lower: reducing an unused
    /// part of the limit would have no effect.
    fn reduce_rate_limit(&mut self, now: Nanos, alpha: f64, min_limit: f64) {
        let sent = self.uncredited_sends.now(now, RATE_MEMORY_NS);
        let limit = self.rate_limit.unwrap_or(sent).min(sent);
        self.rate_limit = Some((limit * (1.0 - alpha)).max(min_limit));
    }

    /// Returns the fraction of the recent requests with a higher value than this one and adds it to
    /// them. Of those with an equal value, the fraction `draw` counts as higher.
    fn rank(&mut self, value: f64, draw: f64) -> f64 {
        let recent = &self.recent_values;
        let higher = recent.iter().filter(|other| **other > value).count() as f64;
        let equal = recent.iter().filter(|other| **other == value).count() as f64;
        let rank = (higher + equal * draw) / recent.len().max(1) as f64;
        self.recent_values.push_back(value);
        if self.recent_values.len() > RANKED_RECENT_REQUESTS {
            self.recent_values.pop_front();
        }
        rank
    }
}
