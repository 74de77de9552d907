//! The stand-in for all workers of a fleet, shared by the threads of one process.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use crate::clock::SharedClock;
use crate::error::{Error, ErrorKind, Result};
use crate::journal::member::InstancePlace;
use crate::model::id::{InstanceId, JobId};
use crate::model::unix_time::UnixMillis;
use crate::port::worker::call::{WorkerAnswer, WorkerCall};
use crate::port::worker::fault::{TaskTruth, WorkerFault};
use crate::port::worker::stand_in::StandInWorker;
use crate::port::worker::task::{TaskRecord, TaskSpec};

/// Lag of usage reports unless set otherwise.
const DEFAULT_USAGE_LAG: Duration = Duration::from_secs(5);

/// Time of a reboot unless set otherwise.
const DEFAULT_BOOT_TIME: Duration = Duration::from_secs(30);

#[derive(Debug)]
struct FleetInner {
    workers: BTreeMap<InstanceId, StandInWorker>,
    places: BTreeMap<InstanceId, InstancePlace>,
    truths: BTreeMap<JobId, TaskTruth>,
    usage_lag_ms: u64,
    boot_ms: u64,
}

/// Stand-in workers. Copies share the same fleet.
#[derive(Debug, Clone)]
pub struct WorkerFleet {
    clock: SharedClock,
    start: Instant,
    start_ms: u64,
    inner: Arc<Mutex<FleetInner>>,
}

impl WorkerFleet {
    /// Creates an empty fleet on the given clock.
    pub fn new(clock: SharedClock) -> Self {
        let inner = FleetInner {
            workers: BTreeMap::new(),
            places: BTreeMap::new(),
            truths: BTreeMap::new(),
            usage_lag_ms: DEFAULT_USAGE_LAG.as_millis() as u64,
            boot_ms: DEFAULT_BOOT_TIME.as_millis() as u64,
        };
        Self {
            start: clock.now(),
            start_ms: UnixMillis::from(clock.wall_time()).get(),
            clock,
            inner: Arc::new(Mutex::new(inner)),
        }
    }

    /// Sets the lag of usage reports.
    #[must_use]
    pub fn with_usage_lag(self, lag: Duration) -> Self {
        self.lock().usage_lag_ms = lag.as_millis() as u64;
        self
    }

    /// Sets the time of a reboot.
    #[must_use]
    pub fn with_boot_time(self, time: Duration) -> Self {
        self.lock().boot_ms = time.as_millis() as u64;
        self
    }

    /// Adds a worker; its rack and resources come from the place.
    pub fn add(&self, instance: &InstanceId, place: InstancePlace) {
        let worker = StandInWorker::new(instance.clone(), place.resources);
        let mut inner = self.lock();
        inner.workers.insert(instance.clone(), worker);
        inner.places.insert(instance.clone(), place);
    }

    /// Places of all workers.
    pub fn places(&self) -> BTreeMap<InstanceId, InstancePlace> {
        self.lock().places.clone()
    }

    /// Says what a job really does. Other jobs follow their payload, see [`TaskTruth::from_payload`].
    pub fn set_truth(&self, job: &JobId, truth: TaskTruth) {
        self.lock().truths.insert(job.clone(), truth);
    }

    /// Switches a fault of a worker on.
    pub fn set_fault(&self, instance: &InstanceId, fault: WorkerFault) {
        self.with_worker(instance, |worker| worker.faults.extend([fault]));
    }

    /// Switches all faults of a worker off.
    pub fn clear_faults(&self, instance: &InstanceId) {
        self.with_worker(instance, |worker| worker.faults.clear());
    }

    /// Crashes a worker.
    pub fn crash(&self, instance: &InstanceId) {
        let now_ms = self.now_ms();
        self.with_worker(instance, |worker| worker.crash(now_ms));
    }

    /// Brings a crashed worker back.
    pub fn recover(&self, instance: &InstanceId) {
        self.with_worker(instance, StandInWorker::recover);
    }

    /// Records of every task that really ran on any worker, by instance and start.
    pub fn records(&self) -> Vec<TaskRecord> {
        let now_ms = self.now_ms();
        let mut inner = self.lock();
        let mut records = Vec::new();
        for worker in inner.workers.values_mut() {
            worker.settle(now_ms);
            records.extend_from_slice(worker.records());
        }
        records
    }

