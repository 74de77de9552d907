//! The virtual clock of the runtime as a clock of figloft.

use std::time::{Duration, Instant, SystemTime};

use figloft::clock::ClockSource;

/// Follows the paused time of the tokio runtime.
#[derive(Debug)]
pub struct RuntimeClock {
    start: tokio::time::Instant,
}

impl RuntimeClock {
    pub fn new() -> Self {
        Self {
            start: tokio::time::Instant::now(),
        }
    }
}

impl ClockSource for RuntimeClock {
    fn now(&self) -> Instant {
        tokio::time::Instant::now().into_std()
    }

    fn wall_time(&self) -> SystemTime {
        // Far enough from 1970 that ages can be subtracted.
        SystemTime::UNIX_EPOCH + Duration::from_secs(1_000_000) + self.start.elapsed()
    }

    fn since_boot(&self) -> Duration {
        self.start.elapsed()
    }
}
