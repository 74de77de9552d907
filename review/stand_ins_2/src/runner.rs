//! Stand-in of a runner, as PROTOCOL.md describes it. The `spec` of a job tells what a task needs and how long it
//! takes: `cpu=1000 ms=500`; without `ms` it runs until it is stopped.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use http::Request;
use hyper::body::Incoming;
use serde_json::{Value, json};

use crate::http_io::{self, Answer};
use crate::record::Record;

const MAX_LEASE_MS: u64 = 6_000;
const MAX_LISTED_ENDS: usize = 500;

/// A run as the runner saw it, in milliseconds since the start of the case.
#[derive(Clone)]
pub struct Run {
    pub runner: String,
    pub task: String,
    pub cpu: u64,
    pub started_ms: u64,
    pub ended: Option<(u64, &'static str)>,
    /// When `ack-seq` reached the end of the run.
    pub noted_ms: Option<u64>,
}

struct Active {
    index: usize,
    cpu: u64,
    started: Instant,
    takes: Option<Duration>,
}

struct Ended {
    sequence: u64,
    task: String,
    number: u64,
    how: &'static str,
    index: usize,
}

struct State {
    start: Instant,
    fence: u64,
    deadline_ms: u64,
    running: BTreeMap<(String, u64), Active>,
    ended: Vec<Ended>,
    next_sequence: u64,
    closed: BTreeMap<String, u64>,
    runs: Vec<Run>,
    cut_above: Option<u64>,
}

#[derive(Clone)]
pub struct Runner {
    pub id: String,
    pub address: SocketAddr,
    capacity: u64,
    born: u64,
    state: Arc<Mutex<State>>,
    record: Record,
    is_quiet: bool,
}

pub fn unix_ms() -> u64 {
    let since = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    since.expect("time of day").as_millis() as u64
}

fn spec_number(spec: &str, name: &str) -> Option<u64> {
    let mut words = spec.split_whitespace();
    words.find_map(|word| word.strip_prefix(name)?.strip_prefix('=')?.parse().ok())
}

impl State {
    fn clock_ms(&self) -> u64 {
        1_000 + self.start.elapsed().as_millis() as u64
    }

    fn end(&mut self, key: &(String, u64), how: &'static str, now_ms: u64) {
        let Some(active) = self.running.remove(key) else {
            return;
        };
        self.runs[active.index].ended = Some((now_ms, how));
        let closed = self.closed.entry(key.0.clone()).or_default();
        *closed = (*closed).max(key.1);
        let ended = Ended {
            sequence: self.next_sequence,
            task: key.0.clone(),
            number: key.1,
            how,
            index: active.index,
        };
        self.next_sequence += 1;
        self.ended.push(ended);
    }
}

impl Runner {
    pub async fn start(record: &Record, id: &str, capacity: u64, is_quiet: bool) -> Self {
        let state = State {
            start: Instant::now(),
            fence: 0,
            deadline_ms: 0,
            running: BTreeMap::new(),
            ended: Vec::new(),
            next_sequence: 1,
            closed: BTreeMap::new(),
            runs: Vec::new(),
            cut_above: None,
        };
        let mut runner = Self {
            id: id.to_owned(),
            address: "127.0.0.1:1".parse().expect("address"),
            capacity,
            born: unix_ms(),
            state: Arc::new(Mutex::new(state)),
            record: record.clone(),
            is_quiet,
        };
        let shared = runner.clone();
        runner.address = http_io::serve(move |request| {
            let runner = shared.clone();
            async move { runner.handle(request).await }
        })
        .await;
        let timer = runner.clone();
        tokio::spawn(async move {
            loop {
                tokio::time::sleep(Duration::from_millis(10)).await;
                timer.advance();
            }
        });
        runner
    }

    /// Entry of the runner in the store.
    pub fn entry(&self, machine: &str, zone: &str) -> Value {
        json!({"service": "pool-a", "address": self.address.to_string(), "zone": zone, "version": "1",
            "slot-count": 8, "state": "ready", "sequence": 1, "born": self.born, "machine": machine,
            "capacity": {"cpu": self.capacity, "mem-mb": 65_536, "gpu": 0}, "labels": ["a", "r-1"]})
    }

    /// Leaves calls with a fencing token above `fence` without an answer, as a cut between this runner and the node
    /// whose calls carry them; `None` heals the cut.
    pub fn cut_above(&self, fence: Option<u64>) {
        self.state.lock().expect("state").cut_above = fence;
    }

    /// Highest fencing token seen.
    pub fn fence(&self) -> u64 {
        self.state.lock().expect("state").fence
    }

    pub fn runs(&self) -> Vec<Run> {
        self.state.lock().expect("state").runs.clone()
    }

    /// Tasks that run now.
    pub fn running(&self) -> BTreeSet<String> {
        let state = self.state.lock().expect("state");
        state.running.keys().map(|(task, _)| task.clone()).collect()
    }

