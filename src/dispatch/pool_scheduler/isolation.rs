//! Isolates suspects: tasks under which a worker crashed start again without runs of other jobs beside them.
//!
//! A crash of a shared worker points at all its young runs. While a suspect has a worker for its job alone, a
//! further crash can only be its own fault or chance, and costs no other job its runs. The start is stored
//! before it is sent, so that a crash under it is known to the next leader. Other tasks of a finite step wait
//! until the suspects are cleared: they would be wasted if the job fails.

use std::time::{Duration, Instant};

use crate::dispatch::command::{PoolCommand, RunId};
use crate::dispatch::job_spec::StepSpec;
use crate::dispatch::job_state::{JobRun, TaskState};
use crate::dispatch::placement::{self, PlacementRequest};
use crate::dispatch::pool_scheduler::{PoolScheduler, run_id};
use crate::dispatch::run_loss::{LossState, MAX_SUSPECT_AGE, RunLoss};
use crate::dispatch::task_id::{StepId, TaskId};
use crate::dispatch::worker_state::{PlacedRun, RunPhase, WorkerState};
use crate::model::id::{JobId, RunNumber, WorkerId};
use crate::model::resource::ResourceSet;

/// Part of the usable workers (1/2) that may be isolated at the same time, so that a wave of crashes leaves
/// room for other work.
const MAX_ISOLATED_PART: usize = 2;

/// Time after which a suspect with a single loss starts beside other jobs if no worker could be isolated.
const MAX_ISOLATION_WAIT: Duration = Duration::from_secs(2);

/// The same for a finite suspect with several losses. A long-running one has to run again within 9 s of the loss,
/// of which up to 4.7 s pass until the lease of the lost run has ended.
const MAX_REPEATED_WAIT: Duration = Duration::from_secs(6);

/// Time after which a long-running suspect starts even beside another suspect. In a small pool each worker may
/// have one.
const MAX_SEPARATION_WAIT: Duration = Duration::from_secs(3);

/// Time after which a worker on which the job could start nothing is opened again. Other jobs may still run there, or
/// leave too little room.
const MAX_RESERVATION: Duration = Duration::from_secs(3);

/// Time for which such a worker is not isolated again, so that tasks of other jobs that wait for it can start.
const MIN_OPEN_TIME: Duration = Duration::from_secs(1);

/// Pause after which a job searches a worker again; each search looks at all workers and their runs.
const SEARCH_INTERVAL: Duration = Duration::from_millis(200);

/// Start that is stored before it is sent.
#[derive(Debug, Clone)]
pub(super) struct PlannedStart {
    run: RunNumber,
    /// Change with which the start is stored.
    change: u64,
}

/// Job that has a worker for itself.
#[derive(Debug, Clone)]
pub(super) struct IsolatedJob {
    worker: WorkerId,
    /// Time at which the job last had a suspect there, or got the worker.
    used_at: Instant,
}

impl PoolScheduler {
    /// Starts the waiting suspects of a step on the isolated worker of their job. Returns whether other tasks
    /// of the step may start.
    pub(super) fn start_suspects(
        &mut self,
        now: Instant,
        step: &StepId,
        commands: &mut Vec<PoolCommand>,
    ) -> bool {
        let Some((job, state)) = self
            .jobs
            .get(&step.job)
            .and_then(|job| Some((job, job.step(step)?)))
        else {
            return false;
        };
        let spec = &job.record.spec.steps[step.step as usize];
        if spec.is_gang || !state.has_suspects() {
            return true;
        }
        let spec = spec.clone();
        let organisation = job.record.organisation.clone();
        let has_advice = job.record.rule.advice.is_some();
        let waiting: Vec<TaskId> = (0_u32..)
            .zip(&state.tasks)
            .filter(|(_, task)| task.is_suspect() && task.is_waiting(now))
            .map(|(index, _)| step.task(index))
            .collect();
        if !waiting.is_empty() {
            self.note_waiting_start(step);
        }
        for task in waiting {
            let is_allowed = self.may_use_limit(now, step, organisation.as_ref(), &spec.demand);
            if !is_allowed || !self.start_budget.has_room(now) {
                break;
            }
            let isolated = self
                .isolated
                .get(&step.job)
                .map(|isolated| isolated.worker.clone());
            let index = [task.index];
            if has_advice && !self.ensure_tickets(now, step, &spec, &index, isolated.as_ref(), commands) {
                break;
            }
            let start = if let Some(worker) = self.isolated_worker(now, &task, &spec) {
                self.stored_start(&task, &worker).map(|run| (worker, run))
            } else if let Some(worker) = self.shared_worker(now, &task, &spec) {
                self.forget_planned_start(&task);
                let run = self.next_run_number(&task);
                self.record_start(&task, &worker, run);
                Some((worker, run))
            } else {
                None
            };
            if let Some((worker, run)) = start {
                self.place_task(now, &worker, &task, run, &spec, organisation.as_ref(), commands);
            }
        }
        self.forget_started(now, step);
        spec.is_long_running
    }

