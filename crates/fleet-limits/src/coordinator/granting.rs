//! Leases granted to peers, in proportion to demand.

use std::collections::BTreeMap;

use super::LimitCoordinator;
use crate::config::PARTS_PER_MILLION;
use crate::leases::LeaseSet;
use crate::mutations::{mutated, Mutation};
use crate::{Lease, LeaseGrant, Limit, Nanos, PeerId, Share};

/// Demand and grants of one limit, as far as this front knows.
#[derive(Clone, Copy, Debug, Default)]
struct LimitTotals {
    /// Demand at this front and at the peers that may be granted leases, in thousandths of units
    /// per second.
    milli_units_per_second: u64,
    /// Sum of the shares that peers may be using now by this front's grants.
    granted: Share,
}

/// What one round of heartbeats may grant.
pub(super) struct GrantRound {
    own_share: Share,
    /// Leases must expire before this time.
    expires_at: Nanos,
    /// Indexed by peer: whether it is alive and receives this front's heartbeats.
    reachable: Vec<bool>,
    totals: BTreeMap<Limit, LimitTotals>,
}

impl LimitCoordinator {
    /// Collects what a round of heartbeats may grant, and the demand and the grants so far.
    pub(super) fn grant_round(&self, now: Nanos) -> GrantRound {
        let is_reachable =
            |peer| self.members.is_alive(now, peer) && self.members.receives_from_me(now, peer);
        let reachable: Vec<bool> = PeerId::all(self.config.fronts).map(is_reachable).collect();
        let mut totals: BTreeMap<Limit, LimitTotals> = BTreeMap::new();
        for (limit, demand) in self.demand.rates(now) {
            totals.entry(limit).or_default().milli_units_per_second += demand;
        }
        for (peer, is_reachable) in self.peers.iter().zip(&reachable) {
            for (limit, demand) in peer.demands.iter().filter(|_| *is_reachable) {
                totals.entry(*limit).or_default().milli_units_per_second += demand;
            }
            for limit in peer.granted_limits() {
                totals.entry(limit).or_default().granted += peer.granted_share(now, limit);
            }
        }
        let expires_at = self.own_share_expiry(now);
        GrantRound {
            own_share: self.own_share(now),
            expires_at,
            reachable,
            totals,
        }
    }

    /// Grants leases to a peer and records them.
    pub(super) fn grant_to(
        &mut self,
        now: Nanos,
        to: PeerId,
        round: &mut GrantRound,
    ) -> LeaseGrant {
        self.grant_number += 1;
        let number = self.grant_number;
        let duration = self.grant_duration(now, round.expires_at);
        let may_grant = round.reachable[to.index()]
            && duration > 0
            && round.own_share > Share::NONE
            && self.is_settled()
            && !self.members.is_shutting_down();
        if !may_grant {
            return LeaseGrant {
                number,
                ..LeaseGrant::default()
            };
        }
        let leases = self.divide(now, to, round);
        // The duration counts from when the echoed heartbeat was sent, which was before it arrived
        // here.
        let received_at = self.members.last_message_at(to).unwrap_or(now);
        let expires_at = received_at + self.config.with_drift(duration);
        if now < expires_at && !leases.is_empty() {
            let shares = leases
                .iter()
                .map(|lease| (lease.limit, lease.share))
                .collect();
            self.peers[to.index()].granted.push(LeaseSet {
                number,
                expires_at,
                shares,
            });
        }
        LeaseGrant {
            number,
            duration,
            leases,
        }
    }

    /// How long leases may last that must have expired by `expires_at`, also by a peer's slower
    /// clock. Not positive where there is no time left.
    fn grant_duration(&self, now: Nanos, expires_at: Nanos) -> Nanos {
        if mutated(Mutation::LeaseOutlivesIssuer) {
            return self.config.lease_duration;
        }
        let remaining = i128::from(expires_at - now);
        let slowest_clock = PARTS_PER_MILLION + i128::from(self.config.max_clock_drift);
        let safe = (remaining * PARTS_PER_MILLION / slowest_clock) as Nanos - 1;
        safe.min(self.config.lease_duration)
    }

    /// The leases for a peer: of each limit the peer's part of the known demand, as far as it is
    /// not granted already.
    fn divide(&self, now: Nanos, to: PeerId, round: &mut GrantRound) -> Vec<Lease> {
        let peer = &self.peers[to.index()];
        let mut leases = Vec::new();
        for (limit, demand) in peer.demands.iter().filter(|(_, demand)| **demand > 0) {
            let Some(totals) = round.totals.get_mut(limit) else {
                continue;
            };
            let total_demand = u128::from(totals.milli_units_per_second.max(1));
            let fair = u128::from(round.own_share.0) * u128::from(*demand) / total_demand;
            let fair = Share(fair as u32);
            let granted_before = peer.granted_share(now, *limit);
            let granted_to_others = totals.granted - granted_before;
            let share = fair.min(round.own_share.saturating_sub(granted_to_others));
            totals.granted = granted_to_others + granted_before.max(share);
            if share > Share::NONE {
                leases.push(Lease {
                    limit: *limit,
                    share,
                });
            }
        }
        leases
    }
}
