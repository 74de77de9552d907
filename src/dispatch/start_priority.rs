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
    Serving,
    /// Part of a job that has begun and can be in time.
    Begun,
    /// Part of a job that can be in time.
    InTime,
    /// Part of a job that is its organisation's surplus.
    Surplus,
    /// Part of a job that will be late.
    Late,
    /// Part of a job that is too late to be of use to its caller.
    Overdue,
    /// Tasks that use the processor time left by others.
    Filler,
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
    pub is_lasting: bool,
    /// Whether the tasks use only what others leave.
    pub is_filler: bool,
    /// Whether a task of the job has started.
    pub has_begun: bool,
    /// Whether the job is its organisation's surplus.
    pub is_surplus: bool,
    /// Time of acceptance, or due time of the occurrence.
    pub accepted_at: Instant,
    /// Time from acceptance to the objective.
    pub objective: Duration,
    /// Whether the job has more work than is usual on the pool.
    pub is_large: bool,
    /// Longest chain of estimates from this step to the end of the job.
    pub chain: Duration,
}

/// A job up to this multiple of its objective is late; after it the job is of no use.
const LATE_FACTOR: u32 = 3;

/// Factor on the chain of estimates, which are rough, and added time for orders and reports on the way. A job that
/// would only just be in time is mostly late, and takes the room of one that is not.
const CHAIN_MARGIN: (f64, Duration) = (1.15, Duration::from_millis(150));

/// Share of the objective below which the slack of a large job puts it beside the smaller ones, so that large jobs are
/// not starved.
const URGENT_SLACK: f64 = 0.12;

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
    pub fn of(now: Instant, facts: &PriorityInputs) -> Self {
        let end = expected_end(now, facts);
        if facts.is_filler {
            Self::Filler
        } else if facts.is_lasting {
            Self::Serving
        } else if end > facts.objective * LATE_FACTOR {
            Self::Overdue
        } else if end > facts.objective {
            Self::Late
        } else if facts.is_surplus {
            Self::Surplus
        } else if facts.has_begun {
            Self::Begun
        } else {
            Self::InTime
        }
    }
}

/// Time from acceptance to the end of the job, if the step starts now.
fn expected_end(now: Instant, facts: &PriorityInputs) -> Duration {
    let age = now.saturating_duration_since(facts.accepted_at);
    age + facts.chain.mul_f64(CHAIN_MARGIN.0) + CHAIN_MARGIN.1
}

impl StartKey {
    /// Rates a step.
    pub fn new(now: Instant, facts: &PriorityInputs, step: StepId) -> Self {
        let class = StartClass::of(now, facts);
        let end = expected_end(now, facts);
        let slack_ms = facts.objective.as_millis() as i64 - end.as_millis() as i64;
        let is_urgent = slack_ms < (facts.objective.mul_f64(URGENT_SLACK)).as_millis() as i64;
        Self {
            class,
            priority: facts.priority,
            can_wait: class == StartClass::InTime && facts.is_large && !is_urgent,
            slack_ms,
            step,
        }
    }

    /// The step.
    pub fn step(&self) -> &StepId {
        &self.step
    }
}
