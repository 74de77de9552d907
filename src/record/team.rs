//! Teams that submit requests and jobs.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::model::amount::{ShareWeight, SlotCount};
use crate::model::id::TeamId;

/// A team with its share of the capacity and its limit.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TeamRecord {
    /// Id, unique among teams.
    pub id: TeamId,
    /// Organisation to which the team belongs.
    pub organisation: Arc<str>,
    /// Weight by which capacity is divided between teams when there is not enough for all.
    pub share: ShareWeight,
    /// Maximum number of requests and tasks of the team that run at the same time in the whole fleet.
    pub limit: SlotCount,
}
