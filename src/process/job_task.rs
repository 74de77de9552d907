//! A job that was taken from the queue and has not ended, and what the shell does for it.

use std::time::Instant;

use serde::{Deserialize, Serialize};

use crate::journal::entry::EntryChange;
use crate::model::id::{InstanceId, JobId, QueueId, TeamId};
use crate::model::resource::ResourceSet;
use crate::policy::failure_tracker::WorkerVerdict;
use crate::policy::job_event::JobEnd;
use crate::policy::job_queue::QueuedJob;
use crate::port::worker::call::WorkerCall;
use crate::port::worker::client::WorkerTarget;
use crate::process::team_counter::RunPermit;

/// Margin for clock rates that differ between this process and a worker, in thousandths.
const DRIFT_PERMILLE: u32 = 50;

/// Phase of a task.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TaskPhase {
    /// Its `started` event has not landed.
    AwaitingLog,
    /// Its `started` event landed; the start is checked again before the call.
    Ready,
    /// The start call has no answer yet.
    Starting,
    /// It runs, or may run because the answer of its start was lost.
    Running,
    /// It was started by a session that ended; it runs until its lease ends.
    Adopted,
}

/// A task of this session.
#[derive(Debug)]
pub struct JobTask {
    /// The job.
    pub job: QueuedJob,
    /// The worker's instance.
    pub instance: InstanceId,
    /// Counts the task as running for its team; absent for teams without limit and adopted tasks.
    pub permit: Option<RunPermit>,
    /// Phase.
    pub phase: TaskPhase,
    /// Resources granted.
    pub size: ResourceSet,
    /// Highest use reported.
    pub used: ResourceSet,
    /// End of the last call that may have started the task or renewed its lease.
    pub last_renewal: Instant,
    /// Time at which the worker last confirmed that the task runs.
    pub last_confirmed: Instant,
    /// Whether the worker has confirmed the start.
    pub is_start_confirmed: bool,
    /// Whether the job was cancelled.
    pub is_cancelled: bool,
    /// Time at which the task was given to its worker.
    pub started_at: Instant,
    /// Whether it ran too long and is being stopped.
    pub is_overdue: bool,
}

impl JobTask {
    /// Time at which the task has certainly ended unless its lease is renewed.
    pub fn latest_end(&self) -> Instant {
        self.last_renewal + self.job.lease + self.job.lease * DRIFT_PERMILLE / 1_000
    }

    /// Whether renewals still make sense: after a whole lease without a confirmation the task has ended or its
    /// worker cannot be reached, and a renewal would only postpone the certain end.
    pub fn should_renew(&self, now: Instant) -> bool {
        !self.is_overdue && self.phase == TaskPhase::Running && now < self.last_confirmed + self.job.lease
    }
}

/// State of a job as callers see it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum JobStage {
    /// It waits.
    Waiting,
    /// It was given to a worker.
    Running,
    /// It ended.
    Ended,
}

/// A job as callers see it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobView {
    /// The job.
    pub id: JobId,
    /// Its queue.
    pub queue: QueueId,
    /// Its team.
    pub team: TeamId,
    /// Its stage.
    pub stage: JobStage,
    /// Attempts started.
    pub attempts: u32,
    /// Its end.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub end: Option<JobEnd>,
}

/// Why a worker is called; returned with the answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CallReason {
    /// Starts a job.
    Start(JobId),
    /// Renews leases and reads ends.
    Poll(InstanceId),
    /// Stops a job.
    Stop(JobId),
    /// Reads usage.
    Usage(InstanceId),
    /// Reads all running tasks.
    ListRunning(InstanceId),
}

/// What the shell does.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum JobAction {
    /// Calls a worker and reports the answer.
    Call {
        /// The worker.
        target: WorkerTarget,
        /// The call.
        call: WorkerCall,
        /// Why.
        reason: CallReason,
    },
    /// Creates a batch against absence and reports the result.
    WriteBatch {
        /// Key.
        key: String,
        /// Value.
        value: Vec<u8>,
    },
    /// Deletes a batch.
    DeleteBatch {
        /// Key.
        key: String,
    },
    /// Proposes a change of the journal.
    Propose(EntryChange),
    /// Tells the coordinator of a verdict about a worker.
    ReportVerdict(WorkerVerdict),
}
