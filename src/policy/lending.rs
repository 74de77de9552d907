//! Lends instances between pools by demand: starts loans, passes them on to other pools and ends them.
//!
//! Demand is the number of slots wanted, from reports that lag behind. Declared sizes and run times are not
//! used. A shortage must persist for a minimum time, and a surplus is measured against the maximum demand of
//! a time window, so that a single late or wrong report moves no instance.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use derive_more::Display;

use crate::journal::entry::EntryChange;
use crate::journal::fleet_state::FleetState;
use crate::journal::member::{InstanceLoan, PlanPhase, PoolMember};
use crate::model::id::{InstanceId, PoolId};
use crate::model::unix_time::UnixMillis;
use crate::policy::budget_ledger::BudgetLedger;
use crate::policy::demand_window::DemandWindow;
use crate::policy::observation::FleetObservation;
use crate::policy::plan_scope::{MemberRef, PlanScope};
use crate::policy::wave_starter;

/// Settings of the lending policy. Ratios are factors on capacity.
#[derive(Debug, Clone, PartialEq)]
pub struct LendingSettings {
    /// A pool is short of instances if its demand exceeds its capacity times this ratio.
    pub shortage_ratio: f64,
    /// Time for which a shortage must persist before instances are lent; it covers the lag of the reports.
    pub shortage_duration: Duration,
    /// A pool has a surplus if its demand is at most this ratio of its capacity without one instance.
    pub surplus_ratio: f64,
    /// Length of the window whose maximum demand decides on a surplus.
    pub surplus_window: Duration,
    /// Minimum length of a loan, so that it is worth two changes of pool.
    pub min_loan_time: Duration,
    /// Minimum age at which a loan ends because its pool has a surplus, even if no other pool needs the
    /// instance.
    pub idle_loan_timeout: Duration,
    /// Maximum number of instances that one step lends or returns.
    pub max_per_step: usize,
    /// Whether loans start while a plan has instances left to start. Such loans compete with the plan for
    /// budgets and spare instances.
    pub lend_during_plan: bool,
}

impl Default for LendingSettings {
    fn default() -> Self {
        Self {
            shortage_ratio: 1.1,
            shortage_duration: Duration::from_secs(15),
            surplus_ratio: 0.75,
            surplus_window: Duration::from_secs(45),
            min_loan_time: Duration::from_mins(2),
            idle_loan_timeout: Duration::from_mins(4),
            max_per_step: 8,
            lend_during_plan: false,
        }
    }
}

/// Why a shortage is not met.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum UnmetReason {
    /// No pool has an instance to spare.
    #[display("no pool has a surplus")]
    NoSurplus,
    /// Another pool has a surplus, but budgets, minimum sizes or plans block the move.
    #[display("budgets, minimums or running plans hold the other pools' instances")]
    Blocked,
}

/// Result of one step.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct LendingStep {
    /// Changes to append as one journal entry.
    pub changes: Vec<EntryChange>,
    /// Pools whose shortage is not met.
    pub unmet: BTreeMap<PoolId, UnmetReason>,
}

/// Decides which instances to lend and return, from the recent demand of each pool.
#[derive(Debug, Clone)]
pub struct LendingPolicy {
    settings: LendingSettings,
    demand_windows: BTreeMap<PoolId, DemandWindow>,
    /// Time at which each lent instance was first observed in its pool. A new coordinator starts from zero,
    /// so that the minimum loan time begins again.
    arrived_at: BTreeMap<InstanceId, Instant>,
    /// Time at which each instance was last on loan. It is not lent again for the minimum loan time.
    last_lent_at: BTreeMap<InstanceId, Instant>,
}

/// Working state of one step.
struct LendingPass<'a, 'b> {
    state: &'a FleetState,
    observed: &'b FleetObservation,
    scope: PlanScope<'a>,
    ledger: BudgetLedger,
    wall_time: UnixMillis,
    /// Pools with instances that a running plan has yet to start.
    planned: BTreeSet<PoolId>,
    /// Number of instances that serve each pool or are on loan to it and on the way.
    counts: BTreeMap<PoolId, u32>,
    moved_count: usize,
    step: LendingStep,
}

impl LendingPolicy {
    /// Creates a policy without observed demand.
    pub fn new(settings: LendingSettings) -> Self {
        Self {
            settings,
            demand_windows: BTreeMap::new(),
            arrived_at: BTreeMap::new(),
            last_lent_at: BTreeMap::new(),
        }
    }

