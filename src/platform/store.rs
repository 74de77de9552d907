//! The platform's store.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use bytes::Bytes;
use http::{Method, StatusCode};
use prometheus::IntCounterVec;
use serde::{Deserialize, Serialize};

use crate::error::{Error, ErrorKind, Result};
use crate::model::id::{LeaseId, StoreRevision};
use crate::platform::http::{HttpClient, HttpError, HttpRequest, HttpResponse};

/// Entries that one transaction may have: conditions, puts and deletions.
pub const MAX_TRANSACTION_ENTRIES: usize = 32;

/// Added to the waiting time of a watch before its connection counts as silent.
const WATCH_GRACE: Duration = Duration::from_millis(700);

/// Calls in a row without an answer after which the store counts as lost.
const UNREACHABLE_THRESHOLD: u32 = 3;

/// Key of the operators' configuration.
pub const CONFIG_KEY: &str = "op/config";

/// Prefix of the entries of workers.
pub const WORKER_PREFIX: &str = "servers/";

/// An item as stored.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StoreItem {
    /// Key.
    pub key: Arc<str>,
    /// Value.
    pub value: Bytes,
    /// Revision of the last write; 0 if the key does not exist.
    pub revision: StoreRevision,
}

/// A change.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StoreEvent {
    /// A key was written.
    Written(StoreItem),
    /// A key was removed.
    Removed(Arc<str>),
}

/// Answer to a watch.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum WatchResponse {
    /// Changes, and the revision to go on from.
    Events(Vec<StoreEvent>, StoreRevision),
    /// The history is no longer available; everything has to be read again.
    Compacted,
}

/// One put of a transaction.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StorePut {
    /// Key.
    pub key: Arc<str>,
    /// Value.
    pub value: Bytes,
    /// Lease with which the key is removed.
    pub lease: Option<LeaseId>,
}

/// A transaction.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct StoreTransaction {
    /// Keys with the revisions that they must have; 0 means absent.
    pub expected: Vec<(Arc<str>, StoreRevision)>,
    /// Puts.
    pub puts: Vec<StorePut>,
    /// Deletions.
    pub deletes: Vec<Arc<str>>,
}

impl StoreTransaction {
    /// Number of entries.
    pub fn len(&self) -> usize {
        self.expected.len() + self.puts.len() + self.deletes.len()
    }

    /// Whether the transaction has no entries.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Adds a put, in place of an earlier one of the same key.
    pub fn put(&mut self, key: impl Into<Arc<str>>, value: impl Into<Bytes>, lease: Option<LeaseId>) {
        let key = key.into();
        self.puts.retain(|put| put.key != key);
        self.puts.push(StorePut {
            key,
            value: value.into(),
            lease,
        });
    }
}

/// Outcome of a transaction that was answered.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CommitOutcome {
    /// Done, with its revision.
    Done(StoreRevision),
    /// A condition does not hold; the items of the conditions as they are.
    Conflict(Vec<StoreItem>),
    /// The lease of a put has ended.
    LeaseEnded,
}

/// Client of the store.
#[derive(Debug, Clone)]
pub struct StoreApiClient {
    caller: HttpClient,
    address: SocketAddr,
    calls: IntCounterVec,
    consecutive_failures: Arc<AtomicU32>,
}

#[derive(Debug, Deserialize)]
struct WireItem {
    key: Arc<str>,
    #[serde(default)]
    value: Option<String>,
    #[serde(default)]
    revision: u64,
    #[serde(default)]
    removed: bool,
}

#[derive(Debug, Deserialize)]
#[serde(rename_all = "kebab-case")]
struct WireRange {
    items: Vec<WireItem>,
    #[serde(default)]
    truncated: bool,
    as_of: u64,
}

#[derive(Debug, Deserialize)]
#[serde(rename_all = "kebab-case")]
struct WireEvents {
    events: Vec<WireItem>,
    as_of: u64,
}

#[derive(Debug, Serialize)]
struct WireCondition<'a> {
    key: &'a str,
    revision: u64,
}

#[derive(Debug, Serialize)]
struct WirePut<'a> {
    key: &'a str,
    value: String,
    #[serde(skip_serializing_if = "Option::is_none")]
    lease: Option<u64>,
}

#[derive(Debug, Serialize)]
struct WireTransaction<'a> {
    expected: Vec<WireCondition<'a>>,
    puts: Vec<WirePut<'a>>,
    delete: Vec<&'a str>,
}

#[derive(Debug, Deserialize)]
struct WireRevision {
    revision: u64,
}

#[derive(Debug, Deserialize)]
struct WireConflict {
    #[serde(default)]
    items: Vec<WireItem>,
}

#[derive(Debug, Serialize)]
#[serde(rename_all = "kebab-case")]
struct WireLeaseRequest {
    ttl_ms: u64,
}

#[derive(Debug, Deserialize)]
#[serde(rename_all = "kebab-case")]
struct WireLease {
    lease: u64,
    ttl_ms: u64,
}

