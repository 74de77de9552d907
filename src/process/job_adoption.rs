//! Takes over the job log of a session that has ended.
//!
//! The steps are: change the log's owner by compare-and-swap, append a batch that closes the log, read all
//! batches, and do the same with the logs that the ended session had taken over. Each step is idempotent.

use std::collections::BTreeMap;

use bytes::Bytes;

use crate::error::{Error, ErrorKind, Result};
use crate::model::id::{JobId, SessionId, WriteNonce};
use crate::policy::job_event::{
    self, BATCH_SCHEMA, JobBatch, JobEvent, LiveJob, LogOwner, batch_key, owner_key,
};
use crate::port::store::call::{PutExpect, StoreError, StoreValue};
use crate::port::store::client::StoreClient;

/// Page size of a list call, in keys.
const LIST_LIMIT: usize = 1_000;

/// Jobs of an ended session and of the sessions whose logs it had taken over.
#[derive(Debug, Default)]
pub struct AdoptedLog {
    /// Unfinished jobs.
    pub jobs: Vec<LiveJob>,
    /// Sessions whose logs contain these jobs.
    pub sessions: Vec<SessionId>,
    /// Keys to delete once the jobs are in the adopter's log. The closing batches and the owner records stay,
    /// so that a previous owner that resumes after a pause cannot append anything.
    pub keys: Vec<String>,
}

/// Takes over the log of `ended` and the logs that it owned. `own` is the session that adopts the jobs.
///
/// # Errors
/// `conflict` if a third session owns the log; store errors, after which the call may be repeated.
pub async fn take_over(store: &StoreClient, ended: &SessionId, own: &SessionId) -> Result<AdoptedLog> {
    let mut logs = Vec::new();
    if claim_log(store, ended, ended, own).await? {
        logs.push(ended.clone());
    }
    for session in list_sessions(store).await? {
        let owner = read_owner(store, &session).await?.0;
        let is_owned = owner.is_some_and(|owner| owner.owner == *ended && !owner.absorbed);
        if session != *ended && is_owned && claim_log(store, &session, ended, own).await? {
            logs.push(session);
        }
    }
    let mut jobs: BTreeMap<JobId, LiveJob> = BTreeMap::new();
    let mut keys = Vec::new();
    for session in &logs {
        let batches = close_log(store, session, own).await?;
        let last = batches.last().map_or(0, |batch| batch.number);
        let old = batches.iter().filter(|batch| batch.number < last);
        keys.extend(old.map(|batch| batch_key(session, batch.number)));
        // The ended session's log comes first and is newer than the logs that it had taken over.
        for (id, job) in job_event::replay_batches(&batches) {
            jobs.entry(id).or_insert(job);
        }
    }
    Ok(AdoptedLog {
        jobs: jobs.into_values().collect(),
        sessions: logs,
        keys,
    })
}

/// Records that the jobs of the log of `session` are in the log of `own`, so that they are not adopted again.
///
/// # Errors
/// `conflict` if `own` does not own the log; store errors, after which the call may be repeated.
pub async fn mark_absorbed(store: &StoreClient, session: &SessionId, own: &SessionId) -> Result<()> {
    let (owner, found) = read_owner(store, session).await?;
    let (Some(owner), Some(found)) = (owner, found) else {
        let message = format!("the jobs of session {session} have no owner");
        return Err(Error::new(ErrorKind::Conflict, message));
    };
    if owner.owner != *own {
        let message = format!("the jobs of session {session} belong to session {}", owner.owner);
        return Err(Error::new(ErrorKind::Conflict, message));
    }
    if owner.absorbed {
        return Ok(());
    }
    put_owner(store, session, own, true, PutExpect::Revision(found.revision)).await
}

async fn put_owner(
    store: &StoreClient,
    session: &SessionId,
    own: &SessionId,
    absorbed: bool,
    expect: PutExpect,
) -> Result<()> {
    let key = owner_key(session);
    let owner = LogOwner {
        owner: own.clone(),
        absorbed,
    };
    let value = serde_json::to_vec(&owner).map_err(|e| decode_error(&key, &e))?;
    store.put(&key, Bytes::from(value), expect, None).await?;
    Ok(())
}

