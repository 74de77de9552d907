//! A pool on a virtual clock whose workers crash: under the tasks named as deadly, or on command. On command they
//! also leave starts without an answer, fail runs, and change their entries. Progress is stored, so that a new
//! leader can take over.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use figloft::dispatch::command::{PollError, PoolCommand, RunId, StartCommand, StartOutcome, StopOutcome};
use figloft::dispatch::job_record::{JobProgress, JobRecord, JobState, JobSummary};
use figloft::dispatch::job_spec::StepSpec;
use figloft::dispatch::pool_plan::PoolPlan;
use figloft::dispatch::pool_scheduler::PoolScheduler;
use figloft::dispatch::takeover::TakeoverState;
use figloft::dispatch::task_id::{StepId, TaskId};
use figloft::dispatch::worker_entry::WorkerEntry;
use figloft::dispatch::worker_report::{EndedRun, RunOutcome, WorkerReport};
use figloft::model::id::{JobId, RunNumber, WorkerId, ZoneId};
use figloft::model::listed_rows::ListedRows;
use figloft::model::resource::ResourceSet;
use figloft::model::unix_time::UnixMillis;

use crate::setup::{WALL, empty_scheduler, entry, running_row};

const TICK: Duration = Duration::from_millis(10);

const RESTART_TIME: Duration = Duration::from_millis(3_300);

/// Time after its last run from which a long-running task that does not run may count as late.
const MAX_INTERRUPTION: Duration = Duration::from_secs(6);

/// Time for which two workers have to have room for such a task.
const ROOM_TIME: Duration = Duration::from_secs(3);

/// Time before that for which nothing may have disturbed the pool.
const CALM_TIME: Duration = Duration::from_secs(4);

/// Run time of long-running and deadly tasks, which end only on command or with their worker.
const UNLIMITED_TIME: Duration = Duration::from_hours(1_000);

/// Time after which a start without an answer times out.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(900);

struct CrashingWorker {
    entry: WorkerEntry,
    /// Active runs with the time at which they complete.
    runs: Vec<(StartCommand, Instant)>,
    ended: Vec<EndedRun>,
    sequence: u64,
    /// Highest run of each task that was stopped; a start of it that arrives later has no effect.
    stopped: BTreeMap<TaskId, RunNumber>,
    lease_end_ms: u64,
    back_at: Option<Instant>,
    cut_until: Option<Instant>,
    mute_until: Option<Instant>,
    crash_at: Option<Instant>,
}

/// What follows a start without an answer.
enum DelayedEvent {
    /// The answer has timed out.
    Timeout(WorkerId, RunId),
    /// The worker carries the start out.
    Start(StartCommand),
}

pub struct CrashWorld {
    pub now: Instant,
    pub scheduler: PoolScheduler,
    pub deadly: BTreeSet<TaskId>,
    /// Time from the start of a deadly task until its worker crashes.
    pub crash_delay: Duration,
    /// Run time of the finite tasks that are not deadly.
    pub run_time: Duration,
    /// Time after which a crashed worker is back.
    pub restart_time: Duration,
    /// Whether a crashed worker returns under its old id.
    pub keeps_id: bool,
    /// Whether the store accepts writes.
    pub is_storing: bool,
    pub starts: BTreeMap<TaskId, u32>,
    /// Start commands that were issued, with the zone of their worker.
    pub sent_starts: Vec<(Instant, ZoneId)>,
    /// Crashes that each task caused or was hit by.
    pub crashes: BTreeMap<TaskId, u32>,
    pub summaries: BTreeMap<JobId, JobSummary>,
    pub notes: Vec<String>,
    /// Stored changes of progress.
    pub writes: u32,
    /// Long-running tasks that did not run although two workers had room for them, with the time at which
    /// this was noticed.
    pub late: BTreeMap<TaskId, Duration>,
    /// Time since which a long-running task does not run.
    stopped_at: BTreeMap<TaskId, Instant>,
    /// Time since which two workers have room for a long-running task that should run.
    roomy_since: BTreeMap<TaskId, Instant>,
    /// Time of the last crash, cut or take-over that no task caused.
    disturbed_at: Instant,
    workers: Vec<CrashingWorker>,
    records: BTreeMap<JobId, JobRecord>,
    pub progress: BTreeMap<JobId, JobProgress>,
    plan: PoolPlan,
    delayed: Vec<(Instant, DelayedEvent)>,
    /// Starts that got no answer so far.
    unanswered: u32,
    term: u64,
    begin: Instant,
}

