//! A request with a ticket: the claim, and the record of its answer.

use std::collections::VecDeque;
use std::sync::Arc;

use bytes::{Bytes, BytesMut};
use http::header::{self, HeaderMap, HeaderName, HeaderValue};
use http::{Response, StatusCode};

use crate::error::{Error, ErrorKind, Result, WorkOutcome};
use crate::policy::ticket_table::{ANSWER_BYTES_KEPT, ClaimAnswer, StoredAnswer, Ticket, TicketEnd};
use crate::request::header_rule;
use crate::request::response_stream::ResponseStream;
use crate::request::ticket_registry::TicketRegistry;
use crate::request::work_request::WorkRequest;

/// Result of a claim.
#[derive(Debug)]
pub enum ClaimOutcome {
    /// The work is to be run.
    Run(TicketRun),
    /// The work ran before; its answer.
    Repeat(Box<Response<ResponseStream>>),
}

/// The ticket of a request, from the header.
///
/// # Errors
/// `bad_request` if it is malformed.
pub fn read_ticket(headers: &HeaderMap) -> Result<Option<Ticket>> {
    let Some(value) = headers.get(header_rule::TICKET) else {
        return Ok(None);
    };
    let text = value.to_str().unwrap_or_default();
    text.trim().parse().map(Some)
}

/// Claims a ticket for a request.
///
/// # Errors
/// The reason why the work is not run; see [`ClaimAnswer`].
pub async fn claim(desk: &Arc<TicketRegistry>, ticket: Ticket, work: &WorkRequest) -> Result<ClaimOutcome> {
    let request = request_identity(work);
    let refuse = |kind, message: &str| Err(Error::new(kind, message));
    match desk.claim(&ticket, &request).await? {
        ClaimAnswer::Run { claim } => Ok(ClaimOutcome::Run(TicketRun {
            desk: Arc::clone(desk),
            ticket: Some(ticket),
            claim,
        })),
        ClaimAnswer::Answered(stored) => Ok(ClaimOutcome::Repeat(Box::new(repeat_answer(stored)))),
        ClaimAnswer::AlreadyRan => refuse(ErrorKind::AlreadyRan, "the work ran; its answer is not kept"),
        ClaimAnswer::InProgress => refuse(ErrorKind::InProgress, "the work of this ticket is running"),
        ClaimAnswer::Unknown => refuse(ErrorKind::OutcomeUnknown, "it is not known whether the work ran"),
        ClaimAnswer::Forged => refuse(ErrorKind::BadRequest, "the ticket was not issued by its session"),
        ClaimAnswer::OtherRequest => refuse(ErrorKind::BadRequest, "the ticket belongs to another request"),
    }
}

/// Tells requests apart, so that a ticket's answer reaches no other request.
fn request_identity(work: &WorkRequest) -> Arc<str> {
    let length = work.body.remaining();
    let target = &work.target;
    Arc::from(format!(
        "{} {} {} {target} {length}",
        work.key.team, work.service.id, work.method
    ))
}

fn repeat_answer(stored: StoredAnswer) -> Response<ResponseStream> {
    let mut answer = Response::new(ResponseStream::whole(stored.body));
    *answer.status_mut() = StatusCode::from_u16(stored.status).unwrap_or(StatusCode::OK);
    for (name, value) in stored.headers {
        if let (Ok(name), Ok(value)) = (HeaderName::try_from(&*name), HeaderValue::from_str(&value)) {
            answer.headers_mut().append(name, value);
        }
    }
    answer
}

/// Claimed work. Dropping it without an end reports "unknown".
#[derive(Debug)]
pub struct TicketRun {
    desk: Arc<TicketRegistry>,
    ticket: Option<Ticket>,
    claim: u32,
}

impl TicketRun {
    /// Reports an error as the end.
    pub fn fail(self, error: &Error) {
        let is_not_run = error.kind().answer().outcome == WorkOutcome::NotRun;
        self.finish(if is_not_run {
            TicketEnd::NotRun
        } else {
            TicketEnd::Unknown
        });
    }

    /// Records an answer while it passes.
    pub fn record(self, answer: Response<ResponseStream>) -> Response<ResponseStream> {
        let headers = answer.headers().iter().filter(|(name, _)| **name != header::DATE);
        let stored = StoredAnswer {
            status: answer.status().as_u16(),
            headers: headers
                .filter_map(|(name, value)| Some((name.as_str().into(), value.to_str().ok()?.into())))
                .collect(),
            body: Bytes::new(),
        };
        let recorder = ResponseRecorder {
            run: Some(self),
            stored: Some(stored),
            body: BytesMut::new(),
        };
        answer.map(|stream| stream.with_recorder(recorder))
    }

    fn finish(mut self, end: TicketEnd) {
        self.report(end);
    }

    fn report(&mut self, end: TicketEnd) {
        if let Some(ticket) = self.ticket.take() {
            let desk = Arc::clone(&self.desk);
            let claim = self.claim;
            tokio::spawn(async move { desk.finish(ticket, claim, end).await });
        }
    }
}

impl Drop for TicketRun {
    fn drop(&mut self) {
        self.report(TicketEnd::Unknown);
    }
}

/// Copies an answer for repeated submissions, up to the size that is kept.
#[derive(Debug)]
pub struct ResponseRecorder {
    run: Option<TicketRun>,
    stored: Option<StoredAnswer>,
    body: BytesMut,
}

impl ResponseRecorder {
    /// Takes bytes of the answer.
    pub fn add(&mut self, bytes: &Bytes) {
        if self.body.len() + bytes.len() > ANSWER_BYTES_KEPT {
            self.stored = None;
            self.body = BytesMut::new();
        } else if self.stored.is_some() {
            self.body.extend_from_slice(bytes);
        }
    }

    /// Takes all bytes of a whole answer and ends.
    pub fn add_whole(mut self, frames: &VecDeque<Bytes>) {
        for bytes in frames {
            self.add(bytes);
        }
        self.complete();
    }

    /// The answer is whole.
    pub fn complete(mut self) {
        let body = std::mem::take(&mut self.body).freeze();
        let stored = self.stored.take().map(|stored| StoredAnswer { body, ..stored });
        let end = stored.map_or(TicketEnd::AnswerNotKept, TicketEnd::Answered);
        if let Some(run) = self.run.take() {
            run.finish(end);
        }
    }
}
