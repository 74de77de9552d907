//! Maintenance waves: which instances to evacuate, and when to start their maintenance.
//!
//! A wave may be due while pools are at their peak load. Idle instances are therefore evacuated first, and
//! busy ones only as fast as the duration of the wave requires. Instances with long-running tasks are
//! evacuated from the start, a few of each pool at a time: they take longest, because a step may have only
//! one of its tasks interrupted at a time.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

use crate::dispatch::pool_plan::WorkerUsage;
use crate::model::id::{InstanceId, PoolId, WorkerId, ZoneId};

/// Number of instances evacuated in addition to those that may be down at once.
const EXTRA_EVACUATIONS: usize = 1;

/// Maximum number of instances with long-running tasks that are evacuated at once in each pool: one whose
/// tasks are being moved, and the next one.
const MAX_LONG_RUNNING_EVACUATIONS: usize = 2;

/// Time from the start of the evacuation of a busy instance to the end of its maintenance, which itself takes
/// 2 s.
const BUSY_MAINTENANCE_TIME: Duration = Duration::from_secs(4);

/// Fraction of the duration of a wave over which busy instances are spread; the rest is reserved for
/// instances that were unreachable.
const PLANNED_FRACTION: f64 = 0.6;

/// Delay before a refused maintenance request is repeated.
const RETRY_DELAY: Duration = Duration::from_millis(500);

/// State of an instance in the platform's list.
#[derive(Debug, Clone, Copy, PartialEq, Eq, derive_more::Display)]
pub enum InstanceState {
    /// Running; its worker may be up.
    #[display("up")]
    Up,
    /// Being moved to another pool.
    #[display("moving")]
    Moving,
    /// Down for maintenance.
    #[display("upkeep")]
    Maintenance,
    /// Down for any other reason.
    #[display("down")]
    Down,
}

/// An instance in the platform's list.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct InstanceEntry {
    /// Pool of the instance according to the list.
    pub pool: PoolId,
    /// State at the time of the list.
    pub state: InstanceState,
    /// Worker on the instance, if there is one.
    pub worker: Option<WorkerId>,
    /// Availability zone, if the list names it.
    pub zone: Option<ZoneId>,
}

impl InstanceEntry {
    /// Whether the instance is in one of the zones.
    pub fn is_in(&self, zones: &BTreeSet<ZoneId>) -> bool {
        self.zone.as_ref().is_some_and(|zone| zones.contains(zone))
    }
}

/// A maintenance wave as requested by the platform.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WaveRequest {
    /// Instances that need maintenance.
    pub instances: BTreeSet<InstanceId>,
    /// Time in which the whole wave has to be completed.
    pub duration: Duration,
    /// Maximum number of instances that may be down for the wave at once.
    pub max_down: usize,
}

/// Progress of a wave, stored so that the next leader does not evacuate an instance twice.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct WaveProgress {
    /// Instances whose maintenance has started, and those for which it is not possible.
    #[serde(rename = "begun")]
    pub started: BTreeSet<InstanceId>,
    /// Whether the maintenance of all instances has started, so that the wave is reported as complete.
    pub is_complete: bool,
}

/// Outcome of a request to the machine API.
#[derive(Debug, Clone, Copy, PartialEq, Eq, derive_more::Display)]
pub enum InstanceOutcome {
    /// The request was executed, now or by an earlier attempt.
    #[display("done")]
    Done,
    /// The instance is not up, or is being moved.
    #[display("busy")]
    Busy,
    /// The instance does not exist, is not part of the wave or does not fit the pool.
    #[display("not applicable")]
    NotApplicable,
    /// Refused because a newer leader has sent requests.
    #[display("fenced")]
    Fenced,
    /// No response; the request may have been executed.
    #[display("unknown")]
    Unknown,
    /// Refused without any effect.
    #[display("refused")]
    Refused,
}

/// Plan of one maintenance wave.
#[derive(Debug, Clone)]
pub struct WavePlan {
    request: WaveRequest,
    progress: WaveProgress,
    /// Time by which the maintenance of all instances is planned to have started.
    planned_end: Instant,
    /// Instances that are, or may be, down, with the time at which their maintenance was requested.
    down: BTreeMap<InstanceId, Instant>,
    evacuating: BTreeSet<InstanceId>,
    in_flight: BTreeSet<InstanceId>,
    /// Instances that the last list lacked.
    missing: BTreeSet<InstanceId>,
    retry_at: BTreeMap<InstanceId, Instant>,
}

