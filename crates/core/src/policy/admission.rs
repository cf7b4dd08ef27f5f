//! Admission control by goodput over all chunk servers, as each of many fronts seldom meets one of
//! them. A timely answer earns its server a credit for the next request. Beyond these credits an
//! AIMD rate limit holds while many attempts fail, and admits the requests of the highest value.
//! This prevents congestion collapse.

use std::collections::VecDeque;
use std::hash::{Hash, Hasher};

use super::SECOND;
use crate::interface::Nanos;
use crate::state::Rate;

/// Time constant, in nanoseconds, of the rates of requests, results and sends.
const RATE_MEMORY_NS: f64 = 1e9;
/// Most weight of one result in the failure ratio, while results are few.
const FAILURE_RATIO_ALPHA: f64 = 0.2;
/// Time constant, in nanoseconds, of the failure ratio while results are many.
const FAILURE_RATIO_MEMORY_NS: f64 = 6e8;
/// Up to this failure ratio some servers are faulty, which is no reason to reject work for the
/// others.
const TOLERATED_FAILURE_RATIO: f64 = 0.3;
/// From this failure ratio on, late attempts of little value are cut off.
const CUT_OFF_FAILURE_RATIO: f64 = 0.1;
/// A success raises the limit by this fraction of the step by which a failure reduces it.
const RATE_LIMIT_GROWTH: f64 = 0.5;
/// The limit leaves all fronts together this many requests per second and server, to notice a
/// recovery.
const MIN_REQUESTS_PER_NODE: f64 = 3.0;
/// Most requests that the timely answers of one server admit.
const CREDIT_MAX: f64 = 2.0;
/// The number of recent requests among which a request is ranked by its value.
const RANKED_RECENT_REQUESTS: usize = 64;

/// Whether a request is admitted, and why.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum AdmissionDecision {
    /// A server of its shard has a credit.
    AdmittedByCredit,
    /// The rate limit leaves room for a request of its value.
    AdmittedByRateLimit,
    /// The rate limit leaves no room for a request of its value.
    RejectedByRateLimit,
}

impl AdmissionDecision {
    /// Whether the request is admitted.
    pub fn is_admitted(self) -> bool {
        self != AdmissionDecision::RejectedByRateLimit
    }
}

/// Requests that the timely answers of one server admit.
#[derive(Clone, Debug)]
pub(crate) struct AdmissionCredit(f64);

impl AdmissionCredit {
    /// The credit of a server without results: one request.
    pub fn new() -> AdmissionCredit {
        AdmissionCredit(1.0)
    }

    /// Whether the server admits a request.
    pub fn is_available(&self) -> bool {
        self.0 >= 1.0
    }

    /// Uses the credit of a request, as far as there is any.
    pub fn spend(&mut self) {
        self.0 = (self.0 - 1.0).max(0.0);
    }

    /// A timely answer earns a credit, a failure takes all.
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
    /// Requests per second admitted without credit; absent is no limit.
    rate_limit: Option<f64>,
    /// Moving average of the attempts that were not answered in time.
    failure_ratio: f64,
    /// Rate of requests received without credit.
    uncredited_requests: Rate,
    /// Rate of attempts whose result was counted.
    results: Rate,
    /// Rate of attempts sent without credit.
    uncredited_sends: Rate,
    /// Value per unit of work of the latest requests.
    recent_values: VecDeque<f64>,
}

impl AdmissionControl {
    /// Decides on a request for which no server has a credit, by its value per unit of work.
    /// `draw` is uniform in 0..1.
    pub fn decide_uncredited(&mut self, now: Nanos, value: f64, draw: f64) -> AdmissionDecision {
        self.uncredited_requests.count(now, RATE_MEMORY_NS);
        if self.rank(value, draw) < self.admitted_fraction(now) {
            AdmissionDecision::AdmittedByRateLimit
        } else {
            AdmissionDecision::RejectedByRateLimit
        }
    }

    /// The fraction of the requests without credit that the limit admits; all of them from 1 on.
    pub fn admitted_fraction(&self, now: Nanos) -> f64 {
        let requests = self.uncredited_requests.now(now, RATE_MEMORY_NS);
        self.rate_limit.map_or(f64::INFINITY, |limit| {
            limit / requests.max(f64::MIN_POSITIVE)
        })
    }

    /// Records an attempt that is sent without credit.
    pub fn record_uncredited_send(&mut self, now: Nanos) {
        self.uncredited_sends.count(now, RATE_MEMORY_NS);
    }

    /// Records the result of an attempt: whether it failed to be answered in time. `min_limit` is
    /// the least rate limit in requests per second.
    pub fn record_result(&mut self, now: Nanos, failed: bool, min_limit: f64) {
        let result_rate = self.results.count(now, RATE_MEMORY_NS);
        let alpha = FAILURE_RATIO_ALPHA.min(SECOND as f64 / FAILURE_RATIO_MEMORY_NS / result_rate);
        self.failure_ratio += alpha * (f64::from(u8::from(failed)) - self.failure_ratio);
        if !failed {
            self.raise_rate_limit(alpha);
        } else if self.failure_ratio > TOLERATED_FAILURE_RATIO {
            self.cut_rate_limit(now, alpha, min_limit);
        }
    }

    /// Whether so many attempts fail that late ones of little value are cut off.
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

    /// The least rate limit of one front, in requests per second.
    pub fn min_rate_limit(nodes: usize, fronts: f64) -> f64 {
        MIN_REQUESTS_PER_NODE * nodes as f64 / fronts
    }

    fn raise_rate_limit(&mut self, alpha: f64) {
        let factor = 1.0 + alpha * RATE_LIMIT_GROWTH;
        self.rate_limit = self.rate_limit.map(|limit| limit * factor);
    }

    /// Starts from the rate that is sent where that is lower, as an unused limit holds nothing
    /// back.
    fn cut_rate_limit(&mut self, now: Nanos, alpha: f64, min_limit: f64) {
        let sent = self.uncredited_sends.now(now, RATE_MEMORY_NS);
        let limit = self.rate_limit.unwrap_or(sent).min(sent);
        self.rate_limit = Some((limit * (1.0 - alpha)).max(min_limit));
    }

    /// The fraction of the latest requests with a higher value than this one, which becomes the
    /// latest. Of those with the same value, the fraction `draw` counts as higher.
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
