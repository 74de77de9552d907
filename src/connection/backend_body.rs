//! Streams the body of a request from the caller's connection to the connection of a backend server.
//!
//! The server library's workers are single-threaded and their bodies cannot leave their thread, while the
//! client library needs bodies that can. A bounded channel connects them. It holds one frame, and each side
//! holds at most one more, so that a body is never buffered completely.

use std::pin::Pin;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll};

use bytes::{Bytes, BytesMut};
use derive_more::Display;
use http_body::{Body, Frame, SizeHint};
use http_body_util::BodyExt;
use tokio::sync::{mpsc, oneshot};

use crate::error::{Error, ErrorKind, Result};

/// Capacity of the channel between the two connections, in frames.
const CHANNEL_FRAMES: usize = 1;

/// Why a caller's body is incomplete. The connection to the backend server is then closed without a complete
/// request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, derive_more::Error)]
pub enum BodyFault {
    /// The body ended before its declared length.
    #[display("the caller's body ended early")]
    Truncated,
    /// The body arrived more slowly than [`BodyPace`](crate::request::body_pace::BodyPace) allows.
    #[display("the caller's body arrived too slowly")]
    TooSlow,
}

/// One frame of the body, or why it is incomplete. Nothing follows a fault.
pub type BodyItem = std::result::Result<Bytes, BodyFault>;

#[derive(Debug)]
#[expect(
    clippy::struct_excessive_bools,
    reason = "the flags are independent of each other"
)]
struct SourceState {
    receiver: Option<mpsc::Receiver<BodyItem>>,
    start_signal: Option<oneshot::Sender<()>>,
    remaining: u64,
    /// Whether the length was declared; otherwise `remaining` is the largest number.
    is_sized: bool,
    is_started: bool,
    is_truncated: bool,
    is_refused: bool,
}

/// Sending end, held by the task that reads the caller's connection. That task reads nothing before
/// `start_signal` fires.
#[derive(Debug)]
pub struct BodySender {
    /// Fires when an attempt first polls the body; fails if the source is dropped before that.
    pub start_signal: oneshot::Receiver<()>,
    /// Closed once the source and all bodies made from it are dropped.
    pub frames: mpsc::Sender<BodyItem>,
}

/// Receiving end, shared by all attempts to send one request. An attempt can be repeated as long as nothing
/// was read from the body.
#[derive(Debug, Clone)]
pub struct BodySource {
    source: Arc<Mutex<SourceState>>,
}

impl BodySource {
    /// Creates the source of an empty body.
    pub fn empty() -> Self {
        Self::from_parts(None, None, 0)
    }

    /// Creates the source of a body with `length` bytes, and its sender.
    pub fn channel(length: u64) -> (BodySender, Self) {
        let (frames, receiver) = mpsc::channel(CHANNEL_FRAMES);
        let (start_sender, start_signal) = oneshot::channel();
        let source = Self::from_parts(Some(receiver), Some(start_sender), length);
        (BodySender { start_signal, frames }, source)
    }

    /// Creates the source of a body without a declared length, and its sender.
    pub fn unsized_channel() -> (BodySender, Self) {
        let (sender, source) = Self::channel(u64::MAX);
        source.lock().is_sized = false;
        (sender, source)
    }

    fn from_parts(
        receiver: Option<mpsc::Receiver<BodyItem>>,
        start_signal: Option<oneshot::Sender<()>>,
        length: u64,
    ) -> Self {
        let source = SourceState {
            receiver,
            start_signal,
            remaining: length,
            is_sized: true,
            is_started: false,
            is_truncated: false,
            is_refused: false,
        };
        Self {
            source: Arc::new(Mutex::new(source)),
        }
    }

    /// Whether nothing was read from the body, so that another attempt can send all of it.
    pub fn is_unread(&self) -> bool {
        !self.lock().is_started
    }

    /// Whether the caller's body is incomplete.
    pub fn is_truncated(&self) -> bool {
        self.lock().is_truncated
    }

