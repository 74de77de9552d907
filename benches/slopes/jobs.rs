//! Job queue, shares, placement, attribution and job log.

use std::collections::BTreeSet;
use std::hint::black_box;
use std::sync::Arc;
use std::time::{Duration, Instant};

use figloft::model::amount::{MemoryMib, MilliCores, ShareWeight};
use figloft::model::id::{Generation, JobId, WriteNonce};
use figloft::model::priority::WorkPriority;
use figloft::model::resource::ResourceSet;
use figloft::model::unix_time::UnixMillis;
use figloft::policy::failure_tracker::FailureTracker;
use figloft::policy::job_event::{JobEvent, JobSubmission};
use figloft::policy::job_log::{BatchWriteResult, JobLog, LogAction};
use figloft::policy::job_queue::{JobQueue, QueuedJob, StartFit};
use figloft::policy::placement::{PlacementChoice, PlacementTable};
use figloft::policy::share::{TeamDemand, WaterFill};
use figloft::policy::worker_allocation::{PlacedTask, WorkerInfo};
use figloft::process::job_scheduler::{JobScheduler, StepTime};
use figloft::process::team_counter::TeamCounter;

use crate::fleet::{self, FUTURE, FleetSize};
use crate::measure::{self, Scale, Series};

const TEAMS: usize = 86;

const TASK_SIZE: ResourceSet = ResourceSet::new(MilliCores::new(2_000), MemoryMib::new(4_096));

pub fn measure() -> Vec<Series> {
    let mut series = queue();
    series.push(queue_pools());
    series.push(shares());
    series.extend(placement());
    series.push(blame());
    series.extend(log());
    series.extend(scheduler());
    series
}

fn job_id(index: usize) -> JobId {
    format!("{}-{index}", fleet::session(0)).parse().expect("name")
}

fn job(now: Instant, index: usize, pools: usize) -> QueuedJob {
    QueuedJob {
        id: job_id(index),
        queue: "queue-000".parse().expect("name"),
        team: fleet::team(index % TEAMS),
        pool: fleet::pool(index % pools),
        priority: WorkPriority::ALL[index % 3],
        declared: ResourceSet::new(MilliCores::new(1_000), MemoryMib::new(4_096)),
        repeatable: true,
        lease: Duration::from_secs(30),
        payload: Arc::from(format!("scan {index}")),
        submitted_at: now,
        start_by: None,
        attempts: 0,
        checkpoint: None,
        early_losses: 0,
        avoided_workers: BTreeSet::new(),
    }
}

fn filled(now: Instant, count: usize, pools: usize) -> JobQueue {
    let mut queue = JobQueue::new();
    for index in 0..count {
        queue.push(job(now, index, pools));
    }
    for index in 0..TEAMS {
        queue.set_team(&fleet::team(index), (index * 7 % 40) as u64, 40.0);
    }
    queue
}

/// One start and one submission with up to a million jobs waiting, cancellations, and memory.
fn queue() -> Vec<Series> {
    let now = Instant::now();
    let mut steps = Series::new("queue step: submit, take", "us", "queued jobs", Scale::Log2);
    let mut cancels = Series::new(
        "cancel 1,000 jobs and submit them again",
        "us",
        "queued jobs",
        Scale::Log2,
    );
    let mut memory = Series::new("memory of the queue", "B", "queued jobs", Scale::Linear);
    for count in [1_000, 10_000, 100_000, 300_000, 1_000_000] {
        memory.add(count as f64, measure::memory_of("queue", count));
        let mut queue = filled(now, count, 1);
        let mut next = count;
        steps.add(
            count as f64,
            measure::micros(|| {
                queue.push(job(now, next, 1));
                next += 1;
                black_box(queue.take_next(now, &fleet::pool(0), |_| StartFit::Start));
            }),
        );
        let listed: Vec<QueuedJob> = queue.drain();
        for job in &listed {
            queue.push(job.clone());
        }
        let burst: Vec<QueuedJob> = listed
            .iter()
            .step_by((count / 1_000).max(1))
            .take(1_000)
            .cloned()
            .collect();
        cancels.add(
            count as f64,
            measure::micros(|| {
                for job in &burst {
                    queue.remove(&job.id);
                }
                for job in &burst {
                    queue.push(job.clone());
                }
            }),
        );
    }
    vec![steps, cancels, memory]
}

