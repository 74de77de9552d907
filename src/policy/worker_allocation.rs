//! Resource allocation on one worker: its tasks, free capacity and load.

use std::collections::{BTreeMap, BTreeSet};
use std::hash::{DefaultHasher, Hash, Hasher};
use std::time::Instant;

use crate::model::amount::{MemoryMib, MilliCores};
use crate::model::id::{Generation, InstanceId, JobId, PoolId, RackId, TeamId};
use crate::model::priority::WorkPriority;
use crate::model::resource::ResourceSet;

/// Share of a worker's memory that may be allocated, in thousandths. Above 1000, tasks would be killed for
/// lack of memory even if their estimates are right.
const MEMORY_PERMILLE: u64 = 1_000;

/// Share of a worker's cores that may be allocated, in thousandths. Overcommitted cores slow tasks down, but
/// no task is lost.
const CORES_PERMILLE: u64 = 1_200;

/// Load added per consecutive failure, in thousandths of the worker. After four in a row it counts as full.
const FAILURE_LOAD: u64 = 250;

/// Width of a load bucket, in thousandths. Workers in one bucket count as equally loaded; each session orders
/// them differently, so that the sessions do not all choose the same worker.
const LOAD_STEP: u64 = 50;

/// A task placed on a worker.
#[derive(Debug, Clone, PartialEq, Eq)]
#[expect(missing_docs, reason = "the other fields need no description")]
pub struct PlacedTask {
    pub job: JobId,
    pub team: TeamId,
    pub priority: WorkPriority,
    /// Whether the task may run again after it was stopped.
    pub repeatable: bool,
    /// Whether another session started the task.
    pub is_remote: bool,
    /// Allocated resources: the estimate or, if higher, the last measurement.
    pub committed: ResourceSet,
    pub started_at: Instant,
}

/// Properties of a worker that placement depends on.
#[derive(Debug, Clone, PartialEq, Eq)]
#[expect(missing_docs, reason = "the other fields need no description")]
pub struct WorkerInfo {
    pub pool: PoolId,
    pub rack: RackId,
    /// Generation of the pool membership.
    pub generation: Generation,
    pub resources: ResourceSet,
    /// Whether new tasks may be placed on the worker.
    pub accepts_tasks: bool,
}

#[derive(Debug, Clone)]
pub(crate) struct WorkerAllocation {
    pub(crate) info: WorkerInfo,
    pub(crate) tasks: BTreeMap<JobId, PlacedTask>,
    pub(crate) committed: ResourceSet,
    /// Sizes of the urgent jobs for which other tasks are being stopped.
    pub(crate) reserved: BTreeMap<JobId, ResourceSet>,
    /// Tasks that are being stopped to free capacity.
    pub(crate) stopping: BTreeSet<JobId>,
    /// Time until which the worker counts as full, because it refused a task for lack of capacity.
    pub(crate) full_until: Option<Instant>,
    pub(crate) failures: u32,
    pub(crate) failing_until: Option<Instant>,
    pub(crate) rank: u64,
}

impl WorkerAllocation {
    /// Creates a worker without tasks.
    pub(crate) fn new(info: WorkerInfo) -> Self {
        Self {
            info,
            tasks: BTreeMap::new(),
            committed: ResourceSet::default(),
            reserved: BTreeMap::new(),
            stopping: BTreeSet::new(),
            full_until: None,
            failures: 0,
            failing_until: None,
            rank: 0,
        }
    }

    pub(crate) fn capacity(&self) -> ResourceSet {
        let resources = &self.info.resources;
        ResourceSet {
            cores: MilliCores::new(resources.cores.get() * CORES_PERMILLE / 1_000),
            memory: MemoryMib::new(resources.memory.get() * MEMORY_PERMILLE / 1_000),
            accelerators: resources.accelerators,
        }
    }

    /// Resources of placed tasks together with those reserved for urgent jobs.
    pub(crate) fn allocated(&self) -> ResourceSet {
        let reserved = self.reserved.values();
        reserved.fold(self.committed, |sum, size| sum.plus(size))
    }

    pub(crate) fn has_room(&self, size: &ResourceSet) -> bool {
        self.capacity().covers(&self.allocated().plus(size))
    }

    /// Load in thousandths: that of the most heavily used resource, plus the load added for failures.
    pub(crate) fn load(&self) -> u64 {
        let capacity = self.capacity();
        let allocated = self.allocated();
        let permille = |used: u64, of: u64| used * 1_000 / of.max(1);
        let cores = permille(allocated.cores.get(), capacity.cores.get());
        let memory = permille(allocated.memory.get(), capacity.memory.get());
        let failures = self
            .failing_until
            .map_or(0, |_| u64::from(self.failures) * FAILURE_LOAD);
        cores.max(memory) + failures
    }

    /// Whether the worker receives no tasks for now, because it reported that it is full or fails too many
    /// tasks.
    pub(crate) fn is_blocked(&self) -> bool {
        let is_failing = self.failing_until.is_some() && u64::from(self.failures) * FAILURE_LOAD >= 1_000;
        is_failing || self.full_until.is_some()
    }

    /// Sort key: the load bucket in the upper half, a hash of the salt and the instance in the lower half.
    pub(crate) fn load_rank(&self, instance: &InstanceId, salt: u64) -> u64 {
        let mut hasher = DefaultHasher::new();
        (salt, instance).hash(&mut hasher);
        ((self.load() / LOAD_STEP) << 32) | (hasher.finish() >> 32)
    }

    /// Whether a rank is that of a worker without free capacity.
    pub(crate) fn is_full_rank(rank: u64) -> bool {
        (rank >> 32) * LOAD_STEP >= 1_000
    }
}

/// Overnight tasks that can be stopped without losing their job, newest first, so that little work is lost.
pub(crate) fn preemptible_tasks(worker: &WorkerAllocation) -> Vec<&PlacedTask> {
    let overnight = |task: &&PlacedTask| task.priority == WorkPriority::Overnight && task.repeatable;
    let mut tasks: Vec<&PlacedTask> = worker.tasks.values().filter(overnight).collect();
    tasks.sort_by(|a, b| (b.started_at, &a.job).cmp(&(a.started_at, &b.job)));
    tasks
}

/// The overnight tasks to stop so that `size` fits; absent if it does not fit even without all of them.
pub(crate) fn preemption_victims(worker: &WorkerAllocation, size: &ResourceSet) -> Option<Vec<JobId>> {
    let capacity = worker.capacity();
    let stopping = worker.stopping.iter().filter_map(|job| worker.tasks.get(job));
    let mut committed = stopping.fold(worker.allocated(), |sum, task| {
        sum.saturating_sub(&task.committed)
    });
    let mut victims = Vec::new();
    for task in preemptible_tasks(worker) {
        if worker.stopping.contains(&task.job) {
            continue;
        }
        if capacity.covers(&committed.plus(size)) {
            break;
        }
        committed = committed.saturating_sub(&task.committed);
        victims.push(task.job.clone());
    }
    capacity.covers(&committed.plus(size)).then_some(victims)
}
