//! Appends entries to the journal. A compare-and-swap on the key of the next number decides between writers.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use rand::RngCore;
use tokio::sync::Mutex;
use tokio::time::Instant;

use crate::clock::SharedClock;
use crate::error::{Error, ErrorKind, Result};
use crate::journal::codec;
use crate::journal::entry::{ENTRY_SCHEMA, EntryActor, EntryChange, JournalEntry};
use crate::journal::fleet_state::FleetState;
use crate::model::id::{Revision, SessionId, WriteNonce};
use crate::model::unix_time::UnixMillis;
use crate::port::store::call::{PutExpect, StoreError};
use crate::version::entry_log::EntrySource;
use crate::version::journal_reader::{self, JournalReader};
use crate::version::retry_delay::RetryDelay;
use crate::version::snapshot_store;

/// Default time limit of an append, including retries. An operator's change must take effect everywhere
/// within 3 s.
pub const DEFAULT_APPEND_TIMEOUT: Duration = Duration::from_secs(3);

/// A writer whose revision was confirmed within this time cannot write under a compacted number, because
/// compaction keeps entries for ten minutes. After this time, the writer first reads the journal, and after
/// the write checks that the number has not been archived.
const CONFIRMATION_VALIDITY: Duration = Duration::from_mins(1);

/// Initial bound of the delay between attempts.
const MIN_DELAY: Duration = Duration::from_millis(20);

/// Largest bound of the delay between attempts.
const MAX_DELAY: Duration = Duration::from_millis(400);

/// Outcome of writing an entry.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum WriteResult {
    /// The entry is in the journal.
    Written,
    /// Another entry has taken the number.
    Taken,
}

/// Time limit and back-off of one append.
struct AppendAttempt {
    deadline: Instant,
    delay: RetryDelay,
}

/// Appends entries on behalf of a session. Appends of clones run one after another.
#[derive(Debug, Clone)]
pub struct JournalWriter {
    reader: JournalReader,
    session: SessionId,
    clock: SharedClock,
    timeout: Duration,
    append_lock: Arc<Mutex<()>>,
}

impl JournalWriter {
    /// Creates the writer of a session, with [`DEFAULT_APPEND_TIMEOUT`].
    pub fn new(reader: JournalReader, session: SessionId, clock: SharedClock) -> Self {
        Self {
            reader,
            session,
            clock,
            timeout: DEFAULT_APPEND_TIMEOUT,
            append_lock: Arc::default(),
        }
    }

    /// Sets the time limit of an append, including retries.
    #[must_use]
    pub fn with_timeout(mut self, timeout: Duration) -> Self {
        self.timeout = timeout;
        self
    }

    /// Appends the changes that `build` derives from the newest state, as one entry. `build` is called again
    /// each time another writer took the number first. Returns the number of the entry, or the current
    /// revision if `build` returns no changes.
    ///
    /// # Errors
    /// Errors of `build`; the error of a change that would have no effect; `too_large`; `store_unavailable`
    /// and `rate_limited` if nothing was changed; `store_outcome_unknown` if the entry may have been written
    /// or may still be written later.
    pub async fn append<F>(&self, actor: EntryActor, build: F) -> Result<Revision>
    where
        F: Fn(&FleetState) -> Result<Vec<EntryChange>> + Send + Sync,
    {
        let _guard = self.append_lock.lock().await;
        let mut attempt = AppendAttempt {
            deadline: Instant::now() + self.timeout,
            delay: RetryDelay::new(MIN_DELAY, MAX_DELAY),
        };
        // Whether this append has already read the journal.
        let mut is_caught_up = !self.is_confirmed();
        if is_caught_up {
            self.catch_up(&mut attempt).await?;
        }
        loop {
            let state = self.reader.log().current();
            let entry = match self.make_entry(&state, &actor, &build) {
                Ok(Some(entry)) => entry,
                Ok(None) => return Ok(state.revision),
                Err(error) if is_caught_up => return Err(error),
                Err(error) => {
                    // An entry that has not arrived here yet may resolve the error, so it is returned only
                    // for the newest state.
                    is_caught_up = true;
                    self.reader.catch_up().await.map_err(|_unreachable| error)?;
                    continue;
                }
            };
            let bytes = codec::encode_entry(&entry)?;
            match self.write(&entry, &bytes, &mut attempt).await? {
                WriteResult::Written => return self.accept(entry),
                WriteResult::Taken => self.catch_up(&mut attempt).await?,
            }
        }
    }

    /// Builds the entry that follows a state and checks that all its changes take effect. `None` if there is
    /// nothing to change.
    fn make_entry<F>(&self, state: &FleetState, actor: &EntryActor, build: &F) -> Result<Option<JournalEntry>>
    where
        F: Fn(&FleetState) -> Result<Vec<EntryChange>>,
    {
        let changes = build(state)?;
        if changes.is_empty() {
            return Ok(None);
        }
        let own_role = state
            .duty
            .as_ref()
            .filter(|holder| holder.session == self.session);
        let entry = JournalEntry {
            schema: ENTRY_SCHEMA,
            number: state.revision.next(),
            actor: actor.clone(),
            written_at: UnixMillis::from(self.clock.wall_time()),
            nonce: WriteNonce::new(rand::rng().next_u64()),
            term: own_role.map(|holder| holder.term),
            changes,
        };
        state.check(&entry)?;
        Ok(Some(entry))
    }

