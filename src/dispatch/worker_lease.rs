//! The lease that covers all runs on a worker. Its deadline is given on the worker's monotonic clock.

use std::time::{Duration, Instant};

/// Lowest rate of a worker's clock relative to the local clock.
const MIN_CLOCK_RATE: f64 = 0.98;

/// Added to the end of a lease to cover rounding to milliseconds.
const END_MARGIN: Duration = Duration::from_millis(50);

/// Latest known reading of a worker's clock and the latest deadline sent to the worker.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct WorkerLease {
    sample: Option<(Instant, u64)>,
    deadline_ms: u64,
    /// Time until which a start command that was sent to the previous incarnation of the worker may still
    /// take effect. Its deadline refers to another clock.
    previous_incarnation_end: Option<Instant>,
}

impl WorkerLease {
    /// Records the worker's clock from a response received at `now`. Responses may arrive out of order, so a
    /// reading below the known lower bound is ignored.
    pub fn observe_clock(&mut self, now: Instant, clock_ms: u64) {
        if self.min_clock(now).is_none_or(|known| clock_ms >= known) {
            self.sample = Some((now, clock_ms));
        }
    }

    /// Lower bound of the worker's clock at `now`. It advances at the lowest rate: a bound that runs ahead of a
    /// slow clock would grant leases that outlast [`Self::max_duration`], on which the next leader relies.
    fn min_clock(&self, now: Instant) -> Option<u64> {
        let (at, clock_ms) = self.sample?;
        let elapsed = now.saturating_duration_since(at).mul_f64(MIN_CLOCK_RATE);
        Some(clock_ms.saturating_add(elapsed.as_millis() as u64))
    }

    /// Extends the lease by at most `lease` on the worker's clock and returns the deadline on that clock, or
    /// `None` if the clock is unknown. A deadline never moves back.
    pub fn grant(&mut self, now: Instant, lease: Duration) -> Option<u64> {
        let deadline = self.min_clock(now)?.saturating_add(lease.as_millis() as u64);
        self.deadline_ms = self.deadline_ms.max(deadline);
        Some(self.deadline_ms)
    }

    /// Whether the clock of the current incarnation has been read.
    pub fn is_known(&self) -> bool {
        self.sample.is_some()
    }

    /// Local time at which the lease has certainly expired if no further command extends it. Absent if the
    /// worker's clock was never read.
    pub fn end(&self) -> Option<Instant> {
        let own_end = self.sample.map(|(at, clock_ms)| {
            let left = Duration::from_millis(self.deadline_ms.saturating_sub(clock_ms));
            at + left.div_f64(MIN_CLOCK_RATE) + END_MARGIN
        });
        own_end.max(self.previous_incarnation_end)
    }

    /// Upper bound of the duration of a lease on the local clock, for example of one granted by another
    /// leader.
    pub fn max_duration(lease: Duration) -> Duration {
        lease.div_f64(MIN_CLOCK_RATE) + END_MARGIN
    }

    /// Discards the clock reading after the worker process restarted. Start commands that were in flight at
    /// that time are valid for at most `max_lease`.
    pub fn reset(&mut self, now: Instant, max_lease: Duration) {
        *self = Self {
            previous_incarnation_end: Some(now + Self::max_duration(max_lease)),
            ..Self::default()
        };
    }
}
