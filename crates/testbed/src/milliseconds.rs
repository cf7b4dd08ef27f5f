//! Durations that are serialized as whole milliseconds, for use with `#[serde(with)]`.

use std::time::Duration;

use serde::{Deserialize, Deserializer, Serializer};

/// Serializes a duration.
pub fn serialize<S: Serializer>(duration: &Duration, serializer: S) -> Result<S::Ok, S::Error> {
    serializer.serialize_u64(duration.as_millis() as u64)
}

/// Deserializes a duration.
pub fn deserialize<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Duration, D::Error> {
    u64::deserialize(deserializer).map(Duration::from_millis)
}

/// The same for durations that may be absent.
pub mod option {
    use std::time::Duration;

    use serde::{Deserialize, Deserializer, Serialize, Serializer};

    /// Serializes a duration, if there is one.
    pub fn serialize<S: Serializer>(
        duration: &Option<Duration>,
        serializer: S,
    ) -> Result<S::Ok, S::Error> {
        let milliseconds = duration.map(|duration| duration.as_millis() as u64);
        milliseconds.serialize(serializer)
    }

    /// Deserializes a duration, if there is one.
    pub fn deserialize<'de, D: Deserializer<'de>>(
        deserializer: D,
    ) -> Result<Option<Duration>, D::Error> {
        let milliseconds = Option::<u64>::deserialize(deserializer)?;
        Ok(milliseconds.map(Duration::from_millis))
    }
}
