//! Cancellations of jobs whose submissions are still on their way.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use figloft::dispatch::job_record::JobState;
use figloft::error::{Error, ErrorKind, Result, WorkOutcome};
use figloft::model::id::OrganisationId;
use figloft::request::job_canceller::{CancelRequest, JobCanceller};
use figloft::request::submission_batcher::{SubmissionBatcher, SubmissionOutcome};
use futures_util::future;
use proptest::prelude::*;

use crate::admission::{context, record};
use crate::fake_store::{CommitFate, FakeStore};
use crate::store_lists::store_client;

/// Time that callers wait for an answer.
const CALLER_DEADLINE: Duration = Duration::from_millis(1_500);

/// Nodes at which callers submit and cancel.
const NODES: usize = 2;

/// Jobs of one case.
const JOBS: u64 = 4;

/// Call of a case, made `delay` after its beginning.
#[derive(Debug, Clone, Copy)]
struct TimedCall {
    job: u64,
    node: usize,
    is_cancellation: bool,
    delay: Duration,
}

/// Outcome of a call.
#[derive(Debug)]
enum CallOutcome {
    Submission(Result<SubmissionOutcome>),
    Cancellation(Result<JobState>),
}

/// The parts of a node that take submissions and cancellations.
struct CallerNode {
    batcher: SubmissionBatcher,
    canceller: JobCanceller,
}

impl CallerNode {
    fn start(address: std::net::SocketAddr) -> Self {
        let context = context(store_client(address));
        let (store, clock) = (context.store.clone(), Arc::clone(&context.clock));
        Self {
            batcher: SubmissionBatcher::start(store, clock, context.log.clone()),
            canceller: JobCanceller::start(&context),
        }
    }

    async fn call(&self, call: TimedCall) -> CallOutcome {
        tokio::time::sleep(call.delay).await;
        if call.is_cancellation {
            let cancellation = cancellation(call.job, None);
            return CallOutcome::Cancellation(self.canceller.cancel(&cancellation).await);
        }
        let deadline = Instant::now() + CALLER_DEADLINE;
        CallOutcome::Submission(self.batcher.submit(record(call.job), deadline).await)
    }
}

fn cancellation(job: u64, organisation: Option<&str>) -> CancelRequest {
    let record = record(job);
    CancelRequest {
        job: record.id,
        pool: record.pool,
        queue: record.queue,
        organisation: organisation.map(|name| OrganisationId::new(name).expect("organisation")),
        deadline: Instant::now() + CALLER_DEADLINE,
    }
}

fn calls() -> impl Strategy<Value = Vec<TimedCall>> {
    let call =
        (0..JOBS, 0..NODES, any::<bool>(), 0_u64..400).prop_map(|(job, node, is_cancellation, delay)| {
            TimedCall {
                job,
                node,
                is_cancellation,
                delay: Duration::from_millis(delay),
            }
        });
    prop::collection::vec(call, 4..24)
}

fn fates() -> impl Strategy<Value = Vec<CommitFate>> {
    let fate = prop_oneof![
        4 => Just(CommitFate::Answered),
        2 => Just(CommitFate::Unanswered),
        1 => Just(CommitFate::Dropped),
        3 => (0_usize..8).prop_map(CommitFate::Late),
    ];
    prop::collection::vec(fate, 0..24)
}

fn is_acknowledged(result: &Result<JobState>) -> bool {
    match result {
        Ok(_) => true,
        Err(error) => error.kind() == ErrorKind::JobGone,
    }
}

fn is_certainly_refused(error: &Error) -> bool {
    error.kind().response().outcome == WorkOutcome::NotRun
}

/// Plays the calls, executes what the store has held back, and returns the guarantees that are broken.
async fn play(calls: &[TimedCall], fates: &[CommitFate]) -> Vec<String> {
    let (store, address) = FakeStore::start().await;
    store.set_fates(fates.iter().copied());
    let nodes: Vec<_> = (0..NODES).map(|_| CallerNode::start(address)).collect();
    let outcomes = calls.iter().map(|call| nodes[call.node].call(*call));
    let outcomes = future::join_all(outcomes).await;
    store.execute_late_commits();
    let mut by_job: BTreeMap<u64, Vec<&CallOutcome>> = BTreeMap::new();
    for (call, outcome) in calls.iter().zip(&outcomes) {
        by_job.entry(call.job).or_default().push(outcome);
    }
    let mut broken = Vec::new();
    for (job, outcomes) in by_job {
        let id = record(job).id;
        let is_stored = !store.history(&format!("in/pool-a/{id}")).is_empty();
        let is_cancelled = !store.history(&format!("in/pool-a/{id}.cancel")).is_empty();
        let is_acknowledged = outcomes.iter().any(|outcome| match outcome {
            CallOutcome::Cancellation(result) => is_acknowledged(result),
            CallOutcome::Submission(_) => false,
        });
        if is_acknowledged && is_stored && !is_cancelled {
            broken.push(format!("job {id} runs after its cancellation: {outcomes:?}"));
        }
        let submissions = outcomes.iter().filter_map(|outcome| match outcome {
            CallOutcome::Submission(result) => Some(result),
            CallOutcome::Cancellation(_) => None,
        });
        let is_accepted = submissions.clone().any(Result::is_ok);
        if is_accepted && !is_stored {
            broken.push(format!("job {id} is accepted and not stored: {outcomes:?}"));
        }
        let mut refusals = submissions.map(|result| result.as_ref().err());
        if is_stored && refusals.all(|error| error.is_some_and(is_certainly_refused)) {
            broken.push(format!("job {id} is refused and stored: {outcomes:?}"));
        }
    }
    broken
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 24, ..ProptestConfig::default() })]

    /// Guards against jobs that run after an acknowledged cancellation, in any order of late, repeated and lost writes, and
    /// against acceptances and refusals that are not true because of it.
    #[test]
    fn acknowledged_cancellations_hold(calls in calls(), fates in fates()) {
        let runtime = tokio::runtime::Builder::new_multi_thread()
            .worker_threads(2)
            .enable_all()
            .build()
            .expect("runtime");
        let broken = runtime.block_on(play(&calls, &fates));
        runtime.shutdown_background();
        prop_assert!(broken.is_empty(), "{broken:#?}");
    }
}