    fn advance(&self) {
        let now_ms = self.record.now_ms();
        let mut state = self.state.lock().expect("state");
        let has_lapsed = state.clock_ms() > state.deadline_ms;
        let due: Vec<(String, u64)> = state
            .running
            .iter()
            .filter(|(_, active)| {
                has_lapsed
                    || active
                        .takes
                        .is_some_and(|takes| active.started.elapsed() >= takes)
            })
            .map(|(key, _)| key.clone())
            .collect();
        for key in due {
            let how = if has_lapsed { "lapsed" } else { "done" };
            state.end(&key, how, now_ms);
            if !self.is_quiet {
                self.record.line(format_args!(
                    "runner {}: run {} of {} ends {how}",
                    self.id, key.1, key.0
                ));
            }
        }
    }

    async fn handle(&self, request: Request<Incoming>) -> Answer {
        let path = request.uri().path().to_owned();
        let target = request.headers().get("figloft-target-instance").cloned();
        let body = http_io::read_body(request).await;
        let fence = body["fencing-token"].as_u64().unwrap_or(0);
        if self
            .state
            .lock()
            .expect("state")
            .cut_above
            .is_some_and(|limit| fence > limit)
        {
            return std::future::pending().await;
        }
        if target.is_some_and(|target| target.as_bytes() != self.id.as_bytes()) {
            return http_io::json(421, &json!({}));
        }
        self.advance();
        let (status, answer) = self.command(&path, &body, fence);
        if path != "/hold" || status != 200 {
            return http_io::json(status, &answer);
        }
        let wait = Duration::from_millis(body["wait-ms"].as_u64().unwrap_or(0).min(2_000));
        let end = Instant::now() + wait;
        loop {
            {
                let state = self.state.lock().expect("state");
                if !state.ended.is_empty() || Instant::now() >= end {
                    return http_io::json(200, &self.report(&state));
                }
            }
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    }

    fn command(&self, path: &str, body: &Value, fence: u64) -> (u16, Value) {
        let now_ms = self.record.now_ms();
        let mut state = self.state.lock().expect("state");
        let clock_ms = state.clock_ms();
        let conflict = |reason: &str| {
            (
                409,
                json!({"clock-ms": clock_ms, "born": self.born, "reason": reason}),
            )
        };
        if fence < state.fence {
            return conflict("fence");
        }
        state.fence = fence;
        let key = (
            body["task"].as_str().unwrap_or_default().to_owned(),
            body["run"].as_u64().unwrap_or(0),
        );
        let deadline = body["deadline-ms"].as_u64();
        if let Some(deadline) = deadline
            && (path != "/run-start" || deadline >= clock_ms)
        {
            state.deadline_ms = state.deadline_ms.max(deadline.min(clock_ms + MAX_LEASE_MS));
        }
        match path {
            "/run-start" => {
                if deadline.is_none_or(|deadline| deadline < clock_ms) {
                    return conflict("late");
                }
                if state.running.contains_key(&key) {
                    return (200, json!({"clock-ms": clock_ms, "born": self.born}));
                }
                if state.closed.get(&key.0).is_some_and(|closed| key.1 <= *closed) {
                    return conflict("old");
                }
                let spec = body["spec"].as_str().unwrap_or_default();
                let cpu = spec_number(spec, "cpu").unwrap_or(1);
                let used: u64 = state.running.values().map(|active| active.cpu).sum();
                if used + cpu > self.capacity {
                    return conflict("room");
                }
                if !self.is_quiet {
                    self.record.line(format_args!(
                        "runner {}: run {} of {} starts, cpu {cpu}, fencing token {fence}",
                        self.id, key.1, key.0
                    ));
                }
                state.runs.push(Run {
                    runner: self.id.clone(),
                    task: key.0.clone(),
                    cpu,
                    started_ms: now_ms,
                    ended: None,
                    noted_ms: None,
                });
                let active = Active {
                    index: state.runs.len() - 1,
                    cpu,
                    started: Instant::now(),
                    takes: spec_number(spec, "ms").map(Duration::from_millis),
                };
                state.running.insert(key, active);
            }
            "/run-stop" => {
                let closed = state.closed.entry(key.0.clone()).or_default();
                *closed = (*closed).max(key.1);
                if state.running.contains_key(&key) {
                    self.record.line(format_args!(
                        "runner {}: run {} of {} is stopped",
                        self.id, key.1, key.0
                    ));
                }
                state.end(&key, "stopped", now_ms);
            }
            "/hold" => {
                let noted = body["ack-seq"].as_u64().unwrap_or(0);
                let ended = std::mem::take(&mut state.ended);
                for end in ended {
                    if end.sequence <= noted {
                        state.runs[end.index].noted_ms = Some(now_ms);
                    } else {
                        state.ended.push(end);
                    }
                }
            }
            _ => {}
        }
        (200, json!({"clock-ms": clock_ms, "born": self.born}))
    }

    fn report(&self, state: &State) -> Value {
        let running: Vec<Value> = state
            .running
            .iter()
            .map(|((task, number), active)| {
                let percent = active.takes.map_or(100, |takes| {
                    (active.started.elapsed().as_millis() * 100 / takes.as_millis().max(1)).min(99) as u64
                });
                json!([task, number, "", percent, active.cpu])
            })
            .collect();
        let ended: Vec<Value> = state
            .ended
            .iter()
            .take(MAX_LISTED_ENDS)
            .map(|end| json!([end.sequence, end.task, end.number, end.how, ""]))
            .collect();
        json!({"clock-ms": state.clock_ms(), "born": self.born, "running": running, "ended-runs": ended})
    }
}
