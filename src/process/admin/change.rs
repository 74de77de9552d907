//! Records: listing and changing them.

use std::collections::{BTreeMap, BTreeSet};

use crate::error::{Error, ErrorKind, Result};
use crate::journal::entry::{EntryActor, EntryChange};
use crate::journal::fleet_state::FleetState;
use crate::process::admin::api::{self, AdminAnswer};
use crate::process::admin::message::{
    ChangeAnswer, ChangeRequest, RecordChange, RecordConflict, RecordList, RefusalBody,
};
use crate::process::admin::source::AdminSources;
use crate::record::check;
use crate::record::document::{RecordDocument, RecordKind, RecordName};
use crate::record::fault::RecordFault;

/// Most changes of one request.
pub const MAX_CHANGES: usize = 2000;

/// Lists records, of one kind if the query names it.
pub(super) fn list(sources: &AdminSources, query: &str) -> Result<AdminAnswer> {
    let kind = api::query_field(query, "kind").map(read_kind).transpose()?;
    let state = sources.version.current();
    let records = state
        .documents
        .iter()
        .filter(|(name, _)| kind.is_none_or(|kind| name.kind == kind));
    AdminAnswer::ok(&RecordList {
        revision: state.revision,
        records: records.map(|(_, stored)| stored.clone()).collect(),
    })
}

/// Shows one record.
pub(super) fn show(sources: &AdminSources, kind: &str, id: &str) -> Result<AdminAnswer> {
    let kind = read_kind(kind)?;
    let name = RecordName { kind, id: id.into() };
    let state = sources.version.current();
    let stored = state
        .documents
        .get(&name)
        .ok_or_else(|| api::not_found("record", &name.to_string()))?;
    AdminAnswer::ok(stored)
}

fn read_kind(text: &str) -> Result<RecordKind> {
    let Ok(kind) = text.parse() else {
        let kinds: Vec<String> = RecordKind::ALL.iter().map(ToString::to_string).collect();
        let message = format!("the kind must be one of {}", kinds.join(", "));
        return Err(Error::new(ErrorKind::BadRequest, message));
    };
    Ok(kind)
}

/// Checks changes against the accepted records and accepts them together, or refuses all of them with every fault
/// and conflict.
pub(super) async fn accept(
    sources: &AdminSources,
    actor: EntryActor,
    request: ChangeRequest,
) -> Result<AdminAnswer> {
    check_request(&request)?;
    let warnings = warnings(&request.changes);
    if request.dry_run {
        return dry_run(sources, &request.changes, warnings);
    }
    let changes = request.changes.clone();
    let builder = move |state: &FleetState| {
        let review = ChangeReview::new(state, &changes);
        match review.error() {
            Some(error) => Err(error),
            None => Ok(changes.iter().map(entry_change).collect()),
        }
    };
    match (sources.append)(actor, Box::new(builder)).await {
        Ok(revision) => AdminAnswer::ok(&ChangeAnswer { revision, warnings }),
        Err(error) => refuse_late(sources, &request.changes, &error),
    }
}

/// Checks changes against the state as this daemon has folded it.
fn dry_run(
    sources: &AdminSources,
    changes: &[RecordChange],
    warnings: Vec<RecordFault>,
) -> Result<AdminAnswer> {
    let state = sources.version.current();
    let review = ChangeReview::new(&state, changes);
    if review.error().is_some() {
        return review.refusal();
    }
    let revision = state.revision;
    AdminAnswer::ok(&ChangeAnswer { revision, warnings })
}

/// Warnings about the written records.
fn warnings(changes: &[RecordChange]) -> Vec<RecordFault> {
    let documents = changes.iter().filter_map(|change| match change {
        RecordChange::Put { document, .. } => Some(document),
        RecordChange::Delete { .. } => None,
    });
    let faults = documents.flat_map(|document| check::check_document(document).0);
    faults.filter(|fault| !fault.is_error()).collect()
}

