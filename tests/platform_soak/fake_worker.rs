//! Fake of a worker: runs tasks under a lease and records the runs for the checker.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use http::Request;
use hyper::body::Incoming;
use serde_json::{Value, json};

use crate::fake_server::{self, FakeResponse, json_response};

/// Prefix of jobs whose tasks run until they are stopped.
pub const LONG_RUNNING_PREFIX: &str = "ffffffff";

/// Run time of such tasks.
const UNLIMITED_TIME: Duration = Duration::from_hours(1);

/// Ends that one response lists; the others follow when these are acknowledged.
const MAX_LISTED_ENDS: usize = 500;

/// A run of a task as the worker observed it.
#[derive(Debug, Clone)]
pub struct RunRecord {
    /// Task of the run.
    pub task: String,
    /// Time at which the run started.
    pub started_at: Instant,
    /// Time and outcome of the end; absent while the run is in progress.
    pub ended: Option<(Instant, &'static str)>,
    /// Whether the end was acknowledged before the lease expired.
    pub is_acknowledged: bool,
    /// Whether the lease expired before the end was acknowledged; the task may then start again.
    pub is_lease_expired: bool,
}

#[derive(Debug)]
struct WorkerState {
    start: Instant,
    incarnation: u64,
    fencing_token: u64,
    deadline_ms: u64,
    /// Runs in progress: task and run number, with the index of the record and the time at which the task is
    /// done.
    running: BTreeMap<(String, u64), (usize, Instant)>,
    /// Ends that have not been acknowledged: sequence number, task, run number, outcome, index of the record.
    ended: Vec<(u64, String, u64, &'static str, usize)>,
    next_sequence: u64,
    /// Highest run number of each task that was stopped or has ended.
    highest_closed: BTreeMap<String, u64>,
    records: Vec<RunRecord>,
}

/// A fake worker; clones share its state.
#[derive(Debug, Clone)]
pub struct FakeWorker {
    state: Arc<Mutex<WorkerState>>,
}

impl WorkerState {
    fn clock_ms(&self) -> u64 {
        self.start.elapsed().as_millis() as u64 + 1_000
    }

    fn end_run(&mut self, key: &(String, u64), outcome: &'static str, at: Instant) {
        let Some((record, _)) = self.running.remove(key) else {
            return;
        };
        self.records[record].ended = Some((at, outcome));
        self.ended
            .push((self.next_sequence, key.0.clone(), key.1, outcome, record));
        self.next_sequence += 1;
        let highest_closed = self.highest_closed.entry(key.0.clone()).or_default();
        *highest_closed = (*highest_closed).max(key.1);
    }

    /// Ends the runs whose lease has expired or whose task is done.
    fn advance(&mut self) {
        let now = Instant::now();
        let keys: Vec<(String, u64)> = self.running.keys().cloned().collect();
        if self.clock_ms() > self.deadline_ms {
            for (.., record) in &self.ended {
                self.records[*record].is_lease_expired = true;
            }
            for key in &keys {
                self.end_run(key, "lapsed", now);
            }
        }
        for key in keys {
            let is_finished = self.running.get(&key).is_some_and(|(_, end)| *end <= now);
            if is_finished {
                self.end_run(&key, "done", now);
            }
        }
    }

