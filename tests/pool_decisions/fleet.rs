//! Tests of decisions that concern several pools: allowances, maintenance waves and pool sizes.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use figloft::dispatch::allowance_split::{self, PoolDemand};
use figloft::dispatch::fleet_planner::{FleetCommand, FleetPlanner};
use figloft::dispatch::pool_plan::{NextStart, PoolPlan, PoolReport, WorkerUsage};
use figloft::dispatch::pool_size::{PoolSizer, SizingInput};
use figloft::dispatch::site_config::{OrganisationConfig, PoolConfig, SiteConfig};
use figloft::dispatch::wave_plan::{
    InstanceEntry, InstanceOutcome, InstanceState, WavePlan, WaveProgress, WaveRequest,
};
use figloft::model::amount::{MemoryMib, MilliCores};
use figloft::model::id::{InstanceId, OrganisationId, PoolId, WorkerId, ZoneId};
use figloft::model::resource::ResourceSet;
use proptest::prelude::{ProptestConfig, any, prop_assert, proptest};

static NONE_RESERVED: BTreeSet<InstanceId> = BTreeSet::new();
static NONE_CLOSED: BTreeSet<ZoneId> = BTreeSet::new();

/// Sizing input with a spare pool and no instance reserved by a wave.
fn sizing_input<'a>(
    pools: &'a [PoolId],
    spare: &'a PoolId,
    reports: &'a BTreeMap<PoolId, PoolReport>,
    instances: &'a BTreeMap<InstanceId, InstanceEntry>,
) -> SizingInput<'a> {
    SizingInput {
        pools,
        spare: Some(spare),
        reports,
        instances,
        reserved: &NONE_RESERVED,
        closed_zones: &NONE_CLOSED,
    }
}

fn pool_id(name: &str) -> PoolId {
    PoolId::new(name).expect("pool")
}

fn instance_id(number: usize) -> InstanceId {
    InstanceId::new(format!("m-{number}")).expect("instance")
}

fn instance(pool: &str, number: usize, state: InstanceState) -> (InstanceId, InstanceEntry) {
    let entry = InstanceEntry {
        pool: pool_id(pool),
        state,
        worker: Some(WorkerId::new(format!("i-{number}")).expect("worker")),
        zone: None,
    };
    (instance_id(number), entry)
}

/// Processor capacity in thousandths of a core, without memory.
fn cores(millicores: u64) -> ResourceSet {
    ResourceSet::new(MilliCores::new(millicores), MemoryMib::default())
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(256))]

    /// Guards against exceeding a limit while pools have not confirmed lower allowances: the sum of what the
    /// pools may use, under their old ceilings or the new allowances, stays within the limit.
    #[test]
    fn allowances_never_exceed_the_limit(
        limit in 1_u64..1_000_000,
        parts in proptest::collection::vec((0_u64..1_000, any::<u32>(), any::<u32>()), 1..9),
    ) {
        let whole: u64 = parts.iter().map(|(part, ..)| part).sum();
        let demands: BTreeMap<PoolId, PoolDemand> = parts
            .iter()
            .enumerate()
            .map(|(number, (part, used, wanted))| {
                let ceiling = limit * part / whole.max(1);
                let used = u64::from(*used) % (ceiling + 1);
                let next = NextStart { demand: cores(u64::from(*wanted) / 3 + 1), ..NextStart::default() };
                let demand = PoolDemand {
                    ceiling: cores(ceiling),
                    allowed: cores(ceiling),
                    used: cores(used),
                    wanted: cores(u64::from(*wanted)),
                    next_start: (*wanted > 0).then_some(next),
                    ..PoolDemand::default()
                };
                (pool_id(&format!("pool-{number}")), demand)
            })
            .collect();
        let order: Vec<&PoolId> = demands.keys().collect();
        for order in [order.as_slice(), &[]] {
            let split = allowance_split::split(&cores(limit), &demands, order).allowances;
            let ceilings = demands.iter().map(|(pool, demand)| demand.ceiling.cores.max(split[pool].cores));
            let most: u64 = ceilings.map(MilliCores::get).sum();
            prop_assert!(most <= limit, "{most} of {limit}");
        }
    }
}

