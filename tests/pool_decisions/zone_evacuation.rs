//! Zones under evacuation: what a pool's leader starts, moves and reports.

use std::time::{Duration, Instant};

use figloft::dispatch::command::StartOutcome;
use figloft::dispatch::evacuated_zones::{self, EvacuatedZones, ZoneChange};
use figloft::dispatch::job_record::JobState;
use figloft::dispatch::job_spec::StepSpec;
use figloft::dispatch::pool_plan::ZoneRuns;
use figloft::dispatch::pool_scheduler::PoolScheduler;
use figloft::dispatch::task_id::{StepId, TaskId};
use figloft::model::id::{StoreRevision, ZoneId};
use figloft::model::resource::ResourceSet;
use figloft::platform::settings::NodeSettings;
use figloft::platform::zone_evacuation;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use serde_json::json;

use crate::crash_world::CrashWorld;
use crate::setup::{WALL, entry, job_id, record, scheduler, start_all, starts, step, worker_id};

const BOUND: Duration = Duration::from_secs(5);
const SECOND: Duration = Duration::from_secs(1);
const TICK: Duration = Duration::from_millis(10);

fn zone(number: usize) -> ZoneId {
    ZoneId::new(format!("zone-{number}")).expect("zone")
}

/// View of a leader whose last request was answered just now.
fn view(now: Instant, zones: &[usize]) -> EvacuatedZones {
    let mut view = EvacuatedZones::new(BOUND);
    let zones = zones.iter().map(|number| zone(*number)).collect();
    assert!(view.replace(now, StoreRevision::new(1), zones));
    view
}

/// Scheduler with workers of 8 cores in the given zones; no zone is under evacuation.
fn scheduler_in(now: Instant, zones: &[usize]) -> PoolScheduler {
    let mut scheduler = scheduler(now, zones.len(), 8);
    for (number, in_zone) in zones.iter().enumerate() {
        let mut entry = entry(number, 8);
        entry.zone = zone(*in_zone);
        scheduler.set_worker(now, entry);
    }
    scheduler.set_evacuated_zones(view(now, &[]));
    scheduler
}

/// World with an instance in each of the given zones.
fn world_in(zones: &[usize], cores: u64) -> CrashWorld {
    let mut world = CrashWorld::new(zones.len(), cores);
    for (number, in_zone) in zones.iter().enumerate() {
        world.change_entry(number, |entry| entry.zone = zone(*in_zone));
    }
    world.scheduler.set_evacuated_zones(view(world.now, &[]));
    world
}

/// Runs the world while these zones are under evacuation and the store answers; `check` sees each step.
fn run_with(world: &mut CrashWorld, time: Duration, zones: &[usize], mut check: impl FnMut(&CrashWorld)) {
    let end = world.now + time;
    while world.now < end {
        world.scheduler.set_evacuated_zones(view(world.now, zones));
        world.run(TICK);
        check(world);
    }
}

fn long_running(tasks: u32, cores: u64) -> StepSpec {
    StepSpec {
        is_long_running: true,
        ..step(tasks, cores, 0)
    }
}

fn task(job: usize, index: u32) -> TaskId {
    StepId::new(job_id(job), 0, 0).task(index)
}

/// Guards against a kind of start that passes the zone: all start at once on the workers of the zone otherwise.
#[test]
fn nothing_starts_in_a_zone_under_evacuation() {
    let gang = StepSpec {
        is_gang: true,
        ..step(2, 2, 1_000)
    };
    for spec in [step(2, 2, 1_000), gang, long_running(2, 2)] {
        for is_open in [true, false] {
            let now = Instant::now();
            let mut scheduler = scheduler_in(now, &[0, 0, 0, 1, 1]);
            scheduler.set_evacuated_zones(view(now, if is_open { &[] } else { &[0] }));
            scheduler.submit(now, now, record(1, vec![spec.clone()]), None);
            let started = start_all(&mut scheduler, now);
            assert_eq!(started.len(), 2, "{spec:?}");
            let in_zone = started.iter().filter(|start| start.zone == zone(0)).count();
            assert_eq!(in_zone > 0, is_open, "{spec:?}");
        }
    }
}

