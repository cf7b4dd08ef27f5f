//! Admission control: which requests are rejected or failed, and when.

mod common;

use common::*;
use tulipbridge_core::*;

#[test]
fn a_request_with_a_timeout_shorter_than_a_tick_is_rejected_at_once() {
    let mut front = TestFront::new(settings(), 0);
    let mut short = request(1, 0, Some(0));
    short.client_timeout = 3 * MS;
    assert!(rejected(&front.submit(short), 1));
}

#[test]
fn requests_in_flight_are_answered_before_their_deadline() {
    let mut front = TestFront::new(settings(), 2);
    for (id, class) in [(1, 0), (2, 1)] {
        assert_eq!(
            sends(&front.submit(request(id, class, Some(id as u32 - 1)))).len(),
            1
        );
    }
    let actions = front.advance(S - MS);
    assert!(rejected(&actions, 1), "safe to repeat: rejected");
    assert!(
        failed(&actions, 2),
        "deduplicated and possibly executed: failed, never rejected"
    );
    assert!(!rejected(&actions, 2));
}

#[test]
fn requests_of_clients_that_leave_early_are_rejected_early() {
    let mut front = TestFront::new(settings(), 1);
    front.warm(0, 30, 0, 20 * MS);
    for id in 100..120 {
        front.submit(request(id, 0, Some(0)));
        front.now += 60 * MS;
        front.event(Event::ClientDisconnected(RequestId(id)));
        front.end_attempt(id, 0, 0, Outcome::Served, 60 * MS);
    }
    // The server is at capacity. Requests that wait longer than clients typically do are rejected
    // before their latency objective.
    for id in 200..230 {
        front.submit(request(id, 0, Some(0)));
    }
    let actions = front.advance(100 * MS);
    assert!((200..230).any(|id| rejected(&actions, id)));
}

#[test]
fn clients_that_leave_at_random_times_do_not_shorten_the_wait_of_others() {
    let mut front = TestFront::new(settings(), 1);
    front.warm(0, 30, 0, 20 * MS);
    // Requests come two at a time and are answered well within the objective; one client in five
    // disconnects before its answer.
    let mut actions = Vec::new();
    for id in (100..300).step_by(2) {
        for id in [id, id + 1] {
            actions.extend(front.submit(request(id, 0, Some(0))));
        }
        let disconnects_after = [MS / 2, 4 * MS, 50 * MS, 2 * MS][id as usize / 5 % 4];
        let disconnects = id % 5 == 0;
        if disconnects {
            front.now += disconnects_after;
            front.event(Event::ClientDisconnected(RequestId(id)));
        }
        actions.extend(front.advance(60 * MS - if disconnects { disconnects_after } else { 0 }));
        for id in [id, id + 1] {
            actions.extend(front.end_attempt(id, 0, 0, Outcome::Served, 60 * MS));
        }
    }
    assert!(
        !(100..300).any(|id| rejected(&actions, id)),
        "all answers come well before the objective"
    );
}

#[test]
fn an_idempotent_attempt_is_cancelled_when_its_client_leaves() {
    let mut front = TestFront::new(settings(), 1);
    front.warm(0, 3, 0, 20 * MS);
    for (id, class, is_cancelled) in [(100, 0, true), (101, 2, false)] {
        front.submit(request(id, class, Some(0)));
        let actions = front.event(Event::ClientDisconnected(RequestId(id)));
        assert_eq!(
            actions.contains(&Action::Cancel {
                id: RequestId(id),
                attempt: 0
            }),
            is_cancelled
        );
        assert!(
            !front
                .event(Event::ClientDisconnected(RequestId(id)))
                .contains(&Action::Cancel {
                    id: RequestId(id),
                    attempt: 0
                }),
            "only once"
        );
    }
}

#[test]
fn a_volume_limit_starts_empty_and_holds() {
    let mut front = TestFront::new(settings(), 1);
    let mut limited = request(1, 0, Some(0));
    limited.plan = 1;
    assert!(
        sends(&front.submit(limited.clone())).is_empty(),
        "a restarted front does not know how much of the limit is used"
    );
    assert_eq!(
        sends(&front.advance(120 * MS)).len(),
        1,
        "20 units a second give 2 in 0.1 s"
    );
}

#[test]
fn retry_after_grows_with_the_rejections_and_is_spread() {
    let mut settings = settings();
    settings.max_retry_after = 5 * S;
    let mut front = TestFront::new(settings, 3);
    let retry_after = |actions: &[Action]| match actions {
        [Action::Reject { retry_after, .. }] => Some(*retry_after),
        _ => None,
    };
    // The servers reject every attempt. The front therefore sends few and rejects the other
    // requests itself.
    let mut waits = Vec::new();
    for id in 0..600 {
        let mut actions = front.submit(request(id, 0, Some((id % 3) as u32)));
        for (id, node) in sends(&actions) {
            actions = front.end_attempt(id, 0, node, Outcome::Rejected, MS);
        }
        waits.extend(retry_after(&actions));
        front.advance(10 * MS);
    }
    let mean = |waits: &[Nanos]| waits.iter().sum::<Nanos>() / waits.len() as Nanos;
    let late = &waits[waits.len() - 100..];
    assert!(
        mean(late) > mean(&waits[..20]),
        "{} and {}",
        mean(&waits[..20]),
        mean(late)
    );
    assert!(
        late.iter().max() > late.iter().min(),
        "equal waits make all clients retry at once"
    );
}

#[test]
fn overdue_attempts_count_as_failed_before_they_end() {
    let mut settings = settings();
    settings.front_count = 200;
    let mut front = TestFront::new(settings, 10);
    for id in 0..10 {
        assert_eq!(
            sends(&front.submit(request(id, 0, Some(id as u32)))).len(),
            1
        );
    }
    front.advance(300 * MS);
    let rejected_at_once =
        (10..40).filter(|id| rejected(&front.submit(request(*id, 0, Some((id % 10) as u32))), *id));
    let rejected = rejected_at_once.count();
    assert!(
        rejected >= 20,
        "{rejected} of 30 rejected at once while no server answers"
    );
}

#[test]
fn an_overtaken_attempt_does_not_count_as_failed() {
    // Every third answer is lost and later ones arrive. The server must still get all requests.
    let mut settings = settings();
    settings.front_count = 200;
    let mut front = TestFront::new(settings, 1);
    front.warm(0, 30, 0, 20 * MS);
    for id in 100..190 {
        assert_eq!(
            sends(&front.submit(request(id, 0, Some(0)))).len(),
            1,
            "request {id}"
        );
        front.advance(20 * MS);
        if id % 3 > 0 {
            front.end_attempt(id, 0, 0, Outcome::Served, 20 * MS);
        }
    }
}

#[test]
fn an_unsent_request_is_rejected_after_half_of_its_timeout() {
    // The second request waits for the first one of its key. The server answers other requests.
    let mut front = TestFront::new(settings(), 1);
    let mut actions = Vec::new();
    for id in [1, 2] {
        let mut ordered = request(id, 3, Some(0));
        ordered.key = Some(KeyId(9));
        actions.extend(front.submit(ordered));
    }
    assert_eq!(sends(&actions), vec![(1, 0)]);
    for id in 10..19 {
        front.submit(request(id, 0, Some(0)));
        front.now += 10 * MS;
        front.end_attempt(id, 0, 0, Outcome::Served, 10 * MS);
        let waiting = front.advance(40 * MS);
        assert!(!rejected(&waiting, 2), "there is time left");
    }
    assert!(
        rejected(&front.advance(50 * MS), 2),
        "a later rejection leaves the client too little time"
    );
}
