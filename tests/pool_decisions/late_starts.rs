//! Starts that a worker leaves unanswered and carries out late, and the stops that settle them.

use std::time::{Duration, Instant};

use figloft::dispatch::command::{PollError, PoolCommand, RunId, StartCommand, StartOutcome, StopOutcome};
use figloft::dispatch::job_spec::StepSpec;
use figloft::dispatch::pool_plan::PoolPlan;
use figloft::dispatch::pool_scheduler::PoolScheduler;
use figloft::dispatch::worker_report::RunOutcome;
use figloft::model::id::{PlanVersion, RunNumber};

use crate::setup::{WALL, job_id, record, report, scheduler, start_all, starts, step, worker_id};

const MS: Duration = Duration::from_millis(1);

/// Step of long-running tasks, one to a worker, of which one may be unavailable.
fn long_running(tasks: u32) -> StepSpec {
    StepSpec {
        is_long_running: true,
        max_unavailable: 1,
        max_per_worker: Some(1),
        ..step(tasks, 1, 0)
    }
}

fn stops(commands: &[PoolCommand]) -> Vec<RunId> {
    let stops = commands.iter().filter_map(|command| match command {
        PoolCommand::Stop(_, run) => Some(run.clone()),
        _ => None,
    });
    stops.collect()
}

fn worker_number(start: &StartCommand) -> usize {
    (0..8)
        .find(|number| worker_id(*number) == start.target.worker)
        .expect("worker")
}

/// Starts the tasks of a long-running step. The start of the first task gets no answer, its worker does not list
/// the run, and the stop that settles it gets no answer either. Returns the starts, with that of the first task in
/// front.
fn unsettled_start(now: Instant, workers: usize, tasks: u32) -> (PoolScheduler, Vec<StartCommand>) {
    let mut scheduler = scheduler(now, workers, 8);
    scheduler.submit(now, now, record(1, vec![long_running(tasks)]), None);
    let started = starts(scheduler.decide(now, WALL, true));
    assert_eq!(started.len(), tasks as usize);
    let late = &started[0];
    for start in &started[1..] {
        scheduler.handle_start_outcome(now, &start.target.worker, &start.run, StartOutcome::Started);
    }
    scheduler.handle_start_outcome(
        now + MS * 600,
        &late.target.worker,
        &late.run,
        StartOutcome::Unknown,
    );
    scheduler.decide(now + MS * 600, WALL, true);
    report(&mut scheduler, now + MS * 605, worker_number(late), &[], &[]);
    for start in &started[1..] {
        report(
            &mut scheduler,
            now + MS * 605,
            worker_number(start),
            &[start],
            &[],
        );
    }
    let commands = scheduler.decide(now + MS * 610, WALL, true);
    assert_eq!(stops(&commands), std::slice::from_ref(&late.run));
    scheduler.handle_stop_outcome(
        now + MS * 1_210,
        &late.target.worker,
        &late.run,
        StopOutcome::Unknown,
    );
    (scheduler, started)
}

/// Delivers reports that list all these runs at work, every 100 ms up to `end`, and returns the stops up to then.
fn stops_until(
    scheduler: &mut PoolScheduler,
    start: Instant,
    end: Instant,
    running: &[StartCommand],
) -> Vec<RunId> {
    let mut stopped = Vec::new();
    let mut time = start;
    while time < end {
        stopped.extend(stops(&scheduler.decide(time, WALL, true)));
        for start in running {
            report(scheduler, time + MS, worker_number(start), &[start], &[]);
        }
        time += MS * 100;
    }
    stopped
}

fn evacuate(scheduler: &mut PoolScheduler, start: &StartCommand) {
    scheduler.set_plan(PoolPlan {
        version: PlanVersion::new(1),
        evacuating: [start.target.worker.clone()].into(),
        ..PoolPlan::default()
    });
}

/// Guards against ending a long-running task at work (AVAIL, own day deadly-and-lost-racks, seed 1, grown
/// Dialworks): its start was carried out late, and the stop that should have settled it was sent again and again.
#[test]
fn run_of_a_late_start_is_kept() {
    let now = Instant::now();
    let (mut scheduler, started) = unsettled_start(now, 2, 1);
    let stopped = stops_until(&mut scheduler, now + MS * 1_220, now + MS * 6_000, &started);
    assert_eq!(stopped, Vec::new(), "the run is on the worker and wanted");
    let worker = &scheduler.workers()[&started[0].target.worker];
    let run = &worker.runs[&started[0].run.task];
    assert!(!run.must_stop);
}

