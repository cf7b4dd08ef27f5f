//! Connections of clients at the end of a front, and at the moment in which they are cut off.

use tulipbridge_core::door::{Leave, Leaving, OnLeaving, OnVisitor, Visitor};
use tulipbridge_core::Nanos;

const MS: Nanos = 1_000_000;

fn after(events: &[OnVisitor]) -> Visitor {
    let mut visitor = Visitor::new(0);
    events.iter().for_each(|e| visitor.on(0, *e));
    visitor
}

#[test]
fn a_front_that_leaves_shuts_nothing_on_which_a_request_has_begun() {
    use OnVisitor::{Answered, Body, Ended, Head, Taken};
    let now = 1_000 * MS;
    for (name, visitor, waits, arriving) in [
        ("half a head", after(&[Head]), false, true),
        ("half a body", after(&[Head, Body]), false, true),
        ("rests", after(&[Head, Taken, Answered]), false, false),
        ("rests, with bytes unread", after(&[Head, Taken, Answered]), true, true),
        ("has said nothing", after(&[]), false, false),
        ("has said nothing yet that was read", after(&[]), true, true),
        ("is being answered", after(&[Head, Taken]), true, false),
        ("is over", after(&[Head, Taken, Answered, Ended]), true, false),
    ] {
        assert_eq!(visitor.is_arriving(now, waits), arriving, "{name}");
    }
    assert!(after(&[]).is_arriving(100 * MS, false), "who has just come is about to speak");
}

#[test]
fn what_has_come_since_it_was_told_to_go_is_not_crossed() {
    use OnVisitor::{Answered, Head, Taken};
    assert!(after(&[Head, Taken, Answered]).may_be_cut(100 * MS, false));
    assert!(!after(&[Head, Taken, Answered]).may_be_cut(100 * MS, true));
    assert!(!after(&[Head, Taken]).may_be_cut(100 * MS, false), "a request is open");
    assert!(!after(&[Head]).may_be_cut(2_700 * MS, true));
    assert!(after(&[Head]).may_be_cut(3_300 * MS, true), "half a request that drips ends all the same");
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
        let (mut leaving, mut next) = Leaving::new(0, longest * MS);
        assert_eq!(leaving.answered_by(), answered * MS);
        let mut now = 0;
        while next != Leave::Exit {
            match next {
                Leave::Take(time) => {
                    now += time;
                    next = leaving.on(now, OnLeaving::NoneCame);
                }
                Leave::Close => next = leaving.on(now, OnLeaving::Look { held: 3, open: 1 }),
                Leave::Wait(time) => {
                    now += time;
                    next = leaving.on(now, OnLeaving::Look { held: 3, open: 1 });
                }
                Leave::Exit => {}
            }
        }
        assert!((end * MS..(end + 20) * MS + 1).contains(&now), "{longest} ms: {now}");
        assert!(now < (longest.min(3_000) + 700) * MS, "before the kill");
    }
}

#[test]
fn a_front_on_which_nothing_is_owed_ends_soon() {
    let (mut leaving, _) = Leaving::new(0, 3_000 * MS);
    assert_eq!(leaving.on(500 * MS, OnLeaving::NoneCame), Leave::Close);
    assert!(matches!(leaving.on(500 * MS, OnLeaving::Look { held: 2, open: 1 }), Leave::Wait(_)));
    assert_eq!(leaving.on(520 * MS, OnLeaving::Look { held: 0, open: 0 }), Leave::Exit);
}
