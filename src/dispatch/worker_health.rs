//! Evidence against a worker: failures of several jobs, orders without an answer, and slow work.
//!
//! Answers workers that fail all they start or leave orders unanswered: a worker that fails fast is free at once
//! and would attract ever more work. A job that always fails is no evidence by itself.

use std::collections::{BTreeSet, VecDeque};
use std::time::{Duration, Instant};

use crate::model::id::JobId;

/// Time for which a failure counts.
const FAILURE_WINDOW: Duration = Duration::from_secs(8);

/// Jobs that must have failed on the worker before it is avoided.
const MIN_FAILED_JOBS: usize = 2;

/// Time for which a worker is avoided at first; doubles with each time without a success between.
const INITIAL_BACKOFF: Duration = Duration::from_secs(2);

/// Longest time for which a worker is avoided.
const MAX_BACKOFF: Duration = Duration::from_secs(12);

/// Orders in a row without an answer after which the worker is avoided.
const MAX_UNANSWERED_COMMANDS: u32 = 2;

/// Time for which a worker that refused an order as unhealthy is avoided.
const UNHEALTHY_BACKOFF: Duration = Duration::from_millis(400);

/// Weight of the newest run time in the average.
const SMOOTHING_FACTOR: f64 = 0.3;

/// Run time over estimate above which a worker counts as slow.
const SLOW_RATIO: f64 = 2.5;

/// Evidence against one worker.
#[derive(Debug, Clone, Default)]
pub struct WorkerHealth {
    failures: VecDeque<(Instant, JobId)>,
    backoff_until: Option<Instant>,
    backoffs: u32,
    unanswered_commands: u32,
    is_on_probation: bool,
    slowdown: Option<f64>,
}

impl WorkerHealth {
    /// Takes a failed run. Returns whether the worker is avoided from now on.
    pub fn record_failure(&mut self, now: Instant, job: &JobId) -> bool {
        while let Some((at, _)) = self.failures.front()
            && now.saturating_duration_since(*at) > FAILURE_WINDOW
        {
            self.failures.pop_front();
        }
        self.failures.push_back((now, job.clone()));
        let jobs: BTreeSet<&JobId> = self.failures.iter().map(|(_, job)| job).collect();
        if jobs.len() < MIN_FAILED_JOBS && !self.is_on_probation {
            return false;
        }
        self.start_backoff(now);
        true
    }

    fn start_backoff(&mut self, now: Instant) {
        let pause = INITIAL_BACKOFF * 2_u32.saturating_pow(self.backoffs.min(8));
        self.backoffs += 1;
        self.is_on_probation = true;
        self.failures.clear();
        self.backoff_until = Some(now + pause.min(MAX_BACKOFF));
    }

    /// Takes a run that ended as done after `elapsed`, against its estimate.
    pub fn record_success(&mut self, elapsed: Duration, estimate: Duration) {
        self.failures.pop_front();
        self.is_on_probation = false;
        self.backoffs = 0;
        self.unanswered_commands = 0;
        self.record_run_time(elapsed, estimate);
    }

    /// Takes a run time, or the time for which a run has gone on beyond its estimate.
    pub fn record_run_time(&mut self, elapsed: Duration, estimate: Duration) {
        if estimate.is_zero() {
            return;
        }
        let ratio = elapsed.as_secs_f64() / estimate.as_secs_f64();
        let old = self.slowdown.unwrap_or(1.0);
        self.slowdown = Some(old + (ratio - old) * SMOOTHING_FACTOR);
    }

    /// Takes an order without an answer.
    pub fn record_timeout(&mut self, now: Instant) {
        self.unanswered_commands += 1;
        if self.unanswered_commands >= MAX_UNANSWERED_COMMANDS {
            self.unanswered_commands = 0;
            self.start_backoff(now);
        }
    }

    /// Takes an answered order.
    pub fn record_answer(&mut self) {
        self.unanswered_commands = 0;
    }

    /// Takes a refusal of an unhealthy worker.
    pub fn record_unhealthy(&mut self, now: Instant) {
        let until = now + UNHEALTHY_BACKOFF;
        self.backoff_until = Some(self.backoff_until.map_or(until, |old| old.max(until)));
    }

    /// Whether the worker gets no work.
    pub fn is_in_backoff(&self, now: Instant) -> bool {
        self.backoff_until.is_some_and(|until| now < until)
    }

    /// Whether the worker has to prove itself with one run at a time.
    pub fn is_on_probation(&self) -> bool {
        self.is_on_probation
    }

    /// Whether the worker is far slower than estimates.
    pub fn is_slow(&self) -> bool {
        self.slowdown.is_some_and(|ratio| ratio > SLOW_RATIO)
    }

    /// End of the time for which the worker is avoided.
    pub fn backoff_until(&self) -> Option<Instant> {
        self.backoff_until
    }
}
