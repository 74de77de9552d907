//! Records through which the fleet leader and the pool leaders communicate.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use crate::model::default_value;
use crate::model::id::{OrganisationId, PlanVersion, WorkerId, ZoneId};
use crate::model::resource::ResourceSet;
use crate::model::unix_time::UnixMillis;

/// A change of the ready work by more than this part (1/4) of a worker's CPU capacity is reported at once.
const SIGNIFICANT_PART: u64 = 4;

/// Smaller changes than this part (1/64) of the pool's CPU capacity are not reported at once: a report lists
/// all workers, and in a large pool some change always exceeds a part of one worker.
const SIGNIFICANT_POOL_PART: u64 = 64;

/// Instructions of the fleet leader to a pool leader.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct PoolPlan {
    /// Version, increased with each change; a pool leader ignores older plans.
    pub version: PlanVersion,
    /// Resources that each organisation with a limit may use on the pool.
    pub allowances: BTreeMap<OrganisationId, ResourceSet>,
    /// Upper bound of what the pool may use of each limit until it confirms this plan. It exceeds the
    /// allowance where an earlier plan allowed more.
    pub ceilings: BTreeMap<OrganisationId, ResourceSet>,
    /// Workers that get no new work and whose runs have to be moved.
    #[serde(rename = "closing")]
    pub evacuating: BTreeSet<WorkerId>,
    /// Workers that will be evacuated for maintenance later; long-running tasks are placed elsewhere if
    /// possible.
    #[serde(rename = "due")]
    pub maintenance_due: BTreeSet<WorkerId>,
}

/// Use of one worker, as part of a [`PoolReport`].
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct WorkerUsage {
    /// Number of runs that are, or may be, on the worker.
    #[serde(skip_serializing_if = "default_value::is_default")]
    pub runs: u32,
    /// Number of long-running runs among them.
    #[serde(rename = "lasting", skip_serializing_if = "default_value::is_default")]
    pub long_running: u32,
    /// Whether the plan in force evacuates the worker and the worker has reported its runs.
    #[serde(rename = "is_closing", skip_serializing_if = "default_value::is_default")]
    pub is_evacuating: bool,
    /// Whether the worker accepts work: listed, responding, and neither draining nor being evacuated.
    #[serde(skip_serializing_if = "default_value::is_default")]
    pub is_usable: bool,
}

/// Runs of a pool that are, or may be, in one zone.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
#[expect(missing_docs, reason = "the comment on the type describes the numbers")]
pub struct ZoneRuns {
    pub finite: u32,
    pub long_running: u32,
}

impl ZoneRuns {
    /// Whether there are none.
    pub fn is_empty(&self) -> bool {
        *self == Self::default()
    }
}

/// The first start of an organisation's tasks that waits in a pool.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct NextStart {
    /// Resources that it needs as a whole: those of a task, or of all members of a gang.
    pub demand: ResourceSet,
    /// Time at which its job was accepted.
    pub accepted_at: UnixMillis,
}

/// Report of a pool leader to the fleet leader, also read by the next leader of the pool.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct PoolReport {
    /// Version of the plan in force; 0 while a new leader does not know what its workers run.
    pub plan: PlanVersion,
    /// Workers of the pool, and former ones that may still run something.
    pub workers: BTreeMap<WorkerId, WorkerUsage>,
    /// Resources of the active runs of each organisation.
    pub usage: BTreeMap<OrganisationId, ResourceSet>,
    /// The part of `usage` that long-running tasks keep. Absent in reports of earlier versions.
    #[serde(skip_serializing_if = "BTreeMap::is_empty")]
    pub pinned: BTreeMap<OrganisationId, ResourceSet>,
    /// Resources of the tasks of each organisation that are ready to start, and fit the organisation's limit and a
    /// worker.
    pub wanted: BTreeMap<OrganisationId, ResourceSet>,
    /// The first start of each organisation with a limit that waits. Absent in reports of earlier versions.
    #[serde(skip_serializing_if = "BTreeMap::is_empty")]
    pub next_starts: BTreeMap<OrganisationId, NextStart>,
    /// Resources of all active runs.
    pub used: ResourceSet,
    /// Total resources of the workers that accept work.
    pub capacity: ResourceSet,
    /// Resources of the tasks that are ready to start and can still complete on time.
    pub ready: ResourceSet,
    /// Forecast of the resources that new submissions will use by the time a moved instance accepts work.
    pub inflow: ResourceSet,
    /// Forecast of the resources that the present jobs will use at that time.
    pub remaining: ResourceSet,
    /// Resources of long-running tasks, active or ready to start.
    #[serde(rename = "lasting")]
    pub long_running: ResourceSet,
    /// Largest number of workers that a step needs because it limits its tasks per worker.
    pub spread: u32,
    /// Number of further workers that waiting tasks need because none of the present ones has had a place for them
    /// for some time. Absent in reports of earlier versions.
    #[serde(skip_serializing_if = "default_value::is_default")]
    pub unplaced: u32,
    /// Runs in the zones under evacuation in which the pool has workers. Absent in reports of earlier versions.
    #[serde(skip_serializing_if = "BTreeMap::is_empty")]
    pub zone_runs: BTreeMap<ZoneId, ZoneRuns>,
}

impl PoolReport {
    /// Number of workers that accept work.
    pub fn usable_workers(&self) -> u32 {
        self.workers.values().filter(|usage| usage.is_usable).count() as u32
    }

    /// Zones under evacuation, and whether something runs there.
    fn occupied_zones(&self) -> BTreeMap<&ZoneId, bool> {
        let zones = self.zone_runs.iter();
        zones.map(|(zone, runs)| (zone, !runs.is_empty())).collect()
    }

    /// Whether the change from `old` has to be reported to the fleet leader at once: the plan in force, the
    /// state of a worker or the number of workers for unplaced tasks changed, the ready work or the capacity changed
    /// by more than 1/4 of a worker's, or the used or forecast CPU by more than one worker's. In a large pool the
    /// changes have to be larger.
    pub fn is_significant_change(&self, old: &Self) -> bool {
        let has_new_state = self.plan != old.plan
            || self.unplaced != old.unplaced
            || self.occupied_zones() != old.occupied_zones()
            || self.workers.len() != old.workers.len()
            || self.workers.iter().any(|(id, usage)| {
                let known = old.workers.get(id);
                known.is_none_or(|known| usage.has_changed_state(known))
            });
        let per_worker = self.capacity.cores.get() / u64::from(self.usable_workers().max(1));
        let ready = self.ready.cores.get().abs_diff(old.ready.cores.get());
        let expected = |report: &Self| report.inflow.plus(&report.remaining).cores.get();
        let expected = expected(self).abs_diff(expected(old));
        let used = self.used.cores.get().abs_diff(old.used.cores.get());
        let pool_part = self.capacity.cores.get() / SIGNIFICANT_POOL_PART;
        let worker = per_worker.max(pool_part);
        let worker_part = (per_worker / SIGNIFICANT_PART).max(pool_part);
        let capacity = self.capacity.cores.get().abs_diff(old.capacity.cores.get());
        let memory = self.capacity.memory.get().abs_diff(old.capacity.memory.get());
        let memory_part = old.capacity.memory.get() / u64::from(old.usable_workers().max(1));
        let has_new_capacity = capacity > worker_part || memory > (memory_part / SIGNIFICANT_PART).max(1);
        has_new_state || has_new_capacity || ready > worker_part || used > worker || expected > worker
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
