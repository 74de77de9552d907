//! Takeover of a pool by a new leader: until every worker has reported, runs that the previous leader started
//! may be unknown.

use std::collections::BTreeSet;
use std::time::{Duration, Instant};

use crate::dispatch::worker_lease::WorkerLease;
use crate::model::id::WorkerId;

/// Time for which a former leader may continue to act after its lease has ended, before it notices.
const FORMER_LEADER_MARGIN: Duration = Duration::from_millis(500);

/// Workers that may run tasks which the new leader does not know of yet.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct TakeoverState {
    unreported: BTreeSet<WorkerId>,
    deadline: Option<Instant>,
}

impl TakeoverState {
    /// Starts a takeover. `unreported` holds all workers of the previous leader; at `deadline` their leases
    /// have certainly expired.
    pub fn new(unreported: BTreeSet<WorkerId>, deadline: Instant) -> Self {
        Self {
            unreported,
            deadline: Some(deadline),
        }
    }

    /// Starts a takeover at `now` from a leader that granted the workers leases of length `lease`.
    pub fn from_former_leader(now: Instant, unreported: BTreeSet<WorkerId>, lease: Duration) -> Self {
        let deadline = now + WorkerLease::max_duration(lease) + FORMER_LEADER_MARGIN;
        Self::new(unreported, deadline)
    }

    /// Adds a worker that the previous leader did not report. The default state, without a takeover, stays
    /// empty.
    pub fn expect(&mut self, worker: &WorkerId) {
        if self.deadline.is_some() {
            self.unreported.insert(worker.clone());
        }
    }

    /// Records that a worker has listed its runs.
    pub fn mark_reported(&mut self, worker: &WorkerId) {
        self.unreported.remove(worker);
    }

    /// Whether tasks of jobs accepted in an earlier term may be running unknown to the leader.
    pub fn is_pending(&self, now: Instant) -> bool {
        !self.unreported.is_empty() && self.deadline.is_some_and(|deadline| now < deadline)
    }

    /// Time after which no unknown run can exist; absent if every worker has reported.
    pub fn deadline(&self) -> Option<Instant> {
        self.deadline.filter(|_| !self.unreported.is_empty())
    }

    /// Workers that have not reported yet and may run tasks unknown to the leader.
    pub fn unreported(&self, now: Instant) -> impl Iterator<Item = &WorkerId> {
        let is_pending = self.is_pending(now);
        self.unreported.iter().filter(move |_| is_pending)
    }

    /// Number of workers that have not reported yet.
    pub fn unreported_count(&self) -> usize {
        self.unreported.len()
    }
}
