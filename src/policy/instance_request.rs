//! Carries out operators' requests for single instances under the availability budgets.

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
use crate::policy::wave_start;

/// Adds the next change of each request, or the reason why it waits.
pub fn carry_out(state: &FleetState, ledger: &mut BudgetLedger, wall: UnixMillis, step: &mut PlannerStep) {
    for (instance, request) in &state.instance_requests {
        let Some(member) = state.members.get(instance) else {
            continue;
        };
        let result = match request.wanted {
            WantedPhase::Drained => drain(state, ledger, wall, instance, member),
            WantedPhase::Serving => Ok(give_back(state, instance, member)),
        };
        match result {
            Ok(changes) => step.changes.extend(changes),
            Err(reason) => {
                let wait = move_progress::wait_of(state, instance, member, reason);
                step.waits.push(wait);
            }
        }
    }
}

fn drain(
    state: &FleetState,
    ledger: &mut BudgetLedger,
    wall: UnixMillis,
    instance: &InstanceId,
    member: &PoolMember,
) -> Result<Vec<EntryChange>, WaitReason> {
    let token = state.tokens.get(instance);
    if token.is_some_and(|token| token.plan.is_none()) && !state.loans.contains_key(instance) {
        return Ok(Vec::new());
    }
    if token.is_some() || !plan_scope::can_start(member) {
        return Err(WaitReason::BusyElsewhere);
    }
    ledger.take(state, instance).map_err(WaitReason::Budget)?;
    let changes = wave_start::take_out(state, None, instance, member, wall, "operator's request");
    Ok(changes.into())
}

/// Returns an instance that an operator had drained, or one that is quarantined. An instance under way for a
/// plan or a loan returns by itself.
fn give_back(state: &FleetState, instance: &InstanceId, member: &PoolMember) -> Vec<EntryChange> {
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
