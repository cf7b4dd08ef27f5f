//! Configurations of the discovery model.

use crate::discovery_model::DiscoveryModel;
use crate::model::ModelSummary;

/// All of them.
pub(super) fn all() -> Vec<DiscoveryModel> {
    vec![
        base(
            "watch-early",
            "the discovery watch of the front that calls first, two faults",
            0.0,
        ),
        base(
            "watch-late",
            "the discovery watch of the front that calls last, two faults",
            1.0,
        ),
    ]
}

/// A configuration with a front whose calls are at this position within their jitter, from 0 to 1.
fn base(name: &'static str, description: &'static str, jitter: f64) -> DiscoveryModel {
    DiscoveryModel {
        summary: ModelSummary {
            name,
            description,
            quick: true,
        },
        jitter,
        max_clock_steps: 60,
        max_faults: 2,
    }
}
