//! The clock interface. Decisions receive times as arguments; only shells hold a clock.

use std::fmt;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant, SystemTime};

/// Source of monotonic and wall-clock time.
pub trait ClockSource: fmt::Debug + Send + Sync {
    /// Monotonic time, for intervals and deadlines.
    fn now(&self) -> Instant;
    /// Wall-clock time, for records and the audit trail.
    fn wall_time(&self) -> SystemTime;
    /// Time since the system's start, including the time for which it was suspended, for leases that others may
    /// take over meanwhile.
    fn since_boot(&self) -> Duration;
}

/// Clock shared by the parts of one process.
pub type SharedClock = Arc<dyn ClockSource>;

/// The operating system's clock.
#[derive(Debug, Clone, Copy, Default)]
pub struct SystemClock;

impl ClockSource for SystemClock {
    fn now(&self) -> Instant {
        Instant::now()
    }

    fn wall_time(&self) -> SystemTime {
        SystemTime::now()
    }

    fn since_boot(&self) -> Duration {
        let time = rustix::time::clock_gettime(rustix::time::ClockId::Boottime);
        Duration::new(time.tv_sec as u64, time.tv_nsec as u32)
    }
}

/// Clock that moves only when told to, for tests and benches.
#[derive(Debug)]
pub struct ManualClock {
    start: Instant,
    elapsed: Mutex<Duration>,
}

impl ManualClock {
    /// Creates a clock with no time elapsed.
    pub fn new() -> Self {
        Self {
            start: Instant::now(),
            elapsed: Mutex::new(Duration::ZERO),
        }
    }

    /// Moves the clock forward.
    pub fn advance(&self, step: Duration) {
        let mut elapsed = self.elapsed.lock().unwrap_or_else(PoisonError::into_inner);
        *elapsed += step;
    }

    /// Time elapsed since creation.
    pub fn elapsed(&self) -> Duration {
        *self.elapsed.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Default for ManualClock {
    fn default() -> Self {
        Self::new()
    }
}

impl ClockSource for ManualClock {
    fn now(&self) -> Instant {
        self.start + self.elapsed()
    }

    fn wall_time(&self) -> SystemTime {
        SystemTime::UNIX_EPOCH + self.elapsed()
    }

    fn since_boot(&self) -> Duration {
        self.elapsed()
    }
}
