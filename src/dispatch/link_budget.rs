//! Limits the start commands of a leader to a part of its instance's link.
//!
//! Handles load peaks on narrow links. Every start carries the payload of its job; without a limit, starts queue
//! up on the link for longer than their timeout, and polls and lease renewals behind them arrive too late, so that
//! running tasks lose their lease.

use std::time::{Duration, Instant};

use crate::model::amount::ByteCount;

/// Part of the link that starts may use. The rest is for polls, renewals, writes and callers.
const START_SHARE: f64 = 0.7;

/// Time at the full rate for which unused bytes are kept; it bounds the queue on the link.
const BURST: Duration = Duration::from_millis(100);

/// Token bucket in bytes. A command may overdraw it, and the next one then waits until the debt is paid.
#[derive(Debug, Clone, Copy, Default)]
pub struct LinkBudget {
    /// Bytes per second; absent if the link is not limited.
    rate: Option<f64>,
    available: f64,
    refilled_at: Option<Instant>,
}

impl LinkBudget {
    /// Budget for a link of `bytes_per_second`.
    pub fn new(bytes_per_second: ByteCount) -> Self {
        let rate = bytes_per_second.get() as f64 * START_SHARE;
        Self {
            rate: Some(rate),
            available: rate * BURST.as_secs_f64(),
            refilled_at: None,
        }
    }

    /// Whether a command may be sent at `now`.
    pub fn has_room(&mut self, now: Instant) -> bool {
        let Some(rate) = self.rate else {
            return true;
        };
        let last = self.refilled_at.replace(now).unwrap_or(now);
        let refill = now.saturating_duration_since(last).as_secs_f64() * rate;
        self.available = (self.available + refill).min(rate * BURST.as_secs_f64());
        self.available > 0.0
    }

    /// Counts a command that is sent.
    pub fn spend(&mut self, bytes: usize) {
        if self.rate.is_some() {
            self.available -= bytes as f64;
        }
    }

    /// Time at which a command may be sent again; absent if there is room.
    pub fn next_room(&self) -> Option<Instant> {
        let rate = self.rate.filter(|rate| *rate > 0.0 && self.available <= 0.0)?;
        let wait = Duration::from_secs_f64((1.0 - self.available) / rate);
        Some(self.refilled_at? + wait)
    }
}
