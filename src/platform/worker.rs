//! Orders to workers.

use std::sync::Arc;
use std::time::Duration;

use http::{Method, StatusCode};
use serde::{Deserialize, Serialize};

use crate::dispatch::command::{
    CommandTarget, PollCommand, PollError, RunId, StartCommand, StartOutcome, StopOutcome,
};
use crate::dispatch::worker_report::{ActiveRun, EndedRun, RunOutcome, WorkerReport};
use crate::error::{Error, ErrorKind, Result};
use crate::model::id::{LeaderTerm, RunNumber};
use crate::model::unix_time::UnixMillis;
use crate::platform::http::{HttpClient, HttpError, HttpRequest, HttpResponse};

/// Header with the worker that an order is meant for.
const TARGET_HEADER: &str = "figloft-target-instance";

/// Time for the answer to a start, a stop or a pace. Workers answer within milliseconds; orders without an answer
/// are settled by a stop, so that waiting longer only delays that.
const ORDER_TIMEOUT: Duration = Duration::from_millis(600);

/// Time for the answer to a look beyond the time that the worker may wait.
const LOOK_TIMEOUT: Duration = Duration::from_millis(700);

/// Client for orders, with the token of one term.
#[derive(Debug, Clone)]
pub struct WorkerApiClient {
    caller: HttpClient,
    token: LeaderTerm,
}

#[derive(Debug, Serialize)]
#[serde(rename_all = "kebab-case")]
struct WireStart<'a> {
    task: String,
    run: u64,
    spec: &'a str,
    deadline_ms: u64,
    fencing_token: u64,
    #[serde(skip_serializing_if = "str::is_empty")]
    checkpoint: &'a str,
    #[serde(skip_serializing_if = "Option::is_none")]
    ticket: Option<&'a str>,
}

#[derive(Debug, Serialize)]
#[serde(rename_all = "kebab-case")]
struct WireStop {
    task: String,
    run: u64,
    fencing_token: u64,
}

#[derive(Debug, Serialize)]
#[serde(rename_all = "kebab-case")]
struct WirePace {
    task: String,
    run: u64,
    percent: u32,
    fencing_token: u64,
}

#[derive(Debug, Serialize)]
#[serde(rename_all = "kebab-case")]
struct WireHold {
    fencing_token: u64,
    ack_seq: u64,
    #[serde(skip_serializing_if = "Option::is_none")]
    deadline_ms: Option<u64>,
    #[serde(skip_serializing_if = "Option::is_none")]
    wait_ms: Option<u64>,
}

/// Task, run, checkpoint, progress in percent, load.
#[derive(Debug, Deserialize)]
struct WireRunning(
    String,
    u64,
    #[serde(default)] Arc<str>,
    #[serde(default)] f64,
    #[serde(default)] f64,
);

