//! Move plans.

use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};

use crate::model::amount::InstanceCount;
use crate::model::id::{PlanId, PoolId, ZoneId};

/// Action for each instance of a wave, carried out after the instance has been drained.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "action")]
pub enum WaveAction {
    /// Moves the instance to another pool.
    Move {
        /// Target pool.
        to: PoolId,
    },
    /// Reboots the instance, which then returns to its pool.
    Reboot,
}

/// One step of a plan: instances of one pool that are drained and then moved or rebooted.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlanWave {
    /// Pool whose instances are moved or rebooted.
    pub pool: PoolId,
    /// Action for each instance.
    #[serde(flatten)]
    pub action: WaveAction,
    /// Restricts the wave to instances in these availability zones; all zones if empty.
    #[serde(default)]
    pub zones: BTreeSet<ZoneId>,
    /// Number of instances in the wave; all instances of the pool and zones if absent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub count: Option<InstanceCount>,
}

/// A move plan. Waves run in order. A wave starts once the previous one has too few unstarted instances left
/// to use up the budget.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlanRecord {
    /// Id, unique among plans.
    pub id: PlanId,
    /// Waves in the order in which they start.
    pub waves: Vec<PlanWave>,
    /// Maximum number of instances that the plan takes out of service at the same time, over all pools;
    /// limited only by the services' availability budgets if absent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub max_parallel: Option<InstanceCount>,
    /// Maximum duration of a drain, in milliseconds; remaining tasks are then checkpointed and stopped.
    pub drain_timeout_ms: u64,
}
