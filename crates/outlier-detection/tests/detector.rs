//! Behavior of small fleets of detectors that exchange gossip in rounds. The simulation covers
//! arbitrary orders of faults.

use tulipbridge_membership::{GossipAction, GossipInput, GossipStore, MembershipTable};
use tulipbridge_outlier_detection::*;

const MS: Nanos = 1_000_000;
const FAILURE_TIMEOUT: Nanos = 2_000 * MS;
const ROUND_INTERVAL: Nanos = 200 * MS;
const SERVERS: u64 = 6;
const CLASSES: [ClassId; 2] = [ClassId(0), ClassId(1)];
/// The server that fails in most tests, for all work.
const OUTLIER: EjectionTarget = EjectionTarget {
    server: ServerId(3),
    scope: Scope::All,
};

/// A front with its detector and the effects that the detector has returned.
struct Front {
    me: PeerId,
    incarnation: Incarnation,
    members: MembershipTable,
    entries: GossipStore,
    detector: OutlierDetector,
    /// The targets that the detector has ejected and not readmitted.
    ejected: Vec<EjectionTarget>,
    /// Number of probes that the detector has started.
    probes: usize,
}

impl Front {
    fn new(me: PeerId, fronts: u16, zone: ZoneId) -> Front {
        let incarnation = Incarnation(100 + u64::from(me.0));
        let entries = GossipStore::new(me, fronts, incarnation, 100_000, 0);
        let config = DetectorConfig::new(me, fronts, zone);
        let mut detector = OutlierDetector::new(config).expect("the configuration is valid");
        let servers = (0..SERVERS)
            .map(|server| KnownServer {
                id: ServerId(server),
                is_up: true,
            })
            .collect();
        detector.on(0, &entries, Event::Servers(servers), &mut Vec::new());
        let members = MembershipTable::new(me, fronts, incarnation, FAILURE_TIMEOUT);
        Front {
            me,
            incarnation,
            members,
            entries,
            detector,
            ejected: Vec::new(),
            probes: 0,
        }
    }

    /// Handles an event and carries out its effects. `probe` returns the result of a probe of a
    /// server.
    fn handle(&mut self, now: Nanos, event: Event, probe: &dyn Fn(ServerId) -> SampleQuality) {
        let mut effects = Vec::new();
        self.detector.on(now, &self.entries, event, &mut effects);
        for effect in effects {
            match effect {
                Effect::Put(key, value) => {
                    let put = GossipInput::Put(key, value);
                    self.entries
                        .on(now, &self.members, put, &mut Vec::new())
                        .expect("the entry fits");
                }
                Effect::Ejected(target) => self.ejected.push(target),
                Effect::Readmitted { target, .. } => {
                    self.ejected.retain(|ejected| *ejected != target)
                }
                Effect::Probe(server) => {
                    self.probes += 1;
                    let probed = Event::Probed {
                        server,
                        class: ClassId(0),
                        quality: probe(server),
                    };
                    self.handle(now, probed, probe);
                }
                Effect::Suspect(_) => {}
            }
        }
    }

    /// Records one attempt of each class at each server that is not ejected, then evaluates.
    fn attempt_and_evaluate(
        &mut self,
        now: Nanos,
        quality: &dyn Fn(ServerId, ClassId) -> SampleQuality,
    ) {
        let probe = |server| quality(server, ClassId(0));
        for server in (0..SERVERS).map(ServerId) {
            let is_ejected = self.ejected.iter().any(|target| target.server == server);
            for class in CLASSES.into_iter().filter(|_| !is_ejected) {
                let quality = quality(server, class);
                self.handle(
                    now,
                    Event::Attempt {
                        server,
                        class,
                        quality,
                    },
                    &probe,
                );
            }
        }
        self.members.begin_round(now);
        self.handle(now, Event::Evaluate, &probe);
    }
}

/// Creates fronts that are assigned to the zones in turn.
fn fleet(fronts: u16, zones: u8) -> Vec<Front> {
    PeerId::all(fronts)
        .map(|me| Front::new(me, fronts, ZoneId((me.0 % u16::from(zones)) as u8)))
        .collect()
}

