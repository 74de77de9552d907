//! Dispatch order, limits and cancellation of queued jobs.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::{Duration, Instant};

use figloft::error::ErrorKind;
use figloft::model::id::{JobId, PoolId, QueueId, TeamId};
use figloft::model::priority::WorkPriority;
use figloft::model::resource::ResourceSet;
use figloft::policy::job_queue::{JobQueue, QueuedJob, StartFit};
use proptest::collection::vec;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

fn team(index: usize) -> TeamId {
    format!("t{index}").parse().expect("name")
}

fn id(index: usize) -> JobId {
    format!("j{index}").parse().expect("name")
}

fn pool() -> PoolId {
    "p".parse().expect("name")
}

fn queue_id() -> QueueId {
    "q".parse().expect("name")
}

fn job(now: Instant, index: usize, team_index: usize, priority: WorkPriority) -> QueuedJob {
    QueuedJob {
        id: id(index),
        queue: queue_id(),
        team: team(team_index),
        pool: pool(),
        priority,
        declared: ResourceSet::default(),
        repeatable: true,
        lease: Duration::from_secs(10),
        payload: Arc::from(""),
        submitted_at: now,
        start_by: None,
        attempts: 0,
        checkpoint: None,
        early_losses: 0,
        avoided_workers: BTreeSet::new(),
    }
}

fn take(queue: &mut JobQueue, now: Instant) -> Option<QueuedJob> {
    queue.take_next(now, &pool(), |_| StartFit::Start)
}

#[derive(Debug, Clone)]
enum QueueStep {
    Push(usize, usize, WorkPriority),
    PushFront(usize, usize, WorkPriority),
    Take,
    Cancel(usize),
    SetTeam(usize, u64, f64),
}

fn priorities() -> impl Strategy<Value = WorkPriority> {
    proptest::sample::select(WorkPriority::ALL.to_vec())
}

fn steps() -> impl Strategy<Value = QueueStep> {
    prop_oneof![
        4 => (0..40_usize, 0..4_usize, priorities()).prop_map(|(job, team, p)| QueueStep::Push(job, team, p)),
        1 => (0..40_usize, 0..4_usize, priorities()).prop_map(|(job, team, p)| QueueStep::PushFront(job, team, p)),
        2 => Just(QueueStep::Take),
        1 => (0..40_usize).prop_map(QueueStep::Cancel),
        1 => (0..4_usize, 0..9_u64, 0.0..9.0_f64).prop_map(|(t, running, share)| QueueStep::SetTeam(t, running, share)),
    ]
}

/// Reference model of the queue: a list that is searched completely.
#[derive(Debug, Default)]
struct ReferenceQueue {
    jobs: Vec<(usize, usize, WorkPriority)>,
    ratios: BTreeMap<usize, f64>,
}

impl ReferenceQueue {
    fn ratio(&self, team: usize) -> f64 {
        self.ratios.get(&team).copied().unwrap_or(f64::MAX)
    }

    fn take(&mut self) -> Option<usize> {
        let key = |(_, team, priority): &(usize, usize, WorkPriority)| (*priority, self.ratio(*team), *team);
        let best = self
            .jobs
            .iter()
            .map(key)
            .min_by(|a, b| a.0.cmp(&b.0).then(a.1.total_cmp(&b.1)).then(a.2.cmp(&b.2)))?;
        let position = self.jobs.iter().position(|job| key(job) == best)?;
        Some(self.jobs.remove(position).0)
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(12),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Guards against lost or duplicated jobs and against a dispatch order other than priority, ratio and
    /// age, by comparison with a reference model.
    #[test]
    fn the_queue_dispatches_like_the_reference_model(steps in vec(steps(), 1..120)) {
        let now = Instant::now();
        let mut queue = JobQueue::new();
        let mut reference = ReferenceQueue::default();
        for step in steps {
            match step {
                QueueStep::Push(index, team, priority) => {
                    if queue.get(&id(index)).is_none() {
                        reference.jobs.push((index, team, priority));
                    }
                    queue.push(job(now, index, team, priority));
                }
                QueueStep::PushFront(index, team, priority) => {
                    if queue.get(&id(index)).is_none() {
                        reference.jobs.insert(0, (index, team, priority));
                    }
                    queue.push_front(job(now, index, team, priority));
                }
                QueueStep::Take => {
                    let taken = take(&mut queue, now).map(|job| job.id);
                    prop_assert_eq!(taken, reference.take().map(id));
                }
                QueueStep::Cancel(index) => {
                    queue.remove(&id(index));
                    reference.jobs.retain(|job| job.0 != index);
                }
                QueueStep::SetTeam(index, running, share) => {
                    queue.set_team(&team(index), running, share);
                    let ratio = if share > 0.0 { running as f64 / share } else { f64::MAX };
                    reference.ratios.insert(index, ratio);
                }
            }
            prop_assert_eq!(queue.len(), reference.jobs.len());
            prop_assert_eq!(queue.waiting(&queue_id()) as usize, reference.jobs.len());
        }
    }
}

/// Guards against a large first job or a blocked team that prevents other jobs from starting.
#[test]
fn jobs_that_cannot_start_do_not_block_others() {
    let now = Instant::now();
    let mut queue = JobQueue::new();
    for (index, team) in [(0, 0), (1, 0), (2, 1)] {
        queue.push(job(now, index, team, WorkPriority::Bench));
    }
    let fit = |job: &QueuedJob| {
        if job.id == id(0) {
            StartFit::TooLarge
        } else {
            StartFit::Start
        }
    };
    let taken = queue.take_next(now, &pool(), fit).expect("a smaller job starts");
    assert_eq!(taken.id, id(1));
    let fit = |job: &QueuedJob| {
        if job.team == team(0) {
            StartFit::TeamBlocked
        } else {
            StartFit::Start
        }
    };
    let taken = queue.take_next(now, &pool(), fit).expect("another team starts");
    assert_eq!(taken.id, id(2));
    assert!(queue.take_next(now, &pool(), |_| StartFit::PoolFull).is_none());
    assert_eq!(queue.len(), 1);
}

/// Guards against unbounded waiting: jobs for a full queue and jobs that would start too late are refused at
/// once, with a time for the retry.
#[test]
fn jobs_for_full_queues_and_too_long_waits_are_refused() {
    let start = Instant::now();
    let mut queue = JobQueue::new();
    for index in 0..20 {
        queue.push(job(start, index, 0, WorkPriority::Bench));
    }
    queue.set_remote_waiting(&queue_id(), 10);
    let new = job(start, 99, 0, WorkPriority::Bench);
    let full = queue.check(start, &new, 30).expect_err("30 jobs wait");
    assert_eq!(full.kind(), ErrorKind::QueueFull);
    assert!(full.retry_after().is_some());
    let mut now = start;
    for _ in 0..16 {
        now += Duration::from_secs(1);
        take(&mut queue, now);
    }
    let mut with_limit = new.clone();
    with_limit.start_by = Some(now + Duration::from_secs(2));
    let too_late = queue.check(now, &with_limit, 100).expect_err("about 4 s to wait");
    assert_eq!(too_late.kind(), ErrorKind::Overloaded);
    with_limit.priority = WorkPriority::Urgent;
    queue.check(now, &with_limit, 100).expect("urgent work preempts");
    with_limit.start_by = Some(now + Duration::from_secs(10));
    queue.check(now, &with_limit, 100).expect("waits in time");
    queue.push(with_limit);
    assert!(queue.expire(now + Duration::from_secs(9)).is_empty());
    assert_eq!(queue.expire(now + Duration::from_secs(10))[0].id, id(99));
}
