//! Commands for plans, keys, pools, instances, teams, queues, sessions, the audit trail and explanations.

use std::path::Path;
use std::sync::Arc;

use serde::Serialize;

use crate::cli::operator_args::{AuditArgs, InstanceArgs, OutputFormat, PlanArgs, WaitArgs};
use crate::model::id::{KeyId, PlanId, PoolId, QueueId, SessionId, TeamId};
use crate::operator::client::AdminClient;
use crate::operator::outcome::{OperatorExit, OperatorFailure, OperatorResult};
use crate::operator::output::OperatorOutput;
use crate::operator::render;
use crate::operator::waiting::{self, ForceReport};
use crate::process::admin::message::{
    AuditPage, ChangeAnswer, ExplainAnswer, ExplainTopic, ForgetAnswer, InstanceAddition, InstanceList,
    InstanceView, KeyAnswer, KeyRequest, NewInstance, PlanList, PlanView, PoolView, QueueView, ReasonBody,
    SessionList, SessionView, StatusView, TeamView,
};

/// Result of `key give`.
#[derive(Debug, Clone, Serialize)]
struct KeyReport {
    #[serde(flatten)]
    key: KeyAnswer,
    force: ForceReport,
}

/// `plan show`.
pub(super) async fn show_plans(
    output: &mut OperatorOutput<'_>,
    client: &AdminClient,
    id: Option<&PlanId>,
) -> OperatorResult {
    let client = client.at_coordinator().await?;
    let plans = match id {
        Some(id) => vec![client.get::<PlanView>(&format!("/v1/plans/{id}")).await?],
        None => client.get::<PlanList>("/v1/plans").await?.plans,
    };
    output.show(&plans, |plans| plans_text(plans))?;
    Ok(OperatorExit::Success)
}

/// Plans with their waves as text.
pub fn plans_text(plans: &[PlanView]) -> String {
    if plans.is_empty() {
        return "no plans".to_owned();
    }
    let mut lines = Vec::new();
    for plan in plans {
        lines.push(plan_head(plan));
        for (index, wave) in plan.waves.iter().enumerate() {
            let number = index + 1;
            lines.push(format!(
                "  wave {number}: {} {}, {} of {} done",
                wave.pool, wave.action, wave.done, wave.instances
            ));
        }
        let reasons = plan.forecast.iter().flat_map(|forecast| &forecast.reasons);
        lines.extend(reasons.map(|reason| format!("  waits: {reason}")));
    }
    lines.join("\n")
}

/// A plan's phase, progress and forecast as one line.
pub fn plan_head(plan: &PlanView) -> String {
    let done: u32 = plan.waves.iter().map(|wave| wave.done).sum();
    let all: u32 = plan.waves.iter().map(|wave| wave.instances).sum();
    let forecast = match &plan.forecast {
        Some(forecast) => match forecast.remaining_ms {
            Some(millis) => format!(", about {} left", render::duration(millis)),
            None => ", cannot finish as things are".to_owned(),
        },
        None => String::new(),
    };
    format!(
        "plan {} {}: {done} of {all} instances done{forecast}",
        plan.plan, plan.phase
    )
}

/// `plan pause`, `resume` and `abort`.
pub(super) async fn act_on_plan(
    output: &mut OperatorOutput<'_>,
    client: &AdminClient,
    action: &str,
    args: &PlanArgs,
) -> OperatorResult {
    let reason = args.reason.clone();
    let target = format!("/v1/plans/{}/{action}", args.id);
    let answer: ChangeAnswer = client.post(&target, &ReasonBody { reason }).await?;
    output.show(&answer, |answer| {
        format!(
            "plan {}: {action} accepted at revision {}",
            args.id, answer.revision
        )
    })?;
    Ok(OperatorExit::Success)
}

