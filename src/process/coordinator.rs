//! Executes the coordinator's rounds: polls workers and the instance list, appends the planned changes and
//! sends commands to workers once the entry on which they depend is committed.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use futures_util::StreamExt;
use futures_util::stream;
use tokio::sync::Mutex;
use tokio::time;

use crate::clock::SharedClock;
use crate::error::{Error, ErrorKind, Result};
use crate::journal::entry::EntryActor;
use crate::journal::fleet_state::FleetState;
use crate::model::id::{InstanceId, JobId, LeaderTerm, Revision, SessionId};
use crate::model::unix_time::UnixMillis;
use crate::policy::coordinator_plan::{
    CoordinatorEvent, CoordinatorPlan, CoordinatorSettings, CoordinatorStep,
};
use crate::policy::worker_command::WorkerCommand;
use crate::port::list::client::ListClient;
use crate::port::worker::client::{WorkerClient, WorkerTarget};
use crate::port::worker::task::WorkerStatus;
use crate::version::accepted::AcceptedVersion;
use crate::version::journal_writer::JournalWriter;

/// Concurrent calls to workers.
const MAX_PARALLEL_CALLS: usize = 32;

/// Timeout of a call to a worker.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);

/// Time between rounds.
pub const ROUND_INTERVAL: Duration = Duration::from_secs(1);

/// Result of a round.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct RoundReport {
    /// The planned step.
    pub step: CoordinatorStep,
    /// Revision of the appended entry; `None` if nothing was appended.
    pub committed: Option<Revision>,
    /// Set if another entry was committed since planning, so that the changes were not appended. The next
    /// round plans again from the newest state.
    pub conflict: Option<Error>,
    /// Number of commands that succeeded.
    pub issued: usize,
    /// Commands that failed. The next round issues them again if they are still due.
    pub failed: Vec<(WorkerCommand, Error)>,
}

/// Coordinator of one session. It does nothing while the session does not lead. Clones share the state.
#[derive(Debug, Clone)]
pub struct Coordinator {
    session: SessionId,
    clock: SharedClock,
    accepted: AcceptedVersion,
    writer: JournalWriter,
    workers: WorkerClient,
    list: Option<ListClient>,
    settings: CoordinatorSettings,
    plan: Arc<Mutex<Option<(LeaderTerm, CoordinatorPlan)>>>,
}

impl Coordinator {
    /// Creates a coordinator without a term.
    pub fn new(
        session: SessionId,
        clock: SharedClock,
        accepted: AcceptedVersion,
        writer: JournalWriter,
        workers: WorkerClient,
    ) -> Self {
        Self {
            session,
            clock,
            accepted,
            writer,
            workers,
            list: None,
            settings: CoordinatorSettings::default(),
            plan: Arc::default(),
        }
    }

    /// Sets the instance list; instances missing from it count against budgets.
    #[must_use]
    pub fn with_list(mut self, list: ListClient) -> Self {
        self.list = Some(list);
        self
    }

    /// Sets the planning settings.
    #[must_use]
    pub fn with_settings(mut self, settings: CoordinatorSettings) -> Self {
        self.settings = settings;
        self
    }

    /// Starts a term with an empty plan; nothing is kept from an earlier term.
    ///
    /// # Errors
    /// `bad_record` if the settings are out of range.
    pub async fn start_term(&self, term: LeaderTerm) -> Result<()> {
        let plan = CoordinatorPlan::new(self.clock.now(), self.settings.clone())?;
        *self.plan.lock().await = Some((term, plan));
        Ok(())
    }

    /// Ends the term. Commands in progress may still reach workers; they are idempotent and fenced by their
    /// operation or generation number.
    pub async fn stop_term(&self) {
        *self.plan.lock().await = None;
    }

    /// Passes an event to the plan; ignored without a term.
    pub async fn handle_event(&self, event: CoordinatorEvent) {
        if let Some((_, plan)) = &mut *self.plan.lock().await {
            plan.handle_event(self.clock.now(), event);
        }
    }

    /// Runs one round: observe, plan, append, send commands. Does nothing without a term or if another
    /// session is the coordinator.
    ///
    /// # Errors
    /// Errors of the append; no command was sent in this round then.
    pub async fn run_round(&self) -> Result<RoundReport> {
        let mut active_plan = self.plan.lock().await;
        let Some((term, plan)) = &mut *active_plan else {
            return Ok(RoundReport::default());
        };
        let state = self.accepted.current();
        if !self.is_leader(&state, *term) {
            return Ok(RoundReport::default());
        }
        self.poll_workers(plan, &state).await;
        let step = plan.step(self.clock.now(), self.wall_time(), &state);
        let mut report = RoundReport::default();
        match self.append(&state, &step).await {
            Ok(committed) => report.committed = committed,
            Err(error) if error.kind() == ErrorKind::Conflict => report.conflict = Some(error),
            Err(error) => return Err(error),
        }
        report.step = step;
        let newest = self.accepted.current();
        if self.is_leader(&newest, *term) {
            let commands = plan.due_commands(self.clock.now(), self.wall_time(), &newest);
            self.issue_commands(&newest, commands, &mut report).await;
        }
        Ok(report)
    }

