//! Rows of every kind, with every name of their enums and with their optional fields present and
//! absent.

use tulipbridge_fleet_limits::Share;
use tulipbridge_outlier_detection::{ClassId, ServerId, ZoneId};
use tulipbridge_testbed::cost::Cost;
use tulipbridge_testbed::limit_experiments::{
    FaultCaseResult, FaultScheduleResult, LoadCaseResult, FAULT_CASES, LOAD_CASES, WINDOWS_MS,
};
use tulipbridge_testbed::outlier_experiments::{
    OutlierScheduleResult, ServerFault, ServerFaultResult, SERVER_FAULTS,
};
use tulipbridge_testbed::shared_limit_experiments::{SharedLimitResult, SHARED_LIMITS};
use tulipbridge_testbed::simulation::gossip::GossipReport;
use tulipbridge_testbed::simulation::limits::LimitsReport;
use tulipbridge_testbed::simulation::outliers::{self, OutlierReport};
use tulipbridge_testbed::testbed::WindowUsage;

pub fn load_case_results() -> Vec<LoadCaseResult> {
    let result = |case| LoadCaseResult {
        case,
        fronts: 4,
        peers: true,
        seed: 1,
        served_fraction: 0.75,
        max_excess: -2.5,
    };
    LOAD_CASES.into_iter().map(result).collect()
}

pub fn fault_case_results() -> Vec<FaultCaseResult> {
    let usage = WindowUsage {
        max_units: 1.5,
        allowed_units: 2.5,
    };
    let result = |case| FaultCaseResult {
        case,
        seed: 1,
        served_during: 0.5,
        served_after: 0.75,
        max_excess: -2.5,
        reported: true,
        windows: vec![usage; WINDOWS_MS.len()],
    };
    FAULT_CASES.into_iter().map(result).collect()
}

pub fn fault_schedule_results() -> Vec<FaultScheduleResult> {
    let result = |served_after| FaultScheduleResult {
        seed: 1,
        fronts: 4,
        faults: 5,
        attempts: 600,
        max_excess: -2.5,
        served_after,
    };
    vec![result(Some(0.75)), result(None)]
}

pub fn shared_limit_results() -> Vec<SharedLimitResult> {
    let result = |limit| SharedLimitResult {
        limit,
        seed: 1,
        used: 0.5,
        used_after: 0.75,
        max_usage: 9.5,
        bound: 10.5,
    };
    SHARED_LIMITS.into_iter().map(result).collect()
}

pub fn server_fault_results() -> Vec<ServerFaultResult> {
    let result = |fault, recovered_after_s| ServerFaultResult {
        fault,
        fronts: 4,
        shared: true,
        seed: 1,
        affected_requests: 2.5,
        last_affected_s: 3.5,
        affected_fronts: 4,
        max_ejected: 1,
        unjustified_ejections: 0,
        peak_attempts: 5,
        usual_attempts: 6.5,
        recovered_after_s,
    };
    let mut rows: Vec<ServerFaultResult> = SERVER_FAULTS
        .into_iter()
        .map(|fault| result(fault, Some(7.5)))
        .collect();
    rows.push(result(ServerFault::Stopped, None));
    rows
}

pub fn outlier_schedule_result() -> OutlierScheduleResult {
    OutlierScheduleResult {
        seed: 1,
        fronts: 4,
        faults: 5,
        faulty_servers: 2,
        has_faulty_front: true,
        max_ejected: 1,
        unjustified_ejections: 0,
        faulty_servers_ejected: 2,
        fronts_with_ejections: 0,
    }
}

pub fn cost() -> Cost {
    Cost {
        fronts: 4,
        volumes: 300,
        bytes_per_second: 1.5,
        datagrams_per_second: 2.5,
        core_fraction: 0.5,
        memory_kb: 3.5,
        detection_ms: 4.5,
    }
}

/// Reports of the simulation of limits, with and without the optional field.
pub fn limits_reports() -> Vec<LimitsReport> {
    let healed = LimitsReport {
        max_total_share: Share(1),
        max_at_ms: 2,
        allowed_share: Share(3),
        bound_exceeded: true,
        stale_share_used: false,
        healed_share: Some(Share(4)),
        min_healed_share: Share(5),
        messages: 6,
    };
    vec![healed, LimitsReport::default()]
}

pub fn gossip_report() -> GossipReport {
    GossipReport {
        inconsistent: true,
        age_understated: false,
        not_converged: true,
        max_bytes_per_second: 1,
        messages: 2,
        entries_learned: 3,
    }
}

/// Reports of the simulation of outlier detection, with and without the optional fields.
pub fn outlier_reports() -> Vec<OutlierReport> {
    let full = OutlierReport {
        max_ejected: 1,
        unjustified_ejection: Some("first".to_owned()),
        not_expired: true,
        not_readmitted: false,
        ejection_without_quorum: Some("second".to_owned()),
        vote_without_evidence: Some("third".to_owned()),
        ejection_limit: 2,
        max_probes: 3,
        failed_attempts: 4,
        faulty_servers_ejected: 5,
        outage_missed: false,
        messages: 6,
    };
    vec![full, OutlierReport::default()]
}

/// Scenarios with every fault of a server and of a front.
pub fn scenarios() -> Vec<outliers::Scenario> {
    use outliers::{FaultyFront, FaultyServer, FrontFault, Scenario, ServerFault};
    let faulty_servers = vec![
        FaultyServer {
            from_ms: 2_000,
            server: ServerId(0),
            fault: ServerFault::Failing(300),
        },
        FaultyServer {
            from_ms: 3_000,
            server: ServerId(1),
            fault: ServerFault::Zone(ZoneId(1)),
        },
        FaultyServer {
            from_ms: 4_000,
            server: ServerId(2),
            fault: ServerFault::Class(ClassId(2)),
        },
    ];
    let faulty_fronts = [
        None,
        Some(FaultyFront {
            front: 0,
            fault: FrontFault::ReportsAllFailed,
        }),
        Some(FaultyFront {
            front: 1,
            fault: FrontFault::ReportsAllHealthy,
        }),
        Some(FaultyFront {
            front: 2,
            fault: FrontFault::LossyNetwork(200),
        }),
        Some(FaultyFront {
            front: 3,
            fault: FrontFault::UnreachableServer(ServerId(4)),
        }),
    ];
    let scenario = |faulty_front| Scenario {
        faulty_servers: faulty_servers.clone(),
        faulty_front,
        attempts_per_second: 16,
        without_schedule: true,
    };
    faulty_fronts.into_iter().map(scenario).collect()
}
