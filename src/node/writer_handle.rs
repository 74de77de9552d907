//! A duty's side of its writer: one write at a time, and the lease under which the duty is held.

use slog::{Logger, info};
use tokio::sync::mpsc;
use tokio::task::JoinHandle;

use crate::error::{Error, ErrorKind, Result};
use crate::model::id::LeaseId;
use crate::node::fenced_writer::{self, FencedOutcome, FencedWriter, RoleClaim, WriterCommand, WriterEvent};
use crate::node::node_context::NodeContext;
use crate::platform::store::StoreTransaction;

/// Why a duty ends whose writer was deposed.
pub const DEPOSED: &str = "another session holds the duty";

/// What the writer has done for its duty.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WriterOutcome {
    /// The write took effect.
    Stored,
    /// The duty is held under a new lease.
    Resumed,
    /// Another session holds the duty.
    Deposed,
}

/// Writes of a duty's holder, done by a task that ends with this value.
#[derive(Debug)]
pub struct WriterHandle {
    commands: mpsc::UnboundedSender<WriterCommand>,
    task: JoinHandle<()>,
    lease: LeaseId,
    is_writing: bool,
    log: Logger,
}

impl WriterHandle {
    /// Starts the writer of a claimed duty; `send` passes its events to the duty until it returns false.
    pub fn start(
        context: &NodeContext,
        claim: &RoleClaim,
        log: &Logger,
        send: impl Fn(WriterEvent) -> bool + Send + Sync + 'static,
    ) -> Self {
        let (commands, receiver) = mpsc::unbounded_channel();
        let writer = FencedWriter::new(
            context.store.clone(),
            context.session.clone(),
            claim.clone(),
            log.clone(),
        );
        Self {
            commands,
            task: tokio::spawn(fenced_writer::run(writer, receiver, send)),
            lease: claim.lease,
            is_writing: false,
            log: log.clone(),
        }
    }

    /// Whether a write is on its way; a further one has to wait.
    pub fn is_writing(&self) -> bool {
        self.is_writing
    }

    /// Whether the duty is held under `valid_lease`, the lease of the process if it certainly holds. Under a new lease the duty
    /// is resumed first.
    ///
    /// # Errors
    /// `internal` if the writer has ended.
    pub fn is_leader_under(&mut self, valid_lease: Option<LeaseId>) -> Result<bool> {
        if let Some(lease) = valid_lease
            && lease != self.lease
            && !self.is_writing
        {
            self.send(WriterCommand::Resume(lease))?;
        }
        Ok(valid_lease == Some(self.lease))
    }

    /// Hands a write over.
    ///
    /// # Errors
    /// `internal` if the writer has ended.
    pub fn write(&mut self, write: StoreTransaction) -> Result<()> {
        self.send(WriterCommand::Write(write))
    }

    fn send(&mut self, command: WriterCommand) -> Result<()> {
        self.is_writing = true;
        let ended = |_| Error::new(ErrorKind::Internal, "the writer has ended");
        self.commands.send(command).map_err(ended)
    }

    /// Takes an event of the writer.
    ///
    /// # Errors
    /// The store's error if a write cannot succeed.
    pub fn handle_event(&mut self, event: WriterEvent) -> Result<WriterOutcome> {
        self.is_writing = false;
        match event {
            WriterEvent::Written(outcome) => match outcome? {
                FencedOutcome::Written => Ok(WriterOutcome::Stored),
                FencedOutcome::Deposed => Ok(WriterOutcome::Deposed),
            },
            WriterEvent::Resumed(lease, outcome) => match outcome? {
                FencedOutcome::Written => {
                    self.lease = lease;
                    info!(self.log, "duty resumed"; "lease" => %lease);
                    Ok(WriterOutcome::Resumed)
                }
                FencedOutcome::Deposed => Ok(WriterOutcome::Deposed),
            },
        }
    }
}

impl Drop for WriterHandle {
    fn drop(&mut self) {
        self.task.abort();
    }
}
