//! Sliding-window maximum of the demand for one pool.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// Maximum demand within a sliding window, and how long a shortage has lasted without a break.
#[derive(Debug, Clone, Default)]
pub struct DemandWindow {
    /// Monotonic queue: the demand of each sample is above that of all later ones.
    max: VecDeque<(Instant, f64)>,
    shortage_since: Option<Instant>,
}

impl DemandWindow {
    /// Adds a sample and drops samples older than `length`.
    pub fn observe(&mut self, now: Instant, wanted: f64, is_short: bool, length: Duration) {
        while self.max.back().is_some_and(|(_, sample)| *sample <= wanted) {
            self.max.pop_back();
        }
        self.max.push_back((now, wanted));
        while self.max.front().is_some_and(|(at, _)| *at + length < now) {
            self.max.pop_front();
        }
        self.shortage_since = is_short.then_some(self.shortage_since.unwrap_or(now));
    }

    /// Maximum demand in the window, in slots; 0 without samples.
    pub fn max(&self) -> f64 {
        self.max.front().map_or(0.0, |(_, sample)| *sample)
    }

    /// Time since the first sample of the current shortage; absent if the last sample showed none.
    pub fn shortage_time(&self, now: Instant) -> Option<Duration> {
        self.shortage_since.map(|since| now - since)
    }
}
