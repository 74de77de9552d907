//! Reports of a pool: demand and capacity for the fleet leader, and the counts of waiting jobs.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Instant;

use crate::dispatch::job_spec::StepSpec;
use crate::dispatch::job_state::{JobOccurrence, JobRun};
use crate::dispatch::pool_plan::{PoolReport, WorkerUsage};
use crate::dispatch::pool_scheduler::{PoolScheduler, limit_use, task_starts};
use crate::dispatch::start_priority::StartClass;
use crate::dispatch::work_forecast;
use crate::model::id::{OrganisationId, PlanVersion, QueueId};
use crate::model::resource::ResourceSet;

impl PoolScheduler {
    /// Number of waiting jobs of each queue; queues without a waiting job are left out.
    pub fn waiting_counts(&self) -> BTreeMap<QueueId, u32> {
        let mut waiting = BTreeMap::new();
        for job in self.jobs.values().filter(|job| job.is_waiting()) {
            *waiting.entry(job.record.queue.clone()).or_insert(0) += 1;
        }
        waiting
    }

    /// Report for the fleet leader and for the next leader of the pool.
    pub fn report(&self, now: Instant) -> PoolReport {
        // No plan bounds the runs of the former leader that are not known yet.
        let has_unknown_runs = self.takeover.unanswered(now).next().is_some();
        let plan = if has_unknown_runs {
            PlanVersion::default()
        } else {
            self.plan.version
        };
        let mut report = PoolReport {
            plan,
            usage: self.limit_use.used().clone(),
            pinned: self.limit_use.pinned().clone(),
            next_starts: self.limit_use.next_starts(),
            inflow: self.inflow.expected_usage(now),
            unplaced: self.unplaced_workers(now),
            zone_runs: self.zone_runs(),
            ..PoolReport::default()
        };
        for usage in [&mut report.usage, &mut report.pinned] {
            usage.retain(|_, usage| *usage != ResourceSet::default());
        }
        for (id, worker) in &self.workers {
            if !worker.is_listed && worker.runs.is_empty() && !worker.outcomes.has_unlisted() {
                continue;
            }
            let long_running = worker.runs.values().filter(|run| run.is_long_running);
            // Only the plan's evacuations last until the fleet leader ends them, so that it may rely on them.
            let is_evacuating = self.plan.evacuating.contains(id);
            let is_answering = worker.is_listed && worker.has_reported && worker.poll.failures == 0;
            let is_usable = is_answering && !worker.entry.is_draining && !self.evacuating.contains(id);
            if is_usable {
                report.capacity = report.capacity.plus(&worker.entry.capacity);
            }
            let usage = WorkerUsage {
                is_usable,
                runs: worker.runs.len() as u32,
                long_running: long_running.clone().count() as u32,
                // The runs of a worker that has not reported yet are unknown, and ends that are not listed would be
                // lost with its process, so that it must not be reported as empty.
                is_evacuating: is_evacuating && worker.has_reported && !worker.outcomes.has_unlisted(),
            };
            report.used = report.used.plus(&worker.used);
            let reserved = long_running.fold(ResourceSet::default(), |sum, run| sum.plus(&run.reserved));
            report.long_running = report.long_running.plus(&reserved);
            report.workers.insert(id.clone(), usage);
        }
        // The next leader waits for the workers in the report, so that those which the former leader reported
        // stay in it until their runs are known.
        for worker in self.takeover.unreported(now) {
            report.workers.entry(worker.clone()).or_default();
        }
        self.add_demand(now, &mut report);
        report
    }

    fn add_demand(&self, now: Instant, report: &mut PoolReport) {
        let mut lacking = BTreeSet::new();
        let mut may_start = |organisation: &OrganisationId, spec: &StepSpec| {
            self.fits_whole_limit(organisation, spec)
                && limit_use::may_fit_worker(&self.workers, spec, &mut lacking)
        };
        for job in self.jobs.values().filter(|job| !job.state.is_final()) {
            for occurrence in job.occurrences.values() {
                let mut is_late = false;
                for (number, spec) in job.record.spec.steps.iter().enumerate() {
                    if spec.is_long_running && !spec.is_best_effort {
                        let max_per_worker = spec.max_per_worker.unwrap_or(u32::MAX).max(1);
                        report.spread = report.spread.max(spec.tasks.div_ceil(max_per_worker));
                    }
                    is_late |= add_waiting(now, report, job, occurrence, number, &mut may_start);
                }
                let remaining = work_forecast::usage_after_lead_time(now, job, occurrence, is_late);
                report.remaining = report.remaining.plus(&remaining);
            }
        }
    }
}

/// Adds the demand of the waiting tasks of a step. Returns whether there are such tasks and their job will be
/// late; they are then not counted as ready, so that they call for no capacity. Of the limit of their organisation
/// nothing is asked for tasks that `may_start` refuses.
fn add_waiting(
    now: Instant,
    report: &mut PoolReport,
    job: &JobRun,
    occurrence: &JobOccurrence,
    number: usize,
    may_start: &mut impl FnMut(&OrganisationId, &StepSpec) -> bool,
) -> bool {
    let spec: &StepSpec = &job.record.spec.steps[number];
    let step = &occurrence.steps[number];
    if step.unfinished == 0 || !job.is_step_ready(occurrence, number) {
        return false;
    }
    let waiting = step.tasks.iter().filter(|task| task.is_waiting(now)).count() as u64;
    if waiting == 0 {
        return false;
    }
    let reserved = spec.reserved().saturating_mul(waiting);
    let inputs = task_starts::priority_inputs(job, number, occurrence.due_at);
    let is_late = StartClass::of(now, &inputs) >= StartClass::Late;
    // Suspects need workers of their own even if they are late; a pool that shrinks would let them wait for ever.
    if !is_late || step.has_suspects() {
        report.ready = report.ready.plus(&reserved);
    }
    if spec.is_long_running {
        report.long_running = report.long_running.plus(&reserved);
    }
    if let Some(organisation) = &job.record.organisation
        && may_start(organisation, spec)
    {
        let wanted = report.wanted.entry(organisation.clone()).or_default();
        *wanted = wanted.plus(&spec.demand.saturating_mul(waiting));
    }
    is_late
}
