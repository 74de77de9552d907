//! Plans moves: derives the next journal changes and the reasons for waits from the journal state and the
//! observed fleet.
//!
//! A new coordinator needs none of the planner's own state. That state (the roll-out rate after failures,
//! learned times, how long pools have waited for a demand trough) only affects when the next drains start.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::journal::entry::EntryChange;
use crate::journal::fleet_state::FleetState;
use crate::journal::member::{MemberPhase, PlanPhase, PlanProgress};
use crate::model::id::{InstanceId, PlanId, PoolId};
use crate::model::unix_time::UnixMillis;
use crate::policy::budget_ledger::BudgetLedger;
use crate::policy::instance_request;
use crate::policy::move_buffer;
use crate::policy::move_progress;
use crate::policy::move_times::MoveTimes;
use crate::policy::observation::FleetObservation;
use crate::policy::plan_scope::PlanScope;
use crate::policy::rollout_rate::{RateSettings, RolloutRate};
use crate::policy::wait_reason::PlanWait;
use crate::policy::wave_starter::WaveStarter;
use crate::record::plan::PlanRecord;

#[expect(
    clippy::struct_excessive_bools,
    reason = "each one switches one behaviour for comparison"
)]
/// Settings of the planner. Several exist so that benchmarks can compare the planner with simpler strategies.
#[derive(Debug, Clone, PartialEq)]
pub struct PlannerSettings {
    /// Slow-down of the roll-out after failures; absent to rely on the budgets alone.
    pub rate: Option<RateSettings>,
    /// Whether waves of different pools run at the same time.
    pub parallel_pools: bool,
    /// Batch size per pool: the next batch starts after all instances of the last one have returned. Absent
    /// to start each instance as soon as the budgets allow.
    pub fixed_batch: Option<u32>,
    /// Whether the longest drains start first.
    pub longest_first: bool,
    /// Whether instances that are unavailable anyway start first.
    pub unavailable_first: bool,
    /// Whether spare instances join pools so that more instances can be out of service at once.
    pub use_buffer: bool,
    /// Maximum number of additional changes of pool for the buffer, in thousandths of the plan's instances,
    /// if the policy weights for roll-out time and move count are equal.
    pub extra_moves_permille: u32,
    /// Maximum wait of a pool for a demand trough, if the policy weights for roll-out time and closeness to
    /// shares are equal. Zero by default: in the policy benchmark, waiting made the roll-out longer and
    /// brought no team closer to its share.
    pub max_trough_wait: Duration,
    /// Maximum number of instances that one step starts or advances, so that its journal entry fits the
    /// maximum value size of the store.
    pub max_per_step: usize,
}

impl Default for PlannerSettings {
    fn default() -> Self {
        Self {
            rate: Some(RateSettings::default()),
            parallel_pools: true,
            fixed_batch: None,
            longest_first: true,
            unavailable_first: true,
            use_buffer: true,
            extra_moves_permille: 200,
            max_trough_wait: Duration::ZERO,
            max_per_step: 512,
        }
    }
}

/// Result of one planning step.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct PlannerStep {
    /// Changes to append as one journal entry, valid only for the state that they were planned from.
    pub changes: Vec<EntryChange>,
    /// Instances and waves that wait, with the reasons.
    pub waits: Vec<PlanWait>,
}

/// Plans the roll-out of all running plans and the requests of operators.
#[derive(Debug, Clone)]
pub struct MovePlanner {
    pub(super) settings: PlannerSettings,
    pub(super) rate: RolloutRate,
    times: MoveTimes,
    /// Time at which each pool began to wait for a demand trough.
    pub(super) waiting_since: BTreeMap<PoolId, Instant>,
    /// Instances that this step takes out of service, over all plans.
    pub(super) selected: BTreeSet<InstanceId>,
}

impl MovePlanner {
    /// Creates a planner at the full roll-out rate, with default times.
    pub fn new(settings: PlannerSettings) -> Self {
        Self {
            rate: RolloutRate::new(settings.rate.unwrap_or_default()),
            settings,
            times: MoveTimes::default(),
            waiting_since: BTreeMap::new(),
            selected: BTreeSet::new(),
        }
    }

    /// Sets the initial values of the learned times.
    #[must_use]
    pub fn with_times(mut self, times: MoveTimes) -> Self {
        self.times = times;
        self
    }

