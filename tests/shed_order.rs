//! Tests of the order of starts by the cost of delay.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use figloft::dispatch::delay_cost::DelayCost;
use figloft::dispatch::queue_work::{QueueWork, SizeClass};
use figloft::dispatch::shed_order::{OrganisationLoads, ReadyStep, ShedOrder};
use figloft::dispatch::start_priority::PriorityInputs;
use figloft::dispatch::task_id::StepId;
use figloft::model::id::{JobId, OrganisationId, QueueId};

const MS: Duration = Duration::from_millis(1);
const CORES: f64 = 10.0;

fn organisation(name: &str) -> OrganisationId {
    OrganisationId::new(name).expect("organisation")
}

/// Step of a job that was accepted `age_ms` ago and takes a second on each of its cores; its objective is two seconds.
fn ready(now: Instant, number: u32, work: u64, age_ms: u64) -> ReadyStep<'static> {
    let objective = Duration::from_secs(2);
    ReadyStep {
        step: StepId::new(JobId::new(format!("{number:016x}")).expect("job"), 0, 0),
        inputs: PriorityInputs {
            priority: 0,
            is_long_running: false,
            is_best_effort: false,
            has_started: false,
            is_over_rate: false,
            accepted_at: now.checked_sub(MS * age_ms as u32).expect("time"),
            objective,
            is_large: false,
            critical_path: Duration::from_secs(1),
        },
        cost: DelayCost::new(objective, 0, work, work, 1_000.0),
        size: SizeClass::Light,
        organisation: None,
    }
}

fn loads(running: &BTreeMap<OrganisationId, f64>) -> OrganisationLoads<'_> {
    static NO_CONFIGS: BTreeMap<OrganisationId, figloft::dispatch::site_config::OrganisationConfig> =
        BTreeMap::new();
    OrganisationLoads {
        running,
        configs: &NO_CONFIGS,
    }
}

/// Numbers of the jobs in the order of their starts.
fn ordered(order: &mut ShedOrder, now: Instant, steps: Vec<ReadyStep>, cores: f64) -> Vec<u64> {
    let mut keys = order.order(now, steps, cores, loads(&BTreeMap::new()));
    keys.sort_unstable();
    let numbers = keys
        .iter()
        .map(|key| u64::from_str_radix(key.step().job.as_str(), 16));
    numbers.map(|number| number.expect("number")).collect()
}

fn now() -> Instant {
    Instant::now() + Duration::from_mins(1)
}

/// Guards against an order by value where there is room for all: the latest start decides then, whatever the size.
#[test]
fn jobs_that_all_fit_start_by_their_latest_start() {
    let now = now();
    let steps = vec![
        ready(now, 1, 100, 0),
        ready(now, 2, 1_000, 100),
        ready(now, 3, 500, 50),
    ];
    let mut order = ShedOrder::default();
    assert_eq!(ordered(&mut order, now, steps, CORES), [2, 3, 1]);
    assert_eq!(order.waiting().0.jobs, 0);
}

/// Guards against work without value that starts before work with value after capacity is lost: the same jobs are
/// shed as soon as the cores are gone, late jobs come after them, and useless ones last.
#[test]
fn lost_capacity_sheds_what_costs_least() {
    let now = now();
    let steps = vec![
        ready(now, 1, 4_000, 100),
        ready(now, 2, 500, 50),
        ready(now, 3, 500, 0),
        ready(now, 4, 100, 1_500),
        ready(now, 5, 100, 9_000),
    ];
    let mut order = ShedOrder::default();
    assert_eq!(ordered(&mut order, now, steps.clone(), CORES), [1, 2, 3, 4, 5]);
    // Two cores start 1,120 core-milliseconds until the latest start of the third job.
    assert_eq!(ordered(&mut order, now, steps, 2.0), [2, 3, 1, 4, 5]);
}

/// Guards against a started job that waits for new jobs of more value: the work done for it would be wasted.
#[test]
fn started_job_in_time_goes_first() {
    let now = now();
    let mut started = ready(now, 1, 4_000, 0);
    started.inputs.has_started = true;
    let steps = vec![started, ready(now, 2, 100, 100), ready(now, 3, 100, 100)];
    assert_eq!(ordered(&mut ShedOrder::default(), now, steps, 1.0)[0], 1);
}

/// Guards against an organisation that takes the pool with many jobs of more value: its excess waits, measured in
/// work, and is derived from the jobs at hand alone.
#[test]
fn excess_of_an_organisation_waits() {
    let now = now();
    let (busy, small) = (organisation("busy"), organisation("small"));
    let mut steps: Vec<ReadyStep> = (0..40).map(|number| ready(now, number, 400, 100)).collect();
    for step in &mut steps {
        step.organisation = Some(&busy);
    }
    for number in 40..43 {
        let mut step = ready(now, number, 900, 0);
        step.organisation = Some(&small);
        steps.push(step);
    }
    let mut order = ShedOrder::default();
    let numbers = ordered(&mut order, now, steps, CORES);
    let first_shed = numbers.len() - order.waiting().1.jobs as usize;
    assert_eq!(order.waiting().0.jobs, 0);
    assert!(first_shed < 40, "nothing waits");
    let of_small = numbers[..first_shed].iter().filter(|number| **number >= 40);
    assert_eq!(of_small.count(), 3);
}

/// Guards against heavy jobs that are starved by light ones, which have more value for their work and fill the pool:
/// they keep a tenth of the started work.
#[test]
fn heavy_jobs_keep_their_share_of_starts() {
    let mut order = ShedOrder::default();
    let (mut light_work, mut heavy_work) = (0, 0);
    for round in 0..200_u32 {
        let now = now() + MS * 100 * round;
        let mut steps: Vec<ReadyStep> = (0..40).map(|number| ready(now, number, 300, 0)).collect();
        for number in 40..42 {
            let mut step = ready(now, number, 4_000, 100);
            step.size = SizeClass::Heavy;
            steps.push(step);
        }
        // Each round starts the work of the first job.
        if ordered(&mut order, now, steps, CORES)[0] >= 40 {
            order.record_start(now, SizeClass::Heavy, 4_000.0);
            heavy_work += 4_000;
        } else {
            order.record_start(now, SizeClass::Light, 300.0);
            light_work += 300;
        }
    }
    let share = f64::from(heavy_work) / f64::from(heavy_work + light_work);
    assert!(share >= 0.1, "{share}");
}

/// Guards against size classes that depend on other queues, and against a first job that counts as heavy.
#[test]
fn size_is_relative_to_the_recent_jobs_of_the_queue() {
    let mut queues = QueueWork::default();
    let queue = QueueId::new("r-1").expect("queue");
    assert_eq!(queues.observe(&queue, 1_000_000).class, SizeClass::Light);
    for work in 1..=200 {
        queues.observe(&queue, work * 10);
    }
    assert_eq!(queues.observe(&queue, 3_000).class, SizeClass::Heavy);
    assert_eq!(queues.observe(&queue, 1_700).class, SizeClass::Medium);
    assert_eq!(queues.observe(&queue, 800).class, SizeClass::Light);
    assert_eq!(queues.observe(&queue, 0).class, SizeClass::Light);
    let other = QueueId::new("r-2").expect("queue");
    assert_eq!(queues.observe(&other, 3_000).class, SizeClass::Light);
}
