//! Simulates a small fleet and the sessions that run jobs on it.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use figloft::clock::{ManualClock, SharedClock};
use figloft::journal::entry::{ENTRY_SCHEMA, EntryActor, EntryChange, JournalEntry};
use figloft::journal::fleet_state::FleetState;
use figloft::journal::member::{InstancePlace, MemberPhase};
use figloft::model::amount::{MemoryMib, MilliCores, SlotCount};
use figloft::model::id::{InstanceId, JobId, SessionId, TeamId, WriteNonce};
use figloft::model::priority::WorkPriority;
use figloft::model::resource::ResourceSet;
use figloft::model::unix_time::UnixMillis;
use figloft::policy::job_event::JobSubmission;
use figloft::port::store::client::StoreClient;
use figloft::port::store::memory_store::MemoryStore;
use figloft::port::worker::call::WorkerCall;
use figloft::port::worker::client::WorkerClient;
use figloft::port::worker::fleet::WorkerFleet;
use figloft::port::worker::task::TaskRecord;
use figloft::process::job_runner::{JobLinks, JobNotice, JobRunner};
use figloft::process::job_scheduler::JobScheduler;
use figloft::process::job_task::{JobStage, JobView};
use figloft::process::team_counter::TeamCounter;
use figloft::record::document::RecordDocument;
use figloft::version::accepted::AcceptedVersion;
use serde_json::json;

/// Time by which a step advances the clock.
pub const STEP: Duration = Duration::from_millis(100);

/// Lease of each task.
pub const LEASE: Duration = Duration::from_secs(10);

pub fn name<T: std::str::FromStr<Err = figloft::error::Error>>(text: &str) -> T {
    text.parse().expect("name")
}

/// A fleet of workers with 8 cores and 8 GiB, a store and an accepted configuration.
pub struct Simulation {
    pub clock: Arc<ManualClock>,
    pub fleet: WorkerFleet,
    pub store: MemoryStore,
    pub version: AcceptedVersion,
    pub workers: u32,
}

/// A session of the simulated fleet.
pub struct Session {
    pub runner: JobRunner,
    pub counter: TeamCounter,
    pub is_fresh: Arc<AtomicBool>,
    pub notices: Arc<Mutex<Vec<JobNotice>>>,
}

impl Simulation {
    /// Creates a fleet with workers `i0`…, queue `q` for keyed teams and the open queue `o`, both in pool
    /// `p`.
    pub fn new(workers: u32) -> Self {
        let clock = Arc::new(ManualClock::new());
        let shared: SharedClock = Arc::<ManualClock>::clone(&clock);
        let fleet = WorkerFleet::new(Arc::clone(&shared)).with_usage_lag(Duration::from_secs(1));
        let simulation = Self {
            fleet,
            store: MemoryStore::new(shared),
            version: AcceptedVersion::default(),
            clock,
            workers,
        };
        simulation.fold(vec![EntryChange::TakeDuty {
            session: name("duty"),
        }]);
        simulation.put("pool", "p", json!({}));
        simulation.put(
            "queue",
            "q",
            json!({"pool": "p", "max_waiting": 10_000, "task_lease_ms": 10_000, "max_run_ms": 90_000}),
        );
        simulation.put(
            "queue",
            "o",
            json!({"pool": "p", "open": true, "max_waiting": 10, "task_lease_ms": 10_000}),
        );
        for index in 0..workers {
            simulation.add_worker(&instance(index));
        }
        simulation
    }

    fn add_worker(&self, instance: &InstanceId) {
        let place = InstancePlace {
            region: name("r"),
            zone: name("z"),
            rack: name("k"),
            resources: ResourceSet::new(MilliCores::new(8_000), MemoryMib::new(8_192)),
            address: Arc::from("127.0.0.1:1"),
        };
        self.fleet.add(instance, place.clone());
        let join = EntryChange::JoinPool {
            instance: instance.clone(),
            pool: name("p"),
            place,
        };
        let serving = EntryChange::SetPhase {
            instance: instance.clone(),
            phase: MemberPhase::Serving,
            reason: Arc::from("test"),
        };
        self.fold(vec![join, serving]);
        let generation = self.version.current().members[instance].generation;
        self.fleet
            .call(instance, &WorkerCall::Join { generation })
            .expect("joins");
    }

    pub fn fold(&self, changes: Vec<EntryChange>) {
        let mut state = FleetState::clone(&self.version.current());
        let entry = JournalEntry {
            schema: ENTRY_SCHEMA,
            number: state.revision.next(),
            actor: EntryActor::System(name("duty")),
            written_at: UnixMillis::new(0),
            nonce: WriteNonce::new(1),
            term: state.duty.as_ref().map(|holder| holder.term),
            changes,
        };
        let report = state.fold(&entry).expect("entry is the next one");
        assert!(report.voided.is_empty(), "{:?}", report.voided);
        self.version.publish(&Arc::new(state)).expect("state is newer");
    }

