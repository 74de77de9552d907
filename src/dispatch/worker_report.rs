//! A worker's response to a poll.

use std::sync::Arc;

use crate::dispatch::task_id::TaskId;
use crate::model::id::RunNumber;
use crate::model::listed_rows::ListedRows;
use crate::model::unix_time::UnixMillis;

/// How a run of a task ended, as reported by the worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq, derive_more::Display)]
pub enum RunOutcome {
    /// The task has completed.
    #[display("done")]
    Done,
    /// The run failed, because of an error of the task or of the worker.
    #[display("failed")]
    Failed,
    /// The run was stopped by a command.
    #[display("stopped")]
    Stopped,
    /// The lease of the worker expired.
    #[display("lapsed")]
    LeaseExpired,
    /// Another task of the same gang ended.
    #[display("broken")]
    GangBroken,
    /// Not all tasks of the gang were started in time.
    #[display("alone")]
    GangIncomplete,
}

/// A run that has not ended.
#[derive(Debug, Clone, PartialEq)]
pub struct ActiveRun {
    /// Task to which the run belongs.
    pub task: TaskId,
    /// Number of the run among the runs of the task.
    pub run: RunNumber,
    /// Latest checkpoint, empty if there is none.
    pub checkpoint: Arc<str>,
    /// Progress from 0 to 100; 100 for a long-running task that is up.
    pub progress_percent: f64,
    /// Tail latency in milliseconds for a task that serves requests, CPU use for any other task.
    pub load: f64,
}

/// A run that ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EndedRun {
    /// Sequence number of this outcome, counted per incarnation of the worker.
    pub sequence: u64,
    /// Task to which the run belongs.
    pub task: TaskId,
    /// Number of the run among the runs of the task.
    pub run: RunNumber,
    /// How the run ended.
    pub outcome: RunOutcome,
    /// Latest checkpoint, empty if there is none.
    pub checkpoint: Arc<str>,
}

/// A worker's response to a poll.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct WorkerReport {
    /// Reading of the worker's monotonic clock, in milliseconds.
    pub clock_ms: u64,
    /// Start time of the worker process, absent if the worker does not report it.
    pub incarnation: Option<UnixMillis>,
    /// Runs that have not ended.
    pub running: Vec<ActiveRun>,
    /// Ended runs that the leader has not acknowledged yet. A run may have ended although neither list names it, if
    /// this one is a part.
    pub ended: ListedRows<EndedRun>,
}
