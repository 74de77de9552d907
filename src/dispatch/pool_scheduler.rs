//! Scheduler of one pool: turns events into commands.
//!
//! `command_outcomes` handles the outcomes of commands and `worker_reports` the reports of workers.
//! `task_starts` chooses the tasks to start, `evacuation` moves tasks off workers, and `worker_commands`
//! issues stops, speeds and polls. `worker_losses` records runs that end with their worker and gives up
//! tasks that crash workers; `isolation` starts suspects without other jobs beside them. `demand_report`
//! reports demand and capacity to the fleet leader, with the tasks that `unplaced_tasks` finds no worker for, and
//! `progress_flush` collects the changes that have to be stored. `load_report` digests the load for the admission of
//! submissions. `held_tasks` finds out what holds back tasks that wait. `zone_evacuation` closes the workers of zones
//! under evacuation, and `cost_order` orders the starts by the cost of delay, if that is set. `limit_use` keeps the starts
//! within the limits of the organisations, `gang_starts` starts gangs as a whole, and `advice_requests` finds out which
//! workers may run the steps of queues with advice.

mod advice_requests;
mod command_outcomes;
mod cost_order;
mod demand_report;
mod evacuation;
mod gang_starts;
mod held_tasks;
mod isolation;
mod limit_use;
mod load_report;
mod progress_flush;
mod task_starts;
mod unplaced_tasks;
mod worker_commands;
mod worker_losses;
mod worker_reports;
mod zone_evacuation;

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use crate::dispatch::command::{PoolCommand, RunId};
use crate::dispatch::ended_jobs::EndedJobs;
use crate::dispatch::evacuated_zones::EvacuatedZones;
use crate::dispatch::flush_queue::FlushQueue;
use crate::dispatch::free_index::FreeIndex;
use crate::dispatch::inflow_forecast::InflowForecast;
use crate::dispatch::instance_workers::InstanceWorkers;
use crate::dispatch::job_record::{JobProgress, JobRecord, JobState};
use crate::dispatch::job_spec::StepSpec;
use crate::dispatch::job_state::{JobRun, StepState, TaskState};
use crate::dispatch::link_budget::LinkBudget;
use crate::dispatch::open_losses::OpenLosses;
use crate::dispatch::poll_pace::{MIN_POLL_INTERVAL, PollPace};
use crate::dispatch::pool_plan::PoolPlan;
use crate::dispatch::pool_scheduler::advice_requests::AdviceQueues;
use crate::dispatch::pool_scheduler::cost_order::CostOrder;
use crate::dispatch::pool_scheduler::gang_starts::GangStarts;
use crate::dispatch::pool_scheduler::held_tasks::HeldTasks;
use crate::dispatch::pool_scheduler::isolation::{IsolatedJob, PlannedStart};
use crate::dispatch::pool_scheduler::limit_use::LimitUse;
use crate::dispatch::pool_scheduler::unplaced_tasks::UnplacedSteps;
use crate::dispatch::scheduler_timing::SchedulerTiming;
use crate::dispatch::site_config::{OrganisationConfig, SiteConfig};
use crate::dispatch::step_advice::StepAdvice;
use crate::dispatch::takeover::TakeoverState;

use crate::dispatch::rate_limiter::RateLimiter;
use crate::dispatch::task_id::{StepId, TaskId};
use crate::dispatch::work_average::WorkAverage;
use crate::dispatch::worker_entry::WorkerEntry;
use crate::dispatch::worker_state::{PlacedRun, StopRule, WorkerState};

use crate::model::amount::MilliCores;
use crate::model::id::{JobId, LeaderTerm, OrganisationId, PoolId, WorkerId, ZoneId};
use crate::model::unix_time::UnixMillis;

pub use progress_flush::{FlushBatch, JobKey, JobWrite};

/// Longest time for which a worker may hold back its answer to a poll until a run ends.
pub const POLL_WAIT: Duration = Duration::from_secs(1);

