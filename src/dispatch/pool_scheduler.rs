//! The scheduler of one pool: events in, orders out.
//!
//! `command_outcomes` takes in the outcomes of orders and `worker_reports` what workers list; `task_starts` chooses starts,
//! `evacuation` empties workers, and `worker_commands` sends the other orders. `demand_report` tells the fleet's holder of
//! demand and room, and `progress_flush` collects what has to be stored.

mod command_outcomes;
mod demand_report;
mod evacuation;
mod progress_flush;
mod task_starts;
mod worker_commands;
mod worker_reports;

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::dispatch::command::{PoolCommand, RunId};
use crate::dispatch::ended_jobs::EndedJobs;
use crate::dispatch::inflow_forecast::InflowForecast;
use crate::dispatch::job_record::{JobProgress, JobRecord, JobState};
use crate::dispatch::job_state::{JobRun, TaskState};
use crate::dispatch::pool_plan::PoolPlan;
use crate::dispatch::scheduler_timing::SchedulerTiming;
use crate::dispatch::site_config::{OrganisationConfig, SiteConfig};
use crate::dispatch::takeover::TakeoverState;

use crate::dispatch::rate_limiter::RateLimiter;
use crate::dispatch::task_id::{StepId, TaskId};
use crate::dispatch::work_average::WorkAverage;
use crate::dispatch::worker_entry::WorkerEntry;
use crate::dispatch::worker_state::{PlacedRun, WorkerState};

use crate::model::id::{JobId, LeaderTerm, OrganisationId, PoolId, WorkerId};
use crate::model::resource::ResourceSet;
use crate::model::unix_time::UnixMillis;

pub use progress_flush::{FlushBatch, JobWrite};

/// Longest time for which a worker may hold back its answer to a look until a run ends.
pub const POLL_WAIT: Duration = Duration::from_secs(1);

/// Pause between an answered look and the next; ends that come close together are listed in one answer.
pub const POLL_INTERVAL: Duration = Duration::from_millis(60);

/// Pause before advice is asked for again after a call without an answer.
const ADVICE_RETRY: Duration = Duration::from_millis(300);

/// Looks in a row that do not list a confirmed run, after which it is stopped.
const MAX_MISSING_POLLS: u32 = 2;

/// A decision worth a log line.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DecisionNote {
    /// What was decided.
    pub decision: &'static str,
    /// Job that it touches.
    pub job: Option<JobId>,
    /// Worker that it touches.
    pub worker: Option<WorkerId>,
    /// Inputs that decided it.
    pub inputs: String,
}

/// Advice on one step.
#[derive(Debug, Clone)]
struct StepAdvice {
    tickets: BTreeMap<WorkerId, Arc<str>>,
    valid_until: Instant,
    requested_at: Option<Instant>,
    retry_at: Instant,
}

/// The scheduler of one pool.
#[derive(Debug)]
pub struct PoolScheduler {
    pool: PoolId,
    term: LeaderTerm,
    timing: SchedulerTiming,
    jobs: BTreeMap<JobId, JobRun>,
    workers: BTreeMap<WorkerId, WorkerState>,
    plan: PoolPlan,
    organisations: BTreeMap<OrganisationId, OrganisationConfig>,
    usage: BTreeMap<OrganisationId, ResourceSet>,
    takeover: TakeoverState,
    rate_limiter: RateLimiter,
    inflow: InflowForecast,
    work_average: WorkAverage,
    advice: BTreeMap<StepId, StepAdvice>,
    last_change: u64,
    unflushed: BTreeMap<u64, JobId>,
    flushing: BTreeMap<u64, JobId>,
    stale_cancels: Vec<JobId>,
    /// Jobs that ended in this term; a read of the inbox that overtakes their deletion may still list them.
    ended_jobs: EndedJobs,
    /// Runs beside another run of their task on the same worker, with the time of the last stop.
    duplicate_runs: BTreeMap<(WorkerId, RunId), Option<Instant>>,
    notes: Vec<DecisionNote>,
    is_fenced: bool,
    /// Earliest time at which tasks are moved: a stop of the former holder may still be under way before it.
    evacuate_after: Option<Instant>,
    next_due: Option<UnixMillis>,
}

