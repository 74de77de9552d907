//! What the holder of a pool knows of one worker.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::dispatch::command::CommandTarget;
use crate::dispatch::job_spec::StepSpec;
use crate::dispatch::speed_control::SpeedControl;
use crate::dispatch::task_id::{StepId, TaskId};
use crate::dispatch::worker_entry::WorkerEntry;
use crate::dispatch::worker_health::WorkerHealth;
use crate::dispatch::worker_lease::WorkerLease;
use crate::model::id::{OrganisationId, RunNumber};
use crate::model::resource::ResourceSet;
use crate::model::unix_time::UnixMillis;

/// Shortest time without progress after which a run stands still. Workers are looked at once a second, and a start
/// from a checkpoint takes up to 0.6 s.
const MIN_STALL_TIME: Duration = Duration::from_millis(1_800);

/// Part of the estimated run time without progress after which a run stands still; workers list whole percents.
const STALL_FRACTION: f64 = 0.3;

/// Progress below which a run counts as standing still, in percent: a tenth of what the estimate expects in the
/// shortest time, so that a slow run is left alone.
const MIN_PROGRESS_PERCENT: f64 = 3.0;

/// Certainty about a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RunPhase {
    /// The start was sent and is not answered.
    Starting,
    /// The worker confirmed it.
    Running,
    /// The start had no answer; it may be carried out later.
    Unknown,
}

/// A run that is or may be on a worker.
#[derive(Debug, Clone)]
#[expect(
    clippy::struct_excessive_bools,
    reason = "the flags are independent of each other"
)]
pub struct PlacedRun {
    /// The run.
    pub run: RunNumber,
    /// Certainty.
    pub phase: RunPhase,
    /// What it takes from the worker's capacity.
    pub reserved: ResourceSet,
    /// What counts against its organisation's limit.
    pub demand: ResourceSet,
    /// Organisation of the job.
    pub organisation: Option<OrganisationId>,
    /// Time of the start, or of its discovery.
    pub placed_at: Instant,
    /// Estimated run time.
    pub estimate: Duration,
    /// Whether it runs until its job is cancelled.
    pub is_long_running: bool,
    /// Whether it uses only the processor time that others leave.
    pub is_best_effort: bool,
    /// Bound of its response times in milliseconds.
    pub tail_latency_target_ms: Option<u64>,
    /// Progress at the last look.
    pub progress_percent: f64,
    /// Progress at which the run was last seen to get on.
    pub last_progress_percent: f64,
    /// Time of that progress, or of the start.
    pub last_progress_at: Instant,
    /// Tail of response times in milliseconds, for a serving task, at the last look.
    pub load: f64,
    /// Newest checkpoint.
    pub checkpoint: Arc<str>,
    /// End of the lease that its start carried, on the worker's clock; the order has no effect after it.
    pub deadline_ms: u64,
    /// Pace that was last ordered, in percent.
    pub speed_percent: u32,
    /// Whether the worker has started again since, so that its next report decides.
    pub is_unconfirmed: bool,
    /// Time at which its start ran into its time-out.
    pub unknown_since: Option<Instant>,
    /// Whether it has to be stopped.
    pub must_stop: bool,
    /// Time of the last stop sent.
    pub stop_sent_at: Option<Instant>,
    /// Time at which the worker took the stop.
    pub stop_acknowledged_at: Option<Instant>,
    /// Looks in a row that did not list it though it was confirmed.
    pub missed_polls: u32,
}

/// Ends that a worker has listed, until they are acknowledged.
#[derive(Debug, Clone, Default)]
pub struct OutcomeLog {
    highest_seen: u64,
    acknowledged: u64,
    /// Number of an end and the change that has to be written first.
    pending: VecDeque<(u64, u64)>,
    /// Whether the worker listed an end again that had been acknowledged.
    must_repeat: bool,
}

impl PlacedRun {
    /// Creates a run of a task of a step, as confirmed as `phase` says.
    pub fn new(
        now: Instant,
        run: RunNumber,
        phase: RunPhase,
        spec: &StepSpec,
        organisation: Option<OrganisationId>,
    ) -> Self {
        Self {
            run,
            phase,
            reserved: spec.reserved(),
            demand: spec.demand,
            organisation,
            placed_at: now,
            estimate: spec.estimate,
            is_long_running: spec.is_long_running,
            is_best_effort: spec.is_best_effort,
            tail_latency_target_ms: spec.tail_latency_target_ms,
            progress_percent: 0.0,
            last_progress_percent: 0.0,
            last_progress_at: now,
            load: 0.0,
            checkpoint: Arc::default(),
            deadline_ms: 0,
            speed_percent: 100,
            is_unconfirmed: false,
            unknown_since: None,
            must_stop: false,
            stop_sent_at: None,
            stop_acknowledged_at: None,
            missed_polls: 0,
        }
    }

    /// Takes the progress that the worker lists.
    pub fn observe_progress(&mut self, now: Instant, percent: f64) {
        if percent >= self.last_progress_percent + MIN_PROGRESS_PERCENT {
            self.last_progress_percent = percent;
            self.last_progress_at = now;
        }
        self.progress_percent = percent;
    }

    /// Whether a run that should end stands still though the worker answers.
    pub fn is_stalled(&self, now: Instant) -> bool {
        let limit = MIN_STALL_TIME.max(self.estimate.mul_f64(STALL_FRACTION));
        let can_stall = !self.is_long_running && !self.is_best_effort && self.progress_percent < 100.0;
        can_stall
            && self.phase == RunPhase::Running
            && !self.must_stop
            && now.saturating_duration_since(self.last_progress_at) > limit
    }
}