impl WavePlan {
    /// Creates the plan of a wave with its stored progress. Instances whose maintenance a previous leader
    /// started count as down until a list shows them as up.
    pub fn new(now: Instant, request: WaveRequest, progress: WaveProgress) -> Self {
        let down = progress.started.iter().map(|id| (id.clone(), now)).collect();
        let mut planned = request.duration.mul_f64(PLANNED_FRACTION);
        if !progress.started.is_empty() {
            // A previous leader started the wave at an unknown time.
            planned /= 2;
        }
        Self {
            planned_end: now + planned,
            request,
            progress,
            down,
            evacuating: BTreeSet::new(),
            in_flight: BTreeSet::new(),
            missing: BTreeSet::new(),
            retry_at: BTreeMap::new(),
        }
    }

    /// Progress to store.
    pub fn progress(&self) -> &WaveProgress {
        &self.progress
    }

    /// Instances that are being evacuated for the wave.
    pub fn evacuating(&self) -> &BTreeSet<InstanceId> {
        &self.evacuating
    }

    /// Whether maintenance is outstanding, or instances are or may be down.
    pub fn is_active(&self) -> bool {
        !self.progress.is_complete || !self.down.is_empty()
    }

    /// Updates the plan from the platform's list, read at `read_at`. Instances that are listed as up no
    /// longer count as down, and those that two lists in a row lack need no maintenance any more. One list proves
    /// nothing: its pages are read one after the other, and an instance may change its place between two of them.
    pub fn set_instances(&mut self, read_at: Instant, instances: &BTreeMap<InstanceId, InstanceEntry>) {
        let concerned = self.request.instances.iter().chain(self.down.keys());
        let missing: BTreeSet<InstanceId> = concerned
            .filter(|id| !instances.contains_key(*id))
            .cloned()
            .collect();
        let gone: BTreeSet<InstanceId> = missing.intersection(&self.missing).cloned().collect();
        self.missing = missing;
        self.down.retain(|id, requested_at| {
            let is_up = |entry: &InstanceEntry| entry.state == InstanceState::Up;
            let is_back = instances.get(id).map_or_else(|| gone.contains(id), is_up);
            !(is_back && read_at > *requested_at)
        });
        // A previous leader may have requested maintenance without storing it.
        for id in &self.request.instances {
            let is_in_maintenance = instances
                .get(id)
                .is_some_and(|entry| entry.state == InstanceState::Maintenance);
            if is_in_maintenance {
                self.down.entry(id.clone()).or_insert(read_at);
            }
        }
        for id in gone.into_iter().filter(|id| self.request.instances.contains(id)) {
            self.evacuating.remove(&id);
            self.progress.started.insert(id);
        }
    }

    /// Instances whose maintenance has not started.
    pub fn not_started(&self) -> impl Iterator<Item = &InstanceId> {
        self.request.instances.difference(&self.progress.started)
    }

