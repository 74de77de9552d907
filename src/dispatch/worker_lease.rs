//! The lease of everything that runs on a worker, measured on the worker's steady clock.

use std::time::{Duration, Instant};

/// A worker's clock may be this much slower than the own one.
const MIN_CLOCK_RATE: f64 = 0.98;

/// Added to the end of a lease for rounding on the way.
const END_MARGIN: Duration = Duration::from_millis(50);

/// What is known of a worker's clock and of the latest deadline sent to it.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct WorkerLease {
    sample: Option<(Instant, u64)>,
    deadline_ms: u64,
    /// Time until which a start meant for a former life of the worker may hold: its deadline was counted on another
    /// clock.
    previous_incarnation_end: Option<Instant>,
}

impl WorkerLease {
    /// Takes the clock from an answer received at `now`; answers may overtake each other, so the latest counts.
    pub fn observe_clock(&mut self, now: Instant, clock_ms: u64) {
        let is_newer = self
            .expected_clock(now)
            .is_none_or(|expected| clock_ms + 50 >= expected);
        if is_newer {
            self.sample = Some((now, clock_ms));
        }
    }

    fn expected_clock(&self, now: Instant) -> Option<u64> {
        let (at, clock_ms) = self.sample?;
        Some(clock_ms + now.saturating_duration_since(at).as_millis() as u64)
    }

    /// Deadline to send at `now` for a lease; absent if the worker's clock is not known.
    pub fn grant(&mut self, now: Instant, lease: Duration) -> Option<u64> {
        let deadline = self.expected_clock(now)? + lease.as_millis() as u64;
        self.deadline_ms = self.deadline_ms.max(deadline);
        Some(self.deadline_ms)
    }

    /// Whether the worker's clock is known.
    pub fn is_known(&self) -> bool {
        self.sample.is_some()
    }

    /// Time at which every lease has certainly ended, if no order follows.
    pub fn end(&self) -> Option<Instant> {
        let own_end = self.sample.map(|(at, clock_ms)| {
            let left = Duration::from_millis(self.deadline_ms.saturating_sub(clock_ms));
            at + left.div_f64(MIN_CLOCK_RATE) + END_MARGIN
        });
        own_end.max(self.previous_incarnation_end)
    }

    /// Longest time for which a lease granted by anyone can last.
    pub fn max_duration(lease: Duration) -> Duration {
        lease.div_f64(MIN_CLOCK_RATE) + END_MARGIN
    }

    /// Forgets the clock after the worker started again. Starts that were under way then hold for `longest` at most.
    pub fn reset(&mut self, now: Instant, longest: Duration) {
        *self = Self {
            previous_incarnation_end: Some(now + Self::max_duration(longest)),
            ..Self::default()
        };
    }
}
