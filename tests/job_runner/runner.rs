//! Tests of job starts and ends, leases, limits, preemption and adoption.

use std::sync::atomic::Ordering;
use std::time::Duration;

use figloft::error::{ErrorKind, WorkOutcome};
use figloft::model::amount::MemoryMib;
use figloft::model::id::JobId;
use figloft::model::priority::WorkPriority;
use figloft::port::store::fault::{FaultSpan, StoreFault};
use figloft::port::worker::fault::{TaskTruth, WorkerFault};
use figloft::port::worker::task::TaskOutcome;
use figloft::process::job_runner::JobNotice;
use figloft::process::job_task::JobStage;
use figloft::process::job_usage::JobUsage;

use crate::simulation::{LEASE, Session, Simulation, instance, name};

async fn submit_jobs(
    simulation: &Simulation,
    session: &Session,
    count: usize,
    team: &str,
    run_ms: u64,
) -> Vec<JobId> {
    let mut jobs = Vec::new();
    for _ in 0..count {
        let submission = simulation.job(session, team, run_ms);
        jobs.push(simulation.submit(session, submission).await.expect("is accepted"));
    }
    jobs
}

/// Guards against an acknowledged job that does not run, or runs twice.
#[tokio::test]
async fn a_submitted_job_runs_once_and_its_end_is_known() {
    let simulation = Simulation::new(2);
    simulation.team("t", 4, "s1");
    let session = simulation.session("s1");
    let job = submit_jobs(&simulation, &session, 1, "t", 2_000).await.remove(0);
    simulation.run_for(&session, Duration::from_secs(5)).await;
    let end = session.view(&job).end.expect("has ended");
    assert!(end.succeeded, "{end:?}");
    assert_eq!(simulation.records(&job).len(), 1);
    assert!(
        session.counter.running_by_team().is_empty(),
        "nothing counts as running"
    );
}

/// Guards against a job that is refused during a store outage, reported as not run, and runs later.
#[tokio::test]
async fn a_store_outage_refuses_submissions_and_keeps_queued_jobs() {
    let simulation = Simulation::new(2);
    simulation.team("t", 4, "s1");
    let session = simulation.session("s1");
    let mut queued = simulation.job(&session, "t", 20_000);
    queued.repeatable = true;
    let queued = simulation.submit(&session, queued).await.expect("is accepted");
    simulation
        .store
        .set_fault(StoreFault::Down, FaultSpan::UntilCleared);
    let refused = simulation.job(&session, "t", 1_000);
    let id = refused.job.clone();
    let error = simulation
        .submit(&session, refused)
        .await
        .expect_err("the store is down");
    assert_eq!(error.kind(), ErrorKind::StoreUnavailable);
    simulation.run_for(&session, Duration::from_secs(25)).await;
    assert!(session.has_ended(&queued), "leases are renewed without the store");
    simulation.store.clear_faults();
    simulation.run_for(&session, Duration::from_secs(5)).await;
    assert!(simulation.records(&id).is_empty());
}

/// Guards against a second run of a job that is not repeatable when the answer to its start call is lost.
#[tokio::test]
async fn a_lost_start_answer_never_runs_a_job_twice() {
    let simulation = Simulation::new(2);
    simulation.team("t", 4, "s1");
    let session = simulation.session("s1");
    for index in 0..2 {
        simulation
            .fleet
            .set_fault(&instance(index), WorkerFault::LosesAnswers);
    }
    let job = submit_jobs(&simulation, &session, 1, "t", 3_000).await.remove(0);
    simulation.run_for(&session, Duration::from_secs(2)).await;
    for index in 0..2 {
        simulation.fleet.clear_faults(&instance(index));
    }
    simulation.run_for(&session, Duration::from_secs(20)).await;
    assert_eq!(simulation.records(&job).len(), 1);
    let end = session.view(&job).end.expect("has ended");
    assert!(end.succeeded, "the worker's record tells how it ended: {end:?}");
}

