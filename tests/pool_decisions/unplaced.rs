//! Tasks that fit no present worker: the pool gets instances for them, and gives them back.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use figloft::dispatch::fleet_planner::{FleetCommand, FleetPlanner};
use figloft::dispatch::job_record::JobRecord;
use figloft::dispatch::job_spec::StepSpec;
use figloft::dispatch::pool_size;
use figloft::dispatch::site_config::{OrganisationConfig, PoolConfig, SiteConfig};
use figloft::dispatch::task_id::{StepId, TaskId};
use figloft::dispatch::wave_plan::{InstanceEntry, InstanceOutcome, InstanceState};
use figloft::dispatch::worker_report::RunOutcome;
use figloft::model::amount::{MemoryMib, MilliCores};
use figloft::model::id::{InstanceId, OrganisationId, PoolId, WorkerId};
use figloft::model::resource::ResourceSet;
use figloft::model::unix_time::UnixMillis;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use crate::crash_world::CrashWorld;
use crate::setup::{WALL, instance_id, job_id, pool, record, step};

const SECOND: Duration = Duration::from_secs(1);

/// Time between two decisions of the fleet leader.
const ROUND: Duration = Duration::from_millis(100);

/// Time that a moved instance needs until its worker is listed in the new pool.
const MOVE_TIME: Duration = Duration::from_millis(1_500);

/// Longest time for which a long-running task may wait while instances are spare: a second without a place, the move and
/// the exchange of the records.
const MAX_PLACEMENT_TIME: Duration = Duration::from_secs(4);

/// Rounds of a random day.
const ROUNDS: u32 = 600;

/// Instances that may come on a random day because tasks have no place, beside those that come because the load changes.
/// Each day has six services.
const MAX_CALLED_MOVES: u32 = 3;

/// Instances that the pool may have on average. Without such calls it had up to 8.
const MAX_MEAN_MEMBERS: usize = 9;

/// A pool together with the fleet leader that moves instances between it and the spare pool.
struct MovingFleet {
    world: CrashWorld,
    planner: FleetPlanner,
    instances: BTreeMap<InstanceId, InstanceEntry>,
    arrivals: Vec<(Instant, usize, PoolId)>,
    moves_in: u32,
    /// Moves to the pool while it called for instances because tasks had no place.
    called_moves: u32,
    moves_out: u32,
}

impl MovingFleet {
    /// Creates a pool of `present` of the instances; the others are spare.
    fn new(size: usize, present: usize) -> Self {
        let spare = PoolConfig {
            is_spare: true,
            ..PoolConfig::default()
        };
        let mut config = SiteConfig::default();
        config.pools.insert(pool(), PoolConfig::default());
        config.pools.insert(spare_pool(), spare);
        let mut planner = FleetPlanner::new();
        planner.set_config(&config);
        let mut fleet = Self {
            world: CrashWorld::new(size, 32),
            planner,
            instances: BTreeMap::new(),
            arrivals: Vec::new(),
            moves_in: 0,
            called_moves: 0,
            moves_out: 0,
        };
        for number in 0..size {
            let entry = InstanceEntry {
                pool: pool(),
                state: InstanceState::Up,
                worker: Some(fleet.world.worker(number)),
                zone: None,
            };
            fleet.instances.insert(instance_id(number), entry);
            if number >= present {
                fleet.place(number, &spare_pool());
            }
        }
        fleet
    }

    /// Lets an instance appear in a pool with a new worker.
    fn place(&mut self, number: usize, to: &PoolId) {
        let life = self.world.now_ms();
        let worker = WorkerId::new(format!("i-{number}-at-{life}")).expect("worker");
        self.world.replace_worker(number, |entry| {
            entry.pool = to.clone();
            entry.id = worker.clone();
            entry.incarnation = Some(UnixMillis::new(2 + life));
        });
        let entry = InstanceEntry {
            pool: to.clone(),
            state: InstanceState::Up,
            worker: Some(worker),
            zone: None,
        };
        self.instances.insert(instance_id(number), entry);
    }

    fn run(&mut self, time: Duration) {
        let end = self.world.now + time;
        while self.world.now < end {
            self.world.run(ROUND);
            let now = self.world.now;
            let due: Vec<_> = self.arrivals.extract_if(.., |(at, ..)| *at <= now).collect();
            for (_, number, to) in due {
                self.place(number, &to);
            }
            self.planner.set_instances(now, self.instances.clone());
            self.planner.set_report(pool(), self.world.scheduler.report(now));
            for command in self.planner.decide(now) {
                match command {
                    FleetCommand::PublishPlan(of, plan) if of == pool() => self.world.set_plan(plan),
                    FleetCommand::MoveInstance(instance, to) => self.start_move(&instance, &to),
                    _ => {}
                }
            }
        }
    }

