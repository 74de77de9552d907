//! Tests of the limit of an organisation that several pools share: a task that fits the limit starts some time, and
//! nobody uses more than the limit.

use std::collections::BTreeSet;
use std::time::{Duration, Instant};

use figloft::dispatch::fleet_planner::{FleetCommand, FleetPlanner};
use figloft::dispatch::job_spec::StepSpec;
use figloft::dispatch::pool_plan::{PoolPlan, PoolReport};
use figloft::dispatch::pool_scheduler::PoolScheduler;
use figloft::dispatch::scheduler_timing::SchedulerTiming;
use figloft::dispatch::site_config::{OrganisationConfig, PoolConfig, SiteConfig};
use figloft::dispatch::takeover::TakeoverState;
use figloft::dispatch::worker_lease::WorkerLease;
use figloft::model::id::PlanVersion;
use figloft::model::resource::ResourceSet;
use proptest::collection::vec;
use proptest::prelude::{
    Just, ProptestConfig, Strategy, any, prop_assert, prop_assert_eq, prop_oneof, proptest,
};

use crate::limit_fleet::{LimitFleet, amounts, organisation, pool_id};
use crate::setup::{WALL, empty_scheduler, entry, pool, record, report, start_all, step, worker_id};

const SECOND: Duration = Duration::from_secs(1);

/// Step with tasks that need `demand` each.
fn tasks(count: u32, demand: ResourceSet) -> StepSpec {
    StepSpec {
        demand,
        ..step(count, 0, 2_000)
    }
}

/// Guards against a task that needs the whole limit of its organisation and never starts: allowances were rounded down
/// to 1/64 of the limit (4,000 to 3,968).
#[test]
fn task_that_needs_the_whole_limit_starts() {
    for limit in [4_000, 8_191, 63, 100] {
        let mut fleet = LimitFleet::new(2, 2, amounts(limit, 0));
        fleet.submit(0, 0, vec![tasks(1, amounts(limit, 64))], SECOND);
        fleet.run_for(5 * SECOND);
        assert!(fleet.has_started(0), "limit {limit}");
    }
}

/// Guards against large tasks in several pools that never start: what was left of the limit was divided equally, so
/// that no pool got enough for a single task (review/8).
#[test]
fn large_tasks_in_several_pools_start_in_turn() {
    for pools in [2, 3, 5] {
        let mut fleet = LimitFleet::new(pools, 2, amounts(4_000, 0));
        for pool in 0..pools {
            fleet.submit(pool, pool, vec![tasks(1, amounts(2_500, 64))], 2 * SECOND);
        }
        fleet.run_for(5 * SECOND * pools as u32);
        assert_eq!(fleet.open_jobs(), Vec::<usize>::new(), "{pools} pools");
        assert_eq!(fleet.violation, None);
    }
}

/// Guards against a waiting task that gets nothing of the limit while another pool has a backlog: what runs was covered
/// before what waits, so that a pool which replaced each run that ended kept the whole limit.
#[test]
fn backlog_of_another_pool_gives_up_a_part_of_the_limit() {
    let mut fleet = LimitFleet::new(2, 4, amounts(4_000, 0));
    fleet.submit(0, 0, vec![tasks(400, amounts(500, 64))], SECOND);
    fleet.run_for(5 * SECOND);
    fleet.submit(1, 1, vec![tasks(2, amounts(500, 64))], SECOND);
    fleet.run_for(5 * SECOND);
    assert!(fleet.has_started(1));
    assert_eq!(fleet.violation, None);
}

/// Guards against a large task that never starts because another pool has a backlog of small ones, and against a
/// backlog that starts nothing any more because large tasks follow each other.
#[test]
fn large_tasks_and_a_backlog_of_small_ones_take_turns() {
    for large in [2_500, 4_000] {
        let mut fleet = LimitFleet::new(2, 4, amounts(4_000, 0));
        fleet.submit(0, 0, vec![tasks(2_000, amounts(500, 64))], SECOND);
        fleet.run_for(5 * SECOND);
        for number in 1..=4 {
            fleet.submit(1, number, vec![tasks(1, amounts(large, 64))], SECOND);
        }
        let mut starts = Vec::new();
        for _ in 0..40 {
            fleet.run_for(SECOND / 2);
            starts.push(fleet.start_count(0));
        }
        assert_eq!(fleet.open_jobs(), [0], "large tasks of {large}");
        let longest_pause = starts
            .chunk_by(|first, second| first == second)
            .map(<[_]>::len)
            .max();
        assert!(longest_pause <= Some(10), "{starts:?}");
        assert_eq!(fleet.violation, None);
    }
}