/// Guards against exceeding the number of instances that may be down: a killed leader had requested
/// maintenance without storing it, and the next leader started one too many.
#[test]
fn unstored_maintenance_counts_as_down() {
    let now = Instant::now();
    let request = WaveRequest {
        instances: (0..4).map(instance_id).collect(),
        duration: Duration::from_secs(20),
        max_down: 2,
    };
    let mut wave = WavePlan::new(now, request, WaveProgress::default());
    let instances: BTreeMap<_, _> = [
        instance("pool-a", 0, InstanceState::Maintenance),
        instance("pool-a", 1, InstanceState::Up),
        instance("pool-a", 2, InstanceState::Up),
        instance("pool-a", 3, InstanceState::Up),
    ]
    .into();
    wave.set_instances(now, &instances);
    wave.choose_evacuations(now, &instances, &BTreeMap::new(), &BTreeSet::new());
    assert_eq!(wave.take_ready(now, &instances, |_| true).len(), 1);
}

fn report(workers: std::ops::Range<usize>, used: u64, inflow: u64) -> PoolReport {
    let cores = |cores: u64| ResourceSet::new(MilliCores::new(cores * 1_000), MemoryMib::new(cores * 100));
    let usage = WorkerUsage {
        is_usable: true,
        ..WorkerUsage::default()
    };
    PoolReport {
        capacity: cores(32 * workers.len() as u64),
        workers: workers
            .map(|number| {
                (
                    WorkerId::new(format!("i-{number}")).expect("worker"),
                    usage.clone(),
                )
            })
            .collect(),
        used: cores(used),
        inflow: cores(inflow),
        ..PoolReport::default()
    }
}

/// At the start of a load peak, submissions need five times the resources in use. The pool gets spare
/// instances at once, while its queue is still empty. A pool of fixed size would get none.
#[test]
fn spare_instances_move_at_the_start_of_a_load_peak() {
    let now = Instant::now();
    let instances: BTreeMap<_, _> = (0..4)
        .map(|number| instance("pool-a", number, InstanceState::Up))
        .chain((4..24).map(|number| instance("spare", number, InstanceState::Up)))
        .collect();
    let reports = BTreeMap::from([(pool_id("pool-a"), report(0..4, 60, 400))]);
    let (pools, spare) = ([pool_id("pool-a")], pool_id("spare"));
    let input = sizing_input(&pools, &spare, &reports, &instances);
    let moves = PoolSizer::default().decide(now, input, |_| false);
    assert!(moves.iter().all(|planned| planned.to == pool_id("pool-a")));
    assert!(
        (9..=13).contains(&moves.len()),
        "{} moves for 400 cores",
        moves.len()
    );
}

/// Guards against pools that shrink in every gap between two jobs: instances are evacuated only after the
/// demand has been low for a while.
#[test]
fn instances_are_released_only_after_low_demand() {
    let now = Instant::now();
    let instances: BTreeMap<_, _> = (0..8)
        .map(|number| instance("pool-a", number, InstanceState::Up))
        .collect();
    let reports = BTreeMap::from([(pool_id("pool-a"), report(0..8, 20, 20))]);
    let (pools, spare) = ([pool_id("pool-a")], pool_id("spare"));
    let input = sizing_input(&pools, &spare, &reports, &instances);
    let mut sizer = PoolSizer::default();
    sizer.decide(now, input, |_| false);
    assert!(sizer.evacuating().is_empty());
    sizer.decide(now + Duration::from_secs(2), input, |_| false);
    assert_eq!(sizer.evacuating().len(), 6);
}

/// Guards against idle pools that keep their instances while another pool is at its load peak and none is
/// spare: in a full run a pool that needed 21 workers had 8, while 27 workers of other pools were
/// idle.
#[test]
fn idle_pools_release_instances_to_a_pool_at_its_peak() {
    let now = Instant::now();
    let instances: BTreeMap<_, _> = (0..4)
        .map(|number| instance("pool-a", number, InstanceState::Up))
        .chain((4..24).map(|number| instance("pool-b", number, InstanceState::Up)))
        .collect();
    let reports = BTreeMap::from([
        (pool_id("pool-a"), report(0..4, 128, 300)),
        (pool_id("pool-b"), report(4..24, 0, 0)),
    ]);
    let (pools, spare) = ([pool_id("pool-a"), pool_id("pool-b")], pool_id("spare"));
    let input = sizing_input(&pools, &spare, &reports, &instances);
    let mut sizer = PoolSizer::default();
    sizer.decide(now, input, |_| false);
    // 300 cores need 10 workers of 32 cores; the pool has 4.
    assert_eq!(sizer.evacuating().len(), 6);
    let moves = sizer.decide(now, input, |_| true);
    assert!(moves.iter().all(|planned| planned.to == pool_id("pool-a")));
    assert_eq!(moves.len(), 6);
}