impl CrashWorld {
    pub fn new(workers: usize, cores: u64) -> Self {
        let workers = (0..workers).map(|number| CrashingWorker {
            entry: entry(number, cores),
            runs: Vec::new(),
            ended: Vec::new(),
            sequence: 0,
            stopped: BTreeMap::new(),
            lease_end_ms: 0,
            back_at: None,
            cut_until: None,
            mute_until: None,
            crash_at: None,
        });
        let now = Instant::now();
        let mut world = Self {
            now,
            scheduler: empty_scheduler(1, TakeoverState::default()),
            deadly: BTreeSet::new(),
            crash_delay: TICK,
            run_time: Duration::from_secs(1),
            restart_time: RESTART_TIME,
            keeps_id: false,
            is_storing: true,
            starts: BTreeMap::new(),
            sent_starts: Vec::new(),
            crashes: BTreeMap::new(),
            summaries: BTreeMap::new(),
            notes: Vec::new(),
            writes: 0,
            late: BTreeMap::new(),
            stopped_at: BTreeMap::new(),
            roomy_since: BTreeMap::new(),
            disturbed_at: now,
            workers: workers.collect(),
            records: BTreeMap::new(),
            progress: BTreeMap::new(),
            plan: PoolPlan::default(),
            delayed: Vec::new(),
            unanswered: 0,
            term: 1,
            begin: now,
        };
        world.announce_workers();
        world.run(Duration::from_millis(100));
        world
    }

    pub fn submit(&mut self, record: JobRecord) {
        self.records.insert(record.id.clone(), record.clone());
        self.scheduler.submit(self.now, self.now, record, None);
    }

    pub fn state(&self, job: &JobId) -> Option<JobState> {
        self.summaries.get(job).map(|summary| summary.state)
    }

    /// Instances on which a run of the task is active.
    pub fn places(&self, task: &TaskId) -> Vec<usize> {
        (0..self.workers.len())
            .filter(|number| self.tasks_on(*number).any(|other| other == task))
            .collect()
    }

    /// Tasks with an active run on an instance.
    pub fn tasks_on(&self, number: usize) -> impl Iterator<Item = &TaskId> {
        self.workers[number].runs.iter().map(|(start, _)| &start.run.task)
    }

    /// Specification of the step of a task.
    pub fn spec(&self, task: &TaskId) -> &StepSpec {
        &self.records[&task.step.job].spec.steps[task.step.step as usize]
    }

    /// Entry of the present worker on an instance; absent while the instance is down.
    pub fn entry(&self, number: usize) -> Option<&WorkerEntry> {
        let worker = &self.workers[number];
        worker.back_at.is_none().then_some(&worker.entry)
    }

    /// Whether the worker is cut off or leaves starts without an answer.
    pub fn is_disturbed(&self, number: usize) -> bool {
        let worker = &self.workers[number];
        worker.cut_until.is_some() || worker.mute_until.is_some()
    }

    /// Number of instances.
    pub fn size(&self) -> usize {
        self.workers.len()
    }

    /// Present worker on an instance.
    pub fn worker(&self, number: usize) -> WorkerId {
        self.workers[number].entry.id.clone()
    }

