//! Chooses workers for jobs: a worker must have room for the expected size, a team's tasks are spread over
//! racks, and failing workers are avoided.
//!
//! The workers of a pool are indexed by load. Only a fixed number of the least loaded ones is considered, so
//! that a choice costs O(log workers).

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use crate::model::id::{InstanceId, JobId, PoolId, RackId, TeamId};
use crate::model::resource::ResourceSet;
use crate::policy::worker_allocation::{self, PlacedTask, WorkerAllocation, WorkerInfo};

/// Number of least loaded workers that are considered for a job.
const MAX_CANDIDATES: usize = 32;

/// Time for which a worker counts as full after it refused a task for lack of room.
const FULL_PERIOD: Duration = Duration::from_millis(500);

/// Time for which the first failure counts as load; doubles for each consecutive one.
const FAILURE_PERIOD: Duration = Duration::from_secs(5);

/// Maximum time for which failures count as load.
const MAX_FAILURE_PERIOD: Duration = Duration::from_mins(5);

/// Result of the choice of a worker for a job.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PlacementChoice {
    /// The job goes to this worker.
    Worker(InstanceId),
    /// No worker of the pool has room for the job. A smaller job may fit.
    TooLarge,
    /// No worker of the pool has room for any job.
    PoolFull,
}

/// Workers of all pools, their tasks and their reservations.
#[derive(Debug, Clone, Default)]
pub struct PlacementTable {
    /// Determines the order of workers of equal load.
    salt: u64,
    workers: BTreeMap<InstanceId, WorkerAllocation>,
    /// Workers that may receive tasks, by pool and load.
    by_load: BTreeMap<PoolId, BTreeSet<(u64, InstanceId)>>,
    /// Workers with accelerators, by pool and load.
    accelerated_by_load: BTreeMap<PoolId, BTreeSet<(u64, InstanceId)>>,
    /// Workers by the time at which they stop counting as full or failing.
    expiries: BTreeSet<(Instant, InstanceId)>,
    /// Worker of each running task.
    locations: BTreeMap<JobId, InstanceId>,
    /// Number of running tasks by team and rack.
    rack_tasks: BTreeMap<(TeamId, RackId), u32>,
}

impl PlacementTable {
    /// Creates an empty table.
    pub fn new() -> Self {
        Self::default()
    }

    /// Sets the number that determines the order of workers of equal load. Sessions use different ones, so
    /// that they do not all choose the same worker.
    #[must_use]
    pub fn with_salt(mut self, salt: u64) -> Self {
        self.salt = salt;
        self
    }

    /// Adds a worker or changes its place; its tasks stay.
    pub fn set_worker(&mut self, instance: &InstanceId, info: WorkerInfo) {
        if self
            .workers
            .get(instance)
            .is_some_and(|worker| worker.info == info)
        {
            return;
        }
        self.remove_from_index(instance);
        let worker = self.workers.entry(instance.clone());
        let worker = worker.or_insert_with(|| WorkerAllocation::new(info.clone()));
        worker.info = info;
        self.add_to_index(instance);
    }

    /// Removes a worker and returns the tasks that were on it.
    pub fn remove_worker(&mut self, instance: &InstanceId) -> Vec<PlacedTask> {
        let jobs: Vec<JobId> = self.tasks_on(instance).map(|task| task.job.clone()).collect();
        let tasks = jobs.iter().filter_map(|job| self.remove_task(job)).collect();
        self.remove_from_index(instance);
        self.workers.remove(instance);
        tasks
    }

    /// Instances of all workers.
    pub fn instances(&self) -> impl Iterator<Item = &InstanceId> {
        self.workers.keys()
    }

    /// Description of a worker; absent for an unknown one.
    pub fn worker(&self, instance: &InstanceId) -> Option<&WorkerInfo> {
        self.workers.get(instance).map(|worker| &worker.info)
    }

    /// Resources committed to the tasks on a worker; zero for an unknown worker.
    pub fn committed(&self, instance: &InstanceId) -> ResourceSet {
        self.workers
            .get(instance)
            .map_or_else(ResourceSet::default, |worker| worker.committed)
    }

    /// Tasks on a worker, those of other sessions included.
    pub fn tasks_on(&self, instance: &InstanceId) -> impl Iterator<Item = &PlacedTask> {
        self.workers
            .get(instance)
            .into_iter()
            .flat_map(|worker| worker.tasks.values())
    }

    /// Least loaded workers of a pool that may receive tasks, at most `limit`.
    pub fn least_loaded(&self, pool: &PoolId, limit: usize) -> Vec<InstanceId> {
        let listed = self.by_load.get(pool).into_iter().flatten();
        listed.take(limit).map(|(_, instance)| instance.clone()).collect()
    }

    /// Worker on which a job runs; absent if it does not run.
    pub fn location(&self, job: &JobId) -> Option<&InstanceId> {
        self.locations.get(job)
    }

