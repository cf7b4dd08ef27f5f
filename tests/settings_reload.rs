//! Which keys a new configuration must keep.

use simd_json::OwnedValue as Value;
use tulipbridge::config::reload::missing_key;

fn json(text: &str) -> Value {
    simd_json::to_owned_value(&mut text.as_bytes().to_vec()).expect("JSON")
}

#[test]
fn missing_key_is_reported_by_its_path() {
    let before = json(r#"{"Limits":{"MostTries":3},"Services":[{"Name":"a","Deadline":5}]}"#);
    let fine = json(
        r#"{"Limits":{"MostTries":2},"Services":[{"Name":"b","Deadline":5},{"Name":"c","Deadline":1}]}"#,
    );
    assert_eq!(missing_key(&before, &fine, "settings"), None);
    let lacks = json(r#"{"Limits":{},"Services":[{"Name":"b","Deadline":5}]}"#);
    assert_eq!(
        missing_key(&before, &lacks, "settings"),
        Some("settings.Limits.MostTries".to_owned())
    );
    let lacks =
        json(r#"{"Limits":{"MostTries":2},"Services":[{"Name":"b","Deadline":5},{"Name":"c"}]}"#);
    assert_eq!(
        missing_key(&before, &lacks, "settings"),
        Some("settings.Services[1].Deadline".to_owned())
    );
    assert_eq!(
        missing_key(&before, &json("{}"), "settings"),
        Some("settings.Limits".to_owned())
    );
}