    /// Number of bytes that have not been read.
    pub fn remaining(&self) -> u64 {
        self.lock().remaining
    }

    /// Creates the body for one attempt.
    pub fn body(&self) -> BackendBody {
        BackendBody { source: self.clone() }
    }

    /// Refuses the body: the connection is closed after the answer, because the rest of the body may still be on
    /// it.
    pub fn refuse(&self) {
        self.lock().is_refused = true;
    }

    /// Whether the body was refused.
    pub fn is_refused(&self) -> bool {
        self.lock().is_refused
    }

    /// Bytes that the body may still have if at most `limit` are accepted.
    pub fn max_remaining(&self, limit: u64) -> u64 {
        self.remaining().min(limit)
    }

    /// Checks the declared length.
    ///
    /// # Errors
    /// `too_large` if more than `limit` bytes were declared and not yet read.
    pub fn check_length(&self, limit: u64) -> Result<()> {
        let source = self.lock();
        if !source.is_sized || source.remaining <= limit {
            return Ok(());
        }
        Err(too_large(limit))
    }

    /// Reads the complete body into memory.
    ///
    /// # Errors
    /// `too_large` if more than `limit` bytes remain, `bad_request` if the body is truncated, `overloaded` if it
    /// arrives too slowly.
    pub async fn collect(&self, limit: u64) -> Result<Bytes> {
        self.check_length(limit)?;
        let mut body = self.body();
        // The frames are copied: a small frame may keep a whole read buffer of the server alive.
        let mut collected = BytesMut::new();
        while let Some(frame) = body.frame().await {
            let frame = frame.map_err(fault_error)?;
            let Ok(bytes) = frame.into_data() else { continue };
            if (collected.len() + bytes.len()) as u64 > limit {
                return Err(too_large(limit));
            }
            collected.extend_from_slice(&bytes);
        }
        Ok(collected.freeze())
    }

    fn lock(&self) -> MutexGuard<'_, SourceState> {
        self.source.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn too_large(limit: u64) -> Error {
    Error::new(
        ErrorKind::TooLarge,
        format!("the body is larger than {limit} bytes"),
    )
}

fn fault_error(fault: BodyFault) -> Error {
    let kind = match fault {
        BodyFault::Truncated => ErrorKind::BadRequest,
        BodyFault::TooSlow => ErrorKind::Overloaded,
    };
    Error::new(kind, fault.to_string())
}

/// Request body of one attempt. It yields the frames that no earlier attempt has read.
#[derive(Debug)]
pub struct BackendBody {
    source: BodySource,
}

impl Body for BackendBody {
    type Data = Bytes;
    type Error = BodyFault;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<std::result::Result<Frame<Bytes>, BodyFault>>> {
        let mut source = self.source.lock();
        let source = &mut *source;
        if let Some(start_signal) = source.start_signal.take() {
            // If the sender is already dropped, the channel reports below that the body is truncated.
            let _ = start_signal.send(());
        }
        let Some(receiver) = &mut source.receiver else {
            return Poll::Ready(None);
        };
        match receiver.poll_recv(cx) {
            Poll::Pending => Poll::Pending,
            Poll::Ready(Some(Ok(bytes))) => {
                source.is_started = true;
                source.remaining = source.remaining.saturating_sub(bytes.len() as u64);
                Poll::Ready(Some(Ok(Frame::data(bytes))))
            }
            Poll::Ready(Some(Err(fault))) => {
                source.is_started = true;
                source.is_truncated = true;
                Poll::Ready(Some(Err(fault)))
            }
            Poll::Ready(None) if source.is_sized && source.remaining > 0 => {
                source.is_truncated = true;
                Poll::Ready(Some(Err(BodyFault::Truncated)))
            }
            Poll::Ready(None) => Poll::Ready(None),
        }
    }

    fn is_end_stream(&self) -> bool {
        self.source.remaining() == 0
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.source.remaining())
    }
}