/// Returns the owner of a log and the stored value. A log without an owner record belongs to its session.
async fn read_owner(
    store: &StoreClient,
    session: &SessionId,
) -> Result<(Option<LogOwner>, Option<StoreValue>)> {
    let Some(found) = store.get(&owner_key(session)).await? else {
        return Ok((None, None));
    };
    let owner: LogOwner = serde_json::from_slice(&found.value).map_err(|e| decode_error(&found.key, &e))?;
    Ok((Some(owner), Some(found)))
}

/// Moves the log of `session` from `former` to `own`. Returns false if its jobs are in another log already.
async fn claim_log(
    store: &StoreClient,
    session: &SessionId,
    former: &SessionId,
    own: &SessionId,
) -> Result<bool> {
    let (owner, found) = read_owner(store, session).await?;
    let owner = owner.unwrap_or_else(|| LogOwner {
        owner: session.clone(),
        absorbed: false,
    });
    if owner.owner == *own || owner.absorbed {
        return Ok(!owner.absorbed);
    }
    if owner.owner != *former {
        let message = format!("the jobs of session {session} belong to session {}", owner.owner);
        return Err(Error::new(ErrorKind::Conflict, message));
    }
    let expect = found.map_or(PutExpect::Absent, |found| PutExpect::Revision(found.revision));
    put_owner(store, session, own, false, expect).await?;
    Ok(true)
}

/// Lists the sessions that have a job log. Each list call reads one key and skips the rest of that session's.
async fn list_sessions(store: &StoreClient) -> Result<Vec<SessionId>> {
    let mut sessions = Vec::new();
    let mut after = String::new();
    loop {
        let listing = store.list_keys("jobs/", &after, 1).await?;
        let Some(found) = listing.values.first() else {
            return Ok(sessions);
        };
        let name = found.key.split('/').nth(1).unwrap_or_default();
        sessions.push(name.parse()?);
        // `0` follows `/`, so this sorts after all keys of the session. The store accepts it as a key.
        after = format!("jobs/{name}0");
    }
}

/// Appends the closing batch unless the log has one, and returns all batches in order.
async fn close_log(store: &StoreClient, session: &SessionId, own: &SessionId) -> Result<Vec<JobBatch>> {
    loop {
        let mut batches = read_batches(store, session).await?;
        let last = batches.last();
        let is_closed = last.is_some_and(|batch| {
            batch
                .events
                .iter()
                .any(|event| matches!(event, JobEvent::Closed { .. }))
        });
        if is_closed {
            return Ok(batches);
        }
        let closing = JobBatch {
            schema: BATCH_SCHEMA,
            number: last.map_or(0, |batch| batch.number) + 1,
            nonce: WriteNonce::new(rand::random()),
            events: vec![JobEvent::Closed { by: own.clone() }],
        };
        let key = batch_key(session, closing.number);
        let value = serde_json::to_vec(&closing).map_err(|e| decode_error(&key, &e))?;
        match store.put(&key, Bytes::from(value), PutExpect::Absent, None).await {
            Ok(_) => {
                batches.push(closing);
                return Ok(batches);
            }
            // The previous owner wrote a batch meanwhile, or an earlier attempt was written: read again.
            Err(StoreError::Conflict { .. }) => {}
            Err(error) => return Err(error.into()),
        }
    }
}

async fn read_batches(store: &StoreClient, session: &SessionId) -> Result<Vec<JobBatch>> {
    let prefix = format!("jobs/{session}/");
    let owner = owner_key(session);
    let mut batches = Vec::new();
    let mut after = String::new();
    loop {
        let listing = store.list(&prefix, &after, LIST_LIMIT).await?;
        for found in listing.values.iter().filter(|found| *found.key != *owner) {
            batches.push(serde_json::from_slice(&found.value).map_err(|e| decode_error(&found.key, &e))?);
        }
        match listing.values.last() {
            Some(last) if listing.more => after = last.key.to_string(),
            _ => return Ok(batches),
        }
    }
}

fn decode_error(key: &str, error: &serde_json::Error) -> Error {
    Error::new(ErrorKind::BadMessage, format!("store key {key}: {error}"))
}
