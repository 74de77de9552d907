//! Zones under evacuation: pool sizes, moves and maintenance waves.

use std::collections::{BTreeMap, BTreeSet};
use std::ops::Range;
use std::time::{Duration, Instant};

use figloft::dispatch::fleet_planner::{FleetCommand, FleetPlanner};
use figloft::dispatch::pool_plan::{PoolReport, WorkerUsage};
use figloft::dispatch::site_config::{PoolConfig, SiteConfig};
use figloft::dispatch::wave_plan::{
    InstanceEntry, InstanceOutcome, InstanceState, WavePlan, WaveProgress, WaveRequest,
};
use figloft::model::amount::{MemoryMib, MilliCores};
use figloft::model::id::{InstanceId, PoolId, WorkerId, ZoneId};
use figloft::model::resource::ResourceSet;

use crate::setup::{instance_id, worker_id};

const CORES: u64 = 32;

fn pool_id(name: &str) -> PoolId {
    PoolId::new(name).expect("pool")
}

fn zone(number: usize) -> ZoneId {
    ZoneId::new(format!("zone-{number}")).expect("zone")
}

/// Instances of a pool, in two zones by turns: those with even numbers in zone 0.
fn instances(pool: &str, numbers: Range<usize>) -> impl Iterator<Item = (InstanceId, InstanceEntry)> {
    let pool = pool_id(pool);
    numbers.map(move |number| {
        let entry = InstanceEntry {
            pool: pool.clone(),
            state: InstanceState::Up,
            worker: Some(worker_id(number)),
            zone: Some(zone(number % 2)),
        };
        (instance_id(number), entry)
    })
}

/// Report with usable workers that have one run each, and the cores in use.
fn report(workers: Range<usize>, used: u64) -> PoolReport {
    let cores = |cores: u64| ResourceSet::new(MilliCores::new(cores * 1_000), MemoryMib::new(cores * 100));
    let usage = WorkerUsage {
        runs: 1,
        is_usable: true,
        ..WorkerUsage::default()
    };
    PoolReport {
        capacity: cores(CORES * workers.len() as u64),
        workers: workers.map(|number| (worker_id(number), usage.clone())).collect(),
        used: cores(used),
        ..PoolReport::default()
    }
}

/// Planner of pool-a with instances 0 to 7, of which 200 of 256 cores are in use, and the spare instances 8 to 19.
fn planner(now: Instant) -> FleetPlanner {
    let mut config = SiteConfig::default();
    config.pools.insert(pool_id("pool-a"), PoolConfig::default());
    let spare = PoolConfig {
        is_spare: true,
        ..PoolConfig::default()
    };
    config.pools.insert(pool_id("spare"), spare);
    let mut planner = FleetPlanner::new();
    planner.set_config(&config);
    planner.set_instances(
        now,
        instances("pool-a", 0..8)
            .chain(instances("spare", 8..20))
            .collect(),
    );
    planner.set_report(pool_id("pool-a"), report(0..8, 200));
    planner
}

fn moves(planner: &mut FleetPlanner, now: Instant) -> BTreeMap<InstanceId, PoolId> {
    let commands = planner.decide(now).into_iter();
    let moves = commands.filter_map(|command| match command {
        FleetCommand::MoveInstance(instance, pool) => Some((instance, pool)),
        _ => None,
    });
    moves.collect()
}

/// Guards against a pool that stays short until its leader's next report, against spare instances of the zone that are
/// moved to it, and against moves that are requested again.
#[test]
fn spare_instances_of_other_zones_replace_the_zone_at_once() {
    let now = Instant::now();
    let mut planner = planner(now);
    assert!(moves(&mut planner, now).is_empty());
    planner.set_closed_zones(&[zone(0)].into());
    let moved = moves(&mut planner, now);
    // 200 cores need 7 workers of 32 cores; four are left.
    assert_eq!(moved.len(), 3);
    assert!(moved.values().all(|to| *to == pool_id("pool-a")));
    assert!(
        moved
            .keys()
            .all(|id| (8..20).any(|number| number % 2 == 1 && *id == instance_id(number)))
    );
    assert!(moves(&mut planner, now).is_empty());
}

/// Guards against instances that do not count once the evacuation has ended, so that others are moved for them.
#[test]
fn instances_count_again_at_the_end() {
    let now = Instant::now();
    let mut planner = planner(now);
    planner.set_closed_zones(&[zone(0)].into());
    planner.decide(now);
    planner.set_closed_zones(&BTreeSet::new());
    planner.set_report(pool_id("pool-a"), report(0..8, 300));
    planner.decide(now);
    let need = planner.needs()[&pool_id("pool-a")];
    assert_eq!((need.target, need.available), (10, 11), "8 workers and 3 moves");
}

