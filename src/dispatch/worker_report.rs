//! What a worker answers when it is looked at.

use std::sync::Arc;

use crate::dispatch::task_id::TaskId;
use crate::model::id::RunNumber;
use crate::model::unix_time::UnixMillis;

/// How a run ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, derive_more::Display)]
pub enum RunOutcome {
    /// The task is done.
    #[display("done")]
    Done,
    /// It failed through its own fault or the worker's.
    #[display("failed")]
    Failed,
    /// It was stopped.
    #[display("stopped")]
    Stopped,
    /// Its lease ran out.
    #[display("lapsed")]
    LeaseExpired,
    /// Another member of its gang ended.
    #[display("broken")]
    GangBroken,
    /// The other members of its gang did not come.
    #[display("alone")]
    GangIncomplete,
}

/// A run that goes on.
#[derive(Debug, Clone, PartialEq)]
pub struct ActiveRun {
    /// The task.
    pub task: TaskId,
    /// The run.
    pub run: RunNumber,
    /// Newest checkpoint, empty if there is none.
    pub checkpoint: Arc<str>,
    /// Progress; 100 for a lasting task at work.
    pub progress_percent: f64,
    /// Tail of the response times of a serving task in milliseconds; processor use of any other task.
    pub load: f64,
}

/// A run that ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EndedRun {
    /// Number of the end in this life of the worker.
    pub sequence: u64,
    /// The task.
    pub task: TaskId,
    /// The run.
    pub run: RunNumber,
    /// How it ended.
    pub outcome: RunOutcome,
    /// Newest checkpoint, empty if there is none.
    pub checkpoint: Arc<str>,
}

/// A worker's answer to a look.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct WorkerReport {
    /// The worker's steady clock in milliseconds.
    pub clock_ms: u64,
    /// Start of the worker's process.
    pub incarnation: Option<UnixMillis>,
    /// Runs that go on.
    pub running: Vec<ActiveRun>,
    /// Ends that have not been acknowledged.
    pub ended: Vec<EndedRun>,
}