/// Number, task, run, how it ended, checkpoint.
#[derive(Debug, Deserialize)]
struct WireEnded(u64, String, u64, String, #[serde(default)] Arc<str>);

#[derive(Debug, Deserialize)]
#[serde(rename_all = "kebab-case")]
struct WireReport {
    clock_ms: u64,
    #[serde(default)]
    born: Option<u64>,
    #[serde(default)]
    running: Vec<WireRunning>,
    #[serde(default)]
    ended_runs: Vec<WireEnded>,
}

impl WorkerApiClient {
    /// Creates a client that gives orders under a term.
    pub fn new(caller: HttpClient, token: LeaderTerm) -> Self {
        Self { caller, token }
    }

    async fn send(
        &self,
        target: &CommandTarget,
        path: &str,
        body: &impl Serialize,
        timeout: Duration,
    ) -> std::result::Result<HttpResponse, HttpError> {
        let call = HttpRequest::new(target.address, Method::POST, path, timeout)
            .with_json(body)
            .and_then(|call| call.with_header(TARGET_HEADER, target.worker.as_str()))
            .map_err(|error| HttpError::NotSent(error.to_string()))?;
        self.caller.call(call).await
    }

    /// Starts a task.
    pub async fn start(&self, order: &StartCommand) -> StartOutcome {
        let body = WireStart {
            task: order.run.task.to_string(),
            run: order.run.number.get(),
            spec: &order.payload,
            deadline_ms: order.deadline_ms,
            fencing_token: self.token.get(),
            checkpoint: &order.checkpoint,
            ticket: order.ticket.as_deref(),
        };
        let answer = match self.send(&order.target, "/run-start", &body, ORDER_TIMEOUT).await {
            Ok(answer) => answer,
            Err(HttpError::NotSent(_)) => return StartOutcome::NotSent,
            Err(HttpError::NoResponse(_)) => return StartOutcome::Unknown,
        };
        match answer.status {
            StatusCode::OK => StartOutcome::Started,
            StatusCode::CONFLICT => match answer.reason().as_str() {
                "fence" => StartOutcome::Fenced,
                "old" => StartOutcome::OldRun,
                "late" => StartOutcome::LateOrder,
                "ticket" => StartOutcome::NoTicket,
                _ => StartOutcome::NoRoom,
            },
            StatusCode::TOO_MANY_REQUESTS | StatusCode::SERVICE_UNAVAILABLE => StartOutcome::Unhealthy,
            StatusCode::MISDIRECTED_REQUEST => StartOutcome::OtherWorker,
            StatusCode::BAD_REQUEST => StartOutcome::Malformed,
            _ => StartOutcome::Unknown,
        }
    }

    /// Stops a run.
    pub async fn stop(&self, target: &CommandTarget, run: &RunId) -> StopOutcome {
        let body = WireStop {
            task: run.task.to_string(),
            run: run.number.get(),
            fencing_token: self.token.get(),
        };
        let Ok(answer) = self.send(target, "/run-stop", &body, ORDER_TIMEOUT).await else {
            return StopOutcome::Unknown;
        };
        match answer.status {
            StatusCode::OK => StopOutcome::Taken,
            StatusCode::CONFLICT if answer.reason() == "fence" => StopOutcome::Fenced,
            StatusCode::MISDIRECTED_REQUEST => StopOutcome::OtherWorker,
            _ => StopOutcome::Unknown,
        }
    }

    /// Sets the pace of a run, in percent. Returns whether the worker took it.
    pub async fn pace(&self, target: &CommandTarget, run: &RunId, percent: u32) -> bool {
        let body = WirePace {
            task: run.task.to_string(),
            run: run.number.get(),
            percent,
            fencing_token: self.token.get(),
        };
        let answer = self.send(target, "/pace", &body, ORDER_TIMEOUT).await;
        answer.is_ok_and(|answer| answer.status == StatusCode::OK)
    }

    /// Looks at a worker.
    ///
    /// # Errors
    /// Why there is no report.
    pub async fn look(&self, order: &PollCommand) -> std::result::Result<WorkerReport, PollError> {
        let wait_ms = order.wait.as_millis() as u64;
        let body = WireHold {
            fencing_token: self.token.get(),
            ack_seq: order.acknowledged,
            deadline_ms: order.deadline_ms,
            wait_ms: (wait_ms > 0).then_some(wait_ms),
        };
        let answer = self
            .send(&order.target, "/hold", &body, order.wait + LOOK_TIMEOUT)
            .await
            .map_err(|fault| PollError::NoAnswer(fault.to_string().into()))?;
        match answer.status {
            StatusCode::OK => {
                decode_report(&answer).map_err(|error| PollError::NoAnswer(error.message().into()))
            }
            StatusCode::CONFLICT => Err(PollError::Fenced),
            StatusCode::MISDIRECTED_REQUEST => Err(PollError::OtherWorker),
            status => Err(PollError::NoAnswer(format!("status {status}").into())),
        }
    }
}

fn decode_report(answer: &HttpResponse) -> Result<WorkerReport> {
    let wire: WireReport = answer.json()?;
    let running = wire.running.into_iter().map(|row| {
        Ok(ActiveRun {
            task: row.0.parse()?,
            run: RunNumber::new(row.1),
            saved: row.2,
            percent: row.3,
            load: row.4,
        })
    });
    let ended = wire.ended_runs.into_iter().map(|row| {
        Ok(EndedRun {
            sequence: row.0,
            task: row.1.parse()?,
            run: RunNumber::new(row.2),
            end: decode_end(&row.3)?,
            saved: row.4,
        })
    });
    Ok(WorkerReport {
        clock_ms: wire.clock_ms,
        born: wire.born.map(UnixMillis::new),
        running: running.collect::<Result<_>>()?,
        ended: ended.collect::<Result<_>>()?,
    })
}

fn decode_end(text: &str) -> Result<RunOutcome> {
    match text {
        "done" => Ok(RunOutcome::Done),
        "failed" => Ok(RunOutcome::Failed),
        "stopped" => Ok(RunOutcome::Stopped),
        "lapsed" => Ok(RunOutcome::LeaseExpired),
        "broken" => Ok(RunOutcome::GangBroken),
        "alone" => Ok(RunOutcome::GangIncomplete),
        _ => Err(Error::new(
            ErrorKind::BadMessage,
            format!("end of a run: {text:?}"),
        )),
    }
}
