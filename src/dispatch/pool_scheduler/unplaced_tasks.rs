//! Waiting tasks for which no present worker has a place, and the workers that they need in addition.
//!
//! A pool's demand is otherwise compared with the capacity of all its workers. The sums do not show that free room
//! is scattered, that workers are closed for a while or have shrunk, or that a step has its most tasks on each of
//! the workers. Such a task would wait until another one ends.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use crate::dispatch::hold_reason::HoldReason;
use crate::dispatch::job_spec::StepSpec;
use crate::dispatch::job_state::{JobOccurrence, JobRun};
use crate::dispatch::placement;
use crate::dispatch::pool_scheduler::PoolScheduler;
use crate::dispatch::task_id::{StepId, TaskId};
use crate::model::resource::ResourceSet;

/// Time without a place after which tasks call for workers. Most places are free again before that:
/// runs end, and workers answer again.
const UNPLACED_DELAY: Duration = Duration::from_secs(1);

/// Age from which a finite job of which nothing runs is counted. While it can end in time, the sums call for workers.
const MIN_FINITE_AGE: Duration = Duration::from_secs(3);

/// Pause between two searches, each of which looks at all jobs and, for each waiting step, at all workers.
const SEARCH_INTERVAL: Duration = Duration::from_millis(100);

/// Upper bound of the workers that are called for at the same time. A moved instance costs as much as a second of
/// its use, and tasks that need more workers call again.
const MAX_WORKERS: usize = 8;

/// Part of the capacity (1/2) in use from which finite jobs call for no worker: late jobs of a load peak are of
/// little use to their callers.
const MAX_USED_PART: u64 = 2;

/// Steps with waiting tasks that no worker can take.
#[derive(Debug, Default)]
pub(super) struct UnplacedSteps {
    /// Long-running steps, with the time since which no worker can take their tasks.
    long_running: BTreeMap<StepId, Instant>,
    /// Step of a finite job that no worker can take, with the time since which there is one.
    finite: Option<(StepId, Instant)>,
    next_search: Option<Instant>,
    /// Largest amount of each resource that a worker had in this term. Other instances may have as much, even if
    /// the present workers have shrunk.
    largest_capacity: ResourceSet,
}

impl PoolScheduler {
    /// Searches the waiting steps that no worker can take. Called after the starts of a pass.
    pub(super) fn find_unplaced_steps(&mut self, now: Instant) {
        if self.unplaced.next_search.is_some_and(|at| now < at) {
            return;
        }
        self.unplaced.next_search = Some(now + SEARCH_INTERVAL);
        for worker in self.workers.values() {
            let largest = &mut self.unplaced.largest_capacity;
            *largest = largest.component_max(&worker.entry.capacity);
        }
        let is_finite_counted = self.has_much_free_capacity();
        let mut long_running = BTreeMap::new();
        let mut finite = None;
        for (id, job) in &self.jobs {
            if job.state.is_final() || self.is_waiting_for_takeover(now, job) {
                continue;
            }
            for (number, occurrence) in &job.occurrences {
                let is_old = now.saturating_duration_since(occurrence.due_at) >= MIN_FINITE_AGE;
                let may_count_finite = is_finite_counted && finite.is_none() && is_old;
                for (index, spec) in job.record.spec.steps.iter().enumerate() {
                    if !spec.is_long_running && (!may_count_finite || has_runs(occurrence)) {
                        continue;
                    }
                    let step = StepId::new(id.clone(), *number, index as u32);
                    if !self.is_unplaced(now, job, occurrence, &step) {
                        continue;
                    }
                    if spec.is_long_running {
                        let since = self.unplaced.long_running.get(&step).copied();
                        long_running.insert(step, since.unwrap_or(now));
                    } else {
                        finite = Some(step);
                    }
                }
            }
        }
        let unplaced = &mut self.unplaced;
        unplaced.long_running = long_running;
        let since = unplaced.finite.as_ref().map_or(now, |(_, since)| *since);
        unplaced.finite = finite.map(|step| (step, since));
    }

    /// Number of workers that waiting tasks need beyond the present ones, because none has had a place for them
    /// for some time.
    pub(super) fn unplaced_workers(&self, now: Instant) -> u32 {
        let is_due = |since: Instant| now.saturating_duration_since(since) >= UNPLACED_DELAY;
        let mut free_rooms: Vec<ResourceSet> = Vec::new();
        for (step, since) in &self.unplaced.long_running {
            let job = self.jobs.get(&step.job);
            if let Some(job) = job.filter(|_| is_due(*since)) {
                let spec = &job.record.spec.steps[step.step as usize];
                self.add_rooms(spec, self.count_waiting(now, step), &mut free_rooms);
            }
        }
        let finite = self.unplaced.finite.as_ref();
        let has_finite =
            finite.is_some_and(|(step, since)| is_due(*since) && self.count_waiting(now, step) > 0);
        (free_rooms.len() as u32).max(u32::from(has_finite))
    }

