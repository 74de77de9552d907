//! Starts on an instance with a narrow link.

use std::time::{Duration, Instant};

use figloft::dispatch::command::{PoolCommand, StartOutcome};
use figloft::dispatch::link_budget::LinkBudget;
use figloft::dispatch::pool_plan::{PoolReport, WorkerUsage};
use figloft::model::amount::{ByteCount, MilliCores};

use crate::setup::{WALL, record, scheduler, step, worker_id};

const MS: Duration = Duration::from_millis(1);

/// Size of a start without its payload, as a worker receives it.
const START_BYTES: usize = 350;

/// Replays the start of a turn on the small play of the large site: 60 jobs of eight tasks with a payload of 1 kB
/// arrive at once at a leader with a link of 2 Mbit/s. Guards against starts that queue up on the link for longer
/// than their timeout of 600 ms, with the polls that renew leases behind them.
#[test]
fn starts_queue_up_on_the_link_for_a_short_time_only() {
    const LINK: u64 = 250_000;
    const MAX_QUEUE: Duration = Duration::from_millis(150);
    let begin = Instant::now();
    let mut scheduler = scheduler(begin, 30, 32).with_start_budget(LinkBudget::new(ByteCount::new(LINK)));
    for number in 0..60 {
        let mut job = record(number, vec![step(8, 1, 10_000)]);
        job.spec.payload = "x".repeat(1_000).into();
        scheduler.submit(begin, begin, job, None);
    }
    let mut queued = 0.0_f64;
    let mut started = 0;
    for tick in 0..600 {
        let now = begin + MS * 10 * tick;
        queued = (queued - LINK as f64 / 100.0).max(0.0);
        for command in scheduler.decide(now, WALL, true) {
            if let PoolCommand::Start(start) = command {
                queued += (start.payload.len() + START_BYTES) as f64;
                started += 1;
                scheduler.handle_start_outcome(now, &start.target.worker, &start.run, StartOutcome::Started);
            }
        }
        let wait = Duration::from_secs_f64(queued / LINK as f64);
        assert!(
            wait <= MAX_QUEUE,
            "{wait:?} of starts on the link after {started}"
        );
    }
    assert_eq!(started, 480, "all tasks start");
}

/// Guards against a leader that stops starting tasks: the budget names the time at which it has room again.
#[test]
fn exhausted_budget_has_room_again() {
    let now = Instant::now();
    let mut budget = LinkBudget::new(ByteCount::new(1_000_000));
    assert!(budget.has_room(now));
    budget.spend(500_000);
    assert!(!budget.has_room(now));
    let at = budget.next_room().expect("the budget is exhausted");
    assert!(at > now && at < now + MS * 1_000);
    assert!(budget.has_room(at + MS));
    assert_eq!(budget.next_room(), None);
}

fn large_pool() -> PoolReport {
    let usage = WorkerUsage {
        runs: 3,
        is_usable: true,
        ..WorkerUsage::default()
    };
    let mut report = PoolReport {
        workers: (0..268)
            .map(|number| (worker_id(number), usage.clone()))
            .collect(),
        ..PoolReport::default()
    };
    report.capacity.cores = MilliCores::new(268 * 32_000);
    report
}

/// Guards against a report of all workers at every interval: in a pool of 268 workers, the start or end of a few
/// tasks is no urgent change, and the report fits into 13 kB.
#[test]
fn reports_of_large_pools_are_rare_and_small() {
    let old = large_pool();
    let mut new = large_pool();
    new.ready.cores = MilliCores::new(64_000);
    assert!(!new.is_significant_change(&old));
    new.ready.cores = MilliCores::new(320_000);
    assert!(new.is_significant_change(&old));
    let size = serde_json::to_vec(&new).expect("report").len();
    assert!(size < 13_000, "{size} bytes");
    let decoded: PoolReport =
        serde_json::from_slice(&serde_json::to_vec(&new).expect("report")).expect("report");
    assert_eq!(decoded, new);
}
