//! Stand-in of a runner. The `spec` of a job tells how long its tasks work and what they need, for example
//! `work-ms=4000 cpu=40 mem-mb=10`; a task without `work-ms` lasts until it is stopped. With `gang=4` the task is one of
//! four that work together and save a checkpoint with each second of work. With `end-ms` the tasks of a step end one
//! after the other from that Unix time on, two in a millisecond.

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

/// Time for which a member of a gang waits for the others, `gang-ms`.
const GANG_WAIT: Duration = Duration::from_millis(3_000);

/// Work between two checkpoints, `checkpoint-s`.
const CHECKPOINT_MS: u64 = 1_000;

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
    /// Checkpoint at the end.
    checkpoint: String,
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
    /// Checkpoint in the start command, and the work that it saves.
    checkpoint: String,
    saved_work: Duration,
    gang_size: Option<u64>,
}

/// One run of a gang: its members with the checkpoint that each carries.
#[derive(Default)]
struct Gang {
    members: BTreeMap<String, String>,
    started: Option<Instant>,
    is_broken: bool,
}

/// What the runners of a case share.
#[derive(Clone, Default)]
pub struct Shared {
    pub runs: Arc<Mutex<Vec<Run>>>,
    /// Gangs by step and run number.
    gangs: Arc<Mutex<BTreeMap<(String, u64), Gang>>>,
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
    is_down: bool,
}

