//! Adoption of a membership list, which decides how far this front may act under it: whether the
//! front's startup period has ended, whether the whole fleet has adopted the list, and whether
//! another list takes precedence.

use std::collections::BTreeSet;
use std::hash::{Hash, Hasher};

use crate::fingerprint::time_until;
use crate::{Heartbeat, LimitsConfig, Nanos, PeerId, Share};

/// One front's progress in adopting its current membership list.
#[derive(Clone, Debug)]
pub(crate) struct MembershipAdoption {
    /// End of the startup period, in which this front does not vote and uses nothing of its own,
    /// because votes and leases of an earlier incarnation or configuration may not have expired.
    startup_ends_at: Nanos,
    /// Upper limit of the floor until the whole fleet has adopted the membership list.
    previous_floor: Share,
    /// The fronts that are known to have adopted the membership list.
    settled: BTreeSet<PeerId>,
    /// Whether this front has held its own issuer under this membership list.
    is_established: bool,
    /// Time of the latest heartbeat from a front whose membership list has the same revision and
    /// takes precedence over this front's.
    preceded_at: Option<Nanos>,
}

impl MembershipAdoption {
    /// Creates the state of a front that has just started.
    pub fn new(now: Nanos, config: &LimitsConfig) -> MembershipAdoption {
        let mut adoption = MembershipAdoption {
            startup_ends_at: now + config.lease_span(),
            previous_floor: Share::NONE,
            settled: BTreeSet::from([config.me]),
            is_established: false,
            preceded_at: None,
        };
        // The first list has no predecessor, so that every front counts as having adopted it.
        if config.is_first_revision() {
            adoption.previous_floor = config.floor_share();
            adoption.settled = PeerId::all(config.fronts).collect();
        }
        adoption
    }

    /// Returns the state of a front that changes from the configuration `old` to `new`. Leases and
    /// votes under the old one may last as long as its lease duration.
    pub fn changed(
        &self,
        now: Nanos,
        old: &LimitsConfig,
        new: &LimitsConfig,
    ) -> MembershipAdoption {
        let fresh = MembershipAdoption::new(now, new);
        MembershipAdoption {
            startup_ends_at: fresh.startup_ends_at.max(now + old.lease_span()),
            previous_floor: self.usable_floor(old).min(new.floor_share()),
            settled: BTreeSet::from([new.me]),
            ..fresh
        }
    }

    /// Starts the startup period again.
    pub fn restart_startup_period(&mut self, now: Nanos, config: &LimitsConfig) {
        self.startup_ends_at = now + config.lease_span();
    }

    /// Returns the end of the startup period.
    pub fn startup_ends_at(&self) -> Nanos {
        self.startup_ends_at
    }

    /// Returns whether this front is in its startup period.
    pub fn is_starting(&self, now: Nanos) -> bool {
        now < self.startup_ends_at
    }

    /// Returns whether every front is known to have adopted the membership list.
    pub fn is_settled(&self, config: &LimitsConfig) -> bool {
        self.settled.len() == usize::from(config.fronts)
    }

    /// Returns the fronts that are known to have adopted the membership list.
    pub fn settled_fronts(&self) -> impl Iterator<Item = PeerId> + '_ {
        self.settled.iter().copied()
    }

    /// Records that `front` has adopted the membership list, and so have the fronts that it knows
    /// to have done so (`known`).
    pub fn add_settled(&mut self, config: &LimitsConfig, front: PeerId, known: &[PeerId]) {
        let in_list = known.iter().filter(|known| known.0 < config.fronts);
        self.settled.extend(in_list);
        self.settled.insert(front);
    }

    /// Returns the floor that this front may use. Until the whole fleet has adopted the membership
    /// list, it does not exceed the floor under the previous one.
    pub fn usable_floor(&self, config: &LimitsConfig) -> Share {
        if self.is_settled(config) {
            config.floor_share()
        } else {
            self.previous_floor.min(config.floor_share())
        }
    }

    /// Returns whether this front has held its own issuer under this membership list.
    pub fn is_established(&self) -> bool {
        self.is_established
    }

    /// Records that this front holds its own issuer.
    pub fn set_established(&mut self) {
        self.is_established = true;
    }

    /// Returns whether another membership list of the same revision takes precedence.
    pub fn is_preceded(&self, now: Nanos, config: &LimitsConfig) -> bool {
        self.preceded_at
            .is_some_and(|at| now < at + config.lease_span())
    }

    /// Records whether the sender's membership list takes precedence over this front's. Two
    /// different lists of the same revision are a configuration error: the list already in use
    /// takes precedence, or the one with the smaller digest if both or neither are in use.
    pub fn compare_membership_list(
        &mut self,
        now: Nanos,
        config: &LimitsConfig,
        heartbeat: &Heartbeat,
    ) {
        let takes_precedence = if heartbeat.established == self.is_established {
            heartbeat.membership_digest < config.membership_digest
        } else {
            heartbeat.established
        };
        if heartbeat.revision == config.revision && takes_precedence {
            self.preceded_at = Some(now);
            self.is_established = false;
        }
    }

    /// Hashes everything on which later decisions depend, with times relative to `now`.
    pub fn fingerprint<H: Hasher>(&self, now: Nanos, config: &LimitsConfig, hasher: &mut H) {
        time_until(now, self.startup_ends_at).hash(hasher);
        self.previous_floor.hash(hasher);
        self.settled.hash(hasher);
        self.is_established.hash(hasher);
        let preceded_until = self.preceded_at.map(|at| at + config.lease_span());
        preceded_until
            .map(|until| time_until(now, until))
            .hash(hasher);
    }
}