/// `key give`.
pub(super) async fn give_key(
    output: &mut OperatorOutput<'_>,
    client: &AdminClient,
    request: &KeyRequest,
    wait: WaitArgs,
) -> OperatorResult {
    let key: KeyAnswer = client.post("/v1/keys", request).await?;
    if output.format == OutputFormat::Text {
        // Shown before the wait, so that an interrupted wait does not lose the secret.
        output.write_raw(format!("key {} (shown once): {}\n", key.id, key.key).as_bytes())?;
    }
    let force = waiting::wait_in_force(output, client, key.revision, wait).await?;
    let exit = force.exit(wait);
    output.show(&KeyReport { key, force }, |report| report.force.text())?;
    Ok(exit)
}

/// `key withdraw`.
pub(super) async fn withdraw_key(
    output: &mut OperatorOutput<'_>,
    client: &AdminClient,
    id: &KeyId,
    wait: WaitArgs,
) -> OperatorResult {
    let answer: ChangeAnswer = client
        .post(&format!("/v1/keys/{id}/withdraw"), &ReasonBody::default())
        .await?;
    let force = waiting::wait_in_force(output, client, answer.revision, wait).await?;
    let exit = force.exit(wait);
    output.show(&force, |force| format!("key {id} withdrawn: {}", force.text()))?;
    Ok(exit)
}

/// `pool`.
pub(super) async fn show_pools(
    output: &mut OperatorOutput<'_>,
    client: &AdminClient,
    id: Option<&PoolId>,
) -> OperatorResult {
    let status: StatusView = client.get("/v1/status").await?;
    let pools: Vec<PoolView> = status
        .pools
        .into_iter()
        .filter(|pool| id.is_none_or(|id| pool.pool == *id))
        .collect();
    let Some(id) = id else {
        output.show(&pools, |pools| pools_text(pools))?;
        return Ok(OperatorExit::Success);
    };
    require_found("pool", id.as_str(), !pools.is_empty())?;
    show_instances(output, client, Some(id)).await
}

/// Pools as a table.
pub fn pools_text(pools: &[PoolView]) -> String {
    let rows = pools.iter().map(|pool| {
        let phases: Vec<String> = pool
            .phases
            .iter()
            .map(|(phase, count)| format!("{count} {phase}"))
            .collect();
        let spare = if pool.spare { "spare" } else { "" };
        vec![
            pool.pool.to_string(),
            render::or_dash(pool.service.as_ref()),
            pool.instances.to_string(),
            phases.join(", "),
            spare.to_owned(),
        ]
    });
    render::table(
        &["POOL", "SERVICE", "INSTANCES", "PHASES", ""],
        &rows.collect::<Vec<_>>(),
    )
}

/// `instance list`.
pub(super) async fn show_instances(
    output: &mut OperatorOutput<'_>,
    client: &AdminClient,
    pool: Option<&PoolId>,
) -> OperatorResult {
    let target = pool.map_or_else(
        || "/v1/instances".to_owned(),
        |pool| format!("/v1/instances?pool={pool}"),
    );
    let list: InstanceList = client.get(&target).await?;
    output.show(&list.instances, |instances| instances_text(instances))?;
    Ok(OperatorExit::Success)
}

fn instances_text(instances: &[InstanceView]) -> String {
    let rows = instances.iter().map(|instance| {
        let request = instance
            .request
            .as_ref()
            .map(|request| format!("{}: {}", request.wanted, request.reason));
        vec![
            instance.instance.to_string(),
            instance.pool.to_string(),
            instance.phase.to_string(),
            instance.zone.to_string(),
            instance.rack.to_string(),
            if instance.token.is_some() {
                "taken".to_owned()
            } else {
                "-".to_owned()
            },
            render::or_dash(request),
        ]
    });
    let headers = ["INSTANCE", "POOL", "PHASE", "ZONE", "RACK", "TOKEN", "REQUEST"];
    render::table(&headers, &rows.collect::<Vec<_>>())
}

