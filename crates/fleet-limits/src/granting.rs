//! Divides the leases of one round of heartbeats among the peers, in proportion to their demand.

use std::collections::BTreeMap;

use tulipbridge_membership::MembershipTable;

use crate::config::PARTS_PER_MILLION;
use crate::demand::DemandMeter;
use crate::mutations::{mutated, Mutation};
use crate::peers::{PeerRecord, PeerTable};
use crate::{Lease, Limit, LimitsConfig, Nanos, PeerId, Share};

/// Known demand for one limit and the total granted of it.
#[derive(Clone, Copy, Debug, Default)]
struct LimitTotals {
    /// Demand at this front and at the peers that may be granted leases, in thousandths of units
    /// per second.
    milli_units_per_second: u64,
    /// Sum of the shares that peers may be using now under this front's grants.
    granted: Share,
}

/// The share from which this front may grant leases.
#[derive(Clone, Copy, Debug)]
pub(crate) struct GrantableShare {
    /// The grantable share, which is the same for every limit.
    pub share: Share,
    /// The time before which leases must expire, by this front's clock.
    pub expires_at: Nanos,
}

/// The state of granting leases in one round of heartbeats.
pub(crate) struct GrantRound<'a> {
    now: Nanos,
    config: &'a LimitsConfig,
    members: &'a MembershipTable,
    grantable: GrantableShare,
    /// Maximum duration of leases granted in this round, in nanoseconds. Zero or negative if no
    /// time is left.
    duration: Nanos,
    /// Whether each peer is alive and receives this front's heartbeats, indexed by its position.
    reachable: Vec<bool>,
    totals: BTreeMap<Limit, LimitTotals>,
}

impl<'a> GrantRound<'a> {
    /// Starts a round with the known demand and the grants that have not expired.
    pub fn new(
        now: Nanos,
        config: &'a LimitsConfig,
        members: &'a MembershipTable,
        grantable: GrantableShare,
        peers: &PeerTable,
        demand: &DemandMeter,
    ) -> GrantRound<'a> {
        let is_reachable =
            |peer| members.is_alive(now, peer) && members.has_recent_echo_from(now, peer);
        let reachable: Vec<bool> = PeerId::all(config.fronts).map(is_reachable).collect();
        let mut totals: BTreeMap<Limit, LimitTotals> = BTreeMap::new();
        for demand in demand.demands(now) {
            let totals = totals.entry(demand.limit).or_default();
            totals.milli_units_per_second += demand.milli_units_per_second;
        }
        for (peer, is_reachable) in peers.iter().zip(&reachable) {
            for (limit, demand) in peer.demands().iter().filter(|_| *is_reachable) {
                totals.entry(*limit).or_default().milli_units_per_second += demand;
            }
            for limit in peer.leases().granted_limits() {
                totals.entry(limit).or_default().granted += peer.leases().granted_share(now, limit);
            }
        }
        GrantRound {
            now,
            config,
            members,
            grantable,
            duration: max_lease_duration(now, config, grantable.expires_at),
            reachable,
            totals,
        }
    }

    /// Returns the time at which the round started.
    pub fn now(&self) -> Nanos {
        self.now
    }

    /// Returns the duration of leases for a peer, or `None` if the peer may not be granted any.
    pub fn duration_for(&self, peer: PeerId) -> Option<Nanos> {
        let may_grant =
            self.reachable[peer.index()] && self.duration > 0 && self.grantable.share > Share::NONE;
        may_grant.then_some(self.duration)
    }

    /// Returns the time by which leases for a peer have expired, by this front's clock. The peer
    /// counts their duration from when it sent the echoed heartbeat, which was before that
    /// heartbeat arrived here.
    pub fn expiry_of_leases(&self, peer: PeerId, duration: Nanos) -> Nanos {
        let received_at = self.members.last_message_at(peer).unwrap_or(self.now);
        received_at + self.config.with_drift(duration)
    }

    /// Returns the leases for a peer: of each limit a share in proportion to the peer's part of the
    /// known demand, as far as that share is not granted to other peers.
    pub fn divide(&mut self, peer: &PeerRecord) -> Vec<Lease> {
        let demands = peer.demands().iter().filter(|(_, demand)| **demand > 0);
        let leases = demands.filter_map(|(limit, demand)| {
            let totals = self.totals.get_mut(limit)?;
            let fair = fair_share(self.grantable.share, *demand, totals.milli_units_per_second);
            let granted_before = peer.leases().granted_share(self.now, *limit);
            let granted_to_others = totals.granted - granted_before;
            let share = fair.min(self.grantable.share.saturating_sub(granted_to_others));
            totals.granted = granted_to_others + granted_before.max(share);
            (share > Share::NONE).then_some(Lease {
                limit: *limit,
                share,
            })
        });
        leases.collect()
    }
}

/// Returns the part of a share that is proportional to one demand out of the total demand.
fn fair_share(share: Share, demand: u64, total_demand: u64) -> Share {
    let total_demand = u128::from(total_demand.max(1));
    Share((u128::from(share.0) * u128::from(demand) / total_demand) as u32)
}

/// Returns the maximum duration in nanoseconds of leases that must have expired by `expires_at`,
/// even by the slower clock of a peer. Zero or negative if no time is left.
fn max_lease_duration(now: Nanos, config: &LimitsConfig, expires_at: Nanos) -> Nanos {
    if mutated(Mutation::LeaseOutlivesIssuer) {
        return config.lease_duration;
    }
    let remaining = i128::from(expires_at - now);
    let slowest_clock = PARTS_PER_MILLION + i128::from(config.max_clock_drift);
    let safe = (remaining * PARTS_PER_MILLION / slowest_clock) as Nanos - 1;
    safe.min(config.lease_duration)
}
