//! Admission of submissions in front of the task that stores them: by the limit of the organisation, and by forecast if
//! that is set.
//!
//! A refusal says that the job will never run, also to a caller that repeats a submission without an answer. Therefore
//! a job that would be refused is admitted all the same if it may have been stored: if this node handed it to the
//! store recently, if the store was failing just now, or if the store knows it.

use std::collections::{BTreeMap, VecDeque};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use slog::info;

use crate::dispatch::admission_forecast::{
    self, AdmissionDecision, AdmissionOutcome, JobDemand, StoreOutage,
};
use crate::dispatch::job_record::JobRecord;
use crate::dispatch::job_spec::StepSpec;
use crate::error::{Error, ErrorKind, Result};
use crate::model::amount::MilliCores;
use crate::model::id::{JobId, PoolId};
use crate::model::resource::ResourceSet;
use crate::node::digest_reader::DigestReader;
use crate::node::node_context::NodeContext;
use crate::node::store_keys;
use crate::request::submission_batcher::{SubmissionBatcher, SubmissionOutcome};

/// Time for which a job that was handed to the store counts as possibly stored, and for which nothing is refused after
/// the store failed. Writes without an answer were seen to take effect up to 5.5 s after they were sent.
const SETTLING_TIME: Duration = Duration::from_secs(10);

/// Time limit of the read that precedes a refusal.
const SUMMARY_TIMEOUT: Duration = Duration::from_millis(500);

/// `retry-after` of jobs that the whole limit of their organisation cannot hold; only the operators change that.
const LIMIT_RETRY_AFTER: Duration = Duration::from_secs(30);

/// Minimum time between two log lines about refusals for one pool.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// Jobs that may be stored without this node knowing it, each until some time after it was handed to the store.
#[derive(Debug, Default)]
struct UnsettledJobs {
    until: BTreeMap<JobId, Instant>,
    order: VecDeque<(Instant, JobId)>,
}

impl UnsettledJobs {
    fn insert(&mut self, now: Instant, job: &JobId) {
        while let Some((until, _)) = self.order.front()
            && *until <= now
            && let Some((until, job)) = self.order.pop_front()
        {
            if self.until.get(&job).is_some_and(|latest| *latest <= until) {
                self.until.remove(&job);
            }
        }
        let until = now + SETTLING_TIME;
        self.until.insert(job.clone(), until);
        self.order.push_back((until, job.clone()));
    }

    fn contains(&self, now: Instant, job: &JobId) -> bool {
        self.until.get(job).is_some_and(|until| now < *until)
    }
}

/// Refusals for one pool since the last log line.
#[derive(Debug, Default)]
struct RefusalCount {
    count: u64,
    logged_at: Option<Instant>,
}

#[derive(Debug, Default)]
struct GateState {
    unsettled: UnsettledJobs,
    outage: StoreOutage,
    store_failed_at: Option<Instant>,
    refusals: BTreeMap<PoolId, RefusalCount>,
}

/// Decides whether a submission is handed to the store.
#[derive(Debug)]
pub struct AdmissionGate {
    context: NodeContext,
    /// Present if submissions are admitted by forecast.
    reader: Option<DigestReader>,
    state: Mutex<GateState>,
}

impl AdmissionGate {
    /// Creates a gate. If submissions are admitted by forecast, a [`DigestReader`] starts on the current runtime.
    pub fn start(context: &NodeContext) -> Self {
        let forecasts = context.options.forecasts_admission;
        Self {
            context: context.clone(),
            reader: forecasts.then(|| DigestReader::start(context)),
            state: Mutex::new(GateState::default()),
        }
    }

    /// Stores a job through `batcher` unless the limit of its organisation cannot hold it or the forecast refuses it.
    /// An amount of 0 in `limit` stands for no limit.
    ///
    /// # Errors
    /// `limit_reached` if the limit cannot hold the job, `overloaded` if the forecast refuses it, and the errors of
    /// [`SubmissionBatcher::submit`].
    pub async fn submit(
        &self,
        batcher: &SubmissionBatcher,
        record: JobRecord,
        limit: &ResourceSet,
        deadline: Instant,
    ) -> Result<SubmissionOutcome> {
        self.check_limit(&record, limit).await?;
        if let Some(reader) = &self.reader {
            self.check_forecast(reader, &record, limit.cores).await?;
        }
        let job = record.id.clone();
        self.lock().unsettled.insert(self.context.clock.now(), &job);
        let result = batcher.submit(record, deadline).await;
        self.settle(&job, result)
    }

    fn lock(&self) -> MutexGuard<'_, GateState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Refuses a job with a step of which not even one start fits the whole limit of its organisation: it would never
    /// run.
    async fn check_limit(&self, record: &JobRecord, limit: &ResourceSet) -> Result<()> {
        let steps = record.spec.steps.iter().map(StepSpec::start_demand);
        let mut exceeding = steps
            .enumerate()
            .filter(|(_, demand)| !demand.fits_within(limit, limit));
        let Some((number, demand)) = exceeding.next() else {
            return Ok(());
        };
        if self.may_be_stored(&record.id).await {
            return Ok(());
        }
        let message = format!(
            "the job was not accepted and will not run: a start of step {number} needs {demand}, and the organisation \
             may use {limit} in all (0 is no limit)"
        );
        Err(Error::new(ErrorKind::LimitReached, message).with_retry_after(LIMIT_RETRY_AFTER))
    }

