//! The HTTP server for callers.
//!
//! The server library runs one single-threaded runtime per worker thread, and a request's body cannot leave
//! its thread. A local task therefore copies the body into a channel; everything else may move between
//! threads.

use std::convert::Infallible;
use std::fmt;
use std::net::{SocketAddr, TcpListener};
use std::pin::pin;
use std::sync::Arc;
use std::time::{Duration, Instant};

use futures_util::future::BoxFuture;
use http::header::{self, HeaderValue};
use http::request::Parts;
use http::{Method, Request, Response, StatusCode};
use xitca_http::HttpServiceBuilder;
use xitca_http::config::HttpServiceConfig;
use xitca_io::net::TcpStream;
use xitca_web::body::{Body, BodyExt, RequestBody, ResponseBody, SizeHint};
use xitca_web::http::RequestExt;
use xitca_web::service::{Service, ServiceExt, fn_service};

use crate::connection::backend_body::{BodyFault, BodySender, BodySource};
use crate::request::body_pace::BodyPace;
use crate::request::caller_limits::{self, CallerLimits};
use crate::request::connection_guard::{
    self, ConnectionGuard, GuardAcceptor, GuardedConnection, GuardedListener,
};
use crate::request::response;
use crate::request::response_stream::ResponseStream;
use crate::request::work_request;

/// Largest body that is read and dropped if no handler reads it, so that the caller can still read the
/// response.
const DISCARD_BYTES: u64 = 64 * 1024;
/// Largest head of a request, and most bytes that are read ahead of a body. Heads of callers have hundreds of bytes.
const READ_BUFFER_BYTES: usize = 32 << 10;
/// Bytes of answers after which the server waits until the caller has read them.
const WRITE_BUFFER_BYTES: usize = 64 << 10;
/// Time limit for reading a body that is dropped.
const DISCARD_TIMEOUT: Duration = Duration::from_secs(1);

/// A request as the handlers receive it.
#[derive(Debug)]
pub struct EntryRequest {
    /// Method, URI and headers.
    pub parts: Parts,
    /// Body, which is read from the caller only when a handler asks for it.
    pub body: BodySource,
}

/// Handles requests; errors are turned into responses by the handler itself.
pub type EntryHandler =
    Arc<dyn Fn(EntryRequest) -> BoxFuture<'static, Response<ResponseStream>> + Send + Sync>;

/// Limits of one server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ServerLimits {
    /// Number of worker threads.
    pub workers: usize,
    /// Time after which an idle connection is closed.
    pub keep_alive: Duration,
    /// Time limit for the arrival of a request's head.
    pub head_timeout: Duration,
}

/// Starts a server on its own threads, without a limit on its connections.
///
/// # Errors
/// The operating system's error if the listener cannot be used.
pub fn start_server(
    listener: TcpListener,
    limits: ServerLimits,
    handler: EntryHandler,
) -> std::io::Result<RunningServer> {
    let caller_limits = CallerLimits::without_log().map_err(std::io::Error::other)?;
    let guard = ConnectionGuard::new(caller_limits::CALLERS, usize::MAX, Arc::new(caller_limits));
    start_guarded_server(listener, limits, Arc::new(guard), handler)
}

/// Starts a server on its own threads, whose connections `guard` limits.
///
/// # Errors
/// The operating system's error if the listener cannot be used.
pub fn start_guarded_server(
    listener: TcpListener,
    limits: ServerLimits,
    guard: Arc<ConnectionGuard>,
    handler: EntryHandler,
) -> std::io::Result<RunningServer> {
    connection_guard::limit_socket_buffers(&listener);
    let guard_of_listener = Arc::clone(&guard);
    let service = fn_service(async move |request: Request<RequestExt<RequestBody>>| {
        Ok::<_, Infallible>(serve_request(&handler, request).await)
    });
    let config = HttpServiceConfig::new()
        .keep_alive_timeout(limits.keep_alive)
        .request_head_timeout(limits.head_timeout)
        .max_read_buf_size::<READ_BUFFER_BYTES>()
        .max_write_buf_size::<WRITE_BUFFER_BYTES>();
    let http = HttpServiceBuilder::h1().config(config).with_tls(GuardAcceptor);
    let service =
        service
            .enclosed(http)
            .enclosed_fn(async move |http: &_, connection: (TcpStream, SocketAddr)| {
                guard.run(Service::call(http, connection)).await;
                Ok::<_, Infallible>(())
            });
    let mut server = xitca_server::Builder::new()
        .worker_threads(limits.workers)
        .disable_signal()
        .listen("http", GuardedListener::new(listener, guard_of_listener), service)
        .build();
    let handle = server.handle()?;
    let stop: Box<dyn Fn(bool) + Send + Sync> = Box::new(move |is_graceful| handle.stop(is_graceful));
    let thread = std::thread::Builder::new()
        .name("http-server".to_owned())
        .spawn(move || server.wait())?;
    Ok(RunningServer { stop, thread })
}

/// Handle of a running server.
pub struct RunningServer {
    stop: Box<dyn Fn(bool) + Send + Sync>,
    thread: std::thread::JoinHandle<std::io::Result<()>>,
}

impl RunningServer {
    /// Tells the server to stop, without waiting for it.
    pub fn request_stop(&self, is_graceful: bool) {
        (self.stop)(is_graceful);
    }