/// Guards against a team that runs more than its limit, also after its allowance is lowered.
#[tokio::test]
async fn a_team_never_runs_more_than_its_allowance() {
    let simulation = Simulation::new(4);
    simulation.team("t", 3, "s1");
    let session = simulation.session("s1");
    let jobs = submit_jobs(&simulation, &session, 12, "t", 1_500).await;
    simulation.run_for(&session, Duration::from_secs(4)).await;
    simulation.allow("t", 1, "s1");
    let lowered_at = simulation.clock.elapsed();
    simulation.run_for(&session, Duration::from_secs(30)).await;
    assert!(jobs.iter().all(|job| session.has_ended(job)));
    assert_eq!(simulation.max_running("t"), 3);
    let late_starts = simulation.fleet.records().into_iter();
    let late_starts: Vec<u64> = late_starts
        .map(|record| record.started_at.get())
        .filter(|at| *at > lowered_at.as_millis() as u64 + 1_500)
        .collect();
    assert!(
        late_starts
            .windows(2)
            .all(|pair| pair[1].abs_diff(pair[0]) >= 1_000),
        "{late_starts:?}"
    );
}

/// Guards against starts and renewals with a stale view, when another session may already use the allowance.
#[tokio::test]
async fn a_stale_view_starts_nothing_and_lets_leases_end() {
    let simulation = Simulation::new(2);
    simulation.team("t", 2, "s1");
    let session = simulation.session("s1");
    let jobs = submit_jobs(&simulation, &session, 1, "t", 60_000).await;
    simulation.run_for(&session, Duration::from_secs(2)).await;
    session.is_fresh.store(false, Ordering::SeqCst);
    let stale_at = simulation.clock.elapsed();
    let waiting = submit_jobs(&simulation, &session, 1, "t", 1_000).await.remove(0);
    simulation.run_for(&session, Duration::from_secs(15)).await;
    let record = simulation.records(&jobs[0]).remove(0);
    let end = record.end.expect("its lease ended");
    assert_eq!(end.outcome, TaskOutcome::LeaseExpired);
    assert!(end.at.get() <= (stale_at + LEASE).as_millis() as u64);
    assert_eq!(session.view(&waiting).stage, JobStage::Waiting);
    session.is_fresh.store(true, Ordering::SeqCst);
    simulation.run_for(&session, Duration::from_secs(3)).await;
    assert!(session.has_ended(&waiting));
}

/// Guards against urgent work that waits for overnight work, and against overnight work lost by preemption.
#[tokio::test]
async fn urgent_work_starts_within_its_time_and_overnight_work_resumes() {
    let simulation = Simulation::new(2);
    simulation.team("t", 100, "s1");
    let session = simulation.session("s1");
    let mut overnight = Vec::new();
    for _ in 0..16 {
        let mut submission = simulation.job(&session, "t", 8_000);
        submission.priority = WorkPriority::Overnight;
        submission.repeatable = true;
        overnight.push(
            simulation
                .submit(&session, submission)
                .await
                .expect("is accepted"),
        );
    }
    simulation.run_for(&session, Duration::from_secs(1)).await;
    assert_eq!(simulation.max_running("t"), 16, "the pool is full");
    let mut urgent = Vec::new();
    for _ in 0..4 {
        let mut submission = simulation.job(&session, "t", 1_000);
        submission.priority = WorkPriority::Urgent;
        urgent.push((
            simulation.clock.elapsed(),
            simulation
                .submit(&session, submission)
                .await
                .expect("is accepted"),
        ));
    }
    simulation.run_for(&session, Duration::from_mins(1)).await;
    for (submitted_at, job) in urgent {
        let started_at = simulation.records(&job)[0].started_at.get();
        let waited = started_at - submitted_at.as_millis() as u64;
        assert!(waited <= 3_500, "{job} waited for {waited} ms");
    }
    for job in overnight {
        let end = session.view(&job).end.expect("has ended");
        assert!(end.succeeded, "{job}: {end:?}");
    }
}

