//! Cancels jobs in the store; the leader of a job's pool carries the cancellation out.
//!
//! An acknowledged cancellation holds for a job that is not stored yet too, see
//! [`early_cancellations`](crate::request::early_cancellations).

use std::time::{Duration, Instant};

use bytes::Bytes;
use slog::info;

use crate::dispatch::job_record::{JobState, JobSummary};
use crate::error::{Error, ErrorKind, Result};
use crate::model::id::{JobId, OrganisationId, PoolId, QueueId, StoreRevision};
use crate::node::node_context::{NodeContext, STORE_TIMEOUT};
use crate::node::store_keys;
use crate::platform::store::{CommitOutcome, StoreTransaction};
use crate::request::early_cancellations::EarlyCancellations;
use crate::request::first_record::FirstOutcome;

/// Number of attempts to store a cancellation. The job may be stored during the first attempt, and its state changes at
/// most twice after that, so that each attempt but the last can meet a change.
const MAX_ATTEMPTS: usize = 4;

/// `retry-after` of cancellations that are not stored.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// Request to cancel a job.
#[derive(Debug, Clone)]
#[expect(missing_docs, reason = "the names of the other fields say what they hold")]
pub struct CancelRequest {
    pub job: JobId,
    /// Pool and queue to which the request was sent.
    pub pool: PoolId,
    pub queue: QueueId,
    /// Organisation of the caller; absent without a known key.
    pub organisation: Option<OrganisationId>,
    pub deadline: Instant,
}

/// Cancels jobs.
#[derive(Debug, Clone)]
pub struct JobCanceller {
    context: NodeContext,
    early: EarlyCancellations,
}

impl JobCanceller {
    /// Starts a canceller on the current runtime.
    pub fn start(context: &NodeContext) -> Self {
        Self {
            context: context.clone(),
            early: EarlyCancellations::start(context),
        }
    }

    /// Stores a cancellation. A job that has ended is left as it is. Returns the state of the job at that time.
    ///
    /// # Errors
    /// `job_gone` if no such job is stored, which stays so for this id; any other error if the cancellation is not
    /// acknowledged.
    pub async fn cancel(&self, request: &CancelRequest) -> Result<JobState> {
        let job = &request.job;
        for _ in 0..MAX_ATTEMPTS {
            let Some((summary, revision)) = self.read_summary(job).await? else {
                match self.early.store(request.clone()).await? {
                    FirstOutcome::Stored | FirstOutcome::Cancelled => return Err(job_gone(job)),
                    FirstOutcome::Submitted { .. } => continue,
                }
            };
            if summary.is_early_cancellation {
                return Err(job_gone(job));
            }
            if summary.state.is_final() || self.store_cancellation(job, &summary, revision).await? {
                info!(self.context.log, "job cancelled"; "job" => %job, "state" => %summary.state);
                return Ok(summary.state);
            }
        }
        let message = format!("the state of job {job} changed during each attempt to cancel it");
        Err(Error::new(ErrorKind::StoreUnavailable, message).with_retry_after(RETRY_AFTER))
    }

    /// Reads the summary of a job, with the revision of its last change. `None` if no record names the job.
    ///
    /// # Errors
    /// Those of the store, `bad_record` if the summary is malformed.
    pub async fn read_summary(&self, job: &JobId) -> Result<Option<(JobSummary, StoreRevision)>> {
        if self.context.store.is_unreachable() {
            return Err(store_unavailable());
        }
        let key = store_keys::summary_key(job);
        let Some(item) = self.context.store.get(&key, STORE_TIMEOUT).await? else {
            return Ok(None);
        };
        Ok(Some((store_keys::decode(&key, &item.value)?, item.revision)))
    }

    /// Stores the cancellation of a job whose state was last changed at `revision`. Executed late, after a further
    /// change, it has no effect. Returns whether it is stored.
    async fn store_cancellation(
        &self,
        job: &JobId,
        summary: &JobSummary,
        revision: StoreRevision,
    ) -> Result<bool> {
        let mut transaction = StoreTransaction {
            expected_revisions: vec![(store_keys::summary_key(job), revision)],
            ..StoreTransaction::default()
        };
        transaction.put(
            store_keys::cancel_key(&summary.pool, job),
            Bytes::from_static(b"1"),
            None,
        );
        let outcome = self.context.store.commit(&transaction, STORE_TIMEOUT).await?;
        Ok(matches!(outcome, CommitOutcome::Done(_)))
    }
}

/// Error for a job of which no submission is stored.
pub fn job_gone(job: &JobId) -> Error {
    Error::new(ErrorKind::JobGone, format!("job {job} is not known"))
}

/// Error for a call that is not made because the last ones to the store had no answer.
pub fn store_unavailable() -> Error {
    Error::new(ErrorKind::StoreUnavailable, "the store does not answer").with_retry_after(RETRY_AFTER)
}
