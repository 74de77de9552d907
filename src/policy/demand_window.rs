//! Recent demand of one pool.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// Demand of the last while and how long a shortage has lasted.
#[derive(Debug, Clone, Default)]
pub struct DemandWindow {
    /// Samples in falling order of demand: each is higher than all later ones.
    highest: VecDeque<(Instant, f64)>,
    short_since: Option<Instant>,
}

impl DemandWindow {
    /// Takes a sample; samples older than `window` no longer count.
    pub fn observe(&mut self, now: Instant, wanted: f64, is_short: bool, window: Duration) {
        while self.highest.back().is_some_and(|(_, sample)| *sample <= wanted) {
            self.highest.pop_back();
        }
        self.highest.push_back((now, wanted));
        while self.highest.front().is_some_and(|(at, _)| *at + window < now) {
            self.highest.pop_front();
        }
        self.short_since = is_short.then_some(self.short_since.unwrap_or(now));
    }

    /// Highest demand of the window.
    pub fn highest(&self) -> f64 {
        self.highest.front().map_or(0.0, |(_, sample)| *sample)
    }

    /// Time for which each sample showed a shortage.
    pub fn short_for(&self, now: Instant) -> Option<Duration> {
        self.short_since.map(|since| now - since)
    }
}
