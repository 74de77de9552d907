//! Tasks (jobs assigned to a worker) and the actions that the job runner carries out for them.

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

/// Margin for different clock rates of this process and a worker, in thousandths of the lease.
const DRIFT_PERMILLE: u32 = 50;

/// Progress of a task, in this order. A repeatable task begins as `Ready`, an adopted one as `Adopted`.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TaskPhase {
    /// The job log has not stored the `started` event yet.
    AwaitingLog,
    /// The worker may be called, after a last check of allowance and worker.
    Ready,
    /// The worker has not answered the start call yet.
    Starting,
    /// The task runs, or may run because the answer to its start call was lost.
    Running,
    /// A session that has ended started the task. Its lease is not renewed until it fits this session's
    /// allowance.
    Adopted,
}

/// A job that this session has assigned to a worker or adopted while it ran.
#[derive(Debug)]
#[expect(
    missing_docs,
    reason = "fields without a comment are described by their names"
)]
pub struct JobTask {
    pub job: QueuedJob,
    /// Instance of the worker.
    pub instance: InstanceId,
    /// Counts the task as running for its team; absent for teams without a limit and for adopted tasks.
    pub permit: Option<RunPermit>,
    pub phase: TaskPhase,
    /// Resources granted to the task.
    pub size: ResourceSet,
    /// Peak usage that the worker has reported; zero until the first report.
    pub used: ResourceSet,
    /// Time of the last call that may have started the task or renewed its lease: when it was answered or,
    /// until then, when it was sent.
    pub last_renewal: Instant,
    /// When the worker last confirmed that the task runs.
    pub last_confirmed: Instant,
    pub is_start_confirmed: bool,
    pub is_cancelled: bool,
    /// When the task was assigned to its worker, or adopted.
    pub started_at: Instant,
    /// Whether the task exceeded its maximum run time and is being stopped.
    pub is_overdue: bool,
}

impl JobTask {
    /// Time by which the task has certainly ended unless its lease is renewed.
    pub fn latest_end(&self) -> Instant {
        self.last_renewal + self.job.lease + self.job.lease * DRIFT_PERMILLE / 1_000
    }

    /// Whether to renew the lease. After a full lease without confirmation the task has ended or its worker
    /// cannot be reached, and a renewal would only postpone [`Self::latest_end`].
    pub fn should_renew(&self, now: Instant) -> bool {
        !self.is_overdue && self.phase == TaskPhase::Running && now < self.last_confirmed + self.job.lease
    }
}

/// State of a job as the callers' API shows it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum JobStage {
    /// In the queue, or delayed before another attempt.
    Waiting,
    /// Assigned to a worker.
    Running,
    /// Succeeded, failed or cancelled; [`JobView::end`] says which.
    Ended,
}

/// A job as the callers' API and the peer link show it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[expect(
    missing_docs,
    reason = "fields without a comment are described by their names"
)]
pub struct JobView {
    pub id: JobId,
    pub queue: QueueId,
    pub team: TeamId,
    pub stage: JobStage,
    /// Number of attempts started so far.
    pub attempts: u32,
    /// Absent until the job has ended.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub end: Option<JobEnd>,
}

/// Why a worker is called. It returns to the scheduler with the worker's answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CallReason {
    /// Start a job.
    Start(JobId),
    /// Renew leases and read which tasks have ended.
    Poll(InstanceId),
    /// Stop or checkpoint a job.
    Stop(JobId),
    /// Read the resource usage of tasks.
    Usage(InstanceId),
    /// List the running tasks of all sessions.
    ListRunning(InstanceId),
}

/// An action that the scheduler asks the job runner to carry out.
#[derive(Debug, Clone, PartialEq, Eq)]
#[expect(
    missing_docs,
    reason = "fields without a comment are described by their names"
)]
pub enum JobAction {
    /// Call a worker and pass its answer to the scheduler.
    Call {
        target: WorkerTarget,
        call: WorkerCall,
        reason: CallReason,
    },
    /// Create a batch of the job log unless its key exists, and pass the result to the scheduler.
    WriteBatch { key: String, value: Vec<u8> },
    /// Delete a batch of the job log.
    DeleteBatch { key: String },
    /// Propose a change of the journal.
    Propose(EntryChange),
    /// Report a verdict about a worker to the coordinator.
    ReportVerdict(WorkerVerdict),
}
