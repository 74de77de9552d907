//! Priority in which ready steps are started.
//!
//! Handles load peaks, in which a queue demands several times the capacity of its pool for some seconds, and
//! a job that misses its objective is worth little to its caller. Jobs that can still meet their objective go
//! first, ordered by their latest possible start, and jobs that have started go before others. Late jobs and
//! jobs above their organisation's submission rate get the capacity that is left.

use std::time::{Duration, Instant};

use crate::dispatch::delay_cost;
use crate::dispatch::task_id::StepId;

/// Class of a ready step; classes that are declared first start first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum StartClass {
    /// Long-running tasks, which serve users until their job is cancelled.
    LongRunning,
    /// The job has started and can meet its objective.
    Started,
    /// The job has not started and can meet its objective.
    OnTime,
    /// The job can meet its objective, but exceeds the submission rate of its organisation.
    OverRate,
    /// The job will miss its objective.
    Late,
    /// The job will miss its objective by so much that it is of no use to its caller.
    TooLate,
    /// Best-effort tasks, which use the processor time that others leave.
    BestEffort,
}

/// Properties of a step and of its job that determine the priority.
#[derive(Debug, Clone, Copy, PartialEq)]
#[expect(
    clippy::struct_excessive_bools,
    reason = "the flags are independent of each other"
)]
pub struct PriorityInputs {
    /// Priority of the queue; 0 is the highest.
    pub priority: u32,
    /// Whether the tasks run until the job is cancelled.
    pub is_long_running: bool,
    /// Whether the tasks use only processor time that other tasks leave.
    pub is_best_effort: bool,
    /// Whether a worker has confirmed the start of a task of the job.
    pub has_started: bool,
    /// Whether the job exceeds the submission rate of its organisation.
    pub is_over_rate: bool,
    /// Time of acceptance; for a scheduled job the due time of the occurrence.
    pub accepted_at: Instant,
    /// Time after acceptance by which the job should have ended.
    pub objective: Duration,
    /// Whether the job has more work than the average job of the pool.
    pub is_large: bool,
    /// Estimated run time of the critical path from this step to the end of the job.
    pub critical_path: Duration,
}

/// Factor on the critical path, because estimates are rough, and time added for commands and reports in
/// transit. A job that would only just meet its objective mostly misses it, and takes capacity from one that
/// would meet it.
const ESTIMATE_MARGIN: (f64, Duration) = (1.15, Duration::from_millis(150));

/// Part of the objective: a large job with less slack than this no longer waits for smaller jobs, so that
/// large jobs are not starved.
const URGENT_SLACK_SHARE: f64 = 0.12;

/// Sort key of a step; the lowest key starts first.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct StartKey {
    class: StartClass,
    priority: u32,
    /// Whether this is a large job with slack: the same capacity serves more of the smaller jobs on time.
    can_wait: bool,
    /// Time until the latest start that meets the objective, in milliseconds; negative if the job will be
    /// late. Only orders the steps within a class.
    slack_ms: i64,
    step: StepId,
}

impl StartClass {
    /// Classifies a step by the state of its job at `now`.
    pub fn of(now: Instant, inputs: &PriorityInputs) -> Self {
        let end = expected_end(now, inputs);
        if inputs.is_best_effort {
            Self::BestEffort
        } else if inputs.is_long_running {
            Self::LongRunning
        } else if end > delay_cost::last_useful_end(inputs.objective) {
            Self::TooLate
        } else if end > inputs.objective {
            Self::Late
        } else if inputs.is_over_rate {
            Self::OverRate
        } else if inputs.has_started {
            Self::Started
        } else {
            Self::OnTime
        }
    }
}

/// Expected time from acceptance to the end of the job if the step starts at `now`.
fn expected_end(now: Instant, inputs: &PriorityInputs) -> Duration {
    now.saturating_duration_since(inputs.accepted_at) + expected_run_time(inputs.critical_path)
}

/// Expected time from the start of a step to the end of its job, with a margin.
pub fn expected_run_time(critical_path: Duration) -> Duration {
    critical_path.mul_f64(ESTIMATE_MARGIN.0) + ESTIMATE_MARGIN.1
}

/// Time from `now` to the latest start of the step with which its job meets its objective; zero if it has passed.
pub fn slack(now: Instant, inputs: &PriorityInputs) -> Duration {
    inputs.objective.saturating_sub(expected_end(now, inputs))
}

impl StartKey {
    /// Computes the key of a step at `now`.
    pub fn new(now: Instant, inputs: &PriorityInputs, step: StepId) -> Self {
        let class = StartClass::of(now, inputs);
        let slack_ms = Self::slack_ms(now, inputs);
        let is_urgent = slack_ms < (inputs.objective.mul_f64(URGENT_SLACK_SHARE)).as_millis() as i64;
        Self {
            class,
            priority: inputs.priority,
            can_wait: class == StartClass::OnTime && inputs.is_large && !is_urgent,
            slack_ms,
            step,
        }
    }

    /// Time until the latest start that meets the objective, in milliseconds; negative if the job will be late.
    pub fn slack_ms(now: Instant, inputs: &PriorityInputs) -> i64 {
        inputs.objective.as_millis() as i64 - expected_end(now, inputs).as_millis() as i64
    }

    /// Orders the step within its class by its latest start only, whatever its priority and size.
    #[must_use]
    pub fn with_latest_start(self) -> Self {
        let slack_ms = self.slack_ms;
        self.with_order(false, slack_ms)
    }

    /// Orders the step within its class by `order`, whatever its priority and size, and after all others if it can
    /// wait.
    #[must_use]
    pub fn with_order(self, can_wait: bool, order: i64) -> Self {
        Self {
            priority: 0,
            can_wait,
            slack_ms: order,
            ..self
        }
    }

    /// Step to which the key belongs.
    pub fn step(&self) -> &StepId {
        &self.step
    }
}
