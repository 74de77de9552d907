//! Randomized store and worker faults, from a fixed seed each.

use std::collections::BTreeMap;
use std::sync::atomic::Ordering;
use std::time::Duration;

use figloft::error::WorkOutcome;
use figloft::model::id::JobId;
use figloft::model::priority::WorkPriority;
use figloft::port::store::fault::{FaultSpan, StoreFault};
use figloft::port::worker::fault::WorkerFault;
use figloft::port::worker::task::TaskOutcome;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use crate::simulation::{Session, Simulation, instance, name};

const LIMITS: [(&str, u32); 2] = [("a", 5), ("b", 9)];

fn inject_fault(simulation: &Simulation, session: &Session, random: &mut StdRng) {
    let on = instance(random.random_range(0..simulation.workers));
    match random.random_range(0..12) {
        0 => simulation.fleet.set_fault(&on, WorkerFault::FailsAll),
        1 => simulation.fleet.set_fault(&on, WorkerFault::Hangs),
        2 => simulation.fleet.set_fault(&on, WorkerFault::LosesAnswers),
        3 => simulation.fleet.set_fault(&on, WorkerFault::Unreachable),
        4 => simulation.fleet.set_fault(&on, WorkerFault::Refuses),
        5 => simulation.fleet.crash(&on),
        6 => simulation
            .store
            .set_fault(StoreFault::Down, FaultSpan::NextCalls(random.random_range(1..20))),
        7 => simulation
            .store
            .set_fault(StoreFault::AnswerLost, FaultSpan::NextCalls(2)),
        8 => simulation
            .store
            .set_fault(StoreFault::RequestLost, FaultSpan::NextCalls(2)),
        9 => session.is_fresh.store(random.random(), Ordering::SeqCst),
        _ => {
            simulation.fleet.recover(&on);
            simulation.fleet.clear_faults(&on);
        }
    }
}

fn submission(
    simulation: &Simulation,
    session: &Session,
    random: &mut StdRng,
) -> figloft::policy::job_event::JobSubmission {
    let team = LIMITS[random.random_range(0..2)].0;
    let mut submission = simulation.job(session, team, random.random_range(100..6_000));
    submission.repeatable = random.random();
    submission.priority = WorkPriority::ALL[random.random_range(0..3)];
    submission
}

/// Runs one seed: faults for at least 100 s, then none until all jobs have ended.
async fn run_seed(seed: u64) {
    let mut random = StdRng::seed_from_u64(seed);
    let simulation = Simulation::new(4);
    let session = simulation.session("s1");
    for (team, limit) in LIMITS {
        simulation.team(team, limit, "s1");
    }
    let mut refused = Vec::new();
    let mut acknowledged: BTreeMap<JobId, bool> = BTreeMap::new();
    for step in 0..1_000 {
        if step % 10 == 0 {
            inject_fault(&simulation, &session, &mut random);
        }
        if random.random_range(0..8) == 0 {
            let submission = submission(&simulation, &session, &mut random);
            let repeatable = submission.repeatable;
            let id = submission.job.clone();
            match simulation.submit(&session, submission).await {
                Ok(job) => drop(acknowledged.insert(job, repeatable)),
                Err(error) if error.kind().response().outcome == WorkOutcome::NotRun => refused.push(id),
                Err(_) => {}
            }
        }
        simulation.step(&session).await;
    }
    simulation.store.clear_faults();
    session.is_fresh.store(true, Ordering::SeqCst);
    for index in 0..simulation.workers {
        simulation.fleet.recover(&instance(index));
        simulation.fleet.clear_faults(&instance(index));
    }
    simulation.run_for(&session, Duration::from_mins(10)).await;
    for (team, limit) in LIMITS {
        let max = simulation.max_running(team);
        assert!(
            max <= limit as usize,
            "seed {seed}: team {team} ran {max} of {limit}"
        );
    }
    for job in &refused {
        assert!(
            simulation.records(job).is_empty(),
            "seed {seed}: {job} was refused and ran"
        );
    }
    for (job, repeatable) in &acknowledged {
        let runs = simulation.records(job);
        let stage = session.runner.view(job).map(|view| view.stage);
        let running = runs.iter().filter(|record| record.end.is_none()).count();
        assert!(*repeatable || ran_once(&runs), "seed {seed}: {job} ran {runs:?}");
        assert_eq!(running, 0, "seed {seed}: {job} still runs");
        // A job that ended can be looked up for 10 minutes only.
        let is_done = stage.is_none_or(|stage| stage == figloft::process::job_task::JobStage::Ended);
        assert!(is_done, "seed {seed}: {job} is {stage:?}");
    }
}

