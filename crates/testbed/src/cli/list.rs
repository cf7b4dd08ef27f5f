//! The command `list`.

use super::Outcome;

/// An experiment or a simulation.
struct Entry {
    name: &'static str,
    /// The command that runs it.
    command: &'static str,
    about: &'static str,
}

impl Entry {
    /// An experiment.
    const fn run(name: &'static str, about: &'static str) -> Entry {
        Entry {
            name,
            command: "run",
            about,
        }
    }

    /// A simulation.
    const fn simulate(name: &'static str, about: &'static str) -> Entry {
        Entry {
            name,
            command: "simulate",
            about,
        }
    }
}

/// Every experiment and simulation.
const ENTRIES: [Entry; 11] = [
    Entry::run(
        "load-cases",
        "uneven loads on four and eight fronts, without and with peers",
    ),
    Entry::run(
        "fault-cases",
        "single faults of links and processes: partitions, pauses, kills, duplicate processes, many volumes",
    ),
    Entry::run(
        "fault-schedules",
        "random fault schedules against volume limits",
    ),
    Entry::run(
        "shared-limits",
        "limits on retries, on servers in slow start and on requests in flight at one server",
    ),
    Entry::run(
        "server-faults",
        "a faulty chunk server, without and with shared outlier detection",
    ),
    Entry::run(
        "outlier-schedules",
        "random fault schedules with faulty servers: justified and unjustified ejections",
    ),
    Entry::run(
        "soak",
        "platform fronts under two or three faults that overlap, checked against all rules",
    ),
    Entry::run(
        "soak-without-faults",
        "the same without faults, which must have no violation",
    ),
    Entry::simulate(
        "limits",
        "the shares of many fronts in limits of the whole fleet",
    ),
    Entry::simulate(
        "gossip",
        "entries of gossip: the newest, and the same everywhere after a partition",
    ),
    Entry::simulate(
        "outliers",
        "ejections by all fronts, with faulty servers, fronts and links",
    ),
];

/// Prints the list.
pub fn print() -> Outcome {
    for entry in ENTRIES {
        println!("{:<20} ({}) {}", entry.name, entry.command, entry.about);
    }
    Outcome::Valid
}
