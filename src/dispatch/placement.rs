//! Placement: chooses the worker on which a task starts.
//!
//! Handles pools near their capacity. Finite tasks are packed on the fullest worker that has enough free
//! resources, so that large tasks find room and workers become empty. Long-running tasks that serve users are
//! spread over workers, away from best-effort tasks.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Instant;

use crate::dispatch::free_index::FreeIndex;
use crate::dispatch::hold_reason::HoldReason;
use crate::dispatch::job_spec::StepSpec;
use crate::dispatch::step_advice::AdviceTicket;
use crate::dispatch::task_id::{StepId, TaskId};
use crate::dispatch::worker_state::WorkerState;
use crate::model::id::{JobId, WorkerId};

/// Upper bound of the starts in flight to one worker; more would open further connections and would all wait
/// if the worker does not answer.
pub const MAX_PENDING_STARTS: u32 = 6;

/// Number of tasks that serve users on one worker from which unused workers are preferred; more of them would
/// disturb each other.
const MAX_SERVING: u64 = 4;

/// Weight of a task of the same step on the same worker, relative to one on the same rack.
const WORKER_WEIGHT: u64 = 1_000;

/// Rank of a worker without long-running tasks; higher than any number of tasks on one worker.
const UNUSED_RANK: u64 = 1_000;

/// Inputs of a placement.
#[derive(Debug, Clone, Copy)]
pub struct PlacementRequest<'a> {
    /// Task to be placed. A worker that already runs it gets no second run of it.
    pub task: &'a TaskId,
    /// Specification of the step to which the task belongs.
    pub spec: &'a StepSpec,
    /// Workers on which the task failed or stalled; they are chosen only if no other worker can take it.
    pub avoided: &'a BTreeSet<WorkerId>,
    /// Workers that are being evacuated; they take no new task.
    pub evacuating: &'a BTreeSet<WorkerId>,
    /// Workers whose maintenance is due later: a long-running task placed there would have to move again
    /// soon, so that they are the last choice for it.
    pub maintenance_due: &'a BTreeSet<WorkerId>,
    /// Rack that is chosen if one of its workers can take the task; absent if none is preferred.
    pub preferred_rack: Option<&'a str>,
    /// Workers that the advice service admits, with their tickets; absent if the job uses no advice.
    pub allowed: Option<&'a BTreeMap<WorkerId, AdviceTicket>>,
    /// Starts in flight from which a worker is refused; [`MAX_PENDING_STARTS`] if the start is sent at once.
    pub max_pending: u32,
}

/// Sort key of a candidate; the lowest is chosen.
type PlacementRank = (bool, bool, bool, u64, u64, u64);

/// Whether a worker has the label and the total capacity for the task, regardless of what it runs now.
pub fn is_eligible(worker: &WorkerState, spec: &StepSpec) -> bool {
    let has_label = spec
        .label
        .as_ref()
        .is_none_or(|label| worker.entry.has_label(label));
    has_label && worker.entry.capacity.covers(&spec.reserved())
}

/// Whether the task may be placed on the worker once it has room: label, total capacity, evacuation and tickets
/// allow it.
pub fn is_admitted(worker: &WorkerState, request: &PlacementRequest<'_>) -> bool {
    let id = &worker.entry.id;
    is_eligible(worker, request.spec)
        && !request.evacuating.contains(id)
        && request.allowed.is_none_or(|allowed| allowed.contains_key(id))
}

/// Whether a worker can take the task at `now`.
pub fn is_candidate(now: Instant, worker: &WorkerState, request: &PlacementRequest<'_>) -> bool {
    hold_reason(now, worker, request).is_none()
}

/// Why a worker cannot take the task at `now`; `None` if it can. A reason other than [`HoldReason::NoRoom`] means
/// that the worker has room for it.
pub fn hold_reason(now: Instant, worker: &WorkerState, request: &PlacementRequest<'_>) -> Option<HoldReason> {
    let id = &worker.entry.id;
    let has_place = |max| worker.count_step(&request.task.step) < max;
    let has_room = worker.free().covers(&request.spec.reserved())
        && is_eligible(worker, request.spec)
        && !worker.runs.contains_key(request.task)
        && request.spec.max_per_worker.is_none_or(has_place);
    let is_allowed = request.allowed.is_none_or(|allowed| allowed.contains_key(id));
    let is_isolated = |job: &JobId| *job != request.task.step.job;
    if !has_room {
        Some(HoldReason::NoRoom)
    } else if request.evacuating.contains(id) {
        Some(HoldReason::Evacuating)
    } else if !is_allowed {
        Some(HoldReason::Advice)
    } else if worker.starts_in_flight >= request.max_pending {
        Some(HoldReason::PendingStarts)
    } else if worker.isolated_for.as_ref().is_some_and(is_isolated) {
        Some(HoldReason::Isolated)
    } else {
        worker.hold_reason(now)
    }
}

/// Chooses the best candidate; absent if no worker can take the task.
pub fn choose_worker(
    now: Instant,
    workers: &BTreeMap<WorkerId, WorkerState>,
    request: &PlacementRequest<'_>,
) -> Option<WorkerId> {
    choose_among(workers, request, |worker| is_candidate(now, worker, request))
}

/// Chooses the best of the workers that would be candidates but for their backoff or probation; absent if there is
/// none.
pub fn choose_avoided_worker(
    now: Instant,
    workers: &BTreeMap<WorkerId, WorkerState>,
    request: &PlacementRequest<'_>,
) -> Option<WorkerId> {
    choose_among(workers, request, |worker| {
        let reason = hold_reason(now, worker, request);
        matches!(reason, Some(HoldReason::Backoff | HoldReason::Probation))
    })
}

