//! Streams the body of a request from the caller's connection to the connection of a backend server.
//!
//! The server library's workers are single-threaded and their bodies cannot leave their thread, while the
//! client library needs bodies that can. A bounded channel connects them. It holds one frame, and each side
//! holds at most one more, so that a body is never buffered completely.

use std::pin::Pin;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll};

use bytes::Bytes;
use derive_more::Display;
use http_body::{Body, Frame, SizeHint};
use http_body_util::BodyExt;
use tokio::sync::{mpsc, oneshot};

use crate::error::{Error, ErrorKind, Result};

/// Capacity of the channel between the two connections, in frames.
const CHANNEL_FRAMES: usize = 1;

/// The caller's body ended before its declared length. The connection to the backend server is then closed
/// without a complete request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, derive_more::Error)]
#[display("the caller's body ended early")]
pub struct BodyTruncated;

/// One frame of the body, or the notice that the body is truncated. Nothing follows that notice.
pub type BodyItem = std::result::Result<Bytes, BodyTruncated>;

#[derive(Debug)]
struct SourceState {
    receiver: Option<mpsc::Receiver<BodyItem>>,
    start_signal: Option<oneshot::Sender<()>>,
    remaining: u64,
    is_started: bool,
    is_truncated: bool,
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

    fn from_parts(
        receiver: Option<mpsc::Receiver<BodyItem>>,
        start_signal: Option<oneshot::Sender<()>>,
        length: u64,
    ) -> Self {
        let source = SourceState {
            receiver,
            start_signal,
            remaining: length,
            is_started: false,
            is_truncated: false,
        };
        Self {
            source: Arc::new(Mutex::new(source)),
        }
    }

    /// Whether nothing was read from the body, so that another attempt can send all of it.
    pub fn is_unread(&self) -> bool {
        !self.lock().is_started
    }

    /// Whether the caller's body ended before its declared length.
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

    /// Reads the complete body into memory.
    ///
    /// # Errors
    /// `too_large` if more than `limit` bytes remain, `bad_request` if the body is truncated.
    pub async fn collect(&self, limit: u64) -> Result<Bytes> {
        if self.remaining() > limit {
            let message = format!("the body is larger than {limit} bytes");
            return Err(Error::new(ErrorKind::TooLarge, message));
        }
        let collected = self.body().collect().await;
        let collected =
            collected.map_err(|truncated| Error::new(ErrorKind::BadRequest, truncated.to_string()))?;
        Ok(collected.to_bytes())
    }

    fn lock(&self) -> MutexGuard<'_, SourceState> {
        self.source.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Request body of one attempt. It yields the frames that no earlier attempt has read.
#[derive(Debug)]
pub struct BackendBody {
    source: BodySource,
}

impl Body for BackendBody {
    type Data = Bytes;
    type Error = BodyTruncated;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<std::result::Result<Frame<Bytes>, BodyTruncated>>> {
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
            Poll::Ready(Some(Err(truncated))) => {
                source.is_started = true;
                source.is_truncated = true;
                Poll::Ready(Some(Err(truncated)))
            }
            Poll::Ready(None) if source.remaining > 0 => {
                source.is_truncated = true;
                Poll::Ready(Some(Err(BodyTruncated)))
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
