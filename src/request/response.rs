//! Responses that figloft generates itself, as opposed to those of backend servers.

use std::time::Duration;

use bytes::Bytes;
use http::header::{self, HeaderValue};
use http::{Response, StatusCode};
use serde::Serialize;

use crate::error::{Error, ErrorKind, RetryAdvice, WorkOutcome};
use crate::request::header_rule;
use crate::request::response_stream::ResponseStream;

/// `retry-after` of errors that advise a retry and name no time.
pub const DEFAULT_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Response for an error: status, outcome header, `retry-after` and the JSON body of [`Error::body`].
pub fn error_response(error: &Error) -> Response<ResponseStream> {
    let row = error.kind().response();
    let mut error = error.clone();
    if row.retry == RetryAdvice::After && error.retry_after().is_none() {
        error = error.with_retry_after(DEFAULT_RETRY_AFTER);
    }
    let status = StatusCode::from_u16(row.status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let mut response = json_response(status, &error.body());
    set_outcome(&mut response, row.outcome);
    if let Some(delay) = error.retry_after() {
        let seconds = delay.as_millis().div_ceil(1000).max(1) as u64;
        response
            .headers_mut()
            .insert(header::RETRY_AFTER, HeaderValue::from(seconds));
    }
    if error.kind() == ErrorKind::Draining {
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert(header::CONNECTION, close);
    }
    if error.kind() == ErrorKind::KeyMissing {
        let scheme = HeaderValue::from_static("Bearer");
        response.headers_mut().insert(header::WWW_AUTHENTICATE, scheme);
    }
    response
}

/// Response with a JSON body.
pub fn json_response(status: StatusCode, body: &impl Serialize) -> Response<ResponseStream> {
    let json = serde_json::to_vec(body).unwrap_or_default();
    text_response(status, "application/json", json)
}

/// Response with a complete body of the given content type.
pub fn text_response(
    status: StatusCode,
    content_type: &'static str,
    body: impl Into<Bytes>,
) -> Response<ResponseStream> {
    let mut response = Response::new(ResponseStream::complete(body.into()));
    *response.status_mut() = status;
    let content_type = HeaderValue::from_static(content_type);
    response.headers_mut().insert(header::CONTENT_TYPE, content_type);
    response
}

/// Sets `x-figloft-outcome`, which tells the caller whether the work ran.
pub fn set_outcome<B>(response: &mut Response<B>, outcome: WorkOutcome) {
    let value = match outcome {
        WorkOutcome::NotRun => "not-run",
        WorkOutcome::Unknown => "unknown",
        WorkOutcome::Ran => "ran",
    };
    response
        .headers_mut()
        .insert(header_rule::OUTCOME, HeaderValue::from_static(value));
}
