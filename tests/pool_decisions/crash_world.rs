//! A pool on a virtual clock whose workers crash: under the tasks named as deadly, or on command. Progress is
//! stored, so that a new leader can take over.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use figloft::dispatch::command::{PollError, PoolCommand, StartCommand, StartOutcome, StopOutcome};
use figloft::dispatch::job_record::{JobProgress, JobRecord, JobState, JobSummary};
use figloft::dispatch::job_spec::StepSpec;
use figloft::dispatch::pool_scheduler::PoolScheduler;
use figloft::dispatch::takeover::TakeoverState;
use figloft::dispatch::task_id::{StepId, TaskId};
use figloft::dispatch::worker_report::{EndedRun, RunOutcome, WorkerReport};
use figloft::model::id::{JobId, WorkerId};
use figloft::model::resource::ResourceSet;
use figloft::model::unix_time::UnixMillis;

use crate::setup::{WALL, empty_scheduler, entry, running_row};

const TICK: Duration = Duration::from_millis(10);

const RESTART_TIME: Duration = Duration::from_millis(3_300);

/// Time after its last run from which a long-running task that does not run may count as late.
const MAX_INTERRUPTION: Duration = Duration::from_secs(6);

/// Time for which two workers have to have room for such a task.
const ROOM_TIME: Duration = Duration::from_secs(3);

/// Time before that for which nothing may have disturbed the pool.
const CALM_TIME: Duration = Duration::from_secs(4);

struct CrashingWorker {
    entry: figloft::dispatch::worker_entry::WorkerEntry,
    runs: Vec<(StartCommand, Instant)>,
    ended: Vec<EndedRun>,
    sequence: u64,
    back_at: Option<Instant>,
    cut_until: Option<Instant>,
    crash_at: Option<Instant>,
}

pub struct CrashWorld {
    pub now: Instant,
    pub scheduler: PoolScheduler,
    pub deadly: BTreeSet<TaskId>,
    /// Time from the start of a deadly task until its worker crashes.
    pub crash_delay: Duration,
    /// Run time of the finite tasks that are not deadly.
    pub run_time: Duration,
    /// Time after which a crashed worker is back.
    pub restart_time: Duration,
    /// Whether a crashed worker returns under its old id.
    pub keeps_id: bool,
    /// Whether the store accepts writes.
    pub is_storing: bool,
    pub starts: BTreeMap<TaskId, u32>,
    /// Crashes that each task caused or was hit by.
    pub crashes: BTreeMap<TaskId, u32>,
    pub summaries: BTreeMap<JobId, JobSummary>,
    pub notes: Vec<String>,
    /// Stored changes of progress.
    pub writes: u32,
    /// Long-running tasks that did not run although two workers had room for them, with the time at which
    /// this was noticed.
    pub late: BTreeMap<TaskId, Duration>,
    /// Time since which a long-running task does not run.
    stopped_at: BTreeMap<TaskId, Instant>,
    /// Time since which two workers have room for a long-running task that should run.
    roomy_since: BTreeMap<TaskId, Instant>,
    /// Time of the last crash, cut or take-over that no task caused.
    disturbed_at: Instant,
    workers: Vec<CrashingWorker>,
    records: BTreeMap<JobId, JobRecord>,
    pub progress: BTreeMap<JobId, JobProgress>,
    term: u64,
    begin: Instant,
}

