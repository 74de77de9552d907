//! Collects the changes that have to be stored.

use crate::dispatch::job_record::{JobProgress, JobSummary};
use crate::dispatch::job_state::JobRun;
use crate::dispatch::pool_scheduler::PoolScheduler;
use crate::model::id::JobId;
use crate::model::unix_time::UnixMillis;

/// Upper bound of [`JobWrite::entry_count`]: the summary, and the deletion of the submission, the progress and
/// the cancellation.
const MAX_JOB_ENTRIES: usize = 4;

/// Changes of one job that have to be stored.
#[derive(Debug, Clone, PartialEq)]
pub struct JobWrite {
    /// Job that has changed.
    pub job: JobId,
    /// State for callers; absent if it has not changed.
    pub summary: Option<JobSummary>,
    /// Progress; absent if it has not changed or the job has ended.
    pub progress: Option<JobProgress>,
    /// Records to delete, because the job has ended; empty for other jobs.
    pub deletes: Vec<JobKey>,
}

/// A stored record of a job that is deleted when the job has ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[expect(missing_docs, reason = "the comment on the type describes the records")]
pub enum JobKey {
    Submission,
    Progress,
    Cancellation,
}

impl JobWrite {
    fn new(job: &mut JobRun, wall_time: UnixMillis) -> Self {
        let summary = job.has_unsaved_state.then(|| job.summary(wall_time));
        let has_ended = job.state.is_final();
        let progress = (job.has_unsaved_progress && !has_ended).then(|| job.progress());
        job.oldest_unsaved_change = None;
        job.has_unsaved_state = false;
        job.has_unsaved_progress = false;
        job.has_stored_progress |= progress.is_some();
        let mut deletes = Vec::new();
        if has_ended {
            deletes.push(JobKey::Submission);
            if job.has_stored_progress {
                deletes.push(JobKey::Progress);
            }
            if job.is_cancelled {
                deletes.push(JobKey::Cancellation);
            }
        }
        Self {
            job: job.record.id.clone(),
            summary,
            progress,
            deletes,
        }
    }

    /// Number of entries that the changes take in a transaction.
    pub fn entry_count(&self) -> usize {
        usize::from(self.summary.is_some()) + usize::from(self.progress.is_some()) + self.deletes.len()
    }
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
        self.changes.last_durable_change()
    }

    /// Whether a change waits to be stored.
    pub fn has_changes(&self) -> bool {
        self.changes.has_waiting() || !self.stale_cancels.is_empty()
    }

    /// Number of jobs whose changes wait to be stored.
    pub fn waiting_change_count(&self) -> usize {
        self.changes.waiting_count()
    }

    /// Takes changes for a transaction with room for `max_entries`. [`Self::confirm_flush`] has to be called
    /// before the next batch is taken.
    pub fn take_flush(&mut self, wall_time: UnixMillis, max_entries: usize) -> FlushBatch {
        let mut batch = FlushBatch::default();
        let mut free = max_entries;
        while free >= MAX_JOB_ENTRIES
            && let Some(id) = self.changes.take_next(batch.jobs.len())
        {
            if let Some(job) = self.jobs.get_mut(&id) {
                let write = JobWrite::new(job, wall_time);
                free -= write.entry_count();
                batch.jobs.push(write);
            }
        }
        let stale = self.stale_cancels.len().min(free);
        batch.stale_cancels = self.stale_cancels.drain(..stale).collect();
        batch
    }

    /// Records that the last batch is stored and removes the jobs whose end it contained.
    pub fn confirm_flush(&mut self) {
        for id in self.changes.confirm() {
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