    fn start_move(&mut self, instance: &InstanceId, to: &PoolId) {
        let numbers = 0..self.world.size();
        let number = numbers
            .into_iter()
            .find(|number| instance_id(*number) == *instance);
        let number = number.expect("instance");
        if *to == pool() {
            self.moves_in += 1;
            let report = self.world.scheduler.report(self.world.now);
            self.called_moves += u32::from(report.unplaced > 0);
        } else {
            self.moves_out += 1;
            assert_eq!(self.world.tasks_on(number).count(), 0, "runs on a moved instance");
        }
        self.place(number, &spare_pool());
        if let Some(entry) = self.instances.get_mut(instance) {
            entry.state = InstanceState::Moving;
        }
        self.arrivals
            .push((self.world.now + MOVE_TIME, number, to.clone()));
        self.planner
            .handle_move_outcome(self.world.now, instance, to, InstanceOutcome::Done);
    }

    fn is_running(&self, task: &TaskId) -> bool {
        !self.world.places(task).is_empty()
    }

    /// Instances of the pool.
    fn members(&self) -> usize {
        let members = self.instances.values();
        members
            .filter(|entry| entry.pool == pool() && entry.state == InstanceState::Up)
            .count()
    }
}

fn spare_pool() -> PoolId {
    PoolId::new("spare").expect("pool")
}

/// Job of one long-running step.
fn service(number: usize, tasks: u32, memory_mib: u64, max_per_worker: u32) -> JobRecord {
    let spec = StepSpec {
        tasks,
        demand: ResourceSet::new(MilliCores::new(4_000), MemoryMib::new(memory_mib)),
        max_per_worker: Some(max_per_worker),
        is_long_running: true,
        ..StepSpec::default()
    };
    record(number, vec![spec])
}

fn task(job: usize, index: u32) -> TaskId {
    StepId::new(job_id(job), 0, 0).task(index)
}

/// Guards against a task that waits for ever because the free memory of the pool is scattered: the sum of the demand
/// needs no further worker. Also guards against an instance that the pool keeps when the task has ended.
#[test]
fn scattered_room_calls_for_one_instance() {
    let mut fleet = MovingFleet::new(6, 2);
    fleet.world.submit(record(9, vec![step(1, 1, 1_000)]));
    fleet.world.submit(service(1, 4, 20_480, 2));
    fleet.run(SECOND);
    // Each worker has 24 GB left.
    fleet.world.submit(service(2, 1, 25_600, 1));
    fleet.run(SECOND * 6);
    assert!(fleet.is_running(&task(2, 0)), "{} members", fleet.members());
    assert_eq!(fleet.moves_in, 1);
    fleet.run(SECOND * 10);
    assert_eq!((fleet.moves_in, fleet.moves_out), (1, 0), "one move, no return");
    fleet.world.cancel(&job_id(2));
    fleet.run(SECOND * 10);
    assert_eq!((fleet.moves_in, fleet.moves_out), (1, 1));
    assert_eq!(fleet.members(), 2);
}

/// Guards against a task that waits because a worker has shrunk and each other one has its most tasks of the step: all
/// three workers counted as available.
#[test]
fn shrunken_worker_of_a_spread_step_is_replaced() {
    let mut fleet = MovingFleet::new(6, 3);
    fleet.world.submit(service(1, 3, 25_600, 1));
    fleet.run(SECOND);
    let shrunken = fleet.world.places(&task(1, 0))[0];
    fleet.world.change_entry(shrunken, |entry| {
        entry.capacity = ResourceSet::new(MilliCores::new(12_800), MemoryMib::new(20_000));
    });
    fleet.world.end_run(shrunken, &task(1, 0), RunOutcome::Failed);
    fleet.run(SECOND * 6);
    assert!(fleet.is_running(&task(1, 0)));
    assert_eq!(fleet.moves_in, 1);
    fleet.run(SECOND * 10);
    assert_eq!(fleet.moves_in, 1, "moved once");
}

/// Guards against a late job of which nothing runs on a pool that is half empty: late jobs call for no capacity, and
/// none of the workers has room for a task of this size.
#[test]
fn late_job_without_a_place_calls_for_an_instance() {
    let mut fleet = MovingFleet::new(6, 2);
    fleet.world.submit(service(1, 2, 30_000, 1));
    fleet.run(SECOND);
    let mut large = step(1, 4, 200);
    large.demand.memory = MemoryMib::new(37_000);
    let mut job = record(2, vec![large]);
    job.accepted_at = WALL;
    fleet.world.submit(job);
    // Spare instances are lent elsewhere until the job is late.
    let spare: Vec<_> = fleet
        .instances
        .extract_if(.., |_, entry| entry.pool == spare_pool())
        .collect();
    fleet.run(SECOND * 3);
    fleet.instances.extend(spare);
    fleet.run(SECOND * 6);
    assert_eq!(fleet.world.starts.get(&task(2, 0)), Some(&1));
    fleet.run(SECOND * 10);
    assert_eq!(fleet.moves_in, 1);
    assert_eq!(fleet.members(), 2, "the instance was given back");
}