    /// Worker on which a suspect may start: the isolated one of its job, or after some time any other.
    pub(super) fn choose_worker_for_suspect(
        &mut self,
        now: Instant,
        task: &TaskId,
        spec: &StepSpec,
    ) -> Option<WorkerId> {
        let isolated = self.isolated_worker(now, task, spec);
        isolated.or_else(|| self.shared_worker(now, task, spec))
    }

    /// Worker for a suspect that has waited long enough for an isolated one. Such starts are not stored before
    /// they are sent.
    fn shared_worker(&mut self, now: Instant, task: &TaskId, spec: &StepSpec) -> Option<WorkerId> {
        let state = self.task_mut(task)?;
        let since = *state.suspect_since.get_or_insert(now);
        let max_wait = if state.losses.lost_runs() > 1 && !spec.is_long_running {
            MAX_REPEATED_WAIT
        } else {
            MAX_ISOLATION_WAIT
        };
        let waited = now.saturating_duration_since(since);
        if waited < max_wait {
            return None;
        }
        let may_join_suspects = spec.is_long_running && waited >= MAX_SEPARATION_WAIT;
        self.find_shared_worker(now, task, spec, may_join_suspects)
    }

    /// Finds a worker without a suspect of another job, so that a crash there points at this task. With
    /// `may_join_suspects` any worker will do if there is none, also one in backoff or on probation.
    fn find_shared_worker(
        &self,
        now: Instant,
        task: &TaskId,
        spec: &StepSpec,
        may_join_suspects: bool,
    ) -> Option<WorkerId> {
        let request = self.placement_request(task, spec, true)?;
        let candidates = self
            .workers
            .iter()
            .filter(|(_, worker)| placement::is_candidate(now, worker, &request));
        let ranked = candidates
            .map(|(id, worker)| (!self.is_free_of_suspects(worker, task), worker.runs.len(), id))
            .filter(|(has_suspects, ..)| may_join_suspects || !has_suspects);
        let best = ranked.min().map(|(.., id)| id.clone());
        let avoided = || placement::choose_avoided_worker(now, &self.workers, &request);
        best.or_else(|| may_join_suspects.then(avoided).flatten())
    }

    /// Whether no suspect of another job runs on the worker.
    fn is_free_of_suspects(&self, worker: &WorkerState, task: &TaskId) -> bool {
        let is_suspect = |other: &TaskId| self.task(other).is_some_and(TaskState::is_suspect);
        let mut others = worker.runs.keys().filter(|other| other.step.job != task.step.job);
        !others.any(is_suspect)
    }

    /// Worker that the job has for itself and that can take the task now. Chooses one if the job has none,
    /// and reserves one that other jobs will leave if none is free of them.
    fn isolated_worker(&mut self, now: Instant, task: &TaskId, spec: &StepSpec) -> Option<WorkerId> {
        let job = &task.step.job;
        if let Some(isolated) = self.isolated.get(job) {
            let request = self.placement_request(task, spec, true)?;
            let worker = self.workers.get(&isolated.worker)?;
            let can_take =
                is_free_of_other_jobs(now, worker, job) && placement::is_candidate(now, worker, &request);
            return can_take.then(|| isolated.worker.clone());
        }
        let run = self.jobs.get_mut(job)?;
        if run
            .isolation_search_at
            .is_some_and(|at| now < at + SEARCH_INTERVAL)
        {
            return None;
        }
        run.isolation_search_at = Some(now);
        let usable = self
            .workers
            .values()
            .filter(|worker| worker.is_usable(now))
            .count();
        // A lost worker is none of the usable ones.
        let isolated = self.isolated.values().filter(|isolated| {
            let worker = self.workers.get(&isolated.worker);
            worker.is_some_and(|worker| worker.poll.failures == 0)
        });
        if isolated.count() >= (usable / MAX_ISOLATED_PART).max(1) {
            return None;
        }
        let (is_free, worker) = self.find_isolated_worker(now, task, spec)?;
        if let Some(state) = self.workers.get_mut(&worker) {
            state.isolated_for = Some(job.clone());
        }
        let isolated = IsolatedJob {
            worker: worker.clone(),
            used_at: now,
        };
        self.isolated.insert(job.clone(), isolated);
        let inputs = format!("task {task}, the worker is free of other jobs: {is_free}");
        self.note("job isolated", Some(job.clone()), Some(worker.clone()), inputs);
        is_free.then_some(worker)
    }

