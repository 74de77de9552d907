//! The configuration of the small deployment that the cases use.

use std::net::SocketAddr;
use std::thread;
use std::time::{Duration, Instant};

use crate::client::{job_id, Client};
use crate::json::Json;
use crate::node::{Node, Setup};
use crate::record::Record;
use crate::runner::{RunRecord, Runner};
use crate::store::Store;

pub const HOST: &str = "queues.example";
/// Prefix of the queue of the service `tools`.
pub const PREFIX: &str = "/tools/";
/// Keys of two tenants.
pub const FIRST_KEY: &str = "key-of-the-first-tenant";
pub const SECOND_KEY: &str = "key-of-the-second-tenant";

/// Largest body (`max-body-bytes`).
pub const MAX_BODY_BYTES: usize = 262_144;

/// A configuration with one service, one queue and two tenants. `routes` and `keys` are added to the first tenant's.
pub fn config(version: u64, routes: &[String], keys: &[&str]) -> String {
    let keys: Vec<String> = keys.iter().map(|key| format!("\"{key}\"")).collect();
    let queue = format!(
        "{{\"name\":\"r-tools\",\"host\":\"{HOST}\",\"prefix\":\"{PREFIX}\",\"kind\":\"non_idempotent\",\
         \"timeout-ms\":3000,\"target-latency-ms\":600,\"priority\":0,\"service\":\"tools\",\"max-attempts\":3,\
         \"slack-factor\":2.0,\"public\":false}}"
    );
    let mut rows = vec![queue];
    rows.extend(routes.iter().cloned());
    format!(
        "{{\"version\":{version},\"routes\":[{}],\"services\":[{{\"name\":\"tools\",\"health-path\":\"/health\",\
         \"max-conns\":64,\"protocol\":\"h1\",\"tls-mode\":false,\"enforce-capacity\":true,\"spare\":false}}],\
         \"limits\":{{\"max-header-bytes\":16384,\"max-body-bytes\":{MAX_BODY_BYTES},\"header-timeout-ms\":3000,\
         \"idle-timeout-ms\":15000}},\"tenants\":[{{\"name\":\"first\",\"api-keys\":[{}],\"priority\":1,\"weight\":50,\
         \"cap\":{{\"cpu\":0,\"mem-mb\":0,\"gpu\":0}}}},{{\"name\":\"second\",\"api-keys\":[\"{SECOND_KEY}\"],\
         \"priority\":1,\"weight\":50,\"cap\":{{\"cpu\":0,\"mem-mb\":0,\"gpu\":0}}}}]}}",
        rows.join(","),
        keys.join(",")
    )
}

/// A job with one short task.
pub const SMALL_JOB: &str =
    "{\"spec\":\"run-ms=100\",\"steps\":[{\"count\":1,\"cpu\":500,\"mem-mb\":64,\"estimate-ms\":100}]}";

/// Nodes of a site.
const NODES: usize = 3;
/// Cores of a runner.
const RUNNER_CORES: u64 = 32;

/// A small deployment: a store, runners of one service, and nodes.
pub struct Site {
    pub store: Store,
    pub runners: Vec<Runner>,
    pub nodes: Vec<Node>,
    folder: String,
    store_address: SocketAddr,
    advice_address: Option<SocketAddr>,
}

impl Site {
    /// Starts a site and waits until each node has served a job. `None` if that takes too long.
    pub fn start(folder: &str, runners: usize, record: &Record) -> Option<Self> {
        Self::start_with(folder, runners, record, &[], None)
    }

    /// The same with further routes, and an advice service at this address.
    pub fn start_with(
        folder: &str,
        runners: usize,
        record: &Record,
        routes: &[String],
        advice_address: Option<SocketAddr>,
    ) -> Option<Self> {
        let (store, store_address) = Store::start();
        store.write("op/config", &config(1, routes, &[FIRST_KEY]));
        let runners = (0..runners)
            .map(|number| Runner::start(number, "tools", RUNNER_CORES, &store, record))
            .collect();
        let mut site = Self {
            store,
            runners,
            nodes: Vec::new(),
            folder: folder.to_owned(),
            store_address,
            advice_address,
        };
        site.nodes = (0..NODES).map(|number| site.start_node(number)).collect();
        let end = Instant::now() + Duration::from_secs(15);
        for number in 0..NODES {
            let id = job_id(0xaaaa, number);
            let client = site.client(number, SECOND_KEY);
            while client.submit(&id, SMALL_JOB) != 200 || client.state(&id).1 != "completed" {
                if Instant::now() > end {
                    return None;
                }
                thread::sleep(Duration::from_millis(200));
            }
        }
        Some(site)
    }

    fn start_node(&self, number: usize) -> Node {
        let name = format!("node-{number}");
        Node::start(
            &self.folder,
            &Setup {
                name: &name,
                store: self.store_address,
                advice: self.advice_address,
            },
        )
    }

    /// Starts a node whose process has ended.
    pub fn restart(&mut self, number: usize) {
        self.nodes[number] = self.start_node(number);
    }

    /// A client with this key, at one node after the other.
    pub fn client<'a>(&self, number: usize, key: &'a str) -> Client<'a> {
        Client {
            front: self.nodes[number % self.nodes.len()].front,
            host: HOST,
            prefix: PREFIX,
            key,
        }
    }

    /// All runs of the tasks of a job.
    pub fn runs_of(&self, job: &str) -> Vec<RunRecord> {
        let records = self.runners.iter().flat_map(Runner::records);
        records.filter(|run| run.task.starts_with(job)).collect()
    }

    /// Cores of all runners.
    pub fn cores(&self) -> u64 {
        self.runners.len() as u64 * RUNNER_CORES
    }

    /// Term of the leader of the service's pool.
    pub fn term(&self) -> i64 {
        let value = self.store.read("term/pool-tools").unwrap_or_default();
        Json::parse(&value).get("term").int().unwrap_or(0)
    }

    /// Records whether the processes run, and their memory.
    pub fn record_nodes(&mut self, record: &Record) {
        for node in &mut self.nodes {
            let (now, peak) = node.memory_mb();
            let state = if node.is_alive() { "runs" } else { "has ended" };
            record.tell(&format!("{} {state}, memory {now} MB, peak {peak} MB", node.name));
        }
    }
}
