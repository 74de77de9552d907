//! Writes that the store executes seconds after they were sent.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use figloft::model::id::{LeaderTerm, SessionId, StoreRevision};
use figloft::node::fenced_writer::{FencedOutcome, FencedWriter, RoleClaim};
use figloft::platform::store::StoreTransaction;
use hyper_util::client::legacy::Client;
use hyper_util::rt::TokioExecutor;
use serde_json::{Value, json};
use slog::{Logger, o};

use crate::fake_store::FakeStore;
use crate::fake_worker::{FakeWorker, LONG_RUNNING_PREFIX};
use crate::node_process::NodeProcess;
use crate::scenario::{self, HttpClient};
use crate::store_lists;

/// Time for which a test waits for a state that it needs.
const MAX_WAIT: Duration = Duration::from_secs(10);

/// Time after which the delayed write is executed; by then it has timed out and later ones have been stored.
const WRITE_DELAY: Duration = Duration::from_millis(3_500);

/// Time after which a caller leaves, before the first attempt to store its submission times out.
const CALLER_PATIENCE: Duration = Duration::from_millis(600);

/// Jobs that wait while a long-running job takes the whole worker.
const WAITING_JOBS: usize = 12;

struct WaitingPool {
    store: FakeStore,
    node: NodeProcess,
    worker: FakeWorker,
    client: HttpClient,
}

/// Waits until `is_reached` holds.
pub async fn wait_until(what: &str, is_reached: impl Fn() -> bool) {
    let end = Instant::now() + MAX_WAIT;
    while !is_reached() {
        assert!(Instant::now() < end, "not reached: {what}");
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

impl WaitingPool {
    /// Starts a node whose only worker has no room left.
    async fn start(directory: &std::path::Path) -> Self {
        let (store, store_address) = FakeStore::start().await;
        let (worker, worker_address) = FakeWorker::start().await;
        store.write("op/config", &scenario::config());
        store.write(
            "servers/i-0",
            &scenario::worker_entry(worker_address, worker.incarnation()),
        );
        let mut node = NodeProcess::new(directory, 0, store_address);
        node.start();
        let pool = Self {
            store,
            node,
            worker,
            client: Client::builder(TokioExecutor::new()).build_http(),
        };
        wait_until("the node leads the pool", || {
            !pool.store.history("wait/pool-a").is_empty()
        })
        .await;
        let step = json!({"count": 4, "cpu": 2000, "mem-mb": 64, "long-running": true});
        pool.submit(&format!("{LONG_RUNNING_PREFIX}00000000"), &step)
            .await;
        wait_until("the worker is full", || pool.worker.records().len() == 4).await;
        pool
    }

    fn address(&self) -> SocketAddr {
        self.node.caller_address
    }

    async fn submit(&self, job: &str, step: &Value) {
        let body = json!({"spec": "text", "steps": [step]});
        let (status, _) = scenario::send_request(&self.client, "POST", self.address(), job, &body).await;
        assert_eq!(status, 200, "the job is accepted");
    }

    /// Submits a job that waits.
    async fn submit_waiting(&self, number: usize) {
        let step = json!({"count": 1, "cpu": 2000, "mem-mb": 64, "estimate-ms": 200});
        self.submit(&format!("{number:016x}"), &step).await;
    }

    async fn waiting_count(&self) -> Value {
        let (_, body) = scenario::send_request(&self.client, "GET", self.address(), "", &Value::Null).await;
        body["waiting"].clone()
    }
}

/// Guards against a count of waiting jobs that stays wrong: a write of it without an answer, executed late, replaced
/// the newer count, and the leader compared the next count only with the one that it had sent last.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn late_write_of_the_waiting_count_has_no_effect() {
    let directory = test_directory("late-count");
    let pool = WaitingPool::start(&directory).await;
    pool.store.delay_commit("wait/", WRITE_DELAY);
    let sent_at = Instant::now();
    pool.submit_waiting(0).await;
    wait_until("the first count is written", || {
        !pool.store.awaits_delayed_commit()
    })
    .await;
    for number in 1..WAITING_JOBS {
        pool.submit_waiting(number).await;
    }
    wait_until("the last count is stored", || {
        let history = pool.store.history("wait/pool-a");
        history.last() == Some(&json!({"r-1": WAITING_JOBS}))
    })
    .await;
    assert!(
        sent_at.elapsed() < WRITE_DELAY,
        "the last count is stored before the late write"
    );
    tokio::time::sleep(WRITE_DELAY + Duration::from_secs(1)).await;
    let history = pool.store.history("wait/pool-a");
    assert_eq!(
        pool.waiting_count().await,
        json!(WAITING_JOBS),
        "history: {history:?}"
    );
    drop(pool);
    std::fs::remove_dir_all(&directory).expect("directory");
}

/// Guards against a cancellation that is stored after its job has ended: the caller sends it again after a time-out,
/// the job ends, and the first one is executed late and leaves a record that belongs to no job.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn late_cancellation_has_no_effect_after_the_end_of_its_job() {
    let directory = test_directory("late-cancel");
    let pool = WaitingPool::start(&directory).await;
    pool.submit_waiting(1).await;
    let job = format!("{:016x}", 1);
    let cancel = async || {
        let (status, _) =
            scenario::send_request(&pool.client, "DELETE", pool.address(), &job, &Value::Null).await;
        status
    };
    let key = format!("in/pool-a/{job}.cancel");
    pool.store.delay_commit("in/", WRITE_DELAY);
    let sent_at = Instant::now();
    assert_ne!(cancel().await, 200, "the first cancellation has no answer");
    assert_eq!(cancel().await, 200, "the second cancellation is stored");
    let ended = vec![json!(1), Value::Null];
    wait_until("the cancellation is carried out", || {
        pool.store.history(&key) == ended
    })
    .await;
    tokio::time::sleep((WRITE_DELAY + Duration::from_secs(1)).saturating_sub(sent_at.elapsed())).await;
    assert_eq!(pool.store.history(&key), ended);
    drop(pool);
    std::fs::remove_dir_all(&directory).expect("directory");
}

