//! Decides when a caller sends a body too slowly.
//!
//! Load: callers that stop short of the end of a body, or send it byte by byte, and keep the connection open.

use std::time::Duration;

/// Time for which no rate is required: the load balancer may pause a connection for a second or two.
const GRACE: Duration = Duration::from_secs(2);
/// Average rate after that. The largest body takes less than a second on the slowest link of a caller, which has
/// more than a hundred times this rate.
const MIN_BYTES_PER_SECOND: u64 = 1_024;

/// Progress of one body. Only the time spent waiting for the caller counts.
#[derive(Debug, Default)]
pub struct BodyPace {
    waited: Duration,
    received: u64,
}

impl BodyPace {
    /// Adds bytes that arrived after `waited`.
    pub fn add(&mut self, bytes: u64, waited: Duration) {
        self.received += bytes;
        self.waited += waited;
    }

    /// Time for which the caller may now send nothing; zero if it has been too slow.
    pub fn time_left(&self) -> Duration {
        let paid = Duration::from_millis(self.received.saturating_mul(1_000) / MIN_BYTES_PER_SECOND);
        paid.max(GRACE).saturating_sub(self.waited)
    }
}
