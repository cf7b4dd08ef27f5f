//! Clients that leave early, or have unusual patience, do not change how other clients are served.

mod common;

use common::*;
use tulipbridge_core::*;

/// Runs reads one after another, each answered after `took`. Returns the longest wait until an
/// attempt was sent, and the number of rejected reads.
fn run_reads(front: &mut TestFront, first: u64, count: u64, took: Nanos) -> (Nanos, usize) {
    let (mut longest, mut rejections) = (0, 0);
    for id in first..first + count {
        let received_at = front.now;
        let mut actions = front.submit(request(id, 0, Some(0)));
        while sends(&actions).is_empty() && !rejected(&actions, id) {
            actions = front.advance(10 * MS);
        }
        if rejected(&actions, id) {
            rejections += 1;
            continue;
        }
        longest = longest.max(front.now - received_at);
        front.now += took;
        front.end_attempt(id, 0, 0, Outcome::Served, took);
    }
    (longest, rejections)
}

/// Runs reads whose clients leave after `age`.
fn abandon_reads(front: &mut TestFront, first: u64, count: u64, age: Nanos) {
    for id in first..first + count {
        let actions = front.submit(request(id, 0, Some(0)));
        front.now += age;
        let end_actions = front.event(Event::ClientDisconnected(RequestId(id)));
        if end_actions
            .iter()
            .any(|a| matches!(a, Action::Cancel { .. }))
        {
            front.event(ended(id, 0, 0, Outcome::Cancelled, age, true));
        } else {
            assert!(
                sends(&actions).is_empty(),
                "an attempt for a client that left is cancelled"
            );
        }
    }
}

#[test]
fn clients_that_leave_at_once_do_not_delay_or_reject_others() {
    for age in [MS / 20, MS, 20 * MS] {
        let mut front = TestFront::new(settings(), 2);
        assert_eq!(run_reads(&mut front, 0, 40, MS / 4), (0, 0));
        abandon_reads(&mut front, 1000, 600, age);
        assert_eq!(
            run_reads(&mut front, 2000, 40, MS / 4),
            (0, 0),
            "after clients that left within {age} ns"
        );
        front.advance(3 * S);
        assert_eq!(
            run_reads(&mut front, 3000, 40, MS / 4),
            (0, 0),
            "3 s after clients that left within {age} ns"
        );
    }
}

#[test]
fn a_client_with_an_hour_of_patience_makes_no_other_late() {
    let mut front = TestFront::new(settings(), 2);
    run_reads(&mut front, 0, 40, MS / 4);
    let mut patient = request(1000, 0, Some(0));
    patient.client_timeout = 3600 * S;
    front.submit(patient);
    front.end_attempt(1000, 0, 0, Outcome::Served, MS);
    // A late request is not sent to a server that does not answer; a timely one is.
    front.submit(request(2000, 0, Some(0)));
    front.end_attempt(2000, 0, 0, Outcome::NotExecuted, 0);
    let waits = front.submit(request(2001, 0, Some(0)));
    assert!(!rejected(&waits, 2001), "it is not late yet");
    assert!(
        !rejected(&front.advance(100 * MS), 2001),
        "nor after half of its objective"
    );
}

#[test]
fn learned_patience_expires_after_the_clients_are_gone() {
    let mut front = TestFront::new(settings(), 2);
    run_reads(&mut front, 0, 40, 20 * MS);
    abandon_reads(&mut front, 1000, 600, 150 * MS);
    front.advance(30 * S);
    let (longest, rejections) = run_reads(&mut front, 3000, 40, 170 * MS);
    assert_eq!(rejections, 0, "others wait longer than those clients did");
    assert!(
        longest <= 100 * MS,
        "{longest} ns until an attempt was sent"
    );
}
