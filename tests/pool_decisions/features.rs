//! Less common features of jobs: gangs, advice, schedules, checkpoints, speculative copies and best-effort
//! tasks.

use std::sync::Arc;
use std::time::{Duration, Instant};

use figloft::dispatch::command::{AdviceAnswer, PollError, PoolCommand, StartCommand, StartOutcome};
use figloft::dispatch::job_record::{AdviceRule, JobRecord};
use figloft::dispatch::job_spec::{JobSchedule, StepSpec};
use figloft::dispatch::pool_scheduler::PoolScheduler;
use figloft::dispatch::scheduler_timing::SchedulerTiming;
use figloft::dispatch::takeover::TakeoverState;
use figloft::dispatch::worker_report::{ActiveRun, EndedRun, RunOutcome, WorkerReport};
use figloft::model::id::{LeaderTerm, LeaseId};
use figloft::model::listed_rows::ListedRows;
use figloft::model::unix_time::UnixMillis;
use figloft::node::retention_lease::RetentionLease;

use crate::setup::{
    WALL, entry, job_id, pool, record, report, running_row, scheduler, start_all, starts, step, worker_id,
};

const MS: Duration = Duration::from_millis(1);

fn gang(tasks: u32, cores: u64) -> StepSpec {
    StepSpec {
        is_gang: true,
        ..step(tasks, cores, 1_000)
    }
}

fn worker_report(running: Vec<ActiveRun>, ended: Vec<EndedRun>) -> WorkerReport {
    WorkerReport {
        clock_ms: 5_000,
        incarnation: Some(UnixMillis::new(1)),
        running,
        ended: ListedRows::Whole(ended),
    }
}

fn end_row(sequence: u64, start: &StartCommand, end: RunOutcome, saved: &str) -> EndedRun {
    EndedRun {
        sequence,
        task: start.run.task.clone(),
        run: start.run.number,
        outcome: end,
        checkpoint: saved.into(),
    }
}

/// Guards against starting only some members of a gang: they would wait for the others in vain.
#[test]
fn gang_starts_completely_or_not_at_all() {
    let now = Instant::now();
    let mut scheduler = scheduler(now, 2, 8);
    scheduler.submit(now, now, record(1, vec![step(1, 6, 1_000)]), None);
    assert_eq!(start_all(&mut scheduler, now).len(), 1);
    scheduler.submit(now, now, record(2, vec![gang(3, 4)]), None);
    assert!(
        starts(scheduler.decide(now, WALL, true)).is_empty(),
        "room for two of three"
    );
    scheduler.submit(now, now, record(3, vec![gang(2, 4)]), None);
    let started = start_all(&mut scheduler, now);
    assert_eq!(started.len(), 2);
    assert_eq!(
        started[0].run.number, started[1].run.number,
        "members share the run number"
    );
}

/// Guards against a gang that hangs after a worker rejected one member: the others end as incomplete, and all
/// members start again with the same, higher run number.
#[test]
fn gang_with_a_rejected_member_starts_again() {
    let now = Instant::now();
    let mut scheduler = scheduler(now, 2, 4);
    scheduler.submit(now, now, record(1, vec![gang(2, 4)]), None);
    let first = starts(scheduler.decide(now, WALL, true));
    assert_eq!(first.len(), 2);
    scheduler.handle_start_outcome(now, &first[0].target.worker, &first[0].run, StartOutcome::Started);
    scheduler.handle_start_outcome(now, &first[1].target.worker, &first[1].run, StartOutcome::NoRoom);
    assert!(starts(scheduler.decide(now, WALL, true)).is_empty());
    let later = now + MS * 3_200;
    scheduler.decide(later, WALL, true);
    let alone = worker_report(
        vec![],
        vec![end_row(1, &first[0], RunOutcome::GangIncomplete, "")],
    );
    scheduler.handle_poll_report(later, &first[0].target.worker, later, alone);
    let second = starts(scheduler.decide(later, WALL, true));
    assert_eq!(second.len(), 2);
    assert!(second[0].run.number > first[0].run.number && second[0].run.number == second[1].run.number);
}

