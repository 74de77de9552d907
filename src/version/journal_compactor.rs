//! Compaction of the journal: writes a snapshot, archives old entries for the audit trail and deletes them.
//! Several processes may compact at the same time: a compaction takes effect only by the compare-and-swap of
//! the [`SnapshotPointer`], which one of them wins.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use rand::RngCore;

use crate::clock::SharedClock;
use crate::error::Result;
use crate::journal::codec;
use crate::journal::entry::JournalEntry;
use crate::journal::fleet_state::FleetState;
use crate::model::id::{Revision, StoreRevision};
use crate::model::unix_time::UnixMillis;
use crate::port::store::call::PutExpect;
use crate::port::store::client::StoreClient;
use crate::version::audit_trail::{self, ARCHIVE_PREFIX};
use crate::version::journal_reader;
use crate::version::snapshot_store::{self, ArchiveChunk, MAX_CHUNK_BYTES, SNAPSHOT_PREFIX, SnapshotPointer};

/// Number of archive chunks that are kept; the oldest are deleted.
pub const MAX_ARCHIVE_CHUNKS: usize = 64;

/// Number of newest entries that stay in the journal, for readers that lag behind.
pub const RETAINED_ENTRIES: u64 = 256;

/// Entries younger than this stay in the journal. Hence a writer that confirmed its revision within the last
/// minute cannot write an entry under the number of a deleted one, even if clocks differ by minutes.
pub const RETENTION_TIME: Duration = Duration::from_mins(10);

/// Upper limit of the entries archived by one compaction, which bounds its time and memory. Exceeded by at
/// most one page.
const MAX_ARCHIVED_ENTRIES: usize = 4096;

/// Entries or keys requested by one list call.
const PAGE_ENTRIES: usize = 500;

/// Result of a compaction. All zero if the snapshot in the store is already as new as the given state.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct CompactionReport {
    /// Revision of the snapshot.
    pub revision: Revision,
    /// Number of entries moved to the archive.
    pub archived: usize,
    /// Number of keys deleted from the store: entries, archive chunks and snapshot chunks.
    pub deleted: usize,
}

/// Compacts the journal. The coordinator runs it; a concurrent run by another process does no harm.
#[derive(Debug, Clone)]
pub struct JournalCompactor {
    client: StoreClient,
    clock: SharedClock,
    retained_entries: u64,
    retention_time: Duration,
}

impl JournalCompactor {
    /// Creates a compactor with [`RETAINED_ENTRIES`] and [`RETENTION_TIME`].
    pub fn new(client: StoreClient, clock: SharedClock) -> Self {
        Self {
            client,
            clock,
            retained_entries: RETAINED_ENTRIES,
            retention_time: RETENTION_TIME,
        }
    }

    /// Sets how many of the newest entries stay in the journal, at least one, and up to which age entries
    /// stay.
    #[must_use]
    pub fn with_retention(mut self, entries: u64, time: Duration) -> Self {
        self.retained_entries = entries.max(1);
        self.retention_time = time;
        self
    }

    /// Writes a snapshot of a state, archives old entries and deletes everything that the new pointer no
    /// longer needs.
    ///
    /// # Errors
    /// Store errors; `conflict` if another process compacted at the same time. No data is lost in either
    /// case.
    pub async fn compact(&self, state: &FleetState) -> Result<CompactionReport> {
        let found = snapshot_store::read_pointer(&self.client).await?;
        let (old, expect) = match found {
            Some((pointer, revision)) => (pointer, PutExpect::Revision(revision)),
            None => (SnapshotPointer::default(), PutExpect::Absent),
        };
        if state.revision <= old.revision {
            return Ok(CompactionReport::default());
        }
        let entries = self.archivable_entries(state.revision, old.archived_to).await?;
        let mut pointer = snapshot_store::write_state(&self.client, state).await?;
        pointer.archived_to = entries.last().map_or(old.archived_to, |entry| entry.number);
        pointer.archive = self.archive(&old.archive, &entries).await?;
        let pointer_revision = snapshot_store::write_pointer(&self.client, &pointer, expect).await?;
        let deleted = self.delete_old(&pointer, pointer_revision).await?;
        Ok(CompactionReport {
            revision: state.revision,
            archived: entries.len(),
            deleted,
        })
    }

    /// Entries after `archived_to` that are old enough to leave the journal, oldest first.
    async fn archivable_entries(
        &self,
        revision: Revision,
        archived_to: Revision,
    ) -> Result<Vec<JournalEntry>> {
        let last = revision.get().saturating_sub(self.retained_entries);
        let wall_time = UnixMillis::from(self.clock.wall_time()).get();
        let max_written_at = wall_time.saturating_sub(self.retention_time.as_millis() as u64);
        let mut entries: Vec<JournalEntry> = Vec::new();
        let mut after = archived_to;
        while entries.len() < MAX_ARCHIVED_ENTRIES {
            let listing = self
                .client
                .list(codec::JOURNAL_PREFIX, &codec::entry_key(after), PAGE_ENTRIES)
                .await?;
            for value in &listing.values {
                let entry = journal_reader::decode_stored_entry(value)?;
                if entry.number.get() > last || entry.written_at.get() > max_written_at {
                    return Ok(entries);
                }
                after = entry.number;
                entries.push(entry);
            }
            if !listing.more {
                break;
            }
        }
        Ok(entries)
    }

