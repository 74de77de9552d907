//! Suspects that wait for a worker, and long-running tasks that isolated workers keep waiting.

use std::time::Duration;

use figloft::dispatch::job_record::{JobRecord, JobState};
use figloft::dispatch::job_spec::StepSpec;
use figloft::dispatch::pool_plan::PoolPlan;
use figloft::dispatch::site_config::{OrganisationConfig, SiteConfig};
use figloft::dispatch::task_id::{StepId, TaskId};
use figloft::model::amount::{MemoryMib, MilliCores};
use figloft::model::id::{OrganisationId, PlanVersion};
use figloft::model::resource::ResourceSet;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use crate::crash_world::CrashWorld;
use crate::setup::{job_id, record, step};

const SECOND: Duration = Duration::from_secs(1);

/// Part of a second after which a crash counts as early.
const EARLY: Duration = Duration::from_millis(100);

fn task(job: usize, index: u32) -> TaskId {
    StepId::new(job_id(job), 0, 0).task(index)
}

/// Job of long-running tasks, at most one of them on a worker.
fn long_running_job(number: usize, tasks: u32, cores: u64) -> JobRecord {
    let spec = StepSpec {
        is_long_running: true,
        max_per_worker: Some(1),
        ..step(tasks, cores, 0)
    };
    record(number, vec![spec])
}

/// Crashes the only worker on which the task runs and returns its number.
fn crash_under(world: &mut CrashWorld, task: &TaskId) -> usize {
    let places = world.places(task);
    assert_eq!(places.len(), 1, "{task} runs once");
    world.crash(places[0]);
    places[0]
}

/// Time until the task runs again.
fn interruption(world: &mut CrashWorld, task: &TaskId) -> Duration {
    let stopped_at = world.now;
    while world.places(task).is_empty() && world.now < stopped_at + SECOND * 60 {
        world.run(Duration::from_millis(10));
    }
    world.now.saturating_duration_since(stopped_at)
}

/// Guards against an innocent long-running task that waits for an isolated worker for longer than its callers
/// may miss it: two workers crashed under it, and on each other worker a task has just started.
#[test]
fn long_running_suspect_runs_again_in_time() {
    for restart_time in [Duration::from_millis(3_300), SECOND * 30] {
        let mut world = CrashWorld::new(8, 32);
        world.restart_time = restart_time;
        world.submit(long_running_job(1, 1, 4));
        for crash in 0..2 {
            world.run(EARLY);
            crash_under(&mut world, &task(1, 0));
            world.submit(long_running_job(10 + crash, 8, 1));
            let time = interruption(&mut world, &task(1, 0));
            assert!(
                time < SECOND * 9,
                "not at work for {time:?} after crash {crash}, restart time {restart_time:?}"
            );
        }
    }
}

/// Guards against suspects that stay suspects while they run beside other jobs: in a small pool each worker has
/// one before long, and the next suspect finds none.
#[test]
fn suspect_that_runs_beside_other_jobs_is_cleared() {
    let mut world = CrashWorld::new(4, 32);
    world.submit(long_running_job(1, 1, 4));
    world.run(EARLY);
    crash_under(&mut world, &task(1, 0));
    world.submit(long_running_job(2, 4, 1));
    interruption(&mut world, &task(1, 0));
    assert!(!world.notes.iter().any(|note| note.starts_with("job isolated")));
    world.run(SECOND * 4);
    let job = world.scheduler.job(&job_id(1)).expect("job");
    assert!(!job.has_suspects());
}

/// Guards against an innocent long-running task that keeps a worker for itself for 10 s: it was lost once late and
/// once early, and only the early loss makes it a suspect.
#[test]
fn early_loss_is_outlasted_soon() {
    let mut world = CrashWorld::new(4, 32);
    world.submit(long_running_job(1, 1, 4));
    world.run(SECOND * 6);
    crash_under(&mut world, &task(1, 0));
    interruption(&mut world, &task(1, 0));
    world.run(EARLY);
    crash_under(&mut world, &task(1, 0));
    interruption(&mut world, &task(1, 0));
    assert!(world.notes.iter().any(|note| note.starts_with("job isolated")));
    world.run(SECOND * 3);
    let job = world.scheduler.job(&job_id(1)).expect("job");
    assert!(!job.has_suspects());
}

/// Job of finite tasks.
fn finite_job(number: usize, tasks: u32, cores: u64) -> JobRecord {
    record(number, vec![step(tasks, cores, 1_000)])
}

/// Guards against an isolated worker that its job can never use and never gives back: a task of the same step runs
/// there, and the step may have only one on a worker.
#[test]
fn worker_without_room_for_a_suspect_stays_open() {
    let mut world = CrashWorld::new(2, 32);
    world.submit(long_running_job(1, 2, 4));
    world.run(EARLY);
    let crashed = crash_under(&mut world, &task(1, 0));
    world.set_cores(crashed, 0);
    for number in 10..32 {
        world.submit(finite_job(number, 1, 1));
        world.run(Duration::from_millis(600));
    }
    world.submit(long_running_job(2, 1, 1));
    let time = interruption(&mut world, &task(2, 0));
    assert!(time < SECOND * 4, "the only worker was closed for {time:?}");
}

