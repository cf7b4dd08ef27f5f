//! The parts of shared limits that are assigned to a front in place of an even part.

mod common;

use common::*;
use tulipbridge_core::*;

/// Returns a front with a limit of 40 units per second, which four fronts share, for requests of 2
/// units each.
fn limited_front() -> TestFront {
    let mut set = settings();
    set.plans = vec![plan(40.0, 0.0)];
    let mut front = TestFront::new(set, 1);
    front.warm(0, 4, 0, 2 * MS);
    front
}

/// Submits a request every 10 ms for the given time and returns the units sent.
fn units_sent(front: &mut TestFront, first: u64, time: Nanos) -> f64 {
    let mut units = 0.0;
    for step in 0..time / (10 * MS) {
        let id = first + step as u64;
        let mut limited = request(id, 0, Some(0));
        limited.plan = 0;
        limited.volume = VolumeId(77);
        limited.front_count = 4;
        let mut actions = front.submit(limited);
        actions.extend(front.advance(10 * MS));
        for (id, node) in sends(&actions) {
            units += 2.0;
            front.end_attempt(id, 0, node, Outcome::Served, 2 * MS);
        }
    }
    units
}

/// Assigns the front its part of the volume's limit: `rate` in units per second and `burst` in
/// units, from the time `at`.
fn assign_volume_limit(front: &mut TestFront, rate: f64, burst: f64, at: Nanos) {
    front.event(Event::FleetUpdate(FleetUpdate::SharedLimit {
        limit: SharedLimit::Volume(VolumeId(77)),
        rate,
        burst,
        at,
    }));
}

#[test]
fn an_assigned_limit_replaces_the_even_part() {
    let mut front = limited_front();
    let even = units_sent(&mut front, 1_000, 2_000 * MS);
    assert!(
        (16.0..=24.0).contains(&even),
        "a quarter of 40 a second for 2 s: {even}"
    );
    let now = front.now;
    assign_volume_limit(&mut front, 40.0, 6.0, now);
    let whole = units_sent(&mut front, 2_000, 2_000 * MS);
    assert!((72.0..=88.0).contains(&whole), "{whole}");
    let now = front.now;
    assign_volume_limit(&mut front, 0.0, 0.0, now);
    assert_eq!(units_sent(&mut front, 3_000, 2_000 * MS), 0.0);
}

#[test]
fn a_limit_assigned_before_its_volume_is_known_holds_from_the_first_request() {
    let mut front = limited_front();
    assign_volume_limit(&mut front, 0.0, 0.0, 0);
    assert_eq!(units_sent(&mut front, 1_000, 1_000 * MS), 0.0);
}

#[test]
fn tokens_accrued_after_the_end_of_a_limit_are_taken_back() {
    // The front is paused for a second and learns only afterwards that its limit has ended.
    let mut front = limited_front();
    assign_volume_limit(&mut front, 40.0, 40.0, 0);
    units_sent(&mut front, 1_000, 500 * MS);
    let ended = front.now;
    front.now += 1_000 * MS;
    // By now 40 units would have accrued, of which only those until the end count.
    assign_volume_limit(&mut front, 0.4, 40.0, ended);
    let units = units_sent(&mut front, 2_000, 100 * MS);
    assert!(units <= 6.0, "{units}");
}

#[test]
fn retries_keep_to_the_assigned_limit() {
    let mut front = TestFront::new(settings(), 2);
    let mut retries = 0;
    front.event(Event::FleetUpdate(FleetUpdate::SharedLimit {
        limit: SharedLimit::Retries,
        rate: 2.0,
        burst: 3.0,
        at: front.now,
    }));
    for id in 0..200 {
        // Each attempt fails at once, and all other rules allow a retry.
        let mut actions = front.advance(30 * MS);
        actions.extend(front.submit(request(id, 0, Some(id as u32 % 2))));
        for attempt in 0..3 {
            let Some((_, node)) = sends(&actions).into_iter().find(|(r, _)| *r == id) else {
                break;
            };
            retries += usize::from(attempt > 0);
            actions = front.end_attempt(id, attempt, node, Outcome::Error, MS);
            actions.extend(front.advance(20 * MS));
        }
    }
    let bound = 2.0 * (front.now - 100 * S) as f64 / 1e9 + 3.0;
    assert!(
        (3..=bound as usize).contains(&retries),
        "{retries} retries, at most {bound} allowed"
    );
}

