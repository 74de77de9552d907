//! Forwards a request to a backend server, with retries, and streams the response back to the caller.

use std::time::{Duration, Instant};

use bytes::Bytes;
use futures_util::FutureExt;
use http::header::{self, HeaderMap};
use http::{Method, Request, Response, StatusCode};
use http_body::Body;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use tokio::sync::mpsc;

use crate::connection::backend_body::BackendBody;
use crate::error::{Error, ErrorKind, Result, WorkOutcome};
use crate::model::id::InstanceId;
use crate::policy::admission_queue::SlotWaiter;
use crate::policy::retry_budget::AttemptFailure;
use crate::policy::slot_table::{SlotGrant, SlotOutcome};
use crate::request::admission_controller::WorkPermit;
use crate::request::entry_context::EntryContext;
use crate::request::header_rule;
use crate::request::response;
use crate::request::response_stream::{ResponseItem, ResponseStream};
use crate::request::work_request::WorkRequest;

/// Body frames buffered between the backend server's connection and the caller's.
const BUFFERED_FRAMES: usize = 1;

/// Failure of one attempt, before anything was sent to the caller.
#[derive(Debug)]
struct AttemptError {
    proof: AttemptFailure,
    end: SlotOutcome,
    error: Error,
}

/// Waits for a slot, forwards the request and returns the response. An attempt is retried only if its work
/// certainly did not run or may be repeated. Once an attempt may have run, no later refusal is reported as
/// "not run".
///
/// # Errors
/// The refusal or failure; its kind tells whether the work may have run.
pub async fn forward_work(context: &EntryContext, work: &WorkRequest) -> Result<Response<ResponseStream>> {
    let mut permit = context.admission.acquire(slot_waiter(context, work)).await?;
    let mut tried: Vec<InstanceId> = Vec::new();
    let mut uncertain_error: Option<Error> = None;
    loop {
        if let Err(refusal) = context.recheck(&work.key) {
            return Err(uncertain_error.unwrap_or(refusal));
        }
        let Some(grant) = permit.grant().cloned() else {
            return Err(Error::new(
                ErrorKind::Internal,
                "a request has no slot on a backend server",
            ));
        };
        let failure = match attempt(context, work, &grant, permit).await {
            Ok(response) => return Ok(response),
            Err((error, returned)) => {
                permit = returned;
                error
            }
        };
        permit.set_end(failure.end);
        tried.push(grant.instance);
        if failure.proof == AttemptFailure::MayHaveRun {
            uncertain_error = Some(failure.error.clone());
        }
        let Some(backoff) = retry_backoff(context, work, failure.proof, tried.len() as u32) else {
            return Err(uncertain_error.unwrap_or(failure.error));
        };
        tokio::time::sleep(backoff).await;
        if permit.switch_server(&tried).is_err() {
            return Err(uncertain_error.unwrap_or(failure.error));
        }
    }
}

/// Back-off before the next attempt; `None` if the request must not be sent again.
fn retry_backoff(
    context: &EntryContext,
    work: &WorkRequest,
    proof: AttemptFailure,
    attempts: u32,
) -> Option<Duration> {
    if !work.body.is_unread() {
        return None;
    }
    let remaining = work.deadline.saturating_duration_since(context.clock.now());
    context.admission.take_retry(
        &work.service.id,
        proof,
        work.service.idempotent,
        attempts,
        remaining,
    )
}

fn slot_waiter(context: &EntryContext, work: &WorkRequest) -> SlotWaiter {
    let now = context.clock.now();
    let remaining = work.deadline.saturating_duration_since(now);
    SlotWaiter {
        service: work.service.id.clone(),
        team: work.key.team.clone(),
        priority: work.priority,
        wait_until: now + remaining * context.wait_share_permille / 1000,
    }
}

/// Makes one attempt. On failure the permit is returned with the error; on success it is held until the
/// response has been sent.
async fn attempt(
    context: &EntryContext,
    work: &WorkRequest,
    grant: &SlotGrant,
    mut permit: WorkPermit,
) -> std::result::Result<Response<ResponseStream>, (AttemptError, WorkPermit)> {
    let started = context.clock.now();
    let response = match send_request(context, work, grant, started).await {
        Ok(response) => response,
        Err(error) => return Err((error, permit)),
    };
    let (mut parts, mut incoming) = response.into_parts();
    let is_failure = parts.status.is_server_error();
    let has_length = parts.headers.contains_key(header::CONTENT_LENGTH);
    header_rule::remove_hop_by_hop_headers(&mut parts.headers);
    let outcome = if is_failure {
        WorkOutcome::Unknown
    } else {
        WorkOutcome::Ran
    };
    let end = if is_failure {
        SlotOutcome::Failure
    } else {
        SlotOutcome::Success
    };
    let first = match first_frame(context, work, &mut incoming, started).await {
        Ok(first) => first,
        Err(error) => return Err((error, permit)),
    };
    let stream = match first {
        FirstFrame::Complete(bytes) => {
            permit.set_end(end);
            ResponseStream::complete(bytes)
        }
        FirstFrame::Partial(bytes) => {
            let length = has_length.then(|| bytes.len() as u64 + incoming.size_hint().lower());
            let (sender, receiver) = mpsc::channel(BUFFERED_FRAMES);
            let relay = BodyRelay {
                incoming,
                sender,
                permit,
                deadline: work.deadline,
                end,
                timeout_end: timeout_end(context, work, started),
            };
            tokio::spawn(relay.run());
            ResponseStream::streaming(bytes, receiver, length)
        }
    };
    let mut response = Response::from_parts(parts, stream);
    response::set_outcome(&mut response, outcome);
    Ok(response)
}

