//! Digest of the pool's load for the admission of submissions.

use std::time::{Duration, Instant};

use crate::dispatch::job_spec::StepSpec;
use crate::dispatch::job_state::{JobOccurrence, JobRun, StepState};
use crate::dispatch::load_digest::LoadDigest;
use crate::dispatch::pool_scheduler::{PoolScheduler, task_starts};
use crate::dispatch::start_priority::{self, StartClass};
use crate::model::resource::ResourceSet;
use crate::model::unix_time::UnixMillis;

/// Work of one occurrence of a job in core-milliseconds. `first` is the step with waiting tasks that has the longest
/// path to the end of the job.
#[derive(Debug, Default)]
struct OccurrenceWork {
    running: u64,
    waiting: u64,
    first: Option<usize>,
    /// Whether a step with waiting tasks needs certain workers.
    is_constrained: bool,
}

impl PoolScheduler {
    /// Whether a job waits that has no task at work.
    pub fn has_waiting_jobs(&self) -> bool {
        self.jobs.values().any(JobRun::is_waiting)
    }

    /// Digest of the load. `None` while workers of the former leader have not reported: the capacity is then not known.
    pub fn load_digest(&self, now: Instant, wall_time: UnixMillis) -> Option<LoadDigest> {
        if self.takeover.is_pending(now) {
            return None;
        }
        let mut digest = LoadDigest {
            at: wall_time,
            term: self.term,
            largest_worker: self.largest_worker,
            ..LoadDigest::default()
        };
        self.add_capacity(&mut digest);
        for job in self.jobs.values().filter(|job| !job.state.is_final()) {
            for occurrence in job
                .occurrences
                .values()
                .filter(|occurrence| !occurrence.is_done())
            {
                self.add_work(now, job, occurrence, &mut digest);
            }
            if job.is_waiting() {
                let wait = now.saturating_duration_since(job.accepted_at);
                digest.oldest_wait_ms = digest.oldest_wait_ms.max(wait.as_millis() as u64);
            }
        }
        digest.trim();
        Some(digest)
    }

    /// Adds the capacity of the workers that take work now or will once they answer: those that are listed and do not
    /// leave.
    fn add_capacity(&self, digest: &mut LoadDigest) {
        for (id, worker) in &self.workers {
            if !worker.is_listed || worker.entry.is_draining || self.plan.evacuating.contains(id) {
                continue;
            }
            let capacity = worker.entry.capacity.cores;
            digest.workers += 1;
            digest.capacity += capacity;
            digest.largest_worker = digest.largest_worker.max(capacity);
            digest.used += worker.used.cores;
            let finite = worker.runs.values().filter(|run| !run.is_long_running);
            let finite = finite.map(|run| run.reserved.cores.get());
            digest.drain_rate = finite.fold(digest.drain_rate, u64::saturating_add);
        }
    }

    fn add_work(&self, now: Instant, job: &JobRun, occurrence: &JobOccurrence, digest: &mut LoadDigest) {
        let work = occurrence_work(now, job, occurrence);
        let priority = job.record.rule.priority;
        let organisation = job.record.organisation.as_ref();
        let limited = organisation.filter(|organisation| {
            let config = self.organisations.get(*organisation);
            config.is_some_and(|config| config.limit != ResourceSet::default())
        });
        // Runs hold their capacity, whatever the class of their job.
        digest
            .backlog_mut(priority)
            .add_on_time(Duration::ZERO, work.running);
        let mut own_work = work.running;
        if let Some(first) = work.first {
            let inputs = task_starts::priority_inputs(job, first, occurrence.due_at);
            let class = StartClass::of(now, &inputs);
            let demand = &job.record.spec.steps[first].demand;
            let is_shared = !work.is_constrained && self.is_within_limit(organisation, demand);
            let slack = match class {
                StartClass::Started => Duration::ZERO,
                _ => start_priority::slack(now, &inputs),
            };
            match class {
                StartClass::Started | StartClass::OnTime => {
                    own_work = own_work.saturating_add(work.waiting);
                    if is_shared {
                        digest.backlog_mut(priority).add_on_time(slack, work.waiting);
                    }
                }
                StartClass::OverRate | StartClass::Late if is_shared => {
                    let late = &mut digest.backlog_mut(priority).late;
                    *late = late.saturating_add(work.waiting);
                }
                _ => {}
            }
        }
        if let Some(organisation) = limited {
            digest.add_organisation_work(organisation, priority, own_work);
        }
    }
}

fn occurrence_work(now: Instant, job: &JobRun, occurrence: &JobOccurrence) -> OccurrenceWork {
    let mut work = OccurrenceWork::default();
    for (number, (spec, state)) in job.record.spec.steps.iter().zip(&occurrence.steps).enumerate() {
        // Best-effort tasks reserve no processor time.
        if spec.is_long_running || spec.reserved().cores.get() == 0 || state.unfinished == 0 {
            continue;
        }
        let (running_ms, waiting) = task_times(now, spec, state);
        let core_millis = |millis: u64| spec.demand.cores.get().saturating_mul(millis) / 1_000;
        work.running = work.running.saturating_add(core_millis(running_ms));
        if waiting == 0 {
            continue;
        }
        let waiting_ms = (spec.estimate.as_millis() as u64).saturating_mul(waiting);
        work.waiting = work.waiting.saturating_add(core_millis(waiting_ms));
        work.is_constrained |= spec.label.is_some() || spec.demand.accelerators.get() > 0;
        let paths = &job.critical_paths;
        if work.first.is_none_or(|first| paths[number] > paths[first]) {
            work.first = Some(number);
        }
    }
    work
}

/// Milliseconds that the running tasks of a step still need in all, and the number of its tasks without a run.
fn task_times(now: Instant, spec: &StepSpec, state: &StepState) -> (u64, u64) {
    let mut running_ms = 0_u64;
    let mut waiting = 0;
    for task in state.tasks.iter().filter(|task| !task.is_done) {
        let Some(copy) = task.copies.first() else {
            waiting += 1;
            continue;
        };
        let elapsed = now.saturating_duration_since(copy.placed_at);
        running_ms = running_ms.saturating_add(spec.estimate.saturating_sub(elapsed).as_millis() as u64);
    }
    (running_ms, waiting)
}
