//! Workers on each instance, from which follows that the processes of earlier ones have ended.

use std::collections::BTreeMap;

use crate::dispatch::run_loss::RunLoss;
use crate::dispatch::worker_entry::WorkerEntry;
use crate::model::id::{InstanceId, PoolId, WorkerId};
use crate::model::unix_time::UnixMillis;

/// Process of a worker on an instance.
#[derive(Debug, Clone)]
pub struct WorkerProcess {
    /// Worker of the process.
    pub worker: WorkerId,
    /// Pool that the worker's entry names.
    pub pool: PoolId,
    /// Start time of the process, absent if the worker does not publish it.
    pub incarnation: Option<UnixMillis>,
    /// Whether the worker is in the list.
    is_listed: bool,
}

/// Workers on each instance of the fleet, with those that have left the list.
#[derive(Debug, Clone, Default)]
pub struct InstanceWorkers {
    processes: BTreeMap<InstanceId, Vec<WorkerProcess>>,
    instances: BTreeMap<WorkerId, InstanceId>,
}

impl InstanceWorkers {
    /// Records a worker's entry. Returns the workers that it replaces, if it tells of a process that was not listed
    /// before.
    pub fn observe(&mut self, entry: &WorkerEntry) -> Vec<WorkerId> {
        let Some(instance) = &entry.instance else {
            return Vec::new();
        };
        let processes = self.processes.entry(instance.clone()).or_default();
        let known = processes.iter().position(|known| known.worker == entry.id);
        let process = WorkerProcess {
            worker: entry.id.clone(),
            pool: entry.pool.clone(),
            incarnation: entry.incarnation,
            is_listed: true,
        };
        let is_new = known.is_none_or(|index| {
            let known = &processes[index];
            !known.is_listed || known.incarnation < entry.incarnation
        });
        if !is_new {
            return Vec::new();
        }
        match known {
            Some(index) => processes[index] = process,
            None => processes.push(process),
        }
        self.instances.insert(entry.id.clone(), instance.clone());
        let earlier = processes
            .iter()
            .filter(|other| other.worker != entry.id && other.incarnation < entry.incarnation);
        earlier.map(|other| other.worker.clone()).collect()
    }

    /// Records that a worker has left the list. Its entry proves nothing any more.
    pub fn remove(&mut self, worker: &WorkerId) {
        let processes = self
            .instances
            .get(worker)
            .and_then(|instance| self.processes.get_mut(instance));
        for process in processes.into_iter().flatten() {
            process.is_listed &= process.worker != *worker;
        }
    }

    /// Workers that are in the list.
    pub fn listed(&self) -> impl Iterator<Item = &WorkerId> {
        let listed = self.processes.values().flatten();
        listed
            .filter(|process| process.is_listed)
            .map(|process| &process.worker)
    }

    /// Another listed worker with a later process on the instance of this one.
    pub fn successor(&self, worker: &WorkerId) -> Option<&WorkerProcess> {
        let processes = self.processes.get(self.instances.get(worker)?)?;
        let own = processes.iter().find(|process| process.worker == *worker)?;
        let mut others = processes.iter().filter(|other| other.worker != *worker);
        others.find(|other| other.is_listed && other.incarnation > own.incarnation)
    }

    /// Whether a later process is listed on the instance on which the run was started.
    pub fn has_replaced(&self, loss: &RunLoss) -> bool {
        let processes = loss
            .instance
            .as_ref()
            .and_then(|instance| self.processes.get(instance));
        let mut listed = processes
            .into_iter()
            .flatten()
            .filter(|process| process.is_listed);
        listed.any(|process| process.incarnation > loss.incarnation)
    }
}
