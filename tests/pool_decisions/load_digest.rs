//! Digest of a pool's load, on which submissions are admitted.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use figloft::dispatch::fleet_planner::FleetPlanner;
use figloft::dispatch::job_record::JobRecord;
use figloft::dispatch::load_digest::LoadDigest;
use figloft::dispatch::pool_plan::{PoolReport, WorkerUsage};
use figloft::dispatch::pool_scheduler::{FlushBatch, PoolScheduler};
use figloft::dispatch::site_config::{OrganisationConfig, PoolConfig, SiteConfig};
use figloft::dispatch::takeover::TakeoverState;
use figloft::dispatch::wave_plan::{InstanceEntry, InstanceState};
use figloft::model::amount::{MemoryMib, MilliCores};
use figloft::model::id::{LeaseId, OrganisationId, PoolId};
use figloft::model::resource::ResourceSet;
use figloft::node::flush_write::{self, LeaderRecords};

use crate::setup::{WALL, empty_scheduler, instance_id, pool, record, scheduler, start_all, step, worker_id};

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

/// Guards against refusals by a pool that can still get instances: the spare ones, and those that other pools do not
/// need, count once each, also while they move.
#[test]
fn growth_counts_the_instances_that_no_other_pool_needs() {
    let now = Instant::now();
    let pools = ["pool-a", "pool-b", "spare"].map(|name| PoolId::new(name).expect("pool"));
    let config = SiteConfig {
        pools: BTreeMap::from([
            (pools[0].clone(), PoolConfig::default()),
            (pools[1].clone(), PoolConfig::default()),
            (
                pools[2].clone(),
                PoolConfig {
                    is_spare: true,
                    ..PoolConfig::default()
                },
            ),
        ]),
        ..SiteConfig::default()
    };
    let instance = |number: usize| {
        let pool = match number {
            0..4 => &pools[0],
            4..10 => &pools[1],
            _ => &pools[2],
        };
        let entry = InstanceEntry {
            pool: pool.clone(),
            state: InstanceState::Up,
            worker: Some(worker_id(number)),
            zone: None,
        };
        (instance_id(number), entry)
    };
    let cores = |cores: u64| ResourceSet::new(MilliCores::new(cores * 1_000), MemoryMib::new(cores));
    let report = |workers: std::ops::Range<usize>, inflow| {
        let usage = WorkerUsage {
            is_usable: true,
            ..WorkerUsage::default()
        };
        PoolReport {
            capacity: cores(10 * workers.len() as u64),
            workers: workers.map(|number| (worker_id(number), usage.clone())).collect(),
            inflow: cores(inflow),
            ..PoolReport::default()
        }
    };
    let mut planner = FleetPlanner::new();
    planner.set_config(&config);
    planner.set_instances(now, (0..15).map(instance).collect());
    planner.set_report(pools[0].clone(), report(0..4, 1_000));
    planner.set_report(pools[1].clone(), report(4..10, 10));
    for _ in 0..2 {
        planner.decide(now);
    }
    assert!(planner.has_shortage());
    assert_eq!(
        planner.growth()[&pools[0]],
        4 + 5 + 4,
        "pool-b keeps two of its six"
    );
}

/// Guards against a digest that outlives the leadership of its writer.
#[test]
fn digest_is_bound_to_the_lease() {
    let digest = (LeaseId::new(7), LoadDigest::default());
    let records = LeaderRecords {
        digest: Some(&digest),
        ..LeaderRecords::default()
    };
    let write = flush_write::encode(&pool(), &FlushBatch::default(), &records, None).expect("write");
    assert_eq!(write.puts.len(), 1);
    assert_eq!(
        (&*write.puts[0].key, write.puts[0].lease),
        ("load/pool-a", Some(LeaseId::new(7)))
    );
}