/// Confirms starts in flight and takes further decisions until there are no more. Returns the starts of each decision.
fn start_in_rounds(scheduler: &mut PoolScheduler, mut now: Instant) -> Vec<Vec<StartCommand>> {
    let mut rounds = Vec::new();
    loop {
        let started = start_all(scheduler, now);
        if started.is_empty() {
            return rounds;
        }
        rounds.push(started);
        now += MS * 10;
    }
}

/// Guards against a gang that never starts because it has more members than starts may be in flight to the workers, and
/// against more starts in flight to a worker than its pace allows (review/9).
#[test]
fn gang_larger_than_the_pace_of_its_workers_starts_as_a_whole() {
    let now = Instant::now();
    for (workers, cores, members) in [(7, 32, 44), (1, 64, 64), (3, 32, 96), (2, 8, 7)] {
        let mut scheduler = scheduler(now, workers, cores);
        scheduler.submit(now, now, record(1, vec![gang(members, 1)]), None);
        let rounds = start_in_rounds(&mut scheduler, now);
        let all: Vec<&StartCommand> = rounds.iter().flatten().collect();
        assert_eq!(all.len(), members as usize, "{workers} workers");
        assert!(all.iter().all(|start| start.run.number == all[0].run.number));
        for round in &rounds {
            for worker in 0..workers {
                let of_worker = round
                    .iter()
                    .filter(|start| start.target.worker == worker_id(worker));
                assert!(of_worker.count() <= 6);
            }
        }
    }
}

/// Gang of 20 on two workers of which one start of the first 12 has no outcome yet; the others are confirmed.
fn gang_in_the_middle_of_its_start(now: Instant) -> (PoolScheduler, Vec<StartCommand>) {
    let mut scheduler = scheduler(now, 2, 20);
    scheduler.submit(now, now, record(1, vec![gang(20, 1)]), None);
    let first = starts(scheduler.decide(now, WALL, true));
    assert_eq!(first.len(), 12);
    for start in &first[..11] {
        let outcome = StartOutcome::Started;
        scheduler.handle_start_outcome(now, &start.target.worker, &start.run, outcome);
    }
    (scheduler, first)
}

/// Decides several times and returns how many runs were started and stopped.
fn starts_and_stops(scheduler: &mut PoolScheduler, now: Instant) -> (usize, usize) {
    let commands: Vec<PoolCommand> = (1..4)
        .flat_map(|number| scheduler.decide(now + MS * number, WALL, true))
        .collect();
    let stops = commands
        .iter()
        .filter(|command| matches!(command, PoolCommand::Stop(..)))
        .count();
    (starts(commands).len(), stops)
}

/// Guards against a gang of which some members run alone and others keep room after a worker refused a start while
/// further ones waited to be sent. Nothing of that run is started any more, and the whole gang starts again.
#[test]
fn gang_with_a_refused_start_is_given_up_and_starts_again() {
    let now = Instant::now();
    let (mut scheduler, first) = gang_in_the_middle_of_its_start(now);
    let (worker, run) = (&first[11].target.worker, &first[11].run);
    scheduler.handle_start_outcome(now, worker, run, StartOutcome::NoRoom);
    assert_eq!(starts_and_stops(&mut scheduler, now), (0, 11));
    let later = now + MS * 300;
    for number in 0..2 {
        let of_worker = first[..11]
            .iter()
            .filter(|start| start.target.worker == worker_id(number));
        let ended = of_worker
            .zip(1..)
            .map(|(start, sequence)| end_row(sequence, start, RunOutcome::Stopped, ""));
        let report = worker_report(vec![], ended.collect());
        scheduler.handle_poll_report(later, &worker_id(number), later, report);
    }
    let again: Vec<StartCommand> = start_in_rounds(&mut scheduler, now + MS * 600)
        .into_iter()
        .flatten()
        .collect();
    assert_eq!(again.len(), 20);
    assert!(again.iter().all(|start| start.run.number > first[0].run.number));
}