fn queue_pools() -> Series {
    let now = Instant::now();
    let mut steps = Series::new("queue step: submit, take", "us", "pools", Scale::Linear);
    for pools in [1, 10, 50, 100, 226] {
        let mut queue = filled(now, 100_000, pools);
        let mut next = 100_000;
        let step = measure::micros(|| {
            let new = job(now, next, pools);
            let pool = new.pool.clone();
            queue.push(new);
            next += 1;
            black_box(queue.take_next(now, &pool, |_| StartFit::Start));
        });
        steps.add(pools as f64, step);
    }
    steps
}

/// A change of one team's demand and all entitlements.
fn shares() -> Series {
    let mut series = Series::new(
        "water filling: change one team, read all",
        "us",
        "teams",
        Scale::Linear,
    );
    for teams in [2, 10, 20, 43, 86] {
        let mut fill = WaterFill::new(teams as u64 * 50);
        let demand = |index: usize, wanted: u64| TeamDemand {
            weight: ShareWeight::new(1 + index as u32 % 7),
            demand: wanted,
            limit: 4_000,
        };
        for index in 0..teams {
            fill.set_team(&fleet::team(index), demand(index, 20 + index as u64 * 3));
        }
        let mut turn = 0_usize;
        let step = measure::micros(|| {
            turn += 1;
            let index = turn % teams;
            fill.set_team(&fleet::team(index), demand(index, 20 + (turn % 97) as u64));
            black_box(fill.entitlements());
        });
        series.add(teams as f64, step);
    }
    series
}

fn board(workers: usize, pools: usize) -> PlacementTable {
    let mut board = PlacementTable::new();
    for index in 0..workers {
        let place = fleet::place(index);
        let worker = WorkerInfo {
            pool: fleet::pool(index % pools),
            rack: place.rack,
            generation: Generation::default(),
            resources: place.resources,
            accepts_tasks: true,
        };
        board.set_worker(&fleet::instance(index), worker);
    }
    board
}

fn task(now: Instant, index: usize, size: ResourceSet) -> PlacedTask {
    PlacedTask {
        job: job_id(index),
        team: fleet::team(index % TEAMS),
        priority: WorkPriority::Bench,
        repeatable: true,
        is_remote: false,
        committed: size,
        started_at: now,
    }
}

fn busy_board(now: Instant, workers: usize) -> PlacementTable {
    let mut board = board(workers, 1);
    for index in 0..workers * 8 {
        board.add_task(&fleet::instance(index % workers), task(now, index, TASK_SIZE));
    }
    board
}

/// Builds what the memory series measure.
pub fn print_memory(name: &str, size: usize) {
    let now = Instant::now();
    match name {
        "queue" => measure::print_memory(|| filled(now, size, 1)),
        "board" => measure::print_memory(|| busy_board(now, size)),
        _ => measure::print_memory(|| {
            fleet::build(FleetSize {
                workers: size,
                ..FUTURE
            })
        }),
    }
}

/// A placement with half of the fleet's cores in use, and the board's memory.
fn placement() -> Vec<Series> {
    let now = Instant::now();
    let size = TASK_SIZE;
    let mut steps = Series::new(
        "placement: choose, start, end",
        "us",
        "workers of one pool",
        Scale::Log2,
    );
    let mut memory = Series::new("memory of the board, 8 tasks each", "B", "workers", Scale::Linear);
    for workers in [10, 100, 1_000, 5_000, 23_000] {
        memory.add(workers as f64, measure::memory_of("board", workers));
        let mut board = busy_board(now, workers);
        let mut next = workers * 8;
        let step = measure::micros(|| {
            next += 1;
            let team = fleet::team(next % TEAMS);
            let choice = board.choose_worker(now, &fleet::pool(0), &team, &size, &BTreeSet::new());
            if let PlacementChoice::Worker(instance) = choice {
                board.add_task(&instance, task(now, next, size));
                black_box(board.remove_task(&job_id(next)));
            }
        });
        steps.add(workers as f64, step);
    }
    vec![steps, memory]
}

