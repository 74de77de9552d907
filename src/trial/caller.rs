//! HTTP client of the trial's callers.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, Method, Request, StatusCode, header};
use http_body_util::{BodyExt, Full, Limited};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;

use crate::error::{ErrorBody, WorkOutcome};
use crate::trial::ledger::CallEnd;

/// Longest time that a caller waits; above every deadline of the sample services.
const CALL_TIMEOUT: Duration = Duration::from_secs(12);
/// Largest answer that a caller reads.
const MAX_ANSWER: usize = 1 << 20;
/// Header by which the backend stand-in tells requests apart.
const LABEL_HEADER: &str = "x-label";

/// One request of a caller.
#[derive(Debug, Clone)]
pub struct CallerRequest {
    /// Method.
    pub method: Method,
    /// Path and query.
    pub target: String,
    /// Key, if any.
    pub key: Option<Arc<str>>,
    /// Ticket, if any.
    pub ticket: Option<String>,
    /// Label.
    pub label: Arc<str>,
    /// Body.
    pub body: Bytes,
}

/// What a caller received: status and whole body, or nothing.
#[derive(Debug, Clone)]
pub struct CallerAnswer {
    /// Status.
    pub status: StatusCode,
    /// Headers.
    pub headers: HeaderMap,
    /// Whole body.
    pub body: Bytes,
}

/// A caller.
#[derive(Debug, Clone)]
pub struct TrialCaller {
    client: Client<HttpConnector, Full<Bytes>>,
}

impl TrialCaller {
    /// Creates a caller with its own connections.
    pub fn new() -> Self {
        Self {
            client: Client::builder(TokioExecutor::new()).build_http(),
        }
    }

    /// Sends a request; absent if no whole answer arrived.
    pub async fn send(&self, entry: SocketAddr, request: &CallerRequest) -> Option<CallerAnswer> {
        let mut head = Request::builder()
            .method(request.method.clone())
            .uri(format!("http://{entry}{}", request.target))
            .header(LABEL_HEADER, request.label.as_ref());
        if let Some(key) = &request.key {
            head = head.header(header::AUTHORIZATION, format!("Bearer {key}"));
        }
        if let Some(ticket) = &request.ticket {
            head = head.header("x-figloft-ticket", ticket);
        }
        let call = self
            .client
            .request(head.body(Full::new(request.body.clone())).ok()?);
        let exchange = async {
            let (parts, body) = call.await.ok()?.into_parts();
            let body = Limited::new(body, MAX_ANSWER).collect().await.ok()?.to_bytes();
            Some(CallerAnswer {
                status: parts.status,
                headers: parts.headers,
                body,
            })
        };
        tokio::time::timeout(CALL_TIMEOUT, exchange).await.ok()?
    }

    /// Sends a request for work that answers with its own label.
    pub async fn send_work(&self, entry: SocketAddr, request: &CallerRequest) -> CallEnd {
        match self.send(entry, request).await {
            None => CallEnd::NoAnswer,
            Some(answer) => read_end(&answer),
        }
    }
}

impl Default for TrialCaller {
    fn default() -> Self {
        Self::new()
    }
}

/// How an answer ends a call: an error body with an outcome, or the label in the body.
pub fn read_end(answer: &CallerAnswer) -> CallEnd {
    if answer.status.is_success() {
        let label = String::from_utf8_lossy(&answer.body);
        return CallEnd::Answered(Arc::from(label.as_ref()));
    }
    let outcome = answer
        .headers
        .get("x-figloft-outcome")
        .and_then(|value| value.to_str().ok());
    let outcome = match outcome {
        Some("not-run") => WorkOutcome::NotRun,
        Some("unknown") => WorkOutcome::Unknown,
        Some("ran") => WorkOutcome::Ran,
        _ => return CallEnd::NoAnswer,
    };
    match serde_json::from_slice::<ErrorBody>(&answer.body) {
        Ok(body) => CallEnd::Refused(body.error, outcome),
        Err(_) => CallEnd::NoAnswer,
    }
}
