//! One stand-in worker on a virtual timeline.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use crate::error::{Error, ErrorKind, Result};
use crate::model::amount::{MemoryMib, MilliCores};
use crate::model::id::{Generation, InstanceId, JobId, Revision};
use crate::model::resource::ResourceSet;
use crate::model::unix_time::UnixMillis;
use crate::port::worker::fault::{TaskTruth, WorkerFault};
use crate::port::worker::task::{
    TaskEnd, TaskOutcome, TaskRecord, TaskSpec, TaskUsage, UsageReport, WorkerStatus,
};

/// Full speed, in thousandths.
const FULL_SPEED: u64 = 1_000;

/// A task that runs on the stand-in.
#[derive(Debug, Clone)]
struct RunningTask {
    spec: TaskSpec,
    used: ResourceSet,
    outcome: TaskOutcome,
    /// Work left, in milliseconds at full speed; absent if the task never ends by itself.
    left_ms: Option<u64>,
    speed_permille: u64,
    /// Time up to which `left_ms` is accounted.
    accounted_ms: u64,
    started_ms: u64,
    lease_end_ms: u64,
    record: usize,
}

impl RunningTask {
    fn natural_end_ms(&self) -> u64 {
        let Some(left) = self.left_ms else {
            return u64::MAX;
        };
        self.accounted_ms + (left * FULL_SPEED).div_ceil(self.speed_permille.max(1))
    }

    fn end_ms(&self) -> u64 {
        self.natural_end_ms().min(self.lease_end_ms)
    }

    fn account(&mut self, now_ms: u64) {
        let done = (now_ms - self.accounted_ms) * self.speed_permille / FULL_SPEED;
        self.left_ms = self.left_ms.map(|left| left.saturating_sub(done));
        self.accounted_ms = now_ms;
    }
}

/// One stand-in worker. All times are milliseconds of the fleet's clock.
#[derive(Debug, Clone)]
pub struct StandInWorker {
    instance: InstanceId,
    resources: ResourceSet,
    generation: Generation,
    operation: Revision,
    accepting: bool,
    reboot_end_ms: u64,
    crashed: bool,
    /// Faults switched on.
    pub faults: BTreeSet<WorkerFault>,
    running: BTreeMap<JobId, RunningTask>,
    newest: BTreeMap<JobId, usize>,
    records: Vec<TaskRecord>,
}

impl StandInWorker {
    /// Creates a worker that accepts tasks of generation 0.
    pub fn new(instance: InstanceId, resources: ResourceSet) -> Self {
        Self {
            instance,
            resources,
            generation: Generation::default(),
            operation: Revision::default(),
            accepting: true,
            reboot_end_ms: 0,
            crashed: false,
            faults: BTreeSet::new(),
            running: BTreeMap::new(),
            newest: BTreeMap::new(),
            records: Vec::new(),
        }
    }

    /// All tasks that really ran, in start order.
    pub fn records(&self) -> &[TaskRecord] {
        &self.records
    }

    /// Whether the worker answers calls at all.
    pub fn is_up(&self, now_ms: u64) -> bool {
        !self.crashed && now_ms >= self.reboot_end_ms
    }

    /// Ends the tasks that completed or whose lease ended up to now.
    pub fn settle(&mut self, now_ms: u64) {
        let mut ended: Vec<(u64, JobId)> = Vec::new();
        for (job, task) in &self.running {
            if task.end_ms() <= now_ms {
                ended.push((task.end_ms(), job.clone()));
            }
        }
        ended.sort();
        for (at, job) in ended {
            let task = &self.running[&job];
            let is_natural = task.natural_end_ms() <= task.lease_end_ms;
            let outcome = if is_natural {
                task.outcome.clone()
            } else {
                TaskOutcome::LeaseExpired
            };
            self.end_task(at, &job, outcome);
        }
    }

    fn end_task(&mut self, at_ms: u64, job: &JobId, outcome: TaskOutcome) {
        if let Some(task) = self.running.remove(job) {
            let at = UnixMillis::new(at_ms);
            self.records[task.record].end = Some(TaskEnd { at, outcome });
        }
    }

    fn interrupt_all(&mut self, now_ms: u64) {
        let jobs: Vec<JobId> = self.running.keys().cloned().collect();
        for job in jobs {
            self.end_task(now_ms, &job, TaskOutcome::Interrupted);
        }
    }

    /// Crashes the worker: running tasks are interrupted and calls are refused until [`Self::recover`].
    pub fn crash(&mut self, now_ms: u64) {
        self.settle(now_ms);
        self.interrupt_all(now_ms);
        self.crashed = true;
    }

