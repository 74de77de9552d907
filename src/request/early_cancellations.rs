//! Stores cancellations of jobs that are not stored.
//!
//! A submission may still be on its way when its cancellation finds no job: in a batch of another node, repeated after
//! its caller has left, or executed late by the store. The record of the cancellation takes the place of the job's
//! summary, so that every later write of the submission fails. A lease removes it once no such write can come any more.
//!
//! Callers may cancel any id at any rate. The records are therefore written in batches at a fixed pace, the waiting calls
//! are limited in all and for each organisation, and those that exceed the limit are refused without an acknowledgement.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use slog::info;
use tokio::sync::{Semaphore, mpsc, oneshot};

use crate::dispatch::job_record::{JobState, JobSummary};
use crate::error::{Error, ErrorKind, Result};
use crate::model::id::{LeaseId, OrganisationId};
use crate::node::node_context::{NodeContext, STORE_TIMEOUT};
use crate::request::first_record::{self, BatchEnd, FirstOutcome, FirstRecord};
use crate::request::job_canceller::CancelRequest;

/// Largest number of cancellations in one transaction. Each adds one condition and one put.
const MAX_BATCH_JOBS: usize = 16;

/// Minimum time between two transactions. All nodes of a deployment share the store's write rate with submissions and
/// leaders.
const BATCH_INTERVAL: Duration = Duration::from_millis(200);

/// Largest number of transactions in flight, so that one without an answer does not hold up the next.
const MAX_BATCHES_IN_FLIGHT: usize = 2;

/// Largest number of cancellations that wait; they take about three seconds.
const MAX_WAITING: usize = 256;

/// Largest number of them from one organisation, or from callers without a key.
const MAX_WAITING_PER_ORGANISATION: usize = 64;

/// Longest time for which a record is kept, however long ended jobs are kept. Writes were seen to be executed up to 5.5 s
/// late, and callers repeat a submission for some ten seconds.
const MAX_RETENTION: Duration = Duration::from_mins(5);

/// Time for which records are attached to one lease.
const ATTACH_PERIOD: Duration = Duration::from_mins(1);

/// `retry-after` of refused cancellations.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// Number of waiting cancellations of each organisation.
type WaitingCounts = Arc<Mutex<BTreeMap<Option<OrganisationId>, usize>>>;

/// Place of one cancellation among those of its organisation, which is free again when it is dropped.
#[derive(Debug)]
struct WaitingPlace {
    counts: WaitingCounts,
    organisation: Option<OrganisationId>,
}

impl WaitingPlace {
    fn take(counts: &WaitingCounts, organisation: Option<&OrganisationId>) -> Option<Self> {
        let organisation = organisation.cloned();
        let mut locked = counts.lock().unwrap_or_else(PoisonError::into_inner);
        let count = locked.entry(organisation.clone()).or_default();
        if *count >= MAX_WAITING_PER_ORGANISATION {
            return None;
        }
        *count += 1;
        drop(locked);
        Some(Self {
            counts: Arc::clone(counts),
            organisation,
        })
    }
}

impl Drop for WaitingPlace {
    fn drop(&mut self) {
        let mut counts = self.counts.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(count) = counts.get_mut(&self.organisation) {
            *count -= 1;
            if *count == 0 {
                counts.remove(&self.organisation);
            }
        }
    }
}

/// Lease that removes the records.
#[derive(Debug, Default)]
struct RecordLease {
    /// The lease, and the time until which records may be attached to it.
    current: Option<(LeaseId, Instant)>,
}

impl RecordLease {
    /// Returns a lease that lasts for the retention of a record that is written now.
    async fn acquire(&mut self, context: &NodeContext) -> Result<LeaseId> {
        let now = context.clock.now();
        if let Some((lease, attach_until)) = self.current
            && now < attach_until
        {
            return Ok(lease);
        }
        let retention = context.settings.retention.min(MAX_RETENTION);
        let granted = context
            .store
            .grant_lease(retention + ATTACH_PERIOD, STORE_TIMEOUT);
        let (lease, ttl) = granted.await?;
        self.current = Some((lease, now + ttl.saturating_sub(retention)));
        Ok(lease)
    }

