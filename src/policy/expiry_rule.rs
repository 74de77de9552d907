//! Computes after which time another session has certainly stopped acting on an old configuration view.

use std::time::{Duration, Instant};

use crate::error::{Error, ErrorKind, Result};

/// Default maximum age of a view with which a session still admits work under an API key.
pub const DEFAULT_FRESHNESS: Duration = Duration::from_millis(2500);

/// Maximum freshness that can be configured: a withdrawn key must stop working within 3 s.
pub const MAX_FRESHNESS: Duration = Duration::from_secs(3);

/// Safety margin in percent, because clocks run at different rates.
const CLOCK_DRIFT_PERCENT: u32 = 5;

/// Freshness (the maximum age of a view) and maximum task time, from which the expiry times follow.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ExpiryRule {
    freshness: Duration,
    max_task_time: Duration,
}

impl ExpiryRule {
    /// Creates a rule. `max_task_time` is the maximum over all deadlines of requests and lease times of
    /// tasks.
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

    /// Maximum age of a view with which work under an API key is admitted.
    pub fn freshness(&self) -> Duration {
        self.freshness
    }

    /// Time at which every session has either folded an entry or stopped starting work. `known_at` is the
    /// time at which this session folded the committed entry; any view confirmed later includes it.
    pub fn view_expired_at(&self, known_at: Instant) -> Instant {
        known_at + self.freshness * (100 + CLOCK_DRIFT_PERCENT) / 100
    }

    /// Time at which all work that a session started under its old allowance has ended. `last_activity` is
    /// the latest of three times: the last renewal of its record, its last heartbeat, and the time at which
    /// this session folded the entry that lowers the allowance. The third matters for a session that this one
    /// no longer hears but whose view other peers still confirm.
    pub fn allowance_free_at(&self, last_activity: Instant) -> Instant {
        self.view_expired_at(last_activity) + self.max_task_time
    }
}
