//! The state that this front keeps about its peers, apart from their membership.

use std::collections::{BTreeMap, BTreeSet};
use std::hash::{Hash, Hasher};

use crate::granting::GrantRound;
use crate::leases::{LeaseSet, PeerLeases};
use crate::{Demand, LeaseGrant, Limit, LimitsConfig, Nanos, PeerId, Share};

/// Upper limit of the demand accepted from a peer, in thousandths of units per second, so that sums
/// cannot overflow.
const MAX_DEMAND: u64 = 1 << 40;

/// This front's votes for a peer, the demand at the peer, and the leases between the two.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(crate) struct PeerRecord {
    /// Owners of the issuers in the peer's latest claims for which this front votes.
    votes_for: Vec<PeerId>,
    /// Demand at the peer for each limit, in thousandths of units per second.
    demands: BTreeMap<Limit, u64>,
    /// The leases granted to the peer and held from it.
    leases: PeerLeases,
}

impl PeerRecord {
    /// Returns the owners of the issuers in the peer's latest claims for which this front votes.
    pub fn votes_for(&self) -> &[PeerId] {
        &self.votes_for
    }

    /// Sets the owners of the issuers in the peer's latest claims for which this front votes.
    pub fn set_votes_for(&mut self, issuers: Vec<PeerId>) {
        self.votes_for = issuers;
    }

    /// Returns the demand at the peer for each limit, in thousandths of units per second.
    pub fn demands(&self) -> &BTreeMap<Limit, u64> {
        &self.demands
    }

    /// Records the demand that the peer reports, for at most as many limits as a heartbeat may
    /// list.
    pub fn set_demands(&mut self, config: &LimitsConfig, reported: &[Demand]) {
        let listed = reported.iter().take(config.max_limits);
        let bounded =
            |demand: &Demand| (demand.limit, demand.milli_units_per_second.min(MAX_DEMAND));
        self.demands = listed.map(bounded).collect();
    }

    /// Returns the leases granted to the peer and held from it.
    pub fn leases(&self) -> &PeerLeases {
        &self.leases
    }

    /// Drops the grants that the peer no longer uses: those before the one that it reports using
    /// (`grant_in_use`), and those that have expired.
    pub fn release_unused_grants(&mut self, now: Nanos, grant_in_use: Option<u64>) {
        self.leases.release_unused_grants(now, grant_in_use);
    }

    /// Drops the state that an earlier incarnation of the peer reported.
    pub fn reset_for_new_incarnation(&mut self) {
        self.votes_for = Vec::new();
        self.demands = BTreeMap::new();
        self.leases.reset_for_new_incarnation();
    }

    fn fingerprint<H: Hasher>(&self, now: Nanos, hasher: &mut H) {
        (&self.votes_for, &self.demands).hash(hasher);
        self.leases.fingerprint(now, hasher);
    }
}

/// The records of all fronts, by position in the membership list. This front's own stays empty.
#[derive(Clone, Debug)]
pub(crate) struct PeerTable {
    records: Vec<PeerRecord>,
    /// Sequence number of the latest grant to any peer.
    grant_number: u64,
}

impl PeerTable {
    /// Creates empty records for `fronts` fronts. The first grant is numbered `grant_number` + 1.
    pub fn new(fronts: u16, grant_number: u64) -> PeerTable {
        PeerTable {
            records: vec![PeerRecord::default(); usize::from(fronts)],
            grant_number,
        }
    }

    /// Returns the record of a peer.
    ///
    /// # Panics
    /// Panics if the membership list has no such front.
    pub fn get(&self, peer: PeerId) -> &PeerRecord {
        &self.records[peer.index()]
    }

    /// Returns a mutable reference to the record of a peer.
    ///
    /// # Panics
    /// Panics if the membership list has no such front.
    pub fn get_mut(&mut self, peer: PeerId) -> &mut PeerRecord {
        &mut self.records[peer.index()]
    }

    /// Returns the records of all fronts in the order of the membership list.
    pub fn iter(&self) -> impl Iterator<Item = &PeerRecord> + '_ {
        self.records.iter()
    }

    /// Returns the sequence number of the latest grant to any peer.
    pub fn grant_number(&self) -> u64 {
        self.grant_number
    }

    /// Returns the share of a limit that all peers together may be using under this front's grants.
    pub fn granted_share(&self, now: Nanos, limit: Limit) -> Share {
        let granted = self
            .iter()
            .map(|peer| peer.leases.granted_share(now, limit));
        granted.sum()
    }

    /// Returns the share of a limit that this front may use now under leases from all peers.
    pub fn held_share(&self, now: Nanos, limit: Limit) -> Share {
        let held = self.iter().map(|peer| peer.leases.held_share(now, limit));
        held.fold(Share::NONE, Share::saturating_add)
    }

    /// Returns the expiries of the held leases, some of which may have passed.
    pub fn held_expiries(&self) -> impl Iterator<Item = Nanos> + '_ {
        self.iter().map(|peer| peer.leases.held_expiry())
    }

    /// Replaces the leases held from a peer by those of a later grant and returns the limits that
    /// are affected. The duration of the leases counts from `starts_at`.
    pub fn accept_grant(
        &mut self,
        config: &LimitsConfig,
        grantor: PeerId,
        starts_at: Nanos,
        grant: &LeaseGrant,
    ) -> BTreeSet<Limit> {
        let expires_at = starts_at + grant.duration.clamp(0, config.lease_duration);
        let leases = LeaseSet::new(grant.number, expires_at, &grant.leases);
        self.get_mut(grantor).leases.replace_held(leases)
    }

    /// Grants leases to a peer and records them.
    pub fn grant_to(&mut self, to: PeerId, round: &mut GrantRound) -> LeaseGrant {
        self.grant_number += 1;
        let number = self.grant_number;
        let Some(duration) = round.duration_for(to) else {
            return LeaseGrant {
                number,
                ..LeaseGrant::default()
            };
        };
        let leases = round.divide(self.get(to));
        let expires_at = round.expiry_of_leases(to, duration);
        if round.now() < expires_at && !leases.is_empty() {
            let grant = LeaseSet::new(number, expires_at, &leases);
            self.get_mut(to).leases.record_grant(grant);
        }
        LeaseGrant {
            number,
            duration,
            leases,
        }
    }

    /// Hashes all records, with times relative to `now`.
    pub fn fingerprint<H: Hasher>(&self, now: Nanos, hasher: &mut H) {
        for peer in &self.records {
            peer.fingerprint(now, hasher);
        }
    }
}
