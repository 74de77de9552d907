//! A stand-in backend server that records every request that really ran.
//!
//! Any path answers with the request's body. Query fields: `ms` run time, `bytes` size of the answer in place of
//! the body, `parts` number of frames of the answer, `gap_ms` time between frames, `chunked=1` no content-length,
//! `status` the status.

use std::collections::BTreeMap;
use std::convert::Infallible;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll};
use std::time::{Duration, SystemTime};

use bytes::Bytes;
use derive_more::Display;
use http::{HeaderValue, Request, Response, StatusCode};
use http_body::{Body, Frame, SizeHint};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinSet;
use tokio::time::Sleep;

use crate::model::unix_time::UnixMillis;
use crate::port::worker::http_form::WorkerHttpServer;
use crate::request::header_rule;

/// Time between the head and the cut of a cut answer.
const CUT_DELAY: Duration = Duration::from_millis(1);

/// Prefix of the worker interface.
const WORKER_PREFIX: &str = "/v1/workers/";

/// A fault that can be switched on.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum BackendFault {
    /// Works normally.
    #[default]
    None,
    /// Answers 500 at once.
    FailAll,
    /// Starts the work and never answers.
    Hang,
    /// Ends each answer after half of its bytes.
    Truncate,
    /// Answers after the given time.
    Late(Duration),
    /// Starts the work, then closes the connection without an answer.
    Close,
    /// Works and announces that it leaves.
    Leaving,
    /// Refuses all work before it starts.
    NotRun,
    /// Connections that are open when the fault is set go silent; new ones work.
    SilentConnections,
}

/// Error inside the stand-in that makes it close the connection.
#[derive(Debug, Clone, Copy, Display, derive_more::Error)]
#[display("the stand-in closes the connection")]
pub struct ConnectionClosed;

/// A request that ran.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RunRecord {
    /// Request id as sent by figloft.
    pub request: Arc<str>,
    /// Team as sent by figloft.
    pub team: Arc<str>,
    /// Label of the caller, from the header `x-label`.
    pub label: Arc<str>,
    /// Remaining time as sent by figloft.
    pub deadline_ms: Option<u64>,
    /// Bytes of the request's body.
    pub body_bytes: u64,
    /// Start.
    pub started: UnixMillis,
    /// End; absent while it runs.
    pub ended: Option<UnixMillis>,
    /// Whether the whole answer was handed to the connection.
    pub is_whole: bool,
}

#[derive(Debug, Default)]
struct StandInState {
    fault: BackendFault,
    silenced_below: u64,
    records: Vec<RunRecord>,
    open_connections: u64,
}

#[derive(Debug, Clone, Default)]
struct SharedState(Arc<Mutex<StandInState>>);

impl SharedState {
    fn lock(&self) -> MutexGuard<'_, StandInState> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A running stand-in. Dropping it closes its listener and connections.
#[derive(Debug)]
pub struct BackendStandIn {
    address: SocketAddr,
    state: SharedState,
    connections: Arc<AtomicU64>,
    accepting: tokio::task::JoinHandle<()>,
}

impl BackendStandIn {
    /// Starts a stand-in on a free loopback port.
    ///
    /// # Errors
    /// The operating system's error if no port can be bound.
    pub async fn start() -> std::io::Result<Self> {
        Self::start_beside(None).await
    }

    /// Starts a stand-in that also serves the worker interface of its instance at the same address.
    ///
    /// # Errors
    /// The operating system's error if no port can be bound.
    pub async fn start_beside(workers: Option<WorkerHttpServer>) -> std::io::Result<Self> {
        let listener = TcpListener::bind(("127.0.0.1", 0)).await?;
        let address = listener.local_addr()?;
        let state = SharedState::default();
        let connections = Arc::new(AtomicU64::new(0));
        let accepting = tokio::spawn(accept_all(
            listener,
            state.clone(),
            Arc::clone(&connections),
            workers,
        ));
        Ok(Self {
            address,
            state,
            connections,
            accepting,
        })
    }

    /// Address of the stand-in.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Switches a fault on, or off with [`BackendFault::None`].
    pub fn set_fault(&self, fault: BackendFault) {
        let mut state = self.state.lock();
        state.fault = fault;
        if fault == BackendFault::SilentConnections {
            state.silenced_below = self.connections.load(Ordering::SeqCst);
        }
    }

    /// Everything that ran, in order of start.
    pub fn records(&self) -> Vec<RunRecord> {
        self.state.lock().records.clone()
    }

    /// Number of connections accepted so far.
    pub fn accepted_connections(&self) -> u64 {
        self.connections.load(Ordering::SeqCst)
    }

