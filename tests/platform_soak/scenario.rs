//! Runs one seed: three nodes, four workers, callers, and a series of overlapping faults.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::Ordering;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::Request;
use http_body_util::{BodyExt, Full};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use rustix::process::Signal;
use serde_json::{Value, json};

use crate::checker::{self, JobView};
use crate::fake_store::FakeStore;
use crate::fake_worker::{FakeWorker, LONG_RUNNING_PREFIX};
use crate::link_proxy::{LinkMode, LinkProxy};
use crate::node_process::NodeProcess;

/// One job of so many is cancelled by a caller that has not waited for the answer to its submission.
const CANCELLED_PART: usize = 6;

/// Time after which such a caller leaves.
const CANCELLING_CALLER_PATIENCE: Duration = Duration::from_millis(3);

/// Jobs with long-running tasks, and their tasks, of which two may share a worker.
const LONG_RUNNING_JOBS: u32 = 2;
const LONG_RUNNING_TASKS: u32 = 4;

const NODE_COUNT: usize = 3;
const WORKER_COUNT: usize = 4;
/// Time for which the address of a crashed worker accepts no connections.
const WORKER_RESTART_TIME: Duration = Duration::from_millis(200);
/// Duration of the phase in which faults are injected and jobs are submitted.
const FAULT_PHASE: Duration = Duration::from_secs(10);
/// Time after the last fault within which every accepted job has to be completed, or all its long-running tasks have
/// to be at work. It covers the longest lease, a leader change and the jobs themselves.
const RECOVERY_TIMEOUT: Duration = Duration::from_secs(25);

type JobViews = Arc<Mutex<BTreeMap<String, JobView>>>;
/// HTTP client of the callers.
pub type HttpClient = Client<HttpConnector, Full<Bytes>>;

struct Cluster {
    store: FakeStore,
    workers: Vec<FakeWorker>,
    worker_proxies: Vec<LinkProxy>,
    store_proxies: Vec<LinkProxy>,
    nodes: Vec<NodeProcess>,
}

/// Runs one seed and returns the violations of the guarantees to callers.
pub async fn run(seed: u64) -> Vec<String> {
    let mut rng = StdRng::seed_from_u64(seed);
    let directory = std::env::temp_dir().join(format!("figloft-soak-{}-{seed}", std::process::id()));
    std::fs::create_dir_all(&directory).expect("directory");
    let mut cluster = start_cluster(&directory).await;
    tokio::time::sleep(Duration::from_secs(1)).await;
    let views: JobViews = Arc::default();
    let addresses: Vec<SocketAddr> = cluster.nodes.iter().map(|node| node.caller_address).collect();
    let submissions = tokio::spawn(submit_jobs(seed, addresses.clone(), Arc::clone(&views)));
    let end = Instant::now() + FAULT_PHASE;
    while Instant::now() < end {
        inject_fault(&mut rng, &mut cluster).await;
        tokio::time::sleep(Duration::from_millis(rng.random_range(100..900))).await;
    }
    clear_faults(&mut cluster);
    submissions.await.expect("submissions");
    await_completion(&mut cluster, &addresses, &views).await;
    let records: Vec<_> = cluster.workers.iter().flat_map(FakeWorker::records).collect();
    let violations = checker::find_violations(&records, &views.lock().expect("views"));
    drop(cluster);
    if violations.is_empty() {
        std::fs::remove_dir_all(&directory).expect("directory");
    } else {
        eprintln!("logs of seed {seed}: {}", directory.display());
    }
    violations
}

async fn start_cluster(directory: &std::path::Path) -> Cluster {
    let (store, address) = FakeStore::start().await;
    let mut workers = Vec::new();
    let mut worker_proxies = Vec::new();
    for _ in 0..WORKER_COUNT {
        let (worker, address) = FakeWorker::start().await;
        worker_proxies.push(LinkProxy::start(address).await);
        workers.push(worker);
    }
    store.write("op/config", &config());
    let mut store_proxies = Vec::new();
    let mut nodes = Vec::new();
    for number in 0..NODE_COUNT {
        let proxy = LinkProxy::start(address).await;
        let mut node = NodeProcess::new(directory, number, proxy.address);
        node.start();
        store_proxies.push(proxy);
        nodes.push(node);
    }
    let cluster = Cluster {
        store,
        workers,
        worker_proxies,
        store_proxies,
        nodes,
    };
    for number in 0..WORKER_COUNT {
        register_worker(&cluster, number);
    }
    cluster
}

/// Configuration with one public queue and one pool.
pub fn config() -> Value {
    json!({"version": 1, "routes": [{"name": "r-1", "host": "jobs.example", "prefix": "/q/",
        "service": "pool-a", "timeout-ms": 3000, "target-latency-ms": 600, "priority": 0, "max-attempts": 4,
        "slack-factor": 2.0, "public": true}], "services": [{"name": "pool-a", "enforce-capacity": true}],
        "limits": {}, "tenants": []})
}