/// Guards against gangs in several pools that never start because each pool gets enough for a part of its members.
#[test]
fn gangs_in_several_pools_start_in_turn() {
    let gang = StepSpec {
        is_gang: true,
        ..tasks(3, amounts(1_000, 64))
    };
    let mut fleet = LimitFleet::new(2, 2, amounts(4_000, 0));
    for pool in 0..2 {
        fleet.submit(pool, pool, vec![gang.clone()], SECOND);
    }
    fleet.run_for(10 * SECOND);
    assert_eq!(fleet.open_jobs(), Vec::<usize>::new());
    assert_eq!(fleet.violation, None);
}

/// Guards against a pool that gets enough of one resource and too little of another, which then serves nobody.
#[test]
fn all_resources_of_a_start_are_granted_to_one_pool() {
    let mut fleet = LimitFleet::new(3, 2, amounts(4_000, 4_000));
    let demands = [(2_500, 2_500), (2_500, 100), (100, 2_500)];
    for (pool, (cores, memory)) in demands.into_iter().enumerate() {
        fleet.submit(pool, pool, vec![tasks(2, amounts(cores, memory))], SECOND);
    }
    fleet.run_for(25 * SECOND);
    assert_eq!(fleet.open_jobs(), Vec::<usize>::new());
    assert_eq!(fleet.violation, None);
}

/// Fleet of two pools in which the large task of the first pool comes first in the use of the limit; 0.1 s later the
/// second pool has one too.
fn fleet_with_two_large_tasks(workers_of_first: bool) -> LimitFleet {
    let mut fleet = LimitFleet::new(2, 2, amounts(4_000, 0));
    if !workers_of_first {
        fleet.remove_idle_workers(0);
    }
    for (pool, cores) in [3_500, 2_500].into_iter().enumerate() {
        fleet.submit(pool, pool, vec![tasks(1, amounts(cores, 64))], SECOND);
        fleet.run_for(SECOND / 10);
    }
    fleet
}

/// Guards against a limit that is kept for a start that cannot come because no worker has room.
#[test]
fn limit_is_not_kept_for_a_pool_without_workers() {
    let mut fleet = fleet_with_two_large_tasks(false);
    fleet.run_for(14 * SECOND);
    assert!(fleet.has_started(1));
    assert_eq!(fleet.violation, None);
}

/// Guards against a limit that is kept for a job that was cancelled.
#[test]
fn limit_is_not_kept_for_a_cancelled_job() {
    let mut fleet = fleet_with_two_large_tasks(true);
    fleet.cancel(0);
    fleet.run_for(4 * SECOND);
    assert!(fleet.has_started(1));
    assert_eq!(fleet.violation, None);
}

/// Guards against a limit that is kept for a task that no longer fits it once it was lowered.
#[test]
fn lowered_limit_is_not_kept_for_what_exceeds_it() {
    let mut fleet = fleet_with_two_large_tasks(true);
    fleet.set_limit(amounts(3_000, 0));
    fleet.run_for(6 * SECOND);
    assert!(fleet.has_started(1));
    assert_eq!(fleet.violation, None);
}

/// Guards against a limit that is kept for a pool which has lost its leader, or whose reports are late.
#[test]
fn limit_is_not_kept_for_a_pool_out_of_touch_for_ever() {
    let mut fleet = fleet_with_two_large_tasks(true);
    fleet.lose_pool_leader(0, 6 * SECOND, Duration::ZERO);
    fleet.lose_fleet_leader();
    fleet.run_for(14 * SECOND);
    assert_eq!(fleet.open_jobs(), Vec::<usize>::new());
    let mut fleet = fleet_with_two_large_tasks(true);
    fleet.hold_up(0, 6 * SECOND);
    fleet.run_for(14 * SECOND);
    assert_eq!(fleet.open_jobs(), Vec::<usize>::new());
    assert_eq!(fleet.violation, None);
}

/// Guards against demand above the whole limit that takes a part of the limit from tasks that fit.
#[test]
fn demand_above_the_limit_takes_nothing_from_others() {
    let mut fleet = LimitFleet::new(3, 2, amounts(4_000, 0));
    fleet.submit(0, 0, vec![tasks(8, amounts(4_001, 64))], SECOND);
    let gang = StepSpec {
        is_gang: true,
        ..tasks(5, amounts(1_000, 64))
    };
    fleet.submit(1, 1, vec![gang], SECOND);
    fleet.submit(2, 2, vec![tasks(1, amounts(4_000, 64))], SECOND);
    fleet.run_for(3 * SECOND);
    assert_eq!(fleet.open_jobs(), [0, 1]);
}

