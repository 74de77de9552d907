//! Cost to callers of ending a job later, or never.
//!
//! Handles shortage: a burst, an organisation far above its usual load, or a lost rack. The start order, admission and
//! load shedding compare jobs by the same figure, so that the work that waits or is refused is the work that costs
//! callers least.

use std::time::Duration;

/// Value of a job that ends after its objective and is still of use, as a share of its full value.
pub const LATE_VALUE: f64 = 0.07;

/// Multiple of the objective after which the end of a job is of no use to its caller.
pub const USELESS_FACTOR: u32 = 3;

/// Worth of a job by its work relative to the mean of its queue: a fixed part, a part in proportion to the work, and
/// an upper bound. A job of average work is worth 1.
const FIXED_WORTH: f64 = 0.3;
const WORTH_PER_MEAN_WORK: f64 = 0.7;
const MAX_WORTH: f64 = 4.0;

/// Ratio between the weights of two neighbouring priorities. It exceeds the largest ratio between the worths of a
/// heavy and an average job, so that priority decides between jobs of similar work.
const PRIORITY_RATIO: f64 = 4.0;

/// Priority from which on the weight no longer falls, so that no job is without weight.
const LOWEST_WEIGHTED_PRIORITY: u32 = 8;

/// Share of its full value that a job has if it ends `end` after its acceptance: 1 up to its objective,
/// [`LATE_VALUE`] up to [`USELESS_FACTOR`] times the objective, 0 after that.
pub fn value_at(end: Duration, objective: Duration) -> f64 {
    if end <= objective {
        1.0
    } else if end <= last_useful_end(objective) {
        LATE_VALUE
    } else {
        0.0
    }
}

/// Latest end, counted from acceptance, that is of any use.
pub fn last_useful_end(objective: Duration) -> Duration {
    objective.saturating_mul(USELESS_FACTOR)
}

/// Worth of a job by its estimated work, in core-milliseconds, relative to the mean of its queue. A job without an
/// estimate (0) counts as an average job, as does any job of a queue without a mean.
pub fn worth(work: u64, mean_work: f64) -> f64 {
    if work == 0 || mean_work <= 0.0 {
        return 1.0;
    }
    (FIXED_WORTH + WORTH_PER_MEAN_WORK * work as f64 / mean_work).min(MAX_WORTH)
}

/// Weight of a queue's priority; 1 for priority 0, the highest.
pub fn priority_weight(priority: u32) -> f64 {
    PRIORITY_RATIO.powi(-priority.min(LOWEST_WEIGHTED_PRIORITY).cast_signed())
}

/// What the delay of one job costs its caller.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct DelayCost {
    /// Time after acceptance by which the job should have ended.
    pub objective: Duration,
    /// Worth of the job, weighted by its priority.
    pub full_value: f64,
    /// Work that is still to be started, in core-milliseconds; at least 1.
    pub remaining_work: f64,
}

impl DelayCost {
    /// Computes the cost of a job with `work` core-milliseconds in all, of which `remaining` are still to be started.
    /// A job without an estimate counts as an average job of its queue.
    pub fn new(objective: Duration, priority: u32, work: u64, remaining: u64, mean_work: f64) -> Self {
        let remaining = if work == 0 { mean_work } else { remaining as f64 };
        Self {
            objective,
            full_value: worth(work, mean_work) * priority_weight(priority),
            remaining_work: remaining.max(1.0),
        }
    }

    /// Value if the job ends `end` after its acceptance.
    pub fn value_at(&self, end: Duration) -> f64 {
        self.full_value * value_at(end, self.objective)
    }

    /// Value lost if the job ends at `later` instead of `sooner`, both counted from acceptance.
    pub fn cost_of_delay(&self, sooner: Duration, later: Duration) -> f64 {
        self.value_at(sooner) - self.value_at(later)
    }

    /// Value gained per core-millisecond of remaining work if the job ends `end` after its acceptance.
    pub fn value_per_work(&self, end: Duration) -> f64 {
        self.value_at(end) / self.remaining_work
    }
}
