//! Limits of the connections of one server: their number, the size of a head, and the time for an answer to be
//! read. The guard stands between the server library and the socket.

use std::collections::BTreeMap;
use std::convert::Infallible;
use std::fmt;
use std::net::{Shutdown, TcpListener};
use std::pin::pin;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use socket2::SockRef;
use tokio::sync::{Notify, Semaphore};
use xitca_io::io::{AsyncBufRead, AsyncBufWrite, BoundedBuf, BoundedBufMut};
use xitca_io::net::{Stream, TcpStream};
use xitca_server::net::{IntoListener, Listen};
use xitca_web::service::Service;

use crate::request::caller_limits::CallerLimits;
use crate::request::connection_choice::{self, ConnectionPhase, ConnectionView};

/// Size of the kernel's buffers for a connection; the kernel doubles it. A caller within a millisecond still gets
/// more than 10 MB/s.
const SOCKET_BUFFER_BYTES: usize = 16 << 10;
/// Bytes that may arrive without a complete head, empty lines included. The library allows 32 KB for a head.
const MAX_HEAD_BYTES: u64 = 64 << 10;
/// Time for a caller to read some bytes of an answer.
const WRITE_TIMEOUT: Duration = Duration::from_secs(5);

/// Part of the connections that may be about to be closed while new ones are accepted.
const CLOSING_DIVISOR: usize = 4;

tokio::task_local! {
    static CONNECTION: Arc<GuardedConnection>;
}

/// Connections of one server.
#[derive(Debug)]
pub struct ConnectionGuard {
    server: &'static str,
    max_connections: usize,
    limits: Arc<CallerLimits>,
    accepts_chunked: AtomicBool,
    next_id: AtomicU64,
    /// Sockets that may be open at the same time, those included that are about to be closed.
    sockets: Semaphore,
    connections: Mutex<BTreeMap<u64, Arc<GuardedConnection>>>,
}

#[derive(Debug)]
struct ConnectionState {
    phase: ConnectionPhase,
    last_progress: Instant,
    has_answered: bool,
    head_bytes: u64,
    is_read_since_request: bool,
}

/// One connection.
#[derive(Debug)]
pub struct GuardedConnection {
    guard: Arc<ConnectionGuard>,
    id: u64,
    state: Mutex<ConnectionState>,
    is_closing: AtomicBool,
    closing: Notify,
}

/// Frees the place of a socket, after the socket has been closed.
#[derive(Debug)]
struct OpenSocket(Arc<ConnectionGuard>);

impl Drop for OpenSocket {
    fn drop(&mut self) {
        self.0.sockets.add_permits(1);
    }
}

/// Listener that accepts a connection only when the guard has room for its socket.
#[derive(Debug)]
pub struct GuardedListener<L> {
    listener: L,
    guard: Arc<ConnectionGuard>,
}

impl<L> GuardedListener<L> {
    /// Puts a guard in front of a listener.
    pub fn new(listener: L, guard: Arc<ConnectionGuard>) -> Self {
        Self { listener, guard }
    }
}

impl<L: IntoListener> IntoListener for GuardedListener<L> {
    type Listener = GuardedListener<L::Listener>;

    fn into_listener(self) -> std::io::Result<Self::Listener> {
        Ok(GuardedListener {
            listener: self.listener.into_listener()?,
            guard: self.guard,
        })
    }
}

impl<L: Listen> Listen for GuardedListener<L> {
    async fn accept(&self) -> std::io::Result<Stream> {
        let permit = self.guard.sockets.acquire().await;
        let stream = self.listener.accept().await?;
        if let Ok(permit) = permit {
            // The place is freed when the connection ends.
            permit.forget();
        }
        Ok(stream)
    }
}

/// Removes a connection from its server when its task ends.
#[derive(Debug)]
struct OpenConnection(Arc<GuardedConnection>);

impl Drop for OpenConnection {
    fn drop(&mut self) {
        self.0.guard.lock().remove(&self.0.id);
    }
}

