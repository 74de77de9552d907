//! Writes of a duty's holder. Each write expects the term's record as the last one left it and renews it, so that
//! writes take effect in order and never after the holder was replaced.

use std::sync::Arc;

use rand::Rng;
use serde::{Deserialize, Serialize};
use slog::{Logger, warn};
use tokio::sync::mpsc;

use crate::error::{ErrorKind, Result};
use crate::model::id::{LeaderTerm, LeaseId, SessionId, StoreRevision, WriteNonce};
use crate::node::node_context::{self, STORE_TIMEOUT};
use crate::node::store_keys;
use crate::platform::store::{CommitOutcome, StoreApiClient, StoreItem, StoreTransaction};

/// The stored record of a duty's term.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TermRecord {
    /// Term.
    pub term: LeaderTerm,
    /// Session of the holder.
    pub session: SessionId,
    /// Identifies the last write.
    pub nonce: WriteNonce,
}

/// A duty as claimed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RoleClaim {
    /// Name of the duty.
    pub role: Arc<str>,
    /// Term.
    pub term: LeaderTerm,
    /// Revision of the term's record.
    pub revision: StoreRevision,
    /// Lease under which it was claimed.
    pub lease: LeaseId,
}

/// Outcome of a holder's write.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FencedOutcome {
    /// The write took effect.
    Written,
    /// Another session holds the duty; nothing was written.
    Deposed,
}

/// What a duty's writer is asked for.
#[derive(Debug)]
pub enum WriterCommand {
    /// A write.
    Write(StoreTransaction),
    /// To hold the duty under a new lease.
    Resume(LeaseId),
}

/// What a duty's writer has done.
#[derive(Debug)]
pub enum WriterEvent {
    /// The outcome of a write.
    Written(Result<FencedOutcome>),
    /// The outcome of a new lease.
    Resumed(LeaseId, Result<FencedOutcome>),
}

/// Does one command after the other, so that writes take effect in order, until `send` returns false.
pub async fn run(
    mut writer: FencedWriter,
    mut commands: mpsc::UnboundedReceiver<WriterCommand>,
    send: impl Fn(WriterEvent) -> bool,
) {
    while let Some(command) = commands.recv().await {
        let event = match command {
            WriterCommand::Write(write) => WriterEvent::Written(writer.write(write).await),
            WriterCommand::Resume(lease) => WriterEvent::Resumed(lease, writer.resume(lease).await),
        };
        if !send(event) {
            return;
        }
    }
}

/// Writer of one term.
#[derive(Debug)]
pub struct FencedWriter {
    store: StoreApiClient,
    session: SessionId,
    claim: RoleClaim,
    log: Logger,
}

/// Takes the ended lease off a write. The duty's own key would be gone with its lease; other records stay.
fn detach_lease(write: &mut StoreTransaction, leader_key: &str) {
    write
        .puts
        .retain(|put| put.lease.is_none() || &*put.key != leader_key);
    for put in &mut write.puts {
        put.lease = None;
    }
}

impl FencedWriter {
    /// Creates the writer of a claimed duty.
    pub fn new(store: StoreApiClient, session: SessionId, claim: RoleClaim, log: Logger) -> Self {
        Self {
            store,
            session,
            claim,
            log,
        }
    }

    /// Writes until it is certain that the write took effect or that the duty is lost.
    ///
    /// # Errors
    /// `internal` or `bad_message` if the store does not accept the write as it is.
    pub async fn write(&mut self, mut write: StoreTransaction) -> Result<FencedOutcome> {
        let key = store_keys::term_key(&self.claim.role);
        let nonce = WriteNonce::new(rand::rng().random());
        let record = TermRecord {
            term: self.claim.term,
            session: self.session.clone(),
            nonce,
        };
        write.put(Arc::clone(&key), store_keys::encode(&record)?, None);
        let mut delay = node_context::store_retry_delay();
        let mut is_failing = false;
        loop {
            write.expected_revisions = vec![(Arc::clone(&key), self.claim.revision)];
            match self.store.commit(&write, STORE_TIMEOUT).await {
                Ok(CommitOutcome::Done(revision)) => {
                    self.claim.revision = revision;
                    return Ok(FencedOutcome::Written);
                }
                Ok(CommitOutcome::Conflict(items)) => {
                    let Some((found, revision)) = self.own_record(&key, &items) else {
                        return Ok(FencedOutcome::Deposed);
                    };
                    self.claim.revision = revision;
                    if found.nonce == nonce {
                        return Ok(FencedOutcome::Written);
                    }
                }
                Ok(CommitOutcome::LeaseEnded) => {
                    detach_lease(&mut write, &store_keys::leader_key(&self.claim.role))
                }
                Err(error) if error.kind() == ErrorKind::BadMessage => return Err(error),
                Err(error) => {
                    if !is_failing {
                        warn!(self.log, "write delayed"; "duty" => &*self.claim.role, "error" => %error);
                    }
                    is_failing = true;
                    let pause = delay.draw(&mut rand::rng());
                    tokio::time::sleep(pause).await;
                }
            }
        }
    }

    /// The term's record among the items of a conflict, if it is the own one.
    fn own_record(&self, key: &str, items: &[StoreItem]) -> Option<(TermRecord, StoreRevision)> {
        let item = items.iter().find(|item| &*item.key == key)?;
        let record: TermRecord = store_keys::decode(key, &item.value).ok()?;
        let is_own = record.session == self.session && record.term == self.claim.term;
        is_own.then_some((record, item.revision))
    }

    /// Holds the duty under a new lease, if no other session has taken it since the old lease ended.
    ///
    /// # Errors
    /// As of [`Self::write`].
    pub async fn resume(&mut self, lease: LeaseId) -> Result<FencedOutcome> {
        let mut write = StoreTransaction::default();
        let key = store_keys::leader_key(&self.claim.role);
        write.put(key, self.session.as_str().as_bytes().to_vec(), Some(lease));
        let outcome = self.write(write).await?;
        self.claim.lease = lease;
        Ok(outcome)
    }
}
