//! Journal entries and the changes that they carry.

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

/// Version of the entry format, written into each entry.
pub const ENTRY_SCHEMA: u32 = 1;

/// Who made the changes of an entry.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Display, Serialize, Deserialize)]
#[expect(missing_docs, reason = "the variant name says who acted")]
#[serde(rename_all = "lowercase")]
pub enum EntryActor {
    #[display("operator {_0}")]
    Operator(OperatorId),
    /// figloft itself; the session is that of the process that wrote the entry.
    #[display("system {_0}")]
    System(SessionId),
}

/// One change of the fleet's state, as stored in the journal. [`FleetState::fold`] applies it or, if its
/// conditions do not hold, ignores it and reports why.
///
/// In each variant, `instance`, `pool`, `team`, `session`, `plan` and `job` identify what is changed, `wave`
/// is the index of a wave in its plan, and `reason` is shown in the audit trail.
///
/// [`FleetState::fold`]: crate::journal::fleet_state::FleetState::fold
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "change")]
#[expect(
    missing_docs,
    reason = "the comment of the type describes the recurring fields"
)]
pub enum EntryChange {
    /// Creates or replaces an operator's record.
    PutRecord {
        document: RecordDocument,
        /// Revision of the record that the writer saw; absent if the record must not exist yet.
        expected: Option<Revision>,
    },
    /// Deletes an operator's record.
    DeleteRecord {
        name: RecordName,
        /// Revision of the record that the writer saw.
        expected: Revision,
    },
    /// Makes an instance a member of a pool, in phase `joining`, with the entry number as its generation. An
    /// instance that already is a member of a pool must be drained.
    JoinPool {
        instance: InstanceId,
        pool: PoolId,
        place: InstancePlace,
    },
    /// Sets the phase of an instance in its pool. Leaving `draining` for another phase than `drained` cancels
    /// the instance's move.
    SetPhase {
        instance: InstanceId,
        phase: MemberPhase,
        reason: Arc<str>,
    },
    /// Removes an instance that has left the fleet. Its budget token, if any, still counts until it is
    /// returned.
    LeaveFleet { instance: InstanceId },
    /// Takes a token of the availability budget. An instance has at most one token.
    TakeToken { token: BudgetToken },
    /// Returns the token of an instance to the availability budget.
    ReturnToken { instance: InstanceId },
    /// Sets how many requests and tasks a session may have running for a team.
    SetAllowance {
        team: TeamId,
        session: SessionId,
        /// Zero removes the allowance. An increase must not raise the team's sum above its limit.
        slots: SlotCount,
    },
    /// Makes a session the coordinator. The entry number becomes its term, so that changes with the term of
    /// an earlier coordinator no longer apply.
    TakeDuty { session: SessionId },
    /// Gives up the coordinator role; the session must hold it.
    ReleaseDuty { session: SessionId },
    /// Sets the phase of a plan that is neither aborted nor complete.
    SetPlanPhase {
        plan: PlanId,
        phase: PlanPhase,
        reason: Arc<str>,
    },
    /// Records that the move of an instance starts, so that a new coordinator knows to which wave it belongs.
    StartMove {
        plan: PlanId,
        wave: u32,
        instance: InstanceId,
    },
    /// Lends an instance to a pool, or changes the destination of a lent instance. A later `JoinPool` moves
    /// the instance to `to`; its home pool does not change.
    LendInstance {
        instance: InstanceId,
        /// Pool that borrows the instance; its home pool if the instance returns.
        to: PoolId,
        /// Plan for which the instance is a buffer; absent for a loan to a pool with high demand.
        plan: Option<PlanId>,
    },
    /// Ends a loan: the current pool of the instance is its home pool from now on.
    EndLoan { instance: InstanceId },
    /// Records that the move of an instance is complete.
    CompleteMove {
        plan: PlanId,
        wave: u32,
        instance: InstanceId,
    },
    /// Rejects a job for good because it cannot run.
    RejectJob {
        job: JobId,
        /// Instances on which the job failed while they ran other jobs.
        failed_on: BTreeSet<InstanceId>,
    },
    /// Declares that a session has ended, so that nothing waits for it any more.
    ForgetSession { session: SessionId },
    /// Adds an instance that is in no pool, in phase `joining`, with the entry number as its generation. Any
    /// session may make this change, because a new instance has no work and no other pool.
    AddInstance {
        instance: InstanceId,
        pool: PoolId,
        place: InstancePlace,
    },
    /// Requests that the coordinator drains an instance and keeps it out of service until its return is
    /// requested. The coordinator takes a budget token first, as it does for a plan.
    RequestDrain { instance: InstanceId, reason: Arc<str> },
    /// Requests that the coordinator returns a draining, drained or quarantined instance to its pool.
    RequestReturn { instance: InstanceId, reason: Arc<str> },
    /// A change that only a later figloft version understands. It is kept as written and reported, and has no
    /// effect on the state of this version.
    #[serde(untagged)]
    Unread(serde_json::Value),
}

impl EntryChange {
    /// Whether only the coordinator may make this change. Such a change has no effect unless its entry
    /// carries the current term.
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

/// An entry of the journal: changes that are written together.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct JournalEntry {
    /// Version of the entry format, [`ENTRY_SCHEMA`] for entries of this version.
    pub schema: u32,
    /// Position in the journal, and the revision of the state after this entry.
    pub number: Revision,
    /// Who made the changes.
    pub actor: EntryActor,
    /// Wall-clock time of the writer.
    pub written_at: UnixMillis,
    /// Random number of the writer. After a write without a response, the writer reads the entry back and
    /// compares the nonce to learn whether its own write succeeded.
    pub nonce: WriteNonce,
    /// Term of the writer if it is the coordinator; see [`EntryChange::needs_coordinator`].
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub term: Option<LeaderTerm>,
    /// Changes in the order in which they are applied. Each applies or has no effect on its own.
    pub changes: Vec<EntryChange>,
}
