//! Leases under which the states of ended jobs are kept, so that the store removes them by itself.
//!
//! A lease is never renewed. Records hang on it while it is young enough to outlive the time for which callers may
//! ask for the state of an ended job.

use std::time::{Duration, Instant};

use crate::model::id::LeaseId;

/// Time to live: the longest that the store grants.
pub const ARCHIVE_TIME: Duration = Duration::from_mins(10);

/// Longest time for which new records hang on one lease; a shorter time means more leases, a longer one records that
/// live too briefly.
const FILL_TIME: Duration = Duration::from_mins(2);

/// Pause after a lease was not granted. States are kept without an end meanwhile.
const RETRY_PAUSE: Duration = Duration::from_secs(5);

/// The lease for the states of jobs that end now.
#[derive(Debug, Clone)]
pub struct RetentionLease {
    retention: Duration,
    current: Option<(LeaseId, Instant)>,
    is_asked: bool,
    retry_at: Option<Instant>,
}

impl RetentionLease {
    /// Creates an archive for states that have to be kept for `retention`.
    pub fn new(retention: Duration) -> Self {
        Self {
            retention,
            current: None,
            is_asked: false,
            retry_at: None,
        }
    }

    /// The lease for a record that is written now; without one the record stays until it is deleted.
    pub fn lease(&self, now: Instant) -> Option<LeaseId> {
        let (lease, fill_end) = self.current?;
        (now < fill_end).then_some(lease)
    }

    /// Whether a new lease has to be asked for; the answer goes to [`Self::take_answer`].
    pub fn needs_lease(&mut self, now: Instant) -> bool {
        let is_paused = self.retry_at.is_some_and(|at| now < at);
        let can_outlive = self.retention + FILL_TIME < ARCHIVE_TIME;
        if self.is_asked || is_paused || !can_outlive || self.lease(now).is_some() {
            return false;
        }
        self.is_asked = true;
        true
    }

    /// Takes the granted lease with its time to live, asked for at `asked_at`.
    pub fn take_answer(&mut self, asked_at: Instant, granted: Option<(LeaseId, Duration)>) {
        self.is_asked = false;
        let lasting = granted.filter(|(_, ttl)| *ttl > self.retention);
        match lasting {
            Some((lease, ttl)) => {
                let fill = FILL_TIME.min(ttl.saturating_sub(self.retention));
                self.current = Some((lease, asked_at + fill));
            }
            None => self.retry_at = Some(asked_at + RETRY_PAUSE),
        }
    }
}