fn site_config(pools: &[&str]) -> SiteConfig {
    let mut config = SiteConfig::default();
    for pool in pools {
        config.pools.insert(pool_id(pool), PoolConfig::default());
    }
    let spare = PoolConfig {
        is_spare: true,
        ..PoolConfig::default()
    };
    config.pools.insert(pool_id("spare"), spare);
    config
}

fn published(commands: &[FleetCommand], pool: &str) -> Option<PoolPlan> {
    commands.iter().rev().find_map(|command| match command {
        FleetCommand::PublishPlan(of, plan) if *of == pool_id(pool) => Some(plan.clone()),
        _ => None,
    })
}

/// Guards against plans that cancel the evacuation of workers whose instance was moved, while their discovery
/// entries still exist. During a day of low load the pool sent 1,528 start commands to such workers
/// and counted 170 of them as capacity.
#[test]
fn workers_of_moved_instances_stay_evacuating_until_they_are_unlisted() {
    let now = Instant::now();
    let mut planner = FleetPlanner::new();
    planner.set_config(&site_config(&["pool-a"]));
    let up = (0..4).map(|number| instance("pool-a", number, InstanceState::Up));
    planner.set_instances(now, up.collect());
    let mut idle = report(0..4, 0, 0);
    planner.set_report(pool_id("pool-a"), report(0..4, 100, 100));
    planner.decide(now);
    planner.set_report(pool_id("pool-a"), idle.clone());
    planner.decide(now);
    let now = now + Duration::from_secs(3);
    let plan = published(&planner.decide(now), "pool-a").expect("a plan that evacuates workers");
    assert!(!plan.evacuating.is_empty());
    idle.plan = plan.version;
    for worker in &plan.evacuating {
        let usage = idle.workers.get_mut(worker).expect("worker");
        usage.is_usable = false;
        usage.is_evacuating = true;
    }
    planner.set_report(pool_id("pool-a"), idle.clone());
    let moved: Vec<InstanceId> = planner
        .decide(now)
        .into_iter()
        .filter_map(|command| match command {
            FleetCommand::MoveInstance(instance, _) => Some(instance),
            _ => None,
        })
        .collect();
    assert_eq!(moved.len(), plan.evacuating.len());
    for instance in &moved {
        planner.handle_move_outcome(now, instance, &pool_id("spare"), InstanceOutcome::Done);
    }
    let next_plan = published(&planner.decide(now), "pool-a");
    assert!(next_plan.is_none_or(|next_plan| next_plan.evacuating == plan.evacuating));
    // A worker that is listed as up again may get work.
    let mut returned = planner.clone();
    let later = now + Duration::from_secs(3);
    returned.set_report(pool_id("pool-a"), report(0..4, 120, 120));
    let up = (0..4).map(|number| instance("pool-a", number, InstanceState::Up));
    returned.set_instances(later, up.collect());
    let next_plan = published(&returned.decide(later), "pool-a").expect("a plan without them");
    assert!(next_plan.evacuating.is_empty());
    // Once the report of the pool no longer contains the workers, neither does the plan.
    idle.workers.retain(|worker, _| !plan.evacuating.contains(worker));
    planner.set_report(pool_id("pool-a"), idle);
    let last = published(&planner.decide(now), "pool-a").expect("a plan without them");
    assert!(last.evacuating.is_empty());
}

/// Guards against moves that are requested twice: with a slow machine API, each decision moved as many
/// instances again while the first moves were still in flight.
#[test]
fn moves_in_flight_count_as_capacity() {
    let now = Instant::now();
    let instances: BTreeMap<_, _> = (0..4)
        .map(|number| instance("pool-a", number, InstanceState::Up))
        .chain((4..64).map(|number| instance("spare", number, InstanceState::Up)))
        .collect();
    let reports = BTreeMap::from([(pool_id("pool-a"), report(0..4, 60, 400))]);
    let (pools, spare) = ([pool_id("pool-a")], pool_id("spare"));
    let input = sizing_input(&pools, &spare, &reports, &instances);
    let mut sizer = PoolSizer::default();
    assert!(!sizer.decide(now, input, |_| false).is_empty());
    assert!(sizer.decide(now, input, |_| false).is_empty());
}