    /// Chooses further instances to evacuate. Busy ones in `closed_zones`, which are under evacuation, take no slot: they
    /// are chosen once nothing runs on them.
    pub fn choose_evacuations(
        &mut self,
        now: Instant,
        instances: &BTreeMap<InstanceId, InstanceEntry>,
        usages: &BTreeMap<WorkerId, WorkerUsage>,
        closed_zones: &BTreeSet<ZoneId>,
    ) {
        let is_closed_busy = |id: &InstanceId| {
            let entry = instances.get(id).filter(|entry| entry.is_in(closed_zones));
            let worker = entry.and_then(|entry| entry.worker.as_ref());
            let usage = worker.and_then(|worker| usages.get(worker));
            usage.is_some_and(|usage| usage.runs > 0)
        };
        let in_flight = &self.in_flight;
        self.evacuating
            .retain(|id| in_flight.contains(id) || !is_closed_busy(id));
        let free_slots = self.request.max_down + EXTRA_EVACUATIONS;
        let mut free_slots = free_slots.saturating_sub(self.evacuating.len() + self.down.len());
        let mut busy_quota = self.busy_evacuation_quota(now);
        let mut long_running_counts: BTreeMap<&PoolId, usize> = BTreeMap::new();
        let mut candidates: Vec<(bool, u32, &InstanceId, &PoolId)> = Vec::new();
        for id in self.request.instances.difference(&self.progress.started) {
            let Some(entry) = instances.get(id).filter(|_| !is_closed_busy(id)) else {
                continue;
            };
            let usage = entry.worker.as_ref().and_then(|worker| usages.get(worker));
            let usage = usage.cloned().unwrap_or_default();
            if !self.evacuating.contains(id) {
                candidates.push((usage.long_running == 0, usage.runs, id, &entry.pool));
                continue;
            }
            if usage.long_running > 0 {
                *long_running_counts.entry(&entry.pool).or_default() += 1;
            } else if usage.runs > 0 {
                busy_quota = busy_quota.saturating_sub(1);
            }
        }
        candidates.sort();
        let mut chosen = Vec::new();
        for (has_no_long_running, runs, id, pool) in candidates {
            if free_slots == 0 {
                break;
            }
            let is_allowed = if !has_no_long_running {
                let count = long_running_counts.entry(pool).or_default();
                *count += 1;
                *count <= MAX_LONG_RUNNING_EVACUATIONS
            } else if runs > 0 {
                let has_quota = busy_quota > 0;
                busy_quota = busy_quota.saturating_sub(1);
                has_quota
            } else {
                true
            };
            if is_allowed {
                free_slots -= 1;
                chosen.push(id.clone());
            }
        }
        self.evacuating.extend(chosen);
    }

    /// Number of busy instances that have to be evacuated at once for the wave to complete on time.
    fn busy_evacuation_quota(&self, now: Instant) -> usize {
        let left = self.planned_end.saturating_duration_since(now);
        let rounds = (left.as_secs_f64() / BUSY_MAINTENANCE_TIME.as_secs_f64()).max(1.0);
        (self.not_started().count() as f64 / rounds).ceil() as usize
    }

    /// Returns the instances whose maintenance has to be requested now, and counts them as down.
    /// `is_evacuated` tells whether nothing runs on an instance any more.
    pub fn take_ready(
        &mut self,
        now: Instant,
        instances: &BTreeMap<InstanceId, InstanceEntry>,
        is_evacuated: impl Fn(&InstanceEntry) -> bool,
    ) -> Vec<InstanceId> {
        let mut ready = Vec::new();
        for id in &self.evacuating {
            if self.down.len() + ready.len() >= self.request.max_down {
                break;
            }
            let is_paused = self.retry_at.get(id).is_some_and(|at| now < *at);
            let entry = instances.get(id).filter(|entry| entry.state == InstanceState::Up);
            if is_paused || self.in_flight.contains(id) || !entry.is_some_and(&is_evacuated) {
                continue;
            }
            ready.push(id.clone());
        }
        for id in &ready {
            self.in_flight.insert(id.clone());
            self.down.insert(id.clone(), now);
        }
        ready
    }

    /// Handles the outcome of a maintenance request. Returns whether the progress changed.
    pub fn handle_outcome(&mut self, now: Instant, instance: &InstanceId, outcome: InstanceOutcome) -> bool {
        self.in_flight.remove(instance);
        match outcome {
            InstanceOutcome::Done | InstanceOutcome::NotApplicable => {
                self.evacuating.remove(instance);
                if outcome == InstanceOutcome::NotApplicable {
                    self.down.remove(instance);
                } else {
                    self.down.insert(instance.clone(), now);
                }
                self.progress.started.insert(instance.clone())
            }
            InstanceOutcome::Busy | InstanceOutcome::Refused | InstanceOutcome::Fenced => {
                self.down.remove(instance);
                self.retry_at.insert(instance.clone(), now + RETRY_DELAY);
                false
            }
            // The instance may be down. The request is repeated, which has no effect if it was executed.
            InstanceOutcome::Unknown => {
                self.retry_at.insert(instance.clone(), now + RETRY_DELAY);
                false
            }
        }
    }

    /// Marks the wave as complete once the maintenance of all instances has started. Returns whether that is
    /// new.
    pub fn mark_complete(&mut self) -> bool {
        let is_done = self.request.instances.is_subset(&self.progress.started);
        let is_new = is_done && !self.progress.is_complete;
        self.progress.is_complete |= is_done;
        is_new
    }
}
