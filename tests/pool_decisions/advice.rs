//! Requests for advice: which workers they name, and the tickets with which tasks start.

use std::time::{Duration, Instant};

use figloft::dispatch::command::{AdviceAnswer, PoolCommand, StartCommand, StartOutcome};
use figloft::dispatch::job_record::{AdviceRule, JobRecord};
use figloft::dispatch::job_spec::StepSpec;
use figloft::dispatch::pool_scheduler::PoolScheduler;
use figloft::dispatch::task_id::StepId;
use figloft::model::id::WorkerId;

use crate::setup::{WALL, entry, job_id, record, report, scheduler, step, worker_id};

const MS: Duration = Duration::from_millis(1);

/// Validity of the tickets, unless a test needs another one.
const VALIDITY: Duration = Duration::from_secs(2);

fn advised_job(number: usize, steps: Vec<StepSpec>) -> JobRecord {
    let mut job = record(number, steps);
    job.rule.advice = Some(AdviceRule {
        base_latency: MS * 20,
        latency_per_worker: MS,
        ticket_validity: VALIDITY,
    });
    job
}

/// Starts and requests for advice of one pass.
#[derive(Debug, Default)]
struct Pass {
    starts: Vec<StartCommand>,
    requests: Vec<(StepId, Vec<WorkerId>)>,
}

fn decide(scheduler: &mut PoolScheduler, now: Instant) -> Pass {
    let mut pass = Pass::default();
    for command in scheduler.decide(now, WALL, true) {
        match command {
            PoolCommand::Start(start) => pass.starts.push(start),
            PoolCommand::RequestAdvice(request) => pass.requests.push((request.step, request.workers)),
            _ => {}
        }
    }
    pass
}

/// Answers a request: the workers that `is_allowed` names get a ticket.
fn answer(
    scheduler: &mut PoolScheduler,
    now: Instant,
    request: &(StepId, Vec<WorkerId>),
    validity: Duration,
    is_allowed: impl Fn(&WorkerId) -> bool,
) {
    let (step, workers) = request;
    let admitted = workers.iter().filter(|id| is_allowed(id));
    let answer = AdviceAnswer {
        tickets: admitted
            .map(|id| (id.clone(), format!("{step}/{id}").into()))
            .collect(),
        latency: MS * 50,
        validity,
    };
    scheduler.handle_advice(now, step, Some(answer));
}

/// Decides and answers until there are starts, for at most `passes` passes 50 ms apart. Returns the starts and the
/// requests before them.
fn run_until_start(
    scheduler: &mut PoolScheduler,
    now: &mut Instant,
    passes: usize,
    is_allowed: impl Fn(&WorkerId) -> bool,
) -> (Vec<StartCommand>, Vec<Vec<WorkerId>>) {
    run_with_validity(scheduler, now, passes, VALIDITY, is_allowed)
}

/// The same with tickets that are valid for a certain time.
fn run_with_validity(
    scheduler: &mut PoolScheduler,
    now: &mut Instant,
    passes: usize,
    validity: Duration,
    is_allowed: impl Fn(&WorkerId) -> bool,
) -> (Vec<StartCommand>, Vec<Vec<WorkerId>>) {
    let mut requests = Vec::new();
    for _ in 0..passes {
        let pass = decide(scheduler, *now);
        if !pass.starts.is_empty() {
            return (pass.starts, requests);
        }
        *now += MS * 50;
        for request in pass.requests {
            answer(scheduler, *now, &request, validity, &is_allowed);
            requests.push(request.1);
        }
    }
    (Vec::new(), requests)
}

fn confirm(scheduler: &mut PoolScheduler, now: Instant, starts: &[StartCommand]) {
    for start in starts {
        scheduler.handle_start_outcome(now, &start.target.worker, &start.run, StartOutcome::Started);
    }
}

/// Guards against a step that never starts because requests name the same 30 workers again and again, while only others
/// may run it.
#[test]
fn all_workers_are_asked_about_until_one_may_run_the_step() {
    let mut now = Instant::now();
    let mut scheduler = scheduler(now, 80, 8);
    let allowed = [worker_id(7), worker_id(8), worker_id(9)];
    // The pool is idle: the ids alone tell the order, in which these are the last ones.
    scheduler.submit(now, now, advised_job(1, vec![step(2, 2, 1_000)]), None);
    let (starts, requests) = run_until_start(&mut scheduler, &mut now, 4, |id| allowed.contains(id));
    assert_eq!(starts.len(), 2, "requests: {requests:?}");
    assert!(starts.iter().all(|start| allowed.contains(&start.target.worker)));
    let mut named: Vec<_> = requests.concat();
    let count = named.len();
    named.sort();
    named.dedup();
    assert_eq!(named.len(), count, "no worker is named twice");
}