    /// Brings a crashed worker back. Its records, generation and operation survive.
    pub fn recover(&mut self) {
        self.crashed = false;
    }

    /// Starts a task.
    ///
    /// # Errors
    /// `worker_refused` if the task is not accepted.
    pub fn start(&mut self, now_ms: u64, spec: &TaskSpec, truth: TaskTruth) -> Result<()> {
        self.check_start(spec)?;
        let used = ResourceSet {
            cores: truth.milli_cores.map_or(spec.resources.cores, MilliCores::new),
            memory: truth.memory_mib.map_or(spec.resources.memory, MemoryMib::new),
            accelerators: spec.resources.accelerators,
        };
        let (left_ms, outcome) = self.plan_run(&used, truth);
        let record = self.records.len();
        self.records.push(TaskRecord {
            job: spec.job.clone(),
            attempt: spec.attempt,
            team: spec.team.clone(),
            pool: spec.pool.clone(),
            instance: self.instance.clone(),
            session: spec.session.clone(),
            priority: spec.priority,
            repeatable: spec.repeatable,
            resources: spec.resources,
            started_at: UnixMillis::new(now_ms),
            end: None,
        });
        self.newest.insert(spec.job.clone(), record);
        let task = RunningTask {
            spec: spec.clone(),
            used,
            outcome,
            left_ms,
            speed_permille: FULL_SPEED,
            accounted_ms: now_ms,
            started_ms: now_ms,
            lease_end_ms: now_ms + spec.lease_ms,
            record,
        };
        self.running.insert(spec.job.clone(), task);
        self.settle(now_ms);
        Ok(())
    }

    fn check_start(&self, spec: &TaskSpec) -> Result<()> {
        if self.faults.contains(&WorkerFault::Refuses) || !self.accepting {
            return Err(self.refuse("accepts no tasks"));
        }
        if spec.generation != self.generation {
            let reason = format!("generation {} is not {}", spec.generation, self.generation);
            return Err(self.refuse(&reason));
        }
        self.check_room(spec)?;
        let Some(&newest) = self.newest.get(&spec.job) else {
            return Ok(());
        };
        let earlier = &self.records[newest];
        let may_repeat = spec.repeatable || spec.checkpoint.is_some();
        if earlier.end.is_some() && may_repeat && spec.attempt > earlier.attempt {
            return Ok(());
        }
        Err(self.refuse(&format!("job {} was already started here", spec.job)))
    }

    /// Memory and accelerators are granted at most once; sessions that do not know of each other's tasks meet
    /// here.
    fn check_room(&self, spec: &TaskSpec) -> Result<()> {
        let running = self.running.values();
        let granted = running.fold(spec.resources, |sum, task| sum.plus(&task.spec.resources));
        let has_room =
            granted.memory <= self.resources.memory && granted.accelerators <= self.resources.accelerators;
        if has_room {
            return Ok(());
        }
        Err(self.refuse("has no room"))
    }

    /// Records of the running tasks.
    pub fn running(&self) -> Vec<TaskRecord> {
        let running = self.running.values();
        running.map(|task| self.records[task.record].clone()).collect()
    }

    /// Time to the end and outcome of a task that starts now.
    fn plan_run(&self, used: &ResourceSet, truth: TaskTruth) -> (Option<u64>, TaskOutcome) {
        let failed = |reason: &str| TaskOutcome::Failed {
            reason: Arc::from(reason),
        };
        if self.faults.contains(&WorkerFault::FailsAll) {
            return (Some(0), failed("worker fault"));
        }
        let in_use = self.used().plus(used);
        if in_use.memory > self.resources.memory {
            return (Some(0), failed("out of memory"));
        }
        if self.faults.contains(&WorkerFault::Hangs) {
            return (None, TaskOutcome::Succeeded);
        }
        if truth.never_runs {
            return (Some(0), failed("job fault"));
        }
        let factor = self.slow_factor();
        (Some(truth.run_ms * factor), TaskOutcome::Succeeded)
    }

    fn slow_factor(&self) -> u64 {
        let factors = self.faults.iter().filter_map(|fault| match fault {
            WorkerFault::Slow(factor) => Some(u64::from(*factor)),
            _ => None,
        });
        factors.max().unwrap_or(1)
    }

    fn used(&self) -> ResourceSet {
        let running = self.running.values();
        running.fold(ResourceSet::default(), |sum, task| sum.plus(&task.used))
    }

