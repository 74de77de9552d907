//! Keeps the starts of each organisation within its limit.
//!
//! A start that needs much of the limit must not wait for ever while later ones take each part of the limit that becomes
//! free. Therefore the first start that waits holds up the later ones of its organisation after some time, for as long
//! as nothing but the limit holds it up, and for growing times only (see [`turn_phase`]).

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::dispatch::job_spec::StepSpec;
use crate::dispatch::job_state::StepState;
use crate::dispatch::placement;
use crate::dispatch::pool_plan::NextStart;
use crate::dispatch::pool_scheduler::PoolScheduler;
use crate::dispatch::task_id::StepId;
use crate::dispatch::turn_phase;
use crate::dispatch::worker_state::{PlacedRun, WorkerState};
use crate::model::id::{OrganisationId, WorkerId};
use crate::model::resource::ResourceSet;

/// Time for which later starts may pass the first one that waits.
const PASSING_TIME: Duration = Duration::from_secs(1);

/// Time for which the first start that waits holds up later ones at first.
const KEEP_TIME: Duration = Duration::from_secs(10);

/// The first start of an organisation that waited in the latest pass.
#[derive(Debug, Clone)]
struct WaitingStart {
    step: StepId,
    next: NextStart,
}

/// Label and resources that no worker of the pool has.
type LackingKey = (Option<Arc<str>>, ResourceSet);

/// Use of the organisations' limits by the pool.
#[derive(Debug, Default)]
pub(super) struct LimitUse {
    used: BTreeMap<OrganisationId, ResourceSet>,
    pinned: BTreeMap<OrganisationId, ResourceSet>,
    /// What the former leader reported as used, until all its workers have answered.
    former: BTreeMap<OrganisationId, ResourceSet>,
    waiting: BTreeMap<OrganisationId, WaitingStart>,
    /// Whether a start was noted since [`Self::take_noted`] was called.
    has_noted: bool,
    /// What was found to fit no worker in the latest pass.
    lacking: BTreeSet<LackingKey>,
}

impl LimitUse {
    /// Demand of the runs of each organisation, which counts against its limit.
    pub(super) fn used(&self) -> &BTreeMap<OrganisationId, ResourceSet> {
        &self.used
    }

    /// The part of [`Self::used`] that long-running tasks keep.
    pub(super) fn pinned(&self) -> &BTreeMap<OrganisationId, ResourceSet> {
        &self.pinned
    }

    /// First waiting starts of the latest pass.
    pub(super) fn next_starts(&self) -> BTreeMap<OrganisationId, NextStart> {
        let waiting = self.waiting.iter();
        waiting
            .map(|(organisation, start)| (organisation.clone(), start.next))
            .collect()
    }

    pub(super) fn add_run(&mut self, placed: &PlacedRun) {
        self.count_run(placed, ResourceSet::plus);
    }

    pub(super) fn remove_run(&mut self, placed: &PlacedRun) {
        self.count_run(placed, ResourceSet::saturating_sub);
    }

    fn count_run(&mut self, placed: &PlacedRun, count: impl Fn(&ResourceSet, &ResourceSet) -> ResourceSet) {
        let Some(organisation) = &placed.organisation else {
            return;
        };
        let pinned = placed.is_long_running.then_some(&mut self.pinned);
        for amounts in [Some(&mut self.used), pinned].into_iter().flatten() {
            let amount = amounts.entry(organisation.clone()).or_default();
            *amount = count(amount, &placed.demand);
        }
    }

    /// Whether a start was noted since the previous call.
    pub(super) fn take_noted(&mut self) -> bool {
        std::mem::take(&mut self.has_noted)
    }

    /// Forgets the starts of the previous pass.
    pub(super) fn begin_pass(&mut self) {
        self.waiting.clear();
        self.lacking.clear();
    }
}

/// Whether a worker, present or gone, has the label and the capacity for the tasks of a step. Without workers it is not
/// known.
pub(super) fn may_fit_worker(
    workers: &BTreeMap<WorkerId, WorkerState>,
    spec: &StepSpec,
    lacking: &mut BTreeSet<LackingKey>,
) -> bool {
    let key = (spec.label.clone(), spec.reserved());
    if lacking.contains(&key) {
        return false;
    }
    let may_fit = workers.is_empty()
        || workers
            .values()
            .any(|worker| placement::is_eligible(worker, spec));
    if !may_fit {
        lacking.insert(key);
    }
    may_fit
}

impl PoolScheduler {
    /// Limit of the organisation over all pools; `None` if it has none.
    fn limit(&self, organisation: &OrganisationId) -> Option<&ResourceSet> {
        let config = self.organisations.get(organisation)?;
        Some(&config.limit).filter(|limit| **limit != ResourceSet::default())
    }

    /// Whether the organisation's limit would hold what a step needs for a start if nothing else ran.
    pub(super) fn fits_whole_limit(&self, organisation: &OrganisationId, spec: &StepSpec) -> bool {
        let limit = self.limit(organisation);
        limit.is_none_or(|limit| spec.start_demand().fits_within(limit, limit))
    }

    fn amount(amounts: &BTreeMap<OrganisationId, ResourceSet>, organisation: &OrganisationId) -> ResourceSet {
        amounts.get(organisation).copied().unwrap_or_default()
    }

