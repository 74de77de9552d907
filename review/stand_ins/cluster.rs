//! A small deployment: nodes, runners, store, machine API, operator and clients.

use std::net::TcpListener;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::http::{self, Reply};
use crate::json::{Json, map, number, text};
use crate::nodes::{self, Node, PlatformAddresses};
use crate::record::Record;
use crate::runner::{CAPACITY_CPU, CAPACITY_MEMORY, Run, Runner, Shared};
use crate::store::Store;

pub const SERVICE: &str = "pool-a";
pub const ZONE: &str = "zone-a";
const HOST: &str = "jobs.example";
const PREFIX: &str = "/queue-a/";
const KEY: &str = "key-1";

/// Time for which a client waits for an answer.
pub const CLIENT_DEADLINE: Duration = Duration::from_millis(3_000);

pub struct Cluster {
    pub store: Store,
    pub nodes: Vec<Node>,
    pub runners: Vec<Runner>,
    shared: Shared,
    record: Record,
    directory: PathBuf,
}

impl Drop for Cluster {
    fn drop(&mut self) {
        self.nodes.clear();
        if std::env::var_os("KEEP_LOGS").is_none() {
            let _ = std::fs::remove_dir_all(&self.directory);
        }
    }
}

fn config() -> Json {
    let route = map(&[
        ("name", text("queue-a")),
        ("host", text(HOST)),
        ("prefix", text(PREFIX)),
        ("service", text(SERVICE)),
        ("timeout-ms", number(3_000)),
        ("target-latency-ms", number(600)),
        ("priority", number(0)),
        ("max-attempts", number(3)),
        ("slack-factor", number(2)),
    ]);
    let service = map(&[("name", text(SERVICE)), ("enforce-capacity", Json::Bool(true))]);
    let tenant = map(&[
        ("name", text("tenant-1")),
        ("api-keys", Json::List(vec![text(KEY)])),
        ("weight", number(100)),
        ("cap", map(&[("cpu", number(0)), ("mem-mb", number(0)), ("gpu", number(0))])),
    ]);
    map(&[
        ("version", number(3)),
        ("routes", Json::List(vec![route])),
        ("services", Json::List(vec![service])),
        ("limits", map(&[("max-body-bytes", number(262_144))])),
        ("tenants", Json::List(vec![tenant])),
    ])
}

fn serve_machines(listener: TcpListener, runners: Vec<Runner>, record: Record) {
    let handler = move |request: &http::Request| {
        if request.method == "GET" {
            let rows = runners.iter().map(|runner| {
                let capacity = map(&[
                    ("cpu", number(CAPACITY_CPU)),
                    ("mem-mb", number(CAPACITY_MEMORY)),
                    ("gpu", number(0)),
                ]);
                map(&[
                    ("machine", text(runner.machine.as_str())),
                    ("pool", text(SERVICE)),
                    ("state", text("up")),
                    ("zone", text(ZONE)),
                    ("labels", Json::List(vec![text("a"), text("r1-1")])),
                    ("capacity", capacity),
                    ("id", text(runner.id.as_str())),
                ])
            });
            return Reply::Answer(200, map(&[("machines", Json::List(rows.collect()))]));
        }
        record.line(format!("machine API: unexpected order {} {}", request.path, request.body));
        Reply::Answer(409, map(&[("reason", text("busy"))]))
    };
    http::serve(listener, Arc::new(handler));
}

impl Cluster {
    /// Starts everything and waits until all nodes are ready.
    pub fn start(node_count: usize, runner_count: usize, record: &Record) -> Result<Self, String> {
        let directory = std::env::temp_dir().join(format!("figloft-review-{}", std::process::id()));
        std::fs::create_dir_all(&directory).map_err(|error| error.to_string())?;
        let shared = Shared::default();
        let store = Store::new(record.clone());
        store.write("op/config", &config());
        let runners: Vec<Runner> = (0..runner_count)
            .map(|index| {
                let name = format!("{:04x}", 0x7a10 + index);
                Runner::start(&name, nodes::free_listener(), shared.clone(), record.clone())
            })
            .collect();
        for runner in &runners {
            runner.register(&store, SERVICE, ZONE);
        }
        let machines = nodes::free_listener();
        let advice = nodes::free_listener();
        let machines_address = machines.local_addr().map_err(|error| error.to_string())?;
        let advice_address = advice.local_addr().map_err(|error| error.to_string())?;
        serve_machines(machines, runners.clone(), record.clone());
        http::serve(
            advice,
            Arc::new(|_| Reply::Answer(200, map(&[("good", Json::List(Vec::new()))]))),
        );
        let mut cluster = Self {
            store,
            nodes: Vec::new(),
            runners,
            shared,
            record: record.clone(),
            directory,
        };
        for number in 0..node_count {
            let listener = nodes::free_listener();
            let addresses = PlatformAddresses {
                store: listener.local_addr().map_err(|error| error.to_string())?,
                machines: machines_address,
                advice: advice_address,
            };
            cluster.store.serve(number, listener);
            let directory: &Path = &cluster.directory;
            let mut node = Node::new(directory, number, ZONE, &addresses, record.clone());
            node.start();
            cluster.nodes.push(node);
        }
        cluster.await_ready()?;
        Ok(cluster)
    }