    fn is_leader(&self, state: &FleetState, term: LeaderTerm) -> bool {
        let leader = state.duty.as_ref();
        leader.is_some_and(|leader| leader.session == self.session && leader.term == term)
    }

    fn wall_time(&self) -> UnixMillis {
        UnixMillis::from(self.clock.wall_time())
    }

    async fn poll_workers(&self, plan: &mut CoordinatorPlan, state: &FleetState) {
        let now = self.clock.now();
        if let Some(list) = &self.list
            && let Ok(entries) = list.read().await
        {
            let listed: BTreeSet<InstanceId> = entries.into_iter().map(|entry| entry.instance).collect();
            plan.handle_event(now, CoordinatorEvent::InstancesListed(listed));
        }
        let targets: Vec<WorkerTarget> = plan
            .instances_to_poll(state)
            .iter()
            .filter_map(|instance| worker_target(state, instance))
            .collect();
        let calls = stream::iter(targets).map(|target| self.worker_status(target));
        let answers: Vec<(InstanceId, Option<WorkerStatus>)> =
            calls.buffer_unordered(MAX_PARALLEL_CALLS).collect().await;
        plan.handle_event(now, CoordinatorEvent::WorkersPolled(answers));
    }

    async fn worker_status(&self, target: WorkerTarget) -> (InstanceId, Option<WorkerStatus>) {
        let answer = time::timeout(CALL_TIMEOUT, self.workers.status(&target)).await;
        let status = answer.ok().and_then(Result::ok);
        (target.instance, status)
    }

    /// Appends the planned changes, or fails with `conflict` if the journal has moved on since planning.
    async fn append(&self, planned_state: &FleetState, step: &CoordinatorStep) -> Result<Option<Revision>> {
        if step.changes.is_empty() {
            return Ok(None);
        }
        let revision = planned_state.revision;
        let build = |state: &FleetState| {
            if state.revision == revision {
                return Ok(step.changes.clone());
            }
            Err(Error::new(
                ErrorKind::Conflict,
                format!(
                    "planned from revision {revision}, but the journal is at {}",
                    state.revision
                ),
            ))
        };
        let actor = EntryActor::System(self.session.clone());
        self.writer.append(actor, build).await.map(Some)
    }

    async fn issue_commands(
        &self,
        state: &FleetState,
        commands: Vec<WorkerCommand>,
        report: &mut RoundReport,
    ) {
        let calls = stream::iter(commands).map(|command| async move {
            let result = match worker_target(state, command.instance()) {
                Some(target) => self.issue_with_timeout(&target, &command).await,
                None => Ok(()),
            };
            (command, result)
        });
        let results: Vec<(WorkerCommand, Result<()>)> =
            calls.buffer_unordered(MAX_PARALLEL_CALLS).collect().await;
        for (command, result) in results {
            match result {
                Ok(()) => report.issued += 1,
                Err(error) => report.failed.push((command, error)),
            }
        }
    }

    async fn issue_with_timeout(&self, target: &WorkerTarget, command: &WorkerCommand) -> Result<()> {
        match time::timeout(CALL_TIMEOUT, self.issue(target, command)).await {
            Ok(result) => result,
            Err(_elapsed) => {
                let message = format!(
                    "worker {}: no response to {command} within the timeout",
                    target.instance
                );
                Err(Error::new(ErrorKind::OutcomeUnknown, message))
            }
        }
    }

    async fn issue(&self, target: &WorkerTarget, command: &WorkerCommand) -> Result<()> {
        match command {
            WorkerCommand::Drain { operation, .. } => self.workers.drain(target, *operation).await,
            WorkerCommand::Reboot { operation, .. } => self.workers.reboot(target, *operation).await,
            WorkerCommand::Resume { operation, .. } => self.workers.resume(target, *operation).await,
            WorkerCommand::Join { generation, .. } => self.workers.join(target, *generation).await,
            WorkerCommand::Checkpoint { .. } => self.end_tasks(target, true).await,
            WorkerCommand::Stop { .. } => self.end_tasks(target, false).await,
        }
    }

    /// Checkpoints or stops each running task. A task that cannot be checkpointed is stopped by the later
    /// stop command.
    async fn end_tasks(&self, target: &WorkerTarget, with_checkpoint: bool) -> Result<()> {
        let records = self.workers.history(target, BTreeSet::new()).await?;
        let running: Vec<JobId> = records
            .into_iter()
            .filter(|record| record.end.is_none())
            .map(|record| record.job)
            .collect();
        let mut failed: BTreeMap<JobId, Error> = BTreeMap::new();
        for job in running {
            let result = if with_checkpoint {
                self.workers.checkpoint(target, &job).await
            } else {
                self.workers.stop(target, &job).await
            };
            if let Err(error) = result {
                failed.insert(job, error);
            }
        }
        match failed.into_values().next() {
            Some(error) => Err(error),
            None => Ok(()),
        }
    }
}

fn worker_target(state: &FleetState, instance: &InstanceId) -> Option<WorkerTarget> {
    let member = state.members.get(instance)?;
    Some(WorkerTarget::new(instance, &member.place))
}
