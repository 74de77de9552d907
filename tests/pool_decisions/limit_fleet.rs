//! Pools that share the limit of one organisation: the scheduler of each pool and the fleet planner on a virtual
//! clock. Reports and plans take time, may be held up, and leaders may be lost.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;
use std::time::{Duration, Instant};

use figloft::dispatch::command::{PollCommand, PollError, PoolCommand, StartCommand, StartOutcome};
use figloft::dispatch::fleet_planner::{FleetCommand, FleetPlanner};
use figloft::dispatch::job_record::JobRecord;
use figloft::dispatch::job_spec::StepSpec;
use figloft::dispatch::pool_plan::{PoolPlan, PoolReport};
use figloft::dispatch::pool_scheduler::PoolScheduler;
use figloft::dispatch::scheduler_timing::SchedulerTiming;
use figloft::dispatch::site_config::{OrganisationConfig, PoolConfig, SiteConfig};
use figloft::dispatch::takeover::TakeoverState;
use figloft::dispatch::worker_entry::WorkerEntry;
use figloft::dispatch::worker_report::{EndedRun, RunOutcome, WorkerReport};
use figloft::model::amount::{MemoryMib, MilliCores};
use figloft::model::id::{InstanceId, JobId, LeaderTerm, OrganisationId, PoolId, WorkerId};
use figloft::model::listed_rows::ListedRows;
use figloft::model::resource::ResourceSet;
use figloft::model::unix_time::UnixMillis;

use crate::setup::{WALL, entry, job_id, record, running_row, store_changes};

/// Time between two decisions of each leader.
const TICK: Duration = Duration::from_millis(50);

/// Time between two reports of a pool; the same as that of a leader without urgent changes.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);

/// Time that a report or a plan takes.
const DELAY: Duration = Duration::from_millis(100);

/// Run time of long-running tasks.
const LONG_TIME: Duration = Duration::from_hours(1);

/// Cores of each worker.
const WORKER_CORES: u64 = 32;

pub fn organisation() -> OrganisationId {
    OrganisationId::new("org").expect("organisation")
}

pub fn pool_id(number: usize) -> PoolId {
    PoolId::new(format!("pool-{number}")).expect("pool")
}

/// Amounts of processor capacity and memory; 0 stands for no limit.
pub fn amounts(millicores: u64, memory: u64) -> ResourceSet {
    ResourceSet::new(MilliCores::new(millicores), MemoryMib::new(memory))
}

struct ActiveTask {
    start: StartCommand,
    demand: ResourceSet,
    end_at: Instant,
}

struct FakeRunner {
    entry: WorkerEntry,
    active: Vec<ActiveTask>,
    ended: Vec<EndedRun>,
    sequence: u64,
}

struct FakePool {
    scheduler: PoolScheduler,
    term: u64,
    runners: Vec<FakeRunner>,
    /// Plans on their way, with the time at which they arrive.
    plans: VecDeque<(Instant, PoolPlan)>,
    /// The newest plan in the store.
    stored_plan: PoolPlan,
    plan_in_force: PoolPlan,
    /// Jobs that wait for a leader that takes them in.
    inbox: Vec<JobRecord>,
    known_jobs: BTreeSet<JobId>,
    /// Reports on their way, with the time at which they arrive.
    reports: VecDeque<(Instant, PoolReport)>,
    last_report: Option<(Instant, PoolReport)>,
    /// Time until which reports and plans are held up.
    held_up_until: Instant,
    /// Time until which the pool has no leader.
    no_leader_until: Option<Instant>,
    /// Time until which the workers do not answer.
    silent_until: Instant,
}

struct FakeJob {
    pool: usize,
    record: JobRecord,
    /// Run time of each task.
    run_time: Duration,
}

/// Jobs by number.
#[derive(Default)]
struct FakeJobs(BTreeMap<usize, FakeJob>);

