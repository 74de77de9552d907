//! The durable log of a session's jobs: events are written in batches, and another session can adopt the log.
//!
//! Batch *n* of a session is stored under the key `jobs/{session}/{n:016}`, which is created only if it does
//! not exist. A session that adopts the log first changes `jobs/{session}/owner` by compare-and-swap and then
//! appends a batch that closes the log. A previous owner that resumes after a pause therefore fails to create
//! its next batch, and the batch that it finds there tells it that its log was adopted.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use crate::error::{Error, ErrorKind, Result};
use crate::model::id::{JobId, SessionId, WriteNonce};
use crate::policy::job_event::{BATCH_SCHEMA, JobBatch, JobEvent, LiveJob, batch_key};

/// Minimum time between two batch writes of a session: at most 10 writes a second.
const WRITE_INTERVAL: Duration = Duration::from_millis(100);

/// The time between two batch writes grows by this for each session of the fleet. All sessions together then
/// write at most 100 batches a second and delete as many, which leaves half of the several hundred writes a
/// second that the store can do to other users.
const SESSION_INTERVAL: Duration = Duration::from_millis(10);

/// Maximum size of a batch in bytes; the store refuses values above 1 MB.
pub const MAX_BATCH_BYTES: usize = 512 * 1024;

/// Bytes of a batch besides its events, rounded up.
const ENVELOPE_BYTES: usize = 512;

/// Once more batches than this are stored, the live jobs of the oldest one are written again so that it can
/// be deleted.
const COMPACT_AFTER: usize = 256;

/// Identifies a pushed event within its log, so that the log can report which events were written.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct EventId(u64);

/// Store operation that the caller carries out. `key` is the key of the batch.
#[derive(Debug, Clone, PartialEq, Eq)]
#[expect(missing_docs, reason = "the type's comment describes the key")]
pub enum LogAction {
    /// Create the key if it does not exist, then pass the result to [`JobLog::handle_write_result`].
    Write {
        key: String,
        /// The batch as JSON.
        value: Vec<u8>,
    },
    /// Delete a batch that is no longer needed.
    Delete { key: String },
}

/// Result of writing a batch.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum BatchWriteResult {
    /// The batch was written.
    Written,
    /// The key already exists with the given content.
    Exists(Box<JobBatch>),
    /// The batch was certainly not written.
    Failed,
    /// No response arrived. The same batch is written again.
    Unknown,
}

/// What the result of a write means for the pushed events.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct LogProgress {
    /// Events that were written.
    pub written: Vec<EventId>,
    /// Submissions that were certainly not written and will not be.
    pub rejected: Vec<EventId>,
    /// Session that adopted the log. From then on this session may not start any job.
    pub adopted_by: Option<SessionId>,
}

#[derive(Debug, Clone)]
struct PendingEvent {
    id: EventId,
    event: JobEvent,
    size: usize,
}

#[derive(Debug, Clone)]
struct WriteInFlight {
    batch: JobBatch,
    ids: Vec<EventId>,
    value: Vec<u8>,
    /// Whether an earlier attempt received no response, so that the batch may have been written.
    may_be_written: bool,
}

/// The writer of one session's log.
#[derive(Debug, Clone)]
pub struct JobLog {
    session: SessionId,
    next_number: u64,
    next_id: u64,
    pending: Vec<PendingEvent>,
    in_flight: Option<WriteInFlight>,
    awaits_result: bool,
    last_write: Option<Instant>,
    interval: Duration,
    /// Live jobs by the batch that holds their submission. The oldest batch is deleted when it has none.
    live_jobs: BTreeMap<u64, BTreeMap<JobId, LiveJob>>,
    batch_of: BTreeMap<JobId, u64>,
    /// Batch whose live jobs were last written again.
    compacted_batch: Option<u64>,
    closed: bool,
}

impl JobLog {
    /// Creates the log of a new session, which has no batches in the store.
    pub fn new(session: SessionId) -> Self {
        Self {
            session,
            next_number: 1,
            next_id: 0,
            pending: Vec::new(),
            in_flight: None,
            awaits_result: false,
            last_write: None,
            interval: WRITE_INTERVAL,
            live_jobs: BTreeMap::new(),
            batch_of: BTreeMap::new(),
            compacted_batch: None,
            closed: false,
        }
    }

    /// Sets the number of sessions of the fleet, which share the store's write rate.
    pub fn set_session_count(&mut self, sessions: u32) {
        self.interval = WRITE_INTERVAL.max(SESSION_INTERVAL * sessions);
    }

