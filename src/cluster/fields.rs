//! Deserializers, with range checks, of the numbers in the section `peers` of a front's
//! configuration file. A null is read as 0.

use serde::de::Error;
use serde::{Deserialize, Deserializer};
use simd_json::prelude::*;
use simd_json::OwnedValue as Value;

use crate::config::values::wrong_type;

/// Deserializes a number of 0 or more.
pub(super) fn non_negative<'de, D: Deserializer<'de>>(
    deserializer: D,
) -> Result<Option<f64>, D::Error> {
    let is_valid = |number: f64| number >= 0.0;
    checked(deserializer, "a number of 0 or more", is_valid).map(Some)
}

/// Deserializes a number greater than 0.
pub(super) fn positive<'de, D: Deserializer<'de>>(deserializer: D) -> Result<f64, D::Error> {
    let is_valid = |number: f64| number > 0.0;
    checked(deserializer, "a number above 0", is_valid)
}

/// Deserializes an optional number greater than 0.
pub(super) fn optional_positive<'de, D: Deserializer<'de>>(
    deserializer: D,
) -> Result<Option<f64>, D::Error> {
    positive(deserializer).map(Some)
}

/// Deserializes a number in `0.0..1.0`.
pub(super) fn fraction<'de, D: Deserializer<'de>>(
    deserializer: D,
) -> Result<Option<f64>, D::Error> {
    let is_valid = |number: f64| (0.0..1.0).contains(&number);
    checked(deserializer, "a number from 0 to below 1", is_valid).map(Some)
}

/// Deserializes an integer from `min` to `max`. The error message leaves out `max`, which is far
/// above any sensible value.
pub(super) fn count_between<'de, D: Deserializer<'de>>(
    deserializer: D,
    min: f64,
    max: f64,
) -> Result<f64, D::Error> {
    let is_valid = |number: f64| (min..=max).contains(&number) && number.fract() == 0.0;
    let expected = format!("a whole number of {min} or more");
    checked(deserializer, &expected, is_valid)
}

/// Deserializes a number for which `is_valid` holds; otherwise the error says that `expected` is
/// required.
fn checked<'de, D: Deserializer<'de>>(
    deserializer: D,
    expected: &str,
    is_valid: impl Fn(f64) -> bool,
) -> Result<f64, D::Error> {
    let value = Value::deserialize(deserializer)?;
    let number = if value.is_null() {
        Some(0.0)
    } else {
        value.cast_f64()
    };
    number
        .filter(|number| is_valid(*number))
        .ok_or_else(|| D::Error::custom(wrong_type(&value, expected)))
}
