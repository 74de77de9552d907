//! Pools of instances.

use serde::{Deserialize, Serialize};

use crate::model::amount::InstanceCount;
use crate::model::id::PoolId;

/// Settings of a pool of instances. The instances themselves are not part of the record.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PoolRecord {
    /// Id, unique among pools.
    pub id: PoolId,
    /// Whether this is the spare pool, whose instances are the buffer for moves and may be lent to other
    /// pools.
    #[serde(default)]
    pub spare: bool,
    /// Minimum number of instances that remain in the pool when others are lent; 0 if not written.
    #[serde(default)]
    pub min_instances: InstanceCount,
    /// Whether instances may be lent to other pools when demand is low.
    #[serde(default)]
    pub lendable: bool,
}
