//! Gangs that resume from a checkpoint, while members crash, report late and leaders are lost.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::{Duration, Instant};

use figloft::dispatch::command::{PollCommand, PoolCommand, StartCommand, StartOutcome, StopOutcome};
use figloft::dispatch::job_record::{JobProgress, JobRecord};
use figloft::dispatch::job_spec::StepSpec;
use figloft::dispatch::pool_scheduler::PoolScheduler;
use figloft::dispatch::scheduler_timing::SchedulerTiming;
use figloft::dispatch::takeover::TakeoverState;
use figloft::dispatch::worker_report::{ActiveRun, EndedRun, RunOutcome, WorkerReport};
use figloft::model::id::RunNumber;
use figloft::model::listed_rows::ListedRows;
use figloft::model::unix_time::UnixMillis;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use crate::setup::{WALL, empty_scheduler, entry, record, running_row, step, worker_id};

const MEMBERS: usize = 4;

/// Time between two passes of the world.
const PASS: Duration = Duration::from_millis(100);

/// Passes after which the gang has to be started again: a lost member waits for the end of its lease.
const MAX_PASSES: usize = 300;

/// Rounds of starts and crashes of each seed.
const ROUNDS: usize = 5;

#[derive(Default)]
struct GangWorker {
    incarnation: u64,
    /// Active run with the checkpoint that it has saved.
    active: Option<(StartCommand, Arc<str>)>,
    ended: Vec<EndedRun>,
    /// Polls that have not been answered, with the time at which they were sent.
    open_polls: Vec<Instant>,
}

/// A gang of four on workers with room for one member each, and the leader of the pool.
struct GangWorld {
    rng: StdRng,
    now: Instant,
    term: u64,
    scheduler: PoolScheduler,
    workers: Vec<GangWorker>,
    progress: Option<JobProgress>,
    /// Checkpoints that a member has reported.
    reported: BTreeSet<Arc<str>>,
    starts: Vec<StartCommand>,
}

fn gang_job() -> JobRecord {
    let gang = StepSpec {
        is_gang: true,
        has_checkpoints: true,
        ..step(MEMBERS as u32, 5, 20_000)
    };
    record(1, vec![gang])
}

impl GangWorld {
    fn new(seed: u64) -> Self {
        let now = Instant::now();
        let mut world = Self {
            rng: StdRng::seed_from_u64(seed),
            now,
            term: 1,
            scheduler: empty_scheduler(1, TakeoverState::default()),
            workers: (0..MEMBERS).map(|_| GangWorker::default()).collect(),
            progress: None,
            reported: BTreeSet::new(),
            starts: Vec::new(),
        };
        world.workers.iter_mut().for_each(|worker| worker.incarnation = 1);
        world.set_workers();
        world.scheduler.submit(now, now, gang_job(), None);
        world
    }

    fn set_workers(&mut self) {
        for (number, worker) in self.workers.iter().enumerate() {
            let mut entry = entry(number, 8);
            entry.incarnation = Some(UnixMillis::new(worker.incarnation));
            self.scheduler.set_worker(self.now, entry);
        }
    }

    /// Replaces the leader by one that knows only what is stored.
    fn change_leader(&mut self) {
        self.term += 1;
        let former = (0..MEMBERS).map(worker_id).collect();
        let lease = SchedulerTiming::default().lease;
        let takeover = TakeoverState::from_former_leader(self.now, former, lease);
        self.scheduler = empty_scheduler(self.term, takeover);
        self.workers
            .iter_mut()
            .for_each(|worker| worker.open_polls.clear());
        self.set_workers();
        let progress = self.progress.clone().unwrap_or_default();
        self.scheduler
            .submit(self.now, self.now, gang_job(), Some(&progress));
    }

    /// Lets the leader decide once and the workers answer; late ones answer in a later pass.
    fn pass(&mut self, late_percent: u32) {
        self.now += PASS;
        for command in self.scheduler.decide(self.now, WALL, true) {
            match command {
                PoolCommand::Start(start) => self.starts.push(start),
                PoolCommand::Poll(poll) => self.take_poll(&poll),
                PoolCommand::Stop(target, run) => {
                    let outcome = StopOutcome::Taken;
                    self.scheduler
                        .handle_stop_outcome(self.now, &target.worker, &run, outcome);
                }
                PoolCommand::SetSpeed(..) | PoolCommand::RequestAdvice(..) => {}
            }
        }
        for number in 0..MEMBERS {
            if !self.rng.random_ratio(late_percent, 100) {
                self.answer(number);
            }
        }
        for write in self.scheduler.take_flush(WALL, 28).jobs {
            self.progress = write.progress.or(self.progress.take());
        }
        self.scheduler.confirm_flush();
    }

    fn take_poll(&mut self, poll: &PollCommand) {
        let number = (0..MEMBERS).find(|number| worker_id(*number) == poll.target.worker);
        let worker = &mut self.workers[number.expect("worker")];
        worker.ended.retain(|row| row.sequence > poll.acknowledged);
        worker.open_polls.push(self.now);
    }

