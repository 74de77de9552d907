//! Index of the workers of a pool by free processor cores.
//!
//! Handles load peaks in large pools: thousands of tasks a second are placed on hundreds of workers, and a search
//! through all workers for each task takes the time that the starts need.

use std::collections::{BTreeMap, BTreeSet};

use crate::dispatch::worker_state::WorkerState;
use crate::model::id::WorkerId;

/// Position of a worker in the index: whether it is slow, and its free thousandths of a core.
type IndexKey = (bool, u64);

/// Workers that may take tasks, ordered by their free cores.
#[derive(Debug, Clone, Default)]
pub struct FreeIndex {
    by_free: BTreeMap<IndexKey, BTreeSet<WorkerId>>,
    positions: BTreeMap<WorkerId, IndexKey>,
}

impl FreeIndex {
    /// Indexes the given workers.
    pub fn new<'a>(workers: impl Iterator<Item = &'a WorkerState>) -> Self {
        let mut index = Self::default();
        for worker in workers {
            index.insert(worker);
        }
        index
    }

    fn insert(&mut self, worker: &WorkerState) {
        let id = &worker.entry.id;
        let key = (worker.health.is_slow(), worker.free().cores.get());
        self.by_free.entry(key).or_default().insert(id.clone());
        self.positions.insert(id.clone(), key);
    }

    /// Updates the position of a worker after a run was added or removed. Workers that are not indexed stay so.
    pub fn update(&mut self, worker: &WorkerState) {
        let id = &worker.entry.id;
        let Some(key) = self.positions.get(id) else {
            return;
        };
        if let Some(workers) = self.by_free.get_mut(key) {
            workers.remove(id);
            if workers.is_empty() {
                self.by_free.remove(key);
            }
        }
        self.insert(worker);
    }

    /// Whether a worker is indexed.
    pub fn contains(&self, id: &WorkerId) -> bool {
        self.positions.contains_key(id)
    }

    /// Workers with at least `min_cores` free thousandths of a core, the fullest first. `is_slow` selects the slow
    /// ones or the others.
    pub fn fullest_first(&self, is_slow: bool, min_cores: u64) -> impl Iterator<Item = &WorkerId> {
        let range = self.by_free.range((is_slow, min_cores)..=(is_slow, u64::MAX));
        range.flat_map(|(_, workers)| workers)
    }
}
