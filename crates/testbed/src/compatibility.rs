//! Earlier names of public items, for integration tests of the program that still use them. Each item goes with its
//! last use.

use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use nix::sys::signal::Signal;

use crate::chunk_server::Attempt;
use crate::schedule::Fault;
use crate::shared_limit_experiments::{SharedLimit, SharedLimitResult};
use crate::testbed::{Predecessor, Testbed, TestbedConfig, TestbedError};

/// Earlier name of [`testbed`](crate::testbed).
pub mod process {
    pub use crate::testbed::{
        ejected_servers as held_out, Sharing, Testbed as Lab, TestbedConfig as Make, TestbedError as LabError,
    };
}

/// Earlier name of [`tcp_proxy`](crate::tcp_proxy).
pub mod wire {
    pub use crate::tcp_proxy::LinkState as State;
}

/// Earlier name of [`shared_limit_experiments`](crate::shared_limit_experiments).
pub mod others {
    pub use crate::shared_limit_experiments::{run as play, SharedLimit as Other};
}

#[allow(non_upper_case_globals)]
impl SharedLimit {
    /// Earlier name of [`SharedLimit::Retries`].
    pub const Further: SharedLimit = SharedLimit::Retries;
    /// Earlier name of [`SharedLimit::SlowStart`].
    pub const Starting: SharedLimit = SharedLimit::SlowStart;
}

impl SharedLimitResult {
    /// Earlier name of [`SharedLimitResult::is_valid`].
    pub fn holds(&self) -> bool {
        self.is_valid()
    }
}

impl TestbedConfig {
    /// Earlier name of [`TestbedConfig::with_outlier_detection`].
    pub fn judging(fronts: usize, servers: usize, latency: Duration, seed: u64) -> TestbedConfig {
        TestbedConfig::with_outlier_detection(fronts, servers, latency, seed)
    }
}

impl Testbed {
    /// Earlier name of [`Testbed::start_all`].
    ///
    /// # Errors
    /// As there.
    pub async fn new(program: &Path, config: TestbedConfig) -> Result<Testbed, TestbedError> {
        Testbed::start_all(program, config).await
    }

    /// Earlier name of [`Testbed::inject`].
    ///
    /// # Errors
    /// As there.
    pub async fn strike(&mut self, fault: &Fault) -> Result<(), TestbedError> {
        self.inject(fault).await
    }

    /// Earlier name of [`Testbed::start_successor`].
    ///
    /// # Errors
    /// As there.
    pub async fn beside(&self, front: usize) -> Result<Predecessor, TestbedError> {
        self.start_successor(front).await
    }

    /// Earlier name of [`Testbed::finish_upgrade`].
    ///
    /// # Errors
    /// As there.
    pub async fn finish(&self, front: usize, predecessor: Predecessor) -> Result<(), TestbedError> {
        self.finish_upgrade(front, predecessor).await
    }

    /// Earlier name of [`Testbed::terminate`].
    pub async fn end(&self, front: usize, signal: Signal) -> Option<i32> {
        self.terminate(front, signal).await
    }

    /// Earlier name of [`Testbed::wait_until_joined`].
    pub async fn until_joined(&self) -> bool {
        self.wait_until_joined().await
    }

    /// Earlier name of [`Testbed::wait_for_peers`].
    pub async fn until_peers(&self, front: usize, matches: impl Fn(&str) -> bool) -> bool {
        self.wait_for_peers(front, matches).await
    }

    /// Earlier name of [`Testbed::wait_for_outlier_status`].
    pub async fn until_verdicts(&self, front: usize, matches: impl Fn(&str) -> bool) -> bool {
        self.wait_for_outlier_status(front, matches).await
    }

    /// Earlier name of [`Testbed::peer_status`].
    pub async fn peers(&self, front: usize) -> Option<String> {
        self.peer_status(front).await
    }

    /// Earlier name of [`Testbed::outlier_status`].
    pub async fn verdicts(&self, front: usize) -> Option<String> {
        self.outlier_status(front).await
    }

    /// Earlier name of [`Testbed::ejected_servers`].
    pub async fn held_out(&self, front: usize) -> Vec<String> {
        self.ejected_servers(front).await
    }

    /// Earlier name of [`Testbed::console_address`].
    pub fn console(&self, front: usize) -> Option<SocketAddr> {
        self.console_address(front)
    }

    /// Earlier name of [`Testbed::send_unauthenticated_datagrams`].
    pub async fn strangers(&self, per_second: u32, duration: Duration) {
        self.send_unauthenticated_datagrams(per_second, duration).await;
    }

    /// Earlier name of [`Testbed::set_load`].
    pub fn load(&self, front: usize, rate: u32) {
        self.set_load(front, rate);
    }

    /// Earlier name of [`Testbed::elapsed`].
    pub fn now(&self) -> Duration {
        self.elapsed()
    }

    /// Earlier name of [`Testbed::served_fraction`].
    pub fn served(&self, from: Duration, to: Duration) -> f64 {
        self.served_fraction(from, to)
    }

    /// Earlier name of [`Testbed::max_excess`].
    pub fn beyond(&self, slack: Duration) -> f64 {
        self.max_excess(slack)
    }

    /// Earlier name of [`Testbed::attempts`].
    pub fn sent(&self) -> Vec<Attempt> {
        self.attempts()
    }

    /// Earlier name of [`Testbed::duplicate_log`].
    pub fn said_by_twins(&self) -> &str {
        self.duplicate_log()
    }
}
