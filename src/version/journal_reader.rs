//! Reads the journal from the store: at the start, to catch up, and by watching for new entries.

use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use crate::clock::SharedClock;
use crate::error::{Error, ErrorKind, Result};
use crate::journal::codec;
use crate::journal::entry::JournalEntry;
use crate::model::id::{Revision, StoreRevision};
use crate::port::store::call::{StoreListing, StoreValue};
use crate::port::store::client::StoreClient;
use crate::version::entry_log::{EntryLog, EntrySource};
use crate::version::revision_watermark::RevisionWatermark;
use crate::version::snapshot_store;

/// Entries requested by one list call.
const PAGE_ENTRIES: usize = 500;

/// Number of list calls after which a reader reports that it cannot catch up.
const MAX_PAGES: usize = 10_000;

/// What the store has confirmed to this process.
#[derive(Debug, Clone, Copy, Default)]
struct ReaderState {
    /// Store revision up to which all writes have been read; the next watch starts there.
    cursor: StoreRevision,
    /// Sending time of the newest request whose response showed that no entry was missing.
    confirmed_at: Option<Instant>,
    /// Highest journal revision known from peers. A store that ends below it is stale and confirms nothing.
    min_revision: Revision,
}

/// Reads journal entries from the store and offers them to an [`EntryLog`]. Clones share their state.
#[derive(Debug, Clone)]
pub struct JournalReader {
    client: StoreClient,
    log: EntryLog,
    watermark: RevisionWatermark,
    clock: SharedClock,
    state: Arc<Mutex<ReaderState>>,
}

impl JournalReader {
    /// Creates a reader that offers entries to `log`.
    pub fn new(client: StoreClient, log: EntryLog, clock: SharedClock) -> Self {
        Self {
            client,
            log,
            watermark: RevisionWatermark::default(),
            clock,
            state: Arc::default(),
        }
    }

    /// Client of the store.
    pub fn client(&self) -> &StoreClient {
        &self.client
    }

    /// The log to which the reader offers entries.
    pub fn log(&self) -> &EntryLog {
        &self.log
    }

    /// Highest store revision seen, to be shared with other readers of this process.
    pub fn watermark(&self) -> &RevisionWatermark {
        &self.watermark
    }

    /// Newest local time at which the store certainly held no entry that is not applied here. `None` before
    /// the first successful read.
    pub fn confirmed_at(&self) -> Option<Instant> {
        self.with_state(|state| state.confirmed_at)
    }

    /// Records the journal revision of a peer. Reads fail as stale while the journal in the store ends below
    /// it.
    pub fn raise_min_revision(&self, revision: Revision) {
        self.with_state(|state| state.min_revision = state.min_revision.max(revision));
    }

    /// Reads all entries that are not applied yet. Loads the newest snapshot first if the next entry is no
    /// longer in the journal, as at the start of a process.
    ///
    /// # Errors
    /// Store errors; `store_unavailable` if a response is stale or entries keep arriving faster than they are
    /// read; `bad_message` if an entry cannot be decoded.
    pub async fn catch_up(&self) -> Result<()> {
        for _ in 0..MAX_PAGES {
            let sent_at = self.clock.now();
            let floor = self.watermark.highest();
            let after = self.log.revision();
            let listing = self
                .client
                .list(codec::JOURNAL_PREFIX, &codec::entry_key(after), PAGE_ENTRIES)
                .await?;
            self.watermark.observe(floor, listing.head)?;
            let first = listing
                .values
                .first()
                .and_then(|value| codec::parse_entry_key(&value.key));
            let has_gap = match first {
                Some(number) => number > after.next(),
                None => after == Revision::default(),
            };
            if has_gap && self.load_snapshot().await? {
                continue;
            }
            if let Some(missing) = self.offer_listing(&listing)? {
                let message = format!("the store's response lacks entry {missing}");
                return Err(Error::new(ErrorKind::StoreUnavailable, message));
            }
            if !listing.more {
                return self.confirm(sent_at, listing.head);
            }
        }
        Err(Error::new(
            ErrorKind::StoreUnavailable,
            "the journal grows faster than it can be read",
        ))
    }

    /// Waits at most `wait` for new entries and applies them. Returns the number of entries applied
    /// meanwhile, from any source.
    ///
    /// # Errors
    /// As for [`JournalReader::catch_up`].
    pub async fn watch_once(&self, wait: Duration) -> Result<usize> {
        let sent_at = self.clock.now();
        let before = self.log.revision();
        let cursor = self.with_state(|state| state.cursor);
        if cursor == StoreRevision::default() {
            self.catch_up().await?;
            return Ok((self.log.revision().get() - before.get()) as usize);
        }
        let floor = self.watermark.highest();
        let listing = self.client.watch(codec::JOURNAL_PREFIX, cursor, wait).await?;
        self.watermark.observe(floor, listing.head)?;
        let missing = self.offer_listing(&listing)?;
        if missing.is_some() || listing.more {
            self.catch_up().await?;
        } else {
            self.confirm(sent_at, listing.head)?;
        }
        Ok((self.log.revision().get() - before.get()) as usize)
    }

    /// Offers the entries of a listing to the log. Returns the first missing entry if a later one is known.
    fn offer_listing(&self, listing: &StoreListing) -> Result<Option<Revision>> {
        let entries: Vec<JournalEntry> = listing
            .values
            .iter()
            .map(decode_stored_entry)
            .collect::<Result<_>>()?;
        Ok(self.log.offer(entries, EntrySource::Store)?.first_missing)
    }

    /// Installs the newest snapshot. Returns whether it was newer than the current state.
    async fn load_snapshot(&self) -> Result<bool> {
        let Some(state) = snapshot_store::load_state(&self.client).await? else {
            return Ok(false);
        };
        self.log.install(state)
    }

    /// Records that the store held no further entry at `sent_at`, unless a peer has a newer revision.
    fn confirm(&self, sent_at: Instant, head: StoreRevision) -> Result<()> {
        let revision = self.log.revision();
        self.with_state(|state| {
            if revision < state.min_revision {
                let message = format!(
                    "the store's journal ends at {revision}, below revision {} of a peer",
                    state.min_revision
                );
                return Err(Error::new(ErrorKind::StoreUnavailable, message));
            }
            state.cursor = state.cursor.max(head);
            state.confirmed_at = state.confirmed_at.max(Some(sent_at));
            Ok(())
        })
    }

    fn with_state<T>(&self, operation: impl FnOnce(&mut ReaderState) -> T) -> T {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        operation(&mut state)
    }
}

/// Decodes an entry and checks that its number matches its key.
///
/// # Errors
/// `bad_message` if the entry cannot be decoded or its number does not match.
pub fn decode_stored_entry(value: &StoreValue) -> Result<JournalEntry> {
    let entry = codec::decode_entry(&value.value)?;
    if codec::parse_entry_key(&value.key) == Some(entry.number) {
        return Ok(entry);
    }
    let message = format!("key {} holds entry {}", value.key, entry.number);
    Err(Error::new(ErrorKind::BadMessage, message))
}
