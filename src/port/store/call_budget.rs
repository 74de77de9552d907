//! A session's budget of calls to the store.

use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use tokio::time::Instant;

use crate::model::amount::RatePerSecond;

/// Calls that one session may make a second. The store sustains several hundred writes a second for all.
pub const DEFAULT_CALL_RATE: RatePerSecond = RatePerSecond::new(50);

/// A budget that is filled evenly and holds one second's calls. Clones share it.
#[derive(Debug, Clone)]
pub struct CallBudget {
    gap: Duration,
    burst: Duration,
    /// Time at which the budget is full again.
    full_at: Arc<Mutex<Instant>>,
}

impl CallBudget {
    /// Creates a full budget. A rate of zero counts as one.
    pub fn new(rate: RatePerSecond) -> Self {
        Self {
            gap: Duration::from_secs(1) / rate.get().max(1),
            burst: Duration::from_secs(1),
            full_at: Arc::new(Mutex::new(Instant::now())),
        }
    }

    /// Takes one call. Returns how long to wait before it is sent, at most `limit`; none if it would take
    /// longer, in which case nothing is taken.
    pub fn take(&self, limit: Duration) -> Option<Duration> {
        let now = Instant::now();
        let mut full_at = self.full_at.lock().unwrap_or_else(PoisonError::into_inner);
        let next = (*full_at).max(now) + self.gap;
        let wait = next.saturating_duration_since(now + self.burst);
        if wait > limit {
            return None;
        }
        *full_at = next;
        Some(wait)
    }
}
