//! Collects the changes that have to be stored, oldest first.

use crate::dispatch::job_record::{JobProgress, JobSummary};
use crate::dispatch::pool_scheduler::PoolScheduler;
use crate::model::id::JobId;
use crate::model::unix_time::UnixMillis;

/// Changes of one job that have to be stored.
#[derive(Debug, Clone, PartialEq)]
#[expect(missing_docs, reason = "the comment on the type describes the job")]
pub struct JobWrite {
    pub job: JobId,
    /// State for callers; absent if it has not changed.
    pub summary: Option<JobSummary>,
    /// Progress to store; absent if the job has ended, so that its records are deleted.
    pub progress: Option<JobProgress>,
    /// Whether the store holds a cancellation of the job, which is deleted when the job has ended.
    pub is_cancelled: bool,
}

/// Changes that are stored in one transaction.
#[derive(Debug, Clone, Default, PartialEq)]
#[expect(missing_docs, reason = "the comment on the type describes the jobs")]
pub struct FlushBatch {
    pub jobs: Vec<JobWrite>,
    /// Cancellations of jobs that had ended already, to be deleted.
    pub stale_cancels: Vec<JobId>,
}

impl PoolScheduler {
    /// Sequence number up to which all changes are stored.
    pub(super) fn last_durable_change(&self) -> u64 {
        let waiting = self.unflushed.keys().next();
        let flushing = self.flushing.keys().next();
        let first = waiting.into_iter().chain(flushing).min();
        first.map_or(self.last_change, |first| first - 1)
    }

    /// Whether a change waits to be stored.
    pub fn has_changes(&self) -> bool {
        !self.unflushed.is_empty() || !self.stale_cancels.is_empty()
    }

    /// Takes the oldest changes, of `max_jobs` jobs at most. [`Self::confirm_flush`] has to be called before
    /// the next batch is taken.
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
            let summary = job.has_unsaved_state.then(|| job.summary(wall_time));
            job.has_unsaved_state = false;
            batch.jobs.push(JobWrite {
                job: id,
                summary,
                progress: (!job.state.is_final()).then(|| job.progress()),
                is_cancelled: job.is_cancelled,
            });
        }
        let remaining = max_jobs - batch.jobs.len();
        let stale = self.stale_cancels.len().min(remaining);
        batch.stale_cancels = self.stale_cancels.drain(..stale).collect();
        batch
    }

    /// Records that the last batch is stored and removes the jobs whose end it contained.
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
