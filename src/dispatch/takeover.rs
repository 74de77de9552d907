//! The time after a take-over in which runs of the former holder may be unknown.

use std::collections::BTreeSet;
use std::time::Instant;

use crate::model::id::WorkerId;

/// Workers that may run tasks of which the new holder has not heard.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct TakeoverState {
    unseen: BTreeSet<WorkerId>,
    until: Option<Instant>,
}

impl TakeoverState {
    /// Starts with all workers of the former holder; at `until` their leases have certainly ended.
    pub fn new(unseen: BTreeSet<WorkerId>, until: Instant) -> Self {
        Self {
            unseen,
            until: Some(until),
        }
    }

    /// Adds a worker of which the new holder has just heard.
    pub fn expect(&mut self, worker: &WorkerId) {
        if self.until.is_some() {
            self.unseen.insert(worker.clone());
        }
    }

    /// Notes that a worker has listed what it runs.
    pub fn see(&mut self, worker: &WorkerId) {
        self.unseen.remove(worker);
    }

    /// Whether tasks of older jobs may run unknown to the holder.
    pub fn is_open(&self, now: Instant) -> bool {
        !self.unseen.is_empty() && self.until.is_some_and(|until| now < until)
    }

    /// Time at which nothing is unknown any more.
    pub fn end(&self) -> Option<Instant> {
        self.until.filter(|_| !self.unseen.is_empty())
    }

    /// Number of workers that have not been heard.
    pub fn unseen(&self) -> usize {
        self.unseen.len()
    }
}
