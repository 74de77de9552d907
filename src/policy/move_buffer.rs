//! Spare instances as the capacity buffer of a plan: they join pools whose budgets limit the plan, so that
//! more instances can be out of service at once, and return afterwards.

use std::collections::BTreeSet;

use crate::journal::entry::EntryChange;
use crate::journal::fleet_state::FleetState;
use crate::journal::member::PlanProgress;
use crate::model::id::{InstanceId, PlanId, PoolId};
use crate::model::unix_time::UnixMillis;
use crate::policy::budget_ledger::BudgetLedger;
use crate::policy::move_intent;
use crate::policy::move_planner::PlannerStep;
use crate::policy::observation::FleetObservation;
use crate::policy::plan_scope::{MemberRef, PlanScope};
use crate::policy::wave_starter::{self, WaveStarter};
use crate::record::plan::PlanRecord;

/// A pool whose budget limits the plan.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BufferNeed {
    pool: PoolId,
    /// Number of instances of the pool that the plan has yet to start.
    unstarted: usize,
}

impl BufferNeed {
    /// Creates the need of a pool with `unstarted` instances left to start.
    pub fn new(pool: PoolId, unstarted: usize) -> Self {
        Self { pool, unstarted }
    }
}

/// Estimate of the rounds that a pool needs: `unstarted` instances, `parallel` of them at a time.
struct PoolRounds {
    pool: PoolId,
    unstarted: f64,
    parallel: f64,
}

impl PoolRounds {
    fn rounds(&self) -> f64 {
        if self.parallel < 1.0 {
            f64::INFINITY
        } else {
            (self.unstarted / self.parallel).ceil()
        }
    }

    /// Number of rounds that one more lent instance saves.
    fn rounds_saved(&self) -> f64 {
        self.rounds() - (self.unstarted / (self.parallel + 1.0)).ceil()
    }
}

/// Lends spare instances to the pools that finish last and so determine the end of the plan. `unstarted` is
/// the number of instances that the whole plan has yet to start.
#[expect(clippy::too_many_arguments, reason = "the parts of one plan's pass")]
pub fn lend(
    start: &mut WaveStarter<'_, '_>,
    plan: &PlanId,
    record: &PlanRecord,
    progress: &PlanProgress,
    needs: Vec<BufferNeed>,
    unstarted: usize,
    out: &mut u32,
    step: &mut PlannerStep,
) {
    if needs.is_empty() {
        return;
    }
    let mut rounds: Vec<PoolRounds> = needs
        .into_iter()
        .map(|need| estimate_rounds(start, need))
        .collect();
    let mut spares = free_spares(start, record, progress);
    // Idle loans are passed on first (popped from the end): that costs one change of pool, a new loan two.
    spares.extend(idle_loans(start, plan, record, progress));
    let mut moves = remaining_moves(start, plan, progress, unstarted);
    loop {
        let longest = rounds
            .iter_mut()
            .filter(|rounds| rounds.rounds_saved() > 0.0)
            .max_by(|a, b| a.rounds().total_cmp(&b.rounds()));
        let Some(longest) = longest else {
            return;
        };
        let is_needed = longest.parallel < 1.0;
        let is_full = record.max_parallel.is_some_and(|max| *out >= max.get());
        let Some((instance, member)) = spares.pop() else {
            return;
        };
        let cost = if start.state.loans.contains_key(instance) {
            1
        } else {
            2
        };
        if (moves < cost && !is_needed) || is_full {
            return;
        }
        let is_selected = !start.planner().selected.insert(instance.clone());
        if is_selected || start.ledger.reserve(start.state, instance).is_err() {
            continue;
        }
        step.changes.push(EntryChange::LendInstance {
            instance: instance.clone(),
            to: longest.pool.clone(),
            plan: Some(plan.clone()),
        });
        let reason = "buffer of the plan";
        let changes =
            wave_starter::drain_changes(start.state, Some(plan), instance, member, start.wall_time, reason);
        step.changes.extend(changes);
        longest.parallel += 1.0;
        moves = moves.saturating_sub(cost);
        *out += 1;
    }
}

fn estimate_rounds(start: &WaveStarter<'_, '_>, need: BufferNeed) -> PoolRounds {
    let services = start.ledger.services();
    let allowed = start
        .state
        .service_of_pool(&need.pool)
        .and_then(|service| services.get(&service.id));
    let allowed = allowed.map_or(0, super::budget_ledger::ServiceBudget::allowed);
    let lent = start
        .scope
        .pool(&need.pool)
        .map_or(0, |summary| summary.lent_in.len());
    PoolRounds {
        parallel: f64::from(allowed) + lent as f64,
        unstarted: need.unstarted as f64,
        pool: need.pool,
    }
}