    /// Number of tasks of a step that wait now. Some may have started since the last search.
    fn count_waiting(&self, now: Instant, step: &StepId) -> usize {
        let job = self.jobs.get(&step.job).filter(|job| !job.state.is_final());
        let state = job.and_then(|job| job.step(step));
        let tasks = state.map_or(&[][..], |state| &state.tasks);
        tasks.iter().filter(|task| task.is_waiting(now)).count()
    }

    /// Places waiting tasks of a step on further workers, whose free room is given.
    fn add_rooms(&self, spec: &StepSpec, waiting: usize, free_rooms: &mut Vec<ResourceSet>) {
        let reserved = spec.reserved();
        let max_per_worker = spec.max_per_worker.unwrap_or(u32::MAX);
        let mut counts = [0_u32; MAX_WORKERS];
        for _ in 0..waiting {
            let mut rooms = free_rooms.iter().zip(&counts);
            let found = rooms.position(|(room, count)| room.covers(&reserved) && *count < max_per_worker);
            let number = match found {
                Some(number) => number,
                None if free_rooms.len() < MAX_WORKERS => {
                    free_rooms.push(self.unplaced.largest_capacity);
                    free_rooms.len() - 1
                }
                None => return,
            };
            free_rooms[number] = free_rooms[number].saturating_sub(&reserved);
            counts[number] += 1;
        }
    }

    /// Whether tasks of a step wait that no worker can take, but another instance could.
    fn is_unplaced(&self, now: Instant, job: &JobRun, occurrence: &JobOccurrence, step: &StepId) -> bool {
        let spec = &job.record.spec.steps[step.step as usize];
        let state = &occurrence.steps[step.step as usize];
        let waiting = state.tasks.iter().position(|task| task.is_waiting(now));
        let Some(index) = waiting.filter(|_| job.is_step_ready(occurrence, step.step as usize)) else {
            return false;
        };
        let task = step.task(index as u32);
        let lacks_place = || {
            if spec.is_gang {
                self.gang_starts.lacks_room(step)
            } else {
                !self.has_place(now, &task, spec)
            }
        };
        !spec.is_best_effort
            && self.is_within_limit(job.record.organisation.as_ref(), &spec.start_demand())
            && self.may_fit_another_instance(spec)
            && lacks_place()
    }

    /// Whether workers like those of this term, present or gone, could take the tasks of a step.
    fn may_fit_another_instance(&self, spec: &StepSpec) -> bool {
        let has_label = spec.label.as_ref().is_none_or(|label| {
            let mut workers = self.workers.values();
            workers.any(|worker| worker.entry.has_label(label))
        });
        has_label && self.unplaced.largest_capacity.covers(&spec.reserved())
    }

    /// Whether a worker can take the task now. A long-running task starts on a worker in backoff or on probation
    /// sooner than another instance could come, unless it needs a ticket, which is requested for other workers only.
    fn has_place(&self, now: Instant, task: &TaskId, spec: &StepSpec) -> bool {
        let job = self.jobs.get(&task.step.job);
        let has_advice = job.is_some_and(|job| job.record.rule.advice.is_some());
        let Some(request) = self.placement_request(task, spec, false) else {
            return false;
        };
        let mut reasons = self
            .workers
            .values()
            .map(|worker| placement::hold_reason(now, worker, &request));
        reasons.any(|reason| match reason {
            None => true,
            Some(HoldReason::Backoff | HoldReason::Probation) => spec.is_long_running && !has_advice,
            Some(_) => false,
        })
    }

    /// Whether less than half of the capacity of the listed workers is in use.
    fn has_much_free_capacity(&self) -> bool {
        let listed = self.workers.values().filter(|worker| worker.is_listed);
        let sums = listed.fold(
            (ResourceSet::default(), ResourceSet::default()),
            |(used, capacity), worker| (used.plus(&worker.used), capacity.plus(&worker.entry.capacity)),
        );
        let (used, capacity) = sums;
        capacity.covers(&used.saturating_mul(MAX_USED_PART))
    }
}

fn has_runs(occurrence: &JobOccurrence) -> bool {
    let tasks = occurrence.steps.iter().flat_map(|step| &step.tasks);
    tasks.clone().any(|task| !task.copies.is_empty())
}
