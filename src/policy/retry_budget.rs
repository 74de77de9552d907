//! Budget for sending work again, and the back-off between attempts.

use std::time::Duration;

/// Attempts per request, the first included.
pub const MAX_ATTEMPTS: u32 = 3;

/// Limits of a retry budget.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetryLimits {
    /// Retries allowed per first attempt, in thousandths.
    pub ratio_permille: u32,
    /// Retries that may be saved up.
    pub burst: u32,
    /// Back-off before the first retry; backoff for each further one.
    pub first_backoff: Duration,
    /// Longest back-off.
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

/// What is known about a failed attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptFailure {
    /// The work certainly did not run.
    NotRun,
    /// The work may have run.
    MayHaveRun,
}

/// Retry budget of one service: a bucket that fills with first attempts and empties with retries, so that
/// retries stay a fixed part of the load however much fails.
#[derive(Debug, Clone)]
pub struct RetryBudget {
    limits: RetryLimits,
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

    /// Notes a first attempt.
    pub fn record_first_attempt(&mut self) {
        let max_tokens = u64::from(self.limits.burst) * 1000;
        self.tokens_permille = (self.tokens_permille + u64::from(self.limits.ratio_permille)).min(max_tokens);
    }

    /// Decides whether the work may be sent again after `attempts` attempts, and after which back-off.
    ///
    /// `random` is uniform in `0.0..1.0`; `remaining` is the time left until the deadline.
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

    /// Full-jitter exponential back-off, so that callers that failed together do not return together.
    fn backoff(&self, attempts: u32, random: f64) -> Duration {
        let backoff = self.limits.first_backoff * 2_u32.saturating_pow(attempts.saturating_sub(1).min(16));
        backoff.min(self.limits.max_backoff).mul_f64(random)
    }
}
