//! Admission by forecast, without I/O: one failure a test.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use figloft::dispatch::admission_forecast::{
    self, AdmissionDecision, AdmissionForecast, AdmissionOutcome, JobDemand, StoreOutage,
};
use figloft::dispatch::job_record::{JobRecord, QueueRule};
use figloft::dispatch::job_spec::{JobSchedule, JobSpec, StepSpec};
use figloft::dispatch::load_digest::{GrowthDigest, LoadDigest};
use figloft::model::amount::{MemoryMib, MilliCores};
use figloft::model::id::{JobId, LeaderTerm, OrganisationId, PoolId, QueueId};
use figloft::model::resource::ResourceSet;
use figloft::model::unix_time::UnixMillis;
use figloft::node::digest_reader;
use figloft::node::store_keys;
use figloft::platform::store::StoreItem;
use rand::SeedableRng;
use rand::rngs::StdRng;

const WALL: UnixMillis = UnixMillis::new(1_000_000);

/// Cores of the pool and of the whole fleet in these tests: nothing is spare.
const CORES: u64 = 100;

fn pool() -> PoolId {
    PoolId::new("pool-a").expect("pool")
}

fn organisation() -> OrganisationId {
    OrganisationId::new("org-a").expect("organisation")
}

/// A job of one step with an objective of 2 s for tasks of 1 s.
fn record(tasks: u32, estimate_ms: u64) -> JobRecord {
    JobRecord {
        id: JobId::new("0123456789abcdef").expect("job"),
        pool: pool(),
        queue: QueueId::new("r-1").expect("queue"),
        organisation: Some(organisation()),
        rule: QueueRule {
            priority: 1,
            max_attempts: 4,
            slack_factor: 1.5,
            target_latency: Duration::from_millis(500),
            advice: None,
        },
        accepted_at: WALL,
        spec: JobSpec {
            payload: "text".into(),
            steps: vec![StepSpec {
                tasks,
                demand: ResourceSet::new(MilliCores::new(1_000), MemoryMib::new(100)),
                estimate: Duration::from_millis(estimate_ms),
                ..StepSpec::default()
            }],
            schedule: None,
        },
    }
}

fn demand(record: &JobRecord) -> JobDemand {
    JobDemand::new(record, MilliCores::default()).expect("a job with estimates")
}

/// Digest of a full pool with this many seconds of work that is on time, as a multiple of what the pool does until the
/// latest start of a usual job, and of late work.
fn digest(term: u64, at: u64, on_time_s: u64, late_s: u64) -> LoadDigest {
    let mut digest = LoadDigest {
        at: UnixMillis::new(at),
        term: LeaderTerm::new(term),
        drain_rate: CORES * 1_000,
        capacity: MilliCores::new(CORES * 1_000),
        used: MilliCores::new(CORES * 1_000),
        workers: 10,
        largest_worker: MilliCores::new(CORES * 100),
        oldest_wait_ms: 5_000,
        ..LoadDigest::default()
    };
    let backlog = digest.backlog_mut(1);
    for slack_ms in [250, 600] {
        backlog.add_on_time(Duration::from_millis(slack_ms), on_time_s * CORES * 1_000 / 2);
    }
    backlog.late = late_s * CORES * 1_000;
    digest
}

fn growth(at: u64, workers: u32) -> GrowthDigest {
    GrowthDigest {
        at: UnixMillis::new(at),
        term: LeaderTerm::new(1),
        workers: BTreeMap::from([(pool(), workers)]),
    }
}

struct Instance {
    now: Instant,
    forecast: AdmissionForecast,
    random: StdRng,
}

impl Instance {
    fn new() -> Self {
        Self {
            now: Instant::now(),
            forecast: AdmissionForecast::new(),
            random: StdRng::seed_from_u64(7),
        }
    }

    fn with(digest: LoadDigest) -> Self {
        let mut instance = Self::new();
        instance.read(digest, WALL.get(), 10);
        instance
    }

    fn read(&mut self, digest: LoadDigest, growth_at: u64, workers: u32) {
        let digests = BTreeMap::from([(pool(), digest)]);
        self.forecast
            .set_digests(self.now, digests, Some(growth(growth_at, workers)));
    }

    fn decide_at(&mut self, wall: u64, job: &JobDemand) -> AdmissionDecision {
        let wall = UnixMillis::new(wall);
        self.forecast
            .decide(self.now, wall, &pool(), job, &mut self.random)
    }

