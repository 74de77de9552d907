//! Records of jobs in the store.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::dispatch::job_spec::JobSpec;
use crate::dispatch::millis;
use crate::model::id::{JobId, OrganisationId, PoolId, QueueId, RunNumber};
use crate::model::unix_time::UnixMillis;

/// State of a job as shown to callers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum JobState {
    /// No task has started.
    #[display("pending")]
    Pending,
    /// A task has started.
    #[display("running")]
    Running,
    /// All tasks are done.
    #[display("completed")]
    Completed,
    /// A task used up its attempts.
    #[display("failed")]
    Failed,
    /// A caller cancelled the job.
    #[display("cancelled")]
    Cancelled,
}

impl JobState {
    /// Whether the job is over.
    pub fn is_final(self) -> bool {
        matches!(self, Self::Completed | Self::Failed | Self::Cancelled)
    }
}

/// What every instance needs to answer for a job.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobSummary {
    /// Pool on which the job runs.
    pub pool: PoolId,
    /// Queue that took it in.
    pub queue: QueueId,
    /// State.
    pub state: JobState,
    /// End of the job, absent while it goes on.
    #[serde(rename = "ended", default, skip_serializing_if = "Option::is_none")]
    pub ended_at: Option<UnixMillis>,
}

/// Cost and validity of the external service's advice on where a step may run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct AdviceRule {
    /// Time that one answer takes.
    #[serde(rename = "decide", with = "millis")]
    pub base_latency: Duration,
    /// Further time for each worker named.
    #[serde(rename = "each", with = "millis")]
    pub latency_per_worker: Duration,
    /// Time for which a ticket is valid.
    #[serde(rename = "valid", with = "millis")]
    pub ticket_validity: Duration,
}

/// The queue's rules at the time of submission.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct QueueRule {
    /// Priority; 0 goes first.
    pub priority: u32,
    /// Failed runs of a task after which the job has failed.
    pub max_attempts: u32,
    /// Factor from the longest chain of estimates to the objective.
    #[serde(rename = "slack")]
    pub slack_factor: f64,
    /// Time added to the objective.
    #[serde(rename = "target", with = "millis")]
    pub target_latency: Duration,
    /// Set if only an external service knows which workers may run a step.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub advice: Option<AdviceRule>,
}

/// A job as accepted.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct JobRecord {
    /// The job.
    pub id: JobId,
    /// Pool on which it runs.
    pub pool: PoolId,
    /// Queue that took it in.
    pub queue: QueueId,
    /// Organisation whose key came with it; absent on open queues.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub organisation: Option<OrganisationId>,
    /// The queue's rules.
    pub rule: QueueRule,
    /// Time of acceptance.
    #[serde(rename = "accepted")]
    pub accepted_at: UnixMillis,
    /// What to run.
    pub spec: JobSpec,
}

/// Progress of one step. Tasks that are absent have not ended.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct StepProgress {
    /// Tasks that are done.
    #[serde(skip_serializing_if = "BTreeSet::is_empty")]
    pub done: BTreeSet<u32>,
    /// Failed runs of each task, those of a gang under its first task. A worker may list an end again to the next
    /// holder, so that runs are kept and not only their number.
    #[serde(skip_serializing_if = "BTreeMap::is_empty")]
    pub failures: BTreeMap<u32, BTreeSet<RunNumber>>,
    /// Checkpoint of each task.
    #[serde(rename = "saved", skip_serializing_if = "BTreeMap::is_empty")]
    pub checkpoints: BTreeMap<u32, Arc<str>>,
}

/// Progress of a job by occurrence and step.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobProgress {
    /// Steps of each occurrence that has begun.
    pub occurrences: BTreeMap<u32, Vec<StepProgress>>,
}
