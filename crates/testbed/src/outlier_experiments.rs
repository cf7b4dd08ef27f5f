//! Experiments on outlier detection by a fleet of real processes: what faulty chunk servers cost,
//! and which servers are ejected.

mod schedules;
mod single_fault;

use std::time::Duration;

use serde::Serialize;

use crate::schedule::Fault;
use crate::tcp_proxy::LinkState;
use crate::testbed::{Testbed, TestbedError};

pub use self::schedules::{run_outlier_schedule, OutlierScheduleResult};
pub use self::single_fault::{
    run_server_fault, server_fault_table, ServerFaultResult, ServerFaultSetup, TOTAL_LOAD,
};

/// How long a healthy server takes to answer.
const LATENCY: Duration = Duration::from_millis(5);
/// How long fronts learn the usual latency before anything fails.
const LEARNING_TIME: Duration = Duration::from_secs(6);
/// By which factor a slow server takes longer.
const SLOW_FACTOR: u32 = 10;
/// Requests of a failing server that fail, of a hundred.
const FAILURE_PERCENT: u8 = 30;
/// The number of zones of a testbed with outlier detection.
const ZONES: usize = 2;
/// The zone whose fronts get no answer with [`ServerFault::OneZone`].
const FAULTY_ZONE: usize = 0;

/// What is wrong with a server. The serialized names are those of stored results.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ServerFault {
    /// It answers nothing, and connections stay open.
    Stopped,
    /// It takes ten times as long.
    Slow,
    /// Three of ten attempts fail.
    Failing,
    /// The fronts of one zone get no answer.
    OneZone,
}

/// All of them.
pub const SERVER_FAULTS: [ServerFault; 4] = [
    ServerFault::Stopped,
    ServerFault::Slow,
    ServerFault::Failing,
    ServerFault::OneZone,
];

impl ServerFault {
    /// Whether the fronts of a zone observe the fault.
    fn concerns_zone(self, zone: usize) -> bool {
        self != ServerFault::OneZone || zone == FAULTY_ZONE
    }

    /// Makes a server of a testbed faulty.
    async fn inject(
        self,
        testbed: &mut Testbed,
        server: usize,
        fronts: usize,
    ) -> Result<(), TestbedError> {
        let silence = |front| Fault::ServerLink {
            front,
            server,
            state: LinkState::Silent,
        };
        match self {
            ServerFault::Stopped => testbed.inject(&silence(None)).await,
            ServerFault::Slow => {
                testbed
                    .inject(&Fault::Server {
                        server,
                        latency: LATENCY * SLOW_FACTOR,
                        failure_percent: 0,
                    })
                    .await
            }
            ServerFault::Failing => {
                testbed
                    .inject(&Fault::Server {
                        server,
                        latency: LATENCY,
                        failure_percent: FAILURE_PERCENT,
                    })
                    .await
            }
            ServerFault::OneZone => {
                let in_zone = (FAULTY_ZONE..fronts).step_by(ZONES);
                let faults: Vec<Fault> = in_zone.map(|front| silence(Some(front))).collect();
                testbed.inject_all(&faults).await
            }
        }
    }
}

/// A server behaves as it did at first.
fn healthy_server(server: usize) -> Fault {
    Fault::Server {
        server,
        latency: LATENCY,
        failure_percent: 0,
    }
}

/// The name of a server in the fronts' status.
fn server_name(server: usize) -> String {
    format!("s-{server}")
}
