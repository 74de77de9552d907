//! The durable log of a session's jobs: events grouped into batches, and their adoption by another session.
//!
//! Batch *n* of a session is the key `jobs/{session}/{n:016}`, created against absence. An adopter first moves
//! `jobs/{session}/owner` by compare-and-swap and then appends a batch that closes the log, so that a former
//! owner that wakes late loses the race for its next number and learns that it was adopted.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use crate::error::{Error, ErrorKind, Result};
use crate::model::id::{JobId, SessionId, WriteNonce};
use crate::policy::job_event::{BATCH_SCHEMA, JobBatch, JobEvent, LiveJob, batch_key};

/// Shortest time between two batch writes of a session: at most 10 writes a second.
const WRITE_INTERVAL: Duration = Duration::from_millis(100);

/// Time between two batch writes for each session of the fleet: all sessions together write at most 100 batches
/// and delete as many a second, which leaves half of the store's several hundred writes to others.
const SESSION_INTERVAL: Duration = Duration::from_millis(10);

/// Largest batch in bytes; the store refuses values above 1 MB.
pub const MAX_BATCH_BYTES: usize = 512 * 1024;

/// Bytes added to a batch by its envelope, rounded up.
const ENVELOPE_BYTES: usize = 512;

/// Batches after which live jobs of the oldest one are written again, so that it can be deleted.
const COMPACT_AFTER: usize = 256;

/// Ticket of a pushed event; ids of landed events are returned.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct EventId(u64);

/// What the shell does next.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum LogAction {
    /// Create the key with the value against absence, then report the result.
    Write {
        /// Key of the batch.
        key: String,
        /// The batch as JSON.
        value: Vec<u8>,
    },
    /// Delete a batch that is no longer needed.
    Delete {
        /// Key of the batch.
        key: String,
    },
}

/// Result of a write.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum BatchWriteResult {
    /// The batch landed.
    Written,
    /// The key exists with the given content.
    Exists(Box<JobBatch>),
    /// The batch certainly did not land.
    Failed,
    /// No answer arrived; the same batch is written again.
    Unknown,
}

/// What a result means for the pushed events.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct LogProgress {
    /// Events that landed.
    pub written: Vec<EventId>,
    /// Submissions that certainly did not land and will not.
    pub rejected: Vec<EventId>,
    /// Session that took the log over; nothing may be started any more.
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
    /// Whether an earlier attempt received no answer, so that it may have landed.
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
    /// Live submissions by batch; the oldest batch is deleted when it has none.
    live_jobs: BTreeMap<u64, BTreeMap<JobId, LiveJob>>,
    batch_of: BTreeMap<JobId, u64>,
    /// Batch whose live jobs are being written again.
    compacted_batch: Option<u64>,
    closed: bool,
}

impl JobLog {
    /// Creates the log of a session that has written nothing.
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

    /// Sets the number of sessions of the fleet, which share the store's writes.
    pub fn set_session_count(&mut self, sessions: u32) {
        self.interval = WRITE_INTERVAL.max(SESSION_INTERVAL * sessions);
    }

    /// Whether another session has taken the log over.
    pub fn is_closed(&self) -> bool {
        self.closed
    }

    /// Number of events not yet landed.
    pub fn backlog(&self) -> usize {
        self.pending.len() + self.in_flight.as_ref().map_or(0, |in_flight| in_flight.ids.len())
    }

    /// Batches kept in the store.
    pub fn batch_count(&self) -> usize {
        self.live_jobs.len()
    }

    /// Adds an event to the next batch.
    ///
    /// # Errors
    /// `too_large` if the event does not fit into a batch; `draining` if the log was taken over.
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

    /// When the next write may start; absent if there is none or one awaits its answer.
    pub fn next_write_at(&self) -> Option<Instant> {
        if self.awaits_result || self.closed || (self.in_flight.is_none() && self.pending.is_empty()) {
            return None;
        }
        self.last_write.map(|last| last + self.interval)
    }

    /// The next write and the deletions that are due. `nonce` is a fresh random number.
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
        // Each event was encoded when it was pushed, so that the batch encodes too.
        let value = serde_json::to_vec(&batch).unwrap_or_default();
        self.in_flight = Some(WriteInFlight {
            batch,
            ids,
            value,
            may_be_written: false,
        });
    }

    /// Takes the result of the last write in.
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
        let refused = in_flight.ids.into_iter().chain(pending).collect();
        LogProgress {
            rejected: refused,
            adopted_by,
            ..LogProgress::default()
        }
    }

    /// Refuses the submissions of a batch that did not land and keeps its other events.
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

    /// Deletes the oldest batches as long as every job submitted in them has ended. Later batches hold the
    /// ends of these jobs, so that deleting in order never brings a job back.
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

    /// Writes the live jobs of the oldest batch again once many batches are kept, so that one long job does
    /// not hold the whole log back.
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
