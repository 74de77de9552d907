//! Commands that are due at workers. They are derived from the journal state alone and issued until they are
//! observed as completed, so that a new coordinator goes on with the same commands.

use std::time::Duration;

use derive_more::Display;

use crate::journal::fleet_state::FleetState;
use crate::journal::member::{MemberPhase, PoolMember};
use crate::model::id::{Generation, InstanceId, Revision};
use crate::model::unix_time::UnixMillis;
use crate::policy::move_intent::{self, MoveIntent};
use crate::policy::observation::FleetObservation;

/// A command to the worker of one instance. Commands are idempotent. `operation` is the number of the journal
/// entry that set the phase; it fences off commands of earlier phases.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
#[expect(missing_docs, reason = "the comment on the type describes the fields")]
pub enum WorkerCommand {
    /// Accept no more work.
    #[display("drain {instance} ({operation})")]
    Drain {
        instance: InstanceId,
        operation: Revision,
    },
    /// Checkpoint the running tasks and stop those for which that succeeds.
    #[display("checkpoint {instance} ({operation})")]
    Checkpoint {
        instance: InstanceId,
        operation: Revision,
    },
    /// Stop the remaining tasks. Requests are not affected; they end by their deadlines.
    #[display("stop tasks on {instance} ({operation})")]
    Stop {
        instance: InstanceId,
        operation: Revision,
    },
    /// Reboot the drained instance.
    #[display("reboot {instance} ({operation})")]
    Reboot {
        instance: InstanceId,
        operation: Revision,
    },
    /// Join a pool: accept only tasks of this generation of the membership.
    #[display("join {instance} ({generation})")]
    Join {
        instance: InstanceId,
        generation: Generation,
    },
    /// Accept work again.
    #[display("resume {instance} ({operation})")]
    Resume {
        instance: InstanceId,
        operation: Revision,
    },
}

impl WorkerCommand {
    /// Instance whose worker receives the command.
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

/// Limits after which running tasks are checkpointed or stopped for a drain.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct DrainLimits {
    /// Tasks are checkpointed at once if the running work is expected to last longer than this; absent to
    /// wait for the drain timeout of the plan.
    pub checkpoint_threshold: Option<Duration>,
    /// Time for checkpoints after the drain timeout; tasks that still run after it are stopped.
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

/// All commands that are due and not yet observed as completed.
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
    // Without an expected end, the time waited so far is the best estimate of the remaining time.
    let time_left = observed.drain_times.get(instance).copied().unwrap_or(waited);
    let is_long = limits.checkpoint_threshold.is_some_and(|limit| time_left > limit);
    let is_overdue = timeout.is_some_and(|timeout| waited >= timeout);
    // An operator's drain waits until the tasks end by themselves.
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
