//! Counts requests in flight, so that a draining daemon can wait for them.

use std::collections::BTreeSet;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

/// Time after a request's deadline during which a drain still waits for it. When it has passed, the work has
/// been cancelled, and only a caller that does not read its response can still hold the connection.
pub const DEADLINE_GRACE: Duration = Duration::from_secs(1);

#[derive(Debug, Default)]
struct InFlightState {
    /// When a drain stops waiting for each request, with a number that tells equal times apart.
    expiries: BTreeSet<(Instant, u64)>,
    next_number: u64,
    last_arrival: Option<Instant>,
}

/// Requests in flight in this process. Clones share one count.
#[derive(Debug, Clone, Default)]
pub struct InFlightCounter {
    state: Arc<Mutex<InFlightState>>,
}

impl InFlightCounter {
    /// Creates a counter without requests.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records that a request arrived, whether it is accepted or not.
    pub fn record_arrival(&self, now: Instant) {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        state.last_arrival = Some(now);
    }

    /// Counts a request as in flight until the returned guard is dropped.
    pub fn track(&self, deadline: Instant) -> InFlightGuard {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        let entry = (deadline + DEADLINE_GRACE, state.next_number);
        state.next_number += 1;
        state.expiries.insert(entry);
        InFlightGuard {
            counter: self.clone(),
            entry,
        }
    }

    /// Number of requests for which a drain has to wait: those whose deadline and [`DEADLINE_GRACE`] have not
    /// passed.
    pub fn unexpired_count(&self, now: Instant) -> usize {
        let state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        state.expiries.range((now, 0)..).count()
    }

    /// When the last request arrived; `None` before the first one.
    pub fn last_arrival(&self) -> Option<Instant> {
        let state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        state.last_arrival
    }
}

/// Counts one request as in flight until it is dropped.
#[derive(Debug)]
pub struct InFlightGuard {
    counter: InFlightCounter,
    entry: (Instant, u64),
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        let mut state = self.counter.state.lock().unwrap_or_else(PoisonError::into_inner);
        state.expiries.remove(&self.entry);
    }
}
