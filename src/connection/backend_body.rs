//! Body of a request on its way from the caller's connection to the backend server's.
//!
//! The server library's workers are single-threaded and their bodies cannot leave their thread, while the client
//! library needs bodies that can. A bounded channel joins them: one frame is in the channel and one is held by
//! either side, so that no body is buffered whole.

use std::pin::Pin;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll};

use bytes::Bytes;
use derive_more::Display;
use http_body::{Body, Frame, SizeHint};
use http_body_util::BodyExt;
use tokio::sync::{mpsc, oneshot};

use crate::error::{Error, ErrorKind, Result};

/// Frames that wait in the channel between the two connections.
const CHANNEL_FRAMES: usize = 1;

/// The caller's body ended early; the backend server's connection is closed without a complete request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, derive_more::Error)]
#[display("the caller's body ended early")]
pub struct BodyTruncated;

/// What the channel carries.
pub type BodyItem = std::result::Result<Bytes, BodyTruncated>;

#[derive(Debug)]
struct SourceState {
    receiver: Option<mpsc::Receiver<BodyItem>>,
    start_signal: Option<oneshot::Sender<()>>,
    remaining: u64,
    is_started: bool,
    is_truncated: bool,
}

/// The sending end. Nothing is read from the caller before `start_signal` fires.
#[derive(Debug)]
pub struct BodySender {
    /// Fires when the first frame is wanted; fails if the body is never wanted.
    pub start_signal: oneshot::Receiver<()>,
    /// Takes the frames.
    pub frames: mpsc::Sender<BodyItem>,
}

/// The receiving end, kept beside the attempts so that a body of which nothing was taken can be sent again.
#[derive(Debug, Clone)]
pub struct BodySource {
    source: Arc<Mutex<SourceState>>,
}

impl BodySource {
    /// Creates a source of an empty body.
    pub fn empty() -> Self {
        Self::from_parts(None, None, 0)
    }

    /// Creates a source of `length` bytes and its sender.
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

    /// Whether an attempt can still send the whole body.
    pub fn is_unread(&self) -> bool {
        !self.lock().is_started
    }

    /// Whether the caller's side ended early.
    pub fn is_truncated(&self) -> bool {
        self.lock().is_truncated
    }

    /// Bytes that have not been taken.
    pub fn remaining(&self) -> u64 {
        self.lock().remaining
    }

    /// The body for one attempt.
    pub fn body(&self) -> BackendBody {
        BackendBody { source: self.clone() }
    }

    /// Reads the whole body into memory.
    ///
    /// # Errors
    /// `too_large` above `limit` bytes, `bad_request` if the body ended early.
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

/// Body of one attempt.
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
            // The caller's side may have ended already; the channel then reports the cut.
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
