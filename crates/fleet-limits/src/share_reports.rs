//! What the caller was last told of this front's shares.

use std::collections::BTreeMap;
use std::hash::{Hash, Hasher};

use crate::fingerprint::time_until;
use crate::{Effect, Limit, Nanos, Share};

/// The shares that were last reported to the caller, and until when they hold.
#[derive(Clone, Debug)]
pub(crate) struct ShareReports {
    shares: BTreeMap<Limit, Share>,
    /// When something that a share depends on expires next.
    next_expiry: Nanos,
}

impl ShareReports {
    /// No report so far.
    pub fn new() -> ShareReports {
        ShareReports {
            shares: BTreeMap::new(),
            next_expiry: Nanos::MAX,
        }
    }

    /// The reports of a coordinator that starts anew: the shares stay reported.
    pub fn restarted(&mut self) -> ShareReports {
        ShareReports {
            shares: std::mem::take(&mut self.shares),
            next_expiry: Nanos::MAX,
        }
    }

    /// Whether a share of a limit has been reported.
    pub fn contains(&self, limit: Limit) -> bool {
        self.shares.contains_key(&limit)
    }

    /// Drops the report of a limit.
    pub fn forget(&mut self, limit: Limit) {
        self.shares.remove(&limit);
    }

    /// Reports a share if it has changed. One that has become smaller is so since `reduced_at`.
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

    /// When something that a share depends on expires next.
    pub fn next_expiry(&self) -> Nanos {
        self.next_expiry
    }

    /// Sets the next expiry to the first of some times that has not passed.
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
