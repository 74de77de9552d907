//! Forecast of whether a submission can still be of use to its caller.
//!
//! Handles submissions far beyond what a pool can do, for example an organisation with several times its usual load:
//! what cannot end within three times its objective is refused, with a time to come back at which the backlog is
//! worked off. The forecast is optimistic, because refusing a job that would have fitted costs its caller more than
//! admitting one that is late: it counts the capacity that the pool could get, assumes that nothing is lost and that
//! no other instance admits anything, and admits whenever it lacks recent figures.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use rand::Rng;

use crate::dispatch::delay_cost;
use crate::dispatch::job_record::JobRecord;
use crate::dispatch::load_digest::{self, GrowthDigest, LoadDigest, PriorityBacklog};
use crate::dispatch::start_priority;
use crate::model::amount::MilliCores;
use crate::model::id::{LeaderTerm, OrganisationId, PoolId};
use crate::model::unix_time::UnixMillis;

/// Age from which a digest counts as missing. It is stored at least every second while there is a backlog and read
/// every 500 ms.
const MAX_DIGEST_AGE: Duration = Duration::from_secs(3);

/// Time after a digest for which submissions are assumed to go on as before it, which is the time between two reads.
/// Without it, a digest would tell nothing about jobs whose slack is shorter than its age.
const STEADY_TIME: Duration = Duration::from_millis(500);

/// Part of a pool's processor capacity that has to be in use before anything is refused. A pool with more free
/// capacity is held back by something that the forecast does not know, such as labels or memory.
const MIN_UTILISATION: f64 = 0.75;

/// Multiple of the work that fits that is admitted in any case. Work that misses its latest start makes room for other
/// work, and a digest is up to a second old, in which refusing everything would leave the pool without work that is
/// on time.
const ADMITTED_EXCESS: f64 = 2.0;

/// Lower bound of a job's slack in the forecast: decisions and starts take about this long in any case.
const MIN_SLACK: Duration = Duration::from_millis(250);

/// Bounds of the time to come back, before the random part. A caller that waits for longer than five seconds has
/// mostly given up.
const RETRY_BOUNDS: (Duration, Duration) = (Duration::from_secs(1), Duration::from_secs(5));

/// Upper bound of the time to come back while the store is away, before the random part.
const MAX_OUTAGE_RETRY: Duration = Duration::from_secs(4);

/// Upper bound of the random part of a time to come back, as a part of the time. It spreads the returns of callers
/// that were refused together.
const RETRY_SPREAD: f64 = 0.5;

/// Pause without observations after which an outage of the store counts as a new one.
const OUTAGE_PAUSE: Duration = Duration::from_secs(5);

/// What the forecast needs to know about a job.
#[derive(Debug, Clone, PartialEq)]
pub struct JobDemand {
    /// Priority of the queue; 0 is the highest.
    pub priority: u32,
    /// Organisation of the caller; absent for a public queue.
    pub organisation: Option<OrganisationId>,
    /// Processor capacity that the organisation may use in the whole fleet; 0 if it has no limit.
    pub organisation_limit: MilliCores,
    /// Estimated work in core-milliseconds.
    pub work: u64,
    /// Estimated length of the longest chain of steps.
    pub critical_path: Duration,
    /// Time after the submission by which the job should have ended.
    pub objective: Duration,
}

impl JobDemand {
    /// Demand of a submission. `None` if nothing can be forecast for it, so that it is always admitted: long-running
    /// and scheduled jobs, jobs with a step without an estimate, and jobs with a step that uses no processor time of
    /// its own or only certain workers.
    pub fn new(record: &JobRecord, organisation_limit: MilliCores) -> Option<Self> {
        let spec = &record.spec;
        let is_unknown = spec.steps.iter().any(|step| {
            step.is_long_running
                || step.estimate.is_zero()
                || step.reserved().cores.get() == 0
                || step.demand.accelerators.get() > 0
                || step.label.is_some()
        });
        if is_unknown || spec.schedule.is_some() {
            return None;
        }
        let critical_path = spec.critical_paths().into_iter().max()?;
        Some(Self {
            priority: record.rule.priority,
            organisation: record.organisation.clone(),
            organisation_limit,
            work: spec.estimated_work(),
            critical_path,
            objective: record.rule.objective(critical_path),
        })
    }

    /// Time until the latest start with which the job meets its objective.
    fn slack(&self) -> Duration {
        let run_time = start_priority::expected_run_time(self.critical_path);
        self.objective.saturating_sub(run_time).max(MIN_SLACK)
    }
}

