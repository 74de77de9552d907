//! The audit trail.

use std::str::FromStr;

use crate::error::{Error, ErrorKind, Result};
use crate::model::id::Revision;
use crate::process::admin::api::{self, AdminAnswer};
use crate::process::admin::message::AuditPage;
use crate::process::admin::source::{AdminSources, AuditQuery};

/// Entries of a page if the query names no limit.
const DEFAULT_LIMIT: usize = 50;
/// Most entries of a page.
const MAX_LIMIT: usize = 500;

/// Shows a page of the audit trail, newest first, filtered by operator and record.
pub(super) async fn show(sources: &AdminSources, query: &str) -> Result<AdminAnswer> {
    let limit = read_field::<usize>(query, "limit")?.unwrap_or(DEFAULT_LIMIT);
    let query = AuditQuery {
        newest: sources.version.current().revision,
        before: read_field::<Revision>(query, "before")?,
        limit: limit.clamp(1, MAX_LIMIT),
        by: read_field(query, "by")?,
        record: read_field(query, "record")?,
    };
    let limit = query.limit;
    let entries = (sources.audit)(query).await?;
    let last = entries.last().map(|entry| entry.number);
    let next_before = last.filter(|last| entries.len() >= limit && *last > Revision::new(1));
    AdminAnswer::ok(&AuditPage { entries, next_before })
}

fn read_field<T: FromStr>(query: &str, field: &str) -> Result<Option<T>> {
    let Some(text) = api::query_field(query, field) else {
        return Ok(None);
    };
    match text.parse() {
        Ok(value) => Ok(Some(value)),
        Err(_) => Err(Error::new(
            ErrorKind::BadRequest,
            format!("query field {field} is not valid"),
        )),
    }
}
