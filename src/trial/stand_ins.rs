//! The outside systems of the trial: store, workers and backend servers, all stand-ins in this process.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use crate::clock::SharedClock;
use crate::error::{Error, ErrorKind, Result};
use crate::model::id::{InstanceId, PoolId};
use crate::port::backend::stand_in::{BackendFault, BackendStandIn};
use crate::port::store::memory_store::MemoryStore;
use crate::port::worker::fleet::WorkerFleet;
use crate::port::worker::http_form::WorkerHttpServer;
use crate::port::worker::task::TaskOutcome;
use crate::trial::ledger::WorkRun;
use crate::trial::sample::SampleInstance;

/// Time of a reboot in the trial; short, so that a plan of several waves ends within a minute.
const BOOT_TIME: Duration = Duration::from_millis(800);
/// Lag of usage reports in the trial.
const USAGE_LAG: Duration = Duration::from_millis(500);

/// The stand-ins.
#[derive(Debug)]
pub struct TrialStandIns {
    /// The store.
    pub store: MemoryStore,
    /// Workers, one on each instance.
    pub workers: WorkerFleet,
    /// Backend servers, on the instances of service pools and of the spare pool.
    pub backends: BTreeMap<InstanceId, BackendStandIn>,
    /// Instances with their addresses.
    pub instances: Vec<SampleInstance>,
}

impl TrialStandIns {
    /// Starts a backend server and a worker on each instance.
    ///
    /// # Errors
    /// `internal` if no port can be bound.
    pub async fn start(clock: SharedClock, mut instances: Vec<SampleInstance>) -> Result<Self> {
        let store = MemoryStore::new(Arc::clone(&clock));
        let workers = WorkerFleet::new(clock)
            .with_boot_time(BOOT_TIME)
            .with_usage_lag(USAGE_LAG);
        let server = WorkerHttpServer::new(workers.clone());
        let mut backends = BTreeMap::new();
        for sample in &mut instances {
            let fault = |e: std::io::Error| Error::new(ErrorKind::Internal, format!("backend stand-in: {e}"));
            let backend = BackendStandIn::start_beside(Some(server.clone()))
                .await
                .map_err(fault)?;
            sample.place.address = Arc::from(backend.address().to_string());
            workers.add(&sample.instance, sample.place.clone());
            backends.insert(sample.instance.clone(), backend);
        }
        Ok(Self {
            store,
            workers,
            backends,
            instances,
        })
    }

    /// Instances that are in a pool at the start.
    pub fn instances_of(&self, pool: &PoolId) -> Vec<InstanceId> {
        let instances = self.instances.iter().filter(|sample| sample.pool == *pool);
        instances.map(|sample| sample.instance.clone()).collect()
    }

    /// Makes the backend server of a rebooting instance refuse work, as a stopped one does.
    pub fn set_backend_up(&self, instance: &InstanceId, is_up: bool) {
        if let Some(backend) = self.backends.get(instance) {
            backend.set_fault(if is_up {
                BackendFault::None
            } else {
                BackendFault::NotRun
            });
        }
    }

    /// Everything that ran, as the stand-ins recorded it.
    pub fn runs(&self) -> Vec<WorkRun> {
        let mut runs = Vec::new();
        for (instance, backend) in &self.backends {
            let records = backend
                .records()
                .into_iter()
                .filter(|record| !record.label.is_empty());
            runs.extend(records.map(|record| WorkRun {
                label: record.label,
                team: record.team.parse().ok(),
                instance: instance.clone(),
                started: record.started,
                ended: record.ended,
                is_whole: record.is_whole,
            }));
        }
        runs.extend(self.workers.records().into_iter().map(|record| {
            WorkRun {
                label: record.job.into(),
                team: Some(record.team),
                instance: record.instance,
                started: record.started_at,
                ended: record.end.as_ref().map(|end| end.at),
                is_whole: record
                    .end
                    .is_some_and(|end| end.outcome == TaskOutcome::Succeeded),
            }
        }));
        runs
    }
}
