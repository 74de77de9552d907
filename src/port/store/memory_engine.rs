//! Data of the in-memory store: keys with revisions, and leases that end by a passed-in time.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;

use crate::model::id::{LeaseId, StoreRevision};
use crate::port::store::call::{
    MAX_LISTING_BYTES, MAX_VALUE_BYTES, PutExpect, StoreError, StoreListing, StoreResult, StoreValue,
};

/// What is stored under a key.
#[derive(Debug, Clone)]
struct StoredValue {
    value: Bytes,
    revision: StoreRevision,
    lease: Option<LeaseId>,
}

/// A lease with the keys that are deleted when it ends.
#[derive(Debug, Clone)]
struct StoreLease {
    ttl: Duration,
    ends_at: Instant,
    keys: BTreeSet<Arc<str>>,
}

/// Keys, values and leases.
#[derive(Debug, Clone, Default)]
pub struct MemoryEngine {
    head: StoreRevision,
    next_lease: u64,
    values: BTreeMap<Arc<str>, StoredValue>,
    by_revision: BTreeMap<StoreRevision, Arc<str>>,
    leases: BTreeMap<LeaseId, StoreLease>,
}

impl MemoryEngine {
    /// Revision of the last write.
    pub fn head(&self) -> StoreRevision {
        self.head
    }

    /// Ends leases whose time is over and deletes their keys.
    pub fn expire(&mut self, now: Instant) {
        let ended: Vec<LeaseId> = self
            .leases
            .iter()
            .filter(|(_, lease)| lease.ends_at <= now)
            .map(|(id, _)| *id)
            .collect();
        for id in ended {
            self.end_lease(id);
        }
    }

    /// Reads a key.
    pub fn get(&self, key: &str) -> Option<StoreValue> {
        let (key, stored) = self.values.get_key_value(key)?;
        Some(to_value(key, stored, false))
    }

    /// Writes a key.
    ///
    /// # Errors
    /// `Conflict`, `TooLarge` or `LeaseEnded`; nothing changes then.
    pub fn put(
        &mut self,
        key: &str,
        value: Bytes,
        expect: PutExpect,
        lease: Option<LeaseId>,
    ) -> StoreResult<StoreRevision> {
        if value.len() > MAX_VALUE_BYTES {
            return Err(StoreError::TooLarge);
        }
        if lease.is_some_and(|id| !self.leases.contains_key(&id)) {
            return Err(StoreError::LeaseEnded);
        }
        self.check(key, expect)?;
        self.remove(key);
        let key: Arc<str> = Arc::from(key);
        self.head = self.head.next();
        self.by_revision.insert(self.head, Arc::clone(&key));
        if let Some(held) = lease.and_then(|id| self.leases.get_mut(&id)) {
            held.keys.insert(Arc::clone(&key));
        }
        let stored = StoredValue {
            value,
            revision: self.head,
            lease,
        };
        self.values.insert(key, stored);
        Ok(self.head)
    }

    /// Deletes a key; deleting an absent key without a condition has no effect.
    ///
    /// # Errors
    /// `Conflict` if the condition does not hold.
    pub fn delete(&mut self, key: &str, expect: PutExpect) -> StoreResult<()> {
        self.check(key, expect)?;
        if self.remove(key) {
            self.head = self.head.next();
        }
        Ok(())
    }

    /// Lists up to `limit` keys with a prefix, in key order, after the key `after`.
    pub fn list(&self, prefix: &str, after: &str, limit: usize, keys_only: bool) -> StoreListing {
        let start = if after > prefix { after } else { prefix };
        let candidates = self
            .values
            .range::<str, _>((std::ops::Bound::Included(start), std::ops::Bound::Unbounded))
            .take_while(|(key, _)| key.starts_with(prefix))
            .filter(|(key, _)| key.as_ref() > after)
            .map(|(key, stored)| to_value(key, stored, keys_only));
        self.collect(candidates, limit)
    }

    /// Lists values with a prefix that were written after a revision, in the order of writing.
    pub fn written_after(&self, prefix: &str, after: StoreRevision) -> StoreListing {
        let candidates = self
            .by_revision
            .range(after.next()..)
            .filter(|(_, key)| key.starts_with(prefix))
            .filter_map(|(_, key)| self.get(key));
        self.collect(candidates, usize::MAX)
    }

    /// Grants a lease.
    pub fn grant_lease(&mut self, now: Instant, ttl: Duration) -> LeaseId {
        self.next_lease += 1;
        let id = LeaseId::new(self.next_lease);
        let lease = StoreLease {
            ttl,
            ends_at: now + ttl,
            keys: BTreeSet::new(),
        };
        self.leases.insert(id, lease);
        id
    }

    /// Renews a lease for its whole time.
    ///
    /// # Errors
    /// `LeaseEnded` if it has ended.
    pub fn renew_lease(&mut self, now: Instant, id: LeaseId) -> StoreResult<()> {
        let lease = self.leases.get_mut(&id).ok_or(StoreError::LeaseEnded)?;
        lease.ends_at = now + lease.ttl;
        Ok(())
    }

    /// Ends a lease and deletes its keys.
    pub fn end_lease(&mut self, id: LeaseId) {
        let Some(lease) = self.leases.remove(&id) else {
            return;
        };
        for key in lease.keys {
            if self.remove(&key) {
                self.head = self.head.next();
            }
        }
    }

    fn check(&self, key: &str, expect: PutExpect) -> StoreResult<()> {
        let current = self.values.get(key).map(|stored| stored.revision);
        let holds = match expect {
            PutExpect::Any => true,
            PutExpect::Absent => current.is_none(),
            PutExpect::Revision(revision) => current == Some(revision),
        };
        if holds {
            return Ok(());
        }
        Err(StoreError::Conflict { current })
    }

    fn remove(&mut self, key: &str) -> bool {
        let Some(stored) = self.values.remove(key) else {
            return false;
        };
        self.by_revision.remove(&stored.revision);
        if let Some(lease) = stored.lease.and_then(|id| self.leases.get_mut(&id)) {
            lease.keys.remove(key);
        }
        true
    }

    fn collect(&self, candidates: impl Iterator<Item = StoreValue>, limit: usize) -> StoreListing {
        let mut listing = StoreListing {
            head: self.head,
            ..StoreListing::default()
        };
        let mut size = 0;
        for value in candidates {
            size += value.value.len();
            let is_full = listing.values.len() >= limit || size > MAX_LISTING_BYTES;
            if is_full && !listing.values.is_empty() {
                listing.more = true;
                break;
            }
            listing.values.push(value);
        }
        listing
    }
}

fn to_value(key: &Arc<str>, stored: &StoredValue, keys_only: bool) -> StoreValue {
    StoreValue {
        key: Arc::clone(key),
        revision: stored.revision,
        value: if keys_only {
            Bytes::new()
        } else {
            stored.value.clone()
        },
    }
}
