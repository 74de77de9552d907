//! Job records as kept in the store.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::dispatch::job_spec::JobSpec;
use crate::dispatch::millis;
use crate::dispatch::run_loss::LossHistory;
use crate::model::id::{JobId, OrganisationId, PoolId, QueueId, RunNumber};
use crate::model::unix_time::UnixMillis;

/// State of a job as shown to clients.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum JobState {
    /// No task has started.
    #[display("pending")]
    Pending,
    /// A task has started.
    #[display("running")]
    Running,
    /// All tasks have completed.
    #[display("completed")]
    Completed,
    /// A task has used up its attempts.
    #[display("failed")]
    Failed,
    /// A client cancelled the job.
    #[display("cancelled")]
    Cancelled,
}

impl JobState {
    /// Whether the state can no longer change.
    pub fn is_final(self) -> bool {
        matches!(self, Self::Completed | Self::Failed | Self::Cancelled)
    }
}

/// Short record of a job from which any node can answer status requests.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobSummary {
    /// Pool that runs the job.
    pub pool: PoolId,
    /// Queue to which the job was submitted.
    pub queue: QueueId,
    /// State at the time of the last write.
    pub state: JobState,
    /// Time at which the job reached a final state, absent before that.
    #[serde(rename = "ended", default, skip_serializing_if = "Option::is_none")]
    pub ended_at: Option<UnixMillis>,
    /// Why the job failed; absent in any other state.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub reason: Option<Arc<str>>,
    /// Whether the job was cancelled before any submission of it was stored, so that it never runs.
    #[serde(rename = "early", default, skip_serializing_if = "std::ops::Not::not")]
    pub is_early_cancellation: bool,
}

/// Latency of the external service that advises where a step may run, and validity of its advice.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct AdviceRule {
    /// Time that a response takes, apart from the time for each worker.
    #[serde(rename = "decide", with = "millis")]
    pub base_latency: Duration,
    /// Additional time for each worker named in the request.
    #[serde(rename = "each", with = "millis")]
    pub latency_per_worker: Duration,
    /// Time for which a ticket in a response is valid.
    #[serde(rename = "valid", with = "millis")]
    pub ticket_validity: Duration,
}

/// Scheduling rules of a queue. A job keeps the rules that were in force when it was submitted.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct QueueRule {
    /// Scheduling priority; 0 is the highest.
    pub priority: u32,
    /// Number of failed runs of one task after which the job fails.
    pub max_attempts: u32,
    /// Factor by which the target duration of a job exceeds the estimate of its critical path.
    #[serde(rename = "slack")]
    pub slack_factor: f64,
    /// Constant time added to the target duration of a job.
    #[serde(rename = "target", with = "millis")]
    pub target_latency: Duration,
    /// Present if an external service decides which workers may run a step.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub advice: Option<AdviceRule>,
}

impl QueueRule {
    /// Time after its acceptance by which a job should have ended, given the estimate of its longest chain of steps.
    pub fn objective(&self, critical_path: Duration) -> Duration {
        critical_path.mul_f64(self.slack_factor.max(1.0)) + self.target_latency
    }
}

/// A job as accepted from a client.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct JobRecord {
    /// Unique identifier.
    pub id: JobId,
    /// Pool that runs the job.
    pub pool: PoolId,
    /// Queue to which the job was submitted.
    pub queue: QueueId,
    /// Organisation whose key was sent with the job; absent for a public queue.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub organisation: Option<OrganisationId>,
    /// Rules of the queue when the job was submitted.
    pub rule: QueueRule,
    /// Time at which the job was accepted.
    #[serde(rename = "accepted")]
    pub accepted_at: UnixMillis,
    /// The job as submitted.
    pub spec: JobSpec,
}

/// Progress of one step, by task index. Tasks that appear in no field have neither completed nor failed.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct StepProgress {
    /// Completed tasks.
    #[serde(skip_serializing_if = "BTreeSet::is_empty")]
    pub done: BTreeSet<u32>,
    /// Failed runs of each task; for a gang, those of all its tasks under the first one. The run numbers are
    /// kept and not only their count, because a worker may report an outcome again to the next leader.
    #[serde(skip_serializing_if = "BTreeMap::is_empty")]
    pub failures: BTreeMap<u32, BTreeSet<RunNumber>>,
    /// Latest checkpoint of each task that is not completed; that of a gang is stored with its first task.
    #[serde(rename = "saved", skip_serializing_if = "BTreeMap::is_empty")]
    pub checkpoints: BTreeMap<u32, Arc<str>>,
    /// Runs of each task that is not completed that were lost with their worker, or may be.
    #[serde(skip_serializing_if = "BTreeMap::is_empty")]
    pub losses: BTreeMap<u32, LossHistory>,
}

/// Progress of a job by occurrence and step.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobProgress {
    /// Steps of each occurrence that has started.
    pub occurrences: BTreeMap<u32, Vec<StepProgress>>,
}