/// Runs rounds of all fronts from one time to another. `is_linked(to, from)` returns whether
/// messages arrive, and `fails(front, server, class)` whether attempts fail.
fn run_rounds(
    fleet: &mut [Front],
    from: Nanos,
    to: Nanos,
    is_linked: impl Fn(usize, usize) -> bool,
    fails: impl Fn(usize, ServerId, ClassId) -> bool,
) {
    for now in (from..to).step_by(ROUND_INTERVAL as usize) {
        for sender in 0..fleet.len() {
            let quality = |server, class| {
                if fails(sender, server, class) {
                    SampleQuality::Failed
                } else {
                    SampleQuality::Healthy
                }
            };
            fleet[sender].attempt_and_evaluate(now, &quality);
            send_messages(fleet, now, sender, &is_linked);
        }
    }
}

/// Sends a front's heartbeats and gossip to the peers that it is linked to.
fn send_messages(
    fleet: &mut [Front],
    now: Nanos,
    sender: usize,
    is_linked: &dyn Fn(usize, usize) -> bool,
) {
    let Front {
        me, incarnation, ..
    } = fleet[sender];
    let front = &mut fleet[sender];
    let mut actions = Vec::new();
    front
        .entries
        .on(now, &front.members, GossipInput::Round, &mut actions)
        .expect("a round puts nothing");
    let states: Vec<_> = front
        .members
        .others()
        .map(|to| (to, front.members.state_for(now, to)))
        .collect();
    for (to, state) in states {
        if is_linked(to.index(), sender) {
            fleet[to.index()]
                .members
                .receive(now, me, incarnation, &state);
        }
    }
    for action in actions {
        let GossipAction::Send { to, message } = action else {
            continue;
        };
        if is_linked(to.index(), sender) {
            let received = GossipInput::Received {
                from: me,
                incarnation,
                message,
            };
            let receiver = &mut fleet[to.index()];
            receiver
                .entries
                .on(now, &receiver.members, received, &mut Vec::new())
                .expect("a received message puts nothing");
        }
    }
}

fn all_linked(_: usize, _: usize) -> bool {
    true
}

fn no_failures(_: usize, _: ServerId, _: ClassId) -> bool {
    false
}

#[test]
fn an_outlier_is_ejected_by_all_probed_by_one_and_readmitted() {
    let mut fronts = fleet(4, 2);
    run_rounds(&mut fronts, 0, 2_000 * MS, all_linked, no_failures);
    run_rounds(
        &mut fronts,
        2_000 * MS,
        6_000 * MS,
        all_linked,
        |_, server, _| server == OUTLIER.server,
    );
    assert!(fronts.iter().all(|front| front.ejected == [OUTLIER]));
    let probes: usize = fronts.iter().map(|front| front.probes).sum();
    assert!(
        (3..=9).contains(&probes),
        "one front at a time probes every half second: {probes}"
    );
    run_rounds(
        &mut fronts,
        6_000 * MS,
        16_000 * MS,
        all_linked,
        no_failures,
    );
    assert!(
        fronts.iter().all(|front| front.ejected.is_empty()),
        "the server has recovered"
    );
    run_rounds(
        &mut fronts,
        16_000 * MS,
        20_000 * MS,
        all_linked,
        no_failures,
    );
    assert!(
        fronts.iter().all(|front| front.ejected.is_empty()),
        "evidence from before the recovery is ignored"
    );
}

#[test]
fn a_server_that_one_zone_cannot_reach_is_ejected_in_that_zone_alone() {
    let mut fronts = fleet(6, 2);
    let is_unreachable = |front: usize, server, _| server == OUTLIER.server && front % 2 == 1;
    run_rounds(&mut fronts, 0, 1_000 * MS, all_linked, no_failures);
    run_rounds(
        &mut fronts,
        1_000 * MS,
        6_000 * MS,
        all_linked,
        is_unreachable,
    );
    let in_zone = EjectionTarget {
        scope: Scope::Zone(ZoneId(1)),
        ..OUTLIER
    };
    for (me, front) in fronts.iter().enumerate() {
        assert_eq!(
            front.ejected,
            if me % 2 == 1 {
                vec![in_zone]
            } else {
                Vec::new()
            },
            "front {me}"
        );
    }
}

