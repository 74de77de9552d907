//! Builders for workers, jobs, reports and schedulers.

use std::sync::Arc;
use std::time::{Duration, Instant};

use figloft::dispatch::command::{PoolCommand, StartCommand, StartOutcome};
use figloft::dispatch::job_record::{JobRecord, QueueRule};
use figloft::dispatch::job_spec::{JobSpec, StepSpec};
use figloft::dispatch::pool_scheduler::PoolScheduler;
use figloft::dispatch::scheduler_timing::SchedulerTiming;
use figloft::dispatch::takeover::TakeoverState;
use figloft::dispatch::worker_entry::WorkerEntry;
use figloft::dispatch::worker_report::{ActiveRun, EndedRun, RunOutcome, WorkerReport};
use figloft::model::amount::{MemoryMib, MilliCores};
use figloft::model::id::{InstanceId, JobId, LeaderTerm, PoolId, QueueId, WorkerId, ZoneId};
use figloft::model::listed_rows::ListedRows;
use figloft::model::resource::ResourceSet;
use figloft::model::unix_time::UnixMillis;

pub const WALL: UnixMillis = UnixMillis::new(1_000_000);

pub fn pool() -> PoolId {
    PoolId::new("pool-a").expect("pool")
}

pub fn worker_id(number: usize) -> WorkerId {
    WorkerId::new(format!("i-{number}")).expect("worker")
}

pub fn instance_id(number: usize) -> InstanceId {
    InstanceId::new(format!("m-{number}")).expect("instance")
}

pub fn job_id(number: usize) -> JobId {
    JobId::new(format!("{number:016x}")).expect("job")
}

pub fn entry(number: usize, cores: u64) -> WorkerEntry {
    WorkerEntry {
        id: worker_id(number),
        instance: Some(instance_id(number)),
        pool: pool(),
        address: format!("127.0.0.1:{}", 9_000 + number).parse().expect("address"),
        zone: ZoneId::new("zone-a").expect("zone"),
        is_draining: false,
        capacity: ResourceSet::new(MilliCores::new(cores * 1_000), MemoryMib::new(65_536)),
        labels: vec!["a".into(), format!("r-{}", number / 4).into()],
        incarnation: Some(UnixMillis::new(1)),
    }
}

pub fn step(tasks: u32, cores: u64, estimate_ms: u64) -> StepSpec {
    StepSpec {
        tasks,
        demand: ResourceSet::new(MilliCores::new(cores * 1_000), MemoryMib::new(100)),
        estimate: Duration::from_millis(estimate_ms),
        ..StepSpec::default()
    }
}

pub fn record(number: usize, steps: Vec<StepSpec>) -> JobRecord {
    JobRecord {
        id: job_id(number),
        pool: pool(),
        queue: QueueId::new("r-1").expect("queue"),
        organisation: None,
        rule: QueueRule {
            priority: 0,
            max_attempts: 4,
            slack_factor: 1.6,
            target_latency: Duration::from_millis(600),
            advice: None,
        },
        accepted_at: WALL,
        spec: JobSpec {
            payload: "text".into(),
            steps,
            schedule: None,
        },
    }
}

/// Scheduler of a term that knows no worker.
pub fn empty_scheduler(term: u64, takeover: TakeoverState) -> PoolScheduler {
    PoolScheduler::new(
        pool(),
        LeaderTerm::new(term),
        SchedulerTiming::default(),
        takeover,
    )
}

/// Scheduler of the first term with workers that have reported and run nothing.
pub fn scheduler(now: Instant, workers: usize, cores: u64) -> PoolScheduler {
    let mut scheduler = empty_scheduler(1, TakeoverState::default());
    for number in 0..workers {
        scheduler.set_worker(now, entry(number, cores));
    }
    scheduler.decide(now, WALL, true);
    for number in 0..workers {
        report(&mut scheduler, now, number, &[], &[]);
    }
    scheduler
}

/// Delivers a worker's answer to the poll in flight.
pub fn report(
    scheduler: &mut PoolScheduler,
    now: Instant,
    worker: usize,
    running: &[&StartCommand],
    ended: &[(u64, &StartCommand, RunOutcome)],
) {
    let report = WorkerReport {
        clock_ms: 5_000,
        incarnation: Some(UnixMillis::new(1)),
        running: running.iter().map(|start| running_row(start)).collect(),
        ended: ListedRows::Whole(
            ended
                .iter()
                .map(|(sequence, start, end)| EndedRun {
                    sequence: *sequence,
                    task: start.run.task.clone(),
                    run: start.run.number,
                    outcome: *end,
                    checkpoint: Arc::default(),
                })
                .collect(),
        ),
    };
    scheduler.handle_poll_report(now, &worker_id(worker), now, report);
}

pub fn running_row(start: &StartCommand) -> ActiveRun {
    ActiveRun {
        task: start.run.task.clone(),
        run: start.run.number,
        checkpoint: Arc::default(),
        progress_percent: 100.0,
        load: 0.0,
    }
}

pub fn starts(commands: Vec<PoolCommand>) -> Vec<StartCommand> {
    let starts = commands.into_iter().filter_map(|command| match command {
        PoolCommand::Start(start) => Some(start),
        _ => None,
    });
    starts.collect()
}

/// Confirms that all changes so far are stored.
pub fn store_changes(scheduler: &mut PoolScheduler) {
    while scheduler.has_changes() {
        scheduler.take_flush(WALL, 28);
        scheduler.confirm_flush();
    }
}

/// Takes one decision and confirms all its starts.
pub fn start_all(scheduler: &mut PoolScheduler, now: Instant) -> Vec<StartCommand> {
    let started = starts(scheduler.decide(now, WALL, true));
    for start in &started {
        scheduler.handle_start_outcome(now, &start.target.worker, &start.run, StartOutcome::Started);
    }
    started
}