impl FakeJobs {
    /// Number of the job that a start belongs to, and what its run uses until when.
    fn start(&self, now: Instant, start: &StartCommand) -> (usize, ResourceSet, Instant) {
        let step = &start.run.task.step;
        let mut jobs = self.0.iter();
        let (number, job) = jobs.find(|(_, job)| job.record.id == step.job).expect("job");
        let spec = &job.record.spec.steps[step.step as usize];
        let run_time = if spec.is_long_running {
            LONG_TIME
        } else {
            job.run_time
        };
        (*number, spec.demand, now + run_time)
    }
}

/// Pools that share the limit of one organisation.
pub struct LimitFleet {
    now: Instant,
    begin: Instant,
    planner: FleetPlanner,
    config: SiteConfig,
    pools: Vec<FakePool>,
    jobs: FakeJobs,
    start_counts: BTreeMap<usize, usize>,
    /// The highest limit of which a part may still be in use.
    bound: ResourceSet,
    /// The first violation of the limit.
    pub violation: Option<String>,
}

impl LimitFleet {
    /// Creates pools with `workers` workers each, whose organisation may use `limit`.
    pub fn new(pools: usize, workers: usize, limit: ResourceSet) -> Self {
        let now = Instant::now();
        let mut fleet = Self {
            now,
            begin: now,
            planner: FleetPlanner::new(),
            config: SiteConfig::default(),
            pools: Vec::new(),
            jobs: FakeJobs::default(),
            start_counts: BTreeMap::new(),
            bound: limit,
            violation: None,
        };
        for number in 0..pools {
            let config = PoolConfig {
                enforces_capacity: true,
                ..PoolConfig::default()
            };
            fleet.config.pools.insert(pool_id(number), config);
            let runners = (0..workers).map(|index| fake_runner(number, index)).collect();
            fleet.pools.push(FakePool {
                scheduler: scheduler(number, 1, TakeoverState::default()),
                term: 1,
                runners,
                plans: VecDeque::new(),
                stored_plan: PoolPlan::default(),
                plan_in_force: PoolPlan::default(),
                inbox: Vec::new(),
                known_jobs: BTreeSet::new(),
                reports: VecDeque::new(),
                last_report: None,
                held_up_until: now,
                no_leader_until: None,
                silent_until: now,
            });
        }
        fleet.set_limit(limit);
        for pool in &mut fleet.pools {
            for runner in &pool.runners {
                pool.scheduler.set_worker(now, runner.entry.clone());
            }
        }
        fleet.run_for(Duration::from_secs(3));
        fleet
    }

    /// Changes the limit of the organisation.
    pub fn set_limit(&mut self, limit: ResourceSet) {
        let config = OrganisationConfig {
            limit,
            ..OrganisationConfig::default()
        };
        self.config.organisations.insert(organisation(), config);
        self.bound = self.bound.component_max(&limit);
        self.planner.set_config(&self.config);
        for pool in &mut self.pools {
            pool.scheduler.set_config(&self.config);
        }
    }

    /// Submits a job to a pool, whose tasks each run for `run_time`.
    pub fn submit(&mut self, pool: usize, number: usize, steps: Vec<StepSpec>, run_time: Duration) {
        let mut record = record(number, steps);
        record.pool = pool_id(pool);
        record.organisation = Some(organisation());
        let elapsed = self.now.saturating_duration_since(self.begin).as_millis() as u64;
        record.accepted_at = UnixMillis::new(WALL.get() + elapsed);
        self.jobs.0.insert(
            number,
            FakeJob {
                pool,
                record: record.clone(),
                run_time,
            },
        );
        let pool = &mut self.pools[pool];
        if pool.no_leader_until.is_none() {
            pool.known_jobs.insert(record.id.clone());
            pool.scheduler.submit(self.now, self.now, record, None);
        } else {
            pool.inbox.push(record);
        }
    }