/// Guards against starts of a gang that are sent after its first members have ended on their own, where the platform lets
/// them wait for less than three seconds, and against gangs that are given up early where they wait for longer.
#[test]
fn gang_is_given_up_within_the_wait_of_its_members() {
    for (gang_wait, given_up_ms) in [(1_200, 900), (3_000, 2_100), (6_000, 4_100)] {
        let now = Instant::now();
        let timing = SchedulerTiming {
            gang_wait: MS * gang_wait,
            ..SchedulerTiming::default()
        };
        let mut scheduler = PoolScheduler::new(pool(), LeaderTerm::new(1), timing, TakeoverState::default());
        for number in 0..2 {
            scheduler.set_worker(now, entry(number, 20));
        }
        scheduler.decide(now, WALL, true);
        for number in 0..2 {
            report(&mut scheduler, now, number, &[], &[]);
        }
        scheduler.submit(now, now, record(1, vec![gang(20, 1)]), None);
        assert_eq!(starts(scheduler.decide(now, WALL, true)).len(), 12);
        let mut is_given_up = |at: u32| {
            scheduler.decide(now + MS * at, WALL, true);
            let notes = scheduler.take_notes();
            notes.iter().any(|note| note.decision == "gang given up")
        };
        assert!(!is_given_up(given_up_ms - 200), "{gang_wait} ms");
        assert!(is_given_up(given_up_ms), "{gang_wait} ms");
    }
}

/// The same after a worker was lost: the members on the other one are stopped.
#[test]
fn gang_with_a_lost_worker_is_given_up() {
    let now = Instant::now();
    let (mut scheduler, first) = gang_in_the_middle_of_its_start(now);
    let (worker, run) = (&first[11].target.worker, &first[11].run);
    scheduler.handle_start_outcome(now, worker, run, StartOutcome::Started);
    scheduler.handle_poll_error(now, worker, &PollError::NoAnswer("cut".into()));
    let (started, stopped) = starts_and_stops(&mut scheduler, now);
    assert_eq!(started, 0);
    assert!(stopped >= 6, "{stopped}");
}

/// Guards against stopping members of a gang that has ended `done`: the end of one stands for all, and the others are
/// listed a moment later. One that goes on all the same is stopped.
#[test]
fn members_of_an_ended_gang_are_not_stopped_at_once() {
    let now = Instant::now();
    let mut scheduler = scheduler(now, 2, 4);
    scheduler.submit(now, now, record(1, vec![gang(8, 1)]), None);
    let started = start_all(&mut scheduler, now);
    assert_eq!(started.len(), 8);
    let of_worker = |number| {
        started
            .iter()
            .filter(move |start| start.target.worker == worker_id(number))
    };
    let first = of_worker(0).next().expect("a member on the worker");
    let ended = worker_report(vec![], vec![end_row(1, first, RunOutcome::Done, "")]);
    let later = now + MS * 1_000;
    scheduler.handle_poll_report(later, &worker_id(0), later, ended);
    assert_eq!(starts_and_stops(&mut scheduler, later), (0, 0));
    let running = of_worker(1).map(running_row).collect();
    let much_later = now + MS * 2_500;
    scheduler.handle_poll_report(
        much_later,
        &worker_id(1),
        much_later,
        worker_report(running, vec![]),
    );
    let (started, stopped) = starts_and_stops(&mut scheduler, much_later);
    assert_eq!(started, 0);
    assert!(stopped >= 4, "{stopped}");
}

