//! What one front makes of what it saw and what others told.

use tulipbridge_membership::{GossipInput, GossipStore, MembershipTable};
use tulipbridge_outlier_detection::*;

const MS: Nanos = 1_000_000;
const SPAN: Nanos = 2_000 * MS;

struct Front {
    contacts: MembershipTable,
    entries: GossipStore,
    verdicts: OutlierDetector,
    out: Vec<EjectionTarget>,
    tries: usize,
}

/// So many fronts in zones that take turns, with six servers.
fn fleet(fronts: PeerId, zones: Zone) -> Vec<Front> {
    let front = |me: PeerId| {
        let boot = 100 + u64::from(me);
        let entries = GossipStore::new(me, fronts, boot, 100_000, 0);
        let terms = DetectorConfig::new(me, fronts, (me % PeerId::from(zones)) as Zone);
        let mut verdicts = OutlierDetector::new(terms).expect("terms hold");
        let servers = (0..6).map(|s| (s, true)).collect();
        verdicts.on(0, &entries, Event::Servers(servers), &mut Vec::new());
        Front {
            contacts: MembershipTable::new(me, fronts, boot, SPAN),
            entries,
            verdicts,
            out: Vec::new(),
            tries: 0,
        }
    };
    (0..fronts).map(front).collect()
}

/// Rounds of all fronts over a time, each after ten attempts a front at each server it does not hold out; `bad` says
/// what comes of them.
fn rounds(
    fleet: &mut [Front],
    from: Nanos,
    to: Nanos,
    hears: impl Fn(usize, usize) -> bool,
    bad: impl Fn(usize, Server, Class) -> bool,
) {
    for now in (from..to).step_by(200 * MS as usize) {
        for at in 0..fleet.len() {
            for server in 0..6 {
                let out = fleet[at].out.iter().any(|s| s.server == server);
                for class in [0, 1].into_iter().filter(|_| !out) {
                    let worth =
                        if bad(at, server, class) { SampleQuality::Failed } else { SampleQuality::Healthy };
                    feed(&mut fleet[at], now, Event::Attempt { server, class, quality: worth }, &|_| worth);
                }
            }
            fleet[at].contacts.begin_round(now);
            feed(&mut fleet[at], now, Event::Evaluate, &|s| {
                if bad(at, s, 0) {
                    SampleQuality::Failed
                } else {
                    SampleQuality::Healthy
                }
            });
            let mut acts = Vec::new();
            let one = &mut fleet[at];
            one.entries.on(now, &one.contacts, GossipInput::Round, &mut acts).expect("a round puts nothing");
            let hellos: Vec<_> =
                one.contacts.others().map(|to| (to, one.contacts.state_for(now, to))).collect();
            for (to, hello) in hellos {
                if hears(usize::from(to), at) {
                    fleet[usize::from(to)].contacts.receive(now, at as PeerId, 100 + at as u64, &hello);
                }
            }
            for act in acts {
                let tulipbridge_membership::GossipAction::Send { to, message: exchange } = act else {
                    continue;
                };
                if !hears(usize::from(to), at) {
                    continue;
                }
                let told = GossipInput::Received {
                    from: at as PeerId,
                    incarnation: 100 + at as u64,
                    message: exchange,
                };
                let other = &mut fleet[usize::from(to)];
                other.entries.on(now, &other.contacts, told, &mut Vec::new()).expect("it only hears");
            }
        }
    }
}

fn feed(front: &mut Front, now: Nanos, event: Event, tried: &dyn Fn(Server) -> SampleQuality) {
    let mut effects = Vec::new();
    front.verdicts.on(now, &front.entries, event, &mut effects);
    for effect in effects {
        match effect {
            Effect::Put(key, value) => {
                let told = GossipInput::Put(key, value);
                front.entries.on(now, &front.contacts, told, &mut Vec::new()).expect("it fits");
            }
            Effect::Ejected(subject) => front.out.push(subject),
            Effect::Readmitted { target: subject, .. } => front.out.retain(|s| *s != subject),
            Effect::Probe(server) => {
                front.tries += 1;
                let worth = tried(server);
                feed(front, now, Event::Probed { server, class: 0, quality: worth }, &|_| worth);
            }
            Effect::Suspect(_) => {}
        }
    }
}

const ALL: EjectionTarget = EjectionTarget { server: 3, scope: Scope::All };