/// Guards against the second copy of a slow task in the zone.
#[test]
fn second_copy_does_not_start_in_a_zone_under_evacuation() {
    for is_open in [true, false] {
        let now = Instant::now();
        let mut scheduler = scheduler_in(now, &[0, 1]);
        let spec = StepSpec {
            is_speculative: true,
            ..step(1, 2, 500)
        };
        scheduler.set_evacuated_zones(view(now, &[0]));
        scheduler.submit(now, now, record(1, vec![spec]), None);
        assert_eq!(start_all(&mut scheduler, now).len(), 1);
        let later = now + SECOND + SECOND / 2;
        scheduler.set_evacuated_zones(view(later, if is_open { &[] } else { &[0] }));
        let copies = starts(scheduler.decide(later, WALL, true));
        assert_eq!(copies.len(), usize::from(is_open));
    }
}

/// Guards against starts while the watch is silent: the zone may be under evacuation by now. Also guards against starts
/// that do not resume, and against a new leader that starts tasks before its first read.
#[test]
fn nothing_starts_without_a_confirmed_view() {
    let now = Instant::now();
    let mut scheduler = scheduler_in(now, &[0]);
    scheduler.set_evacuated_zones(EvacuatedZones::new(BOUND));
    scheduler.submit(now, now, record(1, vec![step(1, 1, 1_000)]), None);
    assert_eq!(
        start_all(&mut scheduler, now),
        Vec::new(),
        "before the first read"
    );
    scheduler.set_evacuated_zones(view(now, &[]));
    let limit = evacuated_zones::max_age(BOUND);
    let late = now + limit + TICK;
    assert_eq!(start_all(&mut scheduler, late), Vec::new(), "after the limit");
    scheduler.set_evacuated_zones(view(late, &[]));
    assert_eq!(start_all(&mut scheduler, late + limit).len(), 1);
}

/// Guards against an answer from the past that opens a zone again or confirms the view.
#[test]
fn older_answer_neither_changes_nor_confirms_the_view() {
    let now = Instant::now();
    let mut view = EvacuatedZones::new(BOUND);
    let requested = [ZoneChange::Requested(zone(0))];
    assert!(view.replace(now, StoreRevision::new(7), [].into()));
    assert!(view.apply(now, StoreRevision::new(9), requested));
    let later = now + SECOND * 3;
    assert!(!view.replace(later, StoreRevision::new(8), [].into()));
    assert!(!view.apply(later, StoreRevision::new(8), [ZoneChange::Ended(zone(0))]));
    assert!(!view.may_start(now, &zone(0)) && view.may_start(now, &zone(1)));
    assert!(!view.is_confirmed(now + SECOND * 4));
    // An answer to an earlier request that comes later does not shorten the confirmation.
    assert!(view.apply(later, StoreRevision::new(9), []));
    assert!(view.apply(now, StoreRevision::new(9), []));
    assert!(view.is_confirmed(now + SECOND * 6));
    assert!(view.apply(later, StoreRevision::new(10), [ZoneChange::Ended(zone(0))]));
    assert!(view.may_start(later, &zone(0)));
}

/// Guards against a start without an answer that is repeated in the zone, and against a job that is lost with it.
#[test]
fn unanswered_start_is_repeated_elsewhere() {
    let mut world = world_in(&[0, 1], 8);
    world.mute(0, SECOND);
    world.submit(record(1, vec![step(1, 1, 1_000)]));
    run_with(&mut world, TICK, &[], |_| {});
    assert_eq!(world.sent_starts.len(), 1);
    assert_eq!(world.sent_starts[0].1, zone(0));
    run_with(&mut world, SECOND * 10, &[0], |_| {});
    let again = &world.sent_starts[1..];
    assert!(again.iter().all(|(_, in_zone)| *in_zone == zone(1)));
    assert_eq!(world.state(&job_id(1)), Some(JobState::Completed));
}

/// Guards against a start that was withheld just before it was sent and counts against its worker: the task would wait
/// for the end of a backoff, or for good.
#[test]
fn withheld_start_counts_as_not_sent() {
    let now = Instant::now();
    let mut scheduler = scheduler_in(now, &[0]);
    scheduler.submit(now, now, record(1, vec![step(1, 1, 1_000)]), None);
    for _ in 0..3 {
        let start = starts(scheduler.decide(now, WALL, true)).remove(0);
        scheduler.set_evacuated_zones(view(now, &[0]));
        scheduler.handle_start_outcome(now, &start.target.worker, &start.run, StartOutcome::Withheld);
        assert_eq!(starts(scheduler.decide(now, WALL, true)), Vec::new());
        assert_eq!(scheduler.workers()[&worker_id(0)].used, ResourceSet::default());
        scheduler.set_evacuated_zones(view(now, &[]));
    }
    assert_eq!(start_all(&mut scheduler, now).len(), 1);
}