impl StoreApiClient {
    /// Creates a client that counts its calls by kind and outcome.
    pub fn new(caller: HttpClient, address: SocketAddr, calls: IntCounterVec) -> Self {
        Self {
            caller,
            address,
            calls,
            consecutive_failures: Arc::new(AtomicU32::new(0)),
        }
    }

    async fn send(&self, name: &str, call: HttpRequest) -> std::result::Result<HttpResponse, HttpError> {
        let answer = self.caller.call(call).await;
        let outcome = match &answer {
            Ok(answer) => answer.status.as_str().to_owned(),
            Err(HttpError::NotSent(_)) => "not_sent".to_owned(),
            Err(HttpError::NoResponse(_)) => "no_answer".to_owned(),
        };
        self.calls.with_label_values(&[name, outcome.as_str()]).inc();
        let is_fault = answer
            .as_ref()
            .map_or(true, |answer| answer.status.is_server_error());
        if is_fault {
            self.consecutive_failures.fetch_add(1, Ordering::Relaxed);
        } else {
            self.consecutive_failures.store(0, Ordering::Relaxed);
        }
        answer
    }

    /// Whether the last calls had no answer, so that a further one is not expected to have one.
    pub fn is_unreachable(&self) -> bool {
        self.consecutive_failures.load(Ordering::Relaxed) >= UNREACHABLE_THRESHOLD
    }

    /// Sends a call that may be repeated, so that it does not matter whether one without an answer was done.
    async fn request(&self, name: &str, call: HttpRequest) -> Result<HttpResponse> {
        let answer = self
            .send(name, call)
            .await
            .map_err(|fault| unavailable(name, &fault))?;
        refuse_overload(name, &answer)?;
        Ok(answer)
    }

    async fn read(&self, name: &str, path: String, timeout: Duration) -> Result<HttpResponse> {
        let call = HttpRequest::new(self.address, Method::GET, path, timeout);
        self.request(name, call).await
    }

    /// Reads one item.
    ///
    /// # Errors
    /// `store_unavailable`, `rate_limited` or `bad_message`.
    pub async fn get(&self, key: &str, timeout: Duration) -> Result<Option<StoreItem>> {
        let answer = self.read("get", format!("/kv-key?key={key}"), timeout).await?;
        if answer.status == StatusCode::NOT_FOUND {
            return Ok(None);
        }
        check_status("get", &answer)?;
        decode_item(answer.json()?).map(Some)
    }

    /// Reads all items with a prefix, and the revision from which a watch can go on without a gap.
    ///
    /// # Errors
    /// `store_unavailable`, `rate_limited` or `bad_message`.
    pub async fn range(&self, prefix: &str, timeout: Duration) -> Result<(Vec<StoreItem>, StoreRevision)> {
        let mut items = Vec::new();
        let mut first: Option<u64> = None;
        let mut after: Option<Arc<str>> = None;
        loop {
            let page = match &after {
                None => format!("/kv-range?prefix={prefix}"),
                Some(key) => format!("/kv-range?prefix={prefix}&after={key}"),
            };
            let answer = self.read("range", page, timeout).await?;
            check_status("range", &answer)?;
            let page: WireRange = answer.json()?;
            // Pages are not a snapshot: changes since the first page are found by a watch from its revision.
            first.get_or_insert(page.as_of);
            after = page.items.last().map(|item| Arc::clone(&item.key));
            for item in page.items {
                items.push(decode_item(item)?);
            }
            if !page.truncated || after.is_none() {
                return Ok((items, StoreRevision::new(first.unwrap_or(page.as_of))));
            }
        }
    }

    /// Waits for changes after a revision.
    ///
    /// # Errors
    /// `store_unavailable`, `rate_limited` or `bad_message`.
    pub async fn watch(&self, prefix: &str, after: StoreRevision, wait: Duration) -> Result<WatchResponse> {
        let path = format!(
            "/kv-watch?prefix={prefix}&after={after}&wait-ms={}",
            wait.as_millis()
        );
        let answer = self.read("watch", path, wait + WATCH_GRACE).await?;
        if answer.status == StatusCode::GONE {
            return Ok(WatchResponse::Compacted);
        }
        check_status("watch", &answer)?;
        let answer: WireEvents = answer.json()?;
        let events: Result<Vec<StoreEvent>> = answer.events.into_iter().map(decode_event).collect();
        Ok(WatchResponse::Events(events?, StoreRevision::new(answer.as_of)))
    }