/// Consecutive reports without a confirmed run after which the run is stopped.
const MAX_MISSING_POLLS: u32 = 2;

/// Decision for the log. The text of `decision` is also the value of a metric label.
#[derive(Debug, Clone, PartialEq, Eq)]
#[expect(missing_docs, reason = "the comment on the type describes the decision")]
pub struct DecisionNote {
    pub decision: &'static str,
    /// Job that the decision concerns; absent if it concerns a worker as a whole.
    pub job: Option<JobId>,
    /// Worker that the decision concerns; absent if it concerns a job as a whole.
    pub worker: Option<WorkerId>,
    /// Facts on which the decision rests, as text.
    pub inputs: String,
}

/// Scheduler of one pool during one term of its leader.
#[derive(Debug)]
pub struct PoolScheduler {
    pool: PoolId,
    term: LeaderTerm,
    timing: SchedulerTiming,
    jobs: BTreeMap<JobId, JobRun>,
    workers: BTreeMap<WorkerId, WorkerState>,
    instance_workers: InstanceWorkers,
    open_losses: OpenLosses,
    /// Jobs with suspects that have a worker for themselves.
    isolated: BTreeMap<JobId, IsolatedJob>,
    /// Workers that were isolated in vain, with the time at which they were opened again.
    reopened_workers: BTreeMap<WorkerId, Instant>,
    /// Tasks with recorded losses, which a run clears once it has outlasted them.
    tasks_with_losses: BTreeSet<TaskId>,
    /// Starts of suspects that are being stored before they are sent.
    planned_starts: BTreeMap<TaskId, PlannedStart>,
    /// Largest number of losses on record of one task in this term.
    most_losses: u32,
    /// Workers that may take tasks in the present pass.
    free_index: FreeIndex,
    /// Steps with waiting tasks that no worker can take.
    unplaced: UnplacedSteps,
    plan: PoolPlan,
    zones: EvacuatedZones,
    /// Workers that may take no task, by the plan or because their zone is under evacuation.
    evacuating: BTreeSet<WorkerId>,
    /// Zones under evacuation in which nothing runs any more, as far as it was logged.
    emptied_zones: BTreeSet<ZoneId>,
    organisations: BTreeMap<OrganisationId, OrganisationConfig>,
    /// Whether the workers of the pool start what exceeds their capacity instead of refusing it.
    is_unguarded: bool,
    limit_use: LimitUse,
    gang_starts: GangStarts,
    takeover: TakeoverState,
    rate_limiter: RateLimiter,
    /// Present if the order of starts depends on the cost of delay.
    cost_order: Option<CostOrder>,
    start_budget: LinkBudget,
    poll_pace: PollPace,
    inflow: InflowForecast,
    work_average: WorkAverage,
    advice: BTreeMap<StepId, StepAdvice>,
    advice_queues: AdviceQueues,
    changes: FlushQueue,
    /// Cancellations of unknown jobs, whose records have to be deleted.
    stale_cancels: Vec<JobId>,
    /// Jobs that ended in this term. A read of the inbox that precedes their deletion may still list them.
    ended_jobs: EndedJobs,
    /// Runs on a worker that already has another run of the same task, with the time at which the last stop
    /// was sent.
    duplicate_runs: BTreeMap<(WorkerId, RunId), Option<Instant>>,
    held: HeldTasks,
    notes: Vec<DecisionNote>,
    is_fenced: bool,
    /// Earliest time at which tasks are moved; until then a stop by the previous leader may still take
    /// effect.
    evacuate_after: Option<Instant>,
    /// Processor capacity of the largest worker that was seen in any pool.
    largest_worker: MilliCores,
    /// Earliest due time of an occurrence that has not started, as of the last pass that started occurrences.
    /// Absent if there was none.
    next_due: Option<UnixMillis>,
}

