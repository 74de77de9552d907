//! Replays of loads that exceed the pool's capacity, on a virtual clock: the order by the cost of delay against the
//! order without the setting and first come, first served.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use figloft::dispatch::command::{PollError, PoolCommand, StartCommand, StartOutcome};
use figloft::dispatch::delay_cost;
use figloft::dispatch::job_record::JobRecord;
use figloft::dispatch::job_spec::StepSpec;
use figloft::dispatch::pool_scheduler::PoolScheduler;
use figloft::dispatch::site_config::{OrganisationConfig, SiteConfig};
use figloft::dispatch::task_id::TaskId;
use figloft::dispatch::worker_report::{EndedRun, RunOutcome, WorkerReport};
use figloft::model::id::{OrganisationId, QueueId};
use figloft::model::listed_rows::ListedRows;
use figloft::model::resource::ResourceSet;
use figloft::model::unix_time::UnixMillis;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use crate::setup::{WALL, record, running_row, scheduler, step, worker_id};

const TICK_MS: u64 = 20;
const LOAD_MS: u64 = 10_000;
const REPLAY_MS: u64 = 16_000;
const WORKERS: usize = 12;
const CORES: u64 = 16;
const WORKERS_PER_RACK: usize = 4;
/// Jobs a second that use three quarters of the pool.
const USUAL_RATE: f64 = 28.0;
/// Share of each organisation in the usual load.
const ORGANISATIONS: [f64; 5] = [0.2, 0.3, 0.25, 0.15, 0.1];
const SEEDS: u64 = 3;

/// A load that the design page names. Times are in milliseconds.
#[derive(Debug, Clone, Copy)]
struct Load {
    name: &'static str,
    /// Factor on the usual load between the times, for the first organisation and for the others.
    factors: (f64, f64),
    from: u64,
    to: u64,
    /// Time at which a rack is lost.
    rack_lost_at: Option<u64>,
    /// Chance that a task takes seven times its mean, and the largest factor by which estimates are off.
    slow_chance: f64,
    estimate_error: f64,
}

const LOADS: [Load; 4] = [
    Load {
        name: "burst of 2.5 times",
        factors: (2.5, 2.5),
        from: 2_000,
        to: 7_000,
        rack_lost_at: None,
        slow_chance: 0.0,
        estimate_error: 1.2,
    },
    Load {
        name: "one organisation at 6 times",
        factors: (6.0, 1.0),
        from: 2_000,
        to: 9_000,
        rack_lost_at: None,
        slow_chance: 0.0,
        estimate_error: 1.2,
    },
    Load {
        name: "rack lost at the peak",
        factors: (1.5, 1.5),
        from: 2_000,
        to: 9_000,
        rack_lost_at: Some(4_000),
        slow_chance: 0.0,
        estimate_error: 1.2,
    },
    Load {
        name: "slow tasks, wrong estimates",
        factors: (1.8, 1.8),
        from: 2_000,
        to: 8_000,
        rack_lost_at: None,
        slow_chance: 0.03,
        estimate_error: 2.5,
    },
];

struct ReplayJob {
    submitted: u64,
    organisation: usize,
    record: JobRecord,
    /// Run times of the tasks of each step.
    lengths: Vec<Vec<u64>>,
    objective: Duration,
    worth: f64,
    /// 0: all others, 1: the fifth below the heaviest tenth, 2: the heaviest tenth of its queue.
    size: usize,
}

fn organisation_id(number: usize) -> OrganisationId {
    OrganisationId::new(format!("org-{number}")).expect("organisation")
}

fn random_steps(rng: &mut StdRng) -> Vec<StepSpec> {
    let size = rng.random_range(0.0..1.0);
    let first = if size < 0.1 {
        step(rng.random_range(12..21), 2, rng.random_range(700..1_200))
    } else if size < 0.3 {
        step(rng.random_range(4..9), 2, rng.random_range(400..800))
    } else {
        step(rng.random_range(1..5), 1, rng.random_range(200..600))
    };
    if rng.random_bool(0.5) {
        return vec![first];
    }
    let last = StepSpec {
        depends_on: vec![0],
        ..step(1, 1, 200)
    };
    vec![first, last]
}

fn scale_estimates(steps: &mut [StepSpec], factor: f64) {
    for step in steps {
        step.estimate = step.estimate.mul_f64(factor);
    }
}

