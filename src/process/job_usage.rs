//! Counts of this session's tasks and waiting jobs, for reports to other sessions and the coordinator.

use std::collections::BTreeMap;

use crate::model::id::{InstanceId, PoolId, TeamId};
use crate::model::priority::WorkPriority;
use crate::process::job_scheduler::JobScheduler;

/// Pool, team and priority of a job.
pub type JobKind = (PoolId, TeamId, WorkPriority);

/// Running tasks and waiting jobs of one session.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct JobUsage {
    /// Tasks that are running or about to start, by kind.
    pub running: BTreeMap<JobKind, u32>,
    /// Jobs in the queue, by kind.
    pub waiting: BTreeMap<JobKind, u64>,
    /// Tasks that are running or about to start, by instance.
    pub in_flight: BTreeMap<InstanceId, u32>,
}

impl JobUsage {
    /// Reads the counts from the scheduler. A task counts from the moment it is assigned to a worker, so that
    /// a report never omits one that is just starting.
    pub fn from_scheduler(scheduler: &JobScheduler) -> Self {
        let mut usage = Self {
            waiting: scheduler.queue.waiting_counts(),
            ..Self::default()
        };
        for task in scheduler.tasks.values() {
            let kind = (task.job.pool.clone(), task.job.team.clone(), task.job.priority);
            *usage.running.entry(kind).or_insert(0) += 1;
            *usage.in_flight.entry(task.instance.clone()).or_insert(0) += 1;
        }
        usage
    }

    /// Sums `running` over pools and priorities.
    pub fn running_by_team(&self) -> BTreeMap<TeamId, u32> {
        let mut teams = BTreeMap::new();
        for ((_, team, _), count) in &self.running {
            *teams.entry(team.clone()).or_insert(0) += count;
        }
        teams
    }
}
