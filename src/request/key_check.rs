//! Checks the API key of a caller's request.

use std::time::Duration;

use http::header::{self, HeaderMap};

use crate::error::{Error, ErrorKind, Result};
use crate::journal::fleet_state::FleetState;
use crate::model::id::{KeyId, TeamId};
use crate::record::key;

/// A key that was valid when it was checked.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CheckedKey {
    /// Id of the key, without its secret.
    pub key: KeyId,
    /// Team to which the key belongs; the request counts against its allowance.
    pub team: TeamId,
    /// How long a zone that is cut off from the store may accept the key beyond the freshness limit of its
    /// configuration view.
    pub offline_grant: Duration,
}

/// Checks the `authorization` header against the accepted configuration.
///
/// # Errors
/// `key_missing` without the header, `key_refused` for any other fault. The message does not tell which part
/// of the key is wrong.
pub fn check_key(state: &FleetState, headers: &HeaderMap) -> Result<CheckedKey> {
    let Some(value) = headers.get(header::AUTHORIZATION) else {
        let message = "the request needs `authorization: Bearer <key id>:<secret>`";
        return Err(Error::new(ErrorKind::KeyMissing, message));
    };
    let presented = value
        .to_str()
        .ok()
        .and_then(|text| text.split_once(' '))
        .filter(|(scheme, _)| scheme.eq_ignore_ascii_case("bearer"))
        .and_then(|(_, text)| key::parse_key(text.trim()));
    let Some((id, secret)) = presented else {
        return Err(key_refused());
    };
    let Some(record) = state.records.keys.get(&id) else {
        return Err(key_refused());
    };
    if !record.matches(secret) || record.withdrawn || !state.records.teams.contains_key(&record.team) {
        return Err(key_refused());
    }
    Ok(CheckedKey {
        key: id,
        team: record.team.clone(),
        offline_grant: Duration::from_millis(record.offline_grant_ms),
    })
}

/// Checks that a key that was valid before is still valid in a newer configuration.
///
/// # Errors
/// `key_refused` if the key was withdrawn, deleted or given to another team.
pub fn recheck_key(state: &FleetState, checked: &CheckedKey) -> Result<()> {
    let is_valid = state
        .records
        .keys
        .get(&checked.key)
        .is_some_and(|record| !record.withdrawn && record.team == checked.team);
    if is_valid { Ok(()) } else { Err(key_refused()) }
}

fn key_refused() -> Error {
    Error::new(
        ErrorKind::KeyRefused,
        "the key is unknown, withdrawn or not valid here",
    )
}
