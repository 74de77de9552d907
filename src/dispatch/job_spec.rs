//! Specification of a job: steps that consist of tasks.

use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::dispatch::millis;
use crate::error::{Error, ErrorKind, Result};
use crate::model::resource::ResourceSet;
use crate::model::unix_time::UnixMillis;

/// Maximum number of tasks of a job; bounds the memory that one submission can take.
pub const MAX_TASKS: u64 = 10_000;

/// Maximum number of steps of a job.
pub const MAX_STEPS: usize = 256;

/// Maximum number of tasks in all occurrences of a scheduled job. Those that are due start together, however
/// long ago they were due.
pub const MAX_SCHEDULED_TASKS: u64 = 100_000;

/// Upper bound of estimates, intervals and other durations of jobs and settings, so that sums and multiples of
/// them cannot overflow.
pub const MAX_DURATION: Duration = Duration::from_hours(366 * 24);

/// Maximum amount of one resource that a task may need, in the unit of the resource.
pub const MAX_TASK_DEMAND: u64 = 1_000_000_000;

/// A job as submitted by a client.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct JobSpec {
    /// Opaque text that every task of the job receives.
    #[serde(rename = "text")]
    pub payload: Arc<str>,
    /// Steps in an order in which each depends on earlier ones only.
    pub steps: Vec<StepSpec>,
    /// Present if the job is repeated.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub schedule: Option<JobSchedule>,
}

/// Due times of the occurrences of a scheduled job.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobSchedule {
    /// Due time of the first occurrence.
    pub first: UnixMillis,
    /// Time between the due times of two occurrences.
    #[serde(with = "millis")]
    pub interval: Duration,
    /// Total number of occurrences.
    pub count: u32,
}

impl JobSchedule {
    /// Due time of an occurrence, counted from 0.
    pub fn due(&self, occurrence: u32) -> UnixMillis {
        let offset = self.interval.as_millis() as u64 * u64::from(occurrence);
        UnixMillis::new(self.first.get().saturating_add(offset))
    }
}

/// A step of a job: a number of identical tasks.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default)]
#[expect(
    clippy::struct_excessive_bools,
    reason = "the flags are independent of each other"
)]
pub struct StepSpec {
    /// Number of tasks; at least 1.
    pub tasks: u32,
    /// Resources that each task needs.
    pub demand: ResourceSet,
    /// Estimated run time of a task; zero if unknown.
    #[serde(with = "millis")]
    pub estimate: Duration,
    /// Indices of earlier steps that have to complete before this step starts.
    #[serde(rename = "after")]
    pub depends_on: Vec<u32>,
    /// Whether tasks save checkpoints.
    #[serde(rename = "is_saving")]
    pub has_checkpoints: bool,
    /// Whether the tasks form a gang: they are started together, and if one ends, all do.
    pub is_gang: bool,
    /// Whether the tasks are slower if they run on more than one rack.
    #[serde(rename = "is_same_rack")]
    pub prefers_same_rack: bool,
    /// Label that a worker must have to run a task.
    pub label: Option<Arc<str>>,
    /// Rack that stores the input data.
    #[serde(rename = "rack")]
    pub data_rack: Option<Arc<str>>,
    /// Maximum number of tasks of the step on one worker.
    #[serde(rename = "most_per_worker")]
    pub max_per_worker: Option<u32>,
    /// Whether a slow task may be run a second time in parallel.
    pub is_speculative: bool,
    /// Whether the tasks run until the job is cancelled, such as those of a service.
    #[serde(rename = "is_lasting")]
    pub is_long_running: bool,
    /// Program that the tasks run; tasks with the same image have similar load.
    pub image: Option<Arc<str>>,
    /// Upper bound of the tail latency in milliseconds, for tasks that serve requests.
    #[serde(rename = "tail_target_ms")]
    pub tail_latency_target_ms: Option<u64>,
    /// Whether the tasks use only CPU time that other tasks leave idle.
    #[serde(rename = "is_filler")]
    pub is_best_effort: bool,
    /// Maximum number of tasks that figloft may interrupt at the same time to move them.
    #[serde(rename = "may_miss")]
    pub max_unavailable: u32,
}

