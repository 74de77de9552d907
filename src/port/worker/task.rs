//! Tasks as workers see them: what is started, what is running and how it ended.

use std::sync::Arc;
use std::time::Duration;

use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::model::id::{Generation, InstanceId, JobId, PoolId, Revision, SessionId, TeamId};
use crate::model::priority::WorkPriority;
use crate::model::resource::ResourceSet;
use crate::model::unix_time::UnixMillis;

/// A task to start: one attempt of a job on one worker.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskSpec {
    /// The job.
    pub job: JobId,
    /// Attempt of the job, counted from 1 over the whole fleet.
    pub attempt: u32,
    /// Team whose work it is.
    pub team: TeamId,
    /// Priority.
    pub priority: WorkPriority,
    /// Pool in which the job runs.
    pub pool: PoolId,
    /// Membership generation of the instance that the starter has folded.
    pub generation: Generation,
    /// Session that starts the task.
    pub session: SessionId,
    /// Milliseconds after which an unrenewed task has ended.
    pub lease_ms: u64,
    /// Resources granted.
    pub resources: ResourceSet,
    /// Whether the job may run more than once.
    pub repeatable: bool,
    /// Checkpoint to resume from.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub checkpoint: Option<Arc<str>>,
    /// The job's own text, opaque to figloft.
    #[serde(default)]
    pub payload: Arc<str>,
}

impl TaskSpec {
    /// Lease time.
    pub fn lease(&self) -> Duration {
        Duration::from_millis(self.lease_ms)
    }
}

/// How a task ended.
#[derive(Debug, Clone, PartialEq, Eq, Display, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "outcome")]
pub enum TaskOutcome {
    /// The task completed.
    #[display("succeeded")]
    Succeeded,
    /// The task ran and failed.
    #[display("failed: {reason}")]
    Failed {
        /// Reason given by the worker.
        reason: Arc<str>,
    },
    /// The task was stopped after a checkpoint and can resume from it.
    #[display("checkpointed at {checkpoint}")]
    Checkpointed {
        /// Name of the checkpoint.
        checkpoint: Arc<str>,
    },
    /// The task was stopped on request without a checkpoint.
    #[display("stopped")]
    Stopped,
    /// The lease ended without a renewal.
    #[display("lease expired")]
    LeaseExpired,
    /// The worker rebooted or crashed.
    #[display("interrupted")]
    Interrupted,
}

/// End of a task.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskEnd {
    /// Wall time at the worker.
    pub at: UnixMillis,
    /// How it ended.
    #[serde(flatten)]
    pub outcome: TaskOutcome,
}

/// A worker's own record of a task that it started.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskRecord {
    /// The job.
    pub job: JobId,
    /// Attempt of the job.
    pub attempt: u32,
    /// Team whose work it is.
    pub team: TeamId,
    /// Pool in which the job ran.
    pub pool: PoolId,
    /// The worker's instance.
    pub instance: InstanceId,
    /// Session that started it.
    pub session: SessionId,
    /// Priority.
    pub priority: WorkPriority,
    /// Whether the job may run more than once.
    pub repeatable: bool,
    /// Resources granted.
    pub resources: ResourceSet,
    /// Wall time of the start at the worker.
    pub started_at: UnixMillis,
    /// End; absent while the task runs.
    pub end: Option<TaskEnd>,
}

/// Use of one running task.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskUsage {
    /// The job.
    pub job: JobId,
    /// Resources in use.
    pub used: ResourceSet,
}

/// A worker's usage report, which lags.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct UsageReport {
    /// The worker's instance.
    pub instance: InstanceId,
    /// Wall time of the measurement.
    pub measured_at: UnixMillis,
    /// Running tasks.
    pub tasks: Vec<TaskUsage>,
}

/// State of a worker.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkerStatus {
    /// The worker's instance.
    pub instance: InstanceId,
    /// Generation of the last join.
    pub generation: Generation,
    /// Highest operation seen.
    pub operation: Revision,
    /// Whether new tasks are accepted.
    pub accepting: bool,
    /// Tasks running.
    pub running: u32,
}
