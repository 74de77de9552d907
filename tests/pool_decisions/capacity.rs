//! Capacity that shrinks and grows while a worker runs, on workers that start whatever they are told to.

use std::time::{Duration, Instant};

use figloft::dispatch::command::StopOutcome;
use figloft::dispatch::pool_scheduler::PoolScheduler;
use figloft::dispatch::takeover::TakeoverState;
use figloft::dispatch::worker_report::RunOutcome;
use figloft::model::unix_time::UnixMillis;
use figloft::platform::{config, discovery};

use crate::setup::{
    WALL, empty_scheduler, entry, record, report, scheduler, start_all, starts, step, worker_id,
};

const MS: Duration = Duration::from_millis(1);

fn set_cores(scheduler: &mut PoolScheduler, now: Instant, cores: u64) {
    scheduler.set_worker(now, entry(0, cores));
}

/// Guards against starts that bring a worker over a capacity that has shrunk: runs, starts in transit and
/// runs that are being stopped all count.
#[test]
fn shrunken_worker_gets_no_start_beyond_its_capacity() {
    let now = Instant::now();
    let mut scheduler = scheduler(now, 1, 8);
    scheduler.submit(now, now, record(1, vec![step(2, 2, 1_000)]), None);
    let started = start_all(&mut scheduler, now);
    assert_eq!(started.len(), 2);
    scheduler.submit(now, now, record(2, vec![step(1, 2, 1_000)]), None);
    let in_transit = starts(scheduler.decide(now, WALL, true));
    assert_eq!(in_transit.len(), 1, "6 of 8 cores");
    set_cores(&mut scheduler, now, 6);
    scheduler.submit(now, now, record(3, vec![step(1, 1, 1_000)]), None);
    assert_eq!(starts(scheduler.decide(now + MS, WALL, true)), Vec::new());
    scheduler.cancel(&record(1, Vec::new()).id);
    scheduler.decide(now + MS, WALL, true);
    for start in &started {
        scheduler.handle_stop_outcome(now + MS, &worker_id(0), &start.run, StopOutcome::Taken);
    }
    assert_eq!(
        starts(scheduler.decide(now + MS, WALL, true)),
        Vec::new(),
        "being stopped"
    );
    set_cores(&mut scheduler, now, 7);
    assert_eq!(
        starts(scheduler.decide(now + MS, WALL, true)).len(),
        1,
        "grown again"
    );
}

/// Guards against starts beside a run whose size the leader does not know: a job that ended under the former
/// leader is still being stopped.
#[test]
fn run_of_unknown_size_keeps_its_worker_closed() {
    let now = Instant::now();
    let mut former = scheduler(now, 1, 8);
    former.submit(now, now, record(1, vec![step(1, 6, 1_000)]), None);
    let stray = start_all(&mut former, now).remove(0);
    let mut scheduler = empty_scheduler(2, TakeoverState::default());
    scheduler.set_worker(now, entry(0, 8));
    scheduler.submit(now, now, record(2, vec![step(1, 6, 1_000)]), None);
    scheduler.decide(now, WALL, true);
    report(&mut scheduler, now, 0, &[&stray], &[]);
    assert_eq!(starts(scheduler.decide(now + MS, WALL, true)), Vec::new());
    report(
        &mut scheduler,
        now + MS * 2,
        0,
        &[],
        &[(1, &stray, RunOutcome::Stopped)],
    );
    assert_eq!(starts(scheduler.decide(now + MS * 3, WALL, true)).len(), 1);
}

/// Guards against the capacity of an earlier process: its entry is read late, after the one of the present
/// process.
#[test]
fn late_entry_of_an_earlier_process_changes_nothing() {
    let now = Instant::now();
    let mut scheduler = scheduler(now, 1, 2);
    let mut present = entry(0, 2);
    present.incarnation = Some(UnixMillis::new(5));
    scheduler.set_worker(now, present);
    scheduler.set_worker(now, entry(0, 32));
    let capacity = scheduler.workers()[&worker_id(0)].entry.capacity;
    assert_eq!(capacity, entry(0, 2).capacity);
}

/// Guards against a plan that learns of a changed capacity only with the next regular report, and against a
/// pool that gets no instances because its own have no capacity left.
#[test]
fn fleet_learns_of_a_changed_capacity_at_once() {
    let now = Instant::now();
    let mut scheduler = scheduler(now, 4, 32);
    let before = scheduler.report(now);
    set_cores(&mut scheduler, now, 8);
    assert!(scheduler.report(now).is_significant_change(&before));
    for number in 0..4 {
        scheduler.set_worker(now, entry(number, 0));
    }
    scheduler.submit(now, now, record(1, vec![step(8, 4, 1_000)]), None);
    let needed = figloft::dispatch::pool_size::target_workers(&scheduler.report(now));
    assert!(needed > 4, "{needed} workers");
}

/// Guards the decoding of what workers and operators publish: capacities, instances, and whether workers
/// refuse what does not fit.
#[test]
fn capacity_is_decoded() {
    let value = br#"{"service":"pool-a","address":"10.0.0.1:80","zone":"z","state":"ready","machine":"m-1",
        "capacity":{"cpu":12500,"mem-mb":100,"gpu":1},"labels":["a","r-1"],"born":7,"sequence":1}"#;
    let decoded = discovery::decode_worker_entry("servers/i-1", value, WALL).expect("entry");
    assert_eq!(decoded.capacity.cores.get(), 12_500);
    assert_eq!(decoded.instance.expect("instance").as_str(), "m-1");
    let malformed =
        br#"{"service":"pool-a","address":"10.0.0.1:80","zone":"z","state":"ready","capacity":-1}"#;
    discovery::decode_worker_entry("servers/i-1", malformed, WALL).expect_err("malformed capacity");
    let services = br#"{"version":1,"services":[{"name":"a","enforce-capacity":true},{"name":"b"}]}"#;
    let pools = config::decode_config(services).expect("configuration").pools;
    let enforcing: Vec<bool> = pools.values().map(|pool| pool.enforces_capacity).collect();
    assert_eq!(enforcing, [true, false]);
}