/// `instance add`.
pub(super) async fn add_instances(
    output: &mut OperatorOutput<'_>,
    client: &AdminClient,
    file: &Path,
) -> OperatorResult {
    let fault = |detail: String| OperatorFailure::usage(format!("{}: {detail}", file.display()));
    let text = std::fs::read_to_string(file).map_err(|e| fault(e.to_string()))?;
    let instances: Vec<NewInstance> = serde_yaml_ng::from_str(&text).map_err(|e| fault(e.to_string()))?;
    let count = instances.len();
    let answer: ChangeAnswer = client
        .post("/v1/instances", &InstanceAddition { instances })
        .await?;
    output.show(&answer, |answer| {
        format!(
            "{count} instances added at revision {}; they serve once they are seen healthy",
            answer.revision
        )
    })?;
    Ok(OperatorExit::Success)
}

/// `instance drain` and `instance return`.
pub(super) async fn act_on_instance(
    output: &mut OperatorOutput<'_>,
    client: &AdminClient,
    action: &str,
    args: &InstanceArgs,
) -> OperatorResult {
    let reason = args.reason.clone();
    let target = format!("/v1/instances/{}/{action}", args.id);
    let answer: ChangeAnswer = client.post(&target, &ReasonBody { reason }).await?;
    output.show(&answer, |answer| {
        format!(
            "{action} of {} requested at revision {}; `figloft explain move {}` shows what it waits for",
            args.id, answer.revision, args.id
        )
    })?;
    Ok(OperatorExit::Success)
}

/// `team`.
pub(super) async fn show_teams(
    output: &mut OperatorOutput<'_>,
    client: &AdminClient,
    id: Option<&TeamId>,
) -> OperatorResult {
    let status: StatusView = client.get("/v1/status").await?;
    let teams: Vec<TeamView> = status
        .teams
        .into_iter()
        .filter(|team| id.is_none_or(|id| team.team == *id))
        .collect();
    if let Some(id) = id {
        require_found("team", id.as_str(), !teams.is_empty())?;
    }
    output.show(&teams, |teams| teams_text(teams))?;
    Ok(OperatorExit::Success)
}

/// Teams as a table.
pub fn teams_text(teams: &[TeamView]) -> String {
    let rows = teams.iter().map(|team| {
        vec![
            team.team.to_string(),
            team.share.to_string(),
            team.limit.to_string(),
            team.granted.to_string(),
            render::or_dash(team.load.map(|load| load.running)),
            render::or_dash(team.load.map(|load| load.waiting)),
            team.keys.len().to_string(),
            team.organisation.to_string(),
        ]
    });
    let headers = [
        "TEAM",
        "SHARE",
        "LIMIT",
        "GRANTED",
        "RUNNING",
        "WAITING",
        "KEYS",
        "ORGANISATION",
    ];
    render::table(&headers, &rows.collect::<Vec<_>>())
}

/// `queue`.
pub(super) async fn show_queues(
    output: &mut OperatorOutput<'_>,
    client: &AdminClient,
    id: Option<&QueueId>,
) -> OperatorResult {
    let status: StatusView = client.get("/v1/status").await?;
    let queues = status
        .queues
        .into_iter()
        .filter(|queue| id.is_none_or(|id| queue.queue == *id));
    let queues: Vec<QueueView> = queues.collect();
    if let Some(id) = id {
        require_found("queue", id.as_str(), !queues.is_empty())?;
    }
    output.show(&queues, |queues| queues_text(queues))?;
    Ok(OperatorExit::Success)
}

/// Queues as a table.
pub fn queues_text(queues: &[QueueView]) -> String {
    let rows = queues.iter().map(|queue| {
        vec![
            queue.queue.to_string(),
            queue.pool.to_string(),
            if queue.open {
                "open".to_owned()
            } else {
                "keyed".to_owned()
            },
            render::or_dash(queue.load.map(|load| load.running)),
            render::or_dash(queue.load.map(|load| load.waiting)),
            queue.max_waiting.to_string(),
        ]
    });
    render::table(
        &["QUEUE", "POOL", "ACCESS", "RUNNING", "WAITING", "MAX WAITING"],
        &rows.collect::<Vec<_>>(),
    )
}

