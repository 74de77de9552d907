//! Order in which the changes of jobs are stored.
//!
//! Handles load peaks in which jobs change faster than the leader can store them. Callers see a job as ended
//! only once its end is stored, so ends go first; changes of a job that wait are stored together.

use std::collections::{BTreeMap, BTreeSet};

use crate::model::id::JobId;

/// Every so many jobs the oldest change is taken even if ends wait, because workers keep listing the outcomes
/// of runs until all changes up to them are stored.
const OLDEST_FIRST_INTERVAL: usize = 4;

/// Jobs with changes that are not stored yet, by the number of the oldest such change of each job.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct FlushQueue {
    /// Sequence number of the newest change; the first change is 1.
    last_change: u64,
    waiting: BTreeMap<u64, JobId>,
    /// The changes among `waiting` of jobs that have ended.
    ended: BTreeSet<u64>,
    /// Changes of the batch that is being stored.
    flushing: BTreeMap<u64, JobId>,
}

impl FlushQueue {
    /// Adds a change and returns its sequence number. `oldest` is the job's oldest change that waits, which is
    /// set if there was none.
    pub fn record_change(&mut self, job: &JobId, oldest: &mut Option<u64>, has_ended: bool) -> u64 {
        self.last_change += 1;
        let last = self.last_change;
        let change = *oldest.get_or_insert(last);
        if change == last {
            self.waiting.insert(change, job.clone());
        }
        if has_ended {
            self.ended.insert(change);
        }
        last
    }

    /// Whether a change waits for a batch.
    pub fn has_waiting(&self) -> bool {
        !self.waiting.is_empty()
    }

    /// Number of jobs that wait for a batch.
    pub fn waiting_count(&self) -> usize {
        self.waiting.len()
    }

    /// Sequence number up to which all changes are stored.
    pub fn last_durable_change(&self) -> u64 {
        let waiting = self.waiting.keys().next();
        let flushing = self.flushing.keys().next();
        let first = waiting.into_iter().chain(flushing).min();
        first.map_or(self.last_change, |first| first - 1)
    }

    /// Moves the next job to the batch that is being stored. `taken` is the number of jobs in the batch.
    pub fn take_next(&mut self, taken: usize) -> Option<JobId> {
        let is_oldest_due = taken % OLDEST_FIRST_INTERVAL == OLDEST_FIRST_INTERVAL - 1;
        let ended = self.ended.first().filter(|_| !is_oldest_due);
        let change = *ended.or_else(|| self.waiting.keys().next())?;
        self.ended.remove(&change);
        let job = self.waiting.remove(&change)?;
        self.flushing.insert(change, job.clone());
        Some(job)
    }

    /// Ends the batch after it was stored and returns its jobs.
    pub fn confirm(&mut self) -> Vec<JobId> {
        std::mem::take(&mut self.flushing).into_values().collect()
    }
}
