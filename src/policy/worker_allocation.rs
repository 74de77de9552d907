//! One worker on the placement board: its tasks, room and load.

use std::collections::{BTreeMap, BTreeSet};
use std::hash::{DefaultHasher, Hash, Hasher};
use std::time::Instant;

use crate::model::amount::{MemoryMib, MilliCores};
use crate::model::id::{Generation, InstanceId, JobId, PoolId, RackId, TeamId};
use crate::model::priority::WorkPriority;
use crate::model::resource::ResourceSet;

/// Thousandths of a worker's memory that may be committed. Above 1000, tasks are killed when estimates hold.
const MEMORY_PERMILLE: u64 = 1_000;

/// Thousandths of a worker's cores that may be committed: contention slows tasks and loses none.
const CORES_PERMILLE: u64 = 1_200;

/// Load added per consecutive failure, in thousandths of the worker. Four in a row fill it.
const FAILURE_LOAD: u64 = 250;

/// Loads within this many thousandths count as equal; sessions order equal workers differently, so that they
/// do not all choose the same one.
const LOAD_STEP: u64 = 50;

/// A task on the board.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PlacedTask {
    /// The job.
    pub job: JobId,
    /// Its team.
    pub team: TeamId,
    /// Its priority.
    pub priority: WorkPriority,
    /// Whether it may run again after it was stopped.
    pub repeatable: bool,
    /// Whether another session started it.
    pub is_remote: bool,
    /// Resources committed: the estimate or, if higher, the last measurement.
    pub committed: ResourceSet,
    /// Time of the start.
    pub started_at: Instant,
}

/// A worker as the placement sees it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WorkerInfo {
    /// Pool of the worker.
    pub pool: PoolId,
    /// Rack.
    pub rack: RackId,
    /// Membership generation.
    pub generation: Generation,
    /// Resources.
    pub resources: ResourceSet,
    /// Whether new tasks may be placed.
    pub accepts_tasks: bool,
}

#[derive(Debug, Clone)]
pub(crate) struct WorkerAllocation {
    pub(crate) info: WorkerInfo,
    pub(crate) tasks: BTreeMap<JobId, PlacedTask>,
    pub(crate) committed: ResourceSet,
    /// Urgent jobs for which room is being made, with their sizes.
    pub(crate) reserved: BTreeMap<JobId, ResourceSet>,
    /// Tasks that are being stopped to make room.
    pub(crate) stopping: BTreeSet<JobId>,
    /// Until then the worker counts as full, because it refused a task for want of room.
    pub(crate) full_until: Option<Instant>,
    pub(crate) failures: u32,
    pub(crate) failing_until: Option<Instant>,
    pub(crate) rank: u64,
}

impl WorkerAllocation {
    /// A worker without tasks.
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

    /// Resources committed and reserved.
    pub(crate) fn allocated(&self) -> ResourceSet {
        let reserved = self.reserved.values();
        reserved.fold(self.committed, |sum, size| sum.plus(size))
    }

    pub(crate) fn has_room(&self, size: &ResourceSet) -> bool {
        self.capacity().covers(&self.allocated().plus(size))
    }

    /// Load in thousandths: the fullest resource, plus failures.
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

    /// Whether it receives no task for now: it is full by its own word or fails everything.
    pub(crate) fn is_blocked(&self) -> bool {
        let is_failing = self.failing_until.is_some() && u64::from(self.failures) * FAILURE_LOAD >= 1_000;
        is_failing || self.full_until.is_some()
    }

    /// Place in the order of load; workers of about equal load are ordered by the salt.
    pub(crate) fn load_rank(&self, instance: &InstanceId, salt: u64) -> u64 {
        let mut hasher = DefaultHasher::new();
        (salt, instance).hash(&mut hasher);
        ((self.load() / LOAD_STEP) << 32) | (hasher.finish() >> 32)
    }

    /// Whether an order key is that of a worker without room.
    pub(crate) fn is_full_rank(rank: u64) -> bool {
        (rank >> 32) * LOAD_STEP >= 1_000
    }
}

/// Overnight tasks that can stop without losing the job, newest first, so that little work is lost.
pub(crate) fn preemptible_tasks(worker: &WorkerAllocation) -> Vec<&PlacedTask> {
    let overnight = |task: &&PlacedTask| task.priority == WorkPriority::Overnight && task.repeatable;
    let mut tasks: Vec<&PlacedTask> = worker.tasks.values().filter(overnight).collect();
    tasks.sort_by(|a, b| (b.started_at, &a.job).cmp(&(a.started_at, &b.job)));
    tasks
}

/// The overnight tasks that must stop for `size` to fit; none if that is not enough.
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
