//! Side effects that are due on instances, derived from the journal state, so that any holder of the duty
//! issues the same ones again until they are seen carried out.

use std::time::Duration;

use derive_more::Display;

use crate::journal::fleet_state::FleetState;
use crate::journal::member::{MemberPhase, PoolMember};
use crate::model::id::{Generation, InstanceId, Revision};
use crate::model::unix_time::UnixMillis;
use crate::policy::move_intent::{self, MoveIntent};
use crate::policy::observation::FleetObservation;

/// An order to one instance. Orders are idempotent; the number fences off orders of earlier phases.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
pub enum WorkerCommand {
    /// Accept no more work.
    #[display("drain {instance} ({operation})")]
    Drain {
        /// The instance.
        instance: InstanceId,
        /// Number of the entry that set the phase.
        operation: Revision,
    },
    /// Save running tasks and stop those that are saved.
    #[display("checkpoint {instance} ({operation})")]
    Checkpoint {
        /// The instance.
        instance: InstanceId,
        /// Number of the entry that set the phase.
        operation: Revision,
    },
    /// Stop the tasks that remain. Requests of callers are not affected; they end by their deadlines.
    #[display("stop tasks on {instance} ({operation})")]
    Stop {
        /// The instance.
        instance: InstanceId,
        /// Number of the entry that set the phase.
        operation: Revision,
    },
    /// Reboot the drained instance.
    #[display("reboot {instance} ({operation})")]
    Reboot {
        /// The instance.
        instance: InstanceId,
        /// Number of the entry that set the phase.
        operation: Revision,
    },
    /// Join a pool: accept only tasks of this generation.
    #[display("join {instance} ({generation})")]
    Join {
        /// The instance.
        instance: InstanceId,
        /// Generation of the membership.
        generation: Generation,
    },
    /// Accept work again.
    #[display("resume {instance} ({operation})")]
    Resume {
        /// The instance.
        instance: InstanceId,
        /// Number of the entry that set the phase.
        operation: Revision,
    },
}

impl WorkerCommand {
    /// The instance that receives the order.
    pub fn instance(&self) -> &InstanceId {
        match self {
            Self::Drain { instance, .. }
            | Self::Checkpoint { instance, .. }
            | Self::Stop { instance, .. }
            | Self::Reboot { instance, .. }
            | Self::Join { instance, .. }
            | Self::Resume { instance, .. } => instance,
        }
    }
}

/// When running tasks are saved or stopped for a drain.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct DrainLimits {
    /// Tasks are saved at once when the running work would take longer than this to end; never if absent.
    pub checkpoint_threshold: Option<Duration>,
    /// Time for saving tasks, after which those that could not be saved are stopped.
    pub checkpoint_timeout: Duration,
}

impl Default for DrainLimits {
    fn default() -> Self {
        Self {
            checkpoint_threshold: Some(Duration::from_secs(45)),
            checkpoint_timeout: Duration::from_secs(30),
        }
    }
}

/// All side effects that are due and not yet seen carried out.
pub fn due_commands(
    state: &FleetState,
    observed: &FleetObservation,
    wall_time: UnixMillis,
    limits: DrainLimits,
) -> Vec<WorkerCommand> {
    let mut commands = Vec::new();
    for (instance, member) in &state.members {
        let operation = member.phase_since;
        match member.phase {
            MemberPhase::Draining => add_drain_commands(
                &mut commands,
                state,
                observed,
                instance,
                member,
                wall_time,
                limits,
            ),
            MemberPhase::Drained if !observed.has_completed(instance, operation) => {
                if move_intent::intent_of(state, instance, member) == MoveIntent::Reboot {
                    let instance = instance.clone();
                    commands.push(WorkerCommand::Reboot { instance, operation });
                }
            }
            MemberPhase::Joining => add_join_commands(&mut commands, observed, instance, member),
            MemberPhase::Drained | MemberPhase::Serving | MemberPhase::Quarantined => {}
        }
    }
    commands
}

fn add_drain_commands(
    commands: &mut Vec<WorkerCommand>,
    state: &FleetState,
    observed: &FleetObservation,
    instance: &InstanceId,
    member: &PoolMember,
    wall_time: UnixMillis,
    limits: DrainLimits,
) {
    let operation = member.phase_since;
    if !observed.has_completed(instance, operation) {
        let instance = instance.clone();
        commands.push(WorkerCommand::Drain { instance, operation });
        return;
    }
    if observed.idle.contains(instance) {
        return;
    }
    let Some(token) = state.tokens.get(instance) else {
        return;
    };
    let waited = Duration::from_millis(wall_time.get().saturating_sub(token.taken_at.get()));
    let plan = token.plan.as_ref().and_then(|plan| state.records.plans.get(plan));
    let timeout = plan.map(|plan| Duration::from_millis(plan.drain_timeout_ms));
    // Without a known end, the time waited so far is the best estimate of the time left.
    let time_left = observed.drain_times.get(instance).copied().unwrap_or(waited);
    let is_long = limits.checkpoint_threshold.is_some_and(|limit| time_left > limit);
    let is_overdue = timeout.is_some_and(|timeout| waited >= timeout);
    // An instance that an operator drains keeps its tasks until they end.
    let may_save = plan.is_some() || state.loans.contains_key(instance);
    if is_overdue || (is_long && may_save) {
        let instance = instance.clone();
        commands.push(WorkerCommand::Checkpoint { instance, operation });
    }
    if timeout.is_some_and(|timeout| waited >= timeout + limits.checkpoint_timeout) {
        let instance = instance.clone();
        commands.push(WorkerCommand::Stop { instance, operation });
    }
}

fn add_join_commands(
    commands: &mut Vec<WorkerCommand>,
    observed: &FleetObservation,
    instance: &InstanceId,
    member: &PoolMember,
) {
    let joined = observed.joined_generations.get(instance);
    if joined.is_none_or(|joined| *joined < member.generation) {
        commands.push(WorkerCommand::Join {
            instance: instance.clone(),
            generation: member.generation,
        });
    } else if !observed.has_completed(instance, member.phase_since) {
        commands.push(WorkerCommand::Resume {
            instance: instance.clone(),
            operation: member.phase_since,
        });
    }
}
