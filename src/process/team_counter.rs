//! Counts the work that this session runs for each team: requests and tasks together.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use crate::model::amount::SlotCount;
use crate::model::id::TeamId;

/// Counter shared by the request path and the job runner. Clones share the same counts.
#[derive(Debug, Clone, Default)]
pub struct TeamCounter {
    counts: Arc<Mutex<BTreeMap<TeamId, u32>>>,
}

impl TeamCounter {
    /// Creates a counter without running work.
    pub fn new() -> Self {
        Self::default()
    }

    /// Counts one more request or task, or returns nothing if the team has `allowance` or more running.
    /// Checking and counting are one atomic step, so that requests and tasks together never exceed the
    /// allowance.
    pub fn try_start(&self, team: &TeamId, allowance: SlotCount) -> Option<RunPermit> {
        let mut counts = self.lock();
        let count = counts.entry(team.clone()).or_insert(0);
        if *count >= allowance.get() {
            return None;
        }
        *count += 1;
        Some(RunPermit {
            counter: self.clone(),
            team: team.clone(),
        })
    }

    /// Requests and tasks that are running for a team.
    pub fn running(&self, team: &TeamId) -> u32 {
        self.lock().get(team).copied().unwrap_or(0)
    }

    /// Requests and tasks that are running, for each team that has any.
    pub fn running_by_team(&self) -> BTreeMap<TeamId, u32> {
        let counts = self.lock();
        let running = counts.iter().filter(|(_, count)| **count > 0);
        running.map(|(team, count)| (team.clone(), *count)).collect()
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<TeamId, u32>> {
        self.counts.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Counts one request or task as running until the permit is dropped.
#[derive(Debug)]
pub struct RunPermit {
    counter: TeamCounter,
    team: TeamId,
}

impl Drop for RunPermit {
    fn drop(&mut self) {
        if let Some(count) = self.counter.lock().get_mut(&self.team) {
            *count = count.saturating_sub(1);
        }
    }
}
