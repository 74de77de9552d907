//! Interval between the polls of a worker.
//!
//! Handles load peaks in large pools: a worker answers a poll as soon as a run ends, so that hundreds of workers
//! with short tasks are polled thousands of times a second, which takes the processor time that starts need. One
//! answer lists all runs that have ended, so that longer intervals lose little.

use std::time::Duration;

/// Pause between the answer to a poll and the next poll, so that one answer lists runs that end shortly after each
/// other.
pub const MIN_POLL_INTERVAL: Duration = Duration::from_millis(60);

/// Longest pause; callers learn of the end of their job later by half of it.
const MAX_POLL_INTERVAL: Duration = Duration::from_millis(240);

/// Processor time of a whole core for one poll and its answer.
const POLL_COST: Duration = Duration::from_micros(120);

/// Part of the instance's processor that polls may take.
const POLL_SHARE: f64 = 0.4;

/// Interval that keeps the polls of all workers within a part of the instance's processor.
#[derive(Debug, Clone, Copy)]
pub struct PollPace {
    /// Added to the interval for each worker that runs tasks.
    per_worker: Duration,
    interval: Duration,
}

impl Default for PollPace {
    fn default() -> Self {
        Self {
            per_worker: Duration::ZERO,
            interval: MIN_POLL_INTERVAL,
        }
    }
}

impl PollPace {
    /// Pace for an instance with this share of a core.
    pub fn new(cpu_share: f64) -> Self {
        Self {
            per_worker: POLL_COST.div_f64(cpu_share.max(0.01) * POLL_SHARE),
            ..Self::default()
        }
    }

    /// Adapts the interval to the number of workers that run tasks.
    pub fn set_busy_workers(&mut self, count: u32) {
        self.interval = (self.per_worker * count).clamp(MIN_POLL_INTERVAL, MAX_POLL_INTERVAL);
    }

    /// Pause between the answer to a poll and the next poll.
    pub fn interval(&self) -> Duration {
        self.interval
    }
}