/// Guards against pools that grow for tasks which no instance can take, or whose organisation has reached its limit.
#[test]
fn tasks_that_fit_no_instance_call_for_none() {
    let mut fleet = MovingFleet::new(8, 2);
    fleet.run(SECOND);
    fleet.world.submit(service(1, 1, 70_000, 1));
    let mut labelled = service(2, 1, 1_000, 1);
    labelled.spec.steps[0].label = Some("unknown".into());
    fleet.world.submit(labelled);
    let organisation = OrganisationId::new("org").expect("organisation");
    let mut config = SiteConfig::default();
    let limited = OrganisationConfig {
        limit: ResourceSet::new(MilliCores::new(1_000), MemoryMib::new(1_000)),
        ..OrganisationConfig::default()
    };
    config.organisations.insert(organisation.clone(), limited);
    fleet.world.scheduler.set_config(&config);
    let mut over_limit = service(3, 1, 25_600, 1);
    over_limit.organisation = Some(organisation);
    fleet.world.submit(over_limit);
    fleet.run(SECOND * 4);
    let report = fleet.world.scheduler.report(fleet.world.now);
    assert_eq!(report.unplaced, 0);
    // The sum of the demand calls for a third worker; nothing calls for more.
    assert!(pool_size::target_workers(&report) <= 3);
    fleet.run(SECOND * 20);
    assert!(fleet.members() <= 3, "{} members", fleet.members());
}

/// Guards against an instance that is moved twice for one demand: a worker that has just been listed neither counted as
/// moving nor as usable until it had answered.
#[test]
fn listed_worker_counts_before_it_has_answered() {
    let mut fleet = MovingFleet::new(6, 2);
    fleet.world.submit(service(1, 3, 25_600, 1));
    fleet.run(SECOND + ROUND * 3);
    assert_eq!(fleet.moves_in, 1);
    for _ in 0..20 {
        // The arrived worker answers no poll yet.
        for number in 2..fleet.world.size() {
            fleet.world.cut(number, SECOND);
        }
        fleet.run(ROUND);
    }
    assert_eq!((fleet.moves_in, fleet.moves_out), (1, 0));
}

/// Guards against pools that move instances to and fro for tasks without a place, and against tasks that find none
/// although instances are spare: random services, whose runs fail now and then, beside finite jobs at a changing rate.
#[test]
fn random_services_find_places_without_many_moves() {
    for seed in 0..8 {
        let mut random = StdRng::seed_from_u64(seed);
        let mut fleet = MovingFleet::new(24, 3);
        let mut last_run: BTreeMap<TaskId, Instant> = BTreeMap::new();
        let mut longest = Duration::ZERO;
        let mut member_rounds = 0;
        for round in 0..ROUNDS {
            let number = round as usize;
            if round % 40 == 0 && round < 240 {
                let job = service(
                    number,
                    random.random_range(1..=6),
                    random.random_range(8_192..=25_600),
                    random.random_range(1..=2),
                );
                let tasks = 0..job.spec.steps[0].tasks;
                last_run.extend(tasks.map(|index| (task(number, index), fleet.world.now)));
                fleet.world.submit(job);
            }
            let chance = if round % 200 < 50 { 0.6 } else { 0.2 };
            if random.random_bool(chance) {
                let tasks = random.random_range(1..8);
                let cores = random.random_range(1..8);
                fleet
                    .world
                    .submit(record(1_000 + number, vec![step(tasks, cores, 1_000)]));
            }
            let running: Vec<TaskId> = last_run
                .keys()
                .filter(|task| fleet.is_running(task))
                .cloned()
                .collect();
            for task in running {
                last_run.insert(task.clone(), fleet.world.now);
                if random.random_bool(0.002) {
                    let place = fleet.world.places(&task)[0];
                    fleet.world.end_run(place, &task, RunOutcome::Failed);
                }
            }
            let waits = last_run
                .values()
                .map(|at| fleet.world.now.saturating_duration_since(*at));
            longest = longest.max(waits.max().unwrap_or_default());
            member_rounds += fleet.members();
            fleet.run(ROUND);
        }
        assert!(
            longest <= MAX_PLACEMENT_TIME,
            "seed {seed}: a task waited for {longest:?}"
        );
        assert!(
            fleet.called_moves <= MAX_CALLED_MOVES,
            "seed {seed}: {} of {} instances came for tasks without a place",
            fleet.called_moves,
            fleet.moves_in
        );
        let mean = member_rounds / ROUNDS as usize;
        assert!(
            mean <= MAX_MEAN_MEMBERS,
            "seed {seed}: {mean} instances on average"
        );
    }
}