impl PoolScheduler {
    /// Creates the scheduler of a new term. `settling` holds the workers of the former holder.
    pub fn new(pool: PoolId, term: LeaderTerm, timing: SchedulerTiming, takeover: TakeoverState) -> Self {
        Self {
            pool,
            term,
            timing,
            jobs: BTreeMap::new(),
            workers: BTreeMap::new(),
            plan: PoolPlan::default(),
            organisations: BTreeMap::new(),
            usage: BTreeMap::new(),
            takeover,
            rate_limiter: RateLimiter::default(),
            inflow: InflowForecast::default(),
            work_average: WorkAverage::default(),
            advice: BTreeMap::new(),
            last_change: 0,
            unflushed: BTreeMap::new(),
            flushing: BTreeMap::new(),
            stale_cancels: Vec::new(),
            ended_jobs: EndedJobs::default(),
            duplicate_runs: BTreeMap::new(),
            notes: Vec::new(),
            is_fenced: false,
            evacuate_after: None,
            next_due: None,
        }
    }

    /// Whether a worker has refused an order for a newer holder's.
    pub fn is_fenced(&self) -> bool {
        self.is_fenced
    }

    /// Jobs that are not over.
    pub fn job_count(&self) -> usize {
        self.jobs.len()
    }

    /// A job, for tests and explanations.
    pub fn job(&self, job: &JobId) -> Option<&JobRun> {
        self.jobs.get(job)
    }

    /// The workers.
    pub fn workers(&self) -> &BTreeMap<WorkerId, WorkerState> {
        &self.workers
    }

    /// Takes the decisions made since the last call.
    pub fn take_notes(&mut self) -> Vec<DecisionNote> {
        std::mem::take(&mut self.notes)
    }

    /// Takes the weights and limits of a new configuration.
    pub fn set_config(&mut self, config: &SiteConfig) {
        self.organisations.clone_from(&config.organisations);
    }

    /// Takes a plan of the fleet's holder; an older one is ignored.
    pub fn set_plan(&mut self, plan: PoolPlan) {
        if plan.version >= self.plan.version {
            self.plan = plan;
        }
    }

    /// Takes an accepted job. Jobs of an earlier term come with their progress.
    pub fn submit(
        &mut self,
        now: Instant,
        accepted_at: Instant,
        record: JobRecord,
        old: Option<&JobProgress>,
    ) {
        if self.jobs.contains_key(&record.id) || self.ended_jobs.contains(&record.id) {
            return;
        }
        let id = record.id.clone();
        let mut job = JobRun::new(record, old, accepted_at);
        job.is_recovered = old.is_some();
        if let Some(organisation) = &job.record.organisation
            && !job.is_recovered
        {
            let weight = self
                .organisations
                .get(organisation)
                .map_or(0.0, |config| config.weight);
            job.is_over_rate = self.rate_limiter.is_over_rate(now, organisation, weight);
        }
        job.is_large = self.work_average.observe(job.record.spec.estimated_work());
        if !job.is_recovered && !job.is_over_rate {
            let age = now.saturating_duration_since(accepted_at);
            self.inflow.submit(now, age, &job.record.spec);
        }
        let is_done = job.is_done();
        self.jobs.insert(id.clone(), job);
        if is_done {
            self.end_job(&id, JobState::Completed, "all tasks were done before this term");
        }
    }

    /// Takes a cancellation.
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

    /// Ends a job: its runs are stopped and its state is stored.
    fn end_job(&mut self, id: &JobId, state: JobState, reason: &str) {
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        job.state = state;
        job.has_unsaved_state = true;
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
        self.note("job ended", Some(id.clone()), None, inputs);
        self.mark_changed(id);
    }