    /// Outcomes of many submissions, each by an instance in this state.
    fn refused_percent(&self, wall: u64, job: &JobDemand) -> usize {
        let mut random = StdRng::seed_from_u64(11);
        let mut refused = 0;
        for _ in 0..100 {
            let mut forecast = self.forecast.clone();
            let decision = forecast.decide(self.now, UnixMillis::new(wall), &pool(), job, &mut random);
            refused += usize::from(decision.outcome == AdmissionOutcome::Refused);
        }
        refused
    }
}

/// Guards against admitting work without end: most of what cannot end within three times its objective is refused,
/// and a part is admitted, so that the pool never lacks work that is on time.
#[test]
fn hopeless_submissions_are_refused_in_part() {
    let instance = Instance::with(digest(1, WALL.get(), 20, 0));
    let refused = instance.refused_percent(WALL.get(), &demand(&record(1, 1_000)));
    assert!((50..100).contains(&refused), "{refused} % refused");
}

/// Guards against refusals for late work, which a new job does not wait for.
#[test]
fn late_work_alone_refuses_nothing() {
    let instance = Instance::with(digest(1, WALL.get(), 0, 100));
    assert_eq!(
        instance.refused_percent(WALL.get(), &demand(&record(1, 1_000))),
        0
    );
}

/// Guards against refusals of jobs that would be late, but still of use.
#[test]
fn late_but_useful_jobs_are_admitted() {
    let instance = Instance::with(digest(1, WALL.get(), 3, 1));
    let mut late = instance.forecast.clone();
    let job = demand(&record(1, 1_000));
    let decision = late.decide(instance.now, WALL, &pool(), &job, &mut StdRng::seed_from_u64(1));
    assert_eq!(decision.outcome, AdmissionOutcome::Late);
    assert_eq!(instance.refused_percent(WALL.get(), &job), 0);
}

/// Guards against refusals by a pool that is about to grow: capacity to come counts.
#[test]
fn capacity_to_come_counts() {
    let mut instance = Instance::with(digest(1, WALL.get(), 20, 0));
    let job = demand(&record(1, 1_000));
    instance.read(digest(1, WALL.get() + 1, 20, 0), WALL.get() + 1, 100);
    assert_eq!(instance.refused_percent(WALL.get() + 1, &job), 0);
}

/// Guards against refusals while the capacity that the pool could get is unknown.
#[test]
fn unknown_growth_admits() {
    let mut instance = Instance::new();
    let digests = BTreeMap::from([(pool(), digest(1, WALL.get(), 20, 0))]);
    instance.forecast.set_digests(instance.now, digests, None);
    assert_eq!(
        instance.refused_percent(WALL.get(), &demand(&record(1, 1_000))),
        0
    );
}

/// Guards against decisions on figures that no longer hold: a digest older than 3 s counts as missing, by the clock in
/// it and also by the time since it was first seen.
#[test]
fn old_digest_admits() {
    let mut instance = Instance::with(digest(1, WALL.get(), 100, 100));
    let job = demand(&record(1, 1_000));
    assert!(instance.refused_percent(WALL.get() + 1_000, &job) > 0);
    assert_eq!(instance.refused_percent(WALL.get() + 3_001, &job), 0);
    instance.now += Duration::from_millis(3_001);
    let decision = instance.decide_at(WALL.get(), &job);
    assert_eq!(decision.outcome, AdmissionOutcome::NoDigest);
}

/// Guards against refusals without a digest, also of a pool that has one no longer.
#[test]
fn missing_digest_admits() {
    let mut instance = Instance::new();
    let job = demand(&record(1, 1_000));
    assert_eq!(
        instance.decide_at(WALL.get(), &job).outcome,
        AdmissionOutcome::NoDigest
    );
}

/// Guards against refusals after the leader was lost between its digest and a submission: the store has removed the
/// key with the leader's lease.
#[test]
fn digest_of_a_lost_leader_is_dropped() {
    let mut instance = Instance::with(digest(1, WALL.get(), 100, 100));
    let growth = Some(growth(WALL.get(), 10));
    instance
        .forecast
        .set_digests(instance.now, BTreeMap::new(), growth);
    let decision = instance.decide_at(WALL.get(), &demand(&record(1, 1_000)));
    assert_eq!(decision.outcome, AdmissionOutcome::NoDigest);
}

