//! Events of jobs and the batches in which they are stored.

use std::collections::BTreeMap;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::error::WorkOutcome;
use crate::model::default_value;
use crate::model::id::{InstanceId, JobId, PoolId, QueueId, SessionId, TeamId, WriteNonce};
use crate::model::priority::WorkPriority;
use crate::model::resource::ResourceSet;
use crate::model::unix_time::UnixMillis;

/// Version of the batch format, written into each batch.
pub const BATCH_SCHEMA: u32 = 1;

/// A job as submitted.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[expect(missing_docs, reason = "the types of the other fields say what they hold")]
pub struct JobSubmission {
    pub job: JobId,
    pub queue: QueueId,
    pub team: TeamId,
    /// Pool of the queue at submission.
    pub pool: PoolId,
    pub priority: WorkPriority,
    /// Resources as the submitter declared them, which may be far off.
    pub declared: ResourceSet,
    /// Whether the job may run more than once.
    pub repeatable: bool,
    /// Lease time of its tasks, in milliseconds.
    pub lease_ms: u64,
    pub submitted_at: UnixMillis,
    /// Wall time after which the job is no longer started; absent if there is no limit.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub start_by: Option<UnixMillis>,
    /// The submitter's description of the work, opaque to figloft.
    #[serde(default)]
    pub payload: Arc<str>,
}

/// How a job ended.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[expect(missing_docs, reason = "the type of the time says what it is")]
pub struct JobEnd {
    /// Whether the work ran, as far as is known.
    pub outcome: WorkOutcome,
    /// Whether the job completed successfully.
    pub succeeded: bool,
    /// Reason as text for people. For a job that cannot run it names the evidence.
    pub reason: Arc<str>,
    pub at: UnixMillis,
}

/// One event of a job. Attempts are counted from 1.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[expect(missing_docs, reason = "the types of the other fields say what they hold")]
#[serde(rename_all = "snake_case", tag = "event")]
pub enum JobEvent {
    /// The job was accepted, or its submission is written again so that an older batch can be deleted.
    Submitted(JobSubmission),
    /// An attempt is about to start on the worker of the instance.
    Started {
        job: JobId,
        attempt: u32,
        instance: InstanceId,
    },
    /// The attempt ended and the job waits again.
    Requeued {
        job: JobId,
        /// Attempts started so far.
        attempts: u32,
        /// Checkpoint from which the next attempt resumes.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        checkpoint: Option<Arc<str>>,
        /// Attempts that were lost with their worker soon after their start.
        #[serde(default, skip_serializing_if = "default_value::is_default")]
        early_losses: u32,
    },
    /// The job ended.
    Finished { job: JobId, end: JobEnd },
    /// Another session adopted the log. No batch follows this one.
    Closed {
        /// The session that adopted the log.
        by: SessionId,
    },
}

impl JobEvent {
    /// Job of the event; absent for `Closed`, which concerns the whole log.
    pub fn job(&self) -> Option<&JobId> {
        match self {
            Self::Submitted(submission) => Some(&submission.job),
            Self::Started { job, .. } | Self::Requeued { job, .. } | Self::Finished { job, .. } => Some(job),
            Self::Closed { .. } => None,
        }
    }
}

/// A batch of events, stored under [`batch_key`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobBatch {
    /// Version of the batch format, see [`BATCH_SCHEMA`].
    pub schema: u32,
    /// Number of the batch within its log, counted from 1.
    pub number: u64,
    /// Identifies the writer's attempt. After a lost response, reading the batch and comparing the nonce
    /// shows whether the write succeeded.
    pub nonce: WriteNonce,
    /// Events in the order in which they happened.
    pub events: Vec<JobEvent>,
}

/// Store key of a batch.
pub fn batch_key(session: &SessionId, number: u64) -> String {
    format!("jobs/{session}/{number:016}")
}

/// Store key of the log's owner.
pub fn owner_key(session: &SessionId) -> String {
    format!("jobs/{session}/owner")
}

/// Owner of a log, the value stored under [`owner_key`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LogOwner {
    /// Session that owns the log.
    pub owner: SessionId,
    /// Whether the owner has written the live jobs to its own log. Only then may it start them. From then on
    /// nobody may adopt jobs from this log, because a job that has ended since would come back.
    #[serde(default)]
    pub absorbed: bool,
}

/// The latest start of a job.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct JobStart {
    /// Attempt, counted from 1.
    pub attempt: u32,
    /// Instance of the worker.
    pub instance: InstanceId,
}

/// A job that has not ended, in the state that its events describe.
#[derive(Debug, Clone, PartialEq, Eq)]
#[expect(missing_docs, reason = "the submission needs no explanation")]
pub struct LiveJob {
    pub submission: JobSubmission,
    /// The attempt that may be running; absent while the job waits.
    pub started: Option<JobStart>,
    /// Attempts started so far.
    pub attempts: u32,
    /// Checkpoint from which the next attempt resumes.
    pub checkpoint: Option<Arc<str>>,
    /// Attempts that were lost with their worker soon after their start.
    pub early_losses: u32,
}

impl LiveJob {
    /// Creates a job that has not been started.
    pub fn new(submission: JobSubmission) -> Self {
        Self {
            submission,
            started: None,
            attempts: 0,
            checkpoint: None,
            early_losses: 0,
        }
    }

    /// Applies an event of this job. A repeated submission changes nothing.
    pub fn apply(&mut self, event: &JobEvent) {
        match event {
            JobEvent::Started {
                attempt, instance, ..
            } => {
                self.attempts = self.attempts.max(*attempt);
                self.started = Some(JobStart {
                    attempt: *attempt,
                    instance: instance.clone(),
                });
            }
            JobEvent::Requeued {
                attempts,
                checkpoint,
                early_losses,
                ..
            } => {
                self.attempts = self.attempts.max(*attempts);
                self.early_losses = *early_losses;
                self.started = None;
                self.checkpoint.clone_from(checkpoint);
            }
            _ => {}
        }
    }

    /// Returns events that give the same state when they are replayed.
    pub fn events(&self) -> Vec<JobEvent> {
        let job = &self.submission.job;
        let mut events = vec![JobEvent::Submitted(self.submission.clone())];
        if self.attempts > 0 {
            events.push(JobEvent::Requeued {
                job: job.clone(),
                attempts: self.attempts,
                checkpoint: self.checkpoint.clone(),
                early_losses: self.early_losses,
            });
        }
        if let Some(start) = &self.started {
            events.push(JobEvent::Started {
                job: job.clone(),
                attempt: start.attempt,
                instance: start.instance.clone(),
            });
        }
        events
    }
}

/// Replays batches, given in order, and returns the jobs that have not ended.
pub fn replay_batches<'a>(batches: impl IntoIterator<Item = &'a JobBatch>) -> BTreeMap<JobId, LiveJob> {
    let mut jobs: BTreeMap<JobId, LiveJob> = BTreeMap::new();
    for event in batches.into_iter().flat_map(|batch| &batch.events) {
        match event {
            JobEvent::Submitted(submission) => {
                let id = submission.job.clone();
                jobs.entry(id).or_insert_with(|| LiveJob::new(submission.clone()));
            }
            JobEvent::Finished { job, .. } => drop(jobs.remove(job)),
            other => {
                if let Some(job) = other.job().and_then(|job| jobs.get_mut(job)) {
                    job.apply(other);
                }
            }
        }
    }
    jobs
}