/// Guards against requests without end about workers that were refused, and against new workers, or new processes of a
/// worker, that are never asked about.
#[test]
fn only_new_processes_are_asked_about_after_a_refusal() {
    let mut now = Instant::now();
    let mut scheduler = scheduler(now, 3, 8);
    scheduler.submit(now, now, advised_job(1, vec![step(1, 2, 1_000)]), None);
    let (starts, requests) = run_until_start(&mut scheduler, &mut now, 40, |_| false);
    assert!(starts.is_empty());
    assert_eq!(requests.len(), 1, "{requests:?}");
    scheduler.set_worker(now, entry(3, 8));
    let mut restarted = entry(1, 8);
    restarted.incarnation = Some(figloft::model::unix_time::UnixMillis::new(9));
    scheduler.set_worker(now, restarted);
    let polled = scheduler.decide(now, WALL, true);
    assert!(
        polled
            .iter()
            .any(|command| matches!(command, PoolCommand::Poll(_)))
    );
    report(&mut scheduler, now, 3, &[], &[]);
    let (starts, requests) = run_until_start(&mut scheduler, &mut now, 4, |id| *id == worker_id(3));
    assert_eq!(starts.len(), 1, "{requests:?}");
    assert!(!requests.concat().contains(&worker_id(0)));
}

/// Guards against a spread step that waits for the only worker with a ticket although that one may take no further task
/// of it.
#[test]
fn tickets_of_workers_without_a_place_do_not_count() {
    let mut now = Instant::now();
    let mut scheduler = scheduler(now, 60, 8);
    let spec = StepSpec {
        max_per_worker: Some(1),
        ..step(2, 2, 60_000)
    };
    let allowed = [worker_id(0), worker_id(9)];
    scheduler.submit(now, now, advised_job(1, vec![spec]), None);
    let (first, _) = run_until_start(&mut scheduler, &mut now, 4, |id| allowed.contains(id));
    confirm(&mut scheduler, now, &first);
    let (second, _) = run_until_start(&mut scheduler, &mut now, 4, |id| allowed.contains(id));
    let workers: Vec<_> = first
        .iter()
        .chain(&second)
        .map(|start| start.target.worker.clone())
        .collect();
    assert_eq!(workers, allowed);
}

/// Guards against a gang that starts on a part of its tickets, or never, because the tickets of its workers came with
/// several answers and the first ones expired before the last ones came.
#[test]
fn tickets_of_a_gang_come_with_one_answer() {
    let mut now = Instant::now();
    let mut scheduler = scheduler(now, 60, 8);
    let spec = StepSpec {
        is_gang: true,
        ..step(4, 8, 60_000)
    };
    // One of them in the first request, three in the second.
    let allowed = [worker_id(0), worker_id(7), worker_id(8), worker_id(9)];
    scheduler.submit(now, now, advised_job(1, vec![spec]), None);
    let is_allowed = |id: &WorkerId| allowed.contains(id);
    let (starts, requests) = run_with_validity(&mut scheduler, &mut now, 6, MS * 40, is_allowed);
    assert_eq!(starts.len(), 4, "{requests:?}");
    assert_eq!(requests.last().map(Vec::as_slice), Some(allowed.as_slice()));
}

/// Guards against a lack of room that nobody is told of: a gang for which the admitted workers have too little room counts
/// in the pool's demand, and starts once there is another worker.
#[test]
fn gang_starts_on_a_new_worker_that_is_admitted() {
    let mut now = Instant::now();
    let mut scheduler = scheduler(now, 2, 8);
    let spec = StepSpec {
        is_gang: true,
        ..step(3, 8, 60_000)
    };
    scheduler.submit(now, now, advised_job(1, vec![spec]), None);
    let (starts, requests) = run_until_start(&mut scheduler, &mut now, 20, |_| true);
    assert!(starts.is_empty());
    assert_eq!(requests.len(), 1, "{requests:?}");
    scheduler.set_worker(now, entry(2, 8));
    scheduler.decide(now, WALL, true);
    report(&mut scheduler, now, 2, &[], &[]);
    let (starts, _) = run_until_start(&mut scheduler, &mut now, 6, |_| true);
    assert_eq!(starts.len(), 3);
    assert!(scheduler.job(&job_id(1)).is_some());
}
