//! Takeover of a pool by a new leader: until every worker has reported all its runs, some that the previous leader
//! started may be unknown.

use std::collections::BTreeSet;
use std::time::{Duration, Instant};

use crate::dispatch::worker_lease::WorkerLease;
use crate::model::id::WorkerId;

/// Time for which a former leader may continue to act after its lease has ended, before it notices.
const FORMER_LEADER_MARGIN: Duration = Duration::from_millis(500);

/// Workers that may run tasks which the new leader does not know of yet.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct TakeoverState {
    /// Workers that have not answered.
    unreported: BTreeSet<WorkerId>,
    /// Workers that have answered, but have not listed all runs that have ended.
    listing: BTreeSet<WorkerId>,
    deadline: Option<Instant>,
}

impl TakeoverState {
    /// Starts a takeover. `unreported` holds all workers of the previous leader; at `deadline` their leases
    /// have certainly expired.
    pub fn new(unreported: BTreeSet<WorkerId>, deadline: Instant) -> Self {
        Self {
            unreported,
            listing: BTreeSet::new(),
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

    /// Records that a worker has listed all its runs, or that nothing more will be known of them.
    pub fn mark_reported(&mut self, worker: &WorkerId) {
        self.unreported.remove(worker);
        self.listing.remove(worker);
    }

    /// Records that a worker has answered, but has not listed all its runs.
    pub fn mark_listing(&mut self, worker: &WorkerId) {
        if self.unreported.remove(worker) {
            self.listing.insert(worker.clone());
        }
    }

    /// Records that a worker will not list the rest of its runs.
    pub fn end_listing(&mut self, worker: &WorkerId) {
        self.listing.remove(worker);
    }

    /// Whether tasks of jobs accepted in an earlier term may be running, or have ended, unknown to the leader. The end
    /// of the leases says nothing about the ends that a worker still has to list.
    pub fn is_pending(&self, now: Instant) -> bool {
        !self.listing.is_empty() || self.is_awaiting_answers(now)
    }

    fn is_awaiting_answers(&self, now: Instant) -> bool {
        !self.unreported.is_empty() && self.deadline.is_some_and(|deadline| now < deadline)
    }

    /// Time after which no unknown run can exist; absent if every worker has reported.
    pub fn deadline(&self) -> Option<Instant> {
        self.deadline.filter(|_| !self.unreported.is_empty())
    }

    /// Time at which the leases that the previous leader granted have certainly expired; absent without a takeover.
    pub fn former_leases_end(&self) -> Option<Instant> {
        self.deadline
    }

    /// Workers that have not listed all their runs yet, some of which may be unknown to the leader.
    pub fn unreported(&self, now: Instant) -> impl Iterator<Item = &WorkerId> {
        self.unanswered(now).chain(&self.listing)
    }

    /// Workers that have not answered, of whose runs nothing is known.
    pub fn unanswered(&self, now: Instant) -> impl Iterator<Item = &WorkerId> {
        let is_awaiting = self.is_awaiting_answers(now);
        self.unreported.iter().filter(move |_| is_awaiting)
    }

    /// Number of workers that have not listed all their runs yet.
    pub fn unreported_count(&self) -> usize {
        self.unreported.len() + self.listing.len()
    }
}