/// Guards against moves that take more tasks of a step away at once than it allows, and against tasks that stay.
#[test]
fn long_running_tasks_leave_one_at_a_time() {
    let mut world = world_in(&[0, 0, 1, 1], 8);
    // The tasks start in the zone: the others are full until then.
    world.submit(record(1, vec![long_running(2, 8)]));
    run_with(&mut world, SECOND, &[0], |_| {});
    world.submit(record(2, vec![long_running(4, 4)]));
    run_with(&mut world, SECOND * 2, &[], |_| {});
    let places = |world: &CrashWorld, index| world.places(&task(2, index));
    assert!((0..4).all(|index| places(&world, index).iter().all(|place| *place < 2)));
    world.cancel(&job_id(1));
    run_with(&mut world, SECOND * 10, &[0], |world| {
        let away = (0..4).filter(|index| places(world, *index).is_empty()).count();
        assert!(away <= 1, "{away} tasks away");
    });
    assert!((0..4).all(|index| places(&world, index).iter().all(|place| *place >= 2)));
    let requested = world
        .notes
        .iter()
        .rposition(|note| note.starts_with("zone evacuation requested"));
    let evacuated = world
        .notes
        .iter()
        .rposition(|note| note.starts_with("zone evacuated"));
    assert!(evacuated > requested && requested.is_some(), "{:#?}", world.notes);
}

/// Guards against a long-running task that is stopped although no worker of another zone can take it, and against
/// waiting tasks that are given up instead of waiting for the end of the evacuation.
#[test]
fn full_zones_keep_tasks_waiting() {
    let mut world = world_in(&[0, 1], 8);
    world.submit(record(1, vec![long_running(1, 8)]));
    run_with(&mut world, SECOND, &[0], |_| {});
    world.submit(record(2, vec![long_running(1, 4)]));
    run_with(&mut world, SECOND * 3, &[], |_| {});
    assert_eq!(world.places(&task(2, 0)), [0]);
    world.submit(record(3, vec![step(1, 8, 100)]));
    run_with(&mut world, SECOND * 8, &[0], |world| {
        assert_eq!(world.places(&task(2, 0)), [0]);
        assert!(world.places(&task(3, 0)).is_empty());
    });
    world.cancel(&job_id(2));
    run_with(&mut world, SECOND * 5, &[], |_| {});
    assert_eq!(world.state(&job_id(3)), Some(JobState::Completed));
}

/// Guards against zones that count as one, against jobs that are refused or lost while all zones are under evacuation,
/// and against an unknown zone that has an effect.
#[test]
fn several_zones_are_evacuated_at_once() {
    for (requested, open) in [(&[0, 1][..], 1), (&[0, 1, 2], 0), (&[7], 3)] {
        let now = Instant::now();
        let mut scheduler = scheduler_in(now, &[0, 1, 2]);
        scheduler.set_evacuated_zones(view(now, requested));
        scheduler.submit(now, now, record(1, vec![step(3, 8, 1_000)]), None);
        let started = start_all(&mut scheduler, now);
        assert_eq!(started.len(), open, "{requested:?}");
        scheduler.set_evacuated_zones(view(now, &[]));
        assert_eq!(start_all(&mut scheduler, now).len(), 3 - open, "{requested:?}");
    }
}

/// Guards against a crash in the zone that is put down to the evacuation: the evacuation ends no process.
#[test]
fn crash_in_the_zone_makes_a_suspect() {
    let mut world = world_in(&[0, 1], 8);
    world.submit(record(1, vec![step(1, 1, 1_000)]));
    run_with(&mut world, TICK * 5, &[], |_| {});
    assert_eq!(world.places(&task(1, 0)), [0]);
    run_with(&mut world, TICK * 5, &[0], |_| {});
    world.crash(0);
    run_with(&mut world, SECOND / 2, &[0], |_| {});
    let job = world.scheduler.job(&job_id(1)).expect("job");
    let losses = &job.occurrences[&0].steps[0].tasks[0].losses;
    assert!(!losses.is_empty(), "the loss is on record");
}

