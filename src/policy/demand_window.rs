//! Recent demand of one pool.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// Demand of the last while and how long a shortage has lasted.
#[derive(Debug, Clone, Default)]
pub struct DemandWindow {
    /// Samples in falling order of demand: each is higher than all later ones.
    max: VecDeque<(Instant, f64)>,
    shortage_since: Option<Instant>,
}

impl DemandWindow {
    /// Takes a sample; samples older than `window` no longer count.
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

    /// Highest demand of the window.
    pub fn max(&self) -> f64 {
        self.max.front().map_or(0.0, |(_, sample)| *sample)
    }

    /// Time for which each sample showed a shortage.
    pub fn shortage_time(&self, now: Instant) -> Option<Duration> {
        self.shortage_since.map(|since| now - since)
    }
}
