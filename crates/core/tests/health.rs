//! Health of a server: detection of silence, suspicion after failures, and probes.

mod common;

use common::*;
use tulipbridge_core::*;

#[test]
fn a_silent_server_gets_probes_only_until_it_answers() {
    let mut front = TestFront::new(settings(), 2);
    front.warm(0, 30, 0, 20 * MS);
    front.submit(request(50, 0, Some(0)));
    front.submit(request(51, 0, Some(0)));
    let while_silent = front.advance(400 * MS);
    assert!(while_silent.iter().any(|a| matches!(
        a,
        Action::Runtime(RuntimeCommand::Log {
            text: "node is silent",
            node: NodeId(0)
        })
    )));
    let mut sent = 0;
    for id in 60..90 {
        sent += sends(&front.submit(request(id, 0, Some(0)))).len();
    }
    assert!(sent <= 1, "{sent} sent to a silent server at once");
    for id in 100..120 {
        assert_eq!(
            sends(&front.submit(request(id, 0, None)))[0].1,
            1,
            "new objects avoid a silent server"
        );
        front.now += MS;
        front.end_attempt(id, 0, 1, Outcome::Served, MS);
    }
    let recovered = front.end_attempt(50, 0, 0, Outcome::Served, 400 * MS);
    assert!(recovered.iter().any(|a| matches!(
        a,
        Action::Runtime(RuntimeCommand::Log {
            text: "node answers again",
            node: NodeId(0)
        })
    )));
    let mut sent_after_recovery = 0;
    for id in 200..220 {
        sent_after_recovery += sends(&front.submit(request(id, 0, Some(0)))).len()
            + sends(&front.advance(50 * MS)).len();
    }
    assert!(sent_after_recovery > 0);
}

/// Guards against a server that is suspected because it writes its responses slowly.
#[test]
fn server_whose_response_has_begun_is_not_silent() {
    let mut front = TestFront::new(settings(), 1);
    front.warm(0, 30, 0, 20 * MS);
    front.submit(request(50, 0, Some(0)));
    let began_at = front.now + 20 * MS;
    front.advance(120 * MS);
    front.event(Event::ResponseBegan {
        id: RequestId(50),
        attempt: 0,
        node: NodeId(0),
        began_at,
    });
    front.advance(600 * MS);
    assert_eq!(front.scheduler.node_counts().avoided, 0);
}

/// Guards against a server that hangs behind its heads and counts as one that answers at once.
#[test]
fn server_that_stops_in_three_responses_is_suspected() {
    let mut front = TestFront::new(settings(), 1);
    front.warm(0, 30, 0, 20 * MS);
    for id in 50..53 {
        front.submit(request(id, 2, Some(0)));
        front.event(Event::ResponsePaused {
            id: RequestId(id),
            attempt: 0,
            node: NodeId(0),
        });
        front.event(ended(id, 0, 0, Outcome::Served, 10 * MS, true));
        front.event(Event::ResponseStopped(NodeId(0)));
    }
    assert_eq!(front.scheduler.node_counts().avoided, 1);
}

#[test]
fn a_server_that_was_silent_stays_warm() {
    // A server that answers again after seconds of silence keeps its warm-up, unless the endpoint
    // list reports a new start.
    let mut front = TestFront::new(settings(), 1);
    front.warm(0, 20, 0, 10 * MS);
    for id in 100..103 {
        front.submit(request(id, 0, Some(0)));
        front.end_attempt(id, 0, 0, Outcome::NotExecuted, MS);
    }
    front.advance(2 * S);
    let mut probes = sends(&front.submit(request(200, 0, Some(0))));
    probes.extend(sends(&front.advance(900 * MS)));
    assert_eq!(probes.len(), 1, "one probe");
    front.end_attempt(probes[0].0, 0, 0, Outcome::Served, 10 * MS);
    let mut units = 2.0;
    for id in 300..350 {
        for (id, at) in sends(&front.submit(request(id, 0, Some(0)))) {
            units += 2.0;
            front.now += MS;
            front.end_attempt(id, 0, at, Outcome::Served, MS);
        }
    }
    assert!(units > 50.0, "only {units} units sent");
}

#[test]
fn occasional_resets_do_not_make_a_server_suspect() {
    // One attempt in three is reset although it was executed. The server must still get requests.
    let mut front = TestFront::new(settings(), 2);
    front.warm(0, 30, 0, 20 * MS);
    for id in 100..130 {
        assert_eq!(
            sends(&front.submit(request(id, 2, Some(0)))),
            vec![(id, 0)],
            "request {id} must be sent"
        );
        front.now += 20 * MS;
        front.end_attempt(
            id,
            0,
            0,
            if id % 3 == 0 {
                Outcome::Reset
            } else {
                Outcome::Served
            },
            20 * MS,
        );
    }
}

#[test]
fn a_pause_of_the_front_is_no_silence_of_a_server() {
    let mut front = TestFront::new(settings(), 1);
    front.warm(0, 30, 0, 20 * MS);
    front.submit(request(50, 0, Some(0)));
    front.advance(20 * MS);
    front.now += 900 * MS;
    let after = front.advance(20 * MS);
    assert!(
        !after
            .iter()
            .any(|a| matches!(a, Action::Runtime(RuntimeCommand::Log { .. }))),
        "{after:?}"
    );
    front.end_attempt(50, 0, 0, Outcome::Served, 20 * MS);
    assert_eq!(sends(&front.submit(request(51, 0, Some(0)))).len(), 1);
}

#[test]
fn a_rejected_probe_does_not_end_the_suspicion() {
    let mut front = TestFront::new(settings(), 1);
    front.warm(0, 20, 0, 10 * MS);
    front.submit(request(100, 0, Some(0)));
    front.end_attempt(100, 0, 0, Outcome::NotExecuted, MS);
    let mut probes = Vec::new();
    for id in 200..220 {
        probes.extend(sends(&front.submit(request(id, 0, Some(0)))));
        probes.extend(sends(&front.advance(50 * MS)));
        for (id, at) in std::mem::take(&mut probes) {
            let actions = front.end_attempt(id, 0, at, Outcome::Rejected, MS);
            assert!(!actions.iter().any(|a| matches!(
                a,
                Action::Runtime(RuntimeCommand::Log {
                    text: "node answers again",
                    ..
                })
            )));
        }
    }
}

#[test]
fn probes_are_rarer_with_more_fronts() {
    let probes = |front_count| {
        let mut settings = settings();
        settings.front_count = front_count;
        let mut front = TestFront::new(settings, 1);
        let mut sent = 0;
        for id in 0..600 {
            let mut actions = front.submit(request(id, 0, Some(0)));
            actions.extend(front.advance(100 * MS));
            for (id, at) in sends(&actions) {
                sent += 1;
                front.end_attempt(id, 0, at, Outcome::NotExecuted, MS);
            }
        }
        sent
    };
    let (of_two_fronts, of_400_fronts) = (probes(2), probes(400));
    assert!(
        of_two_fronts > 30 && of_400_fronts < 20,
        "{of_two_fronts} probes a minute from one of 2 fronts, {of_400_fronts} from one of 400"
    );
}
