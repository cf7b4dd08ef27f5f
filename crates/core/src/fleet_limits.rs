//! This front's part of the limits that all fronts share, other than those of volumes: retries,
//! units sent to a server that is warming up, requests in flight at a server.
//!
//! Without an update from the fleet nothing here holds a request back.

use std::hash::{Hash, Hasher};

use crate::interface::Nanos;
use crate::policy::Node;
use crate::state::{RateLimit, TokenBucket};

/// Added to a limit on requests in flight, so that rounding does not take a whole request away. A
/// thousand fronts with this much more send no whole request more.
const IN_FLIGHT_ROUNDING: f64 = 1e-4;

/// The limits, as they hold for each server.
#[derive(Clone, Debug, Default)]
pub(crate) struct FleetLimits {
    retries: Option<TokenBucket>,
    /// Units to a server that has just started; the limit grows during the warm-up.
    warming_up: Option<RateLimit>,
    /// Requests in flight at a server.
    in_flight: Option<f64>,
}

/// The limits and their use at one server.
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

    /// Sets the limit on requests in flight at any server; below 1 it is a pace.
    pub fn set_in_flight<'a>(&mut self, limit: f64, nodes: impl Iterator<Item = &'a mut Node>) {
        let limit = if limit > 0.0 {
            limit + IN_FLIGHT_ROUNDING
        } else {
            0.0
        };
        self.in_flight = Some(limit);
        nodes.for_each(|node| node.limits.in_flight = Some(limit));
    }

    /// The limits of a server that is new in the endpoint list.
    pub fn node_limits(&self, now: Nanos) -> NodeLimits {
        let warming_up = self.warming_up.map(|limit| limit.empty_bucket(now));
        NodeLimits {
            warming_up,
            in_flight: self.in_flight,
        }
    }

    /// Whether no retry may be sent now.
    pub fn retries_exhausted(&self, now: Nanos) -> bool {
        self.retries
            .as_ref()
            .is_some_and(|bucket| bucket.level_at(now) < 1.0)
    }

    /// Records a retry that is sent.
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
    /// Units that may be sent now to the server if it had just started; absent without a limit.
    pub fn warmup_allowance(&self, now: Nanos) -> Option<f64> {
        self.warming_up.as_ref().map(|bucket| bucket.level_at(now))
    }

    /// Records units sent to the server, divided by its growth since its start.
    pub fn record_warmup_units(&mut self, now: Nanos, units: f64) {
        if let Some(bucket) = &mut self.warming_up {
            bucket.charge(now, units);
        }
    }

    /// The requests that may be in flight at the server; below 1 it is a pace.
    pub fn max_in_flight(&self) -> f64 {
        self.in_flight.unwrap_or(f64::INFINITY)
    }

    /// Whether a server with this many requests in flight may get no further one.
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

/// Applies a limit to a bucket; a new one is empty at the time from which the limit holds.
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
