//! Writes submitted jobs to the store, several in one transaction.
//!
//! Batching keeps up with bursts of submissions: while transactions are in flight, further jobs are collected
//! for the next one.

use std::sync::Arc;
use std::time::{Duration, Instant};

use slog::Logger;
use tokio::sync::{Semaphore, mpsc, oneshot};

use crate::clock::SharedClock;
use crate::dispatch::job_record::{JobRecord, JobState, JobSummary};
use crate::error::{Error, ErrorKind, Result};
use crate::platform::store::StoreApiClient;
use crate::request::first_record::{self, FirstOutcome, FirstRecord};

/// Largest number of jobs in one transaction. Each job adds one condition and two puts.
const MAX_BATCH_JOBS: usize = 10;

/// Largest number of transactions in flight.
const MAX_BATCHES_IN_FLIGHT: usize = 4;

/// Largest number of jobs that wait for a transaction; further ones are rejected at once.
const MAX_WAITING: usize = 512;

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

/// Stores submitted jobs. Clones share one queue of submissions.
#[derive(Debug, Clone)]
pub struct SubmissionBatcher {
    sender: mpsc::Sender<FirstRecord>,
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
    /// `store_unavailable` or `overloaded` if the job is not stored and will not run, `job_cancelled` if its
    /// cancellation came first, `store_outcome_unknown` if it may have been stored.
    pub async fn submit(&self, record: JobRecord, deadline: Instant) -> Result<SubmissionOutcome> {
        let (reply, receiver) = oneshot::channel();
        let first = FirstRecord {
            job: record.id.clone(),
            summary: JobSummary {
                pool: record.pool.clone(),
                queue: record.queue.clone(),
                state: JobState::Pending,
                ended_at: None,
                reason: None,
                is_early_cancellation: false,
            },
            submission: Some(record),
            deadline,
            reply,
        };
        if self.store.is_unreachable() {
            return Err(first.not_stored("the store does not answer"));
        }
        if self.sender.try_send(first).is_err() {
            let error = Error::new(ErrorKind::Overloaded, "too many submissions wait for the store");
            return Err(error.with_retry_after(RETRY_AFTER));
        }
        let Ok(outcome) = receiver.await else {
            let message = "it is not known whether the job was accepted: the task that stores jobs has ended";
            return Err(Error::new(ErrorKind::StoreOutcomeUnknown, message));
        };
        match outcome? {
            FirstOutcome::Stored | FirstOutcome::Submitted { may_be_own: true } => {
                Ok(SubmissionOutcome::Accepted)
            }
            FirstOutcome::Submitted { may_be_own: false } => Ok(SubmissionOutcome::Duplicate),
            FirstOutcome::Cancelled => {
                let message = "the job was not accepted and will not run: its cancellation came first; \
                    another job needs another id";
                Err(Error::new(ErrorKind::JobCancelled, message))
            }
        }
    }
}

async fn run_batches(
    store: StoreApiClient,
    clock: SharedClock,
    log: Logger,
    mut receiver: mpsc::Receiver<FirstRecord>,
) {
    let permits = Arc::new(Semaphore::new(MAX_BATCHES_IN_FLIGHT));
    while let Some((batch, permit)) =
        first_record::receive_batch(&mut receiver, &permits, MAX_BATCH_JOBS).await
    {
        let (store, clock, log) = (store.clone(), Arc::clone(&clock), log.clone());
        tokio::spawn(async move {
            first_record::store_batch(&store, &clock, &log, batch, None).await;
            drop(permit);
        });
    }
}
