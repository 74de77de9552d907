//! The durable log of a session's jobs, and its adoption by another session.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::{Duration, Instant};

use figloft::error::{ErrorKind, WorkOutcome};
use figloft::model::id::{JobId, SessionId, WriteNonce};
use figloft::model::priority::WorkPriority;
use figloft::model::resource::ResourceSet;
use figloft::model::unix_time::UnixMillis;
use figloft::policy::job_event::{
    BATCH_SCHEMA, JobBatch, JobEnd, JobEvent, JobSubmission, batch_key, replay_batches,
};
use figloft::policy::job_log::{BatchWriteResult, EventId, JobLog, LogAction, MAX_BATCH_BYTES};
use proptest::collection::vec;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

fn session(name: &str) -> SessionId {
    name.parse().expect("name")
}

fn job(index: usize) -> JobId {
    format!("j{index}").parse().expect("name")
}

fn submitted(index: usize) -> JobEvent {
    JobEvent::Submitted(JobSubmission {
        job: job(index),
        queue: "q".parse().expect("name"),
        team: "t".parse().expect("name"),
        pool: "p".parse().expect("name"),
        priority: WorkPriority::Bench,
        declared: ResourceSet::default(),
        repeatable: false,
        lease_ms: 10_000,
        submitted_at: UnixMillis::new(0),
        start_by: None,
        payload: Arc::from(""),
    })
}

fn started(index: usize, attempt: u32) -> JobEvent {
    JobEvent::Started {
        job: job(index),
        attempt,
        instance: "i".parse().expect("name"),
    }
}

fn finished(index: usize) -> JobEvent {
    JobEvent::Finished {
        job: job(index),
        end: JobEnd {
            outcome: WorkOutcome::Ran,
            succeeded: true,
            reason: Arc::from(""),
            at: UnixMillis::new(0),
        },
    }
}

/// A store of batches that can lose requests and responses.
#[derive(Debug, Default)]
struct BatchStore {
    values: BTreeMap<String, JobBatch>,
    writes: usize,
}

#[derive(Debug, Clone, Copy)]
enum StoreFault {
    None,
    RequestLost,
    ResponseLost,
    Refused,
}

impl BatchStore {
    fn create(&mut self, key: &str, value: &[u8], fault: StoreFault) -> BatchWriteResult {
        self.writes += 1;
        match fault {
            StoreFault::RequestLost => return BatchWriteResult::Unknown,
            StoreFault::Refused => return BatchWriteResult::Failed,
            StoreFault::None | StoreFault::ResponseLost => {}
        }
        let result = if let Some(found) = self.values.get(key) {
            BatchWriteResult::Exists(Box::new(found.clone()))
        } else {
            let batch = serde_json::from_slice(value).expect("batch parses");
            self.values.insert(key.to_owned(), batch);
            BatchWriteResult::Written
        };
        if matches!(fault, StoreFault::ResponseLost) {
            BatchWriteResult::Unknown
        } else {
            result
        }
    }

    fn live(&self) -> BTreeSet<JobId> {
        replay_batches(self.values.values()).into_keys().collect()
    }
}

struct LogFixture {
    log: JobLog,
    store: BatchStore,
    now: Instant,
    nonce: u64,
}

impl LogFixture {
    fn new() -> Self {
        Self {
            log: JobLog::new(session("s")),
            store: BatchStore::default(),
            now: Instant::now(),
            nonce: 0,
        }
    }

    /// Runs a step 100 ms later and returns the written and the rejected events.
    fn step(&mut self, fault: StoreFault) -> (Vec<EventId>, Vec<EventId>) {
        self.step_after(Duration::from_millis(100), fault)
    }

    fn step_after(&mut self, time: Duration, fault: StoreFault) -> (Vec<EventId>, Vec<EventId>) {
        self.now += time;
        self.nonce += 1;
        let (mut written, mut rejected) = (Vec::new(), Vec::new());
        for action in self.log.step(self.now, WriteNonce::new(self.nonce)) {
            match action {
                LogAction::Delete { key } => drop(self.store.values.remove(&key)),
                LogAction::Write { key, value } => {
                    let result = self.store.create(&key, &value, fault);
                    let progress = self.log.handle_write_result(result);
                    written.extend(progress.written);
                    rejected.extend(progress.rejected);
                }
            }
        }
        (written, rejected)
    }
}

