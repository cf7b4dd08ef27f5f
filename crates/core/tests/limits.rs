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
fn sent(rig: &mut Rig, first: ReqId, time: Nanos) -> f64 {
    let mut units = 0.0;
    for step in 0..time / (10 * MS) {
        let id = first + step as ReqId;
        let mut asked = request(id, 0, Some(0));
        (asked.plan, asked.volume, asked.set_size) = (0, 77, 4);
        let mut actions = rig.ask(asked);
        actions.extend(rig.pass(10 * MS));
        for (id, node) in places(&actions) {
            units += 2.0;
            rig.end(id, 0, node, Outcome::Done, 2 * MS);
        }
    }
    units
}

fn tell(rig: &mut Rig, rate: f64, burst: f64, at: Nanos) {
    rig.event(Event::Limit { volume: 77, rate, burst, at });
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
