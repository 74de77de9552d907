//! Text for people: tables, YAML and failures.

use std::fmt::Write as _;

use time::OffsetDateTime;
use time::format_description::well_known::Rfc3339;

use crate::journal::entry::{EntryChange, JournalEntry};
use crate::journal::fleet_state::StoredRecord;
use crate::operator::difference::RecordDifference;
use crate::operator::outcome::OperatorFailure;
use crate::process::admin::message::{RecordConflict, SessionView};

/// Lays rows out in columns.
pub fn table(headers: &[&str], rows: &[Vec<String>]) -> String {
    let mut widths: Vec<usize> = headers.iter().map(|header| header.len()).collect();
    for row in rows {
        for (width, cell) in widths.iter_mut().zip(row) {
            *width = (*width).max(cell.chars().count());
        }
    }
    let line = |cells: Vec<&str>| {
        let cells = cells
            .iter()
            .zip(&widths)
            .map(|(cell, width)| format!("{cell:<width$}"));
        cells.collect::<Vec<_>>().join("  ").trim_end().to_owned()
    };
    let mut lines = vec![line(headers.to_vec())];
    lines.extend(
        rows.iter()
            .map(|row| line(row.iter().map(String::as_str).collect())),
    );
    lines.join("\n")
}

/// Text of an optional value.
pub fn or_dash<T: ToString>(value: Option<T>) -> String {
    value.map_or_else(|| "-".to_owned(), |value| value.to_string())
}

/// A duration in milliseconds as text for people.
pub fn duration(millis: u64) -> String {
    match millis {
        0..=9_999 => format!("{:.1} s", millis as f64 / 1000.0),
        10_000..=599_999 => format!("{} s", millis / 1000),
        600_000..=35_999_999 => format!("{} min", millis / 60_000),
        _ => format!("{:.1} h", millis as f64 / 3_600_000.0),
    }
}

/// Records as YAML documents that `check` and `apply` read.
pub fn yaml(records: &[StoredRecord]) -> String {
    let mut text = String::new();
    for stored in records {
        let body = serde_yaml_ng::to_string(&stored.document)
            .unwrap_or_else(|e| format!("# cannot be shown: {e}\n"));
        // Writing to a String does not fail.
        let _ = write!(text, "---\n# revision {}\n{body}", stored.changed_at);
    }
    text
}

/// A failure with all faults and both versions of conflicts.
pub fn failure(failure: &OperatorFailure) -> String {
    let mut lines: Vec<String> = failure.faults.iter().map(ToString::to_string).collect();
    lines.extend(failure.conflicts.iter().map(conflict));
    lines.push(format!("figloft: {}", failure.error));
    lines.join("\n")
}

fn conflict(conflict: &RecordConflict) -> String {
    let expected = or_dash(conflict.expected);
    let found = or_dash(conflict.accepted.as_ref().map(|stored| stored.changed_at));
    let head = format!(
        "conflict: {} was read at revision {expected} and is now at revision {found} (- accepted, + yours)",
        conflict.name
    );
    match RecordDifference::of(conflict.accepted.as_ref(), conflict.yours.as_ref()) {
        Some(difference) => format!("{head}\n{}", difference.text()),
        None => format!("{head}\n  both versions are equal"),
    }
}

/// A session's name with its zone.
pub fn session(view: &SessionView) -> String {
    format!("{} ({})", view.session, view.zone)
}

/// An entry of the audit trail as one line.
pub fn entry(entry: &JournalEntry) -> Vec<String> {
    let changes: Vec<String> = entry.changes.iter().map(change).collect();
    vec![
        entry.number.to_string(),
        wall_time(entry.written_at.get()),
        entry.actor.to_string(),
        changes.join("; "),
    ]
}

fn change(change: &EntryChange) -> String {
    match change {
        EntryChange::PutRecord { document, .. } => format!("put {}", document.name()),
        EntryChange::DeleteRecord { name, .. } => format!("delete {name}"),
        EntryChange::JoinPool { instance, pool, .. } => format!("{instance} joins {pool}"),
        EntryChange::SetPhase {
            instance,
            phase,
            reason,
        } => format!("{instance} {phase}: {reason}"),
        EntryChange::LeaveFleet { instance } => format!("{instance} leaves the fleet"),
        EntryChange::TakeToken { token } => format!("token for {}", token.instance),
        EntryChange::ReturnToken { instance } => format!("token of {instance} returned"),
        EntryChange::SetAllowance { team, session, slots } => format!("{team} may run {slots} on {session}"),
        EntryChange::TakeDuty { session } => format!("{session} coordinates"),
        EntryChange::ReleaseDuty { session } => format!("{session} stops coordinating"),
        EntryChange::SetPlanPhase { plan, phase, reason } => format!("plan {plan} {phase}: {reason}"),
        EntryChange::CompleteMove { plan, wave, instance } => {
            format!("plan {plan}: wave {} done with {instance}", wave + 1)
        }
        EntryChange::RejectJob { job, .. } => format!("job {job} rejected"),
        EntryChange::ForgetSession { session } => format!("{session} forgotten"),
        EntryChange::AddInstance { instance, pool, .. } => format!("{instance} added to {pool}"),
        EntryChange::RequestDrain { instance, reason } => format!("drain of {instance} requested: {reason}"),
        EntryChange::RequestReturn { instance, reason } => {
            format!("return of {instance} requested: {reason}")
        }
        EntryChange::StartMove { plan, wave, instance } => {
            format!("plan {plan}: wave {} begins with {instance}", wave + 1)
        }
        EntryChange::LendInstance { instance, to, .. } => format!("{instance} is lent to {to}"),
        EntryChange::EndLoan { instance } => format!("loan of {instance} ends"),
        EntryChange::Unread(value) => format!("unread change of a later version: {value}"),
    }
}

/// Wall time in UTC as RFC 3339, to the second.
fn wall_time(unix_millis: u64) -> String {
    let time = OffsetDateTime::from_unix_timestamp((unix_millis / 1000).cast_signed());
    let text = time.ok().and_then(|time| time.format(&Rfc3339).ok());
    text.unwrap_or_else(|| format!("{unix_millis} ms since 1970"))
}

/// Percent-encodes what an id must not contain, so that a wrong id gets the daemon's error and not another path.
pub fn encode(id: &str) -> String {
    let mut text = String::new();
    for byte in id.bytes() {
        if byte.is_ascii_alphanumeric() || matches!(byte, b'.' | b'_' | b'-') {
            text.push(char::from(byte));
        } else {
            // Writing to a String does not fail.
            let _ = write!(text, "%{byte:02X}");
        }
    }
    text
}
