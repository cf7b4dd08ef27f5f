//! What a simulation of outlier detection observed.

use std::fmt;

use serde::Serialize;

/// The most probes of one server within half a turn.
const MAX_PROBES: usize = 3;

/// What a run observed. The serialized names are those of stored results.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct OutlierReport {
    /// The most servers ejected at one time, over all running fronts.
    #[serde(rename = "most_out")]
    pub max_ejected: usize,
    /// An ejection for fronts or work for which the server was never faulty.
    #[serde(rename = "innocent")]
    pub unjustified_ejection: Option<String>,
    /// A server was still ejected long after everything was healthy.
    #[serde(rename = "not_lapsed")]
    pub not_expired: bool,
    /// A server was still ejected after the time that successful probes take, with nothing in their
    /// way.
    #[serde(rename = "not_back")]
    pub not_readmitted: bool,
    /// A front ejected a server with fewer recent votes than the quorum.
    #[serde(rename = "unfounded")]
    pub ejection_without_quorum: Option<String>,
    /// A front voted with fewer witnesses than needed whose evidence was recent.
    #[serde(rename = "unseen")]
    pub vote_without_evidence: Option<String>,
    /// The most servers that may be ejected at one time, over all fronts.
    #[serde(rename = "may_out")]
    pub ejection_limit: usize,
    /// The most probes of one server within half a turn, in a run without faults of links and
    /// processes.
    #[serde(rename = "trials")]
    pub max_probes: usize,
    /// Failed attempts at faulty servers, of all fronts.
    #[serde(rename = "paid")]
    pub failed_attempts: u64,
    /// Servers that failed for all work of all fronts and were ejected.
    #[serde(rename = "found")]
    pub faulty_servers_ejected: u64,
    /// A server that answered nothing at all was not ejected, with nothing else wrong.
    #[serde(rename = "missed")]
    pub outage_missed: bool,
    /// Gossip messages sent.
    pub messages: u64,
}

impl OutlierReport {
    /// Whether the run violated no bound.
    pub fn is_valid(&self) -> bool {
        self.max_ejected <= self.ejection_limit
            && self.max_probes <= MAX_PROBES
            && self.unjustified_ejection.is_none()
            && self.ejection_without_quorum.is_none()
            && self.vote_without_evidence.is_none()
            && !self.outage_missed
            && !self.not_readmitted
            && !self.not_expired
    }
}

/// One line with the labels that earlier versions printed.
impl fmt::Display for OutlierReport {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter
            .debug_struct("Verdict")
            .field("most_out", &self.max_ejected)
            .field("innocent", &self.unjustified_ejection)
            .field("not_lapsed", &self.not_expired)
            .field("not_back", &self.not_readmitted)
            .field("unfounded", &self.ejection_without_quorum)
            .field("unseen", &self.vote_without_evidence)
            .field("may_out", &self.ejection_limit)
            .field("trials", &self.max_probes)
            .field("paid", &self.failed_attempts)
            .field("found", &self.faulty_servers_ejected)
            .field("missed", &self.outage_missed)
            .field("messages", &self.messages)
            .finish()
    }
}