    /// Whether another session has adopted the log.
    pub fn is_closed(&self) -> bool {
        self.closed
    }

    /// Number of events that are not known to be written.
    pub fn backlog(&self) -> usize {
        self.pending.len() + self.in_flight.as_ref().map_or(0, |in_flight| in_flight.ids.len())
    }

    /// Number of batches in the store.
    pub fn batch_count(&self) -> usize {
        self.live_jobs.len()
    }

    /// Adds an event to the next batch.
    ///
    /// # Errors
    /// `too_large` if the event does not fit into a batch; `draining` if the log was adopted.
    pub fn push(&mut self, event: JobEvent) -> Result<EventId> {
        if self.closed {
            let message = "the jobs of this session were taken over by another session";
            return Err(Error::new(ErrorKind::Draining, message));
        }
        let size = encoded_size(&event)?;
        if size + ENVELOPE_BYTES > MAX_BATCH_BYTES {
            let message = format!("job event of {size} bytes exceeds {MAX_BATCH_BYTES} bytes");
            return Err(Error::new(ErrorKind::TooLarge, message));
        }
        self.next_id += 1;
        let id = EventId(self.next_id);
        self.pending.push(PendingEvent { id, event, size });
        Ok(id)
    }

    /// When the next write may start. Absent if nothing is to be written or a write awaits its result, and
    /// before the first write, which may start at once.
    pub fn next_write_at(&self) -> Option<Instant> {
        if self.awaits_result || self.closed || (self.in_flight.is_none() && self.pending.is_empty()) {
            return None;
        }
        self.last_write.map(|last| last + self.interval)
    }

    /// Returns the deletions that are due and the next write if it may start now. `nonce` is a new random
    /// number for each call.
    pub fn step(&mut self, now: Instant, nonce: WriteNonce) -> Vec<LogAction> {
        let mut actions = self.delete_finished_batches();
        let is_early = self.last_write.is_some_and(|last| now < last + self.interval);
        if self.closed || self.awaits_result || is_early {
            return actions;
        }
        if self.in_flight.is_none() {
            self.compact();
            self.build_batch(nonce);
        }
        if let Some(in_flight) = &self.in_flight {
            self.awaits_result = true;
            self.last_write = Some(now);
            actions.push(LogAction::Write {
                key: batch_key(&self.session, in_flight.batch.number),
                value: in_flight.value.clone(),
            });
        }
        actions
    }

    fn build_batch(&mut self, nonce: WriteNonce) {
        let mut size = ENVELOPE_BYTES;
        let fits = self.pending.iter().take_while(|pending| {
            size += pending.size + 1;
            size <= MAX_BATCH_BYTES
        });
        let count = fits.count();
        if count == 0 {
            return;
        }
        let taken: Vec<PendingEvent> = self.pending.drain(..count).collect();
        let ids = taken.iter().map(|pending| pending.id).collect();
        let batch = JobBatch {
            schema: BATCH_SCHEMA,
            number: self.next_number,
            nonce,
            events: taken.into_iter().map(|pending| pending.event).collect(),
        };
        // Each event was encoded when it was pushed, so encoding the batch does not fail.
        let value = serde_json::to_vec(&batch).unwrap_or_default();
        self.in_flight = Some(WriteInFlight {
            batch,
            ids,
            value,
            may_be_written: false,
        });
    }

    /// Handles the result of the last write.
    pub fn handle_write_result(&mut self, result: BatchWriteResult) -> LogProgress {
        self.awaits_result = false;
        let Some(mut in_flight) = self.in_flight.take() else {
            return LogProgress::default();
        };
        match result {
            BatchWriteResult::Written => self.confirm_batch(in_flight),
            BatchWriteResult::Exists(found) if found.nonce == in_flight.batch.nonce => {
                self.confirm_batch(in_flight)
            }
            BatchWriteResult::Exists(found) => self.close_log(in_flight, &found),
            BatchWriteResult::Unknown => {
                in_flight.may_be_written = true;
                self.in_flight = Some(in_flight);
                LogProgress::default()
            }
            BatchWriteResult::Failed if in_flight.may_be_written => {
                self.in_flight = Some(in_flight);
                LogProgress::default()
            }
            BatchWriteResult::Failed => self.reject_submissions(in_flight),
        }
    }

