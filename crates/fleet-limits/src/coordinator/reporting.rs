//! The share of each limit that this front may use, and the reports of its changes.

use std::collections::BTreeSet;

use super::LimitCoordinator;
use crate::mutations::{mutated, Mutation};
use crate::{Effect, Limit, Nanos, Share, FULL_SHARE};

impl LimitCoordinator {
    /// The time by which the coordinator needs an event, such as
    /// [`Event::Poll`](crate::Event::Poll): something that this front uses expires then.
    pub fn next_expiry(&self) -> Nanos {
        self.next_expiry
    }

    /// The share of a limit that this front may use now.
    pub fn share(&self, now: Nanos, limit: Limit) -> Share {
        self.effective_share(now, self.own_share(now), limit)
    }

    /// The own share without what is granted to peers, plus what is leased from them.
    fn effective_share(&self, now: Nanos, own_share: Share, limit: Limit) -> Share {
        if self.is_standby(now) || self.members.is_shutting_down() {
            return Share::NONE;
        }
        let granted = if mutated(Mutation::GrantsNotDeducted) {
            Share::NONE
        } else {
            self.total_granted(now, limit)
        };
        let leased_shares = self.peers.iter().map(|peer| peer.held_share(now, limit));
        let leased = leased_shares.fold(Share::NONE, Share::saturating_add);
        (own_share.saturating_sub(granted) + leased).min(FULL_SHARE)
    }

    /// What all peers together may be using of a limit by this front's grants.
    fn total_granted(&self, now: Nanos, limit: Limit) -> Share {
        self.peers
            .iter()
            .map(|peer| peer.granted_share(now, limit))
            .sum()
    }

    /// Reports what has expired since the last look.
    pub(super) fn expire(&mut self, now: Nanos, effects: &mut Vec<Effect>) {
        if now < self.next_expiry || mutated(Mutation::NoExpiryAfterPause) {
            return;
        }
        let expired_at = self.next_expiry;
        self.report_all(now, expired_at, effects);
    }

    /// Reports the limits whose share has changed. A share that has become smaller is so since
    /// `reduced_at`.
    pub(super) fn report_all(&mut self, now: Nanos, reduced_at: Nanos, effects: &mut Vec<Effect>) {
        let limits: Vec<Limit> = self.demand.limits().collect();
        let own_share = self.own_share(now);
        for limit in limits {
            self.report(now, reduced_at, own_share, limit, effects);
        }
        self.update_next_expiry(now);
    }

    /// Reports those of some limits that have been reported before and whose share has changed.
    pub(super) fn report_some(
        &mut self,
        now: Nanos,
        limits: &BTreeSet<Limit>,
        effects: &mut Vec<Effect>,
    ) {
        if !limits.is_empty() {
            let own_share = self.own_share(now);
            for limit in limits {
                if self.reported.contains_key(limit) {
                    self.report(now, now, own_share, *limit, effects);
                }
            }
        }
        self.update_next_expiry(now);
    }

    fn report(
        &mut self,
        now: Nanos,
        reduced_at: Nanos,
        own_share: Share,
        limit: Limit,
        effects: &mut Vec<Effect>,
    ) {
        let share = self.effective_share(now, own_share, limit);
        let previous = self.reported.insert(limit, share);
        if previous == Some(share) {
            return;
        }
        let is_reduced = previous.is_some_and(|previous| share < previous);
        let at = if is_reduced { reduced_at } else { now };
        effects.push(Effect::ShareChanged { limit, share, at });
    }

    /// Finds out when something that is used expires next.
    fn update_next_expiry(&mut self, now: Nanos) {
        let leases = self.peers.iter().map(|peer| peer.held.expires_at);
        let claims = self
            .claims
            .iter()
            .map(|(issuer, claim)| self.claim_expiry(*issuer, claim));
        let all = leases.chain(claims).chain([self.quiet_until]);
        self.next_expiry = all
            .filter(|expires_at| *expires_at > now)
            .min()
            .unwrap_or(Nanos::MAX);
    }
}
