//! The audit trail: entries of the journal and of the archive, newest first.

use crate::error::{Error, ErrorKind, Result};
use crate::journal::codec;
use crate::journal::entry::JournalEntry;
use crate::model::id::Revision;
use crate::port::store::client::StoreClient;
use crate::version::journal_reader;
use crate::version::snapshot_store::{self, ArchiveChunk, SnapshotPointer};

/// Prefix of the store keys of archive chunks.
pub const ARCHIVE_PREFIX: &str = "audit/";

/// Upper limit of the entries returned by one read.
pub const MAX_AUDIT_ENTRIES: usize = 1000;

/// Journal entries requested from the store at a time.
const PAGE_ENTRIES: u64 = 200;

/// Encodes an entry as a line of an archive chunk.
///
/// # Errors
/// `too_large` above [`codec::MAX_ENTRY_BYTES`].
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

/// The result of a read while it is collected.
struct AuditPage<F> {
    filter: F,
    /// Only older entries are still to be added.
    before: Revision,
    limit: usize,
    /// Newest first.
    entries: Vec<JournalEntry>,
}

impl AuditTrail {
    /// Creates a reader of the trail in the client's store.
    pub fn new(client: StoreClient) -> Self {
        Self { client }
    }

    /// Reads up to `limit` entries with a number below `before` that pass the filter, newest first. `limit`
    /// is capped at [`MAX_AUDIT_ENTRIES`]; `newest` is the revision of the fleet state. Entries older than
    /// the archive cannot be read any more.
    ///
    /// # Errors
    /// Store errors; `bad_message` if an entry cannot be decoded; `store_unavailable` if a compaction
    /// replaced an archive chunk in the meantime.
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
        // The pointer is read before the journal. If entries are archived in between, reading the pointer
        // again finds them in the newer archive.
        let mut pointer = self.pointer().await?;
        while !page.is_full() && page.before > pointer.archived_to.next() {
            let is_complete = self.read_journal_page(&mut page, pointer.archived_to).await?;
            if !is_complete {
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

    /// Reads the journal entries just below `page.before`, at most `PAGE_ENTRIES`. Returns whether to go on
    /// with the journal: not if the page is full, or if entries are missing because a compaction moved them
    /// to the archive.
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
        let is_complete = entries
            .first()
            .is_none_or(|entry| entry.number.get() == after + 1)
            && entries.len() as u64 == count;
        for entry in entries.into_iter().rev() {
            page.add(entry);
        }
        if is_complete {
            page.before = Revision::new(after + 1).min(page.before);
        }
        Ok(is_complete && !page.is_full())
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
            page.add(codec::decode_entry(line)?);
        }
        Ok(())
    }
}

impl<F: Fn(&JournalEntry) -> bool> AuditPage<F> {
    fn is_full(&self) -> bool {
        self.entries.len() >= self.limit
    }

    /// Adds an entry that passes the filter. Entries that are not older than all earlier ones are ignored,
    /// because an entry may be in both journal and archive.
    fn add(&mut self, entry: JournalEntry) {
        if entry.number >= self.before || self.is_full() {
            return;
        }
        self.before = entry.number;
        if (self.filter)(&entry) {
            self.entries.push(entry);
        }
    }
}