    /// Finds a worker for a suspect, and whether other jobs have left it already. Instances that crashed
    /// under the task are the last choice: an unstable instance would be mistaken for a faulty task.
    fn find_isolated_worker(&self, now: Instant, task: &TaskId, spec: &StepSpec) -> Option<(bool, WorkerId)> {
        let losses = &self.task(task)?.losses;
        let request = self.placement_request(task, spec, true)?;
        let has_crashed = |worker: &WorkerState| {
            let instance = worker.entry.instance.as_ref();
            losses.crashes().any(|loss| loss.instance.as_ref() == instance)
        };
        let mut candidates = Vec::new();
        for (id, worker) in &self.workers {
            if self.reopened_workers.contains_key(id) {
                continue;
            }
            let is_free = is_free_of_other_jobs(now, worker, &task.step.job);
            let long_running = worker.runs.values().filter(|run| run.is_long_running);
            let age = |run: &PlacedRun| now.saturating_duration_since(run.placed_at);
            // Other jobs leave a worker when their finite runs end.
            let can_become_free = long_running.clone().all(|run| age(run) >= MAX_SUSPECT_AGE);
            let can_take = if is_free {
                placement::is_candidate(now, worker, &request)
            } else {
                let is_open = worker.is_usable(now) && worker.isolated_for.is_none();
                can_become_free
                    && is_open
                    && placement::is_admitted(worker, &request)
                    && has_room_beside_long_running(worker, &request)
            };
            if can_take {
                candidates.push((
                    has_crashed(worker),
                    !is_free,
                    long_running.count(),
                    worker.runs.len(),
                    id,
                ));
            }
        }
        let (_, is_busy, .., id) = candidates.into_iter().min()?;
        Some((!is_busy, id.clone()))
    }

    /// Run number of a start that is stored and may be sent. Stores the start first if that has not been done
    /// for this process of the worker.
    fn stored_start(&mut self, task: &TaskId, worker_id: &WorkerId) -> Option<RunNumber> {
        let durable = self.last_durable_change();
        let incarnation = self.workers.get(worker_id)?.incarnation;
        if let Some(planned) = self.planned_starts.get(task).cloned() {
            let loss = self.task_mut(task)?.losses.get_mut(planned.run);
            if loss.is_some_and(|loss| loss.worker == *worker_id && loss.incarnation == incarnation) {
                if planned.change > durable {
                    return None;
                }
                self.planned_starts.remove(task);
                return Some(planned.run);
            }
            self.forget_planned_start(task);
        }
        let run = self.next_run_number(task);
        let change = self.record_start(task, worker_id, run);
        let planned = PlannedStart { run, change };
        self.planned_starts.insert(task.clone(), planned);
        None
    }

    /// Records the start of a suspect and returns the change with which it is stored.
    pub(super) fn record_start(&mut self, task: &TaskId, worker_id: &WorkerId, run: RunNumber) -> u64 {
        let Some(worker) = self.workers.get(worker_id) else {
            return 0;
        };
        let loss = RunLoss {
            worker: worker_id.clone(),
            instance: worker.entry.instance.clone(),
            incarnation: worker.incarnation,
            state: LossState::Started,
            active_for: Duration::ZERO,
            is_isolated: worker.isolated_for.as_ref() == Some(&task.step.job),
            is_mass_loss: false,
        };
        if let Some(state) = self.task_mut(task) {
            state.last_run = run;
            state.losses.insert(run, loss);
        }
        self.tasks_with_losses.insert(task.clone());
        self.mark_progress_changed(&task.step.job)
    }

    /// Forgets a start that was stored and not sent.
    pub(super) fn forget_planned_start(&mut self, task: &TaskId) {
        if let Some(planned) = self.planned_starts.remove(task) {
            if let Some(state) = self.task_mut(task) {
                state.losses.remove_unless_crashed(planned.run);
            }
            self.mark_progress_changed(&task.step.job);
        }
    }

