//! Storing the changes of jobs under load.

use std::collections::{BTreeMap, VecDeque};
use std::time::{Duration, Instant};

use figloft::dispatch::command::{PoolCommand, StartCommand};
use figloft::dispatch::flush_queue::FlushQueue;
use figloft::dispatch::job_spec::StepSpec;
use figloft::dispatch::poll_pace::{MIN_POLL_INTERVAL, PollPace};
use figloft::dispatch::pool_scheduler::{FlushBatch, JobWrite, PoolScheduler};
use figloft::dispatch::worker_report::RunOutcome;
use figloft::model::id::{JobId, WorkerId};

use crate::setup::{WALL, job_id, record, report, scheduler, start_all, step, worker_id};

const MS: Duration = Duration::from_millis(1);

/// Entries that a transaction of the store has for changes of jobs.
const MAX_ENTRIES: usize = 29;

fn entry_count(batch: &FlushBatch) -> usize {
    let jobs: usize = batch.jobs.iter().map(JobWrite::entry_count).sum();
    jobs + batch.stale_cancels.len()
}

/// Starts `count` jobs of one task each and stores their start.
fn started_jobs(scheduler: &mut PoolScheduler, now: Instant, count: usize) -> Vec<StartCommand> {
    for number in 0..count {
        scheduler.submit(now, now, record(number, vec![step(1, 1, 100)]), None);
    }
    start_all(scheduler, now)
}

/// Guards against transactions that the store rejects for their size, and against changes that are never
/// stored.
#[test]
fn batches_fit_into_a_transaction_and_store_all_changes() {
    let now = Instant::now();
    let mut scheduler = scheduler(now, 4, 32);
    let starts = started_jobs(&mut scheduler, now, 20);
    for (index, start) in starts.iter().enumerate().filter(|(index, _)| index % 3 == 0) {
        scheduler.cancel(&start.run.task.step.job);
        scheduler.cancel(&job_id(1_000 + index));
    }
    let mut stored = BTreeMap::new();
    while scheduler.has_changes() {
        let batch = scheduler.take_flush(WALL, MAX_ENTRIES);
        let count = entry_count(&batch);
        assert!((1..=MAX_ENTRIES).contains(&count), "{count} entries");
        for write in batch.jobs {
            stored.insert(write.job, write.summary);
        }
        scheduler.confirm_flush();
    }
    assert_eq!(stored.len(), 20);
}

/// Guards against ends that wait behind starts: an end is stored before older changes of other jobs, which
/// still get every fourth place.
#[test]
fn ends_are_stored_first() {
    let mut queue = FlushQueue::default();
    let mut oldest: Vec<Option<u64>> = vec![None; 40];
    for (number, oldest) in oldest.iter_mut().enumerate() {
        queue.record_change(&job_id(number), oldest, false);
    }
    for (number, oldest) in oldest.iter_mut().enumerate().skip(20) {
        queue.record_change(&job_id(number), oldest, true);
    }
    let taken: Vec<JobId> = (0..8).filter_map(|taken| queue.take_next(taken)).collect();
    let expected = [20, 21, 22, 0, 23, 24, 25, 1].map(job_id);
    assert_eq!(taken, expected);
    assert_eq!(queue.last_durable_change(), 0);
    assert_eq!(queue.confirm().len(), 8);
    assert_eq!(queue.last_durable_change(), 2, "jobs 0 and 1 are stored");
}