    /// Stops the server: new connections are no longer served, and open ones have 30 s to end. Blocks until
    /// then.
    ///
    /// # Errors
    /// The operating system's error if the server failed, or an error if its thread panicked.
    pub fn stop(self) -> std::io::Result<()> {
        (self.stop)(true);
        let ended = self.thread.join();
        ended.unwrap_or_else(|_| Err(std::io::Error::other("the server's thread panicked")))
    }
}

impl fmt::Debug for RunningServer {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("RunningServer")
    }
}

async fn serve_request(
    handler: &EntryHandler,
    request: Request<RequestExt<RequestBody>>,
) -> Response<ResponseBody> {
    let (parts, extension) = request.into_parts();
    let (_, caller_body) = extension.replace_body(());
    let is_head = parts.method == Method::HEAD;
    let connection = GuardedConnection::current();
    if let Some(connection) = &connection {
        let has_body = body_length(&caller_body) != Some(0);
        if connection.begin_request(has_body) {
            // A caller that pipelines requests must not keep the thread from other connections.
            tokio::task::yield_now().await;
        }
    }
    let accepts_chunked = connection
        .as_ref()
        .is_some_and(|connection| connection.accepts_chunked());
    let is_chunked = parts.headers.contains_key(header::TRANSFER_ENCODING);
    let response = match work_request::check_forwardable(&parts, accepts_chunked) {
        Ok(()) => {
            let body = open_body(caller_body, is_chunked, connection.clone());
            let source = body.clone();
            let mut response = handler(EntryRequest { parts, body }).await;
            if source.is_refused() || (is_chunked && !response.status().is_success()) {
                let close = HeaderValue::from_static("close");
                response.headers_mut().insert(header::CONNECTION, close);
            }
            response
        }
        Err(error) => response::error_response(&error),
    };
    let answer = connection.as_ref().map(GuardedConnection::begin_answer);
    let (mut parts, stream) = response.into_parts();
    let has_no_body = parts.status == StatusCode::NO_CONTENT || parts.status == StatusCode::NOT_MODIFIED;
    let body = if has_no_body {
        // The server library expects a body wherever a content-length is declared.
        parts.headers.remove(header::CONTENT_LENGTH);
        ResponseBody::none()
    } else if is_head {
        ResponseBody::none()
    } else {
        let declared = parts.headers.get(header::CONTENT_LENGTH);
        let declared = declared.and_then(|value| value.to_str().ok()?.parse().ok());
        ResponseBody::boxed(stream.with_declared_length(declared).with_connection(answer))
    };
    Response::from_parts(parts, body)
}

/// Declared length of a body; `None` if there is a body without one.
fn body_length(body: &RequestBody) -> Option<u64> {
    match body.size_hint() {
        SizeHint::Exact(length) => Some(length),
        SizeHint::None => Some(0),
        SizeHint::Unknown => None,
    }
}

/// Returns a source for a caller's body that may be used on other threads.
fn open_body(
    caller_body: RequestBody,
    is_chunked: bool,
    connection: Option<Arc<GuardedConnection>>,
) -> BodySource {
    let length = if is_chunked {
        None
    } else {
        body_length(&caller_body)
    };
    let (sender, source) = match length {
        Some(0) => return BodySource::empty(),
        Some(length) => BodySource::channel(length),
        None if is_chunked => BodySource::unsized_channel(),
        None => return BodySource::empty(),
    };
    tokio::task::spawn_local(async move {
        copy_body(caller_body, length, sender, connection.as_deref()).await;
    });
    source
}

/// Copies a caller's body once a handler reads it. A small body that no handler reads is read here and
/// dropped, because closing a connection with unread bytes can destroy the response before the caller has
/// read it.
async fn copy_body(
    caller_body: RequestBody,
    length: Option<u64>,
    sender: BodySender,
    connection: Option<&GuardedConnection>,
) {
    let mut caller_body = pin!(caller_body);
    if sender.start_signal.await.is_err() {
        if length.is_some_and(|length| length <= DISCARD_BYTES) {
            let discard = async { while let Some(Ok(_)) = caller_body.as_mut().data().await {} };
            drop(tokio::time::timeout(DISCARD_TIMEOUT, discard).await);
        }
        return;
    }
    let mut remaining = length.unwrap_or(0);
    let mut pace = BodyPace::default();
    loop {
        let mut reader = caller_body.as_mut();
        let started = Instant::now();
        let mut read = pin!(reader.data());
        let next = tokio::select! {
            biased;
            () = sender.frames.closed() => return,
            next = &mut read => Some(next),
            () = tokio::time::sleep(pace.time_left()) => None,
        };
        let item = match next {
            Some(Some(Ok(bytes))) => {
                pace.add(bytes.len() as u64, started.elapsed());
                remaining = remaining.saturating_sub(bytes.len() as u64);
                Ok(bytes)
            }
            None => Err(BodyFault::TooSlow),
            Some(None) if remaining == 0 => {
                if let Some(connection) = connection {
                    connection.end_body();
                }
                return;
            }
            Some(None | Some(Err(_))) => Err(BodyFault::Truncated),
        };
        let is_incomplete = item.is_err();
        if let (0, Some(_), Some(connection)) = (remaining, length, connection) {
            connection.end_body();
        }
        if sender.frames.send(item).await.is_err() || is_incomplete {
            return;
        }
    }
}
