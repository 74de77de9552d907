//! Applies the journal's entries in this process, in order and each once, whether they come from the store or
//! from peers, and relays them.

use std::collections::{BTreeMap, VecDeque};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use tokio::sync::broadcast;

use crate::error::Result;
use crate::journal::codec;
use crate::journal::entry::JournalEntry;
use crate::journal::fleet_state::FleetState;
use crate::model::id::Revision;
use crate::version::accepted::AcceptedVersion;

/// Number of applied entries kept in memory for peers that lack some.
const MAX_RECENT_ENTRIES: usize = 512;

/// Total size of the applied entries kept in memory, in bytes of their encoded form.
const MAX_RECENT_BYTES: usize = 4 * 1024 * 1024;

/// Number of entries held back while an earlier one is missing.
const MAX_PENDING_ENTRIES: usize = 256;

/// Number of entries that a subscriber may lag behind before it loses some and must read them by number.
const RELAY_CAPACITY: usize = 1024;

/// Counters of an [`EntryLog`] since the process started.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct LogCounters {
    /// Entries applied.
    pub folded: u64,
    /// Changes without effect in applied entries.
    pub voided: u64,
    /// Entries offered after they were already applied.
    pub duplicates: u64,
    /// Entries with the number of an applied entry but another nonce. More than 0 means that two different
    /// entries were accepted under one number, which must never happen.
    pub divergent: u64,
    /// Snapshots installed.
    pub snapshots: u64,
}

/// Origin of an entry. Peers in all zones receive entries written by this process; entries read from the
/// store are relayed within the own zone only.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EntrySource {
    /// Written by this process.
    Own,
    /// Read from the store.
    Store,
    /// Relayed by a peer.
    Peer,
}

/// An applied entry with its origin.
pub type SourcedEntry = (Arc<JournalEntry>, EntrySource);

/// Result of [`EntryLog::offer`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct OfferReport {
    /// Number of entries applied.
    pub folded: usize,
    /// Number of the first missing entry, if a later one is held back.
    pub first_missing: Option<Revision>,
}

#[derive(Debug, Default)]
struct LogState {
    /// Newest applied entries, oldest first, with their encoded size in bytes.
    recent: VecDeque<(Arc<JournalEntry>, usize)>,
    recent_bytes: usize,
    /// Entries that wait for an earlier one.
    pending: BTreeMap<Revision, SourcedEntry>,
    counters: LogCounters,
}

/// Applies entries to the accepted state and relays them to subscribers. Clones share the log.
#[derive(Debug, Clone)]
pub struct EntryLog {
    accepted: AcceptedVersion,
    state: Arc<Mutex<LogState>>,
    relay: broadcast::Sender<SourcedEntry>,
}

impl EntryLog {
    /// Creates a log that publishes each new state to `accepted`.
    pub fn new(accepted: AcceptedVersion) -> Self {
        let (relay, _) = broadcast::channel(RELAY_CAPACITY);
        Self {
            accepted,
            state: Arc::default(),
            relay,
        }
    }

    /// The handle to which states are published.
    pub fn accepted(&self) -> &AcceptedVersion {
        &self.accepted
    }

    /// The newest state.
    pub fn current(&self) -> Arc<FleetState> {
        self.accepted.current()
    }

    /// Number of the last applied entry.
    pub fn revision(&self) -> Revision {
        self.accepted.current().revision
    }

    /// Subscribes to applied entries. An own entry that another source delivered first is sent once more.
    pub fn subscribe(&self) -> broadcast::Receiver<SourcedEntry> {
        self.relay.subscribe()
    }

    /// Counters since the process started.
    pub fn counters(&self) -> LogCounters {
        self.lock().counters
    }

    /// Accepts entries in any order. Applies those that follow the current revision without a gap, and holds
    /// back up to 256 later ones until the missing entries arrive.
    ///
    /// # Errors
    /// `conflict` if the new state cannot be published; none of the entries counts as applied then.
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
                // The watch delivered the entry before the writer did, so it was relayed to the own zone
                // only.
                drop(self.relay.send((Arc::clone(&entry), source)));
            }
            log.add(revision, (entry, source));
        }
        let folded = self.fold_pending(&mut log)?;
        let first_missing = (!log.pending.is_empty()).then(|| self.revision().next());
        Ok(OfferReport {
            folded,
            first_missing,
        })
    }

    /// Replaces the state with a snapshot if that is newer, then applies held-back entries that follow.
    /// Returns whether the snapshot was newer.
    ///
    /// # Errors
    /// `conflict` if the state cannot be published.
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

    /// The applied entries after a revision, oldest first, at most `limit`. Empty if the first of them is no
    /// longer kept in memory.
    pub fn entries_after(&self, revision: Revision, limit: usize) -> Vec<Arc<JournalEntry>> {
        let log = self.lock();
        let first_recent = log.recent.front().map(|(entry, _)| entry.number);
        if first_recent.is_none_or(|first| first > revision.next()) {
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
            log.push_recent(&entry);
            // Sending fails only if there is no subscriber.
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
    /// Holds an entry back if it is newer than `revision`, else counts it as a duplicate.
    fn add(&mut self, revision: Revision, (entry, source): SourcedEntry) {
        if entry.number > revision {
            self.pending.insert(entry.number, (entry, source));
            // Entries next in order can be applied soonest, so the one with the highest number is dropped.
            if self.pending.len() > MAX_PENDING_ENTRIES {
                self.pending.pop_last();
            }
            return;
        }
        self.counters.duplicates += 1;
        let applied = self
            .recent
            .iter()
            .find(|(recent, _)| recent.number == entry.number);
        if applied.is_some_and(|(applied, _)| applied.nonce != entry.nonce) {
            self.counters.divergent += 1;
        }
    }

    fn push_recent(&mut self, entry: &Arc<JournalEntry>) {
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
