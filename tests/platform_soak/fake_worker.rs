//! A fake of a worker: runs tasks under a lease and keeps the record that the checker reads.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use http::Request;
use hyper::body::Incoming;
use serde_json::{Value, json};

use crate::fake_server::{self, Answer, answer};

/// One run, as the worker saw it.
#[derive(Debug, Clone)]
pub struct RunRecord {
    /// Task.
    pub task: String,
    /// Start.
    pub started: Instant,
    /// End, if it has ended.
    pub ended: Option<(Instant, &'static str)>,
    /// Whether the end was acknowledged before the lease ran out.
    pub is_acknowledged: bool,
    /// Whether the lease ran out before the end was acknowledged; the task may start again then.
    pub is_void: bool,
}

#[derive(Debug)]
struct WorkerState {
    start: Instant,
    born: u64,
    fence: u64,
    deadline_ms: u64,
    /// Runs that go on: task and run with their record and end time.
    running: BTreeMap<(String, u64), (usize, Instant)>,
    ended: Vec<(u64, String, u64, &'static str, usize)>,
    next_end: u64,
    /// Highest run of each task that was stopped or ended.
    closed: BTreeMap<String, u64>,
    records: Vec<RunRecord>,
}

/// The worker.
#[derive(Debug, Clone)]
pub struct FakeWorker {
    state: Arc<Mutex<WorkerState>>,
}

impl WorkerState {
    fn clock(&self) -> u64 {
        self.start.elapsed().as_millis() as u64 + 1_000
    }

    fn end(&mut self, key: &(String, u64), how: &'static str, at: Instant) {
        let Some((record, _)) = self.running.remove(key) else {
            return;
        };
        self.records[record].ended = Some((at, how));
        self.ended
            .push((self.next_end, key.0.clone(), key.1, how, record));
        self.next_end += 1;
        let closed = self.closed.entry(key.0.clone()).or_default();
        *closed = (*closed).max(key.1);
    }

    fn tick(&mut self) {
        let now = Instant::now();
        let keys: Vec<(String, u64)> = self.running.keys().cloned().collect();
        if self.clock() > self.deadline_ms {
            for (.., record) in &self.ended {
                self.records[*record].is_void = true;
            }
            for key in &keys {
                self.end(key, "lapsed", now);
            }
        }
        for key in keys {
            let is_over = self.running.get(&key).is_some_and(|(_, end)| *end <= now);
            if is_over {
                self.end(&key, "done", now);
            }
        }
    }

