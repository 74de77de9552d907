//! Reports of workers that list only a part of the runs that have ended.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::{Duration, Instant};

use figloft::dispatch::command::{PollError, PoolCommand, StartCommand};
use figloft::dispatch::job_record::JobProgress;
use figloft::dispatch::pool_scheduler::PoolScheduler;
use figloft::dispatch::scheduler_timing::SchedulerTiming;
use figloft::dispatch::takeover::TakeoverState;
use figloft::dispatch::wave_plan::{InstanceEntry, InstanceState, WavePlan, WaveProgress, WaveRequest};
use figloft::dispatch::worker_report::{EndedRun, RunOutcome, WorkerReport};
use figloft::model::id::{InstanceId, PoolId, QueueId, StoreRevision};
use figloft::model::listed_rows::ListedRows;
use figloft::model::unix_time::UnixMillis;
use figloft::node::waiting_counts;
use figloft::platform::store::StoreItem;

use crate::setup::{
    WALL, empty_scheduler, entry, instance_id, pool, record, running_row, scheduler, start_all, starts, step,
    store_changes, worker_id,
};

const MS: Duration = Duration::from_millis(1);

/// Tasks of the job; the first half is in the part of the list that is sent first.
const TASKS: usize = 6;
const PART: usize = TASKS / 2;

fn done_row(sequence: usize, start: &StartCommand) -> EndedRun {
    EndedRun {
        sequence: sequence as u64 + 1,
        task: start.run.task.clone(),
        run: start.run.number,
        outcome: RunOutcome::Done,
        checkpoint: Arc::default(),
    }
}

fn done_rows(started: &[StartCommand]) -> Vec<EndedRun> {
    started
        .iter()
        .enumerate()
        .map(|(index, start)| done_row(index, start))
        .collect()
}

/// Delivers the answer to a poll sent at `now`.
fn deliver(
    scheduler: &mut PoolScheduler,
    now: Instant,
    running: &[StartCommand],
    ended: ListedRows<EndedRun>,
) {
    let report = WorkerReport {
        clock_ms: 5_000,
        incarnation: Some(UnixMillis::new(1)),
        running: running.iter().map(running_row).collect(),
        ended,
    };
    scheduler.handle_poll_report(now, &worker_id(0), now, report);
}

/// Leader that has started all tasks of one job on one worker.
fn former_leader(now: Instant) -> (PoolScheduler, Vec<StartCommand>) {
    let mut scheduler = scheduler(now, 1, 8);
    scheduler.submit(now, now, record(1, vec![step(TASKS as u32, 1, 100)]), None);
    let started = start_all(&mut scheduler, now);
    assert_eq!(started.len(), TASKS);
    (scheduler, started)
}

/// Next leader of the pool, which knows the job and its worker but none of the runs.
fn next_leader(now: Instant) -> PoolScheduler {
    let former = [worker_id(0)].into();
    let lease = SchedulerTiming::default().lease;
    let mut scheduler = empty_scheduler(2, TakeoverState::from_former_leader(now, former, lease));
    scheduler.set_worker(now, entry(0, 8));
    let job = record(1, vec![step(TASKS as u32, 1, 100)]);
    scheduler.submit(now, now, job, Some(&JobProgress::default()));
    assert_eq!(starts(scheduler.decide(now, WALL, true)), Vec::new());
    scheduler
}

fn polls(commands: &[PoolCommand]) -> usize {
    let is_poll = |command: &&PoolCommand| matches!(command, PoolCommand::Poll(_));
    commands.iter().filter(is_poll).count()
}