#[derive(Clone)]
pub struct Runner {
    pub id: String,
    pub machine: String,
    pub address: SocketAddr,
    state: Arc<Mutex<State>>,
    shared: Shared,
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
    /// Starts a runner.
    pub fn start(name: &str, listener: TcpListener, shared: Shared, record: Record) -> Self {
        let state = State {
            start: Instant::now(),
            born: unix_ms(),
            token: 0,
            deadline_ms: 0,
            active: BTreeMap::new(),
            ended: Vec::new(),
            next_sequence: 1,
            closed: BTreeMap::new(),
            is_down: false,
        };
        let runner = Self {
            id: format!("i-{name}"),
            machine: format!("m-{name}"),
            address: listener.local_addr().expect("address"),
            state: Arc::new(Mutex::new(state)),
            shared,
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
                if !runner.is_down() {
                    store.write(&format!("servers/{}", runner.id), &runner.entry(&service, &zone, sequence));
                }
                let was_down = runner.is_down();
                let end = Instant::now() + HEARTBEAT;
                // A runner that starts again registers at once.
                while Instant::now() < end && (runner.is_down() || !was_down) {
                    std::thread::sleep(Duration::from_millis(20));
                }
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

    fn is_down(&self) -> bool {
        self.state.lock().expect("state").is_down
    }

    /// Crashes the runner. It starts again under its id after `down` and knows nothing of before.
    pub fn crash(&self, down: Duration) {
        let runner = self.clone();
        runner.record.line(format!("{}: crashes", runner.id));
        {
            let mut state = runner.state.lock().expect("state");
            state.is_down = true;
            let active = std::mem::take(&mut state.active);
            let mut runs = runner.shared.runs.lock().expect("runs");
            for ((task, number), active) in active {
                runs[active.run].ended = Some((runner.record.now(), "gone"));
                runner.break_gang(&task, number);
            }
        }
        std::thread::spawn(move || {
            std::thread::sleep(down);
            let mut state = runner.state.lock().expect("state");
            *state = State {
                start: Instant::now(),
                born: unix_ms(),
                token: 0,
                deadline_ms: 0,
                active: BTreeMap::new(),
                ended: Vec::new(),
                next_sequence: 1,
                closed: BTreeMap::new(),
                is_down: false,
            };
            runner.record.line(format!("{}: starts again", runner.id));
        });
    }

    fn break_gang(&self, task: &str, number: u64) {
        let mut gangs = self.shared.gangs.lock().expect("gangs");
        if let Some(gang) = gangs.get_mut(&(step_of(task), number)) {
            gang.is_broken = true;
        }
    }

    /// How a member of a gang ends now; `None` if it goes on.
    fn gang_end(&self, key: &(String, u64), active: &Active, size: u64) -> Option<&'static str> {
        let mut gangs = self.shared.gangs.lock().expect("gangs");
        let gang = gangs.get_mut(&(step_of(&key.0), key.1))?;
        if gang.is_broken {
            return Some("broken");
        }
        if gang.started.is_none() {
            let is_complete = gang.members.len() as u64 == size;
            // All members have to carry the same checkpoint.
            if is_complete && gang.members.values().all(|checkpoint| *checkpoint == active.checkpoint) {
                gang.started = Some(Instant::now());
            } else if active.since.elapsed() >= GANG_WAIT {
                return Some("alone");
            }
            return None;
        }
        let is_done = active.work.is_some_and(|work| self.work_of(gang, active) >= work);
        is_done.then_some("done")
    }

    fn work_of(&self, gang: &Gang, active: &Active) -> Duration {
        active.saved_work + gang.started.map_or(Duration::ZERO, |started| started.elapsed())
    }

    /// Work and newest checkpoint of an active run.
    fn progress(&self, key: &(String, u64), active: &Active) -> (Duration, String) {
        if active.gang_size.is_none() {
            return (active.since.elapsed(), String::new());
        }
        let gangs = self.shared.gangs.lock().expect("gangs");
        let Some(gang) = gangs.get(&(step_of(&key.0), key.1)) else {
            return (Duration::ZERO, active.checkpoint.clone());
        };
        let work = self.work_of(gang, active);
        let saved = work.as_millis() as u64 / CHECKPOINT_MS * CHECKPOINT_MS;
        if saved <= active.saved_work.as_millis() as u64 {
            return (work, active.checkpoint.clone());
        }
        (work, format!("{saved:08x}{:08x}", index_of(&key.0)))
    }

    fn end(&self, state: &mut State, key: &(String, u64), how: &'static str) {
        let Some(active) = state.active.remove(key) else {
            return;
        };
        let (_, checkpoint) = self.progress(key, &active);
        if how != "done" {
            self.break_gang(&key.0, key.1);
        }
        let sequence = state.next_sequence;
        state.next_sequence += 1;
        state.ended.push((sequence, active.run));
        let closed = state.closed.entry(key.0.clone()).or_default();
        *closed = (*closed).max(key.1);
        {
            let run = &mut self.shared.runs.lock().expect("runs")[active.run];
            run.ended = Some((self.record.now(), how));
            run.checkpoint.clone_from(&checkpoint);
        }
        let saved = if checkpoint.is_empty() {
            String::new()
        } else {
            format!(", checkpoint {checkpoint}")
        };
        self.record.line(format!("{}: run {} of {} ends {how}, number {sequence}{saved}", self.id, key.1, key.0));
    }

    /// Ends the runs whose lease has expired and those that are done.
    fn advance(&self, state: &mut State) {
        let keys: Vec<(String, u64)> = state.active.keys().cloned().collect();
        if state.clock_ms() > state.deadline_ms && !(keys.is_empty() && state.ended.is_empty()) {
            let mut runs = self.shared.runs.lock().expect("runs");
            for (_, run) in &state.ended {
                runs[*run].is_lapsed_since = true;
            }
            drop(runs);
            for key in &keys {
                self.end(state, key, "lapsed");
            }
        }
        for key in keys {
            let Some(active) = state.active.get(&key) else {
                continue;
            };
            let how = match active.gang_size {
                Some(size) => self.gang_end(&key, active, size),
                None => {
                    let is_done = active.work.is_some_and(|work| active.since.elapsed() >= work);
                    is_done.then_some("done")
                }
            };
            if let Some(how) = how {
                self.end(state, &key, how);
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
        if state.is_down {
            return Reply::Close;
        }
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
        let mut runs = self.shared.runs.lock().expect("runs");
        runs.push(Run {
            runner: self.id.clone(),
            task: key.0.clone(),
            number: key.1,
            started: self.record.now(),
            ended: None,
            checkpoint: String::new(),
            noted: None,
            is_lapsed_since: false,
        });
        let active = Active {
            run: runs.len() - 1,
            cpu,
            memory,
            work: work_time(spec, &key.0),
            since: Instant::now(),
            saved_work: saved_work(body.get("checkpoint").text()),
            checkpoint: body.get("checkpoint").text().to_owned(),
            gang_size: spec_value(spec, "gang"),
        };
        drop(runs);
        if active.gang_size.is_some() {
            let mut gangs = self.shared.gangs.lock().expect("gangs");
            let gang = gangs.entry((step_of(&key.0), key.1)).or_default();
            gang.members.insert(key.0.clone(), active.checkpoint.clone());
        }
        let carried = if active.checkpoint.is_empty() {
            String::new()
        } else {
            format!(", checkpoint {}", active.checkpoint)
        };
        let token = state.token;
        self.record.line(format!("{}: starts run {} of {}, token {token}{carried}", self.id, key.1, key.0));
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
        let mut runs = self.shared.runs.lock().expect("runs");
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
                if state.is_down {
                    return Reply::Close;
                }
                if !state.ended.is_empty() || Instant::now() >= end {
                    return Reply::Answer(200, self.lists(&state));
                }
            }
            std::thread::sleep(Duration::from_millis(2));
        }
    }

    fn lists(&self, state: &State) -> Json {
        let running = state.active.iter().map(|(key, active)| {
            let (task, run) = key;
            let (work, checkpoint) = self.progress(key, active);
            let elapsed = work.as_millis();
            let percent = match active.work {
                Some(work) => (elapsed * 100 / work.as_millis().max(1)).min(99),
                None => (elapsed * 100 / STARTUP_MS).min(100),
            };
            Json::List(vec![
                text(task.as_str()),
                number(*run),
                text(checkpoint),
                number(percent as u64),
                number(active.cpu),
            ])
        });
        let running = Json::List(running.collect());
        let runs = self.shared.runs.lock().expect("runs");
        let ended = state.ended.iter().take(MAX_LISTED_ENDS).map(|(sequence, run)| {
            let run = &runs[*run];
            let how = run.ended.map_or("", |(_, how)| how);
            Json::List(vec![
                number(*sequence),
                text(run.task.as_str()),
                number(run.number),
                text(how),
                text(run.checkpoint.as_str()),
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

/// Time for which a task works; `None` if it lasts.
fn work_time(spec: &str, task: &str) -> Option<Duration> {
    if let Some(end_ms) = spec_value(spec, "end-ms") {
        let end_ms = end_ms + index_of(task) / 2;
        return Some(Duration::from_millis(end_ms.saturating_sub(unix_ms())));
    }
    spec_value(spec, "work-ms").map(Duration::from_millis)
}

/// The index of a task in its step.
fn index_of(task: &str) -> u64 {
    task.rsplit('.').next().and_then(|index| index.parse().ok()).unwrap_or(0)
}

/// The step of a task, with its job and occurrence.
fn step_of(task: &str) -> String {
    task.rsplit_once('.').map_or(task, |(step, _)| step).to_owned()
}

/// The work that a checkpoint saves.
fn saved_work(checkpoint: &str) -> Duration {
    let millis = checkpoint.get(..8).and_then(|digits| u64::from_str_radix(digits, 16).ok());
    Duration::from_millis(millis.unwrap_or(0))
}
