//! How the leases of one round of heartbeats are divided among the peers: in proportion to demand.

use std::collections::BTreeMap;

use tulipbridge_membership::MembershipTable;

use crate::config::PARTS_PER_MILLION;
use crate::demand::DemandMeter;
use crate::mutations::{mutated, Mutation};
use crate::peers::{PeerRecord, PeerTable};
use crate::{Lease, Limit, LimitsConfig, Nanos, PeerId, Share};

/// Demand and grants of one limit, as far as this front knows.
#[derive(Clone, Copy, Debug, Default)]
struct LimitTotals {
    /// Demand at this front and at the peers that may be granted leases, in thousandths of units
    /// per second.
    milli_units_per_second: u64,
    /// Sum of the shares that peers may be using now by this front's grants.
    granted: Share,
}

/// The share that this front may grant leases from.
#[derive(Clone, Copy, Debug)]
pub(crate) struct GrantableShare {
    /// The share of each limit.
    pub share: Share,
    /// Leases must expire before this time.
    pub expires_at: Nanos,
}

/// What one round of heartbeats may grant.
pub(crate) struct GrantRound<'a> {
    now: Nanos,
    config: &'a LimitsConfig,
    members: &'a MembershipTable,
    own: GrantableShare,
    /// How long leases may last that are granted now, in nanoseconds; not positive where there is
    /// no time left.
    duration: Nanos,
    /// By position: whether the peer is alive and receives this front's heartbeats.
    reachable: Vec<bool>,
    totals: BTreeMap<Limit, LimitTotals>,
}

impl<'a> GrantRound<'a> {
    /// Collects the demand and the grants so far.
    pub fn new(
        now: Nanos,
        config: &'a LimitsConfig,
        members: &'a MembershipTable,
        own: GrantableShare,
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
            own,
            duration: max_lease_duration(now, config, own.expires_at),
            reachable,
            totals,
        }
    }

    /// The time of the round.
    pub fn now(&self) -> Nanos {
        self.now
    }

    /// How long leases for a peer may last; `None` where it may be granted none.
    pub fn duration_for(&self, peer: PeerId) -> Option<Nanos> {
        let may_grant =
            self.reachable[peer.index()] && self.duration > 0 && self.own.share > Share::NONE;
        may_grant.then_some(self.duration)
    }

    /// When leases for a peer expire, by this front's clock. Their duration counts from when the
    /// echoed heartbeat was sent, which was before it arrived here.
    pub fn expiry_of_leases(&self, peer: PeerId, duration: Nanos) -> Nanos {
        let received_at = self.members.last_message_at(peer).unwrap_or(self.now);
        received_at + self.config.with_drift(duration)
    }

    /// The leases for a peer: of each limit the peer's part of the known demand, as far as it is
    /// not granted already.
    pub fn divide(&mut self, peer: &PeerRecord) -> Vec<Lease> {
        let demands = peer.demands().iter().filter(|(_, demand)| **demand > 0);
        let leases = demands.filter_map(|(limit, demand)| {
            let totals = self.totals.get_mut(limit)?;
            let fair = fair_share(self.own.share, *demand, totals.milli_units_per_second);
            let granted_before = peer.leases().granted_share(self.now, *limit);
            let granted_to_others = totals.granted - granted_before;
            let share = fair.min(self.own.share.saturating_sub(granted_to_others));
            totals.granted = granted_to_others + granted_before.max(share);
            (share > Share::NONE).then_some(Lease {
                limit: *limit,
                share,
            })
        });
        leases.collect()
    }
}

/// The part of a share in proportion to one demand among the sum of all.
fn fair_share(share: Share, demand: u64, total_demand: u64) -> Share {
    let total_demand = u128::from(total_demand.max(1));
    Share((u128::from(share.0) * u128::from(demand) / total_demand) as u32)
}

/// How long leases may last that must have expired by `expires_at`, also by a peer's slower clock.
/// Not positive where there is no time left.
fn max_lease_duration(now: Nanos, config: &LimitsConfig, expires_at: Nanos) -> Nanos {
    if mutated(Mutation::LeaseOutlivesIssuer) {
        return config.lease_duration;
    }
    let remaining = i128::from(expires_at - now);
    let slowest_clock = PARTS_PER_MILLION + i128::from(config.max_clock_drift);
    let safe = (remaining * PARTS_PER_MILLION / slowest_clock) as Nanos - 1;
    safe.min(config.lease_duration)
}
