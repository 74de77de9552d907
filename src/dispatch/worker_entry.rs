//! What a worker publishes about itself in service discovery.

use std::net::SocketAddr;
use std::sync::Arc;

use crate::model::id::{InstanceId, PoolId, WorkerId, ZoneId};
use crate::model::resource::ResourceSet;
use crate::model::unix_time::UnixMillis;

/// Discovery entry of a worker.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WorkerEntry {
    /// Stays the same across restarts of the worker process.
    pub id: WorkerId,
    /// Instance on which the worker runs, absent if the worker does not publish it. A worker that crashed may
    /// return under another id on the same instance.
    pub instance: Option<InstanceId>,
    /// Pool to which the worker's instance belongs.
    pub pool: PoolId,
    /// Address for commands.
    pub address: SocketAddr,
    /// Availability zone of the worker's instance.
    pub zone: ZoneId,
    /// Whether the worker shuts down soon and accepts no new work.
    pub is_draining: bool,
    /// Total resources available to tasks.
    pub capacity: ResourceSet,
    /// Labels for placement constraints; the last one is the name of the rack.
    pub labels: Vec<Arc<str>>,
    /// Start time of the worker process, absent if the worker does not publish it. A process with a later
    /// start time knows nothing of the runs of its predecessor.
    pub incarnation: Option<UnixMillis>,
}

impl WorkerEntry {
    /// Whether the worker has this label.
    pub fn has_label(&self, label: &str) -> bool {
        self.labels.iter().any(|own| &**own == label)
    }

    /// Name of the rack, absent if the worker has no labels.
    pub fn rack(&self) -> Option<&Arc<str>> {
        self.labels.last()
    }
}
