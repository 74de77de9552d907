//! Derives the purpose for which an instance is out of service, from the journal state alone.

use crate::journal::fleet_state::FleetState;
use crate::journal::member::{InstanceLoan, MemberPhase, PlanPhase, PoolMember};
use crate::model::id::{InstanceId, PlanId, PoolId};
use crate::record::plan::{PlanWave, WaveAction};

/// What happens to an instance once it is drained.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum MoveIntent {
    /// The instance reboots and returns to its pool.
    Reboot,
    /// The instance joins another pool.
    Join(PoolId),
    /// The instance returns to its pool at once, because its move was cancelled.
    Return,
    /// The instance stays drained until an operator returns it to service.
    AwaitOperator,
}

/// Plan and index of the wave that has started an instance and not yet completed it.
pub fn current_wave<'a>(state: &'a FleetState, instance: &InstanceId) -> Option<(&'a PlanId, u32)> {
    let plan = state.tokens.get(instance)?.plan.as_ref()?;
    let wave = state.plans.get(plan)?.started.get(instance)?;
    Some((plan, *wave))
}

/// The intent for an instance that has a budget token or a loan.
pub fn intent_of(state: &FleetState, instance: &InstanceId, member: &PoolMember) -> MoveIntent {
    if let Some(loan) = state.loans.get(instance)
        && loan.to != member.pool
    {
        return loan_intent(state, loan, member);
    }
    let Some(plan) = state.tokens.get(instance).and_then(|token| token.plan.as_ref()) else {
        return MoveIntent::AwaitOperator;
    };
    let Some((_, wave)) = current_wave(state, instance) else {
        return MoveIntent::Return;
    };
    let record = state.records.plans.get(plan);
    let Some(wave) = record.and_then(|record| record.waves.get(wave as usize)) else {
        return MoveIntent::Return;
    };
    let is_aborted = state
        .plans
        .get(plan)
        .is_none_or(|p| p.phase == PlanPhase::Aborted);
    wave_intent(state, wave, member, is_aborted)
}

fn loan_intent(state: &FleetState, loan: &InstanceLoan, member: &PoolMember) -> MoveIntent {
    let is_plan_ended = match &loan.plan {
        Some(plan) => is_plan_ended(state, plan),
        None => false,
    };
    let is_outward = loan.to != loan.home;
    if is_plan_ended && is_outward && member.pool == loan.home {
        return MoveIntent::Return;
    }
    MoveIntent::Join(if is_plan_ended {
        loan.home.clone()
    } else {
        loan.to.clone()
    })
}

fn wave_intent(state: &FleetState, wave: &PlanWave, member: &PoolMember, is_aborted: bool) -> MoveIntent {
    let is_draining = member.phase == MemberPhase::Draining;
    match &wave.action {
        WaveAction::Move { to } if !state.records.pools.contains_key(to) => MoveIntent::Return,
        WaveAction::Move { .. } if is_aborted => MoveIntent::Return,
        WaveAction::Move { to } => MoveIntent::Join(to.clone()),
        WaveAction::Reboot if is_aborted && is_draining => MoveIntent::Return,
        WaveAction::Reboot => MoveIntent::Reboot,
    }
}

/// Whether a plan is complete, aborted or deleted, so that it no longer needs its buffer.
pub fn is_plan_ended(state: &FleetState, plan: &PlanId) -> bool {
    let progress = state.plans.get(plan);
    let has_record = state.records.plans.contains_key(plan);
    let is_ended = |phase| matches!(phase, PlanPhase::Aborted | PlanPhase::Complete);
    !has_record || progress.is_none_or(|progress| is_ended(progress.phase))
}
