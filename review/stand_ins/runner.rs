//! Stand-in of a runner. The `spec` of a job tells how long its tasks work and what they need, for example
//! `work-ms=4000 cpu=40 mem-mb=10`; a task without `work-ms` lasts until it is stopped.

use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::http::{self, Reply, Request};
use crate::json::{Json, map, number, text};
use crate::record::Record;
use crate::store::Store;

/// Longest lease, `hold-max-ms`.
pub const MAX_LEASE_MS: u64 = 10_000;

/// Interval of the writes to the discovery entry, `heartbeat-ms`.
const HEARTBEAT: Duration = Duration::from_millis(1_500);

/// Ended runs that one answer lists at most.
const MAX_LISTED_ENDS: usize = 500;

/// Time after which a lasting task is at work.
const STARTUP_MS: u128 = 300;

/// Resources of a runner.
pub const CAPACITY_CPU: u64 = 32_000;
pub const CAPACITY_MEMORY: u64 = 131_072;

/// A run as the runner saw it.
#[derive(Debug, Clone)]
pub struct Run {
    pub runner: String,
    pub task: String,
    pub number: u64,
    pub started: Duration,
    pub ended: Option<(Duration, &'static str)>,
    /// Time at which `ack-seq` reached the end, unless the lease lapsed before.
    pub noted: Option<Duration>,
    is_lapsed_since: bool,
}

struct Active {
    run: usize,
    cpu: u64,
    memory: u64,
    work: Option<Duration>,
    since: Instant,
}

struct State {
    start: Instant,
    born: u64,
    token: u64,
    deadline_ms: u64,
    /// Active runs by task and number.
    active: BTreeMap<(String, u64), Active>,
    /// Ended runs that are not acknowledged, with their sequence numbers.
    ended: Vec<(u64, usize)>,
    next_sequence: u64,
    /// Highest number of a run that was stopped or ended, by task.
    closed: BTreeMap<String, u64>,
}

#[derive(Clone)]
pub struct Runner {
    pub id: String,
    pub machine: String,
    pub address: SocketAddr,
    state: Arc<Mutex<State>>,
    runs: Arc<Mutex<Vec<Run>>>,
    record: Record,
}

pub fn unix_ms() -> u64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    now.map_or(0, |now| now.as_millis() as u64)
}

fn spec_value(spec: &str, name: &str) -> Option<u64> {
    let mut words = spec.split(' ').filter_map(|word| word.split_once('='));
    words.find(|(known, _)| *known == name)?.1.parse().ok()
}

impl State {
    fn clock_ms(&self) -> u64 {
        1_000 + self.start.elapsed().as_millis() as u64
    }
}

impl Runner {
    /// Starts a runner. All runners of a case share `runs`.
    pub fn start(name: &str, listener: TcpListener, runs: Arc<Mutex<Vec<Run>>>, record: Record) -> Self {
        let state = State {
            start: Instant::now(),
            born: unix_ms(),
            token: 0,
            deadline_ms: 0,
            active: BTreeMap::new(),
            ended: Vec::new(),
            next_sequence: 1,
            closed: BTreeMap::new(),
        };
        let runner = Self {
            id: format!("i-{name}"),
            machine: format!("m-{name}"),
            address: listener.local_addr().expect("address"),
            state: Arc::new(Mutex::new(state)),
            runs,
            record,
        };
        let served = runner.clone();
        http::serve(listener, Arc::new(move |request| served.handle(request)));
        let advanced = runner.clone();
        std::thread::spawn(move || {
            loop {
                std::thread::sleep(Duration::from_millis(5));
                advanced.advance(&mut advanced.state.lock().expect("state"));
            }
        });
        runner
    }

    pub fn born(&self) -> u64 {
        self.state.lock().expect("state").born
    }

    /// Registers the runner in the store and keeps its entry alive.
    pub fn register(&self, store: &Store, service: &str, zone: &str) {
        let (runner, store) = (self.clone(), store.clone());
        let (service, zone) = (service.to_owned(), zone.to_owned());
        std::thread::spawn(move || {
            for sequence in 1.. {
                store.write(&format!("servers/{}", runner.id), &runner.entry(&service, &zone, sequence));
                std::thread::sleep(HEARTBEAT);
            }
        });
    }