    /// Average times of the stages of a move, learned so far.
    pub fn times(&self) -> &MoveTimes {
        &self.times
    }

    /// Rate of new drains, from 0 (none) to 1 (as many as the budgets allow).
    pub fn rollout_rate(&self) -> f64 {
        self.rate.factor()
    }

    /// Plans the next step: advances moves in progress, then starts new ones.
    pub fn plan(
        &mut self,
        now: Instant,
        wall_time: UnixMillis,
        state: &FleetState,
        observed: &FleetObservation,
    ) -> PlannerStep {
        self.times.observe(now, state);
        if self.settings.rate.is_some() {
            let failed = unplanned_failures(state, observed);
            self.rate.observe(now, state.members.len() as u32, failed);
        }
        let mut step = PlannerStep::default();
        self.advance_moves(state, observed, &mut step);
        if state.plans.is_empty() && state.instance_requests.is_empty() {
            return step;
        }
        self.selected.clear();
        let scope = PlanScope::new(state, observed);
        let mut ledger = BudgetLedger::new(state, observed);
        instance_request::plan_requests(state, &mut ledger, wall_time, &mut step);
        self.selected.extend(state.instance_requests.keys().cloned());
        for (plan, progress) in &state.plans {
            let Some(record) = state.records.plans.get(plan) else {
                continue;
            };
            if progress.phase == PlanPhase::Running {
                let mut start = WaveStarter::new(self, state, observed, &scope, &mut ledger, now, wall_time);
                start.run(plan, record, progress, &mut step);
                Self::complete_plan(state, &scope, plan, record, progress, &mut step);
            }
        }
        move_buffer::return_loans(state, observed, &scope, &mut ledger, wall_time, &mut step);
        step
    }

    fn advance_moves(&self, state: &FleetState, observed: &FleetObservation, step: &mut PlannerStep) {
        let mut advanced = 0;
        for (instance, member) in &state.members {
            if advanced == self.settings.max_per_step {
                return;
            }
            match move_progress::advance(state, observed, instance, member) {
                Ok(changes) => {
                    advanced += usize::from(!changes.is_empty());
                    step.changes.extend(changes);
                }
                Err(reason) => {
                    let wait = move_progress::instance_wait(state, instance, member, reason);
                    step.waits.push(wait);
                }
            }
        }
    }

    /// Completes a plan that has no instances left to start, none in progress and no loans.
    fn complete_plan(
        state: &FleetState,
        scope: &PlanScope<'_>,
        plan: &PlanId,
        record: &PlanRecord,
        progress: &PlanProgress,
        step: &mut PlannerStep,
    ) {
        let is_left = |index: usize| {
            let unstarted = scope.unstarted(record, progress, index).len();
            PlanScope::startable_count(&record.waves[index], progress, index, unstarted) > 0
                || scope.awaits_loans(record, progress, index)
        };
        let has_loan = state.loans.values().any(|loan| loan.plan.as_ref() == Some(plan));
        let has_token = state
            .tokens
            .values()
            .any(|token| token.plan.as_ref() == Some(plan));
        let is_busy = has_loan || has_token || !progress.started.is_empty();
        if !is_busy && !(0..record.waves.len()).any(is_left) {
            step.changes.push(EntryChange::SetPlanPhase {
                plan: plan.clone(),
                phase: PlanPhase::Complete,
                reason: Arc::from("all waves are complete"),
            });
        }
    }
}

/// Instances that are down although no planned stop is in progress.
fn unplanned_failures(state: &FleetState, observed: &FleetObservation) -> BTreeSet<InstanceId> {
    let is_planned_stop = |instance: &InstanceId| state.tokens.contains_key(instance);
    let mut failed = BTreeSet::new();
    for instance in observed.unhealthy.union(&observed.missing) {
        if state.members.contains_key(instance) && !is_planned_stop(instance) {
            failed.insert(instance.clone());
        }
    }
    if observed.unreachable_zones.is_empty() {
        return failed;
    }
    for (instance, member) in &state.members {
        let is_cut_off = observed.unreachable_zones.contains(&member.place.zone);
        if is_cut_off && member.phase == MemberPhase::Serving && !is_planned_stop(instance) {
            failed.insert(instance.clone());
        }
    }
    failed
}
