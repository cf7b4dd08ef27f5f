//! What the consoles of the fronts answer, and waiting for it.

use std::time::{Duration, Instant};

use simd_json::prelude::*;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

use super::Testbed;

/// How long a front may take to reach an expected state; long for any machine.
const STATE_TIMEOUT: Duration = Duration::from_secs(40);
/// How often a front's state is polled.
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Paths of the console.
const PEERS_PATH: &str = "/status/peers";
const OUTLIERS_PATH: &str = "/status/verdicts";
const METRICS_PATH: &str = "/status/metrics";

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

    /// The body of an answer of a front's console; `None` if it does not answer.
    async fn get(&self, front: usize, path: &str) -> Option<String> {
        let mut stream = TcpStream::connect(self.console_address(front)?)
            .await
            .ok()?;
        let request = format!("GET {path} HTTP/1.1\r\nHost: lab\r\n\r\n");
        stream.write_all(request.as_bytes()).await.ok()?;
        let mut answer = String::new();
        stream.read_to_string(&mut answer).await.ok()?;
        answer
            .split_once("\r\n\r\n")
            .map(|(_, body)| body.to_owned())
    }
}

/// The ejected servers in a state of outlier detection, given as JSON.
pub fn ejected_servers(status: &str) -> Vec<String> {
    let status = simd_json::to_owned_value(&mut status.as_bytes().to_vec()).unwrap_or_default();
    let servers = status
        .get("verdicts")
        .and_then(|list| list.as_array())
        .into_iter()
        .flatten();
    let ejected = servers.filter(|server| server.get("out_ms").is_some_and(|ms| !ms.is_null()));
    ejected
        .filter_map(|server| server.get("server")?.as_str().map(str::to_owned))
        .collect()
}
