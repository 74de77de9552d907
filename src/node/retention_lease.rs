//! Leases under which the states of ended jobs are kept, so that the store removes them by itself.
//!
//! A lease is never renewed. Records hang on it while it is young enough to outlive the time for which
//! callers may ask for the state of an ended job.

use std::time::{Duration, Instant};

use crate::model::id::LeaseId;

/// Time to live: the longest that the store grants.
pub const RETENTION_LEASE_TTL: Duration = Duration::from_mins(10);

/// Longest time for which new records hang on one lease; a shorter time means more leases, a longer one
/// records that live too briefly.
const ATTACH_PERIOD: Duration = Duration::from_mins(2);

/// Pause after a lease was not granted. States are kept without an end meanwhile.
const RETRY_INTERVAL: Duration = Duration::from_secs(5);

/// The lease for the states of jobs that end now.
#[derive(Debug, Clone)]
pub struct RetentionLease {
    retention: Duration,
    current: Option<(LeaseId, Instant)>,
    is_requested: bool,
    retry_at: Option<Instant>,
}

impl RetentionLease {
    /// Creates an archive for states that have to be kept for `retention`.
    pub fn new(retention: Duration) -> Self {
        Self {
            retention,
            current: None,
            is_requested: false,
            retry_at: None,
        }
    }

    /// The lease for a record that is written now; without one the record stays until it is deleted.
    pub fn current_lease(&self, now: Instant) -> Option<LeaseId> {
        let (lease, attach_until) = self.current?;
        (now < attach_until).then_some(lease)
    }

    /// Whether a new lease has to be asked for; the answer goes to [`Self::finish_request`].
    pub fn start_request(&mut self, now: Instant) -> bool {
        let is_paused = self.retry_at.is_some_and(|at| now < at);
        let can_outlast = self.retention + ATTACH_PERIOD < RETENTION_LEASE_TTL;
        if self.is_requested || is_paused || !can_outlast || self.current_lease(now).is_some() {
            return false;
        }
        self.is_requested = true;
        true
    }

    /// Takes the granted lease with its time to live, asked for at `requested_at`.
    pub fn finish_request(&mut self, requested_at: Instant, granted: Option<(LeaseId, Duration)>) {
        self.is_requested = false;
        let sufficient = granted.filter(|(_, ttl)| *ttl > self.retention);
        match sufficient {
            Some((lease, ttl)) => {
                let attach_time = ATTACH_PERIOD.min(ttl.saturating_sub(self.retention));
                self.current = Some((lease, requested_at + attach_time));
            }
            None => self.retry_at = Some(requested_at + RETRY_INTERVAL),
        }
    }
}