/// Guards against workers of the zone that count as capacity, and against a worker that the fleet leader moves or
/// maintains because it was reported as empty under a plan: the pool's leader opens it when the evacuation ends.
#[test]
fn report_names_the_runs_in_the_zone() {
    let now = Instant::now();
    let mut scheduler = scheduler_in(now, &[0, 0, 1]);
    let record = record(1, vec![step(1, 8, 1_000), long_running(2, 8)]);
    scheduler.submit(now, now, record, None);
    assert_eq!(start_all(&mut scheduler, now).len(), 3);
    assert!(scheduler.report(now).zone_runs.is_empty());
    scheduler.set_evacuated_zones(view(now, &[0, 7]));
    let report = scheduler.report(now);
    let runs = report.zone_runs[&zone(0)];
    assert_eq!(runs.finite + runs.long_running, 2);
    assert_eq!(report.zone_runs.len(), 1, "the pool has no worker in zone 7");
    assert!(ZoneRuns::default().is_empty() && !runs.is_empty());
    assert_eq!(report.usable_workers(), 1);
    assert!(report.workers.values().all(|usage| !usage.is_evacuating));
}

/// Guards against any start in the zone from the request to its end: under crashes, suspects, cuts, starts without an
/// answer, second copies, gangs and a take-over, whose leader has not read the requests at first.
#[test]
fn nothing_starts_in_the_zone_under_faults() {
    for seed in 0..6 {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut world = world_in(&[0, 1, 2, 0, 1, 2, 0, 1, 2], 16);
        world.submit(record(1, vec![long_running(6, 3)]));
        let mut job = 1;
        let mut request = None;
        let closed = seed as usize % 3;
        for tenth in 0..150 {
            let zones = if (30..110).contains(&tenth) {
                request = request.or(Some((world.now, world.sent_starts.len())));
                &[closed][..]
            } else {
                &[]
            };
            job += 1;
            let spec = StepSpec {
                is_gang: job % 5 == 0,
                is_speculative: job % 5 == 1,
                ..step(rng.random_range(1..4), rng.random_range(1..4), 300)
            };
            world.submit(record(job, vec![spec]));
            let number = rng.random_range(0..9);
            match rng.random_range(0..12) {
                0 => world.crash(number),
                1 => world.cut(number, SECOND),
                2 => world.mute(number, SECOND),
                _ => {}
            }
            if tenth % 40 == 35 {
                world.take_over();
                world.scheduler.set_evacuated_zones(EvacuatedZones::new(BOUND));
                let before = world.sent_starts.len();
                world.run(TICK * 5);
                assert_eq!(
                    world.sent_starts.len(),
                    before,
                    "seed {seed}: before the first read"
                );
            }
            let before = world.sent_starts.len();
            run_with(&mut world, TICK * 10, zones, |_| {});
            let is_in_zone = |start: &(Instant, ZoneId)| start.1 == zone(closed);
            let in_zone = world.sent_starts[before..].iter().any(is_in_zone);
            assert!(
                !in_zone || zones.is_empty(),
                "seed {seed}, {tenth}: start in the zone"
            );
        }
        let (_, before) = request.expect("request");
        let in_zone = |starts: &[(Instant, ZoneId)]| starts.iter().any(|start| start.1 == zone(closed));
        assert!(
            in_zone(&world.sent_starts[..before]),
            "seed {seed}: before the request"
        );
        assert!(
            in_zone(&world.sent_starts[before..]),
            "seed {seed}: after the end"
        );
    }
}

/// Guards against a key that names no zone and has an effect.
#[test]
fn key_names_the_zone() {
    let parse = |key| zone_evacuation::parse_zone(key).ok();
    assert_eq!(parse("op/evacuate/zone-3"), Some(zone(3)));
    for key in [
        "op/evacuate/",
        "op/evacuate/a/b",
        "op/evacuate/ ",
        "op/wave/zone-3",
    ] {
        assert_eq!(parse(key), None, "{key}");
    }
}

/// Guards against requests that are watched although the settings give no bound, and against a bound that would stop
/// all starts.
#[test]
fn settings_give_the_bound() {
    let parse = |bounds| {
        let settings = json!({"node": "n", "zone": "zone-a", "bind-ip": "127.0.0.1", "bounds": bounds,
            "listen-addrs": {"front": "127.0.0.1:1", "ready": "127.0.0.1:2"},
            "platform": {"address": "127.0.0.1:3"}});
        NodeSettings::parse(settings.to_string().as_bytes())
    };
    assert_eq!(parse(json!({})).expect("settings").evacuation_bound, None);
    let bounds = json!({"evacuate-ms": 5_000, "max-stretch-ms": 6_000});
    assert_eq!(parse(bounds).expect("settings").evacuation_bound, Some(BOUND));
    let error = parse(json!({"evacuate-ms": 500})).expect_err("too short");
    assert!(error.message().contains("bounds.evacuate-ms"), "{error}");
    assert!(EvacuatedZones::default().may_start(Instant::now(), &zone(0)));
}
