//! Advances moves in progress: the next journal changes of instances that are out of service.

use std::sync::Arc;

use crate::journal::entry::EntryChange;
use crate::journal::fleet_state::FleetState;
use crate::journal::member::{MemberPhase, PoolMember};
use crate::model::id::{InstanceId, PoolId};
use crate::policy::move_intent::{self, MoveIntent};
use crate::policy::observation::FleetObservation;
use crate::policy::wait_reason::{PlanWait, WaitReason};
use crate::record::plan::WaveAction;

/// The next changes of one instance; empty if it is in service or quarantined.
///
/// # Errors
/// The reason why the instance waits.
pub fn advance(
    state: &FleetState,
    observed: &FleetObservation,
    instance: &InstanceId,
    member: &PoolMember,
) -> Result<Vec<EntryChange>, WaitReason> {
    match member.phase {
        MemberPhase::Draining => advance_draining(state, observed, instance, member),
        MemberPhase::Drained => advance_drained(state, observed, instance, member),
        MemberPhase::Joining => advance_joining(state, observed, instance, member),
        MemberPhase::Serving | MemberPhase::Quarantined => Ok(Vec::new()),
    }
}

/// Describes why an instance waits, with its plan and wave if it belongs to one.
pub fn instance_wait(
    state: &FleetState,
    instance: &InstanceId,
    member: &PoolMember,
    reason: WaitReason,
) -> PlanWait {
    let wave = move_intent::current_wave(state, instance);
    PlanWait {
        plan: wave.map(|(plan, _)| plan.clone()),
        wave: wave.map(|(_, wave)| wave),
        pool: member.pool.clone(),
        instance: Some(instance.clone()),
        reason,
    }
}

fn set_phase(instance: &InstanceId, phase: MemberPhase, reason: &str) -> EntryChange {
    EntryChange::SetPhase {
        instance: instance.clone(),
        phase,
        reason: Arc::from(reason),
    }
}

fn advance_draining(
    state: &FleetState,
    observed: &FleetObservation,
    instance: &InstanceId,
    member: &PoolMember,
) -> Result<Vec<EntryChange>, WaitReason> {
    let intent = move_intent::intent_of(state, instance, member);
    if intent == MoveIntent::Return {
        return Ok(cancel_move(state, instance));
    }
    if !observed.idle.contains(instance) {
        return Err(WaitReason::WorkRunning);
    }
    let mut changes = vec![set_phase(instance, MemberPhase::Drained, "no work runs")];
    if let MoveIntent::Join(to) = intent {
        changes.extend(join(state, instance, member, &to));
    }
    Ok(changes)
}

/// Returns an instance to service in its present pool and ends a loan that has not started.
fn cancel_move(state: &FleetState, instance: &InstanceId) -> Vec<EntryChange> {
    let mut changes = vec![set_phase(instance, MemberPhase::Joining, "the plan has ended")];
    if state.loans.contains_key(instance) {
        changes.push(EntryChange::EndLoan {
            instance: instance.clone(),
        });
    }
    changes
}

fn join(state: &FleetState, instance: &InstanceId, member: &PoolMember, to: &PoolId) -> Vec<EntryChange> {
    let mut changes = vec![EntryChange::JoinPool {
        instance: instance.clone(),
        pool: to.clone(),
        place: member.place.clone(),
    }];
    if state.loans.get(instance).is_some_and(|loan| loan.home == *to) {
        changes.push(EntryChange::EndLoan {
            instance: instance.clone(),
        });
    }
    changes
}

fn advance_drained(
    state: &FleetState,
    observed: &FleetObservation,
    instance: &InstanceId,
    member: &PoolMember,
) -> Result<Vec<EntryChange>, WaitReason> {
    match move_intent::intent_of(state, instance, member) {
        MoveIntent::Return => Ok(cancel_move(state, instance)),
        MoveIntent::Join(to) => Ok(join(state, instance, member, &to)),
        MoveIntent::Reboot if observed.has_completed(instance, member.phase_since) => {
            Ok(vec![set_phase(instance, MemberPhase::Joining, "rebooted")])
        }
        MoveIntent::Reboot => Err(WaitReason::Rebooting),
        MoveIntent::AwaitOperator => Err(WaitReason::OperatorHold),
    }
}

fn advance_joining(
    state: &FleetState,
    observed: &FleetObservation,
    instance: &InstanceId,
    member: &PoolMember,
) -> Result<Vec<EntryChange>, WaitReason> {
    if !observed.has_joined(instance, member.generation) {
        return Err(WaitReason::JoinUnconfirmed);
    }
    if !observed.has_completed(instance, member.phase_since) {
        return Err(WaitReason::ResumeUnconfirmed);
    }
    if !observed.is_up(instance, &member.place.zone) {
        return Err(WaitReason::InstanceUnhealthy);
    }
    let mut changes = vec![set_phase(instance, MemberPhase::Serving, "seen healthy")];
    if state.tokens.contains_key(instance) {
        changes.push(EntryChange::ReturnToken {
            instance: instance.clone(),
        });
    }
    changes.extend(complete(state, instance, member));
    Ok(changes)
}

/// Records the move as completed, unless a move to another pool was cancelled.
fn complete(state: &FleetState, instance: &InstanceId, member: &PoolMember) -> Option<EntryChange> {
    let (plan, wave) = move_intent::current_wave(state, instance)?;
    let record = state.records.plans.get(plan)?.waves.get(wave as usize)?;
    let is_done = match &record.action {
        WaveAction::Move { to } => *to == member.pool,
        WaveAction::Reboot => true,
    };
    is_done.then(|| EntryChange::CompleteMove {
        plan: plan.clone(),
        wave,
        instance: instance.clone(),
    })
}