    /// Clears suspects whose runs have been active long enough, and releases workers whose job needs them no
    /// longer.
    pub(super) fn review_isolated_jobs(&mut self, now: Instant) {
        self.clear_suspects(now);
        self.reopened_workers
            .retain(|_, reopened_at| now < *reopened_at + MIN_OPEN_TIME);
        let jobs: Vec<JobId> = self.isolated.keys().cloned().collect();
        for id in jobs {
            let Some(isolated) = self.isolated.get(&id) else {
                continue;
            };
            let worker_id = isolated.worker.clone();
            let mut used_at = isolated.used_at;
            let worker = self.workers.get(&worker_id);
            let mut own_runs = worker
                .into_iter()
                .flat_map(|worker| worker.runs.keys())
                .filter(|task| task.step.job == id);
            let has_suspect = own_runs.any(|task| self.task(task).is_some_and(TaskState::is_suspect));
            if has_suspect {
                used_at = now;
            }
            let is_unused = now.saturating_duration_since(used_at) > MAX_RESERVATION;
            let is_open =
                worker.is_some_and(|worker| worker.is_usable(now)) && !self.evacuating.contains(&worker_id);
            let has_suspects = self.jobs.get(&id).is_some_and(JobRun::has_suspects);
            if let Some(isolated) = self.isolated.get_mut(&id) {
                isolated.used_at = used_at;
            }
            if is_unused {
                self.reopened_workers.insert(worker_id, now);
            }
            if !has_suspects || is_unused || (!is_open && !has_suspect) {
                self.release_isolation(&id);
            }
        }
    }

    /// Forgets the losses that the present run of their task has outlasted, wherever it is.
    fn clear_suspects(&mut self, now: Instant) {
        let mut tasks = std::mem::take(&mut self.tasks_with_losses);
        tasks.retain(|task| {
            let state = self.task(task);
            state.is_some_and(|state| !state.is_done && !state.losses.is_empty())
        });
        let runs = tasks.iter().filter_map(|task| self.active_suspect(now, task));
        let runs: Vec<(RunId, Duration)> = runs.collect();
        self.tasks_with_losses = tasks;
        for (run, active_for) in runs {
            let Some(task) = self.task_mut(&run.task) else {
                continue;
            };
            if !task.losses.forget_outlasted(active_for) {
                continue;
            }
            let is_cleared = !task.is_suspect();
            let job = &run.task.step.job;
            self.mark_progress_changed(job);
            if is_cleared {
                let inputs = format!("run {} of task {} outlasted its losses", run.number, run.task);
                self.note("suspect cleared", Some(job.clone()), None, inputs);
            }
        }
    }

    /// Active run of a suspect, and the time for which it has been active.
    fn active_suspect(&self, now: Instant, task: &TaskId) -> Option<(RunId, Duration)> {
        let state = self.task(task).filter(|state| state.is_suspect())?;
        let runs = state.copies.iter().filter_map(|copy| {
            let worker = self.workers.get(&copy.worker)?;
            let run = worker.runs.get(task).filter(|_| worker.poll.failures == 0)?;
            let is_active = run.run == copy.run && run.phase == RunPhase::Running && !run.must_stop;
            is_active.then_some(run)
        });
        let run = runs.min_by_key(|run| run.placed_at)?;
        Some((run_id(task, run), now.saturating_duration_since(run.placed_at)))
    }

    /// Opens the worker of an isolated job to other jobs. Starts of the job that were stored and not sent are
    /// forgotten.
    pub(super) fn release_isolation(&mut self, id: &JobId) {
        if let Some(isolated) = self.isolated.remove(id)
            && let Some(worker) = self.workers.get_mut(&isolated.worker)
        {
            worker.isolated_for = None;
        }
        let planned = self.planned_starts.keys().filter(|task| task.step.job == *id);
        let planned: Vec<TaskId> = planned.cloned().collect();
        for task in planned {
            self.forget_planned_start(&task);
        }
    }
}

/// Whether no run of another job on the worker would be a suspect if it crashed.
fn is_free_of_other_jobs(now: Instant, worker: &WorkerState, job: &JobId) -> bool {
    worker.runs.iter().all(|(task, run)| {
        task.step.job == *job || now.saturating_duration_since(run.placed_at) >= MAX_SUSPECT_AGE
    })
}

/// Whether the worker has room for the task once its finite runs have ended.
fn has_room_beside_long_running(worker: &WorkerState, request: &PlacementRequest<'_>) -> bool {
    let staying = worker.runs.iter().filter(|(_, run)| run.is_long_running);
    let used = staying
        .clone()
        .fold(ResourceSet::default(), |used, (_, run)| used.plus(&run.reserved));
    let siblings = staying.filter(|(task, _)| task.step == request.task.step);
    let siblings = siblings.count() as u32;
    worker
        .entry
        .capacity
        .saturating_sub(&used)
        .covers(&request.spec.reserved())
        && request.spec.max_per_worker.is_none_or(|max| siblings < max)
}
