//! Connections to backend servers.

use std::time::Duration;

use http::{Request, Response};
use hyper::body::Incoming;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::{TokioExecutor, TokioTimer};

use crate::connection::backend_body::BackendBody;
use crate::error;

/// Time within which an idle connection is used again. Silent middleboxes drop idle connections, so that
/// connections are not kept for long.
const IDLE_TIMEOUT: Duration = Duration::from_secs(20);

/// Why a backend server gave no answer.
#[derive(Debug)]
pub struct SendError {
    /// Whether certainly no byte of the request left.
    pub is_not_sent: bool,
    /// Detail for logs and error messages.
    pub detail: String,
}

/// Client for all backend servers. Dropping a call or an unfinished answer closes its connection, so that
/// no connection is used again after a time-out or a cut answer.
#[derive(Debug, Clone)]
pub struct BackendClient {
    client: Client<HttpConnector, BackendBody>,
}

impl BackendClient {
    /// Creates a client.
    ///
    /// `connect_timeout` bounds the TCP handshake; `idle_connections` bounds the idle connections per server.
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

    /// Sends a request and waits for the head of the answer.
    ///
    /// # Errors
    /// The fault, with whether it proves that nothing was sent.
    pub async fn send(&self, request: Request<BackendBody>) -> Result<Response<Incoming>, SendError> {
        self.client.request(request).await.map_err(|error| SendError {
            is_not_sent: error.is_connect(),
            detail: error::describe(&error),
        })
    }
}
