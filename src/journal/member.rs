//! Parts of the fleet's state that figloft changes by itself.

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
    /// Work is placed on the instance.
    #[display("serving")]
    Serving,
    /// No new work is placed; running work ends.
    #[display("draining")]
    Draining,
    /// No work runs; the instance may reboot or change its pool.
    #[display("drained")]
    Drained,
    /// The instance has joined its pool or rebooted and is not yet seen healthy.
    #[display("joining")]
    Joining,
    /// The instance failed too much work and receives none.
    #[display("quarantined")]
    Quarantined,
}

/// Where an instance is and what it has.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct InstancePlace {
    /// Region of the availability zone.
    pub region: RegionId,
    /// Availability zone.
    pub zone: ZoneId,
    /// Rack.
    pub rack: RackId,
    /// Resources for tasks.
    pub resources: ResourceSet,
    /// Address of the worker or backend server, `ip:port`.
    pub address: Arc<str>,
}

/// An instance's membership in its one pool.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PoolMember {
    /// The pool.
    pub pool: PoolId,
    /// Journal number of the entry that made the instance a member of this pool.
    pub generation: Generation,
    /// Phase in the pool.
    pub phase: MemberPhase,
    /// Journal number of the entry that set the phase.
    pub phase_since: Revision,
    /// Where the instance is.
    pub place: InstancePlace,
}

/// Permission to take one instance out of service, counted against budgets until it is returned.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct BudgetToken {
    /// Plan for which the token was taken; absent for an operator's drain.
    pub plan: Option<PlanId>,
    /// Service whose budget is used; absent for pools without a service.
    pub service: Option<ServiceId>,
    /// Instance that is taken out of service.
    pub instance: InstanceId,
    /// Availability zone of the instance.
    pub zone: ZoneId,
    /// Rack of the instance.
    pub rack: RackId,
    /// Wall time at which it was taken.
    pub taken_at: UnixMillis,
}

/// Phase of a move plan.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum PlanPhase {
    /// Carried out by the coordinator.
    #[display("running")]
    Running,
    /// No new drains start; started ones are completed.
    #[display("paused")]
    Paused,
    /// No new drains start; instances that are still draining return to their pool.
    #[display("aborted")]
    Aborted,
    /// All waves are complete.
    #[display("complete")]
    Complete,
}

/// Progress of a move plan.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlanProgress {
    /// Phase of the plan.
    pub phase: PlanPhase,
    /// Instances done, by index of their wave.
    pub done: Vec<std::collections::BTreeSet<InstanceId>>,
    /// Instances under way, with the index of their wave.
    #[serde(default)]
    pub started: std::collections::BTreeMap<InstanceId, u32>,
    /// Loans made for the plan so far, counting each change of pool once.
    #[serde(default)]
    pub loans: u32,
}

/// A loan of an instance to another pool.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct InstanceLoan {
    /// Pool to which the instance returns.
    pub home: PoolId,
    /// Pool that the instance serves or is on the way to.
    pub to: PoolId,
    /// Plan whose buffer it is; absent for loans under demand.
    pub plan: Option<PlanId>,
}

/// Phase that an operator wants an instance to have.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum WantedPhase {
    /// Out of service until the operator returns it.
    #[display("drained")]
    Drained,
    /// Back in service in its pool.
    #[display("serving")]
    Serving,
}

/// An operator's request for one instance, carried out by the coordinator under the availability budgets.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct InstanceRequest {
    /// What the operator wants.
    pub wanted: WantedPhase,
    /// Journal number of the entry that made the request.
    pub requested_at: Revision,
    /// Reason given by the operator.
    pub reason: Arc<str>,
}

/// Holder of the coordinator duty.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CoordinatorTerm {
    /// Session that holds the duty.
    pub session: SessionId,
    /// Fencing term.
    pub term: LeaderTerm,
}
