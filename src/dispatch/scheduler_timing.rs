//! Bounds that the platform sets for a scheduler.

use std::time::Duration;

/// Bounds and times of a pool's scheduler.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct SchedulerTiming {
    /// Lease that an order grants to everything on a worker.
    pub lease: Duration,
    /// Longest time in which a stop takes effect.
    pub stop_timeout: Duration,
    /// Longest lease that a worker grants, whatever an order asks for.
    pub max_lease: Duration,
    /// Earliest start of an occurrence before its due time.
    pub max_early_start: Duration,
}

/// Longest lease that is asked for. Tasks survive an outage of the store of this length less the lease of the
/// duty; tasks on a lost worker are started again after it.
pub const DEFAULT_LEASE: Duration = Duration::from_millis(4_500);

impl Default for SchedulerTiming {
    fn default() -> Self {
        Self {
            lease: DEFAULT_LEASE,
            stop_timeout: Duration::from_millis(900),
            max_lease: Duration::from_secs(6),
            max_early_start: Duration::from_millis(250),
        }
    }
}
