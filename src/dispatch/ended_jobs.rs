//! Jobs that ended a short while ago.

use std::collections::{BTreeSet, VecDeque};

use crate::model::id::JobId;

/// Jobs remembered; several minutes of the load that one pool can carry.
const MAX_JOBS: usize = 8_192;

/// The jobs that ended last.
#[derive(Debug, Clone, Default)]
pub struct EndedJobs {
    jobs: BTreeSet<JobId>,
    order: VecDeque<JobId>,
}

impl EndedJobs {
    /// Adds a job; the oldest is forgotten where there are too many.
    pub fn insert(&mut self, job: JobId) {
        if !self.jobs.insert(job.clone()) {
            return;
        }
        self.order.push_back(job);
        if self.order.len() > MAX_JOBS
            && let Some(oldest) = self.order.pop_front()
        {
            self.jobs.remove(&oldest);
        }
    }

    /// Whether a job is remembered.
    pub fn contains(&self, job: &JobId) -> bool {
        self.jobs.contains(job)
    }
}
