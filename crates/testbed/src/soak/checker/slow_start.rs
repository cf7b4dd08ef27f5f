//! Checks that servers which have started get no more requests than their slow start allows.

use std::time::Duration;

use super::{Rule, Violation};
use crate::soak::recording::{Recording, ServerStart};

/// Below this number of requests the statistical allowance is larger.
const FEW_REQUESTS: f64 = 30.0;

/// How many requests a server may receive after its start. Its capacity grows linearly from a part
/// to the whole.
#[derive(Clone, Copy, Debug)]
pub struct SlowStartLimit {
    /// Requests a second once the server has warmed up.
    pub capacity: f64,
    /// The fraction of the capacity at the start.
    pub floor: f64,
    /// How long the server takes to warm up.
    pub duration: Duration,
    /// The multiple of its current capacity that the server may receive.
    pub multiple: f64,
    /// The window in which requests are counted.
    pub window: Duration,
}

impl SlowStartLimit {
    /// How many requests a server may receive within a window that ends at this age, in seconds.
    fn max_requests(&self, age_s: f64) -> f64 {
        let warm_up = (age_s / self.duration.as_secs_f64()).min(1.0);
        let fraction = self.floor + (1.0 - self.floor) * warm_up;
        self.multiple * fraction * self.capacity * self.window.as_secs_f64()
    }
}

/// Checks every start of a server; at most one violation is reported for each.
pub(super) fn check(recording: &Recording, limit: SlowStartLimit, violations: &mut Vec<Violation>) {
    for start in &recording.server_starts {
        let arrivals = arrivals_after(recording, start, limit.duration);
        let details = arrivals
            .iter()
            .enumerate()
            .find_map(|(last, at)| excess(&arrivals[..=last], *at, start, &limit));
        violations.extend(details.map(|details| Violation::new(Rule::ColdServer, details)));
    }
}

/// When requests arrived at a server while it warmed up, in the order of their times.
fn arrivals_after(recording: &Recording, start: &ServerStart, warm_up: Duration) -> Vec<Duration> {
    let times = start.at..start.at + warm_up;
    let mut arrivals: Vec<Duration> = recording
        .arrivals
        .iter()
        .filter(|arrival| arrival.server == start.server && times.contains(&arrival.at))
        .map(|arrival| arrival.at)
        .collect();
    arrivals.sort();
    arrivals
}

/// Describes the excess if more arrivals are within the window that ends at `now` than the limit
/// allows. `arrivals` are all until then.
fn excess(
    arrivals: &[Duration],
    now: Duration,
    start: &ServerStart,
    limit: &SlowStartLimit,
) -> Option<String> {
    let in_window = arrivals
        .iter()
        .rev()
        .take_while(|earlier| **earlier + limit.window > now)
        .count();
    let age_s = (now - start.at).as_secs_f64();
    let allowed = limit.max_requests(age_s);
    let is_exceeded = in_window as f64 > with_allowance(allowed);
    is_exceeded.then(|| {
        let server = start.server;
        format!(
            "server {server} got {in_window} at an age of {age_s:.2} s, allowed are {allowed:.0}"
        )
    })
}

/// A number of requests N with the documented statistical allowance: twice the root of N, and 2;
/// for a small N three times the root, and 3.
fn with_allowance(requests: f64) -> f64 {
    if requests < FEW_REQUESTS {
        requests + 3.0 * requests.sqrt() + 3.0
    } else {
        requests + 2.0 * requests.sqrt() + 2.0
    }
}
