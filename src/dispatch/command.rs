//! Orders to workers and to the advice service, and their outcomes.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use crate::dispatch::task_id::{StepId, TaskId};
use crate::model::id::{RunNumber, WorkerId};

/// Address of an order.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CommandTarget {
    /// The worker.
    pub worker: WorkerId,
    /// Its address.
    pub address: SocketAddr,
}

/// One run of a task.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct RunId {
    /// The task.
    pub task: TaskId,
    /// The run.
    pub number: RunNumber,
}

/// A start.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StartCommand {
    /// Where.
    pub target: CommandTarget,
    /// What.
    pub run: RunId,
    /// The job's own text.
    pub payload: Arc<str>,
    /// Checkpoint to go on from, empty if there is none.
    pub checkpoint: Arc<str>,
    /// End of the lease on the worker's clock.
    pub deadline_ms: u64,
    /// Ticket of the advice service.
    pub ticket: Option<Arc<str>>,
}

/// A look at a worker, which extends the lease and acknowledges ends.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PollCommand {
    /// Where.
    pub target: CommandTarget,
    /// Ends up to this number are acknowledged.
    pub acknowledged: u64,
    /// End of the lease on the worker's clock; absent leaves it as it is.
    pub deadline_ms: Option<u64>,
    /// Longest time for which the worker may wait for an end before it answers.
    pub wait: Duration,
}

/// What the holder of a pool wants done.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PoolCommand {
    /// Start a task.
    Start(StartCommand),
    /// Stop a run.
    Stop(CommandTarget, RunId),
    /// Look at a worker.
    Poll(PollCommand),
    /// Let a run work at a share, in percent.
    SetSpeed(CommandTarget, RunId, u32),
    /// Ask which workers may run a step.
    RequestAdvice(StepId, Vec<WorkerId>),
}

/// Outcome of a start.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StartOutcome {
    /// It runs.
    Started,
    /// The worker has no room for it.
    NoRoom,
    /// The run is not higher than one stopped or ended there.
    OldRun,
    /// The lease had ended when the order arrived.
    LateOrder,
    /// The ticket is missing or no longer valid.
    NoTicket,
    /// The worker is unhealthy and did nothing.
    Unhealthy,
    /// Another worker answers at the address.
    OtherWorker,
    /// A newer holder has given orders.
    Fenced,
    /// The worker found the order malformed.
    Malformed,
    /// No byte of the order left.
    NotSent,
    /// There was no answer; the order may be carried out, also later.
    Unknown,
}

/// Outcome of a stop.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StopOutcome {
    /// The worker has taken the stop.
    Taken,
    /// Another worker answers at the address.
    OtherWorker,
    /// A newer holder has given orders.
    Fenced,
    /// There was no answer, or the worker refused it.
    Unknown,
}

/// Why a look gave no report.
#[derive(Debug, Clone, PartialEq, Eq, derive_more::Display)]
pub enum PollError {
    /// Another worker answers at the address.
    #[display("other worker")]
    OtherWorker,
    /// A newer holder has given orders.
    #[display("fenced")]
    Fenced,
    /// There was no answer that can be used, with its cause.
    #[display("no answer ({_0})")]
    NoAnswer(Arc<str>),
}

/// Workers that may run a step, with their tickets.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AdviceAnswer {
    /// Worker and ticket.
    pub tickets: Vec<(WorkerId, Arc<str>)>,
    /// Time for which the tickets are valid.
    pub validity: Duration,
}
