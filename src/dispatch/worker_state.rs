//! State of a worker as known to the pool leader.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::dispatch::command::CommandTarget;
use crate::dispatch::hold_reason::HoldReason;
use crate::dispatch::job_spec::StepSpec;
use crate::dispatch::speed_control::SpeedControl;
use crate::dispatch::task_id::{StepId, TaskId};
use crate::dispatch::worker_entry::WorkerEntry;
use crate::dispatch::worker_health::WorkerHealth;
use crate::dispatch::worker_lease::WorkerLease;
use crate::dispatch::worker_report::EndedRun;
use crate::model::id::{JobId, OrganisationId, RunNumber};
use crate::model::listed_rows::ListedRows;
use crate::model::resource::ResourceSet;
use crate::model::unix_time::UnixMillis;

/// Minimum time without progress after which a run counts as stalled. Workers are polled once a second, and a
/// start from a checkpoint takes up to 0.6 s.
const MIN_STALL_TIME: Duration = Duration::from_millis(1_800);

/// Fraction of the estimated run time without progress after which a run counts as stalled. Workers report
/// progress in whole percents only.
const STALL_FRACTION: f64 = 0.3;

/// Smallest increase that counts as progress, in percent: the smallest one that workers report. A run that is far slower
/// than estimated makes progress too.
const MIN_PROGRESS_PERCENT: f64 = 1.0;

/// Upper bound of the exponent by which the time without progress grows with the stalled runs of a task.
const MAX_STALL_DOUBLINGS: u32 = 8;

/// Age of a report up to which a run that it does not list is stopped. A run that starts meanwhile is not at work
/// yet; decisions follow a report within 40 ms.
const MAX_REPORT_AGE: Duration = Duration::from_millis(250);

/// Time for which a stop without an answer counts as one that the worker may still carry out. Commands were seen to
/// take effect up to 5.5 s after they were sent.
const MAX_COMMAND_DELAY: Duration = Duration::from_secs(6);

/// Whether a placed run is known to be on the worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RunPhase {
    /// The start command has been sent and not been answered.
    Starting,
    /// The worker has confirmed the run.
    Running,
    /// The start command got no answer. The worker may still execute it.
    Unknown,
}

/// Condition under which the requested stop of a run is sent, and sent again until it is acknowledged; weaker ones
/// first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum StopRule {
    /// Only while the step can spare the task, which is moved to another worker.
    WhileSpared,
    /// Only while the worker's reports do not list the run. The stop settles that it never starts; a run that
    /// turns out to be active is wanted.
    WhileUnlisted,
    /// In any case: nothing needs the run.
    Always,
}

/// A run that is, or may be, on a worker.
#[derive(Debug, Clone)]
#[expect(
    clippy::struct_excessive_bools,
    reason = "the flags are independent of each other"
)]
pub struct PlacedRun {
    /// Number of the run among the runs of its task.
    pub run: RunNumber,
    /// Whether the run is known to be on the worker.
    pub phase: RunPhase,
    /// Time at which the worker last listed the run as active; the start before that.
    pub listed_at: Instant,
    /// Start time of the worker's process on which the run was started, absent if unknown.
    pub incarnation: Option<UnixMillis>,
    /// Resources taken from the worker's capacity.
    pub reserved: ResourceSet,
    /// Resources counted against the limit of the organisation.
    pub demand: ResourceSet,
    /// Organisation of the job, absent for a job of a public queue.
    pub organisation: Option<OrganisationId>,
    /// Time at which the start command was sent or the run was first reported.
    pub placed_at: Instant,
    /// Estimated run time; zero if there is no estimate.
    pub estimate: Duration,
    /// Whether the task runs until its job is cancelled.
    pub is_long_running: bool,
    /// Whether the task uses only CPU time that other tasks leave idle.
    pub is_best_effort: bool,
    /// Upper bound of the tail latency in milliseconds, for a task that serves requests.
    pub tail_latency_target_ms: Option<u64>,
    /// Progress at the last poll.
    pub progress_percent: f64,
    /// Progress when it last increased by at least `MIN_PROGRESS_PERCENT`.
    pub last_progress_percent: f64,
    /// Time of that increase, or of the start.
    pub last_progress_at: Instant,
    /// Earlier runs of the task that were stopped as stalled.
    pub stalled_before: u32,
    /// Load reported at the last poll: tail latency in milliseconds for a task that serves requests, CPU use
    /// otherwise.
    pub load: f64,
    /// Latest checkpoint that the worker has listed, empty if there is none.
    pub checkpoint: Arc<str>,
    /// Lease deadline in the start command, on the worker's clock. The command has no effect after it.
    pub deadline_ms: u64,
    /// Speed set by the last command, in percent of full speed.
    pub speed_percent: u32,
    /// Whether the worker process has restarted since, so that the next report tells whether the run exists.
    pub is_unconfirmed: bool,
    /// Time at which the start command timed out.
    pub unknown_since: Option<Instant>,
    /// Whether the demand of the run is unknown, because its job is.
    pub is_unsized: bool,
    /// Whether the run has to be stopped.
    pub must_stop: bool,
    /// When the stop is sent.
    pub stop_rule: StopRule,
    /// Time of the latest report that did not list the run.
    pub unlisted_at: Option<Instant>,
    /// Time of the last stop command.
    pub stop_sent_at: Option<Instant>,
    /// Time at which the worker accepted the stop command.
    pub stop_acknowledged_at: Option<Instant>,
    /// Consecutive polls that did not list the run although it had been confirmed.
    pub missed_polls: u32,
}

