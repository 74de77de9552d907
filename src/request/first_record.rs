//! Stores the first record of jobs, several in one transaction: a submission, or a cancellation that comes before it.
//!
//! The key of a job's summary has to be absent. Whichever record is stored first therefore makes all others fail, also
//! those that are repeated or that the store executes late, and the other jobs of their batch are written again.

use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use slog::{Logger, info, warn};
use tokio::sync::{OwnedSemaphorePermit, Semaphore, mpsc, oneshot};

use crate::clock::SharedClock;
use crate::dispatch::job_record::{JobRecord, JobSummary};
use crate::error::{Error, ErrorKind, Result};
use crate::model::id::{JobId, LeaseId, StoreRevision};
use crate::node::node_context;
use crate::node::store_keys;
use crate::platform::store::{CommitOutcome, StoreApiClient, StoreItem, StoreTransaction};

/// Time limit of one attempt to store a batch.
const ATTEMPT_TIMEOUT: Duration = Duration::from_millis(800);

/// Number of attempts refused by the store after which a batch is rejected.
const MAX_REFUSALS: u32 = 3;

/// `retry-after` of records that are not stored.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// What became of the first record of a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FirstOutcome {
    /// This record is stored.
    Stored,
    /// The job is stored by an earlier submission, or by an attempt of this batch if `may_be_own`.
    Submitted {
        /// Whether an attempt of this batch without an answer may have stored the job.
        may_be_own: bool,
    },
    /// The job was cancelled before it was stored, and never runs.
    Cancelled,
}

/// First record of a job that waits to be stored. Attempts stop when `deadline` leaves no time for another one.
#[derive(Debug)]
#[expect(missing_docs, reason = "the comment on the type describes the deadline")]
pub struct FirstRecord {
    pub job: JobId,
    pub summary: JobSummary,
    /// The submission for the leader of the pool; absent for a cancellation.
    pub submission: Option<JobRecord>,
    pub deadline: Instant,
    pub reply: oneshot::Sender<Result<FirstOutcome>>,
}

/// How the attempts to store a batch have ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BatchEnd {
    /// Each record is stored or refused.
    Settled,
    /// The lease does not exist any more; nothing was written.
    LeaseEnded,
}

impl FirstRecord {
    /// Error for a record that is certainly not stored.
    pub fn not_stored(&self, reason: &str) -> Error {
        let message = match self.submission {
            Some(_) => format!("the job was not accepted and will not run: {reason}"),
            None => format!("the job was not cancelled: {reason}"),
        };
        Error::new(ErrorKind::StoreUnavailable, message).with_retry_after(RETRY_AFTER)
    }

    /// Error for a record that may be stored, or may still be.
    pub fn outcome_unknown(&self, reason: &str) -> Error {
        let message = match self.submission {
            Some(_) => format!("it is not known whether the job was accepted: {reason}"),
            None => format!("it is not known whether the job was cancelled: {reason}"),
        };
        Error::new(ErrorKind::StoreOutcomeUnknown, message)
    }

    /// What a summary that is stored already means for this record.
    fn conflict_outcome(&self, log: &Logger, item: &StoreItem, may_be_own: bool) -> FirstOutcome {
        match store_keys::decode::<JobSummary>(&item.key, &item.value) {
            Ok(summary) if summary.is_early_cancellation => FirstOutcome::Cancelled,
            Ok(_) => FirstOutcome::Submitted { may_be_own },
            Err(error) => {
                warn!(log, "summary of a job is malformed"; "job" => %self.job, "error" => %error);
                FirstOutcome::Submitted { may_be_own }
            }
        }
    }
}

/// Waits for records and for the permit to store them, and returns all that wait by then, at most `max_records`. `None` if
/// no further ones can come.
pub async fn receive_batch(
    receiver: &mut mpsc::Receiver<FirstRecord>,
    permits: &Arc<Semaphore>,
    max_records: usize,
) -> Option<(Vec<FirstRecord>, OwnedSemaphorePermit)> {
    let mut batch = Vec::new();
    if receiver.recv_many(&mut batch, max_records).await == 0 {
        return None;
    }
    // The semaphore is never closed.
    let permit = Arc::clone(permits).acquire_owned().await.ok()?;
    while batch.len() < max_records
        && let Ok(record) = receiver.try_recv()
    {
        batch.push(record);
    }
    Some((batch, permit))
}