    async fn check_forecast(
        &self,
        reader: &DigestReader,
        record: &JobRecord,
        limit: MilliCores,
    ) -> Result<()> {
        let pool = record.pool.as_str();
        let metrics = &self.context.metrics;
        let Some(demand) = JobDemand::new(record, limit) else {
            metrics.record_admission(pool, &AdmissionOutcome::InTime.to_string());
            return Ok(());
        };
        let mut decision = reader.decide(&record.pool, &demand);
        if decision.outcome == AdmissionOutcome::Refused && self.may_be_stored(&record.id).await {
            decision.outcome = AdmissionOutcome::Late;
        }
        metrics.record_admission(pool, &decision.outcome.to_string());
        if decision.outcome != AdmissionOutcome::NoDigest {
            metrics.observe_digest_age(decision.figures.age);
        }
        if decision.outcome != AdmissionOutcome::Refused {
            return Ok(());
        }
        self.log_refusal(record, &demand, &decision);
        let message =
            "the job was not accepted and will not run: it could not end within three times its objective";
        Err(Error::new(ErrorKind::Overloaded, message).with_retry_after(decision.retry_after))
    }

    /// Whether an earlier submission of the job may have stored it, or may still do so.
    async fn may_be_stored(&self, job: &JobId) -> bool {
        let now = self.context.clock.now();
        {
            let state = self.lock();
            let is_failing = state
                .store_failed_at
                .is_some_and(|at| now.saturating_duration_since(at) < SETTLING_TIME);
            if is_failing || state.unsettled.contains(now, job) {
                return true;
            }
        }
        if self.context.store.is_unreachable() {
            return true;
        }
        let key = store_keys::summary_key(job);
        if let Ok(item) = self.context.store.get(&key, SUMMARY_TIMEOUT).await {
            return item.is_some();
        }
        self.lock().store_failed_at = Some(now);
        true
    }

    /// Notes what the outcome tells about the store. If submissions are admitted by forecast, it also sets the time to
    /// come back of a refusal by the store.
    fn settle(&self, job: &JobId, result: Result<SubmissionOutcome>) -> Result<SubmissionOutcome> {
        let now = self.context.clock.now();
        let mut state = self.lock();
        let error = match result {
            Ok(outcome) => {
                state.outage.end();
                // From now on the store knows the job.
                state.unsettled.until.remove(job);
                return Ok(outcome);
            }
            Err(error) => error,
        };
        match error.kind() {
            ErrorKind::Overloaded => {}
            // The store knows that the job never runs.
            ErrorKind::JobCancelled => drop(state.unsettled.until.remove(job)),
            _ => state.store_failed_at = Some(now),
        }
        if self.reader.is_none() {
            return Err(error);
        }
        match error.kind() {
            ErrorKind::StoreUnavailable => {
                let time = state.outage.observe(now, &mut rand::rng());
                Err(error.with_retry_after(time))
            }
            ErrorKind::Overloaded => {
                let time = admission_forecast::backlog_retry_time(Duration::ZERO, &mut rand::rng());
                Err(error.with_retry_after(time))
            }
            _ => Err(error),
        }
    }

    /// Logs a refusal with the figures of the digest, at most once a second for each pool.
    fn log_refusal(&self, record: &JobRecord, demand: &JobDemand, decision: &AdmissionDecision) {
        let now = self.context.clock.now();
        let count = {
            let mut state = self.lock();
            let refusals = state.refusals.entry(record.pool.clone()).or_default();
            refusals.count += 1;
            let is_due = refusals
                .logged_at
                .is_none_or(|at| now.saturating_duration_since(at) >= LOG_INTERVAL);
            if !is_due {
                return;
            }
            refusals.logged_at = Some(now);
            std::mem::take(&mut refusals.count)
        };
        let figures = &decision.figures;
        info!(self.context.log, "submissions refused by forecast"; "pool" => %record.pool, "count" => count,
            "job" => %record.id, "queue" => %record.queue, "priority" => demand.priority,
            "objective_ms" => demand.objective.as_millis() as u64, "wait_ms" => figures.wait.as_millis() as u64,
            "ahead_core_ms" => figures.work_ahead as u64, "drain_core_ms_s" => figures.drain_rate,
            "capacity_millicores" => %figures.capacity, "expected_millicores" => %figures.expected_capacity,
            "oldest_wait_ms" => figures.oldest_wait_ms, "digest_age_ms" => figures.age.as_millis() as u64,
            "digest_term" => %figures.term, "retry_after_s" => decision.retry_after.as_secs());
    }
}