    fn remove_from_index(&mut self, instance: &InstanceId) {
        let Some(worker) = self.workers.get(instance) else {
            return;
        };
        let entry = (worker.rank, instance.clone());
        for index in [&mut self.by_load, &mut self.accelerated_by_load] {
            if let Some(listed) = index.get_mut(&worker.info.pool) {
                listed.remove(&entry);
            }
        }
    }

    fn add_to_index(&mut self, instance: &InstanceId) {
        let Some(worker) = self.workers.get_mut(instance) else {
            return;
        };
        worker.rank = worker.load_rank(instance, self.salt);
        if !worker.info.accepts_tasks || worker.is_blocked() {
            return;
        }
        let entry = (worker.rank, instance.clone());
        let pool = &worker.info.pool;
        if worker.info.resources.accelerators.get() > 0 {
            self.accelerated_by_load
                .entry(pool.clone())
                .or_default()
                .insert(entry.clone());
        }
        self.by_load.entry(pool.clone()).or_default().insert(entry);
    }

    fn update_worker(&mut self, instance: &InstanceId, change: impl FnOnce(&mut WorkerAllocation)) {
        self.remove_from_index(instance);
        if let Some(worker) = self.workers.get_mut(instance) {
            change(worker);
        }
        self.add_to_index(instance);
    }

    /// Chooses the worker for a job. Among the least loaded workers that have room, it is one whose rack runs
    /// the fewest tasks of the team.
    pub fn choose_worker(
        &mut self,
        now: Instant,
        pool: &PoolId,
        team: &TeamId,
        size: &ResourceSet,
        avoid: &BTreeSet<InstanceId>,
    ) -> PlacementChoice {
        self.expire(now);
        let index = if size.accelerators.get() > 0 {
            &self.accelerated_by_load
        } else {
            &self.by_load
        };
        let Some(listed) = index.get(pool) else {
            return PlacementChoice::PoolFull;
        };
        if listed
            .first()
            .is_none_or(|(rank, _)| WorkerAllocation::is_full_rank(*rank))
            && size.accelerators.get() == 0
        {
            return PlacementChoice::PoolFull;
        }
        let instances = listed.iter().map(|(_, instance)| instance);
        let allowed = instances.filter(|instance| !avoid.contains(*instance));
        let fitting = allowed
            .take(MAX_CANDIDATES)
            .filter(|instance| self.workers[*instance].has_room(size));
        let best = fitting.min_by_key(|instance| {
            let rack = &self.workers[*instance].info.rack;
            let key = (team.clone(), rack.clone());
            self.rack_tasks.get(&key).copied().unwrap_or(0)
        });
        best.map_or(PlacementChoice::TooLarge, |instance| {
            PlacementChoice::Worker(instance.clone())
        })
    }

    /// Adds a started task to a worker and ends the job's reservation there.
    pub fn add_task(&mut self, instance: &InstanceId, task: PlacedTask) {
        let Some(worker) = self.workers.get(instance) else {
            return;
        };
        let rack = worker.info.rack.clone();
        *self.rack_tasks.entry((task.team.clone(), rack)).or_insert(0) += 1;
        self.locations.insert(task.job.clone(), instance.clone());
        self.update_worker(instance, |worker| {
            worker.reserved.remove(&task.job);
            worker.committed = worker.committed.plus(&task.committed);
            worker.tasks.insert(task.job.clone(), task);
        });
    }

    /// Removes an ended task from its worker and returns it.
    pub fn remove_task(&mut self, job: &JobId) -> Option<PlacedTask> {
        let instance = self.locations.remove(job)?;
        let mut ended = None;
        self.update_worker(&instance, |worker| {
            if let Some(task) = worker.tasks.remove(job) {
                worker.committed = worker.committed.saturating_sub(&task.committed);
                worker.stopping.remove(job);
                ended = Some((task, worker.info.rack.clone()));
            }
        });
        let (task, rack) = ended?;
        let key = (task.team.clone(), rack);
        if let Some(count) = self.rack_tasks.get_mut(&key) {
            *count -= 1;
            if *count == 0 {
                self.rack_tasks.remove(&key);
            }
        }
        Some(task)
    }

    /// Raises the committed cores and memory of a task to its measured usage. They are never lowered while
    /// the task runs, because usage reports are delayed.
    pub fn raise_commitment(&mut self, job: &JobId, used: &ResourceSet) {
        let Some(instance) = self.locations.get(job).cloned() else {
            return;
        };
        let is_known = |task: &PlacedTask| task.committed.covers(used);
        if self.workers[&instance].tasks.get(job).is_none_or(is_known) {
            return;
        }
        self.update_worker(&instance, |worker| {
            if let Some(task) = worker.tasks.get_mut(job) {
                let rest = worker.committed.saturating_sub(&task.committed);
                task.committed.cores = task.committed.cores.max(used.cores);
                task.committed.memory = task.committed.memory.max(used.memory);
                worker.committed = rest.plus(&task.committed);
            }
        });
    }

