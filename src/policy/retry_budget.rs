//! Retry budget of a service, and the back-off between attempts.

use std::time::Duration;

/// Maximum number of attempts per request, the first included.
pub const MAX_ATTEMPTS: u32 = 3;

/// Limits of a retry budget and its back-off.
#[derive(Debug, Clone, Copy, PartialEq)]
#[expect(missing_docs, reason = "the first back-off's comment describes the maximum")]
pub struct RetryLimits {
    /// Thousandths of a retry that each first attempt adds to the budget.
    pub ratio_permille: u32,
    /// Maximum number of retries that can accumulate in the budget.
    pub burst: u32,
    /// Maximum back-off before the first retry; doubles for each further one up to `max_backoff`.
    pub first_backoff: Duration,
    pub max_backoff: Duration,
}

impl Default for RetryLimits {
    fn default() -> Self {
        Self {
            ratio_permille: 100,
            burst: 10,
            first_backoff: Duration::from_millis(10),
            max_backoff: Duration::from_millis(500),
        }
    }
}

/// Whether the work of a failed attempt ran.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptFailure {
    /// The work certainly did not run, so that it can be sent again safely.
    NotRun,
    /// The work may have run.
    MayHaveRun,
}

/// Retry budget of one service: a token bucket that first attempts fill and retries empty, so that retries
/// stay a fixed part of the load however many requests fail.
#[derive(Debug, Clone)]
pub struct RetryBudget {
    limits: RetryLimits,
    /// Available retries, in thousandths.
    tokens_permille: u64,
}

impl RetryBudget {
    /// Creates a full budget.
    pub fn new(limits: RetryLimits) -> Self {
        Self {
            limits,
            tokens_permille: u64::from(limits.burst) * 1000,
        }
    }

    /// Adds the share of a first attempt to the budget.
    pub fn record_first_attempt(&mut self) {
        let max_tokens = u64::from(self.limits.burst) * 1000;
        self.tokens_permille = (self.tokens_permille + u64::from(self.limits.ratio_permille)).min(max_tokens);
    }

    /// Takes a retry from the budget and returns the back-off before it, or nothing if the work must not be
    /// sent again.
    ///
    /// `may_repeat` tells whether the work may run twice, `attempts` is the number of attempts so far,
    /// `remaining` is the time until the deadline, and `random` is uniform in `0.0..1.0`.
    pub fn take_retry(
        &mut self,
        failure: AttemptFailure,
        may_repeat: bool,
        attempts: u32,
        remaining: Duration,
        random: f64,
    ) -> Option<Duration> {
        let is_safe = failure == AttemptFailure::NotRun || may_repeat;
        if !is_safe || attempts >= MAX_ATTEMPTS || self.tokens_permille < 1000 {
            return None;
        }
        let backoff = self.backoff(attempts, random);
        if backoff >= remaining {
            return None;
        }
        self.tokens_permille -= 1000;
        Some(backoff)
    }

    /// Exponential back-off with full jitter, so that requests that failed together are not retried together.
    fn backoff(&self, attempts: u32, random: f64) -> Duration {
        let backoff = self.limits.first_backoff * 2_u32.saturating_pow(attempts.saturating_sub(1).min(16));
        backoff.min(self.limits.max_backoff).mul_f64(random)
    }
}
