//! The types of values in configuration files.
//!
//! Files that earlier versions accepted must stay valid. For this reason null is accepted as the
//! number 0 and as the boolean false, and some values are only checked where they are used.

use std::fmt;
use std::marker::PhantomData;
use std::net::SocketAddr;

use serde::de::value::MapAccessDeserializer;
use serde::de::{DeserializeOwned, Error, IgnoredAny, MapAccess, SeqAccess, Visitor};
use serde::{Deserialize, Deserializer};
use simd_json::prelude::*;
use simd_json::OwnedValue as Value;

use crate::control::json_object::{self, JsonObjectError, MISSING};

/// A number; null counts as 0.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Number(pub f64);

impl<'de> Deserialize<'de> for Number {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Number, D::Error> {
        let value = Value::deserialize(deserializer)?;
        if value.is_null() {
            return Ok(Number(0.0));
        }
        match value.cast_f64() {
            Some(number) => Ok(Number(number)),
            None => Err(D::Error::custom(wrong_type(&value, "a number"))),
        }
    }
}

/// An IP address with a port.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Address(pub SocketAddr);

impl<'de> Deserialize<'de> for Address {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Address, D::Error> {
        let text = string(deserializer)?;
        match text.parse() {
            Ok(address) => Ok(Address(address)),
            Err(_) => Err(D::Error::custom(format_args!(
                "{text} is not an IP address with a port"
            ))),
        }
    }
}

/// A number that is written as a string of hexadecimal digits.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HexNumber(pub u64);

impl<'de> Deserialize<'de> for HexNumber {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<HexNumber, D::Error> {
        let text = string(deserializer)?;
        match u64::from_str_radix(&text, 16) {
            Ok(number) => Ok(HexNumber(number)),
            Err(_) => Err(D::Error::custom(format_args!(
                "{text} is not a hexadecimal number"
            ))),
        }
    }
}

/// A value that is only checked where it is used.
#[derive(Clone, Debug, Default)]
pub enum Deferred<T> {
    /// The key is missing.
    #[default]
    Missing,
    /// The key has a valid value.
    Valid(T),
    /// The key has an invalid value, for the given reason.
    Invalid(String),
}

impl<T> Deferred<T> {
    /// Returns whether the key is missing.
    pub fn is_missing(&self) -> bool {
        matches!(self, Deferred::Missing)
    }

    /// Returns the value. `path` is its path in the file, for the error.
    ///
    /// # Errors
    /// Returns an error if the value is missing or invalid.
    pub fn required(self, path: &str) -> Result<T, JsonObjectError> {
        match self {
            Deferred::Valid(value) => Ok(value),
            Deferred::Missing => Err(JsonObjectError::invalid(path, MISSING)),
            Deferred::Invalid(reason) => Err(JsonObjectError::invalid(path, reason)),
        }
    }
}

impl<T: Default> Deferred<T> {
    /// Returns the value, or the default of its type if it is missing. `path` is its path in the
    /// file, for the error.
    ///
    /// # Errors
    /// Returns an error if the value is invalid.
    pub fn or_default(self, path: &str) -> Result<T, JsonObjectError> {
        if self.is_missing() {
            return Ok(T::default());
        }
        self.required(path)
    }
}

impl<'de, T: DeserializeOwned> Deserialize<'de> for Deferred<T> {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Deferred<T>, D::Error> {
        let value = Value::deserialize(deserializer)?;
        match T::deserialize(value) {
            Ok(value) => Ok(Deferred::Valid(value)),
            Err(error) => Ok(Deferred::Invalid(json_object::error_message(&error))),
        }
    }
}

/// Returns a number of the file, or `default` if it is 0, negative or missing (which is read as 0).
pub fn positive_or(number: f64, default: f64) -> f64 {
    if number > 0.0 {
        number
    } else {
        default
    }
}

/// Deserializes a string.
pub fn string<'de, D: Deserializer<'de>>(deserializer: D) -> Result<String, D::Error> {
    let value = Value::deserialize(deserializer)?;
    match value.as_str() {
        Some(text) => Ok(text.to_owned()),
        None => Err(D::Error::custom(wrong_type(&value, "a string"))),
    }
}

/// Deserializes a number; null counts as 0.
pub fn number<'de, D: Deserializer<'de>>(deserializer: D) -> Result<f64, D::Error> {
    Number::deserialize(deserializer).map(|number| number.0)
}

/// Deserializes a number; `None` if the value is null.
pub fn optional_number<'de, D: Deserializer<'de>>(
    deserializer: D,
) -> Result<Option<f64>, D::Error> {
    let number: Option<Number> = Option::deserialize(deserializer)?;
    Ok(number.map(|number| number.0))
}

