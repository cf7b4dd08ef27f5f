//! Fingerprints of the coordinator's state for model checking.

use std::hash::{Hash, Hasher};

use super::LimitCoordinator;
use crate::leases::time_until;
use crate::Nanos;

impl LimitCoordinator {
    /// Hashes everything on which later decisions depend, with times relative to `now`. A model
    /// checker treats states with equal fingerprints as equal.
    pub fn fingerprint<H: Hasher>(&self, now: Nanos, hasher: &mut H) {
        (
            time_until(now, self.quiet_until),
            self.old_floor,
            &self.settled,
        )
            .hash(hasher);
        let yields_until = self
            .yields_at
            .map(|at| time_until(now, at + self.lease_span()));
        (self.established, yields_until).hash(hasher);
        self.members.fingerprint(now, hasher);
        for peer in &self.peers {
            peer.fingerprint(now, hasher);
        }
        self.votes.fingerprint(now, hasher);
        for (issuer, claim) in &self.claims {
            claim.fingerprint(now, *issuer, hasher);
        }
        (
            self.grant_number,
            &self.reported,
            time_until(now, self.next_expiry),
        )
            .hash(hasher);
        self.demand.fingerprint(now, hasher);
    }
}