    /// Plans the next step. The same journal entry must contain no other changes of pool membership.
    pub fn step(
        &mut self,
        now: Instant,
        wall_time: UnixMillis,
        state: &FleetState,
        observed: &FleetObservation,
    ) -> LendingStep {
        let scope = PlanScope::new(state, observed);
        let counts = state
            .records
            .pools
            .keys()
            .map(|pool| (pool.clone(), expected_instances(state, observed, &scope, pool)));
        let counts: BTreeMap<PoolId, u32> = counts.collect();
        for (pool, demand) in &observed.demand {
            let count = counts.get(pool).copied().unwrap_or_default();
            let window = self.demand_windows.entry(pool.clone()).or_default();
            let is_short =
                demand.wanted > f64::from(count) * demand.slots_per_instance * self.settings.shortage_ratio;
            window.observe(now, demand.wanted, is_short, self.settings.surplus_window);
        }
        self.record_arrivals(now, state);
        let mut pass = LendingPass {
            state,
            observed,
            planned: planned_pools(state, &scope),
            scope,
            ledger: BudgetLedger::new(state, observed),
            wall_time,
            counts,
            moved_count: 0,
            step: LendingStep::default(),
        };
        if pass.planned.is_empty() || self.settings.lend_during_plan {
            self.cover_shortages(now, &mut pass);
        }
        self.end_idle_loans(now, &mut pass);
        pass.step
    }

    fn record_arrivals(&mut self, now: Instant, state: &FleetState) {
        let rest_time = self.settings.min_loan_time;
        self.last_lent_at.retain(|_, at| *at + rest_time > now);
        self.last_lent_at
            .extend(state.loans.keys().map(|instance| (instance.clone(), now)));
        self.arrived_at
            .retain(|instance, _| state.loans.contains_key(instance));
        for (instance, loan) in &state.loans {
            let has_arrived = state
                .members
                .get(instance)
                .is_some_and(|member| member.pool == loan.to);
            if has_arrived {
                self.arrived_at.entry(instance.clone()).or_insert(now);
            } else {
                self.arrived_at.remove(instance);
            }
        }
    }

    fn cover_shortages(&self, now: Instant, pass: &mut LendingPass<'_, '_>) {
        let mut short: Vec<(f64, PoolId)> = Vec::new();
        for (pool, window) in &self.demand_windows {
            let is_persistent = window
                .shortage_time(now)
                .is_some_and(|time| time >= self.settings.shortage_duration);
            if is_persistent && pass.missing_count(pool) > 0 {
                short.push((pass.demand_ratio(pool), pool.clone()));
            }
        }
        short.sort_by(|a, b| b.0.total_cmp(&a.0));
        for (_, pool) in short {
            let mut missing_count = pass.missing_count(&pool);
            while missing_count > 0 && pass.moved_count < self.settings.max_per_step {
                let Some((instance, member)) = self.choose_instance(now, pass, &pool) else {
                    pass.record_unmet(&pool, &self.demand_windows, self.settings.surplus_ratio);
                    break;
                };
                pass.lend(instance, member, &pool);
                missing_count -= 1;
            }
        }
    }