    pub fn cancel(&mut self, number: usize) {
        if let Some(job) = self.jobs.0.get(&number) {
            let pool = &mut self.pools[job.pool];
            pool.inbox.retain(|record| record.id != job_id(number));
            pool.scheduler.cancel(&job_id(number));
        }
    }

    /// Holds up the reports of a pool and the plans for it.
    pub fn hold_up(&mut self, pool: usize, time: Duration) {
        self.pools[pool].held_up_until = self.now + time;
    }

    /// Replaces the leader of the fleet by one that knows the stored plans only, and reads the reports a moment later.
    pub fn lose_fleet_leader(&mut self) {
        self.planner = FleetPlanner::new();
        self.planner.set_config(&self.config);
        for (number, pool) in self.pools.iter_mut().enumerate() {
            self.planner.set_plan(pool_id(number), pool.stored_plan.clone());
            pool.reports.clear();
            if let Some((_, report)) = &pool.last_report {
                pool.reports.push_back((self.now + DELAY, report.clone()));
            }
        }
    }

    /// Ends the leader of a pool; the next one takes over after `time`, and reaches the workers after `silent`.
    pub fn lose_pool_leader(&mut self, pool: usize, time: Duration, silent: Duration) {
        let end = self.now + time;
        self.pools[pool].no_leader_until = Some(end);
        self.pools[pool].silent_until = end + silent;
    }

    /// Removes all workers of a pool that run nothing, without replacement.
    pub fn remove_idle_workers(&mut self, pool: usize) {
        let pool = &mut self.pools[pool];
        for runner in pool.runners.iter().filter(|runner| runner.active.is_empty()) {
            pool.scheduler.remove_worker(&runner.entry.id);
        }
        pool.runners.retain(|runner| !runner.active.is_empty());
    }

