//! Starts the instances of a plan's waves, as many as the budgets, the plan and the pace allow.

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
pub struct WaveStart<'a, 'b> {
    planner: &'b mut MovePlanner,
    pub(super) state: &'a FleetState,
    pub(super) seen: &'b FleetObservation,
    pub(super) scope: &'b PlanScope<'a>,
    pub(super) ledger: &'b mut BudgetLedger,
    now: Instant,
    pub(super) wall: UnixMillis,
    racks_out: BTreeMap<(&'a ZoneId, &'a RackId), u32>,
    /// Instances started in this pass, by pool.
    started_in: BTreeMap<PoolId, u32>,
    /// Loans under demand by the pool that they serve; the budget that their return needs is kept for them.
    to_return: BTreeMap<&'a PoolId, i64>,
}

/// What a wave could not start.
enum WaveOutcome {
    Done,
    Left { count: usize, is_budget: bool },
}

impl<'a, 'b> WaveStart<'a, 'b> {
    /// Creates a pass.
    pub fn new(
        planner: &'b mut MovePlanner,
        state: &'a FleetState,
        seen: &'b FleetObservation,
        scope: &'b PlanScope<'a>,
        ledger: &'b mut BudgetLedger,
        now: Instant,
        wall: UnixMillis,
    ) -> Self {
        let mut racks_out = BTreeMap::new();
        for instance in state.tokens.keys() {
            if let Some(member) = state.members.get(instance) {
                let place = &member.place;
                *racks_out.entry((&place.zone, &place.rack)).or_default() += 1;
            }
        }
        let mut to_return: BTreeMap<&PoolId, i64> = BTreeMap::new();
        for (instance, loan) in &state.loans {
            let member = state
                .members
                .get(instance)
                .filter(|member| member.pool == loan.to);
            let is_under_way = state.tokens.contains_key(instance);
            if let Some(member) = member
                && loan.plan.is_none()
                && loan.to != loan.home
                && !is_under_way
            {
                *to_return.entry(&member.pool).or_default() += 1;
            }
        }
        Self {
            to_return,
            planner,
            state,
            seen,
            scope,
            ledger,
            now,
            wall,
            racks_out,
            started_in: BTreeMap::new(),
        }
    }