    fn entry(&self, service: &str, zone: &str, sequence: u64) -> Json {
        let capacity = map(&[
            ("cpu", number(CAPACITY_CPU)),
            ("mem-mb", number(CAPACITY_MEMORY)),
            ("gpu", number(0)),
        ]);
        map(&[
            ("service", text(service)),
            ("address", text(self.address.to_string())),
            ("zone", text(zone)),
            ("version", text("1.4.0")),
            ("slot-count", number(8)),
            ("state", text("ready")),
            ("warmup-left-ms", number(0)),
            ("sequence", number(sequence)),
            ("capacity", capacity),
            ("labels", Json::List(vec![text("a"), text("r1-1")])),
            ("machine", text(self.machine.as_str())),
            ("born", number(self.born())),
        ])
    }

    fn end(&self, state: &mut State, key: &(String, u64), how: &'static str) {
        let Some(active) = state.active.remove(key) else {
            return;
        };
        let sequence = state.next_sequence;
        state.next_sequence += 1;
        state.ended.push((sequence, active.run));
        let closed = state.closed.entry(key.0.clone()).or_default();
        *closed = (*closed).max(key.1);
        self.runs.lock().expect("runs")[active.run].ended = Some((self.record.now(), how));
        self.record.line(format!("{}: run {} of {} ends {how}, number {sequence}", self.id, key.1, key.0));
    }

    /// Ends the runs whose lease has expired and those that are done.
    fn advance(&self, state: &mut State) {
        let keys: Vec<(String, u64)> = state.active.keys().cloned().collect();
        if state.clock_ms() > state.deadline_ms && !(keys.is_empty() && state.ended.is_empty()) {
            let mut runs = self.runs.lock().expect("runs");
            for (_, run) in &state.ended {
                runs[*run].is_lapsed_since = true;
            }
            drop(runs);
            for key in &keys {
                self.end(state, key, "lapsed");
            }
        }
        for key in keys {
            let is_done = state
                .active
                .get(&key)
                .is_some_and(|active| active.work.is_some_and(|work| active.since.elapsed() >= work));
            if is_done {
                self.end(state, &key, "done");
            }
        }
    }

    fn handle(&self, request: &Request) -> Reply {
        if request.path == "/health" {
            return Reply::Answer(200, map(&[]));
        }
        let target = request.headers.get("figloft-target-instance");
        if target.is_some_and(|target| *target != self.id) {
            return Reply::Answer(421, map(&[]));
        }
        let mut state = self.state.lock().expect("state");
        self.advance(&mut state);
        let body = &request.body;
        let clock_ms = state.clock_ms();
        let refuse = |reason: &str| {
            Reply::Answer(409, map(&[("clock-ms", number(clock_ms)), ("reason", text(reason))]))
        };
        let token = body.get("fencing-token").number().unwrap_or(0);
        if token < state.token {
            return refuse("fence");
        }
        state.token = token;
        let answer = map(&[("clock-ms", number(clock_ms))]);
        let key = (body.get("task").text().to_owned(), body.get("run").number().unwrap_or(0));
        match request.path.as_str() {
            "/run-start" => self.start_run(&mut state, body, key, &refuse, answer),
            "/run-stop" => {
                self.record.line(format!("{}: told to stop run {} of {}", self.id, key.1, key.0));
                let closed = state.closed.entry(key.0.clone()).or_default();
                *closed = (*closed).max(key.1);
                self.end(&mut state, &key, "stopped");
                Reply::Answer(200, answer)
            }
            "/pace" => Reply::Answer(200, answer),
            "/hold" => {
                extend_lease(&mut state, body);
                self.acknowledge(&mut state, body.get("ack-seq").number().unwrap_or(0));
                drop(state);
                self.answer_hold(body.get("wait-ms").number().unwrap_or(0))
            }
            _ => Reply::Answer(404, map(&[])),
        }
    }

