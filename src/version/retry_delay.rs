//! Exponential back-off with jitter.

use std::time::Duration;

use rand::Rng;

/// Delays between tries: each is drawn between half and the whole of a bound that doubles up to a limit.
#[derive(Debug, Clone)]
pub struct RetryDelay {
    first: Duration,
    limit: Duration,
    next: Duration,
}

impl RetryDelay {
    /// Creates delays that start at `first` and are at most `limit`.
    pub fn new(first: Duration, limit: Duration) -> Self {
        Self {
            first,
            limit,
            next: first,
        }
    }

    /// The delay before the next try.
    pub fn next_delay(&mut self, random: &mut impl Rng) -> Duration {
        let bound = self.next;
        self.next = (bound * 2).min(self.limit);
        bound.mul_f64(random.random_range(0.5..=1.0))
    }

    /// Starts again after a success.
    pub fn reset(&mut self) {
        self.next = self.first;
    }
}