/// Outcomes of runs that a worker has reported and that have not been acknowledged.
#[derive(Debug, Clone, Default)]
pub struct OutcomeLog {
    highest_seen: u64,
    acknowledged: u64,
    /// Sequence number of each outcome and the change that has to be stored before its acknowledgement.
    pending: VecDeque<(u64, u64)>,
    /// Whether the worker reported an outcome again that had been acknowledged.
    must_repeat: bool,
    /// Whether the last list was a part, so that a run which no list names may have ended.
    has_unlisted: bool,
}

impl PlacedRun {
    /// Creates the state of a run whose task belongs to the step `spec`.
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
            listed_at: now,
            incarnation: None,
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
            stalled_before: 0,
            load: 0.0,
            checkpoint: Arc::default(),
            deadline_ms: 0,
            speed_percent: 100,
            is_unconfirmed: false,
            unknown_since: None,
            is_unsized: false,
            must_stop: false,
            stop_rule: StopRule::Always,
            unlisted_at: None,
            stop_sent_at: None,
            stop_acknowledged_at: None,
            missed_polls: 0,
        }
    }

    /// Records the progress that the worker reports.
    pub fn observe_progress(&mut self, now: Instant, percent: f64) {
        if percent >= self.last_progress_percent + MIN_PROGRESS_PERCENT {
            self.last_progress_percent = percent;
            self.last_progress_at = now;
        }
        self.progress_percent = percent;
    }

    /// Requests the stop of the run. A stronger request replaces a weaker one: a run that vanished from the reports
    /// need not wait until its step can spare it.
    pub fn request_stop(&mut self, rule: StopRule) {
        if !self.must_stop || rule > self.stop_rule {
            self.must_stop = true;
            self.stop_rule = rule;
        }
    }

    /// Withdraws a requested stop.
    pub fn withdraw_stop(&mut self) {
        self.must_stop = false;
        self.stop_rule = StopRule::Always;
    }

    /// Withdraws the stop that should have settled a run which its worker lists after all, unless the worker has
    /// accepted the stop and therefore ends the run. Returns whether there was one.
    pub fn withdraw_settling_stop(&mut self) -> bool {
        let is_withdrawn = self.must_stop
            && self.stop_rule == StopRule::WhileUnlisted
            && self.stop_acknowledged_at.is_none();
        if is_withdrawn {
            self.withdraw_stop();
        }
        is_withdrawn
    }

    /// Whether a stop may end the run, or may have ended it: it is requested, accepted, or was withdrawn without an
    /// answer, and no report lists the run after the time by which it would have taken effect.
    pub fn may_be_stopped(&self) -> bool {
        let is_open = |at: Instant| self.listed_at < at + MAX_COMMAND_DELAY;
        self.must_stop || self.stop_acknowledged_at.is_some() || self.stop_sent_at.is_some_and(is_open)
    }

    /// Whether the stop may be sent as far as reports about the run tell.
    pub fn is_stop_due(&self, now: Instant, retry: Duration) -> bool {
        let is_due = self.stop_sent_at.is_none_or(|at| now >= at + retry);
        let is_unlisted = || {
            let is_fresh = |at: Instant| now.saturating_duration_since(at) <= MAX_REPORT_AGE;
            self.unlisted_at.is_some_and(is_fresh) && self.unlisted_at > self.stop_sent_at
        };
        let is_known = self.phase != RunPhase::Starting;
        self.must_stop && is_known && is_due && (self.stop_rule != StopRule::WhileUnlisted || is_unlisted())
    }

    /// Whether a confirmed run makes no progress. Long-running and best-effort tasks never count as stalled. A task that
    /// stalled before gets twice the time with each run: if it stalls on any worker, it takes longer than estimated.
    pub fn is_stalled(&self, now: Instant) -> bool {
        let limit = MIN_STALL_TIME.max(self.estimate.mul_f64(STALL_FRACTION));
        let limit = limit * (1 << self.stalled_before.min(MAX_STALL_DOUBLINGS));
        let can_stall = !self.is_long_running && !self.is_best_effort && self.progress_percent < 100.0;
        can_stall
            && self.phase == RunPhase::Running
            && !self.must_stop
            && now.saturating_duration_since(self.last_progress_at) > limit
    }
}