    fn answer(&mut self, number: usize) {
        let worker = &mut self.workers[number];
        let running = worker.active.iter().map(|(start, checkpoint)| ActiveRun {
            checkpoint: Arc::clone(checkpoint),
            progress_percent: 10.0,
            ..running_row(start)
        });
        let report = WorkerReport {
            clock_ms: 5_000 + (worker.incarnation * 7),
            incarnation: Some(UnixMillis::new(worker.incarnation)),
            running: running.collect(),
            ended: ListedRows::Whole(worker.ended.clone()),
        };
        let values = report.running.iter().map(|row| &row.checkpoint);
        let values = values.chain(worker.ended.iter().map(|row| &row.checkpoint));
        self.reported.extend(values.cloned());
        for sent_at in std::mem::take(&mut worker.open_polls) {
            self.scheduler
                .handle_poll_report(self.now, &worker_id(number), sent_at, report.clone());
        }
    }

    /// Runs until the gang is started, and checks the start.
    fn start_gang(&mut self, seed: u64) -> RunNumber {
        let mut passes = 0;
        while self.starts.len() < MEMBERS {
            passes += 1;
            assert!(passes < MAX_PASSES, "seed {seed}: the gang is not started");
            self.pass(30);
        }
        let starts = std::mem::take(&mut self.starts);
        assert_eq!(starts.len(), MEMBERS, "seed {seed}");
        let values: BTreeSet<&str> = starts.iter().map(|start| &*start.checkpoint).collect();
        let runs: BTreeSet<RunNumber> = starts.iter().map(|start| start.run.number).collect();
        assert_eq!(values.len(), 1, "seed {seed}: one checkpoint for all members");
        assert_eq!(runs.len(), 1, "seed {seed}: one run number for all members");
        let value = &starts[0].checkpoint;
        let is_known = value.is_empty() || self.reported.contains(value);
        assert!(is_known, "seed {seed}: {value} is a checkpoint of a member");
        assert!(
            !value.is_empty() || self.reported.iter().all(|value| value.is_empty()),
            "seed {seed}: reported work is kept"
        );
        let run = starts[0].run.number;
        for start in starts {
            let number = (0..MEMBERS).find(|number| worker_id(*number) == start.target.worker);
            let outcome = StartOutcome::Started;
            self.scheduler
                .handle_start_outcome(self.now, &start.target.worker, &start.run, outcome);
            let checkpoint = Arc::clone(&start.checkpoint);
            self.workers[number.expect("worker")].active = Some((start, checkpoint));
        }
        run
    }

    /// Ends the gang: each member that is left ends `broken` with a checkpoint of its own.
    fn crash_member(&mut self, run: RunNumber) {
        let crashed = self.rng.random_range(0..MEMBERS);
        for (number, worker) in self.workers.iter_mut().enumerate() {
            let Some((start, _)) = worker.active.take() else {
                continue;
            };
            if number == crashed {
                worker.incarnation += 1;
                worker.ended.clear();
                continue;
            }
            let sequence = worker.ended.last().map_or(1, |row| row.sequence + 1);
            worker.ended.push(EndedRun {
                sequence: sequence + run.get() * 10,
                task: start.run.task,
                run: start.run.number,
                outcome: RunOutcome::GangBroken,
                checkpoint: format!("end-{run}-{number}").into(),
            });
        }
        self.set_workers();
    }
}

/// Guards against a gang that never works again: after a crash each member was started with the checkpoint that it had
/// saved itself. Members report late, the leader is lost between their reports, and workers crash in each round.
#[test]
fn members_of_a_gang_resume_from_one_checkpoint() {
    for seed in 0..60 {
        let mut world = GangWorld::new(seed);
        for _ in 0..ROUNDS {
            let run = world.start_gang(seed);
            for _ in 0..world.rng.random_range(0..20) {
                world.pass(30);
                let saved = world.rng.random_range(0..MEMBERS);
                if let Some((_, checkpoint)) = &mut world.workers[saved].active {
                    *checkpoint = format!("run-{run}-{saved}").into();
                }
            }
            world.crash_member(run);
            for _ in 0..world.rng.random_range(0..3) {
                world.pass(60);
            }
            if world.rng.random_ratio(1, 2) {
                world.change_leader();
            }
        }
    }
}

/// Guards against losing work that the gang has done since: a member that was out of reach reports the end of an
/// earlier run after a later one has saved a checkpoint.
#[test]
fn late_report_of_an_earlier_run_does_not_replace_the_checkpoint() {
    let mut world = GangWorld::new(0);
    let first = world.start_gang(0);
    world.crash_member(first);
    let second = world.start_gang(0);
    let late = EndedRun {
        sequence: 1_000,
        task: world.workers[0].active.as_ref().expect("run").0.run.task.clone(),
        run: first,
        outcome: RunOutcome::LeaseExpired,
        checkpoint: "late".into(),
    };
    world.crash_member(second);
    let worker = (0..MEMBERS).find(|number| !world.workers[*number].ended.is_empty());
    world.workers[worker.expect("worker")].ended.push(late);
    world.start_gang(0);
    for (start, checkpoint) in world.workers.iter().filter_map(|worker| worker.active.as_ref()) {
        assert!(
            checkpoint.starts_with(&format!("end-{second}-")),
            "{} resumes from {checkpoint}",
            start.run.task
        );
    }
}
