//! Placement of jobs on workers, and estimates of their sizes.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use figloft::model::amount::{AcceleratorCount, MemoryMib, MilliCores};
use figloft::model::id::{Generation, InstanceId, JobId, PoolId, TeamId};
use figloft::model::priority::WorkPriority;
use figloft::model::resource::ResourceSet;
use figloft::policy::placement::{PlacementChoice, PlacementTable};
use figloft::policy::size_model::SizeModel;
use figloft::policy::worker_allocation::{PlacedTask, WorkerInfo};
use proptest::collection::vec;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

const WORKER_MEMORY: u64 = 64;

fn instance(index: usize) -> InstanceId {
    format!("i{index:02}").parse().expect("name")
}

fn job(index: usize) -> JobId {
    format!("j{index}").parse().expect("name")
}

fn team() -> TeamId {
    "t".parse().expect("name")
}

fn pool() -> PoolId {
    "p".parse().expect("name")
}

fn size(cores: u64, memory: u64) -> ResourceSet {
    ResourceSet::new(MilliCores::new(cores * 1_000), MemoryMib::new(memory))
}

fn table(workers: usize) -> PlacementTable {
    let mut table = PlacementTable::new();
    for index in 0..workers {
        let place = WorkerInfo {
            pool: pool(),
            rack: format!("k{}", index / 4).parse().expect("name"),
            generation: Generation::default(),
            resources: size(32, WORKER_MEMORY),
            accepts_tasks: true,
        };
        table.set_worker(&instance(index), place);
    }
    table
}

fn task(now: Instant, index: usize, priority: WorkPriority, committed: ResourceSet) -> PlacedTask {
    PlacedTask {
        job: job(index),
        team: team(),
        priority,
        repeatable: true,
        is_remote: false,
        committed,
        started_at: now,
    }
}

fn choose(table: &mut PlacementTable, now: Instant, size: &ResourceSet) -> PlacementChoice {
    table.choose_worker(now, &pool(), &team(), size, &BTreeSet::new())
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(14),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Guards against more committed memory than a worker has, committed sums that differ from the tasks, and
    /// room reserved for an urgent job that is given to others.
    #[test]
    fn commitments_match_the_tasks_and_never_exceed_the_memory(
        workers in 1..6_usize,
        steps in vec((0..4_u32, 0..30_usize, 1..40_u64, 1..16_u64), 1..150),
    ) {
        let now = Instant::now();
        let mut table = table(workers);
        let mut reserved: BTreeMap<JobId, InstanceId> = BTreeMap::new();
        for (step, index, memory, cores) in steps {
            let size = size(cores, memory);
            match step {
                0 | 1 if table.location(&job(index)).is_none() && !reserved.contains_key(&job(index)) => {
                    if let PlacementChoice::Worker(instance) = choose(&mut table, now, &size) {
                        table.add_task(&instance, task(now, index, WorkPriority::Overnight, size));
                    }
                }
                2 => drop(table.remove_task(&job(index))),
                3 => {
                    let urgent = job(100 + index);
                    if let Some((instance, victims)) = table.preempt(&urgent, &pool(), &size, &BTreeSet::new()) {
                        for victim in victims {
                            table.remove_task(&victim);
                        }
                        prop_assert!(table.has_reserved_room(&urgent, &instance));
                        reserved.insert(urgent, instance);
                    }
                    if let Some((urgent, instance)) = reserved.pop_first() {
                        table.release_reservation(&urgent, &instance);
                    }
                }
                _ => {}
            }
            for index in 0..workers {
                let on = instance(index);
                let sum = table.tasks_on(&on).fold(ResourceSet::default(), |sum, task| sum.plus(&task.committed));
                prop_assert_eq!(sum, table.committed(&instance(index)));
                prop_assert!(sum.memory.get() <= WORKER_MEMORY);
            }
        }
    }
}

/// Guards against tasks of a team that all run in one rack.
#[test]
fn tasks_of_a_team_spread_over_racks() {
    let now = Instant::now();
    let mut table = table(12);
    let mut racks = BTreeMap::new();
    for index in 0..6 {
        let PlacementChoice::Worker(chosen) = choose(&mut table, now, &size(1, 1)) else {
            panic!("the workers are empty");
        };
        *racks
            .entry(table.worker(&chosen).expect("is listed").rack.clone())
            .or_insert(0) += 1;
        table.add_task(&chosen, task(now, index, WorkPriority::Bench, size(1, 1)));
    }
    assert_eq!(racks.into_values().collect::<Vec<_>>(), [2, 2, 2]);
}