    /// Overnight tasks to checkpoint and stop because the committed memory exceeds the worker's, newest
    /// first.
    pub fn tasks_over_memory(&self, instance: &InstanceId) -> Vec<JobId> {
        let Some(worker) = self.workers.get(instance) else {
            return Vec::new();
        };
        let mut excess = worker
            .committed
            .memory
            .saturating_sub(worker.info.resources.memory);
        let mut victims = Vec::new();
        for task in worker_allocation::preemptible_tasks(worker) {
            if excess.get() == 0 {
                break;
            }
            excess = excess.saturating_sub(task.committed.memory);
            victims.push(task.job.clone());
        }
        victims
    }

    /// Makes room for an urgent job: reserves its size on the worker on which the fewest overnight tasks have
    /// to stop, and returns the worker with these tasks, newest first. The reservation ends when the job
    /// starts there or with [`Self::release_reservation`].
    pub fn preempt(
        &mut self,
        job: &JobId,
        pool: &PoolId,
        size: &ResourceSet,
        avoid: &BTreeSet<InstanceId>,
    ) -> Option<(InstanceId, Vec<JobId>)> {
        let listed = self.by_load.get(pool)?;
        let instances = listed.iter().map(|(_, instance)| instance);
        let allowed = instances.filter(|instance| !avoid.contains(*instance));
        let plans = allowed.filter_map(|instance| {
            let victims = worker_allocation::preemption_victims(&self.workers[instance], size)?;
            Some((instance.clone(), victims))
        });
        let (instance, victims) = plans
            .take(MAX_CANDIDATES)
            .min_by_key(|(_, victims)| victims.len())?;
        self.update_worker(&instance, |worker| {
            worker.reserved.insert(job.clone(), *size);
            worker.stopping.extend(victims.iter().cloned());
        });
        Some((instance, victims))
    }

    /// Whether the worker on which a job has a reservation has room for it now.
    pub fn has_reserved_room(&self, job: &JobId, instance: &InstanceId) -> bool {
        let Some(worker) = self.workers.get(instance) else {
            return false;
        };
        let Some(size) = worker.reserved.get(job) else {
            return false;
        };
        worker.info.accepts_tasks && worker.capacity().covers(&worker.committed.plus(size))
    }

    /// Ends a job's reservation on a worker.
    pub fn release_reservation(&mut self, job: &JobId, instance: &InstanceId) {
        self.update_worker(instance, |worker| {
            worker.reserved.remove(job);
        });
    }

    /// Counts a failure of a worker as load for a time that doubles with each consecutive failure.
    pub fn record_failure(&mut self, now: Instant, instance: &InstanceId) {
        let Some(worker) = self.workers.get(instance) else {
            return;
        };
        let doublings = worker.failures.min(16);
        let time = FAILURE_PERIOD
            .saturating_mul(1 << doublings)
            .min(MAX_FAILURE_PERIOD);
        let until = now + time;
        self.expiries.insert((until, instance.clone()));
        self.update_worker(instance, |worker| {
            worker.failures += 1;
            worker.failing_until = Some(until);
        });
    }

    /// Removes the load that earlier failures of a worker added.
    pub fn record_success(&mut self, instance: &InstanceId) {
        if self
            .workers
            .get(instance)
            .is_none_or(|worker| worker.failures == 0)
        {
            return;
        }
        self.update_worker(instance, |worker| {
            worker.failures = 0;
            worker.failing_until = None;
        });
    }

    /// Counts a worker as full for a short time, because it refused a task for lack of room. Other sessions
    /// start tasks there too, which this session does not know at once.
    pub fn record_no_room(&mut self, now: Instant, instance: &InstanceId) {
        let until = now + FULL_PERIOD;
        self.expiries.insert((until, instance.clone()));
        self.update_worker(instance, |worker| worker.full_until = Some(until));
    }

    /// Replaces the tasks of other sessions on a worker by those that the worker reports as running.
    pub fn sync_remote_tasks(&mut self, instance: &InstanceId, remote: Vec<PlacedTask>) {
        let remote_jobs = self.tasks_on(instance).filter(|task| task.is_remote);
        let remote_jobs: Vec<JobId> = remote_jobs.map(|task| task.job.clone()).collect();
        for job in remote_jobs {
            self.remove_task(&job);
        }
        for task in remote {
            if !self.locations.contains_key(&task.job) {
                self.add_task(instance, task);
            }
        }
    }

    /// Updates the load of workers that no longer count as full or failing. Their number of consecutive
    /// failures is kept.
    fn expire(&mut self, now: Instant) {
        while let Some((until, instance)) = self.expiries.first()
            && *until <= now
        {
            let entry = (*until, instance.clone());
            self.expiries.remove(&entry);
            let is_over = |until: &mut Instant| *until <= now;
            self.update_worker(&entry.1, |worker| {
                worker.full_until.take_if(is_over);
                worker.failing_until.take_if(is_over);
            });
        }
    }
}