    pub fn run_for(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.tick();
        }
    }

    pub fn has_started(&self, number: usize) -> bool {
        self.start_count(number) > 0
    }

    /// Number of starts of the tasks of a job.
    pub fn start_count(&self, number: usize) -> usize {
        self.start_counts.get(&number).copied().unwrap_or_default()
    }

    /// Number of starts of the tasks of all jobs of a pool.
    pub fn pool_starts(&self, pool: usize) -> usize {
        let jobs = self.jobs.0.iter().filter(|(_, job)| job.pool == pool);
        jobs.map(|(number, _)| self.start_count(*number)).sum()
    }

    /// Jobs that are neither done nor cancelled.
    pub fn open_jobs(&self) -> Vec<usize> {
        let is_open = |(number, job): &(&usize, &FakeJob)| {
            let (pool, id) = (&self.pools[job.pool], job_id(**number));
            let job = pool.scheduler.job(&id);
            job.is_some_and(|job| !job.state.is_final()) || pool.inbox.iter().any(|record| record.id == id)
        };
        let open = self.jobs.0.iter().filter(is_open);
        open.map(|(number, _)| *number).collect()
    }

    /// What the organisation's tasks use on the workers of a pool.
    pub fn used(&self, pool: usize) -> ResourceSet {
        let runners = &self.pools[pool].runners;
        let active = runners.iter().flat_map(|runner| &runner.active);
        active.fold(ResourceSet::default(), |sum, task| sum.plus(&task.demand))
    }

    fn tick(&mut self) {
        self.now += TICK;
        let now = self.now;
        for (number, pool) in self.pools.iter_mut().enumerate() {
            pool.end_tasks(now);
            if pool.no_leader_until.is_some_and(|until| now >= until) {
                pool.no_leader_until = None;
                pool.take_over(now, number, &self.config);
            }
        }
        self.deliver(now);
        for command in self.planner.decide(now) {
            if let FleetCommand::PublishPlan(id, plan) = command {
                let number = (0..self.pools.len()).find(|number| pool_id(*number) == id);
                let pool = &mut self.pools[number.expect("pool")];
                pool.stored_plan = plan.clone();
                pool.plans.push_back((now + DELAY, plan));
            }
        }
        for number in 0..self.pools.len() {
            self.decide(number);
        }
        self.check_limit();
    }

    fn deliver(&mut self, now: Instant) {
        for (number, pool) in self.pools.iter_mut().enumerate() {
            if now < pool.held_up_until {
                continue;
            }
            while pool.reports.front().is_some_and(|(at, _)| now >= *at) {
                if let Some((_, report)) = pool.reports.pop_front() {
                    self.planner.set_report(pool_id(number), report);
                }
            }
            if pool.no_leader_until.is_some() {
                continue;
            }
            while pool.plans.front().is_some_and(|(at, _)| now >= *at) {
                if let Some((_, plan)) = pool.plans.pop_front() {
                    pool.plan_in_force = plan.clone();
                    pool.scheduler.set_plan(plan);
                }
            }
        }
    }

    fn decide(&mut self, number: usize) {
        let now = self.now;
        let pool = &mut self.pools[number];
        if pool.no_leader_until.is_some() {
            return;
        }
        for command in pool.scheduler.decide(now, WALL, true) {
            match command {
                PoolCommand::Start(start) => {
                    let (job, demand, end_at) = self.jobs.start(now, &start);
                    *self.start_counts.entry(job).or_default() += 1;
                    pool.start(now, start, demand, end_at);
                }
                PoolCommand::Stop(target, run) => {
                    if let Some(runner) = pool.runner(&target.worker) {
                        runner.end(RunOutcome::Stopped, |task| task.start.run == run);
                    }
                }
                PoolCommand::Poll(command) => pool.answer_poll(now, &command),
                PoolCommand::SetSpeed(..) | PoolCommand::RequestAdvice(..) => {}
            }
        }
        store_changes(&mut pool.scheduler);
        let report = pool.scheduler.report(now);
        let is_due = pool.last_report.as_ref().is_none_or(|(at, old)| {
            let age = now.saturating_duration_since(*at);
            report.is_significant_change(old) || (age >= REPORT_INTERVAL && report != *old)
        });
        if is_due {
            pool.last_report = Some((now, report.clone()));
            pool.reports.push_back((now + DELAY, report));
        }
    }

    /// Checks what all pools use or may use by the plans in force against the limit. A limit that was lowered counts
    /// once no plan, in force or on its way, allows more.
    fn check_limit(&mut self) {
        let (mut sum, mut highest) = (ResourceSet::default(), ResourceSet::default());
        for (number, pool) in self.pools.iter().enumerate() {
            let used = self.used(number).component_max(&allowance(&pool.plan_in_force));
            sum = sum.plus(&used);
            let plans = pool.plans.iter().map(|(_, plan)| plan).chain([&pool.stored_plan]);
            highest = highest.plus(&plans.fold(used, |most, plan| most.component_max(&allowance(plan))));
        }
        let limit = self.config.organisations[&organisation()].limit;
        if highest.fits_within(&limit, &limit) {
            self.bound = limit;
        }
        if !sum.fits_within(&self.bound, &self.bound) && self.violation.is_none() {
            let pools = self.pools.iter().enumerate().map(|(number, pool)| {
                let plan = &pool.plan_in_force;
                format!(
                    "; pool {number}: used {}, plan {} allows {}",
                    self.used(number),
                    plan.version,
                    allowance(plan)
                )
            });
            let pools: String = pools.collect();
            self.violation = Some(format!("{sum} of {}{pools}", self.bound));
        }
    }
}

/// What a plan allows the organisation.
fn allowance(plan: &PoolPlan) -> ResourceSet {
    plan.allowances.get(&organisation()).copied().unwrap_or_default()
}

impl FakePool {
    fn runner(&mut self, worker: &WorkerId) -> Option<&mut FakeRunner> {
        self.runners.iter_mut().find(|runner| runner.entry.id == *worker)
    }