    fn serve(&mut self, path: &str, body: &Value) -> (u16, Value) {
        self.tick();
        let clock = self.clock();
        let refuse = |reason: &str| (409, json!({"clock-ms": clock, "reason": reason}));
        let fence = body["fencing-token"].as_u64().unwrap_or(0);
        if fence < self.fence {
            return refuse("fence");
        }
        self.fence = fence;
        let deadline = body["deadline-ms"].as_u64();
        let text = |name: &str| body[name].as_str().unwrap_or_default().to_owned();
        let key = (text("task"), body["run"].as_u64().unwrap_or(0));
        match path {
            "/run-start" => {
                let deadline = deadline.expect("deadline");
                if deadline < clock {
                    return refuse("late");
                }
                self.deadline_ms = self.deadline_ms.max(deadline.min(clock + 6_000));
                if self.running.contains_key(&key) {
                    return (200, json!({"clock-ms": clock}));
                }
                if self.closed.get(&key.0).is_some_and(|closed| key.1 <= *closed) {
                    return refuse("old");
                }
                let length =
                    Duration::from_millis(60 + (key.1 * 53 + key.0.len() as u64 * 31 + clock % 97) % 300);
                self.records.push(RunRecord {
                    task: key.0.clone(),
                    started: Instant::now(),
                    ended: None,
                    is_acknowledged: false,
                    is_void: false,
                });
                self.running
                    .insert(key, (self.records.len() - 1, Instant::now() + length));
            }
            "/run-stop" => {
                let closed = self.closed.entry(key.0.clone()).or_default();
                *closed = (*closed).max(key.1);
                self.end(&key, "stopped", Instant::now());
            }
            _ => {
                if let Some(deadline) = deadline {
                    self.deadline_ms = self.deadline_ms.max(deadline.min(clock + 6_000));
                }
                let acknowledged = body["ack-seq"].as_u64().unwrap_or(0);
                let (gone, kept) = std::mem::take(&mut self.ended)
                    .into_iter()
                    .partition(|(sequence, ..)| *sequence <= acknowledged);
                self.ended = kept;
                let gone: Vec<(u64, String, u64, &'static str, usize)> = gone;
                for (.., record) in gone {
                    self.records[record].is_acknowledged = !self.records[record].is_void;
                }
            }
        }
        (200, json!({"clock-ms": clock, "born": self.born}))
    }

    fn lists(&self) -> Value {
        let running: Vec<Value> = self
            .running
            .keys()
            .map(|(task, run)| json!([task, run, "", 50, 0]))
            .collect();
        let ended: Vec<Value> = self
            .ended
            .iter()
            .map(|(sequence, task, run, how, _)| json!([sequence, task, run, how, ""]))
            .collect();
        json!({"clock-ms": self.clock(), "born": self.born, "running": running, "ended-runs": ended})
    }
}

impl FakeWorker {
    /// Starts a worker and returns its address.
    pub async fn start() -> (Self, SocketAddr) {
        let state = WorkerState {
            start: Instant::now(),
            born: 1_000,
            fence: 0,
            deadline_ms: 0,
            running: BTreeMap::new(),
            ended: Vec::new(),
            next_end: 1,
            closed: BTreeMap::new(),
            records: Vec::new(),
        };
        let worker = Self {
            state: Arc::new(Mutex::new(state)),
        };
        let shared = worker.clone();
        let serve = move |request| {
            let worker = shared.clone();
            async move { worker.serve(request).await }
        };
        let address = fake_server::start(serve).await;
        let ticking = worker.clone();
        tokio::spawn(async move {
            loop {
                tokio::time::sleep(Duration::from_millis(10)).await;
                ticking.state.lock().expect("state").tick();
            }
        });
        (worker, address)
    }

    /// Crashes and starts again: nothing of before is known.
    pub fn crash(&self) {
        let mut state = self.state.lock().expect("state");
        let now = Instant::now();
        let keys: Vec<(String, u64)> = state.running.keys().cloned().collect();
        for key in keys {
            state.end(&key, "crashed", now);
        }
        state.start = now;
        state.born += 1;
        state.fence = 0;
        state.deadline_ms = 0;
        state.ended.clear();
        state.next_end = 1;
        state.closed.clear();
    }

    /// Start of its process.
    pub fn born(&self) -> u64 {
        self.state.lock().expect("state").born
    }

    /// All runs so far.
    pub fn records(&self) -> Vec<RunRecord> {
        self.state.lock().expect("state").records.clone()
    }

    async fn serve(&self, request: Request<Incoming>) -> Answer {
        let path = request.uri().path().to_owned();
        let body = fake_server::read_body(request).await;
        let (status, mut reply) = self.state.lock().expect("state").serve(&path, &body);
        if path == "/hold" && status == 200 {
            let end = Instant::now() + Duration::from_millis(body["wait-ms"].as_u64().unwrap_or(0));
            loop {
                let lists = {
                    let state = self.state.lock().expect("state");
                    let is_due = !state.ended.is_empty() || Instant::now() >= end;
                    is_due.then(|| state.lists())
                };
                if let Some(lists) = lists {
                    reply = lists;
                    break;
                }
                tokio::time::sleep(Duration::from_millis(5)).await;
            }
        }
        answer(status, &reply)
    }
}