impl PoolScheduler {
    /// Creates the scheduler for a new term. `takeover` holds the workers of the previous leader.
    pub fn new(pool: PoolId, term: LeaderTerm, timing: SchedulerTiming, takeover: TakeoverState) -> Self {
        Self {
            pool,
            term,
            timing,
            jobs: BTreeMap::new(),
            workers: BTreeMap::new(),
            instance_workers: InstanceWorkers::default(),
            open_losses: OpenLosses::default(),
            isolated: BTreeMap::new(),
            reopened_workers: BTreeMap::new(),
            tasks_with_losses: BTreeSet::new(),
            planned_starts: BTreeMap::new(),
            most_losses: 0,
            free_index: FreeIndex::default(),
            unplaced: UnplacedSteps::default(),
            plan: PoolPlan::default(),
            zones: EvacuatedZones::default(),
            evacuating: BTreeSet::new(),
            emptied_zones: BTreeSet::new(),
            organisations: BTreeMap::new(),
            is_unguarded: true,
            limit_use: LimitUse::default(),
            gang_starts: GangStarts::default(),
            takeover,
            rate_limiter: RateLimiter::default(),
            cost_order: None,
            start_budget: LinkBudget::default(),
            poll_pace: PollPace::default(),
            inflow: InflowForecast::default(),
            work_average: WorkAverage::default(),
            advice: BTreeMap::new(),
            advice_queues: AdviceQueues::default(),
            changes: FlushQueue::default(),
            stale_cancels: Vec::new(),
            ended_jobs: EndedJobs::default(),
            duplicate_runs: BTreeMap::new(),
            held: HeldTasks::default(),
            notes: Vec::new(),
            is_fenced: false,
            evacuate_after: None,
            largest_worker: MilliCores::default(),
            next_due: None,
        }
    }

    /// Limits the start commands to a part of the instance's link.
    #[must_use]
    pub fn with_start_budget(mut self, budget: LinkBudget) -> Self {
        self.start_budget = budget;
        self
    }

    /// Limits the polls to a part of the instance's processor.
    #[must_use]
    pub fn with_poll_pace(mut self, pace: PollPace) -> Self {
        self.poll_pace = pace;
        self
    }

    /// Orders the starts by the cost of delay to callers.
    #[must_use]
    pub fn with_shedding_by_cost(mut self) -> Self {
        self.cost_order = Some(CostOrder::default());
        self
    }

    /// Whether a worker has rejected a command because it has seen a newer leader. The scheduler then issues
    /// no more commands.
    pub fn is_fenced(&self) -> bool {
        self.is_fenced
    }

    /// Number of jobs that have not ended or whose end is not stored yet.
    pub fn job_count(&self) -> usize {
        self.jobs.len()
    }

    /// Returns a job that has not ended or whose end is not stored yet.
    pub fn job(&self, job: &JobId) -> Option<&JobRun> {
        self.jobs.get(job)
    }

    /// Largest number of losses on record of one task in this term.
    pub fn most_losses(&self) -> u32 {
        self.most_losses
    }

    /// All workers known in this term, with those that have left the list.
    pub fn workers(&self) -> &BTreeMap<WorkerId, WorkerState> {
        &self.workers
    }

    /// Takes the decisions made since the previous call.
    pub fn take_notes(&mut self) -> Vec<DecisionNote> {
        std::mem::take(&mut self.notes)
    }

    /// Applies the weights and limits of a new configuration.
    pub fn set_config(&mut self, config: &SiteConfig) {
        self.organisations.clone_from(&config.organisations);
        let pool = config.pools.get(&self.pool).copied().unwrap_or_default();
        self.is_unguarded = !pool.enforces_capacity;
        for worker in self.workers.values_mut() {
            worker.is_unguarded = self.is_unguarded;
        }
    }

    /// Applies a plan of the fleet leader; a plan older than the current one is ignored.
    pub fn set_plan(&mut self, plan: PoolPlan) {
        if plan.version >= self.plan.version {
            self.plan = plan;
            self.update_evacuating();
        }
    }

