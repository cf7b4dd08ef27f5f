//! What is wrong in a simulation of outlier detection, sampled from its seed.

use fastrand::Rng;
use serde::Serialize;
use tulipbridge_outlier_detection::{ClassId, EjectionTarget, Scope, ServerId, ZoneId};

use super::{CLASSES, SERVERS};

/// Distinguishes the random choices here from those of the simulation itself.
const SEED_SALT: u64 = 0x7e4d;

/// What is wrong with a server.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub enum ServerFault {
    /// So many attempts of a thousand fail.
    #[serde(rename = "All")]
    Failing(u32),
    /// All attempts of fronts in one zone fail.
    Zone(ZoneId),
    /// All attempts of one class fail.
    Class(ClassId),
}

/// What is wrong with a front.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub enum FrontFault {
    /// It reports every attempt as failed.
    #[serde(rename = "AllBad")]
    ReportsAllFailed,
    /// It reports every attempt as healthy, and many more than it makes.
    #[serde(rename = "AllGood")]
    ReportsAllHealthy,
    /// So many of its attempts at any server fail, of a thousand.
    #[serde(rename = "Network")]
    LossyNetwork(u32),
    /// It cannot reach one server.
    #[serde(rename = "Link")]
    UnreachableServer(ServerId),
}

/// A server with a fault. Serialized as an array, as in stored results.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
#[serde(into = "(u64, ServerId, ServerFault)")]
pub struct FaultyServer {
    /// When the fault begins, in milliseconds; it lasts until the schedule ends.
    pub from_ms: u64,
    /// Which server.
    pub server: ServerId,
    /// What is wrong with it.
    pub fault: ServerFault,
}

impl From<FaultyServer> for (u64, ServerId, ServerFault) {
    fn from(faulty: FaultyServer) -> Self {
        (faulty.from_ms, faulty.server, faulty.fault)
    }
}

/// A front with a fault. Serialized as an array, as in stored results.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
#[serde(into = "(usize, FrontFault)")]
pub struct FaultyFront {
    /// The index of the front.
    pub front: usize,
    /// What is wrong with it.
    pub fault: FrontFault,
}

impl From<FaultyFront> for (usize, FrontFault) {
    fn from(faulty: FaultyFront) -> Self {
        (faulty.front, faulty.fault)
    }
}

/// The faults and the load of a run. The serialized names are those of stored results.
#[derive(Clone, Debug, Serialize)]
pub struct Scenario {
    /// Servers with a fault.
    #[serde(rename = "ill")]
    pub faulty_servers: Vec<FaultyServer>,
    /// A front with a fault of its own.
    #[serde(rename = "faulty")]
    pub faulty_front: Option<FaultyFront>,
    /// Attempts a second of each front.
    #[serde(rename = "load")]
    pub attempts_per_second: u32,
    /// Whether the faults of the schedule, of links and processes, are left out.
    #[serde(rename = "calm")]
    pub without_schedule: bool,
}

impl Scenario {
    /// The scenario of a seed for so many fronts.
    pub fn sample(seed: u64, fronts: usize) -> Scenario {
        let mut rng = Rng::with_seed(seed ^ SEED_SALT);
        let count = [0, 1, 1, 2, 2, 6][rng.usize(0..6)];
        let faulty_servers = (0..count).map(|_| sample_faulty_server(&mut rng)).collect();
        let faulty_front = (rng.u8(0..3) == 0).then(|| sample_faulty_front(&mut rng, fronts));
        let attempts_per_second = [4, 16, 40][rng.usize(0..3)];
        let without_schedule = rng.u8(0..4) == 0;
        Scenario {
            faulty_servers,
            faulty_front,
            attempts_per_second,
            without_schedule,
        }
    }

    /// The fault of a front, if it has one.
    pub fn front_fault(&self, front: usize) -> Option<FrontFault> {
        self.faulty_front
            .filter(|faulty| faulty.front == front)
            .map(|faulty| faulty.fault)
    }

    /// Whether attempts at a server fail for a front in a zone, at a time in milliseconds. `random`
    /// is a random number below 1,000.
    pub fn attempt_fails(
        &self,
        server: ServerId,
        zone: ZoneId,
        class: ClassId,
        at_ms: u64,
        random: u32,
    ) -> bool {
        let active = self
            .faulty_servers
            .iter()
            .filter(|f| f.server == server && at_ms >= f.from_ms);
        active.into_iter().any(|faulty| match faulty.fault {
            ServerFault::Failing(per_mille) => random < per_mille,
            ServerFault::Zone(faulty_zone) => faulty_zone == zone,
            ServerFault::Class(faulty_class) => faulty_class == class,
        })
    }

    /// Whether an ejection concerns fronts or work for which the server was faulty.
    pub fn justifies(&self, target: EjectionTarget) -> bool {
        self.has_fault_covering(target) || self.fails_in_every_zone(target.server)
    }

    /// Whether a fault of the server concerns fronts or work of the ejection.
    fn has_fault_covering(&self, target: EjectionTarget) -> bool {
        let faults = self
            .faulty_servers
            .iter()
            .filter(|faulty| faulty.server == target.server);
        faults
            .into_iter()
            .any(|faulty| match (target.scope, faulty.fault) {
                (_, ServerFault::Failing(_)) => true,
                (Scope::Zone(zone), ServerFault::Zone(faulty_zone)) => zone == faulty_zone,
                (Scope::Class(class), ServerFault::Class(faulty_class)) => class == faulty_class,
                // The work of one class is part of all work; the fronts of another zone are not.
                (Scope::All | Scope::Zone(_), ServerFault::Class(_)) => true,
                _ => false,
            })
    }

    /// Whether a server fails for the fronts of both zones by separate faults.
    fn fails_in_every_zone(&self, server: ServerId) -> bool {
        let fails_in = |zone: ZoneId| {
            let fault = ServerFault::Zone(zone);
            self.faulty_servers
                .iter()
                .any(|faulty| faulty.server == server && faulty.fault == fault)
        };
        // A front that cannot reach a server which fails for the other zone observes what that zone
        // observes.
        let unreachable = FrontFault::UnreachableServer(server);
        let joined = self
            .faulty_front
            .is_some_and(|faulty| faulty.fault == unreachable);
        let fails_in_first = fails_in(ZoneId(0));
        let fails_in_second = fails_in(ZoneId(1));
        (fails_in_first && fails_in_second) || (joined && (fails_in_first || fails_in_second))
    }
}

/// A random fault of a random server.
fn sample_faulty_server(rng: &mut Rng) -> FaultyServer {
    let fault = match rng.u8(0..6) {
        0..=2 => ServerFault::Failing([1_000, 600, 300][rng.usize(0..3)]),
        3 => ServerFault::Zone(ZoneId(rng.u8(0..2))),
        4 => ServerFault::Class(ClassId(rng.u8(0..CLASSES))),
        _ => ServerFault::Failing(1_000),
    };
    let from_ms = rng.u64(2_000..8_000);
    let server = ServerId(rng.u64(0..SERVERS));
    FaultyServer {
        from_ms,
        server,
        fault,
    }
}

/// A random fault of a random front.
fn sample_faulty_front(rng: &mut Rng, fronts: usize) -> FaultyFront {
    let fault = match rng.u8(0..4) {
        0 => FrontFault::ReportsAllFailed,
        1 => FrontFault::ReportsAllHealthy,
        2 => FrontFault::UnreachableServer(ServerId(rng.u64(0..SERVERS))),
        _ => FrontFault::LossyNetwork(rng.u32(100..400)),
    };
    FaultyFront {
        front: rng.usize(0..fronts),
        fault,
    }
}