/// Guards against a submission that is stored after its cancellation because each of its writes was executed late, after the
/// caller had been told that its outcome is unknown.
#[tokio::test]
async fn submission_executed_after_its_cancellation_is_not_stored() {
    let (store, address) = FakeStore::start().await;
    let nodes = [CallerNode::start(address), CallerNode::start(address)];
    store.set_fates([CommitFate::Late(1_000); 100]);
    let deadline = Instant::now() + CALLER_DEADLINE;
    let submitted = nodes[0].batcher.submit(record(1), deadline).await;
    assert_eq!(
        submitted.expect_err("no answer").kind(),
        ErrorKind::StoreOutcomeUnknown
    );
    store.set_fates([]);
    let cancelled = nodes[1].canceller.cancel(&cancellation(1, None)).await;
    assert_eq!(cancelled.expect_err("unknown job").kind(), ErrorKind::JobGone);
    store.execute_late_commits();
    assert!(store.history(&format!("in/pool-a/{}", record(1).id)).is_empty());
}

/// Guards against a batch that fails as a whole because one of its jobs was cancelled: the other jobs are stored, and the
/// cancelled one is refused with the reason, also when it is submitted again.
#[tokio::test]
async fn cancelled_job_is_refused_and_others_of_its_batch_are_stored() {
    let (store, address) = FakeStore::start().await;
    let node = CallerNode::start(address);
    let cancelled = node.canceller.cancel(&cancellation(1, None)).await;
    assert_eq!(cancelled.expect_err("unknown job").kind(), ErrorKind::JobGone);
    for _ in 0..2 {
        let deadline = Instant::now() + CALLER_DEADLINE;
        let submissions = (0..3).map(|job| node.batcher.submit(record(job), deadline));
        let outcomes = future::join_all(submissions).await;
        let refused = outcomes[1].as_ref().expect_err("a cancelled job");
        assert_eq!(refused.kind(), ErrorKind::JobCancelled);
        assert!(outcomes[0].is_ok() && outcomes[2].is_ok(), "{outcomes:?}");
    }
    assert!(store.history(&format!("in/pool-a/{}", record(1).id)).is_empty());
    let again = node.canceller.cancel(&cancellation(1, None)).await;
    assert_eq!(again.expect_err("unknown job").kind(), ErrorKind::JobGone);
}

/// Guards against a store that is kept busy by cancellations of unknown ids: they are written in a few batches, those
/// beyond the limit of an organisation are refused without an acknowledgement, and other organisations go on.
#[tokio::test]
async fn flood_of_cancellations_costs_few_writes() {
    let (store, address) = FakeStore::start().await;
    let node = CallerNode::start(address);
    let flood: Vec<_> = (0..400).map(|job| cancellation(job, Some("loud"))).collect();
    let other = cancellation(1_000, Some("quiet"));
    let results = future::join_all(
        flood
            .iter()
            .chain([&other])
            .map(|call| node.canceller.cancel(call)),
    )
    .await;
    let kinds = results
        .iter()
        .map(|result| result.as_ref().expect_err("unknown jobs").kind());
    let (last, flood) = kinds
        .collect::<Vec<_>>()
        .split_last()
        .map(|(last, rest)| (*last, rest.to_vec()))
        .expect("calls");
    assert_eq!(
        last,
        ErrorKind::JobGone,
        "the other organisation's call is acknowledged"
    );
    let acknowledged = flood.iter().filter(|kind| **kind == ErrorKind::JobGone).count();
    let refused = flood
        .iter()
        .filter(|kind| **kind == ErrorKind::LimitReached)
        .count();
    assert_eq!((acknowledged, refused), (64, 336));
    assert!(store.commit_count() <= 6, "{} commits", store.commit_count());
}

/// Guards against records of cancellations that nothing removes: each is attached to a lease.
#[tokio::test]
async fn record_of_a_cancellation_goes_with_its_lease() {
    let (store, address) = FakeStore::start().await;
    let node = CallerNode::start(address);
    let cancelled = node.canceller.cancel(&cancellation(1, None)).await;
    assert_eq!(cancelled.expect_err("unknown job").kind(), ErrorKind::JobGone);
    store.end_all_leases();
    let deadline = Instant::now() + CALLER_DEADLINE;
    let outcome = node.batcher.submit(record(1), deadline).await;
    assert_eq!(outcome.expect("an unknown job"), SubmissionOutcome::Accepted);
    // The node attaches the next record to another lease.
    let first = node.canceller.cancel(&cancellation(2, None)).await;
    assert_eq!(first.expect_err("no lease").kind(), ErrorKind::StoreUnavailable);
    let second = node.canceller.cancel(&cancellation(2, None)).await;
    assert_eq!(second.expect_err("unknown job").kind(), ErrorKind::JobGone);
}
