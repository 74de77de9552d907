//! Chooses the worker for a task.
//!
//! Answers pools near their capacity: tasks that end fill the fullest worker that has room, so that large tasks
//! find room and workers become empty; tasks that serve are spread over workers, away from those that fill.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Instant;

use crate::dispatch::job_spec::StepSpec;
use crate::dispatch::task_id::{StepId, TaskId};
use crate::dispatch::worker_state::WorkerState;
use crate::model::id::WorkerId;

/// Starts in flight at one worker; more would open further connections and wait at a worker that does not answer.
pub const MAX_PENDING_STARTS: u32 = 6;

/// Tasks that serve on one worker before another worker is used for them.
const MAX_SERVING: u64 = 4;

/// Weight of a task of the same step on the same worker against one on the same rack.
const WORKER_WEIGHT: u64 = 1_000;

/// Rank of a worker without lasting tasks, above any number of tasks on one worker.
const UNUSED_RANK: u64 = 1_000;

/// What the choice depends on.
#[derive(Debug, Clone, Copy)]
pub struct PlacementRequest<'a> {
    /// The task. A worker that runs it already gets no second run of it.
    pub task: &'a TaskId,
    /// Tasks of its step.
    pub spec: &'a StepSpec,
    /// Workers on which the task failed.
    pub avoided: &'a BTreeSet<WorkerId>,
    /// Workers that are being vacated.
    pub evacuating: &'a BTreeSet<WorkerId>,
    /// Workers whose upkeep is due: a lasting task placed there moves again soon.
    pub maintenance_due: &'a BTreeSet<WorkerId>,
    /// Rack that is preferred.
    pub preferred_rack: Option<&'a str>,
    /// Workers that may run the step, if only some may.
    pub allowed: Option<&'a BTreeMap<WorkerId, Arc<str>>>,
}

/// Order of candidates; the lowest is chosen.
type PlaceRank = (bool, bool, bool, u64, u64, u64);

/// Whether a worker could run the task at all, whatever it runs now.
pub fn is_eligible(worker: &WorkerState, spec: &StepSpec) -> bool {
    let has_label = spec
        .label
        .as_ref()
        .is_none_or(|label| worker.entry.has_label(label));
    has_label && worker.entry.capacity.covers(&spec.reserved())
}

/// Whether a worker can take the task now.
pub fn is_candidate(now: Instant, worker: &WorkerState, request: &PlacementRequest<'_>) -> bool {
    let id = &worker.entry.id;
    let most = request.spec.most_per_worker;
    is_eligible(worker, request.spec)
        && worker.is_usable(now)
        && worker.starts_in_flight < MAX_PENDING_STARTS
        && worker.free().covers(&request.spec.reserved())
        && !request.evacuating.contains(id)
        && !worker.runs.contains_key(request.task)
        && request.allowed.is_none_or(|allowed| allowed.contains_key(id))
        && most.is_none_or(|most| worker.count_step(&request.task.step) < most)
}

/// Chooses a worker, if any has room.
pub fn choose_worker(
    now: Instant,
    workers: &BTreeMap<WorkerId, WorkerState>,
    request: &PlacementRequest<'_>,
) -> Option<WorkerId> {
    let candidates = workers
        .values()
        .filter(|worker| is_candidate(now, worker, request));
    let racks = if request.spec.is_lasting {
        count_racks(workers, &request.task.step)
    } else {
        BTreeMap::new()
    };
    let best = candidates.min_by_key(|worker| rank(worker, request, &racks))?;
    Some(best.entry.id.clone())
}

/// Tasks of a step on each rack.
fn count_racks<'a>(workers: &'a BTreeMap<WorkerId, WorkerState>, step: &StepId) -> BTreeMap<&'a str, u64> {
    let mut racks = BTreeMap::new();
    for worker in workers.values() {
        if let Some(rack) = worker.entry.rack() {
            *racks.entry(&**rack).or_default() += u64::from(worker.count_step(step));
        }
    }
    racks
}

fn rank(worker: &WorkerState, request: &PlacementRequest<'_>, racks: &BTreeMap<&str, u64>) -> PlaceRank {
    let is_bad = worker.health.is_slow() || request.avoided.contains(&worker.entry.id);
    let is_far = request
        .preferred_rack
        .is_some_and(|rack| worker.entry.rack().is_none_or(|own| &**own != rack));
    let free = worker.free().cores.get();
    let (crowd, room) = if request.spec.is_lasting {
        (long_running_rank(worker, request.spec), u64::MAX - free)
    } else {
        (0, free)
    };
    // Tasks of one step that lasts are spread, so that the loss of a worker or a rack takes few of them.
    let beside = if request.spec.is_lasting {
        let on_rack = worker.entry.rack().and_then(|rack| racks.get(&**rack));
        u64::from(worker.count_step(&request.task.step)) * WORKER_WEIGHT + on_rack.copied().unwrap_or(0)
    } else {
        0
    };
    let is_due = request.spec.is_lasting && request.maintenance_due.contains(&worker.entry.id);
    (is_bad, is_far, is_due, beside, crowd, room)
}

/// Prefers workers that have some lasting tasks already, so that the others can become empty and leave the pool, up to
/// a number beyond which the tasks would disturb each other.
fn long_running_rank(worker: &WorkerState, spec: &StepSpec) -> u64 {
    let lasting = worker.runs.values().filter(|run| run.is_long_running);
    let (fillers, serving) = lasting.fold((0_u64, 0_u64), |(fillers, serving), run| {
        if run.is_best_effort {
            (fillers + 1, serving)
        } else {
            (fillers, serving + 1)
        }
    });
    if fillers + serving == 0 {
        return UNUSED_RANK;
    }
    if spec.is_filler {
        return fillers + serving;
    }
    if serving < MAX_SERVING {
        serving
    } else {
        UNUSED_RANK + serving
    }
}
