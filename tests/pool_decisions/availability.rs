//! Simulation of a long-running step on workers that carry out commands late: the leader never ends a task at work
//! while too many others of its step are away.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::{Duration, Instant};

use figloft::dispatch::command::{
    PollCommand, PollError, PoolCommand, RunId, StartCommand, StartOutcome, StopOutcome,
};
use figloft::dispatch::job_spec::StepSpec;
use figloft::dispatch::pool_plan::PoolPlan;
use figloft::dispatch::pool_scheduler::PoolScheduler;
use figloft::dispatch::task_id::TaskId;
use figloft::dispatch::worker_report::{ActiveRun, EndedRun, RunOutcome, WorkerReport};
use figloft::model::id::{PlanVersion, RunNumber, WorkerId};
use figloft::model::listed_rows::ListedRows;
use figloft::model::unix_time::UnixMillis;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use crate::setup::{WALL, record, scheduler, step, worker_id};

const TICK_MS: u64 = 20;
const SIMULATION_MS: u64 = 40_000;
const WORKERS: usize = 6;
const TASKS: u32 = 8;
/// Time from the start of a run until it is at work.
const START_UP_MS: u64 = 200;
/// Time after which a task that is not at work counts as away, whatever the cause; one that was stopped by an order
/// does at once.
const NOTICE_MS: u64 = 4_500;
const COMMAND_TIMEOUT_MS: u64 = 600;
const POLL_GRACE_MS: u64 = 700;
/// Reading of each worker's clock at the start of the simulation.
const CLOCK_MS: u64 = 5_000;

#[derive(Default)]
struct FakeWorker {
    runs: BTreeMap<TaskId, (RunNumber, u64)>,
    ended: Vec<EndedRun>,
    sequence: u64,
    /// Highest run number of each task that was stopped or has ended here.
    closed: BTreeMap<TaskId, RunNumber>,
    lease_end: u64,
    /// Time up to which commands may stay unanswered and be carried out late.
    late_until: u64,
}

enum Event {
    Started(RunId, WorkerId, StartOutcome),
    Stopped(RunId, WorkerId, StopOutcome),
    LateStart(usize, StartCommand),
    LateStop(usize, RunId),
    Poll(usize, PollCommand, Instant, u64),
    PollFailed(usize),
}

struct World {
    seed: u64,
    rng: StdRng,
    begin: Instant,
    time: u64,
    workers: Vec<FakeWorker>,
    events: Vec<(u64, Event)>,
    /// Time since which each task is not at work, and whether an order ended it.
    away: BTreeMap<TaskId, (u64, bool)>,
}

impl World {
    fn new(seed: u64) -> Self {
        Self {
            seed,
            rng: StdRng::seed_from_u64(seed),
            begin: Instant::now(),
            time: 0,
            workers: (0..WORKERS).map(|_| FakeWorker::default()).collect(),
            events: Vec::new(),
            away: BTreeMap::new(),
        }
    }

    fn now(&self) -> Instant {
        self.begin + Duration::from_millis(self.time)
    }

    fn is_late(&mut self, number: usize, chance: f64) -> bool {
        self.time < self.workers[number].late_until && self.rng.random_bool(chance)
    }

    fn apply_start(&mut self, number: usize, start: &StartCommand) -> StartOutcome {
        let task = &start.run.task;
        let worker = &self.workers[number];
        if worker
            .closed
            .get(task)
            .is_some_and(|run| *run >= start.run.number)
        {
            return StartOutcome::OldRun;
        }
        if start.deadline_ms < CLOCK_MS + self.time {
            return StartOutcome::LateOrder;
        }
        let is_active = self.workers.iter().any(|worker| worker.runs.contains_key(task));
        assert!(
            !is_active,
            "seed {}, {} ms: {task} runs twice",
            self.seed, self.time
        );
        let worker = &mut self.workers[number];
        worker.runs.insert(task.clone(), (start.run.number, self.time));
        worker.lease_end = worker.lease_end.max(start.deadline_ms);
        StartOutcome::Started
    }

