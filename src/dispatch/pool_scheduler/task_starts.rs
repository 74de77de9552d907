//! Chooses the tasks to start and their workers.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::dispatch::command::{PoolCommand, RunId, StartCommand};
use crate::dispatch::free_index::FreeIndex;
use crate::dispatch::job_record::JobState;
use crate::dispatch::job_spec::StepSpec;
use crate::dispatch::job_state::{JobRun, TaskCopy};
use crate::dispatch::placement::{self, PlacementRequest};
use crate::dispatch::pool_scheduler::{PoolScheduler, run_id};
use crate::dispatch::start_priority::{PriorityInputs, StartKey};
use crate::dispatch::step_advice::StepAdvice;
use crate::dispatch::task_id::{StepId, TaskId};
use crate::dispatch::worker_state::{PlacedRun, RunPhase};
use crate::model::id::{OrganisationId, RunNumber, WorkerId};
use crate::model::resource::ResourceSet;

/// Run numbers that one term may use for a task. The next term begins above them, so that its runs are always
/// newer.
const RUNS_PER_TERM: u64 = 1_000;

/// Upper bound of the starts chosen in one pass; the remaining tasks start in the following passes.
const MAX_STARTS: usize = 96;

/// Size of a start command without payload and checkpoint: the request's head and its other fields.
const START_OVERHEAD_BYTES: usize = 350;

/// Multiple of its estimate after which a speculative task gets a second copy.
const SPECULATION_FACTOR: f64 = 2.0;

/// Added to the run time after which a speculative task gets a second copy.
const SPECULATION_DELAY: Duration = Duration::from_millis(400);

/// Time after which a long-running task that no other worker can take starts on one in backoff or on probation. A
/// backoff lasts up to 12 s, and failed runs of long-running tasks use up no attempts.
const MAX_AVOIDANCE: Duration = Duration::from_secs(2);

/// Demands that no worker could take in this pass. Free resources only shrink within a pass, so that larger
/// demands need no search: with hundreds of waiting jobs on a full pool, each job costs one comparison.
#[derive(Debug, Default)]
struct UnplaceableDemands {
    demands: Vec<ResourceSet>,
}

impl UnplaceableDemands {
    fn includes(&self, demand: &ResourceSet) -> bool {
        self.demands.iter().any(|known| demand.covers(known))
    }

    fn insert(&mut self, demand: ResourceSet) {
        self.demands.retain(|known| !known.covers(&demand));
        self.demands.push(demand);
    }
}

impl PoolScheduler {
    pub(super) fn issue_starts(&mut self, now: Instant, commands: &mut Vec<PoolCommand>) {
        let mut ready = match self.cost_order.take() {
            Some(mut order) => {
                let keys = order.order_starts(now, self);
                self.cost_order = Some(order);
                keys
            }
            None => self.ready_steps(now),
        };
        ready.sort_unstable();
        let usable = self.workers.values().filter(|worker| {
            let is_open = worker.isolated_for.is_none() && !self.evacuating.contains(&worker.entry.id);
            is_open && worker.is_usable(now)
        });
        self.free_index = FreeIndex::new(usable);
        self.continue_gangs(now, commands);
        let first = commands.len();
        self.limit_use.begin_pass();
        // Before the steps that share workers, which would take the room that suspects need for themselves.
        ready.retain(|key| self.start_suspects(now, key.step(), commands));
        let mut unplaceable = UnplaceableDemands::default();
        for key in &ready {
            if commands.len() - first >= MAX_STARTS || !self.start_budget.has_room(now) {
                break;
            }
            self.start_step(now, key.step(), &mut unplaceable, commands);
            if self.limit_use.take_noted() {
                self.forget_started(now, key.step());
            }
        }
        if commands.len() - first < MAX_STARTS && self.start_budget.has_room(now) {
            self.start_speculative_copies(now, commands);
        }
        self.free_index = FreeIndex::default();
    }