impl CrashWorld {
    pub fn new(workers: usize, cores: u64) -> Self {
        let workers = (0..workers).map(|number| CrashingWorker {
            entry: entry(number, cores),
            runs: Vec::new(),
            ended: Vec::new(),
            sequence: 0,
            back_at: None,
            cut_until: None,
            crash_at: None,
        });
        let now = Instant::now();
        let mut world = Self {
            now,
            scheduler: empty_scheduler(1, TakeoverState::default()),
            deadly: BTreeSet::new(),
            crash_delay: TICK,
            run_time: Duration::from_secs(1),
            restart_time: RESTART_TIME,
            keeps_id: false,
            is_storing: true,
            starts: BTreeMap::new(),
            crashes: BTreeMap::new(),
            summaries: BTreeMap::new(),
            notes: Vec::new(),
            writes: 0,
            late: BTreeMap::new(),
            stopped_at: BTreeMap::new(),
            roomy_since: BTreeMap::new(),
            disturbed_at: now,
            workers: workers.collect(),
            records: BTreeMap::new(),
            progress: BTreeMap::new(),
            term: 1,
            begin: now,
        };
        world.announce_workers();
        world.run(Duration::from_millis(100));
        world
    }

    pub fn submit(&mut self, record: JobRecord) {
        self.records.insert(record.id.clone(), record.clone());
        self.scheduler.submit(self.now, self.now, record, None);
    }

    pub fn state(&self, job: &JobId) -> Option<JobState> {
        self.summaries.get(job).map(|summary| summary.state)
    }

    /// Instances on which a run of the task is active.
    pub fn places(&self, task: &TaskId) -> Vec<usize> {
        let runs_it = |worker: &CrashingWorker| worker.runs.iter().any(|(start, _)| start.run.task == *task);
        (0..self.workers.len())
            .filter(|number| runs_it(&self.workers[*number]))
            .collect()
    }

    /// Number of instances.
    pub fn size(&self) -> usize {
        self.workers.len()
    }

    /// Present worker on an instance.
    pub fn worker(&self, number: usize) -> WorkerId {
        self.workers[number].entry.id.clone()
    }

