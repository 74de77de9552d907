//! HTTP client for backend servers, with pooled connections.

use std::time::Duration;

use http::{Request, Response};
use hyper::body::Incoming;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::{TokioExecutor, TokioTimer};

use crate::connection::backend_body::BackendBody;
use crate::error;

/// Time after which an idle connection is closed. It is short because firewalls and load balancers drop idle
/// connections without notice.
const IDLE_TIMEOUT: Duration = Duration::from_secs(20);

/// Failure to get a response from a backend server.
#[derive(Debug)]
pub struct SendError {
    /// Whether it is certain that no byte of the request was sent, because connecting failed.
    pub is_not_sent: bool,
    /// The error and its causes, for logs and error messages.
    pub detail: String,
}

/// Client for all backend servers. Dropping a request or an incomplete response closes its connection, so
/// that no connection is used again after a time-out or a truncated response.
#[derive(Debug, Clone)]
pub struct BackendClient {
    client: Client<HttpConnector, BackendBody>,
}

impl BackendClient {
    /// Creates a client. `connect_timeout` limits the TCP handshake; `idle_connections` limits the idle
    /// connections per backend server.
    pub fn new(connect_timeout: Duration, idle_connections: usize) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_connect_timeout(Some(connect_timeout));
        connector.set_nodelay(true);
        let client = Client::builder(TokioExecutor::new())
            .pool_timer(TokioTimer::new())
            .pool_idle_timeout(IDLE_TIMEOUT)
            .pool_max_idle_per_host(idle_connections)
            .build(connector);
        Self { client }
    }

    /// Sends a request and waits for the head of the response.
    ///
    /// # Errors
    /// [`SendError`] if no response head arrived; it tells whether the request can have been sent.
    pub async fn send(&self, request: Request<BackendBody>) -> Result<Response<Incoming>, SendError> {
        self.client.request(request).await.map_err(|error| SendError {
            is_not_sent: error.is_connect(),
            detail: error::describe(&error),
        })
    }
}
