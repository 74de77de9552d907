//! `apply` and `plan submit`.

use serde::Serialize;

use crate::cli::operator_args::{ApplyArgs, OutputFormat, WaitArgs};
use crate::model::id::{PlanId, Revision};
use crate::operator::client::AdminClient;
use crate::operator::difference::RecordDifference;
use crate::operator::outcome::{OperatorExit, OperatorFailure, OperatorResult};
use crate::operator::output::OperatorOutput;
use crate::operator::records::{self, AcceptedRecords};
use crate::operator::waiting::{self, ForceReport};
use crate::operator::{fleet, render};
use crate::process::admin::message::{ChangeAnswer, ChangeRequest, PlanList, RecordChange, RecordConflict};
use crate::record::document::{RecordDocument, RecordKind};

/// Result of `apply`.
#[derive(Debug, Clone, Serialize)]
struct ApplyReport {
    changes: Vec<RecordDifference>,
    dry_run: bool,
    force: Option<ForceReport>,
}

impl ApplyReport {
    fn exit(&self, wait: WaitArgs) -> OperatorExit {
        self.force
            .as_ref()
            .map_or(OperatorExit::Success, |force| force.exit(wait))
    }

    fn text(&self) -> String {
        let mut lines: Vec<String> = self.changes.iter().map(RecordDifference::text).collect();
        match (&self.force, self.changes.len()) {
            (_, 0) => lines.push("nothing to change".to_owned()),
            (Some(force), _) => lines.push(force.text()),
            (None, count) => lines.push(format!("{count} changes would be accepted")),
        }
        lines.join("\n")
    }
}

/// `apply`: one success or one conflict, however many operators race.
pub(super) async fn apply(
    output: &mut OperatorOutput<'_>,
    client: &AdminClient,
    args: &ApplyArgs,
) -> OperatorResult {
    let accepted = AcceptedRecords::read(client).await?;
    let (documents, _) = records::read_files(output, &args.files, &accepted.documents())?;
    let report = send(output, client, args, &accepted, &documents).await?;
    let exit = report.exit(args.wait);
    output.show(&report, ApplyReport::text)?;
    Ok(exit)
}

/// `plan submit`: the files must hold plans only.
pub(super) async fn submit_plan(
    output: &mut OperatorOutput<'_>,
    client: &AdminClient,
    args: &ApplyArgs,
) -> OperatorResult {
    let accepted = AcceptedRecords::read(client).await?;
    let (documents, _) = records::read_files(output, &args.files, &accepted.documents())?;
    if let Some(other) = documents
        .iter()
        .find(|document| document.kind != RecordKind::Plan)
    {
        let message = format!(
            "{} is not a plan; use `figloft apply` for other records",
            other.name()
        );
        return Err(OperatorFailure::usage(message));
    }
    let report = send(output, client, args, &accepted, &documents).await?;
    let exit = report.exit(args.wait);
    if output.format == OutputFormat::Text {
        output.note(&report.text());
    }
    let client = client.at_coordinator().await?;
    let mut list: PlanList = client.get("/v1/plans").await?;
    let ids: Vec<PlanId> = documents
        .iter()
        .filter_map(|document| document.id.parse().ok())
        .collect();
    list.plans.retain(|plan| ids.contains(&plan.plan));
    output.show(&list, |list| fleet::plans_text(&list.plans))?;
    Ok(exit)
}

async fn send(
    output: &mut OperatorOutput<'_>,
    client: &AdminClient,
    args: &ApplyArgs,
    accepted: &AcceptedRecords,
    documents: &[RecordDocument],
) -> OperatorResult<ApplyReport> {
    let (changes, differences) = plan_changes(args, accepted, documents)?;
    let mut report = ApplyReport {
        changes: differences,
        dry_run: args.dry_run,
        force: None,
    };
    if changes.is_empty() {
        return Ok(report);
    }
    let dry_run = args.dry_run;
    let answer: ChangeAnswer = client
        .post("/v1/changes", &ChangeRequest { changes, dry_run })
        .await?;
    if !dry_run {
        report.force = Some(waiting::wait_in_force(output, client, answer.revision, args.wait).await?);
    }
    Ok(report)
}

/// The changes that make the accepted records equal to the files, each from the revision that was read.
fn plan_changes(
    args: &ApplyArgs,
    accepted: &AcceptedRecords,
    documents: &[RecordDocument],
) -> OperatorResult<(Vec<RecordChange>, Vec<RecordDifference>)> {
    let mut changes = Vec::new();
    let mut differences = Vec::new();
    let mut conflicts = Vec::new();
    for document in documents {
        let stored = accepted.records.get(&document.name());
        let Some(difference) = RecordDifference::of(stored, Some(document)) else {
            continue;
        };
        let expected = stored.map(|stored| stored.changed_at);
        if is_after_base(args.base, expected) {
            conflicts.push(RecordConflict {
                name: document.name(),
                expected: args.base,
                yours: Some(document.clone()),
                accepted: stored.cloned(),
            });
        }
        let document = document.clone();
        changes.push(RecordChange::Put { document, expected });
        differences.push(difference);
    }
    for name in &args.delete {
        let Some(stored) = accepted.records.get(name) else {
            let message = format!("{name} cannot be deleted: it does not exist");
            return Err(OperatorFailure::usage(message));
        };
        if is_after_base(args.base, Some(stored.changed_at)) {
            conflicts.push(RecordConflict {
                name: name.clone(),
                expected: args.base,
                yours: None,
                accepted: Some(stored.clone()),
            });
        }
        let expected = stored.changed_at;
        changes.push(RecordChange::Delete {
            name: name.clone(),
            expected,
        });
        differences.extend(RecordDifference::of(Some(stored), None));
    }
    if conflicts.is_empty() {
        return Ok((changes, differences));
    }
    Err(OperatorFailure::conflicts(conflicts))
}

fn is_after_base(base: Option<Revision>, changed_at: Option<Revision>) -> bool {
    match (base, changed_at) {
        (Some(base), Some(changed_at)) => changed_at > base,
        _ => false,
    }
}

/// Text of a failure, for tests and the program.
pub fn failure_text(failure: &OperatorFailure) -> String {
    render::failure(failure)
}
