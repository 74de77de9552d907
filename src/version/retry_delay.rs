//! Exponential back-off with jitter.

use std::time::Duration;

use rand::Rng;

/// Delays between attempts. Each is random between half of a bound and the bound, which doubles after each
/// delay up to a limit.
#[derive(Debug, Clone)]
pub struct RetryDelay {
    first: Duration,
    limit: Duration,
    next: Duration,
}

impl RetryDelay {
    /// Creates delays with the initial bound `first` and the largest bound `limit`.
    pub fn new(first: Duration, limit: Duration) -> Self {
        Self {
            first,
            limit,
            next: first,
        }
    }

    /// Draws the delay before the next attempt and doubles the bound.
    pub fn next_delay(&mut self, random: &mut impl Rng) -> Duration {
        let bound = self.next;
        self.next = (bound * 2).min(self.limit);
        bound.mul_f64(random.random_range(0.5..=1.0))
    }

    /// Resets the bound to its initial value, after a success.
    pub fn reset(&mut self) {
        self.next = self.first;
    }
}