    /// Adds an accepted job. `stored` is the progress of a job that was accepted in an earlier term, and
    /// absent for a new job. Jobs that are known already are ignored.
    pub fn submit(
        &mut self,
        now: Instant,
        accepted_at: Instant,
        record: JobRecord,
        stored: Option<&JobProgress>,
    ) {
        if self.jobs.contains_key(&record.id) || self.ended_jobs.contains(&record.id) {
            return;
        }
        let id = record.id.clone();
        let mut job = JobRun::new(record, stored, accepted_at);
        job.is_recovered = stored.is_some();
        if let Some(organisation) = &job.record.organisation
            && !job.is_recovered
        {
            let weight = self
                .organisations
                .get(organisation)
                .map_or(0.0, |config| config.weight);
            job.is_over_rate = self.rate_limiter.is_over_rate(now, organisation, weight);
        }
        if let Some(order) = &mut self.cost_order {
            job.size = order.observe_job(&job.record);
        }
        job.is_large = self.work_average.observe(job.record.spec.estimated_work());
        if !job.is_recovered && !job.is_over_rate {
            let age = now.saturating_duration_since(accepted_at);
            self.inflow.record_submission(now, age, &job.record.spec);
        }
        let is_done = job.is_done();
        if let Some(due) = job.next_due() {
            self.next_due = self.next_due.map(|known| known.min(due));
        }
        self.jobs.insert(id.clone(), job);
        if is_done {
            self.end_job(&id, JobState::Completed, "all tasks were done before this term");
        }
        self.open_recorded_losses(&id);
    }

    /// Cancels a job. If the job is not known, its stored cancellation will be deleted.
    pub fn cancel(&mut self, job: &JobId) {
        match self.jobs.get_mut(job) {
            None => self.stale_cancels.push(job.clone()),
            Some(run) => {
                run.is_cancelled = true;
                if !run.state.is_final() {
                    self.end_job(job, JobState::Cancelled, "cancelled by its caller");
                }
            }
        }
    }

    /// Ends a job: requests the stop of its runs and marks its state to be stored.
    fn end_job(&mut self, id: &JobId, state: JobState, reason: &str) {
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        job.state = state;
        job.end_reason = Some(reason.into());
        for (number, occurrence) in &job.occurrences {
            for (step, state) in occurrence.steps.iter().enumerate() {
                for (index, task) in state.tasks.iter().enumerate() {
                    let id = StepId::new(id.clone(), *number, step as u32).task(index as u32);
                    request_stops(
                        &mut self.workers,
                        &id,
                        task.copies.iter().map(|copy| &copy.worker),
                    );
                }
            }
        }
        let inputs = format!("{state}: {reason}");
        self.advice.retain(|step, _| step.job != *id);
        self.gang_starts.forget_job(id);
        self.release_isolation(id);
        self.note("job ended", Some(id.clone()), None, inputs);
        self.mark_state_changed(id);
    }

    /// Marks the state of a job to be stored.
    fn mark_state_changed(&mut self, id: &JobId) {
        if let Some(job) = self.jobs.get_mut(id) {
            job.has_unsaved_state = true;
            let oldest = &mut job.oldest_unsaved_change;
            job.last_change = self.changes.record_change(id, oldest, job.state.is_final());
        }
    }

    /// Marks the progress of a job to be stored and returns the sequence number of the change.
    fn mark_progress_changed(&mut self, id: &JobId) -> u64 {
        let Some(job) = self.jobs.get_mut(id) else {
            return 0;
        };
        job.has_unsaved_progress = true;
        let oldest = &mut job.oldest_unsaved_change;
        job.last_change = self.changes.record_change(id, oldest, job.state.is_final());
        job.last_change
    }

    fn note(
        &mut self,
        decision: &'static str,
        job: Option<JobId>,
        worker: Option<WorkerId>,
        inputs: impl Into<String>,
    ) {
        self.notes.push(DecisionNote {
            decision,
            job,
            worker,
            inputs: inputs.into(),
        });
    }

