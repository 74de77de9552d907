//! Counts requests in flight, so that the daemon's drain can wait for them.

use std::collections::BTreeSet;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

/// Time after a request's deadline after which a drain no longer waits for it. By then its work has been
/// cancelled, and only a caller that reads nothing can still hold the connection.
pub const DEADLINE_GRACE: Duration = Duration::from_secs(1);

#[derive(Debug, Default)]
struct Flights {
    open: BTreeSet<(Instant, u64)>,
    next: u64,
    last_arrival: Option<Instant>,
}

/// Requests in flight of the whole process.
#[derive(Debug, Clone, Default)]
pub struct InFlightCounter {
    flights: Arc<Mutex<Flights>>,
}

impl InFlightCounter {
    /// Creates a counter at zero.
    pub fn new() -> Self {
        Self::default()
    }

    /// Notes that a request arrived, taken or not.
    pub fn record_arrival(&self, now: Instant) {
        let mut flights = self.flights.lock().unwrap_or_else(PoisonError::into_inner);
        flights.last_arrival = Some(now);
    }

    /// Counts a request until the guard is dropped.
    pub fn enter(&self, deadline: Instant) -> InFlightGuard {
        let mut flights = self.flights.lock().unwrap_or_else(PoisonError::into_inner);
        let entry = (deadline + DEADLINE_GRACE, flights.next);
        flights.next += 1;
        flights.open.insert(entry);
        InFlightGuard {
            counter: self.clone(),
            entry,
        }
    }

    /// Requests for which a drain waits.
    pub fn waiting_for(&self, now: Instant) -> usize {
        let flights = self.flights.lock().unwrap_or_else(PoisonError::into_inner);
        flights.open.range((now, 0)..).count()
    }

    /// When the last request arrived.
    pub fn last_arrival(&self) -> Option<Instant> {
        let flights = self.flights.lock().unwrap_or_else(PoisonError::into_inner);
        flights.last_arrival
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
        let mut flights = self
            .counter
            .flights
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        flights.open.remove(&self.entry);
    }
}
