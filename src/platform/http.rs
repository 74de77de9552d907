//! HTTP client with a timeout for each request.
//!
//! Each host has a connection pool of its own. When a request times out, the pool of its host is dropped, so
//! that later requests to that host open new connections.

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
use percent_encoding::{AsciiSet, NON_ALPHANUMERIC, PercentEncode};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

use crate::error::{self, Error, ErrorKind, Result};
use crate::platform::reset_connector::ResetConnector;

/// Timeout for opening a connection. TCP resends a lost SYN packet only after a second or more, so that a new
/// attempt is faster.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

const IDLE_TIMEOUT: Duration = Duration::from_secs(20);

/// Maximum number of idle connections to a host.
const MAX_IDLE_CONNECTIONS: usize = 6;

/// Maximum size of a response body. The largest responses are pages of store items.
const MAX_RESPONSE_BYTES: usize = 4 << 20;

/// Characters of a query value that are escaped: all but letters, digits and those without a meaning in a query.
const ESCAPED_CHARACTERS: &AsciiSet = &NON_ALPHANUMERIC
    .remove(b'-')
    .remove(b'.')
    .remove(b'/')
    .remove(b'_')
    .remove(b'~');

type HostClient = Client<ResetConnector, Full<Bytes>>;

/// HTTP client for all requests to the platform. Clones share their connections.
#[derive(Debug, Clone, Default)]
pub struct HttpClient {
    hosts: Arc<Mutex<BTreeMap<SocketAddr, HostClient>>>,
}

/// A request to the host at `address`.
#[derive(Debug, Clone)]
#[expect(missing_docs, reason = "the fields are the usual parts of an HTTP request")]
pub struct HttpRequest {
    pub address: SocketAddr,
    pub method: Method,
    /// Path and query.
    pub path: String,
    pub headers: Vec<(HeaderName, HeaderValue)>,
    /// JSON, or empty if the request has no body.
    pub body: Bytes,
    /// Timeout for the whole request, from connecting to the last byte of the response.
    pub timeout: Duration,
}

/// A response whose body has been received completely.
#[derive(Debug, Clone)]
#[expect(missing_docs, reason = "status and body need no description")]
pub struct HttpResponse {
    pub status: StatusCode,
    pub body: Bytes,
}

/// Why a request has no response.
#[derive(Debug, Clone, PartialEq, Eq, derive_more::Display)]
pub enum HttpError {
    /// No byte of the request was sent, so that it certainly had no effect.
    #[display("not sent: {_0}")]
    NotSent(String),
    /// The request may have been executed, or may still be executed later.
    #[display("no response: {_0}")]
    NoResponse(String),
}

/// Escapes a value of a query, for example a key that another program has chosen.
pub fn escape_query(value: &str) -> PercentEncode<'_> {
    percent_encoding::utf8_percent_encode(value, ESCAPED_CHARACTERS)
}

impl HttpRequest {
    /// Creates a request without headers and body.
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
        let json = serde_json::to_vec(body).map_err(|error| {
            Error::new(
                ErrorKind::Internal,
                format!("cannot encode a request body: {error}"),
            )
        })?;
        self.body = json.into();
        Ok(self)
    }

    /// Adds a header.
    ///
    /// # Errors
    /// `internal` if HTTP does not allow the value in a header.
    pub fn with_header(mut self, name: &'static str, value: &str) -> Result<Self> {
        let value = HeaderValue::from_str(value)
            .map_err(|error| Error::new(ErrorKind::Internal, format!("header {name}: {error}")))?;
        self.headers.push((HeaderName::from_static(name), value));
        Ok(self)
    }
}

impl HttpResponse {
    /// Decodes the JSON body.
    ///
    /// # Errors
    /// `bad_message` if the body is malformed.
    pub fn json<T: DeserializeOwned>(&self) -> Result<T> {
        serde_json::from_slice(&self.body).map_err(|error| {
            let message = format!("malformed response with status {}: {error}", self.status);
            Error::new(ErrorKind::BadMessage, message)
        })
    }

    /// Reason that the platform gives for refusing a request; empty if it gives none.
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
    /// Creates a client without open connections.
    pub fn new() -> Self {
        Self::default()
    }

    fn client(&self, address: SocketAddr) -> HostClient {
        let mut hosts = self.hosts.lock().unwrap_or_else(PoisonError::into_inner);
        hosts.entry(address).or_insert_with(build_client).clone()
    }

    /// Drops the client of a host, which closes the idle connections to it.
    fn drop_client(&self, address: SocketAddr) {
        let mut hosts = self.hosts.lock().unwrap_or_else(PoisonError::into_inner);
        hosts.remove(&address);
    }

    /// Sends a request and reads the response, whatever its status.
    ///
    /// # Errors
    /// [`HttpError::NotSent`] if the request certainly was not sent, otherwise [`HttpError::NoResponse`].
    pub async fn send(&self, request: HttpRequest) -> std::result::Result<HttpResponse, HttpError> {
        let address = request.address;
        let timeout = request.timeout;
        let client = self.client(address);
        match tokio::time::timeout(timeout, exchange(client, request)).await {
            Ok(Ok(response)) => Ok(response),
            Ok(Err(error)) => Err(error),
            Err(_) => {
                // Whatever made this connection unresponsive may affect the idle connections to the host too.
                self.drop_client(address);
                Err(HttpError::NoResponse(format!(
                    "timed out after {} ms",
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
    let body =
        body.map_err(|error| HttpError::NoResponse(format!("the response body could not be read: {error}")))?;
    Ok(HttpResponse {
        status,
        body: body.to_bytes(),
    })
}
