//! Decides from the failures of tasks whether a job or a worker is faulty.
//!
//! The evidence is the number of distinct workers on which a job fails, and the number of distinct jobs and
//! teams that fail on a worker. A failure of a job that also fails on other workers says little about the
//! worker, and a failure on a worker that also fails other jobs says little about the job.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use crate::model::id::{InstanceId, JobId, PoolId, TeamId};

/// A job is rejected after it failed on this many distinct workers that run other jobs successfully.
const MIN_REJECT_WORKERS: usize = 3;

/// Distinct jobs that have to fail on a worker before it is quarantined.
const MIN_QUARANTINE_JOBS: usize = 4;

/// These jobs have to belong to this many distinct teams, so that one team's faulty release quarantines no
/// worker.
const MIN_QUARANTINE_TEAMS: usize = 2;

/// Largest part of a pool that may be quarantined, in thousandths, so that a burst of failures can't empty
/// the pool.
const MAX_QUARANTINED_PERMILLE: usize = 200;

/// Duration of the first quarantine. It doubles each time the worker fails its probation.
const FIRST_QUARANTINE: Duration = Duration::from_mins(10);

/// Maximum number of doublings of the quarantine time.
const MAX_DOUBLINGS: u32 = 4;

/// Distinct jobs that a worker has to complete to end its probation.
const PROBATION_SUCCESSES: usize = 2;

/// Time for which a success or failure counts as evidence.
const EVIDENCE_RETENTION: Duration = Duration::from_mins(10);

/// Completed jobs that are kept as evidence per worker, which bounds the memory for workers that run many
/// short jobs.
const MAX_SUCCESSES: usize = 32;

/// Attempts after which a job ends although the evidence doesn't show that it is faulty. The back-off between
/// attempts grows to a minute, so that this takes longer than a burst of failures lasts.
const MAX_ATTEMPTS: u32 = 30;

/// Delay before the second attempt; doubles for each further one.
const FIRST_BACKOFF: Duration = Duration::from_millis(250);

/// Maximum delay before an attempt.
const MAX_BACKOFF: Duration = Duration::from_mins(1);

/// Decision about a job that failed. `failed_on` lists the workers on which it failed.
#[derive(Debug, Clone, PartialEq, Eq)]
#[expect(missing_docs, reason = "the type's comment describes the fields")]
pub enum JobVerdict {
    /// The job is tried again after the delay, and not on the workers on which it failed.
    Retry {
        delay: Duration,
        avoided_workers: BTreeSet<InstanceId>,
    },
    /// The job is faulty: it failed on several workers that run other jobs successfully, which are the ones
    /// listed.
    Rejected { failed_on: BTreeSet<InstanceId> },
    /// The job reached the maximum number of attempts without evidence that it is faulty.
    Exhausted { failed_on: BTreeSet<InstanceId> },
}

/// Decision about a worker.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum WorkerVerdict {
    /// The worker receives no tasks.
    Quarantine(InstanceId),
    /// The worker receives one task at a time.
    Probation(InstanceId),
    /// The worker receives tasks without restriction.
    Clear(InstanceId),
}

/// Quarantine state of a worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum QuarantineState {
    /// Receives tasks without restriction.
    #[default]
    Clear,
    /// Receives no tasks until the given time.
    Quarantined(Instant),
    /// Receives one task at a time.
    OnProbation,
}

#[derive(Debug, Clone, Default)]
struct WorkerEvidence {
    pool: Option<PoolId>,
    failed: BTreeMap<JobId, (TeamId, Instant)>,
    succeeded: BTreeMap<JobId, Instant>,
    state: QuarantineState,
    quarantine_count: u32,
}

impl WorkerEvidence {
    fn expire(&mut self, now: Instant) {
        let is_recent = |at: &Instant| now.saturating_duration_since(*at) <= EVIDENCE_RETENTION;
        self.failed.retain(|_, (_, at)| is_recent(at));
        self.succeeded.retain(|_, at| is_recent(at));
    }

    fn add_success(&mut self, now: Instant, job: &JobId) {
        self.succeeded.insert(job.clone(), now);
        if self.succeeded.len() > MAX_SUCCESSES {
            let oldest = self.succeeded.iter().min_by_key(|(_, at)| **at);
            if let Some(oldest) = oldest.map(|(job, _)| job.clone()) {
                self.succeeded.remove(&oldest);
            }
        }
    }

    /// Whether more of the other jobs succeed than fail on this worker.
    fn succeeds_with_others(&self, job: &JobId) -> bool {
        let succeeded = self.succeeded.keys().filter(|other| *other != job).count();
        let failed = self.failed.keys().filter(|other| *other != job).count();
        succeeded > failed
    }
}

#[derive(Debug, Clone, Default)]
struct JobEvidence {
    failed_on: BTreeSet<InstanceId>,
    attempts: u32,
}