/// Refusal with every fault and both versions. The writer has folded the newest entries before it refuses.
fn refuse_late(sources: &AdminSources, changes: &[RecordChange], error: &Error) -> Result<AdminAnswer> {
    let review = ChangeReview::new(&sources.version.current(), changes);
    let is_detailed = matches!(error.kind(), ErrorKind::Conflict | ErrorKind::BadRecord);
    let refusal = RefusalBody {
        error: error.body(),
        faults: if is_detailed { review.faults } else { Vec::new() },
        conflicts: if is_detailed { review.conflicts } else { Vec::new() },
    };
    AdminAnswer::refusal(&refusal)
}

fn check_request(request: &ChangeRequest) -> Result<()> {
    let count = request.changes.len();
    if !(1..=MAX_CHANGES).contains(&count) {
        let message = format!("{count} changes; 1 to {MAX_CHANGES} are accepted in one request");
        return Err(Error::new(ErrorKind::BadRequest, message));
    }
    let mut names = BTreeSet::new();
    for change in &request.changes {
        let name = change.name();
        if !names.insert(name.clone()) {
            return Err(Error::new(
                ErrorKind::BadRequest,
                format!("record {name} is changed twice"),
            ));
        }
    }
    Ok(())
}

fn entry_change(change: &RecordChange) -> EntryChange {
    match change.clone() {
        RecordChange::Put { document, expected } => EntryChange::PutRecord { document, expected },
        RecordChange::Delete { name, expected } => EntryChange::DeleteRecord { name, expected },
    }
}

/// Faults and conflicts of changes against one state.
#[derive(Debug)]
struct ChangeReview {
    faults: Vec<RecordFault>,
    conflicts: Vec<RecordConflict>,
}

impl ChangeReview {
    fn new(state: &FleetState, changes: &[RecordChange]) -> Self {
        let conflicts = changes
            .iter()
            .filter_map(|change| conflict(state, change))
            .collect();
        let before: BTreeMap<RecordName, &RecordDocument> = state
            .documents
            .iter()
            .map(|(name, stored)| (name.clone(), &stored.document))
            .collect();
        let mut after = before.clone();
        for change in changes {
            match change {
                RecordChange::Put { document, .. } => after.insert(document.name(), document),
                RecordChange::Delete { name, .. } => after.remove(name),
            };
        }
        let known = check::check_all(before.into_values());
        let written: BTreeSet<String> = changes.iter().map(|change| change.name().to_string()).collect();
        let faults = check::check_all(after.into_values()).into_iter();
        let faults = faults.filter(|fault| written.contains(fault.record.as_ref()) || !known.contains(fault));
        Self {
            faults: faults.collect(),
            conflicts,
        }
    }

    fn error(&self) -> Option<Error> {
        if let Some(conflict) = self.conflicts.first() {
            let message = format!("record {} changed since it was read", conflict.name);
            return Some(Error::new(ErrorKind::Conflict, message));
        }
        let fault = self.faults.iter().find(|fault| fault.is_error())?;
        Some(Error::new(ErrorKind::BadRecord, fault.to_string()))
    }

    fn refusal(self) -> Result<AdminAnswer> {
        let error = self
            .error()
            .unwrap_or_else(|| Error::new(ErrorKind::Internal, "refused without a reason"));
        AdminAnswer::refusal(&RefusalBody {
            error: error.body(),
            faults: self.faults,
            conflicts: self.conflicts,
        })
    }
}

fn conflict(state: &FleetState, change: &RecordChange) -> Option<RecordConflict> {
    let name = change.name();
    let accepted = state.documents.get(&name);
    if accepted.map(|stored| stored.changed_at) == change.expected() {
        return None;
    }
    let yours = match change {
        RecordChange::Put { document, .. } => Some(document.clone()),
        RecordChange::Delete { .. } => None,
    };
    Some(RecordConflict {
        name,
        expected: change.expected(),
        yours,
        accepted: accepted.cloned(),
    })
}
