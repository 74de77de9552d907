//! Waves of upkeep: which instances to vacate and when to start their upkeep.
//!
//! Answers waves that are due while pools are at their peak: idle instances go first, busy ones no faster than the
//! wave's time asks for. Instances with lasting tasks begin at once, a few for each pool, because a step gives up one
//! task at a time and these instances take the longest.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

use crate::dispatch::pool_plan::WorkerUsage;
use crate::model::id::{InstanceId, PoolId, WorkerId};

/// Instances that are vacated beyond the number that may be down at once.
const EXTRA_EVACUATIONS: usize = 1;

/// Instances with lasting tasks that are vacated at once for each pool: one that moves and one that follows.
const MAX_LONG_RUNNING_EVACUATIONS: usize = 2;

/// Time from the decision to vacate a busy instance to the end of its upkeep, of which the platform asks 2 s.
const BUSY_MAINTENANCE_TIME: Duration = Duration::from_secs(4);

/// Part of a wave's time in which its busy instances are planned; the rest is for those that were unreachable.
const PLANNED_FRACTION: f64 = 0.6;

/// Pause before a refused upkeep is asked for again.
const RETRY_DELAY: Duration = Duration::from_millis(500);

/// State of an instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq, derive_more::Display)]
pub enum InstanceState {
    /// Its worker may run.
    #[display("up")]
    Up,
    /// On its way to another pool.
    #[display("moving")]
    Moving,
    /// Down for its upkeep.
    #[display("upkeep")]
    Maintenance,
    /// Down for another reason.
    #[display("down")]
    Down,
}

/// An instance in the platform's list.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct InstanceEntry {
    /// Pool.
    pub pool: PoolId,
    /// State.
    pub state: InstanceState,
    /// Its worker, if it has one.
    pub worker: Option<WorkerId>,
}

/// A wave as requested.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WaveRequest {
    /// Instances that are due.
    pub instances: BTreeSet<InstanceId>,
    /// Time for the whole wave.
    pub duration: Duration,
    /// Most instances that may be down for it at once.
    pub max_down: usize,
}

/// Progress of a wave, stored so that the next holder does not vacate an instance twice.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct WaveProgress {
    /// Instances whose upkeep has begun, and those that cannot have one.
    #[serde(rename = "begun")]
    pub started: BTreeSet<InstanceId>,
    /// Whether the end has been announced.
    pub is_complete: bool,
}

/// Outcome of an order to the machine API.
#[derive(Debug, Clone, Copy, PartialEq, Eq, derive_more::Display)]
pub enum InstanceOutcome {
    /// Done, or done before.
    #[display("done")]
    Done,
    /// Not up, or leaving.
    #[display("busy")]
    Busy,
    /// Not part of the wave, no such instance, or a pool of other instances.
    #[display("not applicable")]
    NotApplicable,
    /// A newer holder has given orders.
    #[display("fenced")]
    Fenced,
    /// No answer; it may have been carried out.
    #[display("unknown")]
    Unknown,
    /// Refused; nothing was done.
    #[display("refused")]
    Refused,
}

/// One wave.
#[derive(Debug, Clone)]
pub struct WavePlan {
    request: WaveRequest,
    progress: WaveProgress,
    /// Time by which all upkeep is planned to have begun.
    planned_end: Instant,
    /// Instances that are or may be down, with the time at which the upkeep was ordered.
    down: BTreeMap<InstanceId, Instant>,
    evacuating: BTreeSet<InstanceId>,
    in_flight: BTreeSet<InstanceId>,
    retry_at: BTreeMap<InstanceId, Instant>,
}

impl WavePlan {
    /// Creates the plan of a wave with its stored progress. Instances whose upkeep a former holder began may
    /// still be down.
    pub fn new(now: Instant, request: WaveRequest, progress: WaveProgress) -> Self {
        let down = progress.started.iter().map(|id| (id.clone(), now)).collect();
        let mut planned = request.duration.mul_f64(PLANNED_FRACTION);
        if !progress.started.is_empty() {
            // A former holder began it at a time that is not known.
            planned /= 2;
        }
        Self {
            planned_end: now + planned,
            request,
            progress,
            down,
            evacuating: BTreeSet::new(),
            in_flight: BTreeSet::new(),
            retry_at: BTreeMap::new(),
        }
    }

    /// Progress to store.
    pub fn progress(&self) -> &WaveProgress {
        &self.progress
    }

    /// Instances that are being vacated.
    pub fn closing(&self) -> &BTreeSet<InstanceId> {
        &self.evacuating
    }

    /// Whether instances are or may be down, or wait to be.
    pub fn is_active(&self) -> bool {
        !self.progress.is_complete || !self.down.is_empty()
    }

