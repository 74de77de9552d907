//! Closes the workers of zones under evacuation, and tells what still runs there.

use std::collections::{BTreeMap, BTreeSet};

use crate::dispatch::evacuated_zones::EvacuatedZones;
use crate::dispatch::pool_plan::ZoneRuns;
use crate::dispatch::pool_scheduler::PoolScheduler;
use crate::dispatch::worker_state::WorkerState;
use crate::model::id::{WorkerId, ZoneId};

impl PoolScheduler {
    /// Replaces the view of the zones under evacuation. Until the first one that has been read nothing is started, if
    /// the view needs a confirmation.
    pub fn set_evacuated_zones(&mut self, zones: EvacuatedZones) {
        let former = std::mem::replace(&mut self.zones, zones);
        if former.zones() == self.zones.zones() {
            return;
        }
        self.update_evacuating();
        let current = self.zones.zones().clone();
        for zone in current.difference(former.zones()) {
            let workers = self.zone_workers(zone).count();
            let runs = self.count_runs(zone);
            let inputs = format!(
                "zone {zone}: {workers} workers of the pool, {} finite and {} long-running runs",
                runs.finite, runs.long_running
            );
            self.note("zone evacuation requested", None, None, inputs);
        }
        for zone in former.zones().difference(&current) {
            self.emptied_zones.remove(zone);
            self.note("zone evacuation ended", None, None, format!("zone {zone}"));
        }
    }

    /// Determines the workers that may take no task.
    pub(super) fn update_evacuating(&mut self) {
        let zones = self.zones.zones();
        let in_zones = self
            .workers
            .iter()
            .filter(|(_, worker)| zones.contains(&worker.entry.zone));
        let in_zones = in_zones.map(|(id, _)| id);
        let all: BTreeSet<WorkerId> = self.plan.evacuating.iter().chain(in_zones).cloned().collect();
        self.evacuating = all;
    }

    /// Determines whether a worker with a new entry may take tasks.
    pub(super) fn update_evacuating_worker(&mut self, id: &WorkerId) {
        let worker = self.workers.get(id);
        let is_in_zone = worker.is_some_and(|worker| self.zones.zones().contains(&worker.entry.zone));
        if is_in_zone || self.plan.evacuating.contains(id) {
            self.evacuating.insert(id.clone());
        } else {
            self.evacuating.remove(id);
        }
    }

    fn zone_workers(&self, zone: &ZoneId) -> impl Iterator<Item = &WorkerState> {
        let workers = self.workers.values();
        workers.filter(move |worker| worker.entry.zone == *zone)
    }

    fn count_runs(&self, zone: &ZoneId) -> ZoneRuns {
        let mut counts = ZoneRuns::default();
        for run in self.zone_workers(zone).flat_map(|worker| worker.runs.values()) {
            if run.is_long_running {
                counts.long_running += 1;
            } else {
                counts.finite += 1;
            }
        }
        counts
    }

    /// Runs in the zones under evacuation in which the pool has, or had, workers.
    pub fn zone_runs(&self) -> BTreeMap<ZoneId, ZoneRuns> {
        let zones = self.zones.zones().iter();
        zones
            .filter(|zone| self.zone_workers(zone).next().is_some())
            .map(|zone| (zone.clone(), self.count_runs(zone)))
            .collect()
    }

    /// Logs once when nothing runs any more in a zone under evacuation.
    pub(super) fn note_empty_zones(&mut self) {
        let is_empty = |worker: &WorkerState| {
            let is_known = worker.has_reported || !worker.is_listed;
            is_known && worker.runs.is_empty() && worker.unreserved_runs == 0
        };
        let zones = self.zones.zones().difference(&self.emptied_zones);
        let empty = zones.filter(|zone| self.zone_workers(zone).all(is_empty));
        let empty: Vec<ZoneId> = empty.cloned().collect();
        for zone in empty {
            self.note("zone evacuated", None, None, format!("zone {zone}"));
            self.emptied_zones.insert(zone);
        }
    }
}
