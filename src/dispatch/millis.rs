//! Durations as whole milliseconds in stored records.

use std::time::Duration;

use serde::{Deserialize, Deserializer, Serializer};

/// Writes whole milliseconds.
///
/// # Errors
/// The serializer's error.
pub fn serialize<S: Serializer>(duration: &Duration, serializer: S) -> Result<S::Ok, S::Error> {
    serializer.serialize_u64(duration.as_millis() as u64)
}

/// Reads whole milliseconds.
///
/// # Errors
/// The deserializer's error if the value is not a whole number.
pub fn deserialize<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Duration, D::Error> {
    u64::deserialize(deserializer).map(Duration::from_millis)
}