/// Guards against starts of a cancelled job that were waiting for earlier starts of its gang.
#[test]
fn waiting_starts_of_a_cancelled_gang_are_not_sent() {
    let now = Instant::now();
    let mut scheduler = scheduler(now, 1, 20);
    scheduler.submit(now, now, record(1, vec![gang(20, 1)]), None);
    assert_eq!(start_all(&mut scheduler, now).len(), 6);
    scheduler.cancel(&job_id(1));
    assert!(start_all(&mut scheduler, now + MS * 10).is_empty());
    // The room of the starts that were not sent is free.
    scheduler.submit(now, now, record(2, vec![step(14, 1, 1_000)]), None);
    let rounds = start_in_rounds(&mut scheduler, now + MS * 20);
    assert_eq!(rounds.iter().flatten().count(), 14);
}

/// Guards against a gang that waits for ever in a pool whose free room is scattered: it calls for another worker.
#[test]
fn gang_without_room_calls_for_a_worker() {
    let now = Instant::now();
    let mut scheduler = scheduler(now, 3, 8);
    for number in 0..3 {
        let small = StepSpec {
            estimate: Duration::from_mins(1),
            ..step(1, 3, 0)
        };
        scheduler.submit(now, now, record(number, vec![small]), None);
        assert_eq!(start_all(&mut scheduler, now).len(), 1);
    }
    scheduler.submit(now, now, record(9, vec![gang(4, 3)]), None);
    let mut unplaced = 0;
    for tenth in 0..60 {
        let later = now + MS * 100 * tenth;
        scheduler.decide(later, WALL, true);
        unplaced = unplaced.max(scheduler.report(later).unplaced);
    }
    assert_eq!(unplaced, 1);
}

/// Guards against spreading tasks over several racks, where they run slower.
#[test]
fn tasks_with_rack_affinity_share_a_rack() {
    let now = Instant::now();
    let mut scheduler = scheduler(now, 8, 8);
    let same_rack = StepSpec {
        prefers_same_rack: true,
        ..step(6, 4, 1_000)
    };
    scheduler.submit(now, now, record(1, vec![same_rack]), None);
    let started = start_all(&mut scheduler, now);
    assert_eq!(started.len(), 6);
    let racks: std::collections::BTreeSet<usize> = started
        .iter()
        .map(|start| {
            let number = (0..8).find(|number| worker_id(*number) == start.target.worker);
            number.expect("worker") / 4
        })
        .collect();
    assert_eq!(racks.len(), 1);
}

fn advised_job(number: usize, tasks: u32) -> JobRecord {
    let mut job = record(number, vec![step(tasks, 2, 1_000)]);
    job.rule.advice = Some(AdviceRule {
        base_latency: MS * 20,
        latency_per_worker: MS,
        ticket_validity: MS * 2_000,
    });
    job
}

fn advice_requests(commands: &[PoolCommand]) -> Vec<usize> {
    let asked = commands.iter().filter_map(|command| match command {
        PoolCommand::RequestAdvice(request) => Some(request.workers.len()),
        _ => None,
    });
    asked.collect()
}

/// Guards against starts without a ticket, which workers reject, and against requests for advice that name
/// too many workers.
#[test]
fn advised_tasks_start_only_with_tickets() {
    let now = Instant::now();
    let mut scheduler = scheduler(now, 40, 8);
    scheduler.submit(now, now, advised_job(1, 3), None);
    let commands = scheduler.decide(now, WALL, true);
    assert_eq!(advice_requests(&commands), vec![30], "one call, bounded");
    assert!(starts(commands).is_empty());
    assert!(
        advice_requests(&scheduler.decide(now, WALL, true)).is_empty(),
        "asked once"
    );
    let id = figloft::dispatch::task_id::StepId::new(job_id(1), 0, 0);
    let ticket: Arc<str> = "t-7".into();
    let answer = AdviceAnswer {
        tickets: vec![(worker_id(7), Arc::clone(&ticket))],
        latency: MS * 50,
        validity: MS * 2_000,
    };
    scheduler.handle_advice(now, &id, Some(answer));
    let started = starts(scheduler.decide(now, WALL, true));
    assert_eq!(started.len(), 3);
    let is_advised = |start: &StartCommand| {
        start.target.worker == worker_id(7) && start.ticket == Some(Arc::clone(&ticket))
    };
    assert!(started.iter().all(is_advised));
}

