//! The times after which another session has certainly stopped acting on an old view.

use std::time::{Duration, Instant};

use crate::error::{Error, ErrorKind, Result};

/// Default longest age of a view with which keyed work is admitted.
pub const DEFAULT_FRESHNESS: Duration = Duration::from_millis(2500);

/// Largest accepted freshness: a withdrawn key must stop working within 3 s.
pub const MAX_FRESHNESS: Duration = Duration::from_secs(3);

/// Margin for clocks that run at different rates, in percent.
const CLOCK_DRIFT_PERCENT: u32 = 5;

/// Freshness and longest task time, from which the times follow.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ExpiryRule {
    freshness: Duration,
    max_task_time: Duration,
}

impl ExpiryRule {
    /// Creates a rule. `longest_task` is the largest deadline of requests or lease time of tasks.
    ///
    /// # Errors
    /// `bad_record` if the freshness is zero or above [`MAX_FRESHNESS`].
    pub fn new(freshness: Duration, max_task_time: Duration) -> Result<Self> {
        if freshness.is_zero() || freshness > MAX_FRESHNESS {
            let message = format!(
                "freshness must be above 0 and at most {} ms",
                MAX_FRESHNESS.as_millis()
            );
            return Err(Error::new(ErrorKind::BadRecord, message));
        }
        Ok(Self {
            freshness,
            max_task_time,
        })
    }

    /// Longest age of a view with which keyed work is admitted.
    pub fn freshness(&self) -> Duration {
        self.freshness
    }

    /// When every session has either folded an entry or stopped starting work. `known_at` is the time at which
    /// the entry was folded here after it landed: a view confirmed later than that includes the entry.
    pub fn view_expired_at(&self, known_at: Instant) -> Instant {
        known_at + self.freshness * (100 + CLOCK_DRIFT_PERCENT) / 100
    }

    /// When all work that a session started under its old allowance has ended. `last_sign` is the latest of its
    /// last renewal seen, its last heartbeat heard and the time at which the entry that lowers its allowance
    /// was folded here. The last one matters for a session that is still confirmed through other peers.
    pub fn allowance_free_at(&self, last_activity: Instant) -> Instant {
        self.view_expired_at(last_activity) + self.max_task_time
    }
}
