//! Finds out since when tasks wait for a start and what holds them back: for the log and the metrics, and for
//! long-running tasks that may use avoided workers after some time.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use crate::dispatch::hold_reason::HoldReason;
use crate::dispatch::placement;
use crate::dispatch::pool_scheduler::PoolScheduler;
use crate::dispatch::task_id::StepId;

/// Time between two reviews of the waiting tasks; each looks at all jobs.
const REVIEW_INTERVAL: Duration = Duration::from_millis(500);

/// Time after which a waiting task counts as held; shorter waits are usual while a pool grows.
const MIN_HELD_TIME: Duration = Duration::from_secs(1);

/// Time between two log lines about the same step.
const LOG_INTERVAL: Duration = Duration::from_secs(3);

/// Steps that one review examines, those with long-running tasks first; each costs a look at all workers.
const MAX_EXAMINED_STEPS: usize = 16;

/// Workers named in a log line for each reason.
const MAX_NAMED_WORKERS: usize = 3;

/// Step with waiting tasks.
#[derive(Debug, Clone, Copy)]
struct WaitingStep {
    since: Instant,
    logged_at: Option<Instant>,
}

/// Steps with waiting tasks, and the reasons found by the latest review.
#[derive(Debug, Clone, Default)]
pub(super) struct HeldTasks {
    steps: BTreeMap<StepId, WaitingStep>,
    counts: Option<BTreeMap<HoldReason, u64>>,
    reviewed_at: Option<Instant>,
}

impl HeldTasks {
    fn is_review_due(&self, now: Instant) -> bool {
        self.reviewed_at.is_none_or(|at| now >= at + REVIEW_INTERVAL)
    }

    /// Time since which a step has waiting tasks, as far as the reviews have seen.
    pub(super) fn waiting_since(&self, step: &StepId) -> Option<Instant> {
        self.steps.get(step).map(|waiting| waiting.since)
    }

    /// Replaces the waiting steps; those that waited before keep their time.
    fn set_waiting(&mut self, now: Instant, waiting: &BTreeSet<StepId>) {
        self.steps.retain(|step, _| waiting.contains(step));
        let new = WaitingStep {
            since: now,
            logged_at: None,
        };
        for step in waiting {
            self.steps.entry(step.clone()).or_insert(new);
        }
        self.reviewed_at = Some(now);
    }

    /// Whether a line about the step is due; long-running tasks are logged whatever holds them.
    fn start_log(&mut self, now: Instant, step: &StepId) -> bool {
        let Some(waiting) = self.steps.get_mut(step) else {
            return false;
        };
        let is_due = waiting.logged_at.is_none_or(|at| now >= at + LOG_INTERVAL);
        if is_due {
            waiting.logged_at = Some(now);
        }
        is_due
    }
}

impl PoolScheduler {
    /// Number of tasks that have waited for more than a second, by what holds them back. Absent if that has not
    /// been reviewed since the previous call.
    pub fn take_held_counts(&mut self) -> Option<BTreeMap<HoldReason, u64>> {
        self.held.counts.take()
    }

