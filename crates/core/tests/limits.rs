//! Limits that are told from outside, in place of an even part.

mod common;

use common::*;
use tulipbridge_core::*;

/// A module whose requests of 2 units come under a limit of 40 a second, of which each of four fronts has a part.
fn rig() -> Rig {
    let mut set = settings();
    set.plans = vec![plan(40.0, 0.0)];
    let mut rig = Rig::new(set, 1);
    rig.warm(0, 4, 0, 2 * MS);
    rig
}

/// Units that go out within a time in which a request comes every 10 ms.
fn sent(rig: &mut Rig, first: RequestId, time: Nanos) -> f64 {
    let mut units = 0.0;
    for step in 0..time / (10 * MS) {
        let id = first + step as RequestId;
        let mut asked = request(id, 0, Some(0));
        (asked.plan, asked.volume, asked.front_count) = (0, 77, 4);
        let mut actions = rig.ask(asked);
        actions.extend(rig.pass(10 * MS));
        for (id, node) in places(&actions) {
            units += 2.0;
            rig.end(id, 0, node, Outcome::Served, 2 * MS);
        }
    }
    units
}

fn tell(rig: &mut Rig, rate: f64, burst: f64, at: Nanos) {
    rig.event(Event::FleetUpdate(FleetUpdate::SharedLimit {
        limit: SharedLimit::Volume(77),
        rate,
        burst,
        at,
    }));
}

#[test]
fn a_limit_that_is_told_holds_instead_of_an_even_part() {
    let mut rig = rig();
    let even = sent(&mut rig, 1_000, 2_000 * MS);
    assert!((16.0..=24.0).contains(&even), "a quarter of 40 a second for 2 s: {even}");
    let now = rig.now;
    tell(&mut rig, 40.0, 6.0, now);
    let whole = sent(&mut rig, 2_000, 2_000 * MS);
    assert!((72.0..=88.0).contains(&whole), "{whole}");
    let now = rig.now;
    tell(&mut rig, 0.0, 0.0, now);
    assert_eq!(sent(&mut rig, 3_000, 2_000 * MS), 0.0);
}

#[test]
fn a_limit_told_before_its_volume_is_known_holds_from_the_first_request() {
    let mut rig = rig();
    tell(&mut rig, 0.0, 0.0, 0);
    assert_eq!(sent(&mut rig, 1_000, 1_000 * MS), 0.0);
}

#[test]
fn what_flowed_in_after_the_end_of_a_right_is_taken_back() {
    // Twice the same, and in one of them the front stands still for a second after its right has ended.
    let mut rig = rig();
    tell(&mut rig, 40.0, 40.0, 0);
    sent(&mut rig, 1_000, 500 * MS);
    let ended = rig.now;
    rig.now += 1_000 * MS;
    // By now 40 units would have flowed in; what counts is what had come by the end.
    tell(&mut rig, 0.4, 40.0, ended);
    let units = sent(&mut rig, 2_000, 100 * MS);
    assert!(units <= 6.0, "{units}");
}

#[test]
fn further_attempts_keep_to_what_is_told() {
    let mut rig = Rig::new(settings(), 2);
    let mut further = 0;
    rig.event(Event::FleetUpdate(FleetUpdate::SharedLimit {
        limit: SharedLimit::Retries,
        rate: 2.0,
        burst: 3.0,
        at: rig.now,
    }));
    for id in 0..200 {
        // Each fails at once, and could be sent again by every other rule.
        let mut actions = rig.pass(30 * MS);
        actions.extend(rig.ask(request(id, 0, Some(id as CellId % 2))));
        for attempt in 0..3 {
            let Some((_, node)) = places(&actions).into_iter().find(|(r, _)| *r == id) else { break };
            further += usize::from(attempt > 0);
            actions = rig.end(id, attempt, node, Outcome::Error, MS);
            actions.extend(rig.pass(20 * MS));
        }
    }
    let bound = 2.0 * (rig.now - 100 * S) as f64 / 1e9 + 3.0;
    assert!((3..=bound as usize).contains(&further), "{further} of at most {bound}");
}