    /// Adds or updates a worker from its entry in the list. A new incarnation of its process has lost the
    /// runs of the previous one.
    pub fn set_worker(&mut self, now: Instant, entry: WorkerEntry) {
        if entry.pool != self.pool {
            let id = entry.id;
            self.remove_worker(&id);
            return;
        }
        let id = entry.id.clone();
        let Some(worker) = self.workers.get_mut(&id) else {
            let mut worker = WorkerState::new(entry);
            worker.is_unguarded = self.is_unguarded;
            self.workers.insert(id.clone(), worker);
            self.update_evacuating_worker(&id);
            return;
        };
        if entry.incarnation < worker.incarnation {
            // An entry of an earlier process that is read late.
            return;
        }
        worker.is_listed = true;
        if entry.is_draining && !worker.entry.is_draining {
            let inputs = format!("{} runs on it", worker.runs.len());
            worker.entry.is_draining = true;
            self.note("worker drains", None, Some(id.clone()), inputs);
        }
        let incarnation = entry.incarnation;
        if let Some(worker) = self.workers.get_mut(&id) {
            worker.entry = entry;
        }
        self.update_evacuating_worker(&id);
        self.check_incarnation(now, &id, incarnation);
    }

    /// Adds a worker to those that have to report before the takeover ends.
    pub fn expect_worker(&mut self, worker: &WorkerId) {
        self.takeover.expect(worker);
    }

    /// Handles the removal of a worker's entry from the list. Its runs go on until their lease expires.
    pub fn remove_worker(&mut self, id: &WorkerId) {
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        worker.is_listed = false;
        let inputs = format!("{} runs keep their lease", worker.runs.len());
        self.note("worker left the list", None, Some(id.clone()), inputs);
    }

    /// Workers that are in the list; after a complete read those that it lacks are removed.
    pub fn listed_workers(&self) -> BTreeSet<WorkerId> {
        let listed = self.workers.iter().filter(|(_, worker)| worker.is_listed);
        listed.map(|(id, _)| id.clone()).collect()
    }

    /// Removes a run that has not started or has ended, so that its task may start again. If the lease of the
    /// run has expired, its last checkpoint is kept. Returns the run, if it was on the worker.
    fn drop_run(
        &mut self,
        now: Instant,
        worker_id: &WorkerId,
        run: &RunId,
        is_expired: bool,
    ) -> Option<PlacedRun> {
        let worker = self.workers.get_mut(worker_id)?;
        let placed = worker.remove_run(&run.task, run.number)?;
        self.free_index.update(worker);
        self.limit_use.remove_run(&placed);
        if !is_expired {
            self.forget_loss(worker_id, run);
        }
        let job = self.jobs.get_mut(&run.task.step.job);
        if let Some(step) = job.and_then(|job| job.step_mut(&run.task.step))
            && let Some(checkpoint) = step.checkpoint_mut(run.task.index).filter(|_| is_expired)
        {
            checkpoint.record(run.number, &placed.checkpoint, false);
        }
        if let Some(task) = self.task_mut(&run.task) {
            task.copies
                .retain(|copy| copy.worker != *worker_id || copy.run != run.number);
            if task.ready_at.is_some_and(|at| at < now) {
                task.ready_at = None;
            }
        }
        Some(placed)
    }

    fn job_step(&self, step: &StepId) -> Option<&StepState> {
        self.jobs.get(&step.job)?.step(step)
    }

    fn step_spec(&self, step: &StepId) -> Option<&StepSpec> {
        let job = self.jobs.get(&step.job)?;
        job.record.spec.steps.get(step.step as usize)
    }

    fn task(&self, task: &TaskId) -> Option<&TaskState> {
        self.job_step(&task.step)?.tasks.get(task.index as usize)
    }

    fn task_mut(&mut self, task: &TaskId) -> Option<&mut TaskState> {
        let job = self.jobs.get_mut(&task.step.job)?;
        job.step_mut(&task.step)?.tasks.get_mut(task.index as usize)
    }