/// Guards against running tasks again after a change of the leader: their ends were beyond the part of the list that
/// the worker sent, so that they were in neither of its lists.
#[test]
fn ends_beyond_a_part_are_awaited_after_a_takeover() {
    let now = Instant::now();
    let (_, started) = former_leader(now);
    let rows = done_rows(&started);
    let mut scheduler = next_leader(now);
    let mut time = now + MS * 10;
    deliver(&mut scheduler, time, &[], ListedRows::Part(rows[..PART].to_vec()));
    // The list stays a part for longer than any lease that the former leader granted.
    while time < now + MS * 8_000 {
        time += MS * 100;
        let commands = scheduler.decide(time, WALL, true);
        assert_eq!(
            starts(commands.clone()),
            Vec::new(),
            "{:?} after the takeover",
            time - now
        );
        if polls(&commands) > 0 {
            deliver(&mut scheduler, time, &[], ListedRows::Part(rows[..PART].to_vec()));
        }
    }
    store_changes(&mut scheduler);
    deliver(
        &mut scheduler,
        time,
        &[],
        ListedRows::Whole(rows[PART..].to_vec()),
    );
    assert_eq!(starts(scheduler.decide(time, WALL, true)), Vec::new());
    store_changes(&mut scheduler);
    assert_eq!(scheduler.job_count(), 0, "all tasks are done");
}

/// Guards against the same conclusion within a term: a run whose end was beyond the part was stopped as one that had
/// vanished, and then started again.
#[test]
fn run_that_a_part_does_not_list_is_not_stopped() {
    let now = Instant::now();
    let (mut scheduler, started) = former_leader(now);
    let rows = done_rows(&started);
    let mut time = now;
    for _ in 0..6 {
        time += MS * 250;
        deliver(&mut scheduler, time, &[], ListedRows::Part(rows[..PART].to_vec()));
        for command in scheduler.decide(time, WALL, true) {
            assert!(matches!(command, PoolCommand::Poll(_)), "{command:?}");
        }
    }
    store_changes(&mut scheduler);
    deliver(
        &mut scheduler,
        time,
        &[],
        ListedRows::Whole(rows[PART..].to_vec()),
    );
    assert_eq!(starts(scheduler.decide(time, WALL, true)), Vec::new());
    store_changes(&mut scheduler);
    assert_eq!(scheduler.job_count(), 0, "all tasks are done");
}

/// Guards against tasks that wait for ever for the rest of a list: the worker stops answering, and its ends are never
/// known. They count as lost once no lease of it can be in force.
#[test]
fn rest_of_a_list_is_not_awaited_from_a_lost_worker() {
    let now = Instant::now();
    let (_, started) = former_leader(now);
    let rows = done_rows(&started);
    let mut scheduler = next_leader(now);
    scheduler.set_worker(now, entry(1, 8));
    deliver(&mut scheduler, now, &[], ListedRows::Part(rows[..PART].to_vec()));
    store_changes(&mut scheduler);
    // The entry goes with the worker.
    scheduler.remove_worker(&worker_id(0));
    let mut time = now;
    let mut started_again = Vec::new();
    while started_again.is_empty() && time < now + MS * 20_000 {
        time += MS * 100;
        for command in scheduler.decide(time, WALL, true) {
            match command {
                PoolCommand::Poll(poll) if poll.target.worker == worker_id(0) => {
                    let error = PollError::NoAnswer("time-out".into());
                    scheduler.handle_poll_error(time, &worker_id(0), &error);
                }
                PoolCommand::Poll(poll) => {
                    let report = WorkerReport {
                        clock_ms: 5_000,
                        incarnation: Some(UnixMillis::new(1)),
                        ..WorkerReport::default()
                    };
                    scheduler.handle_poll_report(time, &poll.target.worker, time, report);
                }
                PoolCommand::Start(start) => started_again.push(start),
                _ => {}
            }
        }
    }
    assert_eq!(started_again.len(), TASKS - PART);
    let lease = SchedulerTiming::default().lease.div_f64(0.98);
    assert!(time >= now + lease, "not before the lease has certainly expired");
}

