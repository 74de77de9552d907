//! A pool whose queues need advice, played with simulated time: any policy, size of the pool and times of the service.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::{Duration, Instant};

use figloft::dispatch::command::{AdviceAnswer, AdviceRequest, PoolCommand, StartCommand, StartOutcome};
use figloft::dispatch::job_record::{AdviceRule, JobRecord};
use figloft::dispatch::job_spec::StepSpec;
use figloft::dispatch::pool_scheduler::PoolScheduler;
use figloft::dispatch::takeover::TakeoverState;
use figloft::dispatch::worker_report::WorkerReport;
use figloft::model::id::{QueueId, WorkerId};
use figloft::model::listed_rows::ListedRows;
use figloft::model::unix_time::UnixMillis;
use proptest::prelude::*;

use crate::setup::{WALL, empty_scheduler, entry, record, running_row, step, worker_id};

const MS: Duration = Duration::from_millis(1);

/// Time between two passes of the scheduler.
const PASS_INTERVAL: Duration = Duration::from_millis(20);

/// Cores of a worker; any one of them has room for all tasks of a case.
const WORKER_CORES: u64 = 32;

/// Time of a start on its way to a worker.
const START_DELAY: Duration = Duration::from_millis(5);

/// Workers that one request may name on the platform.
const MAX_NAMED: usize = 100;

/// Job of a case.
#[derive(Debug, Clone)]
struct CaseJob {
    queue: usize,
    tasks: u32,
    is_gang: bool,
}

/// A pool, its policy and the times of the service.
#[derive(Debug, Clone)]
struct AdviceCase {
    workers: usize,
    /// The workers that may run the steps.
    allowed: BTreeSet<usize>,
    /// Worker that joins after a second.
    late_worker: Option<usize>,
    rules: Vec<AdviceRule>,
    jobs: Vec<CaseJob>,
    /// Requests that get no answer, by their number.
    lost: BTreeSet<usize>,
}

fn rule(base_ms: u64, each_ms: u64, validity_ms: u64) -> AdviceRule {
    AdviceRule {
        base_latency: MS * base_ms as u32,
        latency_per_worker: MS * each_ms as u32,
        ticket_validity: MS * validity_ms as u32,
    }
}

fn cases() -> impl Strategy<Value = AdviceCase> {
    let rules = prop::collection::vec((0_u64..6_000, 0_u64..500, 100_u64..5_000), 2);
    let jobs = prop::collection::vec((0_usize..2, 1_u32..6, any::<bool>()), 1..4);
    let lost = prop::collection::btree_set(0_usize..12, 0..3);
    (1_usize..90).prop_flat_map(move |workers| {
        let allowed = prop::collection::btree_set(0..workers, 1..workers.min(6) + 1);
        let late_worker = prop::option::of(0..workers);
        (allowed, late_worker, rules.clone(), jobs.clone(), lost.clone()).prop_map(
            move |(allowed, late_worker, rules, jobs, lost)| AdviceCase {
                workers,
                allowed,
                late_worker,
                rules: rules
                    .into_iter()
                    .map(|(base, each, valid)| rule(base, each, valid))
                    .collect(),
                jobs: jobs
                    .into_iter()
                    .map(|(queue, tasks, is_gang)| CaseJob {
                        queue,
                        tasks,
                        is_gang,
                    })
                    .collect(),
                lost,
            },
        )
    })
}

fn declared_latency(rule: &AdviceRule, workers: usize) -> Duration {
    rule.base_latency + rule.latency_per_worker * workers as u32
}

fn queue_id(number: usize) -> QueueId {
    QueueId::new(format!("r-{number}")).expect("queue")
}

impl AdviceCase {
    fn job(&self, number: usize) -> JobRecord {
        let job = &self.jobs[number];
        let spec = StepSpec {
            is_gang: job.is_gang,
            ..step(job.tasks, 1, 600_000)
        };
        let mut record = record(number, vec![spec]);
        record.queue = queue_id(job.queue);
        record.rule.advice = Some(self.rules[job.queue]);
        record
    }