    /// Commits a transaction.
    ///
    /// # Errors
    /// `store_unavailable` or `rate_limited` if nothing was done, `store_outcome_unknown` if it may have been or may
    /// be later.
    pub async fn commit(&self, write: &StoreTransaction, timeout: Duration) -> Result<CommitOutcome> {
        let conditions = write.expected.iter().map(|(key, revision)| WireCondition {
            key,
            revision: revision.get(),
        });
        let puts = write.puts.iter().map(|put| WirePut {
            key: &put.key,
            value: STANDARD.encode(&put.value),
            lease: put.lease.map(LeaseId::get),
        });
        let body = WireTransaction {
            expected: conditions.collect(),
            puts: puts.collect(),
            delete: write.deletes.iter().map(|key| &**key).collect(),
        };
        let call = HttpRequest::new(self.address, Method::POST, "/kv-txn", timeout).with_json(&body)?;
        let answer = self
            .send("commit", call)
            .await
            .map_err(|fault| unknown("commit", &fault))?;
        refuse_overload("commit", &answer)?;
        match answer.status {
            StatusCode::OK => {
                let done: WireRevision = answer.json()?;
                Ok(CommitOutcome::Done(StoreRevision::new(done.revision)))
            }
            StatusCode::PRECONDITION_FAILED => {
                let conflict: WireConflict = answer.json()?;
                let items: Result<Vec<StoreItem>> = conflict.items.into_iter().map(decode_item).collect();
                Ok(CommitOutcome::Conflict(items?))
            }
            StatusCode::NOT_FOUND => Ok(CommitOutcome::LeaseEnded),
            _ => Err(bad_status("commit", &answer)),
        }
    }

    /// Creates a lease and returns it with its time to live.
    ///
    /// # Errors
    /// `store_unavailable`, `rate_limited` or `bad_message`.
    pub async fn grant_lease(&self, ttl: Duration, timeout: Duration) -> Result<(LeaseId, Duration)> {
        let body = WireLeaseRequest {
            ttl_ms: ttl.as_millis() as u64,
        };
        let call = HttpRequest::new(self.address, Method::POST, "/kv-lease", timeout).with_json(&body)?;
        let answer = self.request("grant", call).await?;
        check_status("grant", &answer)?;
        let lease: WireLease = answer.json()?;
        Ok((LeaseId::new(lease.lease), Duration::from_millis(lease.ttl_ms)))
    }

    /// Renews a lease. Returns whether it still holds.
    ///
    /// # Errors
    /// `store_unavailable`, `rate_limited` or `bad_message`.
    pub async fn renew_lease(&self, lease: LeaseId, timeout: Duration) -> Result<bool> {
        let call = HttpRequest::new(self.address, Method::POST, format!("/kv-keep/{lease}"), timeout);
        let answer = self.request("keep", call).await?;
        if answer.status == StatusCode::NOT_FOUND {
            return Ok(false);
        }
        check_status("keep", &answer)?;
        Ok(true)
    }

    /// Ends a lease; its keys are removed.
    ///
    /// # Errors
    /// `store_unavailable`, `rate_limited` or `bad_message`.
    pub async fn revoke_lease(&self, lease: LeaseId, timeout: Duration) -> Result<()> {
        let call = HttpRequest::new(
            self.address,
            Method::DELETE,
            format!("/kv-lease-end/{lease}"),
            timeout,
        );
        self.request("end", call).await.map(drop)
    }
}

fn decode_item(item: WireItem) -> Result<StoreItem> {
    let value = STANDARD
        .decode(item.value.unwrap_or_default())
        .map_err(|error| Error::new(ErrorKind::BadMessage, format!("value of {}: {error}", item.key)))?;
    Ok(StoreItem {
        key: item.key,
        value: value.into(),
        revision: StoreRevision::new(item.revision),
    })
}

fn decode_event(item: WireItem) -> Result<StoreEvent> {
    if item.removed {
        return Ok(StoreEvent::Removed(item.key));
    }
    decode_item(item).map(StoreEvent::Written)
}

fn refuse_overload(name: &str, answer: &HttpResponse) -> Result<()> {
    match answer.status {
        StatusCode::TOO_MANY_REQUESTS => Err(Error::new(
            ErrorKind::RateLimited,
            format!("the store refused {name} for its rate limit"),
        )),
        StatusCode::SERVICE_UNAVAILABLE => Err(Error::new(
            ErrorKind::StoreUnavailable,
            format!("the store refused {name} as unavailable"),
        )),
        _ => Ok(()),
    }
}

fn check_status(name: &str, answer: &HttpResponse) -> Result<()> {
    if answer.status.is_success() {
        return Ok(());
    }
    Err(bad_status(name, answer))
}

fn bad_status(name: &str, answer: &HttpResponse) -> Error {
    let text = String::from_utf8_lossy(&answer.body);
    let message = format!("the store answered {name} with status {}: {text}", answer.status);
    Error::new(ErrorKind::BadMessage, message)
}

fn unavailable(name: &str, fault: &HttpError) -> Error {
    Error::new(ErrorKind::StoreUnavailable, format!("store, {name}: {fault}"))
}

fn unknown(name: &str, fault: &HttpError) -> Error {
    match fault {
        HttpError::NotSent(_) => unavailable(name, fault),
        HttpError::NoResponse(_) => {
            Error::new(ErrorKind::StoreOutcomeUnknown, format!("store, {name}: {fault}"))
        }
    }
}
