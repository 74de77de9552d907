//! Plans operators' requests for single instances, within the availability budgets.

use std::sync::Arc;

use crate::journal::entry::EntryChange;
use crate::journal::fleet_state::FleetState;
use crate::journal::member::{MemberPhase, PoolMember, WantedPhase};
use crate::model::id::InstanceId;
use crate::model::unix_time::UnixMillis;
use crate::policy::budget_ledger::BudgetLedger;
use crate::policy::move_planner::PlannerStep;
use crate::policy::move_progress;
use crate::policy::plan_scope;
use crate::policy::wait_reason::WaitReason;
use crate::policy::wave_starter;

/// Adds the next changes for each request, or the reason why it waits.
pub fn plan_requests(
    state: &FleetState,
    ledger: &mut BudgetLedger,
    wall_time: UnixMillis,
    step: &mut PlannerStep,
) {
    for (instance, request) in &state.instance_requests {
        let Some(member) = state.members.get(instance) else {
            continue;
        };
        let result = match request.wanted {
            WantedPhase::Drained => start_drain(state, ledger, wall_time, instance, member),
            WantedPhase::Serving => Ok(return_to_service(state, instance, member)),
        };
        match result {
            Ok(changes) => step.changes.extend(changes),
            Err(reason) => {
                let wait = move_progress::instance_wait(state, instance, member, reason);
                step.waits.push(wait);
            }
        }
    }
}

fn start_drain(
    state: &FleetState,
    ledger: &mut BudgetLedger,
    wall_time: UnixMillis,
    instance: &InstanceId,
    member: &PoolMember,
) -> Result<Vec<EntryChange>, WaitReason> {
    let token = state.tokens.get(instance);
    if token.is_some_and(|token| token.plan.is_none()) && !state.loans.contains_key(instance) {
        return Ok(Vec::new());
    }
    if token.is_some() || !plan_scope::is_startable(member) {
        return Err(WaitReason::BusyElsewhere);
    }
    ledger.reserve(state, instance).map_err(WaitReason::Budget)?;
    let changes = wave_starter::drain_changes(state, None, instance, member, wall_time, "operator's request");
    Ok(changes.into())
}

/// Returns an instance that an operator had drained, or one that is quarantined. An instance that is out of
/// service for a plan or a loan returns without a request.
fn return_to_service(state: &FleetState, instance: &InstanceId, member: &PoolMember) -> Vec<EntryChange> {
    let is_held = match state.tokens.get(instance) {
        Some(token) => token.plan.is_none() && !state.loans.contains_key(instance),
        None => member.phase == MemberPhase::Quarantined,
    };
    let is_out = matches!(
        member.phase,
        MemberPhase::Draining | MemberPhase::Drained | MemberPhase::Quarantined
    );
    if !is_held || !is_out {
        return Vec::new();
    }
    vec![EntryChange::SetPhase {
        instance: instance.clone(),
        phase: MemberPhase::Joining,
        reason: Arc::from("operator's request"),
    }]
}