/// Whether a job that is not repeatable ran once: a single run, or several that each resume a checkpoint of
/// the previous one.
fn ran_once(runs: &[figloft::port::worker::task::TaskRecord]) -> bool {
    let checkpointed = runs.iter().filter(|record| {
        let end = record.end.as_ref().map(|end| &end.outcome);
        matches!(end, Some(TaskOutcome::Checkpointed { .. }))
    });
    runs.len() <= checkpointed.count() + 1
}

/// Guards against a team that exceeds its limit, a refused job that runs, a second run of a job that is not
/// repeatable, and an acknowledged job that never ends, under random faults. `FIGLOFT_SEEDS` sets the number
/// of seeds.
#[tokio::test]
async fn limits_and_single_runs_hold_under_faults() {
    for seed in 1..=seeds() {
        run_seed(seed).await;
    }
}

/// Steps the adopter and retries until the adoption succeeds, despite store faults.
async fn adopt(simulation: &Simulation, adopter: &Session) {
    loop {
        let runner = adopter.runner.clone();
        let adopting = tokio::spawn(async move { runner.adopt(&name("s1")).await });
        while !adopting.is_finished() {
            tokio::task::yield_now().await;
            simulation.step(adopter).await;
        }
        if adopting.await.expect("does not panic").is_ok() {
            return;
        }
    }
}

/// Runs one seed: a session stops while its jobs run, and another one adopts them under store faults.
async fn run_adoption(seed: u64) {
    let mut random = StdRng::seed_from_u64(seed);
    let simulation = Simulation::new(4);
    let (first, second) = (simulation.session("s1"), simulation.session("s2"));
    for (team, limit) in LIMITS {
        simulation.team(team, limit, "s1");
        simulation.allow(team, limit / 2, "s1");
        simulation.allow(team, limit - limit / 2, "s2");
    }
    let mut acknowledged: BTreeMap<JobId, bool> = BTreeMap::new();
    for _ in 0..random.random_range(20..120) {
        let submission = submission(&simulation, &first, &mut random);
        let repeatable = submission.repeatable;
        if random.random_range(0..6) == 0 {
            let span = FaultSpan::NextCalls(random.random_range(1..4));
            simulation.store.set_fault(StoreFault::AnswerLost, span);
        }
        if let Ok(job) = simulation.submit(&first, submission).await {
            acknowledged.insert(job, repeatable);
        }
    }
    let ended: Vec<JobId> = acknowledged
        .keys()
        .filter(|job| first.has_ended(job))
        .cloned()
        .collect();
    let span = FaultSpan::NextCalls(random.random_range(0..6));
    simulation.store.set_fault(StoreFault::AnswerLost, span);
    adopt(&simulation, &second).await;
    simulation.store.clear_faults();
    simulation.run_for(&second, Duration::from_mins(5)).await;
    for (team, limit) in LIMITS {
        let max = simulation.max_running(team);
        assert!(
            max <= limit as usize,
            "seed {seed}: team {team} ran {max} of {limit}"
        );
    }
    for (job, repeatable) in &acknowledged {
        let runs = simulation.records(job);
        assert!(*repeatable || ran_once(&runs), "seed {seed}: {job} ran {runs:?}");
        let is_known = second.runner.view(job).is_some_and(|view| view.end.is_some());
        assert!(is_known || ended.contains(job), "seed {seed}: {job} was lost");
    }
}

/// Guards against jobs that are lost, run twice or exceed a limit when a session ends while its jobs run and
/// answers of the store are lost during the adoption.
#[tokio::test]
async fn adoption_loses_nothing_and_repeats_nothing() {
    for seed in 1..=seeds() {
        run_adoption(seed).await;
    }
}

fn seeds() -> u64 {
    let last = std::env::var("FIGLOFT_SEEDS").ok();
    last.and_then(|text| text.parse().ok()).unwrap_or(6)
}