    /// Makes a call to a worker.
    ///
    /// # Errors
    /// `worker_refused` if the call had no effect, `outcome_unknown` if the answer is lost, `not_found` if the
    /// task is not known.
    pub fn call(&self, instance: &InstanceId, call: &WorkerCall) -> Result<WorkerAnswer> {
        let now_ms = self.now_ms();
        let mut inner = self.lock();
        let lost = || {
            let message = format!("worker {instance}: no answer");
            Error::new(ErrorKind::OutcomeUnknown, message)
        };
        let worker = inner.workers.get_mut(instance);
        let Some(worker) = worker.filter(|worker| worker.is_up(now_ms)) else {
            let message = format!("worker {instance}: connection refused");
            return Err(Error::new(ErrorKind::WorkerRefused, message));
        };
        if worker.faults.contains(&WorkerFault::Unreachable) {
            return Err(lost());
        }
        let loses_answers = worker.faults.contains(&WorkerFault::LosesAnswers);
        let answer = inner.apply(now_ms, instance, call);
        if loses_answers { Err(lost()) } else { answer }
    }

    fn with_worker(&self, instance: &InstanceId, change: impl FnOnce(&mut StandInWorker)) {
        let now_ms = self.now_ms();
        if let Some(worker) = self.lock().workers.get_mut(instance) {
            worker.settle(now_ms);
            change(worker);
        }
    }

    fn now_ms(&self) -> u64 {
        let elapsed = self.clock.now().saturating_duration_since(self.start);
        self.start_ms + elapsed.as_millis() as u64
    }

    fn lock(&self) -> MutexGuard<'_, FleetInner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl FleetInner {
    fn truth(&self, task: &TaskSpec) -> TaskTruth {
        let known = self.truths.get(&task.job).copied();
        known.unwrap_or_else(|| TaskTruth::from_payload(&task.payload))
    }

    fn apply(&mut self, now_ms: u64, instance: &InstanceId, call: &WorkerCall) -> Result<WorkerAnswer> {
        let truth = match call {
            WorkerCall::Start { task } => self.truth(task),
            _ => TaskTruth::default(),
        };
        let Some(worker) = self.workers.get_mut(instance) else {
            let message = format!("worker {instance} does not exist");
            return Err(Error::new(ErrorKind::WorkerRefused, message));
        };
        worker.settle(now_ms);
        match call {
            WorkerCall::Start { task } => worker.start(now_ms, task, truth)?,
            WorkerCall::Renew { jobs } => {
                worker.renew(now_ms, jobs);
                let records = if jobs.is_empty() {
                    Vec::new()
                } else {
                    worker.history(jobs)
                };
                return Ok(WorkerAnswer::Tasks(records));
            }
            WorkerCall::Checkpoint { job } => {
                return Ok(WorkerAnswer::Tasks(vec![worker.stop(now_ms, job, true)?]));
            }
            WorkerCall::Stop { job } => {
                return Ok(WorkerAnswer::Tasks(vec![worker.stop(now_ms, job, false)?]));
            }
            WorkerCall::Throttle { job, permille } => worker.throttle(now_ms, job, *permille)?,
            WorkerCall::Join { generation } => worker.join(*generation)?,
            WorkerCall::Drain { operation } => worker.set_accepting(*operation, false)?,
            WorkerCall::Resume { operation } => worker.set_accepting(*operation, true)?,
            WorkerCall::Reboot { operation } => worker.reboot(now_ms, *operation, self.boot_ms)?,
            WorkerCall::Usage if worker.faults.contains(&WorkerFault::LosesUsage) => {
                let message = format!("worker {instance}: usage report lost");
                return Err(Error::new(ErrorKind::OutcomeUnknown, message));
            }
            WorkerCall::Usage => return Ok(WorkerAnswer::Usage(worker.usage(now_ms, self.usage_lag_ms))),
            WorkerCall::Running => return Ok(WorkerAnswer::Tasks(worker.running())),
            WorkerCall::History { jobs } => return Ok(WorkerAnswer::Tasks(worker.history(jobs))),
            WorkerCall::Status => return Ok(WorkerAnswer::Status(worker.status())),
        }
        Ok(WorkerAnswer::Done)
    }
}