    /// Ends the run as `outcome`.
    fn end_run(&mut self, number: usize, task: &TaskId, outcome: RunOutcome) {
        let time = self.time;
        let worker = &mut self.workers[number];
        let Some((run, started_at)) = worker.runs.remove(task) else {
            return;
        };
        worker.sequence += 1;
        worker.closed.insert(task.clone(), run);
        worker.ended.push(EndedRun {
            sequence: worker.sequence,
            task: task.clone(),
            run,
            outcome,
            checkpoint: Arc::default(),
        });
        if time >= started_at + START_UP_MS {
            self.away
                .insert(task.clone(), (time, outcome == RunOutcome::Stopped));
        }
    }

    fn apply_stop(&mut self, number: usize, run: &RunId, is_late: bool) {
        let worker = &mut self.workers[number];
        let closed = worker.closed.entry(run.task.clone()).or_insert(run.number);
        *closed = (*closed).max(run.number);
        let Some((_, started_at)) = worker
            .runs
            .get(&run.task)
            .filter(|(active, _)| *active == run.number)
        else {
            return;
        };
        let is_at_work = self.time >= started_at + START_UP_MS;
        let is_away = |(task, (since, is_ordered)): (&TaskId, &(u64, bool))| {
            *task != run.task && (*is_ordered || self.time >= since + NOTICE_MS)
        };
        let away = self.away.iter().filter(|entry| is_away(*entry)).count();
        assert!(
            is_late || !is_at_work || away == 0,
            "seed {}, {} ms: {} is ended at work while {away} others are away",
            self.seed,
            self.time,
            run.task
        );
        self.end_run(number, &run.task, RunOutcome::Stopped);
    }

    fn number(worker: &WorkerId) -> usize {
        (0..WORKERS)
            .find(|number| worker_id(*number) == *worker)
            .expect("worker")
    }

    fn send(&mut self, command: PoolCommand) {
        let time = self.time;
        let late_at = time + self.rng.random_range(20..5_500);
        match command {
            PoolCommand::Start(start) => {
                let number = Self::number(&start.target.worker);
                let (run, worker) = (start.run.clone(), start.target.worker.clone());
                let (at, outcome) = if self.is_late(number, 0.6) {
                    self.events.push((late_at, Event::LateStart(number, start)));
                    (time + COMMAND_TIMEOUT_MS, StartOutcome::Unknown)
                } else {
                    (time + TICK_MS, self.apply_start(number, &start))
                };
                self.events.push((at, Event::Started(run, worker, outcome)));
            }
            PoolCommand::Stop(target, run) => {
                let number = Self::number(&target.worker);
                let (at, outcome) = if self.is_late(number, 0.6) {
                    self.events.push((late_at, Event::LateStop(number, run.clone())));
                    (time + COMMAND_TIMEOUT_MS, StopOutcome::Unknown)
                } else {
                    self.apply_stop(number, &run, false);
                    (time + TICK_MS, StopOutcome::Taken)
                };
                self.events
                    .push((at, Event::Stopped(run, target.worker, outcome)));
            }
            PoolCommand::Poll(poll) => {
                let number = Self::number(&poll.target.worker);
                let until = time + poll.wait.as_millis() as u64;
                if self.is_late(number, 0.2) {
                    self.events
                        .push((until + POLL_GRACE_MS, Event::PollFailed(number)));
                } else {
                    let sent_at = self.now();
                    self.events
                        .push((time, Event::Poll(number, poll, sent_at, until)));
                }
            }
            PoolCommand::SetSpeed(..) | PoolCommand::RequestAdvice(..) => {}
        }
    }

    /// Answers a poll, or holds it back until a run ends.
    fn answer_poll(
        &mut self,
        scheduler: &mut PoolScheduler,
        number: usize,
        poll: PollCommand,
        at: Instant,
        until: u64,
    ) {
        let time = self.time;
        let worker = &mut self.workers[number];
        worker.ended.retain(|row| row.sequence > poll.acknowledged);
        worker.lease_end = worker.lease_end.max(poll.deadline_ms.unwrap_or_default());
        if worker.ended.is_empty() && time < until {
            self.events
                .push((time + TICK_MS, Event::Poll(number, poll, at, until)));
            return;
        }
        let running = worker.runs.iter().map(|(task, (run, started_at))| ActiveRun {
            task: task.clone(),
            run: *run,
            checkpoint: Arc::default(),
            progress_percent: if time >= started_at + START_UP_MS {
                100.0
            } else {
                10.0
            },
            load: 0.0,
        });
        let report = WorkerReport {
            clock_ms: CLOCK_MS + time,
            incarnation: Some(UnixMillis::new(1)),
            running: running.collect(),
            ended: ListedRows::Whole(worker.ended.clone()),
        };
        scheduler.handle_poll_report(self.now(), &worker_id(number), at, report);
    }

