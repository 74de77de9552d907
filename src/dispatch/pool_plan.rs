//! Records that the holders of the pools and of the fleet exchange.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use crate::model::id::{OrganisationId, PlanVersion, WorkerId};
use crate::model::resource::ResourceSet;

/// Part of a worker's processor capacity by which demand has to change to be reported at once.
const SIGNIFICANT_PART: u64 = 4;

/// What the fleet's holder asks of a pool.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct PoolPlan {
    /// Version; rises with each change.
    pub version: PlanVersion,
    /// The most that each organisation with an upper limit may have running on the pool.
    pub allowances: BTreeMap<OrganisationId, ResourceSet>,
    /// The most that the pool may still use of each limit because it has not confirmed a lower allowance.
    pub ceilings: BTreeMap<OrganisationId, ResourceSet>,
    /// Workers to vacate.
    #[serde(rename = "closing")]
    pub evacuating: BTreeSet<WorkerId>,
    /// Workers whose upkeep is due later; lasting tasks are placed elsewhere if possible.
    #[serde(rename = "due")]
    pub maintenance_due: BTreeSet<WorkerId>,
}

/// One worker in a report.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct WorkerUsage {
    /// Runs that may be on the worker.
    pub runs: u32,
    /// Lasting runs among them.
    #[serde(rename = "lasting")]
    pub long_running: u32,
    /// Whether it is being vacated by the plan in force and has listed what it runs.
    #[serde(rename = "is_closing")]
    pub is_evacuating: bool,
    /// Whether it takes work: listed, answering, neither draining nor being vacated.
    pub is_usable: bool,
}

/// What a pool's holder tells the fleet's holder and the next holder of the pool.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct PoolReport {
    /// Plan in force.
    pub plan: PlanVersion,
    /// Workers that may run something, and those of the pool.
    pub workers: BTreeMap<WorkerId, WorkerUsage>,
    /// What each organisation has running.
    pub usage: BTreeMap<OrganisationId, ResourceSet>,
    /// What each organisation has ready to start.
    pub wanted: BTreeMap<OrganisationId, ResourceSet>,
    /// Resources in use.
    pub used: ResourceSet,
    /// Resources of the workers that take work.
    pub capacity: ResourceSet,
    /// Resources of work that is ready to start and can be in time.
    pub ready: ResourceSet,
    /// Resources that the next submissions will keep busy when a moved instance takes work.
    pub inflow: ResourceSet,
    /// Resources that the jobs at hand will keep busy then.
    pub remaining: ResourceSet,
    /// Resources of lasting tasks, running or ready.
    #[serde(rename = "lasting")]
    pub long_running: ResourceSet,
    /// Largest number of workers that a step needs because of its spread.
    pub spread: u32,
}

impl PoolReport {
    /// Workers that take work.
    pub fn usable_workers(&self) -> u32 {
        self.workers.values().filter(|usage| usage.is_usable).count() as u32
    }

    /// Whether the fleet's holder should hear of the change from `old` at once: a plan or a worker changed its
    /// state, or demand changed by a good part of what one worker carries.
    pub fn is_significant_change(&self, old: &Self) -> bool {
        let has_new_state = self.plan != old.plan
            || self.workers.len() != old.workers.len()
            || self.workers.iter().any(|(id, usage)| {
                let known = old.workers.get(id);
                known.is_none_or(|known| usage.has_changed_state(known))
            });
        let one = self.capacity.cores.get() / u64::from(self.usable_workers().max(1));
        let ready = self.ready.cores.get().abs_diff(old.ready.cores.get());
        let expected = |report: &Self| report.inflow.plus(&report.remaining).cores.get();
        let expected = expected(self).abs_diff(expected(old));
        let used = self.used.cores.get().abs_diff(old.used.cores.get());
        has_new_state || ready > one / SIGNIFICANT_PART || used > one || expected > one
    }
}

impl WorkerUsage {
    fn has_changed_state(&self, old: &Self) -> bool {
        let is_evacuated = |usage: &Self| usage.is_evacuating && usage.runs == 0;
        self.is_evacuating != old.is_evacuating
            || self.is_usable != old.is_usable
            || is_evacuated(self) != is_evacuated(old)
    }
}
