//! Writes submitted jobs to the store, several in one transaction.
//!
//! Batching keeps up with bursts of submissions: while transactions are in flight, further jobs are collected
//! for the next one.

use std::sync::Arc;
use std::time::{Duration, Instant};

use slog::{Logger, info, warn};
use tokio::sync::{mpsc, oneshot};

use crate::clock::SharedClock;
use crate::dispatch::job_record::{JobRecord, JobState, JobSummary};
use crate::error::{Error, ErrorKind, Result};
use crate::model::id::StoreRevision;
use crate::node::node_context;
use crate::node::store_keys;
use crate::platform::store::{CommitOutcome, StoreApiClient, StoreTransaction};

/// Largest number of jobs in one transaction. Each job adds one condition and two puts.
const MAX_BATCH_JOBS: usize = 10;

/// Largest number of transactions in flight.
const MAX_BATCHES_IN_FLIGHT: usize = 4;

/// Largest number of jobs that wait for a transaction; further ones are rejected at once.
const MAX_WAITING: usize = 512;

/// Time limit of one attempt to store a batch.
const ATTEMPT_TIMEOUT: Duration = Duration::from_millis(800);

/// Number of attempts refused by the store after which a batch is rejected.
const MAX_REFUSALS: u32 = 3;

/// `retry-after` of rejected submissions.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// Result of a successful submission.
#[derive(Debug, Clone, Copy, PartialEq, Eq, derive_more::Display)]
pub enum SubmissionOutcome {
    /// This submission stored the job.
    #[display("accepted")]
    Accepted,
    /// The job was stored by an earlier submission.
    #[display("known")]
    Duplicate,
}

#[derive(Debug)]
struct PendingSubmission {
    record: JobRecord,
    deadline: Instant,
    reply: oneshot::Sender<Result<SubmissionOutcome>>,
}

/// Stores submitted jobs. Clones share one queue of submissions.
#[derive(Debug, Clone)]
pub struct SubmissionBatcher {
    sender: mpsc::Sender<PendingSubmission>,
    store: StoreApiClient,
}

impl SubmissionBatcher {
    /// Starts the background task on the current runtime. It ends when all clones are dropped.
    pub fn start(store: StoreApiClient, clock: SharedClock, log: Logger) -> Self {
        let (sender, receiver) = mpsc::channel(MAX_WAITING);
        tokio::spawn(run_batches(store.clone(), clock, log, receiver));
        Self { sender, store }
    }

    /// Stores a job. Attempts stop when `deadline` leaves no time for another one.
    ///
    /// # Errors
    /// `store_unavailable` or `overloaded` if the job is not stored and will not run, `store_outcome_unknown`
    /// if it may have been stored.
    pub async fn submit(&self, record: JobRecord, deadline: Instant) -> Result<SubmissionOutcome> {
        if self.store.is_unreachable() {
            return Err(not_accepted("the store does not answer"));
        }
        let (reply, receiver) = oneshot::channel();
        let submission = PendingSubmission {
            record,
            deadline,
            reply,
        };
        if self.sender.try_send(submission).is_err() {
            let error = Error::new(ErrorKind::Overloaded, "too many submissions wait for the store");
            return Err(error.with_retry_after(RETRY_AFTER));
        }
        receiver
            .await
            .unwrap_or_else(|_| Err(outcome_unknown("the task that stores jobs has ended")))
    }
}

async fn run_batches(
    store: StoreApiClient,
    clock: SharedClock,
    log: Logger,
    mut receiver: mpsc::Receiver<PendingSubmission>,
) {
    let permits = Arc::new(tokio::sync::Semaphore::new(MAX_BATCHES_IN_FLIGHT));
    let mut batch = Vec::new();
    while receiver.recv_many(&mut batch, MAX_BATCH_JOBS).await > 0 {
        // The semaphore is never closed.
        let Ok(permit) = Arc::clone(&permits).acquire_owned().await else {
            return;
        };
        let free = MAX_BATCH_JOBS - batch.len();
        for _ in 0..free {
            match receiver.try_recv() {
                Ok(submission) => batch.push(submission),
                Err(_) => break,
            }
        }
        let (store, clock, batch) = (store.clone(), Arc::clone(&clock), std::mem::take(&mut batch));
        let log = log.clone();
        tokio::spawn(async move {
            store_batch(&store, &clock, &log, batch).await;
            drop(permit);
        });
    }
}