/// Guards against a repeatable job that runs on two workers at once after its worker became unreachable, and
/// against a job that is lost with its worker.
#[tokio::test]
async fn a_job_runs_again_only_after_the_lease_of_its_lost_worker() {
    let simulation = Simulation::new(2);
    simulation.team("t", 4, "s1");
    let session = simulation.session("s1");
    let mut submission = simulation.job(&session, "t", 30_000);
    submission.repeatable = true;
    let job = simulation
        .submit(&session, submission)
        .await
        .expect("is accepted");
    simulation.run_for(&session, Duration::from_secs(2)).await;
    let first = simulation.records(&job).remove(0);
    simulation
        .fleet
        .set_fault(&first.instance, WorkerFault::Unreachable);
    simulation.run_for(&session, Duration::from_secs(70)).await;
    let records = simulation.records(&job);
    assert_eq!(records.len(), 2);
    let lost = records
        .iter()
        .find(|record| record.instance == first.instance)
        .expect("is kept");
    let again = records
        .iter()
        .find(|record| record.instance != first.instance)
        .expect("runs elsewhere");
    let lost_end = lost.end.as_ref().expect("its lease ended").at;
    assert!(lost_end <= again.started_at, "{records:?}");
    assert!(session.view(&job).end.expect("has ended").succeeded);
}

/// Guards against endless attempts of a job that fails everywhere. Its end must name the workers.
#[tokio::test]
async fn a_job_that_can_never_run_ends_with_its_evidence() {
    let simulation = Simulation::new(6);
    simulation.team("t", 100, "s1");
    let session = simulation.session("s1");
    submit_jobs(&simulation, &session, 30, "t", 500).await;
    let mut submission = simulation.job(&session, "t", 500);
    submission.repeatable = true;
    let truth = TaskTruth {
        never_runs: true,
        ..TaskTruth::default()
    };
    simulation.fleet.set_truth(&submission.job, truth);
    let job = simulation
        .submit(&session, submission)
        .await
        .expect("is accepted");
    for _ in 0..40 {
        submit_jobs(&simulation, &session, 2, "t", 300).await;
    }
    let end = session.view(&job).end.expect("has ended");
    assert!(!end.succeeded && end.reason.contains("failed on i"), "{end:?}");
    let notices = session.notices.lock().expect("lock");
    assert!(
        notices
            .iter()
            .any(|notice| matches!(notice, JobNotice::Propose(_))),
        "{notices:?}"
    );
}

/// Guards against workers that run out of memory because declared sizes are trusted: grants must follow
/// measured usage.
#[tokio::test]
async fn measured_sizes_replace_declared_ones() {
    let simulation = Simulation::new(2);
    simulation.team("t", 100, "s1");
    let session = simulation.session("s1");
    let use_more_memory = |submission: &figloft::policy::job_event::JobSubmission| {
        let truth = TaskTruth {
            run_ms: 8_000,
            memory_mib: Some(3_000),
            ..TaskTruth::default()
        };
        simulation.fleet.set_truth(&submission.job, truth);
    };
    for _ in 0..12 {
        let submission = simulation.job(&session, "t", 0);
        use_more_memory(&submission);
        simulation
            .submit(&session, submission)
            .await
            .expect("is accepted");
        simulation.run_for(&session, Duration::from_secs(9)).await;
    }
    let mut jobs = Vec::new();
    for _ in 0..8 {
        let submission = simulation.job(&session, "t", 0);
        use_more_memory(&submission);
        jobs.push(
            simulation
                .submit(&session, submission)
                .await
                .expect("is accepted"),
        );
    }
    simulation.run_for(&session, Duration::from_mins(1)).await;
    for job in jobs {
        let record = simulation.records(&job).remove(0);
        assert_eq!(record.end.expect("has ended").outcome, TaskOutcome::Succeeded);
        assert!(record.resources.memory >= MemoryMib::new(3_000));
    }
}

