//! Checks the guarantees to callers against what the callers and the fake workers observed.

use std::collections::BTreeMap;
use std::time::Instant;

use crate::fake_worker::RunRecord;

/// What the callers observed of one job.
#[derive(Debug, Clone, Default)]
#[expect(
    clippy::struct_excessive_bools,
    reason = "the flags are independent of each other"
)]
pub struct JobView {
    /// Number of tasks of the job.
    pub tasks: u32,
    /// Whether a submission succeeded.
    pub is_accepted: bool,
    /// Whether every submission got a response that guarantees that the job was not accepted.
    pub is_refused: bool,
    /// Time at which the job was first reported as completed.
    pub completed_at: Option<Instant>,
    /// Whether the tasks run until the job is cancelled, which nobody does.
    pub is_long_running: bool,
    /// Time at which a long-running job was first reported as failed.
    pub failed_at: Option<Instant>,
    /// Whether a cancellation was acknowledged with the answer that no such job exists.
    pub is_cancelled_unknown: bool,
}

/// Crashes of workers under one task after which its job may be given up. By chance some seeds have as many.
const MIN_CRASHES: usize = 3;

/// Tasks of a job that have no run in progress.
pub fn waiting_tasks(job: &str, view: &JobView, records: &[RunRecord]) -> impl Iterator<Item = String> {
    let tasks = (0..view.tasks).map(move |index| format!("{job}.0.0.{index}"));
    tasks.filter(|task| {
        let mut runs = records.iter().filter(|run| run.task == *task);
        !runs.any(|run| run.ended.is_none())
    })
}

/// Compares the run records of all workers with the callers' views. Returns a message for each violated
/// guarantee.
pub fn find_violations(records: &[RunRecord], jobs: &BTreeMap<String, JobView>) -> Vec<String> {
    let mut violations = Vec::new();
    let mut tasks: BTreeMap<&str, Vec<&RunRecord>> = BTreeMap::new();
    for record in records {
        tasks.entry(&record.task).or_default().push(record);
    }
    for (task, runs) in &mut tasks {
        runs.sort_by_key(|run| run.started_at);
        for pair in runs.windows(2) {
            let end = pair[0].ended.map(|(at, _)| at);
            if end.is_none_or(|end| end > pair[1].started_at) {
                violations.push(format!("{task}: two runs at the same time"));
            }
            let is_done = pair[0].ended.is_some_and(|(_, outcome)| outcome == "done");
            if is_done && pair[0].is_acknowledged {
                violations.push(format!(
                    "{task}: started again after its success was acknowledged"
                ));
            }
        }
    }
    for (job, view) in jobs {
        let has_started = tasks.keys().any(|task| task.starts_with(job.as_str()));
        if view.is_refused && has_started {
            violations.push(format!("{job}: ran although every submission was refused"));
        }
        if view.is_cancelled_unknown && has_started {
            violations.push(format!("{job}: ran although its cancellation found no job"));
        }
        if !view.is_accepted {
            continue;
        }
        if view.is_long_running {
            let is_crashed = |run: &&RunRecord| run.ended.is_some_and(|(_, outcome)| outcome == "crashed");
            let of_job = tasks.iter().filter(|(task, _)| task.starts_with(job.as_str()));
            let mut crashes = of_job.map(|(_, runs)| runs.iter().copied().filter(is_crashed).count());
            let is_given_up = view.failed_at.is_some() && crashes.any(|count| count >= MIN_CRASHES);
            if !is_given_up {
                // Each task has to be at work at the end.
                let waiting = waiting_tasks(job, view, records);
                violations.extend(waiting.map(|task| format!("{task}: has no run")));
            }
            continue;
        }
        let Some(completed_at) = view.completed_at else {
            violations.push(format!("{job}: accepted but not completed"));
            continue;
        };
        for index in 0..view.tasks {
            let runs = tasks.get(format!("{job}.0.0.{index}").as_str());
            let is_done = runs.is_some_and(|runs| {
                runs.iter().any(|run| {
                    run.ended
                        .is_some_and(|(at, outcome)| outcome == "done" && at <= completed_at)
                })
            });
            if !is_done {
                violations.push(format!(
                    "{job}: reported as completed before task {index} was done"
                ));
            }
        }
    }
    violations
}