    /// Writes an entry, with retries until its outcome is known or the time limit is reached.
    async fn write(
        &self,
        entry: &JournalEntry,
        bytes: &Bytes,
        attempt: &mut AppendAttempt,
    ) -> Result<WriteResult> {
        let key = codec::entry_key(entry.number);
        let mut may_be_written = false;
        loop {
            let put = self
                .reader
                .client()
                .put(&key, bytes.clone(), PutExpect::Absent, None)
                .await;
            let Err(error) = put else {
                return self.check_written(entry, may_be_written).await;
            };
            may_be_written |= error == StoreError::TimedOut;
            match error {
                StoreError::TimedOut | StoreError::Conflict { .. } => {
                    if let Some(result) = self.read_back(entry, &key).await {
                        return Ok(result);
                    }
                }
                StoreError::Unavailable | StoreError::RateLimited => {}
                other => return Err(other.into()),
            }
            self.pause(attempt, &error, may_be_written).await?;
        }
    }

    /// Reads the entry under the number back; its nonce tells whether it is the own one. `None` if it cannot
    /// be read.
    async fn read_back(&self, entry: &JournalEntry, key: &str) -> Option<WriteResult> {
        let stored = self.reader.client().get(key).await.ok()??;
        let found = journal_reader::decode_stored_entry(&stored).ok()?;
        Some(if found.nonce == entry.nonce {
            WriteResult::Written
        } else {
            WriteResult::Taken
        })
    }

    /// Checks that an entry was not written under a number that a compaction had already deleted, in which
    /// case no reader sees it. This can only happen after a long pause of this process. `may_be_written` says
    /// that an earlier attempt may have written the entry.
    async fn check_written(&self, entry: &JournalEntry, may_be_written: bool) -> Result<WriteResult> {
        if self.is_confirmed() {
            return Ok(WriteResult::Written);
        }
        let pointer = snapshot_store::read_pointer(self.reader.client())
            .await
            .map_err(|e| {
                let message = format!(
                    "entry {} was written but not checked: {}",
                    entry.number,
                    e.message()
                );
                Error::new(ErrorKind::StoreOutcomeUnknown, message)
            })?;
        let is_archived = pointer.is_some_and(|(pointer, _)| pointer.archived_to >= entry.number);
        match (is_archived, may_be_written) {
            (false, _) => Ok(WriteResult::Written),
            (true, false) => Ok(WriteResult::Taken),
            // An earlier attempt may have written the entry, which was archived since.
            (true, true) => Err(Error::new(
                ErrorKind::StoreOutcomeUnknown,
                format!(
                    "entry {} was compacted before its write was confirmed",
                    entry.number
                ),
            )),
        }
    }

    fn accept(&self, entry: JournalEntry) -> Result<Revision> {
        let number = entry.number;
        self.reader.log().offer([entry], EntrySource::Own)?;
        Ok(number)
    }

    async fn catch_up(&self, attempt: &mut AppendAttempt) -> Result<()> {
        loop {
            let Err(error) = self.reader.catch_up().await else {
                return Ok(());
            };
            let is_transient = matches!(
                error.kind(),
                ErrorKind::StoreUnavailable | ErrorKind::StoreOutcomeUnknown | ErrorKind::RateLimited
            );
            if !is_transient {
                return Err(error);
            }
            // A read changes nothing, so the outcome is known even if the response was lost.
            self.pause(attempt, &StoreError::Unavailable, false).await?;
        }
    }

    /// Waits before the next attempt. Fails if the time limit would be exceeded; `may_be_written` decides
    /// whether the outcome is then reported as unknown.
    async fn pause(
        &self,
        attempt: &mut AppendAttempt,
        cause: &StoreError,
        may_be_written: bool,
    ) -> Result<()> {
        let delay = attempt.delay.next_delay(&mut rand::rng());
        if Instant::now() + delay < attempt.deadline {
            tokio::time::sleep(delay).await;
            return Ok(());
        }
        if may_be_written {
            let message = "the store did not answer; the change may have been accepted";
            return Err(Error::new(ErrorKind::StoreOutcomeUnknown, message));
        }
        let kind = match cause {
            StoreError::RateLimited => ErrorKind::RateLimited,
            _ => ErrorKind::StoreUnavailable,
        };
        let message = "the store cannot be reached; nothing was changed";
        Err(Error::new(kind, message).with_retry_after(self.timeout))
    }

    /// Whether the store has confirmed the current revision within `CONFIRMATION_VALIDITY`.
    fn is_confirmed(&self) -> bool {
        let now = self.clock.now();
        self.reader
            .confirmed_at()
            .is_some_and(|at| now.saturating_duration_since(at) < CONFIRMATION_VALIDITY)
    }
}
