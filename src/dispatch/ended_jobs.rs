//! Bounded record of the jobs that ended last, which keeps them from being accepted again.

use std::collections::{BTreeSet, VecDeque};

use crate::model::id::JobId;

/// Upper bound of the record; several minutes of the highest load of one pool.
const MAX_JOBS: usize = 8_192;

/// Ids of the jobs that ended last.
#[derive(Debug, Clone, Default)]
pub struct EndedJobs {
    jobs: BTreeSet<JobId>,
    order: VecDeque<JobId>,
}

impl EndedJobs {
    /// Adds a job and evicts the oldest one if the record is full.
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

    /// Whether the record still holds a job.
    pub fn contains(&self, job: &JobId) -> bool {
        self.jobs.contains(job)
    }
}
