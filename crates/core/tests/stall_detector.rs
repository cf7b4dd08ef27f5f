//! The earliest arrival times of requests that are read after the process was stalled.

use tulipbridge_core::stall_detector::{StallDetector, CATCH_UP_TIME, MIN_STALL};

const TICK: i64 = 10_000_000;

#[test]
fn request_read_after_a_stall_may_have_come_at_its_beginning() {
    let mut detector = StallDetector::default();
    detector.event(0);
    detector.event(TICK);
    assert_eq!(detector.earliest_arrival(TICK), TICK);
    let resumed = TICK + MIN_STALL;
    detector.event(resumed);
    assert_eq!(detector.earliest_arrival(resumed + CATCH_UP_TIME), TICK);
    assert_eq!(
        detector.earliest_arrival(resumed + CATCH_UP_TIME + 1),
        resumed + CATCH_UP_TIME + 1
    );
}

#[test]
fn ticks_that_are_a_little_late_are_no_stall() {
    let mut detector = StallDetector::default();
    for tick in 0..100 {
        let now = tick * (MIN_STALL - 1);
        detector.event(now);
        assert_eq!(detector.earliest_arrival(now), now);
    }
}
