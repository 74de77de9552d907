//! Starts the instances of a plan's waves, as many as the budgets, the plan and the roll-out rate allow.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::journal::entry::EntryChange;
use crate::journal::fleet_state::FleetState;
use crate::journal::member::{BudgetToken, MemberPhase, PlanProgress, PoolMember};
use crate::model::id::{InstanceId, PlanId, PoolId, RackId, ZoneId};
use crate::model::unix_time::UnixMillis;
use crate::policy::budget_ledger::{BudgetLedger, BudgetRefusal};
use crate::policy::move_buffer::{self, BufferNeed};
use crate::policy::move_planner::{MovePlanner, PlannerStep};
use crate::policy::observation::FleetObservation;
use crate::policy::plan_scope::{self, MemberRef, PlanScope};
use crate::policy::wait_reason::{PlanWait, WaitReason};
use crate::record::plan::{PlanRecord, PlanWave, WaveAction};

/// One pass over the waves of a plan.
#[derive(Debug)]
pub struct WaveStarter<'a, 'b> {
    planner: &'b mut MovePlanner,
    pub(super) state: &'a FleetState,
    pub(super) observed: &'b FleetObservation,
    pub(super) scope: &'b PlanScope<'a>,
    pub(super) ledger: &'b mut BudgetLedger,
    now: Instant,
    pub(super) wall_time: UnixMillis,
    drains_by_rack: BTreeMap<(&'a ZoneId, &'a RackId), u32>,
    /// Number of instances started in this pass, by pool.
    started_in: BTreeMap<PoolId, u32>,
    /// Number of loans for demand by the pool that they serve. Their return uses budget, which waves must
    /// leave free.
    loans_to_return: BTreeMap<&'a PoolId, i64>,
}

/// Result of a wave. `is_budget_limited` says that a budget kept at least one of the `count` remaining
/// instances from starting.
enum WaveOutcome {
    Done,
    Incomplete { count: usize, is_budget_limited: bool },
}

impl<'a, 'b> WaveStarter<'a, 'b> {
    /// Creates a pass for one planning step.
    pub fn new(
        planner: &'b mut MovePlanner,
        state: &'a FleetState,
        observed: &'b FleetObservation,
        scope: &'b PlanScope<'a>,
        ledger: &'b mut BudgetLedger,
        now: Instant,
        wall_time: UnixMillis,
    ) -> Self {
        let mut drains_by_rack = BTreeMap::new();
        for instance in state.tokens.keys() {
            if let Some(member) = state.members.get(instance) {
                let place = &member.place;
                *drains_by_rack.entry((&place.zone, &place.rack)).or_default() += 1;
            }
        }
        let mut loans_to_return: BTreeMap<&PoolId, i64> = BTreeMap::new();
        for (instance, loan) in &state.loans {
            let member = state
                .members
                .get(instance)
                .filter(|member| member.pool == loan.to);
            let is_in_progress = state.tokens.contains_key(instance);
            if let Some(member) = member
                && loan.plan.is_none()
                && loan.to != loan.home
                && !is_in_progress
            {
                *loans_to_return.entry(&member.pool).or_default() += 1;
            }
        }
        Self {
            loans_to_return,
            planner,
            state,
            observed,
            scope,
            ledger,
            now,
            wall_time,
            drains_by_rack,
            started_in: BTreeMap::new(),
        }
    }