    pub fn put(&self, kind: &str, id: &str, fields: serde_json::Value) {
        let fields: BTreeMap<Arc<str>, serde_json::Value> = serde_json::from_value(fields).expect("fields");
        let kind = kind.parse().expect("kind");
        let document = RecordDocument {
            kind,
            schema: 2,
            id: Arc::from(id),
            fields,
        };
        let state = self.version.current();
        let expected = state
            .documents
            .get(&document.name())
            .map(|stored| stored.changed_at);
        self.fold(vec![EntryChange::PutRecord { document, expected }]);
    }

    /// Adds a team whose limit is allocated to one session.
    pub fn team(&self, id: &str, limit: u32, session: &str) {
        self.put(
            "team",
            id,
            json!({"organisation": "o", "share": 1, "limit": limit}),
        );
        self.allow(id, limit, session);
    }

    pub fn allow(&self, team: &str, slots: u32, session: &str) {
        self.fold(vec![EntryChange::SetAllowance {
            team: name(team),
            session: name(session),
            slots: SlotCount::new(slots),
        }]);
    }

    /// Starts a session with its own connection to the store.
    pub fn session(&self, id: &str) -> Session {
        let session: SessionId = name(id);
        let counter = TeamCounter::new();
        let is_fresh = Arc::new(AtomicBool::new(true));
        let notices = Arc::new(Mutex::new(Vec::new()));
        let links = JobLinks {
            is_fresh: {
                let is_fresh = Arc::clone(&is_fresh);
                Arc::new(move || is_fresh.load(Ordering::SeqCst))
            },
            notify: {
                let notices = Arc::clone(&notices);
                Arc::new(move |notice| notices.lock().expect("lock").push(notice))
            },
        };
        let scheduler = JobScheduler::new(session.clone(), counter.clone(), 1);
        let store = StoreClient::memory(self.store.port()).with_timeout(Duration::from_millis(50));
        let runner = JobRunner::new(
            session,
            scheduler,
            store,
            WorkerClient::Memory(self.fleet.clone()),
            self.version.clone(),
            Arc::<ManualClock>::clone(&self.clock),
            links,
        );
        Session {
            runner,
            counter,
            is_fresh,
            notices,
        }
    }

    /// Advances the clock by one step and steps the session.
    pub async fn step(&self, session: &Session) {
        self.clock.advance(STEP);
        session.runner.step_once().await;
    }

    pub async fn run_for(&self, session: &Session, time: Duration) {
        for _ in 0..time.as_millis() / STEP.as_millis() {
            self.step(session).await;
        }
    }

    /// Creates a submission that runs for `run_ms` with one core and 1 GiB.
    pub fn job(&self, session: &Session, team: &str, run_ms: u64) -> JobSubmission {
        JobSubmission {
            job: session.runner.next_id().expect("id"),
            queue: name("q"),
            team: name(team),
            pool: name("p"),
            priority: WorkPriority::Bench,
            declared: ResourceSet::new(MilliCores::new(1_000), MemoryMib::new(1_024)),
            repeatable: false,
            lease_ms: LEASE.as_millis() as u64,
            submitted_at: UnixMillis::from(figloft::clock::ClockSource::wall_time(&*self.clock)),
            start_by: None,
            payload: Arc::from(json!({"run_ms": run_ms}).to_string()),
        }
    }

    /// Submits a job and steps the session until it is accepted or refused.
    pub async fn submit(
        &self,
        session: &Session,
        submission: JobSubmission,
    ) -> figloft::error::Result<JobId> {
        let job = submission.job.clone();
        let runner = session.runner.clone();
        let waiting = tokio::spawn(async move { runner.submit(submission, 10_000).await });
        while !waiting.is_finished() {
            tokio::task::yield_now().await;
            self.step(session).await;
        }
        waiting.await.expect("does not panic").map(|()| job)
    }

    /// Returns the records of a job on all workers.
    pub fn records(&self, job: &JobId) -> Vec<TaskRecord> {
        let records = self.fleet.records().into_iter();
        records.filter(|record| record.job == *job).collect()
    }

    /// Returns the maximum number of a team's tasks that ran at the same time.
    pub fn max_running(&self, team: &str) -> usize {
        let team: TeamId = name(team);
        let records = self
            .fleet
            .records()
            .into_iter()
            .filter(|record| record.team == team);
        let mut changes: Vec<(u64, i64)> = Vec::new();
        for record in records {
            changes.push((record.started_at.get(), 1));
            if let Some(end) = record.end {
                changes.push((end.at.get(), -1));
            }
        }
        changes.sort_unstable();
        let mut running = 0;
        let counts = changes.into_iter().map(|(_, change)| {
            running += change;
            running
        });
        counts.max().unwrap_or(0) as usize
    }
}

impl Session {
    pub fn view(&self, job: &JobId) -> JobView {
        self.runner.view(job).expect("job is known")
    }

    pub fn has_ended(&self, job: &JobId) -> bool {
        self.view(job).stage == JobStage::Ended
    }
}

pub fn instance(index: u32) -> InstanceId {
    name(&format!("i{index}"))
}
