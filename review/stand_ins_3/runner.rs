//! Runners: they run tasks under leases, as `PROTOCOL.md` describes it. A task's text tells how long it runs:
//! `run-ms=N`.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant, SystemTime};

use crate::http::{self, Request, Response};
use crate::record::Record;
use crate::store::Store;

/// Longest lease (`hold-max-ms`).
const MAX_LEASE_MS: u64 = 6_000;
/// Ends that one answer lists.
const MAX_LISTED_ENDS: usize = 500;
/// Run time from which a task counts as one that lasts.
const LASTING: Duration = Duration::from_secs(1_000);
const HEARTBEAT: Duration = Duration::from_millis(1_500);

/// Word in the text of tasks that need a ticket.
pub const ADVICE_WORD: &str = "needs-ticket";

/// The ticket of a runner for the step of a task; `name` is that of the step or of one of its tasks.
pub fn ticket(name: &str, runner: &str) -> String {
    let words: Vec<&str> = name.split('.').take(3).collect();
    format!("{}/{runner}", words.join("."))
}

#[derive(Debug, Clone)]
pub struct RunRecord {
    pub task: String,
    pub started: Instant,
    pub ended: Option<(Instant, &'static str)>,
    /// Time at which the end was taken note of (`ack-seq`).
    pub noted: Option<Instant>,
}

struct State {
    start: Instant,
    token: u64,
    deadline_ms: u64,
    /// Runs by task and number: place in the records, and time of the end.
    running: BTreeMap<(String, u64), (usize, Instant)>,
    ended: Vec<(u64, String, u64, &'static str, usize)>,
    next_number: u64,
    closed: BTreeMap<String, u64>,
    records: Vec<RunRecord>,
}

#[derive(Clone)]
pub struct Runner {
    pub id: String,
    pub address: Option<SocketAddr>,
    born: u64,
    shared: Arc<(Mutex<State>, Condvar)>,
    record: Record,
}

fn run_time(text: &str) -> Duration {
    let millis = text
        .split("run-ms=")
        .nth(1)
        .map_or("", |rest| rest.split(' ').next().unwrap_or(""));
    Duration::from_millis(millis.parse().unwrap_or(200))
}

impl State {
    fn clock_ms(&self) -> u64 {
        self.start.elapsed().as_millis() as u64 + 1_000
    }

    fn end(&mut self, key: &(String, u64), how: &'static str) {
        let Some((place, _)) = self.running.remove(key) else {
            return;
        };
        self.records[place].ended = Some((Instant::now(), how));
        self.ended
            .push((self.next_number, key.0.clone(), key.1, how, place));
        self.next_number += 1;
        let closed = self.closed.entry(key.0.clone()).or_default();
        *closed = (*closed).max(key.1);
    }

    fn advance(&mut self) -> bool {
        let now = Instant::now();
        let is_lapsed = self.clock_ms() > self.deadline_ms;
        let due = self
            .running
            .iter()
            .filter(|(_, (_, end))| is_lapsed || *end <= now);
        let keys: Vec<(String, u64)> = due.map(|(key, _)| key.clone()).collect();
        for key in &keys {
            self.end(key, if is_lapsed { "lapsed" } else { "done" });
        }
        !keys.is_empty()
    }

    fn extend(&mut self, deadline: Option<i64>) {
        if let Some(deadline) = deadline {
            let longest = self.clock_ms() + MAX_LEASE_MS;
            self.deadline_ms = self.deadline_ms.max((deadline as u64).min(longest));
        }
    }

