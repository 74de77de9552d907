//! Queues of jobs.

use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};

use crate::model::id::{PoolId, QueueId, TeamId};

/// A queue of jobs that run in a pool.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct QueueRecord {
    /// Id, unique among queues.
    pub id: QueueId,
    /// Pool whose instances run the jobs.
    pub pool: PoolId,
    /// Whether callers without a key may submit jobs.
    #[serde(default)]
    pub open: bool,
    /// Teams whose keys are accepted for submitting jobs; all teams if empty.
    #[serde(default)]
    pub teams: BTreeSet<TeamId>,
    /// Maximum number of waiting jobs in the whole fleet; further jobs are refused.
    pub max_waiting: u32,
    /// Lease of a task, in milliseconds. A task whose lease has not been renewed for this time counts as
    /// ended.
    pub task_lease_ms: u64,
    /// Maximum run time of a task, in milliseconds; the task is then stopped. Unlimited if absent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub max_run_ms: Option<u64>,
}
