//! The discovery watch: under several sequences of faults a missed update takes effect within
//! [`STALE_AFTER`], and the calls of many fronts are spread over time.

use tulipbridge_core::discovery_watch::{
    DiscoveryWatch, WatchEvent, WatchStep, CALL_JITTER, CALL_TIMEOUT, SILENCE_TIMEOUT, STALE_AFTER,
};
use tulipbridge_core::Nanos;

const MS: Nanos = 1_000_000;
/// The part of [`STALE_AFTER`] that must remain for applying an update.
const APPLY_MARGIN: Nanos = 300 * MS;
/// The time within which discovery answers or fails a call.
const RESPONSE_TIME: Nanos = 2_000 * MS;

/// Returns a watch that was opened at time 0.
fn open_watch(phase: f64) -> DiscoveryWatch {
    let mut watch = DiscoveryWatch::new(0, 0, phase);
    assert_eq!(watch.on(0, WatchEvent::TimerDue), [WatchStep::Call]);
    assert_eq!(watch.on(0, WatchEvent::Opened), [WatchStep::Adopt]);
    watch
}

/// Advances to the due time of the timer, reports it, and returns that time and the steps.
fn run_to_timer(watch: &mut DiscoveryWatch) -> (Nanos, Vec<WatchStep>) {
    let due = watch.due().expect("a timer is due");
    (due, watch.on(due, WatchEvent::TimerDue))
}

/// Runs the timer until the next call is made, and returns the time of the call.
fn run_to_call(watch: &mut DiscoveryWatch) -> Nanos {
    loop {
        let (at, steps) = run_to_timer(watch);
        if steps.contains(&WatchStep::Call) {
            return at;
        }
    }
}

#[test]
fn silent_watch_is_replaced_before_updates_are_stale() {
    for phase in [0.0, 0.3, 0.999] {
        let mut watch = open_watch(phase);
        watch.on(2_000 * MS, WatchEvent::MessageReceived);
        let (at, steps) = run_to_timer(&mut watch);
        assert_eq!(
            (at, &steps[..2]),
            (
                2_000 * MS + SILENCE_TIMEOUT,
                &[WatchStep::CloseWatch, WatchStep::ReportLost][..]
            )
        );
        // With the lowest phase the call is made at once.
        let called = if steps.contains(&WatchStep::Call) {
            at
        } else {
            run_to_call(&mut watch)
        };
        assert!(
            called + RESPONSE_TIME <= 2_000 * MS + STALE_AFTER - APPLY_MARGIN,
            "{called} at phase {phase}"
        );
        assert_eq!(
            watch.on(called + RESPONSE_TIME, WatchEvent::Opened),
            [WatchStep::Adopt]
        );
    }
}

/// A call is refused, fails late or hangs, and discovery is reachable again right after it.
#[test]
fn failed_call_is_retried_before_updates_are_stale() {
    for phase in [0.0, 0.5, 0.999] {
        for (name, fails_after) in [
            ("refused", 0),
            ("late", 1_900 * MS),
            ("hangs", CALL_TIMEOUT),
        ] {
            let mut watch = open_watch(phase);
            assert_eq!(watch.on(1, WatchEvent::Ended), [WatchStep::ReportLost]);
            let first = run_to_call(&mut watch);
            if fails_after < CALL_TIMEOUT {
                assert_eq!(
                    watch.on(first + fails_after, WatchEvent::Failed),
                    [WatchStep::ReportLost],
                    "{name}"
                );
            } else {
                let (at, steps) = run_to_timer(&mut watch);
                assert_eq!(
                    (at, steps),
                    (
                        first + CALL_TIMEOUT,
                        vec![WatchStep::CancelCall, WatchStep::ReportLost]
                    ),
                    "{name}"
                );
            }
            let second = run_to_call(&mut watch);
            assert!(second >= first + fails_after);
            assert!(
                second + RESPONSE_TIME <= first + STALE_AFTER - APPLY_MARGIN,
                "{name}: {first} and {second}"
            );
        }
    }
}

/// The new watch gets no message after it has opened.
#[test]
fn watch_that_is_silent_from_the_start_is_replaced_before_updates_are_stale() {
    let mut watch = open_watch(0.999);
    watch.on(0, WatchEvent::Ended);
    let first = run_to_call(&mut watch);
    watch.on(first + 10 * MS, WatchEvent::Opened);
    let second = run_to_call(&mut watch);
    assert!(second + RESPONSE_TIME <= first + 10 * MS + STALE_AFTER - APPLY_MARGIN);
}

#[test]
fn requested_list_is_called_for_early_and_only_once() {
    let mut watch = open_watch(0.9);
    watch.on(MS, WatchEvent::Ended);
    assert_eq!(
        watch.on(200 * MS, WatchEvent::ListRequested),
        [WatchStep::Call]
    );
    assert_eq!(watch.on(201 * MS, WatchEvent::ListRequested), []);
    assert_eq!(watch.on(300 * MS, WatchEvent::Opened), [WatchStep::Adopt]);
    assert_eq!(watch.on(301 * MS, WatchEvent::ListRequested), []);
    assert_eq!(watch.due(), Some(300 * MS + SILENCE_TIMEOUT));
}

#[test]
fn old_watch_is_kept_until_the_new_one_is_open() {
    let mut watch = open_watch(0.5);
    assert_eq!(watch.on(MS, WatchEvent::AddressChanged), [WatchStep::Call]);
    // The end of the old watch is not reported, because a call is in flight.
    assert_eq!(watch.on(2 * MS, WatchEvent::Ended), []);
    assert_eq!(watch.on(3 * MS, WatchEvent::Failed), []);
    let (at, steps) = run_to_timer(&mut watch);
    assert_eq!(steps, [WatchStep::Call]);
    assert!(
        at <= 300 * MS,
        "updates at the new address must take effect within 4 s of the change"
    );
    assert_eq!(watch.on(at + MS, WatchEvent::Opened), [WatchStep::Adopt]);
}

/// A new address that never answers is called at short intervals only for a limited time.
#[test]
fn unreachable_new_address_is_called_at_the_usual_pace() {
    let mut watch = open_watch(0.5);
    watch.on(0, WatchEvent::AddressChanged);
    let mut now = 0;
    let mut calls = 0;
    while now < 60_000 * MS {
        watch.on(now, WatchEvent::Failed);
        now = run_to_call(&mut watch);
        calls += 1;
    }
    assert!((20..50).contains(&calls), "{calls} calls in a minute");
}

#[test]
fn calls_of_a_fleet_are_spread() {
    let calls = (0..300).map(|i| {
        let mut watch = open_watch(f64::from(i) / 300.0);
        watch.on(MS, WatchEvent::Ended);
        run_to_call(&mut watch)
    });
    let calls: Vec<Nanos> = calls.collect();
    let within = |from: Nanos| {
        calls
            .iter()
            .filter(|call| (from..from + 100 * MS).contains(*call))
            .count()
    };
    let max_per_window = (0..40)
        .map(|i| within(i * 100 * MS))
        .max()
        .expect("the range is not empty");
    assert!(max_per_window <= 31, "{max_per_window} calls in 100 ms");
    assert!(calls
        .iter()
        .all(|call| *call <= MS + SILENCE_TIMEOUT + CALL_JITTER));
}
