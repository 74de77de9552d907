//! Bounds that the platform sets for a scheduler.

use std::time::Duration;

/// Bounds and times of a pool's scheduler.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct SchedulerRules {
    /// Lease that an order grants to everything on a worker.
    pub lease: Duration,
    /// Longest time in which a stop takes effect.
    pub stop_time: Duration,
    /// Time after which a task that is not at work counts as away.
    pub notice_time: Duration,
    /// Factor by which a task is slower away from its data.
    pub far_factor: f64,
    /// Time that a start from a checkpoint needs.
    pub restore_time: Duration,
    /// Earliest start of an occurrence before its due time.
    pub early_time: Duration,
    /// Time for which a gang waits for its members on a worker.
    pub gang_time: Duration,
}

/// Longest lease that is asked for. Tasks survive an outage of the store of this length less the lease of the
/// duty; tasks on a lost worker are started again after it.
pub const LONGEST_LEASE: Duration = Duration::from_millis(4_500);

impl Default for SchedulerRules {
    fn default() -> Self {
        Self {
            lease: LONGEST_LEASE,
            stop_time: Duration::from_millis(900),
            notice_time: Duration::from_millis(4_500),
            far_factor: 1.5,
            restore_time: Duration::from_millis(600),
            early_time: Duration::from_millis(250),
            gang_time: Duration::from_secs(3),
        }
    }
}
