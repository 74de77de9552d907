//! Event loop of the jobs: steps the scheduler, carries out its actions and passes the results back to it.

use std::collections::BTreeMap;
use std::fmt;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use tokio::sync::oneshot;
use tokio::task::JoinSet;

use crate::clock::SharedClock;
use crate::error::{Error, ErrorKind, Result};
use crate::journal::entry::EntryChange;
use crate::model::id::{JobId, SessionId, WriteNonce};
use crate::model::unix_time::UnixMillis;
use crate::policy::failure_tracker::WorkerVerdict;
use crate::policy::job_event::{JobBatch, JobSubmission, LiveJob};
use crate::policy::job_log::{BatchWriteResult, EventId};
use crate::port::store::call::{PutExpect, StoreError};
use crate::port::store::client::StoreClient;
use crate::port::worker::call::{WorkerAnswer, WorkerCall};
use crate::port::worker::client::WorkerClient;
use crate::process::job_adoption::{self, AdoptedLog};
use crate::process::job_scheduler::{BatchReport, JobScheduler, StepTime};
use crate::process::job_task::{CallReason, JobAction, JobView};
use crate::version::accepted::AcceptedVersion;

/// Interval between two steps. It may delay the start of a job by its full length.
const STEP_INTERVAL: Duration = Duration::from_millis(25);

/// Time that a caller waits at most until its submission is durable.
const SUBMIT_TIMEOUT: Duration = Duration::from_secs(5);

/// Message of the scheduler to other parts of the process.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum JobNotice {
    /// A proposed change of the journal.
    Propose(EntryChange),
    /// A verdict about a worker.
    Verdict(WorkerVerdict),
}

/// Callbacks of the runner into the rest of the process.
#[derive(Clone)]
pub struct JobLinks {
    /// Whether the configuration view is certainly recent enough to start tasks and renew leases.
    pub is_fresh: Arc<dyn Fn() -> bool + Send + Sync>,
    /// Receives the notices of the scheduler.
    pub notify: Arc<dyn Fn(JobNotice) + Send + Sync>,
}

impl fmt::Debug for JobLinks {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("JobLinks")
    }
}

type SubmitWaiters = BTreeMap<EventId, oneshot::Sender<Result<()>>>;

#[derive(Debug)]
struct RunnerInner {
    scheduler: JobScheduler,
    waiters: SubmitWaiters,
}

/// The job runner of one session. Clones share the same jobs.
#[derive(Debug, Clone)]
pub struct JobRunner {
    session: SessionId,
    inner: Arc<Mutex<RunnerInner>>,
    store: StoreClient,
    workers: WorkerClient,
    version: AcceptedVersion,
    clock: SharedClock,
    links: JobLinks,
}

/// Result of an action that involved a worker or the store.
#[derive(Debug)]
enum ActionResult {
    Worker(CallReason, WorkerCall, Result<WorkerAnswer>),
    Batch(BatchWriteResult),
    Deleted,
}

impl JobRunner {
    /// Creates the runner of a session; [`Self::run`] starts it.
    pub fn new(
        session: SessionId,
        scheduler: JobScheduler,
        store: StoreClient,
        workers: WorkerClient,
        version: AcceptedVersion,
        clock: SharedClock,
        links: JobLinks,
    ) -> Self {
        let waiters = BTreeMap::new();
        Self {
            session,
            inner: Arc::new(Mutex::new(RunnerInner { scheduler, waiters })),
            store,
            workers,
            version,
            clock,
            links,
        }
    }

    /// Runs jobs until the future is dropped.
    pub async fn run(&self) {
        let mut calls = JoinSet::new();
        let mut ticks = tokio::time::interval(STEP_INTERVAL);
        loop {
            tokio::select! {
                _ = ticks.tick() => self.step(&mut calls),
                Some(result) = calls.join_next() => {
                    if let Ok(result) = result {
                        self.handle_result(result);
                    }
                }
            }
        }
    }

    /// Performs one step and waits for all of its calls, for tests and trials on a manual clock.
    pub async fn step_once(&self) {
        let mut calls = JoinSet::new();
        self.step(&mut calls);
        while let Some(result) = calls.join_next().await {
            if let Ok(result) = result {
                self.handle_result(result);
            }
        }
    }

    fn step(&self, calls: &mut JoinSet<ActionResult>) {
        let state = self.version.current();
        let is_fresh = (self.links.is_fresh)();
        let nonce = WriteNonce::new(rand::random());
        let time = self.time();
        let actions = self.lock().scheduler.step(time, &state, is_fresh, nonce);
        for action in actions {
            self.execute(calls, action);
        }
    }

    fn execute(&self, calls: &mut JoinSet<ActionResult>, action: JobAction) {
        match action {
            JobAction::Call { target, call, reason } => {
                let workers = self.workers.clone();
                calls.spawn(async move {
                    let answer = workers.call(&target, call.clone()).await;
                    ActionResult::Worker(reason, call, answer)
                });
            }
            JobAction::WriteBatch { key, value } => {
                let store = self.store.clone();
                calls.spawn(async move { ActionResult::Batch(write_batch(&store, &key, value).await) });
            }
            JobAction::DeleteBatch { key } => {
                let store = self.store.clone();
                calls.spawn(async move {
                    // A batch that is not deleted contains only ended jobs and costs nothing but space.
                    drop(store.delete(&key, PutExpect::Any).await);
                    ActionResult::Deleted
                });
            }
            JobAction::Propose(change) => (self.links.notify)(JobNotice::Propose(change)),
            JobAction::ReportVerdict(verdict) => (self.links.notify)(JobNotice::Verdict(verdict)),
        }
    }

