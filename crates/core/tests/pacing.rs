//! Pacing, by a window below 1, keeps the requests of many fronts within what a server can queue.
//! A few fronts with one request each need no pacing: it would only delay reads at a server with
//! spare capacity.

mod common;

use common::*;
use tulipbridge_core::*;

/// Lets server 0 answer quickly for a while, then slowly for long enough to reduce its window
/// to the minimum. Returns whether the next request after an answer is sent at once.
fn next_request_is_sent_at_once(front_count: u32) -> bool {
    let mut settings = settings();
    settings.front_count = front_count;
    let mut front = TestFront::new(settings, 1);
    front.warm(0, 20, 0, 10 * MS);
    let mut id = 100;
    for _ in 0..40 {
        let mut sent = sends(&front.submit(request(id, 0, Some(0))));
        for _ in 0..100 {
            if !sent.is_empty() {
                break;
            }
            sent = sends(&front.advance(10 * MS));
        }
        id += 1;
        // A request that is not sent within a second was rejected, because pacing delayed it.
        if sent == vec![(id - 1, 0)] {
            front.now += 400 * MS;
            front.end_attempt(id - 1, 0, 0, Outcome::Served, 400 * MS);
        }
    }
    let sent = sends(&front.submit(request(id, 0, Some(0))));
    !sent.is_empty()
}

#[test]
fn few_fronts_do_not_pace_a_slow_server() {
    assert!(
        next_request_is_sent_at_once(2),
        "two fronts: the next request is sent as soon as one is answered"
    );
}

#[test]
fn many_fronts_pace_a_slow_server() {
    assert!(
        !next_request_is_sent_at_once(200),
        "two hundred fronts: a pause after each answer"
    );
}