    fn forget(&mut self, lease: LeaseId) {
        self.current = self.current.filter(|(current, _)| *current != lease);
    }
}

/// Stores cancellations of jobs that are not stored. Clones share one queue.
#[derive(Debug, Clone)]
pub struct EarlyCancellations {
    sender: mpsc::Sender<FirstRecord>,
    waiting: WaitingCounts,
    context: NodeContext,
}

impl EarlyCancellations {
    /// Starts the background task on the current runtime. It ends when all clones are dropped.
    pub fn start(context: &NodeContext) -> Self {
        let (sender, receiver) = mpsc::channel(MAX_WAITING);
        tokio::spawn(run_batches(context.clone(), receiver));
        Self {
            sender,
            waiting: WaitingCounts::default(),
            context: context.clone(),
        }
    }

    /// Stores a cancellation. Attempts stop when its deadline leaves no time for another one.
    ///
    /// # Errors
    /// `limit_reached` or `overloaded` if too many cancellations wait, `store_unavailable` if it is not stored,
    /// `store_outcome_unknown` if it may be stored.
    pub async fn store(&self, request: CancelRequest) -> Result<FirstOutcome> {
        let organisation = request.organisation.as_ref();
        let Some(_place) = WaitingPlace::take(&self.waiting, organisation) else {
            let message = "the job was not cancelled: too many cancellations of unknown jobs wait";
            return Err(Error::new(ErrorKind::LimitReached, message).with_retry_after(RETRY_AFTER));
        };
        let (reply, receiver) = oneshot::channel();
        let record = FirstRecord {
            job: request.job,
            summary: JobSummary {
                pool: request.pool,
                queue: request.queue,
                state: JobState::Cancelled,
                ended_at: Some(self.context.wall_time()),
                reason: None,
                is_early_cancellation: true,
            },
            submission: None,
            deadline: request.deadline,
            reply,
        };
        if self.sender.try_send(record).is_err() {
            let message = "the job was not cancelled: too many cancellations wait for the store";
            return Err(Error::new(ErrorKind::Overloaded, message).with_retry_after(RETRY_AFTER));
        }
        receiver.await.unwrap_or_else(|_| {
            let message =
                "it is not known whether the job was cancelled: the task that stores cancellations has ended";
            Err(Error::new(ErrorKind::StoreOutcomeUnknown, message))
        })
    }
}

async fn run_batches(context: NodeContext, mut receiver: mpsc::Receiver<FirstRecord>) {
    let permits = Arc::new(Semaphore::new(MAX_BATCHES_IN_FLIGHT));
    let lease = Arc::new(tokio::sync::Mutex::new(RecordLease::default()));
    while let Some((batch, permit)) =
        first_record::receive_batch(&mut receiver, &permits, MAX_BATCH_JOBS).await
    {
        let (context, lease) = (context.clone(), Arc::clone(&lease));
        tokio::spawn(async move {
            store_batch(&context, batch, &lease).await;
            drop(permit);
        });
        tokio::time::sleep(BATCH_INTERVAL).await;
    }
}

async fn store_batch(
    context: &NodeContext,
    batch: Vec<FirstRecord>,
    record_lease: &tokio::sync::Mutex<RecordLease>,
) {
    let acquired = record_lease.lock().await.acquire(context).await;
    let lease = match acquired {
        Ok(lease) => lease,
        Err(error) => {
            let reason = format!("no lease for its record: {}", error.message());
            return first_record::reply_all(batch, |record| Err(record.not_stored(&reason)));
        }
    };
    info!(context.log, "cancellations of unknown jobs are stored"; "count" => batch.len(),
        "job" => batch.first().map(|record| record.job.as_str()), "lease" => %lease);
    let (store, clock) = (&context.store, &context.clock);
    let end = first_record::store_batch(store, clock, &context.log, batch, Some(lease)).await;
    if end == BatchEnd::LeaseEnded {
        record_lease.lock().await.forget(lease);
    }
}
