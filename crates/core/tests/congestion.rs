//! Congestion control: the window and the weight of a server.

mod common;

use common::*;
use tulipbridge_core::*;

#[test]
fn a_failing_server_gets_fewer_new_objects() {
    let mut settings = settings();
    settings.retry_budget = None;
    let mut front = TestFront::new(settings, 2);
    // Every attempt at server 0 fails, which halves its weight once a period. Server 1 stays at its
    // base weight.
    let mut hits = [0u32; 2];
    for id in 0..400 {
        let sent = sends(&front.submit(request(id, 2, None)));
        let at = sent[0].1;
        hits[at] += 1;
        front.now += 20 * MS;
        front.end_attempt(
            id,
            0,
            at,
            if at == 0 {
                Outcome::Error
            } else {
                Outcome::Served
            },
            20 * MS,
        );
    }
    assert!(hits[0] > 0, "a failing server is still tried");
    assert!(hits[0] * 5 < hits[1], "chosen {hits:?}");
}

#[test]
fn new_objects_are_spread_evenly_at_first() {
    let mut front = TestFront::new(settings(), 4);
    let mut hits = [0u32; 4];
    for id in 0..400 {
        let at = sends(&front.submit(request(id, 0, None)))[0].1;
        hits[at] += 1;
        front.now += 20 * MS;
        front.end_attempt(id, 0, at, Outcome::Served, 20 * MS);
    }
    assert!(
        hits.iter().all(|h| (60..=140).contains(h)),
        "chosen {hits:?}"
    );
}

#[test]
fn costly_requests_do_not_count_as_congestion() {
    let mut front = TestFront::new(settings(), 2);
    front.warm(0, 40, 0, 20 * MS);
    front.warm(100, 40, 1, 20 * MS);
    // Requests to server 0 have four times the units and take four times as long. The server must
    // keep its share.
    for id in 200..220 {
        let mut large = request(id, 0, Some(0));
        large.units = 8.0;
        assert_eq!(sends(&front.submit(large)).len(), 1);
        front.now += 80 * MS;
        front.end_attempt(id, 0, 0, Outcome::Served, 80 * MS);
    }
    let mut hits = [0u32; 2];
    for id in 300..500 {
        let at = sends(&front.submit(request(id, 0, None)))[0].1;
        hits[at] += 1;
        front.now += 20 * MS;
        front.end_attempt(id, 0, at, Outcome::Served, 20 * MS);
    }
    assert!(hits[0] > 60, "chosen {hits:?}");
}

#[test]
fn the_window_grows_while_latency_is_low_and_is_bounded() {
    let mut settings = settings();
    settings.plans[0].reserve_rate = 1e6;
    let mut front = TestFront::new(settings, 1);
    let submit_many = |front: &mut TestFront, from: u64| {
        (from..from + 60)
            .map(|id| sends(&front.submit(request(id, 0, Some(0)))).len())
            .sum::<usize>()
    };
    let first = submit_many(&mut front, 0);
    assert!((2..=8).contains(&first), "several at first, not {first}");
    let mut in_flight: Vec<u64> = (0..first as u64).collect();
    let mut next = 1000;
    for _ in 0..300 {
        front.now += 10 * MS;
        for id in std::mem::take(&mut in_flight) {
            in_flight.extend(
                sends(&front.end_attempt(id, 0, 0, Outcome::Served, 10 * MS))
                    .iter()
                    .map(|(id, _)| *id),
            );
        }
        for _ in 0..40 {
            in_flight.extend(
                sends(&front.submit(request(next, 0, Some(0))))
                    .iter()
                    .map(|(id, _)| *id),
            );
            next += 1;
        }
    }
    assert!(in_flight.len() > first, "grown to {}", in_flight.len());
    assert!(
        in_flight.len() <= 32,
        "above the upper limit: {}",
        in_flight.len()
    );
}

#[test]
fn the_weight_is_halved_once_a_period_and_recovers_to_its_base() {
    let mut front = TestFront::new(settings(), 2);
    front.warm(0, 30, 0, 20 * MS);
    front.warm(100, 30, 1, 20 * MS);
    front.advance(2 * S);
    for id in 200..205 {
        assert_eq!(sends(&front.submit(request(id, 2, Some(0)))), vec![(id, 0)]);
        front.end_attempt(id, 0, 0, Outcome::Error, MS);
    }
    front.advance(20 * MS);
    // The clock does not advance while these requests are sent, so no period ends.
    let choose_server_0 = |front: &mut TestFront, from: u64| {
        let mut hits = 0;
        for id in from..from + 300 {
            let at = sends(&front.submit(request(id, 0, None)))[0].1;
            hits += usize::from(at == 0);
            front.end_attempt(id, 0, at, Outcome::Served, 20 * MS);
        }
        hits
    };
    let halved = choose_server_0(&mut front, 1000);
    assert!(
        (70..=130).contains(&halved),
        "{halved} of 300 at half weight, expected about a third"
    );
    front.advance(10 * S);
    let recovered = choose_server_0(&mut front, 2000);
    assert!(
        (120..=180).contains(&recovered),
        "{recovered} of 300 at the base weight, expected about half"
    );
}

#[test]
fn a_server_that_rejects_is_paced() {
    // A rejection comes at once. It must count as congestion, not as a fast answer.
    let mut front = TestFront::new(settings(), 1);
    front.warm(0, 30, 0, 20 * MS);
    let mut sent = 0;
    for id in 100..200 {
        for (sent_id, at) in sends(&front.submit(request(id, 0, Some(0)))) {
            sent += usize::from(id >= 150);
            front.end_attempt(sent_id, 0, at, Outcome::Rejected, MS);
        }
        front.now += 10 * MS;
    }
    assert!(
        sent < 25,
        "{sent} of 50 requests sent at once to a server that rejects"
    );
}

#[test]
fn a_lost_answer_does_not_occupy_the_window() {
    // An attempt at a paced server gets no answer. A request that comes more than two objectives
    // later must not wait for it.
    let mut front = TestFront::new(settings(), 1);
    front.warm(0, 30, 0, 20 * MS);
    front.warm(100, 12, 0, 180 * MS);
    let mut lost = request(200, 0, Some(0));
    lost.client_timeout = 5 * S;
    assert_eq!(sends(&front.submit(lost)).len(), 1);
    front.advance(S);
    let mut sent = sends(&front.submit(request(201, 0, Some(0))));
    sent.extend(sends(&front.advance(400 * MS)));
    assert_eq!(sent, vec![(201, 0)]);
}