/// Guards against repeating a start that was rejected because its ticket had expired in transit: new advice
/// is requested instead.
#[test]
fn rejected_ticket_requests_new_advice() {
    let now = Instant::now();
    let mut scheduler = scheduler(now, 2, 8);
    scheduler.submit(now, now, advised_job(1, 1), None);
    scheduler.decide(now, WALL, true);
    let id = figloft::dispatch::task_id::StepId::new(job_id(1), 0, 0);
    let answer = AdviceAnswer {
        tickets: vec![(worker_id(1), "old".into())],
        latency: MS * 50,
        validity: MS * 2_000,
    };
    scheduler.handle_advice(now, &id, Some(answer));
    let start = starts(scheduler.decide(now, WALL, true)).remove(0);
    scheduler.handle_start_outcome(now, &start.target.worker, &start.run, StartOutcome::NoTicket);
    let commands = scheduler.decide(now + MS * 10, WALL, true);
    assert_eq!(advice_requests(&commands).len(), 1);
    assert!(starts(commands).is_empty());
}

/// Guards against scheduled tasks that start too early or never, and against counting them as waiting.
#[test]
fn occurrences_start_when_they_are_due() {
    let now = Instant::now();
    let mut scheduler = scheduler(now, 2, 8);
    let mut job = record(1, vec![step(1, 1, 100)]);
    job.spec.schedule = Some(JobSchedule {
        first: UnixMillis::new(WALL.get() + 1_000),
        interval: MS * 500,
        count: 2,
    });
    scheduler.submit(now, now, job, None);
    assert!(scheduler.waiting_counts().values().all(|count| *count == 0));
    let at = |ms: u64| (now + MS * ms as u32, UnixMillis::new(WALL.get() + ms));
    let (early, wall_time) = at(700);
    assert!(starts(scheduler.decide(early, wall_time, true)).is_empty());
    let (due, wall_time) = at(1_000);
    let first = starts(scheduler.decide(due, wall_time, true));
    assert_eq!(first.len(), 1);
    let (due, wall_time) = at(1_500);
    let second = starts(scheduler.decide(due, wall_time, true));
    assert_eq!(second.len(), 1);
    assert_ne!(first[0].run.task, second[0].run.task, "occurrences overlap");
}

/// Guards against a late start of a scheduled job: it is due before a job that was submitted earlier, whose due time
/// the scheduler keeps as the next one.
#[test]
fn job_due_before_an_earlier_submission_starts_on_time() {
    let now = Instant::now();
    let mut scheduler = scheduler(now, 2, 8);
    for (number, due_ms) in [(1, 60_000), (2, 1_000)] {
        let mut job = record(number, vec![step(1, 1, 100)]);
        job.spec.schedule = Some(JobSchedule {
            first: UnixMillis::new(WALL.get() + due_ms),
            interval: MS * 500,
            count: 1,
        });
        scheduler.submit(now, now, job, None);
        assert!(starts(scheduler.decide(now, WALL, true)).is_empty());
    }
    let wall_time = UnixMillis::new(WALL.get() + 1_000);
    let started = starts(scheduler.decide(now + MS * 1_000, wall_time, true));
    assert_eq!(started.len(), 1, "the second job is due");
}

/// Guards against losing work: the task of a stopped run resumes from its checkpoint.
#[test]
fn stopped_task_resumes_from_its_checkpoint() {
    let now = Instant::now();
    let mut scheduler = scheduler(now, 2, 8);
    let checkpointed = StepSpec {
        has_checkpoints: true,
        ..step(1, 2, 5_000)
    };
    scheduler.submit(now, now, record(1, vec![checkpointed]), None);
    let first = start_all(&mut scheduler, now).remove(0);
    assert!(first.checkpoint.is_empty());
    let later = now + MS * 2_000;
    scheduler.decide(later, WALL, true);
    let stopped = worker_report(vec![], vec![end_row(1, &first, RunOutcome::Stopped, "c-1")]);
    scheduler.handle_poll_report(later, &first.target.worker, later, stopped);
    let again = starts(scheduler.decide(later + MS, WALL, true)).remove(0);
    assert_eq!(&*again.checkpoint, "c-1");
    assert!(again.run.number > first.run.number);
}