/// Sets the size of the buffers of connections that the listener accepts. Without it the kernel may hold megabytes
/// for a connection; a system that does not know the option keeps its own sizes.
pub fn limit_socket_buffers(listener: &TcpListener) {
    let socket = SockRef::from(listener);
    let _ = socket.set_recv_buffer_size(SOCKET_BUFFER_BYTES);
    let _ = socket.set_send_buffer_size(SOCKET_BUFFER_BYTES);
}

impl ConnectionGuard {
    /// Creates the guard of the server with this name.
    pub fn new(server: &'static str, max_connections: usize, limits: Arc<CallerLimits>) -> Self {
        let sockets = max_connections.saturating_add(max_connections / CLOSING_DIVISOR + 1);
        Self {
            server,
            max_connections,
            limits,
            accepts_chunked: AtomicBool::new(false),
            next_id: AtomicU64::new(0),
            sockets: Semaphore::new(sockets.min(Semaphore::MAX_PERMITS)),
            connections: Mutex::default(),
        }
    }

    /// Serves a connection with `serve` until it ends or is closed for another one.
    pub async fn run<F: Future>(self: &Arc<Self>, serve: F) {
        let _socket = OpenSocket(Arc::clone(self));
        let Some(open) = self.open() else {
            self.limits.record_refusal(self.server, "connections");
            return;
        };
        let connection = Arc::clone(&open.0);
        let mut serve = pin!(CONNECTION.scope(Arc::clone(&connection), serve));
        tokio::select! {
            biased;
            () = connection.closed() => {}
            _ = &mut serve => {}
        }
    }

    fn open(self: &Arc<Self>) -> Option<OpenConnection> {
        let mut connections = self.lock();
        let open = connections.values().filter(|other| !other.is_closing());
        if open.count() >= self.max_connections {
            let views = connections.values().filter(|other| !other.is_closing());
            let id = connection_choice::connection_to_close(views.map(|other| other.view()))?;
            if let Some(connection) = connections.get(&id) {
                connection.close("connections");
            }
        }
        let id = self.next_id.fetch_add(1, Ordering::Relaxed);
        let connection = Arc::new(GuardedConnection {
            guard: Arc::clone(self),
            id,
            state: Mutex::new(ConnectionState {
                phase: ConnectionPhase::Head,
                last_progress: Instant::now(),
                has_answered: false,
                head_bytes: 0,
                is_read_since_request: true,
            }),
            is_closing: AtomicBool::new(false),
            closing: Notify::new(),
        });
        connections.insert(id, Arc::clone(&connection));
        Some(OpenConnection(connection))
    }

    /// Accepts bodies without a declared length from now on.
    pub fn accept_chunked(&self) {
        self.accepts_chunked.store(true, Ordering::Relaxed);
    }

    /// Number of connections in each phase.
    pub fn count_phases(&self) -> BTreeMap<ConnectionPhase, i64> {
        let phases = [
            ConnectionPhase::Head,
            ConnectionPhase::Idle,
            ConnectionPhase::Transfer,
            ConnectionPhase::Accepted,
        ];
        let mut counts = BTreeMap::from(phases.map(|phase| (phase, 0)));
        for connection in self.lock().values() {
            *counts.entry(connection.view().phase).or_default() += 1;
        }
        counts
    }