    fn start_run(
        &self,
        state: &mut State,
        body: &Json,
        key: (String, u64),
        refuse: &dyn Fn(&str) -> Reply,
        answer: Json,
    ) -> Reply {
        let clock_ms = state.clock_ms();
        if body.get("deadline-ms").number().is_none_or(|deadline| deadline < clock_ms) {
            return refuse("late");
        }
        extend_lease(state, body);
        if state.active.contains_key(&key) {
            return Reply::Answer(200, answer);
        }
        if state.closed.get(&key.0).is_some_and(|closed| key.1 <= *closed) {
            return refuse("old");
        }
        let spec = body.get("spec").text();
        let cpu = spec_value(spec, "cpu").unwrap_or(0);
        let memory = spec_value(spec, "mem-mb").unwrap_or(0);
        let used_cpu: u64 = state.active.values().map(|active| active.cpu).sum();
        let used_memory: u64 = state.active.values().map(|active| active.memory).sum();
        if used_cpu + cpu > CAPACITY_CPU || used_memory + memory > CAPACITY_MEMORY {
            return refuse("room");
        }
        let mut runs = self.runs.lock().expect("runs");
        runs.push(Run {
            runner: self.id.clone(),
            task: key.0.clone(),
            number: key.1,
            started: self.record.now(),
            ended: None,
            noted: None,
            is_lapsed_since: false,
        });
        let active = Active {
            run: runs.len() - 1,
            cpu,
            memory,
            work: spec_value(spec, "work-ms").map(Duration::from_millis),
            since: Instant::now(),
        };
        drop(runs);
        self.record.line(format!("{}: starts run {} of {}, token {}", self.id, key.1, key.0, state.token));
        state.active.insert(key, active);
        Reply::Answer(200, answer)
    }

    fn acknowledge(&self, state: &mut State, sequence: u64) {
        let (noted, kept): (Vec<_>, Vec<_>) = std::mem::take(&mut state.ended)
            .into_iter()
            .partition(|(number, _)| *number <= sequence);
        state.ended = kept;
        if noted.is_empty() {
            return;
        }
        self.record.line(format!("{}: ends up to number {sequence} are taken note of", self.id));
        let mut runs = self.runs.lock().expect("runs");
        for (_, run) in noted {
            if !runs[run].is_lapsed_since {
                runs[run].noted = Some(self.record.now());
            }
        }
    }

    fn answer_hold(&self, wait_ms: u64) -> Reply {
        let end = Instant::now() + Duration::from_millis(wait_ms);
        loop {
            {
                let state = self.state.lock().expect("state");
                if !state.ended.is_empty() || Instant::now() >= end {
                    return Reply::Answer(200, self.lists(&state));
                }
            }
            std::thread::sleep(Duration::from_millis(2));
        }
    }

    fn lists(&self, state: &State) -> Json {
        let running = state.active.iter().map(|((task, run), active)| {
            let elapsed = active.since.elapsed().as_millis();
            let percent = match active.work {
                Some(work) => (elapsed * 100 / work.as_millis().max(1)).min(99),
                None => (elapsed * 100 / STARTUP_MS).min(100),
            };
            Json::List(vec![
                text(task.as_str()),
                number(*run),
                text(""),
                number(percent as u64),
                number(active.cpu),
            ])
        });
        let running = Json::List(running.collect());
        let runs = self.runs.lock().expect("runs");
        let ended = state.ended.iter().take(MAX_LISTED_ENDS).map(|(sequence, run)| {
            let run = &runs[*run];
            let how = run.ended.map_or("", |(_, how)| how);
            Json::List(vec![
                number(*sequence),
                text(run.task.as_str()),
                number(run.number),
                text(how),
                text(""),
            ])
        });
        map(&[
            ("clock-ms", number(state.clock_ms())),
            ("born", number(state.born)),
            ("running", running),
            ("ended-runs", Json::List(ended.collect())),
        ])
    }
}

fn extend_lease(state: &mut State, body: &Json) {
    if let Some(deadline) = body.get("deadline-ms").number() {
        let longest = state.clock_ms() + MAX_LEASE_MS;
        state.deadline_ms = state.deadline_ms.max(deadline.min(longest));
    }
}