impl OutcomeLog {
    /// Whether an end has been applied already.
    pub fn is_known(&self, sequence: u64) -> bool {
        sequence <= self.highest_seen
    }

    /// Takes an end that depends on a change; 0 depends on nothing.
    pub fn push(&mut self, sequence: u64, change: u64) {
        self.highest_seen = self.highest_seen.max(sequence);
        self.pending.push_back((sequence, change));
    }

    /// Takes the ends that a report lists: one that had been acknowledged is acknowledged again.
    pub fn record_listed(&mut self, mut listed: impl Iterator<Item = u64>) {
        self.must_repeat |= listed.any(|sequence| sequence <= self.acknowledged);
    }

    /// The highest end to acknowledge now that all changes up to `durable` are written, or 0 if there is nothing
    /// new. The worker may have started again unnoticed: its new life numbers ends anew, and a number repeated
    /// without cause would acknowledge ends that nobody has seen.
    pub fn acknowledge(&mut self, durable: u64) -> u64 {
        let mut is_new = std::mem::take(&mut self.must_repeat);
        while let Some((sequence, change)) = self.pending.front()
            && *change <= durable
        {
            self.acknowledged = self.acknowledged.max(*sequence);
            self.pending.pop_front();
            is_new = true;
        }
        if is_new { self.acknowledged } else { 0 }
    }

    /// Whether ends wait for an acknowledgement that can be given now.
    pub fn has_ready(&self, durable: u64) -> bool {
        self.must_repeat || self.pending.front().is_some_and(|(_, change)| *change <= durable)
    }
}

/// State of the looks at a worker.
#[derive(Debug, Clone, Default)]
pub struct PollState {
    /// Time at which the look in flight was sent.
    pub sent_at: Option<Instant>,
    /// Earliest time of the next look.
    pub next_at: Option<Instant>,
    /// Looks in a row without an answer.
    pub failures: u32,
}

/// A worker.
#[derive(Debug, Clone)]
pub struct WorkerState {
    /// Its entry in the list.
    pub entry: WorkerEntry,
    /// Whether the list still has the entry.
    pub is_listed: bool,
    /// Start of its process.
    pub incarnation: Option<UnixMillis>,
    /// Lease of its runs.
    pub lease: WorkerLease,
    /// What it runs or may run.
    pub runs: BTreeMap<TaskId, PlacedRun>,
    /// Capacity that is taken.
    pub used: ResourceSet,
    /// Ends.
    pub outcomes: OutcomeLog,
    /// Looks.
    pub poll: PollState,
    /// Whether it has answered a look in this term.
    pub has_reported: bool,
    /// Evidence against it.
    pub health: WorkerHealth,
    /// Time until which it counts as full after a refusal.
    pub full_until: Option<Instant>,
    /// Starts in flight.
    pub starts_in_flight: u32,
    /// Pace of its fillers.
    pub speed: SpeedControl,
}

impl WorkerState {
    /// Creates the state of a worker that has not been looked at.
    pub fn new(entry: WorkerEntry) -> Self {
        Self {
            incarnation: entry.incarnation,
            entry,
            is_listed: true,
            lease: WorkerLease::default(),
            runs: BTreeMap::new(),
            used: ResourceSet::default(),
            outcomes: OutcomeLog::default(),
            poll: PollState::default(),
            has_reported: false,
            health: WorkerHealth::default(),
            full_until: None,
            starts_in_flight: 0,
            speed: SpeedControl::default(),
        }
    }

    /// Address for an order.
    pub fn target(&self) -> CommandTarget {
        CommandTarget {
            worker: self.entry.id.clone(),
            address: self.entry.address,
        }
    }

    /// Capacity that is not taken.
    pub fn free(&self) -> ResourceSet {
        self.entry.capacity.saturating_sub(&self.used)
    }

    /// Adds a run.
    pub fn add_run(&mut self, task: TaskId, run: PlacedRun) {
        self.used = self.used.plus(&run.reserved);
        self.runs.insert(task, run);
    }

    /// Removes a run.
    pub fn remove_run(&mut self, task: &TaskId, run: RunNumber) -> Option<PlacedRun> {
        if self.runs.get(task)?.run != run {
            return None;
        }
        let removed = self.runs.remove(task)?;
        self.used = self.used.saturating_sub(&removed.reserved);
        Some(removed)
    }

    /// Tasks of a step on this worker.
    pub fn count_step(&self, step: &StepId) -> u32 {
        let first = step.task(0);
        self.runs
            .range(first..)
            .take_while(|(task, _)| task.step == *step)
            .count() as u32
    }

    /// Highest tail over target of the serving tasks.
    pub fn worst_latency_ratio(&self) -> Option<f64> {
        let tails = self.runs.values().filter_map(|run| {
            let target = run.tail_latency_target_ms?;
            Some(run.load / target.max(1) as f64)
        });
        tails.reduce(f64::max)
    }

    /// Whether it is listed, sound and may get work.
    pub fn is_usable(&self, now: Instant) -> bool {
        let is_open = self.is_listed && self.has_reported && !self.entry.is_draining;
        let is_full = self.full_until.is_some_and(|until| now < until);
        let is_trial_over = !self.health.is_on_probation() || self.runs.is_empty();
        is_open && !is_full && !self.health.is_in_backoff(now) && is_trial_over && self.poll.failures == 0
    }
}