/// Guards against a limit of which a part stays unused: a task that cannot start beside long-running ones holds up
/// smaller ones.
#[test]
fn task_that_long_running_ones_exclude_holds_up_nobody() {
    let service = StepSpec {
        is_long_running: true,
        ..tasks(1, amounts(2_000, 64))
    };
    let mut fleet = LimitFleet::new(3, 2, amounts(4_000, 0));
    fleet.submit(0, 0, vec![service], SECOND);
    fleet.run_for(3 * SECOND);
    fleet.submit(1, 1, vec![tasks(1, amounts(2_500, 64))], SECOND);
    fleet.submit(2, 2, vec![tasks(40, amounts(500, 64))], SECOND);
    fleet.run_for(20 * SECOND);
    assert_eq!(fleet.open_jobs(), [0, 1]);
    fleet.cancel(0);
    fleet.run_for(5 * SECOND);
    assert!(fleet.has_started(1));
    assert_eq!(fleet.violation, None);
}

/// Guards against a large task that waits for ever beside small ones of its own pool, which take each part of the limit
/// that becomes free.
#[test]
fn large_task_starts_beside_small_ones_of_its_pool() {
    let mut fleet = LimitFleet::new(2, 4, amounts(4_000, 0));
    let on_time = |spec: StepSpec| StepSpec {
        estimate: 60 * SECOND,
        ..spec
    };
    for number in 1..40 {
        fleet.submit(0, number, vec![on_time(tasks(20, amounts(500, 64)))], SECOND);
    }
    fleet.run_for(3 * SECOND);
    // It comes first in the pool's order until it can no longer be on time, after 9 s.
    let large = StepSpec {
        estimate: 20 * SECOND,
        ..tasks(1, amounts(3_000, 64))
    };
    fleet.submit(0, 0, vec![large], SECOND);
    fleet.run_for(8 * SECOND);
    assert!(fleet.has_started(0));
}

/// Guards against a new leader that exceeds the limit: it started new jobs of an organisation while runs on a worker out
/// of its reach used the whole limit.
#[test]
fn runs_out_of_reach_of_a_new_leader_count_against_the_limit() {
    let now = Instant::now();
    let lease = SchedulerTiming::default().lease;
    for (allowed, is_free) in [(8, false), (12, false), (13, true)] {
        let former = BTreeSet::from([worker_id(0), worker_id(1)]);
        let takeover = TakeoverState::from_former_leader(now, former, lease);
        let mut scheduler = empty_scheduler(2, takeover);
        let allowance = amounts(allowed * 1_000, 1_000_000);
        let config = OrganisationConfig {
            limit: allowance,
            ..OrganisationConfig::default()
        };
        scheduler.set_config(&SiteConfig {
            organisations: [(organisation(), config)].into(),
            ..SiteConfig::default()
        });
        scheduler.set_plan(PoolPlan {
            version: PlanVersion::default().next(),
            allowances: [(organisation(), allowance)].into(),
            ..PoolPlan::default()
        });
        scheduler.set_former_usage([(organisation(), amounts(8_000, 1_000))].into());
        for number in 0..2 {
            scheduler.set_worker(now, entry(number, 8));
        }
        scheduler.decide(now, WALL, true);
        report(&mut scheduler, now, 1, &[], &[]);
        let mut job = record(0, vec![step(1, 5, 1_000)]);
        job.organisation = Some(organisation());
        scheduler.submit(now, now, job, None);
        assert_eq!(
            !start_all(&mut scheduler, now).is_empty(),
            is_free,
            "{allowed} cores"
        );
        // By then the leases of all runs of the former leader have ended.
        let later = now + WorkerLease::max_duration(lease) + SECOND;
        let started = start_all(&mut scheduler, later);
        assert_eq!(started.is_empty(), is_free, "{allowed} cores");
    }
}