    /// Reviews the waiting tasks if that is due, and logs the long-running ones that are held, and others if
    /// a worker has room for them.
    pub(super) fn review_held_tasks(&mut self, now: Instant) {
        if !self.held.is_review_due(now) {
            return;
        }
        let waiting: BTreeSet<StepId> = self.waiting_steps(now).map(|(step, _)| step).collect();
        self.held.set_waiting(now, &waiting);
        let is_long_running = |step: &StepId| self.step_spec(step).is_some_and(|spec| spec.is_long_running);
        let mut held: Vec<(bool, Instant, StepId)> = waiting
            .into_iter()
            .filter_map(|step| Some((!is_long_running(&step), self.held.waiting_since(&step)?, step)))
            .filter(|(_, since, _)| now >= *since + MIN_HELD_TIME)
            .collect();
        held.sort_unstable();
        let mut counts = BTreeMap::new();
        let mut has_logged_limit = false;
        for (examined, (is_finite, since, step)) in held.into_iter().enumerate() {
            let waiting = self.job_step(&step).map_or(0, |state| {
                state.tasks.iter().filter(|task| task.is_waiting(now)).count()
            });
            let (reason, inputs) = if examined < MAX_EXAMINED_STEPS {
                self.find_hold_reason(now, &step)
            } else {
                (HoldReason::NotExamined, String::new())
            };
            *counts.entry(reason).or_insert(0) += waiting as u64;
            let is_usual = is_finite || reason == HoldReason::NotExamined;
            // Hundreds of jobs may wait at a limit; one of them tells what it has come to.
            let is_at_limit = matches!(reason, HoldReason::OrganisationLimit | HoldReason::ExceedsLimit);
            let is_first_at_limit = is_at_limit && !has_logged_limit;
            let is_logged = !is_usual || reason > HoldReason::Unreachable || is_first_at_limit;
            if is_logged && self.held.start_log(now, &step) {
                has_logged_limit |= is_first_at_limit;
                let held_ms = now.saturating_duration_since(since).as_millis();
                let kind = if is_finite { "finite" } else { "long-running" };
                let inputs = format!(
                    "{waiting} {kind} tasks of step {step} wait for {held_ms} ms: {}{inputs}",
                    reason.as_str()
                );
                self.note("task held", Some(step.job.clone()), None, inputs);
            }
        }
        self.held.counts = Some(counts);
    }

    /// What holds back the first waiting task of a step, and the facts behind the reason as text.
    fn find_hold_reason(&mut self, now: Instant, step: &StepId) -> (HoldReason, String) {
        let has_link_budget = self.start_budget.has_room(now);
        let reason = |reason| (reason, String::new());
        let (Some(job), Some(state), Some(spec)) = (
            self.jobs.get(&step.job),
            self.job_step(step),
            self.step_spec(step),
        ) else {
            return reason(HoldReason::NotExamined);
        };
        if self.is_waiting_for_takeover(now, job) {
            return reason(HoldReason::Takeover);
        }
        if !self.zones.is_confirmed(now) {
            return reason(HoldReason::UnknownZones);
        }
        let organisation = job.record.organisation.as_ref();
        let exceeds_limit =
            organisation.is_some_and(|organisation| !self.fits_whole_limit(organisation, spec));
        if exceeds_limit {
            return (HoldReason::ExceedsLimit, self.describe_limit(organisation, spec));
        }
        if !self.is_within_limit(organisation, &spec.start_demand()) {
            return (
                HoldReason::OrganisationLimit,
                self.describe_limit(organisation, spec),
            );
        }
        if !has_link_budget {
            return reason(HoldReason::LinkBudget);
        }
        let waiting = (0_u32..)
            .zip(&state.tasks)
            .filter(|(_, task)| task.is_waiting(now));
        let is_finite_with_suspects = !spec.is_long_running && state.has_suspects();
        let first = waiting.min_by_key(|(_, task)| task.is_suspect());
        let Some((index, task)) = first else {
            return reason(HoldReason::NotExamined);
        };
        if !spec.is_gang && (task.is_suspect() || is_finite_with_suspects) {
            return reason(HoldReason::Suspicion);
        }
        let task = step.task(index);
        let has_advice = job.record.rule.advice.is_some();
        let Some(request) = self.placement_request(&task, spec, has_advice) else {
            return reason(HoldReason::NotExamined);
        };
        let mut workers: BTreeMap<HoldReason, Vec<&str>> = BTreeMap::new();
        for (id, worker) in self.workers.iter().filter(|(_, worker)| worker.is_listed) {
            let found = placement::hold_reason(now, worker, &request).unwrap_or(HoldReason::StartDue);
            workers.entry(found).or_default().push(id.as_str());
        }
        let nearest = workers.keys().next_back().copied().unwrap_or(HoldReason::NoRoom);
        let counts = workers.iter().rev().map(|(reason, ids)| {
            let named = &ids[..ids.len().min(MAX_NAMED_WORKERS)];
            format!("; {} {}: {}", ids.len(), reason.as_str(), named.join(", "))
        });
        (nearest, counts.collect())
    }
}