#[test]
fn a_starting_server_is_sent_no_more_than_assigned() {
    let mut front = TestFront::new(settings(), 1);
    front.warm(0, 4, 0, 2 * MS);
    front.event(Event::FleetUpdate(FleetUpdate::SharedLimit {
        limit: SharedLimit::WarmingUpNode,
        rate: 4.0,
        burst: 8.0,
        at: front.now,
    }));
    // The server starts after the limit is assigned.
    let started_at = front.now;
    let start = NodeInfo {
        node: NodeId(1),
        zone: 0,
        shard: ShardId(7),
        state: EndpointState::Up,
        started_at,
    };
    front.event(Event::Endpoints {
        scope: UpdateScope::Update,
        nodes: vec![start],
    });
    let mut sent: Vec<Nanos> = Vec::new();
    for id in 100..500 {
        let mut actions = front.submit(request(id, 0, Some(7)));
        actions.extend(front.advance(10 * MS));
        for (id, node) in sends(&actions).into_iter().filter(|(_, node)| *node == 1) {
            sent.push(front.now);
            front.end_attempt(id, 0, node, Outcome::Served, 2 * MS);
        }
    }
    assert!(sent.len() >= 8, "{}", sent.len());
    for (first, from) in sent.iter().enumerate() {
        for (last, until) in sent.iter().enumerate().skip(first) {
            let (units, window) = ((last - first + 1) as f64 * 2.0, (until - from) as f64 / 1e9);
            // The server's capacity grows to 4 times its initial value within 10 s.
            let growth = 1.0 + 3.0 * ((until - started_at) as f64 / 1e10).min(1.0);
            let limit = (4.0 * (window + 0.01) + 8.0) * growth;
            assert!(
                units <= limit,
                "{units} units in {window} s, at most {limit} allowed"
            );
        }
    }
}

/// Answers the attempts in flight and all attempts that are sent as a result.
fn answer_all(front: &mut TestFront, mut in_flight: Vec<(u64, usize)>) {
    while !in_flight.is_empty() {
        let actions: Vec<Action> = in_flight
            .iter()
            .flat_map(|(id, node)| front.end_attempt(*id, 0, *node, Outcome::Served, 20 * MS))
            .collect();
        in_flight = sends(&actions);
        in_flight.extend(sends(&front.advance(20 * MS)));
    }
}

#[test]
fn requests_in_flight_keep_to_the_assigned_limit_and_below_one_it_paces() {
    let mut front = TestFront::new(settings(), 1);
    front.warm(0, 4, 0, 20 * MS);
    let submit_six = |front: &mut TestFront, first: u64| -> Vec<(u64, usize)> {
        let submitted = (first..first + 6)
            .flat_map(|id| front.submit(request(id, 0, Some(0))))
            .collect::<Vec<_>>();
        sends(&submitted)
    };
    let assign = |front: &mut TestFront, limit| {
        front.event(Event::FleetUpdate(FleetUpdate::SharedLimit {
            limit: SharedLimit::InFlightPerNode,
            rate: limit,
            burst: 0.0,
            at: front.now,
        }));
    };
    assert!(
        submit_six(&mut front, 100).len() > 2,
        "without an assigned limit only the window limits them"
    );
    answer_all(&mut front, (100..106).map(|id| (id, 0)).collect());
    assign(&mut front, 2.7);
    let in_flight = submit_six(&mut front, 200);
    assert_eq!(in_flight.len(), 2);
    answer_all(&mut front, in_flight);
    assign(&mut front, 0.5);
    let (mut busy_time, started_at) = (0, front.now);
    for id in 300..400 {
        let mut actions = front.submit(request(id, 0, Some(0)));
        actions.extend(front.advance(20 * MS));
        for (id, node) in sends(&actions) {
            let actions = front.advance(20 * MS);
            assert_eq!(sends(&actions), Vec::new(), "one at a time");
            busy_time += 20 * MS;
            front.end_attempt(id, 0, node, Outcome::Served, 20 * MS);
        }
    }
    let busy_fraction = busy_time as f64 / (front.now - started_at) as f64;
    assert!(
        (0.3..=0.55).contains(&busy_fraction),
        "one in flight for half of the time: {busy_fraction:.2}"
    );
    assign(&mut front, 0.0);
    front.advance(2 * S);
    assert_eq!(
        submit_six(&mut front, 500),
        Vec::new(),
        "a limit of 0 allows none"
    );
}