/// A failure and a success of a job with evidence on all workers.
fn blame() -> Series {
    let now = Instant::now();
    let mut series = Series::new(
        "attribution: one failure, one success",
        "us",
        "workers",
        Scale::Log2,
    );
    for workers in [10_usize, 100, 1_000, 5_000, 23_000] {
        let mut ledger = FailureTracker::new();
        for index in 0..FUTURE.pools {
            ledger.set_pool_size(&fleet::pool(index), workers.div_ceil(FUTURE.pools));
        }
        let pool = |worker: usize| fleet::pool(worker % FUTURE.pools);
        for index in 0..workers * 4 {
            let worker = index % workers;
            ledger.record_success(now, &pool(worker), &fleet::instance(worker), &job_id(index));
        }
        let mut turn = 0;
        let step = measure::micros(|| {
            turn += 1;
            let (first, second) = (turn % workers, (turn + 1) % workers);
            let (job, team) = (job_id(turn), fleet::team(turn % TEAMS));
            black_box(ledger.record_failure(now, &pool(first), &fleet::instance(first), &job, &team));
            black_box(ledger.record_success(now, &pool(second), &fleet::instance(second), &job));
        });
        series.add(workers as f64, step);
    }
    series
}

fn submission(index: usize) -> JobSubmission {
    let job = job(Instant::now(), index, FUTURE.pools);
    JobSubmission {
        job: job.id,
        queue: job.queue,
        team: job.team,
        pool: job.pool,
        priority: job.priority,
        declared: job.declared,
        repeatable: job.repeatable,
        lease_ms: 30_000,
        submitted_at: UnixMillis::new(1_800_000_000_000),
        start_by: None,
        payload: job.payload,
    }
}

/// Bytes and processor time of a batch of submissions.
fn log() -> Vec<Series> {
    let mut bytes = Series::new("job batch", "B", "submissions in the batch", Scale::Linear);
    let mut cpu = Series::new(
        "job batch: push, encode, land",
        "us",
        "submissions in the batch",
        Scale::Linear,
    );
    for count in [1, 10, 100, 500, 1_000] {
        let events: Vec<JobEvent> = (0..count)
            .map(|index| JobEvent::Submitted(submission(index)))
            .collect();
        let mut size = 0;
        let step = measure::micros(|| {
            let mut log = JobLog::new(fleet::session(0));
            for event in &events {
                log.push(event.clone()).expect("fits");
            }
            for action in log.step(Instant::now(), WriteNonce::new(1)) {
                if let LogAction::Write { value, .. } = action {
                    size = value.len();
                }
            }
            black_box(log.handle_write_result(BatchWriteResult::Written));
        });
        bytes.add(count as f64, size as f64);
        cpu.add(count as f64, step);
    }
    vec![bytes, cpu]
}

/// Taking a new configuration in, and an idle step.
fn scheduler() -> Vec<Series> {
    let mut apply = Series::new(
        "job desk: take one new revision in",
        "us",
        "workers",
        Scale::Linear,
    );
    let mut idle = Series::new("job desk: step without news", "us", "workers", Scale::Linear);
    for workers in [100, 1_000, 5_000, 23_000] {
        let size = FleetSize { workers, ..FUTURE };
        let mut state = fleet::build(size);
        let mut scheduler = JobScheduler::new(fleet::session(0), TeamCounter::new(), 1);
        let time = StepTime {
            now: Instant::now(),
            wall_time: UnixMillis::new(0),
        };
        let nonce = WriteNonce::new(1);
        scheduler.step(time, &state, true, nonce);
        idle.add(
            workers as f64,
            measure::micros(|| drop(black_box(scheduler.step(time, &state, true, nonce)))),
        );
        apply.add(
            workers as f64,
            measure::micros(|| {
                state.revision = state.revision.next();
                black_box(scheduler.step(time, &state, true, nonce));
            }),
        );
    }
    vec![apply, idle]
}
