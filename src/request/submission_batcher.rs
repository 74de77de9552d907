//! Stores accepted jobs, several in one transaction.
//!
//! Answers bursts of submissions: while a transaction is on its way, further jobs gather for the next one.

use std::sync::Arc;
use std::time::{Duration, Instant};

use tokio::sync::{mpsc, oneshot};

use crate::clock::SharedClock;
use crate::dispatch::job_record::{JobRecord, JobState, JobSummary};
use crate::error::{Error, ErrorKind, Result};
use crate::model::id::StoreRevision;
use crate::node::node_context;
use crate::node::store_keys;
use crate::platform::store::{CommitOutcome, StoreApiClient, StoreTransaction};

/// Jobs in one transaction: each takes a condition and two puts.
const GROUP_JOBS: usize = 10;

/// Transactions on their way at once.
const GROUPS_IN_FLIGHT: usize = 4;

/// Jobs that may wait for a transaction; further ones are refused at once.
const MAX_WAITING: usize = 512;

/// Time for one attempt to store a group.
const ATTEMPT_TIMEOUT: Duration = Duration::from_millis(800);

/// Refusals of the store in a row after which a group is refused.
const MOST_REFUSALS: u32 = 3;

/// When to come back after a refusal.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// How a submission ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, derive_more::Display)]
pub enum SubmissionOutcome {
    /// The job is stored.
    #[display("accepted")]
    Accepted,
    /// The job was stored by an earlier submission.
    #[display("known")]
    Known,
}

#[derive(Debug)]
struct IntakeEntry {
    record: JobRecord,
    deadline: Instant,
    reply: oneshot::Sender<Result<SubmissionOutcome>>,
}

/// Takes jobs in.
#[derive(Debug, Clone)]
pub struct SubmissionBatcher {
    sender: mpsc::Sender<IntakeEntry>,
    store: StoreApiClient,
}

impl SubmissionBatcher {
    /// Starts the intake on the current runtime.
    pub fn start(store: StoreApiClient, clock: SharedClock) -> Self {
        let (sender, receiver) = mpsc::channel(MAX_WAITING);
        tokio::spawn(gather(store.clone(), clock, receiver));
        Self { sender, store }
    }

    /// Stores a job.
    ///
    /// # Errors
    /// `store_unavailable` or `overloaded` if the job is not stored and will not run, `store_outcome_unknown` if it
    /// may be.
    pub async fn submit(&self, record: JobRecord, deadline: Instant) -> Result<SubmissionOutcome> {
        if self.store.is_unreachable() {
            return Err(refusal("the store does not answer"));
        }
        let (reply, answer) = oneshot::channel();
        let entry = IntakeEntry {
            record,
            deadline,
            reply,
        };
        if self.sender.try_send(entry).is_err() {
            let error = Error::new(ErrorKind::Overloaded, "too many submissions wait for the store");
            return Err(error.with_retry_after(RETRY_AFTER));
        }
        answer
            .await
            .unwrap_or_else(|_| Err(unknown("the intake has ended")))
    }
}

async fn gather(store: StoreApiClient, clock: SharedClock, mut receiver: mpsc::Receiver<IntakeEntry>) {
    let slots = Arc::new(tokio::sync::Semaphore::new(GROUPS_IN_FLIGHT));
    let mut group = Vec::new();
    while receiver.recv_many(&mut group, GROUP_JOBS).await > 0 {
        // The semaphore is never closed.
        let Ok(slot) = Arc::clone(&slots).acquire_owned().await else {
            return;
        };
        let room = GROUP_JOBS - group.len();
        for _ in 0..room {
            match receiver.try_recv() {
                Ok(entry) => group.push(entry),
                Err(_) => break,
            }
        }
        let (store, clock, group) = (store.clone(), Arc::clone(&clock), std::mem::take(&mut group));
        tokio::spawn(async move {
            store_group(&store, &clock, group).await;
            drop(slot);
        });
    }
}

