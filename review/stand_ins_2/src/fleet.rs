//! The store, the runners and the nodes of a case, and what callers do.

use std::path::PathBuf;
use std::time::Duration;

use serde_json::{Value, json};

use crate::http_io::{self, CallerClient};
use crate::node::{Link, Node};
use crate::record::Record;
use crate::runner::{Run, Runner};
use crate::store::Store;

pub enum Verdict {
    Held,
    Broken(String),
    NotRun(String),
}

pub const KEY: &str = "key-1";

pub struct Fleet {
    pub record: Record,
    pub store: Store,
    pub runners: Vec<Runner>,
    pub nodes: Vec<Node>,
    pub links: Vec<Link>,
    pub client: CallerClient,
    directory: PathBuf,
}

/// Configuration with one queue, one pool and one tenant, whose limit on running cores is `cap` (0: none).
pub fn config(version: u64, cap: u64) -> Value {
    json!({"version": version, "routes": [{"name": "r-1", "host": "jobs.example", "prefix": "/q/",
        "service": "pool-a", "timeout-ms": 3000, "target-latency-ms": 600, "priority": 0, "max-attempts": 4,
        "slack-factor": 2.0}], "services": [{"name": "pool-a", "enforce-capacity": true}],
        "limits": {"max-body-bytes": 262_144},
        "tenants": [{"name": "t-1", "api-keys": [KEY], "weight": 100.0, "cap": {"cpu": cap, "mem-mb": 0, "gpu": 0}}]})
}

/// The same with a second pool and its queue below `/p/`.
pub fn two_pools(version: u64, cap: u64) -> Value {
    let mut config = config(version, cap);
    let mut route = config["routes"][0].clone();
    route["name"] = json!("r-2");
    route["prefix"] = json!("/p/");
    route["service"] = json!("pool-b");
    config["routes"].as_array_mut().expect("routes").push(route);
    let service = json!({"name": "pool-b", "enforce-capacity": true});
    config["services"].as_array_mut().expect("services").push(service);
    config
}

impl Fleet {
    /// Starts the store with the configuration, and prepares nodes in these zones.
    pub async fn start(record: &Record, config: &Value, zones: &[&str]) -> Self {
        let directory = std::env::temp_dir().join(format!("figloft-review-{}", std::process::id()));
        std::fs::create_dir_all(&directory).expect("directory");
        let (store, address) = Store::start(record).await;
        store.write("op/config", config);
        let mut nodes = Vec::new();
        let mut links = Vec::new();
        for (number, zone) in (1_u8..).zip(zones) {
            let link = Link::start(address).await;
            nodes.push(Node::new(&directory, number, zone, link.address));
            links.push(link);
        }
        Self {
            record: record.clone(),
            store,
            runners: Vec::new(),
            nodes,
            links,
            client: http_io::caller_client(),
            directory,
        }
    }

    pub async fn add_runner(&mut self, id: &str, machine: &str, zone: &str, capacity: u64, is_quiet: bool) {
        let runner = Runner::start(&self.record, id, capacity, is_quiet).await;
        self.store
            .write(&format!("servers/{id}"), &runner.entry(machine, zone));
        self.record.line(format_args!(
            "runner {id} registers, machine {machine}, {zone}, cpu {capacity}"
        ));
        self.runners.push(runner);
    }

    pub async fn add_pool_runner(&mut self, id: &str, machine: &str, zone: &str, capacity: u64, pool: &str) {
        let runner = Runner::start(&self.record, id, capacity, false).await;
        let mut entry = runner.entry(machine, zone);
        entry["service"] = json!(pool);
        self.store.write(&format!("servers/{id}"), &entry);
        self.record.line(format_args!(
            "runner {id} registers, {pool}, machine {machine}, {zone}, cpu {capacity}"
        ));
        self.runners.push(runner);
    }

    /// Starts a node and waits until it answers for the waiting jobs of the queue, so that the pool has a leader.
    pub async fn start_node(&mut self, number: usize) -> bool {
        self.nodes[number].start();
        self.record.line(format_args!("node {number} starts"));
        for _ in 0..100 {
            if self.call("GET", number, "", &Value::Null).await.0 == 200 {
                return true;
            }
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
        false
    }

    pub async fn call(&self, method: &str, node: usize, job: &str, body: &Value) -> (u16, Value) {
        let path = format!("/q/{job}");
        http_io::call(
            &self.client,
            method,
            self.nodes[node].address,
            &path,
            Some(KEY),
            body,
        )
        .await
    }

    /// Sends a caller's request and records it.
    pub async fn noted_call(&self, method: &str, node: usize, job: &str, body: &Value) -> (u16, Value) {
        let sent = self.record.now_ms();
        let answer = self.call(method, node, job, body).await;
        self.record.line(format_args!(
            "client: {method} {job} to node {node}, sent at {sent} ms, answer {} {}",
            answer.0, answer.1
        ));
        answer
    }

    /// The same for the queue below `/QUEUE/`.
    pub async fn noted_queue_call(
        &self,
        method: &str,
        node: usize,
        queue: &str,
        job: &str,
        body: &Value,
    ) -> (u16, Value) {
        let sent = self.record.now_ms();
        let path = format!("/{queue}/{job}");
        let answer = http_io::call(
            &self.client,
            method,
            self.nodes[node].address,
            &path,
            Some(KEY),
            body,
        )
        .await;
        self.record.line(format_args!(
            "client: {method} {path} {body} to node {node}, sent at {sent} ms, answer {} {}",
            answer.0, answer.1
        ));
        answer
    }

    pub fn runs(&self) -> Vec<Run> {
        let mut runs: Vec<Run> = self.runners.iter().flat_map(Runner::runs).collect();
        runs.sort_by_key(|run| run.started_ms);
        runs
    }

    /// Number of tasks of a job that run now.
    pub fn running_of(&self, job: &str) -> usize {
        let tasks = self.runners.iter().flat_map(Runner::running);
        tasks.filter(|task| task.starts_with(job)).count()
    }

    /// Waits until a job has this many tasks at work.
    pub async fn await_running(&self, job: &str, count: usize, limit: Duration) -> bool {
        let end = tokio::time::Instant::now() + limit;
        while self.running_of(job) != count {
            if tokio::time::Instant::now() >= end {
                return false;
            }
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
        true
    }

    pub async fn pause_ms(&self, millis: u64) {
        tokio::time::sleep(Duration::from_millis(millis)).await;
    }

    /// Copies the logs of the nodes if `KEEP_LOGS` names a folder.
    fn keep_logs(&self) {
        let Some(target) = std::env::var_os("KEEP_LOGS").map(PathBuf::from) else {
            return;
        };
        for number in 1..=self.nodes.len() {
            let name = format!("node-{number}.log");
            let _ = std::fs::copy(self.directory.join(&name), target.join(&name));
        }
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        for node in &mut self.nodes {
            node.kill();
        }
        for run in self.runs() {
            self.record.note(format_args!(
                "run of {} on {}, cpu {}: from {} ms, end {:?}, end taken note of at {:?}",
                run.task, run.runner, run.cpu, run.started_ms, run.ended, run.noted_ms
            ));
        }
        self.keep_logs();
        let _ = std::fs::remove_dir_all(&self.directory);
    }
}
