//! `status`, once or repeated with progress and forecast.

use std::time::Duration;

use crate::cli::operator_args::StatusArgs;
use crate::operator::client::AdminClient;
use crate::operator::outcome::{OperatorExit, OperatorResult};
use crate::operator::output::OperatorOutput;
use crate::operator::{fleet, render};
use crate::process::admin::message::{SessionState, StatusView};

/// Shortest time between two reports, in milliseconds; a daemon answers a report in a few.
const MIN_INTERVAL_MS: u64 = 100;

/// `status`.
pub(super) async fn show(
    output: &mut OperatorOutput<'_>,
    client: &AdminClient,
    args: StatusArgs,
) -> OperatorResult {
    let client = client.at_coordinator().await?;
    if !args.watch {
        let status: StatusView = client.get("/v1/status").await?;
        output.show(&status, full_text)?;
        return Ok(OperatorExit::Success);
    }
    let interval = Duration::from_millis(args.interval_ms.max(MIN_INTERVAL_MS));
    let mut left = args.times;
    loop {
        let status: StatusView = client.get("/v1/status").await?;
        output.show(&status, short_text)?;
        left = left.map(|left| left.saturating_sub(1));
        if left == Some(0) {
            return Ok(OperatorExit::Success);
        }
        tokio::time::sleep(interval).await;
    }
}

fn full_text(status: &StatusView) -> String {
    let mut parts = vec![head_text(status)];
    if !status.plans.is_empty() {
        parts.push(fleet::plans_text(&status.plans));
    }
    parts.push(services_text(status));
    parts.push(fleet::pools_text(&status.pools));
    parts.push(fleet::teams_text(&status.teams));
    parts.push(fleet::queues_text(&status.queues));
    parts.push(fleet::sessions_text(&status.sessions));
    let requests = status.requests.iter().map(|(instance, request)| {
        format!(
            "request: {instance} {} since revision {}: {}",
            request.wanted, request.requested_at, request.reason
        )
    });
    let unread = status
        .unread
        .iter()
        .map(|record| format!("unread: {}: {}", record.name, record.reason));
    let rest: Vec<String> = requests.chain(unread).collect();
    if !rest.is_empty() {
        parts.push(rest.join("\n"));
    }
    parts.join("\n\n")
}

/// A report of `--watch`: plans, their forecast and what they wait for, and budgets in use.
fn short_text(status: &StatusView) -> String {
    let mut lines = vec![head_text(status)];
    for plan in &status.plans {
        lines.push(format!("  {}", fleet::plan_head(plan)));
        let reasons = plan.forecast.iter().flat_map(|forecast| &forecast.reasons);
        lines.extend(reasons.map(|reason| format!("    waits: {reason}")));
    }
    let services = status.services.iter().filter(|service| service.unavailable > 0);
    lines.extend(services.map(|service| {
        format!(
            "  service {}: {} unavailable of {} that may be",
            service.service, service.unavailable, service.max_unavailable
        )
    }));
    lines.join("\n")
}

fn head_text(status: &StatusView) -> String {
    let behind = status
        .sessions
        .iter()
        .filter(|session| session.state == SessionState::Behind)
        .count();
    format!(
        "revision {}, {} sessions ({behind} behind), coordinator {}",
        status.revision,
        status.sessions.len(),
        render::or_dash(status.coordinator.as_ref())
    )
}

fn services_text(status: &StatusView) -> String {
    let rows = status.services.iter().map(|service| {
        vec![
            service.service.to_string(),
            service.pool.to_string(),
            service.instances.to_string(),
            service.unavailable.to_string(),
            service.max_unavailable.to_string(),
        ]
    });
    render::table(
        &["SERVICE", "POOL", "INSTANCES", "UNAVAILABLE", "BUDGET"],
        &rows.collect::<Vec<_>>(),
    )
}
