//! One seeded run: three processes, four workers, callers, and a series of faults that overlap.

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
use crate::fake_worker::FakeWorker;
use crate::link_proxy::{LinkMode, LinkProxy};
use crate::node_process::NodeProcess;

const NODES: usize = 3;
const WORKERS: usize = 4;
/// Time that a crashed worker needs to start again.
const RESTART_TIME: Duration = Duration::from_millis(200);
/// Time in which faults happen and jobs are submitted.
const FAULT_TIME: Duration = Duration::from_secs(10);
/// Time after the last fault in which every accepted job has to be completed: the longest lease, a take-over and the
/// jobs themselves.
const RECOVERY_TIME: Duration = Duration::from_secs(25);

type Views = Arc<Mutex<BTreeMap<String, JobView>>>;
type CallerClient = Client<HttpConnector, Full<Bytes>>;

struct World {
    store: FakeStore,
    workers: Vec<FakeWorker>,
    worker_links: Vec<LinkProxy>,
    store_links: Vec<LinkProxy>,
    nodes: Vec<NodeProcess>,
}

/// Runs one seed and returns the broken promises.
pub async fn run(seed: u64) -> Vec<String> {
    let mut rng = StdRng::seed_from_u64(seed);
    let folder = std::env::temp_dir().join(format!("figloft-soak-{}-{seed}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("folder");
    let mut world = build(&folder).await;
    tokio::time::sleep(Duration::from_secs(1)).await;
    let views: Views = Arc::default();
    let addresses: Vec<SocketAddr> = world.nodes.iter().map(|node| node.callers).collect();
    let callers = tokio::spawn(submit_jobs(seed, addresses.clone(), Arc::clone(&views)));
    let end = Instant::now() + FAULT_TIME;
    while Instant::now() < end {
        strike(&mut rng, &mut world).await;
        tokio::time::sleep(Duration::from_millis(rng.random_range(100..900))).await;
    }
    heal(&mut world);
    callers.await.expect("callers");
    await_completion(&mut world, &addresses, &views).await;
    let records: Vec<_> = world.workers.iter().flat_map(FakeWorker::records).collect();
    let violations = checker::check(&records, &views.lock().expect("views"));
    drop(world);
    if violations.is_empty() {
        std::fs::remove_dir_all(&folder).expect("folder");
    } else {
        eprintln!("logs of seed {seed}: {}", folder.display());
    }
    violations
}

async fn build(folder: &std::path::Path) -> World {
    let (store, address) = FakeStore::start().await;
    let mut workers = Vec::new();
    let mut worker_links = Vec::new();
    for _ in 0..WORKERS {
        let (worker, address) = FakeWorker::start().await;
        worker_links.push(LinkProxy::start(address).await);
        workers.push(worker);
    }
    let config = json!({"version": 1, "routes": [{"name": "r-1", "host": "jobs.example", "prefix": "/q/",
        "service": "pool-a", "timeout-ms": 3000, "target-latency-ms": 600, "priority": 0, "max-attempts": 4,
        "slack-factor": 2.0, "public": true}], "services": [{"name": "pool-a", "enforce-capacity": true}],
        "limits": {}, "tenants": []});
    store.write("op/config", &config);
    let mut store_links = Vec::new();
    let mut nodes = Vec::new();
    for number in 0..NODES {
        let link = LinkProxy::start(address).await;
        let mut node = NodeProcess::new(folder, number, link.address);
        node.start();
        store_links.push(link);
        nodes.push(node);
    }
    let world = World {
        store,
        workers,
        worker_links,
        store_links,
        nodes,
    };
    for number in 0..WORKERS {
        list_worker(&world, number);
    }
    world
}

fn list_worker(world: &World, number: usize) {
    let entry = json!({"service": "pool-a", "address": world.worker_links[number].address.to_string(),
        "zone": "zone-a", "state": "ready", "capacity": {"cpu": 8000, "mem-mb": 8192, "gpu": 0},
        "labels": ["a", "r-1"], "born": world.workers[number].born(), "sequence": 1});
    world.store.write(&format!("servers/i-{number}"), &entry);
}

async fn strike(rng: &mut StdRng, world: &mut World) {
    let node = rng.random_range(0..NODES);
    let worker = rng.random_range(0..WORKERS);
    let mode = [
        LinkMode::Slow,
        LinkMode::Silent,
        LinkMode::OneWay,
        LinkMode::Closed,
    ][rng.random_range(0..4)];
    match rng.random_range(0..9) {
        0 => {
            world.nodes[node].signal(Signal::KILL);
            tokio::time::sleep(Duration::from_millis(100)).await;
            world.nodes[node].start();
        }
        1 => world.nodes[node].signal(Signal::TERM),
        2 => world.nodes[node].signal(Signal::STOP),
        3 => world.nodes.iter_mut().for_each(|node| node.signal(Signal::CONT)),
        4 => world.store_links[node].set(mode),
        5 => world.worker_links[worker].set(mode),
        6 => {
            world.worker_links[worker].crash();
            world.workers[worker].crash();
            tokio::time::sleep(RESTART_TIME).await;
            world.worker_links[worker].set(LinkMode::Pass);
            list_worker(world, worker);
        }
        7 => world.store.lost_percent.store(30, Ordering::Relaxed),
        _ => {
            world.store.lost_percent.store(0, Ordering::Relaxed);
            world.store_links.iter().for_each(|link| link.set(LinkMode::Pass));
            world
                .worker_links
                .iter()
                .for_each(|link| link.set(LinkMode::Pass));
            world.nodes.iter_mut().for_each(NodeProcess::start);
        }
    }
}

fn heal(world: &mut World) {
    world.store.lost_percent.store(0, Ordering::Relaxed);
    world.store_links.iter().for_each(|link| link.set(LinkMode::Pass));
    world
        .worker_links
        .iter()
        .for_each(|link| link.set(LinkMode::Pass));
    for node in &mut world.nodes {
        node.signal(Signal::CONT);
        node.start();
    }
}

async fn submit_jobs(seed: u64, nodes: Vec<SocketAddr>, views: Views) {
    let mut rng = StdRng::seed_from_u64(seed ^ 0x5eed);
    let client = Client::builder(TokioExecutor::new()).build_http();
    let end = Instant::now() + FAULT_TIME;
    let mut calls = Vec::new();
    while Instant::now() < end {
        let job = format!("{:016x}", rng.random::<u64>());
        let tasks = rng.random_range(1..6);
        let order: Vec<SocketAddr> = (0..4).map(|_| nodes[rng.random_range(0..NODES)]).collect();
        calls.push(tokio::spawn(submit(
            client.clone(),
            order,
            job,
            tasks,
            Arc::clone(&views),
        )));
        tokio::time::sleep(Duration::from_millis(rng.random_range(40..160))).await;
    }
    for call in calls {
        call.await.expect("submission");
    }
}

/// Submits a job until it is accepted, at most four times, as callers do.
async fn submit(client: CallerClient, nodes: Vec<SocketAddr>, job: String, tasks: u32, views: Views) {
    let body =
        json!({"spec": "text", "steps": [{"count": tasks, "cpu": 1000, "mem-mb": 256, "estimate-ms": 200}]});
    let mut view = JobView {
        tasks,
        is_refused: true,
        ..JobView::default()
    };
    for node in nodes {
        let (status, _) = call(&client, "POST", node, &job, &body).await;
        view.is_accepted = status == 200;
        view.is_refused &= matches!(status, 429 | 503) || status == 0;
        if status == 0 {
            // A call without an answer may have been accepted.
            view.is_refused = false;
        }
        if view.is_accepted {
            break;
        }
        tokio::time::sleep(Duration::from_millis(300)).await;
    }
    views.lock().expect("views").insert(job, view);
}

/// Makes a call; status 0 stands for no answer.
async fn call(
    client: &CallerClient,
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
    let answer = tokio::time::timeout(Duration::from_secs(3), client.request(request)).await;
    let Ok(Ok(answer)) = answer else {
        return (0, Value::Null);
    };
    let status = answer.status().as_u16();
    let body = answer
        .into_body()
        .collect()
        .await
        .map(http_body_util::Collected::to_bytes)
        .unwrap_or_default();
    (status, serde_json::from_slice(&body).unwrap_or(Value::Null))
}

/// Asks for every accepted job until it is shown as completed. Processes that end meanwhile are started again, as the
/// platform does.
async fn await_completion(world: &mut World, nodes: &[SocketAddr], views: &Views) {
    let client: CallerClient = Client::builder(TokioExecutor::new()).build_http();
    let end = Instant::now() + RECOVERY_TIME;
    let mut round = 0;
    while Instant::now() < end {
        round += 1;
        world.nodes.iter_mut().for_each(NodeProcess::start);
        let open: Vec<String> = {
            let views = views.lock().expect("views");
            let open = views
                .iter()
                .filter(|(_, view)| view.is_accepted && view.completed_at.is_none());
            open.map(|(job, _)| job.clone()).collect()
        };
        if open.is_empty() {
            return;
        }
        for (number, job) in open.iter().enumerate() {
            let node = nodes[(number + round) % nodes.len()];
            let (status, body) = call(&client, "GET", node, job, &Value::Null).await;
            if status == 200 && body["state"] == "completed" {
                let mut views = views.lock().expect("views");
                if let Some(view) = views.get_mut(job) {
                    view.completed_at = Some(Instant::now());
                }
            }
        }
        tokio::time::sleep(Duration::from_millis(200)).await;
    }
}
