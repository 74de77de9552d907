//! Body of a response to a caller, complete or streamed while it arrives from a backend server.

use std::collections::VecDeque;
use std::pin::Pin;
use std::task::{Context, Poll, ready};

use bytes::Bytes;
use derive_more::{Display, Error};
use tokio::sync::mpsc;
use xitca_web::body::{Body, Frame, SizeHint};

use crate::request::connection_guard::AnswerInTransfer;
use crate::request::in_flight::InFlightGuard;
use crate::request::ticket_run::ResponseRecorder;

/// The response cannot be completed. The caller's connection is aborted, so that the caller does not mistake
/// the truncated body for a complete one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Error)]
#[display("the response was truncated and the caller's connection is aborted")]
pub struct ResponseTruncated;

/// Item of the channel that feeds a streamed response. A channel that closes without [`ResponseItem::End`]
/// means that the response is truncated.
#[derive(Debug)]
pub enum ResponseItem {
    /// The next bytes of the body.
    Data(Bytes),
    /// The body is complete.
    End,
}

/// Body of a response: first the buffered frames, then those of a channel.
#[derive(Debug)]
pub struct ResponseStream {
    buffered: VecDeque<Bytes>,
    receiver: Option<mpsc::Receiver<ResponseItem>>,
    length: Option<u64>,
    /// Bytes of the declared length that have not been sent yet; `None` if no length was declared.
    remaining: Option<u64>,
    in_flight_guard: Option<InFlightGuard>,
    connection: Option<AnswerInTransfer>,
    recorder: Option<ResponseRecorder>,
}

impl ResponseStream {
    /// Creates the body of a complete response.
    pub fn complete(bytes: Bytes) -> Self {
        let length = bytes.len() as u64;
        let buffered = if bytes.is_empty() {
            VecDeque::new()
        } else {
            VecDeque::from([bytes])
        };
        Self {
            buffered,
            receiver: None,
            length: Some(length),
            remaining: Some(length),
            in_flight_guard: None,
            connection: None,
            recorder: None,
        }
    }

    /// Creates the body of a response that is still arriving. `length` is the total length, if known.
    pub fn streaming(first: Bytes, receiver: mpsc::Receiver<ResponseItem>, length: Option<u64>) -> Self {
        Self {
            buffered: VecDeque::from([first]),
            receiver: Some(receiver),
            length,
            remaining: length,
            in_flight_guard: None,
            connection: None,
            recorder: None,
        }
    }

    /// Copies the body into a recorder: at once if it is complete, otherwise while it is sent.
    #[must_use]
    pub fn with_recorder(mut self, recorder: ResponseRecorder) -> Self {
        if self.receiver.is_none() {
            recorder.record_complete(&self.buffered);
            return self;
        }
        self.recorder = Some(recorder);
        self
    }

    /// Sets the length that the headers declare, so that a shorter body is reported as truncated.
    #[must_use]
    pub fn with_declared_length(mut self, length: Option<u64>) -> Self {
        if length.is_some() {
            self.remaining = length;
        }
        self
    }

    /// Keeps the connection marked as sending an answer until the body has been sent or dropped.
    #[must_use]
    pub fn with_connection(mut self, connection: Option<AnswerInTransfer>) -> Self {
        self.connection = connection;
        self
    }

    /// Keeps the request counted as in flight until the body has been sent or dropped.
    #[must_use]
    pub fn with_in_flight_guard(mut self, in_flight_guard: InFlightGuard) -> Self {
        self.in_flight_guard = Some(in_flight_guard);
        self
    }
}

impl ResponseStream {
    fn forward(&mut self, bytes: Bytes) -> Result<Frame<Bytes>, ResponseTruncated> {
        if let Some(remaining) = &mut self.remaining {
            *remaining = remaining
                .checked_sub(bytes.len() as u64)
                .ok_or(ResponseTruncated)?;
        }
        if let Some(recorder) = &mut self.recorder {
            recorder.add(&bytes);
        }
        Ok(Frame::Data(bytes))
    }

    /// Ends the body. A body that is shorter than declared ends with [`ResponseTruncated`], because the
    /// worker of the server library panics when a body ends normally before its declared length.
    fn finish(&mut self) -> Option<Result<Frame<Bytes>, ResponseTruncated>> {
        self.receiver = None;
        if self.remaining.is_some_and(|remaining| remaining > 0) {
            return Some(Err(ResponseTruncated));
        }
        if let Some(recorder) = self.recorder.take() {
            recorder.finish();
        }
        None
    }
}

impl Body for ResponseStream {
    type Data = Bytes;
    type Error = ResponseTruncated;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, ResponseTruncated>>> {
        let item = match self.buffered.pop_front() {
            Some(bytes) => Some(ResponseItem::Data(bytes)),
            None => match &mut self.receiver {
                None => Some(ResponseItem::End),
                Some(receiver) => ready!(receiver.poll_recv(cx)),
            },
        };
        let this = self.get_mut();
        match item {
            Some(ResponseItem::Data(bytes)) => Poll::Ready(Some(this.forward(bytes))),
            Some(ResponseItem::End) => Poll::Ready(this.finish()),
            None => Poll::Ready(Some(Err(ResponseTruncated))),
        }
    }

    fn size_hint(&self) -> SizeHint {
        self.length.map_or(SizeHint::Unknown, SizeHint::Exact)
    }
}
