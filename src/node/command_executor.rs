//! Sends the commands of a pool's scheduler to workers and the advice service, and returns their outcomes.

use std::time::Instant;

use slog::{Logger, debug, info, warn};

use crate::dispatch::command::{
    AdviceAnswer, AdviceRequest, PollError, PoolCommand, RunId, StartOutcome, StopOutcome,
};
use crate::dispatch::task_id::StepId;
use crate::dispatch::worker_report::WorkerReport;
use crate::error::{Error, ErrorKind};
use crate::model::id::{LeaderTerm, WorkerId};
use crate::node::node_context::NodeContext;
use crate::node::zone_watcher::ZoneReceiver;
use crate::platform::advice;
use crate::platform::worker::WorkerApiClient;

/// Outcome of a command.
#[derive(Debug)]
pub enum CommandOutcome {
    /// Outcome of starting a run.
    Started(WorkerId, RunId, StartOutcome),
    /// Outcome of stopping a run.
    Stopped(WorkerId, RunId, StopOutcome),
    /// Outcome of a poll sent at this time.
    Polled(WorkerId, Instant, Result<WorkerReport, PollError>),
    /// Response of the advice service; `None` if there was no usable one.
    Advised(StepId, Option<AdviceAnswer>),
}

/// Sends commands under the fencing term of one leader.
#[derive(Debug, Clone)]
pub struct CommandExecutor {
    context: NodeContext,
    client: WorkerApiClient,
    zones: ZoneReceiver,
    log: Logger,
}

impl CommandExecutor {
    /// Creates an executor for the leader of this term, which the workers compare with the highest term they
    /// have seen. No task is started in the `zones` under evacuation.
    pub fn new(context: NodeContext, term: LeaderTerm, zones: ZoneReceiver, log: Logger) -> Self {
        let client = WorkerApiClient::new(context.http_client.clone(), term);
        Self {
            context,
            client,
            zones,
            log,
        }
    }

    /// Sends a command that was decided at `sent_at` and waits for its outcome. Returns `None` for a change
    /// of speed, on whose outcome no decision depends.
    pub async fn execute(&self, command: PoolCommand, sent_at: Instant) -> Option<CommandOutcome> {
        match command {
            PoolCommand::Start(command) => {
                // The command may have waited for the processor since it was decided.
                let may_start = self
                    .zones
                    .borrow()
                    .may_start(self.context.clock.now(), &command.zone);
                let outcome = if may_start {
                    self.client.start(&command).await
                } else {
                    StartOutcome::Withheld
                };
                self.record("start", &format!("{outcome:?}"), sent_at);
                Some(CommandOutcome::Started(
                    command.target.worker,
                    command.run,
                    outcome,
                ))
            }
            PoolCommand::Stop(target, run) => {
                let outcome = self.client.stop(&target, &run).await;
                self.record("stop", &format!("{outcome:?}"), sent_at);
                Some(CommandOutcome::Stopped(target.worker, run, outcome))
            }
            PoolCommand::Poll(command) => {
                let outcome = self.client.poll(&command).await;
                let name = match &outcome {
                    Ok(_) => "Report".to_owned(),
                    Err(PollError::NoAnswer(_)) => "NoAnswer".to_owned(),
                    Err(error) => format!("{error:?}"),
                };
                self.record("look", &name, sent_at);
                Some(CommandOutcome::Polled(command.target.worker, sent_at, outcome))
            }
            PoolCommand::SetSpeed(target, run, percent) => {
                let is_accepted = self.client.set_speed(&target, &run, percent).await;
                self.record("pace", if is_accepted { "Taken" } else { "Refused" }, sent_at);
                info!(self.log, "pace ordered"; "job" => %run.task.step.job, "worker" => %target.worker,
                    "task" => %run.task, "percent" => percent, "taken" => is_accepted);
                None
            }
            PoolCommand::RequestAdvice(request) => Some(self.request_advice(request, sent_at).await),
        }
    }

    async fn request_advice(&self, request: AdviceRequest, sent_at: Instant) -> CommandOutcome {
        let address = self
            .context
            .settings
            .advice_address
            .ok_or_else(|| Error::new(ErrorKind::BadRecord, "the settings name no advice service"));
        let advice = match address {
            Ok(address) => {
                let _turn = self.context.advice_line.wait_for_turn(&request.queue).await;
                let (client, clock) = (&self.context.http_client, &self.context.clock);
                advice::request_advice(client, clock, address, &request).await
            }
            Err(error) => Err(error),
        };
        let outcome = if advice.is_ok() { "Answer" } else { "NoAnswer" };
        self.record("advise", outcome, sent_at);
        let (step, workers) = (&request.step, &request.workers);
        match &advice {
            Ok(answer) => debug!(self.log, "advice received"; "job" => %step.job, "step" => %step,
                "workers" => workers.len(), "first" => workers.first().map(WorkerId::as_str),
                "last" => workers.last().map(WorkerId::as_str), "admitted" => answer.tickets.len(),
                "ms" => answer.latency.as_millis() as u64),
            Err(error) => warn!(self.log, "advice request failed"; "job" => %step.job, "step" => %step,
                "queue" => %request.queue, "workers" => workers.len(),
                "timeout_ms" => request.timeout.as_millis() as u64, "error" => %error),
        }
        CommandOutcome::Advised(request.step, advice.ok())
    }

    fn record(&self, command: &str, outcome: &str, sent_at: Instant) {
        let elapsed = self.context.clock.now().saturating_duration_since(sent_at);
        self.context.metrics.record_command(command, outcome, elapsed);
    }
}