fn random_job(
    rng: &mut StdRng,
    load: &Load,
    submitted: u64,
    organisation: usize,
    number: usize,
) -> ReplayJob {
    let mut steps = random_steps(rng);
    let is_other_queue = rng.random_bool(0.3);
    if is_other_queue {
        scale_estimates(&mut steps, 0.4);
    }
    let lengths = steps.iter().map(|step| {
        let mean = step.estimate.as_millis() as f64;
        let lengths = (0..step.tasks).map(|_| {
            let factor = if rng.random_bool(load.slow_chance) {
                7.0
            } else {
                1.0
            };
            (mean * factor * rng.random_range(0.8..1.2)) as u64
        });
        lengths.collect()
    });
    let lengths = lengths.collect();
    let error = load.estimate_error.powf(rng.random_range(-1.0..1.0));
    scale_estimates(&mut steps, error);
    let mut record = record(number, steps);
    record.organisation = Some(organisation_id(organisation));
    record.queue = QueueId::new(if is_other_queue { "r-2" } else { "r-1" }).expect("queue");
    let longest = record.spec.critical_paths().into_iter().max().unwrap_or_default();
    let objective = longest.mul_f64(record.rule.slack_factor) + record.rule.target_latency;
    ReplayJob {
        submitted,
        organisation,
        record,
        lengths,
        objective,
        worth: 0.0,
        size: 0,
    }
}

fn random_jobs(load: &Load, seed: u64) -> Vec<ReplayJob> {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut jobs = Vec::new();
    for time in 0..LOAD_MS {
        let is_peak = (load.from..load.to).contains(&time);
        for (organisation, share) in ORGANISATIONS.iter().enumerate() {
            let factor = match (is_peak, organisation) {
                (false, _) => 1.0,
                (true, 0) => load.factors.0,
                (true, _) => load.factors.1,
            };
            if rng.random_bool(USUAL_RATE * share * factor / 1_000.0) {
                let number = jobs.len();
                jobs.push(random_job(&mut rng, load, time, organisation, number));
            }
        }
    }
    let queues: BTreeSet<QueueId> = jobs.iter().map(|job| job.record.queue.clone()).collect();
    for queue in queues {
        let mut works: Vec<(u64, usize)> = jobs
            .iter()
            .enumerate()
            .filter(|(_, job)| job.record.queue == queue)
            .map(|(number, job)| (job.record.spec.estimated_work(), number))
            .collect();
        works.sort_unstable();
        let mean = works.iter().map(|(work, _)| *work as f64).sum::<f64>() / works.len() as f64;
        for (rank, (work, number)) in works.iter().enumerate() {
            let rank = rank as f64 / works.len() as f64;
            jobs[*number].worth = delay_cost::worth(*work, mean);
            jobs[*number].size = usize::from(rank >= 0.7) + usize::from(rank >= 0.9);
        }
    }
    jobs
}

/// Tasks, by job, step and index, and the runs on the workers.
type TaskKey = (usize, usize, usize);

struct Progress<'a> {
    jobs: &'a [ReplayJob],
    /// Unfinished tasks of each step.
    left: Vec<Vec<usize>>,
    ended_at: Vec<Option<u64>>,
}

impl<'a> Progress<'a> {
    fn new(jobs: &'a [ReplayJob]) -> Self {
        let left = jobs.iter().map(|job| job.lengths.iter().map(Vec::len).collect());
        Self {
            jobs,
            left: left.collect(),
            ended_at: vec![None; jobs.len()],
        }
    }

    fn finish(&mut self, time: u64, (job, step, _): TaskKey) {
        self.left[job][step] -= 1;
        if self.left[job].iter().all(|left| *left == 0) {
            self.ended_at[job] = Some(time);
        }
    }

    fn score(&self) -> Score {
        let mut score = Score::default();
        for (job, ended_at) in self.jobs.iter().zip(&self.ended_at) {
            let end = ended_at.map(|at| Duration::from_millis(at - job.submitted));
            let value = end.map_or(0.0, |end| job.worth * delay_cost::value_at(end, job.objective));
            let in_time = if end.is_some_and(|end| end <= job.objective) {
                1.0
            } else {
                0.0
            };
            score.all.add(value, job.worth);
            score.in_time.add(in_time, 1.0);
            score.sizes[job.size].add(value, job.worth);
            score.organisations[job.organisation].add(value, job.worth);
        }
        score
    }
}

#[derive(Debug, Clone, Copy, Default)]
struct Share {
    served: f64,
    offered: f64,
}