/// Guards against a part of the limit that is given away while it is in use: a pool above its new allowance lost its
/// leader, and the next one confirmed the plan before it knew what runs.
#[test]
fn new_leader_confirms_no_plan_before_it_knows_what_runs() {
    let now = Instant::now();
    let former = BTreeSet::from([worker_id(0)]);
    let takeover = TakeoverState::from_former_leader(now, former, SchedulerTiming::default().lease);
    let mut scheduler = empty_scheduler(2, takeover);
    let plan = PoolPlan {
        version: PlanVersion::default().next(),
        allowances: [(organisation(), amounts(1_000, 0))].into(),
        ceilings: [(organisation(), amounts(4_000, 0))].into(),
        ..PoolPlan::default()
    };
    scheduler.set_plan(plan.clone());
    scheduler.set_worker(now, entry(0, 8));
    scheduler.decide(now, WALL, true);
    let mut planner = FleetPlanner::new();
    let config = |limit| OrganisationConfig {
        limit,
        ..OrganisationConfig::default()
    };
    let pools = [pool(), pool_id(1)].map(|pool| (pool, PoolConfig::default()));
    planner.set_config(&SiteConfig {
        organisations: [(organisation(), config(amounts(4_000, 0)))].into(),
        pools: pools.into(),
        ..SiteConfig::default()
    });
    planner.set_plan(pool(), plan);
    let other = PoolReport {
        wanted: [(organisation(), amounts(4_000, 0))].into(),
        ..PoolReport::default()
    };
    planner.set_report(pool_id(1), other);
    planner.set_report(pool(), scheduler.report(now));
    // What the second pool is granted, once the first has taken its plan.
    let granted = |planner: &mut FleetPlanner, scheduler: &mut PoolScheduler| {
        let mut cores = None;
        for command in planner.decide(now) {
            match command {
                FleetCommand::PublishPlan(id, plan) if id == pool() => scheduler.set_plan(plan),
                FleetCommand::PublishPlan(_, plan) => {
                    cores = Some(plan.allowances[&organisation()].cores.get());
                }
                _ => {}
            }
        }
        planner.set_report(pool(), scheduler.report(now));
        cores
    };
    assert_eq!(granted(&mut planner, &mut scheduler), Some(0));
    assert_eq!(granted(&mut planner, &mut scheduler), None);
    report(&mut scheduler, now, 0, &[], &[]);
    planner.set_report(pool(), scheduler.report(now));
    let cores = granted(&mut planner, &mut scheduler);
    assert!(cores >= Some(3_000), "{cores:?}");
}

/// Guards against a new leader of the fleet that raises an allowance before it has read the reports: one pool had given
/// up a part of the limit, which another one may use.
#[test]
fn new_fleet_leader_raises_no_allowance_before_it_knows_the_reports() {
    let mut planner = FleetPlanner::new();
    let config = OrganisationConfig {
        limit: amounts(4_000, 0),
        ..OrganisationConfig::default()
    };
    planner.set_config(&SiteConfig {
        organisations: [(organisation(), config)].into(),
        pools: [0, 1]
            .map(|number| (pool_id(number), PoolConfig::default()))
            .into(),
        ..SiteConfig::default()
    });
    for (number, (allowance, ceiling)) in [(0, 1_984), (3_968, 3_968)].into_iter().enumerate() {
        let plan = PoolPlan {
            version: PlanVersion::default().next(),
            allowances: [(organisation(), amounts(allowance, 0))].into(),
            ceilings: [(organisation(), amounts(ceiling, 0))].into(),
            ..PoolPlan::default()
        };
        planner.set_plan(pool_id(number), plan);
    }
    for command in planner.decide(Instant::now()) {
        if let FleetCommand::PublishPlan(id, plan) = command
            && id == pool_id(0)
        {
            assert_eq!(plan.allowances[&organisation()].cores.get(), 0);
        }
    }
}

/// An event of a random series.
#[derive(Debug, Clone)]
enum Event {
    Submit {
        pool: usize,
        tasks: u32,
        cores: u64,
        memory: u64,
        is_gang: bool,
        run_ms: u64,
    },
    Cancel(usize),
    SetLimit(u64),
    HoldUp(usize, u64),
    LoseFleetLeader,
    LosePoolLeader {
        pool: usize,
        ms: u64,
        silent_ms: u64,
    },
}

const POOLS: usize = 3;
const LIMIT: u64 = 4_000;

fn event() -> impl Strategy<Value = Event> {
    let submit = (
        0..POOLS,
        1..4_u32,
        1..=LIMIT,
        1..=LIMIT,
        any::<bool>(),
        100..4_000_u64,
    );
    let submit = submit.prop_map(|(pool, tasks, cores, memory, is_gang, run_ms)| Event::Submit {
        pool,
        tasks,
        cores,
        memory,
        is_gang,
        run_ms,
    });
    prop_oneof![
        12 => submit,
        2 => (0..40_usize).prop_map(Event::Cancel),
        1 => (LIMIT / 2..=LIMIT).prop_map(Event::SetLimit),
        2 => (0..POOLS, 100..5_000_u64).prop_map(|(pool, ms)| Event::HoldUp(pool, ms)),
        1 => Just(Event::LoseFleetLeader),
        1 => (0..POOLS, 100..4_000_u64, 0..3_000_u64)
            .prop_map(|(pool, ms, silent_ms)| Event::LosePoolLeader { pool, ms, silent_ms }),
    ]
}

