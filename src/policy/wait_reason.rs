//! Reasons why instances and waves of plans wait, as shown to operators.

use std::time::Duration;

use derive_more::Display;

use crate::model::id::{InstanceId, PlanId, PoolId};
use crate::policy::budget_ledger::BudgetRefusal;

/// Why an instance or a wave waits. The display text describes each reason.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
#[expect(missing_docs, reason = "the display text describes the variants")]
pub enum WaitReason {
    #[display("work still runs on the instance")]
    WorkRunning,
    /// The reboot has not been reported as done.
    #[display("the instance is rebooting")]
    Rebooting,
    #[display("an operator drained the instance and has not returned it")]
    OperatorHold,
    #[display("the new membership is not confirmed by the instance and all sessions")]
    JoinUnconfirmed,
    #[display("the instance has not confirmed that it accepts work")]
    ResumeUnconfirmed,
    /// The instance does not answer, is not listed, or its zone is unreachable.
    #[display("the instance is not healthy")]
    InstanceUnhealthy,
    #[display("the instance is busy with another plan, a loan or an operator's drain")]
    BusyElsewhere,
    /// An availability budget is used up.
    #[display("{_0}")]
    Budget(BudgetRefusal),
    /// Given with the plan's limit, which is reached.
    #[display("the plan allows {_0} instances out of service at once")]
    MaxParallel(u32),
    #[display("new drains are stopped after a burst of failures")]
    FailureBurst,
    /// Given with the remaining rate in percent.
    #[display("fewer instances are moved at once after failures (rate {_0}%)")]
    Slowed(u32),
    /// The pool's demand exceeds the capacity of the other instances. Given with the maximum time for which
    /// the wave waits for lower demand.
    #[display("demand needs all instances of the pool; the wave waits at most {} s for lower demand", _0.as_secs())]
    DemandPeak(Duration),
    /// Given with the index of an earlier wave that has unstarted instances.
    #[display("wave {_0} of the same pool comes first")]
    EarlierWave(u32),
    #[display("the budget is kept for {_0} lent instances that return to their pools")]
    LoansReturning(u32),
    #[display("the plan is paused")]
    Paused,
    /// The wave's instances are to join this pool.
    #[display("pool {_0} does not exist")]
    NoSuchPool(PoolId),
    /// Given with the pool's minimum number of instances, below which the pool would fall.
    #[display("the pool must keep {_0} instances")]
    PoolMinimum(u32),
    /// The step already starts as many instances as fit into one journal entry.
    #[display("one journal entry starts at most {_0} instances")]
    EntryFull(usize),
}

/// A wait of one instance, or of all unstarted instances of a wave.
#[derive(Debug, Clone, PartialEq, Eq)]
#[expect(missing_docs, reason = "pool and reason need no explanation")]
pub struct PlanWait {
    /// Absent if the wait does not belong to a plan.
    pub plan: Option<PlanId>,
    /// Index of the wave; absent if the wait does not belong to a wave.
    pub wave: Option<u32>,
    pub pool: PoolId,
    /// Absent if all unstarted instances of the wave wait.
    pub instance: Option<InstanceId>,
    pub reason: WaitReason,
}