impl Share {
    fn add(&mut self, served: f64, offered: f64) {
        self.served += served;
        self.offered += offered;
    }

    fn get(self) -> f64 {
        self.served / self.offered.max(f64::MIN_POSITIVE)
    }
}

/// Value served, as a share of the value offered.
#[derive(Debug, Clone, Copy, Default)]
struct Score {
    all: Share,
    /// Number of jobs in time.
    in_time: Share,
    sizes: [Share; 3],
    organisations: [Share; ORGANISATIONS.len()],
}

impl Score {
    fn add(&mut self, other: &Self) {
        let add = |to: &mut Share, from: &Share| to.add(from.served, from.offered);
        add(&mut self.all, &other.all);
        add(&mut self.in_time, &other.in_time);
        self.sizes
            .iter_mut()
            .zip(&other.sizes)
            .for_each(|(to, from)| add(to, from));
        let organisations = self.organisations.iter_mut().zip(&other.organisations);
        organisations.for_each(|(to, from)| add(to, from));
    }

    fn print(&self, load: &str, order: &str) {
        let organisations = self.organisations.map(|share| format!("{:.2}", share.get()));
        println!(
            "| {load} | {order} | {:.3} | {:.3} | {:.3} | {:.3} | {:.3} | {} |",
            self.all.get(),
            self.in_time.get(),
            self.sizes[0].get(),
            self.sizes[1].get(),
            self.sizes[2].get(),
            organisations.join(" "),
        );
    }
}

fn is_lost(load: &Load, worker: usize, time: u64) -> bool {
    worker < WORKERS_PER_RACK && load.rack_lost_at.is_some_and(|at| time >= at)
}

fn config() -> SiteConfig {
    let organisations = ORGANISATIONS.iter().enumerate().map(|(number, share)| {
        let config = OrganisationConfig {
            weight: USUAL_RATE * share * 1.3,
            limit: ResourceSet::default(),
        };
        (organisation_id(number), config)
    });
    SiteConfig {
        organisations: organisations.collect(),
        ..SiteConfig::default()
    }
}

fn task_key(task: &TaskId) -> TaskKey {
    let number = usize::from_str_radix(task.step.job.as_str(), 16).expect("job number");
    (number, task.step.step as usize, task.index as usize)
}

/// Replays the load with the scheduler.
fn replay(load: &Load, jobs: &[ReplayJob], is_by_cost: bool) -> Score {
    let begin = Instant::now();
    let mut scheduler = scheduler(begin, WORKERS, CORES);
    if is_by_cost {
        scheduler = scheduler.with_shedding_by_cost();
    }
    scheduler.set_config(&config());
    let mut progress = Progress::new(jobs);
    let mut running: Vec<Vec<(u64, StartCommand)>> = vec![Vec::new(); WORKERS];
    let mut sequences = [0_u64; WORKERS];
    let mut submitted = 0;
    let mut time = 0;
    while time < REPLAY_MS {
        let now = begin + Duration::from_millis(time);
        while submitted < jobs.len() && jobs[submitted].submitted <= time {
            scheduler.submit(now, now, jobs[submitted].record.clone(), None);
            submitted += 1;
        }
        for (number, runs) in running.iter_mut().enumerate() {
            if is_lost(load, number, time) {
                if time % 300 == 0 {
                    let error = PollError::NoAnswer("time-out".into());
                    scheduler.handle_poll_error(now, &worker_id(number), &error);
                }
                continue;
            }
            let mut ended = Vec::new();
            runs.retain(|(end, start)| {
                if *end > time {
                    return true;
                }
                sequences[number] += 1;
                progress.finish(*end, task_key(&start.run.task));
                ended.push(EndedRun {
                    sequence: sequences[number],
                    task: start.run.task.clone(),
                    run: start.run.number,
                    outcome: RunOutcome::Done,
                    checkpoint: "".into(),
                });
                false
            });
            let report = WorkerReport {
                clock_ms: 5_000 + time,
                incarnation: Some(UnixMillis::new(1)),
                running: runs.iter().map(|(_, start)| running_row(start)).collect(),
                ended: ListedRows::Whole(ended),
            };
            scheduler.handle_poll_report(now, &worker_id(number), now, report);
        }
        for command in scheduler.decide(now, WALL, true) {
            if let PoolCommand::Start(start) = command {
                apply_start(load, jobs, &mut scheduler, &mut running, (now, time), start);
            }
        }
        if scheduler.has_changes() {
            scheduler.take_flush(WALL, 10_000);
            scheduler.confirm_flush();
        }
        time += TICK_MS;
    }
    progress.score()
}