#[test]
fn a_bad_server_is_held_out_by_all_tried_by_one_and_comes_back() {
    let mut fronts = fleet(4, 2);
    rounds(&mut fronts, 0, 2_000 * MS, |_, _| true, |_, _, _| false);
    rounds(&mut fronts, 2_000 * MS, 6_000 * MS, |_, _| true, |_, server, _| server == 3);
    assert!(fronts.iter().all(|f| f.out == [ALL]));
    let tries: usize = fronts.iter().map(|f| f.tries).sum();
    assert!((3..=9).contains(&tries), "one front at a time, each half second: {tries}");
    rounds(&mut fronts, 6_000 * MS, 16_000 * MS, |_, _| true, |_, _, _| false);
    assert!(fronts.iter().all(|f| f.out.is_empty()), "it does well");
    rounds(&mut fronts, 16_000 * MS, 20_000 * MS, |_, _| true, |_, _, _| false);
    assert!(fronts.iter().all(|f| f.out.is_empty()), "and what was seen before says nothing");
}

#[test]
fn a_server_that_one_zone_cannot_reach_is_held_out_there_alone() {
    let mut fronts = fleet(6, 2);
    rounds(&mut fronts, 0, 1_000 * MS, |_, _| true, |_, _, _| false);
    rounds(&mut fronts, 1_000 * MS, 6_000 * MS, |_, _| true, |at, server, _| server == 3 && at % 2 == 1);
    let zone = EjectionTarget { server: 3, scope: Scope::Zone(1) };
    for (at, front) in fronts.iter().enumerate() {
        assert_eq!(front.out, if at % 2 == 1 { vec![zone] } else { Vec::new() }, "front {at}");
    }
}

#[test]
fn a_server_bad_for_one_class_of_work_is_held_out_for_that() {
    let mut fronts = fleet(4, 1);
    rounds(&mut fronts, 0, 2_000 * MS, |_, _| true, |_, _, _| false);
    rounds(&mut fronts, 2_000 * MS, 6_000 * MS, |_, _| true, |_, server, class| server == 3 && class == 1);
    let class = EjectionTarget { server: 3, scope: Scope::Class(1) };
    assert!(fronts.iter().all(|f| f.out == [class]), "{:?}", fronts[0].out);
}

#[test]
fn a_front_that_finds_all_bad_condemns_nobody_and_is_told() {
    let mut fronts = fleet(4, 2);
    rounds(&mut fronts, 0, 2_000 * MS, |_, _| true, |_, _, _| false);
    rounds(&mut fronts, 2_000 * MS, 8_000 * MS, |_, _| true, |at, _, _| at == 2);
    assert!(fronts.iter().all(|f| f.out.is_empty()));
    // One that finds one server in three bad has a base by which it could be a witness.
    let mut fronts = fleet(4, 2);
    rounds(&mut fronts, 0, 2_000 * MS, |_, _| true, |_, _, _| false);
    rounds(&mut fronts, 2_000 * MS, 8_000 * MS, |_, _| true, |at, server, _| at == 2 && server % 3 == 0);
    assert!(fronts.iter().all(|f| f.out.is_empty()));
    assert!(fronts[2].verdicts.is_suspect() && !fronts[1].verdicts.is_suspect());
}

#[test]
fn half_of_all_servers_slow_from_load_are_no_reason_for_a_verdict() {
    let mut fronts = fleet(4, 2);
    rounds(&mut fronts, 0, 2_000 * MS, |_, _| true, |_, _, _| false);
    rounds(&mut fronts, 2_000 * MS, 10_000 * MS, |_, _| true, |_, server, _| server % 2 == 0);
    assert!(fronts.iter().all(|f| f.out.is_empty()), "{:?}", fronts[0].out);
}

#[test]
fn half_of_the_roster_holds_nothing_out_and_what_was_lapses() {
    let mut fronts = fleet(4, 1);
    let side = |a: usize, b: usize| (a < 2) == (b < 2);
    rounds(&mut fronts, 0, 2_000 * MS, |_, _| true, |_, _, _| false);
    rounds(&mut fronts, 2_000 * MS, 8_000 * MS, side, |_, server, _| server == 3);
    assert!(fronts.iter().all(|f| f.out.is_empty()), "two of four");
    rounds(&mut fronts, 8_000 * MS, 12_000 * MS, |_, _| true, |_, server, _| server == 3);
    assert!(fronts
        .iter()
        .all(|f| f.out == [ALL] || f.out == [EjectionTarget { scope: Scope::Zone(0), ..ALL }]));
    rounds(&mut fronts, 12_000 * MS, 17_000 * MS, side, |_, server, _| server == 3);
    assert!(fronts.iter().all(|f| f.out.is_empty()), "no older than an assent's life");
}

#[test]
fn no_more_than_the_stated_part_goes() {
    let mut fronts = fleet(4, 1);
    rounds(&mut fronts, 0, 2_000 * MS, |_, _| true, |_, _, _| false);
    rounds(&mut fronts, 2_000 * MS, 12_000 * MS, |_, _| true, |_, server, _| server == 2 || server == 3);
    for front in &fronts {
        assert_eq!(front.out.len(), 1, "half of a half of six: {:?}", front.out);
    }
}