    pub fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.now += TICK;
            self.advance_workers();
            let commands = self.scheduler.decide(self.now, WALL, true);
            for command in commands {
                self.execute(command);
            }
            let notes = self.scheduler.take_notes();
            self.notes.extend(
                notes
                    .into_iter()
                    .map(|note| format!("{}: {}", note.decision, note.inputs)),
            );
            self.flush();
            self.find_late_tasks();
        }
    }

    /// Time since the beginning.
    pub fn elapsed(&self) -> Duration {
        self.now.saturating_duration_since(self.begin)
    }

    /// Ends the worker's process with all runs; it is back after a few seconds.
    pub fn crash(&mut self, number: usize) {
        self.disturbed_at = self.disturbed_at.max(self.now);
        self.end_process(number);
    }

    fn end_process(&mut self, number: usize) {
        let worker = &mut self.workers[number];
        for (start, _) in worker.runs.drain(..) {
            *self.crashes.entry(start.run.task).or_default() += 1;
        }
        worker.ended.clear();
        worker.crash_at = None;
        worker.back_at = Some(self.now + self.restart_time);
    }

    /// Cuts the worker off from the leader; its runs go on until their lease expires.
    pub fn cut(&mut self, number: usize, time: Duration) {
        self.disturbed_at = self.disturbed_at.max(self.now + time);
        self.workers[number].cut_until = Some(self.now + time);
    }

    /// Changes the capacity of an instance, also of its later workers.
    pub fn set_cores(&mut self, number: usize, cores: u64) {
        let worker = &mut self.workers[number];
        worker.entry.capacity = entry(number, cores).capacity;
        if worker.back_at.is_none() {
            self.scheduler.set_worker(self.now, worker.entry.clone());
        }
    }

    /// Replaces the leader by one that knows what is stored.
    pub fn take_over(&mut self) {
        self.disturbed_at = self.disturbed_at.max(self.now);
        self.term += 1;
        let former = self.scheduler.workers().keys().cloned().collect();
        let lease = Duration::from_millis(4_500);
        let takeover = TakeoverState::from_former_leader(self.now, former, lease);
        self.scheduler = empty_scheduler(self.term, takeover);
        self.announce_workers();
        let unstarted = JobProgress::default();
        for (id, record) in &self.records {
            if !self.state(id).is_some_and(JobState::is_final) {
                let progress = self.progress.get(id).unwrap_or(&unstarted);
                self.scheduler
                    .submit(self.now, self.now, record.clone(), Some(progress));
            }
        }
    }

    fn announce_workers(&mut self) {
        for worker in self.workers.iter().filter(|worker| worker.back_at.is_none()) {
            self.scheduler.observe_entry(self.now, &worker.entry);
            self.scheduler.expect_worker(&worker.entry.id);
            self.scheduler.set_worker(self.now, worker.entry.clone());
        }
    }

    fn advance_workers(&mut self) {
        for number in 0..self.workers.len() {
            let now = self.now;
            if self.workers[number].crash_at.is_some_and(|at| at <= now) {
                self.end_process(number);
            }
            let (records, deadly) = (&self.records, &self.deadly);
            let worker = &mut self.workers[number];
            worker.cut_until = worker.cut_until.filter(|until| *until > now);
            let (run_time, sequence, ended) = (self.run_time, &mut worker.sequence, &mut worker.ended);
            worker.runs.retain(|(start, started)| {
                let task = &start.run.task;
                let is_endless = is_long_running(records, task) || deadly.contains(task);
                let is_active = is_endless || now < *started + run_time;
                if !is_active {
                    *sequence += 1;
                    ended.push(EndedRun {
                        sequence: *sequence,
                        task: start.run.task.clone(),
                        run: start.run.number,
                        outcome: RunOutcome::Done,
                        checkpoint: "".into(),
                    });
                }
                is_active
            });
            if worker.back_at.is_some_and(|at| at <= now) {
                worker.back_at = None;
                worker.sequence = 0;
                let former = worker.entry.id.clone();
                let life = worker.entry.incarnation.map_or(1, UnixMillis::get) + 1;
                worker.entry.incarnation = Some(UnixMillis::new(life));
                if !self.keeps_id {
                    worker.entry.id = WorkerId::new(format!("i-{number}-{life}")).expect("worker");
                }
                let entry = worker.entry.clone();
                self.scheduler.observe_entry(now, &entry);
                if !self.keeps_id {
                    self.scheduler.remove_worker(&former);
                }
                self.scheduler.set_worker(now, entry);
            }
        }
    }

    fn execute(&mut self, command: PoolCommand) {
        let now = self.now;
        let target = match &command {
            PoolCommand::Start(start) => start.target.worker.clone(),
            PoolCommand::Stop(target, _) | PoolCommand::SetSpeed(target, ..) => target.worker.clone(),
            PoolCommand::Poll(poll) => poll.target.worker.clone(),
            PoolCommand::RequestAdvice(..) => return,
        };
        let reachable = self.workers.iter_mut().find(|worker| {
            worker.entry.id == target && worker.back_at.is_none() && worker.cut_until.is_none()
        });
        match command {
            PoolCommand::Start(start) => {
                let outcome = match reachable {
                    None => StartOutcome::NotSent,
                    Some(worker) => {
                        *self.starts.entry(start.run.task.clone()).or_default() += 1;
                        if self.deadly.contains(&start.run.task) {
                            let crash_at = now + self.crash_delay;
                            worker.crash_at = Some(worker.crash_at.map_or(crash_at, |at| at.min(crash_at)));
                        }
                        worker.runs.push((start.clone(), now));
                        StartOutcome::Started
                    }
                };
                self.scheduler
                    .handle_start_outcome(now, &target, &start.run, outcome);
            }
            PoolCommand::Stop(_, run) => {
                let outcome = if let Some(worker) = reachable {
                    worker.runs.retain(|(start, _)| start.run != run);
                    StopOutcome::Taken
                } else {
                    StopOutcome::Unknown
                };
                self.scheduler.handle_stop_outcome(now, &target, &run, outcome);
            }
            PoolCommand::Poll(poll) => match reachable {
                None => {
                    let error = PollError::NoAnswer("connection refused".into());
                    self.scheduler.handle_poll_error(now, &target, &error);
                }
                Some(worker) => {
                    worker.ended.retain(|row| row.sequence > poll.acknowledged);
                    let report = WorkerReport {
                        clock_ms: 5_000 + now.saturating_duration_since(self.begin).as_millis() as u64,
                        incarnation: worker.entry.incarnation,
                        running: worker.runs.iter().map(|(start, _)| running_row(start)).collect(),
                        ended: worker.ended.clone(),
                    };
                    self.scheduler.handle_poll_report(now, &target, now, report);
                }
            },
            PoolCommand::SetSpeed(..) | PoolCommand::RequestAdvice(..) => {}
        }
    }

    /// Finds long-running tasks that have not run for too long although two workers have room for them and
    /// nothing has disturbed the pool.
    fn find_late_tasks(&mut self) {
        let open = self
            .records
            .values()
            .filter(|record| !self.state(&record.id).is_some_and(JobState::is_final));
        let long_running = open.flat_map(|record| {
            let steps = (0_u32..).zip(&record.spec.steps);
            let steps = steps.filter(|(_, spec)| spec.is_long_running);
            steps.flat_map(|(number, spec)| {
                let step = StepId::new(record.id.clone(), 0, number);
                (0..spec.tasks).map(move |index| (step.task(index), spec))
            })
        });
        let waiting = long_running.filter(|(task, _)| self.places(task).is_empty());
        let waiting: BTreeMap<TaskId, bool> = waiting
            .map(|(task, spec)| {
                let roomy = self
                    .workers
                    .iter()
                    .filter(|worker| self.has_room(worker, &task, spec));
                let is_roomy = roomy.count() >= 2;
                (task, is_roomy)
            })
            .collect();
        self.stopped_at.retain(|task, _| waiting.contains_key(task));
        let is_calm = self.now >= self.disturbed_at + CALM_TIME;
        for (task, is_roomy) in &waiting {
            let stopped_at = *self.stopped_at.entry(task.clone()).or_insert(self.now);
            if !is_roomy || !is_calm || self.now < stopped_at + MAX_INTERRUPTION {
                self.roomy_since.remove(task);
                continue;
            }
            let since = *self.roomy_since.entry(task.clone()).or_insert(self.now);
            if self.now >= since + ROOM_TIME {
                let elapsed = self.elapsed();
                self.late.entry(task.clone()).or_insert(elapsed);
            }
        }
        self.roomy_since.retain(|task, _| waiting.contains_key(task));
    }

    /// Whether the worker could start the task now.
    fn has_room(&self, worker: &CrashingWorker, task: &TaskId, spec: &StepSpec) -> bool {
        if worker.back_at.is_some() || worker.cut_until.is_some() {
            return false;
        }
        let demand =
            |other: &TaskId| self.records[&other.step.job].spec.steps[other.step.step as usize].reserved();
        let used = worker
            .runs
            .iter()
            .fold(ResourceSet::default(), |used, (start, _)| {
                used.plus(&demand(&start.run.task))
            });
        let siblings = worker
            .runs
            .iter()
            .filter(|(start, _)| start.run.task.step == task.step);
        let siblings = siblings.count() as u32;
        worker
            .entry
            .capacity
            .saturating_sub(&used)
            .covers(&spec.reserved())
            && spec.max_per_worker.is_none_or(|max| siblings < max)
    }

    fn flush(&mut self) {
        if !self.is_storing || !self.scheduler.has_changes() {
            return;
        }
        for write in self.scheduler.take_flush(WALL, 1_000).jobs {
            if let Some(progress) = write.progress {
                self.writes += 1;
                self.progress.insert(write.job.clone(), progress);
            }
            if let Some(summary) = write.summary {
                self.summaries.insert(write.job, summary);
            }
        }
        self.scheduler.confirm_flush();
    }
}

fn is_long_running(records: &BTreeMap<JobId, JobRecord>, task: &TaskId) -> bool {
    let record = records.get(&task.step.job);
    record.is_some_and(|record| record.spec.steps[task.step.step as usize].is_long_running)
}
