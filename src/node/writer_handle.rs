//! A duty's side of its writer: one write at a time, and the lease under which the duty is held.

use slog::{Logger, info};
use tokio::sync::mpsc;
use tokio::task::JoinHandle;

use crate::error::{Error, ErrorKind, Result};
use crate::model::id::LeaseId;
use crate::node::fenced_writer::{self, DutyTenure, TenureOutcome, TenureWriter, WriterEvent, WriterJob};
use crate::node::node_context::NodeParts;
use crate::platform::store::StoreTransaction;

/// Why a duty ends whose writer was deposed.
pub const DEPOSED: &str = "another session holds the duty";

/// What the writer has done for its duty.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WriterNews {
    /// The write took effect.
    Stored,
    /// The duty is held under a new lease.
    Resumed,
    /// Another session holds the duty.
    Deposed,
}

/// Writes of a duty's holder, done by a task that ends with this value.
#[derive(Debug)]
pub struct DutyWriter {
    jobs: mpsc::UnboundedSender<WriterJob>,
    task: JoinHandle<()>,
    lease: LeaseId,
    is_writing: bool,
    log: Logger,
}

impl DutyWriter {
    /// Starts the writer of a claimed duty; `send` passes its events to the duty until it returns false.
    pub fn start(
        parts: &NodeParts,
        tenure: &DutyTenure,
        log: &Logger,
        send: impl Fn(WriterEvent) -> bool + Send + Sync + 'static,
    ) -> Self {
        let (jobs, receiver) = mpsc::unbounded_channel();
        let writer = TenureWriter::new(
            parts.store.clone(),
            parts.session.clone(),
            tenure.clone(),
            log.clone(),
        );
        Self {
            jobs,
            task: tokio::spawn(fenced_writer::run_writer(writer, receiver, send)),
            lease: tenure.lease,
            is_writing: false,
            log: log.clone(),
        }
    }

    /// Whether a write is on its way; a further one has to wait.
    pub fn is_writing(&self) -> bool {
        self.is_writing
    }

    /// Whether the duty is held under `valid`, the lease of the process if it certainly holds. Under a new lease the duty
    /// is resumed first.
    ///
    /// # Errors
    /// `internal` if the writer has ended.
    pub fn holds_under(&mut self, valid: Option<LeaseId>) -> Result<bool> {
        if let Some(lease) = valid
            && lease != self.lease
            && !self.is_writing
        {
            self.send(WriterJob::Resume(lease))?;
        }
        Ok(valid == Some(self.lease))
    }

    /// Hands a write over.
    ///
    /// # Errors
    /// `internal` if the writer has ended.
    pub fn write(&mut self, write: StoreTransaction) -> Result<()> {
        self.send(WriterJob::Write(write))
    }

    fn send(&mut self, job: WriterJob) -> Result<()> {
        self.is_writing = true;
        let ended = |_| Error::new(ErrorKind::Internal, "the writer has ended");
        self.jobs.send(job).map_err(ended)
    }

    /// Takes an event of the writer.
    ///
    /// # Errors
    /// The store's error if a write cannot succeed.
    pub fn take(&mut self, event: WriterEvent) -> Result<WriterNews> {
        self.is_writing = false;
        match event {
            WriterEvent::Written(outcome) => match outcome? {
                TenureOutcome::Written => Ok(WriterNews::Stored),
                TenureOutcome::Deposed => Ok(WriterNews::Deposed),
            },
            WriterEvent::Resumed(lease, outcome) => match outcome? {
                TenureOutcome::Written => {
                    self.lease = lease;
                    info!(self.log, "duty resumed"; "lease" => %lease);
                    Ok(WriterNews::Resumed)
                }
                TenureOutcome::Deposed => Ok(WriterNews::Deposed),
            },
        }
    }
}

impl Drop for DutyWriter {
    fn drop(&mut self) {
        self.task.abort();
    }
}