/// `session list`.
pub(super) async fn show_sessions(output: &mut OperatorOutput<'_>, client: &AdminClient) -> OperatorResult {
    let list: SessionList = client.get("/v1/sessions").await?;
    output.show(&list, |list| {
        let head = format!(
            "revision {}, coordinator {}",
            list.revision,
            render::or_dash(list.coordinator.as_ref())
        );
        format!("{head}\n{}", sessions_text(&list.sessions))
    })?;
    Ok(OperatorExit::Success)
}

/// Sessions as a table.
pub fn sessions_text(sessions: &[SessionView]) -> String {
    let rows = sessions.iter().map(|session| {
        let link = match (session.is_self, session.is_connected) {
            (true, _) => "self",
            (false, true) => "open",
            (false, false) => "closed",
        };
        vec![
            session.session.to_string(),
            session.zone.to_string(),
            session.address.to_string(),
            session.revision.to_string(),
            session.state.to_string(),
            link.to_owned(),
            render::or_dash(session.confirmed_ms_ago.map(render::duration)),
        ]
    });
    let headers = [
        "SESSION", "ZONE", "ADDRESS", "REVISION", "STATE", "LINK", "VIEW AGE",
    ];
    render::table(&headers, &rows.collect::<Vec<_>>())
}

/// `session forget`.
pub(super) async fn forget_session(
    output: &mut OperatorOutput<'_>,
    client: &AdminClient,
    id: &SessionId,
) -> OperatorResult {
    let answer: ForgetAnswer = client
        .post(&format!("/v1/sessions/{id}/forget"), &ReasonBody::default())
        .await?;
    output.show(&answer, |answer| match answer.revision {
        Some(revision) => format!("session {id} is forgotten at revision {revision}"),
        None => format!(
            "session {id} is forgotten by the answering daemon only, because the store is silent: repeat the command \
             with --admin for each daemon"
        ),
    })?;
    Ok(OperatorExit::Success)
}

/// `audit`.
pub(super) async fn show_audit(
    output: &mut OperatorOutput<'_>,
    client: &AdminClient,
    args: &AuditArgs,
) -> OperatorResult {
    let mut target = format!("/v1/audit?limit={}", args.limit);
    let filters = [
        ("before", args.before.map(|before| before.to_string())),
        ("by", args.by.as_ref().map(ToString::to_string)),
        ("record", args.record.as_ref().map(ToString::to_string)),
    ];
    for (field, value) in filters {
        if let Some(value) = value {
            target = format!("{target}&{field}={value}");
        }
    }
    let page: AuditPage = client.get(&target).await?;
    output.show(&page, |page| {
        let rows: Vec<Vec<String>> = page.entries.iter().map(render::entry).collect();
        let text = render::table(&["REVISION", "TIME", "WHO", "WHAT"], &rows);
        match page.next_before {
            Some(next) => format!(
                "{text}
more: figloft audit --before {next}"
            ),
            None => text,
        }
    })?;
    Ok(OperatorExit::Success)
}

/// `explain`.
pub(super) async fn explain(
    output: &mut OperatorOutput<'_>,
    client: &AdminClient,
    what: ExplainTopic,
    id: &Arc<str>,
) -> OperatorResult {
    let id = render::encode(id);
    // Nodes on the production platform have no coordinator and explain jobs themselves.
    let client = client.at_coordinator().await.unwrap_or_else(|_| client.clone());
    let answer: ExplainAnswer = client.get(&format!("/v1/explain/{what}/{id}")).await?;
    output.show(&answer, |answer| {
        let mut lines = vec![format!(
            "{} {} at revision {}:",
            answer.topic, answer.id, answer.revision
        )];
        lines.extend(answer.facts.iter().map(|fact| format!("  {fact}")));
        lines.join("\n")
    })?;
    Ok(OperatorExit::Success)
}

fn require_found(what: &str, id: &str, is_found: bool) -> OperatorResult<()> {
    if is_found {
        return Ok(());
    }
    let message = format!("{what} {id} does not exist");
    Err(OperatorFailure::new(
        OperatorExit::Refused,
        crate::error::ErrorKind::NotFound,
        message,
    ))
}
