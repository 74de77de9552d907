//! Weights of the measures that scheduling decisions trade off.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// Weights of the measures that decisions trade off against each other. Only the ratios between weights
/// matter; by default, all are equal.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct PolicyRecord {
    /// Id of the record; only the record `default` takes effect.
    pub id: Arc<str>,
    /// Weight of a short roll-out time of plans.
    pub rollout_time: f64,
    /// Weight of keeping each team's usage close to its share.
    pub share_closeness: f64,
    /// Weight of the capacity that is reserved as a buffer.
    pub buffer_cost: f64,
    /// Weight of the number of moves of instances between pools.
    pub move_count: f64,
}

impl Default for PolicyRecord {
    fn default() -> Self {
        Self {
            id: Arc::from("default"),
            rollout_time: 1.0,
            share_closeness: 1.0,
            buffer_cost: 1.0,
            move_count: 1.0,
        }
    }
}