/// Result of a decision, also the value of a metric label.
#[derive(Debug, Clone, Copy, PartialEq, Eq, derive_more::Display)]
pub enum AdmissionOutcome {
    /// Admitted; the job is expected to meet its objective.
    #[display("in_time")]
    InTime,
    /// Admitted; the job is expected to miss its objective and may still be of use.
    #[display("late")]
    Late,
    /// Refused.
    #[display("refused")]
    Refused,
    /// Admitted without a forecast, for lack of a recent digest.
    #[display("no_digest")]
    NoDigest,
}

/// Figures on which a decision rests, for the log.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct ForecastFigures {
    /// Age of the digest.
    pub age: Duration,
    /// Term of the leader that stored the digest.
    pub term: LeaderTerm,
    /// Processor capacity that the pool has.
    pub capacity: MilliCores,
    /// Processor capacity that the pool could have.
    pub expected_capacity: MilliCores,
    /// Rate at which the backlog is worked off, in core-milliseconds a second.
    pub drain_rate: u64,
    /// Work that goes before the job, in core-milliseconds.
    pub work_ahead: f64,
    /// Time for which the job would wait.
    pub wait: Duration,
    /// Time for which the oldest job has waited, in milliseconds.
    pub oldest_wait_ms: u64,
}

/// Decision on a submission.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct AdmissionDecision {
    /// Whether the job is admitted.
    pub outcome: AdmissionOutcome,
    /// When a refused caller may come back, in whole seconds; zero for other outcomes.
    pub retry_after: Duration,
    /// Figures on which the decision rests; zero without a digest.
    pub figures: ForecastFigures,
}

impl AdmissionDecision {
    fn admit(outcome: AdmissionOutcome, figures: ForecastFigures) -> Self {
        Self {
            outcome,
            retry_after: Duration::ZERO,
            figures,
        }
    }
}

/// Load of one pool, with what was admitted here since the digest. `latest` is the newest term and time that were
/// seen, also if that digest is gone.
#[derive(Debug, Clone, Default)]
struct PoolLoad {
    digest: Option<LoadDigest>,
    seen_at: Option<Instant>,
    latest: (LeaderTerm, UnixMillis),
    admitted: BTreeMap<u32, PriorityBacklog>,
    admitted_of: BTreeMap<OrganisationId, u64>,
}

/// The capacity that pools could get, with the time at which it was first seen here.
#[derive(Debug, Clone)]
struct SeenGrowth {
    digest: GrowthDigest,
    seen_at: Instant,
}

/// Forecasts of one instance for all pools.
#[derive(Debug, Clone, Default)]
pub struct AdmissionForecast {
    pools: BTreeMap<PoolId, PoolLoad>,
    growth: Option<SeenGrowth>,
}

impl AdmissionForecast {
    /// Creates a forecast without digests, which admits everything.
    pub fn new() -> Self {
        Self::default()
    }

    /// Replaces all digests by those of one read of the store. A digest of an earlier term or time than one already
    /// seen comes from a stale read or from a former leader and is ignored. A pool without a digest has no leader.
    pub fn set_digests(
        &mut self,
        now: Instant,
        mut digests: BTreeMap<PoolId, LoadDigest>,
        growth: Option<GrowthDigest>,
    ) {
        for (pool, load) in &mut self.pools {
            if !digests.contains_key(pool) {
                load.digest = None;
            }
        }
        while let Some((pool, digest)) = digests.pop_first() {
            self.pools.entry(pool).or_default().set_digest(now, digest);
        }
        let Some(digest) = growth else {
            self.growth = None;
            return;
        };
        let seen = self.growth.as_ref().map(|seen| &seen.digest);
        if seen.is_none_or(|seen| (digest.term, digest.at) > (seen.term, seen.at)) {
            self.growth = Some(SeenGrowth { digest, seen_at: now });
        }
    }

    /// Decides on a submission to a pool and, if it is admitted, counts its work until the next digest.
    pub fn decide(
        &mut self,
        now: Instant,
        wall_time: UnixMillis,
        pool: &PoolId,
        job: &JobDemand,
        random: &mut impl Rng,
    ) -> AdmissionDecision {
        let growth = self.growth_workers(now, wall_time, pool);
        let Some(load) = self.pools.get_mut(pool) else {
            return AdmissionDecision::admit(AdmissionOutcome::NoDigest, ForecastFigures::default());
        };
        let Some(age) = load.age(now, wall_time) else {
            return AdmissionDecision::admit(AdmissionOutcome::NoDigest, ForecastFigures::default());
        };
        let decision = load.decide(age, growth, job, random);
        if decision.outcome != AdmissionOutcome::Refused {
            load.record_admission(age, job);
        }
        decision
    }

