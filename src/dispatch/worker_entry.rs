//! What a worker says of itself.

use std::net::SocketAddr;
use std::sync::Arc;

use crate::model::id::{PoolId, WorkerId, ZoneId};
use crate::model::resource::ResourceSet;
use crate::model::unix_time::UnixMillis;

/// A worker's entry in the list of workers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WorkerEntry {
    /// The worker.
    pub id: WorkerId,
    /// Pool to which its instance belongs.
    pub pool: PoolId,
    /// Address for orders.
    pub address: SocketAddr,
    /// Availability zone.
    pub zone: ZoneId,
    /// Whether it leaves soon and takes no new work.
    pub is_draining: bool,
    /// Resources for tasks.
    pub capacity: ResourceSet,
    /// Labels, the rack's name among them.
    pub labels: Vec<Arc<str>>,
    /// Start of its process, if it says so. A later start has forgotten everything.
    pub incarnation: Option<UnixMillis>,
}

impl WorkerEntry {
    /// Whether the worker has a label.
    pub fn has_label(&self, label: &str) -> bool {
        self.labels.iter().any(|own| &**own == label)
    }

    /// The rack: the last label.
    pub fn rack(&self) -> Option<&Arc<str>> {
        self.labels.last()
    }
}
