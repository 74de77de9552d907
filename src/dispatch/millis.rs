//! Serde functions that store durations as whole milliseconds.

use std::time::Duration;

use serde::{Deserialize, Deserializer, Serializer};

/// Serializes a duration as whole milliseconds, rounded down.
///
/// # Errors
/// The serializer's error.
pub fn serialize<S: Serializer>(duration: &Duration, serializer: S) -> Result<S::Ok, S::Error> {
    serializer.serialize_u64(duration.as_millis() as u64)
}

/// Deserializes a duration from whole milliseconds.
///
/// # Errors
/// The deserializer's error if the value is not a non-negative integer.
pub fn deserialize<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Duration, D::Error> {
    u64::deserialize(deserializer).map(Duration::from_millis)
}