    /// Time within which all tasks have to start: each step asks about each worker once and renews its tickets a few
    /// times, one request after the other, and each request without an answer takes its longest timeout.
    fn bound(&self) -> Duration {
        let longest = self.rules.iter().map(|rule| {
            let of_one = declared_latency(rule, 1);
            // No request has to take longer than this, as shorter ones name enough workers.
            (rule.base_latency * 2)
                .max(Duration::from_millis(1_500))
                .max(of_one)
        });
        let longest = longest.max().unwrap_or_default() + PASS_INTERVAL * 2;
        let requests = self.jobs.iter().map(|job| {
            let rule = self.rules[job.queue];
            let target = (rule.base_latency * 2).max(Duration::from_millis(1_500));
            let budget = target.saturating_sub(rule.base_latency);
            let per_request = budget.as_millis() / rule.latency_per_worker.as_millis().max(1);
            let per_request = (per_request as usize).clamp(1, 30);
            self.workers.div_ceil(per_request) as u32 + 4
        });
        let requests: u32 = requests.sum();
        // A lost request makes the next ones smaller, down to a quarter, until one is answered.
        let per_loss = (longest + Duration::from_millis(2_500)) * 4 + longest * 4;
        longest * requests + per_loss * self.lost.len() as u32 + Duration::from_secs(5)
    }
}

/// The advice service, and the line of requests in front of it.
#[derive(Debug, Default)]
struct AdviceService {
    line: VecDeque<AdviceRequest>,
    /// Request that was sent, with the time of its outcome; `None` stands for no answer.
    sent: Option<(AdviceRequest, Instant, Option<AdviceAnswer>)>,
    /// Time until which the service handles a request that was given up.
    busy_until: Option<Instant>,
    requests: usize,
}

struct AdviceWorld<'a> {
    case: &'a AdviceCase,
    scheduler: PoolScheduler,
    started_at: Instant,
    service: AdviceService,
    /// Starts on their way, with the time of their arrival.
    arriving: Vec<(Instant, StartCommand)>,
    running: BTreeMap<WorkerId, Vec<StartCommand>>,
    faults: Vec<String>,
}

impl AdviceWorld<'_> {
    fn is_allowed(&self, id: &WorkerId) -> bool {
        self.case.allowed.iter().any(|number| worker_id(*number) == *id)
    }

    /// Sends the next request if none is in flight, and delivers the outcome that is due.
    fn advance_service(&mut self, now: Instant) {
        if let Some((request, at, answer)) = self.service.sent.take() {
            if now < at {
                self.service.sent = Some((request, at, answer));
                return;
            }
            self.scheduler.handle_advice(now, &request.step, answer);
        }
        let Some(request) = self.service.line.pop_front() else {
            return;
        };
        let number = self.service.requests;
        self.service.requests += 1;
        let queue = (0..2)
            .find(|queue| queue_id(*queue) == request.queue)
            .expect("queue");
        let latency = declared_latency(&self.case.rules[queue], request.workers.len());
        let begins_at = self.service.busy_until.map_or(now, |until| until.max(now));
        let answered_at = begins_at + latency;
        self.service.busy_until = Some(answered_at);
        let is_answered = !self.case.lost.contains(&number) && answered_at <= now + request.timeout;
        let validity = self.case.rules[queue].ticket_validity;
        let answer = is_answered.then(|| AdviceAnswer {
            tickets: request
                .workers
                .iter()
                .filter(|id| self.is_allowed(id))
                .map(|id| (id.clone(), self.ticket(&request, id, answered_at + validity)))
                .collect(),
            latency: answered_at - now,
            validity,
        });
        let outcome_at = if is_answered {
            answered_at
        } else {
            now + request.timeout
        };
        self.service.sent = Some((request, outcome_at, answer));
    }

    /// Ticket with the end of its validity.
    fn ticket(&self, request: &AdviceRequest, id: &WorkerId, until: Instant) -> std::sync::Arc<str> {
        let until = until.saturating_duration_since(self.started_at).as_millis();
        format!("{} {id} {until}", request.step).into()
    }

    /// Delivers the starts that have arrived; a worker takes those with a valid ticket of its own.
    fn deliver_starts(&mut self, now: Instant) {
        let arrived: Vec<_> = self.arriving.extract_if(.., |(at, _)| *at <= now).collect();
        for (at, start) in arrived {
            let ticket = start.ticket.clone().unwrap_or_default();
            let prefix = format!("{} {} ", start.run.task.step, start.target.worker);
            let until = ticket
                .strip_prefix(&prefix)
                .and_then(|until| until.parse::<u128>().ok());
            let Some(until) = until else {
                self.faults
                    .push(format!("start of {} with the ticket {ticket:?}", start.run.task));
                continue;
            };
            let is_valid = at.saturating_duration_since(self.started_at).as_millis() <= until;
            let outcome = if is_valid {
                StartOutcome::Started
            } else {
                StartOutcome::NoTicket
            };
            let worker = start.target.worker.clone();
            self.scheduler
                .handle_start_outcome(now, &worker, &start.run, outcome);
            if is_valid {
                self.running.entry(worker).or_default().push(start);
            }
        }
    }

    fn answer_poll(&mut self, now: Instant, worker: &WorkerId) {
        let elapsed = now.saturating_duration_since(self.started_at).as_millis() as u64;
        let runs = self.running.get(worker).map(Vec::as_slice).unwrap_or_default();
        let report = WorkerReport {
            clock_ms: 5_000 + elapsed,
            incarnation: Some(UnixMillis::new(1)),
            running: runs.iter().map(running_row).collect(),
            ended: ListedRows::Whole(Vec::new()),
        };
        self.scheduler.handle_poll_report(now, worker, now, report);
    }

    fn pass(&mut self, now: Instant) {
        self.deliver_starts(now);
        self.advance_service(now);
        let elapsed = now.saturating_duration_since(self.started_at).as_millis() as u64;
        for command in self
            .scheduler
            .decide(now, UnixMillis::new(WALL.get() + elapsed), true)
        {
            match command {
                PoolCommand::Start(start) => self.arriving.push((now + START_DELAY, start)),
                PoolCommand::RequestAdvice(request) => {
                    if request.workers.is_empty() || request.workers.len() > MAX_NAMED {
                        self.faults
                            .push(format!("{} workers named", request.workers.len()));
                    }
                    self.service.line.push_back(request);
                }
                PoolCommand::Poll(poll) => self.answer_poll(now, &poll.target.worker),
                _ => {}
            }
        }
    }

    fn started_tasks(&self) -> usize {
        self.running.values().map(Vec::len).sum()
    }
}

