//! Lends instances between pools under demand: lend, move on, return or hold back.
//!
//! Demand is a count of slots wanted, from reports that lag. Declared sizes and run times are not used: a
//! shortage counts only after it was seen for a while, and a surplus is measured against the highest demand of
//! the last while, so that one late or wrong report moves nothing.

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

/// Settings of lending.
#[derive(Debug, Clone, PartialEq)]
pub struct LendingSettings {
    /// Part of a pool's capacity that demand must exceed for a shortage.
    pub shortage_ratio: f64,
    /// Time for which a shortage must last; it covers the lag of the reports.
    pub shortage_duration: Duration,
    /// Part of the remaining capacity that demand may fill for a surplus.
    pub surplus_ratio: f64,
    /// Time over which the highest demand decides a surplus.
    pub surplus_window: Duration,
    /// Shortest loan, so that the cost of two changes of pool is repaid.
    pub min_loan_time: Duration,
    /// Time without need after which a loan ends although nobody asks for the instance.
    pub idle_loan_timeout: Duration,
    /// Most instances that one step lends or returns.
    pub max_per_step: usize,
    /// Whether instances are lent while a plan has instances left to start. They use the same budgets and
    /// spares as the plan.
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
    /// Budgets, minimums or plans keep the instances where they are.
    #[display("budgets, minimums or running plans hold the other pools' instances")]
    Blocked,
}

/// Result of one step.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct LendingStep {
    /// Changes for one journal entry.
    pub changes: Vec<EntryChange>,
    /// Pools with a shortage that is not met.
    pub unmet: BTreeMap<PoolId, UnmetReason>,
}

/// The lending policy.
#[derive(Debug, Clone)]
pub struct LendingPolicy {
    settings: LendingSettings,
    demand_windows: BTreeMap<PoolId, DemandWindow>,
    /// When each loan was first seen in its pool; a new holder starts the shortest loan again.
    arrived_at: BTreeMap<InstanceId, Instant>,
    /// When each instance was last on loan. It rests in its home pool for as long as the shortest loan.
    last_lent_at: BTreeMap<InstanceId, Instant>,
}

/// The parts of one step.
struct LendingPass<'a, 'b> {
    state: &'a FleetState,
    observed: &'b FleetObservation,
    scope: PlanScope<'a>,
    ledger: BudgetLedger,
    wall_time: UnixMillis,
    /// Pools with instances that a running plan has not started.
    planned: BTreeSet<PoolId>,
    /// Instances in each pool now or soon.
    counts: BTreeMap<PoolId, u32>,
    moved_count: usize,
    step: LendingStep,
}

impl LendingPolicy {
    /// Creates a policy that has seen no demand.
    pub fn new(settings: LendingSettings) -> Self {
        Self {
            settings,
            demand_windows: BTreeMap::new(),
            arrived_at: BTreeMap::new(),
            last_lent_at: BTreeMap::new(),
        }
    }

    /// Plans the next step. It assumes that no other changes of memberships are appended with it.
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
        let rest = self.settings.min_loan_time;
        self.last_lent_at.retain(|_, at| *at + rest > now);
        self.last_lent_at
            .extend(state.loans.keys().map(|instance| (instance.clone(), now)));
        self.arrived_at
            .retain(|instance, _| state.loans.contains_key(instance));
        for (instance, loan) in &state.loans {
            let is_there = state
                .members
                .get(instance)
                .is_some_and(|member| member.pool == loan.to);
            if is_there {
                self.arrived_at.entry(instance.clone()).or_insert(now);
            } else {
                self.arrived_at.remove(instance);
            }
        }
    }

    fn cover_shortages(&self, now: Instant, pass: &mut LendingPass<'_, '_>) {
        let mut short: Vec<(f64, PoolId)> = Vec::new();
        for (pool, window) in &self.demand_windows {
            let lasts = window
                .shortage_time(now)
                .is_some_and(|time| time >= self.settings.shortage_duration);
            if lasts && pass.missing_count(pool) > 0 {
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

    /// The instance to lend to a pool: its own that are lent out, then spares, then idle loans, then the pool
    /// with the largest surplus; among those of a pool the one whose work ends first.
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

    /// Loans under demand whose pool no longer needs them, or whose home pool is the one that asks.
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

    /// Whether a pool can do without one instance under the highest demand of the last while.
    fn has_surplus(&self, pass: &LendingPass<'_, '_>, pool: &PoolId) -> bool {
        let (Some(window), Some(demand)) = (self.demand_windows.get(pool), pass.observed.demand.get(pool))
        else {
            return true;
        };
        let count = pass.counts.get(pool).copied().unwrap_or_default();
        let rest = f64::from(count.saturating_sub(1)) * demand.slots_per_instance;
        window.max() <= rest * self.settings.surplus_ratio
    }

    fn surplus_instances<'a>(&self, pass: &LendingPass<'a, '_>, to: &PoolId) -> Vec<MemberRef<'a>> {
        let records = pass.state.records.pools.values();
        let lenders = records.filter(|pool| pool.lendable && !pool.spare && pool.id != *to);
        let mut pools: Vec<(f64, &PoolId)> = lenders
            .filter(|pool| {
                let count = pass.counts.get(&pool.id).copied().unwrap_or_default();
                // A pool that has borrowed passes its loans on first, once they are old enough.
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
            // One per pool: the next one is chosen with this one counted.
            found.extend(members.into_iter().next());
        }
        found
    }

    /// Ends loans: at once where a plan waits for the instance, otherwise after a while without need.
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
            // A plan moves each instance in its own pool, and needs the spares as its buffer.
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
    /// Slots wanted per slot of the pool.
    fn demand_ratio(&self, pool: &PoolId) -> f64 {
        let Some(demand) = self.observed.demand.get(pool) else {
            return 0.0;
        };
        let count = self.counts.get(pool).copied().unwrap_or_default();
        demand.wanted / (f64::from(count) * demand.slots_per_instance).max(1.0)
    }

    /// Instances by which a pool falls short of its demand.
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

    /// Whether a plan keeps a pool's instances: it goes first where roll-out time weighs at least as much.
    fn is_planned(&self, pool: &PoolId) -> bool {
        let weights = &self.state.records.policy;
        self.planned.contains(pool) && weights.rollout_time >= weights.share_closeness
    }

    /// A loan under demand that serves its pool and is not under way.
    fn arrived_loan(&self, instance: &InstanceId, loan: &InstanceLoan) -> Option<&'a PoolMember> {
        let member = self.state.members.get(instance)?;
        let is_there = loan.plan.is_none() && member.pool == loan.to && loan.to != loan.home;
        let is_free = !self.state.tokens.contains_key(instance) && !self.ledger.is_unavailable(instance);
        (is_there && is_free && self.observed.is_serving(instance, member)).then_some(member)
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

    /// Spare instances that no running plan needs as its buffer.
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
            let rest = f64::from(count.saturating_sub(1)) * demand.slots_per_instance;
            other != pool && window.max() <= rest * surplus_ratio
        };
        let reason = if demand_windows.iter().any(is_over) {
            UnmetReason::Blocked
        } else {
            UnmetReason::NoSurplus
        };
        self.step.unmet.insert(pool.clone(), reason);
    }
}

/// Instances that serve a pool now, or will once their loan has arrived.
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
        let is_there = member.pool == *pool && observed.is_serving(instance, member);
        !is_there && state.tokens.contains_key(*instance)
    };
    summary.serving + summary.lent_in.iter().filter(is_coming).count() as u32
}

/// Pools of which a running plan has instances left to start.
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
