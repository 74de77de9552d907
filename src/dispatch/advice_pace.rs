//! Size and timeout of the requests for advice of one queue, from the times that its rule declares.
//!
//! The service takes its time for each worker that a request names. A request is kept short enough that a step gets an
//! answer soon, and is waited for as long as the rule says and a while longer.

use std::time::Duration;

use crate::dispatch::job_record::AdviceRule;

/// Time that a request should take. A rule whose base latency alone is above half of it sets a longer time, since each
/// request costs that much again.
const TARGET_LATENCY: Duration = Duration::from_millis(1_500);

/// Upper bound of the workers named in one request; the cost of a request grows with their number.
const MAX_WORKERS: usize = 30;

/// Time beyond the declared one after which a request without an answer is given up. The service may still be busy with
/// a request of a former process on the same instance.
const TIMEOUT_MARGIN: Duration = Duration::from_millis(2_500);

/// Number of consecutive failures after which timeouts do not grow any more. A dead connection is noticed only by its
/// timeout.
const MAX_FAILURES: u32 = 2;

/// Requests for advice of one queue that have failed lately.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct AdvicePace {
    failures: u32,
}

impl AdvicePace {
    /// Number of workers that a request may name, at least one. It is halved with each failure.
    pub fn max_workers(&self, rule: &AdviceRule) -> usize {
        let target = TARGET_LATENCY.max(rule.base_latency * 2);
        let budget = target.saturating_sub(rule.base_latency).as_nanos();
        let workers = budget
            .checked_div(rule.latency_per_worker.as_nanos())
            .unwrap_or(MAX_WORKERS as u128);
        let workers = usize::try_from(workers).unwrap_or(MAX_WORKERS).min(MAX_WORKERS);
        (workers >> self.failures).max(1)
    }

    /// Timeout of a request that names so many workers. It is doubled with each failure.
    pub fn timeout(&self, rule: &AdviceRule, workers: usize) -> Duration {
        (declared_latency(rule, workers) + TIMEOUT_MARGIN) * (1 << self.failures)
    }

    /// Records a request that named so many workers; `latency` is the time to its answer, absent without one.
    pub fn record(&mut self, rule: &AdviceRule, workers: usize, latency: Option<Duration>) {
        match latency {
            None => self.failures = (self.failures + 1).min(MAX_FAILURES),
            Some(latency) if latency <= declared_latency(rule, workers) + TIMEOUT_MARGIN => self.failures = 0,
            // With a shorter timeout the next answer would be lost.
            Some(_) => {}
        }
    }
}

/// Time that the rule declares for an answer about so many workers.
fn declared_latency(rule: &AdviceRule, workers: usize) -> Duration {
    let workers = u32::try_from(workers).unwrap_or(u32::MAX);
    rule.base_latency
        .saturating_add(rule.latency_per_worker.saturating_mul(workers))
}
