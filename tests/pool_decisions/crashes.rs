//! Tasks that crash the workers on which they start, and innocent tasks beside them.

use std::time::Duration;

use figloft::dispatch::job_record::{JobRecord, JobState};
use figloft::dispatch::job_spec::{JobSchedule, StepSpec};
use figloft::dispatch::pool_plan::PoolPlan;
use figloft::dispatch::task_id::{StepId, TaskId};
use figloft::model::id::PlanVersion;
use figloft::platform::caller_protocol;
use figloft::request::explain_api;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use crate::crash_world::CrashWorld;
use crate::setup::{WALL, job_id, record, step};

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

/// Guards against a task that crashes server after server: runs that were lost with their worker left no
/// trace on their task, which was started without end.
#[test]
fn task_that_crashes_its_workers_is_given_up() {
    let mut world = CrashWorld::new(8, 32);
    let job = deadly_job(&mut world, 1, vec![step(4, 2, 500)]);
    world.submit(job);
    assert_given_up(&mut world, SECOND * 40);
}

/// Guards against crashes that are counted in memory only: each new leader started the task from the
/// beginning.
#[test]
fn crashes_of_a_task_outlive_the_leader() {
    let mut world = CrashWorld::new(8, 32);
    let job = deadly_job(&mut world, 1, vec![step(4, 2, 500)]);
    world.submit(job);
    for _ in 0..12 {
        world.run(SECOND * 4);
        world.take_over();
    }
    assert_given_up(&mut world, SECOND * 10);
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

/// Guards against a job that fails without telling why: the caller's answer and the explanation name the
/// workers that crashed.
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

/// Runs a job with a deadly first task to its end and checks that the task was given up in time.
fn assert_given_up(world: &mut CrashWorld, time: Duration) {
    world.run(time);
    assert_eq!(world.state(&job_id(1)), Some(JobState::Failed));
    let starts: Vec<u32> = world.deadly.iter().map(|task| world.starts[task]).collect();
    assert!(starts.iter().all(|starts| *starts <= MAX_STARTS), "{starts:?}");
}

/// Guards against kinds of tasks that are never given up: gangs, long-running and scheduled ones.
#[test]
fn every_kind_of_task_is_given_up() {
    let mut gang = step(4, 2, 500);
    gang.is_gang = true;
    let mut long_running = step(4, 2, 0);
    long_running.is_long_running = true;
    long_running.max_per_worker = Some(1);
    let mut checkpointing = step(4, 2, 500);
    checkpointing.has_checkpoints = true;
    for kind in [gang, long_running, checkpointing] {
        let mut world = CrashWorld::new(8, 32);
        world.run_time = if kind.is_long_running {
            SECOND * 1_000
        } else {
            SECOND
        };
        let job = deadly_job(&mut world, 1, vec![kind]);
        world.submit(job);
        assert_given_up(&mut world, SECOND * 60);
    }
    let mut world = CrashWorld::new(8, 32);
    let mut job = deadly_job(&mut world, 1, vec![step(2, 2, 500)]);
    job.spec.schedule = Some(JobSchedule {
        first: WALL,
        interval: SECOND * 1_000,
        count: 3,
    });
    world.submit(job);
    assert_given_up(&mut world, SECOND * 40);
}

/// Guards against neighbours that pay for a deadly task: on a full pool its next starts have a worker for
/// themselves, and all other jobs complete.
#[test]
fn neighbours_of_a_deadly_task_complete() {
    let mut world = CrashWorld::new(8, 16);
    for number in 1..=24 {
        let job = record(number, vec![step(6, 3, 1_000)]);
        if number % 8 == 1 {
            world.deadly.insert(task(number, 0, 0));
        }
        world.submit(job);
    }
    world.run(SECOND * 60);
    for number in 1..=24 {
        let expected = if number % 8 == 1 {
            JobState::Failed
        } else {
            JobState::Completed
        };
        assert_eq!(world.state(&job_id(number)), Some(expected), "job {number}");
    }
    for (task, crashes) in &world.crashes {
        let is_neighbour = !world.deadly.iter().any(|deadly| deadly.step.job == task.step.job);
        assert!(!is_neighbour || *crashes <= 2, "{task} was in {crashes} crashes");
    }
}

/// Guards against a crash that is counted twice: its worker is seen to be gone late, after its lease has
/// expired, and again by a new leader.
#[test]
fn crash_seen_late_and_by_a_new_leader_counts_once() {
    for keeps_id in [false, true] {
        let mut world = CrashWorld::new(4, 8);
        world.keeps_id = keeps_id;
        world.restart_time = SECOND * 7;
        world.run_time = SECOND * 8;
        world.submit(record(1, vec![step(1, 2, 8_000)]));
        world.run(SECOND);
        let number = world.places(&task(1, 0, 0))[0];
        world.crash(number);
        world.run(SECOND * 6);
        world.take_over();
        world.run(SECOND * 3);
        world.take_over();
        world.run(SECOND);
        let job = world.scheduler.job(&job_id(1)).expect("job");
        let losses = &job.occurrences[&0].steps[0].tasks[0].losses;
        assert_eq!(losses.crashes().count(), 1, "{losses:?}");
        world.run(SECOND * 10);
        assert_eq!(world.state(&job_id(1)), Some(JobState::Completed));
    }
}

/// Guards against losses that are held against tasks although their worker lives: cuts that heal, and workers
/// that leave as planned.
#[test]
fn cuts_and_planned_ends_leave_no_record() {
    let mut world = CrashWorld::new(4, 8);
    world.run_time = SECOND * 20;
    world.submit(record(1, vec![step(1, 2, 20_000)]));
    world.run(SECOND);
    let number = world.places(&task(1, 0, 0))[0];
    world.cut(number, SECOND * 7);
    world.run(SECOND);
    let losses = |world: &CrashWorld| {
        let job = world.scheduler.job(&job_id(1)).expect("job");
        job.occurrences[&0].steps[0].tasks[0].losses.clone()
    };
    assert_eq!(losses(&world).lost_runs(), 1, "missing at first");
    world.run(SECOND * 8);
    assert!(losses(&world).is_empty(), "{:?}", losses(&world));
    let number = world.places(&task(1, 0, 0))[0];
    let leaving = world.worker(number);
    world.scheduler.set_plan(PoolPlan {
        version: PlanVersion::new(1),
        evacuating: [leaving].into(),
        ..PoolPlan::default()
    });
    world.crash(number);
    world.run(SECOND * 6);
    assert!(losses(&world).is_empty(), "{:?}", losses(&world));
}

/// Guards against tasks that are held responsible for a lost rack, and against a whole pool that isolates
/// them.
#[test]
fn lost_rack_makes_no_suspects() {
    let mut world = CrashWorld::new(8, 16);
    for number in 1..=16 {
        world.submit(record(number, vec![step(4, 2, 1_000)]));
    }
    world.run(Duration::from_millis(100));
    for number in 0..4 {
        world.crash(number);
    }
    world.run(SECOND * 30);
    for number in 1..=16 {
        assert_eq!(
            world.state(&job_id(number)),
            Some(JobState::Completed),
            "job {number}"
        );
    }
    assert!(!world.notes.iter().any(|note| note.starts_with("job isolated")));
}

/// Guards against a start of a suspect that is sent before it is stored: the next leader would not know of
/// the crash under it.
#[test]
fn start_of_a_suspect_is_stored_first() {
    let mut world = CrashWorld::new(4, 8);
    let job = deadly_job(&mut world, 1, vec![step(1, 2, 500)]);
    world.submit(job);
    world.run(SECOND);
    world.is_storing = false;
    world.run(SECOND * 20);
    assert_eq!(world.starts[&task(1, 0, 0)], 1, "nothing can be stored");
    world.is_storing = true;
    assert_given_up(&mut world, SECOND * 30);
}

/// Guards against suspects that wait for ever, keep workers for themselves for ever, or fail without being deadly:
/// random jobs beside random crashes, cuts and take-overs. Once the faults have ended, all jobs end.
#[test]
fn random_crashes_give_up_deadly_tasks_only() {
    for seed in 1..=12 {
        let mut random = StdRng::seed_from_u64(seed);
        let mut world = CrashWorld::new(random.random_range(4..10), 16);
        world.run_time = Duration::from_millis(random.random_range(300..2_500));
        world.keeps_id = random.random();
        for number in 1..=60 {
            let mut spec = step(random.random_range(1..8), random.random_range(1..9), 1_000);
            spec.is_speculative = random.random_bool(0.3);
            spec.max_per_worker = random.random_bool(0.2).then_some(2);
            let steps = vec![
                spec.clone(),
                StepSpec {
                    depends_on: vec![0],
                    ..spec
                },
            ];
            let mut job = record(number, steps);
            job.accepted_at = WALL;
            if random.random_bool(0.1) {
                world.deadly.insert(task(number, 0, 0));
            }
            world.submit(job);
            world.run(Duration::from_millis(random.random_range(0..600)));
            let on = random.random_range(0..world.size());
            match random.random_range(0..20) {
                0 => world.crash(on),
                1 => world.cut(on, SECOND * 3),
                2 => world.take_over(),
                _ => {}
            }
        }
        world.run(SECOND * 150);
        for number in 1..=60 {
            let is_deadly = world.deadly.contains(&task(number, 0, 0));
            let expected = if is_deadly {
                JobState::Failed
            } else {
                JobState::Completed
            };
            assert_eq!(
                world.state(&job_id(number)),
                Some(expected),
                "seed {seed}, job {number}"
            );
        }
        let starts = world.deadly.iter().map(|task| world.starts[task]);
        let most = starts.max().unwrap_or(0);
        assert!(most <= MAX_STARTS, "seed {seed}: a task was started {most} times");
    }
}

/// Guards against suspects that wait for room and meanwhile store a planned start in each pass, each time on another
/// worker (hunted on the Pie Co-op, deadly-and-store, seed 861737414901: LOST).
#[test]
fn waiting_suspects_write_little() {
    let mut world = CrashWorld::new(10, 16);
    world.run_time = SECOND * 3;
    for number in 1..=80 {
        if number % 2 == 0 {
            world.deadly.insert(task(number, 0, 0));
        }
        world.submit(record(number, vec![step(2, 1, 3_000)]));
    }
    world.run(SECOND * 60);
    let starts: u32 = world.starts.values().sum();
    assert!(
        world.writes < 6 * starts,
        "{} writes for {starts} starts",
        world.writes
    );
}

/// Guards against losses that a run has cleared, but that the next leader reads again: the run was too old to be
/// recorded when its worker was lost.
#[test]
fn losses_cleared_by_a_long_run_are_not_read_again() {
    let mut world = CrashWorld::new(2, 8);
    world.run_time = SECOND * 40;
    world.restart_time = SECOND * 7;
    world.submit(record(1, vec![step(1, 2, 40_000)]));
    world.submit(record(2, vec![step(2, 2, 40_000)]));
    for time in [SECOND, SECOND * 12] {
        world.run(time);
        let number = world.places(&task(1, 0, 0))[0];
        world.crash(number);
        world.run(SECOND * 6);
    }
    let stored = &world.progress[&job_id(1)];
    let losses = stored.occurrences[&0].iter().flat_map(|step| &step.losses);
    assert_eq!(losses.count(), 0, "{stored:?}");
}

/// Guards against a task that crashes its workers later than most: its crashes are not early, and on a busy pool
/// the first ones are not isolated, so that they proved nothing.
#[test]
fn task_that_crashes_its_workers_late_is_given_up() {
    let mut seen = Vec::new();
    for delay in [10, 400, 1_000, 3_000].map(Duration::from_millis) {
        for seed in 1..=3 {
            let mut random = StdRng::seed_from_u64(seed);
            let mut world = CrashWorld::new(random.random_range(2..9), 16);
            world.crash_delay = delay;
            let job = deadly_job(&mut world, 1, vec![step(2, 2, 1_000)]);
            world.submit(job);
            let must_take_over = random.random_bool(0.5);
            for number in 10..310 {
                world.submit(record(number, vec![step(2, 2, 1_000)]));
                world.run(Duration::from_millis(random.random_range(50..350)));
                if must_take_over && random.random_bool(0.01) {
                    world.take_over();
                }
            }
            let starts = world.starts[&task(1, 0, 0)];
            if starts > MAX_STARTS || world.state(&job_id(1)) != Some(JobState::Failed) {
                seen.push(format!(
                    "crash after {delay:?}, seed {seed}: {starts} starts, {:?}",
                    world.state(&job_id(1))
                ));
            }
        }
    }
    assert!(seen.is_empty(), "{seen:#?}");
}

/// Guards against early crashes that are lost with their leader, three in a row, each before anything of it was
/// stored.
#[test]
fn task_whose_crashes_are_lost_with_three_leaders_is_given_up() {
    let mut world = CrashWorld::new(8, 16);
    let job = deadly_job(&mut world, 1, vec![step(1, 2, 500)]);
    world.is_storing = false;
    world.submit(job);
    for leader in 1..=3 {
        while world.starts.get(&task(1, 0, 0)).copied().unwrap_or(0) < leader {
            world.run(Duration::from_millis(10));
        }
        world.run(Duration::from_millis(50));
        world.take_over();
    }
    world.is_storing = true;
    assert_given_up(&mut world, SECOND * 40);
}
