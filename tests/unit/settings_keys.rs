//! Each key of the settings sets its field: every number differs, so that no key can stand for
//! another or be passed over unseen.

use simd_json::OwnedValue;
use tulipbridge::config::settings;
use tulipbridge_core::{Class, DeduplicationGroup, Plan, RetryBudget, Semantics, Settings};

const SETTINGS: &str = r#"{
    "Balancers": 2, "Quantum": 3, "Discovery": "on_request",
    "Services": [{
        "Name": "read", "Aim": 4, "AimStretch": 5.5, "Deadline": 6, "Semantics": "deduplicated",
        "Group": "zone", "Window": 7, "KeepOrder": true, "LateWorth": 8.5, "Points": 9.5
    }],
    "Grades": [{
        "Name": "gold", "CeilingRate": 10.5, "LimitBurst": 11.5, "FloorRate": 12.5,
        "Nominal": 13.5, "Parts": 14.5, "Pays": 15.5
    }],
    "FamilyInfo": {
        "ColdUnits": 16.5, "UnitMean": 17.5, "MostUnits": 18.5, "FairWorth": 19.5,
        "IdleWorth": 20.5, "UsePeriod": 21, "ChangesData": [true]
    },
    "Limits": {
        "MostTries": 22, "SecondCopies": true, "Cancelling": true, "MaxRetryAfter": 23
    },
    "Rules": {
        "AskEvery": 24, "Cold": 25, "ColdFrom": 26.5, "TipMultiple": 27.5, "Fall": 28,
        "OrderSettle": 29, "FurtherRatio": 30.5, "ExtraFree": 31.5, "LookBack": 32
    }
}"#;

fn expected() -> Settings {
    Settings {
        front_count: 2,
        classes: vec![Class {
            latency_objective: 4,
            objective_stretch: 5.5,
            deadline: 6,
            semantics: Semantics::Deduplicated,
            group: DeduplicationGroup::Zone,
            window: 7,
            keep_order: true,
            late_value: 8.5,
            priority_weight: 9.5,
            writes: true,
        }],
        plans: vec![Plan {
            limit_rate: 10.5,
            limit_burst: 11.5,
            reserve_rate: 12.5,
            nominal_rate: 13.5,
            weight: 14.5,
            value_factor: 15.5,
        }],
        quantum: 3,
        warmup_units: 16.5,
        mean_units: 17.5,
        max_units: 18.5,
        fair_share_value: 19.5,
        idle_value: 20.5,
        usage_report_interval: 21,
        max_attempts: 22,
        hedging: true,
        cancellation: true,
        max_retry_after: 23,
        polls_discovery: true,
        poll_interval: 24,
        warmup_duration: 25,
        warmup_floor: 26.5,
        overload_factor: 27.5,
        overload_span: 28,
        order_settle_time: 29,
        retry_budget: Some(RetryBudget {
            base_allowance: 31.5,
            ratio: 30.5,
            window: 32,
        }),
    }
}

#[test]
fn each_key_of_the_settings_sets_its_field() {
    let mut bytes = SETTINGS.as_bytes().to_vec();
    let value: OwnedValue = simd_json::to_owned_value(&mut bytes).expect("it is JSON");
    let read = settings::read(&value).expect("the settings are valid");
    assert_eq!(format!("{read:?}"), format!("{:?}", expected()));
}