/// Deserializes a boolean; null counts as false.
pub fn boolean<'de, D: Deserializer<'de>>(deserializer: D) -> Result<bool, D::Error> {
    let value = Value::deserialize(deserializer)?;
    if value.is_null() {
        return Ok(false);
    }
    match value.as_bool() {
        Some(boolean) => Ok(boolean),
        None => Err(D::Error::custom(wrong_type(&value, "true or false"))),
    }
}

/// Deserializes an optional value; `None` if it has another type than the field.
pub fn lenient<'de, T, D>(deserializer: D) -> Result<Option<T>, D::Error>
where
    T: DeserializeOwned,
    D: Deserializer<'de>,
{
    let value = Value::deserialize(deserializer)?;
    Ok(T::deserialize(value).ok())
}

/// Deserializes an optional value that must not be null if its key is present.
pub fn non_null<'de, T, D>(deserializer: D) -> Result<Option<T>, D::Error>
where
    T: Deserialize<'de>,
    D: Deserializer<'de>,
{
    T::deserialize(deserializer).map(Some)
}

/// Deserializes an object into a type with named fields. Unlike serde's derived implementations, it
/// rejects an array.
pub fn object<'de, T, D>(deserializer: D) -> Result<T, D::Error>
where
    T: Deserialize<'de>,
    D: Deserializer<'de>,
{
    Object::deserialize(deserializer).map(|object| object.0)
}

/// Deserializes an array of objects, each as [`object`] does.
pub fn objects<'de, T, D>(deserializer: D) -> Result<Vec<T>, D::Error>
where
    T: Deserialize<'de>,
    D: Deserializer<'de>,
{
    let objects: Vec<Object<T>> = Vec::deserialize(deserializer)?;
    Ok(objects.into_iter().map(|object| object.0).collect())
}

/// Deserializes an object into a type with named fields; its default if the value is not an object.
pub fn object_or_default<'de, T, D>(deserializer: D) -> Result<T, D::Error>
where
    T: Deserialize<'de> + Default,
    D: Deserializer<'de>,
{
    deserializer.deserialize_any(ObjectOrDefaultVisitor(PhantomData))
}

/// A type with named fields that is deserialized from an object only.
struct Object<T>(T);

impl<'de, T: Deserialize<'de>> Deserialize<'de> for Object<T> {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Object<T>, D::Error> {
        deserializer.deserialize_map(ObjectVisitor(PhantomData))
    }
}

/// The visitor of [`Object`].
struct ObjectVisitor<T>(PhantomData<T>);

impl<'de, T: Deserialize<'de>> Visitor<'de> for ObjectVisitor<T> {
    type Value = Object<T>;

    fn expecting(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("an object")
    }

    fn visit_map<A: MapAccess<'de>>(self, map: A) -> Result<Object<T>, A::Error> {
        T::deserialize(MapAccessDeserializer::new(map)).map(Object)
    }
}

/// The visitor of [`object_or_default`].
struct ObjectOrDefaultVisitor<T>(PhantomData<T>);

impl<'de, T: Deserialize<'de> + Default> Visitor<'de> for ObjectOrDefaultVisitor<T> {
    type Value = T;

    fn expecting(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("any value")
    }

    fn visit_map<A: MapAccess<'de>>(self, map: A) -> Result<T, A::Error> {
        T::deserialize(MapAccessDeserializer::new(map))
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut entries: A) -> Result<T, A::Error> {
        while entries.next_element::<IgnoredAny>()?.is_some() {}
        Ok(T::default())
    }

    fn visit_unit<E: Error>(self) -> Result<T, E> {
        Ok(T::default())
    }

    fn visit_bool<E: Error>(self, _value: bool) -> Result<T, E> {
        Ok(T::default())
    }

    fn visit_i64<E: Error>(self, _value: i64) -> Result<T, E> {
        Ok(T::default())
    }

    fn visit_u64<E: Error>(self, _value: u64) -> Result<T, E> {
        Ok(T::default())
    }

    fn visit_f64<E: Error>(self, _value: f64) -> Result<T, E> {
        Ok(T::default())
    }

    fn visit_str<E: Error>(self, _value: &str) -> Result<T, E> {
        Ok(T::default())
    }
}

/// Returns the error message for a value of another type than `expected`.
pub(crate) fn wrong_type(value: &Value, expected: &str) -> String {
    let found = match value {
        Value::Array(_) => "an array".to_owned(),
        Value::Object(_) => "an object".to_owned(),
        Value::Static(_) | Value::String(_) => value.encode(),
    };
    format!("must be {expected}, not {found}")
}
