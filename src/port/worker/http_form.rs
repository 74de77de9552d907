//! HTTP form of the worker interface: `POST /v1/workers/{instance}` with a call as JSON, answered with the
//! answer or an error body as JSON. The server exposes a stand-in fleet to several daemons.

use std::convert::Infallible;
use std::time::Duration;

use bytes::Bytes;
use http::{Method, Request, Response, StatusCode};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::{TokioExecutor, TokioIo};
use tokio::net::TcpListener;
use tokio::task::JoinSet;

use crate::error::{Error, ErrorBody, ErrorKind, Result};
use crate::model::id::InstanceId;
use crate::port::list::lagging::LaggingList;
use crate::port::worker::call::{WorkerAnswer, WorkerCall};
use crate::port::worker::client::WorkerTarget;
use crate::port::worker::fleet::WorkerFleet;

/// Largest accepted body of a call or an answer, in bytes.
const MAX_BODY: usize = 4 * 1024 * 1024;

/// Time after which an unanswered call counts as lost, unless set otherwise.
const DEFAULT_TIMEOUT: Duration = Duration::from_secs(2);

/// HTTP client of workers.
#[derive(Debug, Clone)]
pub struct WorkerHttpClient {
    client: Client<HttpConnector, Full<Bytes>>,
    timeout: Duration,
}

impl WorkerHttpClient {
    /// Creates a client with its own connections.
    pub fn new() -> Self {
        Self {
            client: Client::builder(TokioExecutor::new()).build_http(),
            timeout: DEFAULT_TIMEOUT,
        }
    }

    /// Sets the time after which an unanswered call counts as lost.
    #[must_use]
    pub fn with_timeout(mut self, timeout: Duration) -> Self {
        self.timeout = timeout;
        self
    }

    /// Makes a call.
    ///
    /// # Errors
    /// The worker's error; `worker_refused` if no connection was made; `outcome_unknown` if no answer arrived.
    pub async fn call(&self, target: &WorkerTarget, call: &WorkerCall) -> Result<WorkerAnswer> {
        let request = build_request(target, call)?;
        let exchange = self.exchange(request);
        let Ok(answer) = tokio::time::timeout(self.timeout, exchange).await else {
            let message = format!("worker {}: no answer in time", target.instance);
            return Err(Error::new(ErrorKind::OutcomeUnknown, message));
        };
        let (status, body) = answer?;
        if status.is_success() {
            return serde_json::from_slice(&body).map_err(|e| bad_message(&e));
        }
        let body: ErrorBody = serde_json::from_slice(&body).map_err(|e| bad_message(&e))?;
        Err(Error::new(body.error, body.message))
    }

    async fn exchange(&self, request: Request<Full<Bytes>>) -> Result<(StatusCode, Bytes)> {
        let sent = self.client.request(request).await;
        let answer = sent.map_err(|e| {
            let kind = if e.is_connect() {
                ErrorKind::WorkerRefused
            } else {
                ErrorKind::OutcomeUnknown
            };
            Error::new(kind, format!("worker call failed: {e}"))
        })?;
        let status = answer.status();
        let body = Limited::new(answer.into_body(), MAX_BODY).collect().await;
        let body = body.map_err(|e| Error::new(ErrorKind::OutcomeUnknown, format!("worker answer: {e}")))?;
        Ok((status, body.to_bytes()))
    }
}

impl Default for WorkerHttpClient {
    fn default() -> Self {
        Self::new()
    }
}

fn build_request(target: &WorkerTarget, call: &WorkerCall) -> Result<Request<Full<Bytes>>> {
    let uri = format!("http://{}/v1/workers/{}", target.address, target.instance);
    let body = serde_json::to_vec(call).map_err(|e| bad_message(&e))?;
    let request = Request::post(uri)
        .header(http::header::CONTENT_TYPE, "application/json")
        .body(Full::from(body));
    request.map_err(|e| Error::new(ErrorKind::BadRequest, format!("worker address: {e}")))
}

fn bad_message(error: &serde_json::Error) -> Error {
    Error::new(ErrorKind::BadMessage, format!("worker message: {error}"))
}

/// HTTP server of stand-in workers and of the instance list (`GET /v1/instances`).
#[derive(Debug, Clone)]
pub struct WorkerHttpServer {
    fleet: WorkerFleet,
    list: Option<LaggingList>,
}

impl WorkerHttpServer {
    /// Creates a server of the given fleet.
    pub fn new(fleet: WorkerFleet) -> Self {
        Self { fleet, list: None }
    }

    /// Also serves an instance list.
    #[must_use]
    pub fn with_list(mut self, list: LaggingList) -> Self {
        self.list = Some(list);
        self
    }

    /// Serves connections until the listener fails. Dropping the future closes all connections.
    ///
    /// # Errors
    /// `internal` if no connection can be accepted any more.
    pub async fn serve(self, listener: TcpListener) -> Result<()> {
        let mut connections = JoinSet::new();
        loop {
            let accepted = listener.accept().await;
            let (stream, _) = accepted.map_err(|e| Error::new(ErrorKind::Internal, e.to_string()))?;
            let server = self.clone();
            while connections.try_join_next().is_some() {}
            connections.spawn(async move {
                let service = service_fn(move |request| {
                    let server = server.clone();
                    async move { Ok::<_, Infallible>(server.answer(request).await) }
                });
                let connection = hyper::server::conn::http1::Builder::new();
                // A failed connection ends only itself; its client sees the lost answer.
                drop(connection.serve_connection(TokioIo::new(stream), service).await);
            });
        }
    }

    /// Answers one request.
    pub async fn answer(&self, request: Request<Incoming>) -> Response<Full<Bytes>> {
        let answer = match (request.method(), request.uri().path()) {
            (&Method::GET, "/v1/instances") => self.instances(),
            (&Method::POST, path) => match path.strip_prefix("/v1/workers/") {
                Some(instance) => {
                    let instance = instance.to_owned();
                    self.worker_call(&instance, request).await
                }
                None => Err(Error::new(ErrorKind::NotFound, "no such path")),
            },
            _ => Err(Error::new(ErrorKind::NotFound, "no such path")),
        };
        let (status, body) = match answer {
            Ok(body) => (200, body),
            Err(error) => {
                let body = serde_json::to_vec(&error.body()).unwrap_or_default();
                (error.kind().response().status, body)
            }
        };
        let mut response = Response::new(Full::from(body));
        *response.status_mut() = StatusCode::from_u16(status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
        response
    }

    fn instances(&self) -> Result<Vec<u8>> {
        let Some(list) = &self.list else {
            return Err(Error::new(ErrorKind::NotFound, "no instance list is served"));
        };
        serde_json::to_vec(&list.read()?).map_err(|e| bad_message(&e))
    }

    async fn worker_call(&self, instance: &str, request: Request<Incoming>) -> Result<Vec<u8>> {
        let instance: InstanceId = instance.parse()?;
        let body = Limited::new(request.into_body(), MAX_BODY).collect().await;
        let body = body.map_err(|e| Error::new(ErrorKind::BadMessage, format!("worker call: {e}")))?;
        let call = serde_json::from_slice(&body.to_bytes()).map_err(|e| bad_message(&e))?;
        let answer = self.fleet.call(&instance, &call)?;
        serde_json::to_vec(&answer).map_err(|e| bad_message(&e))
    }
}