    /// Ready steps that have tasks waiting for a start, with their jobs. Includes those that wait for the end of a
    /// takeover.
    pub(super) fn waiting_steps(&self, now: Instant) -> impl Iterator<Item = (StepId, &JobRun)> {
        let open = self.jobs.iter().filter(|(_, job)| !job.state.is_final());
        open.flat_map(move |(id, job)| {
            job.occurrences.iter().flat_map(move |(number, occurrence)| {
                let waiting = occurrence.steps.iter().enumerate().filter(move |(step, state)| {
                    let has_waiting =
                        state.unfinished > 0 && state.tasks.iter().any(|task| task.is_waiting(now));
                    has_waiting && job.is_step_ready(occurrence, *step)
                });
                waiting.map(move |(step, _)| (StepId::new(id.clone(), *number, step as u32), job))
            })
        })
    }

    /// Whether runs of the job under the previous leader may still be active and unknown.
    pub(super) fn is_waiting_for_takeover(&self, now: Instant, job: &JobRun) -> bool {
        job.is_recovered && self.takeover.is_pending(now)
    }

    /// Collects the keys of the steps whose waiting tasks may start.
    fn ready_steps(&self, now: Instant) -> Vec<StartKey> {
        let waiting = self.waiting_steps(now);
        let ready = waiting.filter(|(_, job)| !self.is_waiting_for_takeover(now, job));
        let keys = ready.map(|(step, job)| {
            let due_at = due_at(job, &step);
            let inputs = priority_inputs(job, step.step as usize, due_at);
            StartKey::new(now, &inputs, step)
        });
        keys.collect()
    }

    fn start_step(
        &mut self,
        now: Instant,
        step: &StepId,
        unplaceable: &mut UnplaceableDemands,
        commands: &mut Vec<PoolCommand>,
    ) {
        // Thousands of steps may wait; each costs one search for its job.
        let Some(mut job) = self.jobs.get(&step.job) else {
            return;
        };
        if self.may_note_start(job.record.organisation.as_ref()) {
            self.note_waiting_start(step);
            let Some(same) = self.jobs.get(&step.job) else {
                return;
            };
            job = same;
        }
        let spec = &job.record.spec.steps[step.step as usize];
        if unplaceable.includes(&spec.reserved()) {
            return;
        }
        let spec = spec.clone();
        let organisation = job.record.organisation.clone();
        let Some(state) = job.step(step) else {
            return;
        };
        let waiting: Vec<u32> = (0..)
            .zip(&state.tasks)
            .filter(|(_, task)| task.is_waiting(now) && (spec.is_gang || !task.is_suspect()))
            .map(|(index, _)| index)
            .collect();
        if spec.is_gang && waiting.len() < state.tasks.len() {
            return;
        }
        let has_advice = job.record.rule.advice.is_some();
        if has_advice && !self.ensure_tickets(now, step, &spec, &waiting, None, commands) {
            return;
        }
        if spec.is_gang {
            self.start_gang(now, step, &spec, organisation.as_ref(), &waiting, commands);
            return;
        }
        for index in waiting {
            let task = step.task(index);
            let is_allowed = self.may_use_limit(now, step, organisation.as_ref(), &spec.demand);
            if !is_allowed || !self.start_budget.has_room(now) {
                return;
            }
            let worker = self.choose_worker(now, &task, &spec, has_advice);
            let worker = worker.or_else(|| self.choose_avoided_worker(now, &task, &spec, has_advice));
            let Some(worker) = worker else {
                let is_free_choice = spec.label.is_none() && spec.max_per_worker.is_none() && !has_advice;
                if is_free_choice {
                    unplaceable.insert(spec.reserved());
                }
                return;
            };
            let run = self.next_run_number(&task);
            self.place_task(now, &worker, &task, run, &spec, organisation.as_ref(), commands);
        }
    }

    /// Returns a run number above all that were used for the task.
    pub(super) fn next_run_number(&self, task: &TaskId) -> RunNumber {
        let base = (self.term.get().saturating_sub(1)) * RUNS_PER_TERM;
        let last = self
            .task(task)
            .map_or(RunNumber::default(), |state| state.last_run);
        last.max(RunNumber::new(base)).next()
    }

    pub(super) fn choose_worker(
        &self,
        now: Instant,
        task: &TaskId,
        spec: &StepSpec,
        has_advice: bool,
    ) -> Option<WorkerId> {
        self.choose_paced_worker(now, task, spec, has_advice, placement::MAX_PENDING_STARTS)
    }

