//! Retries, invalid settings and invalid events.

mod common;

use common::*;
use tulipbridge_core::*;

#[test]
fn an_at_most_once_request_is_retried_only_if_it_was_not_executed() {
    let mut front = TestFront::new(settings(), 2);
    front.submit(request(1, 2, Some(0)));
    assert!(failed(&front.end_attempt(1, 0, 0, Outcome::Error, MS), 1));
    front.submit(request(2, 2, Some(1)));
    let again = front.end_attempt(2, 0, 1, Outcome::Rejected, MS);
    assert!(!failed(&again, 2) && !rejected(&again, 2));
    let mut sent = sends(&again);
    sent.extend(sends(&front.advance(100 * MS)));
    assert_eq!(sent, vec![(2, 1)]);
}

/// Guards against a sound response that is given up for a retry which is then not sent.
#[test]
fn stalled_response_is_replaced_only_if_its_request_would_be_sent_again() {
    let idempotent_class = 0;
    let at_most_once_class = 2;
    for (class, max_attempts, expected) in [
        (idempotent_class, 3, true),
        (idempotent_class, 1, false),
        (at_most_once_class, 3, false),
    ] {
        let mut settings = settings();
        settings.max_attempts = max_attempts;
        let mut front = TestFront::new(settings, 1);
        front.warm(0, 20, 0, 10 * MS);
        front.submit(request(50, class, Some(0)));
        let sent_at = front.now;
        let would_retry = |now| {
            front
                .scheduler
                .would_retry(now, RequestId(50), NodeId(0), sent_at)
        };
        assert_eq!(would_retry(sent_at + 50 * MS), expected, "class {class}");
        assert!(!would_retry(sent_at + S), "no time is left");
    }
}

#[test]
fn retries_keep_to_their_budget() {
    let mut front = TestFront::new(settings(), 1);
    let mut retries = 0;
    for id in 0..10 {
        let mut sent = sends(&front.submit(request(id, 0, Some(0))));
        let mut attempt = 0;
        while let Some((id, at)) = sent.pop() {
            front.now += MS;
            sent = sends(&front.end_attempt(id, attempt, at, Outcome::Error, MS));
            attempt += 1;
            retries += sent.len();
        }
    }
    assert!(
        (3..=4).contains(&retries),
        "{retries} retries with a budget of 3 + 15% of 10 requests"
    );
}

#[test]
fn invalid_settings_are_an_error() {
    let corruptions: [fn(&mut Settings); 4] = [
        |s| s.classes.clear(),
        |s| s.plans[0].limit_rate = f64::NAN,
        |s| s.mean_units = 0.0,
        |s| s.front_count = 0,
    ];
    for corrupt in corruptions {
        let mut settings = settings();
        corrupt(&mut settings);
        assert!(Scheduler::new(settings, 1, 0).is_err());
    }
}

#[test]
fn events_of_unknown_requests_are_ignored() {
    let mut front = TestFront::new(settings(), 1);
    assert!(sends(&front.end_attempt(77, 0, 5, Outcome::Served, MS)).is_empty());
    front.event(Event::ClientDisconnected(RequestId(77)));
    front.event(Event::ResponseStarted(RequestId(77)));
    assert!(rejected(&front.submit(request(1, 99, Some(0))), 1));
    assert_eq!(sends(&front.submit(request(2, 0, Some(0)))).len(), 1);
}

#[test]
fn invalid_input_does_no_harm() {
    let mut front = TestFront::new(settings(), 2);
    front.event(Event::Endpoints {
        scope: UpdateScope::Update,
        nodes: vec![],
    });
    let invalid_units = [0.0, f64::NAN, f64::INFINITY, -1.0];
    for (id, units) in (10..).zip(invalid_units) {
        front.submit(Request {
            units,
            front_count: 0,
            ..request(id, 0, Some(0))
        });
        front.submit(request(id, 0, Some(0)));
    }
    front.now -= 50 * MS;
    front.advance(100 * MS);
    let moved = NodeInfo {
        shard: ShardId(1),
        ..node(0, EndpointState::Up, 0)
    };
    front.event(Event::Endpoints {
        scope: UpdateScope::Update,
        nodes: vec![moved],
    });
    let actions = front.advance(2 * S);
    assert!((10..14)
        .all(|id| rejected(&actions, id) || !sends(&actions).iter().any(|p| p.0 == id && p.1 > 1)));
    assert!(
        !sends(&front.submit(request(99, 0, Some(1)))).is_empty(),
        "the shard is still served"
    );
}
