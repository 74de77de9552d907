//! Latest worker on each instance, from which follows that the processes of earlier ones have ended.

use std::collections::BTreeMap;

use crate::dispatch::run_loss::RunLoss;
use crate::dispatch::worker_entry::WorkerEntry;
use crate::model::id::{InstanceId, WorkerId};
use crate::model::unix_time::UnixMillis;

/// Process of a worker on an instance.
#[derive(Debug, Clone)]
struct WorkerProcess {
    worker: WorkerId,
    incarnation: Option<UnixMillis>,
}

/// Latest worker on each instance of the fleet.
#[derive(Debug, Clone, Default)]
pub struct InstanceWorkers {
    latest: BTreeMap<InstanceId, WorkerProcess>,
}

impl InstanceWorkers {
    /// Records a worker's entry. Returns the former worker if another one runs on the instance now. Entries
    /// of earlier processes, which may be read late, are ignored.
    pub fn observe(&mut self, entry: &WorkerEntry) -> Option<WorkerId> {
        let instance = entry.instance.clone()?;
        let process = WorkerProcess {
            worker: entry.id.clone(),
            incarnation: entry.incarnation,
        };
        let known = self.latest.get(&instance);
        if known.is_some_and(|known| known.incarnation >= process.incarnation) {
            return None;
        }
        let former = self.latest.insert(instance, process)?;
        (former.worker != entry.id).then_some(former.worker)
    }

    /// Whether a later process runs on the instance on which the run was started.
    pub fn has_replaced(&self, loss: &RunLoss) -> bool {
        let latest = loss
            .instance
            .as_ref()
            .and_then(|instance| self.latest.get(instance));
        latest.is_some_and(|latest| latest.incarnation > loss.incarnation)
    }
}