/// Plays a case until all tasks have started or the bound has passed. Returns what is wrong.
fn play(case: &AdviceCase) -> Vec<String> {
    let started_at = Instant::now();
    let mut world = AdviceWorld {
        case,
        scheduler: empty_scheduler(1, TakeoverState::default()),
        started_at,
        service: AdviceService::default(),
        arriving: Vec::new(),
        running: BTreeMap::new(),
        faults: Vec::new(),
    };
    for number in (0..case.workers).filter(|number| case.late_worker != Some(*number)) {
        world
            .scheduler
            .set_worker(started_at, entry(number, WORKER_CORES));
    }
    let mut now = started_at;
    world.pass(now);
    for number in 0..case.jobs.len() {
        world.scheduler.submit(now, now, case.job(number), None);
    }
    let wanted: usize = case.jobs.iter().map(|job| job.tasks as usize).sum();
    let bound = case.bound();
    let mut late_worker = case.late_worker;
    while now < started_at + bound && world.started_tasks() < wanted && world.faults.is_empty() {
        now += PASS_INTERVAL;
        if now > started_at + Duration::from_secs(1)
            && let Some(number) = late_worker.take()
        {
            world.scheduler.set_worker(now, entry(number, WORKER_CORES));
        }
        world.pass(now);
    }
    if world.faults.is_empty() && world.started_tasks() < wanted {
        let started = world.started_tasks();
        world.faults.push(format!(
            "{started} of {wanted} tasks have started after {bound:?}; {} requests",
            world.service.requests
        ));
    }
    world.faults
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 48, max_shrink_iters: 16, ..ProptestConfig::default() })]

    /// Guards against steps that never start although an allowed worker has room, whatever the policy, the pool and the
    /// times that the queue declares, also beside a slow queue and when answers are lost.
    #[test]
    fn steps_with_room_on_an_allowed_worker_start(case in cases()) {
        let faults = play(&case);
        prop_assert!(faults.is_empty(), "{faults:?}");
    }
}

/// Guards against requests that are given up before the time that the queue declares for their answer: twelve workers at
/// 200 ms each were broken off after 2.5 s again and again.
#[test]
fn slow_advice_is_waited_for() {
    for (base, each) in [(300, 200), (9_000, 0), (0, 4_000)] {
        let case = AdviceCase {
            workers: 12,
            allowed: (0..12).collect(),
            late_worker: None,
            rules: vec![rule(base, each, 3_000), rule(20, 1, 3_000)],
            jobs: vec![CaseJob {
                queue: 0,
                tasks: 2,
                is_gang: false,
            }],
            lost: BTreeSet::new(),
        };
        assert_eq!(
            play(&case),
            Vec::<String>::new(),
            "{base} ms and {each} ms for each worker"
        );
    }
}