fn faults() -> impl Strategy<Value = StoreFault> {
    prop_oneof![
        5 => Just(StoreFault::None),
        1 => Just(StoreFault::RequestLost),
        1 => Just(StoreFault::ResponseLost),
        1 => Just(StoreFault::Refused),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(15),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Guards against an acknowledged job that is lost, a rejected job that is live, and an ended job that
    /// becomes live again, when requests to the store and its responses are lost.
    #[test]
    fn the_store_holds_exactly_the_acknowledged_jobs(
        steps in vec((any::<bool>(), 0..30_usize, faults()), 1..200),
    ) {
        let mut fixture = LogFixture::new();
        let mut event_ids = BTreeMap::new();
        let mut acknowledged: BTreeSet<JobId> = BTreeSet::new();
        let mut rejected = BTreeSet::new();
        for (count, (ends, index, fault)) in steps.into_iter().enumerate() {
            let (id, event) = (count + 100, submitted(count + 100));
            if ends && acknowledged.remove(&job(index + 100)) {
                fixture.log.push(finished(index + 100)).expect("fits");
            } else {
                event_ids.insert(fixture.log.push(event).expect("fits"), job(id));
            }
            let progress = fixture.step(fault);
            acknowledged.extend(progress.0.iter().filter_map(|event_id| event_ids.remove(event_id)));
            rejected.extend(progress.1.iter().filter_map(|event_id| event_ids.remove(event_id)));
        }
        while fixture.log.backlog() > 0 {
            let progress = fixture.step(StoreFault::None);
            acknowledged.extend(progress.0.iter().filter_map(|event_id| event_ids.remove(event_id)));
        }
        prop_assert_eq!(fixture.store.live(), acknowledged);
        prop_assert!(fixture.store.live().is_disjoint(&rejected));
    }
}

/// Guards against more than 10 batch writes a second of one session, more than 100 of all sessions together,
/// and batches above the store's value limit.
#[test]
fn writes_are_grouped_and_bounded() {
    let mut fixture = LogFixture::new();
    for index in 0..5_000 {
        fixture.log.push(submitted(index)).expect("fits");
        fixture.step_after(Duration::from_millis(1), StoreFault::None);
    }
    assert!(
        fixture.store.writes <= 50,
        "{} writes in 5 s",
        fixture.store.writes
    );
    let mut shared = LogFixture::new();
    shared.log.set_session_count(36);
    for index in 0..5_000 {
        shared.log.push(submitted(index)).expect("fits");
        shared.step_after(Duration::from_millis(1), StoreFault::None);
    }
    let writes = shared.store.writes;
    assert!(
        writes * 36 <= 100 * 5 + 36,
        "{writes} writes in 5 s of one of 36 sessions"
    );
    let mut large = LogFixture::new();
    for index in 0..5_000 {
        large.log.push(submitted(index)).expect("fits");
    }
    for action in large.log.step(large.now, WriteNonce::new(1)) {
        if let LogAction::Write { value, .. } = action {
            assert!(value.len() <= MAX_BATCH_BYTES, "{} bytes", value.len());
        }
    }
    let JobEvent::Submitted(mut submission) = submitted(0) else {
        panic!("is a submission");
    };
    submission.payload = Arc::from("x".repeat(MAX_BATCH_BYTES));
    let rejected = large
        .log
        .push(JobEvent::Submitted(submission))
        .expect_err("too large");
    assert_eq!(rejected.kind(), ErrorKind::TooLarge);
}

/// Guards against a paused owner that resumes after its log was adopted and starts a job: its `Started` event
/// must not be written.
#[test]
fn a_previous_owner_learns_of_the_adoption_before_it_starts_a_job() {
    let mut fixture = LogFixture::new();
    fixture.log.push(submitted(0)).expect("fits");
    fixture.step(StoreFault::None);
    let closing = JobBatch {
        schema: BATCH_SCHEMA,
        number: 2,
        nonce: WriteNonce::new(999),
        events: vec![JobEvent::Closed { by: session("other") }],
    };
    fixture.store.values.insert(batch_key(&session("s"), 2), closing);
    let event_id = fixture.log.push(started(0, 1)).expect("fits");
    let (written, rejected) = fixture.step(StoreFault::None);
    assert!(written.is_empty());
    assert_eq!(rejected, [event_id]);
    assert!(fixture.log.is_closed());
    let late = fixture.log.push(started(0, 1)).expect_err("the log is closed");
    assert_eq!(late.kind(), ErrorKind::Draining);
    assert!(
        replay_batches(fixture.store.values.values())[&job(0)]
            .started
            .is_none()
    );
}

/// Guards against a log that grows without bound because of one long job, and against losing the start of
/// this job when it is written again.
#[test]
fn long_jobs_are_written_again_with_their_start() {
    let mut fixture = LogFixture::new();
    fixture.log.push(submitted(0)).expect("fits");
    fixture.step(StoreFault::None);
    fixture.log.push(started(0, 3)).expect("fits");
    for index in 1..1_000 {
        fixture.log.push(submitted(index)).expect("fits");
        fixture.step(StoreFault::None);
        fixture.log.push(finished(index)).expect("fits");
    }
    fixture.step(StoreFault::None);
    assert!(
        fixture.store.values.len() < 300,
        "{} batches kept",
        fixture.store.values.len()
    );
    let jobs = replay_batches(fixture.store.values.values());
    assert_eq!(jobs.len(), 1);
    assert_eq!(jobs[&job(0)].started.as_ref().expect("started").attempt, 3);
}

/// Guards against early losses that are forgotten when another session continues from the log, or when the
/// log is compacted.
#[test]
fn early_losses_outlive_the_session() {
    let JobEvent::Submitted(submission) = submitted(1) else {
        unreachable!("the event of a submission");
    };
    let mut job = figloft::policy::job_event::LiveJob::new(submission.clone());
    job.apply(&JobEvent::Requeued {
        job: job.submission.job.clone(),
        attempts: 3,
        checkpoint: None,
        early_losses: 3,
    });
    let mut replayed = figloft::policy::job_event::LiveJob::new(submission);
    for event in job.events() {
        let json = serde_json::to_string(&event).expect("encodes");
        replayed.apply(&serde_json::from_str(&json).expect("decodes"));
    }
    assert_eq!(replayed, job);
}