    /// Whether another `demand` fits within the organisation's limit on this pool. While workers of the former leader
    /// have not answered, at least what that leader reported counts as used.
    pub(super) fn is_within_limit(
        &self,
        organisation: Option<&OrganisationId>,
        demand: &ResourceSet,
    ) -> bool {
        let limited = organisation.filter(|organisation| self.limit(organisation).is_some());
        limited.is_none_or(|organisation| {
            let allowance = Self::amount(&self.plan.allowances, organisation);
            let known = Self::amount(&self.limit_use.used, organisation);
            let former = Self::amount(&self.limit_use.former, organisation);
            allowance.covers(&known.component_max(&former).plus(demand))
        })
    }

    /// Sets what the former leader reported as used.
    pub fn set_former_usage(&mut self, usage: BTreeMap<OrganisationId, ResourceSet>) {
        self.limit_use.former = usage;
    }

    /// Forgets what the former leader reported once all its workers have answered or their leases have ended.
    pub(super) fn review_former_usage(&mut self, now: Instant) {
        if !self.limit_use.former.is_empty() && self.takeover.unanswered(now).next().is_none() {
            self.limit_use.former.clear();
        }
    }

    /// Whether a start of `step` that needs `demand` fits within the organisation's limit on this pool and need not
    /// wait for another one.
    pub(super) fn may_use_limit(
        &self,
        now: Instant,
        step: &StepId,
        organisation: Option<&OrganisationId>,
        demand: &ResourceSet,
    ) -> bool {
        let first = organisation.and_then(|organisation| self.limit_use.waiting.get(organisation));
        let is_held_up = first
            .filter(|first| first.step != *step)
            .zip(organisation)
            .is_some_and(|(first, organisation)| self.holds_up(now, first, organisation, demand));
        !is_held_up && self.is_within_limit(organisation, demand)
    }

    /// Whether the first start that waits holds up a later one that needs `demand`: the pool's allowance will hold the
    /// first one once runs have ended, and the later one would take what it lacks.
    fn holds_up(
        &self,
        now: Instant,
        first: &WaitingStart,
        organisation: &OrganisationId,
        demand: &ResourceSet,
    ) -> bool {
        let allowance = Self::amount(&self.plan.allowances, organisation);
        let pinned = Self::amount(&self.limit_use.pinned, organisation);
        if !allowance.covers(&pinned.plus(&first.next.demand)) {
            return false;
        }
        let used = Self::amount(&self.limit_use.used, organisation);
        let needed = used.plus(&first.next.demand).to_array();
        let mut resources = needed
            .into_iter()
            .zip(allowance.to_array())
            .zip(demand.to_array());
        let takes_lacking = resources.any(|((needed, allowed), taken)| needed > allowed && taken > 0);
        let since = self.held.waiting_since(&first.step);
        let waited = since.map(|since| now.saturating_duration_since(since));
        let waited = waited.and_then(|waited| waited.checked_sub(PASSING_TIME));
        takes_lacking && waited.is_some_and(|waited| turn_phase::is_kept(waited, KEEP_TIME))
    }

    /// Whether no start of the organisation, which has a limit, has been noted in this pass.
    pub(super) fn may_note_start(&self, organisation: Option<&OrganisationId>) -> bool {
        organisation.is_some_and(|organisation| {
            !self.limit_use.waiting.contains_key(organisation) && self.limit(organisation).is_some()
        })
    }

    /// Notes the next start of a step, unless one of the same organisation comes before it in this pass. Demand that
    /// exceeds the limit or fits no worker is left out, so that it takes nothing from others.
    pub(super) fn note_waiting_start(&mut self, step: &StepId) {
        let Some(job) = self.jobs.get(&step.job) else {
            return;
        };
        let Some(organisation) = &job.record.organisation else {
            return;
        };
        let spec = &job.record.spec.steps[step.step as usize];
        let is_left_out = !self.may_note_start(Some(organisation))
            || !self.fits_whole_limit(organisation, spec)
            || !may_fit_worker(&self.workers, spec, &mut self.limit_use.lacking);
        if is_left_out {
            return;
        }
        let start = WaitingStart {
            step: step.clone(),
            next: NextStart {
                demand: spec.start_demand(),
                accepted_at: job.record.accepted_at,
            },
        };
        self.limit_use.waiting.insert(organisation.clone(), start);
        self.limit_use.has_noted = true;
    }

    /// Forgets the noted start of a step if all its tasks have been started.
    pub(super) fn forget_started(&mut self, now: Instant, step: &StepId) {
        let Some(job) = self.jobs.get(&step.job) else {
            return;
        };
        let Some(organisation) = &job.record.organisation else {
            return;
        };
        let noted = self.limit_use.waiting.get(organisation);
        let is_noted = noted.is_some_and(|start| start.step == *step);
        let waits = |state: &StepState| state.tasks.iter().any(|task| task.is_waiting(now));
        if is_noted && !job.step(step).is_some_and(waits) {
            self.limit_use.waiting.remove(organisation);
        }
    }

    /// What a start of the step needs and what the pool may use of the organisation's limit, as text.
    pub(super) fn describe_limit(&self, organisation: Option<&OrganisationId>, spec: &StepSpec) -> String {
        let find = |amounts: &BTreeMap<OrganisationId, ResourceSet>| {
            organisation
                .map(|organisation| Self::amount(amounts, organisation))
                .unwrap_or_default()
        };
        format!(
            "; a start needs {}, used {}, allowance {}, plan {}",
            spec.start_demand(),
            find(&self.limit_use.used),
            find(&self.plan.allowances),
            self.plan.version
        )
    }
}