    /// Number of connections that are open.
    pub fn open_connections(&self) -> u64 {
        self.state.lock().open_connections
    }
}

impl Drop for BackendStandIn {
    fn drop(&mut self) {
        self.accepting.abort();
    }
}

async fn accept_all(
    listener: TcpListener,
    state: SharedState,
    connections: Arc<AtomicU64>,
    workers: Option<WorkerHttpServer>,
) {
    let mut open = JoinSet::new();
    while let Ok((stream, _)) = listener.accept().await {
        let number = connections.fetch_add(1, Ordering::SeqCst);
        open.spawn(serve_connection(stream, number, state.clone(), workers.clone()));
        while open.try_join_next().is_some() {}
    }
}

async fn serve_connection(
    stream: TcpStream,
    number: u64,
    state: SharedState,
    workers: Option<WorkerHttpServer>,
) {
    drop(stream.set_nodelay(true));
    state.lock().open_connections += 1;
    let service_state = state.clone();
    let service = service_fn(move |request: Request<Incoming>| {
        let (state, workers) = (service_state.clone(), workers.clone());
        async move {
            match workers {
                Some(workers) if request.uri().path().starts_with(WORKER_PREFIX) => {
                    Ok(worker_answer(workers.answer(request).await).await)
                }
                _ => serve_request(request, number, state).await,
            }
        }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .serve_connection(TokioIo::new(stream), service);
    drop(connection.await);
    state.lock().open_connections -= 1;
}

async fn serve_request(
    request: Request<Incoming>,
    connection: u64,
    state: SharedState,
) -> Result<Response<AnswerBody>, ConnectionClosed> {
    let (fault, is_silent) = {
        let state = state.lock();
        (state.fault, connection < state.silenced_below)
    };
    if is_silent {
        std::future::pending::<Infallible>().await;
    }
    if request.uri().path() == "/healthz" {
        return Ok(health_answer(fault));
    }
    if fault == BackendFault::NotRun {
        return Ok(not_run_answer());
    }
    let query = query_fields(request.uri().query().unwrap_or_default());
    let (parts, body) = request.into_parts();
    let Ok(body) = body.collect().await else {
        return Err(ConnectionClosed);
    };
    let body = body.to_bytes();
    let run = start_run(&state, &parts, body.len() as u64);
    let wait = query.get("ms").copied().unwrap_or(0);
    tokio::time::sleep(Duration::from_millis(wait)).await;
    let bytes = match query.get("bytes") {
        Some(count) => Bytes::from(vec![b'x'; *count as usize]),
        None => body,
    };
    let mut answer = AnswerBody::new(bytes, run)
        .with_parts(query.get("parts").copied().unwrap_or(1))
        .with_gap(Duration::from_millis(query.get("gap_ms").copied().unwrap_or(0)));
    answer.is_chunked = query.get("chunked") == Some(&1);
    let asked = query.get("status").and_then(|code| u16::try_from(*code).ok());
    let asked = asked.and_then(|code| StatusCode::from_u16(code).ok());
    let mut status = asked.unwrap_or(StatusCode::OK);
    match fault {
        BackendFault::FailAll => status = StatusCode::INTERNAL_SERVER_ERROR,
        BackendFault::Hang => std::future::pending().await,
        BackendFault::Close => return Err(ConnectionClosed),
        BackendFault::Truncate => answer = answer.with_cut(),
        BackendFault::Late(delay) => tokio::time::sleep(delay).await,
        BackendFault::None
        | BackendFault::Leaving
        | BackendFault::NotRun
        | BackendFault::SilentConnections => {}
    }
    let mut response = Response::new(answer);
    *response.status_mut() = status;
    if fault == BackendFault::Leaving {
        let value = HeaderValue::from_static("1");
        response.headers_mut().insert(header_rule::LEAVING, value);
    }
    Ok(response)
}

async fn worker_answer(answer: Response<Full<Bytes>>) -> Response<AnswerBody> {
    let (parts, body) = answer.into_parts();
    // A body in memory cannot fail.
    let body = body.collect().await.unwrap_or_default().to_bytes();
    Response::from_parts(parts, AnswerBody::plain(body))
}

fn health_answer(fault: BackendFault) -> Response<AnswerBody> {
    let mut response = Response::new(AnswerBody::plain("ok\n"));
    if matches!(
        fault,
        BackendFault::FailAll | BackendFault::NotRun | BackendFault::Hang
    ) {
        *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
    }
    response
}

fn not_run_answer() -> Response<AnswerBody> {
    let mut response = Response::new(AnswerBody::plain(""));
    *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
    let value = HeaderValue::from_static("1");
    response.headers_mut().insert(header_rule::NOT_RUN, value);
    response
}

fn query_fields(query: &str) -> BTreeMap<String, u64> {
    let fields = query.split('&').filter_map(|field| field.split_once('='));
    fields
        .filter_map(|(name, value)| Some((name.to_owned(), value.parse().ok()?)))
        .collect()
}

fn start_run(state: &SharedState, parts: &http::request::Parts, body_bytes: u64) -> RunGuard {
    let text = |name: &str| -> Arc<str> {
        let value = parts.headers.get(name).and_then(|value| value.to_str().ok());
        Arc::from(value.unwrap_or_default())
    };
    let record = RunRecord {
        request: text(header_rule::REQUEST_ID.as_str()),
        team: text(header_rule::TEAM.as_str()),
        label: text("x-label"),
        deadline_ms: text(header_rule::DEADLINE.as_str()).parse().ok(),
        body_bytes,
        started: SystemTime::now().into(),
        ended: None,
        is_whole: false,
    };
    let mut locked = state.lock();
    locked.records.push(record);
    RunGuard {
        state: state.clone(),
        index: locked.records.len() - 1,
        is_whole: false,
    }
}

/// Writes the end of a run into its record.
#[derive(Debug)]
struct RunGuard {
    state: SharedState,
    index: usize,
    is_whole: bool,
}

impl Drop for RunGuard {
    fn drop(&mut self) {
        let mut state = self.state.lock();
        if let Some(record) = state.records.get_mut(self.index) {
            record.ended = Some(SystemTime::now().into());
            record.is_whole = self.is_whole;
        }
    }
}

/// Body of an answer, in parts with gaps; it can be cut in the middle.
#[derive(Debug)]
pub struct AnswerBody {
    bytes: Bytes,
    length: u64,
    part: usize,
    gap: Duration,
    sleep: Option<Pin<Box<Sleep>>>,
    is_cut: bool,
    is_chunked: bool,
    run: Option<RunGuard>,
}

impl AnswerBody {
    fn new(bytes: Bytes, run: RunGuard) -> Self {
        let mut body = Self::plain(bytes);
        body.run = Some(run);
        body
    }

    fn plain(bytes: impl Into<Bytes>) -> Self {
        let bytes = bytes.into();
        Self {
            length: bytes.len() as u64,
            part: bytes.len().max(1),
            bytes,
            gap: Duration::ZERO,
            sleep: None,
            is_cut: false,
            is_chunked: false,
            run: None,
        }
    }

    fn with_parts(mut self, parts: u64) -> Self {
        self.part = (self.bytes.len() / parts.max(1) as usize).max(1);
        self
    }

    fn with_gap(mut self, gap: Duration) -> Self {
        self.gap = gap;
        self
    }

    /// Cuts the answer. The first poll waits, so that the head is sent even if no byte of the body is.
    fn with_cut(mut self) -> Self {
        self.is_cut = true;
        self.sleep = Some(Box::pin(tokio::time::sleep(CUT_DELAY)));
        self
    }

    fn is_half_sent(&self) -> bool {
        (self.bytes.len() as u64) <= self.length / 2
    }
}

impl Body for AnswerBody {
    type Data = Bytes;
    type Error = ConnectionClosed;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, ConnectionClosed>>> {
        if let Some(sleep) = &mut self.sleep {
            if sleep.as_mut().poll(cx).is_pending() {
                return Poll::Pending;
            }
            self.sleep = None;
        }
        if self.is_cut && self.is_half_sent() {
            return Poll::Ready(Some(Err(ConnectionClosed)));
        }
        if self.bytes.is_empty() {
            if let Some(run) = &mut self.run {
                run.is_whole = true;
            }
            return Poll::Ready(None);
        }
        let mut count = self.part.min(self.bytes.len());
        if self.is_cut {
            count = count.min((self.length / 2).max(1) as usize);
        }
        let part = self.bytes.split_to(count);
        if self.bytes.is_empty() {
            if let Some(run) = &mut self.run {
                run.is_whole = true;
            }
        } else if !self.gap.is_zero() {
            self.sleep = Some(Box::pin(tokio::time::sleep(self.gap)));
        }
        Poll::Ready(Some(Ok(Frame::data(part))))
    }

    fn is_end_stream(&self) -> bool {
        self.bytes.is_empty() && !self.is_cut && !self.is_chunked
    }

    fn size_hint(&self) -> SizeHint {
        if self.is_chunked {
            return SizeHint::default();
        }
        SizeHint::with_exact(self.bytes.len() as u64)
    }
}