    /// Starts the instances that may start, and records why the others wait.
    pub fn run(
        &mut self,
        plan: &PlanId,
        record: &PlanRecord,
        progress: &PlanProgress,
        step: &mut PlannerStep,
    ) {
        let mut needs = Vec::new();
        let mut blocked: BTreeMap<&PoolId, usize> = BTreeMap::new();
        let tokens = self.state.tokens.values();
        let mut in_progress_count = tokens.filter(|token| token.plan.as_ref() == Some(plan)).count() as u32;
        let mut has_open_wave = false;
        let mut unstarted_total = 0;
        for (index, wave) in record.waves.iter().enumerate() {
            let unstarted = self.scope.unstarted(record, progress, index);
            let startable = PlanScope::startable_count(wave, progress, index, unstarted.len());
            if startable == 0 {
                has_open_wave |= progress
                    .started
                    .values()
                    .any(|started| *started as usize == index);
                continue;
            }
            unstarted_total += startable;
            let earlier = blocked.get(&wave.pool).copied();
            let is_serial = !self.planner.settings.parallel_pools && has_open_wave;
            if let Some(earlier) = earlier.or(is_serial.then(|| index.saturating_sub(1))) {
                step.waits.push(wave_wait(
                    plan,
                    index,
                    wave,
                    WaitReason::EarlierWave(earlier as u32),
                ));
                continue;
            }
            let outcome = self.run_wave(
                plan,
                record,
                index,
                unstarted,
                startable,
                &mut in_progress_count,
                step,
            );
            has_open_wave = true;
            if let WaveOutcome::Incomplete {
                count,
                is_budget_limited,
            } = outcome
            {
                blocked.insert(&wave.pool, index);
                if is_budget_limited {
                    needs.push(BufferNeed::new(wave.pool.clone(), count));
                }
            }
        }
        if self.planner.settings.use_buffer && self.planner.rate.factor() > 0.0 {
            move_buffer::lend(
                self,
                plan,
                record,
                progress,
                needs,
                unstarted_total,
                &mut in_progress_count,
                step,
            );
        }
    }

    #[expect(clippy::too_many_arguments, reason = "the parts of one wave's pass")]
    fn run_wave(
        &mut self,
        plan: &PlanId,
        record: &PlanRecord,
        index: usize,
        mut unstarted: Vec<MemberRef<'a>>,
        startable: usize,
        in_progress_count: &mut u32,
        step: &mut PlannerStep,
    ) -> WaveOutcome {
        let wave = &record.waves[index];
        let total = startable;
        let mut startable = startable;
        if let Some(reason) = self.wave_wait_reason(record, wave, *in_progress_count) {
            step.waits.push(wave_wait(plan, index, wave, reason));
            return WaveOutcome::Incomplete {
                count: total,
                is_budget_limited: false,
            };
        }
        self.sort_candidates(&mut unstarted);
        let mut is_budget_limited = false;
        let mut first_wait = None;
        for (instance, member) in unstarted {
            if startable == 0 {
                return WaveOutcome::Done;
            }
            let reason = match self.wave_wait_reason(record, wave, *in_progress_count) {
                Some(reason) => Err(reason),
                None => self.try_start(instance, member, wave),
            };
            match reason {
                Ok(()) => {
                    self.start(plan, index, instance, member, step);
                    *in_progress_count += 1;
                    startable -= 1;
                }
                Err(reason) => {
                    is_budget_limited |= matches!(reason, WaitReason::Budget(_));
                    let is_final = blocks_wave(&reason);
                    let shown = (!is_final).then(|| instance.clone());
                    first_wait.get_or_insert((shown, reason));
                    if is_final {
                        break;
                    }
                }
            }
        }
        if let Some((instance, reason)) = first_wait {
            let mut wait = wave_wait(plan, index, wave, reason);
            wait.instance = instance;
            step.waits.push(wait);
        }
        if startable == 0 {
            return WaveOutcome::Done;
        }
        WaveOutcome::Incomplete {
            count: startable,
            is_budget_limited,
        }
    }

