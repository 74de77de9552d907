//! The store behind HTTP. Errors before a connection exists prove that nothing was sent.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, Method, Request, StatusCode, header};
use http_body_util::{BodyExt, Full, Limited};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::{TokioExecutor, TokioTimer};

use crate::model::id::{LeaseId, StoreRevision};
use crate::port::store::call::{
    MAX_LISTING_BYTES, MAX_VALUE_BYTES, PutExpect, StoreError, StoreListing, StoreResult, StoreValue,
    check_key,
};

/// Header with the revision of a value.
pub const REVISION_HEADER: &str = "x-revision";

/// Header that names the lease of a put.
pub const LEASE_HEADER: &str = "x-lease";

/// Header that tells refusals with the same status apart.
pub const REASON_HEADER: &str = "x-reason";

/// Reason of a refusal because a lease has ended.
pub const REASON_LEASE_ENDED: &str = "lease-ended";

/// Largest body of an answer: a full listing, one more value and the encoding around them.
const MAX_ANSWER_BYTES: usize = MAX_LISTING_BYTES + 2 * MAX_VALUE_BYTES;

/// Idle connections are closed early, since a middlebox may drop them silently.
const POOL_IDLE: Duration = Duration::from_secs(10);

/// Longest time for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// A store behind HTTP.
#[derive(Debug, Clone)]
pub struct HttpStore {
    client: Client<HttpConnector, Full<Bytes>>,
    base: Arc<str>,
}

/// An answer with its whole body.
struct HttpAnswer {
    status: StatusCode,
    headers: HeaderMap,
    body: Bytes,
}

impl HttpStore {
    /// Creates a client of the store at an address.
    pub fn new(address: SocketAddr) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
        let client = Client::builder(TokioExecutor::new())
            .pool_idle_timeout(POOL_IDLE)
            .pool_timer(TokioTimer::new())
            .build(connector);
        Self {
            client,
            base: format!("http://{address}/v1").into(),
        }
    }

    pub(super) async fn get(&self, key: &str) -> StoreResult<Option<StoreValue>> {
        check_key(key)?;
        let answer = self
            .send(Method::GET, &format!("/kv/{key}"), &[], Bytes::new())
            .await?;
        if answer.status == StatusCode::NOT_FOUND {
            return Ok(None);
        }
        answer.check()?;
        Ok(Some(StoreValue {
            key: Arc::from(key),
            revision: answer.revision()?,
            value: answer.body,
        }))
    }

    pub(super) async fn put(
        &self,
        key: &str,
        value: Bytes,
        expect: PutExpect,
        lease: Option<LeaseId>,
    ) -> StoreResult<StoreRevision> {
        check_key(key)?;
        let mut headers = condition(expect);
        if let Some(id) = lease {
            headers.push((LEASE_HEADER, id.to_string()));
        }
        let answer = self
            .send(Method::PUT, &format!("/kv/{key}"), &headers, value)
            .await?;
        answer.check()?;
        answer.revision()
    }

    pub(super) async fn delete(&self, key: &str, expect: PutExpect) -> StoreResult<()> {
        check_key(key)?;
        let path = format!("/kv/{key}");
        let answer = self
            .send(Method::DELETE, &path, &condition(expect), Bytes::new())
            .await?;
        answer.check()
    }

    pub(super) async fn list(
        &self,
        prefix: &str,
        after: &str,
        limit: usize,
        keys_only: bool,
    ) -> StoreResult<StoreListing> {
        check_key(prefix)?;
        check_key(after)?;
        let path = format!("/list?prefix={prefix}&after={after}&limit={limit}&keys_only={keys_only}");
        self.listing(&path).await
    }

    pub(super) async fn watch(
        &self,
        prefix: &str,
        after: StoreRevision,
        wait: Duration,
    ) -> StoreResult<StoreListing> {
        check_key(prefix)?;
        let path = format!(
            "/watch?prefix={prefix}&after={after}&wait_ms={}",
            wait.as_millis()
        );
        self.listing(&path).await
    }

    pub(super) async fn grant_lease(&self, ttl: Duration) -> StoreResult<LeaseId> {
        let path = format!("/lease?ttl_ms={}", ttl.as_millis());
        let answer = self.send(Method::POST, &path, &[], Bytes::new()).await?;
        answer.check()?;
        let text = std::str::from_utf8(&answer.body).unwrap_or_default();
        text.parse().ok().ok_or_else(|| malformed("a lease id"))
    }

    pub(super) async fn renew_lease(&self, id: LeaseId) -> StoreResult<()> {
        let answer = self
            .send(Method::PUT, &format!("/lease/{id}"), &[], Bytes::new())
            .await?;
        answer.check()
    }

    pub(super) async fn revoke_lease(&self, id: LeaseId) -> StoreResult<()> {
        let path = format!("/lease/{id}");
        let answer = self.send(Method::DELETE, &path, &[], Bytes::new()).await?;
        answer.check()
    }

    async fn listing(&self, path: &str) -> StoreResult<StoreListing> {
        let answer = self.send(Method::GET, path, &[], Bytes::new()).await?;
        answer.check()?;
        ciborium::from_reader(answer.body.as_ref())
            .ok()
            .ok_or_else(|| malformed("a listing"))
    }

    async fn send(
        &self,
        method: Method,
        path: &str,
        headers: &[(&str, String)],
        body: Bytes,
    ) -> StoreResult<HttpAnswer> {
        let mut request = Request::builder()
            .method(method)
            .uri(format!("{}{path}", self.base));
        for (name, value) in headers {
            request = request.header(*name, value);
        }
        let request = request
            .body(Full::new(body))
            .map_err(|e| StoreError::Malformed(e.to_string().into()))?;
        let response = self.client.request(request).await.map_err(|e| {
            if e.is_connect() {
                StoreError::Unavailable
            } else {
                StoreError::TimedOut
            }
        })?;
        let (parts, body) = response.into_parts();
        let body = Limited::new(body, MAX_ANSWER_BYTES).collect().await;
        // A truncated answer to a write says nothing about its effect.
        let body = body.or(Err(StoreError::TimedOut))?.to_bytes();
        Ok(HttpAnswer {
            status: parts.status,
            headers: parts.headers,
            body,
        })
    }
}