    /// Chooses a worker with less than `max_pending` starts in flight.
    pub(super) fn choose_paced_worker(
        &self,
        now: Instant,
        task: &TaskId,
        spec: &StepSpec,
        has_advice: bool,
        max_pending: u32,
    ) -> Option<WorkerId> {
        let step = self.jobs.get(&task.step.job)?.step(&task.step)?;
        let rack = if spec.prefers_same_rack {
            self.choose_rack(step.tasks.iter().flat_map(|task| &task.copies))
        } else {
            spec.data_rack.clone()
        };
        let request = PlacementRequest {
            preferred_rack: rack.as_deref(),
            max_pending,
            ..self.placement_request(task, spec, has_advice)?
        };
        if spec.is_long_running {
            placement::choose_worker(now, &self.workers, &request)
        } else {
            placement::choose_indexed_worker(now, &self.workers, &self.free_index, &request)
        }
    }

    /// Chooses a worker in backoff or on probation for a long-running task that has waited long for another one.
    fn choose_avoided_worker(
        &self,
        now: Instant,
        task: &TaskId,
        spec: &StepSpec,
        has_advice: bool,
    ) -> Option<WorkerId> {
        let since = self.held.waiting_since(&task.step)?;
        if !spec.is_long_running || now < since + MAX_AVOIDANCE {
            return None;
        }
        let request = self.placement_request(task, spec, has_advice)?;
        placement::choose_avoided_worker(now, &self.workers, &request)
    }