/// Guards against jobs lost with their session, a second run of a started job that is not repeatable, and a
/// previous owner that goes on after its jobs were adopted.
#[tokio::test]
async fn another_session_adopts_the_jobs_of_an_ended_one() {
    let simulation = Simulation::new(2);
    simulation.team("t", 4, "s1");
    let first = simulation.session("s1");
    let running = submit_jobs(&simulation, &first, 1, "t", 6_000).await.remove(0);
    simulation.run_for(&first, Duration::from_secs(1)).await;
    simulation.allow("t", 0, "s1");
    simulation.run_for(&first, Duration::from_millis(200)).await;
    let waiting = submit_jobs(&simulation, &first, 1, "t", 1_000).await.remove(0);
    let second = simulation.session("s2");
    simulation.allow("t", 4, "s2");
    let adopter = second.runner.clone();
    let adopting = tokio::spawn(async move { adopter.adopt(&name("s1")).await });
    while !adopting.is_finished() {
        tokio::task::yield_now().await;
        simulation.step(&second).await;
    }
    assert_eq!(adopting.await.expect("does not panic").expect("is adopted"), 2);
    simulation.allow("t", 0, "s2");
    simulation.allow("t", 2, "s1");
    simulation.run_for(&first, Duration::from_secs(1)).await;
    assert!(
        first.runner.with_scheduler(|scheduler| scheduler.is_closed())
            || simulation.records(&waiting).is_empty()
    );
    simulation.allow("t", 0, "s1");
    simulation.allow("t", 4, "s2");
    simulation.run_for(&second, Duration::from_secs(30)).await;
    for job in [&running, &waiting] {
        assert_eq!(simulation.records(job).len(), 1, "{job}");
        let end = second.view(job).end.expect("has ended");
        assert_eq!(end.outcome, WorkOutcome::Ran, "{job}: {end:?}");
    }
    let third = simulation.session("s3");
    let adopter = third.runner.clone();
    let adopting = tokio::spawn(async move { adopter.adopt(&name("s2")).await });
    while !adopting.is_finished() {
        tokio::task::yield_now().await;
        simulation.step(&third).await;
    }
    assert_eq!(
        adopting.await.expect("does not panic").expect("is adopted"),
        0,
        "ended jobs stay ended"
    );
}

/// Guards against reports without tasks: a session would acknowledge a lowered allowance while more tasks run
/// than it allows, and the coordinator would not see the demand of queues.
#[tokio::test]
async fn reports_count_running_tasks_and_waiting_jobs() {
    let simulation = Simulation::new(2);
    simulation.team("t", 2, "s1");
    let session = simulation.session("s1");
    submit_jobs(&simulation, &session, 5, "t", 60_000).await;
    simulation.run_for(&session, Duration::from_secs(3)).await;
    simulation.allow("t", 1, "s1");
    simulation.run_for(&session, Duration::from_secs(1)).await;
    let found = session
        .runner
        .with_scheduler(|scheduler| JobUsage::from_scheduler(scheduler));
    assert_eq!(found.running_by_team()[&name("t")], 2);
    assert_eq!(found.in_flight.values().sum::<u32>(), 2);
    assert_eq!(found.waiting.values().sum::<u64>(), 3);
}

/// Guards against a job that crashes one worker after the other: attempts that ended with their worker did
/// not count, so that it was started without end. The count is part of the log, from which another session
/// continues.
#[tokio::test]
async fn a_job_that_crashes_its_workers_ends() {
    let simulation = Simulation::new(4);
    simulation.team("t", 4, "s1");
    let session = simulation.session("s1");
    let mut submission = simulation.job(&session, "t", 20_000);
    submission.repeatable = true;
    let job = simulation
        .submit(&session, submission)
        .await
        .expect("is accepted");
    for _ in 0..20 {
        for index in 0..simulation.workers {
            let on = instance(index);
            simulation.fleet.recover(&on);
            let records = simulation.records(&job);
            if records
                .iter()
                .any(|record| record.instance == on && record.end.is_none())
            {
                simulation.fleet.crash(&on);
            }
        }
        simulation.run_for(&session, LEASE * 2).await;
    }
    let end = session.view(&job).end.expect("has ended");
    assert!(
        !end.succeeded && end.reason.contains("lost with their workers"),
        "{end:?}"
    );
    assert!(
        simulation.records(&job).len() <= 5,
        "{} attempts",
        simulation.records(&job).len()
    );
}
