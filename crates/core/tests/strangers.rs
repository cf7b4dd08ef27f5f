//! What clients that leave, or send what nobody can use, may teach: nothing about the others.

mod common;

use common::*;
use tulipbridge_core::*;

/// What a usual client meets in a row of reads, each answered after `took`: the longest wait until its attempt
/// was sent, and how many were refused.
fn usual(rig: &mut Rig, first: RequestId, n: u64, took: Nanos) -> (Nanos, usize) {
    let (mut longest, mut refusals) = (0, 0);
    for id in first..first + n {
        let asked = rig.now;
        let mut done = rig.ask(request(id, 0, Some(0)));
        while places(&done).is_empty() && !refused(&done, id) {
            done = rig.pass(10 * MS);
        }
        if refused(&done, id) {
            refusals += 1;
            continue;
        }
        longest = longest.max(rig.now - asked);
        rig.now += took;
        rig.end(id, 0, 0, Outcome::Served, took);
    }
    (longest, refusals)
}

/// Clients that send a proper read and are gone after `age`.
fn crowd(rig: &mut Rig, first: RequestId, n: u64, age: Nanos) {
    for id in first..first + n {
        let done = rig.ask(request(id, 0, Some(0)));
        rig.now += age;
        let gone = rig.event(Event::ClientGone(id));
        if gone.iter().any(|a| matches!(a, Action::Cancel { .. })) {
            rig.event(ended(id, 0, 0, Outcome::Cancelled, age, true));
        } else {
            assert!(places(&done).is_empty(), "what is out for nobody is given up");
        }
    }
}

#[test]
fn a_crowd_that_leaves_at_once_delays_and_refuses_nobody_else() {
    for age in [MS / 20, MS, 20 * MS] {
        let mut rig = Rig::new(settings(), 2);
        assert_eq!(usual(&mut rig, 0, 40, MS / 4), (0, 0));
        crowd(&mut rig, 1000, 600, age);
        assert_eq!(usual(&mut rig, 2000, 40, MS / 4), (0, 0), "after clients that left within {age} ns");
        rig.pass(3 * S);
        assert_eq!(usual(&mut rig, 3000, 40, MS / 4), (0, 0), "3 s after clients that left within {age} ns");
    }
}

#[test]
fn a_stranger_that_would_wait_an_hour_makes_nobody_else_late() {
    let mut rig = Rig::new(settings(), 2);
    usual(&mut rig, 0, 40, MS / 4);
    let mut patient = request(1000, 0, Some(0));
    patient.patience = 3600 * S;
    rig.ask(patient);
    rig.end(1000, 0, 0, Outcome::Served, MS);
    // A request past its aim is not sent to a node that does not answer; one in time is.
    rig.ask(request(2000, 0, Some(0)));
    rig.end(2000, 0, 0, Outcome::NotExecuted, 0);
    let waits = rig.ask(request(2001, 0, Some(0)));
    assert!(!refused(&waits, 2001), "it is not late yet");
    assert!(!refused(&rig.pass(100 * MS), 2001), "nor after half of its aim");
}

#[test]
fn patience_learned_from_those_that_wait_long_ends_when_they_are_gone() {
    let mut rig = Rig::new(settings(), 2);
    usual(&mut rig, 0, 40, 20 * MS);
    crowd(&mut rig, 1000, 600, 150 * MS);
    rig.pass(30 * S);
    let (longest, refusals) = usual(&mut rig, 3000, 40, 170 * MS);
    assert_eq!(refusals, 0, "others wait longer than that crowd did");
    assert!(longest <= 100 * MS, "{longest} ns until an attempt went out");
}
