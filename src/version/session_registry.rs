//! Session records in the store.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::error::{Error, ErrorKind, Result};
use crate::model::id::{InstanceId, SessionId, StoreRevision, ZoneId};
use crate::model::unix_time::UnixMillis;
use crate::port::store::call::{PutExpect, StoreError, StoreValue};
use crate::port::store::client::StoreClient;
use crate::version::revision_watermark::RevisionWatermark;

/// Prefix of session records in the store.
pub const SESSION_PREFIX: &str = "session/";

/// Sessions read by one list call.
const PAGE_SESSIONS: usize = 500;

/// Record of a session. It stays until the session removes it or has certainly ended.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SessionRecord {
    /// The session.
    pub id: SessionId,
    /// Its availability zone.
    pub zone: ZoneId,
    /// Instance on which it runs, as the instance list names it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub instance: Option<InstanceId>,
    /// Address for links of peers.
    pub peer_address: SocketAddr,
    /// Address for callers.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub caller_address: Option<SocketAddr>,
    /// Address of the admin API.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub admin_address: Option<SocketAddr>,
    /// Wall time of its start.
    pub started_at: UnixMillis,
    /// Number of renewals, so that others see with their own clocks that it is renewed.
    #[serde(default)]
    pub renewals: u64,
}

/// All registered sessions at one moment.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct SessionList {
    /// Records by session.
    pub sessions: BTreeMap<SessionId, SessionRecord>,
    /// Sessions whose record cannot be read. They are registered and count, although they cannot be reached.
    pub undecodable: BTreeSet<SessionId>,
    /// Store revision of the list.
    pub head: StoreRevision,
}

impl SessionList {
    fn take(&mut self, value: &StoreValue) {
        let id = value
            .key
            .strip_prefix(SESSION_PREFIX)
            .and_then(|id| id.parse().ok());
        let Some(id) = id else {
            return;
        };
        match decode(&value.value) {
            Ok(record) if record.id == id => drop(self.sessions.insert(id, record)),
            _ => drop(self.undecodable.insert(id)),
        }
    }
}

/// Writes the own record and reads all records. Clones share the own record's revision.
#[derive(Debug, Clone)]
pub struct SessionRegistry {
    client: StoreClient,
    watermark: RevisionWatermark,
    own: Arc<Mutex<Option<(SessionRecord, StoreRevision)>>>,
    write_lock: Arc<tokio::sync::Mutex<()>>,
}

impl SessionRegistry {
    /// Creates a registry; `watermark` is shared with the journal's reader.
    pub fn new(client: StoreClient, watermark: RevisionWatermark) -> Self {
        Self {
            client,
            watermark,
            own: Arc::default(),
            write_lock: Arc::default(),
        }
    }

    /// Registers a session.
    ///
    /// # Errors
    /// Store errors; `conflict` if the id is taken.
    pub async fn register(&self, record: SessionRecord) -> Result<()> {
        self.write(record, PutExpect::Absent).await
    }

    /// Renews the own record. The store's answers to calls sent after a renewal must include it; older ones are
    /// refused as stale.
    ///
    /// # Errors
    /// Store errors; `lease_lost` if the record was removed, which means that the session has been forgotten;
    /// `not_found` before registration.
    pub async fn renew(&self) -> Result<()> {
        let _guard = self.write_lock.lock().await;
        let Some((mut record, revision)) = self.own() else {
            return Err(Error::new(ErrorKind::NotFound, "the session is not registered"));
        };
        record.renewals += 1;
        self.write(record, PutExpect::Revision(revision)).await
    }

    /// Removes a session's record.
    ///
    /// # Errors
    /// Store errors.
    pub async fn remove(&self, session: &SessionId) -> Result<()> {
        self.client.delete(&session_key(session), PutExpect::Any).await?;
        Ok(())
    }

    /// Reads all records.
    ///
    /// # Errors
    /// Store errors; `store_unavailable` if the answer is stale.
    pub async fn list(&self) -> Result<SessionList> {
        let mut found = SessionList::default();
        let mut after: Arc<str> = Arc::from("");
        loop {
            let floor = self.watermark.highest();
            let listing = self.client.list(SESSION_PREFIX, &after, PAGE_SESSIONS).await?;
            self.watermark.observe(floor, listing.head)?;
            for value in &listing.values {
                found.take(value);
            }
            found.head = listing.head;
            match listing.values.last() {
                Some(last) if listing.more => after = Arc::clone(&last.key),
                _ => return Ok(found),
            }
        }
    }

    async fn write(&self, record: SessionRecord, expect: PutExpect) -> Result<()> {
        let key = session_key(&record.id);
        let bytes =
            serde_json::to_vec(&record).map_err(|e| Error::new(ErrorKind::Internal, e.to_string()))?;
        let error = match self.client.put(&key, Bytes::from(bytes), expect, None).await {
            Ok(revision) => return self.accept(record, revision),
            Err(error) => error,
        };
        match error {
            // The write itself found no record, so this holds even if reads are stale.
            StoreError::Conflict { current: None } => {
                let message = format!("the record of session {} was removed", record.id);
                return Err(Error::new(ErrorKind::LeaseLost, message));
            }
            StoreError::TimedOut | StoreError::Conflict { .. } => {}
            other => return Err(other.into()),
        }
        // Only this session writes its record, so what is stored under its start time is its own write.
        let Some(stored) = self.client.get(&key).await? else {
            return Err(error.into());
        };
        let found = decode(&stored.value)?;
        if found.started_at != record.started_at || found.peer_address != record.peer_address {
            let message = format!("session id {} is taken", record.id);
            return Err(Error::new(ErrorKind::Conflict, message));
        }
        if found.renewals == record.renewals {
            return self.accept(found, stored.revision);
        }
        // An earlier record shows that the write has not landed, or that the read is stale.
        self.set_own(found, stored.revision);
        Err(error.into())
    }

    /// Notes a landed write and raises the floor of later reads to it.
    fn accept(&self, record: SessionRecord, revision: StoreRevision) -> Result<()> {
        self.watermark.observe(revision, revision)?;
        self.set_own(record, revision);
        Ok(())
    }

    fn own(&self) -> Option<(SessionRecord, StoreRevision)> {
        self.own.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    fn set_own(&self, record: SessionRecord, revision: StoreRevision) {
        *self.own.lock().unwrap_or_else(PoisonError::into_inner) = Some((record, revision));
    }
}

fn session_key(session: &SessionId) -> String {
    format!("{SESSION_PREFIX}{session}")
}

fn decode(bytes: &[u8]) -> Result<SessionRecord> {
    serde_json::from_slice(bytes)
        .map_err(|e| Error::new(ErrorKind::BadMessage, format!("session record: {e}")))
}
