//! Order in which ready steps start.
//!
//! Answers demand that takes turns: for some seconds a queue asks for several times what its pool holds, and a
//! job after its objective is worth little to its caller. What can still be in time goes first, by its latest
//! start, with jobs that have begun before others; what is late and an organisation's surplus use what is left.

use std::time::{Duration, Instant};

use crate::dispatch::task_id::StepId;

/// Classes of ready steps in the order of their start.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum StartClass {
    /// Tasks that serve users until their job is cancelled.
    LongRunning,
    /// Part of a job that has begun and can be in time.
    Started,
    /// Part of a job that can be in time.
    OnTime,
    /// Part of a job that is its organisation's surplus.
    OverRate,
    /// Part of a job that will be late.
    Late,
    /// Part of a job that is too late to be of use to its caller.
    TooLate,
    /// Tasks that use the processor time left by others.
    BestEffort,
}

/// What the order of a step depends on.
#[derive(Debug, Clone, Copy, PartialEq)]
#[expect(
    clippy::struct_excessive_bools,
    reason = "the flags are independent of each other"
)]
pub struct PriorityInputs {
    /// Priority of the queue; 0 goes first.
    pub priority: u32,
    /// Whether the tasks run until the job is cancelled.
    pub is_long_running: bool,
    /// Whether the tasks use only what others leave.
    pub is_best_effort: bool,
    /// Whether a task of the job has started.
    pub has_started: bool,
    /// Whether the job is its organisation's surplus.
    pub is_over_rate: bool,
    /// Time of acceptance, or due time of the occurrence.
    pub accepted_at: Instant,
    /// Time from acceptance to the objective.
    pub objective: Duration,
    /// Whether the job has more work than is usual on the pool.
    pub is_large: bool,
    /// Longest chain of estimates from this step to the end of the job.
    pub critical_path: Duration,
}

/// A job up to this multiple of its objective is late; after it the job is of no use.
const TOO_LATE_FACTOR: u32 = 3;

/// Factor on the chain of estimates, which are rough, and added time for orders and reports on the way. A job that
/// would only just be in time is mostly late, and takes the room of one that is not.
const ESTIMATE_MARGIN: (f64, Duration) = (1.15, Duration::from_millis(150));

/// Share of the objective below which the slack of a large job puts it beside the smaller ones, so that large jobs are
/// not starved.
const URGENT_SLACK_SHARE: f64 = 0.12;

/// Place of a step in the order.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct StartKey {
    class: StartClass,
    priority: u32,
    /// Whether a large job can wait: more of the smaller ones are in time in the same room.
    can_wait: bool,
    /// Time until the latest start, in milliseconds; only for the order within a class.
    slack_ms: i64,
    step: StepId,
}

impl StartClass {
    /// Class of a step now.
    pub fn of(now: Instant, inputs: &PriorityInputs) -> Self {
        let end = expected_end(now, inputs);
        if inputs.is_best_effort {
            Self::BestEffort
        } else if inputs.is_long_running {
            Self::LongRunning
        } else if end > inputs.objective * TOO_LATE_FACTOR {
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

/// Time from acceptance to the end of the job, if the step starts now.
fn expected_end(now: Instant, inputs: &PriorityInputs) -> Duration {
    let age = now.saturating_duration_since(inputs.accepted_at);
    age + inputs.critical_path.mul_f64(ESTIMATE_MARGIN.0) + ESTIMATE_MARGIN.1
}

impl StartKey {
    /// Rates a step.
    pub fn new(now: Instant, inputs: &PriorityInputs, step: StepId) -> Self {
        let class = StartClass::of(now, inputs);
        let end = expected_end(now, inputs);
        let slack_ms = inputs.objective.as_millis() as i64 - end.as_millis() as i64;
        let is_urgent = slack_ms < (inputs.objective.mul_f64(URGENT_SLACK_SHARE)).as_millis() as i64;
        Self {
            class,
            priority: inputs.priority,
            can_wait: class == StartClass::OnTime && inputs.is_large && !is_urgent,
            slack_ms,
            step,
        }
    }

    /// The step.
    pub fn step(&self) -> &StepId {
        &self.step
    }
}
