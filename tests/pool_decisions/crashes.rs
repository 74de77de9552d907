//! Tasks that crash the workers on which they start, and innocent tasks beside them.

use std::time::Duration;

use figloft::dispatch::job_record::{JobRecord, JobState};
use figloft::dispatch::job_spec::StepSpec;
use figloft::dispatch::task_id::{StepId, TaskId};
use figloft::platform::caller_protocol;
use figloft::request::explain_api;

use crate::crash_world::CrashWorld;
use crate::setup::{job_id, record, step};

const SECOND: Duration = Duration::from_secs(1);

/// Starts of a task after which it must have been given up: the third crash may be followed by two starts.
const MAX_STARTS: u32 = 5;

fn task(job: usize, step: u32, index: u32) -> TaskId {
    StepId::new(job_id(job), 0, step).task(index)
}

/// Job whose first task crashes its workers.
fn deadly_job(world: &mut CrashWorld, number: usize, steps: Vec<StepSpec>) -> JobRecord {
    world.deadly.insert(task(number, 0, 0));
    record(number, steps)
}

/// Guards against a task that crashes server after server: runs that were lost with their worker left no trace on
/// their task, which was started without end.
#[test]
fn task_that_crashes_its_workers_is_given_up() {
    let mut world = CrashWorld::new(8, 32);
    let job = deadly_job(&mut world, 1, vec![step(4, 2, 500)]);
    world.submit(job);
    world.run(SECOND * 40);
    assert_eq!(world.state(&job_id(1)), Some(JobState::Failed));
    assert!(world.starts[&task(1, 0, 0)] <= MAX_STARTS, "{:?}", world.starts);
}

/// Guards against crashes that are counted in memory only: each new leader started the task from the beginning.
#[test]
fn crashes_of_a_task_outlive_the_leader() {
    let mut world = CrashWorld::new(8, 32);
    let job = deadly_job(&mut world, 1, vec![step(4, 2, 500)]);
    world.submit(job);
    for _ in 0..12 {
        world.run(SECOND * 4);
        world.take_over();
    }
    world.run(SECOND * 10);
    assert_eq!(world.state(&job_id(1)), Some(JobState::Failed));
    assert!(world.starts[&task(1, 0, 0)] <= MAX_STARTS, "{:?}", world.starts);
}

/// Guards against giving up an innocent task: two workers crashed under it for other reasons, a third one was
/// cut off, and the pool lost a whole rack.
#[test]
fn ordinary_crashes_give_up_no_task() {
    let mut world = CrashWorld::new(8, 32);
    world.run_time = SECOND * 3;
    for number in 1..=6 {
        world.submit(record(number, vec![step(6, 3, 3_000)]));
    }
    world.run(SECOND);
    let first = world.places(&task(1, 0, 0));
    for number in first {
        world.crash(number);
    }
    world.run(SECOND * 6);
    for number in 4..8 {
        world.crash(number);
    }
    world.cut(0, SECOND * 7);
    world.run(SECOND * 3);
    let second = world.places(&task(1, 0, 0));
    for number in second {
        world.crash(number);
    }
    world.run(SECOND * 40);
    for number in 1..=6 {
        assert_eq!(
            world.state(&job_id(number)),
            Some(JobState::Completed),
            "job {number}"
        );
    }
}

/// Guards against a second copy that crashes the next worker while the first crash is not known for certain.
#[test]
fn no_second_copy_of_a_run_lost_early() {
    let mut world = CrashWorld::new(8, 32);
    let mut speculative = step(1, 2, 500);
    speculative.is_speculative = true;
    let job = deadly_job(&mut world, 1, vec![speculative]);
    world.submit(job);
    world.run(SECOND * 3);
    assert_eq!(world.starts[&task(1, 0, 0)], 1, "the worker is not back yet");
}

/// Guards against a job that fails without telling why: the caller's answer and the explanation name the workers
/// that crashed.
#[test]
fn given_up_job_tells_callers_and_operators_why() {
    let mut world = CrashWorld::new(8, 32);
    let job = deadly_job(&mut world, 1, vec![step(4, 2, 500)]);
    world.submit(job);
    world.run(SECOND * 6);
    let running = world.summaries[&job_id(1)].clone();
    let facts = explain_api::job_facts(&running, world.progress.get(&job_id(1))).join("\n");
    assert!(facts.contains("task 0.0.0: run 1 was alone on worker"), "{facts}");
    world.run(SECOND * 34);
    let failed = &world.summaries[&job_id(1)];
    let answer = serde_json::to_value(caller_protocol::encode_job_state(failed)).expect("answer");
    assert_eq!(answer["state"], "failed");
    let reason = answer["reason"].as_str().expect("reason");
    assert!(reason.contains("3 workers crashed under it"), "{reason}");
    let facts = explain_api::job_facts(failed, None).join("\n");
    assert!(facts.contains(reason), "{facts}");
    assert_eq!(
        world
            .notes
            .iter()
            .filter(|note| note.starts_with("task given up"))
            .count(),
        1
    );
    let answer = serde_json::to_value(caller_protocol::encode_job_state(&running)).expect("answer");
    assert_eq!(
        answer,
        serde_json::json!({"state": "running"}),
        "other states as before"
    );
}
