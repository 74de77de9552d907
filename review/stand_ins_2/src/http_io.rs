//! HTTP server and client of the stand-ins.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::{Request, Response, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::{TokioExecutor, TokioIo};
use serde_json::Value;
use tokio::net::TcpListener;

pub type Answer = Response<Full<Bytes>>;
pub type CallerClient = Client<HttpConnector, Full<Bytes>>;

pub fn json(status: u16, body: &Value) -> Answer {
    let mut response = Response::new(Full::new(Bytes::from(body.to_string())));
    *response.status_mut() = StatusCode::from_u16(status).expect("status");
    response
}

pub async fn read_body(request: Request<Incoming>) -> Value {
    let body = request.into_body().collect().await;
    let bytes = body.map(http_body_util::Collected::to_bytes).unwrap_or_default();
    serde_json::from_slice(&bytes).unwrap_or(Value::Null)
}

/// Serves requests on an unused port of 127.0.0.1.
pub async fn serve<S, F>(handler: S) -> SocketAddr
where
    S: Fn(Request<Incoming>) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = Answer> + Send,
{
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("listener");
    let address = listener.local_addr().expect("address");
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let _ = stream.set_nodelay(true);
            let handler = handler.clone();
            tokio::spawn(async move {
                let service = service_fn(move |request| {
                    let response = handler(request);
                    async move { Ok::<_, Infallible>(response.await) }
                });
                let connection = hyper::server::conn::http1::Builder::new();
                let _ = connection.serve_connection(TokioIo::new(stream), service).await;
            });
        }
    });
    address
}

pub fn caller_client() -> CallerClient {
    Client::builder(TokioExecutor::new()).build_http()
}

/// Sends a caller's request. Returns the status, 0 if there is no answer within 3 s, and the JSON body.
pub async fn call(
    client: &CallerClient,
    method: &str,
    node: SocketAddr,
    path: &str,
    key: Option<&str>,
    body: &Value,
) -> (u16, Value) {
    let text = if body.is_null() {
        String::new()
    } else {
        body.to_string()
    };
    let mut request = Request::builder()
        .method(method)
        .uri(format!("http://{node}{path}"))
        .header("host", "jobs.example")
        .header("figloft-deadline-ms", "3000");
    if let Some(key) = key {
        request = request.header("authorization", format!("Token {key}"));
    }
    let request = request.body(Full::new(Bytes::from(text))).expect("request");
    let response = tokio::time::timeout(Duration::from_secs(3), client.request(request)).await;
    let Ok(Ok(response)) = response else {
        return (0, Value::Null);
    };
    let status = response.status().as_u16();
    let body = response.into_body().collect().await;
    let bytes = body.map(http_body_util::Collected::to_bytes).unwrap_or_default();
    (status, serde_json::from_slice(&bytes).unwrap_or(Value::Null))
}
