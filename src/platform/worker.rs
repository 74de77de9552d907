//! Client of the workers: starts and stops runs, sets their speed and polls the workers.

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
use crate::model::listed_rows::ListedRows;
use crate::model::unix_time::UnixMillis;
use crate::platform::http::{HttpClient, HttpError, HttpRequest, HttpResponse};

/// Header with the id of the intended worker. Another worker that has taken over the address refuses the
/// request.
const TARGET_HEADER: &str = "figloft-target-instance";

/// Timeout of a command other than a poll. Workers respond within milliseconds. A start without a response is
/// settled by a stop, which a longer timeout would only delay.
const COMMAND_TIMEOUT: Duration = Duration::from_millis(600);

/// Time beyond the wait of a poll after which a poll without a response times out.
const POLL_GRACE: Duration = Duration::from_millis(700);

/// Number of ended runs to which a worker cuts its list; the next ones follow once these are acknowledged.
const MAX_LISTED_ENDS: usize = 500;

/// Client of all workers of a pool, for one term of the pool's leader.
#[derive(Debug, Clone)]
pub struct WorkerApiClient {
    http_client: HttpClient,
    fencing_token: LeaderTerm,
}

#[derive(Debug, Serialize)]
#[serde(rename_all = "kebab-case")]
struct WireStart<'a> {
    task: String,
    run: u64,
    /// Payload of the job.
    spec: &'a str,
    /// End of the lease on the worker's clock.
    deadline_ms: u64,
    fencing_token: u64,
    #[serde(skip_serializing_if = "str::is_empty")]
    checkpoint: &'a str,
    /// Ticket that the advice service has issued for the worker.
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
struct WireSpeed {
    task: String,
    run: u64,
    /// Speed in percent of full speed.
    percent: u32,
    fencing_token: u64,
}

#[derive(Debug, Serialize)]
#[serde(rename_all = "kebab-case")]
struct WirePoll {
    fencing_token: u64,
    /// Ended runs up to this sequence number are acknowledged.
    ack_seq: u64,
    /// New end of the lease on the worker's clock; without it the lease stays as it is.
    #[serde(skip_serializing_if = "Option::is_none")]
    deadline_ms: Option<u64>,
    /// Time for which the worker may delay its response until a run ends.
    #[serde(skip_serializing_if = "Option::is_none")]
    wait_ms: Option<u64>,
}

/// A run in progress: task, run number, newest checkpoint, progress in percent, load (see [`ActiveRun`]).
#[derive(Debug, Deserialize)]
struct WireRunningRun(
    String,
    u64,
    #[serde(default)] Arc<str>,
    #[serde(default)] f64,
    #[serde(default)] f64,
);