impl Default for StepSpec {
    fn default() -> Self {
        Self {
            tasks: 1,
            demand: ResourceSet::default(),
            estimate: Duration::ZERO,
            depends_on: Vec::new(),
            has_checkpoints: false,
            is_gang: false,
            prefers_same_rack: false,
            label: None,
            data_rack: None,
            max_per_worker: None,
            is_speculative: false,
            is_long_running: false,
            image: None,
            tail_latency_target_ms: None,
            is_best_effort: false,
            max_unavailable: 0,
        }
    }
}

impl StepSpec {
    /// Resources that a task takes from a worker's capacity. A best-effort task reserves memory and
    /// accelerators, but no CPU.
    pub fn reserved(&self) -> ResourceSet {
        let mut reserved = self.demand;
        if self.is_best_effort {
            reserved.cores = crate::model::amount::MilliCores::new(0);
        }
        reserved
    }

    /// Resources that the smallest useful start of the step needs: those of a task, or of all members of a gang.
    pub fn start_demand(&self) -> ResourceSet {
        let tasks = if self.is_gang { u64::from(self.tasks) } else { 1 };
        self.demand.saturating_mul(tasks)
    }

    /// Validates the step with this number.
    fn check(&self, number: usize) -> Result<()> {
        let refuse = |message: String| Err(Error::new(ErrorKind::BadRequest, message));
        if self.tasks == 0 {
            return refuse(format!("step {number} has no tasks"));
        }
        if self.depends_on.iter().any(|before| *before as usize >= number) {
            return refuse(format!("step {number} may depend on earlier steps only"));
        }
        if self.demand.cores.get().max(self.demand.memory.get()) > MAX_TASK_DEMAND {
            return refuse(format!(
                "a task of step {number} needs more than {MAX_TASK_DEMAND} thousandths of a core or MiB"
            ));
        }
        if self.estimate > MAX_DURATION {
            let max_ms = MAX_DURATION.as_millis();
            return refuse(format!("the estimate of step {number} exceeds {max_ms} ms"));
        }
        Ok(())
    }
}

impl JobSpec {
    /// Validates the properties on which the scheduler relies: sizes, and dependencies on earlier steps only.
    ///
    /// # Errors
    /// `bad_request` with a description of the first violation.
    pub fn check(&self) -> Result<()> {
        let refuse = |message: String| Err(Error::new(ErrorKind::BadRequest, message));
        if self.steps.is_empty() || self.steps.len() > MAX_STEPS {
            return refuse(format!(
                "a job has 1 to {MAX_STEPS} steps, not {}",
                self.steps.len()
            ));
        }
        let tasks: u64 = self.steps.iter().map(|step| u64::from(step.tasks)).sum();
        if tasks > MAX_TASKS {
            return refuse(format!("a job has at most {MAX_TASKS} tasks, not {tasks}"));
        }
        if let Some(schedule) = &self.schedule {
            let scheduled = tasks * u64::from(schedule.count);
            if scheduled > MAX_SCHEDULED_TASKS {
                return refuse(format!(
                    "a scheduled job has at most {MAX_SCHEDULED_TASKS} tasks in all, not {scheduled}"
                ));
            }
            if schedule.interval > MAX_DURATION {
                let max_ms = MAX_DURATION.as_millis();
                return refuse(format!("the interval of a scheduled job is at most {max_ms} ms"));
            }
        }
        for (number, step) in self.steps.iter().enumerate() {
            step.check(number)?;
        }
        Ok(())
    }

    /// For each step, the estimated length of the longest dependency path from its start to the end of the
    /// job.
    pub fn critical_paths(&self) -> Vec<Duration> {
        let mut paths: Vec<Duration> = self.steps.iter().map(|step| step.estimate).collect();
        for number in (0..self.steps.len()).rev() {
            for before in &self.steps[number].depends_on {
                let before = *before as usize;
                let path = self.steps[before].estimate + paths[number];
                paths[before] = paths[before].max(path);
            }
        }
        paths
    }

    /// Sum of the estimated work of all tasks, in core-milliseconds, as far as it can be counted.
    pub fn estimated_work(&self) -> u64 {
        let works = self.steps.iter().map(|step| {
            let millis = step.estimate.as_millis() as u64;
            let core_millis = step.demand.cores.get().saturating_mul(millis);
            core_millis.saturating_mul(u64::from(step.tasks)) / 1_000
        });
        works.fold(0, u64::saturating_add)
    }

    /// Whether the job contains long-running tasks.
    pub fn is_long_running(&self) -> bool {
        self.steps.iter().any(|step| step.is_long_running)
    }
}
