//! Tests of the section `peers.verdicts` of a front's file.

use tulipbridge::cluster::ejections::EjectionConfig;
use tulipbridge::control::json_object::JsonObjectError;

use crate::json;

fn read(text: &str) -> Result<EjectionConfig, JsonObjectError> {
    EjectionConfig::read(&json(text))
}

#[test]
fn missing_keys_have_defaults() {
    assert_eq!(
        read("{}"),
        Ok(EjectionConfig {
            max_ejected_fraction: 0.5,
            witnesses: 2
        })
    );
    let text = r#"{"most_out": 0.25, "witnesses": 3}"#;
    assert_eq!(
        read(text),
        Ok(EjectionConfig {
            max_ejected_fraction: 0.25,
            witnesses: 3
        })
    );
}

#[test]
fn errors_start_with_the_path_of_the_key() {
    for (text, message) in [
        ("[]", "'peers.verdicts': must be an object"),
        (
            r#"{"most": 1}"#,
            "'peers.verdicts.most': unknown field `most`, expected `most_out` or `witnesses`",
        ),
        (
            r#"{"most_out": 1}"#,
            "'peers.verdicts.most_out': must be a number from 0 to below 1, not 1",
        ),
        (
            r#"{"most_out": "x"}"#,
            "'peers.verdicts.most_out': must be a number from 0 to below 1, not \"x\"",
        ),
        (
            r#"{"witnesses": 1}"#,
            "'peers.verdicts.witnesses': must be a whole number of 2 or more, not 1",
        ),
        (
            r#"{"witnesses": 2.5}"#,
            "'peers.verdicts.witnesses': must be a whole number of 2 or more, not 2.5",
        ),
    ] {
        let error = read(text).err().map(|error| error.to_string());
        assert_eq!(error.as_deref(), Some(message), "{text}");
    }
}
