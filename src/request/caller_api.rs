//! What callers can ask for: work of services and tickets.

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

/// Path at which tickets are issued.
const TICKET_PATH: &str = "/tickets";
/// Largest body of a request for tickets.
const TICKET_BODY_BYTES: u64 = 1024;
/// Tickets issued by one request at most.
const MAX_TICKETS: u32 = 100;

/// Body of a request for tickets.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct TicketOrder {
    count: u32,
}

/// Body of the answer to a request for tickets.
#[derive(Debug, Serialize)]
struct IssuedTickets {
    tickets: Vec<String>,
}

/// Handler of the callers' port; what it does not know goes to `other`.
pub fn caller_handler(context: Arc<EntryContext>, other: EntryHandler) -> EntryHandler {
    Arc::new(move |call| {
        context.in_flight.record_arrival(context.clock.now());
        let path = call.parts.uri.path();
        if path == TICKET_PATH {
            let context = Arc::clone(&context);
            return Box::pin(async move {
                let answer = issue_tickets(&context, &call).await;
                answer.unwrap_or_else(|error| response::error_response(&error))
            });
        }
        if !path.starts_with(SERVICE_PREFIX) {
            return other(call);
        }
        let context = Arc::clone(&context);
        Box::pin(async move { serve_work(&context, call).await })
    })
}

/// Handler that knows no path.
pub fn not_found_handler() -> EntryHandler {
    Arc::new(|call| {
        let message = format!("there is nothing at {}", call.parts.uri.path());
        let answer = response::error_response(&Error::new(ErrorKind::NotFound, message));
        Box::pin(std::future::ready(answer))
    })
}

/// Answers a request for a service.
async fn serve_work(context: &EntryContext, call: EntryRequest) -> Response<ResponseStream> {
    let started = context.clock.now();
    let state = context.current_state();
    let (work, ticket) = match read_work(context, &state, call) {
        Ok(read) => read,
        Err(error) => {
            context
                .metrics
                .on_answer("none", error.kind().answer().name, Duration::ZERO);
            info!(context.log, "request refused"; "kind" => %error.kind(), "detail" => error.message());
            return response::error_response(&error);
        }
    };
    let guard = context.in_flight.enter(work.deadline);
    let result = match ticket {
        None => forward::run_work(context, &work).await,
        Some(ticket) => run_with_ticket(context, &work, ticket).await,
    };
    let elapsed = context.clock.now().saturating_duration_since(started);
    note_result(context, &work, &result, elapsed);
    let answer = result.unwrap_or_else(|error| response::error_response(&error));
    answer.map(|stream| stream.with_guard(guard))
}

/// Writes the result into metrics and log.
fn note_result(
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
        Ok(answer) => {
            context.metrics.on_answer(service, "ok", elapsed);
            debug!(context.log, "request answered"; fields, "status" => answer.status().as_u16());
        }
        Err(error) => {
            let kind = error.kind().answer().name;
            context.metrics.on_answer(service, kind, elapsed);
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
        ClaimOutcome::Repeat(answer) => return Ok(*answer),
    };
    match forward::run_work(context, work).await {
        Ok(answer) => Ok(run.record(answer)),
        Err(error) => {
            run.fail(&error);
            Err(error)
        }
    }
}

fn read_work(
    context: &EntryContext,
    state: &FleetState,
    call: EntryRequest,
) -> Result<(WorkRequest, Option<Ticket>)> {
    context.check_open()?;
    let (service, target) = work_request::find_service(state, &call.parts)?;
    let key = key_check::check_key(state, &call.parts.headers)?;
    context.check_view(&key)?;
    let now = context.clock.now();
    let deadline = work_request::read_deadline(&call.parts.headers, &service, context.max_deadline, now)?;
    let priority = work_request::read_priority(&call.parts.headers)?;
    let ticket = ticket_run::read_ticket(&call.parts.headers)?;
    let work = WorkRequest {
        id: context.next_request_id()?,
        service,
        key,
        has_ticket: ticket.is_some(),
        priority,
        deadline,
        method: call.parts.method,
        target,
        headers: call.parts.headers,
        body: call.body,
    };
    Ok((work, ticket))
}

/// `POST /tickets`, with `{"count": n}` or an empty body for one.
async fn issue_tickets(context: &EntryContext, call: &EntryRequest) -> Result<Response<ResponseStream>> {
    context.check_open()?;
    if call.parts.method != Method::POST {
        return Err(Error::new(
            ErrorKind::BadRequest,
            "tickets are issued by POST /tickets",
        ));
    }
    let state = context.current_state();
    let key = key_check::check_key(&state, &call.parts.headers)?;
    context.check_view(&key)?;
    let body = call.body.collect(TICKET_BODY_BYTES).await?;
    let count = if body.is_empty() { 1 } else { read_count(&body)? };
    let tickets = context.tickets.issue(count)?;
    let body = IssuedTickets {
        tickets: tickets.iter().map(Ticket::to_string).collect(),
    };
    Ok(response::json_response(StatusCode::OK, &body))
}

fn read_count(body: &[u8]) -> Result<u32> {
    let order: TicketOrder = serde_json::from_slice(body).map_err(|error| {
        Error::new(
            ErrorKind::BadRequest,
            format!("the body must be {{\"count\": n}}: {error}"),
        )
    })?;
    if (1..=MAX_TICKETS).contains(&order.count) {
        return Ok(order.count);
    }
    let message = format!("count must be from 1 to {MAX_TICKETS}");
    Err(Error::new(ErrorKind::BadRequest, message))
}