    /// Chooses the instance to lend to a pool, and reserves budget for it. Candidates, in order: its own
    /// instances that are lent out, spare instances, idle loans, and one instance of each pool with a
    /// surplus, least loaded pool first. Within such a pool, the instance whose work ends first is chosen.
    fn choose_instance<'a>(
        &self,
        now: Instant,
        pass: &mut LendingPass<'a, '_>,
        to: &PoolId,
    ) -> Option<MemberRef<'a>> {
        let loans = self.idle_loans(now, pass, to);
        let own = |(instance, _): &&MemberRef<'a>| {
            pass.state
                .loans
                .get(*instance)
                .is_some_and(|loan| loan.home == *to)
        };
        let first: Vec<MemberRef<'a>> = loans.iter().filter(own).copied().collect();
        let is_rested = |(instance, _): &MemberRef<'a>| !self.last_lent_at.contains_key(*instance);
        let spares = pass.free_spares().into_iter().filter(is_rested);
        let surplus = self.surplus_instances(pass, to).into_iter().filter(is_rested);
        let all = first.into_iter().chain(spares).chain(loans).chain(surplus);
        let found: Vec<MemberRef<'a>> = all.collect();
        let ledger = &mut pass.ledger;
        let state = pass.state;
        found
            .into_iter()
            .find(|(instance, _)| ledger.reserve(state, instance).is_ok())
    }

    /// Loans for demand that have reached the minimum time, and whose pool has a surplus or whose home is
    /// `to`.
    fn idle_loans<'a>(&self, now: Instant, pass: &LendingPass<'a, '_>, to: &PoolId) -> Vec<MemberRef<'a>> {
        let mut found = Vec::new();
        for (instance, loan) in &pass.state.loans {
            let Some(member) = pass.arrived_loan(instance, loan) else {
                continue;
            };
            let age = self
                .arrived_at
                .get(instance)
                .map_or(Duration::ZERO, |at| now - *at);
            let is_idle = loan.to != *to && self.has_surplus(pass, &loan.to);
            if (is_idle || loan.home == *to) && age >= self.settings.min_loan_time {
                found.push((instance, member));
            }
        }
        found
    }

    /// Whether a pool can spare one instance at the maximum demand of its window.
    fn has_surplus(&self, pass: &LendingPass<'_, '_>, pool: &PoolId) -> bool {
        let (Some(window), Some(demand)) = (self.demand_windows.get(pool), pass.observed.demand.get(pool))
        else {
            return true;
        };
        let count = pass.counts.get(pool).copied().unwrap_or_default();
        let rest_capacity = f64::from(count.saturating_sub(1)) * demand.slots_per_instance;
        window.max() <= rest_capacity * self.settings.surplus_ratio
    }

    fn surplus_instances<'a>(&self, pass: &LendingPass<'a, '_>, to: &PoolId) -> Vec<MemberRef<'a>> {
        let records = pass.state.records.pools.values();
        let lenders = records.filter(|pool| pool.lendable && !pool.spare && pool.id != *to);
        let mut pools: Vec<(f64, &PoolId)> = lenders
            .filter(|pool| {
                let count = pass.counts.get(&pool.id).copied().unwrap_or_default();
                // A pool with borrowed instances passes these on first, once they reach the minimum loan
                // time.
                let lent_in = pass
                    .scope
                    .pool(&pool.id)
                    .map_or(0, |summary| summary.lent_in.len());
                lent_in == 0
                    && count > pool.min_instances.get()
                    && !pass.is_planned(&pool.id)
                    && self.has_surplus(pass, &pool.id)
            })
            .map(|pool| (pass.demand_ratio(&pool.id), &pool.id))
            .collect();
        pools.sort_by(|a, b| a.0.total_cmp(&b.0));
        let mut found = Vec::new();
        for (_, pool) in pools {
            let mut members = pass.serving_home(pool);
            members.sort_by_cached_key(|(instance, _)| {
                (
                    pass.observed
                        .drain_times
                        .get(*instance)
                        .copied()
                        .unwrap_or_default(),
                    *instance,
                )
            });
            // At most one per pool: the count of the pool changes before the next choice.
            found.extend(members.into_iter().next());
        }
        found
    }

    /// Ends loans: at once if a plan waits for the instance, otherwise if the loan is idle and old enough.
    fn end_idle_loans(&self, now: Instant, pass: &mut LendingPass<'_, '_>) {
        let state = pass.state;
        for (instance, loan) in &state.loans {
            if pass.moved_count >= self.settings.max_per_step {
                return;
            }
            let Some(member) = pass.arrived_loan(instance, loan) else {
                continue;
            };
            let age = self
                .arrived_at
                .get(instance)
                .map_or(Duration::ZERO, |at| now - *at);
            // A plan treats each instance in its home pool, and needs the spare instances as its buffer.
            let is_awaited =
                pass.planned.contains(&loan.home) || pass.is_spare(&loan.home) && !pass.planned.is_empty();
            let is_idle = age >= self.settings.idle_loan_timeout && self.has_surplus(pass, &loan.to);
            if !(is_awaited || is_idle) || pass.ledger.reserve(state, instance).is_err() {
                continue;
            }
            let home = loan.home.clone();
            pass.lend(instance, member, &home);
        }
    }
}

