//! The durable log of jobs and its adoption.

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

/// A store that keeps batches and can lose requests and answers.
#[derive(Debug, Default)]
struct BatchStore {
    values: BTreeMap<String, JobBatch>,
    writes: usize,
}

#[derive(Debug, Clone, Copy)]
enum StoreFault {
    None,
    RequestLost,
    AnswerLost,
    Refused,
}

impl BatchStore {
    fn create(&mut self, key: &str, value: &[u8], fault: StoreFault) -> BatchWriteResult {
        self.writes += 1;
        match fault {
            StoreFault::RequestLost => return BatchWriteResult::Unknown,
            StoreFault::Refused => return BatchWriteResult::Failed,
            StoreFault::None | StoreFault::AnswerLost => {}
        }
        let result = if let Some(found) = self.values.get(key) {
            BatchWriteResult::Exists(Box::new(found.clone()))
        } else {
            let batch = serde_json::from_slice(value).expect("batch parses");
            self.values.insert(key.to_owned(), batch);
            BatchWriteResult::Written
        };
        if matches!(fault, StoreFault::AnswerLost) {
            BatchWriteResult::Unknown
        } else {
            result
        }
    }

    fn live(&self) -> BTreeSet<JobId> {
        replay_batches(self.values.values()).into_keys().collect()
    }
}

struct LogBench {
    log: JobLog,
    store: BatchStore,
    now: Instant,
    nonce: u64,
}

impl LogBench {
    fn new() -> Self {
        Self {
            log: JobLog::new(session("s")),
            store: BatchStore::default(),
            now: Instant::now(),
            nonce: 0,
        }
    }

    /// One step 100 ms later; returns landed and refused tickets.
    fn step(&mut self, fault: StoreFault) -> (Vec<EventId>, Vec<EventId>) {
        self.step_after(Duration::from_millis(100), fault)
    }

    fn step_after(&mut self, time: Duration, fault: StoreFault) -> (Vec<EventId>, Vec<EventId>) {
        self.now += time;
        self.nonce += 1;
        let (mut landed, mut refused) = (Vec::new(), Vec::new());
        for action in self.log.step(self.now, WriteNonce::new(self.nonce)) {
            match action {
                LogAction::Delete { key } => drop(self.store.values.remove(&key)),
                LogAction::Write { key, value } => {
                    let result = self.store.create(&key, &value, fault);
                    let progress = self.log.handle_write_result(result);
                    landed.extend(progress.written);
                    refused.extend(progress.rejected);
                }
            }
        }
        (landed, refused)
    }
}

fn faults() -> impl Strategy<Value = StoreFault> {
    prop_oneof![
        5 => Just(StoreFault::None),
        1 => Just(StoreFault::RequestLost),
        1 => Just(StoreFault::AnswerLost),
        1 => Just(StoreFault::Refused),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(15),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Guards against an acknowledged job that is lost, a refused one that runs, and an ended one that comes
    /// back, with requests and answers of the store lost.
    #[test]
    fn the_store_holds_exactly_the_acknowledged_jobs(
        steps in vec((any::<bool>(), 0..30_usize, faults()), 1..200),
    ) {
        let mut bench = LogBench::new();
        let mut tickets = BTreeMap::new();
        let mut acknowledged: BTreeSet<JobId> = BTreeSet::new();
        let mut refused = BTreeSet::new();
        for (count, (ends, index, fault)) in steps.into_iter().enumerate() {
            let (id, event) = (count + 100, submitted(count + 100));
            if ends && acknowledged.remove(&job(index + 100)) {
                bench.log.push(finished(index + 100)).expect("fits");
            } else {
                tickets.insert(bench.log.push(event).expect("fits"), job(id));
            }
            let progress = bench.step(fault);
            acknowledged.extend(progress.0.iter().filter_map(|ticket| tickets.remove(ticket)));
            refused.extend(progress.1.iter().filter_map(|ticket| tickets.remove(ticket)));
        }
        while bench.log.backlog() > 0 {
            let progress = bench.step(StoreFault::None);
            acknowledged.extend(progress.0.iter().filter_map(|ticket| tickets.remove(ticket)));
        }
        prop_assert_eq!(bench.store.live(), acknowledged);
        prop_assert!(bench.store.live().is_disjoint(&refused));
    }
}

/// Guards against more than 10 batch writes a second, 100 of all sessions together, and against batches above the store's value limit.
#[test]
fn writes_are_grouped_and_bounded() {
    let mut bench = LogBench::new();
    for index in 0..5_000 {
        bench.log.push(submitted(index)).expect("fits");
        bench.step_after(Duration::from_millis(1), StoreFault::None);
    }
    assert!(bench.store.writes <= 50, "{} writes in 5 s", bench.store.writes);
    let mut shared = LogBench::new();
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
    let mut large = LogBench::new();
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
    let refused = large
        .log
        .push(JobEvent::Submitted(submission))
        .expect_err("too large");
    assert_eq!(refused.kind(), ErrorKind::TooLarge);
}

/// Guards against a paused owner that wakes after its adoption and starts a job: its `started` never lands.
#[test]
fn a_former_owner_learns_of_its_adoption_before_it_starts_anything() {
    let mut bench = LogBench::new();
    bench.log.push(submitted(0)).expect("fits");
    bench.step(StoreFault::None);
    let closing = JobBatch {
        schema: BATCH_SCHEMA,
        number: 2,
        nonce: WriteNonce::new(999),
        events: vec![JobEvent::Closed { by: session("other") }],
    };
    bench.store.values.insert(batch_key(&session("s"), 2), closing);
    let ticket = bench.log.push(started(0, 1)).expect("fits");
    let (landed, refused) = bench.step(StoreFault::None);
    assert!(landed.is_empty());
    assert_eq!(refused, [ticket]);
    assert!(bench.log.is_closed());
    let late = bench.log.push(started(0, 1)).expect_err("the log is closed");
    assert_eq!(late.kind(), ErrorKind::Draining);
    assert!(
        replay_batches(bench.store.values.values())[&job(0)]
            .started
            .is_none()
    );
}

/// Guards against a log that grows for ever behind one long job, and against losing that the job started.
#[test]
fn long_jobs_are_carried_forward_with_their_start() {
    let mut bench = LogBench::new();
    bench.log.push(submitted(0)).expect("fits");
    bench.step(StoreFault::None);
    bench.log.push(started(0, 3)).expect("fits");
    for index in 1..1_000 {
        bench.log.push(submitted(index)).expect("fits");
        bench.step(StoreFault::None);
        bench.log.push(finished(index)).expect("fits");
    }
    bench.step(StoreFault::None);
    assert!(
        bench.store.values.len() < 300,
        "{} batches kept",
        bench.store.values.len()
    );
    let jobs = replay_batches(bench.store.values.values());
    assert_eq!(jobs.len(), 1);
    assert_eq!(jobs[&job(0)].started.as_ref().expect("started").attempt, 3);
}
