//! Recorded runs for which it is open whether the process of their worker has ended.

use std::collections::{BTreeMap, BTreeSet};

use crate::dispatch::command::RunId;
use crate::model::id::{InstanceId, WorkerId};

/// Recorded runs whose loss is open, by worker and by the worker's instance.
#[derive(Debug, Clone, Default)]
pub struct OpenLosses {
    runs: BTreeMap<WorkerId, BTreeSet<RunId>>,
    workers: BTreeMap<InstanceId, BTreeSet<WorkerId>>,
}

impl OpenLosses {
    /// Adds a run.
    pub fn insert(&mut self, worker: &WorkerId, instance: Option<&InstanceId>, run: RunId) {
        self.runs.entry(worker.clone()).or_default().insert(run);
        if let Some(instance) = instance {
            let workers = self.workers.entry(instance.clone()).or_default();
            workers.insert(worker.clone());
        }
    }

    /// Removes a run whose loss is settled.
    pub fn remove(&mut self, worker: &WorkerId, run: &RunId) {
        let Some(runs) = self.runs.get_mut(worker) else {
            return;
        };
        runs.remove(run);
        if runs.is_empty() {
            self.runs.remove(worker);
            self.workers.retain(|_, workers| {
                workers.remove(worker);
                !workers.is_empty()
            });
        }
    }

    /// Runs of a worker whose loss is open.
    pub fn of_worker(&self, worker: &WorkerId) -> Vec<RunId> {
        let runs = self.runs.get(worker).into_iter().flatten();
        runs.cloned().collect()
    }

    /// Workers with open losses that ran on an instance.
    pub fn on_instance(&self, instance: &InstanceId) -> Vec<WorkerId> {
        let workers = self.workers.get(instance).into_iter().flatten();
        workers.cloned().collect()
    }
}
