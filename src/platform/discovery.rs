//! Service discovery: the entries under which workers register in the store.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use serde::Deserialize;

use crate::dispatch::worker_entry::WorkerEntry;
use crate::error::{Error, ErrorKind, Result};
use crate::model::amount::{AcceleratorCount, MemoryMib, MilliCores};
use crate::model::id::{InstanceId, PoolId, WorkerId, ZoneId};
use crate::model::resource::ResourceSet;
use crate::model::unix_time::UnixMillis;
use crate::platform::store::WORKER_PREFIX;

/// Largest amount of CPU, in thousandths of a core, and of memory, in MiB, that a worker may publish: a million cores
/// and 954 TiB. More is no capacity of a machine.
const MAX_CAPACITY: u64 = 1_000_000_000;

/// Largest number of accelerators that a worker may publish.
const MAX_ACCELERATORS: u32 = 1_000_000;

/// Largest number of labels of a worker: each placement compares them.
const MAX_LABELS: usize = 100;

/// Time by which the start of a worker's process may lie ahead of the local clock. Clocks differ by seconds; a start far
/// ahead would hide every later process.
const MAX_START_LEAD: Duration = Duration::from_hours(1);

/// Amounts of resources in the platform's units.
#[derive(Debug, Clone, Copy, Default, Deserialize)]
#[serde(rename_all = "kebab-case", default)]
pub struct WireResources {
    /// Thousandths of a core.
    cpu: u64,
    /// Mebibytes, in spite of the name.
    mem_mb: u64,
    /// Number of accelerators.
    gpu: u32,
}

impl WireResources {
    /// Whether a worker can have this capacity.
    fn is_possible_capacity(&self) -> bool {
        self.cpu.max(self.mem_mb) <= MAX_CAPACITY && self.gpu <= MAX_ACCELERATORS
    }

    /// Converts the amounts.
    pub fn decode(&self) -> ResourceSet {
        ResourceSet::new(MilliCores::new(self.cpu), MemoryMib::new(self.mem_mb))
            .with_accelerators(AcceleratorCount::new(self.gpu))
    }
}

#[derive(Debug, Deserialize)]
struct WireWorkerEntry {
    /// Pool to which the worker's instance belongs.
    service: Arc<str>,
    address: SocketAddr,
    zone: Arc<str>,
    state: String,
    capacity: WireResources,
    #[serde(default)]
    labels: Vec<Arc<str>>,
    /// Instance on which the worker runs.
    #[serde(default)]
    machine: Option<Arc<str>>,
    /// Start of the worker's process in Unix milliseconds, which identifies its incarnation.
    #[serde(default)]
    born: Option<u64>,
}

/// Reads the worker's id from the key of its entry.
///
/// # Errors
/// `bad_message` if the key does not start with [`WORKER_PREFIX`]; otherwise as for [`WorkerId::new`].
pub fn parse_worker_id(key: &str) -> Result<WorkerId> {
    let id = key.strip_prefix(WORKER_PREFIX);
    let id = id.ok_or_else(|| {
        Error::new(
            ErrorKind::BadMessage,
            format!("{key} is not the key of a worker's entry"),
        )
    })?;
    WorkerId::new(id)
}

/// Decodes the entry of a worker that is read at `wall_time`.
///
/// Entries are written by other programs and may be malformed, or have values that no worker has; their workers are not
/// used.
///
/// # Errors
/// `bad_message` with the key and the cause.
pub fn decode_worker_entry(key: &str, value: &[u8], wall_time: UnixMillis) -> Result<WorkerEntry> {
    let bad_entry =
        |cause: &dyn std::fmt::Display| Error::new(ErrorKind::BadMessage, format!("{key}: {cause}"));
    let wire: WireWorkerEntry = serde_json::from_slice(value).map_err(|error| bad_entry(&error))?;
    let is_draining = match wire.state.as_str() {
        "ready" => false,
        "draining" => true,
        other => return Err(bad_entry(&format!("unknown worker state {other:?}"))),
    };
    if !wire.capacity.is_possible_capacity() {
        return Err(bad_entry(&format!("impossible capacity {:?}", wire.capacity)));
    }
    if wire.labels.len() > MAX_LABELS {
        return Err(bad_entry(&format!("{} labels", wire.labels.len())));
    }
    let last_start = wall_time.get().saturating_add(MAX_START_LEAD.as_millis() as u64);
    if wire.born.is_some_and(|born| born > last_start) {
        return Err(bad_entry(&"the process starts in the future"));
    }
    Ok(WorkerEntry {
        id: parse_worker_id(key)?,
        instance: wire.machine.map(InstanceId::new).transpose()?,
        pool: PoolId::new(wire.service)?,
        address: wire.address,
        zone: ZoneId::new(wire.zone)?,
        is_draining,
        capacity: wire.capacity.decode(),
        labels: wire.labels,
        incarnation: wire.born.map(UnixMillis::new),
    })
}
