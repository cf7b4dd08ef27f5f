//! The leases between this front and one of its peers, in both directions.

use std::collections::{BTreeMap, BTreeSet};
use std::hash::{Hash, Hasher};

use crate::fingerprint::time_until;
use crate::mutations::{mutated, Mutation};
use crate::{Lease, Limit, Nanos, Share, FULL_SHARE};

/// The leases of one grant, which expire together.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(crate) struct LeaseSet {
    /// Sequence number of the grant.
    number: u64,
    /// Time until which the shares may be used, by this front's clock.
    expires_at: Nanos,
    /// The leased share of each limit.
    shares: BTreeMap<Limit, Share>,
}

impl LeaseSet {
    /// Creates the leases of a grant. Each share is capped at the whole limit, since the grantor
    /// may have sent any number.
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

    /// Returns the largest leased share of any limit.
    fn largest_share(&self) -> Share {
        self.shares.values().copied().max().unwrap_or(Share::NONE)
    }

    /// Returns the limits of which `next` leases a different share than this set.
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

/// The leases granted to one peer and those held from it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(crate) struct PeerLeases {
    /// Grants to the peer that it may still be using, oldest first.
    granted: Vec<LeaseSet>,
    /// The leases of the latest grant from the peer.
    held: LeaseSet,
}

impl PeerLeases {
    /// Returns the largest share of a limit that the peer may be using now under this front's
    /// grants.
    ///
    /// The peer uses one grant at a time. Since it is unknown which one, the largest share counts.
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

    /// Returns the limits that are part of any grant to the peer.
    pub fn granted_limits(&self) -> BTreeSet<Limit> {
        self.granted
            .iter()
            .flat_map(|grant| grant.shares.keys().copied())
            .collect()
    }

    /// Returns the largest share of any limit that the peer may be using now under this front's
    /// grants.
    pub fn largest_granted_share(&self, now: Nanos) -> Share {
        let active = self.granted.iter().filter(|grant| grant.is_active(now));
        active
            .map(LeaseSet::largest_share)
            .max()
            .unwrap_or(Share::NONE)
    }

    /// Records the leases of a new grant to the peer.
    pub fn record_grant(&mut self, grant: LeaseSet) {
        self.granted.push(grant);
    }

    /// Drops the grants that the peer no longer uses: those before the one that it reports using
    /// (`grant_in_use`), and those that have expired.
    pub fn release_unused_grants(&mut self, now: Nanos, grant_in_use: Option<u64>) {
        if let Some(in_use) = grant_in_use {
            self.granted.retain(|grant| grant.number >= in_use);
        }
        self.granted.retain(|grant| grant.is_active(now));
    }

    /// Returns the number of the grant that the held leases belong to.
    pub fn held_number(&self) -> u64 {
        self.held.number
    }

    /// Returns the time at which the held leases expire.
    pub fn held_expiry(&self) -> Nanos {
        self.held.expires_at
    }

    /// Returns the share of a limit that this front may use now under leases from the peer.
    pub fn held_share(&self, now: Nanos, limit: Limit) -> Share {
        if !self.held.is_active(now) {
            return Share::NONE;
        }
        self.held.shares.get(&limit).copied().unwrap_or(Share::NONE)
    }

    /// Returns the largest share of any limit that this front may use now under leases from the
    /// peer.
    pub fn largest_held_share(&self, now: Nanos) -> Share {
        if !self.held.is_active(now) {
            return Share::NONE;
        }
        self.held.largest_share()
    }

    /// Replaces the held leases by those of a later grant and returns the limits that are affected.
    /// A grant that is not later is ignored.
    pub fn replace_held(&mut self, next: LeaseSet) -> BTreeSet<Limit> {
        if next.number <= self.held.number {
            return BTreeSet::new();
        }
        let mut changed = self.held.limits_changed_by(&next);
        // The same share with an earlier expiry is a reduction, too.
        if next.expires_at < self.held.expires_at && !mutated(Mutation::ShorterLeaseMissed) {
            changed.extend(next.shares.keys());
        }
        self.held = next;
        changed
    }

    /// Drops the leases from an earlier incarnation of the peer. Grants to that incarnation are
    /// kept, since it may still be using them.
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