    /// The reason for which no instance of a wave may start now; absent if some may.
    fn wave_wait_reason(
        &mut self,
        record: &PlanRecord,
        wave: &PlanWave,
        in_progress_count: u32,
    ) -> Option<WaitReason> {
        if let WaveAction::Move { to } = &wave.action
            && !self.state.records.pools.contains_key(to)
        {
            return Some(WaitReason::NoSuchPool(to.clone()));
        }
        if self.planner.selected.len() >= self.planner.settings.max_per_step {
            return Some(WaitReason::EntryFull(self.planner.settings.max_per_step));
        }
        if let Some(max) = record.max_parallel
            && in_progress_count >= max.get()
        {
            return Some(WaitReason::MaxParallel(max.get()));
        }
        let in_progress = self.in_progress(&wave.pool);
        if let Some(size) = self.planner.settings.fixed_batch {
            let is_new = self.started_in.get(&wave.pool).copied().unwrap_or_default() == in_progress;
            if in_progress >= size || !is_new {
                return Some(WaitReason::MaxParallel(size));
            }
        }
        self.rate_wait_reason(&wave.pool, in_progress)
    }

    fn in_progress(&self, pool: &PoolId) -> u32 {
        let before = self.scope.pool(pool).map_or(0, |summary| summary.in_progress);
        before + self.started_in.get(pool).copied().unwrap_or_default()
    }

    fn rate_wait_reason(&self, pool: &PoolId, in_progress: u32) -> Option<WaitReason> {
        let factor = self.planner.rate.factor();
        if factor >= 1.0 {
            return None;
        }
        if factor <= 0.0 {
            return Some(WaitReason::FailureBurst);
        }
        let slack = self.ledger.slack(pool)?.max(0) as f64;
        let limit = (factor * (slack + f64::from(in_progress))).ceil().max(1.0);
        (f64::from(in_progress) >= limit).then_some(WaitReason::Slowed((factor * 100.0) as u32))
    }