    fn report(&self, born: u64) -> String {
        let now = Instant::now();
        let running = self.running.iter().map(|((task, run), (place, end))| {
            let started = self.records[*place].started;
            let part = now.duration_since(started).as_secs_f64() / end.duration_since(started).as_secs_f64();
            // Tasks that last are at work after their start.
            let percent = if *end > started + LASTING {
                100
            } else {
                (part * 100.0).min(99.0) as u32
            };
            format!("[\"{task}\",{run},\"\",{percent},0]")
        });
        let running: Vec<String> = running.collect();
        let ended = self.ended.iter().take(MAX_LISTED_ENDS);
        let ended =
            ended.map(|(number, task, run, how, _)| format!("[{number},\"{task}\",{run},\"{how}\",\"\"]"));
        let ended: Vec<String> = ended.collect();
        format!(
            "{{\"clock-ms\":{},\"born\":{born},\"running\":[{}],\"ended-runs\":[{}]}}",
            self.clock_ms(),
            running.join(","),
            ended.join(",")
        )
    }
}

impl Runner {
    /// Starts a runner of a service with this many cores, which registers in the store.
    pub fn start(number: usize, service: &str, cores: u64, store: &Store, record: &Record) -> Self {
        let state = State {
            start: Instant::now(),
            token: 0,
            deadline_ms: 0,
            running: BTreeMap::new(),
            ended: Vec::new(),
            next_number: 1,
            closed: BTreeMap::new(),
            records: Vec::new(),
        };
        let born = SystemTime::UNIX_EPOCH
            .elapsed()
            .map_or(0, |time| time.as_millis() as u64);
        let mut runner = Self {
            id: format!("i-{service}-{number}"),
            address: None,
            born,
            shared: Arc::new((Mutex::new(state), Condvar::new())),
            record: record.clone(),
        };
        let handler = runner.clone();
        let address = http::serve(move |request| Some(handler.handle(&request)));
        runner.address = Some(address);
        let advancing = runner.clone();
        thread::spawn(move || loop {
            thread::sleep(Duration::from_millis(10));
            if advancing.lock().advance() {
                advancing.shared.1.notify_all();
            }
        });
        let (store, id, service) = (store.clone(), runner.id.clone(), service.to_owned());
        thread::spawn(move || {
            for sequence in 1_u64.. {
                let entry = format!(
                    "{{\"service\":\"{service}\",\"address\":\"{address}\",\"zone\":\"zone-a\",\"version\":\"v1\",\
                     \"slot-count\":8,\"state\":\"ready\",\"warmup-left-ms\":0,\
                     \"capacity\":{{\"cpu\":{},\"mem-mb\":65536,\"gpu\":0}},\"labels\":[\"a\",\"r1-1\"],\
                     \"machine\":\"m-{id}\",\"born\":{born},\"sequence\":{sequence}}}",
                    cores * 1_000
                );
                store.write(&format!("servers/{id}"), &entry);
                thread::sleep(HEARTBEAT);
            }
        });
        runner
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.shared.0.lock().expect("state")
    }

    pub fn records(&self) -> Vec<RunRecord> {
        self.lock().records.clone()
    }

    /// Number of runs in progress.
    pub fn running(&self) -> usize {
        self.lock().running.len()
    }

    fn handle(&self, request: &Request) -> Response {
        if request.path == "/health" {
            return (200, "{}".to_owned());
        }
        if request.header("figloft-target-instance") != self.id {
            return (421, "{}".to_owned());
        }
        let body = request.json();
        let mut state = self.lock();
        state.advance();
        let clock = state.clock_ms();
        let refuse = |reason: &str| (409, format!("{{\"clock-ms\":{clock},\"reason\":\"{reason}\"}}"));
        let token = body.get("fencing-token").int().unwrap_or(0) as u64;
        if token < state.token {
            return refuse("fence");
        }
        state.token = token;
        let deadline = body.get("deadline-ms").int();
        let key = (
            body.get("task").text().to_owned(),
            body.get("run").int().unwrap_or(0) as u64,
        );
        match request.path.as_str() {
            "/run-start" => {
                if deadline.unwrap_or(0) < clock as i64 {
                    return refuse("late");
                }
                let needs_ticket = body.get("spec").text().contains(ADVICE_WORD);
                if needs_ticket && body.get("ticket").text() != ticket(&key.0, &self.id) {
                    return refuse("ticket");
                }
                state.extend(deadline);
                if state.running.contains_key(&key) {
                    return (200, format!("{{\"clock-ms\":{clock}}}"));
                }
                if state.closed.get(&key.0).is_some_and(|closed| key.1 <= *closed) {
                    return refuse("old");
                }
                let started = Instant::now();
                self.record.write(&format!(
                    "run {} task {} run {} token {token} starts",
                    self.id, key.0, key.1
                ));
                state.records.push(RunRecord {
                    task: key.0.clone(),
                    started,
                    ended: None,
                    noted: None,
                });
                let place = state.records.len() - 1;
                state
                    .running
                    .insert(key, (place, started + run_time(body.get("spec").text())));
            }
            "/run-stop" => {
                let closed = state.closed.entry(key.0.clone()).or_default();
                *closed = (*closed).max(key.1);
                state.end(&key, "stopped");
                self.shared.1.notify_all();
            }
            "/pace" => {}
            "/hold" => {
                state.extend(deadline);
                let noted = body.get("ack-seq").int().unwrap_or(0) as u64;
                let now = Instant::now();
                let (gone, kept) = std::mem::take(&mut state.ended)
                    .into_iter()
                    .partition(|row| row.0 <= noted);
                state.ended = kept;
                let gone: Vec<(u64, String, u64, &'static str, usize)> = gone;
                for row in gone {
                    state.records[row.4].noted = Some(now);
                }
                let wait = body.get("wait-ms").int().unwrap_or(0).clamp(0, 2_000) as u64;
                let end = now + Duration::from_millis(wait);
                loop {
                    let now = Instant::now();
                    if !state.ended.is_empty() || now >= end {
                        return (200, state.report(self.born));
                    }
                    state = self.shared.1.wait_timeout(state, end - now).expect("state").0;
                }
            }
            _ => return (404, "{}".to_owned()),
        }
        (200, format!("{{\"clock-ms\":{clock}}}"))
    }
}