    /// Writes entries into new archive chunks and returns all chunks to keep. If the last chunk is less than
    /// half full, a new chunk replaces it.
    async fn archive(&self, old: &[ArchiveChunk], entries: &[JournalEntry]) -> Result<Vec<ArchiveChunk>> {
        let mut chunks = old.to_vec();
        if entries.is_empty() {
            return Ok(chunks);
        }
        let mut open = OpenChunk::default();
        if let Some(last) = chunks
            .last()
            .filter(|chunk| chunk.bytes < MAX_CHUNK_BYTES / 2)
            .cloned()
            && let Some(stored) = self.client.get(&last.key).await?
        {
            open.load(&last, &stored.value);
            chunks.pop();
        }
        for entry in entries {
            let line = audit_trail::encode_line(entry)?;
            if open.bytes.len() + line.len() > MAX_CHUNK_BYTES {
                chunks.push(self.write_chunk(std::mem::take(&mut open)).await?);
            }
            open.push(entry.number, &line);
        }
        chunks.push(self.write_chunk(open).await?);
        let excess = chunks.len().saturating_sub(MAX_ARCHIVE_CHUNKS);
        chunks.drain(..excess);
        Ok(chunks)
    }

    async fn write_chunk(&self, open: OpenChunk) -> Result<ArchiveChunk> {
        let nonce = rand::rng().next_u64();
        let key = format!("{ARCHIVE_PREFIX}{:016}-{nonce:016x}", open.first.get());
        let chunk = ArchiveChunk {
            key: Arc::from(key),
            first: open.first,
            last: open.last,
            bytes: open.bytes.len(),
        };
        self.client
            .put(&chunk.key, Bytes::from(open.bytes), PutExpect::Any, None)
            .await?;
        Ok(chunk)
    }

    /// Deletes archived entries from the journal, and all chunks that the pointer does not name. Only keys
    /// written before the pointer (at store revision `pointer_revision`) are deleted: newer chunks belong to
    /// the next compaction.
    async fn delete_old(&self, pointer: &SnapshotPointer, pointer_revision: StoreRevision) -> Result<usize> {
        let named: BTreeSet<&str> = pointer.archive.iter().map(|chunk| chunk.key.as_ref()).collect();
        let archived_key = codec::entry_key(pointer.archived_to);
        let mut deleted = 0;
        deleted += self
            .delete_where(codec::JOURNAL_PREFIX, pointer_revision, |key| {
                key <= archived_key.as_str()
            })
            .await?;
        deleted += self
            .delete_where(ARCHIVE_PREFIX, pointer_revision, |key| !named.contains(key))
            .await?;
        deleted += self
            .delete_where(SNAPSHOT_PREFIX, pointer_revision, |key| {
                key != snapshot_store::POINTER_KEY && !key.starts_with(pointer.prefix.as_ref())
            })
            .await?;
        Ok(deleted)
    }

    /// Deletes the keys with a prefix that were written before a store revision and for which `is_old` holds.
    /// Returns their number.
    async fn delete_where(
        &self,
        prefix: &str,
        before: StoreRevision,
        is_old: impl Fn(&str) -> bool,
    ) -> Result<usize> {
        let mut after: Arc<str> = Arc::from("");
        let mut deleted = 0;
        loop {
            let listing = self.client.list_keys(prefix, &after, PAGE_ENTRIES).await?;
            for value in &listing.values {
                if value.revision < before && is_old(&value.key) {
                    self.client
                        .delete(&value.key, PutExpect::Revision(value.revision))
                        .await?;
                    deleted += 1;
                }
            }
            match listing.values.last() {
                Some(last) if listing.more => after = Arc::clone(&last.key),
                _ => return Ok(deleted),
            }
        }
    }
}

/// An archive chunk that is being filled and not yet written.
#[derive(Debug, Default)]
struct OpenChunk {
    first: Revision,
    last: Revision,
    bytes: Vec<u8>,
}

impl OpenChunk {
    /// Starts with the content of a chunk that has already been written.
    fn load(&mut self, chunk: &ArchiveChunk, bytes: &[u8]) {
        self.first = chunk.first;
        self.last = chunk.last;
        self.bytes = bytes.to_vec();
    }

    fn push(&mut self, number: Revision, line: &[u8]) {
        if self.bytes.is_empty() {
            self.first = number;
        }
        self.last = number;
        self.bytes.extend_from_slice(line);
    }
}
