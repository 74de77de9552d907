//! Refusals by forecast and by the limit of an organisation, which promise that a job never runs.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use figloft::clock::SystemClock;
use figloft::dispatch::job_record::{JobRecord, QueueRule};
use figloft::dispatch::job_spec::{JobSpec, StepSpec};
use figloft::dispatch::load_digest::{GrowthDigest, LoadDigest};
use figloft::error::{ErrorKind, Result};
use figloft::model::amount::{MemoryMib, MilliCores};
use figloft::model::id::{JobId, LeaderTerm, PoolId, QueueId, SessionId};
use figloft::model::resource::ResourceSet;
use figloft::model::unix_time::UnixMillis;
use figloft::node::node_context::{NodeContext, NodeOptions};
use figloft::node::node_lease::LeaseStatus;
use figloft::node::node_metrics::NodeMetrics;
use figloft::node::store_keys;
use figloft::platform::http::HttpClient;
use figloft::platform::settings::NodeSettings;
use figloft::platform::store::StoreApiClient;
use figloft::request::admission_gate::AdmissionGate;
use figloft::request::caller_limits::CallerLimits;
use figloft::request::submission_batcher::{SubmissionBatcher, SubmissionOutcome};
use prometheus::Registry;
use serde_json::json;
use slog::{Discard, Logger, o};
use tokio::sync::watch;

use crate::fake_store::FakeStore;
use crate::store_lists::store_client;

/// Attempts until a submission is decided by a recent digest; each takes a fraction of a second.
const MAX_ATTEMPTS: usize = 40;

/// Context of a node that admits submissions by forecast.
pub fn context(store: StoreApiClient) -> NodeContext {
    let address = "127.0.0.1:1";
    let settings = json!({
        "node": "node-1", "zone": "zone-a", "bind-ip": "127.0.0.1",
        "listen-addrs": {"front": address, "ready": address}, "platform": {"address": address},
    });
    NodeContext {
        settings: Arc::new(NodeSettings::parse(settings.to_string().as_bytes()).expect("settings")),
        session: SessionId::new("session-1").expect("session"),
        clock: Arc::new(SystemClock),
        http_client: HttpClient::new(),
        store,
        advice_line: Arc::default(),
        config: watch::channel(None).1,
        lease: watch::channel(LeaseStatus::default()).1,
        stopping: watch::channel(false).1,
        metrics: Arc::new(NodeMetrics::new(Registry::new()).expect("metrics")),
        limits: Arc::new(CallerLimits::new(None, None, Logger::root(Discard, o!())).expect("limits")),
        options: NodeOptions {
            forecasts_admission: true,
            ..NodeOptions::default()
        },
        log: Logger::root(Discard, o!()),
    }
}

/// A job of one task.
pub fn record(id: u64) -> JobRecord {
    JobRecord {
        id: JobId::new(format!("{id:016x}")).expect("job"),
        pool: PoolId::new("pool-a").expect("pool"),
        queue: QueueId::new("r-1").expect("queue"),
        organisation: None,
        rule: QueueRule {
            priority: 0,
            max_attempts: 4,
            slack_factor: 1.6,
            target_latency: Duration::from_millis(600),
            advice: None,
        },
        accepted_at: UnixMillis::new(1),
        spec: JobSpec {
            payload: "text".into(),
            steps: vec![StepSpec {
                demand: ResourceSet::new(MilliCores::new(1_000), MemoryMib::new(100)),
                estimate: Duration::from_secs(10),
                ..StepSpec::default()
            }],
            schedule: None,
        },
    }
}

struct AdmissionSetup {
    fake: FakeStore,
    gate: AdmissionGate,
    batcher: SubmissionBatcher,
    context: NodeContext,
    next_probe: u64,
}

impl AdmissionSetup {
    async fn start(forecasts: bool) -> Self {
        let (fake, address) = FakeStore::start().await;
        let mut context = context(store_client(address));
        context.options.forecasts_admission = forecasts;
        Self {
            fake,
            gate: AdmissionGate::start(&context),
            batcher: SubmissionBatcher::start(
                context.store.clone(),
                Arc::clone(&context.clock),
                context.log.clone(),
            ),
            context,
            next_probe: 1_000,
        }
    }

    async fn submit(&self, id: u64) -> Result<SubmissionOutcome> {
        let deadline = Instant::now() + Duration::from_millis(1_200);
        self.gate
            .submit(&self.batcher, record(id), &ResourceSet::default(), deadline)
            .await
    }

    /// Submits a job of an organisation that may use `limit`.
    async fn submit_limited(&self, record: JobRecord, limit: &ResourceSet) -> Result<SubmissionOutcome> {
        let deadline = Instant::now() + Duration::from_millis(1_200);
        self.gate.submit(&self.batcher, record, limit, deadline).await
    }