    fn handle_command(&mut self, path: &str, body: &Value) -> (u16, Value) {
        self.advance();
        let clock_ms = self.clock_ms();
        let conflict = |reason: &str| (409, json!({"clock-ms": clock_ms, "reason": reason}));
        let fencing_token = body["fencing-token"].as_u64().unwrap_or(0);
        if fencing_token < self.fencing_token {
            return conflict("fence");
        }
        self.fencing_token = fencing_token;
        let deadline = body["deadline-ms"].as_u64();
        let text = |name: &str| body[name].as_str().unwrap_or_default().to_owned();
        let key = (text("task"), body["run"].as_u64().unwrap_or(0));
        match path {
            "/run-start" => {
                let deadline = deadline.expect("deadline");
                if deadline < clock_ms {
                    return conflict("late");
                }
                self.deadline_ms = self.deadline_ms.max(deadline.min(clock_ms + 6_000));
                if self.running.contains_key(&key) {
                    return (200, json!({"clock-ms": clock_ms}));
                }
                if self
                    .highest_closed
                    .get(&key.0)
                    .is_some_and(|highest_closed| key.1 <= *highest_closed)
                {
                    return conflict("old");
                }
                let duration =
                    Duration::from_millis(60 + (key.1 * 53 + key.0.len() as u64 * 31 + clock_ms % 97) % 300);
                let duration = if key.0.starts_with(LONG_RUNNING_PREFIX) {
                    UNLIMITED_TIME
                } else {
                    duration
                };
                self.records.push(RunRecord {
                    task: key.0.clone(),
                    started_at: Instant::now(),
                    ended: None,
                    is_acknowledged: false,
                    is_lease_expired: false,
                });
                self.running
                    .insert(key, (self.records.len() - 1, Instant::now() + duration));
            }
            "/run-stop" => {
                let highest_closed = self.highest_closed.entry(key.0.clone()).or_default();
                *highest_closed = (*highest_closed).max(key.1);
                self.end_run(&key, "stopped", Instant::now());
            }
            _ => {
                if let Some(deadline) = deadline {
                    self.deadline_ms = self.deadline_ms.max(deadline.min(clock_ms + 6_000));
                }
                let acknowledged = body["ack-seq"].as_u64().unwrap_or(0);
                let (confirmed, kept) = std::mem::take(&mut self.ended)
                    .into_iter()
                    .partition(|(sequence, ..)| *sequence <= acknowledged);
                self.ended = kept;
                let confirmed: Vec<(u64, String, u64, &'static str, usize)> = confirmed;
                for (.., record) in confirmed {
                    self.records[record].is_acknowledged = !self.records[record].is_lease_expired;
                }
            }
        }
        (200, json!({"clock-ms": clock_ms, "born": self.incarnation}))
    }

    fn report(&self) -> Value {
        let running: Vec<Value> = self
            .running
            .keys()
            .map(|(task, run)| json!([task, run, "", 50, 0]))
            .collect();
        let ended: Vec<Value> = self
            .ended
            .iter()
            .take(MAX_LISTED_ENDS)
            .map(|(sequence, task, run, outcome, _)| json!([sequence, task, run, outcome, ""]))
            .collect();
        json!({"clock-ms": self.clock_ms(), "born": self.incarnation, "running": running,
            "ended-runs": ended})
    }
}

impl FakeWorker {
    /// Starts a worker and returns it with its address.
    pub async fn start() -> (Self, SocketAddr) {
        let state = WorkerState {
            start: Instant::now(),
            incarnation: 1_000,
            fencing_token: 0,
            deadline_ms: 0,
            running: BTreeMap::new(),
            ended: Vec::new(),
            next_sequence: 1,
            highest_closed: BTreeMap::new(),
            records: Vec::new(),
        };
        let worker = Self {
            state: Arc::new(Mutex::new(state)),
        };
        let shared = worker.clone();
        let handler = move |request| {
            let worker = shared.clone();
            async move { worker.handle_request(request).await }
        };
        let address = fake_server::start(handler).await;
        let advancing = worker.clone();
        tokio::spawn(async move {
            loop {
                tokio::time::sleep(Duration::from_millis(10)).await;
                advancing.state.lock().expect("state").advance();
            }
        });
        (worker, address)
    }

    /// Crashes the worker and starts it again as a new incarnation without any state.
    pub fn restart(&self) {
        let mut state = self.state.lock().expect("state");
        let now = Instant::now();
        let keys: Vec<(String, u64)> = state.running.keys().cloned().collect();
        for key in keys {
            state.end_run(&key, "crashed", now);
        }
        state.start = now;
        state.incarnation += 1;
        state.fencing_token = 0;
        state.deadline_ms = 0;
        state.ended.clear();
        state.next_sequence = 1;
        state.highest_closed.clear();
    }

    /// Start time that the worker reports for its process; identifies its incarnation.
    pub fn incarnation(&self) -> u64 {
        self.state.lock().expect("state").incarnation
    }

    /// Records of all runs so far, of every incarnation.
    pub fn records(&self) -> Vec<RunRecord> {
        self.state.lock().expect("state").records.clone()
    }

    async fn handle_request(&self, request: Request<Incoming>) -> FakeResponse {
        let path = request.uri().path().to_owned();
        let body = fake_server::read_body(request).await;
        let (status, mut response) = self.state.lock().expect("state").handle_command(&path, &body);
        if path == "/hold" && status == 200 {
            let end = Instant::now() + Duration::from_millis(body["wait-ms"].as_u64().unwrap_or(0));
            loop {
                let report = {
                    let state = self.state.lock().expect("state");
                    let is_due = !state.ended.is_empty() || Instant::now() >= end;
                    is_due.then(|| state.report())
                };
                if let Some(report) = report {
                    response = report;
                    break;
                }
                tokio::time::sleep(Duration::from_millis(5)).await;
            }
        }
        json_response(status, &response)
    }
}