fn apply_start(
    load: &Load,
    jobs: &[ReplayJob],
    scheduler: &mut PoolScheduler,
    running: &mut [Vec<(u64, StartCommand)>],
    (now, time): (Instant, u64),
    start: StartCommand,
) {
    let worker = (0..WORKERS).find(|number| worker_id(*number) == start.target.worker);
    let worker = worker.expect("worker");
    if is_lost(load, worker, time) {
        scheduler.handle_start_outcome(now, &start.target.worker, &start.run, StartOutcome::Unknown);
        return;
    }
    scheduler.handle_start_outcome(now, &start.target.worker, &start.run, StartOutcome::Started);
    let (job, step, index) = task_key(&start.run.task);
    running[worker].push((time + jobs[job].lengths[step][index], start));
}

/// Replays the load with tasks that start in the order of their jobs' submission, on the fullest worker with room.
/// Tasks on a lost worker start again at once.
fn replay_first_come(load: &Load, jobs: &[ReplayJob]) -> Score {
    let mut progress = Progress::new(jobs);
    let mut waiting: BTreeSet<TaskKey> = BTreeSet::new();
    let mut running: BTreeMap<TaskKey, (u64, usize)> = BTreeMap::new();
    let mut free = [CORES; WORKERS];
    let cores = |(job, step, _): TaskKey| jobs[job].record.spec.steps[step].demand.cores.get() / 1_000;
    let mut submitted = 0;
    let mut time = 0;
    while time < REPLAY_MS {
        while submitted < jobs.len() && jobs[submitted].submitted <= time {
            waiting.extend((0..jobs[submitted].lengths[0].len()).map(|index| (submitted, 0, index)));
            submitted += 1;
        }
        let over: Vec<(TaskKey, u64, usize)> = running
            .iter()
            .filter(|(_, (end, worker))| *end <= time || is_lost(load, *worker, time))
            .map(|(task, (end, worker))| (*task, *end, *worker))
            .collect();
        for (task, end, worker) in over {
            running.remove(&task);
            free[worker] += cores(task);
            if is_lost(load, worker, time) {
                waiting.insert(task);
                continue;
            }
            progress.finish(end, task);
            let (job, step, _) = task;
            if progress.left[job][step] == 0 && step + 1 < jobs[job].lengths.len() {
                let tasks = 0..jobs[job].lengths[step + 1].len();
                waiting.extend(tasks.map(|index| (job, step + 1, index)));
            }
        }
        for task in waiting.clone() {
            let usable = (0..WORKERS).filter(|worker| !is_lost(load, *worker, time));
            let fitting = usable.filter(|worker| free[*worker] >= cores(task));
            let Some(worker) = fitting.min_by_key(|worker| free[*worker]) else {
                continue;
            };
            free[worker] -= cores(task);
            waiting.remove(&task);
            let (job, step, index) = task;
            running.insert(task, (time + jobs[job].lengths[step][index], worker));
        }
        time += TICK_MS;
    }
    progress.score()
}

/// Guards against an order by cost that serves less value than the order without the setting or than first come,
/// first served, or that starves a size class or an organisation.
#[test]
fn order_by_cost_serves_most_value_and_starves_none() {
    println!("| load | order | value | jobs in time | light | medium | heavy | organisations |");
    for load in LOADS {
        let mut by_cost = Score::default();
        let mut present = Score::default();
        let mut first_come = Score::default();
        for seed in 0..SEEDS {
            let jobs = random_jobs(&load, seed);
            by_cost.add(&replay(&load, &jobs, true));
            present.add(&replay(&load, &jobs, false));
            first_come.add(&replay_first_come(&load, &jobs));
        }
        by_cost.print(load.name, "by cost");
        present.print(load.name, "without the setting");
        first_come.print(load.name, "first come");
        let value = by_cost.all.get();
        assert!(value >= present.all.get(), "{}: less than without", load.name);
        assert!(
            value >= first_come.all.get(),
            "{}: less than first come",
            load.name
        );
        for (size, share) in by_cost.sizes.iter().enumerate() {
            assert!(share.get() >= value / 2.0, "{}: size class {size}", load.name);
        }
        for (number, share) in by_cost.organisations.iter().enumerate() {
            assert!(
                share.get() >= value * 0.75,
                "{}: organisation {number}",
                load.name
            );
        }
    }
}