    /// Name of the server.
    pub fn server(&self) -> &'static str {
        self.server
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<u64, Arc<GuardedConnection>>> {
        self.connections.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl GuardedConnection {
    /// The connection of the current task; `None` outside a server with a guard.
    pub fn current() -> Option<Arc<Self>> {
        CONNECTION.try_with(Arc::clone).ok()
    }

    /// Whether the server accepts bodies without a declared length.
    pub fn accepts_chunked(&self) -> bool {
        self.guard.accepts_chunked.load(Ordering::Relaxed)
    }

    fn state(&self) -> MutexGuard<'_, ConnectionState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn view(&self) -> ConnectionView {
        let state = self.state();
        ConnectionView {
            id: self.id,
            phase: state.phase,
            last_progress: state.last_progress,
        }
    }

    fn is_closing(&self) -> bool {
        self.is_closing.load(Ordering::Relaxed)
    }

    /// Closes the connection without an answer.
    fn close(&self, reason: &'static str) {
        if !self.is_closing.swap(true, Ordering::Relaxed) {
            self.guard.limits.record_refusal(self.guard.server, reason);
            self.closing.notify_one();
        }
    }

    async fn closed(&self) {
        self.closing.notified().await;
    }

    /// Records a complete head. Returns whether the request was pipelined, that is whether it had arrived before
    /// the answer to the request before it.
    pub fn begin_request(&self, has_body: bool) -> bool {
        let mut state = self.state();
        state.phase = if has_body {
            ConnectionPhase::Transfer
        } else {
            ConnectionPhase::Accepted
        };
        state.head_bytes = 0;
        state.has_answered = false;
        !std::mem::take(&mut state.is_read_since_request)
    }

    /// Records that the body is complete.
    pub fn end_body(&self) {
        let mut state = self.state();
        if state.phase == ConnectionPhase::Transfer && !state.has_answered {
            state.phase = ConnectionPhase::Accepted;
        }
    }

    /// Records that the handler has answered. The answer is sent until the returned value is dropped.
    pub fn begin_answer(self: &Arc<Self>) -> AnswerInTransfer {
        let mut state = self.state();
        state.phase = ConnectionPhase::Transfer;
        state.has_answered = true;
        AnswerInTransfer(Arc::clone(self))
    }

    /// Records received bytes. Returns whether the head is too large.
    fn record_read(&self, bytes: usize) -> bool {
        let mut state = self.state();
        state.last_progress = Instant::now();
        state.is_read_since_request = true;
        if state.phase > ConnectionPhase::Idle {
            return false;
        }
        state.head_bytes += bytes as u64;
        state.head_bytes > MAX_HEAD_BYTES
    }

    fn record_write(&self) {
        self.state().last_progress = Instant::now();
    }
}

/// An answer that is being sent.
#[derive(Debug)]
pub struct AnswerInTransfer(Arc<GuardedConnection>);

impl Drop for AnswerInTransfer {
    fn drop(&mut self) {
        let mut state = self.0.state();
        if state.has_answered {
            state.phase = ConnectionPhase::Idle;
            state.head_bytes = 0;
        }
    }
}

/// Socket of a connection.
pub struct GuardedStream {
    stream: TcpStream,
    connection: Option<Arc<GuardedConnection>>,
}

impl fmt::Debug for GuardedStream {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("GuardedStream").finish_non_exhaustive()
    }
}

impl AsyncBufRead for GuardedStream {
    async fn read<B: BoundedBufMut>(&self, buf: B) -> (std::io::Result<usize>, B) {
        let (result, buf) = self.stream.read(buf).await;
        if let (Ok(bytes), Some(connection)) = (&result, &self.connection)
            && connection.record_read(*bytes)
        {
            connection.close("head");
            return std::future::pending().await;
        }
        (result, buf)
    }
}

impl AsyncBufWrite for GuardedStream {
    async fn write<B: BoundedBuf>(&self, buf: B) -> (std::io::Result<usize>, B) {
        let Some(connection) = &self.connection else {
            return self.stream.write(buf).await;
        };
        let mut write = pin!(self.stream.write(buf));
        tokio::select! {
            biased;
            result = &mut write => {
                connection.record_write();
                result
            }
            () = tokio::time::sleep(WRITE_TIMEOUT) => {
                connection.close("unread_answer");
                std::future::pending().await
            }
        }
    }

    async fn shutdown(self, direction: Shutdown) -> std::io::Result<()> {
        self.stream.shutdown(direction).await
    }
}

/// Puts the guard around accepted sockets, in the place where the server library expects a TLS acceptor.
#[derive(Debug, Clone, Copy)]
pub struct GuardAcceptor;

impl Service for GuardAcceptor {
    type Response = Self;
    type Error = Infallible;

    async fn call(&self, (): ()) -> Result<Self, Infallible> {
        Ok(*self)
    }
}

impl Service<TcpStream> for GuardAcceptor {
    type Response = GuardedStream;
    type Error = Infallible;

    async fn call(&self, req: TcpStream) -> Result<GuardedStream, Infallible> {
        let connection = GuardedConnection::current();
        Ok(GuardedStream {
            stream: req,
            connection,
        })
    }
}