impl OutcomeLog {
    /// Whether the outcome with this sequence number has been applied already.
    pub fn is_known(&self, sequence: u64) -> bool {
        sequence <= self.highest_seen
    }

    /// Adds an outcome that may be acknowledged once `change` is stored; 0 stands for no change.
    pub fn push(&mut self, sequence: u64, change: u64) {
        self.highest_seen = self.highest_seen.max(sequence);
        self.pending.push_back((sequence, change));
    }

    /// Checks the outcomes of a report. If it contains one that had been acknowledged, the acknowledgement
    /// was lost and is repeated. Returns whether this list is a part and the one before it was not.
    pub fn record_listed(&mut self, listed: &ListedRows<EndedRun>) -> bool {
        let mut rows = listed.rows().iter();
        self.must_repeat |= rows.any(|row| row.sequence <= self.acknowledged);
        let had_unlisted = std::mem::replace(&mut self.has_unlisted, !listed.is_whole());
        self.has_unlisted && !had_unlisted
    }

    /// Whether runs that no list names may have ended, because the last list was a part.
    pub fn has_unlisted(&self) -> bool {
        self.has_unlisted
    }

    /// Stops waiting for the rest of the list.
    pub fn give_up_unlisted(&mut self) {
        self.has_unlisted = false;
    }

    /// Highest sequence number to acknowledge once all changes up to `durable` are stored, or 0 if there is
    /// nothing new. A number is repeated only if its acknowledgement was lost: if the worker has restarted
    /// unnoticed, its new incarnation counts from the beginning, and a repeated number would acknowledge
    /// outcomes that were never read.
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

    /// Whether outcomes can be acknowledged now that all changes up to `durable` are stored.
    pub fn has_ready(&self, durable: u64) -> bool {
        self.must_repeat || self.pending.front().is_some_and(|(_, change)| *change <= durable)
    }
}

/// State of the polling of a worker.
#[derive(Debug, Clone, Default)]
pub struct PollState {
    /// Time at which the poll in flight was sent; absent if none is in flight.
    pub sent_at: Option<Instant>,
    /// Earliest time of the next poll.
    pub next_at: Option<Instant>,
    /// Consecutive polls without a response.
    pub failures: u32,
}

/// A worker of the pool, with its runs and its health.
#[derive(Debug, Clone)]
pub struct WorkerState {
    /// Latest discovery entry.
    pub entry: WorkerEntry,
    /// Whether service discovery still lists the worker.
    pub is_listed: bool,
    /// Start time of the worker process, absent if unknown.
    pub incarnation: Option<UnixMillis>,
    /// Time at which `incarnation` became known; absent for the first one.
    pub restart_seen_at: Option<Instant>,
    /// Lease that covers all runs on the worker.
    pub lease: WorkerLease,
    /// Runs that are, or may be, on the worker.
    pub runs: BTreeMap<TaskId, PlacedRun>,
    /// Resources reserved by `runs`.
    pub used: ResourceSet,
    /// Number of runs that the worker listed last and that reserve nothing, because their job is not known or
    /// another run of their task is expected.
    pub unreserved_runs: u32,
    /// Whether the worker starts what exceeds its capacity instead of refusing it.
    pub is_unguarded: bool,
    /// Reported outcomes that await acknowledgement.
    pub outcomes: OutcomeLog,
    /// State of the polling.
    pub poll: PollState,
    /// Time at which the first of the present failed polls was noticed; absent if the worker responds.
    pub lost_at: Option<Instant>,
    /// Whether the worker has responded to a poll in this term.
    pub has_reported: bool,
    /// Failure history and backoff.
    pub health: WorkerHealth,
    /// Time until which the worker counts as full, after it refused a start for lack of resources.
    pub full_until: Option<Instant>,
    /// Start commands without an answer yet.
    pub starts_in_flight: u32,
    /// Speed of the best-effort tasks.
    pub speed: SpeedControl,
    /// Job that has the worker for itself; absent if the worker is open to all.
    pub isolated_for: Option<JobId>,
}