/// Guards against the same end while the worker is silent: the leader sent the stop again and again without knowing
/// whether the start had been carried out meanwhile, and ended the run at work.
#[test]
fn settling_stop_is_not_repeated_without_a_report() {
    let now = Instant::now();
    let (mut scheduler, started) = unsettled_start(now, 2, 1);
    let late = started[0].target.worker.clone();
    let mut stopped = Vec::new();
    for time in (1_220..4_000).step_by(20).map(|millis| now + MS * millis) {
        let commands = scheduler.decide(time, WALL, true);
        stopped.extend(stops(&commands));
        let is_polled =
            |command: &PoolCommand| matches!(command, PoolCommand::Poll(poll) if poll.target.worker == late);
        if commands.iter().any(is_polled) {
            scheduler.handle_poll_error(time, &late, &PollError::NoAnswer("time-out".into()));
        }
    }
    assert_eq!(stopped, Vec::new());
}

/// Guards against a task that never starts again: the first stop that should settle its start was lost.
#[test]
fn settling_stop_is_repeated_while_reports_do_not_list_the_run() {
    let now = Instant::now();
    let (mut scheduler, started) = unsettled_start(now, 2, 1);
    let late = &started[0];
    let mut stopped = Vec::new();
    let mut again = Vec::new();
    for time in (1_220..4_000).step_by(100).map(|millis| now + MS * millis) {
        let commands = scheduler.decide(time, WALL, true);
        for run in stops(&commands) {
            scheduler.handle_stop_outcome(time + MS, &late.target.worker, &run, StopOutcome::Taken);
            stopped.push(run);
        }
        again.extend(starts(commands));
        report(&mut scheduler, time + MS * 2, worker_number(late), &[], &[]);
    }
    assert_eq!(stopped, std::slice::from_ref(&late.run));
    assert_eq!(again.len(), 1, "the task starts again once the stop is accepted");
    assert!(again[0].run.number > late.run.number);
}

/// Guards against two runs of a task: the worker has accepted the stop, so that a run which an older report lists
/// will end.
#[test]
fn late_start_with_an_accepted_stop_is_not_kept() {
    let now = Instant::now();
    let (mut scheduler, started) = unsettled_start(now, 2, 1);
    let late = &started[0];
    scheduler.handle_stop_outcome(
        now + MS * 1_215,
        &late.target.worker,
        &late.run,
        StopOutcome::Taken,
    );
    scheduler.decide(now + MS * 1_220, WALL, true);
    report(
        &mut scheduler,
        now + MS * 1_230,
        worker_number(late),
        &[late],
        &[],
    );
    assert!(scheduler.workers()[&late.target.worker].runs[&late.run.task].must_stop);
    assert_eq!(starts(scheduler.decide(now + MS * 1_300, WALL, true)), Vec::new());
    let ended = [(1, late, RunOutcome::Stopped)];
    report(&mut scheduler, now + MS * 2_200, worker_number(late), &[], &ended);
    assert_eq!(starts(scheduler.decide(now + MS * 2_210, WALL, true)).len(), 1);
}

/// Guards against a task that goes on after its job was cancelled (UNASKED): its start was being settled then, and
/// is carried out late.
#[test]
fn late_start_of_a_cancelled_job_is_stopped() {
    let now = Instant::now();
    let (mut scheduler, started) = unsettled_start(now, 2, 1);
    scheduler.cancel(&job_id(1));
    let stopped = stops_until(&mut scheduler, now + MS * 1_600, now + MS * 3_600, &started);
    assert!(stopped.len() >= 2, "until the worker accepts one: {stopped:?}");
}

/// Guards against moving a task while another of its step may be ended by a stop that was withdrawn without an answer:
/// the worker may still carry it out.
#[test]
fn task_is_not_moved_while_a_late_stop_may_end_another() {
    let now = Instant::now();
    let (mut scheduler, started) = unsettled_start(now, 4, 2);
    evacuate(&mut scheduler, &started[1]);
    let early = stops_until(&mut scheduler, now + MS * 1_220, now + MS * 6_000, &started);
    assert_eq!(early, Vec::new());
    let later = stops_until(&mut scheduler, now + MS * 6_000, now + MS * 8_000, &started);
    assert!(
        later.contains(&started[1].run),
        "the move is only delayed: {later:?}"
    );
}