    /// Request for a worker without a preferred rack. `has_advice` tells whether the worker needs a ticket.
    pub(super) fn placement_request<'a>(
        &'a self,
        task: &'a TaskId,
        spec: &'a StepSpec,
        has_advice: bool,
    ) -> Option<PlacementRequest<'a>> {
        let advice = self.advice.get(&task.step).filter(|_| has_advice);
        Some(PlacementRequest {
            task,
            spec,
            avoided: &self.task(task)?.avoided_workers,
            evacuating: &self.evacuating,
            maintenance_due: &self.plan.maintenance_due,
            preferred_rack: None,
            allowed: advice.map(StepAdvice::tickets),
            max_pending: placement::MAX_PENDING_STARTS,
        })
    }

    /// Returns the rack of the first existing copy, or else the rack with the most free processor cores.
    fn choose_rack<'a>(&self, mut copies: impl Iterator<Item = &'a TaskCopy>) -> Option<Arc<str>> {
        if let Some(copy) = copies.next() {
            return self.workers.get(&copy.worker)?.entry.rack().cloned();
        }
        let mut racks: BTreeMap<Arc<str>, u64> = BTreeMap::new();
        for worker in self.workers.values().filter(|worker| worker.is_listed) {
            if let Some(rack) = worker.entry.rack() {
                *racks.entry(Arc::clone(rack)).or_default() += worker.free().cores.get();
            }
        }
        let roomiest = racks.into_iter().max_by_key(|(_, free)| *free);
        roomiest.map(|(rack, _)| rack)
    }

    #[expect(
        clippy::too_many_arguments,
        reason = "a start consists of these independent parts"
    )]
    pub(super) fn place_task(
        &mut self,
        now: Instant,
        worker_id: &WorkerId,
        task: &TaskId,
        run: RunNumber,
        spec: &StepSpec,
        organisation: Option<&OrganisationId>,
        commands: &mut Vec<PoolCommand>,
    ) {
        let advice = self.advice.get(&task.step);
        let ticket = advice.and_then(|advice| advice.tickets().get(worker_id));
        let ticket = ticket.map(|ticket| Arc::clone(&ticket.ticket));
        let lease = self.timing.lease;
        // A task that is no suspect any more starts at once, whatever was planned.
        self.forget_planned_start(task);
        let Some(worker) = self.workers.get_mut(worker_id) else {
            return;
        };
        let Some(deadline_ms) = worker.lease.grant(now, lease) else {
            return;
        };
        worker.starts_in_flight += 1;
        let target = worker.target();
        let zone = worker.entry.zone.clone();
        let Some(job) = self.jobs.get_mut(&task.step.job) else {
            return;
        };
        if let Some(order) = &mut self.cost_order {
            order.record_start(now, job.size.class, spec);
        }
        let payload = Arc::clone(&job.record.spec.payload);
        let Some(step) = job.step_mut(&task.step) else {
            return;
        };
        let checkpoint = step.checkpoint(task.index);
        let checkpoint = checkpoint.map(|checkpoint| Arc::clone(checkpoint.value()));
        let checkpoint = checkpoint.unwrap_or_default();
        let Some(state) = step.tasks.get_mut(task.index as usize) else {
            return;
        };
        state.last_run = run;
        state.suspect_since = None;
        let stalled_before = state.stalled_runs;
        state.copies.push(TaskCopy {
            worker: worker_id.clone(),
            run,
            placed_at: now,
        });
        self.start_budget
            .spend(payload.len() + checkpoint.len() + START_OVERHEAD_BYTES);
        let placed = PlacedRun {
            stalled_before,
            deadline_ms,
            ..PlacedRun::new(now, run, RunPhase::Starting, spec, organisation.cloned())
        };
        self.limit_use.add_run(&placed);
        worker.add_run(task.clone(), placed);
        self.free_index.update(worker);
        commands.push(PoolCommand::Start(StartCommand {
            target,
            zone,
            run: RunId {
                task: task.clone(),
                number: run,
            },
            payload,
            checkpoint,
            deadline_ms,
            ticket,
        }));
    }

    /// Starts second copies of speculative tasks that take far longer than estimated.
    fn start_speculative_copies(&mut self, now: Instant, commands: &mut Vec<PoolCommand>) {
        let mut slow = Vec::new();
        for worker in self.workers.values() {
            for (task, run) in &worker.runs {
                let limit = run.estimate.mul_f64(SPECULATION_FACTOR) + SPECULATION_DELAY;
                let is_slow = !run.is_long_running && now.saturating_duration_since(run.placed_at) > limit;
                if is_slow && !run.must_stop && run.phase == RunPhase::Running {
                    slow.push(run_id(task, run));
                }
            }
        }
        for RunId { task, .. } in slow {
            let Some(job) = self.jobs.get(&task.step.job) else {
                continue;
            };
            let spec = job.record.spec.steps[task.step.step as usize].clone();
            let organisation = job.record.organisation.clone();
            // A copy of a task that crashes its workers would only crash the next one.
            let copies = self
                .task(&task)
                .filter(|task| !task.is_suspect() && !task.losses.has_early_loss())
                .map_or(0, |task| task.copies.len());
            let may_copy = spec.is_speculative && copies == 1 && job.record.rule.advice.is_none();
            if !may_copy || !self.may_use_limit(now, &task.step, organisation.as_ref(), &spec.demand) {
                continue;
            }
            let Some(worker) = self.choose_worker(now, &task, &spec, false) else {
                continue;
            };
            let is_fast = self
                .workers
                .get(&worker)
                .is_some_and(|state| !state.health.is_slow());
            if is_fast {
                let run = self.next_run_number(&task);
                self.note(
                    "second copy",
                    Some(task.step.job.clone()),
                    Some(worker.clone()),
                    format!("task {task}"),
                );
                self.place_task(now, &worker, &task, run, &spec, organisation.as_ref(), commands);
            }
        }
    }
}

/// Time from which the objective of a step's job counts.
pub(super) fn due_at(job: &JobRun, step: &StepId) -> Instant {
    let occurrence = job.occurrences.get(&step.occurrence);
    occurrence.map_or(job.accepted_at, |occurrence| occurrence.due_at)
}

pub(super) fn priority_inputs(job: &JobRun, step: usize, accepted_at: Instant) -> PriorityInputs {
    let spec = &job.record.spec.steps[step];
    PriorityInputs {
        priority: job.record.rule.priority,
        is_long_running: spec.is_long_running,
        is_best_effort: spec.is_best_effort,
        has_started: job.state == JobState::Running,
        is_over_rate: job.is_over_rate,
        accepted_at,
        objective: job.objective,
        is_large: job.is_large,
        critical_path: job.critical_paths[step],
    }
}