    /// Starts what may start and notes why the rest waits.
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
        let mut out = tokens.filter(|token| token.plan.as_ref() == Some(plan)).count() as u32;
        let mut left_before = false;
        let mut unstarted = 0;
        for (index, wave) in record.waves.iter().enumerate() {
            let remaining = self.scope.remaining(record, progress, index);
            let room = PlanScope::wave_room(wave, progress, index, remaining.len());
            if room == 0 {
                left_before |= progress
                    .started
                    .values()
                    .any(|started| *started as usize == index);
                continue;
            }
            unstarted += room;
            let earlier = blocked.get(&wave.pool).copied();
            let is_serial = !self.planner.settings.parallel_pools && left_before;
            if let Some(earlier) = earlier.or(is_serial.then(|| index.saturating_sub(1))) {
                step.waits.push(wave_wait(
                    plan,
                    index,
                    wave,
                    WaitReason::EarlierWave(earlier as u32),
                ));
                continue;
            }
            let outcome = self.run_wave(plan, record, index, remaining, room, &mut out, step);
            left_before = true;
            if let WaveOutcome::Left { count, is_budget } = outcome {
                blocked.insert(&wave.pool, index);
                if is_budget {
                    needs.push(BufferNeed::new(wave.pool.clone(), count));
                }
            }
        }
        if self.planner.settings.use_buffer && self.planner.pace.factor() > 0.0 {
            move_buffer::lend(self, plan, record, progress, needs, unstarted, &mut out, step);
        }
    }

    #[expect(clippy::too_many_arguments, reason = "the parts of one wave's pass")]
    fn run_wave(
        &mut self,
        plan: &PlanId,
        record: &PlanRecord,
        index: usize,
        mut remaining: Vec<MemberRef<'a>>,
        room: usize,
        out: &mut u32,
        step: &mut PlannerStep,
    ) -> WaveOutcome {
        let wave = &record.waves[index];
        let total = room;
        let mut room = room;
        if let Some(reason) = self.wave_reason(record, wave, *out) {
            step.waits.push(wave_wait(plan, index, wave, reason));
            return WaveOutcome::Left {
                count: total,
                is_budget: false,
            };
        }
        self.sort(&mut remaining);
        let mut is_budget = false;
        let mut first_wait = None;
        for (instance, member) in remaining {
            if room == 0 {
                return WaveOutcome::Done;
            }
            let reason = match self.wave_reason(record, wave, *out) {
                Some(reason) => Err(reason),
                None => self.try_start(instance, member, wave),
            };
            match reason {
                Ok(()) => {
                    self.start(plan, index, instance, member, step);
                    *out += 1;
                    room -= 1;
                }
                Err(reason) => {
                    is_budget |= matches!(reason, WaitReason::Budget(_));
                    let is_final = ends_wave(&reason);
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
        if room == 0 {
            return WaveOutcome::Done;
        }
        WaveOutcome::Left {
            count: room,
            is_budget,
        }
    }

    /// Why no instance of a wave may start now.
    fn wave_reason(&mut self, record: &PlanRecord, wave: &PlanWave, out: u32) -> Option<WaitReason> {
        if let WaveAction::Move { to } = &wave.action
            && !self.state.records.pools.contains_key(to)
        {
            return Some(WaitReason::NoSuchPool(to.clone()));
        }
        if self.planner.taken.len() >= self.planner.settings.max_per_step {
            return Some(WaitReason::EntryFull(self.planner.settings.max_per_step));
        }
        if let Some(max) = record.max_parallel
            && out >= max.get()
        {
            return Some(WaitReason::MaxParallel(max.get()));
        }
        let under_way = self.under_way(&wave.pool);
        if let Some(size) = self.planner.settings.fixed_wave {
            let is_new = self.started_in.get(&wave.pool).copied().unwrap_or_default() == under_way;
            if under_way >= size || !is_new {
                return Some(WaitReason::MaxParallel(size));
            }
        }
        self.pace_reason(&wave.pool, under_way)
    }

    fn under_way(&self, pool: &PoolId) -> u32 {
        let before = self.scope.pool(pool).map_or(0, |figures| figures.under_way);
        before + self.started_in.get(pool).copied().unwrap_or_default()
    }

    fn pace_reason(&self, pool: &PoolId, under_way: u32) -> Option<WaitReason> {
        let factor = self.planner.pace.factor();
        if factor >= 1.0 {
            return None;
        }
        if factor <= 0.0 {
            return Some(WaitReason::FailureBurst);
        }
        let slack = self.ledger.slack(pool)?.max(0) as f64;
        let most = (factor * (slack + f64::from(under_way))).ceil().max(1.0);
        (f64::from(under_way) >= most).then_some(WaitReason::Slowed((factor * 100.0) as u32))
    }

    /// Orders candidates: those that are down anyway, then racks that are already affected, so that a rack
    /// loss meets instances that are out, then the longest drains.
    fn sort(&self, remaining: &mut [MemberRef<'a>]) {
        let settings = &self.planner.settings;
        remaining.sort_by_cached_key(|(instance, member)| {
            let is_down = settings.failed_first && self.ledger.is_unavailable(instance);
            let rack = (&member.place.zone, &member.place.rack);
            let rack_out = self.racks_out.get(&rack).copied().unwrap_or_default();
            let time = self.seen.drain_times.get(*instance).copied().unwrap_or_default();
            let time = if settings.longest_first {
                time
            } else {
                Duration::ZERO
            };
            (
                !is_down,
                u32::MAX - rack_out,
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
        let is_taken = self.planner.taken.contains(instance);
        if is_taken || self.state.tokens.contains_key(instance) || !plan_scope::can_start(member) {
            return Err(WaitReason::BusyElsewhere);
        }
        let zone = &member.place.zone;
        let is_reachable =
            !self.seen.missing.contains(instance) && !self.seen.unreachable_zones.contains(zone);
        let is_up = self.seen.is_up(instance, zone);
        let may_go_down = self.planner.settings.failed_first && is_reachable;
        if !(is_up || may_go_down) {
            return Err(WaitReason::InstanceUnhealthy);
        }
        if matches!(wave.action, WaveAction::Move { .. }) {
            self.check_minimum(&wave.pool)?;
        }
        self.ledger
            .check(self.state, instance)
            .map_err(WaitReason::Budget)?;
        let kept = self.to_return.get(&wave.pool).copied().unwrap_or_default();
        if kept > 0 && !self.ledger.is_unavailable(instance) && self.ledger.slack(&wave.pool) <= Some(kept) {
            return Err(WaitReason::LoansReturning(kept as u32));
        }
        if is_up && member.phase == MemberPhase::Serving {
            self.check_demand(&wave.pool)?;
        }
        self.ledger.take(self.state, instance).map_err(WaitReason::Budget)
    }

    fn check_minimum(&self, pool: &PoolId) -> Result<(), WaitReason> {
        let minimum = self
            .state
            .records
            .pools
            .get(pool)
            .map_or(0, |record| record.min_instances.get());
        let home = self
            .scope
            .pool(pool)
            .map_or(0, |figures| figures.home.len() as u32);
        if home.saturating_sub(self.under_way(pool)) <= minimum && minimum > 0 {
            return Err(WaitReason::PoolMinimum(minimum));
        }
        Ok(())
    }

    /// Waits for a trough while the demand needs all instances of the pool, up to the patience that follows
    /// from the weights of roll-out time and closeness to shares.
    fn check_demand(&mut self, pool: &PoolId) -> Result<(), WaitReason> {
        let Some(demand) = self.seen.demand.get(pool) else {
            return Ok(());
        };
        let serving = self.scope.pool(pool).map_or(0, |figures| figures.serving);
        let taken = self.started_in.get(pool).copied().unwrap_or_default();
        if demand.headroom(serving.saturating_sub(taken + 1)) >= 0.0 {
            self.planner.deferred.remove(pool);
            return Ok(());
        }
        let weights = &self.state.records.policy;
        let sum = weights.share_closeness + weights.rollout_time;
        let part = if sum > 0.0 {
            2.0 * weights.share_closeness / sum
        } else {
            1.0
        };
        let patience = self
            .planner
            .settings
            .trough_patience
            .mul_f64(part.clamp(0.0, 2.0));
        let since = *self.planner.deferred.entry(pool.clone()).or_insert(self.now);
        if self.now < since + patience {
            return Err(WaitReason::DemandPeak(patience));
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
        self.planner.taken.insert(instance.clone());
        *self.started_in.entry(member.pool.clone()).or_default() += 1;
        let place = &member.place;
        *self.racks_out.entry((&place.zone, &place.rack)).or_default() += 1;
        step.changes.push(EntryChange::StartMove {
            plan: plan.clone(),
            wave: index as u32,
            instance: instance.clone(),
        });
        step.changes.extend(take_out(
            self.state,
            Some(plan),
            instance,
            member,
            self.wall,
            "wave starts",
        ));
    }

    /// The planner.
    pub(super) fn planner(&mut self) -> &mut MovePlanner {
        self.planner
    }
}

/// The changes that take an instance out of service: its token, then the drain.
pub fn take_out(
    state: &FleetState,
    plan: Option<&PlanId>,
    instance: &InstanceId,
    member: &PoolMember,
    wall: UnixMillis,
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
        taken_at: wall,
    };
    let drain = EntryChange::SetPhase {
        instance: instance.clone(),
        phase: MemberPhase::Draining,
        reason: Arc::from(reason),
    };
    [EntryChange::TakeToken { token }, drain]
}

/// Whether a reason holds for all further instances of the wave.
fn ends_wave(reason: &WaitReason) -> bool {
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