/// Stores a batch, trying again until the outcome is certain or the submissions' deadlines pass. Jobs that
/// turn out to be stored already are left out of the next attempt. Such a job counts as accepted rather than
/// as a duplicate if an earlier attempt of this batch may have stored it.
async fn store_batch(
    store: &StoreApiClient,
    clock: &SharedClock,
    log: &Logger,
    mut batch: Vec<PendingSubmission>,
) {
    let mut may_be_stored = false;
    let mut refusals = 0;
    let mut delay = node_context::store_retry_delay();
    while !batch.is_empty() {
        let transaction = match encode_batch(&batch) {
            Ok(transaction) => transaction,
            Err(error) => return reply_all(batch, &Err(error)),
        };
        match store.commit(&transaction, ATTEMPT_TIMEOUT).await {
            Ok(CommitOutcome::Done(revision)) => {
                if may_be_stored {
                    info!(log, "submissions stored after a write without an answer"; "job" => first_job(&batch),
                        "jobs" => batch.len(), "revision" => %revision, "abandoned" => count_abandoned(&batch));
                }
                return reply_all(batch, &Ok(SubmissionOutcome::Accepted));
            }
            Ok(CommitOutcome::Conflict(items)) => {
                let is_duplicate = |submission: &PendingSubmission| {
                    let key = store_keys::summary_key(&submission.record.id);
                    items
                        .iter()
                        .any(|item| item.key == key && item.revision > StoreRevision::default())
                };
                let (duplicates, others): (Vec<_>, Vec<_>) = batch.into_iter().partition(is_duplicate);
                let outcome = if may_be_stored {
                    SubmissionOutcome::Accepted
                } else {
                    SubmissionOutcome::Duplicate
                };
                if duplicates.is_empty() {
                    return reply_all(others, &Err(unexplained_conflict()));
                }
                reply_all(duplicates, &Ok(outcome));
                batch = others;
            }
            Ok(CommitOutcome::LeaseEnded) => return reply_all(batch, &Err(unexplained_conflict())),
            Err(error) if error.kind() == ErrorKind::StoreOutcomeUnknown => {
                may_be_stored = true;
                warn!(log, "submissions written without an answer"; "job" => first_job(&batch),
                    "jobs" => batch.len(), "abandoned" => count_abandoned(&batch), "error" => %error);
            }
            Err(error) if may_be_stored => drop(error),
            Err(error) => {
                refusals += 1;
                if refusals >= MAX_REFUSALS {
                    return reply_all(batch, &Err(not_accepted(error.message())));
                }
                let pause = delay.next_delay(&mut rand::rng());
                store.pause(pause).await;
            }
        }
        let now = clock.now();
        let (expired, open): (Vec<_>, Vec<_>) = batch
            .into_iter()
            .partition(|submission| now + ATTEMPT_TIMEOUT > submission.deadline);
        let error = if may_be_stored {
            outcome_unknown("the store did not answer in time")
        } else {
            not_accepted("the store did not accept the job in time")
        };
        reply_all(expired, &Err(error));
        batch = open;
        if may_be_stored && !batch.is_empty() {
            delay.reset();
            let pause = delay.next_delay(&mut rand::rng());
            store.pause(pause).await;
        }
    }
}

fn encode_batch(batch: &[PendingSubmission]) -> Result<StoreTransaction> {
    let mut transaction = StoreTransaction::default();
    for submission in batch {
        let record = &submission.record;
        let summary = JobSummary {
            pool: record.pool.clone(),
            queue: record.queue.clone(),
            state: JobState::Pending,
            ended_at: None,
            reason: None,
        };
        let key = store_keys::summary_key(&record.id);
        if transaction.puts.iter().any(|put| put.key == key) {
            // The job was submitted twice within this batch; it is stored once.
            continue;
        }
        transaction
            .expected_revisions
            .push((Arc::clone(&key), StoreRevision::default()));
        transaction.put(key, store_keys::encode(&summary)?, None);
        let inbox = store_keys::inbox_key(&record.pool, &record.id);
        transaction.put(inbox, store_keys::encode(record)?, None);
    }
    Ok(transaction)
}

/// Id of the first job, which stands for a batch in the log.
fn first_job(batch: &[PendingSubmission]) -> &str {
    batch
        .first()
        .map_or("", |submission| submission.record.id.as_str())
}

/// Number of submissions whose caller has disconnected.
fn count_abandoned(batch: &[PendingSubmission]) -> usize {
    batch
        .iter()
        .filter(|submission| submission.reply.is_closed())
        .count()
}

fn reply_all(batch: Vec<PendingSubmission>, outcome: &Result<SubmissionOutcome>) {
    for submission in batch {
        // Sending fails if the caller has disconnected.
        let _ = submission.reply.send(outcome.clone());
    }
}

fn not_accepted(reason: &str) -> Error {
    let message = format!("the job was not accepted and will not run: {reason}");
    Error::new(ErrorKind::StoreUnavailable, message).with_retry_after(RETRY_AFTER)
}

fn outcome_unknown(reason: &str) -> Error {
    let message = format!("it is not known whether the job was accepted: {reason}");
    Error::new(ErrorKind::StoreOutcomeUnknown, message)
}

fn unexplained_conflict() -> Error {
    outcome_unknown("the store reported a conflict but no conflicting key")
}