impl<'a> LendingPass<'a, '_> {
    /// Demand per slot of the pool: above 1, the pool is overloaded.
    fn demand_ratio(&self, pool: &PoolId) -> f64 {
        let Some(demand) = self.observed.demand.get(pool) else {
            return 0.0;
        };
        let count = self.counts.get(pool).copied().unwrap_or_default();
        demand.wanted / (f64::from(count) * demand.slots_per_instance).max(1.0)
    }

    /// Number of instances by which a pool falls short of its demand.
    fn missing_count(&self, pool: &PoolId) -> u32 {
        let count = self.counts.get(pool).copied().unwrap_or_default();
        let demand = self.observed.demand.get(pool).copied().unwrap_or_default();
        if demand.slots_per_instance <= 0.0 {
            return 0;
        }
        ((-demand.headroom(count)) / demand.slots_per_instance)
            .ceil()
            .max(0.0) as u32
    }

    fn is_spare(&self, pool: &PoolId) -> bool {
        self.state
            .records
            .pools
            .get(pool)
            .is_some_and(|record| record.spare)
    }

    /// Whether a plan has priority over lending for a pool's instances: its roll-out time must weigh at least
    /// as much as closeness to shares.
    fn is_planned(&self, pool: &PoolId) -> bool {
        let weights = &self.state.records.policy;
        self.planned.contains(pool) && weights.rollout_time >= weights.share_closeness
    }

    /// The member behind a loan for demand, if it serves the borrowing pool and no move of it is in progress.
    fn arrived_loan(&self, instance: &InstanceId, loan: &InstanceLoan) -> Option<&'a PoolMember> {
        let member = self.state.members.get(instance)?;
        let has_arrived = loan.plan.is_none() && member.pool == loan.to && loan.to != loan.home;
        let is_free = !self.state.tokens.contains_key(instance) && !self.ledger.is_unavailable(instance);
        (has_arrived && is_free && self.observed.is_serving(instance, member)).then_some(member)
    }

    fn serving_home(&self, pool: &PoolId) -> Vec<MemberRef<'a>> {
        let home = self.scope.pool(pool).map_or(&[][..], |summary| &summary.home);
        let is_free = |(instance, member): &&MemberRef<'a>| {
            self.observed.is_serving(instance, member)
                && !self.state.tokens.contains_key(*instance)
                && !self.ledger.is_unavailable(instance)
        };
        home.iter().filter(is_free).copied().collect()
    }

    /// Spare instances that can be lent: none while a plan needs them as its buffer.
    fn free_spares(&self) -> Vec<MemberRef<'a>> {
        if !self.planned.is_empty() {
            return Vec::new();
        }
        let mut spares = Vec::new();
        for pool in self.state.records.pools.values().filter(|pool| pool.spare) {
            let members = self.serving_home(&pool.id);
            let count = members.len().saturating_sub(pool.min_instances.get() as usize);
            spares.extend(members.into_iter().take(count));
        }
        spares
    }

    fn lend(&mut self, instance: &'a InstanceId, member: &'a PoolMember, to: &PoolId) {
        self.moved_count += 1;
        *self.counts.entry(to.clone()).or_default() += 1;
        if let Some(count) = self.counts.get_mut(&member.pool) {
            *count = count.saturating_sub(1);
        }
        self.step.changes.push(EntryChange::LendInstance {
            instance: instance.clone(),
            to: to.clone(),
            plan: None,
        });
        let changes =
            wave_starter::drain_changes(self.state, None, instance, member, self.wall_time, "demand");
        self.step.changes.extend(changes);
    }

    fn record_unmet(
        &mut self,
        pool: &PoolId,
        demand_windows: &BTreeMap<PoolId, DemandWindow>,
        surplus_ratio: f64,
    ) {
        let is_over = |(other, window): (&PoolId, &DemandWindow)| {
            let demand = self.observed.demand.get(other).copied().unwrap_or_default();
            let count = self.counts.get(other).copied().unwrap_or_default();
            let rest_capacity = f64::from(count.saturating_sub(1)) * demand.slots_per_instance;
            other != pool && window.max() <= rest_capacity * surplus_ratio
        };
        let reason = if demand_windows.iter().any(is_over) {
            UnmetReason::Blocked
        } else {
            UnmetReason::NoSurplus
        };
        self.step.unmet.insert(pool.clone(), reason);
    }
}

/// Number of instances that serve a pool now, or will when their loan arrives.
fn expected_instances(
    state: &FleetState,
    observed: &FleetObservation,
    scope: &PlanScope<'_>,
    pool: &PoolId,
) -> u32 {
    let Some(summary) = scope.pool(pool) else {
        return 0;
    };
    let is_coming = |(instance, member): &&MemberRef<'_>| {
        let has_arrived = member.pool == *pool && observed.is_serving(instance, member);
        !has_arrived && state.tokens.contains_key(*instance)
    };
    summary.serving + summary.lent_in.iter().filter(is_coming).count() as u32
}

/// Pools of which a running plan has instances left to start, including lent ones that it waits for.
fn planned_pools(state: &FleetState, scope: &PlanScope<'_>) -> BTreeSet<PoolId> {
    let mut pools = BTreeSet::new();
    for (plan, progress) in &state.plans {
        let Some(record) = state.records.plans.get(plan) else {
            continue;
        };
        if progress.phase != PlanPhase::Running {
            continue;
        }
        for (index, wave) in record.waves.iter().enumerate() {
            let unstarted = scope.unstarted(record, progress, index).len();
            let awaits = scope.awaits_loans(record, progress, index);
            if awaits || PlanScope::startable_count(wave, progress, index, unstarted) > 0 {
                pools.insert(wave.pool.clone());
            }
        }
    }
    pools
}