/// Guards against an isolated worker that is kept although the limit of the organisation leaves no room for the
/// suspect: another task of its job runs there.
#[test]
fn suspect_beyond_the_limit_keeps_no_worker() {
    let mut world = CrashWorld::new(2, 32);
    let organisation = OrganisationId::new("house-a").expect("organisation");
    let mut config = SiteConfig::default();
    let limit = ResourceSet::new(MilliCores::new(100_000), MemoryMib::new(0));
    config
        .organisations
        .insert(organisation.clone(), OrganisationConfig { weight: 0.0, limit });
    world.scheduler.set_config(&config);
    let plan = |version, cores| {
        let allowance = ResourceSet::new(MilliCores::new(cores), MemoryMib::new(1_000_000));
        PoolPlan {
            version: PlanVersion::new(version),
            allowances: [(organisation.clone(), allowance)].into(),
            ..PoolPlan::default()
        }
    };
    world.scheduler.set_plan(plan(1, 8_000));
    let mut job = record(
        1,
        vec![StepSpec {
            is_long_running: true,
            ..step(2, 4, 0)
        }],
    );
    job.organisation = Some(organisation.clone());
    world.submit(job);
    world.run(EARLY);
    crash_under(&mut world, &task(1, 0));
    world.run(SECOND);
    world.is_storing = false;
    world.run(SECOND * 4);
    assert!(world.notes.iter().any(|note| note.starts_with("job isolated")));
    world.scheduler.set_plan(plan(2, 4_000));
    world.is_storing = true;
    world.submit(long_running_job(2, 2, 1));
    for index in 0..2 {
        let time = interruption(&mut world, &task(2, index));
        assert!(time < SECOND * 4, "task {index} waited for {time:?}");
    }
}

/// Guards against jobs that isolate the same worker in turn while its runs last: other jobs start nothing there
/// meanwhile.
#[test]
fn worker_that_was_isolated_in_vain_opens() {
    let mut world = CrashWorld::new(4, 32);
    world.run_time = Duration::from_millis(9_500);
    world.submit(long_running_job(1, 2, 10));
    world.run(SECOND * 11);
    // Both jobs run on the empty workers; on the others they have no room until the finite runs end.
    for job in 2..4 {
        world.submit(long_running_job(job, 1, 20));
        world.run(EARLY);
        let crashed = crash_under(&mut world, &task(job, 0));
        world.set_cores(crashed, 0);
    }
    world.run(SECOND * 3);
    world.submit(finite_job(4, 2, 20));
    while !world.notes.iter().any(|note| note.starts_with("job isolated")) {
        world.run(Duration::from_millis(10));
    }
    world.submit(long_running_job(5, 2, 1));
    for index in 0..2 {
        let time = interruption(&mut world, &task(5, index));
        assert!(time < SECOND * 4, "task {index} waited for {time:?}");
    }
}

/// Guards against a job that can isolate no worker because of one that has crashed: it counted as isolated until its
/// lease had ended.
#[test]
fn crashed_worker_keeps_no_other_isolated() {
    let mut world = CrashWorld::new(4, 32);
    world.deadly.insert(task(1, 0));
    world.submit(finite_job(1, 1, 4));
    world.run(EARLY);
    world.submit(long_running_job(2, 1, 4));
    world.run(EARLY);
    crash_under(&mut world, &task(2, 0));
    world.run(SECOND * 4);
    let isolated = |job| format!("job isolated: task {}", task(job, 0));
    for job in 1..=2 {
        let has_worker = world.notes.iter().any(|note| note.starts_with(&isolated(job)));
        assert!(has_worker, "job {job}: {:#?}", world.notes);
    }
}

/// Guards against long-running tasks that wait in small pools after a storm of crashes although two workers have
/// room for them.
#[test]
fn long_running_tasks_run_again_after_a_storm() {
    let mut late = Vec::new();
    for seed in 1..=20 {
        let mut random = StdRng::seed_from_u64(seed);
        let size = random.random_range(2..7);
        let mut world = CrashWorld::new(size, 16);
        world.run_time = Duration::from_millis(random.random_range(300..2_500));
        world.restart_time = Duration::from_millis(random.random_range(400..8_000));
        world.keeps_id = random.random();
        for number in 1..=random.random_range(1..5) {
            let mut job = long_running_job(
                number,
                random.random_range(1..=size as u32),
                random.random_range(1..5),
            );
            job.spec.steps[0].max_per_worker = random.random_bool(0.7).then_some(random.random_range(1..3));
            world.submit(job);
        }
        world.run(SECOND * random.random_range(0..12));
        let mut number = 10;
        for second in 0..60 {
            for _ in 0..random.random_range(0..3) {
                number += 1;
                world.submit(finite_job(
                    number,
                    random.random_range(1..5),
                    random.random_range(1..7),
                ));
                if second < 20 && random.random_bool(0.15) {
                    world.deadly.insert(task(number, 0));
                }
            }
            if second < 20 {
                let on = random.random_range(0..world.size());
                match random.random_range(0..16) {
                    0 | 1 => world.crash(on),
                    2 => world.cut(on, SECOND * 3),
                    3 => world.take_over(),
                    _ => {}
                }
            }
            world.run(SECOND);
        }
        for (task, at) in &world.late {
            late.push(format!(
                "seed {seed}, {size} workers: {task} noticed after {at:?}"
            ));
        }
    }
    assert!(late.is_empty(), "{late:#?}");
}

/// Guards against a long-running job that is given up with its other tasks at work: three workers crashed, for other
/// reasons, some time after one of its tasks had started on each (AVAIL on grown Guardanieve).
#[test]
fn long_running_job_outlives_crashes_of_its_workers() {
    let mut world = CrashWorld::new(6, 8);
    let job = long_running_job(1, 3, 2);
    world.submit(job.clone());
    world.run(Duration::from_secs(1));
    for _ in 0..3 {
        world.run(Duration::from_secs(2));
        crash_under(&mut world, &task(1, 0));
        interruption(&mut world, &task(1, 0));
    }
    assert_eq!(world.state(&job.id), Some(JobState::Running));
}