/// Entry of a worker of that pool.
pub fn worker_entry(address: SocketAddr, incarnation: u64) -> Value {
    json!({"service": "pool-a", "address": address.to_string(), "zone": "zone-a", "state": "ready",
        "capacity": {"cpu": 8000, "mem-mb": 8192, "gpu": 0}, "labels": ["a", "r-1"], "born": incarnation,
        "sequence": 1})
}

fn register_worker(cluster: &Cluster, number: usize) {
    let address = cluster.worker_proxies[number].address;
    let entry = worker_entry(address, cluster.workers[number].incarnation());
    cluster.store.write(&format!("servers/i-{number}"), &entry);
}

async fn inject_fault(rng: &mut StdRng, cluster: &mut Cluster) {
    let node = rng.random_range(0..NODE_COUNT);
    let worker = rng.random_range(0..WORKER_COUNT);
    let mode = [
        LinkMode::Delay,
        LinkMode::DropAll,
        LinkMode::DropResponses,
        LinkMode::Refuse,
    ][rng.random_range(0..4)];
    match rng.random_range(0..9) {
        0 => {
            cluster.nodes[node].send_signal(Signal::KILL);
            tokio::time::sleep(Duration::from_millis(100)).await;
            cluster.nodes[node].start();
        }
        1 => cluster.nodes[node].send_signal(Signal::TERM),
        2 => cluster.nodes[node].send_signal(Signal::STOP),
        3 => cluster
            .nodes
            .iter_mut()
            .for_each(|node| node.send_signal(Signal::CONT)),
        4 => cluster.store_proxies[node].set_mode(mode),
        5 => cluster.worker_proxies[worker].set_mode(mode),
        6 => {
            cluster.worker_proxies[worker].disconnect();
            cluster.workers[worker].restart();
            tokio::time::sleep(WORKER_RESTART_TIME).await;
            cluster.worker_proxies[worker].set_mode(LinkMode::Forward);
            register_worker(cluster, worker);
        }
        7 => cluster.store.lost_commit_percent.store(30, Ordering::Relaxed),
        _ => {
            cluster.store.lost_commit_percent.store(0, Ordering::Relaxed);
            cluster
                .store_proxies
                .iter()
                .for_each(|proxy| proxy.set_mode(LinkMode::Forward));
            cluster
                .worker_proxies
                .iter()
                .for_each(|proxy| proxy.set_mode(LinkMode::Forward));
            cluster.nodes.iter_mut().for_each(NodeProcess::start);
        }
    }
}

fn clear_faults(cluster: &mut Cluster) {
    cluster.store.lost_commit_percent.store(0, Ordering::Relaxed);
    cluster
        .store_proxies
        .iter()
        .for_each(|proxy| proxy.set_mode(LinkMode::Forward));
    cluster
        .worker_proxies
        .iter()
        .for_each(|proxy| proxy.set_mode(LinkMode::Forward));
    for node in &mut cluster.nodes {
        node.send_signal(Signal::CONT);
        node.start();
    }
}

async fn submit_jobs(seed: u64, nodes: Vec<SocketAddr>, views: JobViews) {
    let mut rng = StdRng::seed_from_u64(seed ^ 0x5eed);
    let client = Client::builder(TokioExecutor::new()).build_http();
    let end = Instant::now() + FAULT_PHASE;
    let mut submissions = Vec::new();
    for number in 0..LONG_RUNNING_JOBS {
        let job = format!("{LONG_RUNNING_PREFIX}{number:08x}");
        let step = json!({"count": LONG_RUNNING_TASKS, "cpu": 500, "mem-mb": 1500, "anti-affinity": 2,
            "long-running": true});
        let submission = submit(client.clone(), nodes.clone(), job, step, Arc::clone(&views));
        submissions.push(tokio::spawn(submission));
    }
    while Instant::now() < end {
        let job = format!("{:016x}", rng.random::<u64>());
        let tasks = rng.random_range(1..6);
        let attempts: Vec<SocketAddr> = (0..4).map(|_| nodes[rng.random_range(0..NODE_COUNT)]).collect();
        let step = json!({"count": tasks, "cpu": 1000, "mem-mb": 256, "estimate-ms": 200});
        let (client, views) = (client.clone(), Arc::clone(&views));
        if submissions.len().is_multiple_of(CANCELLED_PART) {
            let cancelled = submit_and_cancel(client, attempts, job, step, views);
            submissions.push(tokio::spawn(cancelled));
        } else {
            let submission = submit(client, attempts, job, step, views);
            submissions.push(tokio::spawn(submission));
        }
        tokio::time::sleep(Duration::from_millis(rng.random_range(40..160))).await;
    }
    for submission in submissions {
        submission.await.expect("submission");
    }
}