/// Guards against a move from the zone that was in flight, or accepted, when the evacuation was requested and counts as a
/// replacement.
#[test]
fn moves_from_the_zone_are_no_replacement() {
    for is_accepted in [false, true] {
        let now = Instant::now();
        let mut planner = planner(now);
        planner.set_report(pool_id("pool-a"), report(0..8, 300));
        let moved = moves(&mut planner, now);
        assert!(moved.keys().eq([10, 11].map(instance_id).iter()), "{moved:?}");
        if is_accepted {
            planner.handle_move_outcome(now, &instance_id(10), &pool_id("pool-a"), InstanceOutcome::Done);
        }
        planner.set_closed_zones(&[zone(0)].into());
        // 10 workers are needed; four and the instance 11 are in the other zone.
        assert_eq!(moves(&mut planner, now).len(), 5, "{is_accepted}");
    }
}

/// Guards against moves that lead nowhere, and against a planner that fails, while all zones are under evacuation.
#[test]
fn nothing_moves_while_all_zones_are_under_evacuation() {
    let now = Instant::now();
    let mut planner = planner(now);
    planner.set_closed_zones(&[zone(0), zone(1)].into());
    for second in 0..5 {
        assert!(moves(&mut planner, now + Duration::from_secs(second)).is_empty());
    }
    assert_eq!(planner.needs()[&pool_id("pool-a")].available, 0);
}

/// Guards against an emptied instance of the zone that is moved to a pool in need.
#[test]
fn empty_instances_of_the_zone_move_to_the_spare_pool_only() {
    let now = Instant::now();
    let mut planner = planner(now);
    planner.decide(now);
    let mut idle = report(0..8, 0);
    planner.set_report(pool_id("pool-a"), idle.clone());
    planner.decide(now);
    let now = now + Duration::from_secs(3);
    planner.decide(now);
    for usage in idle.workers.values_mut() {
        *usage = WorkerUsage {
            is_evacuating: true,
            ..WorkerUsage::default()
        };
    }
    idle.spread = 20;
    planner.set_report(pool_id("pool-a"), idle);
    planner.set_closed_zones(&[zone(0)].into());
    let moved = moves(&mut planner, now);
    assert!(moved.contains_key(&instance_id(0)), "{moved:?}");
    for number in (0..20).filter(|number| number % 2 == 0) {
        assert_ne!(
            moved.get(&instance_id(number)),
            Some(&pool_id("pool-a")),
            "{number}"
        );
    }
}

/// Guards against a wave that waits for busy instances of the zone while others could be maintained, that ends runs
/// there, or that leaves the empty ones out.
#[test]
fn busy_instances_of_the_zone_take_no_slot_of_a_wave() {
    let now = Instant::now();
    let request = WaveRequest {
        instances: (0..8).map(instance_id).collect(),
        duration: Duration::from_secs(1),
        max_down: 3,
    };
    let instances: BTreeMap<_, _> = instances("pool-a", 0..8).collect();
    let mut usages: BTreeMap<WorkerId, WorkerUsage> = report(0..8, 0).workers;
    let mut wave = WavePlan::new(now, request, WaveProgress::default());
    wave.choose_evacuations(now, &instances, &usages, &BTreeSet::new());
    assert!(wave.evacuating().contains(&instance_id(0)));
    let closed: BTreeSet<ZoneId> = [zone(0)].into();
    wave.choose_evacuations(now, &instances, &usages, &closed);
    let open: BTreeSet<InstanceId> = [1, 3, 5, 7].map(instance_id).into();
    assert_eq!(*wave.evacuating(), open, "one more than may be down at once");
    // Instance 2 of the zone has become empty.
    usages.insert(worker_id(2), WorkerUsage::default());
    for number in [1, 3, 5] {
        wave.handle_outcome(now, &instance_id(number), InstanceOutcome::NotApplicable);
    }
    wave.choose_evacuations(now, &instances, &usages, &closed);
    let chosen: BTreeSet<InstanceId> = [2, 7].map(instance_id).into();
    assert_eq!(*wave.evacuating(), chosen);
    assert_eq!(wave.take_ready(now, &instances, |_| true).len(), 2);
}
