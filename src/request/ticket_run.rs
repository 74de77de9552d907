//! Requests with a ticket: claims the ticket and records the response, which is replayed if the request is
//! repeated.

use std::collections::VecDeque;
use std::sync::Arc;

use bytes::{Bytes, BytesMut};
use http::header::{self, HeaderMap, HeaderName, HeaderValue};
use http::{Response, StatusCode};

use crate::error::{Error, ErrorKind, Result, WorkOutcome};
use crate::policy::ticket_table::{ClaimResult, MAX_RESPONSE_BYTES, StoredResponse, Ticket, TicketOutcome};
use crate::request::header_rule;
use crate::request::response_stream::ResponseStream;
use crate::request::ticket_registry::TicketRegistry;
use crate::request::work_request::WorkRequest;

/// What to do with a request whose ticket was claimed.
#[derive(Debug)]
pub enum ClaimOutcome {
    /// Run the work and report its end through the [`TicketRun`].
    Run(TicketRun),
    /// Return this response of an earlier run.
    Replay(Box<Response<ResponseStream>>),
}

/// Parses the ticket header; `None` if the request has none.
///
/// # Errors
/// `bad_request` if it is malformed.
pub fn parse_ticket(headers: &HeaderMap) -> Result<Option<Ticket>> {
    let Some(value) = headers.get(header_rule::TICKET) else {
        return Ok(None);
    };
    let text = value.to_str().unwrap_or_default();
    text.trim().parse().map(Some)
}

/// Claims a ticket for a request, here or at the session that holds it.
///
/// # Errors
/// The reason why the work is not run; see [`ClaimResult`].
pub async fn claim(
    registry: &Arc<TicketRegistry>,
    ticket: Ticket,
    work: &WorkRequest,
) -> Result<ClaimOutcome> {
    let fingerprint = request_fingerprint(work);
    let refuse = |kind, message: &str| Err(Error::new(kind, message));
    match registry.claim(&ticket, &fingerprint).await? {
        ClaimResult::Run { claim } => Ok(ClaimOutcome::Run(TicketRun {
            registry: Arc::clone(registry),
            ticket: Some(ticket),
            claim,
        })),
        ClaimResult::Answered(stored) => Ok(ClaimOutcome::Replay(Box::new(replay_response(stored)))),
        ClaimResult::AlreadyRan => refuse(ErrorKind::AlreadyRan, "the work ran; its response is not kept"),
        ClaimResult::InProgress => refuse(ErrorKind::InProgress, "the work of this ticket is running"),
        ClaimResult::Unknown => refuse(ErrorKind::OutcomeUnknown, "it is not known whether the work ran"),
        ClaimResult::Forged => refuse(ErrorKind::BadRequest, "the ticket was not issued by its session"),
        ClaimResult::OtherRequest => refuse(ErrorKind::BadRequest, "the ticket belongs to another request"),
    }
}

/// Tells requests apart, so that a ticket's response is not returned to another request.
fn request_fingerprint(work: &WorkRequest) -> Arc<str> {
    let length = work.body.remaining();
    let target = &work.target;
    Arc::from(format!(
        "{} {} {} {target} {length}",
        work.key.team, work.service.id, work.method
    ))
}

fn replay_response(stored: StoredResponse) -> Response<ResponseStream> {
    let mut response = Response::new(ResponseStream::complete(stored.body));
    *response.status_mut() = StatusCode::from_u16(stored.status).unwrap_or(StatusCode::OK);
    for (name, value) in stored.headers {
        if let (Ok(name), Ok(value)) = (HeaderName::try_from(&*name), HeaderValue::from_str(&value)) {
            response.headers_mut().append(name, value);
        }
    }
    response
}

/// Claimed work, whose end has to be reported. Dropping it without a report reports the outcome as unknown.
#[derive(Debug)]
pub struct TicketRun {
    registry: Arc<TicketRegistry>,
    ticket: Option<Ticket>,
    claim: u32,
}

impl TicketRun {
    /// Reports that the work ended with an error.
    pub fn fail(self, error: &Error) {
        let is_not_run = error.kind().response().outcome == WorkOutcome::NotRun;
        self.finish(if is_not_run {
            TicketOutcome::NotRun
        } else {
            TicketOutcome::Unknown
        });
    }

    /// Records a response while it is sent, and reports it when it is complete.
    pub fn record(self, response: Response<ResponseStream>) -> Response<ResponseStream> {
        let headers = response
            .headers()
            .iter()
            .filter(|(name, _)| **name != header::DATE);
        let stored = StoredResponse {
            status: response.status().as_u16(),
            headers: headers
                .filter_map(|(name, value)| Some((name.as_str().into(), value.to_str().ok()?.into())))
                .collect(),
            body: Bytes::new(),
        };
        let recorder = ResponseRecorder {
            ticket_run: Some(self),
            stored: Some(stored),
            body: BytesMut::new(),
        };
        response.map(|stream| stream.with_recorder(recorder))
    }

    fn finish(mut self, end: TicketOutcome) {
        self.report(end);
    }

    fn report(&mut self, end: TicketOutcome) {
        if let Some(ticket) = self.ticket.take() {
            let registry = Arc::clone(&self.registry);
            let claim = self.claim;
            tokio::spawn(async move { registry.finish(ticket, claim, end).await });
        }
    }
}

impl Drop for TicketRun {
    fn drop(&mut self) {
        self.report(TicketOutcome::Unknown);
    }
}

/// Copies a response while it is sent. A body larger than [`MAX_RESPONSE_BYTES`] is not kept: a repeated
/// request is then told that the work ran.
#[derive(Debug)]
pub struct ResponseRecorder {
    ticket_run: Option<TicketRun>,
    stored: Option<StoredResponse>,
    body: BytesMut,
}

impl ResponseRecorder {
    /// Adds the next bytes of the body.
    pub fn add(&mut self, bytes: &Bytes) {
        if self.body.len() + bytes.len() > MAX_RESPONSE_BYTES {
            self.stored = None;
            self.body = BytesMut::new();
        } else if self.stored.is_some() {
            self.body.extend_from_slice(bytes);
        }
    }

    /// Records a complete body.
    pub fn record_complete(mut self, frames: &VecDeque<Bytes>) {
        for bytes in frames {
            self.add(bytes);
        }
        self.finish();
    }

    /// Reports the response, whose body is now complete.
    pub fn finish(mut self) {
        let body = std::mem::take(&mut self.body).freeze();
        let stored = self.stored.take().map(|stored| StoredResponse { body, ..stored });
        let end = stored.map_or(TicketOutcome::AnswerNotKept, TicketOutcome::Answered);
        if let Some(run) = self.ticket_run.take() {
            run.finish(end);
        }
    }
}