impl WorkerState {
    /// Creates the state of a worker that has not been polled.
    pub fn new(entry: WorkerEntry) -> Self {
        Self {
            incarnation: entry.incarnation,
            restart_seen_at: None,
            entry,
            is_listed: true,
            lease: WorkerLease::default(),
            runs: BTreeMap::new(),
            used: ResourceSet::default(),
            unreserved_runs: 0,
            is_unguarded: false,
            outcomes: OutcomeLog::default(),
            poll: PollState::default(),
            lost_at: None,
            has_reported: false,
            health: WorkerHealth::default(),
            full_until: None,
            starts_in_flight: 0,
            speed: SpeedControl::default(),
            isolated_for: None,
        }
    }

    /// Where to send commands.
    pub fn target(&self) -> CommandTarget {
        CommandTarget {
            worker: self.entry.id.clone(),
            address: self.entry.address,
        }
    }

    /// Capacity that no run has reserved.
    pub fn free(&self) -> ResourceSet {
        self.entry.capacity.saturating_sub(&self.used)
    }

    /// Adds a run and reserves its resources.
    pub fn add_run(&mut self, task: TaskId, mut run: PlacedRun) {
        run.incarnation = self.incarnation;
        self.used = self.used.plus(&run.reserved);
        self.runs.insert(task, run);
    }

    /// Removes a run and releases its resources. Returns `None` if `task` has no run with this number here.
    pub fn remove_run(&mut self, task: &TaskId, run: RunNumber) -> Option<PlacedRun> {
        if self.runs.get(task)?.run != run {
            return None;
        }
        let removed = self.runs.remove(task)?;
        self.used = self.used.saturating_sub(&removed.reserved);
        Some(removed)
    }

    /// Number of tasks of this step on the worker.
    pub fn count_step(&self, step: &StepId) -> u32 {
        let first = step.task(0);
        self.runs
            .range(first..)
            .take_while(|(task, _)| task.step == *step)
            .count() as u32
    }

    /// Highest ratio of tail latency to its target; `None` if no task on the worker has a target.
    pub fn worst_latency_ratio(&self) -> Option<f64> {
        let ratios = self.runs.values().filter_map(|run| {
            let target = run.tail_latency_target_ms?;
            Some(run.load / target.max(1) as f64)
        });
        ratios.reduce(f64::max)
    }

    fn has_open_trial(&self, now: Instant) -> bool {
        let mut runs = self.runs.values();
        runs.any(|run| self.health.is_open_trial(now, run.placed_at))
    }

    /// Whether the worker may get new runs at `now`.
    pub fn is_usable(&self, now: Instant) -> bool {
        self.hold_reason(now).is_none()
    }

    /// Why the worker gets no new runs at `now`; `None` if it may get some. On probation it gets one trial run
    /// at a time. Beside runs of unknown size it gets none unless it refuses what does not fit. A worker that has
    /// left the list counts as one without room.
    pub fn hold_reason(&self, now: Instant) -> Option<HoldReason> {
        if !self.is_listed {
            Some(HoldReason::NoRoom)
        } else if !self.has_reported {
            Some(HoldReason::Unreported)
        } else if self.poll.failures > 0 {
            Some(HoldReason::Unreachable)
        } else if self.entry.is_draining {
            Some(HoldReason::Draining)
        } else if self.is_unguarded && self.unreserved_runs > 0 {
            Some(HoldReason::UnknownRun)
        } else if self.full_until.is_some_and(|until| now < until) {
            Some(HoldReason::Full)
        } else if self.health.is_in_backoff(now) {
            Some(HoldReason::Backoff)
        } else if self.has_open_trial(now) {
            Some(HoldReason::Probation)
        } else {
            None
        }
    }
}
