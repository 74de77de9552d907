//! Speed of best-effort tasks on workers that they share with tasks that serve users.
//!
//! Handles tail latencies that rise within seconds when best-effort tasks run on the same worker. The control
//! is additive increase, multiplicative decrease: the speed falls by a factor while a tail latency is near
//! its target, and rises by a step while all of them are well below, so that best-effort tasks use the
//! capacity that is left.

use std::time::{Duration, Instant};

/// Ratio of tail latency to target above which best-effort tasks slow down.
const HIGH_LATENCY_RATIO: f64 = 0.85;

/// Ratio of tail latency to target below which best-effort tasks speed up.
const LOW_LATENCY_RATIO: f64 = 0.6;

/// Factor on the speed in a slow-down.
const SLOW_DOWN_FACTOR: f64 = 0.5;

/// Increase of the speed in a speed-up, in percent of full speed.
const SPEED_UP_STEP: u32 = 10;

/// Speed below which best-effort tasks are suspended, in percent of full speed.
const MIN_PERCENT: u32 = 10;

/// Shortest time between two changes; a reported tail latency covers the last half second.
const CHANGE_INTERVAL: Duration = Duration::from_millis(700);

/// Speed of the best-effort tasks on one worker.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct SpeedControl {
    percent: u32,
    changed_at: Option<Instant>,
}

impl Default for SpeedControl {
    fn default() -> Self {
        Self {
            percent: 100,
            changed_at: None,
        }
    }
}

impl SpeedControl {
    /// Adjusts the speed to the highest ratio of tail latency to target among the worker's tasks; without
    /// such a task `latency_ratio` is absent and the speed returns to 100 %.
    pub fn observe(&mut self, now: Instant, latency_ratio: Option<f64>) {
        let is_recent = self
            .changed_at
            .is_some_and(|at| now.saturating_duration_since(at) < CHANGE_INTERVAL);
        if is_recent {
            return;
        }
        let next = match latency_ratio {
            None => 100,
            Some(ratio) if ratio > HIGH_LATENCY_RATIO => {
                let slowed = (f64::from(self.percent) * SLOW_DOWN_FACTOR) as u32;
                if slowed < MIN_PERCENT { 0 } else { slowed }
            }
            Some(ratio) if ratio < LOW_LATENCY_RATIO => (self.percent + SPEED_UP_STEP).min(100),
            Some(_) => self.percent,
        };
        if next != self.percent {
            self.percent = next;
            self.changed_at = Some(now);
        }
    }

    /// Speed in percent of full speed; 0 suspends the tasks.
    pub fn percent(&self) -> u32 {
        self.percent
    }
}
