//! The time after a take-over in which runs of the former holder may be unknown.

use std::collections::BTreeSet;
use std::time::Instant;

use crate::model::id::WorkerId;

/// Workers that may run tasks of which the new holder has not heard.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct TakeoverState {
    unreported: BTreeSet<WorkerId>,
    deadline: Option<Instant>,
}

impl TakeoverState {
    /// Starts with all workers of the former holder; at `until` their leases have certainly ended.
    pub fn new(unreported: BTreeSet<WorkerId>, deadline: Instant) -> Self {
        Self {
            unreported,
            deadline: Some(deadline),
        }
    }

    /// Adds a worker of which the new holder has just heard.
    pub fn expect(&mut self, worker: &WorkerId) {
        if self.deadline.is_some() {
            self.unreported.insert(worker.clone());
        }
    }

    /// Notes that a worker has listed what it runs.
    pub fn mark_reported(&mut self, worker: &WorkerId) {
        self.unreported.remove(worker);
    }

    /// Whether tasks of older jobs may run unknown to the holder.
    pub fn is_pending(&self, now: Instant) -> bool {
        !self.unreported.is_empty() && self.deadline.is_some_and(|deadline| now < deadline)
    }

    /// Time at which nothing is unknown any more.
    pub fn deadline(&self) -> Option<Instant> {
        self.deadline.filter(|_| !self.unreported.is_empty())
    }

    /// Number of workers that have not been heard.
    pub fn unreported_count(&self) -> usize {
        self.unreported.len()
    }
}