/// Guards against tasks that stay above their tail latency target beside best-effort tasks: those slow down,
/// and speed up again when the tail latency falls.
#[test]
fn best_effort_tasks_slow_down_at_a_high_tail_latency() {
    let now = Instant::now();
    let mut scheduler = scheduler(now, 1, 8);
    let serving = StepSpec {
        is_long_running: true,
        tail_latency_target_ms: Some(100),
        ..step(1, 2, 0)
    };
    let best_effort = StepSpec {
        is_long_running: true,
        is_best_effort: true,
        ..step(1, 2, 0)
    };
    scheduler.submit(now, now, record(1, vec![serving]), None);
    scheduler.submit(now, now, record(2, vec![best_effort]), None);
    let started = start_all(&mut scheduler, now);
    assert_eq!(started.len(), 2);
    let serving_job = job_id(1);
    let poll = |scheduler: &mut PoolScheduler, at: Instant, latency_ms: f64| -> Vec<u32> {
        scheduler.decide(at, WALL, true);
        let rows = started.iter().map(|start| ActiveRun {
            load: if start.run.task.step.job == serving_job {
                latency_ms
            } else {
                2.0
            },
            ..running_row(start)
        });
        scheduler.handle_poll_report(at, &worker_id(0), at, worker_report(rows.collect(), vec![]));
        let commands = scheduler.decide(at + MS, WALL, true);
        let speeds = commands.into_iter().filter_map(|command| match command {
            PoolCommand::SetSpeed(_, run, percent) => {
                assert_ne!(
                    run.task.step.job, serving_job,
                    "only best-effort tasks are slowed down"
                );
                Some(percent)
            }
            _ => None,
        });
        speeds.collect()
    };
    assert_eq!(poll(&mut scheduler, now + MS * 100, 150.0), vec![50]);
    assert!(
        poll(&mut scheduler, now + MS * 900, 70.0).is_empty(),
        "within the target"
    );
    assert_eq!(poll(&mut scheduler, now + MS * 1_700, 20.0), vec![60]);
}

/// Guards against a hanging task that keeps its job from ending although copies are allowed, and against a
/// second copy where they are not.
#[test]
fn only_speculative_tasks_get_a_second_copy() {
    for is_speculative in [true, false] {
        let now = Instant::now();
        let mut scheduler = scheduler(now, 2, 8);
        let job = StepSpec {
            is_speculative,
            ..step(1, 2, 500)
        };
        scheduler.submit(now, now, record(1, vec![job]), None);
        let first = start_all(&mut scheduler, now).remove(0);
        let copies = starts(scheduler.decide(now + MS * 1_500, WALL, true));
        assert_eq!(copies.len(), usize::from(is_speculative));
        assert!(
            copies
                .iter()
                .all(|copy| copy.target.worker != first.target.worker)
        );
    }
}

/// Guards against starts that the platform forbids: on a worker without the required label, or beyond the
/// maximum number of tasks of a step on one worker.
#[test]
fn labels_and_spread_restrict_placement() {
    let now = Instant::now();
    let mut scheduler = scheduler(now, 8, 8);
    let labelled = StepSpec {
        label: Some("r-1".into()),
        max_per_worker: Some(1),
        ..step(6, 1, 1_000)
    };
    scheduler.submit(now, now, record(1, vec![labelled]), None);
    let started = start_all(&mut scheduler, now);
    let places: std::collections::BTreeSet<_> =
        started.iter().map(|start| start.target.worker.clone()).collect();
    assert_eq!(started.len(), 4, "four workers have the label");
    assert_eq!(places, (4..8).map(worker_id).collect());
}