    /// Sorts candidates: unavailable instances first, then those in racks that already have drains, so that
    /// the loss of a rack hits instances that are out of service anyway, then the longest drains.
    fn sort_candidates(&self, unstarted: &mut [MemberRef<'a>]) {
        let settings = &self.planner.settings;
        unstarted.sort_by_cached_key(|(instance, member)| {
            let is_down = settings.unavailable_first && self.ledger.is_unavailable(instance);
            let rack = (&member.place.zone, &member.place.rack);
            let rack_drains = self.drains_by_rack.get(&rack).copied().unwrap_or_default();
            let time = self
                .observed
                .drain_times
                .get(*instance)
                .copied()
                .unwrap_or_default();
            let time = if settings.longest_first {
                time
            } else {
                Duration::ZERO
            };
            (
                !is_down,
                u32::MAX - rack_drains,
                Duration::MAX.saturating_sub(time),
                *instance,
            )
        });
    }

    fn try_start(
        &mut self,
        instance: &InstanceId,
        member: &PoolMember,
        wave: &PlanWave,
    ) -> Result<(), WaitReason> {
        let is_selected = self.planner.selected.contains(instance);
        if is_selected || self.state.tokens.contains_key(instance) || !plan_scope::is_startable(member) {
            return Err(WaitReason::BusyElsewhere);
        }
        let zone = &member.place.zone;
        let is_reachable =
            !self.observed.missing.contains(instance) && !self.observed.unreachable_zones.contains(zone);
        let is_up = self.observed.is_up(instance, zone);
        let may_go_down = self.planner.settings.unavailable_first && is_reachable;
        if !(is_up || may_go_down) {
            return Err(WaitReason::InstanceUnhealthy);
        }
        if matches!(wave.action, WaveAction::Move { .. }) {
            self.check_pool_minimum(&wave.pool)?;
        }
        self.ledger
            .check(self.state, instance)
            .map_err(WaitReason::Budget)?;
        let kept = self.loans_to_return.get(&wave.pool).copied().unwrap_or_default();
        if kept > 0 && !self.ledger.is_unavailable(instance) && self.ledger.slack(&wave.pool) <= Some(kept) {
            return Err(WaitReason::LoansReturning(kept as u32));
        }
        if is_up && member.phase == MemberPhase::Serving {
            self.check_demand(&wave.pool)?;
        }
        self.ledger
            .reserve(self.state, instance)
            .map_err(WaitReason::Budget)
    }

    fn check_pool_minimum(&self, pool: &PoolId) -> Result<(), WaitReason> {
        let minimum = self
            .state
            .records
            .pools
            .get(pool)
            .map_or(0, |record| record.min_instances.get());
        let home = self
            .scope
            .pool(pool)
            .map_or(0, |summary| summary.home.len() as u32);
        if home.saturating_sub(self.in_progress(pool)) <= minimum && minimum > 0 {
            return Err(WaitReason::PoolMinimum(minimum));
        }
        Ok(())
    }

    /// Delays the start while demand needs all instances of the pool. The maximum wait follows from the
    /// policy weights for roll-out time and closeness to shares.
    fn check_demand(&mut self, pool: &PoolId) -> Result<(), WaitReason> {
        let Some(demand) = self.observed.demand.get(pool) else {
            return Ok(());
        };
        let serving = self.scope.pool(pool).map_or(0, |summary| summary.serving);
        let started_count = self.started_in.get(pool).copied().unwrap_or_default();
        if demand.headroom(serving.saturating_sub(started_count + 1)) >= 0.0 {
            self.planner.waiting_since.remove(pool);
            return Ok(());
        }
        let weights = &self.state.records.policy;
        let sum = weights.share_closeness + weights.rollout_time;
        let part = if sum > 0.0 {
            2.0 * weights.share_closeness / sum
        } else {
            1.0
        };
        let max_wait = self
            .planner
            .settings
            .max_trough_wait
            .mul_f64(part.clamp(0.0, 2.0));
        let since = *self.planner.waiting_since.entry(pool.clone()).or_insert(self.now);
        if self.now < since + max_wait {
            return Err(WaitReason::DemandPeak(max_wait));
        }
        Ok(())
    }

    fn start(
        &mut self,
        plan: &PlanId,
        index: usize,
        instance: &'a InstanceId,
        member: &'a PoolMember,
        step: &mut PlannerStep,
    ) {
        self.planner.selected.insert(instance.clone());
        *self.started_in.entry(member.pool.clone()).or_default() += 1;
        let place = &member.place;
        *self.drains_by_rack.entry((&place.zone, &place.rack)).or_default() += 1;
        step.changes.push(EntryChange::StartMove {
            plan: plan.clone(),
            wave: index as u32,
            instance: instance.clone(),
        });
        step.changes.extend(drain_changes(
            self.state,
            Some(plan),
            instance,
            member,
            self.wall_time,
            "wave starts",
        ));
    }

    pub(super) fn planner(&mut self) -> &mut MovePlanner {
        self.planner
    }
}

/// The changes that take an instance out of service: first its budget token, then the drain.
pub fn drain_changes(
    state: &FleetState,
    plan: Option<&PlanId>,
    instance: &InstanceId,
    member: &PoolMember,
    wall_time: UnixMillis,
    reason: &str,
) -> [EntryChange; 2] {
    let service = state
        .service_of_pool(&member.pool)
        .map(|service| service.id.clone());
    let token = BudgetToken {
        plan: plan.cloned(),
        service,
        instance: instance.clone(),
        zone: member.place.zone.clone(),
        rack: member.place.rack.clone(),
        taken_at: wall_time,
    };
    let drain = EntryChange::SetPhase {
        instance: instance.clone(),
        phase: MemberPhase::Draining,
        reason: Arc::from(reason),
    };
    [EntryChange::TakeToken { token }, drain]
}

/// Whether a reason applies to all further instances of the wave.
fn blocks_wave(reason: &WaitReason) -> bool {
    match reason {
        WaitReason::Budget(refusal) => matches!(refusal, BudgetRefusal::Service { .. }),
        WaitReason::BusyElsewhere | WaitReason::InstanceUnhealthy => false,
        _ => true,
    }
}

fn wave_wait(plan: &PlanId, index: usize, wave: &PlanWave, reason: WaitReason) -> PlanWait {
    PlanWait {
        plan: Some(plan.clone()),
        wave: Some(index as u32),
        pool: wave.pool.clone(),
        instance: None,
        reason,
    }
}
