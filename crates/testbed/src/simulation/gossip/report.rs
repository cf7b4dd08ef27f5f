//! What a simulation of gossip observed.

use std::fmt;

use serde::Serialize;

use super::GOSSIP_RATE;

/// What a run observed. The serialized names are those of stored results.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct GossipReport {
    /// A front held what its origin had never written under that version, or went back to an older
    /// version.
    #[serde(rename = "wrong")]
    pub inconsistent: bool,
    /// A front took an entry for younger than it was.
    #[serde(rename = "too_young")]
    pub age_understated: bool,
    /// After all faults were healed, some front lacked the latest entries of another.
    #[serde(rename = "lacking")]
    pub not_converged: bool,
    /// The most encoded bytes of entries that a front sent within a second.
    #[serde(rename = "most_bytes")]
    pub max_bytes_per_second: u64,
    /// Gossip messages sent.
    pub messages: u64,
    /// Entries that fronts learned from others.
    #[serde(rename = "learnt")]
    pub entries_learned: u64,
}

impl GossipReport {
    /// Whether the run violated no bound. Within a second a front may send that second's bytes and
    /// as many that it had saved up.
    pub fn is_valid(&self) -> bool {
        !self.inconsistent
            && !self.age_understated
            && !self.not_converged
            && self.max_bytes_per_second <= 2 * GOSSIP_RATE
    }
}

/// One line with the labels that earlier versions printed.
impl fmt::Display for GossipReport {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter
            .debug_struct("Verdict")
            .field("wrong", &self.inconsistent)
            .field("too_young", &self.age_understated)
            .field("lacking", &self.not_converged)
            .field("most_bytes", &self.max_bytes_per_second)
            .field("messages", &self.messages)
            .field("learnt", &self.entries_learned)
            .finish()
    }
}
