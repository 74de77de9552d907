//! Keys: giving and withdrawing them.

use std::collections::BTreeMap;
use std::sync::Arc;

use rand::RngCore;
use serde_json::Value;

use crate::error::{Error, ErrorKind, Result};
use crate::journal::entry::{EntryActor, EntryChange};
use crate::journal::fleet_state::{FleetState, StoredRecord};
use crate::model::id::KeyId;
use crate::process::admin::api::{self, AdminAnswer};
use crate::process::admin::message::{ChangeAnswer, KeyAnswer, KeyRequest};
use crate::process::admin::source::AdminSources;
use crate::record::check;
use crate::record::document::{RecordDocument, RecordKind, RecordName};
use crate::record::key;

/// Schema version of key records written by the admin API; version 1 daemons read the same fields.
const KEY_SCHEMA: u32 = 2;
/// Longest part of the team's name in a drawn key id, in bytes.
const MAX_PREFIX_LENGTH: usize = 40;

/// Gives a team a new key and returns its secret once.
pub(super) async fn give(
    sources: &AdminSources,
    actor: EntryActor,
    request: KeyRequest,
) -> Result<AdminAnswer> {
    let id = match request.id {
        Some(id) => id,
        None => draw_id(request.team.as_str(), &mut rand::rng())?,
    };
    let secret = key::generate_secret(&mut rand::rng());
    let document = new_document(&id, request.team.as_str(), &secret, request.offline_grant_ms);
    if let Some(fault) = check::check_document(&document).0.first() {
        return Err(Error::new(ErrorKind::BadRecord, fault.to_string()));
    }
    let team = request.team;
    let builder = move |state: &FleetState| {
        if !state.records.teams.contains_key(&team) {
            return Err(api::not_found("team", team.as_str()));
        }
        if state.documents.contains_key(&document.name()) {
            return Err(Error::new(
                ErrorKind::Conflict,
                format!("key {} exists", document.id),
            ));
        }
        let document = document.clone();
        Ok(vec![EntryChange::PutRecord {
            document,
            expected: None,
        }])
    };
    let revision = (sources.append)(actor, Box::new(builder))
        .await
        .map_err(|error| name_key(&error, &id))?;
    let key = Arc::from(key::format_key(&id, &secret));
    AdminAnswer::ok(&KeyAnswer { id, key, revision })
}

/// After an unknown outcome the key may exist with a secret that nobody received; the message says so.
fn name_key(error: &Error, id: &KeyId) -> Error {
    if error.kind() != ErrorKind::StoreOutcomeUnknown {
        return error.clone();
    }
    let message = format!(
        "{}; key {id} may exist: withdraw it and give another",
        error.message()
    );
    Error::new(ErrorKind::StoreOutcomeUnknown, message)
}

fn draw_id(team: &str, random: &mut impl RngCore) -> Result<KeyId> {
    let prefix = &team[..team.len().min(MAX_PREFIX_LENGTH)];
    format!("{prefix}-{:08x}", random.next_u32()).parse()
}

fn new_document(id: &KeyId, team: &str, secret: &str, offline_grant_ms: u64) -> RecordDocument {
    let mut fields: BTreeMap<Arc<str>, Value> = BTreeMap::new();
    fields.insert(Arc::from("team"), Value::from(team));
    fields.insert(Arc::from("secret_sha256"), Value::from(key::hash_secret(secret)));
    if offline_grant_ms > 0 {
        fields.insert(Arc::from("offline_grant_ms"), Value::from(offline_grant_ms));
    }
    RecordDocument {
        kind: RecordKind::Key,
        schema: KEY_SCHEMA,
        id: id.clone().into(),
        fields,
    }
}

/// Withdraws a key. Withdrawing it again succeeds, so that an operator in a hurry may repeat the command.
pub(super) async fn withdraw(sources: &AdminSources, actor: EntryActor, id: &str) -> Result<AdminAnswer> {
    let id: KeyId = id.parse()?;
    let builder = move |state: &FleetState| {
        let stored = find(state, &id).ok_or_else(|| api::not_found("key", id.as_str()))?;
        if is_withdrawn(stored) {
            return Ok(Vec::new());
        }
        let mut document = stored.document.clone();
        document.fields.insert(Arc::from("withdrawn"), Value::Bool(true));
        let expected = Some(stored.changed_at);
        Ok(vec![EntryChange::PutRecord { document, expected }])
    };
    let revision = (sources.append)(actor, Box::new(builder)).await?;
    let warnings = Vec::new();
    AdminAnswer::ok(&ChangeAnswer { revision, warnings })
}

fn find<'a>(state: &'a FleetState, id: &KeyId) -> Option<&'a StoredRecord> {
    let id = id.clone().into();
    state.documents.get(&RecordName {
        kind: RecordKind::Key,
        id,
    })
}

fn is_withdrawn(stored: &StoredRecord) -> bool {
    stored.document.fields.get("withdrawn") == Some(&Value::Bool(true))
}
