//! Durations that the platform prescribes to the scheduler of a pool.

use std::time::Duration;

/// Durations on which the scheduler of a pool relies; the settings of the node derive them from the
/// platform's bounds.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct SchedulerTiming {
    /// Lease that a start or a poll grants to all runs of a worker.
    pub lease: Duration,
    /// Longest time after which a stop has taken effect.
    pub stop_timeout: Duration,
    /// Longest lease that a worker accepts, whatever a command requests.
    pub max_lease: Duration,
    /// Longest time before its due time at which an occurrence of a scheduled job may start.
    pub max_early_start: Duration,
    /// Time for which the members of a gang wait on their workers for the others before they end on their own.
    pub gang_wait: Duration,
}

/// Lease that is requested if the platform allows it. Tasks survive a store outage of this length less the
/// leadership lease; tasks on a lost worker are restarted once it has expired.
pub const DEFAULT_LEASE: Duration = Duration::from_millis(4_500);

impl Default for SchedulerTiming {
    fn default() -> Self {
        Self {
            lease: DEFAULT_LEASE,
            stop_timeout: Duration::from_millis(900),
            max_lease: Duration::from_secs(6),
            max_early_start: Duration::from_millis(250),
            gang_wait: Duration::from_secs(3),
        }
    }
}