/// How a time-out at the request's deadline is reported to the slot table.
fn timeout_end(context: &EntryContext, work: &WorkRequest, started: Instant) -> SlotOutcome {
    let waited = work.deadline.saturating_duration_since(started);
    let is_late = context
        .admission
        .is_late(&work.service.id, waited, work.service.max_deadline());
    if is_late {
        SlotOutcome::Failure
    } else {
        SlotOutcome::Neutral
    }
}

async fn send_request(
    context: &EntryContext,
    work: &WorkRequest,
    grant: &SlotGrant,
    started: Instant,
) -> std::result::Result<Response<Incoming>, AttemptError> {
    let remaining = work.deadline.saturating_duration_since(started);
    if remaining.is_zero() {
        return Err(AttemptError {
            proof: AttemptFailure::NotRun,
            end: SlotOutcome::Neutral,
            error: Error::new(
                ErrorKind::DeadlineBeforeStart,
                "the deadline passed while waiting for a slot",
            ),
        });
    }
    let request = build_request(work, grant, remaining)?;
    let call = tokio::time::timeout_at(work.deadline.into(), context.client.send(request));
    let Ok(result) = call.await else {
        return Err(deadline_error(context, work, started));
    };
    let response = result.map_err(|error| {
        let is_truncated = work.body.is_truncated();
        let end = if is_truncated {
            SlotOutcome::Neutral
        } else {
            SlotOutcome::Failure
        };
        if error.is_not_sent {
            let message = format!("backend server {}: {}", grant.instance, error.detail);
            return AttemptError {
                proof: AttemptFailure::NotRun,
                end,
                error: Error::new(ErrorKind::NoBackend, message),
            };
        }
        let message = format!("backend server {}: {}", grant.instance, error.detail);
        AttemptError {
            proof: AttemptFailure::MayHaveRun,
            end,
            error: Error::new(ErrorKind::BackendFailed, message),
        }
    })?;
    check_response_head(context, work, grant, response)
}

fn build_request(
    work: &WorkRequest,
    grant: &SlotGrant,
    remaining: Duration,
) -> std::result::Result<Request<BackendBody>, AttemptError> {
    let headers = header_rule::backend_headers(
        work.headers.clone(),
        work.id.as_str(),
        work.key.team.as_str(),
        remaining,
    );
    let uri = format!("http://{}{}", grant.address, work.target);
    let request = Request::builder()
        .method(work.method.clone())
        .uri(uri)
        .body(work.body.body());
    let mut request = request.map_err(|error| AttemptError {
        proof: AttemptFailure::NotRun,
        end: SlotOutcome::Neutral,
        error: Error::new(
            ErrorKind::BadRequest,
            format!("the request cannot be forwarded: {error}"),
        ),
    })?;
    *request.headers_mut() = headers;
    Ok(request)
}

/// Checks the head of a response: whether the server is shutting down, refused the work before its start, or
/// sends a body whose end cannot be verified.
fn check_response_head(
    context: &EntryContext,
    work: &WorkRequest,
    grant: &SlotGrant,
    response: Response<Incoming>,
) -> std::result::Result<Response<Incoming>, AttemptError> {
    let headers = response.headers();
    let is_leaving = header_rule::is_set(headers, &header_rule::LEAVING);
    if is_leaving {
        context.admission.mark_leaving(&grant.instance);
    }
    let status = response.status();
    if status == StatusCode::SERVICE_UNAVAILABLE && header_rule::is_set(headers, &header_rule::NOT_RUN) {
        let message = format!("backend server {} did not start the work", grant.instance);
        return Err(AttemptError {
            proof: AttemptFailure::NotRun,
            end: if is_leaving {
                SlotOutcome::Neutral
            } else {
                SlotOutcome::Failure
            },
            error: Error::new(ErrorKind::BackendRefused, message),
        });
    }
    if status.is_informational() {
        let message = format!("backend server {} answered {status}", grant.instance);
        return Err(backend_error(ErrorKind::BackendFailed, message));
    }
    if !has_verifiable_end(&work.method, status, headers) && !response.body().is_end_stream() {
        let message = format!(
            "backend server {}: without chunked encoding or content-length, the response's end cannot be verified",
            grant.instance
        );
        return Err(backend_error(ErrorKind::BackendTruncated, message));
    }
    Ok(response)
}

