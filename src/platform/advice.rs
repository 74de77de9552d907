//! Client of the advice service, which decides the workers that may run a step and issues a ticket for each.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use http::{Method, StatusCode};
use serde::{Deserialize, Serialize};

use crate::clock::SharedClock;
use crate::dispatch::command::{AdviceAnswer, AdviceRequest};
use crate::error::{Error, ErrorKind, Result};
use crate::model::id::WorkerId;
use crate::platform::http::{HttpClient, HttpRequest};

#[derive(Debug, Serialize)]
struct WireAdviceRequest<'a> {
    step: String,
    workers: Vec<&'a str>,
}

#[derive(Debug, Deserialize)]
#[serde(rename_all = "kebab-case")]
struct WireAdviceResponse {
    /// Workers that may run the step, each with its ticket.
    good: Vec<(Arc<str>, Arc<str>)>,
    /// Validity of the tickets in milliseconds; the queue's rule holds if it is absent.
    #[serde(default)]
    valid_ms: Option<u64>,
}

/// Requests advice on which workers may run a step.
///
/// # Errors
/// `worker_refused` if the service refuses the request or does not respond, `bad_message` if its response is
/// malformed.
pub async fn request_advice(
    http_client: &HttpClient,
    clock: &SharedClock,
    address: SocketAddr,
    request: &AdviceRequest,
) -> Result<AdviceAnswer> {
    let body = WireAdviceRequest {
        step: request.step.to_string(),
        workers: request.workers.iter().map(WorkerId::as_str).collect(),
    };
    let call = HttpRequest::new(address, Method::POST, "/advise", request.timeout).with_json(&body)?;
    let sent_at = clock.now();
    let response = http_client
        .send(call)
        .await
        .map_err(|error| Error::new(ErrorKind::WorkerRefused, format!("advice service: {error}")))?;
    if response.status != StatusCode::OK {
        let message = format!("the advice service responded with status {}", response.status);
        return Err(Error::new(ErrorKind::WorkerRefused, message));
    }
    let wire: WireAdviceResponse = response.json()?;
    let tickets = wire
        .good
        .into_iter()
        .map(|(worker, ticket)| Ok((WorkerId::new(worker)?, ticket)));
    Ok(AdviceAnswer {
        tickets: tickets.collect::<Result<_>>()?,
        latency: clock.now().saturating_duration_since(sent_at),
        validity: wire
            .valid_ms
            .map_or(request.default_validity, Duration::from_millis),
    })
}