    /// Decides what to do at `now` and returns the commands. `is_leadership_valid` says whether the
    /// leadership lease is certainly still held; without it no task is started or moved and no lease is
    /// renewed.
    pub fn decide(
        &mut self,
        now: Instant,
        wall_time: UnixMillis,
        is_leadership_valid: bool,
    ) -> Vec<PoolCommand> {
        let mut commands = Vec::new();
        if self.is_fenced {
            return commands;
        }
        self.expire_runs(now);
        self.withdraw_moves(now);
        self.note_empty_zones();
        self.review_former_usage(now);
        let may_start = is_leadership_valid && self.zones.is_confirmed(now);
        self.issue_stops(now, may_start, &mut commands);
        if is_leadership_valid {
            self.start_due_occurrences(now, wall_time);
            let previous_stops_end = now + self.timing.stop_timeout + POLL_WAIT + MIN_POLL_INTERVAL;
            let evacuate_after = *self.evacuate_after.get_or_insert(previous_stops_end);
            if may_start && now >= evacuate_after {
                self.evacuate(now);
            }
            self.review_isolated_jobs(now);
            if may_start {
                self.issue_starts(now, &mut commands);
            }
            self.find_unplaced_steps(now);
            self.review_held_tasks(now);
            self.issue_speeds(&mut commands);
        }
        self.issue_polls(now, is_leadership_valid, &mut commands);
        commands
    }

    fn start_due_occurrences(&mut self, now: Instant, wall_time: UnixMillis) {
        let start_margin = self.timing.max_early_start / 2;
        let horizon = wall_time.get() + start_margin.as_millis() as u64;
        if self.next_due.is_some_and(|due| due.get() > horizon) {
            return;
        }
        self.next_due = None;
        for job in self
            .jobs
            .values_mut()
            .filter(|job| job.record.spec.schedule.is_some())
        {
            if job.state.is_final() {
                continue;
            }
            job.start_due_occurrences(now, wall_time, start_margin);
            if let Some(due) = job.next_due() {
                self.next_due = Some(self.next_due.map_or(due, |old| old.min(due)));
            }
        }
    }

    /// Time at which [`Self::decide`] should be called again if no event arrives before.
    pub fn next_wakeup(&self, now: Instant, wall_time: UnixMillis) -> Instant {
        let mut next = now + Duration::from_millis(500);
        let mut consider = |at: Instant| next = next.min(at.max(now + Duration::from_millis(2)));
        for worker in self.workers.values() {
            let is_unreachable = !worker.has_reported || worker.poll.failures > 0;
            let is_wanted = !worker.runs.is_empty()
                || worker.outcomes.has_unlisted()
                || (worker.is_listed && is_unreachable);
            if is_wanted && worker.poll.sent_at.is_none() {
                consider(worker.poll.next_at.unwrap_or(now));
            }
            if let Some(at) = worker.full_until.filter(|at| *at > now) {
                consider(at);
            }
            if let Some(at) = worker.health.backoff_until().filter(|at| *at > now) {
                consider(at);
            }
        }
        if let Some(at) = self.takeover.deadline().filter(|at| *at > now) {
            consider(at);
        }
        if let Some(at) = self.start_budget.next_room() {
            consider(at);
        }
        if let Some(due) = self.next_due {
            consider(now + Duration::from_millis(due.get().saturating_sub(wall_time.get())));
        }
        next
    }
}

fn run_id(task: &TaskId, placed: &PlacedRun) -> RunId {
    RunId {
        task: task.clone(),
        number: placed.run,
    }
}

/// Requests the stop of the copies of a task on the given workers.
fn request_stops<'a>(
    workers: &mut BTreeMap<WorkerId, WorkerState>,
    task: &TaskId,
    on: impl Iterator<Item = &'a WorkerId>,
) {
    for worker in on {
        let placed = workers
            .get_mut(worker)
            .and_then(|worker| worker.runs.get_mut(task));
        if let Some(placed) = placed {
            placed.request_stop(StopRule::Always);
        }
    }
}
