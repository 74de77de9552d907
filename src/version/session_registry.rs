//! Registration of sessions by records in the store.

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

/// Prefix of the store keys of session records.
pub const SESSION_PREFIX: &str = "session/";

/// Records requested by one list call.
const PAGE_SESSIONS: usize = 500;

/// Record of a session. It stays in the store until the session removes it at its end, or is known to have
/// ended.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SessionRecord {
    /// Identifier of the session.
    pub id: SessionId,
    /// Availability zone in which the session runs.
    pub zone: ZoneId,
    /// Instance on which the session runs, as named in the instance list; absent if the daemon does not
    /// know it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub instance: Option<InstanceId>,
    /// Address on which the session accepts links of peers.
    pub peer_address: SocketAddr,
    /// Address on which the session accepts requests of callers.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub caller_address: Option<SocketAddr>,
    /// Address on which the session serves the admin API.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub admin_address: Option<SocketAddr>,
    /// Wall-clock time at which the session started.
    pub started_at: UnixMillis,
    /// Number of renewals. Other sessions detect by its increase, and time by their own clocks, that the
    /// record is renewed.
    #[serde(default)]
    pub renewals: u64,
}

/// All registered sessions.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct SessionList {
    /// Decoded records by session.
    pub sessions: BTreeMap<SessionId, SessionRecord>,
    /// Sessions whose record cannot be decoded. They count as registered, although their address is unknown.
    pub undecodable: BTreeSet<SessionId>,
    /// Store revision at which the last part of the list was read.
    pub head: StoreRevision,
}

impl SessionList {
    /// Adds the record under a key; keys that do not name a session are ignored.
    fn add(&mut self, value: &StoreValue) {
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

/// Writes the record of the own session and reads the records of all. Clones share the own record.
#[derive(Debug, Clone)]
pub struct SessionRegistry {
    client: StoreClient,
    watermark: RevisionWatermark,
    own: Arc<Mutex<Option<(SessionRecord, StoreRevision)>>>,
    write_lock: Arc<tokio::sync::Mutex<()>>,
}

impl SessionRegistry {
    /// Creates a registry. `watermark` is that of the journal reader of this process.
    pub fn new(client: StoreClient, watermark: RevisionWatermark) -> Self {
        Self {
            client,
            watermark,
            own: Arc::default(),
            write_lock: Arc::default(),
        }
    }

    /// Registers the own session.
    ///
    /// # Errors
    /// Store errors; `conflict` if another session has the identifier.
    pub async fn register(&self, record: SessionRecord) -> Result<()> {
        self.write(record, PutExpect::Absent).await
    }

    /// Renews the own record. Responses to requests sent after the renewal must include it; older ones are
    /// rejected as stale.
    ///
    /// # Errors
    /// Store errors; `lease_lost` if the record was removed, which means that the session was declared ended;
    /// `not_found` before registration.
    pub async fn renew(&self) -> Result<()> {
        let _guard = self.write_lock.lock().await;
        let Some((mut record, revision)) = self.own() else {
            return Err(Error::new(ErrorKind::NotFound, "the session is not registered"));
        };
        record.renewals += 1;
        self.write(record, PutExpect::Revision(revision)).await
    }

    /// Removes the record of any session, if it exists.
    ///
    /// # Errors
    /// Store errors.
    pub async fn remove(&self, session: &SessionId) -> Result<()> {
        self.client.delete(&session_key(session), PutExpect::Any).await?;
        Ok(())
    }

    /// Reads all session records.
    ///
    /// # Errors
    /// Store errors; `store_unavailable` if a response is stale.
    pub async fn list(&self) -> Result<SessionList> {
        let mut found = SessionList::default();
        let mut after: Arc<str> = Arc::from("");
        loop {
            let floor = self.watermark.highest();
            let listing = self.client.list(SESSION_PREFIX, &after, PAGE_SESSIONS).await?;
            self.watermark.observe(floor, listing.head)?;
            for value in &listing.values {
                found.add(value);
            }
            found.head = listing.head;
            match listing.values.last() {
                Some(last) if listing.more => after = Arc::clone(&last.key),
                _ => return Ok(found),
            }
        }
    }

    /// Writes the own record. After a timeout or conflict, reads it back to find out whether the write
    /// succeeded.
    async fn write(&self, record: SessionRecord, expect: PutExpect) -> Result<()> {
        let key = session_key(&record.id);
        let bytes =
            serde_json::to_vec(&record).map_err(|e| Error::new(ErrorKind::Internal, e.to_string()))?;
        let error = match self.client.put(&key, Bytes::from(bytes), expect, None).await {
            Ok(revision) => return self.accept(record, revision),
            Err(error) => error,
        };
        match error {
            // The store reported this in response to the write, so it is reliable even if reads are stale.
            StoreError::Conflict { current: None } => {
                let message = format!("the record of session {} was removed", record.id);
                return Err(Error::new(ErrorKind::LeaseLost, message));
            }
            StoreError::TimedOut | StoreError::Conflict { .. } => {}
            other => return Err(other.into()),
        }
        // Only this session writes its record, so a record with its start time was written by it.
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
        // A record with fewer renewals means that the write has not succeeded, or that the read was stale.
        self.set_own(found, stored.revision);
        Err(error.into())
    }

    /// Stores the written record and raises the watermark, so that later reads must include the write.
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
