//! Decisions of the failure tracker: which jobs are rejected, and which workers are quarantined.

use std::collections::BTreeSet;
use std::time::{Duration, Instant};

use figloft::model::id::{InstanceId, JobId, PoolId, TeamId};
use figloft::policy::failure_tracker::{FailureTracker, JobVerdict, QuarantineState, WorkerVerdict};
use proptest::collection::{btree_set, vec};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

fn worker(index: usize) -> InstanceId {
    format!("i{index}").parse().expect("name")
}

fn job(index: usize) -> JobId {
    format!("j{index}").parse().expect("name")
}

fn team(index: usize) -> TeamId {
    format!("t{index}").parse().expect("name")
}

fn pool() -> PoolId {
    "p".parse().expect("name")
}

fn tracker(size: usize) -> FailureTracker {
    let mut tracker = FailureTracker::new();
    tracker.set_pool_size(&pool(), size);
    tracker
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(13),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Guards against a good job that is rejected because of bad workers, quarantine of more than a fifth of
    /// the pool, and a worker that is quarantined because of jobs that can't run anywhere.
    #[test]
    fn verdicts_follow_the_evidence_of_both_sides(
        size in 1..30_usize,
        bad_workers in btree_set(0..30_usize, 0..6),
        bad_jobs in btree_set(0..12_usize, 0..4),
        runs in vec((0..30_usize, 0..12_usize), 1..300),
    ) {
        let mut tracker = tracker(size);
        let mut now = Instant::now();
        let mut ended = BTreeSet::new();
        for (instance, index) in runs {
            let instance = instance % size;
            if ended.contains(&index) || matches!(tracker.quarantine_state(&worker(instance)), QuarantineState::Quarantined(_)) {
                continue;
            }
            now += Duration::from_millis(100);
            if bad_workers.contains(&instance) || bad_jobs.contains(&index) {
                let (verdict, _) = tracker.record_failure(now, &pool(), &worker(instance), &job(index), &team(index % 3));
                if let JobVerdict::Rejected { failed_on } = &verdict {
                    prop_assert!(bad_jobs.contains(&index), "good job {index} was rejected for {failed_on:?}");
                    prop_assert!(failed_on.len() >= 3);
                }
                if !matches!(verdict, JobVerdict::Retry { .. }) {
                    ended.insert(index);
                }
            } else {
                tracker.record_success(now, &pool(), &worker(instance), &job(index));
            }
            prop_assert!(tracker.quarantined_count(&pool()) * 5 <= size);
            let is_quarantined = matches!(tracker.quarantine_state(&worker(instance)), QuarantineState::Quarantined(_));
            prop_assert!(!is_quarantined || bad_workers.contains(&instance), "good worker {instance}");
        }
    }
}

/// Guards against endless attempts to run a job that can't run, and against quarantine of its workers.
#[test]
fn a_job_that_fails_on_three_good_workers_is_rejected_with_its_evidence() {
    let mut tracker = tracker(10);
    let now = Instant::now();
    for index in 0..3 {
        tracker.record_success(now, &pool(), &worker(index), &job(100 + index));
    }
    for index in 0..2 {
        let (verdict, workers) = tracker.record_failure(now, &pool(), &worker(index), &job(0), &team(0));
        assert!(matches!(verdict, JobVerdict::Retry { .. }));
        assert!(workers.is_empty());
    }
    let (verdict, _) = tracker.record_failure(now, &pool(), &worker(2), &job(0), &team(0));
    let failed_on = (0..3).map(worker).collect();
    assert_eq!(verdict, JobVerdict::Rejected { failed_on });
}

/// Guards against a worker that fails every task and still receives tasks, or that is never tried again.
#[test]
fn a_worker_that_fails_jobs_of_two_teams_is_quarantined_and_then_tried_again() {
    let mut tracker = tracker(10);
    let now = Instant::now();
    let mut verdicts = Vec::new();
    for index in 0..4 {
        verdicts = tracker
            .record_failure(now, &pool(), &worker(0), &job(index), &team(index % 2))
            .1;
    }
    assert_eq!(verdicts, [WorkerVerdict::Quarantine(worker(0))]);
    assert!(
        tracker
            .end_due_quarantines(now + Duration::from_mins(9))
            .is_empty()
    );
    let later = now + Duration::from_mins(10);
    assert_eq!(
        tracker.end_due_quarantines(later),
        [WorkerVerdict::Probation(worker(0))]
    );
    let again = tracker
        .record_failure(later, &pool(), &worker(0), &job(9), &team(0))
        .1;
    assert_eq!(again, [WorkerVerdict::Quarantine(worker(0))]);
    assert!(
        tracker
            .end_due_quarantines(later + Duration::from_mins(19))
            .is_empty(),
        "the quarantine time doubles"
    );
    let much_later = later + Duration::from_mins(20);
    assert_eq!(tracker.end_due_quarantines(much_later).len(), 1);
    tracker.record_success(much_later, &pool(), &worker(0), &job(20));
    let cleared = tracker.record_success(much_later, &pool(), &worker(0), &job(21));
    assert_eq!(cleared, [WorkerVerdict::Clear(worker(0))]);
}

/// Guards against one team's faulty release that quarantines the workers of the pool.
#[test]
fn failures_of_one_team_quarantine_no_worker() {
    let mut tracker = tracker(10);
    for index in 0..20 {
        let (_, workers) = tracker.record_failure(
            Instant::now(),
            &pool(),
            &worker(index % 10),
            &job(index),
            &team(0),
        );
        assert!(workers.is_empty());
    }
}

/// Guards against quarantine of more than a fifth of the pool after the pool shrank.
#[test]
fn a_shrinking_pool_starts_probation_of_quarantined_workers() {
    let mut tracker = tracker(10);
    let now = Instant::now();
    for index in 0..8 {
        tracker.record_failure(now, &pool(), &worker(index / 4), &job(index), &team(index % 2));
    }
    assert_eq!(tracker.quarantined_count(&pool()), 2);
    assert_eq!(
        tracker.set_pool_size(&pool(), 5),
        [WorkerVerdict::Probation(worker(0))]
    );
    assert_eq!(tracker.quarantined_count(&pool()), 1);
}