/// Spare instances in service that are not themselves due in the plan: their own maintenance comes first.
fn free_spares<'a>(
    start: &WaveStarter<'a, '_>,
    record: &PlanRecord,
    progress: &PlanProgress,
) -> Vec<MemberRef<'a>> {
    let mut planned = BTreeSet::new();
    let pools = &start.state.records.pools;
    let is_spare = |pool: &PoolId| pools.get(pool).is_some_and(|record| record.spare);
    for (index, _) in record
        .waves
        .iter()
        .enumerate()
        .filter(|(_, wave)| is_spare(&wave.pool))
    {
        let unstarted = start.scope.unstarted(record, progress, index);
        planned.extend(unstarted.into_iter().map(|(instance, _)| instance.clone()));
    }
    let mut spares = Vec::new();
    for pool in start.state.records.pools.values().filter(|pool| pool.spare) {
        let home = start
            .scope
            .pool(&pool.id)
            .map_or(&[][..], |summary| &summary.home);
        let is_free = |(instance, member): &&MemberRef<'a>| {
            start.observed.is_serving(instance, member)
                && !start.state.tokens.contains_key(*instance)
                && !planned.contains(*instance)
                && !progress.started.contains_key(*instance)
        };
        let keep = pool.min_instances.get() as usize;
        let free: Vec<MemberRef<'a>> = home.iter().filter(is_free).copied().collect();
        let count = free.len().saturating_sub(keep);
        spares.extend(free.into_iter().take(count));
    }
    spares
}

/// Loans of the plan to pools that have no instances left to start.
fn idle_loans<'a>(
    start: &WaveStarter<'a, '_>,
    plan: &PlanId,
    record: &PlanRecord,
    progress: &PlanProgress,
) -> Vec<MemberRef<'a>> {
    let mut idle = Vec::new();
    for (instance, loan) in &start.state.loans {
        let Some(member) = start.state.members.get(instance) else {
            continue;
        };
        let is_there = member.pool == loan.to && loan.to != loan.home && loan.plan.as_ref() == Some(plan);
        let is_free =
            !start.state.tokens.contains_key(instance) && start.observed.is_serving(instance, member);
        if is_there && is_free && !has_unstarted(start.scope, record, progress, &loan.to) {
            idle.push((instance, member));
        }
    }
    idle
}

/// Number of additional changes of pool that the plan may still make. The ratio of the policy weights for
/// roll-out time and move count says how many the saved time is worth. The return of present loans is already
/// deducted.
fn remaining_moves(
    start: &mut WaveStarter<'_, '_>,
    plan: &PlanId,
    progress: &PlanProgress,
    unstarted: usize,
) -> u32 {
    let done: usize = progress.done.iter().map(BTreeSet::len).sum();
    let size = (unstarted + done + progress.started.len()) as f64;
    let weights = &start.state.records.policy;
    let worth = if weights.move_count > 0.0 {
        weights.rollout_time / weights.move_count
    } else {
        1.0
    };
    let permille = f64::from(start.planner().settings.extra_moves_permille);
    let allowed = (size * permille / 1000.0 * worth.clamp(0.0, 1.0)) as u32;
    let loans = start.state.loans.values();
    let to_return = loans
        .filter(|loan| loan.plan.as_ref() == Some(plan) && loan.to != loan.home)
        .count();
    allowed.saturating_sub(progress.loans + to_return as u32)
}

/// Returns lent instances whose pool has no instances left to start, or whose plan has ended.
pub fn return_loans(
    state: &FleetState,
    observed: &FleetObservation,
    scope: &PlanScope<'_>,
    ledger: &mut BudgetLedger,
    wall_time: UnixMillis,
    step: &mut PlannerStep,
) {
    for (instance, loan) in &state.loans {
        let (Some(plan), Some(member)) = (&loan.plan, state.members.get(instance)) else {
            continue;
        };
        let has_arrived = member.pool == loan.to && loan.to != loan.home;
        if !has_arrived || state.tokens.contains_key(instance) || !observed.is_serving(instance, member) {
            continue;
        }
        let is_reserved = ledger.is_unavailable(instance) || state.instance_requests.contains_key(instance);
        if is_reserved || is_needed(state, scope, plan, &loan.to) || ledger.reserve(state, instance).is_err()
        {
            continue;
        }
        step.changes.push(return_change(instance, &loan.home, plan));
        step.changes.extend(wave_starter::drain_changes(
            state,
            Some(plan),
            instance,
            member,
            wall_time,
            "loan ends",
        ));
    }
}

fn return_change(instance: &InstanceId, home: &PoolId, plan: &PlanId) -> EntryChange {
    EntryChange::LendInstance {
        instance: instance.clone(),
        to: home.clone(),
        plan: Some(plan.clone()),
    }
}

fn is_needed(state: &FleetState, scope: &PlanScope<'_>, plan: &PlanId, pool: &PoolId) -> bool {
    if move_intent::is_plan_ended(state, plan) {
        return false;
    }
    let (Some(record), Some(progress)) = (state.records.plans.get(plan), state.plans.get(plan)) else {
        return false;
    };
    has_unstarted(scope, record, progress, pool)
}

/// Whether a plan has instances of a pool left to start.
fn has_unstarted(scope: &PlanScope<'_>, record: &PlanRecord, progress: &PlanProgress, pool: &PoolId) -> bool {
    let is_left = |(index, wave): (usize, &crate::record::plan::PlanWave)| {
        let unstarted = scope.unstarted(record, progress, index).len();
        wave.pool == *pool && PlanScope::startable_count(wave, progress, index, unstarted) > 0
    };
    record.waves.iter().enumerate().any(is_left)
}
