//! Parts of the fleet state that figloft maintains itself: pool members, budget tokens, plan progress, loans,
//! instance requests and the coordinator.

use std::sync::Arc;

use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::model::id::{
    Generation, InstanceId, LeaderTerm, PlanId, PoolId, RackId, RegionId, Revision, ServiceId, SessionId,
    ZoneId,
};
use crate::model::resource::ResourceSet;
use crate::model::unix_time::UnixMillis;

/// Phase of an instance in its pool.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Display, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum MemberPhase {
    /// New work may be placed on the instance.
    #[display("serving")]
    Serving,
    /// No new work is placed on the instance; running work comes to an end.
    #[display("draining")]
    Draining,
    /// No work runs on the instance, so that it may be rebooted or join another pool.
    #[display("drained")]
    Drained,
    /// The instance has joined its pool or was rebooted, and has not been observed healthy since.
    #[display("joining")]
    Joining,
    /// Too much work failed on the instance, so that no new work is placed on it.
    #[display("quarantined")]
    Quarantined,
}

/// Location, resources and address of an instance.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[expect(missing_docs, reason = "region, zone and rack are described by their types")]
pub struct InstancePlace {
    pub region: RegionId,
    pub zone: ZoneId,
    pub rack: RackId,
    /// Resources available to tasks.
    pub resources: ResourceSet,
    /// Address of the worker or backend server, `ip:port`.
    pub address: Arc<str>,
}

/// Membership of an instance in its only pool.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[expect(missing_docs, reason = "the comment of the type describes the other fields")]
pub struct PoolMember {
    pub pool: PoolId,
    /// Number of the journal entry that made the instance a member of this pool; distinguishes this
    /// membership from earlier ones.
    pub generation: Generation,
    pub phase: MemberPhase,
    /// Number of the journal entry that set the phase.
    pub phase_since: Revision,
    pub place: InstancePlace,
}

/// Permission to take an instance out of service. It counts against the availability budgets
/// until it is returned.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct BudgetToken {
    /// Plan for which the token was taken; absent for an operator's drain.
    pub plan: Option<PlanId>,
    /// Service whose budget is charged; absent for a pool without a service.
    pub service: Option<ServiceId>,
    /// The instance that is out of service.
    pub instance: InstanceId,
    /// Availability zone of the instance.
    pub zone: ZoneId,
    /// Rack of the instance.
    pub rack: RackId,
    /// Wall-clock time at which the token was taken.
    pub taken_at: UnixMillis,
}

/// Phase of a move plan.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum PlanPhase {
    /// The coordinator carries out the plan.
    #[display("running")]
    Running,
    /// No further instances are drained; moves that have started are completed.
    #[display("paused")]
    Paused,
    /// No further instances are drained, and instances that are still draining return to service.
    #[display("aborted")]
    Aborted,
    /// All waves are complete.
    #[display("complete")]
    Complete,
}

/// Progress of a move plan.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[expect(missing_docs, reason = "`phase` is described by its type")]
pub struct PlanProgress {
    pub phase: PlanPhase,
    /// Instances whose move is complete, by index of their wave.
    pub done: Vec<std::collections::BTreeSet<InstanceId>>,
    /// Instances whose move has started and is not complete, with the index of their wave.
    #[serde(default)]
    pub started: std::collections::BTreeMap<InstanceId, u32>,
    /// Number of loans made for the plan so far; each change of a lent instance's destination counts as one.
    #[serde(default)]
    pub loans: u32,
}

/// A loan of an instance to another pool.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct InstanceLoan {
    /// Pool to which the instance returns after the loan.
    pub home: PoolId,
    /// Pool that the instance is in or is being moved to.
    pub to: PoolId,
    /// Plan for which the instance is a buffer; absent for a loan to a pool with high demand.
    pub plan: Option<PlanId>,
}

/// Phase that an operator requests for an instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum WantedPhase {
    /// Out of service until the operator requests its return.
    #[display("drained")]
    Drained,
    /// In service in its pool.
    #[display("serving")]
    Serving,
}

/// An operator's request for one instance, carried out by the coordinator under the availability budgets.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct InstanceRequest {
    /// The phase that the instance is to reach.
    pub wanted: WantedPhase,
    /// Number of the journal entry that made the request.
    pub requested_at: Revision,
    /// Reason given by the operator.
    pub reason: Arc<str>,
}

/// The session that is the coordinator, and its term.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CoordinatorTerm {
    /// Session of the coordinator.
    pub session: SessionId,
    /// Fencing token: changes that need the coordinator take effect only with this term.
    pub term: LeaderTerm,
}