    pub fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.now += TICK;
            self.advance_workers();
            self.deliver_delayed();
            let commands = self.scheduler.decide(self.now, WALL, true);
            for command in commands {
                self.execute(command);
            }
            let notes = self.scheduler.take_notes();
            self.notes.extend(
                notes
                    .into_iter()
                    .map(|note| format!("{}: {}", note.decision, note.inputs)),
            );
            self.flush();
            self.find_late_tasks();
        }
    }

    /// Time since the beginning.
    pub fn elapsed(&self) -> Duration {
        self.now.saturating_duration_since(self.begin)
    }

    /// Ends the worker's process with all runs; it is back after a few seconds.
    pub fn crash(&mut self, number: usize) {
        self.disturbed_at = self.disturbed_at.max(self.now);
        self.end_process(number);
    }

    fn end_process(&mut self, number: usize) {
        let worker = &mut self.workers[number];
        for (start, _) in worker.runs.drain(..) {
            *self.crashes.entry(start.run.task).or_default() += 1;
        }
        worker.ended.clear();
        worker.stopped.clear();
        worker.crash_at = None;
        worker.back_at = Some(self.now + self.restart_time);
        // Starts that its process held back are lost with it.
        let id = worker.entry.id.clone();
        self.delayed
            .retain(|(_, event)| !matches!(event, DelayedEvent::Start(start) if start.target.worker == id));
    }

    /// Cuts the worker off from the leader; its runs go on until their lease expires.
    pub fn cut(&mut self, number: usize, time: Duration) {
        self.disturbed_at = self.disturbed_at.max(self.now + time);
        self.workers[number].cut_until = Some(self.now + time);
    }

    /// Lets the worker leave starts without an answer: every second one is lost, the others are carried out late.
    pub fn mute(&mut self, number: usize, time: Duration) {
        self.workers[number].mute_until = Some(self.now + time);
    }

    /// Ends an active run with this outcome.
    pub fn end_run(&mut self, number: usize, task: &TaskId, outcome: RunOutcome) {
        let worker = &mut self.workers[number];
        let runs = worker.runs.extract_if(.., |(start, _)| start.run.task == *task);
        for (start, _) in runs {
            worker.sequence += 1;
            worker.ended.push(ended_row(worker.sequence, &start, outcome));
        }
    }

    /// Changes the entry of the present worker on an instance and publishes it.
    pub fn change_entry(&mut self, number: usize, change: impl FnOnce(&mut WorkerEntry)) {
        let worker = &mut self.workers[number];
        change(&mut worker.entry);
        if worker.back_at.is_none() {
            self.scheduler.set_worker(self.now, worker.entry.clone());
        }
    }

    /// Replaces the worker on an instance by one that runs nothing, possibly of another pool.
    pub fn replace_worker(&mut self, number: usize, change: impl FnOnce(&mut WorkerEntry)) {
        let worker = &mut self.workers[number];
        let former = worker.entry.id.clone();
        worker.runs.clear();
        worker.ended.clear();
        worker.sequence = 0;
        change(&mut worker.entry);
        let entry = worker.entry.clone();
        self.scheduler.remove_worker(&former);
        self.scheduler.observe_entry(self.now, &entry);
        self.scheduler.set_worker(self.now, entry);
    }

    /// Cancels a job.
    pub fn cancel(&mut self, job: &JobId) {
        self.scheduler.cancel(job);
    }

    /// Time since the begin, in milliseconds.
    pub fn now_ms(&self) -> u64 {
        self.now.saturating_duration_since(self.begin).as_millis() as u64
    }

    /// Publishes a plan of the fleet leader.
    pub fn set_plan(&mut self, plan: PoolPlan) {
        self.plan = plan.clone();
        self.scheduler.set_plan(plan);
    }

    /// Changes the capacity of an instance, also of its later workers.
    pub fn set_cores(&mut self, number: usize, cores: u64) {
        let worker = &mut self.workers[number];
        worker.entry.capacity = entry(number, cores).capacity;
        if worker.back_at.is_none() {
            self.scheduler.set_worker(self.now, worker.entry.clone());
        }
    }

    /// Replaces the leader by one that knows what is stored.
    pub fn take_over(&mut self) {
        self.disturbed_at = self.disturbed_at.max(self.now);
        self.term += 1;
        // Workers reject the starts of the former leader, which does not learn of their outcomes.
        self.delayed.clear();
        let former = self.scheduler.workers().keys().cloned().collect();
        let lease = Duration::from_millis(4_500);
        let takeover = TakeoverState::from_former_leader(self.now, former, lease);
        self.scheduler = empty_scheduler(self.term, takeover);
        self.scheduler.set_plan(self.plan.clone());
        self.announce_workers();
        let unstarted = JobProgress::default();
        for (id, record) in &self.records {
            if !self.state(id).is_some_and(JobState::is_final) {
                let progress = self.progress.get(id).unwrap_or(&unstarted);
                self.scheduler
                    .submit(self.now, self.now, record.clone(), Some(progress));
            }
        }
    }

    fn announce_workers(&mut self) {
        for worker in self.workers.iter().filter(|worker| worker.back_at.is_none()) {
            self.scheduler.observe_entry(self.now, &worker.entry);
            self.scheduler.expect_worker(&worker.entry.id);
            self.scheduler.set_worker(self.now, worker.entry.clone());
        }
    }

    fn advance_workers(&mut self) {
        for number in 0..self.workers.len() {
            let now = self.now;
            if self.workers[number].crash_at.is_some_and(|at| at <= now) {
                self.end_process(number);
            }
            let worker = &mut self.workers[number];
            worker.cut_until = worker.cut_until.filter(|until| *until > now);
            worker.mute_until = worker.mute_until.filter(|until| *until > now);
            let is_expired = worker.cut_until.is_some() && clock_ms(self.begin, now) > worker.lease_end_ms;
            let over = worker.runs.extract_if(.., |(_, end)| is_expired || *end <= now);
            for (start, end) in over {
                let outcome = if end <= now {
                    RunOutcome::Done
                } else {
                    RunOutcome::LeaseExpired
                };
                worker.sequence += 1;
                worker.ended.push(ended_row(worker.sequence, &start, outcome));
            }
            if worker.back_at.is_some_and(|at| at <= now) {
                worker.back_at = None;
                worker.sequence = 0;
                let former = worker.entry.id.clone();
                let life = worker.entry.incarnation.map_or(1, UnixMillis::get) + 1;
                worker.entry.incarnation = Some(UnixMillis::new(life));
                worker.entry.is_draining = false;
                if !self.keeps_id {
                    worker.entry.id = WorkerId::new(format!("i-{number}-{life}")).expect("worker");
                }
                let entry = worker.entry.clone();
                self.scheduler.observe_entry(now, &entry);
                if !self.keeps_id {
                    self.scheduler.remove_worker(&former);
                }
                self.scheduler.set_worker(now, entry);
            }
        }
    }

    fn execute(&mut self, command: PoolCommand) {
        let now = self.now;
        let target = match &command {
            PoolCommand::Start(start) => start.target.worker.clone(),
            PoolCommand::Stop(target, _) | PoolCommand::SetSpeed(target, ..) => target.worker.clone(),
            PoolCommand::Poll(poll) => poll.target.worker.clone(),
            PoolCommand::RequestAdvice(..) => return,
        };
        let reachable = self.workers.iter_mut().find(|worker| {
            worker.entry.id == target && worker.back_at.is_none() && worker.cut_until.is_none()
        });
        match command {
            PoolCommand::Start(start) => {
                self.sent_starts.push((now, start.zone.clone()));
                let outcome = match reachable {
                    None => StartOutcome::NotSent,
                    Some(worker) if worker.mute_until.is_some() => {
                        self.leave_unanswered(start);
                        return;
                    }
                    Some(_) => self.carry_out(&start),
                };
                self.scheduler
                    .handle_start_outcome(now, &target, &start.run, outcome);
            }
            PoolCommand::Stop(_, run) => {
                let outcome = if let Some(worker) = reachable {
                    worker.runs.retain(|(start, _)| start.run != run);
                    let stopped = worker.stopped.entry(run.task.clone()).or_insert(run.number);
                    *stopped = run.number.max(*stopped);
                    StopOutcome::Taken
                } else {
                    StopOutcome::Unknown
                };
                self.scheduler.handle_stop_outcome(now, &target, &run, outcome);
            }
            PoolCommand::Poll(poll) => match reachable {
                None => {
                    let error = PollError::NoAnswer("connection refused".into());
                    self.scheduler.handle_poll_error(now, &target, &error);
                }
                Some(worker) => {
                    worker.ended.retain(|row| row.sequence > poll.acknowledged);
                    worker.lease_end_ms = worker.lease_end_ms.max(poll.deadline_ms.unwrap_or_default());
                    let report = WorkerReport {
                        clock_ms: clock_ms(self.begin, now),
                        incarnation: worker.entry.incarnation,
                        running: worker.runs.iter().map(|(start, _)| running_row(start)).collect(),
                        ended: ListedRows::Whole(worker.ended.clone()),
                    };
                    self.scheduler.handle_poll_report(now, &target, now, report);
                }
            },
            PoolCommand::SetSpeed(..) | PoolCommand::RequestAdvice(..) => {}
        }
    }

    /// Carries a start out on its worker.
    fn carry_out(&mut self, start: &StartCommand) -> StartOutcome {
        let now = self.now;
        let is_deadly = self.deadly.contains(&start.run.task);
        let run_time = if is_deadly || self.spec(&start.run.task).is_long_running {
            UNLIMITED_TIME
        } else {
            self.run_time
        };
        let mut workers = self.workers.iter_mut();
        let target = &start.target.worker;
        let Some(worker) = workers.find(|worker| worker.entry.id == *target && worker.back_at.is_none())
        else {
            return StartOutcome::NotSent;
        };
        if worker
            .stopped
            .get(&start.run.task)
            .is_some_and(|run| *run >= start.run.number)
        {
            return StartOutcome::OldRun;
        }
        if start.deadline_ms < clock_ms(self.begin, now) {
            return StartOutcome::LateOrder;
        }
        *self.starts.entry(start.run.task.clone()).or_default() += 1;
        if is_deadly {
            let crash_at = now + self.crash_delay;
            worker.crash_at = Some(worker.crash_at.map_or(crash_at, |at| at.min(crash_at)));
        }
        worker.lease_end_ms = worker.lease_end_ms.max(start.deadline_ms);
        worker.runs.push((start.clone(), now + run_time));
        StartOutcome::Started
    }

    /// Leaves a start without an answer.
    fn leave_unanswered(&mut self, start: StartCommand) {
        self.unanswered += 1;
        let target = start.target.worker.clone();
        let timeout = DelayedEvent::Timeout(target, start.run.clone());
        self.delayed.push((self.now + ANSWER_TIMEOUT, timeout));
        if self.unanswered.is_multiple_of(2) {
            let delay = Duration::from_millis(u64::from(self.unanswered % 16) * 200);
            self.delayed.push((self.now + delay, DelayedEvent::Start(start)));
        }
    }

    fn deliver_delayed(&mut self) {
        let now = self.now;
        let due: Vec<_> = self.delayed.extract_if(.., |(at, _)| *at <= now).collect();
        for (_, event) in due {
            match event {
                DelayedEvent::Timeout(worker, run) => {
                    self.scheduler
                        .handle_start_outcome(now, &worker, &run, StartOutcome::Unknown);
                }
                DelayedEvent::Start(start) => {
                    self.carry_out(&start);
                }
            }
        }
    }

    /// Finds long-running tasks that have not run for too long although two workers have room for them and
    /// nothing has disturbed the pool.
    fn find_late_tasks(&mut self) {
        let open = self
            .records
            .values()
            .filter(|record| !self.state(&record.id).is_some_and(JobState::is_final));
        let long_running = open.flat_map(|record| {
            let steps = (0_u32..).zip(&record.spec.steps);
            let steps = steps.filter(|(_, spec)| spec.is_long_running);
            steps.flat_map(|(number, spec)| {
                let step = StepId::new(record.id.clone(), 0, number);
                (0..spec.tasks).map(move |index| (step.task(index), spec))
            })
        });
        let waiting = long_running.filter(|(task, _)| self.places(task).is_empty());
        let waiting: BTreeMap<TaskId, bool> = waiting
            .map(|(task, spec)| {
                let roomy = self
                    .workers
                    .iter()
                    .filter(|worker| self.has_room(worker, &task, spec));
                let is_roomy = roomy.count() >= 2;
                (task, is_roomy)
            })
            .collect();
        self.stopped_at.retain(|task, _| waiting.contains_key(task));
        let is_calm = self.now >= self.disturbed_at + CALM_TIME;
        for (task, is_roomy) in &waiting {
            let stopped_at = *self.stopped_at.entry(task.clone()).or_insert(self.now);
            if !is_roomy || !is_calm || self.now < stopped_at + MAX_INTERRUPTION {
                self.roomy_since.remove(task);
                continue;
            }
            let since = *self.roomy_since.entry(task.clone()).or_insert(self.now);
            if self.now >= since + ROOM_TIME {
                let elapsed = self.elapsed();
                self.late.entry(task.clone()).or_insert(elapsed);
            }
        }
        self.roomy_since.retain(|task, _| waiting.contains_key(task));
    }

    /// Whether the worker could start the task now.
    fn has_room(&self, worker: &CrashingWorker, task: &TaskId, spec: &StepSpec) -> bool {
        if worker.back_at.is_some() || worker.cut_until.is_some() {
            return false;
        }
        let demand =
            |other: &TaskId| self.records[&other.step.job].spec.steps[other.step.step as usize].reserved();
        let used = worker
            .runs
            .iter()
            .fold(ResourceSet::default(), |used, (start, _)| {
                used.plus(&demand(&start.run.task))
            });
        let siblings = worker
            .runs
            .iter()
            .filter(|(start, _)| start.run.task.step == task.step);
        let siblings = siblings.count() as u32;
        worker
            .entry
            .capacity
            .saturating_sub(&used)
            .covers(&spec.reserved())
            && spec.max_per_worker.is_none_or(|max| siblings < max)
    }

    fn flush(&mut self) {
        if !self.is_storing || !self.scheduler.has_changes() {
            return;
        }
        for write in self.scheduler.take_flush(WALL, 1_000).jobs {
            if let Some(progress) = write.progress {
                self.writes += 1;
                self.progress.insert(write.job.clone(), progress);
            }
            if let Some(summary) = write.summary {
                self.summaries.insert(write.job, summary);
            }
        }
        self.scheduler.confirm_flush();
    }
}

/// Reading of the workers' clock.
fn clock_ms(begin: Instant, now: Instant) -> u64 {
    5_000 + now.saturating_duration_since(begin).as_millis() as u64
}

fn ended_row(sequence: u64, start: &StartCommand, outcome: RunOutcome) -> EndedRun {
    EndedRun {
        sequence,
        task: start.run.task.clone(),
        run: start.run.number,
        outcome,
        checkpoint: "".into(),
    }
}
