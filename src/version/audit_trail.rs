//! Reading of the audit trail: the journal and the archive, newest entry first.

use crate::error::{Error, ErrorKind, Result};
use crate::journal::codec;
use crate::journal::entry::JournalEntry;
use crate::model::id::Revision;
use crate::port::store::client::StoreClient;
use crate::version::journal_reader;
use crate::version::snapshot_store::{self, ArchiveChunk, SnapshotPointer};

/// Prefix of the archive's keys in the store.
pub const ARCHIVE_PREFIX: &str = "audit/";

/// Largest number of entries in one answer.
pub const MAX_AUDIT_ENTRIES: usize = 1000;

/// Entries of the journal read by one call.
const PAGE_ENTRIES: u64 = 200;

/// Encodes an entry as one line of an archive chunk.
///
/// # Errors
/// `too_large` for an oversized entry.
pub fn encode_line(entry: &JournalEntry) -> Result<Vec<u8>> {
    let mut line = codec::encode_entry(entry)?.to_vec();
    line.push(b'\n');
    Ok(line)
}

/// Reader of the audit trail.
#[derive(Debug, Clone)]
pub struct AuditTrail {
    client: StoreClient,
}

/// Entries collected so far.
struct AuditPage<F> {
    filter: F,
    before: Revision,
    limit: usize,
    entries: Vec<JournalEntry>,
}

impl AuditTrail {
    /// Creates a reader.
    pub fn new(client: StoreClient) -> Self {
        Self { client }
    }

    /// Reads up to `limit` entries below `before` that pass the filter, newest first. `newest` is the folded
    /// revision. Entries older than the archive are gone.
    ///
    /// # Errors
    /// Store errors, or `bad_message` if an entry cannot be decoded.
    pub async fn read<F>(
        &self,
        newest: Revision,
        before: Option<Revision>,
        limit: usize,
        filter: F,
    ) -> Result<Vec<JournalEntry>>
    where
        F: Fn(&JournalEntry) -> bool,
    {
        let mut page = AuditPage {
            filter,
            before: before.unwrap_or(newest.next()).min(newest.next()),
            limit: limit.min(MAX_AUDIT_ENTRIES),
            entries: Vec::new(),
        };
        // The pointer is read first: entries archived after that are still found, in the newer archive.
        let mut pointer = self.pointer().await?;
        while !page.is_full() && page.before > pointer.archived_to.next() {
            let read = self.read_journal_page(&mut page, pointer.archived_to).await?;
            if !read {
                pointer = self.pointer().await?;
                break;
            }
        }
        for chunk in pointer.archive.iter().rev() {
            if page.is_full() {
                break;
            }
            if chunk.first < page.before {
                self.read_chunk(&mut page, chunk).await?;
            }
        }
        Ok(page.entries)
    }

    async fn pointer(&self) -> Result<SnapshotPointer> {
        let pointer = snapshot_store::read_pointer(&self.client).await?;
        Ok(pointer.map(|(pointer, _)| pointer).unwrap_or_default())
    }

    /// Reads the page of journal entries just below `page.before`. Returns whether all of them were there; a
    /// compaction may have moved them to the archive.
    async fn read_journal_page<F>(&self, page: &mut AuditPage<F>, archived_to: Revision) -> Result<bool>
    where
        F: Fn(&JournalEntry) -> bool,
    {
        let start = page.before.get().saturating_sub(PAGE_ENTRIES + 1);
        let after = start.max(archived_to.get());
        let count = page.before.get() - 1 - after;
        let key = codec::entry_key(Revision::new(after));
        let mut entries = Vec::new();
        let mut last_key = key;
        while (entries.len() as u64) < count {
            let missing = count as usize - entries.len();
            let listing = self
                .client
                .list(codec::JOURNAL_PREFIX, &last_key, missing)
                .await?;
            let Some(last) = listing.values.last() else {
                break;
            };
            last_key = last.key.to_string();
            for value in &listing.values {
                entries.push(journal_reader::decode_stored_entry(value)?);
            }
        }
        let is_whole = entries
            .first()
            .is_none_or(|entry| entry.number.get() == after + 1)
            && entries.len() as u64 == count;
        for entry in entries.into_iter().rev() {
            page.take(entry);
        }
        if is_whole {
            page.before = Revision::new(after + 1).min(page.before);
        }
        Ok(is_whole && !page.is_full())
    }

    async fn read_chunk<F>(&self, page: &mut AuditPage<F>, chunk: &ArchiveChunk) -> Result<()>
    where
        F: Fn(&JournalEntry) -> bool,
    {
        let Some(stored) = self.client.get(&chunk.key).await? else {
            let message = format!(
                "archive chunk {} was replaced while it was read; read again",
                chunk.key
            );
            return Err(Error::new(ErrorKind::StoreUnavailable, message));
        };
        let lines = stored.value.split(|byte| *byte == b'\n').rev();
        for line in lines.filter(|line| !line.is_empty()) {
            page.take(codec::decode_entry(line)?);
        }
        Ok(())
    }
}

impl<F: Fn(&JournalEntry) -> bool> AuditPage<F> {
    fn is_full(&self) -> bool {
        self.entries.len() >= self.limit
    }

    /// Takes an entry if it is older than all entries before it; an entry may be in journal and archive.
    fn take(&mut self, entry: JournalEntry) {
        if entry.number >= self.before || self.is_full() {
            return;
        }
        self.before = entry.number;
        if (self.filter)(&entry) {
            self.entries.push(entry);
        }
    }
}