/// Stores a batch, trying again until the outcome is certain or the records' deadlines pass. Jobs that turn out to have a
/// record are left out of the next attempt. The summaries are attached to `lease`, if there is one.
pub async fn store_batch(
    store: &StoreApiClient,
    clock: &SharedClock,
    log: &Logger,
    mut batch: Vec<FirstRecord>,
    lease: Option<LeaseId>,
) -> BatchEnd {
    let mut may_be_stored = false;
    let mut refusals = 0;
    let mut delay = node_context::store_retry_delay();
    while !batch.is_empty() {
        let transaction = match encode_batch(&batch, lease) {
            Ok(transaction) => transaction,
            Err(error) => {
                reply_all(batch, |_| Err(error.clone()));
                return BatchEnd::Settled;
            }
        };
        match store.commit(&transaction, ATTEMPT_TIMEOUT).await {
            Ok(CommitOutcome::Done(revision)) => {
                if may_be_stored {
                    info!(log, "records stored after a write without an answer"; "job" => first_job(&batch),
                        "jobs" => batch.len(), "revision" => %revision);
                }
                reply_all(batch, |_| Ok(FirstOutcome::Stored));
                return BatchEnd::Settled;
            }
            Ok(CommitOutcome::Conflict(items)) => {
                let count = batch.len();
                batch = reply_conflicts(log, batch, &items, may_be_stored);
                if batch.len() == count {
                    let reason = "the store reported a conflict but no conflicting key";
                    reply_all(batch, |record| Err(record.outcome_unknown(reason)));
                    return BatchEnd::Settled;
                }
            }
            Ok(CommitOutcome::LeaseEnded) => {
                reply_all(batch, |record| Err(record.not_stored("its lease has ended")));
                return BatchEnd::LeaseEnded;
            }
            Err(error) if error.kind() == ErrorKind::StoreOutcomeUnknown => {
                may_be_stored = true;
                warn!(log, "records written without an answer"; "job" => first_job(&batch),
                    "jobs" => batch.len(), "error" => %error);
            }
            Err(error) if may_be_stored => drop(error),
            Err(error) => {
                refusals += 1;
                if refusals >= MAX_REFUSALS {
                    reply_all(batch, |record| Err(record.not_stored(error.message())));
                    return BatchEnd::Settled;
                }
                let pause = delay.next_delay(&mut rand::rng());
                store.pause(pause).await;
            }
        }
        batch = reply_expired(batch, clock.now(), may_be_stored);
        if may_be_stored && !batch.is_empty() {
            delay.reset();
            let pause = delay.next_delay(&mut rand::rng());
            store.pause(pause).await;
        }
    }
    BatchEnd::Settled
}

/// Replies to the records whose job has one already, and returns the others.
fn reply_conflicts(
    log: &Logger,
    batch: Vec<FirstRecord>,
    items: &[StoreItem],
    may_be_own: bool,
) -> Vec<FirstRecord> {
    let mut others = Vec::new();
    for record in batch {
        let key = store_keys::summary_key(&record.job);
        let found = items
            .iter()
            .find(|item| item.key == key && item.revision > StoreRevision::default());
        match found {
            Some(item) => {
                let outcome = record.conflict_outcome(log, item, may_be_own);
                // Sending fails if the caller has disconnected.
                let _ = record.reply.send(Ok(outcome));
            }
            None => others.push(record),
        }
    }
    others
}

/// Replies to the records whose deadline leaves no time for another attempt, and returns the others.
fn reply_expired(batch: Vec<FirstRecord>, now: Instant, may_be_stored: bool) -> Vec<FirstRecord> {
    let (expired, open): (Vec<_>, Vec<_>) = batch
        .into_iter()
        .partition(|record| now + ATTEMPT_TIMEOUT > record.deadline);
    reply_all(expired, |record| {
        Err(if may_be_stored {
            record.outcome_unknown("the store did not answer in time")
        } else {
            record.not_stored("the store did not accept it in time")
        })
    });
    open
}

fn encode_batch(batch: &[FirstRecord], lease: Option<LeaseId>) -> Result<StoreTransaction> {
    let mut transaction = StoreTransaction::default();
    for record in batch {
        let key = store_keys::summary_key(&record.job);
        if transaction.puts.iter().any(|put| put.key == key) {
            // The same call was made twice within this batch; its record is stored once.
            continue;
        }
        transaction
            .expected_revisions
            .push((Arc::clone(&key), StoreRevision::default()));
        transaction.put(key, store_keys::encode(&record.summary)?, lease);
        if let Some(submission) = &record.submission {
            let inbox = store_keys::inbox_key(&submission.pool, &submission.id);
            let value: Bytes = store_keys::encode(submission)?;
            transaction.put(inbox, value, None);
        }
    }
    Ok(transaction)
}

/// Id of the first job, which stands for a batch in the log.
fn first_job(batch: &[FirstRecord]) -> &str {
    batch.first().map_or("", |record| record.job.as_str())
}

/// Replies to all records of a batch.
pub fn reply_all(batch: Vec<FirstRecord>, outcome: impl Fn(&FirstRecord) -> Result<FirstOutcome>) {
    for record in batch {
        let reply = outcome(&record);
        // Sending fails if the caller has disconnected.
        let _ = record.reply.send(reply);
    }
}
