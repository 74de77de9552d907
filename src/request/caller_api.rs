//! The callers' HTTP API for services (`/s/{service}/...`) and for tickets (`POST /tickets`).
//!
//! A ticket is an idempotency token: a request that is sent again with the same ticket does not run its work
//! a second time.

use std::sync::Arc;
use std::time::Duration;

use http::{Method, Response, StatusCode};
use serde::{Deserialize, Serialize};
use slog::{debug, info, o};

use crate::error::{Error, ErrorKind, Result};
use crate::journal::fleet_state::FleetState;
use crate::policy::ticket_table::Ticket;
use crate::request::entry_context::EntryContext;
use crate::request::forward;
use crate::request::http_server::{EntryHandler, EntryRequest};
use crate::request::key_check;
use crate::request::response;
use crate::request::response_stream::ResponseStream;
use crate::request::ticket_run::{self, ClaimOutcome};
use crate::request::work_request::{self, SERVICE_PREFIX, WorkRequest};

const TICKET_PATH: &str = "/tickets";
/// Largest accepted body of `POST /tickets`, in bytes.
const TICKET_BODY_BYTES: u64 = 1024;
/// Largest number of tickets that one request may ask for.
const MAX_TICKETS: u32 = 100;

/// Body of `POST /tickets`.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct TicketRequest {
    count: u32,
}

/// Response body of `POST /tickets`.
#[derive(Debug, Serialize)]
struct IssuedTickets {
    tickets: Vec<String>,
}

/// Handler for the callers' port. Requests for other paths go to `fallback`.
pub fn caller_handler(context: Arc<EntryContext>, fallback: EntryHandler) -> EntryHandler {
    Arc::new(move |request| {
        context.in_flight.record_arrival(context.clock.now());
        let path = request.parts.uri.path();
        if path == TICKET_PATH {
            let context = Arc::clone(&context);
            return Box::pin(async move {
                let response = issue_tickets(&context, &request).await;
                response.unwrap_or_else(|error| response::error_response(&error))
            });
        }
        if !path.starts_with(SERVICE_PREFIX) {
            return fallback(request);
        }
        let context = Arc::clone(&context);
        Box::pin(async move { handle_work(&context, request).await })
    })
}

/// Handler that answers every request with `not_found`.
pub fn not_found_handler() -> EntryHandler {
    Arc::new(|request| {
        let message = format!("no resource exists at {}", request.parts.uri.path());
        let response = response::error_response(&Error::new(ErrorKind::NotFound, message));
        Box::pin(std::future::ready(response))
    })
}

/// Handles a request for a service.
async fn handle_work(context: &EntryContext, request: EntryRequest) -> Response<ResponseStream> {
    let started = context.clock.now();
    let state = context.current_state();
    let (work, ticket) = match parse_work(context, &state, request) {
        Ok(parsed) => parsed,
        Err(error) => {
            context
                .metrics
                .record_response("none", error.kind().response().name, Duration::ZERO);
            info!(context.log, "request refused"; "kind" => %error.kind(), "detail" => error.message());
            return response::error_response(&error);
        }
    };
    let in_flight_guard = context.in_flight.track(work.deadline);
    let result = match ticket {
        None => forward::forward_work(context, &work).await,
        Some(ticket) => run_with_ticket(context, &work, ticket).await,
    };
    let elapsed = context.clock.now().saturating_duration_since(started);
    record_result(context, &work, &result, elapsed);
    let response = result.unwrap_or_else(|error| response::error_response(&error));
    response.map(|stream| stream.with_in_flight_guard(in_flight_guard))
}

fn record_result(
    context: &EntryContext,
    work: &WorkRequest,
    result: &Result<Response<ResponseStream>>,
    elapsed: Duration,
) {
    let service = work.service.id.as_str();
    let fields = o!(
        "request" => work.id.to_string(),
        "service" => service.to_owned(),
        "team" => work.key.team.to_string(),
        "elapsed_us" => elapsed.as_micros() as u64,
    );
    match result {
        Ok(response) => {
            context.metrics.record_response(service, "ok", elapsed);
            debug!(context.log, "request answered"; fields, "status" => response.status().as_u16());
        }
        Err(error) => {
            let kind = error.kind().response().name;
            context.metrics.record_response(service, kind, elapsed);
            info!(context.log, "request failed"; fields, "kind" => kind, "detail" => error.message());
        }
    }
}

async fn run_with_ticket(
    context: &EntryContext,
    work: &WorkRequest,
    ticket: Ticket,
) -> Result<Response<ResponseStream>> {
    let run = match ticket_run::claim(&context.tickets, ticket, work).await? {
        ClaimOutcome::Run(run) => run,
        ClaimOutcome::Replay(response) => return Ok(*response),
    };
    match forward::forward_work(context, work).await {
        Ok(response) => Ok(run.record(response)),
        Err(error) => {
            run.fail(&error);
            Err(error)
        }
    }
}

fn parse_work(
    context: &EntryContext,
    state: &FleetState,
    request: EntryRequest,
) -> Result<(WorkRequest, Option<Ticket>)> {
    context.check_open()?;
    let (service, target) = work_request::find_service(state, &request.parts)?;
    let key = key_check::check_key(state, &request.parts.headers)?;
    context.check_view(&key)?;
    let now = context.clock.now();
    let deadline = work_request::parse_deadline(&request.parts.headers, &service, context.max_deadline, now)?;
    let priority = work_request::parse_priority(&request.parts.headers)?;
    let ticket = ticket_run::parse_ticket(&request.parts.headers)?;
    let work = WorkRequest {
        id: context.next_request_id()?,
        service,
        key,
        has_ticket: ticket.is_some(),
        priority,
        deadline,
        method: request.parts.method,
        target,
        headers: request.parts.headers,
        body: request.body,
    };
    Ok((work, ticket))
}

/// Handles `POST /tickets`; an empty body asks for one ticket.
async fn issue_tickets(context: &EntryContext, request: &EntryRequest) -> Result<Response<ResponseStream>> {
    context.check_open()?;
    if request.parts.method != Method::POST {
        return Err(Error::new(
            ErrorKind::BadRequest,
            "tickets are issued by POST /tickets",
        ));
    }
    let state = context.current_state();
    let key = key_check::check_key(&state, &request.parts.headers)?;
    context.check_view(&key)?;
    let body = request.body.collect(TICKET_BODY_BYTES).await?;
    let count = if body.is_empty() { 1 } else { parse_count(&body)? };
    let tickets = context.tickets.issue(count)?;
    let body = IssuedTickets {
        tickets: tickets.iter().map(Ticket::to_string).collect(),
    };
    Ok(response::json_response(StatusCode::OK, &body))
}

fn parse_count(body: &[u8]) -> Result<u32> {
    let request: TicketRequest = serde_json::from_slice(body).map_err(|error| {
        Error::new(
            ErrorKind::BadRequest,
            format!("the body must be {{\"count\": n}}: {error}"),
        )
    })?;
    if (1..=MAX_TICKETS).contains(&request.count) {
        return Ok(request.count);
    }
    let message = format!("count must be from 1 to {MAX_TICKETS}");
    Err(Error::new(ErrorKind::BadRequest, message))
}
