//! Sends the orders of a pool's scheduler and brings their outcomes.

use std::time::Instant;

use slog::{Logger, info, warn};

use crate::dispatch::command::{AdviceAnswer, PollError, PoolCommand, RunId, StartOutcome, StopOutcome};
use crate::dispatch::task_id::StepId;
use crate::dispatch::worker_report::WorkerReport;
use crate::error::{Error, ErrorKind};
use crate::model::id::{LeaderTerm, WorkerId};
use crate::node::node_context::NodeContext;
use crate::platform::advice;
use crate::platform::worker::WorkerApiClient;

/// Outcome of an command.
#[derive(Debug)]
pub enum CommandOutcome {
    /// Of a start.
    Started(WorkerId, RunId, StartOutcome),
    /// Of a stop.
    Stopped(WorkerId, RunId, StopOutcome),
    /// Of a look sent at the given time.
    Polled(WorkerId, Instant, Result<WorkerReport, PollError>),
    /// Of a call for advice; absent if there was no answer.
    Advised(StepId, Option<AdviceAnswer>),
}

/// Sends orders under one term.
#[derive(Debug, Clone)]
pub struct CommandExecutor {
    context: NodeContext,
    client: WorkerApiClient,
    log: Logger,
}

impl CommandExecutor {
    /// Creates an executor for the holder of a term.
    pub fn new(context: NodeContext, term: LeaderTerm, log: Logger) -> Self {
        let client = WorkerApiClient::new(context.http_client.clone(), term);
        Self { context, client, log }
    }

    /// Sends an command that was decided at `sent_at` and waits for its outcome; a pace has none that decisions depend on.
    pub async fn execute(&self, command: PoolCommand, sent_at: Instant) -> Option<CommandOutcome> {
        match command {
            PoolCommand::Start(command) => {
                let outcome = self.client.start(&command).await;
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
                    Err(fault) => format!("{fault:?}"),
                };
                self.record("look", &name, sent_at);
                Some(CommandOutcome::Polled(command.target.worker, sent_at, outcome))
            }
            PoolCommand::SetSpeed(target, run, percent) => {
                let is_taken = self.client.set_speed(&target, &run, percent).await;
                self.record("pace", if is_taken { "Taken" } else { "Refused" }, sent_at);
                info!(self.log, "pace ordered"; "job" => %run.task.step.job, "worker" => %target.worker,
                    "task" => %run.task, "percent" => percent, "taken" => is_taken);
                None
            }
            PoolCommand::RequestAdvice(step, workers) => Some(self.ask_advice(step, &workers, sent_at).await),
        }
    }

    async fn ask_advice(&self, step: StepId, workers: &[WorkerId], sent_at: Instant) -> CommandOutcome {
        let address = self
            .context
            .settings
            .advice_address
            .ok_or_else(|| Error::new(ErrorKind::BadRecord, "the settings name no advice service"));
        let answer = match address {
            Ok(address) => advice::request_advice(&self.context.http_client, address, &step, workers).await,
            Err(error) => Err(error),
        };
        let outcome = if answer.is_ok() { "Answer" } else { "NoAnswer" };
        self.record("advise", outcome, sent_at);
        if let Err(error) = &answer {
            warn!(self.log, "no advice"; "job" => %step.job, "step" => %step, "workers" => workers.len(),
                "error" => %error);
        }
        CommandOutcome::Advised(step, answer.ok())
    }

    fn record(&self, command: &str, outcome: &str, sent_at: Instant) {
        let elapsed = self.context.clock.now().saturating_duration_since(sent_at);
        self.context.metrics.record_command(command, outcome, elapsed);
    }
}
