//! Size of a job compared with the recent jobs of its queue.
//!
//! Handles queues whose jobs differ much in size: an order by value for each unit of work alone would starve the
//! heaviest jobs, which take the most work for their value.

use std::collections::{BTreeMap, VecDeque};

use crate::model::id::QueueId;

/// Recent jobs of a queue with which a job is compared.
const RECENT_JOBS: usize = 128;

/// Recent jobs without which no job counts as heavy: a tenth of fewer is less than one job.
const MIN_JOBS: usize = 10;

/// Share of the recent jobs that have to be lighter than a job of the class: the heaviest tenth, and the fifth below
/// it.
const HEAVY_RANK: f64 = 0.9;
const MEDIUM_RANK: f64 = 0.7;

/// Size of a job among those of its queue.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum SizeClass {
    /// All other jobs, and jobs without an estimate.
    #[default]
    Light,
    /// The fifth below the heaviest tenth.
    Medium,
    /// The heaviest tenth.
    Heavy,
}

impl SizeClass {
    /// All classes, in the order of [`Self::index`].
    pub const ALL: [Self; 3] = [Self::Light, Self::Medium, Self::Heavy];

    /// Number of the class, counted from 0.
    pub fn index(self) -> usize {
        self as usize
    }

    /// Value of a metric label.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Light => "light",
            Self::Medium => "medium",
            Self::Heavy => "heavy",
        }
    }
}

/// Size of one job as of its submission. `work` and `mean_work` are in core-milliseconds; 0 is unknown.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
#[expect(missing_docs, reason = "the comment on the type describes the fields")]
pub struct JobSize {
    pub work: u64,
    pub mean_work: f64,
    pub class: SizeClass,
}

#[derive(Debug, Clone, Default)]
struct RecentWork {
    works: VecDeque<u64>,
    sum: u64,
}

/// Work of the recent jobs of each queue. A new leader fills it with the jobs at hand.
#[derive(Debug, Clone, Default)]
pub struct QueueWork {
    queues: BTreeMap<QueueId, RecentWork>,
}

impl QueueWork {
    /// Compares a submitted job with the recent jobs of its queue and adds it to them. A job without an estimate has
    /// work 0 and is not added.
    pub fn observe(&mut self, queue: &QueueId, work: u64) -> JobSize {
        let recent = self.queues.entry(queue.clone()).or_default();
        if work > 0 {
            recent.add(work);
        }
        JobSize {
            work,
            mean_work: recent.mean(),
            class: recent.class_of(work),
        }
    }
}

impl RecentWork {
    fn add(&mut self, work: u64) {
        self.sum = self.sum.saturating_add(work);
        self.works.push_back(work);
        if self.works.len() > RECENT_JOBS {
            let oldest = self.works.pop_front().unwrap_or_default();
            self.sum = self.sum.saturating_sub(oldest);
        }
    }

    fn mean(&self) -> f64 {
        self.sum as f64 / self.works.len().max(1) as f64
    }

    fn class_of(&self, work: u64) -> SizeClass {
        let count = self.works.len();
        if work == 0 || count < MIN_JOBS {
            return SizeClass::Light;
        }
        let lighter = self.works.iter().filter(|other| **other < work).count();
        let rank = lighter as f64 / count as f64;
        if rank >= HEAVY_RANK {
            SizeClass::Heavy
        } else if rank >= MEDIUM_RANK {
            SizeClass::Medium
        } else {
            SizeClass::Light
        }
    }
}
