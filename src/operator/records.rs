//! `check`, `diff` and `get`.

use std::collections::BTreeMap;
use std::path::PathBuf;

use serde::Serialize;

use crate::cli::operator_args::{CheckArgs, FileArgs, GetArgs, OutputFormat};
use crate::journal::fleet_state::StoredRecord;
use crate::model::id::Revision;
use crate::operator::client::AdminClient;
use crate::operator::difference::RecordDifference;
use crate::operator::outcome::{OperatorExit, OperatorFailure, OperatorResult};
use crate::operator::output::OperatorOutput;
use crate::operator::render;
use crate::process::admin::message::RecordList;
use crate::record::document::{RecordDocument, RecordKind, RecordName};
use crate::record::fault::RecordFault;
use crate::record::source::RecordSource;

/// Result of `check`.
#[derive(Debug, Clone, Serialize)]
struct CheckReport {
    records: usize,
    warnings: Vec<RecordFault>,
}

/// Result of `diff`.
#[derive(Debug, Clone, Serialize)]
struct DiffReport {
    revision: Revision,
    differences: Vec<RecordDifference>,
}

/// Accepted records, by name.
#[derive(Debug, Clone)]
pub struct AcceptedRecords {
    /// Accepted revision.
    pub revision: Revision,
    /// Records.
    pub records: BTreeMap<RecordName, StoredRecord>,
}

impl AcceptedRecords {
    /// Reads the accepted records.
    ///
    /// # Errors
    /// The daemon's refusal, or that no daemon answered.
    pub async fn read(client: &AdminClient) -> OperatorResult<Self> {
        let list: RecordList = client.get("/v1/records").await?;
        let records = list
            .records
            .into_iter()
            .map(|stored| (stored.document.name(), stored));
        Ok(Self {
            revision: list.revision,
            records: records.collect(),
        })
    }

    /// The documents without revisions.
    pub fn documents(&self) -> Vec<RecordDocument> {
        self.records
            .values()
            .map(|stored| stored.document.clone())
            .collect()
    }
}

/// Reads files and reports every fault; warnings are written to the log.
///
/// # Errors
/// The faults.
pub fn read_files(
    output: &mut OperatorOutput<'_>,
    files: &[PathBuf],
    existing: &[RecordDocument],
) -> OperatorResult<(Vec<RecordDocument>, Vec<RecordFault>)> {
    let source = RecordSource::read(files);
    let faults = source.check(existing);
    if faults.iter().any(RecordFault::is_error) {
        return Err(OperatorFailure::faults(faults));
    }
    if output.format == OutputFormat::Text {
        for fault in &faults {
            output.note(fault);
        }
    }
    Ok((source.documents, faults))
}

/// `check`: by itself without a daemon, or against the accepted records with `--fleet`.
pub(super) async fn check(
    output: &mut OperatorOutput<'_>,
    client: Option<&AdminClient>,
    args: &CheckArgs,
) -> OperatorResult {
    let existing = match client {
        Some(client) => AcceptedRecords::read(client).await?.documents(),
        None => Vec::new(),
    };
    let (documents, warnings) = read_files(output, &args.files.files, &existing)?;
    let report = CheckReport {
        records: documents.len(),
        warnings,
    };
    output.show(&report, |report| {
        format!(
            "{} records, {} warnings, no faults",
            report.records,
            report.warnings.len()
        )
    })?;
    Ok(OperatorExit::Success)
}

/// `diff`.
pub(super) async fn diff(
    output: &mut OperatorOutput<'_>,
    client: &AdminClient,
    args: &FileArgs,
) -> OperatorResult {
    let accepted = AcceptedRecords::read(client).await?;
    let (documents, _) = read_files(output, &args.files, &accepted.documents())?;
    let differences = documents
        .iter()
        .filter_map(|document| RecordDifference::of(accepted.records.get(&document.name()), Some(document)));
    let report = DiffReport {
        revision: accepted.revision,
        differences: differences.collect(),
    };
    output.show(&report, |report| {
        let mut lines: Vec<String> = report.differences.iter().map(RecordDifference::text).collect();
        lines.push(format!(
            "{} records differ from revision {}",
            report.differences.len(),
            report.revision
        ));
        lines.join("\n")
    })?;
    if report.differences.is_empty() {
        return Ok(OperatorExit::Success);
    }
    Ok(OperatorExit::Differs)
}

/// `get`.
pub(super) async fn get(
    output: &mut OperatorOutput<'_>,
    client: &AdminClient,
    args: &GetArgs,
) -> OperatorResult {
    let Some(what) = args.what.as_deref() else {
        return show_list(output, client, "/v1/records").await;
    };
    if let Ok(kind) = what.parse::<RecordKind>() {
        return show_list(output, client, &format!("/v1/records?kind={kind}")).await;
    }
    let Ok(name) = what.parse::<RecordName>() else {
        let message = format!("{what} must be a kind, such as team, or KIND/ID, such as team/lodges");
        return Err(OperatorFailure::usage(message));
    };
    let id = render::encode(&name.id);
    let stored: StoredRecord = client.get(&format!("/v1/records/{}/{id}", name.kind)).await?;
    output.show(&stored, |stored| render::yaml(std::slice::from_ref(stored)))?;
    Ok(OperatorExit::Success)
}

async fn show_list(output: &mut OperatorOutput<'_>, client: &AdminClient, target: &str) -> OperatorResult {
    let list: RecordList = client.get(target).await?;
    output.show(&list, |list| {
        format!(
            "# fleet revision {}\n{}",
            list.revision,
            render::yaml(&list.records)
        )
    })?;
    Ok(OperatorExit::Success)
}
