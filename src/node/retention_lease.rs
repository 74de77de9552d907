//! Leases for the records of ended jobs, so that the store removes them without further writes.
//!
//! A lease is never renewed. New records are attached to it only while it is young enough to last for the
//! whole retention, the time for which callers may ask for the state of an ended job.

use std::time::{Duration, Instant};

use crate::model::id::LeaseId;

/// Time to live of a lease: the maximum that the store grants.
pub const RETENTION_LEASE_TTL: Duration = Duration::from_mins(10);

/// Maximum time for which new records are attached to one lease. A shorter time means more leases; a longer
/// one leaves too little of the time to live for the retention.
const ATTACH_PERIOD: Duration = Duration::from_mins(2);

/// Pause after a failed request. Records are stored without a lease meanwhile and stay until they are
/// deleted.
const RETRY_INTERVAL: Duration = Duration::from_secs(5);

/// State of the lease to which records of ended jobs are attached.
#[derive(Debug, Clone)]
pub struct RetentionLease {
    retention: Duration,
    current: Option<(LeaseId, Instant)>,
    is_requested: bool,
    retry_at: Option<Instant>,
}

impl RetentionLease {
    /// Creates a state without a lease, for records that have to be kept for `retention`.
    pub fn new(retention: Duration) -> Self {
        Self {
            retention,
            current: None,
            is_requested: false,
            retry_at: None,
        }
    }

    /// The lease for a record that is written now; without one, the record stays until it is deleted.
    pub fn current_lease(&self, now: Instant) -> Option<LeaseId> {
        let (lease, attach_until) = self.current?;
        (now < attach_until).then_some(lease)
    }

    /// Whether the caller has to request a new lease and to pass the result to [`Self::finish_request`].
    /// Always false if a lease cannot last for the retention.
    pub fn start_request(&mut self, now: Instant) -> bool {
        let is_paused = self.retry_at.is_some_and(|at| now < at);
        let can_outlast = self.retention + ATTACH_PERIOD < RETENTION_LEASE_TTL;
        if self.is_requested || is_paused || !can_outlast || self.current_lease(now).is_some() {
            return false;
        }
        self.is_requested = true;
        true
    }

    /// Handles the result of a request sent at `requested_at`: the lease with its time to live, or `None`
    /// after a failure.
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