    fn confirm_batch(&mut self, in_flight: WriteInFlight) -> LogProgress {
        let number = in_flight.batch.number;
        self.next_number = number + 1;
        self.live_jobs.entry(number).or_default();
        for event in in_flight.batch.events {
            self.index_event(number, event);
        }
        LogProgress {
            written: in_flight.ids,
            ..LogProgress::default()
        }
    }

    fn index_event(&mut self, number: u64, event: JobEvent) {
        match event {
            JobEvent::Submitted(submission) => {
                let id = submission.job.clone();
                let known = self.remove_job(&id);
                let job = known.unwrap_or_else(|| LiveJob::new(submission));
                self.batch_of.insert(id.clone(), number);
                self.live_jobs.entry(number).or_default().insert(id, job);
            }
            JobEvent::Finished { job, .. } => drop(self.remove_job(&job)),
            other => {
                if let Some(job) = other.job().and_then(|job| self.live_job(job)) {
                    job.apply(&other);
                }
            }
        }
    }

    fn live_job(&mut self, job: &JobId) -> Option<&mut LiveJob> {
        let number = self.batch_of.get(job)?;
        self.live_jobs.get_mut(number)?.get_mut(job)
    }

    fn remove_job(&mut self, job: &JobId) -> Option<LiveJob> {
        let number = self.batch_of.remove(job)?;
        self.live_jobs.get_mut(&number)?.remove(job)
    }

    fn close_log(&mut self, in_flight: WriteInFlight, found: &JobBatch) -> LogProgress {
        let adopted_by = found.events.iter().find_map(|event| match event {
            JobEvent::Closed { by } => Some(by.clone()),
            _ => None,
        });
        self.closed = true;
        let pending = self.pending.drain(..).map(|pending| pending.id);
        let rejected = in_flight.ids.into_iter().chain(pending).collect();
        LogProgress {
            rejected,
            adopted_by,
            ..LogProgress::default()
        }
    }

    /// Rejects the new submissions of a batch that was not written and returns its other events to the
    /// pending ones.
    fn reject_submissions(&mut self, in_flight: WriteInFlight) -> LogProgress {
        let mut progress = LogProgress::default();
        let mut kept = Vec::new();
        for (event, id) in in_flight.batch.events.into_iter().zip(in_flight.ids) {
            let is_compacted = event.job().is_some_and(|job| self.batch_of.contains_key(job));
            if matches!(event, JobEvent::Submitted(_)) && !is_compacted {
                progress.rejected.push(id);
            } else {
                let size = encoded_size(&event).unwrap_or(MAX_BATCH_BYTES);
                kept.push(PendingEvent { id, event, size });
            }
        }
        kept.append(&mut self.pending);
        self.pending = kept;
        progress
    }

    /// Deletes the oldest batches while every job submitted in them has ended. The end of such a job is in
    /// the same batch or in a later one, so deleting batches in order never makes an ended job live again.
    fn delete_finished_batches(&mut self) -> Vec<LogAction> {
        let mut actions = Vec::new();
        while self.live_jobs.len() > 1
            && let Some(oldest) = self.live_jobs.first_entry()
            && oldest.get().is_empty()
        {
            let key = batch_key(&self.session, *oldest.key());
            oldest.remove();
            actions.push(LogAction::Delete { key });
        }
        actions
    }

    /// Writes the live jobs of the oldest batch again once many batches are stored, so that one long job does
    /// not keep all later batches from being deleted.
    fn compact(&mut self) {
        if self.live_jobs.len() <= COMPACT_AFTER {
            return;
        }
        let Some(oldest) = self.live_jobs.first_entry() else {
            return;
        };
        if self.compacted_batch == Some(*oldest.key()) {
            return;
        }
        self.compacted_batch = Some(*oldest.key());
        let mut events: Vec<PendingEvent> = Vec::new();
        for event in oldest.get().values().flat_map(LiveJob::events) {
            let size = encoded_size(&event).unwrap_or(MAX_BATCH_BYTES);
            self.next_id += 1;
            let id = EventId(self.next_id);
            events.push(PendingEvent { id, event, size });
        }
        events.append(&mut self.pending);
        self.pending = events;
    }
}

fn encoded_size(event: &JobEvent) -> Result<usize> {
    let encoded = serde_json::to_vec(event);
    let encoded = encoded.map_err(|e| Error::new(ErrorKind::Internal, format!("job event: {e}")))?;
    Ok(encoded.len())
}
