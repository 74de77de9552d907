//! What holds back tasks that wait for a start, and for how long.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use figloft::dispatch::command::{StartCommand, StartOutcome};
use figloft::dispatch::hold_reason::HoldReason;
use figloft::dispatch::job_record::{JobProgress, StepProgress};
use figloft::dispatch::job_spec::StepSpec;
use figloft::dispatch::pool_scheduler::PoolScheduler;
use figloft::dispatch::run_loss::{LossHistory, LossState, RunLoss};
use figloft::dispatch::takeover::TakeoverState;
use figloft::dispatch::worker_health::WorkerHealth;
use figloft::dispatch::worker_report::{ActiveRun, WorkerReport};
use figloft::model::id::RunNumber;
use figloft::model::listed_rows::ListedRows;
use figloft::model::unix_time::UnixMillis;

use crate::setup::{
    WALL, empty_scheduler, entry, job_id, record, running_row, scheduler, start_all, starts, step,
    store_changes, worker_id,
};

/// Interval of the decisions in these tests.
const TICK: Duration = Duration::from_millis(100);

/// Long-running tasks of which each worker takes one.
fn service(tasks: u32, cores: u64) -> StepSpec {
    StepSpec {
        is_long_running: true,
        max_per_worker: Some(1),
        ..step(tasks, cores, 900)
    }
}

/// Lets time pass in which the workers confirm all starts and list what runs on them as being at work. Returns the
/// new starts.
fn advance(
    scheduler: &mut PoolScheduler,
    now: &mut Instant,
    time: Duration,
    running: &[StartCommand],
) -> Vec<StartCommand> {
    advance_with_progress(scheduler, now, time, running, 100.0)
}

/// As [`advance`], with the progress that the workers list, in percent.
fn advance_with_progress(
    scheduler: &mut PoolScheduler,
    now: &mut Instant,
    time: Duration,
    running: &[StartCommand],
    percent: f64,
) -> Vec<StartCommand> {
    let end = *now + time;
    let mut started: Vec<StartCommand> = Vec::new();
    while *now < end {
        *now += TICK;
        started.extend(start_all(scheduler, *now));
        for number in 0..scheduler.workers().len() {
            let active = running.iter().chain(&started);
            let on_worker = active.filter(|start| start.target.worker == worker_id(number));
            let rows = on_worker.map(|start| ActiveRun {
                progress_percent: percent,
                ..running_row(start)
            });
            let report = report_of_process(1, 5_000, rows.collect());
            scheduler.handle_poll_report(*now, &worker_id(number), *now, report);
        }
    }
    started
}

/// Pool of two workers with a long-running task on each. Worker 0 has left two starts unanswered.
fn pool_with_unanswered_starts(now: Instant) -> (PoolScheduler, Vec<StartCommand>) {
    let mut scheduler = scheduler(now, 2, 32);
    scheduler.submit(now, now, record(1, vec![service(2, 4)]), None);
    let running = start_all(&mut scheduler, now);
    assert_eq!(running.len(), 2);
    scheduler.submit(now, now, record(2, vec![step(2, 2, 1_000)]), None);
    let unanswered = starts(scheduler.decide(now, WALL, true));
    assert_eq!(unanswered.len(), 2);
    let closed = unanswered[0].target.worker.clone();
    for start in &unanswered {
        assert_eq!(start.target.worker, closed, "finite tasks share a worker");
        scheduler.handle_start_outcome(now, &closed, &start.run, StartOutcome::NotSent);
    }
    scheduler.cancel(&job_id(2));
    (scheduler, running)
}

/// Guards against waiting tasks that leave no trace: the log and the metric tell what holds them.
#[test]
fn held_tasks_are_counted_and_logged_with_their_reason() {
    let mut now = Instant::now();
    let (mut scheduler, running) = pool_with_unanswered_starts(now);
    scheduler.submit(now, now, record(3, vec![service(2, 4)]), None);
    scheduler.submit(now, now, record(4, vec![service(1, 64)]), None);
    advance(&mut scheduler, &mut now, Duration::from_millis(1_600), &running);
    let counts = scheduler.take_held_counts();
    let expected = BTreeMap::from([(HoldReason::Backoff, 1), (HoldReason::NoRoom, 1)]);
    assert_eq!(counts, Some(expected));
    let notes = scheduler.take_notes();
    let held: Vec<&str> = notes
        .iter()
        .filter(|note| note.decision == "task held")
        .map(|note| note.inputs.as_str())
        .collect();
    assert_eq!(held.len(), 2, "{held:?}");
    assert!(
        held[0].contains("backoff; 1 backoff: i-") && held[0].contains("1 no_room: i-"),
        "{held:?}"
    );
    assert!(held[1].contains("no_room; 2 no_room: i-0, i-1"), "{held:?}");
}

/// Guards against a worker that is closed for good: on probation it gets one run at a time, and a long-running
/// run never ends, so that a step with a task on each other worker waits although there is room.
#[test]
fn worker_with_a_long_running_task_opens_after_unanswered_starts() {
    let mut now = Instant::now();
    let (mut scheduler, running) = pool_with_unanswered_starts(now);
    scheduler.submit(now, now, record(3, vec![service(2, 4)]), None);
    let started = advance(&mut scheduler, &mut now, Duration::from_secs(6), &running);
    assert_eq!(
        started.len(),
        2,
        "{started:?}; {:?}",
        scheduler.take_held_counts()
    );
}

