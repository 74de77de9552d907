//! Writes of a leader. Each transaction expects the term record at the revision of the leader's previous
//! write and replaces it, so that writes take effect in order and never after another session has become
//! leader.

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

/// The stored record of a role's newest term. `session` is the leader's; `nonce` identifies the leader's last
/// write.
#[expect(missing_docs, reason = "the type's comment describes the fields")]
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TermRecord {
    pub term: LeaderTerm,
    pub session: SessionId,
    pub nonce: WriteNonce,
}

/// A role that this session has claimed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RoleClaim {
    /// `fleet`, or `pool-` and the name of the pool.
    pub role: Arc<str>,
    /// Fencing term of the leadership.
    pub term: LeaderTerm,
    /// Revision of the term record after the leader's last write.
    pub revision: StoreRevision,
    /// Lease under which the role is held.
    pub lease: LeaseId,
}

/// Outcome of a leader's write.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FencedOutcome {
    /// The write took effect.
    Written,
    /// The write took effect without the records that are bound to the node's lease, which has ended.
    WrittenUnbound,
    /// Another session leads the role, or this one has claimed it with a higher term; nothing was written.
    Deposed,
}

/// Command to the task of a leader's writer.
#[derive(Debug)]
pub enum WriterCommand {
    /// Commit a transaction.
    Write(StoreTransaction),
    /// Hold the role under a new lease.
    Resume(LeaseId),
}

/// Event from the task of a leader's writer.
#[derive(Debug)]
pub enum WriterEvent {
    /// A transaction has ended.
    Written(Result<FencedOutcome>),
    /// An attempt to hold the role under this lease has ended.
    Resumed(LeaseId, Result<FencedOutcome>),
}

/// Executes commands one at a time, so that writes take effect in order. Ends when `send` returns false or no
/// sender of commands is left.
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

/// Writer for one term of a role.
#[derive(Debug)]
pub struct FencedWriter {
    store: StoreApiClient,
    session: SessionId,
    claim: RoleClaim,
    log: Logger,
}

/// Removes the leases from a transaction after one of them has ended. What is bound to the node's lease, which
/// would have been removed with it, is not written; other records are kept without a lease. Returns whether a
/// record was left out.
fn detach_leases(write: &mut StoreTransaction, node_lease: LeaseId) -> bool {
    let count = write.puts.len();
    write.puts.retain(|put| put.lease != Some(node_lease));
    for put in &mut write.puts {
        put.lease = None;
    }
    write.puts.len() < count
}

impl FencedWriter {
    /// Creates the writer for a claimed role.
    pub fn new(store: StoreApiClient, session: SessionId, claim: RoleClaim, log: Logger) -> Self {
        Self {
            store,
            session,
            claim,
            log,
        }
    }

    /// Retries the transaction until it is certain that it took effect or that the leadership is lost.
    ///
    /// # Errors
    /// `internal` if the term record cannot be encoded, `bad_message` if the store rejects the transaction as
    /// malformed.
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
        let mut done = FencedOutcome::Written;
        loop {
            write.expected_revisions = vec![(Arc::clone(&key), self.claim.revision)];
            match self.store.commit(&write, STORE_TIMEOUT).await {
                Ok(CommitOutcome::Done(revision)) => {
                    self.claim.revision = revision;
                    return Ok(done);
                }
                Ok(CommitOutcome::Conflict(items)) => match self.read_own_record(&key, items).await {
                    Ok(Some((stored, revision))) => {
                        self.claim.revision = revision;
                        if stored.nonce == nonce {
                            return Ok(done);
                        }
                    }
                    Ok(None) => return Ok(FencedOutcome::Deposed),
                    Err(error) => {
                        warn!(self.log, "term record not read; retrying"; "duty" => &*self.claim.role,
                            "error" => %error);
                        let pause = delay.next_delay(&mut rand::rng());
                        self.store.pause(pause).await;
                    }
                },
                Ok(CommitOutcome::LeaseEnded) => {
                    if detach_leases(&mut write, self.claim.lease) {
                        warn!(self.log, "written without the records of an ended lease";
                            "duty" => &*self.claim.role, "lease" => %self.claim.lease);
                        done = FencedOutcome::WrittenUnbound;
                    }
                }
                Err(error) if error.kind() == ErrorKind::BadMessage => return Err(error),
                Err(error) => {
                    if !is_failing {
                        warn!(self.log, "write failed; retrying"; "duty" => &*self.claim.role,
                            "error" => %error);
                    }
                    is_failing = true;
                    let pause = delay.next_delay(&mut rand::rng());
                    self.store.pause(pause).await;
                }
            }
        }
    }

    /// The term record, if it belongs to this claim. It is read again if it is not among the items of the conflict.
    async fn read_own_record(
        &self,
        key: &str,
        items: Vec<StoreItem>,
    ) -> Result<Option<(TermRecord, StoreRevision)>> {
        let listed = items.into_iter().find(|item| &*item.key == key);
        let item = match listed {
            Some(item) => Some(item),
            None => self.store.get(key, STORE_TIMEOUT).await?,
        };
        let Some(item) = item else {
            return Ok(None);
        };
        match store_keys::decode::<TermRecord>(key, &item.value) {
            Ok(record) => {
                let is_own = record.session == self.session && record.term == self.claim.term;
                Ok(is_own.then_some((record, item.revision)))
            }
            Err(error) => {
                warn!(self.log, "term record is malformed"; "duty" => &*self.claim.role, "error" => %error);
                Ok(None)
            }
        }
    }

    /// Holds the role under a new lease, unless another session has claimed it since the old lease ended.
    ///
    /// # Errors
    /// Those of [`Self::write`].
    pub async fn resume(&mut self, lease: LeaseId) -> Result<FencedOutcome> {
        let mut write = StoreTransaction::default();
        let key = store_keys::leader_key(&self.claim.role);
        write.put(key, self.session.as_str().as_bytes().to_vec(), Some(lease));
        self.claim.lease = lease;
        self.write(write).await
    }
}