    fn await_ready(&self) -> Result<(), String> {
        let end = Instant::now() + Duration::from_secs(15);
        while Instant::now() < end {
            let is_ready = |node: &Node| {
                let answer = http::call(node.ready, "GET", "/readiness", &[], None, CLIENT_DEADLINE);
                answer.is_some_and(|(status, _)| status == 200)
            };
            if self.nodes.iter().all(is_ready) && self.leader().is_some() {
                // The pool's leader reads its records and the runners' lists.
                std::thread::sleep(Duration::from_secs(2));
                self.record.line("platform: all nodes are ready");
                return Ok(());
            }
            std::thread::sleep(Duration::from_millis(100));
        }
        Err("the nodes did not become ready".to_owned())
    }

    /// The node that last wrote records of the pool under a condition.
    pub fn leader(&self) -> Option<usize> {
        self.store.last_writer(SERVICE)
    }

    pub fn runs(&self) -> Vec<Run> {
        self.shared.runs.lock().expect("runs").clone()
    }

    /// Calls a node as a client. Returns the status, 0 if there is no answer, and the body.
    pub fn call(&self, node: usize, method: &str, id: &str, body: Option<&Json>) -> (u16, Json) {
        let headers = [
            ("host", HOST.to_owned()),
            ("content-type", "application/json".to_owned()),
            ("authorization", format!("Token {KEY}")),
            ("figloft-deadline-ms", CLIENT_DEADLINE.as_millis().to_string()),
        ];
        let path = format!("{PREFIX}{id}");
        let name = &self.nodes[node].name;
        self.record.line(format!("client: {method} {path} to {name}"));
        let answer = http::call(self.nodes[node].front, method, &path, &headers, body, CLIENT_DEADLINE);
        let (status, body) = answer.unwrap_or((0, Json::Null));
        self.record.line(format!("client: {method} {path} to {name} is answered {status} {body}"));
        (status, body)
    }

    /// Submits a job as a client does, again at other nodes if it was not accepted. Returns whether it was accepted.
    pub fn submit(&self, first_node: usize, id: &str, job: &Json) -> bool {
        for attempt in 0..5 {
            let node = (first_node + attempt) % self.nodes.len();
            let (status, _) = self.call(node, "POST", id, Some(job));
            if (200..300).contains(&status) {
                return true;
            }
            std::thread::sleep(Duration::from_millis(300));
        }
        false
    }
}

/// A job of one step whose tasks take as long as estimated. `work_ms` is absent for tasks that last.
pub fn job(count: u64, cpu: u64, memory: u64, work_ms: Option<u64>) -> Json {
    match work_ms {
        Some(work_ms) => job_with_estimate(count, cpu, memory, work_ms, work_ms),
        None => encode_job(count, cpu, memory, "", ("long-running", Json::Bool(true))),
    }
}

/// A job of one step.
pub fn job_with_estimate(count: u64, cpu: u64, memory: u64, work_ms: u64, estimate_ms: u64) -> Json {
    let spec = format!(" work-ms={work_ms}");
    encode_job(count, cpu, memory, &spec, ("estimate-ms", number(estimate_ms)))
}

/// A job whose tasks end one after the other from a Unix time on.
pub fn job_until(count: u64, cpu: u64, memory: u64, end_ms: u64, estimate: Duration) -> Json {
    let estimate_ms = estimate.as_millis() as u64;
    let spec = format!(" end-ms={end_ms}");
    encode_job(count, cpu, memory, &spec, ("estimate-ms", number(estimate_ms)))
}

/// A gang whose tasks save checkpoints.
pub fn gang_job(count: u64, cpu: u64, memory: u64, work_ms: u64) -> Json {
    let spec = format!("cpu={cpu} mem-mb={memory} work-ms={work_ms} gang={count}");
    let step = map(&[
        ("count", number(count)),
        ("cpu", number(cpu)),
        ("mem-mb", number(memory)),
        ("estimate-ms", number(work_ms)),
        ("gang", Json::Bool(true)),
        ("checkpointing", Json::Bool(true)),
    ]);
    map(&[("spec", text(spec)), ("steps", Json::List(vec![step]))])
}

fn encode_job(count: u64, cpu: u64, memory: u64, spec: &str, time: (&str, Json)) -> Json {
    let step = map(&[
        ("count", number(count)),
        ("cpu", number(cpu)),
        ("mem-mb", number(memory)),
        time,
    ]);
    let spec = format!("cpu={cpu} mem-mb={memory}{spec}");
    map(&[("spec", text(spec)), ("steps", Json::List(vec![step]))])
}