impl HttpAnswer {
    fn check(&self) -> StoreResult<()> {
        match self.status {
            status if status.is_success() => Ok(()),
            StatusCode::PRECONDITION_FAILED => Err(StoreError::Conflict {
                current: self.revision().ok(),
            }),
            StatusCode::PAYLOAD_TOO_LARGE => Err(StoreError::TooLarge),
            StatusCode::TOO_MANY_REQUESTS => Err(StoreError::RateLimited),
            StatusCode::SERVICE_UNAVAILABLE => Err(StoreError::Unavailable),
            StatusCode::GONE if self.has_reason(REASON_LEASE_ENDED) => Err(StoreError::LeaseEnded),
            StatusCode::BAD_REQUEST => {
                let text = String::from_utf8_lossy(&self.body);
                Err(StoreError::Malformed(text.into()))
            }
            _ => Err(StoreError::TimedOut),
        }
    }

    fn has_reason(&self, reason: &str) -> bool {
        self.headers
            .get(REASON_HEADER)
            .is_some_and(|value| value.as_bytes() == reason.as_bytes())
    }

    fn revision(&self) -> StoreResult<StoreRevision> {
        self.headers
            .get(REVISION_HEADER)
            .and_then(|value| value.to_str().ok())
            .and_then(|text| text.parse().ok())
            .ok_or_else(|| malformed("a revision"))
    }
}

fn condition(expect: PutExpect) -> Vec<(&'static str, String)> {
    match expect {
        PutExpect::Absent => vec![(header::IF_NONE_MATCH.as_str(), "*".to_owned())],
        PutExpect::Revision(revision) => vec![(header::IF_MATCH.as_str(), revision.to_string())],
        PutExpect::Any => Vec::new(),
    }
}

fn malformed(expected: &str) -> StoreError {
    StoreError::Malformed(format!("the store's answer does not hold {expected}").into())
}