/// Guards against a stale read that brings back the digest of a former leader: the higher term wins.
#[test]
fn digest_of_an_earlier_term_is_ignored() {
    let mut instance = Instance::with(digest(2, WALL.get(), 0, 0));
    instance.read(digest(1, WALL.get() + 10, 100, 100), WALL.get(), 10);
    assert_eq!(
        instance.refused_percent(WALL.get(), &demand(&record(1, 1_000))),
        0
    );
}

/// Guards against a malformed digest that ends the reader, hides the digests of other pools or refuses submissions.
#[test]
fn unreadable_digest_admits() {
    let item = |key: &str, value: &str| StoreItem {
        key: key.into(),
        value: value.as_bytes().to_vec().into(),
        revision: 1_u64.to_string().parse().expect("revision"),
    };
    let good = store_keys::encode(&digest(1, WALL.get(), 1, 1)).expect("digest");
    let items = [
        item("load/pool-a", "{\"backlog\": 7}"),
        item("load/pool-b", std::str::from_utf8(&good).expect("text")),
        item("load/-", "{}"),
        item("load/fleet/growth", "x"),
    ];
    let read = digest_reader::decode_digests(&items);
    assert_eq!(
        read.pools.keys().map(PoolId::as_str).collect::<Vec<_>>(),
        ["pool-b"]
    );
    assert_eq!(read.growth, None);
    assert_eq!(read.unreadable, 3);
}

/// Guards against refusals or endless trust by clocks that differ: a digest from the future has the age zero and ends
/// 3 s after it was first seen; one from a clock that is far behind counts as missing.
#[test]
fn clocks_that_differ() {
    let mut instance = Instance::with(digest(1, WALL.get() + 8_000, 100, 100));
    let job = demand(&record(1, 1_000));
    assert_eq!(instance.decide_at(WALL.get(), &job).figures.age, Duration::ZERO);
    instance.now += Duration::from_millis(3_001);
    assert_eq!(
        instance.decide_at(WALL.get(), &job).outcome,
        AdmissionOutcome::NoDigest
    );
    let mut behind = Instance::with(digest(1, WALL.get() - 8_000, 100, 100));
    assert_eq!(
        behind.decide_at(WALL.get(), &job).outcome,
        AdmissionOutcome::NoDigest
    );
}

/// Guards against admitting a whole burst between two digests: what was admitted here counts until the next digest.
#[test]
fn burst_between_two_digests() {
    let mut instance = Instance::with(digest(1, WALL.get(), 1, 0));
    let job = demand(&record(10, 1_000));
    let count = |instance: &mut Instance, at: u64| {
        let decisions = (0..400).map(|_| instance.decide_at(at, &job).outcome);
        decisions
            .filter(|outcome| *outcome == AdmissionOutcome::Refused)
            .count()
    };
    let in_burst = count(&mut instance, WALL.get() + 100);
    assert!(in_burst > 100, "{in_burst} of 400 refused");
    instance.read(digest(1, WALL.get() + 250, 0, 0), WALL.get() + 250, 10);
    assert_eq!(
        instance.decide_at(WALL.get() + 250, &job).outcome,
        AdmissionOutcome::InTime
    );
}

/// Guards against refusing a huge job for its own size: returning later would not help it.
#[test]
fn huge_job_is_not_refused_for_its_size() {
    let mut instance = Instance::with(digest(1, WALL.get(), 0, 0));
    let job = demand(&record(10_000, 60_000));
    assert_eq!(
        instance.decide_at(WALL.get(), &job).outcome,
        AdmissionOutcome::InTime
    );
}

/// Guards against forecasts for jobs that tell too little, and for those that are always admitted.
#[test]
fn jobs_without_a_forecast() {
    assert_eq!(JobDemand::new(&record(1, 0), MilliCores::default()), None);
    let mut lasting = record(1, 1_000);
    lasting.spec.steps[0].is_long_running = true;
    assert_eq!(JobDemand::new(&lasting, MilliCores::default()), None);
    let mut scheduled = record(1, 1_000);
    scheduled.spec.schedule = Some(JobSchedule {
        first: WALL,
        interval: Duration::from_secs(1),
        count: 3,
    });
    assert_eq!(JobDemand::new(&scheduled, MilliCores::default()), None);
}

