//! Client of the advice service, which decides the workers that may run a step and issues a ticket for each.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use http::{Method, StatusCode};
use serde::{Deserialize, Serialize};

use crate::dispatch::command::AdviceAnswer;
use crate::dispatch::task_id::StepId;
use crate::error::{Error, ErrorKind, Result};
use crate::model::id::WorkerId;
use crate::platform::http::{HttpClient, HttpRequest};

/// Timeout of a request. The service handles the requests of an instance one at a time, so that they may
/// queue.
const ADVICE_TIMEOUT: Duration = Duration::from_millis(2_500);

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
    #[serde(default = "default_validity")]
    valid_ms: u64,
}

/// Validity of the tickets, in milliseconds, if the response does not set it.
fn default_validity() -> u64 {
    1_000
}

/// Requests advice on which of `workers` may run a step.
///
/// # Errors
/// `worker_refused` if the service refuses the request or does not respond, `bad_message` if its response is
/// malformed.
pub async fn request_advice(
    http_client: &HttpClient,
    address: SocketAddr,
    step: &StepId,
    workers: &[WorkerId],
) -> Result<AdviceAnswer> {
    let body = WireAdviceRequest {
        step: step.to_string(),
        workers: workers.iter().map(WorkerId::as_str).collect(),
    };
    let request = HttpRequest::new(address, Method::POST, "/advise", ADVICE_TIMEOUT).with_json(&body)?;
    let response = http_client
        .send(request)
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
        validity: Duration::from_millis(wire.valid_ms),
    })
}
