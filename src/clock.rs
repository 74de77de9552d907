//! The clock interface. Decision logic receives times as arguments; only the code that does I/O holds a
//! clock.

use std::fmt;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant, SystemTime};

/// Source of monotonic and wall-clock time.
pub trait ClockSource: fmt::Debug + Send + Sync {
    /// Monotonic time, for intervals and deadlines.
    fn now(&self) -> Instant;
    /// Wall-clock time, for records and the audit trail. It can jump, also backwards.
    fn wall_time(&self) -> SystemTime;
    /// Time since the system's start, including the time for which it was suspended. Leases are measured with
    /// it, because another process can acquire an expired lease while this system is suspended.
    fn since_boot(&self) -> Duration;
}

/// Clock that all parts of a process share.
pub type SharedClock = Arc<dyn ClockSource>;

/// The clocks of the operating system.
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

/// Clock that advances only by calls to [`ManualClock::advance`], for tests and benches. Its wall-clock time
/// starts at the Unix epoch, its time since boot at zero.
#[derive(Debug)]
pub struct ManualClock {
    start: Instant,
    elapsed: Mutex<Duration>,
}

impl ManualClock {
    /// Creates a clock with an elapsed time of zero.
    pub fn new() -> Self {
        Self {
            start: Instant::now(),
            elapsed: Mutex::new(Duration::ZERO),
        }
    }

    /// Moves all times of the clock forward by `step`.
    pub fn advance(&self, step: Duration) {
        let mut elapsed = self.elapsed.lock().unwrap_or_else(PoisonError::into_inner);
        *elapsed += step;
    }

    /// Sum of all steps so far.
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
