//! Demand reports: the running and waiting work of a session, as it is sent to peers.

use serde::{Deserialize, Serialize};

use crate::model::id::{PoolId, TeamId};
use crate::model::priority::WorkPriority;

/// Number of requests, tasks or jobs by priority.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[expect(missing_docs, reason = "the fields have the names of the priorities")]
pub struct PriorityCounts {
    pub urgent: u32,
    pub bench: u32,
    pub overnight: u32,
}

impl PriorityCounts {
    /// Returns the count of a priority.
    pub fn get(&self, priority: WorkPriority) -> u32 {
        match priority {
            WorkPriority::Urgent => self.urgent,
            WorkPriority::Bench => self.bench,
            WorkPriority::Overnight => self.overnight,
        }
    }

    /// Adds to the count of a priority; the count stops at `u32::MAX`.
    pub fn add(&mut self, priority: WorkPriority, count: u32) {
        let field = match priority {
            WorkPriority::Urgent => &mut self.urgent,
            WorkPriority::Bench => &mut self.bench,
            WorkPriority::Overnight => &mut self.overnight,
        };
        *field = field.saturating_add(count);
    }

    /// Sum over all priorities.
    pub fn total(&self) -> u64 {
        u64::from(self.urgent) + u64::from(self.bench) + u64::from(self.overnight)
    }
}

/// Running and waiting work of one team in one pool.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct DemandLine {
    /// The team; `None` for work of queues that are open to all teams.
    pub team: Option<TeamId>,
    /// The pool that runs the work.
    pub pool: PoolId,
    /// Number of running requests and tasks.
    pub running: PriorityCounts,
    /// Number of waiting requests and jobs.
    pub waiting: PriorityCounts,
}

/// Running and waiting work of one session. Teams and pools without any are left out.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct DemandReport {
    /// At most one line for each pair of team and pool.
    pub lines: Vec<DemandLine>,
}
