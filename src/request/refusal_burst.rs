//! Decides which refusals of callers are logged.
//!
//! Load: thousands of refusals a second.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// Minimum time between two log lines with the same server and reason.
const LINE_INTERVAL: Duration = Duration::from_secs(1);

/// A server's name and a reason.
pub type RefusalKey = (&'static str, &'static str);

#[derive(Debug, Default)]
struct Burst {
    last_line: Option<Instant>,
    unlogged: u64,
}

/// Counts refusals between log lines.
#[derive(Debug, Default)]
pub struct RefusalBursts {
    bursts: BTreeMap<RefusalKey, Burst>,
}

impl RefusalBursts {
    /// Counts a refusal. Returns the number of refusals since the last line if a line is to be written.
    pub fn record(&mut self, key: RefusalKey, now: Instant) -> Option<u64> {
        let burst = self.bursts.entry(key).or_default();
        burst.unlogged += 1;
        let is_due = burst
            .last_line
            .is_none_or(|last| now.saturating_duration_since(last) >= LINE_INTERVAL);
        if !is_due {
            return None;
        }
        burst.last_line = Some(now);
        Some(std::mem::take(&mut burst.unlogged))
    }
}