/// Guards against tasks that stall on a worker that still answers: they kept their job from ever ending. A
/// task that makes progress is not stopped.
#[test]
fn stalled_run_is_stopped_and_starts_elsewhere() {
    let now = Instant::now();
    let mut scheduler = scheduler(now, 3, 8);
    scheduler.submit(now, now, record(1, vec![step(2, 2, 1_000)]), None);
    let started = start_all(&mut scheduler, now);
    let number = (0..3).find(|number| worker_id(*number) == started[0].target.worker);
    let number = number.expect("worker");
    let mut stops = Vec::new();
    for second in 1..4_u32 {
        let at = now + MS * 1_000 * second;
        let commands = scheduler.decide(at, WALL, true);
        stops.extend(commands.into_iter().filter_map(|command| match command {
            PoolCommand::Stop(_, run) => Some(run),
            _ => None,
        }));
        let rows = started.iter().enumerate().map(|(index, start)| ActiveRun {
            progress_percent: if index == 0 {
                10.0
            } else {
                20.0 * f64::from(second)
            },
            ..running_row(start)
        });
        scheduler.handle_poll_report(at, &worker_id(number), at, worker_report(rows.collect(), vec![]));
    }
    let at = now + MS * 3_100;
    let commands = scheduler.decide(at, WALL, true);
    stops.extend(commands.into_iter().filter_map(|command| match command {
        PoolCommand::Stop(_, run) => Some(run),
        _ => None,
    }));
    assert_eq!(stops, vec![started[0].run.clone()]);
    let stopped = vec![end_row(1, &started[0], RunOutcome::Stopped, "")];
    scheduler.handle_poll_report(
        at,
        &worker_id(number),
        at,
        worker_report(vec![running_row(&started[1])], stopped),
    );
    let again = starts(scheduler.decide(at + MS * 10, WALL, true));
    assert_eq!(again.len(), 1);
    assert_ne!(again[0].target.worker, started[0].target.worker);
}

/// Plays six jobs of one task each, which takes `duration`, on three workers for two minutes. Workers report whole percents.
/// Returns the number of starts, the number of times that a job waits for a start for more than 3 s, and whether all run
/// at the end.
fn play_long_tasks(duration: Duration, estimate_ms: u64) -> (usize, usize, bool) {
    const JOBS: usize = 6;
    let begin = Instant::now();
    let mut scheduler = scheduler(begin, 3, 32);
    for number in 0..JOBS {
        scheduler.submit(begin, begin, record(number, vec![step(1, 1, estimate_ms)]), None);
    }
    let mut running: Vec<(Instant, StartCommand)> = Vec::new();
    let mut sequence = [0_u64; 3];
    let (mut start_count, mut late_starts) = (0, 0);
    let mut idle_since = [begin; JOBS];
    for tick in 0..1_200_u32 {
        let now = begin + MS * 100 * tick;
        for command in scheduler.decide(now, WALL, true) {
            match command {
                PoolCommand::Start(start) => {
                    let job = (0..JOBS).find(|number| job_id(*number) == start.run.task.step.job);
                    let idle = now.saturating_duration_since(idle_since[job.expect("job")]);
                    late_starts += usize::from(idle > Duration::from_secs(3));
                    start_count += 1;
                    let outcome = StartOutcome::Started;
                    scheduler.handle_start_outcome(now, &start.target.worker, &start.run, outcome);
                    running.push((now, start));
                }
                PoolCommand::Stop(target, run) => {
                    let worker = (0..3)
                        .find(|number| worker_id(*number) == target.worker)
                        .expect("worker");
                    let stopped = running.iter().position(|(_, start)| start.run == run);
                    let (_, start) = running.remove(stopped.expect("run"));
                    sequence[worker] += 1;
                    let job = (0..JOBS).find(|number| job_id(*number) == start.run.task.step.job);
                    idle_since[job.expect("job")] = now;
                    let ended = vec![end_row(sequence[worker], &start, RunOutcome::Stopped, "")];
                    report_long_tasks(&mut scheduler, now, worker, &running, duration, ended);
                }
                _ => {}
            }
        }
        if tick % 10 == 0 {
            for worker in 0..3 {
                report_long_tasks(&mut scheduler, now, worker, &running, duration, vec![]);
            }
        }
    }
    (start_count, late_starts, running.len() == JOBS)
}