/// Guards against a job that runs after its cancellation was acknowledged with 410: the first write of the submission has
/// no answer, the caller leaves and cancels at another node, and the submission was written again, or executed late.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn job_cancelled_before_it_is_stored_never_runs() {
    let directory = test_directory("early-cancel");
    let (store, store_address) = FakeStore::start().await;
    let (worker, worker_address) = FakeWorker::start().await;
    store.write("op/config", &scenario::config());
    let entry = scenario::worker_entry(worker_address, worker.incarnation());
    store.write("servers/i-0", &entry);
    let mut nodes = [0, 1].map(|number| NodeProcess::new(&directory, number, store_address));
    nodes.iter_mut().for_each(NodeProcess::start);
    let leads = || !store.history("wait/pool-a").is_empty();
    wait_until("a node leads the pool", leads).await;
    let client = Client::builder(TokioExecutor::new()).build_http();
    let body =
        json!({"spec": "text", "steps": [{"count": 1, "cpu": 500, "mem-mb": 64, "estimate-ms": 60_000}]});
    for (submitter, canceller) in [(0, 1), (1, 0)] {
        let job = format!("{submitter:016x}");
        store.delay_commit("job/", WRITE_DELAY);
        let call = scenario::send_request(&client, "POST", nodes[submitter].caller_address, &job, &body);
        let answer = tokio::time::timeout(CALLER_PATIENCE, call).await;
        assert!(answer.is_err(), "the caller leaves without an answer");
        let address = nodes[canceller].caller_address;
        let (status, _) = scenario::send_request(&client, "DELETE", address, &job, &Value::Null).await;
        assert_eq!(status, 410, "the cancellation finds no job");
    }
    tokio::time::sleep(WRITE_DELAY + Duration::from_secs(1)).await;
    let started: Vec<_> = worker.records().into_iter().map(|run| run.task).collect();
    assert!(started.is_empty(), "started: {started:?}");
    drop(nodes);
    std::fs::remove_dir_all(&directory).expect("directory");
}

/// Guards against a count that outlives its leader: the node's lease has ended when the write that holds it succeeds,
/// and the count was stored without a lease. Records that are kept for callers are stored all the same.
#[tokio::test]
async fn count_is_not_stored_without_the_lease_of_its_leader() {
    let (fake, address) = FakeStore::start().await;
    let store = store_lists::store_client(address);
    let timeout = Duration::from_secs(1);
    let (lease, _) = store.grant_lease(MAX_WAIT, timeout).await.expect("lease");
    let (retention, _) = store.grant_lease(MAX_WAIT, timeout).await.expect("lease");
    let claim = RoleClaim {
        role: "pool-pool-a".into(),
        term: LeaderTerm::new(1),
        revision: StoreRevision::default(),
        lease,
    };
    let session = SessionId::new("node-0-1").expect("session");
    let log = Logger::root(slog::Discard, o!());
    let mut writer = FencedWriter::new(store.clone(), session, claim, log);
    store
        .revoke_lease(lease, timeout)
        .await
        .expect("end of the lease");
    let mut write = StoreTransaction::default();
    write.put("wait/pool-a", "{}", Some(lease));
    write.put("job/1", "{}", Some(retention));
    let outcome = writer.write(write).await.expect("write");
    assert_eq!(outcome, FencedOutcome::WrittenUnbound);
    assert_eq!(fake.history("wait/pool-a"), Vec::<Value>::new());
    assert_eq!(fake.history("job/1").len(), 1);
}

/// Directory of a test, for settings and logs.
pub fn test_directory(name: &str) -> std::path::PathBuf {
    let directory = std::env::temp_dir().join(format!("figloft-{name}-{}", std::process::id()));
    std::fs::create_dir_all(&directory).expect("directory");
    directory
}