/// Stores a group, leaving out the jobs that are known, until the outcome is certain or the callers leave.
async fn store_group(store: &StoreApiClient, clock: &SharedClock, mut group: Vec<IntakeEntry>) {
    let mut may_be_stored = false;
    let mut refusals = 0;
    let mut delay = node_context::store_retry_delay();
    while !group.is_empty() {
        let write = match encode(&group) {
            Ok(write) => write,
            Err(error) => return answer_all(group, &Err(error)),
        };
        match store.commit(&write, ATTEMPT_TIMEOUT).await {
            Ok(CommitOutcome::Done(_)) => return answer_all(group, &Ok(SubmissionOutcome::Accepted)),
            Ok(CommitOutcome::Conflict(items)) => {
                let is_known = |entry: &IntakeEntry| {
                    let key = store_keys::summary_key(&entry.record.id);
                    items
                        .iter()
                        .any(|item| item.key == key && item.revision > StoreRevision::default())
                };
                let (known, unknown): (Vec<_>, Vec<_>) = group.into_iter().partition(is_known);
                let outcome = if may_be_stored {
                    SubmissionOutcome::Accepted
                } else {
                    SubmissionOutcome::Known
                };
                if known.is_empty() {
                    return answer_all(unknown, &Err(unknown_conflict()));
                }
                answer_all(known, &Ok(outcome));
                group = unknown;
            }
            Ok(CommitOutcome::LeaseEnded) => return answer_all(group, &Err(unknown_conflict())),
            Err(error) if error.kind() == ErrorKind::StoreOutcomeUnknown => may_be_stored = true,
            Err(error) if may_be_stored => drop(error),
            Err(error) => {
                refusals += 1;
                if refusals >= MOST_REFUSALS {
                    return answer_all(group, &Err(refusal(error.message())));
                }
                let pause = delay.draw(&mut rand::rng());
                tokio::time::sleep(pause).await;
            }
        }
        let now = clock.now();
        let (late, open): (Vec<_>, Vec<_>) = group
            .into_iter()
            .partition(|entry| now + ATTEMPT_TIMEOUT > entry.deadline);
        let fault = if may_be_stored {
            unknown("the store did not answer in time")
        } else {
            refusal("the store did not take the job in time")
        };
        answer_all(late, &Err(fault));
        group = open;
        if may_be_stored && !group.is_empty() {
            delay.reset();
            let pause = delay.draw(&mut rand::rng());
            tokio::time::sleep(pause).await;
        }
    }
}

fn encode(group: &[IntakeEntry]) -> Result<StoreTransaction> {
    let mut write = StoreTransaction::default();
    for entry in group {
        let record = &entry.record;
        let head = JobSummary {
            pool: record.pool.clone(),
            queue: record.queue.clone(),
            state: JobState::Pending,
            ended_at: None,
        };
        let key = store_keys::summary_key(&record.id);
        if write.puts.iter().any(|put| put.key == key) {
            // The same job twice in one group: one record serves both.
            continue;
        }
        write
            .expected_revisions
            .push((Arc::clone(&key), StoreRevision::default()));
        write.put(key, store_keys::encode(&head)?, None);
        let inbox = store_keys::inbox_key(&record.pool, &record.id);
        write.put(inbox, store_keys::encode(record)?, None);
    }
    Ok(write)
}

fn answer_all(group: Vec<IntakeEntry>, outcome: &Result<SubmissionOutcome>) {
    for entry in group {
        // A caller that has left needs no answer.
        let _ = entry.reply.send(outcome.clone());
    }
}

fn refusal(reason: &str) -> Error {
    let message = format!("the job was not accepted and will not run: {reason}");
    Error::new(ErrorKind::StoreUnavailable, message).with_retry_after(RETRY_AFTER)
}

fn unknown(reason: &str) -> Error {
    let message = format!("it is not known whether the job was accepted: {reason}");
    Error::new(ErrorKind::StoreOutcomeUnknown, message)
}

fn unknown_conflict() -> Error {
    unknown("the store reported a conflict without its cause")
}
