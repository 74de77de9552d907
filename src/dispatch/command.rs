//! Commands that a pool's scheduler issues to workers and to the advice service, and their outcomes.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use crate::dispatch::task_id::{StepId, TaskId};
use crate::model::id::{QueueId, RunNumber, WorkerId, ZoneId};

/// Worker to which a command is sent. The command carries the worker's id besides the address, so that a
/// worker that has taken over the address rejects it.
#[derive(Debug, Clone, PartialEq, Eq)]
#[expect(missing_docs, reason = "the comment on the type describes the fields")]
pub struct CommandTarget {
    pub worker: WorkerId,
    pub address: SocketAddr,
}

/// One run of a task. Each start of a task gets a higher run number, which workers use to reject late
/// commands.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
#[expect(missing_docs, reason = "the comment on the type describes the fields")]
pub struct RunId {
    pub task: TaskId,
    pub number: RunNumber,
}

/// Starts a run of a task on a worker.
#[derive(Debug, Clone, PartialEq, Eq)]
#[expect(missing_docs, reason = "target and run need no explanation")]
pub struct StartCommand {
    pub target: CommandTarget,
    /// Availability zone of the worker. Whether it is under evacuation is checked again just before the command is sent.
    pub zone: ZoneId,
    pub run: RunId,
    /// Payload of the job, handed to the worker unread.
    pub payload: Arc<str>,
    /// Checkpoint from which the run resumes; empty if there is none.
    pub checkpoint: Arc<str>,
    /// Expiry of the lease on the worker's steady clock, in milliseconds.
    pub deadline_ms: u64,
    /// Ticket of the advice service; absent if the queue uses no advice.
    pub ticket: Option<Arc<str>>,
}

/// Asks a worker for its report, renews the lease of its runs and acknowledges ended runs.
#[derive(Debug, Clone, PartialEq, Eq)]
#[expect(missing_docs, reason = "the target needs no explanation")]
pub struct PollCommand {
    pub target: CommandTarget,
    /// Ended runs up to this sequence number are acknowledged; 0 acknowledges none.
    pub acknowledged: u64,
    /// New expiry of the lease on the worker's steady clock, in milliseconds; if absent the lease is not
    /// renewed.
    pub deadline_ms: Option<u64>,
    /// Longest time for which the worker may hold back its answer until a run ends (long polling).
    pub wait: Duration,
}

/// Asks the advice service which of the named workers may run a step.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AdviceRequest {
    /// Step whose tasks wait.
    pub step: StepId,
    /// Queue of the step's job.
    pub queue: QueueId,
    /// Workers to ask about.
    pub workers: Vec<WorkerId>,
    /// Timeout of the request, counted from when it is sent.
    pub timeout: Duration,
    /// Validity of the tickets if the answer does not tell it.
    pub default_validity: Duration,
}

/// Command of a pool's scheduler.
#[derive(Debug, Clone, PartialEq, Eq)]
#[expect(missing_docs, reason = "the other commands need no explanation")]
pub enum PoolCommand {
    Start(StartCommand),
    Stop(CommandTarget, RunId),
    Poll(PollCommand),
    /// Limits a best-effort task to a share of full speed, in percent; 0 suspends it.
    SetSpeed(CommandTarget, RunId, u32),
    RequestAdvice(AdviceRequest),
}

/// Outcome of a start. The names of the variants are values of a metric label.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StartOutcome {
    /// The run is active on the worker.
    Started,
    /// The worker lacks free resources for the task.
    NoRoom,
    /// The worker has already stopped or finished a run of the task with this or a higher number.
    OldRun,
    /// The lease had expired when the command arrived.
    LateOrder,
    /// The ticket of the advice service is missing or no longer valid.
    NoTicket,
    /// The worker is unhealthy; the command had no effect.
    Unhealthy,
    /// Another worker answers at the address.
    OtherWorker,
    /// The worker has seen a higher fencing token: there is a newer leader.
    Fenced,
    /// The worker could not parse the command.
    Malformed,
    /// No byte of the command was sent, so it had no effect.
    NotSent,
    /// The command was not sent: the zone of the worker is under evacuation, or it is not known whether it is.
    Withheld,
    /// There was no answer; the worker may still carry out the command, even later.
    Unknown,
}

/// Outcome of a stop. The names of the variants are values of a metric label.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StopOutcome {
    /// The worker accepted the stop; the run may still need the stop timeout to end.
    Taken,
    /// Another worker answers at the address.
    OtherWorker,
    /// The worker has seen a higher fencing token: there is a newer leader.
    Fenced,
    /// There was no answer, or the worker rejected the command.
    Unknown,
}

/// Reason why a poll returned no report. The names of `OtherWorker` and `Fenced` are values of a metric
/// label.
#[derive(Debug, Clone, PartialEq, Eq, derive_more::Display)]
pub enum PollError {
    /// Another worker answers at the address.
    #[display("other worker")]
    OtherWorker,
    /// The worker has seen a higher fencing token: there is a newer leader.
    #[display("fenced")]
    Fenced,
    /// There was no answer or none that could be parsed; holds the cause.
    #[display("no answer ({_0})")]
    NoAnswer(Arc<str>),
}

/// Answer of the advice service for one step: the workers that may run it, each with its ticket.
#[derive(Debug, Clone, PartialEq, Eq)]
#[expect(missing_docs, reason = "the comment on the type describes the tickets")]
pub struct AdviceAnswer {
    pub tickets: Vec<(WorkerId, Arc<str>)>,
    /// Time from sending the request to the answer.
    pub latency: Duration,
    /// Time for which the tickets are valid, counted from the answer.
    pub validity: Duration,
}
