//! The simulated network between fronts: cut links, and datagrams that are lost, duplicated and
//! delayed.

use std::time::Duration;

use fastrand::Rng;
use tulipbridge_membership::Nanos;

use crate::schedule::{DatagramFaults, Fault};

/// One millisecond.
pub const MILLISECOND: Nanos = 1_000_000;
/// The shortest time a datagram takes, in nanoseconds.
const MIN_DELAY: u64 = 50_000;
/// The smallest upper bound of the time a datagram takes, in nanoseconds.
const MIN_MAX_DELAY: u64 = 100_000;
/// The longest time a datagram takes while no fault delays datagrams.
const HEALTHY_MAX_DELAY: Duration = Duration::from_millis(2);

/// A duration in simulated time.
pub fn nanos(duration: Duration) -> Nanos {
    duration.as_nanos() as Nanos
}

/// One-way links between every two fronts.
pub struct Network {
    /// Whether the link is cut, by sender and receiver.
    cut: Vec<Vec<bool>>,
    /// What happens to datagrams on links that are not cut.
    faults: DatagramFaults,
}

impl Network {
    /// A network without faults between so many fronts.
    pub fn new(fronts: usize) -> Network {
        let faults = DatagramFaults {
            max_delay: HEALTHY_MAX_DELAY,
            ..DatagramFaults::default()
        };
        Network {
            cut: vec![vec![false; fronts]; fronts],
            faults,
        }
    }

    /// Applies a fault to the links. Faults that do not concern links change nothing.
    pub fn inject(&mut self, fault: &Fault) {
        match fault {
            Fault::Cut { from, to } => self.cut[*from][*to] = true,
            Fault::Partition { side } => self.partition(side),
            Fault::Heal => self.cut.iter_mut().for_each(|row| row.fill(false)),
            Fault::DatagramFaults {
                loss_percent,
                duplication_percent,
                max_delay,
            } => {
                self.faults = DatagramFaults {
                    loss_percent: *loss_percent,
                    duplication_percent: *duplication_percent,
                    max_delay: *max_delay,
                };
            }
            _ => {}
        }
    }

    /// Cuts exactly the links between fronts of this side and all others.
    fn partition(&mut self, side: &[usize]) {
        for (from, row) in self.cut.iter_mut().enumerate() {
            for (to, cut) in row.iter_mut().enumerate() {
                *cut = side.contains(&from) != side.contains(&to);
            }
        }
    }

    /// Removes every fault.
    pub fn heal(&mut self) {
        *self = Network::new(self.cut.len());
    }

    /// The delay of each copy of a datagram that arrives; empty if none does.
    pub fn delays(&self, rng: &mut Rng, from: usize, to: usize) -> Vec<Nanos> {
        if self.cut[from][to] {
            return Vec::new();
        }
        let max_delay = (self.faults.max_delay.as_nanos() as u64).max(MIN_MAX_DELAY);
        let copies = 1 + usize::from(rng.u8(0..100) < self.faults.duplication_percent);
        let delay = |_| {
            let arrives = rng.u8(0..100) >= self.faults.loss_percent;
            arrives.then(|| rng.u64(MIN_DELAY..=max_delay) as Nanos)
        };
        (0..copies).filter_map(delay).collect()
    }
}