    /// Workers that the pool could have; `None` if that is not known or too old.
    fn growth_workers(&self, now: Instant, wall_time: UnixMillis, pool: &PoolId) -> Option<u32> {
        let growth = self.growth.as_ref()?;
        let age = digest_age(now, wall_time, growth.digest.at, growth.seen_at);
        let workers = growth.digest.workers.get(pool).copied();
        workers.filter(|_| age <= MAX_DIGEST_AGE)
    }
}

/// Age of a digest: by the writer's clock, or since it was first seen if that is longer. Clocks may differ by seconds,
/// so that a negative age counts as zero.
fn digest_age(now: Instant, wall_time: UnixMillis, at: UnixMillis, seen_at: Instant) -> Duration {
    let by_clock = Duration::from_millis(wall_time.get().saturating_sub(at.get()));
    by_clock.max(now.saturating_duration_since(seen_at))
}

impl PoolLoad {
    fn set_digest(&mut self, now: Instant, digest: LoadDigest) {
        let version = (digest.term, digest.at);
        if version < self.latest {
            return;
        }
        if version > self.latest {
            self.seen_at = Some(now);
            self.admitted.clear();
            self.admitted_of.clear();
        }
        self.latest = version;
        self.digest = Some(digest);
    }

    /// Age of the digest; `None` if there is none or it is too old.
    fn age(&self, now: Instant, wall_time: UnixMillis) -> Option<Duration> {
        let digest = self.digest.as_ref()?;
        let age = digest_age(now, wall_time, digest.at, self.seen_at?);
        (age <= MAX_DIGEST_AGE).then_some(age)
    }

    /// Decides with a digest of this age. `growth` is the number of workers that the pool could have; without it, only
    /// the limit of the organisation can lead to a refusal.
    fn decide(
        &self,
        age: Duration,
        growth: Option<u32>,
        job: &JobDemand,
        random: &mut impl Rng,
    ) -> AdmissionDecision {
        let Some(digest) = &self.digest else {
            return AdmissionDecision::admit(AdmissionOutcome::NoDigest, ForecastFigures::default());
        };
        let joining = u64::from(growth.unwrap_or_default().saturating_sub(digest.workers));
        let joining = digest.largest_worker.get().saturating_mul(joining);
        let expected_capacity = digest.capacity + MilliCores::new(joining);
        let mut figures = ForecastFigures {
            age,
            term: digest.term,
            capacity: digest.capacity,
            expected_capacity,
            drain_rate: digest.drain_rate,
            oldest_wait_ms: digest.oldest_wait_ms,
            ..ForecastFigures::default()
        };
        let is_full = digest.used.get() as f64 >= expected_capacity.get() as f64 * MIN_UTILISATION;
        let pool_queue = (growth.is_some() && is_full && expected_capacity.get() > 0)
            .then(|| self.pool_queue(age, expected_capacity, job));
        let queues = [pool_queue, self.organisation_queue(job)];
        let Some(queue) = queues.into_iter().flatten().max_by_key(QueueAhead::wait) else {
            let outcome = if growth.is_none() {
                AdmissionOutcome::NoDigest
            } else {
                AdmissionOutcome::InTime
            };
            return AdmissionDecision::admit(outcome, figures);
        };
        figures.work_ahead = queue.on_time + queue.late;
        figures.wait = queue.wait();
        if queue.excess <= 1.0 {
            return AdmissionDecision::admit(AdmissionOutcome::InTime, figures);
        }
        let is_useful = queue.wait() + job.critical_path <= delay_cost::last_useful_end(job.objective);
        if is_useful || random.random::<f64>() * queue.excess < ADMITTED_EXCESS {
            return AdmissionDecision::admit(AdmissionOutcome::Late, figures);
        }
        AdmissionDecision {
            outcome: AdmissionOutcome::Refused,
            retry_after: backlog_retry_time(queue.wait(), random),
            figures,
        }
    }

    /// Work that goes before the job in the whole pool. Work with a later latest start, of a lower priority, or that
    /// was due to start before now goes behind it.
    fn pool_queue(&self, age: Duration, capacity: MilliCores, job: &JobDemand) -> QueueAhead {
        let class = load_digest::priority_class(job.priority);
        let digest = self.digest.iter().flat_map(|digest| &digest.backlog);
        let ahead: Vec<&PriorityBacklog> = digest
            .chain(&self.admitted)
            .filter(|(other, _)| **other <= class)
            .map(|(_, backlog)| backlog)
            .collect();
        let between = |from, to| -> f64 {
            ahead
                .iter()
                .map(|backlog| backlog.on_time_between(from, to))
                .sum()
        };
        // A capacity of one thousandth of a core does one core-millisecond a second.
        let rate = capacity.get() as f64;
        let slack = job.slack();
        let start = age.saturating_sub(STEADY_TIME);
        let end = start + slack;
        let drained = rate * start.as_secs_f64();
        let on_time = between(start, end)
            .min(between(Duration::ZERO, end) - drained)
            .max(0.0);
        // A burst whose latest start is well before the job's leaves room after it, unless more follows.
        let half = slack / 2;
        let second_half = between(start + half, end);
        let excess = (on_time / (rate * slack.as_secs_f64())).min(second_half / (rate * half.as_secs_f64()));
        QueueAhead {
            on_time,
            late: ahead.iter().map(|backlog| backlog.late as f64).sum(),
            rate,
            excess,
        }
    }