    /// Takes the platform's list, read at `read_at`: an instance that is up is not down any more.
    pub fn set_instances(&mut self, read_at: Instant, instances: &BTreeMap<InstanceId, InstanceEntry>) {
        self.down.retain(|id, ordered_at| {
            let entry = instances.get(id);
            let is_back = entry.is_none_or(|entry| entry.state == InstanceState::Up);
            !(is_back && read_at > *ordered_at)
        });
        // A former holder may have ordered an upkeep without storing it.
        for id in &self.request.instances {
            let is_in_upkeep = instances
                .get(id)
                .is_some_and(|entry| entry.state == InstanceState::Maintenance);
            if is_in_upkeep {
                self.down.entry(id.clone()).or_insert(read_at);
            }
        }
        let missing = |id: &&InstanceId| !instances.contains_key(*id);
        let gone: Vec<InstanceId> = self.request.instances.iter().filter(missing).cloned().collect();
        for id in gone {
            self.evacuating.remove(&id);
            self.progress.started.insert(id);
        }
    }

    /// Instances whose upkeep has not begun.
    pub fn not_started(&self) -> impl Iterator<Item = &InstanceId> {
        self.request.instances.difference(&self.progress.started)
    }

    /// Chooses instances to vacate.
    pub fn choose_evacuations(
        &mut self,
        now: Instant,
        instances: &BTreeMap<InstanceId, InstanceEntry>,
        uses: &BTreeMap<WorkerId, WorkerUsage>,
    ) {
        let room = self.request.max_down + EXTRA_EVACUATIONS;
        let mut room = room.saturating_sub(self.evacuating.len() + self.down.len());
        let mut busy_room = self.busy_evacuation_quota(now);
        let mut lasting: BTreeMap<&PoolId, usize> = BTreeMap::new();
        let mut due: Vec<(bool, u32, &InstanceId, &PoolId)> = Vec::new();
        for id in self.request.instances.difference(&self.progress.started) {
            let Some(entry) = instances.get(id) else {
                continue;
            };
            let usage = entry.worker.as_ref().and_then(|worker| uses.get(worker));
            let usage = usage.cloned().unwrap_or_default();
            if !self.evacuating.contains(id) {
                due.push((usage.long_running == 0, usage.runs, id, &entry.pool));
                continue;
            }
            if usage.long_running > 0 {
                *lasting.entry(&entry.pool).or_default() += 1;
            } else if usage.runs > 0 {
                busy_room = busy_room.saturating_sub(1);
            }
        }
        due.sort();
        let mut chosen = Vec::new();
        for (has_no_lasting, runs, id, pool) in due {
            if room == 0 {
                break;
            }
            let is_allowed = if !has_no_lasting {
                let count = lasting.entry(pool).or_default();
                *count += 1;
                *count <= MAX_LONG_RUNNING_EVACUATIONS
            } else if runs > 0 {
                let has_room = busy_room > 0;
                busy_room = busy_room.saturating_sub(1);
                has_room
            } else {
                true
            };
            if is_allowed {
                room -= 1;
                chosen.push(id.clone());
            }
        }
        self.evacuating.extend(chosen);
    }

    /// Busy instances to be vacated at once so that the wave keeps its time.
    fn busy_evacuation_quota(&self, now: Instant) -> usize {
        let left = self.planned_end.saturating_duration_since(now);
        let rounds = (left.as_secs_f64() / BUSY_MAINTENANCE_TIME.as_secs_f64()).max(1.0);
        (self.not_started().count() as f64 / rounds).ceil() as usize
    }

    /// Instances whose upkeep can start now. `is_empty` tells whether the pool's holder has vacated an instance.
    pub fn take_ready(
        &mut self,
        now: Instant,
        instances: &BTreeMap<InstanceId, InstanceEntry>,
        is_empty: impl Fn(&InstanceEntry) -> bool,
    ) -> Vec<InstanceId> {
        let mut due = Vec::new();
        for id in &self.evacuating {
            if self.down.len() + due.len() >= self.request.max_down {
                break;
            }
            let is_paused = self.retry_at.get(id).is_some_and(|at| now < *at);
            let entry = instances.get(id).filter(|entry| entry.state == InstanceState::Up);
            if is_paused || self.in_flight.contains(id) || !entry.is_some_and(&is_empty) {
                continue;
            }
            due.push(id.clone());
        }
        for id in &due {
            self.in_flight.insert(id.clone());
            self.down.insert(id.clone(), now);
        }
        due
    }

    /// Takes the outcome of an upkeep order. Returns whether the progress changed.
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
            // It may be down; the order is repeated, which is harmless if it was carried out.
            InstanceOutcome::Unknown => {
                self.retry_at.insert(instance.clone(), now + RETRY_DELAY);
                false
            }
        }
    }

    /// Marks the wave as complete once all instances have begun their upkeep. Returns whether that is new.
    pub fn mark_complete(&mut self) -> bool {
        let is_done = self.request.instances.is_subset(&self.progress.started);
        let is_new = is_done && !self.progress.is_complete;
        self.progress.is_complete |= is_done;
        is_new
    }
}