/// Guards against an organisation at its cap that is admitted without end, and against refusing others for it.
#[test]
fn organisation_at_its_cap() {
    let mut digest = digest(1, WALL.get(), 0, 0);
    digest.add_organisation_work(&organisation(), 1, 10 * 60 * 1_000);
    let instance = Instance::with(digest);
    let record = record(1, 1_000);
    let own = JobDemand::new(&record, MilliCores::new(10_000)).expect("demand");
    assert!(instance.refused_percent(WALL.get(), &own) > 50);
    let mut other = own.clone();
    other.organisation = Some(OrganisationId::new("org-b").expect("organisation"));
    assert_eq!(instance.refused_percent(WALL.get(), &other), 0);
    assert_eq!(instance.refused_percent(WALL.get(), &demand(&record)), 0);
}

/// Guards against work of a lower priority, or with a later latest start, that refuses a job which goes before it.
#[test]
fn work_behind_a_job_does_not_count() {
    let mut busy = digest(1, WALL.get(), 0, 0);
    busy.backlog_mut(2)
        .add_on_time(Duration::from_millis(400), 100 * CORES * 1_000);
    busy.backlog_mut(1)
        .add_on_time(Duration::from_secs(30), 100 * CORES * 1_000);
    let instance = Instance::with(busy);
    assert_eq!(
        instance.refused_percent(WALL.get(), &demand(&record(1, 1_000))),
        0
    );
}

/// Guards against a pool that refuses work while it has free capacity, held back by labels or memory.
#[test]
fn pool_with_free_capacity_refuses_nothing() {
    let mut digest = digest(1, WALL.get(), 100, 100);
    digest.used = MilliCores::new(CORES * 500);
    let instance = Instance::with(digest);
    assert_eq!(
        instance.refused_percent(WALL.get(), &demand(&record(1, 1_000))),
        0
    );
}

/// Guards against callers that all return in the same second, and against times beyond the bounds.
#[test]
fn returns_spread() {
    let mut random = StdRng::seed_from_u64(3);
    let mut seconds = BTreeMap::new();
    for _ in 0..300 {
        let time = admission_forecast::backlog_retry_time(Duration::from_secs(4), &mut random);
        assert_eq!(time.subsec_nanos(), 0);
        *seconds.entry(time.as_secs()).or_insert(0) += 1;
    }
    assert_eq!(seconds.keys().copied().collect::<Vec<u64>>(), [4, 5, 6]);
    assert!(seconds.values().all(|count| *count > 30), "{seconds:?}");
    let longest = admission_forecast::backlog_retry_time(Duration::MAX, &mut random);
    assert!((5..=8).contains(&longest.as_secs()));
    let shortest = admission_forecast::backlog_retry_time(Duration::ZERO, &mut random);
    assert!((1..=2).contains(&shortest.as_secs()));
}

/// Guards against returns every second in a long outage of the store, and against an outage that never ends.
#[test]
fn returns_follow_the_outage_of_the_store() {
    let mut random = StdRng::seed_from_u64(5);
    let mut outage = StoreOutage::default();
    let start = Instant::now();
    let mut longest = [0; 6];
    for (second, longest) in (0..).zip(&mut longest) {
        for _ in 0..50 {
            let at = start + Duration::from_secs(second);
            *longest = outage.observe(at, &mut random).as_secs().max(*longest);
        }
    }
    assert_eq!(longest[0], 2);
    assert_eq!(longest[5], 6);
    outage.end();
    let at = start + Duration::from_secs(6);
    assert!(outage.observe(at, &mut random) <= Duration::from_secs(2));
}

/// Guards against digests that outgrow 2 KB with 20 organisations and 3 priorities.
#[test]
fn digest_is_small() {
    let mut digest = digest(1, 1_784_004_049_907, 10, 10);
    for number in 0..40 {
        let id = OrganisationId::new(format!("organisation-{number}")).expect("organisation");
        for priority in 0..3 {
            digest.add_organisation_work(&id, priority, 1_000_000 + number);
            let slack = Duration::from_millis(number * 1_000);
            digest.backlog_mut(priority).add_on_time(slack, 12_345_678);
        }
    }
    digest.trim();
    let size = store_keys::encode(&digest).expect("digest").len();
    assert_eq!(digest.organisations.len(), 20);
    assert!(size <= 2_048, "{size} bytes");
}
