//! What a simulation of fleet limits observed.

use std::fmt;

use serde::Serialize;
use tulipbridge_fleet_limits::Share;

/// What a run observed. Shares are in millionths of the limit; the serialized names are those of
/// stored results.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct LimitsReport {
    /// The sum of all shares at the moment of the largest excess over the bound.
    #[serde(rename = "most")]
    pub max_total_share: Share,
    /// That moment, in milliseconds.
    #[serde(rename = "at")]
    pub max_at_ms: u64,
    /// The bound at that moment.
    #[serde(rename = "allowed")]
    pub allowed_share: Share,
    /// Whether the sum of all shares ever exceeded the bound.
    #[serde(rename = "over")]
    pub bound_exceeded: bool,
    /// Whether a front continued with a larger share than its coordinator allows.
    #[serde(rename = "stale")]
    pub stale_share_used: bool,
    /// Once everything was healed and settled: the shares in use, if there was any demand.
    #[serde(rename = "healed")]
    pub healed_share: Option<Share>,
    /// The least that they should have been.
    #[serde(rename = "owed")]
    pub min_healed_share: Share,
    /// Heartbeats sent.
    pub messages: u64,
}

impl LimitsReport {
    /// Whether the run violated no bound.
    pub fn is_valid(&self) -> bool {
        let recovered = self
            .healed_share
            .is_none_or(|healed| healed >= self.min_healed_share);
        !self.bound_exceeded && !self.stale_share_used && recovered
    }
}

/// One line with the labels that earlier versions printed.
impl fmt::Display for LimitsReport {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter
            .debug_struct("Verdict")
            .field("most", &self.max_total_share)
            .field("at", &self.max_at_ms)
            .field("allowed", &self.allowed_share)
            .field("over", &self.bound_exceeded)
            .field("stale", &self.stale_share_used)
            .field("healed", &self.healed_share)
            .field("owed", &self.min_healed_share)
            .field("messages", &self.messages)
            .finish()
    }
}
