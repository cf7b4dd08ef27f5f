//! Leases between this front and one of its peers, in both directions.

use std::collections::{BTreeMap, BTreeSet};
use std::hash::{Hash, Hasher};

use crate::fingerprint::time_until;
use crate::mutations::{mutated, Mutation};
use crate::{Lease, Limit, Nanos, Share, FULL_SHARE};

/// Leased shares of several limits that were granted together and expire together.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(crate) struct LeaseSet {
    /// Sequence number of the grant.
    number: u64,
    /// The shares may be used before this time, by this front's clock.
    expires_at: Nanos,
    /// The leased share of each limit.
    shares: BTreeMap<Limit, Share>,
}

impl LeaseSet {
    /// The leases of a grant. None of them is larger than the whole limit, whatever the grantor
    /// sent.
    pub fn new(number: u64, expires_at: Nanos, leases: &[Lease]) -> LeaseSet {
        let shares = leases
            .iter()
            .map(|lease| (lease.limit, lease.share.min(FULL_SHARE)));
        LeaseSet {
            number,
            expires_at,
            shares: shares.collect(),
        }
    }

    fn is_active(&self, now: Nanos) -> bool {
        now < self.expires_at
    }

    /// The largest leased share of any limit.
    fn largest_share(&self) -> Share {
        self.shares.values().copied().max().unwrap_or(Share::NONE)
    }

    /// The limits of which `next` leases another share than this set.
    fn limits_changed_by(&self, next: &LeaseSet) -> BTreeSet<Limit> {
        let limits = self.shares.keys().chain(next.shares.keys());
        limits
            .filter(|limit| self.shares.get(limit) != next.shares.get(limit))
            .copied()
            .collect()
    }

    fn fingerprint<H: Hasher>(&self, now: Nanos, hasher: &mut H) {
        (self.number, time_until(now, self.expires_at), &self.shares).hash(hasher);
    }
}

/// The leases between this front and one peer.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(crate) struct PeerLeases {
    /// Leases granted to the peer that it may still use, oldest first.
    granted: Vec<LeaseSet>,
    /// The latest leases from the peer.
    held: LeaseSet,
}

impl PeerLeases {
    /// The largest share of a limit that the peer may be using now by this front's grants.
    ///
    /// The peer uses one grant at a time, and it is unknown which, so that the largest one counts.
    pub fn granted_share(&self, now: Nanos, limit: Limit) -> Share {
        let considered = if mutated(Mutation::GrantFreedEarly) {
            1
        } else {
            usize::MAX
        };
        let active = self.granted.iter().filter(|grant| grant.is_active(now));
        let latest = active.rev().take(considered);
        latest
            .filter_map(|grant| grant.shares.get(&limit))
            .max()
            .copied()
            .unwrap_or(Share::NONE)
    }

    /// The limits that are part of any grant to the peer.
    pub fn granted_limits(&self) -> BTreeSet<Limit> {
        self.granted
            .iter()
            .flat_map(|grant| grant.shares.keys().copied())
            .collect()
    }

    /// The largest share of any limit that the peer may be using now by this front's grants.
    pub fn largest_granted_share(&self, now: Nanos) -> Share {
        let active = self.granted.iter().filter(|grant| grant.is_active(now));
        active
            .map(LeaseSet::largest_share)
            .max()
            .unwrap_or(Share::NONE)
    }

    /// Records leases that are granted to the peer now.
    pub fn record_grant(&mut self, grant: LeaseSet) {
        self.granted.push(grant);
    }

    /// Drops grants that the peer no longer uses: those before the one it reports, and those that
    /// have expired.
    pub fn release_unused_grants(&mut self, now: Nanos, grant_in_use: Option<u64>) {
        if let Some(in_use) = grant_in_use {
            self.granted.retain(|grant| grant.number >= in_use);
        }
        self.granted.retain(|grant| grant.is_active(now));
    }

    /// The number of the grant that the held leases are from.
    pub fn held_number(&self) -> u64 {
        self.held.number
    }

    /// When the held leases expire.
    pub fn held_expiry(&self) -> Nanos {
        self.held.expires_at
    }

    /// The share of a limit that this front may use now by leases from the peer.
    pub fn held_share(&self, now: Nanos, limit: Limit) -> Share {
        if !self.held.is_active(now) {
            return Share::NONE;
        }
        self.held.shares.get(&limit).copied().unwrap_or(Share::NONE)
    }

    /// The largest share of any limit that this front may use now by leases from the peer.
    pub fn largest_held_share(&self, now: Nanos) -> Share {
        if !self.held.is_active(now) {
            return Share::NONE;
        }
        self.held.largest_share()
    }

    /// Replaces the held leases by those of a later grant and returns the limits that are affected.
    /// An earlier grant changes nothing.
    pub fn replace_held(&mut self, next: LeaseSet) -> BTreeSet<Limit> {
        if next.number <= self.held.number {
            return BTreeSet::new();
        }
        let mut changed = self.held.limits_changed_by(&next);
        // The same share for a shorter time is a reduction, too.
        if next.expires_at < self.held.expires_at && !mutated(Mutation::ShorterLeaseMissed) {
            changed.extend(next.shares.keys());
        }
        self.held = next;
        changed
    }

    /// Drops the leases from an earlier incarnation of the peer. Those granted to it stay, since it
    /// may still use them.
    pub fn reset_for_new_incarnation(&mut self) {
        if !mutated(Mutation::LeaseFromPredecessorKept) {
            self.held = LeaseSet::default();
        }
    }

    /// Hashes everything on which later decisions depend, with times relative to `now`.
    pub fn fingerprint<H: Hasher>(&self, now: Nanos, hasher: &mut H) {
        for grant in self.granted.iter().filter(|grant| grant.is_active(now)) {
            grant.fingerprint(now, hasher);
        }
        self.held.fingerprint(now, hasher);
    }
}
