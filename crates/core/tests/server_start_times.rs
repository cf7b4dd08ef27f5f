//! The start times of servers when wall clocks are wrong.

use std::collections::BTreeSet;

use tulipbridge_core::server_start_times::{ServerStartTimes, MAX_LIST_DELAY};

const SECOND: i64 = 1_000_000_000;
const HOUR: i64 = 3_600 * SECOND;
/// The true Unix time at which this front started, in nanoseconds.
const TRUE_TIME: i64 = 1_000_000 * SECOND;

#[test]
fn start_with_right_clocks_is_taken_as_listed() {
    let mut starts = ServerStartTimes::new();
    assert_eq!(
        starts.listed(&"a", TRUE_TIME, TRUE_TIME - HOUR),
        TRUE_TIME - HOUR
    );
    starts.confirmed(TRUE_TIME);
    let start = TRUE_TIME - MAX_LIST_DELAY + SECOND;
    assert_eq!(starts.listed(&"a", TRUE_TIME + 2 * SECOND, start), start);
    assert_eq!(starts.listed(&"b", TRUE_TIME + 2 * SECOND, 0), 0);
}

#[test]
fn new_start_is_recent_although_this_clock_is_ahead() {
    let mut starts = ServerStartTimes::new();
    let now = TRUE_TIME + HOUR;
    starts.listed(&"a", now, TRUE_TIME - 2 * HOUR);
    starts.confirmed(now);
    assert_eq!(starts.listed(&"a", now + SECOND, TRUE_TIME), now + SECOND);
    // The corrected start stays the same when the server is listed again.
    assert_eq!(
        starts.listed(&"a", now + 9 * SECOND, TRUE_TIME),
        now + SECOND
    );
}

#[test]
fn no_start_lies_in_the_future_although_this_clock_is_behind() {
    let mut starts = ServerStartTimes::new();
    let now = TRUE_TIME - HOUR;
    assert_eq!(starts.listed(&"a", now, TRUE_TIME), now);
    assert_eq!(starts.listed(&"a", now + SECOND, TRUE_TIME), now);
}

#[test]
fn time_of_discovery_corrects_a_first_list() {
    for error in [HOUR, -HOUR, 20 * SECOND] {
        let mut starts = ServerStartTimes::new();
        let now = TRUE_TIME + error;
        starts.discovery_time(now, TRUE_TIME);
        assert_eq!(starts.listed(&"a", now, TRUE_TIME - SECOND), now - SECOND);
    }
}

#[test]
fn server_that_is_no_longer_listed_is_forgotten() {
    let mut starts = ServerStartTimes::new();
    starts.listed(&"a", TRUE_TIME, TRUE_TIME - SECOND);
    starts.list_replaced(&BTreeSet::new());
    starts.confirmed(TRUE_TIME + HOUR);
    // When the server is listed again, its start counts as new.
    let now = TRUE_TIME + HOUR + SECOND;
    assert_eq!(starts.listed(&"a", now, TRUE_TIME - SECOND), now);
}
