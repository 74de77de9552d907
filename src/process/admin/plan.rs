//! Plans: progress, pause, resume and abort. Plans are submitted as records.

use std::sync::Arc;

use crate::error::{Error, ErrorKind, Result};
use crate::journal::entry::{EntryActor, EntryChange};
use crate::journal::fleet_state::FleetState;
use crate::journal::member::PlanPhase;
use crate::model::amount::InstanceCount;
use crate::model::id::PlanId;
use crate::process::admin::api::{self, AdminAnswer};
use crate::process::admin::message::{ChangeAnswer, PlanList, PlanView, ReasonBody, WaveView};
use crate::process::admin::source::AdminSources;
use crate::record::plan::{PlanWave, WaveAction};

/// Longest reason, in bytes.
pub(super) const MAX_REASON_LENGTH: usize = 500;

/// Lists the plans.
pub(super) fn list(sources: &AdminSources) -> Result<AdminAnswer> {
    let state = sources.version.current();
    AdminAnswer::ok(&PlanList {
        revision: state.revision,
        plans: views(sources, &state),
    })
}

/// Shows one plan.
pub(super) fn show(sources: &AdminSources, id: &str) -> Result<AdminAnswer> {
    let id: PlanId = id.parse()?;
    let state = sources.version.current();
    let view = view(sources, &state, &id).ok_or_else(|| api::not_found("plan", id.as_str()))?;
    AdminAnswer::ok(&view)
}

/// Views of all plans.
pub(super) fn views(sources: &AdminSources, state: &FleetState) -> Vec<PlanView> {
    state
        .plans
        .keys()
        .filter_map(|id| view(sources, state, id))
        .collect()
}

fn view(sources: &AdminSources, state: &FleetState, id: &PlanId) -> Option<PlanView> {
    let progress = state.plans.get(id)?;
    let waves: &[PlanWave] = state.records.plans.get(id).map_or(&[], |record| &record.waves);
    let waves = waves.iter().enumerate().map(|(index, wave)| {
        let done = progress.done.get(index).map_or(0, |done| done.len() as u32);
        wave_view(state, wave, done)
    });
    Some(PlanView {
        plan: id.clone(),
        phase: progress.phase,
        waves: waves.collect(),
        forecast: (sources.forecast)(id),
    })
}

fn wave_view(state: &FleetState, wave: &PlanWave, done: u32) -> WaveView {
    let in_zone = |zone| wave.zones.is_empty() || wave.zones.contains(zone);
    let members = state
        .members
        .values()
        .filter(|member| member.pool == wave.pool && in_zone(&member.place.zone));
    let members = members.count() as u32;
    // Instances that a move wave is done with have left the pool.
    let candidates = match wave.action {
        WaveAction::Move { .. } => members + done,
        WaveAction::Reboot => members,
    };
    let action = match &wave.action {
        WaveAction::Move { to } => format!("move to {to}"),
        WaveAction::Reboot => "reboot".to_owned(),
    };
    WaveView {
        pool: wave.pool.clone(),
        action: Arc::from(action),
        instances: wave.count.map_or(candidates, InstanceCount::get),
        done,
    }
}

/// Pauses, resumes or aborts a plan.
pub(super) async fn act(
    sources: &AdminSources,
    actor: EntryActor,
    id: &str,
    action: &str,
    body: ReasonBody,
) -> Result<AdminAnswer> {
    let plan: PlanId = id.parse()?;
    let (phase, from): (PlanPhase, &[PlanPhase]) = match action {
        "pause" => (PlanPhase::Paused, &[PlanPhase::Running]),
        "resume" => (PlanPhase::Running, &[PlanPhase::Paused]),
        "abort" => (PlanPhase::Aborted, &[PlanPhase::Running, PlanPhase::Paused]),
        _ => return Err(api::not_found("plan action", action)),
    };
    let reason = reason(body, &format!("operator's {action}"))?;
    let builder = move |state: &FleetState| {
        let progress = state
            .plans
            .get(&plan)
            .ok_or_else(|| api::not_found("plan", plan.as_str()))?;
        if !from.contains(&progress.phase) {
            let message = format!("plan {plan} is {} and cannot become {phase}", progress.phase);
            return Err(Error::new(ErrorKind::Conflict, message));
        }
        Ok(vec![EntryChange::SetPlanPhase {
            plan: plan.clone(),
            phase,
            reason: Arc::clone(&reason),
        }])
    };
    let revision = (sources.append)(actor, Box::new(builder)).await?;
    let warnings = Vec::new();
    AdminAnswer::ok(&ChangeAnswer { revision, warnings })
}

/// The operator's reason, or the given one.
pub(super) fn reason(body: ReasonBody, default: &str) -> Result<Arc<str>> {
    let reason = body.reason.unwrap_or_else(|| Arc::from(default));
    if reason.len() > MAX_REASON_LENGTH {
        let message = format!("the reason has {} bytes, above {MAX_REASON_LENGTH}", reason.len());
        return Err(Error::new(ErrorKind::TooLarge, message));
    }
    Ok(reason)
}