/// Guards against a worker that a trial run closes for good: the run stands still, so that it neither ends nor comes
/// to work.
#[test]
fn trial_run_that_stands_still_does_not_close_its_worker() {
    let mut now = Instant::now();
    let (mut scheduler, running) = pool_with_unanswered_starts(now);
    scheduler.submit(now, now, record(3, vec![service(2, 4)]), None);
    scheduler.submit(now, now, record(4, vec![service(2, 4)]), None);
    let started = advance_with_progress(&mut scheduler, &mut now, Duration::from_secs(9), &running, 10.0);
    assert_eq!(
        started.len(),
        4,
        "{started:?}; {:?}",
        scheduler.take_held_counts()
    );
}

/// Leaves a number of starts without an answer. Two of them begin a backoff of 2 s, which doubles with each
/// further two.
fn leave_starts_unanswered(scheduler: &mut PoolScheduler, now: &mut Instant, count: u32) {
    let mut unanswered = 0;
    while unanswered < count {
        *now += TICK;
        for start in starts(scheduler.decide(*now, WALL, true)) {
            scheduler.handle_start_outcome(*now, &start.target.worker, &start.run, StartOutcome::NotSent);
            unanswered += 1;
        }
    }
}

/// Guards against a long-running task that waits for the end of a long backoff although no other worker has a place
/// for it.
#[test]
fn long_running_task_does_not_wait_for_a_long_backoff() {
    let mut now = Instant::now();
    let mut scheduler = scheduler(now, 1, 32);
    scheduler.submit(now, now, record(1, vec![step(1, 2, 1_000)]), None);
    leave_starts_unanswered(&mut scheduler, &mut now, 6);
    scheduler.cancel(&job_id(1));
    scheduler.submit(now, now, record(2, vec![service(1, 4)]), None);
    let started = advance(&mut scheduler, &mut now, Duration::from_secs(4), &[]);
    assert_eq!(started.len(), 1, "{:?}", scheduler.take_held_counts());
}

/// Report of a worker's process that was born at `born` and whose clock shows `clock_ms`.
fn report_of_process(born: u64, clock_ms: u64, running: Vec<ActiveRun>) -> WorkerReport {
    WorkerReport {
        clock_ms,
        incarnation: Some(UnixMillis::new(born)),
        running,
        ended: ListedRows::default(),
    }
}

/// Guards against a worker whose reports are ignored for good: its clock was set back, so that its new process seems
/// to be older than the one before, and the runs of that one count as active.
#[test]
fn run_is_lost_when_its_worker_restarts_with_an_earlier_clock() {
    let mut now = Instant::now();
    let mut scheduler = empty_scheduler(1, TakeoverState::default());
    let mut present = entry(0, 32);
    present.incarnation = Some(UnixMillis::new(9_000));
    scheduler.set_worker(now, present.clone());
    scheduler.decide(now, WALL, true);
    scheduler.handle_poll_report(
        now,
        &worker_id(0),
        now,
        report_of_process(9_000, 5_000, Vec::new()),
    );
    scheduler.submit(now, now, record(1, vec![service(1, 4)]), None);
    assert_eq!(start_all(&mut scheduler, now).len(), 1);
    present.incarnation = Some(UnixMillis::new(4_000));
    let mut restarts = 0;
    for tick in 0..40_u64 {
        now += TICK;
        scheduler.set_worker(now, present.clone());
        store_changes(&mut scheduler);
        restarts += start_all(&mut scheduler, now).len();
        let report = report_of_process(4_000, 100 + tick * 100, Vec::new());
        scheduler.handle_poll_report(now, &worker_id(0), now, report);
        if restarts > 0 {
            break;
        }
    }
    assert_eq!(restarts, 1, "{:?}", scheduler.take_held_counts());
}

/// Guards against a backoff that doubles with each of several runs that were started together and fail together: on
/// grown Guardanieve six failures within a millisecond kept a worker closed for 12 s.
#[test]
fn failures_of_one_burst_start_one_backoff() {
    let now = Instant::now();
    let mut health = WorkerHealth::default();
    for number in 0..6 {
        health.record_failure(now, &job_id(number));
    }
    assert!(health.is_in_backoff(now + Duration::from_millis(1_900)));
    assert!(!health.is_in_backoff(now + Duration::from_millis(2_100)));
}

/// Guards against a suspect that waits for the end of a long backoff: the way on which suspects are placed has to
/// yield like that of other tasks.
#[test]
fn long_running_suspect_does_not_wait_for_a_long_backoff() {
    let mut now = Instant::now();
    let mut scheduler = scheduler(now, 1, 32);
    scheduler.submit(now, now, record(1, vec![step(1, 2, 1_000)]), None);
    leave_starts_unanswered(&mut scheduler, &mut now, 6);
    scheduler.cancel(&job_id(1));
    let mut losses = LossHistory::default();
    let crash = RunLoss {
        worker: worker_id(7),
        instance: None,
        incarnation: None,
        state: LossState::Crashed,
        active_for: Duration::from_millis(10),
        is_isolated: false,
        is_mass_loss: false,
    };
    losses.insert(RunNumber::new(1), crash);
    let step = StepProgress {
        losses: [(0, losses)].into(),
        ..StepProgress::default()
    };
    let progress = JobProgress {
        occurrences: [(0, vec![step])].into(),
    };
    scheduler.submit(now, now, record(2, vec![service(1, 4)]), Some(&progress));
    let started = advance(&mut scheduler, &mut now, Duration::from_secs(4), &[]);
    assert_eq!(started.len(), 1, "{:?}", scheduler.take_held_counts());
}