/// Replays the start of a turn on a pool of 268 workers: 250 jobs a second for 4 s, each of two steps of 0.64 s.
/// The store takes a transaction every 10 ms. Guards against ends that are stored, and so shown to callers,
/// seconds after the last task has ended: seven jobs were stored every 44 ms in the order of their changes.
#[test]
fn ends_are_stored_soon_at_the_worst_load() {
    const TASK: Duration = Duration::from_millis(640);
    const MAX_DELAY: Duration = Duration::from_millis(200);
    let begin = Instant::now();
    let mut scheduler = scheduler(begin, 268, 32);
    let mut runs: VecDeque<(Instant, StartCommand)> = VecDeque::new();
    let mut sequences: BTreeMap<String, u64> = BTreeMap::new();
    let mut ended_at: BTreeMap<JobId, Instant> = BTreeMap::new();
    let mut worst = Duration::ZERO;
    let mut stored = 0;
    for tick in 0..700_u32 {
        let now = begin + MS * 10 * tick;
        if tick < 400 {
            for number in [2 * tick, 2 * tick + 1]
                .into_iter()
                .chain((tick % 2 == 0).then_some(10_000 + tick))
            {
                let second = StepSpec {
                    depends_on: vec![0],
                    ..step(2, 4, 640)
                };
                scheduler.submit(
                    now,
                    now,
                    record(number as usize, vec![step(2, 4, 640), second]),
                    None,
                );
            }
        }
        while runs.front().is_some_and(|(at, _)| *at <= now) {
            let Some((_, start)) = runs.pop_front() else { break };
            let name = start.target.worker.as_str().to_owned();
            let number: usize = name[2..].parse().expect("worker number");
            let sequence = sequences.entry(name).or_default();
            *sequence += 1;
            report(
                &mut scheduler,
                now,
                number,
                &[],
                &[(*sequence, &start, RunOutcome::Done)],
            );
            let job = start.run.task.step.job.clone();
            if scheduler.job(&job).is_some_and(|run| run.state.is_final()) {
                ended_at.insert(job, now);
            }
        }
        runs.extend(
            start_all(&mut scheduler, now)
                .into_iter()
                .map(|start| (now + TASK, start)),
        );
        scheduler.confirm_flush();
        assert!(
            scheduler.waiting_change_count() <= 250,
            "changes of a second wait at {tick}"
        );
        for write in scheduler.take_flush(WALL, MAX_ENTRIES).jobs {
            if let Some(at) = ended_at.get(&write.job).filter(|_| !write.deletes.is_empty()) {
                worst = worst.max(now.duration_since(*at));
                stored += 1;
            }
        }
    }
    assert_eq!(stored, 1_000, "all ends are stored");
    assert!(
        worst <= MAX_DELAY,
        "an end was stored {worst:?} after it was known"
    );
}

/// Replays a turn on 268 workers with short tasks, which answer a poll whenever a run ends. Guards against polls
/// that take the processor of a leader with half a core: at most 1,700 a second, and 60 ms apart on small pools.
#[test]
fn polls_leave_processor_time_for_starts() {
    let mut pace = PollPace::new(0.5);
    pace.set_busy_workers(268);
    assert!(268.0 / pace.interval().as_secs_f64() <= 1_700.0);
    pace.set_busy_workers(12);
    assert_eq!(pace.interval(), MIN_POLL_INTERVAL);
    let mut narrow = PollPace::new(0.12);
    narrow.set_busy_workers(1_100);
    assert!(
        narrow.interval() <= MS * 250,
        "ends are known within a quarter of a second"
    );
}

/// Acknowledgement in the poll of a worker that is due within the next second.
fn acknowledged(scheduler: &mut PoolScheduler, now: Instant, worker: &WorkerId) -> Option<u64> {
    let polls = scheduler.decide(now + MS * 1_000, WALL, true);
    polls.into_iter().find_map(|command| match command {
        PoolCommand::Poll(poll) if poll.target.worker == *worker => Some(poll.acknowledged),
        _ => None,
    })
}

/// Guards against running a task again whose end was acknowledged: a task of a job ends as done just after another
/// task, on another worker, has failed the job. The leader is lost before the end of the job is stored, and the next
/// leader, which knows neither, starts the task again.
#[test]
fn end_after_the_end_of_its_job_is_acknowledged_when_that_is_stored() {
    let now = Instant::now();
    let mut scheduler = scheduler(now, 2, 1);
    let mut job = record(1, vec![step(2, 1, 100)]);
    job.rule.max_attempts = 1;
    scheduler.submit(now, now, job, None);
    let starts = start_all(&mut scheduler, now);
    let number = |start: &StartCommand| usize::from(start.target.worker != worker_id(0));
    scheduler.take_flush(WALL, MAX_ENTRIES);
    scheduler.confirm_flush();
    scheduler.decide(now + MS * 100, WALL, true);
    report(
        &mut scheduler,
        now,
        number(&starts[0]),
        &[],
        &[(1, &starts[0], RunOutcome::Failed)],
    );
    let end = [(1, &starts[1], RunOutcome::Done)];
    report(&mut scheduler, now, number(&starts[1]), &[], &end);
    let worker = &starts[1].target.worker;
    let early = acknowledged(&mut scheduler, now, worker);
    assert!(
        early.is_none_or(|sequence| sequence == 0),
        "the failure of the job is not stored"
    );
    scheduler.take_flush(WALL, MAX_ENTRIES);
    scheduler.confirm_flush();
    assert_eq!(acknowledged(&mut scheduler, now + MS * 2_000, worker), Some(1));
}
