//! Connections of clients at the end of a front, and at the moment in which they are cut off.

use tulipbridge_core::client_connection::{ClientConnection, ClientEvent};
use tulipbridge_core::graceful_shutdown::{GracefulShutdown, ShutdownEvent, ShutdownStep};
use tulipbridge_core::Nanos;

const MS: Nanos = 1_000_000;

fn after(events: &[ClientEvent]) -> ClientConnection {
    let mut visitor = ClientConnection::new(0);
    events.iter().for_each(|e| visitor.on(0, *e));
    visitor
}

#[test]
fn a_front_that_leaves_shuts_nothing_on_which_a_request_has_begun() {
    use ClientEvent::{Answered, BodyStarted, Closing, HeadStarted, RequestReceived};
    let now = 1_000 * MS;
    for (name, visitor, waits, arriving) in [
        ("half a head", after(&[HeadStarted]), false, true),
        ("half a body", after(&[HeadStarted, BodyStarted]), false, true),
        ("rests", after(&[HeadStarted, RequestReceived, Answered]), false, false),
        ("rests, with bytes unread", after(&[HeadStarted, RequestReceived, Answered]), true, true),
        ("has said nothing", after(&[]), false, false),
        ("has said nothing yet that was read", after(&[]), true, true),
        ("is being answered", after(&[HeadStarted, RequestReceived]), true, false),
        ("is over", after(&[HeadStarted, RequestReceived, Answered, Closing]), true, false),
    ] {
        assert_eq!(visitor.is_arriving(now, waits), arriving, "{name}");
    }
    assert!(after(&[]).is_arriving(100 * MS, false), "who has just come is about to speak");
}

#[test]
fn what_has_come_since_it_was_told_to_go_is_not_crossed() {
    use ClientEvent::{Answered, HeadStarted, RequestReceived};
    assert!(after(&[HeadStarted, RequestReceived, Answered]).may_close_now(100 * MS, false));
    assert!(!after(&[HeadStarted, RequestReceived, Answered]).may_close_now(100 * MS, true));
    assert!(!after(&[HeadStarted, RequestReceived]).may_close_now(100 * MS, false), "a request is open");
    assert!(!after(&[HeadStarted]).may_close_now(2_700 * MS, true));
    assert!(
        after(&[HeadStarted]).may_close_now(3_300 * MS, true),
        "half a request that drips ends all the same"
    );
}

#[test]
fn the_end_comes_before_the_kill_whatever_the_deadlines() {
    for (longest, answered, end) in [
        (400, 850, 1_000),
        (1_000, 1_450, 1_600),
        (2_500, 2_950, 3_100),
        (3_000, 3_100, 3_400),
        (60_000, 3_100, 3_400),
    ] {
        let (mut leaving, mut next) = GracefulShutdown::new(0, longest * MS);
        assert_eq!(leaving.answer_deadline(), answered * MS);
        let mut now = 0;
        while next != ShutdownStep::Exit {
            match next {
                ShutdownStep::Accept(time) => {
                    now += time;
                    next = leaving.on(now, ShutdownEvent::AcceptTimedOut);
                }
                ShutdownStep::StopAccepting => {
                    next = leaving.on(now, ShutdownEvent::Poll { connections: 3, busy: 1 })
                }
                ShutdownStep::Wait(time) => {
                    now += time;
                    next = leaving.on(now, ShutdownEvent::Poll { connections: 3, busy: 1 });
                }
                ShutdownStep::Exit => {}
            }
        }
        assert!((end * MS..(end + 20) * MS + 1).contains(&now), "{longest} ms: {now}");
        assert!(now < (longest.min(3_000) + 700) * MS, "before the kill");
    }
}

#[test]
fn a_front_on_which_nothing_is_owed_ends_soon() {
    let (mut leaving, _) = GracefulShutdown::new(0, 3_000 * MS);
    assert_eq!(leaving.on(500 * MS, ShutdownEvent::AcceptTimedOut), ShutdownStep::StopAccepting);
    assert!(matches!(
        leaving.on(500 * MS, ShutdownEvent::Poll { connections: 2, busy: 1 }),
        ShutdownStep::Wait(_)
    ));
    assert_eq!(leaving.on(520 * MS, ShutdownEvent::Poll { connections: 0, busy: 0 }), ShutdownStep::Exit);
}
