//! How far this front may act under its roster: whether it has waited long enough since its start,
//! whether the whole fleet has adopted the roster, and whether another roster takes precedence.

use std::collections::BTreeSet;
use std::hash::{Hash, Hasher};

use crate::fingerprint::time_until;
use crate::{Heartbeat, LimitsConfig, Nanos, PeerId, Share};

/// The state of one front under its present roster.
#[derive(Clone, Debug)]
pub(crate) struct RosterAdoption {
    /// Until then this front votes for nobody and uses nothing of its own: an earlier incarnation
    /// may have.
    quiet_until: Nanos,
    /// Upper bound of the floor while the roster is not settled.
    floor_before: Share,
    /// The fronts that are known to have adopted the roster.
    settled: BTreeSet<PeerId>,
    /// Whether the own issuer has been held under this roster.
    is_established: bool,
    /// When a front was last heard whose roster has the same revision and takes precedence over
    /// this one.
    preceded_at: Option<Nanos>,
}

impl RosterAdoption {
    /// A front that has just started.
    pub fn new(now: Nanos, config: &LimitsConfig) -> RosterAdoption {
        let mut adoption = RosterAdoption {
            quiet_until: now + config.lease_span(),
            floor_before: Share::NONE,
            settled: BTreeSet::from([config.me]),
            is_established: false,
            preceded_at: None,
        };
        // The first roster has no predecessor, so that every front counts as having adopted it.
        if config.is_first_revision() {
            adoption.floor_before = config.floor_share();
            adoption.settled = PeerId::all(config.fronts).collect();
        }
        adoption
    }

    /// A front that changes from the configuration `old` to `new`. Leases and votes of the old one
    /// may last as long as its own lease duration.
    pub fn changed(&self, now: Nanos, old: &LimitsConfig, new: &LimitsConfig) -> RosterAdoption {
        let fresh = RosterAdoption::new(now, new);
        RosterAdoption {
            quiet_until: fresh.quiet_until.max(now + old.lease_span()),
            floor_before: self.usable_floor(old).min(new.floor_share()),
            settled: BTreeSet::from([new.me]),
            ..fresh
        }
    }

    /// Counts the front as just started.
    pub fn restart_quiet_time(&mut self, now: Nanos, config: &LimitsConfig) {
        self.quiet_until = now + config.lease_span();
    }

    /// The end of the time after the start in which this front uses nothing of its own.
    pub fn quiet_until(&self) -> Nanos {
        self.quiet_until
    }

    /// Whether the front counts as just started.
    pub fn is_starting(&self, now: Nanos) -> bool {
        now < self.quiet_until
    }

    /// Whether every front is known to have adopted the roster.
    pub fn is_settled(&self, config: &LimitsConfig) -> bool {
        self.settled.len() == usize::from(config.fronts)
    }

    /// The fronts that are known to have adopted the roster.
    pub fn settled_fronts(&self) -> impl Iterator<Item = PeerId> + '_ {
        self.settled.iter().copied()
    }

    /// Notes a front that has adopted the roster, with those that it knows to have done so.
    pub fn add_settled(&mut self, config: &LimitsConfig, front: PeerId, known: &[PeerId]) {
        let in_roster = known.iter().filter(|known| known.0 < config.fronts);
        self.settled.extend(in_roster);
        self.settled.insert(front);
    }

    /// The floor that this front may use: until the roster is settled, no more than under the one
    /// before.
    pub fn usable_floor(&self, config: &LimitsConfig) -> Share {
        if self.is_settled(config) {
            config.floor_share()
        } else {
            self.floor_before.min(config.floor_share())
        }
    }

    /// Whether the own issuer has been held under this roster.
    pub fn is_established(&self) -> bool {
        self.is_established
    }

    /// Notes that the own issuer is held.
    pub fn set_established(&mut self) {
        self.is_established = true;
    }

    /// Whether another roster of the same revision takes precedence over this front's.
    pub fn is_preceded(&self, now: Nanos, config: &LimitsConfig) -> bool {
        self.preceded_at
            .is_some_and(|at| now < at + config.lease_span())
    }

    /// Two different rosters of one revision are a mistake of configuration. The one in use takes
    /// precedence; where both are, or neither is, the one with the smaller digest.
    pub fn compare_roster(&mut self, now: Nanos, config: &LimitsConfig, heartbeat: &Heartbeat) {
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
        time_until(now, self.quiet_until).hash(hasher);
        self.floor_before.hash(hasher);
        self.settled.hash(hasher);
        self.is_established.hash(hasher);
        let preceded_until = self.preceded_at.map(|at| at + config.lease_span());
        preceded_until
            .map(|until| time_until(now, until))
            .hash(hasher);
    }
}
