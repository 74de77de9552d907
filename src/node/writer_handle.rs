//! A leader's handle to its writer task: sends one write at a time and tracks the lease under which the role
//! is held.

use slog::{Logger, info};
use tokio::sync::mpsc;
use tokio::task::JoinHandle;

use crate::error::{Error, ErrorKind, Result};
use crate::model::id::LeaseId;
use crate::node::fenced_writer::{self, FencedOutcome, FencedWriter, RoleClaim, WriterCommand, WriterEvent};
use crate::node::node_context::NodeContext;
use crate::platform::store::StoreTransaction;

/// Reason for the end of a leadership, logged when the writer reports [`WriterOutcome::Deposed`].
pub const DEPOSED: &str = "another session has become leader";

/// Outcome of a command to the writer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WriterOutcome {
    /// The transaction took effect.
    Stored,
    /// The transaction took effect without the records that are bound to the node's lease, which has ended.
    StoredUnbound,
    /// An attempt to hold the role under a new lease has ended; [`WriterHandle::is_leader_under`] tells whether it
    /// succeeded.
    Resumed,
    /// Another session leads the role.
    Deposed,
}

/// Handle to a writer task, which is aborted when the handle is dropped.
#[derive(Debug)]
pub struct WriterHandle {
    commands: mpsc::UnboundedSender<WriterCommand>,
    task: JoinHandle<()>,
    lease: LeaseId,
    is_writing: bool,
    log: Logger,
}

impl WriterHandle {
    /// Starts the writer task for a claimed role. `send` passes its events to the leader; the task ends once
    /// it returns false.
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

    /// Whether a command is in progress; the next write has to wait for its event.
    pub fn is_writing(&self) -> bool {
        self.is_writing
    }

    /// Lease under which the role is held. Records that are bound to it are left out of a write if it has ended.
    pub fn lease(&self) -> LeaseId {
        self.lease
    }

    /// Whether the role is certainly held, given the node's lease if that is certainly valid. If the node has
    /// a new lease, this starts to move the role to it and returns false meanwhile.
    ///
    /// # Errors
    /// `internal` if the writer task has ended.
    pub fn is_leader_under(&mut self, valid_lease: Option<LeaseId>) -> Result<bool> {
        if let Some(lease) = valid_lease
            && lease != self.lease
            && !self.is_writing
        {
            self.send(WriterCommand::Resume(lease))?;
        }
        Ok(valid_lease == Some(self.lease))
    }

    /// Sends a transaction to the writer task.
    ///
    /// # Errors
    /// `internal` if the writer task has ended.
    pub fn write(&mut self, write: StoreTransaction) -> Result<()> {
        self.send(WriterCommand::Write(write))
    }

    fn send(&mut self, command: WriterCommand) -> Result<()> {
        self.is_writing = true;
        let ended = |_| Error::new(ErrorKind::Internal, "the writer has ended");
        self.commands.send(command).map_err(ended)
    }

    /// Handles an event of the writer task.
    ///
    /// # Errors
    /// The store's error if a transaction cannot succeed.
    pub fn handle_event(&mut self, event: WriterEvent) -> Result<WriterOutcome> {
        self.is_writing = false;
        match event {
            WriterEvent::Written(outcome) => match outcome? {
                FencedOutcome::Written => Ok(WriterOutcome::Stored),
                FencedOutcome::WrittenUnbound => Ok(WriterOutcome::StoredUnbound),
                FencedOutcome::Deposed => Ok(WriterOutcome::Deposed),
            },
            WriterEvent::Resumed(lease, outcome) => match outcome? {
                FencedOutcome::Written => {
                    self.lease = lease;
                    info!(self.log, "duty resumed"; "lease" => %lease);
                    Ok(WriterOutcome::Resumed)
                }
                FencedOutcome::WrittenUnbound => {
                    info!(self.log, "duty not resumed: the lease has ended"; "lease" => %lease);
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
