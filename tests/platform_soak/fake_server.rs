//! HTTP server of the fakes.

use std::io;
use std::net::SocketAddr;

use bytes::Bytes;
use http::{Request, Response, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use serde_json::Value;
use tokio::net::TcpListener;

/// Response of a fake.
pub type FakeResponse = Response<Full<Bytes>>;

/// Builds a response with a JSON body.
pub fn json_response(status: u16, body: &Value) -> FakeResponse {
    let mut response = Response::new(Full::new(Bytes::from(body.to_string())));
    *response.status_mut() = StatusCode::from_u16(status).expect("status");
    response
}

/// Reads a request body as JSON; a malformed or incomplete body becomes null.
pub async fn read_body(request: Request<Incoming>) -> Value {
    let body = request
        .into_body()
        .collect()
        .await
        .map(http_body_util::Collected::to_bytes)
        .unwrap_or_default();
    serde_json::from_slice(&body).unwrap_or(Value::Null)
}

/// Marks a response in whose place the connection is closed.
#[derive(Debug, Clone)]
struct ClosedConnection;

/// Closes the connection without a response.
pub fn no_response() -> FakeResponse {
    let mut response = Response::default();
    response.extensions_mut().insert(ClosedConnection);
    response
}

/// Serves requests with `handler` on an unused port, each connection in a task of its own. Returns the
/// address.
pub async fn start<S, F>(handler: S) -> SocketAddr
where
    S: Fn(Request<Incoming>) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = FakeResponse> + Send,
{
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("listener");
    let address = listener.local_addr().expect("address");
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let handler = handler.clone();
            tokio::spawn(async move {
                let service = service_fn(move |request| {
                    let response = handler(request);
                    async move {
                        let response = response.await;
                        let is_closed = response.extensions().get::<ClosedConnection>().is_some();
                        if is_closed {
                            return Err(io::Error::from(io::ErrorKind::ConnectionAborted));
                        }
                        Ok(response)
                    }
                });
                let connection = hyper::server::conn::http1::Builder::new();
                let _ = connection.serve_connection(TokioIo::new(stream), service).await;
            });
        }
    });
    address
}