/// Submits a job to one node after the other until one accepts it.
async fn submit(client: HttpClient, nodes: Vec<SocketAddr>, job: String, step: Value, views: JobViews) {
    let mut view = JobView {
        tasks: step["count"].as_u64().map_or(0, |count| count as u32),
        is_long_running: step["long-running"] == true,
        is_refused: true,
        ..JobView::default()
    };
    let body = json!({"spec": "text", "steps": [step]});
    for node in nodes {
        let (status, _) = send_request(&client, "POST", node, &job, &body).await;
        view.is_accepted = status == 200;
        view.is_refused &= matches!(status, 429 | 503) || status == 0;
        if status == 0 {
            // A submission without a response may have been accepted.
            view.is_refused = false;
        }
        if view.is_accepted {
            break;
        }
        tokio::time::sleep(Duration::from_millis(300)).await;
    }
    views.lock().expect("views").insert(job, view);
}

/// Submits a job, leaves without waiting for the answer, and cancels the job at one node after the other until a
/// cancellation is acknowledged.
async fn submit_and_cancel(
    client: HttpClient,
    nodes: Vec<SocketAddr>,
    job: String,
    step: Value,
    views: JobViews,
) {
    let body = json!({"spec": "text", "steps": [step]});
    let submission = send_request(&client, "POST", nodes[0], &job, &body);
    let _ = tokio::time::timeout(CANCELLING_CALLER_PATIENCE, submission).await;
    let mut view = JobView::default();
    for node in nodes.iter().skip(1).chain(&nodes) {
        let (status, _) = send_request(&client, "DELETE", *node, &job, &Value::Null).await;
        view.is_cancelled_unknown = status == 410;
        if matches!(status, 200 | 410) {
            break;
        }
        tokio::time::sleep(Duration::from_millis(300)).await;
    }
    views.lock().expect("views").insert(job, view);
}

/// Sends a request. Returns the status, 0 if there is no response, and the JSON body.
pub async fn send_request(
    client: &HttpClient,
    method: &str,
    node: SocketAddr,
    job: &str,
    body: &Value,
) -> (u16, Value) {
    let text = if body.is_null() {
        String::new()
    } else {
        body.to_string()
    };
    let request = Request::builder()
        .method(method)
        .uri(format!("http://{node}/q/{job}"))
        .header("host", "jobs.example")
        .body(Full::new(Bytes::from(text)))
        .expect("request");
    let response = tokio::time::timeout(Duration::from_secs(3), client.request(request)).await;
    let Ok(Ok(response)) = response else {
        return (0, Value::Null);
    };
    let status = response.status().as_u16();
    let body = response
        .into_body()
        .collect()
        .await
        .map(http_body_util::Collected::to_bytes)
        .unwrap_or_default();
    (status, serde_json::from_slice(&body).unwrap_or(Value::Null))
}

/// Reads the state of every accepted job until it is reported as completed or all its long-running tasks are at work.
/// Processes that exit meanwhile are
/// restarted, as the platform does.
async fn await_completion(cluster: &mut Cluster, nodes: &[SocketAddr], views: &JobViews) {
    let client: HttpClient = Client::builder(TokioExecutor::new()).build_http();
    let end = Instant::now() + RECOVERY_TIMEOUT;
    let mut round = 0;
    while Instant::now() < end {
        round += 1;
        cluster.nodes.iter_mut().for_each(NodeProcess::start);
        let pending: Vec<String> = {
            let records: Vec<_> = cluster.workers.iter().flat_map(FakeWorker::records).collect();
            let views = views.lock().expect("views");
            let pending = views.iter().filter(|(job, view)| {
                let is_open = if view.is_long_running {
                    view.failed_at.is_none() && checker::waiting_tasks(job, view, &records).next().is_some()
                } else {
                    view.completed_at.is_none()
                };
                view.is_accepted && is_open
            });
            pending.map(|(job, _)| job.clone()).collect()
        };
        if pending.is_empty() {
            return;
        }
        for (number, job) in pending.iter().enumerate() {
            let node = nodes[(number + round) % nodes.len()];
            let (status, body) = send_request(&client, "GET", node, job, &Value::Null).await;
            let mut views = views.lock().expect("views");
            if let Some(view) = views.get_mut(job).filter(|_| status == 200) {
                if body["state"] == "completed" {
                    view.completed_at = Some(Instant::now());
                }
                if view.is_long_running && body["state"] == "failed" {
                    view.failed_at = Some(Instant::now());
                }
            }
        }
        tokio::time::sleep(Duration::from_millis(200)).await;
    }
}
