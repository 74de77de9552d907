//! HTTP connector whose connections are reset instead of closed in an orderly way.
//!
//! During a network partition, a request that timed out may still be in the send buffer of its connection.
//! After an orderly close the kernel delivers it when the partition ends, possibly seconds after a newer
//! leader has sent its commands. A reset discards it.

use std::task::{Context, Poll};
use std::time::Duration;

use futures_util::future::BoxFuture;
use http::Uri;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tower_service::Service;

type ConnectError = <HttpConnector as Service<Uri>>::Error;

/// Connector that sets `SO_LINGER` to zero, so that closing a connection resets it.
#[derive(Debug, Clone)]
pub struct ResetConnector {
    inner: HttpConnector,
}

impl ResetConnector {
    /// Creates a connector that opens its connections with `inner`.
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
            // If the option cannot be set, the connection closes in an orderly way; the request need not fail
            // for that.
            let _ = socket2::SockRef::from(connection.inner()).set_linger(Some(Duration::ZERO));
            Ok(connection)
        })
    }
}