    /// Renews the leases of the running ones of `jobs`.
    pub fn renew(&mut self, now_ms: u64, jobs: &BTreeSet<JobId>) {
        for job in jobs {
            if let Some(task) = self.running.get_mut(job) {
                task.lease_end_ms = now_ms + task.spec.lease_ms;
            }
        }
    }

    /// Stops a running task, with or without a checkpoint.
    ///
    /// # Errors
    /// `not_found` if the worker never started the job.
    pub fn stop(&mut self, now_ms: u64, job: &JobId, with_checkpoint: bool) -> Result<TaskRecord> {
        let Some(&newest) = self.newest.get(job) else {
            return Err(self.unknown(job));
        };
        let outcome = if with_checkpoint {
            let attempt = self.records[newest].attempt;
            TaskOutcome::Checkpointed {
                checkpoint: Arc::from(format!("{job}/{attempt}")),
            }
        } else {
            TaskOutcome::Stopped
        };
        self.end_task(now_ms, job, outcome);
        Ok(self.records[newest].clone())
    }

    /// Sets the speed of a running task.
    ///
    /// # Errors
    /// `not_found` if the job does not run here.
    pub fn throttle(&mut self, now_ms: u64, job: &JobId, permille: u32) -> Result<()> {
        let Some(task) = self.running.get_mut(job) else {
            return Err(self.unknown(job));
        };
        task.account(now_ms);
        task.speed_permille = u64::from(permille).clamp(1, FULL_SPEED);
        Ok(())
    }

    /// Sets the membership generation.
    ///
    /// # Errors
    /// `worker_refused` if the generation is below the current one.
    pub fn join(&mut self, generation: Generation) -> Result<()> {
        if generation < self.generation {
            let reason = format!("generation {generation} is below {}", self.generation);
            return Err(self.refuse(&reason));
        }
        self.generation = generation;
        Ok(())
    }

    /// Accepts tasks or not, from the given operation on.
    ///
    /// # Errors
    /// `worker_refused` if the operation is below the highest seen.
    pub fn set_accepting(&mut self, operation: Revision, accepting: bool) -> Result<()> {
        self.check_operation(operation)?;
        self.accepting = accepting;
        Ok(())
    }

    /// Reboots; a repeated call of the same operation has no further effect.
    ///
    /// # Errors
    /// `worker_refused` if the operation is below the highest seen.
    pub fn reboot(&mut self, now_ms: u64, operation: Revision, boot_ms: u64) -> Result<()> {
        let is_repeated = operation == self.operation && self.reboot_end_ms > 0;
        self.check_operation(operation)?;
        if is_repeated {
            return Ok(());
        }
        self.interrupt_all(now_ms);
        self.accepting = false;
        self.reboot_end_ms = now_ms + boot_ms;
        Ok(())
    }

    fn check_operation(&mut self, operation: Revision) -> Result<()> {
        if operation < self.operation {
            let reason = format!("operation {operation} is below {}", self.operation);
            return Err(self.refuse(&reason));
        }
        self.operation = operation;
        Ok(())
    }

    /// Use of the tasks that already ran `lag_ms` ago.
    pub fn usage(&self, now_ms: u64, lag_ms: u64) -> UsageReport {
        let measured_ms = now_ms.saturating_sub(lag_ms);
        let seen = self
            .running
            .iter()
            .filter(|(_, task)| task.started_ms + lag_ms <= now_ms);
        let tasks = seen.map(|(job, task)| TaskUsage {
            job: job.clone(),
            used: task.used,
        });
        UsageReport {
            instance: self.instance.clone(),
            measured_at: UnixMillis::new(measured_ms),
            tasks: tasks.collect(),
        }
    }

    /// Newest record of each of `jobs`, or of all jobs if it is empty.
    pub fn history(&self, jobs: &BTreeSet<JobId>) -> Vec<TaskRecord> {
        if jobs.is_empty() {
            return self.newest.values().map(|&i| self.records[i].clone()).collect();
        }
        let found = jobs.iter().filter_map(|job| self.newest.get(job));
        found.map(|&i| self.records[i].clone()).collect()
    }

    /// State of the worker.
    pub fn status(&self) -> WorkerStatus {
        WorkerStatus {
            instance: self.instance.clone(),
            generation: self.generation,
            operation: self.operation,
            accepting: self.accepting,
            running: self.running.len() as u32,
        }
    }

    fn refuse(&self, reason: &str) -> Error {
        let message = format!("worker {}: {reason}", self.instance);
        Error::new(ErrorKind::WorkerRefused, message)
    }

    fn unknown(&self, job: &JobId) -> Error {
        let message = format!("worker {}: job {job} does not run here", self.instance);
        Error::new(ErrorKind::NotFound, message)
    }
}
