//! Client of workers.

use std::collections::BTreeSet;
use std::sync::Arc;

use crate::error::{Error, ErrorKind, Result};
use crate::journal::member::InstancePlace;
use crate::model::id::{Generation, InstanceId, JobId, Revision};
use crate::port::worker::call::{WorkerAnswer, WorkerCall};
use crate::port::worker::fleet::WorkerFleet;
use crate::port::worker::http_form::WorkerHttpClient;
use crate::port::worker::task::{TaskRecord, TaskSpec, UsageReport, WorkerStatus};

/// Address of one worker.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct WorkerTarget {
    /// The worker's instance.
    pub instance: InstanceId,
    /// Address, `ip:port`.
    pub address: Arc<str>,
}

impl WorkerTarget {
    /// The worker on an instance.
    pub fn new(instance: &InstanceId, place: &InstancePlace) -> Self {
        Self {
            instance: instance.clone(),
            address: Arc::clone(&place.address),
        }
    }
}

/// Client of workers: the shared stand-in or HTTP.
///
/// Errors of all calls: `worker_refused` if the call certainly had no effect, `outcome_unknown` if no answer
/// arrived, `not_found` if the worker has no such running task.
#[derive(Debug, Clone)]
pub enum WorkerClient {
    /// Stand-in shared by the threads of this process.
    Memory(WorkerFleet),
    /// HTTP.
    Http(WorkerHttpClient),
}

impl WorkerClient {
    /// Makes a call.
    ///
    /// # Errors
    /// See [`WorkerClient`].
    pub async fn call(&self, target: &WorkerTarget, call: WorkerCall) -> Result<WorkerAnswer> {
        match self {
            Self::Memory(fleet) => fleet.call(&target.instance, &call),
            Self::Http(client) => client.call(target, &call).await,
        }
    }

    /// Starts a task.
    ///
    /// # Errors
    /// See [`WorkerClient`].
    pub async fn start(&self, target: &WorkerTarget, task: TaskSpec) -> Result<()> {
        self.done(target, WorkerCall::Start { task }).await
    }

    /// Renews the leases of tasks that run and returns the newest record of each job.
    ///
    /// # Errors
    /// See [`WorkerClient`].
    pub async fn renew(&self, target: &WorkerTarget, jobs: BTreeSet<JobId>) -> Result<Vec<TaskRecord>> {
        self.tasks(target, WorkerCall::Renew { jobs }).await
    }

    /// Writes a checkpoint, stops the task and returns its record.
    ///
    /// # Errors
    /// See [`WorkerClient`].
    pub async fn checkpoint(&self, target: &WorkerTarget, job: &JobId) -> Result<TaskRecord> {
        let call = WorkerCall::Checkpoint { job: job.clone() };
        self.one_task(target, call).await
    }

    /// Runs a task at `permille` thousandths of full speed.
    ///
    /// # Errors
    /// See [`WorkerClient`].
    pub async fn throttle(&self, target: &WorkerTarget, job: &JobId, permille: u32) -> Result<()> {
        let job = job.clone();
        self.done(target, WorkerCall::Throttle { job, permille }).await
    }

    /// Stops a task without a checkpoint and returns its record.
    ///
    /// # Errors
    /// See [`WorkerClient`].
    pub async fn stop(&self, target: &WorkerTarget, job: &JobId) -> Result<TaskRecord> {
        self.one_task(target, WorkerCall::Stop { job: job.clone() }).await
    }

    /// Sets the membership generation.
    ///
    /// # Errors
    /// See [`WorkerClient`].
    pub async fn join(&self, target: &WorkerTarget, generation: Generation) -> Result<()> {
        self.done(target, WorkerCall::Join { generation }).await
    }

    /// Stops the worker from accepting tasks.
    ///
    /// # Errors
    /// See [`WorkerClient`].
    pub async fn drain(&self, target: &WorkerTarget, operation: Revision) -> Result<()> {
        self.done(target, WorkerCall::Drain { operation }).await
    }

    /// Reboots the instance.
    ///
    /// # Errors
    /// See [`WorkerClient`].
    pub async fn reboot(&self, target: &WorkerTarget, operation: Revision) -> Result<()> {
        self.done(target, WorkerCall::Reboot { operation }).await
    }

    /// Lets the worker accept tasks again.
    ///
    /// # Errors
    /// See [`WorkerClient`].
    pub async fn resume(&self, target: &WorkerTarget, operation: Revision) -> Result<()> {
        self.done(target, WorkerCall::Resume { operation }).await
    }

    /// Reads the lagging usage report.
    ///
    /// # Errors
    /// See [`WorkerClient`].
    pub async fn usage(&self, target: &WorkerTarget) -> Result<UsageReport> {
        match self.call(target, WorkerCall::Usage).await? {
            WorkerAnswer::Usage(report) => Ok(report),
            other => Err(unexpected(&other)),
        }
    }

    /// Reads the records of all tasks that run on the worker, whichever session started them.
    ///
    /// # Errors
    /// See [`WorkerClient`].
    pub async fn running(&self, target: &WorkerTarget) -> Result<Vec<TaskRecord>> {
        self.tasks(target, WorkerCall::Running).await
    }

    /// Reads the newest record of each of the jobs that the worker started; of all its jobs if `jobs` is empty.
    ///
    /// # Errors
    /// See [`WorkerClient`].
    pub async fn history(&self, target: &WorkerTarget, jobs: BTreeSet<JobId>) -> Result<Vec<TaskRecord>> {
        self.tasks(target, WorkerCall::History { jobs }).await
    }

    /// Reads the worker's state.
    ///
    /// # Errors
    /// See [`WorkerClient`].
    pub async fn status(&self, target: &WorkerTarget) -> Result<WorkerStatus> {
        match self.call(target, WorkerCall::Status).await? {
            WorkerAnswer::Status(status) => Ok(status),
            other => Err(unexpected(&other)),
        }
    }

    async fn done(&self, target: &WorkerTarget, call: WorkerCall) -> Result<()> {
        match self.call(target, call).await? {
            WorkerAnswer::Done => Ok(()),
            other => Err(unexpected(&other)),
        }
    }

    async fn tasks(&self, target: &WorkerTarget, call: WorkerCall) -> Result<Vec<TaskRecord>> {
        match self.call(target, call).await? {
            WorkerAnswer::Tasks(records) => Ok(records),
            other => Err(unexpected(&other)),
        }
    }

    async fn one_task(&self, target: &WorkerTarget, call: WorkerCall) -> Result<TaskRecord> {
        let records = self.tasks(target, call).await?;
        let record = records.into_iter().next();
        record.ok_or_else(|| Error::new(ErrorKind::BadMessage, "worker answered with no task record"))
    }
}

fn unexpected(answer: &WorkerAnswer) -> Error {
    Error::new(
        ErrorKind::BadMessage,
        format!("worker answered with {answer:?}, which does not fit the call"),
    )
}
