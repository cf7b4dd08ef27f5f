//! The steps `wait`, `within` and `await`: time, and conditions that come true in time.

use std::net::TcpStream;
use std::time::{Duration, Instant};

use super::steps::{parse_number, Scenario, KIB_PER_MIB};
use super::{pause, SLOW_POLL_INTERVAL, STEP_TIMEOUT};

impl Scenario {
    /// `front`, `shut` or a number of milliseconds.
    pub(super) fn wait(&mut self, what: &str) {
        match what {
            "front" => {
                let code = self.front.wait();
                self.transcript.line(format_args!("front ended: {code:?}"));
            }
            "shut" => self.wait_until_not_accepting(),
            milliseconds => pause(Duration::from_millis(parse_number(milliseconds))),
        }
    }

    fn wait_until_not_accepting(&self) {
        let address = self.front.address();
        self.poll("a front that accepts no connections", || {
            TcpStream::connect(address).is_err()
        });
    }

    /// Takes a step that must complete within this number of milliseconds.
    pub(super) fn within(&mut self, limit_ms: &str, step: &str) {
        let limit_ms: u128 = parse_number(limit_ms);
        let started = Instant::now();
        self.step(step);
        let took_ms = started.elapsed().as_millis();
        // `--nocapture` shows how much of its limit a step takes.
        eprintln!("{took_ms} ms of {limit_ms}: {step}");
        assert!(
            took_ms < limit_ms,
            "'{step}' took {took_ms} ms; so far:\n{}",
            self.transcript.text
        );
    }

    /// `ready`, `held TEXT`, `memory at-most MIB` or a line of the metrics.
    pub(super) fn await_condition(&self, condition: &str) {
        if condition == "ready" {
            self.poll("a ready front", || self.clients.is_front_ready());
        } else if let Some(text) = condition.strip_prefix("held ") {
            let what = format!("a file that holds {text}");
            self.poll(&what, || self.front.held_file().contains(text));
        } else if let Some(limit) = condition.strip_prefix("memory at-most ") {
            let limit_kib = parse_number::<u64>(limit) * KIB_PER_MIB;
            self.poll(condition, || self.front.own_memory_kib() <= limit_kib);
        } else {
            let what = format!("the metric '{condition}'");
            self.poll(&what, || self.has_metric(condition));
        }
    }

    fn has_metric(&self, expected: &str) -> bool {
        let metrics = self.front.call_console("GET", "/status/metrics").body;
        let metrics = String::from_utf8_lossy(&metrics);
        metrics.lines().any(|line| line == expected)
    }

    /// Waits for a condition; the scenario fails where it does not come true in time.
    fn poll(&self, what: &str, mut is_met: impl FnMut() -> bool) {
        let deadline = Instant::now() + STEP_TIMEOUT;
        while !is_met() {
            assert!(
                Instant::now() < deadline,
                "waited in vain for {what}; so far:\n{}",
                self.transcript.text
            );
            pause(SLOW_POLL_INTERVAL);
        }
    }
}
