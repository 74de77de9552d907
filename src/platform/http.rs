//! Calls over HTTP with a time-out each. One client for each host, so that a host whose connection went silent gets
//! new connections only.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderName, HeaderValue, Method, Request, StatusCode, header};
use http_body_util::{BodyExt, Full, Limited};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::{TokioExecutor, TokioTimer};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

use crate::error::{self, Error, ErrorKind, Result};
use crate::platform::reset_connector::ResetConnector;

/// Longest time for opening a connection. A lost opening packet is sent again after seconds, so that a new attempt
/// is faster.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Time after which an idle connection is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(20);

/// Idle connections kept for each host.
const MAX_IDLE_CONNECTIONS: usize = 6;

/// Largest answer: a page of the store's items.
const MAX_RESPONSE_BYTES: usize = 4 << 20;

type HostClient = Client<ResetConnector, Full<Bytes>>;

/// Client for all calls to the platform.
#[derive(Debug, Clone, Default)]
pub struct HttpClient {
    hosts: Arc<Mutex<BTreeMap<SocketAddr, HostClient>>>,
}

/// One call.
#[derive(Debug, Clone)]
pub struct HttpRequest {
    /// Where.
    pub address: SocketAddr,
    /// Method.
    pub method: Method,
    /// Path with its query.
    pub path: String,
    /// Headers.
    pub headers: Vec<(HeaderName, HeaderValue)>,
    /// Body, empty if there is none.
    pub body: Bytes,
    /// Time for the whole call.
    pub timeout: Duration,
}

/// A response.
#[derive(Debug, Clone)]
pub struct HttpResponse {
    /// Status.
    pub status: StatusCode,
    /// Body.
    pub body: Bytes,
}

/// Why a call gave no response.
#[derive(Debug, Clone, PartialEq, Eq, derive_more::Display)]
pub enum HttpError {
    /// No byte of the call left.
    #[display("not sent: {_0}")]
    NotSent(String),
    /// The call may have been carried out, or may be later.
    #[display("no answer: {_0}")]
    NoResponse(String),
}

impl HttpRequest {
    /// Creates a call without headers and body.
    pub fn new(address: SocketAddr, method: Method, path: impl Into<String>, timeout: Duration) -> Self {
        Self {
            address,
            method,
            path: path.into(),
            headers: Vec::new(),
            body: Bytes::new(),
            timeout,
        }
    }

    /// Sets a JSON body.
    ///
    /// # Errors
    /// `internal` if the body cannot be encoded.
    pub fn with_json(mut self, body: &impl Serialize) -> Result<Self> {
        let json = serde_json::to_vec(body)
            .map_err(|error| Error::new(ErrorKind::Internal, format!("body of a call: {error}")))?;
        self.body = json.into();
        Ok(self)
    }

    /// Adds a header; a value that HTTP does not allow is an internal fault of the caller's.
    ///
    /// # Errors
    /// `internal` if the value is not allowed.
    pub fn with_header(mut self, name: &'static str, value: &str) -> Result<Self> {
        let value = HeaderValue::from_str(value)
            .map_err(|error| Error::new(ErrorKind::Internal, format!("header {name}: {error}")))?;
        self.headers.push((HeaderName::from_static(name), value));
        Ok(self)
    }
}

impl HttpResponse {
    /// Decodes the body.
    ///
    /// # Errors
    /// `bad_message` if it is malformed.
    pub fn json<T: DeserializeOwned>(&self) -> Result<T> {
        serde_json::from_slice(&self.body).map_err(|error| {
            let message = format!("answer with status {}: {error}", self.status);
            Error::new(ErrorKind::BadMessage, message)
        })
    }

    /// Why an order was refused; empty if the answer does not say it.
    pub fn reason(&self) -> String {
        self.json::<WireRefusal>().unwrap_or_default().reason
    }
}

#[derive(Debug, Default, Deserialize)]
struct WireRefusal {
    #[serde(default)]
    reason: String,
}

impl HttpClient {
    /// Creates a client.
    pub fn new() -> Self {
        Self::default()
    }

    fn client(&self, address: SocketAddr) -> HostClient {
        let mut hosts = self.hosts.lock().unwrap_or_else(PoisonError::into_inner);
        hosts.entry(address).or_insert_with(build_client).clone()
    }

    /// Closes the idle connections to a host.
    fn drop_client(&self, address: SocketAddr) {
        let mut hosts = self.hosts.lock().unwrap_or_else(PoisonError::into_inner);
        hosts.remove(&address);
    }

    /// Makes a call.
    ///
    /// # Errors
    /// The fault, with whether it proves that nothing was sent.
    pub async fn send(&self, request: HttpRequest) -> std::result::Result<HttpResponse, HttpError> {
        let address = request.address;
        let timeout = request.timeout;
        let client = self.client(address);
        match tokio::time::timeout(timeout, exchange(client, request)).await {
            Ok(Ok(response)) => Ok(response),
            Ok(Err(error)) => Err(error),
            Err(_) => {
                // Other idle connections may have gone silent with this one.
                self.drop_client(address);
                Err(HttpError::NoResponse(format!(
                    "time-out after {} ms",
                    timeout.as_millis()
                )))
            }
        }
    }
}

fn build_client() -> HostClient {
    let mut connector = HttpConnector::new();
    connector.set_nodelay(true);
    connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
    Client::builder(TokioExecutor::new())
        .pool_timer(TokioTimer::new())
        .pool_idle_timeout(IDLE_TIMEOUT)
        .pool_max_idle_per_host(MAX_IDLE_CONNECTIONS)
        .build(ResetConnector::new(connector))
}

async fn exchange(client: HostClient, request: HttpRequest) -> std::result::Result<HttpResponse, HttpError> {
    let uri = format!("http://{}{}", request.address, request.path);
    let mut builder = Request::builder().method(request.method).uri(uri);
    for (name, value) in request.headers {
        builder = builder.header(name, value);
    }
    if !request.body.is_empty() {
        builder = builder.header(header::CONTENT_TYPE, "application/json");
    }
    let request = builder
        .body(Full::new(request.body))
        .map_err(|error| HttpError::NotSent(error.to_string()))?;
    let response = client.request(request).await.map_err(|error| {
        let detail = error::describe(&error);
        if error.is_connect() {
            HttpError::NotSent(detail)
        } else {
            HttpError::NoResponse(detail)
        }
    })?;
    let status = response.status();
    let body = Limited::new(response.into_body(), MAX_RESPONSE_BYTES)
        .collect()
        .await;
    let body = body.map_err(|error| HttpError::NoResponse(format!("answer was cut: {error}")))?;
    Ok(HttpResponse {
        status,
        body: body.to_bytes(),
    })
}
