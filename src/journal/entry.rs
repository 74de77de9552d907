//! Journal entries.

use std::collections::BTreeSet;
use std::sync::Arc;

use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::journal::member::{BudgetToken, InstancePlace, MemberPhase, PlanPhase};
use crate::model::amount::SlotCount;
use crate::model::id::{
    InstanceId, JobId, LeaderTerm, OperatorId, PlanId, PoolId, Revision, SessionId, TeamId, WriteNonce,
};
use crate::model::unix_time::UnixMillis;
use crate::record::document::{RecordDocument, RecordName};

/// Version of the entry's form, written into each entry.
pub const ENTRY_SCHEMA: u32 = 1;

/// Who made a change.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Display, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum EntryActor {
    /// An operator.
    #[display("operator {_0}")]
    Operator(OperatorId),
    /// figloft itself, in the given session.
    #[display("system {_0}")]
    System(SessionId),
}

/// One change of the fleet's state.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "change")]
pub enum EntryChange {
    /// Writes an operator's record.
    PutRecord {
        /// The record as written.
        document: RecordDocument,
        /// Revision of the record that the writer saw; absent if the record must not exist.
        expected: Option<Revision>,
    },
    /// Deletes an operator's record.
    DeleteRecord {
        /// Name of the record.
        name: RecordName,
        /// Revision of the record that the writer saw.
        expected: Revision,
    },
    /// Makes an instance a member of a pool, in phase `joining`, with the entry's number as generation. An
    /// instance that is a member of another pool must be drained.
    JoinPool {
        /// The instance.
        instance: InstanceId,
        /// The pool that it joins.
        pool: PoolId,
        /// Where the instance is.
        place: InstancePlace,
    },
    /// Sets the phase of an instance in its pool.
    SetPhase {
        /// The instance.
        instance: InstanceId,
        /// The new phase.
        phase: MemberPhase,
        /// Reason, for the audit trail.
        reason: Arc<str>,
    },
    /// Removes an instance that has left the fleet; its token, if any, stays until it is returned.
    LeaveFleet {
        /// The instance.
        instance: InstanceId,
    },
    /// Takes a token of the availability budget.
    TakeToken {
        /// The token.
        token: BudgetToken,
    },
    /// Returns the token taken for an instance.
    ReturnToken {
        /// The instance.
        instance: InstanceId,
    },
    /// Sets what a session may have running for a team.
    SetAllowance {
        /// The team.
        team: TeamId,
        /// The session.
        session: SessionId,
        /// Requests and tasks that the session may have running for the team.
        slots: SlotCount,
    },
    /// Takes the coordinator duty; the entry's number becomes the term.
    TakeDuty {
        /// The session that takes the duty.
        session: SessionId,
    },
    /// Gives the coordinator duty up.
    ReleaseDuty {
        /// The session that held the duty.
        session: SessionId,
    },
    /// Sets the phase of a plan.
    SetPlanPhase {
        /// The plan.
        plan: PlanId,
        /// The new phase.
        phase: PlanPhase,
        /// Reason, for the audit trail.
        reason: Arc<str>,
    },
    /// Records that a wave begins with an instance, so that a new holder of the duty knows its wave.
    StartMove {
        /// The plan.
        plan: PlanId,
        /// Index of the wave.
        wave: u32,
        /// The instance.
        instance: InstanceId,
    },
    /// Lends an instance to a pool, or sets where a lent instance goes next. The instance joins `to` by a
    /// later `JoinPool`; its home pool does not change.
    LendInstance {
        /// The instance.
        instance: InstanceId,
        /// Pool that it is lent to; its home pool if it returns.
        to: PoolId,
        /// Plan whose buffer it is; absent for loans between pools under demand.
        plan: Option<PlanId>,
    },
    /// Ends a loan: the pool of the instance is its home again.
    EndLoan {
        /// The instance.
        instance: InstanceId,
    },
    /// Records that a wave is done with an instance.
    CompleteMove {
        /// The plan.
        plan: PlanId,
        /// Index of the wave.
        wave: u32,
        /// The instance.
        instance: InstanceId,
    },
    /// Ends a job that cannot run, with its evidence.
    RejectJob {
        /// The job.
        job: JobId,
        /// Instances on which it failed while they ran other jobs.
        failed_on: BTreeSet<InstanceId>,
    },
    /// Declares that a session has ended, so that nothing waits for it.
    ForgetSession {
        /// The session.
        session: SessionId,
    },
    /// Adds an instance that is in no pool, in phase `joining`, with the entry's number as generation. Needs no
    /// duty, because a new instance has no work and no other pool.
    AddInstance {
        /// The instance.
        instance: InstanceId,
        /// The pool that it joins.
        pool: PoolId,
        /// Where the instance is.
        place: InstancePlace,
    },
    /// Asks the coordinator to drain an instance and to keep it out of service until its return is requested.
    /// The coordinator takes a budget token first, as it does for a plan.
    RequestDrain {
        /// The instance.
        instance: InstanceId,
        /// Reason, for the audit trail.
        reason: Arc<str>,
    },
    /// Asks the coordinator to return a draining, drained or quarantined instance to its pool.
    RequestReturn {
        /// The instance.
        instance: InstanceId,
        /// Reason, for the audit trail.
        reason: Arc<str>,
    },
    /// A change of a later figloft version; it is kept, reported and has no effect on this version's state.
    #[serde(untagged)]
    Unread(serde_json::Value),
}

impl EntryChange {
    /// Whether only the holder of the coordinator duty may make this change.
    pub fn needs_coordinator(&self) -> bool {
        matches!(
            self,
            Self::JoinPool { .. }
                | Self::SetPhase { .. }
                | Self::LeaveFleet { .. }
                | Self::TakeToken { .. }
                | Self::ReturnToken { .. }
                | Self::SetAllowance { .. }
                | Self::CompleteMove { .. }
                | Self::StartMove { .. }
                | Self::LendInstance { .. }
                | Self::EndLoan { .. }
        )
    }
}

/// One entry of the journal.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct JournalEntry {
    /// Version of the entry's form.
    pub schema: u32,
    /// Number of the entry, the revision that it makes.
    pub number: Revision,
    /// Who made the changes.
    pub actor: EntryActor,
    /// Wall time at the writer.
    pub written_at: UnixMillis,
    /// Identifies the attempt to write, so that a lost answer can be decided by reading the entry.
    pub nonce: WriteNonce,
    /// Term of the writer, for changes that need the duty.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub term: Option<LeaderTerm>,
    /// The changes, applied in order.
    pub changes: Vec<EntryChange>,
}
