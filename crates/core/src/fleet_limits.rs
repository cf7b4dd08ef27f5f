//! This front's part of the limits that all fronts share, except those of volumes: on retries, on
//! units sent to a server that is warming up, and on requests in flight at a server.
//!
//! Without an update from the fleet no request is held back here.

use std::hash::{Hash, Hasher};

use crate::interface::Nanos;
use crate::policy::Node;
use crate::state::{RateLimit, TokenBucket};

/// Added to a limit on requests in flight, so that rounding does not cost a whole request. It is
/// small enough that a thousand fronts together do not exceed the limit by a whole request.
const IN_FLIGHT_ROUNDING: f64 = 1e-4;

/// The limits that apply to all retries or to every server alike.
#[derive(Clone, Debug, Default)]
pub(crate) struct FleetLimits {
    retries: Option<TokenBucket>,
    /// The limit on units to a server that has just started; it grows during the warm-up.
    warming_up: Option<RateLimit>,
    /// The limit on requests in flight at a server.
    in_flight: Option<f64>,
}

/// The limits of one server, and how much of them is used.
#[derive(Clone, Debug, Default)]
pub(crate) struct NodeLimits {
    warming_up: Option<TokenBucket>,
    in_flight: Option<f64>,
}

impl FleetLimits {
    /// Sets the limit on retries.
    pub fn set_retries(&mut self, limit: RateLimit, effective_at: Nanos) {
        set_or_create(&mut self.retries, limit, effective_at);
    }

    /// Sets the limit on units to a server that has just started.
    pub fn set_warming_up<'a>(
        &mut self,
        limit: RateLimit,
        effective_at: Nanos,
        nodes: impl Iterator<Item = &'a mut Node>,
    ) {
        self.warming_up = Some(limit);
        for node in nodes {
            set_or_create(&mut node.limits.warming_up, limit, effective_at);
        }
    }

    /// Sets the limit on requests in flight at any one server. A value below 1 limits their pace.
    pub fn set_in_flight<'a>(&mut self, limit: f64, nodes: impl Iterator<Item = &'a mut Node>) {
        let limit = if limit > 0.0 {
            limit + IN_FLIGHT_ROUNDING
        } else {
            0.0
        };
        self.in_flight = Some(limit);
        nodes.for_each(|node| node.limits.in_flight = Some(limit));
    }

    /// Returns the limits of a server that is new in the endpoint list.
    pub fn node_limits(&self, now: Nanos) -> NodeLimits {
        let warming_up = self.warming_up.map(|limit| limit.empty_bucket(now));
        NodeLimits {
            warming_up,
            in_flight: self.in_flight,
        }
    }

    /// Returns whether the limit allows no retry now.
    pub fn retries_exhausted(&self, now: Nanos) -> bool {
        self.retries
            .as_ref()
            .is_some_and(|bucket| bucket.level_at(now) < 1.0)
    }

    /// Records that a retry was sent.
    pub fn record_retry(&mut self, now: Nanos) {
        if let Some(bucket) = &mut self.retries {
            bucket.charge(now, 1.0);
        }
    }

    /// Hashes all that later decisions depend on.
    pub fn fingerprint<H: Hasher>(&self, now: Nanos, h: &mut H) {
        hash_bucket(self.retries.as_ref(), now, h);
        self.warming_up
            .map(|limit| (limit.rate.to_bits(), limit.burst.to_bits()))
            .hash(h);
        self.in_flight.map(f64::to_bits).hash(h);
    }
}

impl NodeLimits {
    /// Returns the units that could be sent now if the server had just started; `None` without a
    /// limit.
    pub fn warmup_allowance(&self, now: Nanos) -> Option<f64> {
        self.warming_up.as_ref().map(|bucket| bucket.level_at(now))
    }

    /// Records units sent to the server, which the caller has divided by the growth of its limit
    /// since it started.
    pub fn record_warmup_units(&mut self, now: Nanos, units: f64) {
        if let Some(bucket) = &mut self.warming_up {
            bucket.charge(now, units);
        }
    }

    /// Returns how many requests may be in flight at the server. A value below 1 limits their pace.
    pub fn max_in_flight(&self) -> f64 {
        self.in_flight.unwrap_or(f64::INFINITY)
    }

    /// Returns whether a server with this many requests in flight may get no other one.
    pub fn is_full(&self, in_flight: usize) -> bool {
        self.in_flight
            .is_some_and(|limit| limit <= 0.0 || in_flight as f64 >= limit.floor().max(1.0))
    }

    /// Hashes all that later decisions depend on.
    pub fn fingerprint<H: Hasher>(&self, now: Nanos, h: &mut H) {
        hash_bucket(self.warming_up.as_ref(), now, h);
        self.in_flight.map(f64::to_bits).hash(h);
    }
}

/// Applies a limit to a bucket. A new bucket is empty when the limit takes effect.
fn set_or_create(bucket: &mut Option<TokenBucket>, limit: RateLimit, effective_at: Nanos) {
    match bucket {
        Some(bucket) => bucket.set_limit(limit, effective_at),
        None => *bucket = Some(limit.empty_bucket(effective_at)),
    }
}

fn hash_bucket<H: Hasher>(bucket: Option<&TokenBucket>, now: Nanos, h: &mut H) {
    bucket
        .map(|bucket| (bucket.rate().to_bits(), bucket.level_at(now).to_bits()))
        .hash(h);
}
