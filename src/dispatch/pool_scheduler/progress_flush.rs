//! What has to be stored, in the order of the changes.

use crate::dispatch::job_record::{JobProgress, JobSummary};
use crate::dispatch::pool_scheduler::PoolScheduler;
use crate::model::id::JobId;
use crate::model::unix_time::UnixMillis;

/// Writes of one job.
#[derive(Debug, Clone, PartialEq)]
pub struct JobWrite {
    /// The job.
    pub job: JobId,
    /// Its state, if that has changed.
    pub head: Option<JobSummary>,
    /// Its progress; absent if the job is over, so that its records are deleted.
    pub progress: Option<JobProgress>,
    /// Whether a cancellation is stored with it.
    pub is_cancelled: bool,
}

/// Writes that go to the store together.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct FlushBatch {
    /// Jobs.
    pub jobs: Vec<JobWrite>,
    /// Cancellations of jobs that are over, to be deleted.
    pub stale_cancels: Vec<JobId>,
}

impl PoolScheduler {
    /// Highest change up to which all changes are stored.
    pub(super) fn last_durable_change(&self) -> u64 {
        let waiting = self.unflushed.keys().next();
        let flushing = self.flushing.keys().next();
        let first = waiting.into_iter().chain(flushing).min();
        first.map_or(self.last_change, |first| first - 1)
    }

    /// Whether something has to be stored.
    pub fn has_changes(&self) -> bool {
        !self.unflushed.is_empty() || !self.stale_cancels.is_empty()
    }

    /// Takes the oldest changes. [`Self::confirm_flush`] has to follow before the next call.
    pub fn take_flush(&mut self, wall_time: UnixMillis, max_jobs: usize) -> FlushBatch {
        let mut batch = FlushBatch::default();
        while batch.jobs.len() < max_jobs
            && let Some((change, id)) = self.unflushed.pop_first()
        {
            self.flushing.insert(change, id.clone());
            let Some(job) = self.jobs.get_mut(&id) else {
                continue;
            };
            job.oldest_unsaved_change = None;
            let head = job.has_unsaved_state.then(|| job.summary(wall_time));
            job.has_unsaved_state = false;
            batch.jobs.push(JobWrite {
                job: id,
                head,
                progress: (!job.state.is_final()).then(|| job.progress()),
                is_cancelled: job.is_cancelled,
            });
        }
        let room = max_jobs - batch.jobs.len();
        let stale = self.stale_cancels.len().min(room);
        batch.stale_cancels = self.stale_cancels.drain(..stale).collect();
        batch
    }

    /// Notes that the last batch is stored. Jobs that are over are forgotten.
    pub fn confirm_flush(&mut self) {
        let flushed = std::mem::take(&mut self.flushing);
        for id in flushed.into_values() {
            let is_over = self
                .jobs
                .get(&id)
                .is_some_and(|job| job.state.is_final() && job.oldest_unsaved_change.is_none());
            if is_over {
                self.jobs.remove(&id);
                self.ended_jobs.insert(id);
            }
        }
    }
}