/// Guards against a surplus that each decision evacuates again until the pool reports the evacuation. During
/// a day of low load 130 of 180 workers were evacuated while 100 had work, and made available again later.
#[test]
fn evacuating_workers_are_not_surplus_again() {
    let now = Instant::now();
    let instances: BTreeMap<_, _> = (0..20)
        .map(|number| instance("pool-a", number, InstanceState::Up))
        .collect();
    let busy = report(0..20, 320, 320);
    let (pools, spare) = ([pool_id("pool-a")], pool_id("spare"));
    let reports = BTreeMap::from([(pool_id("pool-a"), busy)]);
    let input = sizing_input(&pools, &spare, &reports, &instances);
    let mut sizer = PoolSizer::default();
    sizer.decide(now, input, |_| false);
    for step in 0..5 {
        sizer.decide(now + Duration::from_millis(2_000 + 40 * step), input, |_| false);
    }
    // 320 cores need 11 of 20 workers.
    assert_eq!(sizer.evacuating().len(), 9);
}

/// Guards against spare instances that cannot be moved for seconds after they reached the spare pool: at the
/// start of a load peak this held for 145 of 200 spare instances, and jobs waited for 8 s.
#[test]
fn spare_instances_can_be_moved_once_they_are_up() {
    let now = Instant::now();
    let pools = [pool_id("pool-a"), pool_id("pool-b")];
    let spare = pool_id("spare");
    let in_pools: BTreeMap<_, _> = (0..2)
        .map(|number| instance("pool-b", number, InstanceState::Up))
        .chain((2..20).map(|number| instance("pool-a", number, InstanceState::Up)))
        .collect();
    let busy = BTreeMap::from([
        (pools[0].clone(), report(2..20, 320, 320)),
        (pools[1].clone(), report(0..2, 40, 40)),
    ]);
    let idle = BTreeMap::from([
        (pools[0].clone(), report(2..20, 0, 0)),
        (pools[1].clone(), report(0..2, 40, 40)),
    ]);
    let mut sizer = PoolSizer::default();
    sizer.decide(now, sizing_input(&pools, &spare, &busy, &in_pools), |_| false);
    sizer.decide(now, sizing_input(&pools, &spare, &idle, &in_pools), |_| false);
    let now = now + Duration::from_secs(2);
    let released = sizer.decide(now, sizing_input(&pools, &spare, &idle, &in_pools), |_| true);
    assert!(released.len() >= 10 && released.iter().all(|planned| planned.to == spare));
    let mut in_spare = in_pools.clone();
    for planned in &released {
        sizer.handle_move_outcome(now, &planned.instance, &planned.to, InstanceOutcome::Done);
        if let Some(entry) = in_spare.get_mut(&planned.instance) {
            entry.pool = spare.clone();
        }
    }
    let peak = BTreeMap::from([
        (pools[0].clone(), report(2..4, 0, 0)),
        (pools[1].clone(), report(0..2, 64, 400)),
    ]);
    let now = now + Duration::from_millis(1_600);
    let moved = sizer.decide(now, sizing_input(&pools, &spare, &peak, &in_spare), |_| false);
    assert!(moved.len() >= 10, "{} moves", moved.len());
}

fn usages_with_long_running(
    long_running: std::ops::Range<usize>,
    busy: std::ops::Range<usize>,
) -> BTreeMap<WorkerId, WorkerUsage> {
    let usage = |long_running| WorkerUsage {
        runs: 1,
        long_running,
        is_usable: true,
        ..WorkerUsage::default()
    };
    let worker = |number: usize| WorkerId::new(format!("i-{number}")).expect("worker");
    let with_long_running = long_running.map(|number| (worker(number), usage(1)));
    with_long_running
        .chain(busy.map(|number| (worker(number), usage(0))))
        .collect()
}

/// Guards against waves that end late: instances with long-running tasks came last, one every 1.8 s. Also
/// guards against evacuating all busy instances at once in the middle of a load peak.
#[test]
fn long_running_instances_start_early_and_busy_ones_are_spread() {
    let now = Instant::now();
    let request = WaveRequest {
        instances: (0..60).map(instance_id).collect(),
        duration: Duration::from_secs(25),
        max_down: 40,
    };
    let instances: BTreeMap<_, _> = (0..60)
        .map(|number| instance("pool-a", number, InstanceState::Up))
        .collect();
    let usages = usages_with_long_running(0..20, 20..60);
    let mut wave = WavePlan::new(now, request, WaveProgress::default());
    wave.choose_evacuations(now, &instances, &usages, &BTreeSet::new());
    let is_long_running = |id: &&InstanceId| (0..20).any(|number| **id == instance_id(number));
    let long_running = wave.evacuating().iter().filter(is_long_running).count();
    let busy = wave.evacuating().len() - long_running;
    assert_eq!(long_running, 2, "long-running tasks of a step move one at a time");
    // The 60 instances are spread over rounds of 4 s within 15 s.
    assert!((10..=20).contains(&busy), "{busy} busy instances at once");
}