/// Guards against a worker that fails fast, therefore looks idle and receives all work.
#[test]
fn a_worker_that_fails_fast_receives_little_work() {
    let mut now = Instant::now();
    let mut table = table(4);
    let mut tried = 0;
    for index in 0..100 {
        now += Duration::from_millis(50);
        let PlacementChoice::Worker(chosen) = choose(&mut table, now, &size(1, 1)) else {
            continue;
        };
        if chosen == instance(0) {
            tried += 1;
            table.record_failure(now, &chosen);
        } else {
            table.add_task(&chosen, task(now, index, WorkPriority::Bench, size(1, 1)));
        }
    }
    assert!(tried <= 4, "{tried} of 100 tasks went to the failing worker");
    for index in 1..4 {
        table.remove_worker(&instance(index));
    }
    assert_eq!(choose(&mut table, now, &size(1, 1)), PlacementChoice::PoolFull);
    let later = now + Duration::from_mins(5);
    assert_eq!(
        choose(&mut table, later, &size(1, 1)),
        PlacementChoice::Worker(instance(0))
    );
    table.record_success(&instance(0));
}

/// Guards against urgent work that waits for overnight work, and against stopping more tasks than necessary.
#[test]
fn urgent_work_stops_the_fewest_overnight_tasks() {
    let start = Instant::now();
    let mut table = table(2);
    for index in 0..4 {
        let now = start + Duration::from_secs(index as u64);
        let on = instance(index % 2);
        let priority = if index < 3 {
            WorkPriority::Overnight
        } else {
            WorkPriority::Bench
        };
        table.add_task(&on, task(now, index, priority, size(1, 32)));
    }
    assert_eq!(choose(&mut table, start, &size(1, 20)), PlacementChoice::PoolFull);
    let (on, victims) = table
        .preempt(&job(9), &pool(), &size(1, 20), &BTreeSet::new())
        .expect("finds room");
    assert_eq!(victims.len(), 1);
    table.remove_task(&victims[0]);
    assert!(table.has_reserved_room(&job(9), &on));
    assert_eq!(
        choose(&mut table, start, &size(1, 20)),
        PlacementChoice::TooLarge,
        "the room is reserved"
    );
    table.add_task(&on, task(start, 9, WorkPriority::Urgent, size(1, 20)));
    assert!(!table.has_reserved_room(&job(9), &on));
}

/// Guards against accelerators that are granted twice, and jobs with accelerators on workers without them.
#[test]
fn accelerators_are_granted_whole() {
    let now = Instant::now();
    let mut table = table(2);
    let with = size(32, WORKER_MEMORY).with_accelerators(AcceleratorCount::new(1));
    let mut place = table.worker(&instance(1)).expect("is listed").clone();
    place.resources = with;
    table.set_worker(&instance(1), place);
    let needs = size(1, 1).with_accelerators(AcceleratorCount::new(1));
    assert_eq!(
        choose(&mut table, now, &needs),
        PlacementChoice::Worker(instance(1))
    );
    table.add_task(&instance(1), task(now, 0, WorkPriority::Bench, needs));
    assert_eq!(choose(&mut table, now, &needs), PlacementChoice::TooLarge);
}

/// Guards against use of declared sizes that are far off, and against committed sizes that stay below the
/// measured usage.
#[test]
fn measured_sizes_replace_declared_ones_and_raise_commitments() {
    let now = Instant::now();
    let queue = "q".parse().expect("name");
    let mut model = SizeModel::new();
    let declared = size(1, 1_000);
    for _ in 0..8 {
        assert_eq!(model.estimate(&queue, &team(), &declared), declared);
        model.record_usage(&queue, &team(), &size(4, 30));
    }
    let estimate = model.estimate(&queue, &team(), &declared);
    assert!((30..=32).contains(&estimate.memory.get()), "{estimate:?}");
    assert!((4_000..=4_300).contains(&estimate.cores.get()), "{estimate:?}");
    let mut table = table(1);
    table.add_task(&instance(0), task(now, 0, WorkPriority::Overnight, estimate));
    table.add_task(&instance(0), task(now, 1, WorkPriority::Overnight, estimate));
    table.raise_commitment(&job(1), &size(1, 50));
    assert!(table.committed(&instance(0)).memory.get() > WORKER_MEMORY);
    assert_eq!(table.tasks_over_memory(&instance(0)).len(), 1);
}

/// Guards against sessions that overcommit a worker because they do not know of each other's tasks.
#[test]
fn tasks_of_other_sessions_take_room() {
    let now = Instant::now();
    let mut table = table(2);
    table.record_no_room(now, &instance(0));
    let chosen = choose(&mut table, now, &size(1, 1));
    assert_eq!(chosen, PlacementChoice::Worker(instance(1)));
    let mut remote = task(now, 7, WorkPriority::Overnight, size(1, 60));
    remote.is_remote = true;
    table.sync_remote_tasks(&instance(1), vec![remote]);
    assert_eq!(choose(&mut table, now, &size(1, 30)), PlacementChoice::TooLarge);
    table.sync_remote_tasks(&instance(1), Vec::new());
    let chosen = choose(&mut table, now, &size(1, 30));
    assert_eq!(chosen, PlacementChoice::Worker(instance(1)));
    let later = now + Duration::from_millis(500);
    table.add_task(&instance(1), task(now, 8, WorkPriority::Bench, size(8, 8)));
    let chosen = choose(&mut table, later, &size(1, 1));
    assert_eq!(chosen, PlacementChoice::Worker(instance(0)));
}
