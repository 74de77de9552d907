//! Wall-clock time as transmitted and stored.

use std::time::{Duration, SystemTime};

use derive_more::{Display, FromStr};
use serde::{Deserialize, Serialize};

/// Milliseconds since 1970-01-01T00:00:00Z.
#[derive(
    Debug,
    Clone,
    Copy,
    Default,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Display,
    FromStr,
    Serialize,
    Deserialize,
)]
#[serde(transparent)]
pub struct UnixMillis(u64);

impl UnixMillis {
    /// Creates a time from milliseconds since 1970-01-01T00:00:00Z.
    pub const fn new(millis: u64) -> Self {
        Self(millis)
    }

    /// The milliseconds since 1970-01-01T00:00:00Z.
    pub const fn get(self) -> u64 {
        self.0
    }
}

impl From<SystemTime> for UnixMillis {
    fn from(time: SystemTime) -> Self {
        let elapsed = time
            .duration_since(SystemTime::UNIX_EPOCH)
            .unwrap_or(Duration::ZERO);
        Self(elapsed.as_millis() as u64)
    }
}

impl From<UnixMillis> for SystemTime {
    fn from(time: UnixMillis) -> Self {
        Self::UNIX_EPOCH + Duration::from_millis(time.0)
    }
}
