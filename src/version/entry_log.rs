//! The entries folded by this process: in order, each once, from the store or relayed by peers.

use std::collections::{BTreeMap, VecDeque};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use tokio::sync::broadcast;

use crate::error::Result;
use crate::journal::codec;
use crate::journal::entry::JournalEntry;
use crate::journal::fleet_state::FleetState;
use crate::model::id::Revision;
use crate::version::accepted::AcceptedVersion;

/// Folded entries kept for peers that miss some.
const MAX_RECENT_ENTRIES: usize = 512;

/// Bytes of folded entries kept for peers that miss some.
const MAX_RECENT_BYTES: usize = 4 * 1024 * 1024;

/// Relayed entries kept while an earlier one is missing.
const MAX_PENDING_ENTRIES: usize = 256;

/// Folded entries that a subscriber may lag behind before it must read them by number.
const RELAY_CAPACITY: usize = 1024;

/// Counters of the log.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct LogCounters {
    /// Entries folded.
    pub folded: u64,
    /// Changes without effect in folded entries.
    pub voided: u64,
    /// Entries offered again after they were folded.
    pub duplicates: u64,
    /// Entries with the number of a folded one and another nonce; must stay 0.
    pub divergent: u64,
    /// Snapshots taken over.
    pub snapshots: u64,
}

/// Where entries came from. Own entries are relayed to all peers, entries of the store to the own zone.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EntrySource {
    /// Written by this process.
    Own,
    /// Read from the store.
    Store,
    /// Relayed by a peer.
    Peer,
}

/// A folded entry with its source.
pub type SourcedEntry = (Arc<JournalEntry>, EntrySource);

/// What offering entries did.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct OfferReport {
    /// Number of entries folded.
    pub folded: usize,
    /// First missing entry, if a later one is known.
    pub first_missing: Option<Revision>,
}

#[derive(Debug, Default)]
struct LogState {
    recent: VecDeque<(Arc<JournalEntry>, usize)>,
    recent_bytes: usize,
    pending: BTreeMap<Revision, SourcedEntry>,
    counters: LogCounters,
}

/// The folded entries. Clones share the log.
#[derive(Debug, Clone)]
pub struct EntryLog {
    accepted: AcceptedVersion,
    state: Arc<Mutex<LogState>>,
    relay: broadcast::Sender<SourcedEntry>,
}

impl EntryLog {
    /// Creates a log that publishes to the given holder.
    pub fn new(accepted: AcceptedVersion) -> Self {
        let (relay, _) = broadcast::channel(RELAY_CAPACITY);
        Self {
            accepted,
            state: Arc::default(),
            relay,
        }
    }

    /// Holder of the newest state.
    pub fn accepted(&self) -> &AcceptedVersion {
        &self.accepted
    }

    /// The newest state.
    pub fn current(&self) -> Arc<FleetState> {
        self.accepted.current()
    }

    /// Number of the last folded entry.
    pub fn revision(&self) -> Revision {
        self.accepted.current().revision
    }

    /// Receives each folded entry.
    pub fn subscribe(&self) -> broadcast::Receiver<SourcedEntry> {
        self.relay.subscribe()
    }

    /// Counters.
    pub fn counters(&self) -> LogCounters {
        self.lock().counters
    }

    /// Offers entries in any order; folds those that follow and keeps later ones for a while.
    ///
    /// # Errors
    /// `internal` if a state cannot be published; none of the entries counts as folded then.
    pub fn offer(
        &self,
        entries: impl IntoIterator<Item = JournalEntry>,
        source: EntrySource,
    ) -> Result<OfferReport> {
        let mut log = self.lock();
        let revision = self.revision();
        for entry in entries {
            let entry = Arc::new(entry);
            if source == EntrySource::Own && entry.number <= revision {
                // The watch was faster than the writer, so that the entry went to the own zone only.
                drop(self.relay.send((Arc::clone(&entry), source)));
            }
            log.take(revision, (entry, source));
        }
        let folded = self.fold_pending(&mut log)?;
        let first_missing = (!log.pending.is_empty()).then(|| self.revision().next());
        Ok(OfferReport {
            folded,
            first_missing,
        })
    }

    /// Takes over a snapshot if it is newer than the folded state, then folds entries that follow it.
    ///
    /// # Errors
    /// `internal` if the state cannot be published.
    pub fn install(&self, state: FleetState) -> Result<bool> {
        let mut log = self.lock();
        if state.revision <= self.revision() {
            return Ok(false);
        }
        let revision = state.revision;
        self.accepted.publish(&Arc::new(state))?;
        log.pending.retain(|number, _| *number > revision);
        log.recent.clear();
        log.recent_bytes = 0;
        log.counters.snapshots += 1;
        self.fold_pending(&mut log)?;
        Ok(true)
    }

    /// Folded entries after a revision, oldest first, at most `limit`; empty if the first one is not kept.
    pub fn entries_after(&self, revision: Revision, limit: usize) -> Vec<Arc<JournalEntry>> {
        let log = self.lock();
        let first_kept = log.recent.front().map(|(entry, _)| entry.number);
        if first_kept.is_none_or(|first| first > revision.next()) {
            return Vec::new();
        }
        log.recent
            .iter()
            .map(|(entry, _)| entry)
            .filter(|entry| entry.number > revision)
            .take(limit)
            .map(Arc::clone)
            .collect()
    }

    fn fold_pending(&self, log: &mut LogState) -> Result<usize> {
        let current = self.accepted.current();
        if !log.pending.contains_key(&current.revision.next()) {
            return Ok(0);
        }
        let mut state = FleetState::clone(&current);
        let mut folded = Vec::new();
        while let Some((entry, source)) = log.pending.remove(&state.revision.next()) {
            let report = state.fold(&entry)?;
            log.counters.voided += report.voided.len() as u64;
            folded.push((entry, source));
        }
        self.accepted.publish(&Arc::new(state))?;
        let count = folded.len();
        for (entry, source) in folded {
            log.keep(&entry);
            // Without a subscriber there is nobody to relay to.
            drop(self.relay.send((entry, source)));
        }
        log.counters.folded += count as u64;
        Ok(count)
    }

    fn lock(&self) -> MutexGuard<'_, LogState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl LogState {
    fn take(&mut self, revision: Revision, (entry, source): SourcedEntry) {
        if entry.number > revision {
            self.pending.insert(entry.number, (entry, source));
            // The entries next in order are the ones that help, so the last one is dropped.
            if self.pending.len() > MAX_PENDING_ENTRIES {
                self.pending.pop_last();
            }
            return;
        }
        self.counters.duplicates += 1;
        let kept = self.recent.iter().find(|(kept, _)| kept.number == entry.number);
        if kept.is_some_and(|(kept, _)| kept.nonce != entry.nonce) {
            self.counters.divergent += 1;
        }
    }

    fn keep(&mut self, entry: &Arc<JournalEntry>) {
        let size = codec::encode_entry(entry).map_or(codec::MAX_ENTRY_BYTES, |bytes| bytes.len());
        self.recent.push_back((Arc::clone(entry), size));
        self.recent_bytes += size;
        while self.recent.len() > MAX_RECENT_ENTRIES || self.recent_bytes > MAX_RECENT_BYTES {
            let Some((_, size)) = self.recent.pop_front() else {
                return;
            };
            self.recent_bytes -= size;
        }
    }
}
