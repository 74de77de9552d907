//! Suspects that wait for a worker, and long-running tasks that isolated workers keep waiting.

use std::time::Duration;

use figloft::dispatch::job_record::JobRecord;
use figloft::dispatch::job_spec::StepSpec;
use figloft::dispatch::task_id::{StepId, TaskId};

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
