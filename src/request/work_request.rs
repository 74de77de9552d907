//! A caller's request to a service, parsed from its head.

use std::time::{Duration, Instant};

use http::header::HeaderMap;
use http::request::Parts;
use http::{Method, Version};

use crate::connection::backend_body::BodySource;
use crate::error::{Error, ErrorKind, Result};
use crate::journal::fleet_state::FleetState;
use crate::model::id::{RequestId, ServiceId};
use crate::model::priority::WorkPriority;
use crate::record::service::ServiceRecord;
use crate::request::header_rule;
use crate::request::key_check::CheckedKey;

/// Path prefix of requests to services.
pub const SERVICE_PREFIX: &str = "/s/";

/// A request to a service that has passed the checks of its head.
#[derive(Debug)]
pub struct WorkRequest {
    /// Request id, sent to the backend server and written to the log.
    pub id: RequestId,
    /// The service as configured when the request arrived.
    pub service: ServiceRecord,
    /// The caller's key as checked when the request arrived.
    pub key: CheckedKey,
    /// Whether the request has a ticket. Its work is then never sent again after it may have run.
    pub has_ticket: bool,
    /// Priority among the requests that wait for a slot of the service.
    pub priority: WorkPriority,
    /// When the caller stops waiting; the work is cancelled then.
    pub deadline: Instant,
    /// HTTP method.
    pub method: Method,
    /// Path and query at the backend server.
    pub target: String,
    /// Headers as received from the caller.
    pub headers: HeaderMap,
    /// Body, which is read from the caller only when it is forwarded.
    pub body: BodySource,
}

/// Finds the service of `/s/{service}/{path}` and returns it with the path and query for the backend server.
///
/// # Errors
/// `bad_request` if the name is malformed, `not_found` if there is no such service.
pub fn find_service(state: &FleetState, parts: &Parts) -> Result<(ServiceRecord, String)> {
    let path = parts.uri.path().strip_prefix(SERVICE_PREFIX).unwrap_or_default();
    let (name, rest) = path.split_once('/').unwrap_or((path, ""));
    let id: ServiceId = name.parse()?;
    let Some(service) = state.records.services.get(&id) else {
        return Err(Error::new(
            ErrorKind::NotFound,
            format!("service {id} does not exist"),
        ));
    };
    let query = parts
        .uri
        .query()
        .map(|query| format!("?{query}"))
        .unwrap_or_default();
    Ok((service.clone(), format!("/{rest}{query}")))
}

/// The request's deadline: what the caller asks for, limited by the service's maximum and by `max_deadline`.
/// Without the header, the limit is the deadline.
///
/// # Errors
/// `bad_request` if the header is not a number of milliseconds, `deadline_before_start` if it is 0.
pub fn parse_deadline(
    headers: &HeaderMap,
    service: &ServiceRecord,
    max_deadline: Duration,
    now: Instant,
) -> Result<Instant> {
    let limit = service.max_deadline().min(max_deadline);
    let Some(value) = headers.get(header_rule::DEADLINE) else {
        return Ok(now + limit);
    };
    let millis: Option<u64> = value.to_str().ok().and_then(|text| text.trim().parse().ok());
    let Some(millis) = millis else {
        let message = "x-figloft-deadline-ms must be a whole number of milliseconds";
        return Err(Error::new(ErrorKind::BadRequest, message));
    };
    if millis == 0 {
        let message = "the deadline had passed when the request arrived";
        return Err(Error::new(ErrorKind::DeadlineBeforeStart, message));
    }
    Ok(now + Duration::from_millis(millis).min(limit))
}

/// The request's priority; `bench` if the header is absent.
///
/// # Errors
/// `bad_request` if the header names no priority.
pub fn parse_priority(headers: &HeaderMap) -> Result<WorkPriority> {
    let Some(value) = headers.get(header_rule::PRIORITY) else {
        return Ok(WorkPriority::default());
    };
    let priority = value.to_str().ok().and_then(|text| text.trim().parse().ok());
    priority.ok_or_else(|| {
        let message = "x-figloft-priority must be urgent, bench or overnight";
        Error::new(ErrorKind::BadRequest, message)
    })
}

/// Rejects requests that cannot be handled. `accepts_chunked` tells whether the server accepts bodies without a length.
///
/// # Errors
/// `bad_request` for other versions than HTTP/1.1 and for `CONNECT`, `length_required` for bodies without a length.
pub fn check_forwardable(parts: &Parts, accepts_chunked: bool) -> Result<()> {
    if parts.version != Version::HTTP_11 {
        let message =
            "HTTP/1.1 is required: without chunked encoding a truncated response could be taken as complete";
        return Err(Error::new(ErrorKind::BadRequest, message));
    }
    if parts.method == Method::CONNECT {
        return Err(Error::new(ErrorKind::BadRequest, "CONNECT is not forwarded"));
    }
    // The server library reports a truncated chunked body as complete, so a truncated upload would be run. A
    // submission to a node is safe: a truncated job is not valid JSON.
    if !accepts_chunked && parts.headers.contains_key(http::header::TRANSFER_ENCODING) {
        let message = "the body needs a content-length; chunked requests are not accepted";
        return Err(Error::new(ErrorKind::LengthRequired, message));
    }
    Ok(())
}