/// Evidence against jobs and workers, and the workers in quarantine, for all pools of the fleet.
#[derive(Debug, Clone, Default)]
pub struct FailureTracker {
    workers: BTreeMap<InstanceId, WorkerEvidence>,
    jobs: BTreeMap<JobId, JobEvidence>,
    pool_sizes: BTreeMap<PoolId, usize>,
    quarantined: BTreeMap<PoolId, BTreeSet<InstanceId>>,
    /// Quarantined workers by the time at which their probation starts.
    releases: BTreeSet<(Instant, InstanceId)>,
}

impl FailureTracker {
    /// Creates a tracker without evidence.
    pub fn new() -> Self {
        Self::default()
    }

    /// Sets the number of instances of a pool. If more of the pool is now quarantined than may be, the
    /// workers whose quarantine would end first start their probation at once.
    pub fn set_pool_size(&mut self, pool: &PoolId, size: usize) -> Vec<WorkerVerdict> {
        self.pool_sizes.insert(pool.clone(), size);
        let mut verdicts = Vec::new();
        while self.quarantined_count(pool) * 1_000 > size * MAX_QUARANTINED_PERMILLE {
            let listed = &self.quarantined[pool];
            let first = self
                .releases
                .iter()
                .find(|(_, instance)| listed.contains(instance));
            let Some((_, instance)) = first.cloned() else {
                break;
            };
            verdicts.push(self.start_probation(&instance));
        }
        verdicts
    }

    /// Quarantine state of a worker; `Clear` for an unknown one.
    pub fn quarantine_state(&self, instance: &InstanceId) -> QuarantineState {
        let evidence = self.workers.get(instance);
        evidence.map_or_else(QuarantineState::default, |evidence| evidence.state)
    }

    /// Number of quarantined workers of a pool.
    pub fn quarantined_count(&self, pool: &PoolId) -> usize {
        self.quarantined.get(pool).map_or(0, BTreeSet::len)
    }

    /// Records that a task completed.
    pub fn record_success(
        &mut self,
        now: Instant,
        pool: &PoolId,
        instance: &InstanceId,
        job: &JobId,
    ) -> Vec<WorkerVerdict> {
        self.jobs.remove(job);
        let evidence = self.evidence(now, pool, instance);
        evidence.failed.remove(job);
        evidence.add_success(now, job);
        let is_done = evidence.succeeded.len() >= PROBATION_SUCCESSES;
        if evidence.state == QuarantineState::OnProbation && is_done {
            return self.clear(instance);
        }
        Vec::new()
    }

    /// Records that a task failed, and decides about the job and the worker.
    pub fn record_failure(
        &mut self,
        now: Instant,
        pool: &PoolId,
        instance: &InstanceId,
        job: &JobId,
        team: &TeamId,
    ) -> (JobVerdict, Vec<WorkerVerdict>) {
        let evidence = self.evidence(now, pool, instance);
        evidence.failed.insert(job.clone(), (team.clone(), now));
        let evidence = self.jobs.entry(job.clone()).or_default();
        evidence.failed_on.insert(instance.clone());
        evidence.attempts += 1;
        let verdict = self.decide_job(job);
        let verdicts = if matches!(verdict, JobVerdict::Rejected { .. }) {
            self.retract_evidence(job)
        } else {
            self.decide_worker(now, pool, instance)
        };
        (verdict, verdicts)
    }

    /// Removes the evidence of a cancelled job.
    pub fn forget_job(&mut self, job: &JobId) {
        self.jobs.remove(job);
    }

    /// Removes a worker that left its pool.
    pub fn forget_worker(&mut self, instance: &InstanceId) {
        self.unlist_quarantine(instance);
        self.workers.remove(instance);
    }

    /// Starts the probation of workers whose quarantine time is over.
    pub fn end_due_quarantines(&mut self, now: Instant) -> Vec<WorkerVerdict> {
        let mut verdicts = Vec::new();
        while let Some((at, instance)) = self.releases.first()
            && *at <= now
        {
            let instance = instance.clone();
            verdicts.push(self.start_probation(&instance));
        }
        verdicts
    }

    fn start_probation(&mut self, instance: &InstanceId) -> WorkerVerdict {
        self.unlist_quarantine(instance);
        if let Some(evidence) = self.workers.get_mut(instance) {
            evidence.state = QuarantineState::OnProbation;
            evidence.failed.clear();
            evidence.succeeded.clear();
        }
        WorkerVerdict::Probation(instance.clone())
    }

    /// Ends a quarantine or probation, and removes the recorded failures. Operators can request it too.
    pub fn clear(&mut self, instance: &InstanceId) -> Vec<WorkerVerdict> {
        self.unlist_quarantine(instance);
        if let Some(evidence) = self.workers.get_mut(instance) {
            evidence.state = QuarantineState::Clear;
            evidence.quarantine_count = 0;
            evidence.failed.clear();
        }
        vec![WorkerVerdict::Clear(instance.clone())]
    }

    fn evidence(&mut self, now: Instant, pool: &PoolId, instance: &InstanceId) -> &mut WorkerEvidence {
        let evidence = self.workers.entry(instance.clone()).or_default();
        evidence.pool = Some(pool.clone());
        evidence.expire(now);
        evidence
    }