/// Chooses the best of the workers that `can_take` admits.
fn choose_among(
    workers: &BTreeMap<WorkerId, WorkerState>,
    request: &PlacementRequest<'_>,
    can_take: impl Fn(&WorkerState) -> bool,
) -> Option<WorkerId> {
    let candidates = workers.values().filter(|worker| can_take(worker));
    let racks = if request.spec.is_long_running {
        count_racks(workers, &request.task.step)
    } else {
        BTreeMap::new()
    };
    let best = candidates.min_by_key(|worker| rank(worker, request, &racks))?;
    Some(best.entry.id.clone())
}

/// Chooses the best candidate for a finite task among the indexed workers: the same worker as [`choose_worker`],
/// without a look at all workers.
pub fn choose_indexed_worker(
    now: Instant,
    workers: &BTreeMap<WorkerId, WorkerState>,
    index: &FreeIndex,
    request: &PlacementRequest<'_>,
) -> Option<WorkerId> {
    let min_cores = request.spec.reserved().cores.get();
    let candidate = |id: &WorkerId, is_on_rack: bool| {
        let worker = workers.get(id)?;
        let has_rack = !is_on_rack || is_on_preferred_rack(worker, request);
        (has_rack && is_candidate(now, worker, request)).then_some(worker)
    };
    let find_reliable = |is_on_rack: bool| {
        let mut ids = index
            .fullest_first(false, min_cores)
            .filter(|id| !request.avoided.contains(*id));
        ids.find_map(|id| candidate(id, is_on_rack))
    };
    let find_unreliable = |is_on_rack: bool| {
        let slow = index
            .fullest_first(true, min_cores)
            .find_map(|id| candidate(id, is_on_rack));
        let avoided = request.avoided.iter().filter(|id| index.contains(id));
        let avoided = avoided.filter_map(|id| candidate(id, is_on_rack));
        let candidates = slow.into_iter().chain(avoided);
        candidates.min_by_key(|worker| (worker.free().cores, worker.entry.id.clone()))
    };
    // With a preferred rack its workers are tried first, then all.
    let racks: &[bool] = if request.preferred_rack.is_some() {
        &[true, false]
    } else {
        &[false]
    };
    let reliable = racks.iter().find_map(|is_on_rack| find_reliable(*is_on_rack));
    let best = reliable.or_else(|| racks.iter().find_map(|is_on_rack| find_unreliable(*is_on_rack)));
    best.map(|worker| worker.entry.id.clone())
}

/// Whether a worker is on the preferred rack, or none is preferred.
fn is_on_preferred_rack(worker: &WorkerState, request: &PlacementRequest<'_>) -> bool {
    request
        .preferred_rack
        .is_none_or(|rack| worker.entry.rack().is_some_and(|own| &**own == rack))
}

/// Counts the tasks of a step on each rack.
fn count_racks<'a>(workers: &'a BTreeMap<WorkerId, WorkerState>, step: &StepId) -> BTreeMap<&'a str, u64> {
    let mut racks = BTreeMap::new();
    for worker in workers.values() {
        if let Some(rack) = worker.entry.rack() {
            *racks.entry(&**rack).or_default() += u64::from(worker.count_step(step));
        }
    }
    racks
}

fn rank(worker: &WorkerState, request: &PlacementRequest<'_>, racks: &BTreeMap<&str, u64>) -> PlacementRank {
    let is_unreliable = worker.health.is_slow() || request.avoided.contains(&worker.entry.id);
    let is_off_rack = !is_on_preferred_rack(worker, request);
    let free = worker.free().cores.get();
    let (crowd_rank, free_rank) = if request.spec.is_long_running {
        (long_running_rank(worker, request.spec), u64::MAX - free)
    } else {
        (0, free)
    };
    // The long-running tasks of one step are spread, so that the loss of a worker or a rack interrupts few of
    // them.
    let spread_rank = if request.spec.is_long_running {
        let on_rack = worker.entry.rack().and_then(|rack| racks.get(&**rack));
        u64::from(worker.count_step(&request.task.step)) * WORKER_WEIGHT + on_rack.copied().unwrap_or(0)
    } else {
        0
    };
    let is_maintenance_due =
        request.spec.is_long_running && request.maintenance_due.contains(&worker.entry.id);
    (
        is_unreliable,
        is_off_rack,
        is_maintenance_due,
        spread_rank,
        crowd_rank,
        free_rank,
    )
}

/// Rank by which a long-running task prefers workers that already have some, so that the other workers can
/// become empty and leave the pool. A worker with `MAX_SERVING` tasks that serve users ranks behind an unused
/// one.
fn long_running_rank(worker: &WorkerState, spec: &StepSpec) -> u64 {
    let long_running = worker.runs.values().filter(|run| run.is_long_running);
    let (best_effort, serving) = long_running.fold((0_u64, 0_u64), |(best_effort, serving), run| {
        if run.is_best_effort {
            (best_effort + 1, serving)
        } else {
            (best_effort, serving + 1)
        }
    });
    if best_effort + serving == 0 {
        return UNUSED_RANK;
    }
    if spec.is_best_effort {
        return best_effort + serving;
    }
    if serving < MAX_SERVING {
        serving
    } else {
        UNUSED_RANK + serving
    }
}