fn apply(fleet: &mut LimitFleet, number: usize, event: &Event) {
    match event {
        Event::Submit {
            pool,
            tasks: count,
            cores,
            memory,
            is_gang,
            run_ms,
        } => {
            // A gang fits the limit as a whole.
            let members = if *is_gang { u64::from(*count) } else { 1 };
            let spec = StepSpec {
                is_gang: *is_gang,
                ..tasks(
                    *count,
                    amounts((cores / members).max(1), (memory / members).max(1)),
                )
            };
            fleet.submit(*pool, number, vec![spec], Duration::from_millis(*run_ms));
        }
        Event::Cancel(job) => fleet.cancel(*job),
        Event::SetLimit(limit) => fleet.set_limit(amounts(*limit, LIMIT)),
        Event::HoldUp(pool, ms) => fleet.hold_up(*pool, Duration::from_millis(*ms)),
        Event::LoseFleetLeader => fleet.lose_fleet_leader(),
        Event::LosePoolLeader { pool, ms, silent_ms } => {
            fleet.lose_pool_leader(
                *pool,
                Duration::from_millis(*ms),
                Duration::from_millis(*silent_ms),
            );
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(32))]

    /// Guards against exceeding the limit, and against tasks that fit the limit and never start, in any series of
    /// submissions, ends, cancellations, changes of the limit, late reports and plans, and lost leaders, whose successors
    /// may not reach the workers at first.
    #[test]
    fn limit_holds_and_all_work_ends(series in vec((event(), 0..1_500_u64), 1..40)) {
        let mut fleet = LimitFleet::new(POOLS, 2, amounts(LIMIT, LIMIT));
        for (number, (event, pause_ms)) in series.iter().enumerate() {
            apply(&mut fleet, number, event);
            fleet.run_for(Duration::from_millis(*pause_ms));
            prop_assert_eq!(&fleet.violation, &None);
        }
        fleet.set_limit(amounts(LIMIT, LIMIT));
        // Each task runs for at most 4 s, and a turn passes between two of them.
        let tasks = series.iter().map(|(event, _)| match event {
            Event::Submit { tasks, .. } => *tasks,
            _ => 0,
        });
        fleet.run_for(20 * SECOND + 8 * SECOND * tasks.sum::<u32>());
        prop_assert_eq!(fleet.open_jobs(), Vec::<usize>::new());
        prop_assert_eq!(&fleet.violation, &None);
    }

    /// Guards against a pool that waits for ever while other pools always have work for the limit: each pool whose tasks
    /// fit the limit starts one again and again.
    #[test]
    fn each_pool_starts_something_again_and_again(
        pools in vec((1..=LIMIT, 1..=LIMIT, any::<bool>(), 100..3_000_u64), 2..5),
    ) {
        let mut fleet = LimitFleet::new(pools.len(), 2, amounts(LIMIT, LIMIT));
        for (pool, (cores, memory, is_gang, run_ms)) in pools.iter().enumerate() {
            for copy in 0..30 {
                let members = if *is_gang { 2 } else { 1 };
                let spec = StepSpec {
                    is_gang: *is_gang,
                    ..tasks(members, amounts((cores / u64::from(members)).max(1), (memory / u64::from(members)).max(1)))
                };
                fleet.submit(pool, pool + pools.len() * copy, vec![spec], Duration::from_millis(*run_ms));
            }
        }
        // Every other pool goes once, for up to 3 s and the 3 s that a report, a plan and its confirmation take.
        let longest = 6 * SECOND * pools.len() as u32;
        for _ in 0..4 {
            let before: Vec<usize> = (0..pools.len()).map(|pool| fleet.pool_starts(pool)).collect();
            fleet.run_for(longest);
            for (pool, before) in before.into_iter().enumerate() {
                let is_done = fleet.open_jobs().iter().all(|job| job % pools.len() != pool);
                prop_assert!(is_done || fleet.pool_starts(pool) > before, "pool {} of {:?}", pool, pools);
            }
            prop_assert_eq!(&fleet.violation, &None);
        }
    }
}