    fn handle_result(&self, result: ActionResult) {
        let time = self.time();
        let mut inner = self.lock();
        match result {
            ActionResult::Worker(reason, call, answer) => {
                inner.scheduler.handle_answer(time, reason, &call, answer);
            }
            ActionResult::Batch(result) => {
                let report = inner.scheduler.handle_batch_result(result);
                inner.resolve_submissions(report);
            }
            ActionResult::Deleted => {}
        }
    }

    /// Session that runs the jobs.
    pub fn session(&self) -> &SessionId {
        &self.session
    }

    /// Allocates the id of a new job.
    ///
    /// # Errors
    /// See [`JobScheduler::next_id`].
    pub fn next_id(&self) -> Result<JobId> {
        self.lock().scheduler.next_id()
    }

    /// Accepts a job and waits until it is durable. `max_waiting` is the limit of its queue.
    ///
    /// # Errors
    /// `queue_full`, `overloaded`, `too_large` or `store_unavailable` if the job will not run;
    /// `store_outcome_unknown` if the store did not answer in time.
    pub async fn submit(&self, submission: JobSubmission, max_waiting: u32) -> Result<()> {
        let receiver = {
            let time = self.time();
            let mut inner = self.lock();
            let event_id = inner.scheduler.submit(time, submission, max_waiting)?;
            let (sender, receiver) = oneshot::channel();
            inner.waiters.insert(event_id, sender);
            receiver
        };
        match tokio::time::timeout(SUBMIT_TIMEOUT, receiver).await {
            Ok(Ok(result)) => result,
            _ => Err(Error::new(
                ErrorKind::StoreOutcomeUnknown,
                "the store did not confirm in time whether the job was recorded",
            )),
        }
    }

    /// Looks up a job of this session.
    pub fn view(&self, job: &JobId) -> Option<JobView> {
        self.lock().scheduler.view(job)
    }

    /// Cancels a job of this session.
    ///
    /// # Errors
    /// `not_found` if this session does not have the job.
    pub fn cancel(&self, job: &JobId) -> Result<JobView> {
        let time = self.time();
        self.lock().scheduler.cancel(time, job)
    }

    /// Calls `reader` with the locked scheduler, for demand reports and shares.
    pub fn with_scheduler<T>(&self, reader: impl FnOnce(&mut JobScheduler) -> T) -> T {
        reader(&mut self.lock().scheduler)
    }

    /// Takes over the jobs of a session that has certainly ended or was forgotten in the journal. Returns the
    /// number of unfinished jobs.
    ///
    /// # Errors
    /// `conflict` if another session owns the jobs; store errors, after which the call may be repeated.
    pub async fn adopt(&self, ended: &SessionId) -> Result<usize> {
        let taken = job_adoption::take_over(&self.store, ended, &self.session).await?;
        let AdoptedLog { jobs, sessions, keys } = taken;
        let count = jobs.len();
        for receiver in self.log_adopted_jobs(&jobs)? {
            let written = receiver.await;
            written.map_err(|e| Error::new(ErrorKind::Draining, format!("the session ended: {e}")))??;
        }
        for session in &sessions {
            job_adoption::mark_absorbed(&self.store, session, &self.session).await?;
        }
        let time = self.time();
        self.lock().scheduler.adopt(time, jobs);
        for key in keys {
            // An absorbed log is never read again: a batch that is not deleted costs nothing but space.
            drop(self.store.delete(&key, PutExpect::Any).await);
        }
        Ok(count)
    }

    fn log_adopted_jobs(&self, jobs: &[LiveJob]) -> Result<Vec<oneshot::Receiver<Result<()>>>> {
        let mut inner = self.lock();
        let event_ids = inner.scheduler.log_adopted_jobs(jobs)?;
        let mut receivers = Vec::new();
        for event_id in event_ids {
            let (sender, receiver) = oneshot::channel();
            inner.waiters.insert(event_id, sender);
            receivers.push(receiver);
        }
        Ok(receivers)
    }

    fn time(&self) -> StepTime {
        StepTime {
            now: self.clock.now(),
            wall_time: UnixMillis::from(self.clock.wall_time()),
        }
    }

    fn lock(&self) -> MutexGuard<'_, RunnerInner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl RunnerInner {
    fn resolve_submissions(&mut self, report: BatchReport) {
        for event_id in report.written {
            self.resolve(event_id, Ok(()));
        }
        for event_id in report.rejected {
            let message = "the store did not record the job";
            self.resolve(event_id, Err(Error::new(ErrorKind::StoreUnavailable, message)));
        }
    }

    fn resolve(&mut self, event_id: EventId, result: Result<()>) {
        if let Some(waiter) = self.waiters.remove(&event_id) {
            // If the caller has stopped waiting, the job is recorded or refused all the same.
            drop(waiter.send(result));
        }
    }
}

/// Creates a batch. If the key exists, returns its value: it tells whether an earlier attempt whose answer
/// was lost wrote it.
async fn write_batch(store: &StoreClient, key: &str, value: Vec<u8>) -> BatchWriteResult {
    match store.put(key, Bytes::from(value), PutExpect::Absent, None).await {
        Ok(_) => BatchWriteResult::Written,
        Err(StoreError::Conflict { .. }) => read_batch(store, key).await,
        Err(StoreError::TimedOut) => BatchWriteResult::Unknown,
        Err(_) => BatchWriteResult::Failed,
    }
}

async fn read_batch(store: &StoreClient, key: &str) -> BatchWriteResult {
    let Ok(Some(found)) = store.get(key).await else {
        return BatchWriteResult::Unknown;
    };
    match serde_json::from_slice::<JobBatch>(&found.value) {
        Ok(batch) => BatchWriteResult::Exists(Box::new(batch)),
        Err(_) => BatchWriteResult::Unknown,
    }
}