#[test]
fn a_starting_node_is_sent_no_more_than_is_told() {
    let mut rig = Rig::new(settings(), 1);
    rig.warm(0, 4, 0, 2 * MS);
    rig.event(Event::FleetUpdate(FleetUpdate::SharedLimit {
        limit: SharedLimit::WarmingUpNode,
        rate: 4.0,
        burst: 8.0,
        at: rig.now,
    }));
    // It comes up after it was told, as any node does.
    let began = rig.now;
    let start = NodeInfo { node: 1, zone: 0, cell: 7, listed: Listed::Up, started_at: began };
    rig.event(Event::Endpoints { scope: UpdateScope::Update, nodes: vec![start] });
    let mut sent: Vec<Nanos> = Vec::new();
    for id in 100..500 {
        let mut actions = rig.ask(request(id, 0, Some(7)));
        actions.extend(rig.pass(10 * MS));
        for (id, node) in places(&actions).into_iter().filter(|(_, node)| *node == 1) {
            sent.push(rig.now);
            rig.end(id, 0, node, Outcome::Served, 2 * MS);
        }
    }
    assert!(sent.len() >= 8, "{}", sent.len());
    for (first, from) in sent.iter().enumerate() {
        for (last, until) in sent.iter().enumerate().skip(first) {
            let (units, window) = ((last - first + 1) as f64 * 2.0, (until - from) as f64 / 1e9);
            // By its age it must be able to do up to 4 times as much as at first, within 10 s.
            let growth = 1.0 + 3.0 * ((until - began) as f64 / 1e10).min(1.0);
            let most = (4.0 * (window + 0.01) + 8.0) * growth;
            assert!(units <= most, "{units} units in {window} s, of at most {most}");
        }
    }
}

/// Answers all that is out, and all that goes out then.
fn drain(rig: &mut Rig, mut out: Vec<(RequestId, NodeId)>) {
    while !out.is_empty() {
        let ends: Vec<Action> =
            out.iter().flat_map(|(id, node)| rig.end(*id, 0, *node, Outcome::Served, 20 * MS)).collect();
        out = places(&ends);
        out.extend(places(&rig.pass(20 * MS)));
    }
}

#[test]
fn no_more_are_out_at_a_node_than_is_told_and_a_part_of_one_is_a_pace() {
    let mut rig = Rig::new(settings(), 1);
    rig.warm(0, 4, 0, 20 * MS);
    let crowd = |rig: &mut Rig, first: RequestId| -> Vec<(RequestId, NodeId)> {
        let asked = (first..first + 6).flat_map(|id| rig.ask(request(id, 0, Some(0)))).collect::<Vec<_>>();
        places(&asked)
    };
    let tell = |rig: &mut Rig, most| {
        rig.event(Event::FleetUpdate(FleetUpdate::SharedLimit {
            limit: SharedLimit::InFlightPerNode,
            rate: most,
            burst: 0.0,
            at: rig.now,
        }));
    };
    assert!(crowd(&mut rig, 100).len() > 2, "untold, the window alone counts");
    drain(&mut rig, (100..106).map(|id| (id, 0)).collect());
    tell(&mut rig, 2.7);
    let out = crowd(&mut rig, 200);
    assert_eq!(out.len(), 2);
    drain(&mut rig, out);
    tell(&mut rig, 0.5);
    let (mut busy, began) = (0, rig.now);
    for id in 300..400 {
        let mut actions = rig.ask(request(id, 0, Some(0)));
        actions.extend(rig.pass(20 * MS));
        for (id, node) in places(&actions) {
            let more = rig.pass(20 * MS);
            assert_eq!(places(&more), Vec::new(), "one at a time");
            busy += 20 * MS;
            rig.end(id, 0, node, Outcome::Served, 20 * MS);
        }
    }
    let part = busy as f64 / (rig.now - began) as f64;
    assert!((0.3..=0.55).contains(&part), "half of the time one is out: {part:.2}");
    tell(&mut rig, 0.0);
    rig.pass(2 * S);
    assert_eq!(crowd(&mut rig, 500), Vec::new(), "of nothing there is nothing");
}
