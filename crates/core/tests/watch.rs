//! The watch on discovery: that the longest time without news stays under what counts as told, in every order of a
//! few faults, and that a fleet's calls are spread.

use tulipbridge_core::discovery_watch::{
    DiscoveryWatch, WatchEvent, WatchStep, CALL_JITTER, CALL_TIMEOUT, SILENCE_TIMEOUT, STALE_AFTER,
};
use tulipbridge_core::Nanos;

const MS: Nanos = 1_000_000;
/// Discovery answers a call within this, or fails it.
const ANSWERS: Nanos = 2_000 * MS;

/// A watch that stands since 0.
fn standing(phase: f64) -> DiscoveryWatch {
    let mut watch = DiscoveryWatch::new(0, 0, phase);
    assert_eq!(watch.on(0, WatchEvent::TimerDue), [WatchStep::Call]);
    assert_eq!(watch.on(0, WatchEvent::Opened), [WatchStep::Adopt]);
    watch
}

/// Goes to the next due moment; gives it with what is done then.
fn next(watch: &mut DiscoveryWatch) -> (Nanos, Vec<WatchStep>) {
    let due = watch.due().expect("something is due");
    (due, watch.on(due, WatchEvent::TimerDue))
}

/// Until the next call goes out; gives when.
fn call(watch: &mut DiscoveryWatch) -> Nanos {
    loop {
        let (at, steps) = next(watch);
        if steps.contains(&WatchStep::Call) {
            return at;
        }
    }
}

#[test]
fn a_silent_watch_is_replaced_within_the_time_that_counts_as_told() {
    for phase in [0.0, 0.3, 0.999] {
        let mut watch = standing(phase);
        watch.on(2_000 * MS, WatchEvent::MessageReceived);
        let (at, steps) = next(&mut watch);
        assert_eq!(
            (at, &steps[..2]),
            (2_000 * MS + SILENCE_TIMEOUT, &[WatchStep::CloseWatch, WatchStep::ReportLost][..])
        );
        // Who calls first of all calls at once.
        let called = if steps.contains(&WatchStep::Call) { at } else { call(&mut watch) };
        assert!(called + ANSWERS <= 2_000 * MS + STALE_AFTER - 300 * MS, "{called} at phase {phase}");
        assert_eq!(watch.on(called + ANSWERS, WatchEvent::Opened), [WatchStep::Adopt]);
    }
}

/// Discovery can be reached from the moment after a call that hangs, or is refused, went out.
#[test]
fn a_call_that_fails_in_any_way_is_made_again_in_time() {
    for phase in [0.0, 0.5, 0.999] {
        for (name, fails_after) in [("refused", 0), ("late", 1_900 * MS), ("hangs", CALL_TIMEOUT)] {
            let mut watch = standing(phase);
            assert_eq!(watch.on(1, WatchEvent::Ended), [WatchStep::ReportLost]);
            let first = call(&mut watch);
            if fails_after < CALL_TIMEOUT {
                assert_eq!(
                    watch.on(first + fails_after, WatchEvent::Failed),
                    [WatchStep::ReportLost],
                    "{name}"
                );
            } else {
                let (at, steps) = next(&mut watch);
                assert_eq!(
                    (at, steps),
                    (first + CALL_TIMEOUT, vec![WatchStep::CancelCall, WatchStep::ReportLost]),
                    "{name}"
                );
            }
            let second = call(&mut watch);
            assert!(second >= first + fails_after);
            assert!(second + ANSWERS <= first + STALE_AFTER - 300 * MS, "{name}: {first} and {second}");
        }
    }
}

/// A watch that falls silent right after a call for it went out: the call hangs, with all that stood.
#[test]
fn a_call_that_falls_silent_with_the_watches_costs_no_more_than_a_watch() {
    let mut watch = standing(0.999);
    watch.on(0, WatchEvent::Ended);
    let first = call(&mut watch);
    watch.on(first + 10 * MS, WatchEvent::Opened);
    let second = call(&mut watch);
    assert!(second + ANSWERS <= first + 10 * MS + STALE_AFTER - 300 * MS);
}

#[test]
fn who_decides_may_ask_earlier_and_never_twice() {
    let mut watch = standing(0.9);
    watch.on(MS, WatchEvent::Ended);
    assert_eq!(watch.on(200 * MS, WatchEvent::ListWanted), [WatchStep::Call]);
    assert_eq!(watch.on(201 * MS, WatchEvent::ListWanted), []);
    assert_eq!(watch.on(300 * MS, WatchEvent::Opened), [WatchStep::Adopt]);
    assert_eq!(watch.on(301 * MS, WatchEvent::ListWanted), []);
    assert_eq!(watch.due(), Some(300 * MS + SILENCE_TIMEOUT));
}

#[test]
fn the_old_watch_is_read_on_until_the_new_one_stands() {
    let mut watch = standing(0.5);
    assert_eq!(watch.on(MS, WatchEvent::Moved), [WatchStep::Call]);
    // The old one ends meanwhile; nothing is asked of who decides, since a call is out.
    assert_eq!(watch.on(2 * MS, WatchEvent::Ended), []);
    assert_eq!(watch.on(3 * MS, WatchEvent::Failed), []);
    let (at, steps) = next(&mut watch);
    assert_eq!(steps, [WatchStep::Call]);
    assert!(at <= 300 * MS, "what is told there counts 4 s after the configuration");
    assert_eq!(watch.on(at + MS, WatchEvent::Opened), [WatchStep::Adopt]);
}

/// A discovery that a new configuration names and that never answers is not asked without a pause for good.
#[test]
fn a_discovery_that_does_not_come_is_asked_at_the_usual_pace() {
    let mut watch = standing(0.5);
    watch.on(0, WatchEvent::Moved);
    let mut now = 0;
    let mut calls = 0;
    while now < 60_000 * MS {
        watch.on(now, WatchEvent::Failed);
        now = call(&mut watch);
        calls += 1;
    }
    assert!((20..50).contains(&calls), "{calls} calls in a minute");
}

#[test]
fn the_calls_of_a_fleet_are_spread() {
    let calls = (0..300).map(|i| {
        let mut watch = standing(f64::from(i) / 300.0);
        watch.on(MS, WatchEvent::Ended);
        call(&mut watch)
    });
    let calls: Vec<Nanos> = calls.collect();
    let within = |from: Nanos| calls.iter().filter(|c| (from..from + 100 * MS).contains(*c)).count();
    let most = (0..40).map(|i| within(i * 100 * MS)).max().expect("some");
    assert!(most <= 31, "{most} calls in 100 ms");
    assert!(calls.iter().all(|c| *c <= MS + SILENCE_TIMEOUT + CALL_JITTER));
}
