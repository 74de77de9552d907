//! Health of a worker as seen by the pool leader: failed runs, unanswered commands and slow runs.
//!
//! A worker that fails runs quickly is free again at once and would attract more and more work, so the
//! scheduler avoids it for a time that grows exponentially. Failures of a single job do not count against the
//! worker, because the job itself may be at fault.

use std::collections::{BTreeSet, VecDeque};
use std::time::{Duration, Instant};

use crate::model::id::JobId;

/// Sliding window in which failures are counted.
const FAILURE_WINDOW: Duration = Duration::from_secs(8);

/// Number of distinct jobs that have to fail within the window to start a backoff.
const MIN_FAILED_JOBS: usize = 2;

/// First backoff; doubles with each further backoff until a run succeeds.
const INITIAL_BACKOFF: Duration = Duration::from_secs(2);

/// Upper bound of the exponential backoff.
const MAX_BACKOFF: Duration = Duration::from_secs(12);

/// Consecutive commands without an answer that start a backoff.
const MAX_UNANSWERED_COMMANDS: u32 = 2;

/// Backoff after the worker refused a command because it is unhealthy.
const UNHEALTHY_BACKOFF: Duration = Duration::from_millis(400);

/// Time for which a trial run keeps other runs off a worker. Stalled runs are noticed after 1.8 s; a run that goes on
/// for longer without a result must not close the worker.
const MAX_TRIAL_TIME: Duration = Duration::from_secs(3);

/// Weight of the latest run in the exponential moving average of the slowdown.
const SMOOTHING_FACTOR: f64 = 0.3;

/// Ratio of run time to estimate above which a worker counts as slow.
const SLOW_RATIO: f64 = 2.5;

/// Failure history, backoff and slowdown of one worker.
#[derive(Debug, Clone, Default)]
pub struct WorkerHealth {
    failures: VecDeque<(Instant, JobId)>,
    backoff_until: Option<Instant>,
    backoffs: u32,
    unanswered_commands: u32,
    /// Start of the backoff that the probation follows; absent without a probation.
    probation_since: Option<Instant>,
    slowdown: Option<f64>,
}

impl WorkerHealth {
    /// Records a failed run of `job`. Returns whether this started a backoff; on probation a single failure
    /// does.
    pub fn record_failure(&mut self, now: Instant, job: &JobId) -> bool {
        while let Some((at, _)) = self.failures.front()
            && now.saturating_duration_since(*at) > FAILURE_WINDOW
        {
            self.failures.pop_front();
        }
        self.failures.push_back((now, job.clone()));
        let jobs: BTreeSet<&JobId> = self.failures.iter().map(|(_, job)| job).collect();
        if jobs.len() < MIN_FAILED_JOBS && self.probation_since.is_none() {
            return false;
        }
        self.start_backoff(now)
    }

    /// Starts a backoff, unless one goes on: what fails or stays unanswered meanwhile was started before. Returns
    /// whether it did.
    fn start_backoff(&mut self, now: Instant) -> bool {
        if self.probation_since.is_some() && self.is_in_backoff(now) {
            return false;
        }
        let backoff = INITIAL_BACKOFF * 2_u32.saturating_pow(self.backoffs.min(8));
        self.backoffs += 1;
        self.probation_since = Some(now);
        self.failures.clear();
        self.backoff_until = Some(now + backoff.min(MAX_BACKOFF));
        true
    }

    /// Records a successful run. It offsets the oldest failure in the window, ends the probation and resets
    /// the backoff to its initial length.
    pub fn record_success(&mut self, elapsed: Duration, estimate: Duration) {
        self.failures.pop_front();
        self.end_probation();
        self.unanswered_commands = 0;
        self.record_run_time(elapsed, estimate);
    }

    /// Records that a long-running run placed at `placed_at` is at work. Such a run never completes: if it is the
    /// trial of a probation, this is its success.
    pub fn record_working(&mut self, placed_at: Instant) {
        if self.is_trial(placed_at) {
            self.end_probation();
        }
    }

    fn end_probation(&mut self) {
        self.probation_since = None;
        self.backoffs = 0;
    }

    /// Updates the slowdown with the duration of a finished run, or of a run that already exceeds its
    /// estimate. Runs without an estimate are ignored.
    pub fn record_run_time(&mut self, elapsed: Duration, estimate: Duration) {
        if estimate.is_zero() {
            return;
        }
        let ratio = elapsed.as_secs_f64() / estimate.as_secs_f64();
        let old = self.slowdown.unwrap_or(1.0);
        self.slowdown = Some(old + (ratio - old) * SMOOTHING_FACTOR);
    }

    /// Records a command that got no answer.
    pub fn record_timeout(&mut self, now: Instant) {
        self.unanswered_commands += 1;
        if self.unanswered_commands >= MAX_UNANSWERED_COMMANDS {
            self.unanswered_commands = 0;
            self.start_backoff(now);
        }
    }

    /// Records an answered command.
    pub fn record_answer(&mut self) {
        self.unanswered_commands = 0;
    }

    /// Records that the worker refused a command because it is unhealthy.
    pub fn record_unhealthy(&mut self, now: Instant) {
        let until = now + UNHEALTHY_BACKOFF;
        self.backoff_until = Some(self.backoff_until.map_or(until, |old| old.max(until)));
    }

    /// Whether the worker gets no work at `now`.
    pub fn is_in_backoff(&self, now: Instant) -> bool {
        self.backoff_until.is_some_and(|until| now < until)
    }

    /// Whether a run placed at `placed_at` is a trial. From a backoff after failures or unanswered commands until
    /// the next success the worker gets one such run at a time, beside those that it had before.
    pub fn is_trial(&self, placed_at: Instant) -> bool {
        self.probation_since.is_some_and(|since| placed_at >= since)
    }

    /// Whether a run placed at `placed_at` is a trial that keeps other runs off the worker at `now`.
    pub fn is_open_trial(&self, now: Instant, placed_at: Instant) -> bool {
        self.is_trial(placed_at) && now < placed_at + MAX_TRIAL_TIME
    }

    /// Whether runs take far longer than estimated on average.
    pub fn is_slow(&self) -> bool {
        self.slowdown.is_some_and(|ratio| ratio > SLOW_RATIO)
    }

    /// End of the latest backoff, which may be in the past.
    pub fn backoff_until(&self) -> Option<Instant> {
        self.backoff_until
    }
}
