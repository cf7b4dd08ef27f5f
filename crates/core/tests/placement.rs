//! The endpoint list, the choice of a server and the order of requests with the same key.

mod common;

use common::*;
use tulipbridge_core::*;

#[test]
fn a_draining_or_removed_server_gets_no_requests() {
    for listed in [EndpointState::Draining, EndpointState::Removed] {
        let mut front = TestFront::new(settings(), 2);
        front.event(Event::Endpoints {
            scope: UpdateScope::Update,
            nodes: vec![node(0, listed, 0)],
        });
        assert!(sends(&front.submit(request(1, 0, Some(0)))).is_empty());
        let later = front.advance(S);
        assert!(sends(&later).is_empty());
        assert!(rejected(&later, 1));
        for id in 10..30 {
            assert!(sends(&front.submit(request(id, 0, None)))
                .iter()
                .all(|p| p.1 == 1));
        }
    }
}

#[test]
fn a_complete_list_without_a_server_removes_it() {
    let mut front = TestFront::new(settings(), 2);
    front.event(Event::Endpoints {
        scope: UpdateScope::Replace,
        nodes: vec![node(1, EndpointState::Up, 0)],
    });
    assert!(sends(&front.submit(request(1, 0, Some(0)))).is_empty());
}

#[test]
fn a_starting_server_gets_no_more_than_an_even_part() {
    let mut front = TestFront::new(settings(), 1);
    let up = front.now;
    front.event(Event::Endpoints {
        scope: UpdateScope::Update,
        nodes: vec![node(0, EndpointState::Up, up)],
    });
    let mut units = 0.0;
    for id in 0..50 {
        for (id, at) in sends(&front.submit(request(id, 0, Some(0)))) {
            units += 2.0;
            front.now += MS;
            front.end_attempt(id, 0, at, Outcome::Served, MS);
        }
    }
    assert!(
        units > 0.0 && units <= 8.0,
        "{units} of the 16 units for two fronts"
    );
}

#[test]
fn a_warm_server_is_preferred_while_its_replacement_starts() {
    let mut front = TestFront::new(settings(), 1);
    let replacement = NodeInfo {
        node: NodeId(1),
        zone: 0,
        shard: ShardId(0),
        state: EndpointState::Up,
        started_at: front.now,
    };
    front.event(Event::Endpoints {
        scope: UpdateScope::Update,
        nodes: vec![replacement],
    });
    assert_eq!(sends(&front.submit(request(1, 0, Some(0)))), vec![(1, 0)]);
    front.event(Event::Endpoints {
        scope: UpdateScope::Update,
        nodes: vec![node(0, EndpointState::Draining, 0)],
    });
    assert_eq!(sends(&front.submit(request(2, 0, Some(0)))), vec![(2, 1)]);
}

#[test]
fn requests_wait_while_no_server_is_listed_and_are_answered_in_time() {
    let mut front = TestFront::new(settings(), 0);
    for (id, shard) in [(1, None), (2, Some(3))] {
        let actions = front.submit(request(id, 0, shard));
        assert!(sends(&actions).is_empty() && !rejected(&actions, id));
    }
    front.event(Event::Endpoints {
        scope: UpdateScope::Update,
        nodes: vec![node(0, EndpointState::Up, 0)],
    });
    assert_eq!(
        sends(&front.advance(30 * MS)),
        vec![(1, 0)],
        "a new object goes to the first server listed"
    );
    assert!(rejected(&front.advance(S), 2), "no server holds its data");
}

#[test]
fn a_removed_server_is_forgotten_once_nothing_is_in_flight() {
    let mut front = TestFront::new(settings(), 1);
    front.warm(0, 3, 0, 20 * MS);
    front.submit(request(100, 0, Some(0)));
    front.event(Event::Endpoints {
        scope: UpdateScope::Update,
        nodes: vec![node(0, EndpointState::Removed, 0)],
    });
    assert!(
        !front
            .advance(5 * S / 10)
            .contains(&Action::Runtime(RuntimeCommand::ForgetNode(NodeId(0)))),
        "one attempt is in flight"
    );
    front.end_attempt(100, 0, 0, Outcome::Served, 20 * MS);
    let actions = front.advance(5 * S);
    assert_eq!(
        actions
            .iter()
            .filter(|a| **a == Action::Runtime(RuntimeCommand::ForgetNode(NodeId(0))))
            .count(),
        1
    );
}

#[test]
fn a_lost_subscription_is_renewed_within_the_poll_interval() {
    let mut front = TestFront::new(settings(), 1);
    front.event(Event::Endpoints {
        scope: UpdateScope::Unavailable,
        nodes: vec![],
    });
    let actions = front.advance(S);
    assert_eq!(
        actions
            .iter()
            .filter(|a| **a == Action::Runtime(RuntimeCommand::Subscribe))
            .count(),
        1
    );
    for _ in 0..10 {
        front.event(Event::Endpoints {
            scope: UpdateScope::Unavailable,
            nodes: vec![],
        });
        assert!(
            front
                .advance(5 * S)
                .contains(&Action::Runtime(RuntimeCommand::Subscribe)),
            "never later than the poll interval"
        );
    }
}

#[test]
fn the_order_of_a_key_holds_until_an_attempt_has_settled() {
    let mut front = TestFront::new(settings(), 2);
    let with_key = |id| Request {
        key: Some(KeyId(9)),
        ..request(id, 3, Some((id % 2) as u32))
    };
    assert_eq!(sends(&front.submit(with_key(1))).len(), 1);
    assert!(sends(&front.submit(with_key(2))).is_empty());
    front.event(Event::ClientDisconnected(RequestId(1)));
    assert!(
        sends(&front.advance(50 * MS)).is_empty(),
        "the first may still be executed"
    );
    front.event(ended(1, 0, 1, Outcome::TimedOut, 50 * MS, true));
    assert!(
        sends(&front.advance(40 * MS)).is_empty(),
        "the key is still blocked"
    );
    assert_eq!(sends(&front.advance(30 * MS)), vec![(2, 0)]);
}
