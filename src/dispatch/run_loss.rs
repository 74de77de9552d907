//! Runs that were lost with their worker, as evidence that their task crashes workers.
//!
//! A worker that crashes cannot tell which of its runs was the cause. A single crash therefore proves nothing
//! about any of them: it may have been another run, or none. A task is given up only after several workers
//! crashed under it, at least twice while no run of another job could be the cause.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::dispatch::millis;
use crate::model::id::{InstanceId, RunNumber, WorkerId};
use crate::model::unix_time::UnixMillis;

/// Age from which a run is no suspect when its worker is lost: a task that crashes the workers on which it
/// starts would have done so before.
pub const MAX_SUSPECT_AGE: Duration = Duration::from_secs(10);

/// Age below which a crash is early. The loss is noticed up to 240 ms after the crash, which is the longest pause
/// between two polls.
const EARLY_CRASH_AGE: Duration = Duration::from_millis(250);

/// Lost runs of any age that make a task a suspect.
const MAX_LOST_RUNS: usize = 3;

/// Crashes that are needed to give a task up. Those in a mass loss count only if they are early or isolated.
const MIN_CRASHES: usize = 3;

/// Instances that have to crash while the task was isolated there, so that neither a run of another job nor one
/// unstable instance can be the cause.
const MIN_ISOLATED_INSTANCES: usize = 2;

/// Early crashes after which a task is given up even if it was never isolated. Another one may have been lost
/// together with the leader that saw it.
const MAX_EARLY_CRASHES: usize = 4;

/// Crashes after which a task is given up whenever they came: no more than two starts may follow the third crash.
const MAX_CRASHES: usize = 5;

/// Shortest time for which a run has to be active to show that its task was not the cause of a loss.
const MIN_CLEARING_TIME: Duration = Duration::from_secs(2);

/// Factor from the time for which a lost run was active to the time after which another run has outlasted it.
const CLEARING_FACTOR: u32 = 2;

/// What is known of a run and its worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum LossState {
    /// The run is being started, or active. Recorded before the start of a suspect, so that a crash under it
    /// is not forgotten if the leader is lost too.
    Started,
    /// The worker does not answer. Its process may have ended, or only the path to it.
    Missing,
    /// The process of the worker has ended.
    Crashed,
}

/// A run that was, or may have been, lost with its worker.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunLoss {
    /// Worker on which the run was started.
    pub worker: WorkerId,
    /// Instance of the worker; a later worker on it proves that the process has ended.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub instance: Option<InstanceId>,
    /// Start time of the worker's process.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub incarnation: Option<UnixMillis>,
    /// What is known of the run.
    pub state: LossState,
    /// Time from the start command until the loss of the worker was noticed; zero before that.
    #[serde(with = "millis")]
    pub active_for: Duration,
    /// Whether no run of another job on the worker was young enough to be a suspect.
    pub is_isolated: bool,
    /// Whether many workers were lost at the same time, which one task cannot cause.
    #[serde(default)]
    pub is_mass_loss: bool,
}

impl RunLoss {
    /// Whether the worker was lost early in the run.
    fn is_early(&self) -> bool {
        self.active_for < EARLY_CRASH_AGE
    }

    /// Whether a run that has been active for this time shows that the task was not the cause.
    fn is_outlasted(&self, active_for: Duration) -> bool {
        let time = self.active_for * CLEARING_FACTOR;
        active_for >= time.clamp(MIN_CLEARING_TIME, MAX_SUSPECT_AGE)
    }
}

/// Losses of the runs of one task, by run number: a loss that is seen again, or by another leader, is the
/// same loss.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct LossHistory {
    losses: BTreeMap<RunNumber, RunLoss>,
}

impl LossHistory {
    /// Whether nothing is recorded.
    pub fn is_empty(&self) -> bool {
        self.losses.is_empty()
    }

    /// All records.
    pub fn iter(&self) -> impl Iterator<Item = (RunNumber, &RunLoss)> {
        self.losses.iter().map(|(run, loss)| (*run, loss))
    }

    /// Record of a run, for changes.
    pub fn get_mut(&mut self, run: RunNumber) -> Option<&mut RunLoss> {
        self.losses.get_mut(&run)
    }

    /// Adds or replaces the record of a run.
    pub fn insert(&mut self, run: RunNumber, loss: RunLoss) {
        self.losses.insert(run, loss);
    }

    /// Removes the record of a run that turned out not to be lost. Returns whether there was one.
    pub fn remove_unless_crashed(&mut self, run: RunNumber) -> bool {
        let is_removable = self
            .losses
            .get(&run)
            .is_some_and(|loss| loss.state != LossState::Crashed);
        if is_removable {
            self.losses.remove(&run);
        }
        is_removable
    }

    /// Forgets the losses that a run has outlasted. Starts stay on record while the task is a suspect. Returns
    /// whether anything was forgotten.
    pub fn forget_outlasted(&mut self, active_for: Duration) -> bool {
        let count = self.losses.len();
        self.losses
            .retain(|_, loss| loss.state == LossState::Started || !loss.is_outlasted(active_for));
        if !self.is_suspect() {
            self.losses.retain(|_, loss| !loss.is_outlasted(active_for));
        }
        self.losses.len() < count
    }

    /// Crashes of workers under the task.
    pub fn crashes(&self) -> impl Iterator<Item = &RunLoss> {
        self.losses
            .values()
            .filter(|loss| loss.state == LossState::Crashed)
    }

    /// Number of lost runs, whether the cause is known or not.
    pub fn lost_runs(&self) -> usize {
        let is_lost = |loss: &&RunLoss| loss.state != LossState::Started;
        self.losses.values().filter(is_lost).count()
    }

    /// Whether the task has to be given up. A long-running task is given up by early crashes, or by five of any age
    /// that are no mass losses: a late crash is most likely not its fault, and the end of the job stops its other
    /// tasks.
    pub fn is_faulty(&self, is_long_running: bool) -> bool {
        let early = self.crashes().filter(|loss| loss.is_early()).count();
        let is_counted = |loss: &&RunLoss| {
            loss.is_early() || (!is_long_running && (loss.is_isolated || !loss.is_mass_loss))
        };
        let counted: Vec<&RunLoss> = self.crashes().filter(is_counted).collect();
        let isolated = counted.iter().filter(|loss| loss.is_isolated);
        let instances: BTreeSet<&str> = isolated
            .map(|loss| match &loss.instance {
                Some(instance) => instance.as_str(),
                None => loss.worker.as_str(),
            })
            .collect();
        let is_proved = counted.len() >= MIN_CRASHES && instances.len() >= MIN_ISOLATED_INSTANCES;
        let own = self
            .crashes()
            .filter(|loss| !is_long_running || !loss.is_mass_loss);
        is_proved || early >= MAX_EARLY_CRASHES || own.count() >= MAX_CRASHES
    }

    /// Whether the next run has to be isolated from other jobs.
    pub fn is_suspect(&self) -> bool {
        let is_own = |loss: &RunLoss| loss.is_early() && !loss.is_mass_loss;
        self.crashes().any(is_own) || self.lost_runs() >= MAX_LOST_RUNS
    }

    /// Whether the task may have crashed a worker early in a run, as far as is known.
    pub fn has_early_loss(&self) -> bool {
        let is_early = |loss: &RunLoss| loss.state != LossState::Started && loss.is_early();
        self.losses.values().any(is_early)
    }
}
