//! What the jobs of this session use, for reports to other sessions and the coordinator.

use std::collections::BTreeMap;

use crate::model::id::{InstanceId, PoolId, TeamId};
use crate::model::priority::WorkPriority;
use crate::process::job_scheduler::JobScheduler;

/// Pool, team and priority of a job.
pub type JobKind = (PoolId, TeamId, WorkPriority);

/// Running tasks and waiting jobs of one session.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct JobUsage {
    /// Tasks that run or are about to start, by kind.
    pub running: BTreeMap<JobKind, u32>,
    /// Waiting jobs, by kind.
    pub waiting: BTreeMap<JobKind, u64>,
    /// Tasks by instance.
    pub in_flight: BTreeMap<InstanceId, u32>,
}

impl JobUsage {
    /// Reads the use from the scheduler. A task counts from the moment in which it is given to a worker, so that one
    /// that starts meanwhile is never left out.
    pub fn from_scheduler(scheduler: &JobScheduler) -> Self {
        let mut found = Self {
            waiting: scheduler.queue.waiting_counts(),
            ..Self::default()
        };
        for task in scheduler.tasks.values() {
            let kind = (task.job.pool.clone(), task.job.team.clone(), task.job.priority);
            *found.running.entry(kind).or_insert(0) += 1;
            *found.in_flight.entry(task.instance.clone()).or_insert(0) += 1;
        }
        found
    }

    /// Tasks that run for each team.
    pub fn running_by_team(&self) -> BTreeMap<TeamId, u32> {
        let mut teams = BTreeMap::new();
        for ((_, team, _), count) in &self.running {
            *teams.entry(team.clone()).or_insert(0) += count;
        }
        teams
    }
}
