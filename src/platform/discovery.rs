//! Entries of workers in the store.

use std::net::SocketAddr;
use std::sync::Arc;

use serde::Deserialize;

use crate::dispatch::worker_entry::WorkerEntry;
use crate::error::{Error, ErrorKind, Result};
use crate::model::amount::{AcceleratorCount, MemoryMib, MilliCores};
use crate::model::id::{PoolId, WorkerId, ZoneId};
use crate::model::resource::ResourceSet;
use crate::model::unix_time::UnixMillis;
use crate::platform::store::WORKER_PREFIX;

/// Amounts as the platform writes them: thousandths of a core, mebibytes, accelerators.
#[derive(Debug, Clone, Copy, Default, Deserialize)]
#[serde(rename_all = "kebab-case", default)]
pub struct WireResources {
    cpu: u64,
    mem_mb: u64,
    gpu: u32,
}

impl WireResources {
    /// The amounts as the project's type.
    pub fn decode(&self) -> ResourceSet {
        ResourceSet::new(MilliCores::new(self.cpu), MemoryMib::new(self.mem_mb))
            .with_accelerators(AcceleratorCount::new(self.gpu))
    }
}

#[derive(Debug, Deserialize)]
struct WireWorkerEntry {
    service: Arc<str>,
    address: SocketAddr,
    zone: Arc<str>,
    state: String,
    capacity: WireResources,
    #[serde(default)]
    labels: Vec<Arc<str>>,
    #[serde(default)]
    born: Option<u64>,
}

/// Worker named by a key of the list.
///
/// # Errors
/// `bad_message` if the key does not belong to the list.
pub fn parse_worker_id(key: &str) -> Result<WorkerId> {
    let id = key.strip_prefix(WORKER_PREFIX);
    let id = id.ok_or_else(|| Error::new(ErrorKind::BadMessage, format!("{key} is no worker's entry")))?;
    WorkerId::new(id)
}

/// Decodes an entry. Other writers' entries may be malformed; they name no worker to use.
///
/// # Errors
/// `bad_message` that names the fault.
pub fn decode_worker_entry(key: &str, value: &[u8]) -> Result<WorkerEntry> {
    let fault = |text: &dyn std::fmt::Display| Error::new(ErrorKind::BadMessage, format!("{key}: {text}"));
    let wire: WireWorkerEntry = serde_json::from_slice(value).map_err(|error| fault(&error))?;
    let is_draining = match wire.state.as_str() {
        "ready" => false,
        "draining" => true,
        other => return Err(fault(&format!("unknown state {other:?}"))),
    };
    Ok(WorkerEntry {
        id: parse_worker_id(key)?,
        pool: PoolId::new(wire.service)?,
        address: wire.address,
        zone: ZoneId::new(wire.zone)?,
        is_draining,
        capacity: wire.capacity.decode(),
        labels: wire.labels,
        incarnation: wire.born.map(UnixMillis::new),
    })
}
