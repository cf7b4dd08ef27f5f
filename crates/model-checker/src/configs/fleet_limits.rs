//! Configurations of the fleet limits model.

use crate::fleet_limits_model::FleetLimitsModel;
use crate::model::ModelSummary;

/// All of them, the smallest first.
pub(super) fn all() -> Vec<FleetLimitsModel> {
    let summary = |name, description| ModelSummary {
        name,
        description,
        quick: true,
    };
    vec![
        FleetLimitsModel {
            summary: summary("rights-two", "two fronts and a limit, three faults"),
            fronts: 2,
            rounds: 9,
            max_faults: 3,
        },
        FleetLimitsModel {
            summary: summary("rights-three", "three fronts and a limit, two faults"),
            fronts: 3,
            rounds: 9,
            max_faults: 2,
        },
    ]
}
