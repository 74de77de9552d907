//! Encoding of journal entries and fleet states in the store. Both are JSON, so that an operator can read
//! them there.

use bytes::Bytes;

use crate::error::{Error, ErrorKind, Result};
use crate::journal::entry::JournalEntry;
use crate::journal::fleet_state::FleetState;
use crate::model::id::Revision;

/// Prefix of the store keys of journal entries.
pub const JOURNAL_PREFIX: &str = "journal/";

/// Size limit of an encoded entry, in bytes. An archive chunk of 512 KB holds at least one entry.
pub const MAX_ENTRY_BYTES: usize = 256 * 1024;

/// Size limit of an encoded state, in bytes: 64 snapshot chunks of 512 KB.
pub const MAX_STATE_BYTES: usize = 32 * 1024 * 1024;

/// Store key of an entry. The number is padded to 16 digits, so that keys sort by number.
pub fn entry_key(number: Revision) -> String {
    format!("{JOURNAL_PREFIX}{:016}", number.get())
}

/// Parses the entry number out of a store key. `None` if the key is not that of an entry.
pub fn parse_entry_key(key: &str) -> Option<Revision> {
    key.strip_prefix(JOURNAL_PREFIX)?.parse().ok()
}

/// Encodes an entry as JSON.
///
/// # Errors
/// `too_large` above [`MAX_ENTRY_BYTES`].
pub fn encode_entry(entry: &JournalEntry) -> Result<Bytes> {
    let bytes = serde_json::to_vec(entry).map_err(|e| Error::new(ErrorKind::Internal, e.to_string()))?;
    if bytes.len() > MAX_ENTRY_BYTES {
        let message = format!(
            "an entry of {} bytes exceeds the limit of {MAX_ENTRY_BYTES}; split the change",
            bytes.len()
        );
        return Err(Error::new(ErrorKind::TooLarge, message));
    }
    Ok(Bytes::from(bytes))
}

/// Decodes an entry.
///
/// # Errors
/// `bad_message` above [`MAX_ENTRY_BYTES`], or if the bytes are not a JSON entry.
pub fn decode_entry(bytes: &[u8]) -> Result<JournalEntry> {
    if bytes.len() > MAX_ENTRY_BYTES {
        return Err(bad_message("a journal entry exceeds its size limit"));
    }
    serde_json::from_slice(bytes).map_err(|e| bad_message(&format!("journal entry: {e}")))
}

/// Encodes a state as JSON.
///
/// # Errors
/// `too_large` above [`MAX_STATE_BYTES`].
pub fn encode_state(state: &FleetState) -> Result<Bytes> {
    let bytes = serde_json::to_vec(state).map_err(|e| Error::new(ErrorKind::Internal, e.to_string()))?;
    if bytes.len() > MAX_STATE_BYTES {
        let message = format!("a state of {} bytes exceeds {MAX_STATE_BYTES}", bytes.len());
        return Err(Error::new(ErrorKind::TooLarge, message));
    }
    Ok(Bytes::from(bytes))
}

/// Decodes a state and rebuilds its derived parts.
///
/// # Errors
/// `bad_message` above [`MAX_STATE_BYTES`], or if the bytes are not a JSON state.
pub fn decode_state(bytes: &[u8]) -> Result<FleetState> {
    if bytes.len() > MAX_STATE_BYTES {
        return Err(bad_message("a snapshot exceeds its size limit"));
    }
    serde_json::from_slice(bytes).map_err(|e| bad_message(&format!("snapshot: {e}")))
}

fn bad_message(message: &str) -> Error {
    Error::new(ErrorKind::BadMessage, message)
}