/// A run that has ended: sequence number, task, run number, outcome, newest checkpoint.
#[derive(Debug, Deserialize)]
struct WireEndedRun(u64, String, u64, String, #[serde(default)] Arc<str>);

#[derive(Debug, Deserialize)]
#[serde(rename_all = "kebab-case")]
struct WireReport {
    /// The worker's steady clock, on which leases end.
    clock_ms: u64,
    /// Start of the worker's process in Unix milliseconds, which identifies its incarnation.
    #[serde(default)]
    born: Option<u64>,
    #[serde(default)]
    running: Vec<WireRunningRun>,
    #[serde(default)]
    ended_runs: Vec<WireEndedRun>,
}

impl WorkerApiClient {
    /// Creates a client whose commands carry `fencing_token`. Workers refuse it once they have seen a higher
    /// one.
    pub fn new(http_client: HttpClient, fencing_token: LeaderTerm) -> Self {
        Self {
            http_client,
            fencing_token,
        }
    }

    async fn send(
        &self,
        target: &CommandTarget,
        path: &str,
        body: &impl Serialize,
        timeout: Duration,
    ) -> std::result::Result<HttpResponse, HttpError> {
        let request = HttpRequest::new(target.address, Method::POST, path, timeout)
            .with_json(body)
            .and_then(|request| request.with_header(TARGET_HEADER, target.worker.as_str()))
            .map_err(|error| HttpError::NotSent(error.to_string()))?;
        self.http_client.send(request).await
    }

    /// Starts a run of a task.
    pub async fn start(&self, command: &StartCommand) -> StartOutcome {
        let body = WireStart {
            task: command.run.task.to_string(),
            run: command.run.number.get(),
            spec: &command.payload,
            deadline_ms: command.deadline_ms,
            fencing_token: self.fencing_token.get(),
            checkpoint: &command.checkpoint,
            ticket: command.ticket.as_deref(),
        };
        let response = match self
            .send(&command.target, "/run-start", &body, COMMAND_TIMEOUT)
            .await
        {
            Ok(response) => response,
            Err(HttpError::NotSent(_)) => return StartOutcome::NotSent,
            Err(HttpError::NoResponse(_)) => return StartOutcome::Unknown,
        };
        match response.status {
            StatusCode::OK => StartOutcome::Started,
            StatusCode::CONFLICT => match response.reason().as_str() {
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
            fencing_token: self.fencing_token.get(),
        };
        let Ok(response) = self.send(target, "/run-stop", &body, COMMAND_TIMEOUT).await else {
            return StopOutcome::Unknown;
        };
        match response.status {
            StatusCode::OK => StopOutcome::Taken,
            StatusCode::CONFLICT if response.reason() == "fence" => StopOutcome::Fenced,
            StatusCode::MISDIRECTED_REQUEST => StopOutcome::OtherWorker,
            _ => StopOutcome::Unknown,
        }
    }

    /// Sets the speed of a run, in percent of full speed. Returns whether the worker accepted it.
    pub async fn set_speed(&self, target: &CommandTarget, run: &RunId, percent: u32) -> bool {
        let body = WireSpeed {
            task: run.task.to_string(),
            run: run.number.get(),
            percent,
            fencing_token: self.fencing_token.get(),
        };
        let response = self.send(target, "/pace", &body, COMMAND_TIMEOUT).await;
        response.is_ok_and(|response| response.status == StatusCode::OK)
    }

    /// Polls a worker: reads its report, acknowledges ended runs and extends the lease of its runs.
    ///
    /// # Errors
    /// [`PollError`] with the reason why there is no report.
    pub async fn poll(&self, command: &PollCommand) -> std::result::Result<WorkerReport, PollError> {
        let wait_ms = command.wait.as_millis() as u64;
        let body = WirePoll {
            fencing_token: self.fencing_token.get(),
            ack_seq: command.acknowledged,
            deadline_ms: command.deadline_ms,
            wait_ms: (wait_ms > 0).then_some(wait_ms),
        };
        let response = self
            .send(&command.target, "/hold", &body, command.wait + POLL_GRACE)
            .await
            .map_err(|error| PollError::NoAnswer(error.to_string().into()))?;
        match response.status {
            StatusCode::OK => {
                decode_report(&response).map_err(|error| PollError::NoAnswer(error.message().into()))
            }
            StatusCode::CONFLICT => Err(PollError::Fenced),
            StatusCode::MISDIRECTED_REQUEST => Err(PollError::OtherWorker),
            status => Err(PollError::NoAnswer(format!("status {status}").into())),
        }
    }
}

fn decode_report(response: &HttpResponse) -> Result<WorkerReport> {
    let wire: WireReport = response.json()?;
    let running = wire.running.into_iter().map(|row| {
        Ok(ActiveRun {
            task: row.0.parse()?,
            run: RunNumber::new(row.1),
            checkpoint: row.2,
            progress_percent: row.3,
            load: row.4,
        })
    });
    let ended = wire.ended_runs.into_iter().map(|row| {
        Ok(EndedRun {
            sequence: row.0,
            task: row.1.parse()?,
            run: RunNumber::new(row.2),
            outcome: decode_run_outcome(&row.3)?,
            checkpoint: row.4,
        })
    });
    Ok(WorkerReport {
        clock_ms: wire.clock_ms,
        incarnation: wire.born.map(UnixMillis::new),
        running: running.collect::<Result<_>>()?,
        ended: ListedRows::with_limit(ended.collect::<Result<_>>()?, MAX_LISTED_ENDS),
    })
}

fn decode_run_outcome(text: &str) -> Result<RunOutcome> {
    match text {
        "done" => Ok(RunOutcome::Done),
        "failed" => Ok(RunOutcome::Failed),
        "stopped" => Ok(RunOutcome::Stopped),
        "lapsed" => Ok(RunOutcome::LeaseExpired),
        "broken" => Ok(RunOutcome::GangBroken),
        "alone" => Ok(RunOutcome::GangIncomplete),
        _ => Err(Error::new(
            ErrorKind::BadMessage,
            format!("unknown outcome of a run: {text:?}"),
        )),
    }
}
