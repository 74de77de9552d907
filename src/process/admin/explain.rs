//! Explanations: why an instance, a job, a request or a team is as it is.

use std::sync::Arc;

use crate::error::{Error, ErrorKind, Result};
use crate::journal::fleet_state::FleetState;
use crate::journal::member::{PlanPhase, PoolMember};
use crate::model::id::{InstanceId, JobId, RequestId, TeamId};
use crate::process::admin::api::{self, AdminAnswer};
use crate::process::admin::message::{ExplainAnswer, ExplainTopic};
use crate::process::admin::source::AdminSources;
use crate::process::admin::status;
use crate::record::plan::PlanWave;

/// Explains one thing.
pub(super) async fn show(sources: &AdminSources, what: &str, id: &str) -> Result<AdminAnswer> {
    let Ok(topic) = what.parse::<ExplainTopic>() else {
        return Err(Error::new(
            ErrorKind::BadRequest,
            "explain move, job, request or team",
        ));
    };
    let state = sources.version.current();
    let facts = match topic {
        ExplainTopic::Move => explain_move(sources, &state, &id.parse()?)?,
        ExplainTopic::Team => explain_team(sources, &state, &id.parse()?)?,
        ExplainTopic::Job => explain_job(sources, &state, id.parse()?).await?,
        ExplainTopic::Request => explain_request(sources, id.parse()?).await?,
    };
    AdminAnswer::ok(&ExplainAnswer {
        topic,
        id: Arc::from(id),
        revision: state.revision,
        facts: facts.into_iter().collect(),
    })
}

fn explain_move(sources: &AdminSources, state: &FleetState, id: &InstanceId) -> Result<Vec<Arc<str>>> {
    let member = state
        .members
        .get(id)
        .ok_or_else(|| api::not_found("instance", id.as_str()))?;
    let mut facts = vec![format!(
        "is {} in pool {} since revision {} (zone {}, rack {})",
        member.phase, member.pool, member.phase_since, member.place.zone, member.place.rack
    )];
    if let Some(request) = state.instance_requests.get(id) {
        facts.push(format!(
            "an operator wants it {} since revision {}: {}",
            request.wanted, request.requested_at, request.reason
        ));
    }
    if let Some(token) = state.tokens.get(id) {
        let plan = token
            .plan
            .as_ref()
            .map_or("an operator's drain".to_owned(), |plan| format!("plan {plan}"));
        facts.push(format!("holds a token of the availability budget for {plan}"));
    }
    if let Some(service) = state.service_of_pool(&member.pool) {
        let view = status::service_view(state, service);
        facts.push(format!(
            "service {}: {} of {} instances unavailable, {} may be",
            view.service, view.unavailable, view.instances, view.max_unavailable
        ));
        if !state.tokens.contains_key(id) && view.unavailable >= view.max_unavailable {
            facts.push(format!(
                "no planned stop starts now: the budget of {} is used up",
                view.service
            ));
        }
    }
    let waits = (sources.waits)(id).unwrap_or_default();
    facts.extend(waits.iter().map(|reason| format!("waits: {reason}")));
    facts.extend(plan_facts(sources, state, id, member));
    Ok(facts.into_iter().map(Arc::from).collect())
}

fn plan_facts(
    sources: &AdminSources,
    state: &FleetState,
    id: &InstanceId,
    member: &PoolMember,
) -> Vec<String> {
    let mut facts = Vec::new();
    for (plan, progress) in &state.plans {
        let waves: &[PlanWave] = state.records.plans.get(plan).map_or(&[], |record| &record.waves);
        for (index, wave) in waves.iter().enumerate() {
            let number = index + 1;
            let is_done = progress.done.get(index).is_some_and(|done| done.contains(id));
            let in_zone = wave.zones.is_empty() || wave.zones.contains(&member.place.zone);
            if is_done {
                facts.push(format!(
                    "plan {plan} ({}): wave {number} is done with it",
                    progress.phase
                ));
            } else if wave.pool == member.pool && in_zone && progress.phase != PlanPhase::Complete {
                facts.push(format!(
                    "plan {plan} ({}): may go in wave {number}",
                    progress.phase
                ));
            }
        }
        if progress.phase == PlanPhase::Running
            && let Some(forecast) = (sources.forecast)(plan)
        {
            facts.extend(
                forecast
                    .reasons
                    .iter()
                    .map(|reason| format!("plan {plan}: {reason}")),
            );
        }
    }
    facts
}

fn explain_team(sources: &AdminSources, state: &FleetState, id: &TeamId) -> Result<Vec<Arc<str>>> {
    let team = state
        .records
        .teams
        .get(id)
        .ok_or_else(|| api::not_found("team", id.as_str()))?;
    let view = status::team_view(sources, state, team);
    let total: u64 = state
        .records
        .teams
        .values()
        .map(|team| u64::from(team.share.get()))
        .sum();
    let mut facts = vec![
        format!(
            "organisation {}, share {} of {total}, limit {}",
            view.organisation, view.share, view.limit
        ),
        format!("{} of {} slots are granted to sessions", view.granted, view.limit),
    ];
    for (session, slots) in &view.allowances {
        facts.push(format!("session {session} may run {slots}"));
    }
    match view.load {
        Some(load) => {
            facts.push(format!("{} running, {} waiting", load.running, load.waiting));
            if let Some(entitled) = load.entitled {
                facts.push(format!("entitled to {entitled:.1} slots now"));
            }
        }
        None => facts.push("its load is not known to this daemon".to_owned()),
    }
    facts.push(format!("{} keys in use", view.keys.len()));
    Ok(facts.into_iter().map(Arc::from).collect())
}

async fn explain_job(sources: &AdminSources, state: &FleetState, id: JobId) -> Result<Vec<Arc<str>>> {
    let mut facts = (sources.explain_job)(id.clone()).await;
    if let Some(failed_on) = state.rejected_jobs.get(&id) {
        let instances: Vec<&str> = failed_on.iter().map(InstanceId::as_str).collect();
        let fact = format!(
            "was rejected: it failed on {} while they ran other jobs",
            instances.join(", ")
        );
        facts.push(Arc::from(fact));
    }
    if facts.is_empty() {
        return Err(api::not_found("job", id.as_str()));
    }
    Ok(facts)
}

async fn explain_request(sources: &AdminSources, id: RequestId) -> Result<Vec<Arc<str>>> {
    let facts = (sources.explain_request)(id.clone()).await;
    if facts.is_empty() {
        return Err(api::not_found("request", id.as_str()));
    }
    Ok(facts)
}