    fn deliver(&mut self, scheduler: &mut PoolScheduler) {
        let time = self.time;
        let events = std::mem::take(&mut self.events);
        let (due, later): (Vec<_>, Vec<_>) = events.into_iter().partition(|(at, _)| *at <= time);
        self.events = later;
        let now = self.now();
        for (_, event) in due {
            match event {
                Event::Started(run, worker, outcome) => {
                    scheduler.handle_start_outcome(now, &worker, &run, outcome);
                }
                Event::Stopped(run, worker, outcome) => {
                    scheduler.handle_stop_outcome(now, &worker, &run, outcome);
                }
                Event::LateStart(number, start) => {
                    self.apply_start(number, &start);
                }
                Event::LateStop(number, run) => self.apply_stop(number, &run, true),
                Event::Poll(number, poll, at, until) => self.answer_poll(scheduler, number, poll, at, until),
                Event::PollFailed(number) => {
                    scheduler.handle_poll_error(
                        now,
                        &worker_id(number),
                        &PollError::NoAnswer("time-out".into()),
                    );
                }
            }
        }
    }

    /// Ends runs that fail or whose lease has expired, and records which tasks have come to work.
    fn advance(&mut self) {
        let time = self.time;
        for number in 0..WORKERS {
            if self.rng.random_bool(0.01) {
                self.workers[number].late_until = time + self.rng.random_range(2_000..8_000);
            }
            let is_expired = CLOCK_MS + time > self.workers[number].lease_end;
            let tasks: Vec<TaskId> = self.workers[number].runs.keys().cloned().collect();
            for task in tasks {
                let fails = self.rng.random_bool(0.003);
                if is_expired {
                    self.end_run(number, &task, RunOutcome::LeaseExpired);
                } else if fails {
                    self.end_run(number, &task, RunOutcome::Failed);
                }
            }
            for (task, (_, started_at)) in &self.workers[number].runs {
                if time >= started_at + START_UP_MS {
                    self.away.remove(task);
                }
            }
        }
    }

    /// Evacuates up to two workers, others every few seconds.
    fn change_plan(&mut self, scheduler: &mut PoolScheduler, version: u64) {
        let evacuating: BTreeSet<WorkerId> = (0..2)
            .map(|_| worker_id(self.rng.random_range(0..WORKERS)))
            .collect();
        scheduler.set_plan(PoolPlan {
            version: PlanVersion::new(version),
            evacuating,
            ..PoolPlan::default()
        });
    }

    fn run(mut self) {
        let mut scheduler = scheduler(self.begin, WORKERS, 8);
        let long_running = StepSpec {
            is_long_running: true,
            max_unavailable: 1,
            max_per_worker: Some(3),
            ..step(TASKS, 1, 0)
        };
        scheduler.submit(self.begin, self.begin, record(1, vec![long_running]), None);
        while self.time < SIMULATION_MS {
            self.advance();
            self.deliver(&mut scheduler);
            if self.time.is_multiple_of(3_000) {
                self.change_plan(&mut scheduler, 1 + self.time / 3_000);
            }
            for command in scheduler.decide(self.now(), WALL, true) {
                self.send(command);
            }
            if scheduler.has_changes() {
                scheduler.take_flush(WALL, 28);
                scheduler.confirm_flush();
            }
            self.time += TICK_MS;
        }
    }
}

/// Guards against ending a task at work while another of its step is away (AVAIL), and against two runs of a task, on
/// unforeseen sequences of late commands, unanswered polls, failed runs and evacuations.
#[test]
fn late_commands_leave_enough_tasks_at_work() {
    for seed in 0..60 {
        World::new(seed).run();
    }
}
