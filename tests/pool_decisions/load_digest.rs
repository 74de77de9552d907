//! Digest of a pool's load, on which submissions are admitted.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use figloft::dispatch::job_record::JobRecord;
use figloft::dispatch::load_digest::LoadDigest;
use figloft::dispatch::pool_scheduler::PoolScheduler;
use figloft::dispatch::site_config::{OrganisationConfig, SiteConfig};
use figloft::dispatch::takeover::TakeoverState;
use figloft::model::amount::{MemoryMib, MilliCores};
use figloft::model::id::OrganisationId;
use figloft::model::resource::ResourceSet;

use crate::setup::{WALL, empty_scheduler, record, scheduler, start_all, step, worker_id};

fn digest(scheduler: &PoolScheduler, now: Instant) -> LoadDigest {
    scheduler.load_digest(now, WALL).expect("digest")
}

/// All work that is on time, in core-seconds.
fn on_time(digest: &LoadDigest, priority: u32) -> u64 {
    let backlog = digest.backlog.get(&priority).copied().unwrap_or_default();
    backlog.on_time.iter().sum::<u64>() / 1_000
}

/// Guards against a digest that counts work of one job for another class: what runs and what can still meet its
/// objective counts as on time, what cannot counts as late, and what is of no use counts nowhere.
#[test]
fn work_counts_by_its_class() {
    let now = Instant::now();
    let mut scheduler = scheduler(now, 1, 8);
    scheduler.submit(now, now, record(1, vec![step(4, 2, 10_000)]), None);
    start_all(&mut scheduler, now);
    scheduler.submit(now, now, record(2, vec![step(10, 2, 10_000)]), None);
    let busy = digest(&scheduler, now);
    assert_eq!(
        (busy.workers, busy.capacity.get(), busy.used.get()),
        (1, 8_000, 8_000)
    );
    assert_eq!((busy.drain_rate, on_time(&busy, 0)), (8_000, 80 + 200));
    assert!(!busy.has_backlog());
    let late = digest(&scheduler, now + Duration::from_secs(8));
    assert_eq!((on_time(&late, 0), late.backlog[&0].late), (16, 200_000));
    assert_eq!(late.oldest_wait_ms, 8_000);
    let useless = digest(&scheduler, now + Duration::from_mins(1));
    assert!(useless.backlog.is_empty(), "{:?}", useless.backlog);
}

/// Guards against a capacity that counts workers which leave, and against refusals after a takeover, when most workers
/// have not reported yet.
#[test]
fn capacity_is_not_known_before_the_workers_have_reported() {
    let now = Instant::now();
    let former = [worker_id(0), worker_id(1)].into();
    let takeover = TakeoverState::from_former_leader(now, former, Duration::from_secs(4));
    let scheduler = empty_scheduler(2, takeover);
    assert_eq!(scheduler.load_digest(now, WALL), None);
    assert!(
        scheduler
            .load_digest(now + Duration::from_mins(1), WALL)
            .is_some()
    );
}

fn organisation() -> OrganisationId {
    OrganisationId::new("org-a").expect("organisation")
}

fn record_of(number: usize) -> JobRecord {
    let mut record = record(number, vec![step(10, 2, 10_000)]);
    record.organisation = Some(organisation());
    record
}

/// Guards against others that are refused for the backlog of an organisation at its limit, which waits for its own
/// runs and not for the pool.
#[test]
fn work_of_an_organisation_at_its_limit_does_not_count_for_others() {
    let now = Instant::now();
    let mut scheduler = scheduler(now, 2, 8);
    scheduler.submit(now, now, record_of(1), None);
    let free = digest(&scheduler, now);
    assert_eq!(on_time(&free, 0), 200);
    assert!(free.organisations.is_empty(), "no limit is set");
    let limited = OrganisationConfig {
        limit: ResourceSet::new(MilliCores::new(1_000), MemoryMib::new(1_000)),
        ..OrganisationConfig::default()
    };
    scheduler.set_config(&SiteConfig {
        organisations: BTreeMap::from([(organisation(), limited)]),
        ..SiteConfig::default()
    });
    let at_limit = digest(&scheduler, now);
    assert_eq!(on_time(&at_limit, 0), 0);
    assert_eq!(
        at_limit.organisations[&organisation()],
        BTreeMap::from([(0, 200_000)])
    );
}

/// Guards against others that are refused for work which needs certain workers.
#[test]
fn work_for_certain_workers_does_not_count() {
    let now = Instant::now();
    let mut scheduler = scheduler(now, 1, 8);
    let mut labelled = step(10, 2, 10_000);
    labelled.label = Some("rare".into());
    scheduler.submit(now, now, record(1, vec![labelled]), None);
    assert_eq!(on_time(&digest(&scheduler, now), 0), 0);
}
