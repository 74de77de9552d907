//! Events of jobs and the batches in which they are kept in the store.

use std::collections::BTreeMap;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::error::WorkOutcome;
use crate::model::id::{InstanceId, JobId, PoolId, QueueId, SessionId, TeamId, WriteNonce};
use crate::model::priority::WorkPriority;
use crate::model::resource::ResourceSet;
use crate::model::unix_time::UnixMillis;

/// Version of the batch's form, written into each batch.
pub const BATCH_SCHEMA: u32 = 1;

/// A job as submitted.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobSubmission {
    /// The job.
    pub job: JobId,
    /// Queue.
    pub queue: QueueId,
    /// Team.
    pub team: TeamId,
    /// Pool of the queue at submission.
    pub pool: PoolId,
    /// Priority.
    pub priority: WorkPriority,
    /// Declared resources.
    pub declared: ResourceSet,
    /// Whether the job may run more than once.
    pub repeatable: bool,
    /// Lease time of its tasks, in milliseconds.
    pub lease_ms: u64,
    /// Wall time of submission.
    pub submitted_at: UnixMillis,
    /// Wall time after which it is not to be started.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub start_by: Option<UnixMillis>,
    /// The job's own text.
    #[serde(default)]
    pub payload: Arc<str>,
}

/// How a job ended.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobEnd {
    /// What is known about the work.
    pub outcome: WorkOutcome,
    /// Whether it completed.
    pub succeeded: bool,
    /// Reason, for people; names the evidence where the job cannot run.
    pub reason: Arc<str>,
    /// Wall time of the end.
    pub at: UnixMillis,
}

/// One event of a job.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "event")]
pub enum JobEvent {
    /// The job was taken in, or is written again from an older batch.
    Submitted(JobSubmission),
    /// An attempt is about to start.
    Started {
        /// The job.
        job: JobId,
        /// Attempt, counted from 1.
        attempt: u32,
        /// The worker's instance.
        instance: InstanceId,
    },
    /// The attempt ended and the job waits again.
    Requeued {
        /// The job.
        job: JobId,
        /// Attempts started so far.
        attempts: u32,
        /// Checkpoint to resume from.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        checkpoint: Option<Arc<str>>,
    },
    /// The job ended.
    Finished {
        /// The job.
        job: JobId,
        /// How it ended.
        end: JobEnd,
    },
    /// Another session took the log over; no batch follows.
    Closed {
        /// The session that took it over.
        by: SessionId,
    },
}

impl JobEvent {
    /// The job that the event is about.
    pub fn job(&self) -> Option<&JobId> {
        match self {
            Self::Submitted(submission) => Some(&submission.job),
            Self::Started { job, .. } | Self::Requeued { job, .. } | Self::Finished { job, .. } => Some(job),
            Self::Closed { .. } => None,
        }
    }
}

/// A batch of events.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobBatch {
    /// Version of the batch's form.
    pub schema: u32,
    /// Number of the batch within its log, from 1.
    pub number: u64,
    /// Identifies the attempt to write, so that a lost answer can be decided by reading the batch.
    pub nonce: WriteNonce,
    /// The events in order.
    pub events: Vec<JobEvent>,
}

/// Key of a batch.
pub fn batch_key(session: &SessionId, number: u64) -> String {
    format!("jobs/{session}/{number:016}")
}

/// Key of the log's owner.
pub fn owner_key(session: &SessionId) -> String {
    format!("jobs/{session}/owner")
}

/// Owner of a log, the value of [`owner_key`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LogOwner {
    /// Session that owns the log.
    pub owner: SessionId,
    /// Whether the owner has the live jobs in its own log. Only then may it start them, and nobody takes them
    /// from here any more: a job that ended since would come back.
    #[serde(default)]
    pub absorbed: bool,
}

/// The newest start of a job.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct JobStart {
    /// Attempt, counted from 1.
    pub attempt: u32,
    /// The worker's instance.
    pub instance: InstanceId,
}

/// A job that has not ended, as far as its events say.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LiveJob {
    /// The submission.
    pub submission: JobSubmission,
    /// The attempt that may be running.
    pub started: Option<JobStart>,
    /// Attempts started so far.
    pub attempts: u32,
    /// Checkpoint to resume from.
    pub checkpoint: Option<Arc<str>>,
}

impl LiveJob {
    /// A job of which only the submission is known.
    pub fn new(submission: JobSubmission) -> Self {
        Self {
            submission,
            started: None,
            attempts: 0,
            checkpoint: None,
        }
    }

    /// Takes an event of this job in. A repeated submission changes nothing.
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
                attempts, checkpoint, ..
            } => {
                self.attempts = self.attempts.max(*attempts);
                self.started = None;
                self.checkpoint.clone_from(checkpoint);
            }
            _ => {}
        }
    }

    /// Events from which the same state is folded.
    pub fn events(&self) -> Vec<JobEvent> {
        let job = &self.submission.job;
        let mut events = vec![JobEvent::Submitted(self.submission.clone())];
        if self.attempts > 0 {
            events.push(JobEvent::Requeued {
                job: job.clone(),
                attempts: self.attempts,
                checkpoint: self.checkpoint.clone(),
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

/// Jobs that have not ended after the given batches, in order.
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