    /// Notes that a job's state has changed and returns the number of the change.
    fn mark_changed(&mut self, id: &JobId) -> u64 {
        self.last_change += 1;
        if let Some(job) = self.jobs.get_mut(id)
            && job.oldest_unsaved_change.is_none()
        {
            job.oldest_unsaved_change = Some(self.last_change);
            self.unflushed.insert(self.last_change, id.clone());
        }
        self.last_change
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

    /// Takes a worker's entry. A later start of its process has forgotten what ran there.
    pub fn set_worker(&mut self, now: Instant, entry: WorkerEntry) {
        if entry.pool != self.pool {
            let id = entry.id;
            self.remove_worker(&id);
            return;
        }
        let id = entry.id.clone();
        let Some(worker) = self.workers.get_mut(&id) else {
            self.workers.insert(id.clone(), WorkerState::new(entry));
            return;
        };
        worker.is_listed = true;
        if entry.is_draining && !worker.entry.is_draining {
            let note = format!("{} runs on it", worker.runs.len());
            worker.entry.is_draining = true;
            self.note("worker drains", None, Some(id.clone()), note);
        }
        let born = entry.incarnation;
        if let Some(worker) = self.workers.get_mut(&id) {
            worker.entry = entry;
        }
        self.check_incarnation(now, &id, born);
    }

    /// Adds a worker of the former holder that is not in the list any more.
    pub fn expect_worker(&mut self, worker: &WorkerId) {
        self.takeover.expect(worker);
    }

    /// Takes the removal of a worker's entry. What runs there keeps its lease.
    pub fn remove_worker(&mut self, id: &WorkerId) {
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        worker.is_listed = false;
        let inputs = format!("{} runs keep their lease", worker.runs.len());
        self.note("worker left the list", None, Some(id.clone()), inputs);
    }

    /// Workers in the list, for removals after a complete read.
    pub fn listed_workers(&self) -> BTreeSet<WorkerId> {
        let listed = self.workers.iter().filter(|(_, worker)| worker.is_listed);
        listed.map(|(id, _)| id.clone()).collect()
    }

    /// Removes a run that has not started or is over, and frees its task. The checkpoint of a lapsed run is kept.
    fn drop_run(&mut self, now: Instant, worker_id: &WorkerId, run: &RunId, is_expired: bool) {
        let Some(worker) = self.workers.get_mut(worker_id) else {
            return;
        };
        let Some(placed) = worker.remove_run(&run.task, run.number) else {
            return;
        };
        self.release_usage(&placed);
        let saved = Arc::clone(&placed.checkpoint);
        if let Some(task) = self.task_mut(&run.task) {
            task.copies
                .retain(|copy| copy.worker != *worker_id || copy.run != run.number);
            if is_expired && !saved.is_empty() {
                task.checkpoint = saved;
            }
            if task.ready_at.is_some_and(|at| at < now) {
                task.ready_at = None;
            }
        }
    }

    fn release_usage(&mut self, placed: &PlacedRun) {
        if let Some(organisation) = &placed.organisation
            && let Some(usage) = self.usage.get_mut(organisation)
        {
            *usage = usage.saturating_sub(&placed.demand);
        }
    }

    fn task_mut(&mut self, task: &TaskId) -> Option<&mut TaskState> {
        let job = self.jobs.get_mut(&task.step.job)?;
        job.step_mut(&task.step)?.tasks.get_mut(task.index as usize)
    }

    /// Decides what to do now. `is_leadership_valid` tells whether the lease of the duty certainly holds, so that tasks
    /// may be started and leases extended.
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
        self.issue_stops(now, &mut commands);
        if is_leadership_valid {
            self.start_due_occurrences(now, wall_time);
            let former_stops_end = now + self.timing.stop_timeout + POLL_WAIT + POLL_INTERVAL;
            let evacuate_after = *self.evacuate_after.get_or_insert(former_stops_end);
            if now >= evacuate_after {
                self.evacuate(now);
            }
            self.issue_starts(now, &mut commands);
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

    /// Time at which [`Self::decide`] should run again without an event.
    pub fn next_wakeup(&self, now: Instant, wall_time: UnixMillis) -> Instant {
        let mut next = now + Duration::from_millis(500);
        let mut consider = |at: Instant| next = next.min(at.max(now + Duration::from_millis(2)));
        for worker in self.workers.values() {
            let is_lost = !worker.has_reported || worker.poll.failures > 0;
            let is_wanted = !worker.runs.is_empty() || (worker.is_listed && is_lost);
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

/// Marks the copies of a task as to be stopped.
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
            placed.must_stop = true;
        }
    }
}
