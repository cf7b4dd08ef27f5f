//! The model of shared limits: its searches start from a state in which shares are leased.

use tulipbridge_fleet_limits::{PeerId, Share, FULL_SHARE};
use tulipbridge_model_checker::fleet_limits_model::FleetLimitsModel;
use tulipbridge_model_checker::model::{Model, ModelSummary};

/// The front at which nearly everything is demanded.
const BUSY_FRONT: PeerId = PeerId(0);
/// A front at which little is demanded.
const OTHER_FRONT: PeerId = PeerId(1);
/// The share that the busy front holds at least.
const MIN_BUSY_SHARE: Share = Share(FULL_SHARE.0 / 4 * 3);

fn model(fronts: u16) -> FleetLimitsModel {
    let summary = ModelSummary {
        name: "test",
        description: "test",
        quick: true,
    };
    FleetLimitsModel {
        summary,
        fronts,
        rounds: 1,
        max_faults: 0,
    }
}

/// A search in which nothing is leased would hold whatever the state machines do.
#[test]
fn busy_front_leases_shares_before_the_search_begins() {
    for fronts in [2, 3] {
        let state = model(fronts).initial_state();
        let share = state.share(BUSY_FRONT);
        assert!(share > MIN_BUSY_SHARE, "{fronts} fronts: {share}");
        assert!(
            state.share_leased(BUSY_FRONT, OTHER_FRONT) > Share::NONE,
            "{fronts} fronts"
        );
    }
}