/// Reports the runs of a worker with their progress.
fn report_long_tasks(
    scheduler: &mut PoolScheduler,
    now: Instant,
    worker: usize,
    running: &[(Instant, StartCommand)],
    duration: Duration,
    ended: Vec<EndedRun>,
) {
    let own = running
        .iter()
        .filter(|(_, start)| start.target.worker == worker_id(worker));
    let rows = own.map(|(started_at, start)| {
        let elapsed = now.saturating_duration_since(*started_at);
        ActiveRun {
            progress_percent: (elapsed.as_secs_f64() / duration.as_secs_f64() * 100.0).floor(),
            ..running_row(start)
        }
    });
    scheduler.handle_poll_report(now, &worker_id(worker), now, worker_report(rows.collect(), ended));
}

/// Guards against long tasks that never end: without an estimate, or with one that is far too low, they counted as stalled
/// every two seconds, and the workers on which they were stopped got no work.
#[test]
fn long_tasks_are_not_stopped_as_stalled() {
    for estimate_ms in [0, 5_000, 200_000] {
        let (starts, late, all_run) = play_long_tasks(Duration::from_secs(150), estimate_ms);
        assert_eq!(
            (starts, late, all_run),
            (6, 0, true),
            "estimate of {estimate_ms} ms"
        );
    }
}

/// Guards against tasks that stall on any worker and never end, because each run gets the same short time: tasks of an hour
/// report their first percent after 36 s.
#[test]
fn task_that_stalls_everywhere_gets_more_time() {
    for estimate_ms in [0, 1_000] {
        let (starts, _, all_run) = play_long_tasks(Duration::from_hours(1), estimate_ms);
        assert!(
            all_run && starts <= 6 * 6,
            "{starts} starts, estimate of {estimate_ms} ms"
        );
    }
}

/// Guards against states of ended jobs that stay in the store for ever, or that expire before the retention
/// has passed.
#[test]
fn retention_lease_outlasts_the_retention() {
    let begin = Instant::now();
    let second = Duration::from_secs(1);
    let mut retention = RetentionLease::new(second * 120);
    assert!(retention.start_request(begin));
    assert!(!retention.start_request(begin), "asked once");
    retention.finish_request(begin, None);
    assert!(retention.current_lease(begin).is_none());
    assert!(
        !retention.start_request(begin + second),
        "not at once after a refusal"
    );
    let later = begin + second * 6;
    assert!(retention.start_request(later));
    let lease = LeaseId::new(7);
    retention.finish_request(later, Some((lease, second * 600)));
    let last = later + second * 119;
    assert_eq!(retention.current_lease(last), Some(lease));
    // A record written at the last moment still outlives the retention.
    assert!(last + second * 120 < later + second * 600);
    assert!(retention.current_lease(later + second * 120).is_none());
    assert!(retention.start_request(later + second * 120));
}

/// Guards against a lease shorter than the retention: states that never expire are better than lost ones.
#[test]
fn short_retention_leases_are_not_used() {
    let begin = Instant::now();
    let mut retention = RetentionLease::new(Duration::from_mins(2));
    assert!(retention.start_request(begin));
    retention.finish_request(begin, Some((LeaseId::new(7), Duration::from_mins(1))));
    assert!(retention.current_lease(begin).is_none());
    let mut long = RetentionLease::new(Duration::from_mins(15));
    assert!(!long.start_request(begin));
}
