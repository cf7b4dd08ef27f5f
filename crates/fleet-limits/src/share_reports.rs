//! The shares of this front as last reported to the caller.

use std::collections::BTreeMap;
use std::hash::{Hash, Hasher};

use crate::fingerprint::time_until;
use crate::{Effect, Limit, Nanos, Share};

/// The shares that were last reported to the caller, and when they must be checked again.
#[derive(Clone, Debug)]
pub(crate) struct ShareReports {
    shares: BTreeMap<Limit, Share>,
    /// The next time at which something that a share depends on expires.
    next_expiry: Nanos,
}

impl ShareReports {
    /// Creates an instance without any reported share.
    pub fn new() -> ShareReports {
        ShareReports {
            shares: BTreeMap::new(),
            next_expiry: Nanos::MAX,
        }
    }

    /// Moves the reported shares to the reports of a reconfigured coordinator, which has no next
    /// expiry yet.
    pub fn restarted(&mut self) -> ShareReports {
        ShareReports {
            shares: std::mem::take(&mut self.shares),
            next_expiry: Nanos::MAX,
        }
    }

    /// Returns whether a share of a limit has been reported.
    pub fn contains(&self, limit: Limit) -> bool {
        self.shares.contains_key(&limit)
    }

    /// Removes the reported share of a limit.
    pub fn forget(&mut self, limit: Limit) {
        self.shares.remove(&limit);
    }

    /// Reports a share if it has changed: from `reduced_at` if it is smaller, from `now` otherwise.
    pub fn report(
        &mut self,
        now: Nanos,
        reduced_at: Nanos,
        limit: Limit,
        share: Share,
        effects: &mut Vec<Effect>,
    ) {
        let previous = self.shares.insert(limit, share);
        if previous == Some(share) {
            return;
        }
        let is_reduced = previous.is_some_and(|previous| share < previous);
        let at = if is_reduced { reduced_at } else { now };
        effects.push(Effect::ShareChanged { limit, share, at });
    }

    /// Returns the next time at which something that a share depends on expires.
    pub fn next_expiry(&self) -> Nanos {
        self.next_expiry
    }

    /// Sets the next expiry to the earliest of `expiries` after `now`, or [`Nanos::MAX`] without
    /// one.
    pub fn set_next_expiry(&mut self, now: Nanos, expiries: impl Iterator<Item = Nanos>) {
        self.next_expiry = expiries
            .filter(|expires_at| *expires_at > now)
            .min()
            .unwrap_or(Nanos::MAX);
    }

    /// Hashes everything on which later reports depend, with times relative to `now`.
    pub fn fingerprint<H: Hasher>(&self, now: Nanos, hasher: &mut H) {
        self.shares.hash(hasher);
        time_until(now, self.next_expiry).hash(hasher);
    }
}
