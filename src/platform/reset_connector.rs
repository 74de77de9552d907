//! Connections that are reset when they are closed.
//!
//! A call that ran into its time-out may lie in the buffers of a connection that a partition holds up. An orderly close
//! would still deliver it once the partition heals, seconds after a newer holder has given orders; a reset discards it.

use std::task::{Context, Poll};
use std::time::Duration;

use futures_util::future::BoxFuture;
use http::Uri;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tower_service::Service;

type ConnectError = <HttpConnector as Service<Uri>>::Error;

/// Opens connections that are reset when they are closed.
#[derive(Debug, Clone)]
pub struct ResetConnector {
    inner: HttpConnector,
}

impl ResetConnector {
    /// Creates the connector.
    pub fn new(inner: HttpConnector) -> Self {
        Self { inner }
    }
}

impl Service<Uri> for ResetConnector {
    type Response = TokioIo<TcpStream>;
    type Error = ConnectError;
    type Future = BoxFuture<'static, Result<Self::Response, Self::Error>>;

    fn poll_ready(&mut self, cx: &mut Context<'_>) -> Poll<Result<(), Self::Error>> {
        self.inner.poll_ready(cx)
    }

    fn call(&mut self, req: Uri) -> Self::Future {
        let connecting = self.inner.call(req);
        Box::pin(async move {
            let connection = connecting.await?;
            // Without the option the connection is closed in order, which is no reason to fail the call.
            let _ = socket2::SockRef::from(connection.inner()).set_linger(Some(Duration::ZERO));
            Ok(connection)
        })
    }
}
