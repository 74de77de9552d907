//! Entries of other workers on the instance of a worker.

use std::time::{Duration, Instant};

use figloft::dispatch::command::{PollError, PoolCommand, StartCommand};
use figloft::dispatch::job_spec::StepSpec;
use figloft::dispatch::pool_scheduler::PoolScheduler;
use figloft::dispatch::site_config::{PoolConfig, SiteConfig};
use figloft::dispatch::worker_entry::WorkerEntry;
use figloft::dispatch::worker_report::WorkerReport;
use figloft::model::id::PoolId;
use figloft::model::listed_rows::ListedRows;
use figloft::model::unix_time::UnixMillis;

use crate::setup::{
    WALL, entry, instance_id, pool, record, running_row, scheduler, start_all, starts, step, worker_id,
};

const MS: Duration = Duration::from_millis(1);

/// Passes an entry on as the leader of a pool does.
fn observe(scheduler: &mut PoolScheduler, now: Instant, entry: WorkerEntry) {
    scheduler.observe_entry(now, &entry);
    scheduler.set_worker(now, entry);
}

/// Two workers with runs, and a configuration that names their pool.
fn busy_pool(now: Instant) -> (PoolScheduler, Vec<StartCommand>) {
    let mut scheduler = scheduler(now, 2, 8);
    let mut config = SiteConfig::default();
    let spare = PoolId::new("spare").expect("pool");
    for pool in [pool(), spare] {
        config.pools.insert(pool, PoolConfig::default());
    }
    scheduler.set_config(&config);
    for number in 0..2 {
        observe(&mut scheduler, now, entry(number, 8));
    }
    let lasting = StepSpec {
        is_long_running: true,
        max_per_worker: Some(1),
        ..step(2, 2, 0)
    };
    scheduler.submit(now, now, record(1, vec![lasting]), None);
    let started = start_all(&mut scheduler, now);
    assert_eq!(started.len(), 2);
    (scheduler, started)
}

/// Entry of another worker on the instance of worker 0.
fn other_entry(pool: &str, born: u64) -> WorkerEntry {
    WorkerEntry {
        id: worker_id(9),
        instance: Some(instance_id(0)),
        pool: PoolId::new(pool).expect("pool"),
        incarnation: Some(UnixMillis::new(born)),
        ..entry(9, 8)
    }
}

/// Lets the leader decide for 3.5 s, which is longer than suspects wait and shorter than a lease, or until it starts a
/// task; the workers that are named answer their polls, the others do not. Returns the starts.
fn run_on(
    scheduler: &mut PoolScheduler,
    from: Instant,
    started: &[StartCommand],
    answering: &[usize],
) -> Vec<StartCommand> {
    for pass in 1..=35 {
        let time = from + MS * (pass * 100);
        let commands = scheduler.decide(time, WALL, true);
        let again = starts(commands.clone());
        if !again.is_empty() {
            return again;
        }
        for command in commands {
            let PoolCommand::Poll(poll) = command else {
                continue;
            };
            let id = poll.target.worker;
            if !answering.iter().any(|number| worker_id(*number) == id) {
                scheduler.handle_poll_error(time, &id, &PollError::NoAnswer("reset".into()));
                continue;
            }
            let own = started.iter().filter(|start| start.target.worker == id);
            let report = WorkerReport {
                clock_ms: 5_000,
                incarnation: Some(UnixMillis::new(1)),
                running: own.map(running_row).collect(),
                ended: ListedRows::default(),
            };
            scheduler.handle_poll_report(time, &id, time, report);
        }
    }
    Vec::new()
}

/// Guards against running tasks twice: an entry of another writer names the instance of a worker that goes on
/// answering, and its runs counted as lost.
#[test]
fn runs_of_an_answering_worker_are_not_lost_by_an_entry() {
    for (pool, born) in [("disk-monitor", 2), ("pool-a", 2), ("spare", u64::MAX)] {
        let mut now = Instant::now();
        let (mut scheduler, started) = busy_pool(now);
        observe(&mut scheduler, now, entry(2, 8));
        // Older runs are no suspects, whose tasks would wait before they start again.
        for _ in 0..4 {
            run_on(&mut scheduler, now, &started, &[0, 1, 2]);
            now += MS * 3_500;
        }
        observe(&mut scheduler, now, other_entry(pool, born));
        let again = run_on(&mut scheduler, now, &started, &[0, 1, 2]);
        assert_eq!(again, Vec::new(), "entry of {pool}, born {born}");
    }
}

/// Guards against waiting for the lease of a worker whose instance runs another one: it is known to have ended once it
/// does not answer either.
#[test]
fn runs_of_a_replaced_worker_that_does_not_answer_are_lost_at_once() {
    let now = Instant::now();
    let (mut scheduler, started) = busy_pool(now);
    observe(&mut scheduler, now, entry(2, 8));
    run_on(&mut scheduler, now, &started, &[0, 1, 2]);
    let later = now + MS * 3_500;
    observe(&mut scheduler, later, other_entry("spare", 2));
    let again = run_on(&mut scheduler, later, &started, &[1, 2]);
    assert_eq!(again.len(), 1, "the task of worker 0 starts on worker 2");
}

/// Guards against an entry of an unknown service that ends a run when the worker is merely out of reach.
#[test]
fn entry_of_an_unknown_pool_proves_nothing() {
    let now = Instant::now();
    let (mut scheduler, started) = busy_pool(now);
    observe(&mut scheduler, now, entry(2, 8));
    run_on(&mut scheduler, now, &started, &[0, 1, 2]);
    let later = now + MS * 3_500;
    observe(&mut scheduler, later, other_entry("disk-monitor", 2));
    let again = run_on(&mut scheduler, later, &started, &[1, 2]);
    assert_eq!(again, Vec::new(), "the lease of worker 0 is in force");
}

/// Guards against an entry that hides every later process on the instance, because its start lies in the future.
#[test]
fn entry_that_is_gone_does_not_hide_the_next_process() {
    let now = Instant::now();
    let (mut scheduler, started) = busy_pool(now);
    observe(&mut scheduler, now, entry(2, 8));
    run_on(&mut scheduler, now, &started, &[0, 1, 2]);
    let odd = other_entry("spare", u64::MAX);
    observe(&mut scheduler, now, odd.clone());
    scheduler.remove_worker(&odd.id);
    let later = now + MS * 3_500;
    let next = WorkerEntry {
        id: worker_id(3),
        ..other_entry("spare", 2)
    };
    observe(&mut scheduler, later, next);
    let again = run_on(&mut scheduler, later, &started, &[1, 2]);
    assert_eq!(again.len(), 1, "the task of worker 0 starts on worker 2");
}