/// Whether a truncated response can be told from a complete one.
fn has_verifiable_end(method: &Method, status: StatusCode, headers: &HeaderMap) -> bool {
    let has_no_body =
        *method == Method::HEAD || status == StatusCode::NO_CONTENT || status == StatusCode::NOT_MODIFIED;
    has_no_body
        || headers.contains_key(header::CONTENT_LENGTH)
        || headers.contains_key(header::TRANSFER_ENCODING)
}

fn backend_error(kind: ErrorKind, message: String) -> AttemptError {
    AttemptError {
        proof: AttemptFailure::MayHaveRun,
        end: SlotOutcome::Failure,
        error: Error::new(kind, message),
    }
}

fn deadline_error(context: &EntryContext, work: &WorkRequest, started: Instant) -> AttemptError {
    AttemptError {
        proof: AttemptFailure::MayHaveRun,
        end: timeout_end(context, work, started),
        error: Error::new(
            ErrorKind::DeadlineExceeded,
            "the deadline passed before the response was complete",
        ),
    }
}

/// First bytes of a response.
#[derive(Debug)]
enum FirstFrame {
    /// The response is complete.
    Complete(Bytes),
    /// More of the body follows.
    Partial(Bytes),
}

/// Waits for the first bytes, so that a response that is truncated before them becomes an error response
/// instead of an aborted connection.
async fn first_frame(
    context: &EntryContext,
    work: &WorkRequest,
    incoming: &mut Incoming,
    started: Instant,
) -> std::result::Result<FirstFrame, AttemptError> {
    let next = next_data(incoming);
    let Ok(result) = tokio::time::timeout_at(work.deadline.into(), next).await else {
        return Err(deadline_error(context, work, started));
    };
    let truncated = |detail: hyper::Error| {
        backend_error(
            ErrorKind::BackendTruncated,
            format!("the backend server's response was truncated: {detail}"),
        )
    };
    let Some(first) = result.map_err(truncated)? else {
        return Ok(FirstFrame::Complete(Bytes::new()));
    };
    if incoming.is_end_stream() {
        return Ok(FirstFrame::Complete(first));
    }
    match next_data(incoming).now_or_never() {
        None => Ok(FirstFrame::Partial(first)),
        Some(Ok(None)) => Ok(FirstFrame::Complete(first)),
        Some(Ok(Some(second))) => {
            let joined = [first, second].concat();
            Ok(FirstFrame::Partial(Bytes::from(joined)))
        }
        Some(Err(detail)) => Err(truncated(detail)),
    }
}

/// The next bytes of a body; `None` at its verified end. Trailers are dropped.
async fn next_data(incoming: &mut Incoming) -> std::result::Result<Option<Bytes>, hyper::Error> {
    while let Some(frame) = incoming.frame().await {
        if let Ok(data) = frame?.into_data() {
            return Ok(Some(data));
        }
    }
    Ok(None)
}

/// Copies the rest of a response body from the backend server to the caller.
#[derive(Debug)]
struct BodyRelay {
    incoming: Incoming,
    sender: mpsc::Sender<ResponseItem>,
    permit: WorkPermit,
    deadline: Instant,
    end: SlotOutcome,
    timeout_end: SlotOutcome,
}

impl BodyRelay {
    /// Copies until the body ends, the deadline passes, the body is truncated or the caller disconnects. In
    /// the last three cases the connection to the backend server is closed, because its response was not read
    /// to the end.
    async fn run(mut self) {
        let copied = tokio::time::timeout_at(self.deadline.into(), self.copy()).await;
        let end = copied.unwrap_or(self.timeout_end);
        self.permit.set_end(end);
    }

    async fn copy(&mut self) -> SlotOutcome {
        loop {
            let next = tokio::select! {
                biased;
                () = self.sender.closed() => return SlotOutcome::Neutral,
                next = next_data(&mut self.incoming) => next,
            };
            let item = match next {
                Ok(Some(bytes)) => ResponseItem::Data(bytes),
                Ok(None) => ResponseItem::End,
                Err(_) => return SlotOutcome::Failure,
            };
            let is_last = matches!(item, ResponseItem::End);
            if self.sender.send(item).await.is_err() {
                return SlotOutcome::Neutral;
            }
            if is_last {
                return self.end;
            }
        }
    }
}
