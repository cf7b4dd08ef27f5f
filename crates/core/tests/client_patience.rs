//! Clients that disconnect early or have unusual timeouts do not change how other clients are
//! served.

mod common;

use common::*;
use tulipbridge_core::*;

/// Runs `count` reads one after another, each answered after `took`. Returns the longest wait until
/// an attempt was sent, and the number of rejected reads.
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

/// Runs `count` reads whose clients disconnect after waiting for `age`.
fn abandon_reads(front: &mut TestFront, first: u64, count: u64, age: Nanos) {
    for id in first..first + count {
        let actions = front.submit(request(id, 0, Some(0)));
        front.now += age;
        let actions_at_disconnect = front.event(Event::ClientDisconnected(RequestId(id)));
        if actions_at_disconnect
            .iter()
            .any(|action| matches!(action, Action::Cancel { .. }))
        {
            front.event(ended(id, 0, 0, Outcome::Cancelled, age, true));
        } else {
            assert!(
                sends(&actions).is_empty(),
                "the attempt of a disconnected client is cancelled"
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
            "after clients that disconnected within {age} ns"
        );
        front.advance(3 * S);
        assert_eq!(
            run_reads(&mut front, 3000, 40, MS / 4),
            (0, 0),
            "3 s after clients that disconnected within {age} ns"
        );
    }
}

#[test]
fn a_client_with_a_timeout_of_an_hour_does_not_make_others_late() {
    let mut front = TestFront::new(settings(), 2);
    run_reads(&mut front, 0, 40, MS / 4);
    let mut long_timeout = request(1000, 0, Some(0));
    long_timeout.client_timeout = 3600 * S;
    front.submit(long_timeout);
    front.end_attempt(1000, 0, 0, Outcome::Served, MS);
    // A late request is not sent to a server that does not answer; one that is not late is.
    front.submit(request(2000, 0, Some(0)));
    front.end_attempt(2000, 0, 0, Outcome::NotExecuted, 0);
    let actions = front.submit(request(2001, 0, Some(0)));
    assert!(!rejected(&actions, 2001), "it is not late yet");
    assert!(
        !rejected(&front.advance(100 * MS), 2001),
        "it is not late after half of its objective"
    );
}

#[test]
fn learned_patience_expires_after_the_clients_have_disconnected() {
    let mut front = TestFront::new(settings(), 2);
    run_reads(&mut front, 0, 40, 20 * MS);
    abandon_reads(&mut front, 1000, 600, 150 * MS);
    front.advance(30 * S);
    let (longest, rejections) = run_reads(&mut front, 3000, 40, 170 * MS);
    assert_eq!(
        rejections, 0,
        "other clients wait longer than the disconnected ones did"
    );
    assert!(
        longest <= 100 * MS,
        "{longest} ns until an attempt was sent"
    );
}
