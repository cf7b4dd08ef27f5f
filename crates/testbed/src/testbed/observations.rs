//! What a testbed observes: requests of clients, attempts at chunk servers compared with the limits
//! of the fleet, and what the consoles of the fronts answer.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use super::clients::ClientRequest;
use super::config::{MAX_UNITS_PER_REQUEST, UNITS_PER_READ, VOLUME_BURST};
use super::console::{self, ejected_servers, METRICS_PATH, OUTLIERS_PATH, PEERS_PATH};
use super::measurements::{
    max_count_within, max_in_flight, RateBound, WindowUsage, CLOCK_DRIFT_FACTOR,
};
use super::Testbed;
use crate::chunk_server::Attempt;

/// How long a front may take to reach an expected state; long for any machine.
const STATE_TIMEOUT: Duration = Duration::from_secs(40);
/// How often a front's state is polled.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

impl Testbed {
    /// The state of a front's peers, as JSON.
    pub async fn peer_status(&self, front: usize) -> Option<String> {
        self.get(front, PEERS_PATH).await
    }

    /// The state of a front's outlier detection, as JSON.
    pub async fn outlier_status(&self, front: usize) -> Option<String> {
        self.get(front, OUTLIERS_PATH).await
    }

    /// The metrics of a front, as text.
    pub async fn metrics(&self, front: usize) -> Option<String> {
        self.get(front, METRICS_PATH).await
    }

    /// The servers that a front has ejected.
    pub async fn ejected_servers(&self, front: usize) -> Vec<String> {
        let status = self.outlier_status(front).await;
        status.map_or_else(Vec::new, |status| ejected_servers(&status))
    }

    /// Waits until the state of a front's peers matches; false if it does not in time.
    pub async fn wait_for_peers(&self, front: usize, matches: impl Fn(&str) -> bool) -> bool {
        self.wait_for(front, PEERS_PATH, matches).await
    }

    /// Waits until the state of a front's outlier detection matches; false if it does not in time.
    pub async fn wait_for_outlier_status(
        &self,
        front: usize,
        matches: impl Fn(&str) -> bool,
    ) -> bool {
        self.wait_for(front, OUTLIERS_PATH, matches).await
    }

    /// Waits until every running front receives heartbeats of all others and issues the leases of
    /// its own share; false if one does not in time.
    pub async fn wait_until_joined(&self) -> bool {
        for front in 0..self.config.fronts {
            let own_share = format!("\"banks\":[\"object-{front}\"]");
            let has_joined = |status: &str| {
                let alive = status.matches("\"belief\":\"alive\"").count();
                alive == self.config.fronts - 1 && status.contains(&own_share)
            };
            if self.is_running(front) && !self.wait_for_peers(front, has_joined).await {
                return false;
            }
        }
        true
    }

    /// Polls a path of a front's console until the answer matches; false if it does not in time.
    async fn wait_for(&self, front: usize, path: &str, matches: impl Fn(&str) -> bool) -> bool {
        let deadline = Instant::now() + STATE_TIMEOUT;
        while Instant::now() < deadline {
            if self
                .get(front, path)
                .await
                .is_some_and(|status| matches(&status))
            {
                return true;
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        false
    }

    /// The answer of a front's console; `None` if it does not answer.
    async fn get(&self, front: usize, path: &str) -> Option<String> {
        console::get(self.console_address(front)?, path).await
    }

    /// All requests of clients that have ended.
    pub fn requests(&self) -> Vec<ClientRequest> {
        self.requests.borrow().clone()
    }

    /// All attempts that reached a chunk server.
    pub fn attempts(&self) -> Vec<Attempt> {
        self.environment.attempts().attempts()
    }

    /// Whether a front's process runs.
    pub fn is_running(&self, front: usize) -> bool {
        self.fronts[front].borrow().is_some()
    }

    /// Where a front's clients connect, if it runs.
    pub fn clients_address(&self, front: usize) -> Option<SocketAddr> {
        let process = self.fronts[front].borrow();
        process.as_ref().map(|running| running.clients)
    }

    /// A front's console, if it runs.
    pub fn console_address(&self, front: usize) -> Option<SocketAddr> {
        let process = self.fronts[front].borrow();
        process.as_ref().map(|running| running.console)
    }

    /// What duplicate processes of fronts have logged, once they have ended.
    pub fn duplicate_log(&self) -> &str {
        &self.duplicate_log
    }

    /// Units sent within a span, as a fraction of what the volumes' limits allow in it without any
    /// burst.
    pub fn served_fraction(&self, from: Duration, to: Duration) -> f64 {
        let count = self
            .environment
            .attempts()
            .select(|attempt| attempt.at >= from && attempt.at < to)
            .len();
        let rate = self.config.rate * self.config.volumes as f64;
        count as f64 * UNITS_PER_READ / (rate * (to - from).as_secs_f64())
    }

    /// The most units of any volume, retries apart, that were sent within any window of up to 10 s
    /// beyond the bound; at most 0 if the bound holds. `slack` is how long a read may take from
    /// being sent to being recorded.
    pub fn max_excess(&self, slack: Duration) -> f64 {
        let bound = RateBound {
            units: UNITS_PER_READ,
            rate: self.config.rate,
            burst: self.max_burst(),
        };
        let excesses = (0..self.config.volumes)
            .map(|volume| bound.max_excess(&self.first_attempts_of(volume), slack));
        excesses.fold(f64::NEG_INFINITY, f64::max)
    }

    /// The most units of any volume that were sent within any window of a length, and the bound for
    /// that length.
    pub fn window_usage(&self, window: Duration, slack: Duration) -> WindowUsage {
        let volumes = 0..self.config.volumes;
        let counts =
            volumes.map(|volume| max_count_within(&self.first_attempts_of(volume), window));
        let max_units = counts.max().unwrap_or(0) as f64 * UNITS_PER_READ;
        let span = (window + slack).as_secs_f64();
        let allowed_units = self.config.rate * span * CLOCK_DRIFT_FACTOR + self.max_burst();
        WindowUsage {
            max_units,
            allowed_units,
        }
    }

    /// The burst of a volume's limit over the whole fleet: each front may send one request beyond
    /// it.
    fn max_burst(&self) -> f64 {
        VOLUME_BURST + self.config.fronts as f64 * MAX_UNITS_PER_REQUEST
    }

    /// When the attempts of a volume arrived that are no retries.
    fn first_attempts_of(&self, volume: usize) -> Vec<Duration> {
        self.attempt_times(|attempt| attempt.volume == volume && !attempt.is_retry)
    }

    /// When the attempts arrived that match.
    pub fn attempt_times(&self, matches: impl Fn(&Attempt) -> bool) -> Vec<Duration> {
        self.environment
            .attempts()
            .select(matches)
            .iter()
            .map(|attempt| attempt.at)
            .collect()
    }

    /// The most attempts that were in flight at the chunk servers at any time within a span.
    pub fn max_in_flight(&self, from: Duration, to: Duration) -> usize {
        let now = self.elapsed();
        let in_span = |attempt: &Attempt| {
            attempt.at < to && attempt.ended_at.is_none_or(|ended| ended >= from)
        };
        let attempts = self.environment.attempts().select(in_span);
        max_in_flight(&attempts, from..to, now)
    }
}
