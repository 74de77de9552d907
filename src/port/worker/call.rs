//! Calls to a worker and their answers, in the form in which they travel over HTTP.

use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};

use crate::model::id::{Generation, JobId, Revision};
use crate::port::worker::task::{TaskRecord, TaskSpec, UsageReport, WorkerStatus};

/// A call to one worker.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "call")]
pub enum WorkerCall {
    /// Starts a task.
    Start {
        /// The task.
        task: TaskSpec,
    },
    /// Renews the leases of running tasks.
    Renew {
        /// Jobs whose tasks are renewed.
        jobs: BTreeSet<JobId>,
    },
    /// Writes a checkpoint and stops the task.
    Checkpoint {
        /// The job.
        job: JobId,
    },
    /// Slows a task down.
    Throttle {
        /// The job.
        job: JobId,
        /// Speed in thousandths of full speed.
        permille: u32,
    },
    /// Stops a task without a checkpoint.
    Stop {
        /// The job.
        job: JobId,
    },
    /// Sets the membership generation.
    Join {
        /// The generation.
        generation: Generation,
    },
    /// Stops accepting tasks; running ones continue.
    Drain {
        /// Number of the operation.
        operation: Revision,
    },
    /// Reboots the instance; it accepts no task until resumed.
    Reboot {
        /// Number of the operation.
        operation: Revision,
    },
    /// Accepts tasks again.
    Resume {
        /// Number of the operation.
        operation: Revision,
    },
    /// Reads the lagging usage report.
    Usage,
    /// Reads the records of all running tasks, which does not lag.
    Running,
    /// Reads the worker's own records of tasks.
    History {
        /// Jobs of interest; all if empty.
        jobs: BTreeSet<JobId>,
    },
    /// Reads the worker's state.
    Status,
}

impl WorkerCall {
    /// Jobs that a renewal or a reading of records names; empty for other calls.
    pub fn jobs(&self) -> &BTreeSet<JobId> {
        const NONE: &BTreeSet<JobId> = &BTreeSet::new();
        match self {
            Self::Renew { jobs } | Self::History { jobs } => jobs,
            _ => NONE,
        }
    }
}

/// Answer to a call.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum WorkerAnswer {
    /// The call took effect.
    Done,
    /// Records of tasks: the newest attempt of each job asked for.
    Tasks(Vec<TaskRecord>),
    /// Usage report.
    Usage(UsageReport),
    /// Worker state.
    Status(WorkerStatus),
}