#[test]
fn a_server_that_fails_for_one_class_of_work_is_ejected_for_that_class() {
    let mut fronts = fleet(4, 1);
    let fails = |_, server, class| server == OUTLIER.server && class == ClassId(1);
    run_rounds(&mut fronts, 0, 2_000 * MS, all_linked, no_failures);
    run_rounds(&mut fronts, 2_000 * MS, 6_000 * MS, all_linked, fails);
    let for_class = EjectionTarget {
        scope: Scope::Class(ClassId(1)),
        ..OUTLIER
    };
    assert!(
        fronts.iter().all(|front| front.ejected == [for_class]),
        "{:?}",
        fronts[0].ejected
    );
}

#[test]
fn a_front_for_which_all_servers_fail_ejects_none_and_is_suspect() {
    let mut fronts = fleet(4, 2);
    run_rounds(&mut fronts, 0, 2_000 * MS, all_linked, no_failures);
    run_rounds(
        &mut fronts,
        2_000 * MS,
        8_000 * MS,
        all_linked,
        |front, _, _| front == 2,
    );
    assert!(fronts.iter().all(|front| front.ejected.is_empty()));
    // If only one server in three fails, the front's baseline is low enough for it to be a witness.
    let mut fronts = fleet(4, 2);
    run_rounds(&mut fronts, 0, 2_000 * MS, all_linked, no_failures);
    run_rounds(
        &mut fronts,
        2_000 * MS,
        8_000 * MS,
        all_linked,
        |front, server, _| front == 2 && server.0 % 3 == 0,
    );
    assert!(fronts.iter().all(|front| front.ejected.is_empty()));
    assert!(fronts[2].detector.is_suspect() && !fronts[1].detector.is_suspect());
}

#[test]
fn nothing_is_ejected_where_half_of_all_servers_are_slow_under_load() {
    let mut fronts = fleet(4, 2);
    run_rounds(&mut fronts, 0, 2_000 * MS, all_linked, no_failures);
    run_rounds(
        &mut fronts,
        2_000 * MS,
        10_000 * MS,
        all_linked,
        |_, server, _| server.0 % 2 == 0,
    );
    assert!(
        fronts.iter().all(|front| front.ejected.is_empty()),
        "{:?}",
        fronts[0].ejected
    );
}

#[test]
fn half_of_the_fronts_eject_nothing_and_an_ejection_ends_without_a_quorum() {
    let mut fronts = fleet(4, 1);
    let same_half = |a: usize, b: usize| (a < 2) == (b < 2);
    let fails = |_, server, _| server == OUTLIER.server;
    run_rounds(&mut fronts, 0, 2_000 * MS, all_linked, no_failures);
    run_rounds(&mut fronts, 2_000 * MS, 8_000 * MS, same_half, fails);
    assert!(
        fronts.iter().all(|front| front.ejected.is_empty()),
        "two of four fronts are no quorum"
    );
    run_rounds(&mut fronts, 8_000 * MS, 12_000 * MS, all_linked, fails);
    let in_zone = EjectionTarget {
        scope: Scope::Zone(ZoneId(0)),
        ..OUTLIER
    };
    assert!(fronts
        .iter()
        .all(|front| front.ejected == [OUTLIER] || front.ejected == [in_zone]));
    run_rounds(&mut fronts, 12_000 * MS, 17_000 * MS, same_half, fails);
    assert!(
        fronts.iter().all(|front| front.ejected.is_empty()),
        "the votes have expired"
    );
}

#[test]
fn no_more_than_the_maximum_fraction_is_ejected() {
    let mut fronts = fleet(4, 1);
    run_rounds(&mut fronts, 0, 2_000 * MS, all_linked, no_failures);
    run_rounds(
        &mut fronts,
        2_000 * MS,
        12_000 * MS,
        all_linked,
        |_, server, _| server.0 == 2 || server.0 == 3,
    );
    for front in &fronts {
        assert_eq!(
            front.ejected.len(),
            1,
            "half of the maximum of three of six servers: {:?}",
            front.ejected
        );
    }
}