/// Guards against the same wait after a restart: the new process knows nothing of the ends, and never answers.
#[test]
fn rest_of_a_list_is_not_awaited_from_a_process_that_has_ended() {
    let now = Instant::now();
    let (_, started) = former_leader(now);
    let rows = done_rows(&started);
    let mut scheduler = next_leader(now);
    deliver(&mut scheduler, now, &[], ListedRows::Part(rows[..PART].to_vec()));
    store_changes(&mut scheduler);
    let mut restarted = entry(0, 8);
    restarted.incarnation = Some(UnixMillis::new(2));
    scheduler.set_worker(now + MS, restarted);
    scheduler.set_worker(now + MS, entry(1, 8));
    let report = WorkerReport {
        clock_ms: 5_000,
        incarnation: Some(UnixMillis::new(1)),
        ..WorkerReport::default()
    };
    scheduler.handle_poll_report(now + MS, &worker_id(1), now + MS, report);
    let again = starts(scheduler.decide(now + MS * 2, WALL, true));
    assert_eq!(again.len(), TASKS - PART);
}

/// Guards against taking a worker for empty whose ends are not all known: its instance would be moved, and the ends
/// would be lost.
#[test]
fn worker_with_a_part_is_not_reported_as_evacuated() {
    let now = Instant::now();
    let (_, started) = former_leader(now);
    let mut scheduler = next_leader(now);
    scheduler.set_plan(figloft::dispatch::pool_plan::PoolPlan {
        version: figloft::model::id::PlanVersion::new(1),
        evacuating: [worker_id(0)].into(),
        ..Default::default()
    });
    deliver(
        &mut scheduler,
        now,
        &[],
        ListedRows::Part(done_rows(&started[..PART])),
    );
    assert!(!scheduler.report(now).workers[&worker_id(0)].is_evacuating);
    deliver(&mut scheduler, now, &[], ListedRows::Whole(done_rows(&started)));
    assert!(scheduler.report(now).workers[&worker_id(0)].is_evacuating);
}

/// Guards against a wave that is said to be complete, and against one instance too many in maintenance: a list that is
/// read in pages lacked an instance which changed its place meanwhile.
#[test]
fn instance_that_one_list_lacks_is_not_gone() {
    let now = Instant::now();
    let request = WaveRequest {
        instances: [instance_id(0), instance_id(1)].into(),
        duration: MS * 60_000,
        max_down: 1,
    };
    let progress = WaveProgress {
        started: [instance_id(0)].into(),
        is_complete: false,
    };
    let mut wave = WavePlan::new(now, request, progress);
    let entry = |state| InstanceEntry {
        pool: pool(),
        state,
        worker: None,
        zone: None,
    };
    let whole: BTreeMap<InstanceId, InstanceEntry> = [
        (instance_id(0), entry(InstanceState::Maintenance)),
        (instance_id(1), entry(InstanceState::Up)),
    ]
    .into();
    let mut time = now;
    for list in [&BTreeMap::new(), &whole, &BTreeMap::new(), &whole] {
        time += MS * 400;
        wave.set_instances(time, list);
        assert!(!wave.mark_complete(), "instance 1 had no maintenance");
        wave.choose_evacuations(time, &whole, &BTreeMap::new(), &BTreeSet::new());
        assert_eq!(wave.take_ready(time, &whole, |_| true), Vec::new(), "one is down");
    }
    for _ in 0..2 {
        time += MS * 400;
        wave.set_instances(time, &BTreeMap::new());
    }
    assert!(wave.mark_complete(), "both instances are gone");
}

/// Guards against a count that leaves out a pool without a leader because another pool, which was removed, still has
/// one.
#[test]
fn count_of_a_removed_pool_does_not_replace_a_missing_one() {
    let item = |pool: &str, counts: &'static str| StoreItem {
        key: format!("wait/{pool}").into(),
        value: counts.into(),
        revision: StoreRevision::new(1),
    };
    let queue = QueueId::new("r-1").expect("queue");
    let pools = [pool(), PoolId::new("pool-b").expect("pool")];
    let mut items = vec![item("pool-a", r#"{"r-1":2}"#), item("pool-old", "{}")];
    assert_eq!(waiting_counts::sum(&items, &pools, &queue), Ok(None));
    items.push(item("pool-b", r#"{"r-1":3}"#));
    assert_eq!(waiting_counts::sum(&items, &pools, &queue), Ok(Some(5)));
}