    /// Stores a digest of a pool with work for hours.
    fn write_digest(&self) {
        let at = self.context.wall_time();
        let mut digest = LoadDigest {
            at,
            term: LeaderTerm::new(1),
            capacity: MilliCores::new(8_000),
            used: MilliCores::new(8_000),
            workers: 1,
            largest_worker: MilliCores::new(8_000),
            ..LoadDigest::default()
        };
        for slack_ms in [400, 900, 1_900, 3_900, 7_900] {
            let backlog = digest.backlog_mut(0);
            backlog.add_on_time(Duration::from_millis(slack_ms), 1_000_000_000_000);
        }
        let growth = GrowthDigest {
            at,
            term: LeaderTerm::new(1),
            workers: BTreeMap::from([(PoolId::new("pool-a").expect("pool"), 1)]),
        };
        self.fake.write("load/pool-a", &json!(digest));
        self.fake.write(store_keys::GROWTH_KEY, &json!(growth));
    }

    /// Submits new jobs until one is refused by the forecast. Returns its id.
    async fn refuse_one(&mut self) -> u64 {
        for _ in 0..MAX_ATTEMPTS {
            self.write_digest();
            self.next_probe += 1;
            match self.submit(self.next_probe).await {
                Err(error) if error.kind() == ErrorKind::Overloaded => {
                    assert!(error.retry_after().is_some_and(|time| time.as_secs() >= 1));
                    return self.next_probe;
                }
                _ => tokio::time::sleep(Duration::from_millis(150)).await,
            }
        }
        panic!("no submission is refused");
    }

    async fn is_stored(&self, id: u64) -> bool {
        let key = store_keys::summary_key(&record(id).id);
        let item = self.context.store.get(&key, Duration::from_secs(2)).await;
        item.expect("store answers").is_some()
    }
}

/// Guards against a refusal of a job that an earlier submission has stored, and against storing one that was refused.
#[tokio::test]
async fn known_job_is_not_refused() {
    let mut gate = AdmissionSetup::start(true).await;
    assert_eq!(
        gate.submit(1).await,
        Ok(SubmissionOutcome::Accepted),
        "no digest yet"
    );
    let refused = gate.refuse_one().await;
    assert!(!gate.is_stored(refused).await);
    assert_eq!(gate.submit(1).await, Ok(SubmissionOutcome::Duplicate));
}

/// Guards against a refusal after a lost answer: the submission may have been stored, or may be stored later.
#[tokio::test]
async fn job_without_an_answer_is_not_refused() {
    let mut gate = AdmissionSetup::start(true).await;
    gate.refuse_one().await;
    gate.fake.lost_commit_percent.store(100, Ordering::Relaxed);
    let mut lost = None;
    for id in 1..200 {
        let outcome = gate.submit(id).await.map_err(|error| error.kind());
        if outcome == Err(ErrorKind::StoreOutcomeUnknown) {
            lost = Some(id);
            break;
        }
        // Refused while the digest is recent; without one, jobs are handed to the store.
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    gate.fake.lost_commit_percent.store(0, Ordering::Relaxed);
    let lost = lost.expect("a submission without an answer");
    for _ in 0..5 {
        gate.write_digest();
        tokio::time::sleep(Duration::from_millis(150)).await;
        let outcome = gate.submit(lost).await;
        assert!(outcome.is_ok(), "{outcome:?}");
    }
}

/// Guards against a job that is accepted and never runs because one of its tasks, or one of its gangs as a whole, needs
/// more than the whole limit of its organisation. Nothing of the job is stored.
#[tokio::test]
async fn job_that_exceeds_the_limit_is_refused() {
    for forecasts in [false, true] {
        let gate = AdmissionSetup::start(forecasts).await;
        let limit = |millicores| ResourceSet::new(MilliCores::new(millicores), MemoryMib::default());
        let mut gang = record(2);
        gang.spec.steps[0].tasks = 3;
        gang.spec.steps[0].is_gang = true;
        for (id, refused, millicores) in [(1, record(1), 999), (2, gang.clone(), 2_999)] {
            let error = gate
                .submit_limited(refused, &limit(millicores))
                .await
                .expect_err("refusal");
            assert_eq!(error.kind(), ErrorKind::LimitReached);
            assert!(error.retry_after().is_some());
            assert!(!gate.is_stored(id).await);
        }
        let mut tasks = gang.clone();
        tasks.id = record(3).id;
        tasks.spec.steps[0].is_gang = false;
        for (accepted, millicores) in [(record(1), 1_000), (gang, 3_000), (tasks, 1_000), (record(4), 0)] {
            let outcome = gate.submit_limited(accepted, &limit(millicores)).await;
            assert_eq!(outcome, Ok(SubmissionOutcome::Accepted));
        }
    }
}

/// Guards against a refusal of a repeated submission after the limit was lowered: the job was accepted before.
#[tokio::test]
async fn accepted_job_is_not_refused_for_a_lowered_limit() {
    let gate = AdmissionSetup::start(false).await;
    assert_eq!(gate.submit(1).await, Ok(SubmissionOutcome::Accepted));
    let lowered = ResourceSet::new(MilliCores::new(500), MemoryMib::default());
    let outcome = gate.submit_limited(record(1), &lowered).await;
    assert_eq!(outcome, Ok(SubmissionOutcome::Duplicate));
}