/// Guards against ending a task at work while another is away: the stop of a task that moves got no answer, the
/// worker of the other task went silent, and the stop was sent again.
#[test]
fn stop_of_a_move_is_not_repeated_while_another_task_is_away() {
    let now = Instant::now();
    let mut scheduler = scheduler(now, 4, 8);
    scheduler.submit(now, now, record(1, vec![long_running(2)]), None);
    let started = start_all(&mut scheduler, now);
    let (moved, other) = (&started[0], &started[1]);
    evacuate(&mut scheduler, moved);
    let first = stops_until(&mut scheduler, now + MS * 100, now + MS * 2_400, &started);
    assert_eq!(first, std::slice::from_ref(&moved.run));
    scheduler.handle_poll_error(
        now + MS * 2_400,
        &other.target.worker,
        &PollError::NoAnswer("time-out".into()),
    );
    let running = std::slice::from_ref(moved);
    let during = stops_until(&mut scheduler, now + MS * 2_400, now + MS * 5_000, running);
    assert_eq!(during, Vec::new());
    let after = stops_until(&mut scheduler, now + MS * 5_000, now + MS * 5_300, &started);
    assert_eq!(
        after,
        std::slice::from_ref(&moved.run),
        "the other is at work again"
    );
}

/// Guards against stopping a run that has become the wanted one: it was a second run of its task on the worker, which
/// then rejected the first one for lack of room.
#[test]
fn adopted_duplicate_is_not_stopped() {
    let now = Instant::now();
    let mut scheduler = scheduler(now, 1, 8);
    scheduler.submit(now, now, record(1, vec![long_running(1)]), None);
    let start = starts(scheduler.decide(now, WALL, true)).remove(0);
    let mut duplicate = start.clone();
    duplicate.run.number = RunNumber::new(7);
    report(&mut scheduler, now + MS, 0, &[&duplicate], &[]);
    assert_eq!(
        stops(&scheduler.decide(now + MS * 2, WALL, true)),
        std::slice::from_ref(&duplicate.run)
    );
    scheduler.handle_stop_outcome(
        now + MS * 602,
        &worker_id(0),
        &duplicate.run,
        StopOutcome::Unknown,
    );
    scheduler.handle_start_outcome(now + MS * 603, &worker_id(0), &start.run, StartOutcome::NoRoom);
    report(&mut scheduler, now + MS * 604, 0, &[&duplicate], &[]);
    assert!(!scheduler.workers()[&worker_id(0)].runs[&start.run.task].must_stop);
    let stopped = stops_until(&mut scheduler, now + MS * 1_000, now + MS * 4_000, &[duplicate]);
    assert_eq!(stopped, Vec::new());
}

/// Guards against a move whose reason has gone: it waited for another task of the step, and the evacuation was
/// cancelled meanwhile.
#[test]
fn waiting_move_is_withdrawn_with_its_evacuation() {
    let mut now = Instant::now();
    let mut scheduler = scheduler(now, 3, 8);
    scheduler.submit(now, now, record(1, vec![long_running(2)]), None);
    let started = start_all(&mut scheduler, now);
    let early = stops_until(&mut scheduler, now, now + MS * 4_000, &started);
    assert_eq!(early, Vec::new());
    now += MS * 4_000;
    evacuate(&mut scheduler, &started[0]);
    scheduler.decide(now, WALL, true);
    let silent = PollError::NoAnswer("time-out".into());
    scheduler.handle_poll_error(now, &started[1].target.worker, &silent);
    assert_eq!(
        stops(&scheduler.decide(now + MS, WALL, true)),
        Vec::new(),
        "another task is away"
    );
    scheduler.set_plan(PoolPlan {
        version: PlanVersion::new(2),
        ..PoolPlan::default()
    });
    let stopped = stops_until(&mut scheduler, now + MS * 10, now + MS * 3_000, &started);
    assert_eq!(stopped, Vec::new());
}
