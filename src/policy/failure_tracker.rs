//! Decides whether the job or the worker is at fault when tasks fail.
//!
//! Evidence counts on both sides: distinct workers per job, and distinct jobs and teams per worker. A failure
//! of a job that fails elsewhere too says little about the worker, and the other way round.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use crate::model::id::{InstanceId, JobId, PoolId, TeamId};

/// Distinct workers that run other jobs well on which a job has to fail to be rejected.
const MIN_REJECT_WORKERS: usize = 3;

/// Distinct jobs that a worker has to fail to be quarantined.
const MIN_QUARANTINE_JOBS: usize = 4;

/// Distinct teams of these jobs, so that one team's faulty release condemns no worker.
const MIN_QUARANTINE_TEAMS: usize = 2;

/// Thousandths of a pool that may be quarantined: in a wave of failures the pool must not empty itself.
const MAX_QUARANTINED_PERMILLE: usize = 200;

/// Time in quarantine before a worker is tried again; doubles each time it fails its probation.
const FIRST_QUARANTINE: Duration = Duration::from_mins(10);

/// Doublings of the quarantine time.
const MAX_DOUBLINGS: u32 = 4;

/// Distinct jobs that a worker has to complete to end its probation.
const PROBATION_SUCCESSES: usize = 2;

/// Time for which a result counts as evidence.
const EVIDENCE_RETENTION: Duration = Duration::from_mins(10);

/// Completed jobs kept as evidence per worker; bounds memory on workers of many short jobs.
const MAX_SUCCESSES: usize = 32;

/// Attempts after which a job ends without a verdict on its workers; back-off between them grows to a minute,
/// so that this takes longer than a wave of failures.
const MAX_ATTEMPTS: u32 = 30;

/// Delay before the second attempt; doubles with each further one.
const FIRST_BACKOFF: Duration = Duration::from_millis(250);

/// Longest delay before an attempt.
const MAX_BACKOFF: Duration = Duration::from_mins(1);

/// What follows for a job that failed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum JobVerdict {
    /// It is tried again after the delay, away from the workers where it failed.
    Retry {
        /// Delay before the next attempt.
        delay: Duration,
        /// Workers where it failed.
        avoided_workers: BTreeSet<InstanceId>,
    },
    /// It cannot run: it failed on workers that run other jobs well.
    Rejected {
        /// These workers.
        failed_on: BTreeSet<InstanceId>,
    },
    /// It failed too often without proof against it.
    Exhausted {
        /// Workers where it failed.
        failed_on: BTreeSet<InstanceId>,
    },
}

/// What follows for a worker.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum WorkerVerdict {
    /// It receives no tasks.
    Quarantine(InstanceId),
    /// It receives one task at a time.
    Probation(InstanceId),
    /// It receives tasks as any other.
    Clear(InstanceId),
}

/// Standing of a worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum QuarantineState {
    /// No verdict against it.
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

    /// Whether it completes most jobs other than the given one.
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

/// Evidence and verdicts of the fleet's pools.
#[derive(Debug, Clone, Default)]
pub struct FailureTracker {
    workers: BTreeMap<InstanceId, WorkerEvidence>,
    jobs: BTreeMap<JobId, JobEvidence>,
    pool_sizes: BTreeMap<PoolId, usize>,
    quarantined: BTreeMap<PoolId, BTreeSet<InstanceId>>,
    /// Times at which quarantines turn into probation.
    releases: BTreeSet<(Instant, InstanceId)>,
}

impl FailureTracker {
    /// Creates a ledger without evidence.
    pub fn new() -> Self {
        Self::default()
    }

    /// Sets the number of instances of a pool. If the pool shrank, the quarantines that end first turn into
    /// probation until the bound holds again.
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

    /// Standing of a worker.
    pub fn quarantine_state(&self, instance: &InstanceId) -> QuarantineState {
        let evidence = self.workers.get(instance);
        evidence.map_or_else(QuarantineState::default, |evidence| evidence.state)
    }

    /// Quarantined workers of a pool.
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

    /// Forgets a job that was cancelled.
    pub fn forget_job(&mut self, job: &JobId) {
        self.jobs.remove(job);
    }

    /// Forgets a worker that left its pool.
    pub fn forget_worker(&mut self, instance: &InstanceId) {
        self.unlist_quarantine(instance);
        self.workers.remove(instance);
    }

    /// Workers whose time in quarantine is over.
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

    /// Ends a quarantine or probation on an operator's word.
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

    /// Takes a rejected job back as evidence against workers, and lifts quarantines that no longer stand.
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

    /// Whether the worker failed enough distinct jobs of enough teams that ran or might run elsewhere, and
    /// completed few.
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

    /// Whether a job failed on another worker that runs other jobs well, so that it may be at fault itself.
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
