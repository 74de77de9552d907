//! Reasons for waiting, shown to operators.

use std::time::Duration;

use derive_more::Display;

use crate::model::id::{InstanceId, PlanId, PoolId};
use crate::policy::budget_ledger::BudgetRefusal;

/// Why an instance or a wave waits.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
pub enum WaitReason {
    /// Work still runs on the draining instance.
    #[display("work still runs on the instance")]
    WorkRunning,
    /// The reboot has not been reported.
    #[display("the instance reboots")]
    Rebooting,
    /// An operator drained the instance and has not returned it.
    #[display("an operator holds the instance drained")]
    OperatorHold,
    /// The instance or some session has not confirmed the membership.
    #[display("the new membership is not confirmed by the instance and all sessions")]
    JoinUnconfirmed,
    /// The instance has not confirmed that it accepts work again.
    #[display("the instance has not confirmed that it accepts work")]
    ResumeUnconfirmed,
    /// The instance does not answer, is not listed or its zone is unreachable.
    #[display("the instance is not seen healthy")]
    InstanceUnhealthy,
    /// The instance is busy with another plan, a loan or an operator's drain.
    #[display("the instance is under way for another reason")]
    BusyElsewhere,
    /// An availability budget is used.
    #[display("{_0}")]
    Budget(BudgetRefusal),
    /// As many instances are out of service as the plan allows.
    #[display("the plan allows {_0} instances out of service at once")]
    MaxParallel(u32),
    /// A burst of failures stopped new drains.
    #[display("new drains are stopped after a burst of failures")]
    FailureBurst,
    /// Fewer instances go at once after failures.
    #[display("fewer instances go at once after failures (pace {_0}%)")]
    Slowed(u32),
    /// The pool's demand is above what the other instances can carry.
    #[display("demand needs all instances of the pool; the wave waits at most {} s for a trough", _0.as_secs())]
    DemandPeak(Duration),
    /// An earlier wave of the same pool has instances left.
    #[display("wave {_0} of the same pool comes first")]
    EarlierWave(u32),
    /// The budget that is left is kept for lent instances that return to their pools.
    #[display("the budget is kept for {_0} lent instances that return to their pools")]
    LoansReturning(u32),
    /// The plan is paused.
    #[display("the plan is paused")]
    Paused,
    /// The pool that the wave's instances join does not exist.
    #[display("pool {_0} does not exist")]
    NoSuchPool(PoolId),
    /// The pool would fall below its minimum.
    #[display("the pool must keep {_0} instances")]
    PoolMinimum(u32),
    /// The step already starts as many instances as one journal entry holds.
    #[display("one journal entry starts at most {_0} instances")]
    EntryFull(usize),
}

/// A wait: of one instance, or of the instances of a wave that have not started.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PlanWait {
    /// The plan, if the wait is a plan's.
    pub plan: Option<PlanId>,
    /// Index of the wave.
    pub wave: Option<u32>,
    /// The pool.
    pub pool: PoolId,
    /// The instance; absent if the whole wave waits.
    pub instance: Option<InstanceId>,
    /// The reason.
    pub reason: WaitReason,
}
