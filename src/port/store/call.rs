//! Arguments, answers and errors of store calls.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::error::{Error, ErrorKind};
use crate::model::id::StoreRevision;

/// Largest accepted value, in bytes.
pub const MAX_VALUE_BYTES: usize = 1_000_000;

/// Longest accepted key, in bytes.
pub const MAX_KEY_BYTES: usize = 255;

/// Values of one list or watch answer stop after this sum of bytes, so that an answer stays bounded.
pub const MAX_LISTING_BYTES: usize = 4 * 1024 * 1024;

/// Longest wait of one watch call; a client calls again to go on waiting.
pub const MAX_WATCH_WAIT: Duration = Duration::from_secs(30);

/// Condition under which a put or delete takes effect.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PutExpect {
    /// The key does not exist.
    Absent,
    /// The key exists and was last written at this revision.
    Revision(StoreRevision),
    /// No condition.
    Any,
}

/// A key's value.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoreValue {
    /// The key.
    pub key: Arc<str>,
    /// Revision of the last write of the key.
    pub revision: StoreRevision,
    /// The value; empty in a listing of keys.
    pub value: Bytes,
}

/// Answer of a list or watch call.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoreListing {
    /// Values: by key for a list, by revision for a watch.
    pub values: Vec<StoreValue>,
    /// Revision of the store's last write when the answer was made.
    pub head: StoreRevision,
    /// Whether the limit left out further values.
    pub more: bool,
}

/// Kind of a store call, for counting.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Display)]
pub enum CallKind {
    /// Reads one key.
    #[display("get")]
    Get,
    /// Writes one key.
    #[display("put")]
    Put,
    /// Deletes one key.
    #[display("delete")]
    Delete,
    /// Lists keys with their values.
    #[display("list")]
    List,
    /// Waits for writes.
    #[display("watch")]
    Watch,
    /// Grants, renews or revokes a lease.
    #[display("lease")]
    Lease,
}

impl CallKind {
    /// Whether the call may change the store.
    pub fn is_write(self) -> bool {
        matches!(self, Self::Put | Self::Delete | Self::Lease)
    }
}

/// Failure of a store call.
#[derive(Debug, Clone, PartialEq, Eq, Display, derive_more::Error)]
pub enum StoreError {
    /// The call did not reach the store or was refused; nothing changed.
    #[display("the store is unavailable")]
    Unavailable,
    /// No answer arrived; a write may have taken effect or may do so later.
    #[display("the store did not answer in time")]
    TimedOut,
    /// The store refused the call for its rate; nothing changed.
    #[display("the store refused the call for its rate limit")]
    RateLimited,
    /// The condition of a write does not hold; nothing changed.
    #[display("the key is at revision {}", current.map_or_else(|| "none".to_owned(), |r| r.to_string()))]
    Conflict {
        /// The key's current revision; absent if the key does not exist.
        #[error(not(source))]
        current: Option<StoreRevision>,
    },
    /// The value or the answer exceeds its size limit.
    #[display("a value exceeds the size limit of the store")]
    TooLarge,
    /// The lease has ended.
    #[display("the lease has ended")]
    LeaseEnded,
    /// The key or an argument is malformed, or the answer cannot be read.
    #[display("{_0}")]
    Malformed(#[error(not(source))] Arc<str>),
}

impl From<StoreError> for Error {
    fn from(error: StoreError) -> Self {
        let kind = match &error {
            StoreError::Unavailable => ErrorKind::StoreUnavailable,
            StoreError::TimedOut => ErrorKind::StoreOutcomeUnknown,
            StoreError::RateLimited => ErrorKind::RateLimited,
            StoreError::Conflict { .. } => ErrorKind::Conflict,
            StoreError::TooLarge => ErrorKind::TooLarge,
            StoreError::LeaseEnded => ErrorKind::LeaseLost,
            StoreError::Malformed(_) => ErrorKind::BadMessage,
        };
        Self::new(kind, error.to_string())
    }
}

/// Result of a store call.
pub type StoreResult<T> = std::result::Result<T, StoreError>;

/// Checks that a key or prefix consists of `a-z A-Z 0-9 . _ - /`, which needs no escaping in URLs.
///
/// # Errors
/// `Malformed` if it does not or is longer than [`MAX_KEY_BYTES`].
pub fn check_key(key: &str) -> StoreResult<()> {
    let is_clean = key
        .bytes()
        .all(|byte| byte.is_ascii_alphanumeric() || matches!(byte, b'.' | b'_' | b'-' | b'/'));
    if is_clean && key.len() <= MAX_KEY_BYTES {
        return Ok(());
    }
    let message = format!("store key must be at most {MAX_KEY_BYTES} of a-z A-Z 0-9 . _ - /");
    Err(StoreError::Malformed(message.into()))
}
