//! What this session has running for each team, requests and tasks together.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use crate::model::amount::SlotCount;
use crate::model::id::TeamId;

/// Counter shared by the request path and the job runner. Copies share the same counts.
#[derive(Debug, Clone, Default)]
pub struct TeamCounter {
    counts: Arc<Mutex<BTreeMap<TeamId, u32>>>,
}

impl TeamCounter {
    /// Creates a counter at zero.
    pub fn new() -> Self {
        Self::default()
    }

    /// Counts one more piece of work if the team then has at most `allowance` running. Checking and counting
    /// is one step, so that requests and tasks together never pass the allowance.
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

    /// Work running for a team.
    pub fn running(&self, team: &TeamId) -> u32 {
        self.lock().get(team).copied().unwrap_or(0)
    }

    /// Work running for all teams that have any.
    pub fn running_by_team(&self) -> BTreeMap<TeamId, u32> {
        let counts = self.lock();
        let running = counts.iter().filter(|(_, count)| **count > 0);
        running.map(|(team, count)| (team.clone(), *count)).collect()
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<TeamId, u32>> {
        self.counts.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// One piece of work that counts as running until this is dropped.
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
