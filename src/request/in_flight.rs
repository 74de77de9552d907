//! Counts requests in flight, so that the daemon's drain can wait for them.

use std::collections::BTreeSet;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

/// Time after a request's deadline after which a drain no longer waits for it. By then its work has been
/// cancelled, and only a caller that reads nothing can still hold the connection.
pub const DEADLINE_GRACE: Duration = Duration::from_secs(1);

#[derive(Debug, Default)]
struct InFlightState {
    deadlines: BTreeSet<(Instant, u64)>,
    next_number: u64,
    last_arrival: Option<Instant>,
}

/// Requests in flight of the whole process.
#[derive(Debug, Clone, Default)]
pub struct InFlightCounter {
    state: Arc<Mutex<InFlightState>>,
}

impl InFlightCounter {
    /// Creates a counter at zero.
    pub fn new() -> Self {
        Self::default()
    }

    /// Notes that a request arrived, taken or not.
    pub fn record_arrival(&self, now: Instant) {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        state.last_arrival = Some(now);
    }

    /// Counts a request until the guard is dropped.
    pub fn track(&self, deadline: Instant) -> InFlightGuard {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        let entry = (deadline + DEADLINE_GRACE, state.next_number);
        state.next_number += 1;
        state.deadlines.insert(entry);
        InFlightGuard {
            counter: self.clone(),
            entry,
        }
    }

    /// Requests for which a drain waits.
    pub fn unexpired_count(&self, now: Instant) -> usize {
        let state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        state.deadlines.range((now, 0)..).count()
    }

    /// When the last request arrived.
    pub fn last_arrival(&self) -> Option<Instant> {
        let state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        state.last_arrival
    }
}

/// A request in flight.
#[derive(Debug)]
pub struct InFlightGuard {
    counter: InFlightCounter,
    entry: (Instant, u64),
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        let mut state = self.counter.state.lock().unwrap_or_else(PoisonError::into_inner);
        state.deadlines.remove(&self.entry);
    }
}