/// Guards against a waiting task that stays outside its organisation's limit although much of the limit is free: the
/// backlog of another pool took the allowance in proportion to its size, and rounding took the rest.
#[test]
fn small_demand_is_granted_beside_a_large_backlog() {
    let limit = 307_200;
    for (wanted, backlog) in [(25_600, 10_000_000), (1, 300_000), (40_000, 247_200)] {
        let share = |used, wanted| PoolDemand {
            ceiling: cores(used),
            used: cores(used),
            wanted: cores(wanted),
            ..PoolDemand::default()
        };
        let demands = BTreeMap::from([
            (pool_id("pool-a"), share(0, wanted)),
            (pool_id("pool-b"), share(60_000, backlog)),
            (pool_id("pool-c"), share(0, 0)),
        ]);
        let split = allowance_split::split(&cores(limit), &demands, &[]).allowances;
        let granted = split[&pool_id("pool-a")].cores.get();
        assert!(granted >= wanted, "{granted} of {wanted} beside {backlog}");
    }
}

/// Guards against an allowance that a pool keeps because it never confirms the newest plan: while the usage of a pool
/// changes all the time, its reports name the plan before the newest one, and what an early plan allowed counted
/// for ever.
#[test]
fn allowance_falls_while_plans_change_all_the_time() {
    let mut now = Instant::now();
    let mut config = site_config(&["pool-a", "pool-b"]);
    let organisation = OrganisationId::new("org").expect("organisation");
    let cores = |cores: u64| ResourceSet::new(MilliCores::new(cores * 1_000), MemoryMib::new(cores * 1_000));
    let limited = OrganisationConfig {
        limit: cores(64),
        ..OrganisationConfig::default()
    };
    config.organisations.insert(organisation.clone(), limited);
    let mut planner = FleetPlanner::new();
    planner.set_config(&config);
    let mut plans: BTreeMap<&str, Vec<PoolPlan>> = BTreeMap::new();
    for round in 0..60_u64 {
        let (used, wanted) = if round < 10 {
            ([0, 30 + round], [0, 20])
        } else {
            ([0, 10 + round % 7], [20, 0])
        };
        for (number, pool) in ["pool-a", "pool-b"].into_iter().enumerate() {
            let known = plans.get(pool).map_or(&[][..], Vec::as_slice);
            let confirmed = known.len().checked_sub(2).map(|before| known[before].version);
            let report = PoolReport {
                plan: confirmed.unwrap_or_default(),
                usage: [(organisation.clone(), cores(used[number]))].into(),
                wanted: [(organisation.clone(), cores(wanted[number]))].into(),
                ..PoolReport::default()
            };
            planner.set_report(pool_id(pool), report);
        }
        let commands = planner.decide(now);
        for pool in ["pool-a", "pool-b"] {
            if let Some(plan) = published(&commands, pool) {
                plans.entry(pool).or_default().push(plan);
            }
        }
        now += Duration::from_millis(100);
    }
    let granted = |pool: &str| {
        let newest = plans[pool].last().expect("plan");
        newest.allowances[&organisation].cores.get()
    };
    let used_under = plans["pool-b"].iter().rev().take(2);
    let most = used_under
        .map(|plan| plan.allowances[&organisation].cores.get())
        .max();
    assert!(granted("pool-a") >= 20_000, "{}", granted("pool-a"));
    assert!(
        granted("pool-a") + most.unwrap_or(0) <= 64_000,
        "within the limit"
    );
}

/// Guards against a pool that lacks workers for good: no instance was free when the list of instances was read, and
/// the list is not read again.
#[test]
fn list_of_instances_is_read_while_a_pool_lacks_workers() {
    let now = Instant::now();
    let mut planner = FleetPlanner::new();
    let spare = PoolConfig {
        is_spare: true,
        ..PoolConfig::default()
    };
    let pools = [
        (pool_id("pool-a"), PoolConfig::default()),
        (pool_id("spare"), spare),
    ];
    planner.set_config(&SiteConfig {
        pools: pools.into(),
        ..SiteConfig::default()
    });
    planner.set_instances(
        now,
        [
            instance("pool-a", 0, InstanceState::Up),
            instance("spare", 1, InstanceState::Down),
        ]
        .into(),
    );
    planner.set_report(pool_id("pool-a"), report(0..1, 64, 0));
    planner.decide(now);
    assert!(planner.needs_instance_list());
}