    /// Work of the job's own organisation that goes before it if the organisation has a limit, all of which is
    /// assumed to be usable on this pool.
    fn organisation_queue(&self, job: &JobDemand) -> Option<QueueAhead> {
        let rate = job.organisation_limit.get() as f64;
        let organisation = job.organisation.as_ref().filter(|_| rate > 0.0)?;
        let class = load_digest::priority_class(job.priority);
        let known = self.digest.as_ref()?.organisations.get(organisation);
        let known = known.into_iter().flatten().filter(|(other, _)| **other <= class);
        let known: f64 = known.map(|(_, work)| *work as f64).sum();
        let admitted = self.admitted_of.get(organisation).copied().unwrap_or_default();
        let on_time = known + admitted as f64;
        Some(QueueAhead {
            on_time,
            late: 0.0,
            rate,
            excess: on_time / (rate * job.slack().as_secs_f64()),
        })
    }

    fn record_admission(&mut self, age: Duration, job: &JobDemand) {
        let backlog = self.admitted.entry(load_digest::priority_class(job.priority));
        let start = age.saturating_sub(STEADY_TIME);
        backlog.or_default().add_on_time(start + job.slack(), job.work);
        if let Some(organisation) = &job.organisation
            && job.organisation_limit.get() > 0
        {
            let sum = self.admitted_of.entry(organisation.clone()).or_default();
            *sum = sum.saturating_add(job.work);
        }
    }
}

/// Work ahead of a job, in core-milliseconds, and the rate at which it can be worked off, in core-milliseconds a
/// second. `excess` is the work ahead until the job's latest start as a multiple of what can be done by then.
#[derive(Debug, Clone, Copy)]
struct QueueAhead {
    on_time: f64,
    late: f64,
    rate: f64,
    excess: f64,
}

impl QueueAhead {
    /// Time for which the job waits. It waits for late work only if it becomes late itself.
    fn wait(&self) -> Duration {
        let work = if self.excess > 1.0 {
            self.on_time + self.late
        } else {
            self.on_time
        };
        Duration::try_from_secs_f64(work / self.rate).unwrap_or(Duration::MAX / 4)
    }
}

/// Time after which a caller that was refused may come back, given the time until the backlog is worked off.
pub fn backlog_retry_time(wait: Duration, random: &mut impl Rng) -> Duration {
    spread_retry_time(wait.clamp(RETRY_BOUNDS.0, RETRY_BOUNDS.1), random)
}

/// Adds a random part and rounds to whole seconds, as the `retry-after` header needs. It is rounded up or down at
/// random, since rounding up alone would bring callers back together.
fn spread_retry_time(time: Duration, random: &mut impl Rng) -> Duration {
    let time = time.as_secs_f64() * (1.0 + random.random::<f64>() * RETRY_SPREAD);
    let is_rounded_up = random.random::<f64>() < time.fract();
    let seconds = time as u64 + u64::from(is_rounded_up);
    Duration::from_secs(seconds.max(1))
}

/// Outage of the store as observed by submissions, for the time to come back.
#[derive(Debug, Clone, Copy, Default)]
pub struct StoreOutage {
    since: Option<Instant>,
    last_seen: Option<Instant>,
}

impl StoreOutage {
    /// Records that the store answers.
    pub fn end(&mut self) {
        *self = Self::default();
    }

    /// Records that a submission failed because the store does not answer. Returns when its caller may come back:
    /// one second plus the time for which the store has been away, within bounds, plus a random part.
    pub fn observe(&mut self, now: Instant, random: &mut impl Rng) -> Duration {
        let is_new = self
            .last_seen
            .is_none_or(|seen| now.saturating_duration_since(seen) > OUTAGE_PAUSE);
        let since = self.since.filter(|_| !is_new).unwrap_or(now);
        self.since = Some(since);
        self.last_seen = Some(now);
        let away = now.saturating_duration_since(since);
        spread_retry_time((RETRY_BOUNDS.0 + away).min(MAX_OUTAGE_RETRY), random)
    }
}
