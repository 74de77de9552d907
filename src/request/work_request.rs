//! One caller's request for work, read from its head.

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

/// Prefix of the paths of services.
pub const SERVICE_PREFIX: &str = "/s/";

/// A request for work of a service.
#[derive(Debug)]
pub struct WorkRequest {
    /// Id, sent to the backend server and written to the log.
    pub id: RequestId,
    /// The service as accepted when the request came in.
    pub service: ServiceRecord,
    /// The caller's key.
    pub key: CheckedKey,
    /// Whether the request has a ticket; its work is then never sent again after it may have run.
    pub has_ticket: bool,
    /// Priority.
    pub priority: WorkPriority,
    /// Time at which the caller stops waiting.
    pub deadline: Instant,
    /// Method.
    pub method: Method,
    /// Path and query at the backend server.
    pub target: String,
    /// Headers as received.
    pub headers: HeaderMap,
    /// Body.
    pub body: BodySource,
}

/// Service and path at the backend server of `/s/{service}/{path}`.
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

/// The request's deadline: what the caller asks for, at limit the service's largest and `max_deadline`.
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

/// Checks what cannot be forwarded.
///
/// # Errors
/// `bad_request` for HTTP/1.0, `CONNECT` and bodies without a declared length.
pub fn check_forwardable(parts: &Parts) -> Result<()> {
    if parts.version != Version::HTTP_11 {
        let message = "HTTP/1.1 is needed: without chunks a cut answer could be taken as whole";
        return Err(Error::new(ErrorKind::BadRequest, message));
    }
    if parts.method == Method::CONNECT {
        return Err(Error::new(ErrorKind::BadRequest, "CONNECT is not forwarded"));
    }
    // The server library reports a chunked body that was cut as complete, so that a cut upload would run.
    if parts.headers.contains_key(http::header::TRANSFER_ENCODING) {
        let message = "the body needs a content-length; chunked requests are not taken";
        return Err(Error::new(ErrorKind::BadRequest, message));
    }
    Ok(())
}