    fn start(&mut self, now: Instant, start: StartCommand, demand: ResourceSet, end_at: Instant) {
        let (worker, run) = (start.target.worker.clone(), start.run.clone());
        if let Some(runner) = self.runner(&worker) {
            runner.active.push(ActiveTask {
                start,
                demand,
                end_at,
            });
            let outcome = StartOutcome::Started;
            self.scheduler.handle_start_outcome(now, &worker, &run, outcome);
        }
    }

    fn answer_poll(&mut self, now: Instant, poll: &PollCommand) {
        let worker = &poll.target.worker;
        if now < self.silent_until {
            let error = PollError::NoAnswer("cut off".into());
            self.scheduler.handle_poll_error(now, worker, &error);
            return;
        }
        if let Some(runner) = self.runner(worker) {
            runner.ended.retain(|end| end.sequence > poll.acknowledged);
            let report = runner.report();
            self.scheduler.handle_poll_report(now, worker, now, report);
        }
    }

    fn end_tasks(&mut self, now: Instant) {
        for runner in &mut self.runners {
            runner.end(RunOutcome::Done, |task| task.end_at <= now);
        }
    }

    fn take_over(&mut self, now: Instant, number: usize, config: &SiteConfig) {
        self.term += 1;
        let former = self
            .runners
            .iter()
            .map(|runner| runner.entry.id.clone())
            .collect();
        let takeover = TakeoverState::from_former_leader(now, former, SchedulerTiming::default().lease);
        let mut next = scheduler(number, self.term, takeover);
        next.set_config(config);
        next.set_plan(self.stored_plan.clone());
        if let Some((_, report)) = &self.last_report {
            next.set_former_usage(report.usage.clone());
        }
        self.plan_in_force = self.stored_plan.clone();
        self.plans.clear();
        for runner in &self.runners {
            next.set_worker(now, runner.entry.clone());
        }
        for id in std::mem::take(&mut self.known_jobs) {
            let open = self.scheduler.job(&id).filter(|job| !job.state.is_final());
            if let Some(job) = open {
                next.submit(now, now, job.record.clone(), Some(&job.progress()));
                self.known_jobs.insert(id);
            }
        }
        for record in std::mem::take(&mut self.inbox) {
            self.known_jobs.insert(record.id.clone());
            next.submit(now, now, record, None);
        }
        self.scheduler = next;
    }
}

impl FakeRunner {
    fn end(&mut self, outcome: RunOutcome, has_ended: impl Fn(&ActiveTask) -> bool) {
        let (ended, active) = std::mem::take(&mut self.active)
            .into_iter()
            .partition(|task| has_ended(task));
        self.active = active;
        let ended: Vec<ActiveTask> = ended;
        for task in ended {
            self.sequence += 1;
            self.ended.push(EndedRun {
                sequence: self.sequence,
                task: task.start.run.task.clone(),
                run: task.start.run.number,
                outcome,
                checkpoint: Arc::default(),
            });
        }
    }

    fn report(&self) -> WorkerReport {
        WorkerReport {
            clock_ms: 5_000,
            incarnation: Some(UnixMillis::new(1)),
            running: self.active.iter().map(|task| running_row(&task.start)).collect(),
            ended: ListedRows::Whole(self.ended.clone()),
        }
    }
}

fn fake_runner(pool: usize, index: usize) -> FakeRunner {
    let mut entry = entry(index, WORKER_CORES);
    entry.id = WorkerId::new(format!("i-{pool}-{index}")).expect("worker");
    entry.instance = Some(InstanceId::new(format!("m-{pool}-{index}")).expect("instance"));
    entry.pool = pool_id(pool);
    FakeRunner {
        entry,
        active: Vec::new(),
        ended: Vec::new(),
        sequence: 0,
    }
}

fn scheduler(pool: usize, term: u64, takeover: TakeoverState) -> PoolScheduler {
    PoolScheduler::new(
        pool_id(pool),
        LeaderTerm::new(term),
        SchedulerTiming::default(),
        takeover,
    )
}
