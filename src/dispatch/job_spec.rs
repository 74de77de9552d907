//! What a caller asks for: steps of tasks.

use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::dispatch::millis;
use crate::error::{Error, ErrorKind, Result};
use crate::model::resource::ResourceSet;
use crate::model::unix_time::UnixMillis;

/// Most tasks of one job; bounds the memory that one submission can take.
pub const MAX_TASKS: u64 = 10_000;

/// Most steps of one job.
pub const MAX_STEPS: usize = 256;

/// A job as submitted.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct JobSpec {
    /// The job's own text, handed to every task.
    #[serde(rename = "text")]
    pub payload: Arc<str>,
    /// Steps; a step depends on earlier ones only.
    pub steps: Vec<StepSpec>,
    /// Times of a scheduled job.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub schedule: Option<JobSchedule>,
}

/// When the occurrences of a scheduled job are due.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobSchedule {
    /// Due time of the first occurrence.
    pub first: UnixMillis,
    /// Time between occurrences.
    #[serde(with = "millis")]
    pub interval: Duration,
    /// Number of occurrences.
    pub count: u32,
}

impl JobSchedule {
    /// Due time of an occurrence.
    pub fn due(&self, occurrence: u32) -> UnixMillis {
        let offset = self.interval.as_millis() as u64 * u64::from(occurrence);
        UnixMillis::new(self.first.get() + offset)
    }
}

/// A step: tasks that are alike.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default)]
#[expect(
    clippy::struct_excessive_bools,
    reason = "the flags are independent of each other"
)]
pub struct StepSpec {
    /// Number of tasks.
    pub tasks: u32,
    /// Resources of each task.
    pub demand: ResourceSet,
    /// Rough run time of a task.
    #[serde(with = "millis")]
    pub estimate: Duration,
    /// Earlier steps whose tasks must all be done first.
    #[serde(rename = "after")]
    pub depends_on: Vec<u32>,
    /// Whether tasks save checkpoints.
    #[serde(rename = "is_saving")]
    pub has_checkpoints: bool,
    /// Whether the tasks work only together.
    pub is_gang: bool,
    /// Whether tasks are slower on more than one rack.
    #[serde(rename = "is_same_rack")]
    pub prefers_same_rack: bool,
    /// Label that the worker must have.
    pub label: Option<Arc<str>>,
    /// Rack on which the data lies.
    #[serde(rename = "rack")]
    pub data_rack: Option<Arc<str>>,
    /// Most tasks of the step on one worker.
    #[serde(rename = "most_per_worker")]
    pub max_per_worker: Option<u32>,
    /// Whether copies of a task may run in parallel.
    pub is_speculative: bool,
    /// Whether the tasks run until the job is cancelled.
    #[serde(rename = "is_lasting")]
    pub is_long_running: bool,
    /// What the tasks run; tasks of one image behave alike.
    pub image: Option<Arc<str>>,
    /// Bound of the response times of tasks that serve users.
    #[serde(rename = "tail_target_ms")]
    pub tail_latency_target_ms: Option<u64>,
    /// Whether the tasks use only the processor time that other tasks leave.
    #[serde(rename = "is_filler")]
    pub is_best_effort: bool,
    /// Tasks that figloft may take away from their work at the same time.
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
    /// What a task takes from a worker's capacity: a filler uses only memory and accelerators of its own.
    pub fn reserved(&self) -> ResourceSet {
        let mut reserved = self.demand;
        if self.is_best_effort {
            reserved.cores = crate::model::amount::MilliCores::new(0);
        }
        reserved
    }
}

impl JobSpec {
    /// Checks what the scheduler relies on.
    ///
    /// # Errors
    /// `bad_request` that names the fault.
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
        for (number, step) in self.steps.iter().enumerate() {
            if step.tasks == 0 {
                return refuse(format!("step {number} has no tasks"));
            }
            if step.depends_on.iter().any(|before| *before as usize >= number) {
                return refuse(format!("step {number} may depend on earlier steps only"));
            }
        }
        Ok(())
    }

    /// For each step the longest chain of estimates from its start to the end of the job.
    pub fn critical_paths(&self) -> Vec<Duration> {
        let mut chains: Vec<Duration> = self.steps.iter().map(|step| step.estimate).collect();
        for number in (0..self.steps.len()).rev() {
            for before in &self.steps[number].depends_on {
                let before = *before as usize;
                let chain = self.steps[before].estimate + chains[number];
                chains[before] = chains[before].max(chain);
            }
        }
        chains
    }

    /// Estimated work of all tasks, in core-milliseconds.
    pub fn estimated_work(&self) -> u64 {
        let works = self.steps.iter().map(|step| {
            let millis = step.estimate.as_millis() as u64;
            step.demand.cores.get() * millis * u64::from(step.tasks) / 1_000
        });
        works.sum()
    }

    /// Whether the job has tasks that run until it is cancelled.
    pub fn is_long_running(&self) -> bool {
        self.steps.iter().any(|step| step.is_long_running)
    }
}