    fn decide_job(&self, job: &JobId) -> JobVerdict {
        let evidence = &self.jobs[job];
        let healthy = evidence.failed_on.iter().filter(|instance| {
            let worker = self.workers.get(*instance);
            worker.is_some_and(|worker| worker.succeeds_with_others(job))
        });
        let healthy: BTreeSet<InstanceId> = healthy.cloned().collect();
        if healthy.len() >= MIN_REJECT_WORKERS {
            return JobVerdict::Rejected { failed_on: healthy };
        }
        let failed_on = evidence.failed_on.clone();
        if evidence.attempts >= MAX_ATTEMPTS {
            return JobVerdict::Exhausted { failed_on };
        }
        let doublings = (evidence.attempts - 1).min(16);
        let delay = FIRST_BACKOFF.saturating_mul(1 << doublings).min(MAX_BACKOFF);
        JobVerdict::Retry {
            delay,
            avoided_workers: failed_on,
        }
    }

    /// Removes a rejected job from the evidence against workers, and ends quarantines that the remaining
    /// evidence doesn't justify.
    fn retract_evidence(&mut self, job: &JobId) -> Vec<WorkerVerdict> {
        let Some(evidence) = self.jobs.remove(job) else {
            return Vec::new();
        };
        let mut verdicts = Vec::new();
        for instance in &evidence.failed_on {
            let Some(worker) = self.workers.get_mut(instance) else {
                continue;
            };
            worker.failed.remove(job);
            let is_quarantined = matches!(worker.state, QuarantineState::Quarantined(_));
            if is_quarantined && !self.needs_quarantine(instance) {
                verdicts.extend(self.clear(instance));
            }
        }
        verdicts
    }

    /// Whether enough distinct jobs of enough teams failed on the worker, and fewer than half as many
    /// succeeded. Jobs that may be faulty themselves are left out.
    fn needs_quarantine(&self, instance: &InstanceId) -> bool {
        let Some(worker) = self.workers.get(instance) else {
            return false;
        };
        let counted = worker
            .failed
            .iter()
            .filter(|(job, _)| !self.is_job_suspect(job, instance));
        let teams: Vec<&TeamId> = counted.map(|(_, (team, _))| team).collect();
        let distinct: BTreeSet<&TeamId> = teams.iter().copied().collect();
        teams.len() >= MIN_QUARANTINE_JOBS
            && distinct.len() >= MIN_QUARANTINE_TEAMS
            && teams.len() > 2 * worker.succeeded.len()
    }

    /// Whether a job also failed on another worker that runs other jobs successfully, so that the job may be
    /// faulty.
    fn is_job_suspect(&self, job: &JobId, instance: &InstanceId) -> bool {
        let Some(evidence) = self.jobs.get(job) else {
            return false;
        };
        let others = evidence.failed_on.iter().filter(|other| *other != instance);
        let mut workers = others.filter_map(|other| self.workers.get(other));
        workers.any(|worker| worker.succeeds_with_others(job))
    }

    fn decide_worker(&mut self, now: Instant, pool: &PoolId, instance: &InstanceId) -> Vec<WorkerVerdict> {
        let state = self.quarantine_state(instance);
        if matches!(state, QuarantineState::Quarantined(_)) {
            return Vec::new();
        }
        let fails_probation = state == QuarantineState::OnProbation;
        if !fails_probation && !self.needs_quarantine(instance) {
            return Vec::new();
        }
        if !self.may_quarantine_more(pool) {
            return Vec::new();
        }
        self.quarantine(now, pool, instance);
        vec![WorkerVerdict::Quarantine(instance.clone())]
    }

    fn may_quarantine_more(&self, pool: &PoolId) -> bool {
        let size = self.pool_sizes.get(pool).copied().unwrap_or(0);
        (self.quarantined_count(pool) + 1) * 1_000 <= size * MAX_QUARANTINED_PERMILLE
    }

    fn quarantine(&mut self, now: Instant, pool: &PoolId, instance: &InstanceId) {
        let evidence = self.evidence(now, pool, instance);
        let doublings = evidence.quarantine_count.min(MAX_DOUBLINGS);
        let until = now + FIRST_QUARANTINE * (1 << doublings);
        evidence.quarantine_count += 1;
        evidence.state = QuarantineState::Quarantined(until);
        self.releases.insert((until, instance.clone()));
        let quarantined = self.quarantined.entry(pool.clone()).or_default();
        quarantined.insert(instance.clone());
    }

    fn unlist_quarantine(&mut self, instance: &InstanceId) {
        let Some(evidence) = self.workers.get(instance) else {
            return;
        };
        if let QuarantineState::Quarantined(until) = evidence.state {
            self.releases.remove(&(until, instance.clone()));
        }
        if let Some(listed) = evidence
            .pool
            .as_ref()
            .and_then(|pool| self.quarantined.get_mut(pool))
        {
            listed.remove(instance);
        }
    }
}
