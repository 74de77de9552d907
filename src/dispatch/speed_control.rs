//! Pace of tasks that fill, beside tasks that serve users.
//!
//! Answers serving tails that rise with the work beside them within seconds: the pace falls by a factor while a
//! tail is near its target and rises by a step while all tails are well below, so that fillers use what is left.

use std::time::{Duration, Instant};

/// Tail over target above which the fillers slow down.
const HIGH_TAIL: f64 = 0.85;

/// Tail over target below which the fillers speed up.
const LOW_TAIL: f64 = 0.6;

/// Factor of a slow-down.
const SLOW_DOWN_FACTOR: f64 = 0.5;

/// Step of a speed-up, in percent.
const SPEED_UP_STEP: u32 = 10;

/// Pace below which fillers stand still, in percent.
const MIN_PERCENT: u32 = 10;

/// Time between changes; a tail covers the last half second.
const CHANGE_INTERVAL: Duration = Duration::from_millis(700);

/// Pace of the fillers on one worker.
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
    /// Takes the highest tail over target of the worker's serving tasks; absent if none serves.
    pub fn observe(&mut self, now: Instant, tail: Option<f64>) {
        let is_recent = self
            .changed_at
            .is_some_and(|at| now.saturating_duration_since(at) < CHANGE_INTERVAL);
        if is_recent {
            return;
        }
        let next = match tail {
            None => 100,
            Some(tail) if tail > HIGH_TAIL => {
                let slowed = (f64::from(self.percent) * SLOW_DOWN_FACTOR) as u32;
                if slowed < MIN_PERCENT { 0 } else { slowed }
            }
            Some(tail) if tail < LOW_TAIL => (self.percent + SPEED_UP_STEP).min(100),
            Some(_) => self.percent,
        };
        if next != self.percent {
            self.percent = next;
            self.changed_at = Some(now);
        }
    }

    /// The pace in percent.
    pub fn percent(&self) -> u32 {
        self.percent
    }
}
