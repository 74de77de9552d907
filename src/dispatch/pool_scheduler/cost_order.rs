//! Orders the starts by the cost of delay to callers (`--shed-by-cost`).

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use crate::dispatch::delay_cost::DelayCost;
use crate::dispatch::job_record::JobRecord;
use crate::dispatch::job_spec::StepSpec;
use crate::dispatch::job_state::JobRun;
use crate::dispatch::pool_scheduler::{PoolScheduler, task_starts};
use crate::dispatch::queue_work::{JobSize, QueueWork, SizeClass};
use crate::dispatch::shed_order::{OrganisationLoads, ReadyStep, ShedOrder, ShedSummary};
use crate::dispatch::start_priority::{PriorityInputs, StartKey};
use crate::dispatch::task_id::StepId;
use crate::model::id::OrganisationId;

/// Time between two counts of the running work, each of which looks at all runs. Runs take hundreds of milliseconds,
/// so that the shares of the organisations change little meanwhile.
const COUNT_INTERVAL: Duration = Duration::from_millis(100);

/// Time between two log lines about shed jobs.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// Order of the starts of a pool, and what it derives from jobs and runs.
#[derive(Debug, Clone, Default)]
pub(super) struct CostOrder {
    queues: QueueWork,
    shed: ShedOrder,
    running: BTreeMap<OrganisationId, f64>,
    counted_at: Option<Instant>,
    logged_at: Option<Instant>,
}

impl CostOrder {
    /// Compares a submitted job with the recent jobs of its queue.
    pub(super) fn observe_job(&mut self, record: &JobRecord) -> JobSize {
        self.queues.observe(&record.queue, record.spec.estimated_work())
    }

    /// Records the start of a task.
    pub(super) fn record_start(&mut self, now: Instant, size: SizeClass, spec: &StepSpec) {
        if !spec.is_long_running && !spec.is_best_effort {
            self.shed.record_start(now, size, task_work(spec));
        }
    }

    /// Computes the keys of the steps whose waiting tasks may start.
    pub(super) fn order_starts(&mut self, now: Instant, scheduler: &mut PoolScheduler) -> Vec<StartKey> {
        if self.counted_at.is_none_or(|at| now >= at + COUNT_INTERVAL) {
            self.running = scheduler.running_work(now);
            self.counted_at = Some(now);
        }
        let waiting = scheduler.waiting_steps(now);
        let ready = waiting.filter(|(_, job)| !scheduler.is_waiting_for_takeover(now, job));
        let ready = ready.map(|(step, job)| ready_step(now, step, job)).collect();
        let loads = OrganisationLoads {
            running: &self.running,
            configs: &scheduler.organisations,
        };
        let cores = scheduler.usable_cores();
        let keys = self.shed.order(now, ready, cores, loads);
        self.log(now, cores, scheduler);
        keys
    }

    fn log(&mut self, now: Instant, cores: f64, scheduler: &mut PoolScheduler) {
        let (by_cost, by_share) = self.shed.waiting();
        let is_due = self.logged_at.is_none_or(|at| now >= at + LOG_INTERVAL);
        if by_cost.jobs + by_share.jobs == 0 || !is_due {
            return;
        }
        self.logged_at = Some(now);
        let inputs = format!(
            "{} jobs with {:.0} core-ms wait by their cost, {} with {:.0} core-ms above the share of their \
             organisation; {cores:.1} cores usable",
            by_cost.jobs, by_cost.work, by_share.jobs, by_share.work
        );
        scheduler.note("jobs shed", None, None, inputs);
    }
}

impl PoolScheduler {
    /// What waits by the cost of delay, and what was started since the previous call. Absent without the order by
    /// the cost of delay.
    pub fn take_shed_summary(&mut self) -> Option<ShedSummary> {
        Some(self.cost_order.as_mut()?.shed.take_summary())
    }

    /// Processor cores of the workers that may take tasks, whether or not they are full.
    fn usable_cores(&self) -> f64 {
        let usable = self.workers.iter().filter(|(id, worker)| {
            let is_answering = worker.is_listed && worker.has_reported && worker.poll.failures == 0;
            is_answering && !worker.entry.is_draining && !self.evacuating.contains(id)
        });
        let milli_cores: u64 = usable.map(|(_, worker)| worker.entry.capacity.cores.get()).sum();
        milli_cores as f64 / 1_000.0
    }

    /// Remaining work of the runs of each organisation, by their estimates.
    fn running_work(&self, now: Instant) -> BTreeMap<OrganisationId, f64> {
        let mut works: BTreeMap<OrganisationId, f64> = BTreeMap::new();
        for run in self.workers.values().flat_map(|worker| worker.runs.values()) {
            let Some(organisation) = run.organisation.as_ref().filter(|_| !run.is_long_running) else {
                continue;
            };
            let elapsed = now.saturating_duration_since(run.placed_at);
            let left_ms = run.estimate.saturating_sub(elapsed).as_secs_f64() * 1_000.0;
            let work = left_ms * run.reserved.cores.get() as f64 / 1_000.0;
            match works.get_mut(organisation) {
                Some(sum) => *sum += work,
                None => {
                    works.insert(organisation.clone(), work);
                }
            }
        }
        works
    }
}

/// Estimated work of one task in core-milliseconds.
fn task_work(spec: &StepSpec) -> f64 {
    spec.estimate.as_secs_f64() * spec.demand.cores.get() as f64
}

fn ready_step(now: Instant, step: StepId, job: &JobRun) -> ReadyStep<'_> {
    let number = step.step as usize;
    let inputs = PriorityInputs {
        // The share of the organisation, measured in work, replaces its rate of submissions.
        is_over_rate: false,
        ..task_starts::priority_inputs(job, number, task_starts::due_at(job, &step))
    };
    let cost = DelayCost::new(
        job.objective,
        job.record.rule.priority,
        job.size.work,
        remaining_work(now, &step, job),
        job.size.mean_work,
    );
    ReadyStep {
        step,
        inputs,
        cost,
        size: job.size.class,
        organisation: job.record.organisation.as_ref(),
    }
}

/// Work of the tasks of an occurrence that have no run, in core-milliseconds; those of other steps that are ready
/// count as if they had none.
fn remaining_work(now: Instant, step: &StepId, job: &JobRun) -> u64 {
    let Some(occurrence) = job.occurrences.get(&step.occurrence) else {
        return 0;
    };
    let specs = job.record.spec.steps.iter().zip(&occurrence.steps).enumerate();
    let works = specs.map(|(number, (spec, state))| {
        let tasks = if number == step.step as usize {
            state.tasks.iter().filter(|task| task.is_waiting(now)).count()
        } else {
            state.unfinished
        };
        task_work(spec) * tasks as f64
    });
    works.sum::<f64>() as u64
}
